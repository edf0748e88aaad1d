"""Leader election: pre-votes, votes, and the step to leadership."""

from __future__ import annotations

from .messages import Entry, EntryKind, RequestVote, VoteReply
from .records import Progress, Role
from .replication import Replication


class Election(Replication):
    """The election part of the protocol: at most one candidate is elected in a term."""

    def campaign(self, now: int, pre_vote: bool, leadership_transfer: bool = False) -> None:
        """Ask all voters for their votes.

        A pre-vote precedes the election (section 9.6 of the thesis), so that a replica that was partitioned
        does not increase the term. A leadership transfer skips the pre-vote.
        """
        self.role, self.pre_voting, self.leader = Role.CANDIDATE, pre_vote, ""
        self.votes = {self.replica_id}
        self.wake_at = now + self.random_election_timeout()
        if not pre_vote:
            self.term += 1
            self.voted_for = self.replica_id
            self.writes.mark_dirty()
        last_index = self.log.last_index
        request = RequestVote(
            term=self.term + 1 if pre_vote else self.term,
            last_log_index=last_index,
            last_log_term=self.log.known_term_at(last_index),
            pre_vote=pre_vote,
            leadership_transfer=leadership_transfer,
        )
        send = self.writes.send if pre_vote else self.writes.send_when_durable
        for voter in self.configuration.voters:
            if voter != self.replica_id:
                send(voter, request)
        self.count_votes(now)

    def count_votes(self, now: int) -> None:
        """Continue the candidacy once a majority has granted its votes.

        A won pre-vote starts the election. A won election makes this replica the leader, once its own vote
        is durable.
        """
        if not self.has_majority(self.votes):
            return
        if self.pre_voting:
            self.campaign(now, False)
        elif self.writes.is_durable():
            self.become_leader(now)

    def become_leader(self, now: int) -> None:
        """Become the leader.

        The no-op entry of the new term is needed to commit the entries of earlier terms.
        """
        self.role, self.leader, self.transfer_deadline = Role.LEADER, self.replica_id, 0
        self.progress = {}
        self.round = 0
        self.update_progress(now)
        self.append(Entry(self.term, EntryKind.NO_OP))
        self.wake_at = now
        self.replicate_now = True

    def update_progress(self, now: int) -> None:
        """Track the progress of exactly the followers that are members of the configuration."""
        members = self.configuration.all_members()
        followers = [member for member in members if member != self.replica_id]
        for follower in followers:
            self.progress.setdefault(follower, Progress(self.log.last_index + 1, last_reply_at=now))
        for follower in [*self.progress]:
            if follower not in followers:
                del self.progress[follower]

    def handle_request_vote(self, now: int, sender: str, message: RequestVote) -> None:
        """Grant one vote per term, to a candidate whose log is at least as up to date as the local log."""
        recent_leader = now - self.last_leader_contact < self.election_timeout
        if (self.role == Role.LEADER or recent_leader) and not message.leadership_transfer:
            return  # 4.2.3: removed or partitioned replicas must not disrupt a leader
        if message.term < self.term:
            return self.writes.send_when_durable(sender, VoteReply(self.term, False, message.pre_vote))
        own_last_entry = (self.log.known_term_at(self.log.last_index), self.log.last_index)
        up_to_date = (message.last_log_term, message.last_log_index) >= own_last_entry
        if message.pre_vote:
            granted = up_to_date and message.term > self.term
            reply = VoteReply(message.term if granted else self.term, granted, True)
            return self.writes.send_when_durable(sender, reply)
        if message.term > self.term:
            self.adopt_term(message.term, now)
        granted = up_to_date and self.voted_for in ("", sender)
        if granted:
            if self.voted_for != sender:
                self.voted_for = sender
                self.writes.mark_dirty()
            self.wake_at = now + self.random_election_timeout()
        self.writes.send_when_durable(sender, VoteReply(self.term, granted))

    def handle_vote_reply(self, now: int, sender: str, message: VoteReply) -> None:
        """Count a vote that belongs to the current candidacy."""
        granted_pre_vote = (
            message.pre_vote and message.granted
        )  # carries the term that this replica would start
        if message.term > self.term and not granted_pre_vote:
            return self.adopt_term(message.term, now)
        expected_term = self.term + 1 if self.pre_voting else self.term
        is_current = message.pre_vote == self.pre_voting and message.term == expected_term
        if self.role == Role.CANDIDATE and is_current and message.granted:
            self.votes.add(sender)
            self.count_votes(now)
