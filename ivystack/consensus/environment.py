"""The objects of the process that a replica uses, and the intervals of the protocol."""

from __future__ import annotations

from collections.abc import Callable
from dataclasses import dataclass
from random import Random
from typing import TYPE_CHECKING, Any

if TYPE_CHECKING:
    from ..mesh.mesh import Mesh
    from ..net.deadlines import DeadlineQueue


@dataclass(frozen=True)
class Environment:
    """Reactor, timers, clock (microseconds), random source and the mesh of links to other proxies."""

    reactor: Any  # a Twisted reactor
    deadlines: DeadlineQueue
    now: Callable[[], int]
    rng: Random
    mesh: Mesh


@dataclass(frozen=True)
class Timing:
    """Intervals of the protocol in microseconds; a drawn election timeout is up to twice as long."""

    heartbeat_interval: int
    election_timeout: int
