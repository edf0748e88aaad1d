"""Connection budget: many processes close idle connections early, so that all fit a server's table.

A full table makes a server reject every process that has no connection yet.  The time for which idle
connections are kept falls with each new connection that is rejected and grows with each that is accepted.
"""

from __future__ import annotations

from collections import OrderedDict

from ..model import CloseIdleConnections, Server

LARGE_FLEET = 16  # processes; up to so many may keep connections for as long as the servers let them
REJECTED_FACTOR, ACCEPTED_FACTOR = 0.8, 1.005  # of the idle time: settles at one rejected in forty
REJECTION_PAUSE_US = (
    500_000  # without a new connection to a server that rejected one: places are free again by then
)
MIN_IDLE_TIME_US = REJECTION_PAUSE_US // 8


class ConnectionBudget:
    """How long connections to servers may stay idle."""

    def __init__(self, max_idle_time: int, process_count: int) -> None:
        """:param max_idle_time: microseconds for which the servers keep idle connections themselves."""
        self.max_idle_time = max_idle_time if process_count > LARGE_FLEET else 0
        self.initial_idle_time = self.max_idle_time * LARGE_FLEET // process_count
        self.idle_time = self.initial_idle_time  # microseconds; 0: for the servers to close
        self.idle_since: OrderedDict[Server, int] = OrderedDict()  # oldest first

    @property
    def is_large_fleet(self) -> bool:
        """Whether one process sees but a small part of each server, and closes idle connections."""
        return self.initial_idle_time > 0

    def record_rejected(self, server: Server, now: int) -> None:
        """Note that the server has rejected a new connection."""
        server.connection_rejected_at = now
        self.idle_time = max(MIN_IDLE_TIME_US, int(self.idle_time * REJECTED_FACTOR))

    def record_accepted(self) -> None:
        """Note that a server has accepted a new connection."""
        self.idle_time = min(self.max_idle_time, int(self.idle_time * ACCEPTED_FACTOR) + 1)

    def is_rejecting(self, server: Server, now: int) -> bool:
        """Return whether an attempt would need a new connection to a server that has just rejected one."""
        return (
            now < server.connection_rejected_at + REJECTION_PAUSE_US
            and not server.in_flight
            and server not in self.idle_since
        )

    def note_sent(self, server: Server) -> None:
        """Note that an attempt goes to the server, so that its connections are not idle."""
        self.idle_since.pop(server, None)

    def note_ended(self, server: Server, now: int) -> None:
        """Note that an attempt there has ended."""
        if self.idle_time and not server.in_flight:
            self.idle_since[server] = now

    def due(self, now: int) -> list[CloseIdleConnections]:
        """Return one action for each server whose idle connections are to be closed now."""
        found = []
        while (next_at := self.next_at()) is not None and next_at <= now:
            found.append(CloseIdleConnections(self.idle_since.popitem(last=False)[0]))
        return found

    def next_at(self) -> int | None:
        """Return when the next idle connections are to be closed."""
        return next(iter(self.idle_since.values())) + self.idle_time if self.idle_since else None

    def take_limits(self, other: ConnectionBudget) -> None:
        """Begin anew with another budget's limits, if they differ."""
        if self.initial_idle_time == other.initial_idle_time:
            return
        self.initial_idle_time, self.max_idle_time = other.initial_idle_time, other.max_idle_time
        self.idle_time = other.idle_time
        self.idle_since.clear()
