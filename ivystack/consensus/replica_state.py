"""State and steps that leader election and log replication share.

The protocol follows D. Ongaro's thesis, "Consensus: bridging theory and practice" (2014), with his correction
of 2015 on membership changes. Numbers such as 6.4 in comments are sections of the thesis.
"""

from __future__ import annotations

from collections.abc import Collection
from random import Random

from .log import RaftLog
from .messages import Configuration, Entry, Snapshot
from .read_queue import ReadQueue
from .records import Progress, Role
from .write_tracker import WriteTracker

MAX_ENTRIES_PER_MESSAGE = 256  # bounds the time that sender and receiver spend on one message


class ReplicaState:
    """Term, vote, role, log and commit index of one replica; times are in microseconds."""

    def __init__(
        self,
        replica_id: str,
        now: int,
        rng: Random,
        heartbeat_interval: int,
        election_timeout: int,
        *,
        term: int = 0,
        voted_for: str = "",
        snapshot: Snapshot,
        entries: list[Entry],
    ) -> None:
        """Start as a follower with the stored state; ``entries`` are the log entries after the snapshot."""
        self.replica_id, self.rng = replica_id, rng
        self.heartbeat_interval, self.election_timeout = heartbeat_interval, election_timeout
        self.term, self.voted_for, self.snapshot = term, voted_for, snapshot
        self.log = RaftLog(snapshot, entries)
        self.commit_index = self.applied_index = snapshot.index
        self.durable_index = self.log.last_index
        self.writes = WriteTracker()
        self.reads = ReadQueue()
        self.role, self.leader = Role.FOLLOWER, ""
        self.last_leader_contact = now - election_timeout  # lets this replica vote right after its start
        self.wake_at = now + self.random_election_timeout()
        self.votes: set[str] = set()
        self.pre_voting = False
        self.progress: dict[str, Progress] = {}  # by follower id; used while this replica leads
        self.round = 0  # number of the latest heartbeat round
        self.transfer_deadline = 0  # end of the current leadership transfer; 0: none is in progress
        self.restore: Snapshot | None = None  # snapshot that the caller has to load into its state machine
        self.replicate_now = False  # new entries are to be sent to the followers
        self.withdrawn = False
        self.max_entries_per_message = MAX_ENTRIES_PER_MESSAGE

    @property
    def configuration(self) -> Configuration:
        """The configuration in use."""
        return self.log.configuration

    def has_majority(self, ids: Collection[str], voters: tuple[str, ...] | None = None) -> bool:
        """Return whether ``ids`` contain a majority of ``voters`` (default: the current voters)."""
        voters = self.configuration.voters if voters is None else voters
        return 2 * sum(voter in ids for voter in voters) > len(voters)

    def random_election_timeout(self) -> int:
        """Draw a timeout of one to two election timeouts, so that candidates rarely split the vote."""
        return self.election_timeout + self.rng.randrange(self.election_timeout)

    def append(self, *entries: Entry) -> None:
        """Append entries to the log and mark them as unsaved."""
        first = self.log.last_index + 1
        self.log.append(entries)
        self.writes.mark_dirty(first)

    def truncate(self, index: int) -> None:
        """Remove the entries from ``index`` on because they conflict with the leader's log."""
        self.log.truncate(index, self.commit_index)
        self.durable_index = min(self.durable_index, index - 1)
        self.writes.mark_dirty(index)

    def become_follower(self, now: int, leader: str) -> None:
        """Become a follower of ``leader``; an empty string means that the leader is unknown."""
        if self.role == Role.LEADER:
            self.reads.fail_all()
            self.transfer_deadline = 0
        self.role, self.leader = Role.FOLLOWER, leader
        self.wake_at = now + self.random_election_timeout()

    def adopt_term(self, term: int, now: int) -> None:
        """Enter a higher term that was seen in a message, as a follower without a known leader."""
        self.term, self.voted_for = term, ""
        self.writes.mark_dirty()
        self.become_follower(now, "")
