"""Messages and records of the consensus protocol, and their encoding.

The types have the names of the Raft paper. On the wire and on disk each value is a MessagePack array without
field names; a one-letter ``tag`` identifies the type of a message. Tags and the order of fields are part of
the format and must not change without a new :data:`FORMAT_VERSION`.
"""

from __future__ import annotations

from enum import StrEnum
from typing import Any

import msgspec
from msgspec import Struct

FORMAT_VERSION = 1  # version of the messages and stored records


class EntryKind(StrEnum):
    """The kind of a log entry; the values are stored in the log."""

    DATA = "d"  # a command for the state machine
    CONFIGURATION = "c"  # an encoded Configuration
    NO_OP = "n"  # appended by each new leader


class Configuration(Struct, array_like=True, frozen=True):
    """Replica ids of the group: voters count for majorities, learners only receive the log."""

    voters: tuple[str, ...] = ()
    learners: tuple[str, ...] = ()

    def all_members(self) -> tuple[str, ...]:
        """Return the voters, then the learners."""
        return self.voters + self.learners


class Entry(Struct, array_like=True, frozen=True):
    """A log entry.

    ``kind`` is the value of an :class:`EntryKind`. Decoding does not validate ``kind``, because a kind that a
    newer version has written must not make the stored log look corrupt.
    """

    term: int
    kind: str
    data: bytes = b""


class Snapshot(Struct, array_like=True, frozen=True):
    """The state machine after the entry at ``index``, the term of that entry and the configuration in use."""

    index: int
    term: int
    configuration: Configuration
    data: bytes = b""


class RequestVote(Struct, array_like=True, tag="v", frozen=True):
    """A candidate's request for a vote.

    With ``pre_vote`` the receiver replies whether it would grant its vote, without granting it (thesis,
    section 9.6). ``leadership_transfer`` marks a candidacy that the current leader has requested.
    """

    term: int
    last_log_index: int
    last_log_term: int
    pre_vote: bool = False
    leadership_transfer: bool = False


class VoteReply(Struct, array_like=True, tag="V", frozen=True):
    """Reply to :class:`RequestVote`."""

    term: int
    granted: bool
    pre_vote: bool = False


class AppendEntries(Struct, array_like=True, tag="a", frozen=True):
    """Log entries that follow ``prev_log_index``; a message without entries is a heartbeat.

    ``round`` is the leader's heartbeat round. The reply repeats it, which confirms leadership for reads.
    """

    term: int
    prev_log_index: int
    prev_log_term: int
    entries: tuple[Entry, ...]
    leader_commit: int
    round: int


class AppendEntriesReply(Struct, array_like=True, tag="A", frozen=True):
    """Reply to :class:`AppendEntries` and :class:`InstallSnapshot`.

    ``match_index`` is the last index up to which both logs are equal. Without ``success`` it is a hint: the
    index that the leader should probe next. ``last_log_index`` is the index of the follower's last entry.
    """

    term: int
    success: bool
    match_index: int
    round: int
    last_log_index: int


class InstallSnapshot(Struct, array_like=True, tag="s", frozen=True):
    """A snapshot for a follower whose next entry the leader has already compacted."""

    term: int
    snapshot: Snapshot
    round: int


class TimeoutNow(Struct, array_like=True, tag="h", frozen=True):
    """Leadership transfer: asks the receiver to start an election at once."""

    term: int


class DataLossDetected(Struct, array_like=True, tag="o", frozen=True):
    """Tells the receiver that it has lost acknowledged entries and must no longer vote under its id."""

    term: int


Message = (
    RequestVote
    | VoteReply
    | AppendEntries
    | AppendEntriesReply
    | InstallSnapshot
    | TimeoutNow
    | DataLossDetected
)


def encode(value: Any) -> bytes:
    """Encode a message, a record or a plain value as MessagePack."""
    return msgspec.msgpack.encode(value)


decode_configuration = msgspec.msgpack.Decoder(Configuration).decode
