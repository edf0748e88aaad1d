"""Log replication: the leader sends entries and counts acknowledgements, followers check and store them."""

from __future__ import annotations

from .messages import (
    AppendEntries,
    AppendEntriesReply,
    DataLossDetected,
    Entry,
    InstallSnapshot,
)
from .records import Progress, Role
from .replica_state import ReplicaState

MAX_MESSAGE_BYTES = 65_536  # of entries; a single larger entry is still sent, alone
ENTRY_OVERHEAD_BYTES = 16  # of an encoded entry, in addition to its data
MAX_UNACKED_ENTRIES = 1024  # sent to one follower and not acknowledged yet


class Replication(ReplicaState):
    """The replication part of the protocol: a reply is sent once the state that it reports is durable."""

    def send_entries(self, follower: str, heartbeat: bool = False) -> None:
        """Send a follower the entries that it lacks; with ``heartbeat`` send a message even without any."""
        progress = self.progress[follower]
        compacted = progress.next_index <= self.log.base_index
        if compacted and self.log.term_at(progress.next_index - 1) is None:
            if heartbeat or not progress.probing:
                progress.probing = True
                self.writes.send(follower, InstallSnapshot(self.term, self.snapshot, self.round))
            return
        entries = self._entries_for(progress, heartbeat)
        if not entries and not heartbeat:
            return
        prev_index = progress.next_index - 1
        message = AppendEntries(
            term=self.term,
            prev_log_index=prev_index,
            prev_log_term=self.log.known_term_at(prev_index),
            entries=entries,
            leader_commit=min(self.commit_index, prev_index + len(entries)),
            round=self.round,
        )
        self.writes.send(follower, message)
        if not progress.probing:
            progress.next_index += len(entries)

    def _entries_for(self, progress: Progress, heartbeat: bool) -> tuple[Entry, ...]:
        prev_index = progress.next_index - 1
        if progress.probing and not heartbeat:
            return ()
        if prev_index - progress.match_index >= MAX_UNACKED_ENTRIES:
            return ()
        available = self.log.entries_from(progress.next_index)[: self.max_entries_per_message]
        size = count = 0
        for entry in available:
            size += len(entry.data) + ENTRY_OVERHEAD_BYTES
            if count and size > MAX_MESSAGE_BYTES:
                break
            count += 1
        return tuple(available[:count])

    def handle_append_reply(self, now: int, sender: str, message: AppendEntriesReply) -> None:
        """Record a follower's acknowledgement, or move back to where its log matches the leader's."""
        progress = self.progress.get(sender)
        if self.role != Role.LEADER or progress is None:
            return
        progress.last_reply_at = now
        progress.acked_round = max(progress.acked_round, message.round)
        if message.success:
            if message.match_index > progress.match_index:
                progress.match_index, progress.match_round = message.match_index, self.round
            progress.next_index = max(progress.next_index, progress.match_index + 1)
            progress.probing = False
            self.advance_commit(now)
            self.send_entries(sender)
        elif message.last_log_index < progress.match_index and message.round > progress.match_round:
            # The reply answers a message that was sent after the follower had acknowledged a later entry:
            # the follower's disk has lost that entry.
            self.writes.send(sender, DataLossDetected(self.term))
            del self.progress[sender]
            return
        elif message.match_index < progress.next_index - 1:
            progress.next_index = max(progress.match_index, message.match_index) + 1
            progress.probing = True
            self.send_entries(sender, heartbeat=True)
        self.confirm_reads()

    def advance_commit(self, now: int) -> None:
        """Commit the entries that a majority of voters has on disk, up to one of the current term (3.6.2)."""
        match_indexes = sorted(self._match_index(voter) for voter in self.configuration.voters)
        index = match_indexes[(len(match_indexes) - 1) // 2] if match_indexes else 0
        if index <= self.commit_index or self.log.term_at(index) != self.term:
            return
        self.commit_index = index
        self.replicate_now = True
        if self.reads.deferred:
            self.round += 1
            self.reads.start_deferred(self.round)
        if self.log.configuration_index <= index and self.replica_id not in self.configuration.voters:
            self.become_follower(now, "")  # 4.2.2: a removed leader leads until its removal is committed

    def _match_index(self, voter: str) -> int:
        if voter == self.replica_id:
            return self.durable_index
        return self.progress[voter].match_index if voter in self.progress else 0

    def confirm_reads(self) -> None:
        """Confirm the reads whose round a majority has answered: no other replica led when they began."""
        while self.reads.pending:
            required_round = self.reads.pending[0].round
            confirming = {
                follower
                for follower, progress in self.progress.items()
                if progress.acked_round >= required_round
            }
            if not self.has_majority(confirming | {self.replica_id}):
                return
            self.reads.confirm_oldest()

    def handle_leader_message(self, now: int, sender: str, message: AppendEntries | InstallSnapshot) -> None:
        """Store a leader's entries or snapshot; reject them if the leader's term is over."""
        if message.term < self.term:
            return self._reply(sender, message.round, False, 0)
        if self.role != Role.FOLLOWER or self.leader != sender:
            self.become_follower(now, sender)
        self.last_leader_contact = now
        self.wake_at = now + self.random_election_timeout()
        if isinstance(message, InstallSnapshot):
            self._install_snapshot(sender, message)
        else:
            self._append_entries(sender, message)

    def _append_entries(self, sender: str, message: AppendEntries) -> None:
        if message.prev_log_index < self.log.base_index:
            message = self._without_compacted(message)
        own_term = self.log.term_at(message.prev_log_index)
        if own_term != message.prev_log_term:
            hint = self._probe_hint(message.prev_log_index, own_term)
            return self._reply(sender, message.round, False, hint)
        for index, entry in enumerate(message.entries, message.prev_log_index + 1):
            if self.log.term_at(index) != entry.term:
                if index <= self.log.last_index:
                    self.truncate(index)
                self.append(*message.entries[index - message.prev_log_index - 1 :])
                break
        match_index = message.prev_log_index + len(message.entries)
        self.commit_index = max(self.commit_index, min(message.leader_commit, match_index))
        self._reply(sender, message.round, True, match_index)

    def _without_compacted(self, message: AppendEntries) -> AppendEntries:
        """Return the message without entries that the local snapshot covers, which are committed already."""
        return AppendEntries(
            term=message.term,
            prev_log_index=self.log.base_index,
            prev_log_term=self.log.base_term,
            entries=message.entries[self.log.base_index - message.prev_log_index :],
            leader_commit=message.leader_commit,
            round=message.round,
        )

    def _probe_hint(self, prev_index: int, own_term: int | None) -> int:
        """Return the index that the leader should probe next: before all entries of the conflicting term."""
        hint = min(prev_index - 1, self.log.last_index)
        if own_term is not None:
            while hint > self.commit_index and self.log.term_at(hint) == own_term:
                hint -= 1
        return hint

    def _install_snapshot(self, sender: str, message: InstallSnapshot) -> None:
        snapshot = message.snapshot
        if snapshot.index > self.commit_index:
            self.log.install(snapshot)
            self.snapshot = self.writes.snapshot = self.restore = snapshot
            self.commit_index = self.applied_index = snapshot.index
            self.durable_index = max(snapshot.index, min(self.durable_index, self.log.last_index))
            self.writes.mark_dirty(self.log.base_index + 1)
        self._reply(sender, message.round, True, max(snapshot.index, 0))

    def _reply(self, receiver: str, round_number: int, success: bool, match_index: int) -> None:
        reply = AppendEntriesReply(self.term, success, match_index, round_number, self.log.last_index)
        self.writes.send_when_durable(receiver, reply)
