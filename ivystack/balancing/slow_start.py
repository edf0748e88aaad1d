"""Slow start: a server that has just started has an empty cache, and gets a growing part of its requests.

Each request draws a random number in [0, 1); a warming server gets the requests whose draw is below its warm
fraction.  The requests of all processes together are thus that part of the server's usual load, whatever the
number of processes.
"""

from __future__ import annotations

from ..model import Server
from .server_load import NO_QUEUE_LOAD, load_is_recent


class SlowStart:
    """Determines how far servers are warmed up."""

    def __init__(self, initial_fraction: float, duration: int, overload_factor: float) -> None:
        """:param initial_fraction: the fraction of its capacity that a server has right after its start.

        :param duration: microseconds from the start of a server until it has its full capacity.
        :param overload_factor: a warming server collapses at this multiple of its capacity.
        """
        self.initial_fraction, self.duration = initial_fraction, duration
        # Factor on the warm fraction for requests whose preferred replica can't take them.  It leaves a
        # margin of a factor of two for random variation and for clients that retry.
        self.spill_over = min(1.0, max(0.0, (overload_factor - 2) / 2))

    def warm_fraction(self, server: Server, now: int) -> float:
        """Return the fraction of its capacity that a warming server has; 1 once it is warm."""
        if not server.started_at or not self.duration:
            return 1.0
        elapsed = max(0, now - server.started_at)
        fraction = self.initial_fraction + (1 - self.initial_fraction) * elapsed / self.duration
        if fraction >= 1:
            return 1.0
        load = server.load if load_is_recent(server, now) else 0.0
        return fraction / max(NO_QUEUE_LOAD, load)  # reduced while the load exceeds the capacity
