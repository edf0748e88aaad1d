"""Raft without I/O: the protocol state of one replica of a consensus group.

The caller passes in the time and a random source, delivers messages, and executes the work that
:meth:`Core.take_ready` returns. A message is released only after the state that it reports is durable. An
entry is committed only after a majority of the voters has stored it on disk.
"""

from __future__ import annotations

from .election import Election
from .messages import (
    AppendEntries,
    AppendEntriesReply,
    Configuration,
    DataLossDetected,
    Entry,
    EntryKind,
    InstallSnapshot,
    Message,
    RequestVote,
    Snapshot,
    TimeoutNow,
    VoteReply,
    encode,
)
from .records import Proposal, Ready, Role

MAX_UNCOMMITTED_ENTRIES = 8192  # bounds the memory of a leader without a majority
RETAINED_ENTRIES = 128  # log entries before a snapshot; followers only that far behind need no snapshot
TRANSFER_ELECTION_TIMEOUTS = 2  # a leadership transfer fails after this many election timeouts
QUORUM_ELECTION_TIMEOUTS = 2  # a leader without replies of a majority steps down after this many


class Core(Election):
    """The Raft state of one replica.

    After each call of another method the caller calls :meth:`take_ready` until its result is empty.
    """

    def tick(self, now: int) -> None:
        """Run the timers that are due at ``now``.

        The caller calls this method at ``wake_at``, which every other call may change.
        """
        if self.withdrawn or now < self.wake_at:
            return
        if self.role == Role.LEADER:
            self._heartbeat(now)
            return
        self.wake_at = now + self.random_election_timeout()
        if self.replica_id in self.configuration.voters:
            self.campaign(now, pre_vote=True)
        else:
            # This replica may have been removed while it was down, so that no leader contacts it any more.
            self.leader = ""

    def _heartbeat(self, now: int) -> None:
        self.wake_at = now + self.heartbeat_interval
        timeout = QUORUM_ELECTION_TIMEOUTS * self.election_timeout
        reachable = {
            follower for follower, progress in self.progress.items() if now - progress.last_reply_at < timeout
        }
        if not self.has_majority(reachable | {self.replica_id}):
            # Section 6.2 of the thesis: clients of a leader without a majority would wait.
            return self.become_follower(now, "")
        if self.transfer_deadline and now > self.transfer_deadline:
            self.transfer_deadline = 0
        self.round += 1
        for follower in self.progress:
            self.send_entries(follower, heartbeat=True)

    def receive(self, now: int, sender: str, message: Message) -> None:
        """Handle a message from another replica."""
        if self.withdrawn:
            return
        if isinstance(message, RequestVote):
            return self.handle_request_vote(now, sender, message)
        if isinstance(message, VoteReply):
            return self.handle_vote_reply(now, sender, message)
        if message.term > self.term:
            self.adopt_term(message.term, now)
        if isinstance(message, AppendEntries | InstallSnapshot):
            return self.handle_leader_message(now, sender, message)
        if message.term < self.term:
            return
        if isinstance(message, AppendEntriesReply):
            self.handle_append_reply(now, sender, message)
        elif isinstance(message, TimeoutNow):
            self._handle_timeout_now(now)
        elif isinstance(message, DataLossDetected) and sender == self.leader:
            self.withdrawn = True

    def _handle_timeout_now(self, now: int) -> None:
        if self.replica_id in self.configuration.voters and self.role != Role.LEADER:
            self.campaign(now, pre_vote=False, leadership_transfer=True)

    def propose(self, data: bytes, kind: EntryKind = EntryKind.DATA) -> Proposal | None:
        """Append an entry to the log as leader.

        :returns: the entry's index and term. None if this replica does not lead, is transferring leadership
            or has withdrawn, or if the entry is data and too many entries are uncommitted.
        """
        if self.role != Role.LEADER or self.transfer_deadline or self.withdrawn:
            return None
        uncommitted = self.log.last_index - self.commit_index
        if uncommitted >= MAX_UNCOMMITTED_ENTRIES and kind == EntryKind.DATA:
            return None
        self.append(Entry(self.term, kind, data))
        self.replicate_now = True
        return Proposal(self.log.last_index, self.term)

    def may_change_membership(self) -> bool:
        """Return whether this replica may propose a membership change.

        It must lead and not be transferring leadership. The previous change must be committed, and so must
        an entry of the leader's own term; the latter is the correction that Ongaro published in 2015.
        """
        own_term_committed = self.log.term_at(self.commit_index) == self.term
        settled = self.log.configuration_index <= self.commit_index and own_term_committed
        return self.role == Role.LEADER and settled and not self.transfer_deadline

    def change_membership(self, configuration: Configuration, now: int) -> bool:
        """Propose a configuration that differs by at most one voter; return whether it was proposed."""
        changed_voters = {*configuration.voters} ^ {*self.configuration.voters}
        if not self.may_change_membership() or len(changed_voters) > 1 or not configuration.voters:
            return False
        self.propose(encode(configuration), EntryKind.CONFIGURATION)
        self.update_progress(now)
        return True

    def read(self, read_id: int) -> bool:
        """Begin a linearizable read (section 6.4 of the thesis).

        :param read_id: returned later in ``Ready.confirmed_reads`` or ``Ready.failed_reads``.
        :returns: False if this replica does not lead; the read is not begun then.
        """
        if self.role != Role.LEADER:
            return False
        if self.log.term_at(self.commit_index) != self.term:
            self.reads.defer(read_id)
        else:
            self.round += 1
            self.reads.add(self.round, read_id)
            self.replicate_now = True
        return True

    def transfer_leadership(self, now: int) -> bool:
        """Ask the most up-to-date voter to start an election at once.

        While the transfer is in progress, :meth:`propose` accepts no entry.

        :returns: whether a voter was asked. No voter is asked unless it holds the whole log.
        """
        candidates = [voter for voter in self.configuration.voters if voter in self.progress]
        if self.role != Role.LEADER or not candidates:
            return False
        target = max(candidates, key=lambda voter: self.progress[voter].match_index)
        if self.progress[target].match_index < self.log.last_index:
            return False
        self.transfer_deadline = now + TRANSFER_ELECTION_TIMEOUTS * self.election_timeout
        self.writes.send(target, TimeoutNow(self.term))
        return True

    def compact(self, index: int, data: bytes) -> None:
        """Store a snapshot and remove most of the log entries that it covers.

        :param index: index of the last entry that was applied to the state.
        :param data: the state machine's encoded state after that entry.
        """
        configuration = self.log.configuration_at(index)
        self.snapshot = Snapshot(index, self.log.known_term_at(index), configuration, data)
        self.writes.snapshot = self.snapshot
        self.log.compact(max(self.log.base_index, index - RETAINED_ENTRIES))
        self.writes.mark_dirty()

    def handle_written(self, number: int, now: int) -> None:
        """Record that write batch ``number`` is durable."""
        durable_index = self.writes.complete(number, self.log.last_index)
        if durable_index is None:
            return
        self.durable_index = max(self.durable_index, durable_index)
        if self.role == Role.LEADER:
            self.advance_commit(now)
        elif self.role == Role.CANDIDATE:
            self.count_votes(now)

    def take_ready(self, now: int) -> Ready:
        """Return the work that is due; each item is returned once."""
        ready = Ready(withdrawn=self.withdrawn)
        if self.withdrawn:
            self.writes.discard_messages()
            return ready
        if self.role == Role.LEADER and self.replicate_now:
            self._replicate()
        ready.batch = self.writes.take_batch(self.log, self.term, self.voted_for)
        if self.role == Role.LEADER:
            self.confirm_reads()
        ready.messages = self.writes.take_messages()
        ready.restore, self.restore = self.restore, None
        while self.applied_index < self.commit_index:
            self.applied_index += 1
            ready.committed.append((self.applied_index, self.log.entry_at(self.applied_index)))
        ready.confirmed_reads = self.reads.take_confirmed()
        ready.failed_reads = self.reads.take_failed()
        return ready

    def _replicate(self) -> None:
        self.replicate_now = False
        for follower, progress in self.progress.items():
            heartbeat_due = bool(self.reads.pending) or progress.sent_commit != self.commit_index
            self.send_entries(follower, heartbeat=heartbeat_due)
            progress.sent_commit = self.commit_index
