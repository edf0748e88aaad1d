"""What the stand-ins received and executed, in order.

The checkers of the rig read this record after a run. This module only holds the record: it judges nothing and
drops nothing.
"""

from __future__ import annotations

from dataclasses import dataclass, field

DRAINING, DELETED, SERVING = "DRAINING", "DELETED", "SERVING"


@dataclass(slots=True)
class ReceivedCommand:
    """A complete command that a cache server received. Times are whole microseconds of the rig's clock."""

    at: int
    node: str
    proxy: str
    ident: bytes
    request_class: str
    write: bool
    cold: bool  # received within the server's warm-up time after its start
    busy: bool = False  # rejected, and therefore not executed


@dataclass(slots=True)
class Effect:
    """A write that the origin executed, or dropped as a repeat."""

    at: int
    node: str
    ident: bytes
    key: bytes
    idempotency_key: bytes
    request_class: str


@dataclass(slots=True)
class StateUpdate:
    """The state of a cache server, as discovery wrote it to the watch of a proxy."""

    at: int
    proxy: str
    node: str
    state: str


@dataclass(slots=True)
class ListChange:
    """A new state of a cache server, as discovery has it."""

    at: int
    node: str
    state: str


@dataclass
class Ledger:
    """Everything that the stand-ins of one run recorded."""

    commands: list[ReceivedCommand] = field(default_factory=list)
    effects: list[Effect] = field(default_factory=list)
    dropped_repeats: list[Effect] = field(default_factory=list)  # recognized by their idempotency key
    state_updates: list[StateUpdate] = field(default_factory=list)
    list_changes: list[ListChange] = field(default_factory=list)
    silenced_watches: list[tuple[int, str]] = field(default_factory=list)  # when, and the proxy's name
    discovery_requests: dict[str, int] = field(default_factory=dict)  # number by proxy
    watch_updates: dict[str, int] = field(default_factory=dict)  # number of lines with a list, by proxy
    origin_requests: int = 0  # that the origin started
