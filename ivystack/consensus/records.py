"""Records that the Raft core exchanges with its caller, and the roles of a replica."""

from __future__ import annotations

from dataclasses import dataclass, field
from enum import StrEnum

from .messages import Entry, Message, Snapshot


class Role(StrEnum):
    """The role of a replica in its current term; the values appear in the status for operators."""

    FOLLOWER = "follower"
    CANDIDATE = "candidate"
    LEADER = "leader"


@dataclass
class WriteBatch:
    """Changes that must be written atomically and made durable.

    ``entries`` replace all stored entries from ``first_index`` on; entries before ``retained_from`` are
    deleted. ``snapshot`` covers all entries up to its index.
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
    """Index and term of a proposed entry, which is committed once this index is committed in this term."""

    index: int
    term: int


@dataclass
class Ready:
    """Work for the caller, to be done in this order.

    Load ``restore`` into the state machine, write ``batch``, send ``messages``, apply ``committed``, then
    answer the reads in ``confirmed_reads``. Clients must retry the reads in ``failed_reads`` elsewhere. A
    ``withdrawn`` replica must not take part in the group any more.
    """

    batch: WriteBatch | None = None
    messages: list[tuple[str, Message]] = field(default_factory=list)  # with the receiver's id
    restore: Snapshot | None = None
    committed: list[tuple[int, Entry]] = field(default_factory=list)  # with the index
    confirmed_reads: list[int] = field(default_factory=list)  # read ids
    failed_reads: list[int] = field(default_factory=list)  # read ids
    withdrawn: bool = False

    def is_empty(self) -> bool:
        """Return whether there is no batch, message, committed entry or read."""
        return not (
            self.batch or self.messages or self.committed or self.confirmed_reads or self.failed_reads
        )


@dataclass
class Progress:
    """A leader's view of one follower; times are in microseconds."""

    next_index: int
    match_index: int = 0
    last_reply_at: int = 0
    acked_round: int = 0  # the latest heartbeat round that the follower has answered
    match_round: int = 0  # the leader's round when `match_index` last increased
    probing: bool = True  # send one message at a time until the follower accepts one
    sent_commit: int = -1  # the commit index that was last sent to the follower
