"""Raft without I/O: one replica's part in a consensus group.

The caller passes the clock and a random source in, carries messages, and carries out what
:meth:`Core.take_ready` returns. No message leaves before what it promises is durable, and nothing counts as
committed that a majority of the voters does not hold on disk.
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

MAX_UNCOMMITTED_ENTRIES = 8192  # bounds the memory of a leader that is cut off
RETAINED_ENTRIES = 128  # before a snapshot, for followers that are a little behind
TRANSFER_ELECTION_TIMEOUTS = 2  # until a leadership transfer counts as failed
QUORUM_ELECTION_TIMEOUTS = 2  # without a majority until a leader steps down


class Core(Election):
    """One replica. After each call the caller takes :meth:`take_ready` until it is empty."""

    def tick(self, now: int) -> None:
        """Let time pass; to be called at ``wake_at``, which each call may change."""
        if self.withdrawn or now < self.wake_at:
            return
        if self.role == Role.LEADER:
            self._heartbeat(now)
            return
        self.wake_at = now + self.random_election_timeout()
        if self.replica_id in self.configuration.voters:
            self.campaign(now, pre_vote=True)
        else:
            self.leader = ""  # it may have been removed while it was away, and hears nothing more

    def _heartbeat(self, now: int) -> None:
        self.wake_at = now + self.heartbeat_interval
        timeout = QUORUM_ELECTION_TIMEOUTS * self.election_timeout
        reachable = {
            follower for follower, progress in self.progress.items() if now - progress.last_reply_at < timeout
        }
        if not self.has_majority(reachable | {self.replica_id}):
            return self.become_follower(now, "")  # 6.2: a leader cut off would keep clients waiting
        if self.transfer_deadline and now > self.transfer_deadline:
            self.transfer_deadline = 0
        self.round += 1
        for follower in self.progress:
            self.send_entries(follower, heartbeat=True)

    def receive(self, now: int, sender: str, message: Message) -> None:
        """Handle a message of another replica."""
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
        """Append an entry as leader.

        :returns: its place; None where this replica does not lead or too much is uncommitted.
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
        """Whether a change may begin: one at a time, after an entry of our own term is committed.

        The second condition is the correction of 2015.
        """
        own_term_committed = self.log.term_at(self.commit_index) == self.term
        settled = self.log.configuration_index <= self.commit_index and own_term_committed
        return self.role == Role.LEADER and settled and not self.transfer_deadline

    def change_membership(self, configuration: Configuration, now: int) -> bool:
        """Propose a configuration that differs by one voter at most; whether that was possible."""
        changed_voters = {*configuration.voters} ^ {*self.configuration.voters}
        if not self.may_change_membership() or len(changed_voters) > 1 or not configuration.voters:
            return False
        self.propose(encode(configuration), EntryKind.CONFIGURATION)
        self.update_progress(now)
        return True

    def read(self, read_id: int) -> bool:
        """Begin a linearizable read (6.4); whether this replica leads.

        The id comes back in ``Ready.confirmed_reads`` or in ``Ready.failed_reads``.
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
        """Ask the most complete follower to be elected at once; no entry is taken meanwhile.

        :returns: whether a follower was asked: not unless one holds the whole log.
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
        """Take the caller's state after the applied entry at ``index``, and drop most entries before it."""
        configuration = self.log.configuration_at(index)
        self.snapshot = Snapshot(index, self.log.known_term_at(index), configuration, data)
        self.writes.snapshot = self.snapshot
        self.log.compact(max(self.log.base_index, index - RETAINED_ENTRIES))
        self.writes.mark_dirty()

    def handle_written(self, number: int, now: int) -> None:
        """Note that the batch of that number is durable."""
        durable_index = self.writes.complete(number, self.log.last_index)
        if durable_index is None:
            return
        self.durable_index = max(self.durable_index, durable_index)
        if self.role == Role.LEADER:
            self.advance_commit(now)
        elif self.role == Role.CANDIDATE:
            self.count_votes(now)

    def take_ready(self, now: int) -> Ready:
        """Return what there is to be done now, once."""
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
            news = bool(self.reads.pending) or progress.sent_commit != self.commit_index
            self.send_entries(follower, heartbeat=news)
            progress.sent_commit = self.commit_index
