"""The `node-trials` duty: one proxy checks whether servers that are down can be reached, for all proxies.

Results never take a server out of use, never send it a request and never make it healthy: only the proxy's
own traffic does that.  A result merely postpones this proxy's own next check of a server that it already
holds to be down, for at most `MAX_POSTPONEMENT`, so that not every proxy of a fleet checks a dead server.
"""

from __future__ import annotations

from collections.abc import Callable, Iterator
from typing import TYPE_CHECKING, Any, NamedTuple

from ..model import Server, ServerState
from .health_probe import probe
from .protocol import MAX_SERVERS_PER_MESSAGE

if TYPE_CHECKING:
    from ..net.proxy import Proxy

CHECK_INTERVAL = 500_000  # microseconds from the first check of a server to the second
MAX_INTERVAL_DOUBLINGS = 2  # of it, for later checks
POSTPONEMENT = 4_500_000  # microseconds by a result: two of the longest intervals, one result may be lost
MAX_POSTPONEMENT = 30_000_000  # microseconds in all: what a faulty holder can cost a server that is back
REQUEST_LIFETIME = 2_000_000  # microseconds for which another proxy's request for a check counts
MAX_CONCURRENT_CHECKS = 32  # open connections of the holder to servers that may never answer


class LocalServers:
    """The proxy's servers and their health, as this duty needs them."""

    def __init__(self, proxy: Proxy) -> None:
        self.proxy = proxy

    def is_listed(self, name: str) -> bool:
        """Return whether our endpoint list has that server."""
        return name in self.proxy.balancer.servers

    def ready_unhealthy_names(self) -> list[str]:
        """Return ready servers that we hold to be down ourselves, as many as fit a message."""
        balancer = self.proxy.balancer
        names = [
            server.name
            for server in balancer.servers.values()
            if server.state == ServerState.READY and not balancer.outliers.is_healthy(server.health)
        ]
        return names[:MAX_SERVERS_PER_MESSAGE]

    def unhealthy_names(self) -> set[str]:
        """Return all servers that we hold to be down, in whatever state of the endpoint list."""
        balancer = self.proxy.balancer
        return {
            server.name
            for server in balancer.servers.values()
            if not balancer.outliers.is_healthy(server.health)
        }

    def unhealthy_server(self, name: str) -> Server | None:
        """Return that server if we know it and hold it to be down, else None."""
        server = self.proxy.balancer.servers.get(name)
        return None if server is None or self.proxy.balancer.outliers.is_healthy(server.health) else server

    def checkable_address(self, name: str) -> tuple[str, int] | None:
        """Return the address of a ready server; nothing is sent to one that is draining or has left."""
        server, pool = self.proxy.balancer.servers.get(name), self.proxy.server_pools.pools.get(name)
        return None if server is None or pool is None or server.state != ServerState.READY else pool.address

    def planned_check(self, server: Server) -> PlannedCheck:
        """Return our own next check of a server that is down."""
        return PlannedCheck(server.health.probes, server.health.next_probe_at)

    def reschedule_check(self, server: Server, due_at: int) -> None:
        """Move our own next check of a server that is down."""
        server.health.next_probe_at = due_at


class PlannedCheck(NamedTuple):
    """This proxy's own next check of a server: its number for that server, and when it is due."""

    number: int
    due_at: int


class CheckSchedule(NamedTuple):
    """How often the holder has checked a server, and when it may do so next, in microseconds."""

    checks: int
    next_at: int


class HealthCheckDuty:
    """Checks servers while this process holds the duty, and applies the results of whoever holds it."""

    def __init__(self, proxy: Proxy) -> None:
        self.proxy, self.servers = proxy, LocalServers(proxy)
        self.requested: dict[str, int] = {}  # by other proxies: server, and until when
        self.schedule: dict[str, CheckSchedule] = {}
        self.in_progress: set[str] = set()
        self.results: dict[str, bool] = {}  # whether each was reached; not announced yet
        self.postponed: dict[str, PlannedCheck] = {}  # our own checks that results postpone, as first planned
        self.checks_started = self.checks_postponed = 0  # for operators

    def request(self, names: list[str], now: int) -> None:
        """Note that another proxy holds these to be down; names outside our endpoint list are ignored."""
        for name in names[:MAX_SERVERS_PER_MESSAGE]:
            if self.servers.is_listed(name):
                self.requested[name] = now + REQUEST_LIFETIME

    def run_checks(self, now: int, may_act: Callable[[], bool]) -> None:
        """Start the checks that are due; `may_act` is asked right before each one."""
        self.requested = {name: until for name, until in self.requested.items() if until > now}
        self.schedule = {
            name: one for name, one in self.schedule.items() if now - one.next_at < REQUEST_LIFETIME
        }
        for name, address in self._due(now):
            if not may_act():
                continue
            checks = self.schedule.get(name, CheckSchedule(0, now)).checks
            interval = CHECK_INTERVAL << min(checks, MAX_INTERVAL_DOUBLINGS)
            self.schedule[name] = CheckSchedule(checks + 1, now + interval)
            self.checks_started += 1
            self._start_check(name, address)

    def _due(self, now: int) -> Iterator[tuple[str, tuple[str, int]]]:
        """Yield servers to check now, with their addresses."""
        for name in dict.fromkeys([*self.servers.ready_unhealthy_names(), *self.requested]):
            address = self.servers.checkable_address(name)
            if address is None or len(self.in_progress) >= MAX_CONCURRENT_CHECKS:
                continue
            if name not in self.in_progress and now >= self.schedule.get(name, CheckSchedule(0, now)).next_at:
                yield name, address

    def _start_check(self, name: str, address: tuple[str, int]) -> None:
        self.in_progress.add(name)

        def done(reached: bool) -> None:
            self.in_progress.discard(name)
            self.results[name] = reached

        probe(self.proxy.reactor, self.proxy.deadlines, self.proxy.now(), address, done)

    def take_results(self) -> dict[str, bool]:
        """Remove and return results that were not announced yet, as many as fit a message."""
        names = [*self.results][:MAX_SERVERS_PER_MESSAGE]
        return {name: self.results.pop(name) for name in names}

    def apply_results(self, reached: dict[str, bool], now: int) -> None:
        """Postpone our own checks of servers that the holder could not reach, up to the bound."""
        unhealthy = self.servers.unhealthy_names()
        self.postponed = {name: one for name, one in self.postponed.items() if name in unhealthy}
        for name, was_reached in reached.items():
            server = self.servers.unhealthy_server(name)
            if server is None:
                continue
            planned = self.servers.planned_check(server)
            if not was_reached:
                self._postpone(server, planned, now)
            elif self.postponed.pop(name, None) is not None:
                self.servers.reschedule_check(server, min(planned.due_at, now))

    def _postpone(self, server: Server, planned: PlannedCheck, now: int) -> None:
        first = self.postponed.get(server.name)
        if first is None or first.number != planned.number:
            first = self.postponed[server.name] = planned
        until = min(now + POSTPONEMENT, first.due_at + MAX_POSTPONEMENT)
        if until > planned.due_at:
            self.servers.reschedule_check(server, until)
            self.checks_postponed += 1

    def state(self) -> dict[str, Any]:
        """Return how things stand, for the operators' JSON."""
        return {
            "looks": self.checks_started,
            "spaced": self.checks_postponed,
            "down": self.servers.ready_unhealthy_names(),
        }
