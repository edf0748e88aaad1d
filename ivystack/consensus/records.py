"""Records that the consensus core exchanges with its caller, and a replica's roles."""

from __future__ import annotations

from dataclasses import dataclass, field
from enum import StrEnum

from .messages import Entry, Message, Snapshot


class Role(StrEnum):
    """What a replica is in its present term; the values appear in the operators' status."""

    FOLLOWER = "follower"
    CANDIDATE = "candidate"
    LEADER = "leader"


@dataclass
class WriteBatch:
    """What has to be durable, written atomically.

    ``entries`` replace all stored entries from ``first_index`` on; entries before ``retained_from`` are
    deleted. A ``snapshot`` stands for all entries up to its own index.
    """

    number: int
    term: int
    voted_for: str
    first_index: int
    entries: list[Entry]
    snapshot: Snapshot | None = None
    retained_from: int = 1


@dataclass(frozen=True)
class Proposal:
    """Where the leader has put a proposed entry: it is committed if that index is, in that term."""

    index: int
    term: int


@dataclass
class Ready:
    """What the caller has to do next, in this order.

    Restore the state machine from ``restore``, write ``batch``, send ``messages``, apply ``committed``, then
    answer the reads of ``confirmed_reads``. ``failed_reads`` must be asked again elsewhere. Where it is
    ``withdrawn``, this replica may not take part any more.
    """

    batch: WriteBatch | None = None
    messages: list[tuple[str, Message]] = field(default_factory=list)  # by receiver's id
    restore: Snapshot | None = None
    committed: list[tuple[int, Entry]] = field(default_factory=list)  # by index
    confirmed_reads: list[int] = field(default_factory=list)  # read ids
    failed_reads: list[int] = field(default_factory=list)  # read ids
    withdrawn: bool = False

    def is_empty(self) -> bool:
        """Whether nothing is left to be done."""
        return not (
            self.batch or self.messages or self.committed or self.confirmed_reads or self.failed_reads
        )


@dataclass
class Progress:
    """A leader's view of one follower; times in microseconds."""

    next_index: int
    match_index: int = 0
    last_reply_at: int = 0
    acked_round: int = 0  # the latest heartbeat round that it has answered
    match_round: int = 0  # our round when `match_index` rose last
    probing: bool = True  # one message at a time until it answers
    sent_commit: int = -1  # the commit index that it was last sent
