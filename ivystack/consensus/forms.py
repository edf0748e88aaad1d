"""What members of the consensus group keep and say to each other.

Owns these forms and their version.  It must never decide anything.
"""

from __future__ import annotations

from typing import Any

import msgspec
from msgspec import Struct

VERSION = 1  # of messages and stored records

# Kinds of entries.
DATA, CONFIG, NOTHING = "d", "c", "n"


class Config(Struct, array_like=True, frozen=True):
    """Who agrees: ids of voters, and of learners, which are told all and count for nothing."""

    voters: tuple[str, ...] = ()
    learners: tuple[str, ...] = ()

    def everybody(self) -> tuple[str, ...]:
        return self.voters + self.learners


class Entry(Struct, array_like=True, frozen=True):
    term: int
    kind: str
    data: bytes = b""


class Snapshot(Struct, array_like=True, frozen=True):
    """The agreed state after the entry at `index`."""

    index: int
    term: int
    config: Config
    data: bytes = b""


class Ask(Struct, array_like=True, tag="v", frozen=True):
    """Asks for a vote; `pre`: whether there would be one; `handed`: the leader wants it so."""

    term: int
    index: int
    last: int  # the last entry's term
    pre: bool = False
    handed: bool = False


class Vote(Struct, array_like=True, tag="V", frozen=True):
    term: int
    yes: bool
    pre: bool = False


class Append(Struct, array_like=True, tag="a", frozen=True):
    term: int
    index: int  # of the entry before these
    last: int  # that one's term
    entries: tuple[Entry, ...]
    commit: int
    round: int


class Appended(Struct, array_like=True, tag="A", frozen=True):
    """`index`: up to there our logs are alike; where not `yes`, where the leader may look next."""

    term: int
    yes: bool
    index: int
    round: int
    last: int  # the follower's last entry


class Install(Struct, array_like=True, tag="s", frozen=True):
    term: int
    snapshot: Snapshot
    round: int


class Hand(Struct, array_like=True, tag="h", frozen=True):
    """The leader asks the receiver to be elected now."""

    term: int


class Older(Struct, array_like=True, tag="o", frozen=True):
    """The receiver has lost what it had acknowledged: it must not vote under this id any more."""

    term: int


Message = Ask | Vote | Append | Appended | Install | Hand | Older


def packed(what: Any) -> bytes:
    return msgspec.msgpack.encode(what)


config_of = msgspec.msgpack.Decoder(Config).decode
