"""The `node-trials` duty: one proxy checks for the whole fleet whether unhealthy servers can be reached.

A result never takes a server out of use, never causes a request to be sent to it and never makes it healthy;
only the proxy's own traffic does.  A result merely postpones this proxy's own next check of a server that is
already unhealthy here, by at most `MAX_POSTPONEMENT`, so that not all proxies of a fleet check a dead server.
"""

from __future__ import annotations

from collections.abc import Callable, Iterator
from typing import TYPE_CHECKING, Any, NamedTuple

from ..model import Server, ServerState
from .health_probe import probe
from .protocol import MAX_SERVERS_PER_MESSAGE

if TYPE_CHECKING:
    from ..net.proxy import Proxy

CHECK_INTERVAL = 500_000  # microseconds between the first and the second check of a server
MAX_INTERVAL_DOUBLINGS = 2  # how often the interval doubles for later checks
# Microseconds per result.  This is longer than two of the longest intervals, so that one result may be lost.
POSTPONEMENT = 4_500_000
MAX_POSTPONEMENT = 30_000_000  # microseconds in total; bounds what a faulty holder costs a recovered server
REQUEST_LIFETIME = 2_000_000  # microseconds for which another proxy's request for checks is valid
MAX_CONCURRENT_CHECKS = 32  # the holder's open connections to servers that may never answer


class LocalServers:
    """Access to this proxy's servers and their health for the duty."""

    def __init__(self, proxy: Proxy) -> None:
        self.proxy = proxy

    def is_listed(self, name: str) -> bool:
        """Return whether this proxy's endpoint list contains the server."""
        return name in self.proxy.balancer.servers

    def ready_unhealthy_names(self) -> list[str]:
        """Return the names of ready servers that are unhealthy here, limited to the size of a message."""
        balancer = self.proxy.balancer
        names = [
            server.name
            for server in balancer.servers.values()
            if server.state == ServerState.READY and not balancer.outliers.is_healthy(server.health)
        ]
        return names[:MAX_SERVERS_PER_MESSAGE]

    def unhealthy_names(self) -> set[str]:
        """Return the names of all servers that are unhealthy here, in any state of the endpoint list."""
        balancer = self.proxy.balancer
        return {
            server.name
            for server in balancer.servers.values()
            if not balancer.outliers.is_healthy(server.health)
        }

    def unhealthy_server(self, name: str) -> Server | None:
        """Return the server if it is known and unhealthy here, else None."""
        server = self.proxy.balancer.servers.get(name)
        return None if server is None or self.proxy.balancer.outliers.is_healthy(server.health) else server

    def checkable_address(self, name: str) -> tuple[str, int] | None:
        """Return the address of a ready server, else None: draining and gone servers are not checked."""
        server, pool = self.proxy.balancer.servers.get(name), self.proxy.server_pools.pools.get(name)
        return None if server is None or pool is None or server.state != ServerState.READY else pool.address

    def planned_check(self, server: Server) -> PlannedCheck:
        """Return this proxy's own next check of an unhealthy server."""
        return PlannedCheck(server.health.probes, server.health.next_probe_at)

    def reschedule_check(self, server: Server, due_at: int) -> None:
        """Set the time of this proxy's own next check of an unhealthy server, in microseconds."""
        server.health.next_probe_at = due_at


class PlannedCheck(NamedTuple):
    """This proxy's own next check of a server: its sequence number, and its due time in microseconds."""

    number: int
    due_at: int


class CheckSchedule(NamedTuple):
    """How often the holder has checked a server, and the time of the next check in microseconds."""

    checks: int
    next_at: int


class HealthCheckDuty:
    """Checks servers while this process holds the duty, and applies the results of any holder."""

    def __init__(self, proxy: Proxy) -> None:
        self.proxy, self.servers = proxy, LocalServers(proxy)
        self.requested: dict[str, int] = {}  # expiry of other proxies' requests, by server name
        self.schedule: dict[str, CheckSchedule] = {}  # by server name
        self.in_progress: set[str] = set()
        self.results: dict[str, bool] = {}  # whether a server was reached, by name; not announced yet
        self.postponed: dict[str, PlannedCheck] = {}  # postponed checks as first planned, by server name
        self.checks_started = self.checks_postponed = 0  # counters for the status JSON

    def record_request(self, names: list[str], now: int) -> None:
        """Record another proxy's request to check servers; names outside the endpoint list are ignored."""
        for name in names[:MAX_SERVERS_PER_MESSAGE]:
            if self.servers.is_listed(name):
                self.requested[name] = now + REQUEST_LIFETIME

    def run_checks(self, now: int, may_act: Callable[[], bool]) -> None:
        """Start the checks that are due.

        :param may_act: returns whether this process still holds the duty; called right before each check.
        """
        self.requested = {name: expires_at for name, expires_at in self.requested.items() if expires_at > now}
        self.schedule = {
            name: entry for name, entry in self.schedule.items() if now - entry.next_at < REQUEST_LIFETIME
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
        """Yield the names and addresses of the servers to check now."""
        for name in dict.fromkeys([*self.servers.ready_unhealthy_names(), *self.requested]):
            address = self.servers.checkable_address(name)
            if address is None or len(self.in_progress) >= MAX_CONCURRENT_CHECKS:
                continue
            if name not in self.in_progress and now >= self.schedule.get(name, CheckSchedule(0, now)).next_at:
                yield name, address

    def _start_check(self, name: str, address: tuple[str, int]) -> None:
        self.in_progress.add(name)

        def check_finished(reached: bool) -> None:
            self.in_progress.discard(name)
            self.results[name] = reached

        probe(self.proxy.reactor, self.proxy.deadlines, self.proxy.now(), address, check_finished)

    def take_results(self) -> dict[str, bool]:
        """Remove and return unannounced results by server name, limited to the size of a message."""
        names = [*self.results][:MAX_SERVERS_PER_MESSAGE]
        return {name: self.results.pop(name) for name in names}

    def apply_results(self, reached: dict[str, bool], now: int) -> None:
        """Postpone this proxy's own checks of servers that the holder could not reach, up to the bound."""
        unhealthy = self.servers.unhealthy_names()
        self.postponed = {name: entry for name, entry in self.postponed.items() if name in unhealthy}
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
        first_planned = self.postponed.get(server.name)
        if first_planned is None or first_planned.number != planned.number:
            first_planned = self.postponed[server.name] = planned
        due_at = min(now + POSTPONEMENT, first_planned.due_at + MAX_POSTPONEMENT)
        if due_at > planned.due_at:
            self.servers.reschedule_check(server, due_at)
            self.checks_postponed += 1

    def state(self) -> dict[str, Any]:
        """Return the counters and the unhealthy servers for the status JSON."""
        return {
            "looks": self.checks_started,
            "spaced": self.checks_postponed,
            "down": self.servers.ready_unhealthy_names(),
        }
