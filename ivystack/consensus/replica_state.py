"""State that elections and replication share, and the steps that both take.

Source of the protocol: D. Ongaro, "Consensus: bridging theory and practice" (2014), cited by section, and his
correction of 2015 on membership changes.
"""

from __future__ import annotations

from collections.abc import Collection
from random import Random

from .log import RaftLog
from .messages import Configuration, Entry, Snapshot
from .read_queue import ReadQueue
from .records import Progress, Role
from .write_tracker import WriteTracker

MAX_ENTRIES_PER_MESSAGE = 256  # bounds what one message costs its sender and receiver


class ReplicaState:
    """Term, vote, role, log and commit index of one replica; times are microseconds."""

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
        """Begin as a follower with what was on disk; ``entries`` follow the snapshot."""
        self.replica_id, self.rng = replica_id, rng
        self.heartbeat_interval, self.election_timeout = heartbeat_interval, election_timeout
        self.term, self.voted_for, self.snapshot = term, voted_for, snapshot
        self.log = RaftLog(snapshot, entries)
        self.commit_index = self.applied_index = snapshot.index
        self.durable_index = self.log.last_index
        self.writes = WriteTracker()
        self.reads = ReadQueue()
        self.role, self.leader = Role.FOLLOWER, ""
        self.last_leader_contact = now - election_timeout  # a start blocks no candidate
        self.wake_at = now + self.random_election_timeout()
        self.votes: set[str] = set()
        self.pre_voting = False
        self.progress: dict[str, Progress] = {}  # of followers by id, while this replica leads
        self.round = 0  # of heartbeats
        self.transfer_deadline = 0  # until then a leadership transfer is under way; 0: none is
        self.restore: Snapshot | None = None  # for the caller's state machine
        self.replicate_now = False  # followers are to be sent what is new
        self.withdrawn = False
        self.max_entries_per_message = MAX_ENTRIES_PER_MESSAGE

    @property
    def configuration(self) -> Configuration:
        """The configuration in use."""
        return self.log.configuration

    def has_majority(self, ids: Collection[str], voters: tuple[str, ...] | None = None) -> bool:
        """Whether ``ids`` hold a majority of the voters (by default the present ones)."""
        voters = self.configuration.voters if voters is None else voters
        return 2 * sum(voter in ids for voter in voters) > len(voters)

    def random_election_timeout(self) -> int:
        """Draw a timeout between once and twice the configured one, so that candidates rarely tie."""
        return self.election_timeout + self.rng.randrange(self.election_timeout)

    def append(self, *entries: Entry) -> None:
        """Append entries to the log."""
        first = self.log.last_index + 1
        self.log.append(entries)
        self.writes.mark_dirty(first)

    def truncate(self, index: int) -> None:
        """Remove the entries from ``index`` on, which conflict with the leader's."""
        self.log.truncate(index, self.commit_index)
        self.durable_index = min(self.durable_index, index - 1)
        self.writes.mark_dirty(index)

    def become_follower(self, now: int, leader: str) -> None:
        """Follow ``leader``, or nobody known where it is empty."""
        if self.role == Role.LEADER:
            self.reads.fail_all()
            self.transfer_deadline = 0
        self.role, self.leader = Role.FOLLOWER, leader
        self.wake_at = now + self.random_election_timeout()

    def adopt_term(self, term: int, now: int) -> None:
        """Enter a higher term that another replica has shown us."""
        self.term, self.voted_for = term, ""
        self.writes.mark_dirty()
        self.become_follower(now, "")
