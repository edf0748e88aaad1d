"""Slow start: a server that has just started, with an empty cache, takes a growing part of its requests.

Each request draws one number in [0, 1); a warming server takes those whose draw is below its warm fraction.
So all processes' requests together are that part of the server's usual load, however many processes there
are.
"""

from __future__ import annotations

from ..model import Server
from .server_load import RESTING_LOAD, load_is_recent


class SlowStart:
    """How far servers are warmed up."""

    def __init__(self, initial_fraction: float, duration: int, overload_factor: float) -> None:
        """:param initial_fraction: of its capacity that a server bears right after its start.

        :param duration: microseconds from its start until it bears all.
        :param overload_factor: times its capacity at which a warming server collapses.
        """
        self.initial_fraction, self.duration = initial_fraction, duration
        # The part of a warming server's own fraction that it also takes of requests whose other replicas
        # can't. A factor of two is left for chance and for clients that retry.
        self.spill_over = min(1.0, max(0.0, (overload_factor - 2) / 2))

    def warm_fraction(self, server: Server, now: int) -> float:
        """Return the part of its capacity that the server can be counted on for; 1 once it is warm."""
        if not server.started_at or not self.duration:
            return 1.0
        elapsed = max(0, now - server.started_at)
        fraction = self.initial_fraction + (1 - self.initial_fraction) * elapsed / self.duration
        if fraction >= 1:
            return 1.0
        load = server.load if load_is_recent(server, now) else 0.0
        return fraction / max(RESTING_LOAD, load)  # less where all servers are loaded beyond capacity
