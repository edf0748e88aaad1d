"""What stand-ins saw and carried out, in order.

Owns the record that checkers read after a run.  It must never judge, or forget a part of it.
"""

from __future__ import annotations

from dataclasses import dataclass, field

DRAINING, DELETED, SERVING = "DRAINING", "DELETED", "SERVING"


@dataclass(slots=True)
class ReceivedCommand:
    """A command that came whole to a node.  Times are whole microseconds of the rig's clock."""

    at: int
    node: str
    proxy: str
    ident: bytes
    request_class: str
    write: bool
    cold: bool  # the node had started less than its warm-up ago
    busy: bool = False  # turned away: it never ran


@dataclass(slots=True)
class Effect:
    """A write that was carried out."""

    at: int
    node: str
    ident: bytes
    key: bytes
    idempotency_key: bytes
    request_class: str


@dataclass(slots=True)
class StateUpdate:
    """Discovery wrote to that proxy's watch what state a node is in."""

    at: int
    proxy: str
    node: str
    state: str


@dataclass
class Ledger:
    commands: list[ReceivedCommand] = field(default_factory=list)
    effects: list[Effect] = field(default_factory=list)
    dropped_repeats: list[Effect] = field(default_factory=list)  # repeats that were recognized by their mark
    state_updates: list[StateUpdate] = field(default_factory=list)
    discovery_requests: dict[str, int] = field(default_factory=dict)  # at discovery, by proxy
    watch_updates: dict[str, int] = field(default_factory=dict)
    origin_requests: int = 0  # at the origin
