"""Connection budget: in a large fleet, processes close idle connections early.

Otherwise the connections of all processes would not fit a server's connection table, and a server with a full
table rejects every process that has no connection yet.  The idle time after which connections are closed is
shortened with each new connection that a server rejects, and extended with each that a server accepts.
"""

from __future__ import annotations

from collections import OrderedDict

from ..model import CloseIdleConnections, Server

LARGE_FLEET = 16  # processes; a fleet up to this size lets the servers close idle connections
REJECTED_FACTOR, ACCEPTED_FACTOR = 0.8, 1.005  # on the idle time; in equilibrium one in forty is rejected
# After a rejection, no new connection to the server is opened for this time.  Its connection table has free
# entries again by then.
REJECTION_PAUSE_US = 500_000
MIN_IDLE_TIME_US = REJECTION_PAUSE_US // 8


class ConnectionBudget:
    """The time after which idle connections to servers are closed."""

    def __init__(self, max_idle_time: int, process_count: int) -> None:
        """:param max_idle_time: microseconds after which the servers themselves close idle connections."""
        self.max_idle_time = max_idle_time if process_count > LARGE_FLEET else 0
        self.initial_idle_time = self.max_idle_time * LARGE_FLEET // process_count
        self.idle_time = self.initial_idle_time  # microseconds; 0: only the servers close idle connections
        self.idle_since: OrderedDict[Server, int] = OrderedDict()  # oldest first

    @property
    def is_large_fleet(self) -> bool:
        """Whether a process sends only a small part of each server's traffic, and closes idle connections."""
        return self.initial_idle_time > 0

    def record_rejected(self, server: Server, now: int) -> None:
        """Record that the server has rejected a new connection."""
        server.connection_rejected_at = now
        self.idle_time = max(MIN_IDLE_TIME_US, int(self.idle_time * REJECTED_FACTOR))

    def record_accepted(self) -> None:
        """Record that a server has accepted a new connection."""
        self.idle_time = min(self.max_idle_time, int(self.idle_time * ACCEPTED_FACTOR) + 1)

    def is_rejecting(self, server: Server, now: int) -> bool:
        """Return whether an attempt would need a new connection to a server that has just rejected one."""
        return (
            now < server.connection_rejected_at + REJECTION_PAUSE_US
            and not server.in_flight
            and server not in self.idle_since
        )

    def record_attempt_sent(self, server: Server) -> None:
        """Record that an attempt is sent to the server, whose connections are then not idle."""
        self.idle_since.pop(server, None)

    def record_attempt_ended(self, server: Server, now: int) -> None:
        """Record that an attempt at the server has ended."""
        if self.idle_time and not server.in_flight:
            self.idle_since[server] = now

    def due(self, now: int) -> list[CloseIdleConnections]:
        """Return one action for each server whose idle connections are to be closed now."""
        actions = []
        while (next_at := self.next_at()) is not None and next_at <= now:
            actions.append(CloseIdleConnections(self.idle_since.popitem(last=False)[0]))
        return actions

    def next_at(self) -> int | None:
        """Return when the next idle connections are to be closed."""
        return next(iter(self.idle_since.values())) + self.idle_time if self.idle_since else None

    def adopt_limits(self, other: ConnectionBudget) -> None:
        """Take over the limits of another budget and start again, if they differ."""
        if self.initial_idle_time == other.initial_idle_time:
            return
        self.initial_idle_time, self.max_idle_time = other.initial_idle_time, other.max_idle_time
        self.idle_time = other.idle_time
        self.idle_since.clear()
