"""What a replica needs from its process."""

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
    """Reactor, timers, clock (microseconds), random source and the links to other proxies."""

    reactor: Any  # of Twisted
    deadlines: DeadlineQueue
    now: Callable[[], int]
    rng: Random
    mesh: Mesh


@dataclass(frozen=True)
class Timing:
    """Intervals of the protocol in microseconds; the election timeout is drawn up to twice as long."""

    heartbeat_interval: int
    election_timeout: int
