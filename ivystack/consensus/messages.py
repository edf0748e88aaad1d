"""Messages and records of the consensus protocol, and their encoding.

The types carry the names of the Raft paper. On the wire and on disk each one is a MessagePack array without
field names; messages are told apart by the one-letter ``tag``. Tags and the order of fields are the protocol:
they may not change without a new :data:`FORMAT_VERSION`.
"""

from __future__ import annotations

from enum import StrEnum
from typing import Any

import msgspec
from msgspec import Struct

FORMAT_VERSION = 1  # of messages and stored records


class EntryKind(StrEnum):
    """What a log entry is for; the values are the stored letters."""

    DATA = "d"  # a command for the state machine
    CONFIGURATION = "c"  # an encoded Configuration
    NO_OP = "n"  # appended by each new leader


class Configuration(Struct, array_like=True, frozen=True):
    """Replica ids of the group: voters count for majorities, learners only receive the log."""

    voters: tuple[str, ...] = ()
    learners: tuple[str, ...] = ()

    def all_members(self) -> tuple[str, ...]:
        """Voters, then learners."""
        return self.voters + self.learners


class Entry(Struct, array_like=True, frozen=True):
    """A log entry.

    ``kind`` is the value of an :class:`EntryKind`. It is not validated on decoding: a kind of a newer version
    must not make the stored log look corrupt.
    """

    term: int
    kind: str
    data: bytes = b""


class Snapshot(Struct, array_like=True, frozen=True):
    """The state machine after the entry at ``index``, with that entry's term and the configuration in use."""

    index: int
    term: int
    configuration: Configuration
    data: bytes = b""


class RequestVote(Struct, array_like=True, tag="v", frozen=True):
    """Ask for a vote.

    With ``pre_vote`` the receiver only says whether it would vote (thesis, section 9.6).
    ``leadership_transfer`` marks a candidacy that the present leader asked for.
    """

    term: int
    last_log_index: int
    last_log_term: int
    pre_vote: bool = False
    leadership_transfer: bool = False


class VoteReply(Struct, array_like=True, tag="V", frozen=True):
    """Answer to :class:`RequestVote`."""

    term: int
    granted: bool
    pre_vote: bool = False


class AppendEntries(Struct, array_like=True, tag="a", frozen=True):
    """Entries that follow ``prev_log_index``; without entries a heartbeat.

    ``round`` is the leader's heartbeat round, echoed by the reply: it confirms leadership for reads.
    """

    term: int
    prev_log_index: int
    prev_log_term: int
    entries: tuple[Entry, ...]
    leader_commit: int
    round: int


class AppendEntriesReply(Struct, array_like=True, tag="A", frozen=True):
    """Answer to :class:`AppendEntries` and :class:`InstallSnapshot`.

    ``match_index`` is the last index up to which the logs agree; without ``success`` it is a hint where the
    leader should probe next. ``last_log_index`` is the follower's last entry.
    """

    term: int
    success: bool
    match_index: int
    round: int
    last_log_index: int


class InstallSnapshot(Struct, array_like=True, tag="s", frozen=True):
    """A snapshot for a follower whose next entry the leader has compacted away."""

    term: int
    snapshot: Snapshot
    round: int


class TimeoutNow(Struct, array_like=True, tag="h", frozen=True):
    """Leadership transfer: the receiver is to start an election at once."""

    term: int


class DataLossDetected(Struct, array_like=True, tag="o", frozen=True):
    """The receiver has lost entries that it had acknowledged: it must not vote under this id any more."""

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
