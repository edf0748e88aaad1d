"""Simulation of a fleet of balancers in front of shared cache servers, in virtual time.

This module simulates clients, the timers of the proxies, the queues and caches of the servers, the origin,
and the outcome of each request by class.  It makes no decision for a proxy and does not change one: each
proxy is a Balancer that is built from settings and called as the network code calls it.  There are no
sockets and no frames; a connection is only an entry in the connection table of its server, at most one for
each proxy.

    swarm = Swarm(Random(1), loads, World(servers=60, proxies=40, requests_per_second=900))
    swarm.run(10_000_000)
    swarm.served_shares()  # {"read": 0.81, ..}: share of operations, with all retries, satisfied in time
"""

from __future__ import annotations

import heapq
from bisect import bisect
from collections import Counter, OrderedDict, deque
from collections.abc import Callable, Sequence
from dataclasses import dataclass, field
from itertools import accumulate
from random import Random

from ..balancing.balancer import Balancer
from ..model import (
    Attempt,
    CloseIdleConnections,
    Decision,
    Fail,
    Outcome,
    Reject,
    Request,
    Send,
    SendGossip,
    Server,
    ServerState,
)
from ..configuration.instance import InstanceConfiguration

MICROSECONDS_PER_SECOND = 1_000_000
ORIGIN = "origin"  # name of the origin in endpoint lists where proxies send requests to it


@dataclass(frozen=True, slots=True)
class Load:
    """The load of one request class.

    Attributes:
        name: Name of the request class.
        share: Weight of this class among the operations of all classes.
        mean_work: Mean work of a request, in microseconds of one core.
        priority_weight: Priority weight of the request class.
        latency_objective: Latency objective in microseconds.
        semantics: Idempotency of the requests, as a value of the setting of this name.
        senders: Number of proxies whose clients send this class; None for all.
        is_write: Whether the requests are writes.
        tenant: Name of the tenant, if any.
    """

    name: str
    share: float
    mean_work: int
    priority_weight: float
    latency_objective: int
    semantics: str = "pure"
    senders: int | None = None
    is_write: bool = False
    tenant: str | None = None

    def settings(self) -> dict:
        """Return the settings of the request class, with times in nanoseconds."""
        return {
            "name": self.name, "criticality": self.priority_weight, "semantics": self.semantics, "group":
            "all",
            "latency_budget": self.latency_objective * 1000, "give_up": 2 * self.latency_objective * 1000,
            "window": 12 * MICROSECONDS_PER_SECOND * 1000,
        }  # fmt: skip


MIX = [
    Load("view", 0.54, 53_000, 5, 750_000),
    Load("check", 0.39, 93_000, 3, 600_000),
    Load("sign", 0.07, 150_000, 10, 1_200_000, "token"),
]


def mean_work_seconds(loads: list[Load]) -> float:
    """Return the mean work of a request over all classes, in seconds of one core."""
    return (
        sum(load.share * load.mean_work for load in loads)
        / sum(load.share for load in loads)
        / MICROSECONDS_PER_SECOND
    )


@dataclass(slots=True)
class World:
    """Sizes, rates and delays of a simulation.

    Times are in microseconds, rates are totals of the whole fleet.
    """

    servers: int
    proxies: int
    requests_per_second: float
    cores_per_server: int = 3
    key_count: int = 4000
    network_delay: int = 5_000  # one way between a proxy and a server
    max_client_requests: int = 3  # requests of a client for one operation, with the first
    client_retry_delay: int = 100_000  # mean delay before a client sends its request again
    impatient_share: float = 0.0  # share of clients, not counted, that give up after 1/20 of the objective
    rate_sigma: float = 1.0  # standard deviation of the logarithm of the proxies' lognormal rates
    cache_capacity: int = 400  # keys in the cache of a server
    warm_hit_ratio: float = 0.9  # probability that a server warm from the beginning has a new key
    fetch_time: int = 100_000  # time of one fetch from the origin
    concurrent_fetches: int = 60  # fetches that the origin serves at once
    warm_up_time: int = 6 * MICROSECONDS_PER_SECOND
    cold_share: float = 0.3  # speed of a server at its start, as a share of its full speed
    overload_factor: float = 4.0  # a cold server fails when it receives this multiple of its present capacity
    overload_window: int = MICROSECONDS_PER_SECOND  # time over which the overload of a cold server counts
    max_connections: int = 1 << 30  # connections that a server accepts; it rejects further ones
    max_attempts: int = 3
    gossip: bool = True
    # Cache-aside mode: caches report misses to the proxies, which fetch from the origin and write only to it.
    cache_aside: bool = False
    tenant_allowances: dict[str, float] = field(default_factory=dict)  # per second, by tenant
    excess_priority_weight: float = 0.1
    rng: Random = field(default_factory=lambda: Random(3))
    mean_work: float = 1.0  # of a request, in microseconds of one core; set by the swarm


class SimulatedServer:
    """A cache server with its cores, its cache and its connection table.

    Each core processes one request at a time, in order of arrival, and also requests that are already late.
    """

    def __init__(self, name: str, world: World, started_at: int = 0):
        # A server that starts at time 0 is warm from the beginning.
        self.name, self.world, self.started_at = name, world, started_at
        self.core_free_at = [0] * world.cores_per_server
        self.cached_keys: OrderedDict[int, None] = OrderedDict()
        self.connected_proxies: set[Proxy] = set()
        self.hung = self.gone = False
        self.slowdown = 1.0
        # Time and work of each request within the overload window, recorded only while the server is cold.
        self.recent_arrivals: deque[tuple[int, float]] = deque()
        self.peak_overload = 0.0  # most work within an overload window, as a multiple of the allowed work

    def warm_fraction(self, now: int) -> float:
        """Return the present speed as a fraction of the speed of a warm server."""
        if not self.started_at:
            return 1.0
        least = self.world.cold_share
        return min(1.0, least + (1 - least) * (now - self.started_at) / self.world.warm_up_time)

    def record_arrival(self, work: float, now: int) -> None:
        """Count a request towards the overload of a cold server.

        The allowed work is that of N requests of mean work, plus 2 * sqrt(N) + 2 requests for random
        variation.
        """
        if self.warm_fraction(now) == 1 or not self.started_at:
            return
        self.recent_arrivals.append((now, work))
        while self.recent_arrivals[0][0] <= now - self.world.overload_window:
            self.recent_arrivals.popleft()
        budget = (
            self.world.overload_factor
            * self.world.cores_per_server
            * self.warm_fraction(now)
            * self.world.overload_window
            / self.world.mean_work
        )
        received = sum(work for _, work in self.recent_arrivals) / self.world.mean_work
        self.peak_overload = max(self.peak_overload, received / (budget + 2 * budget**0.5 + 2))

    def look_up(self, key: int) -> bool:
        """Return whether the key is cached, and mark it as the most recently used."""
        if (
            key not in self.cached_keys
            and not self.started_at
            and self.world.rng.random() < self.world.warm_hit_ratio
        ):
            self.store(key)
        if key in self.cached_keys:
            self.cached_keys.move_to_end(key)
        return key in self.cached_keys

    def store(self, key: int) -> None:
        """Cache a key and evict the least recently used key if the cache is full."""
        self.cached_keys[key] = None
        if len(self.cached_keys) > self.world.cache_capacity:
            self.cached_keys.popitem(last=False)

    def schedule_request(self, work: float, key: int, now: int, origin: Origin) -> int:
        """Assign a request to the core that is free first, and return its completion time."""
        core = min(range(len(self.core_free_at)), key=self.core_free_at.__getitem__)
        start = max(now, self.core_free_at[core])
        if not self.look_up(key):
            start = origin.schedule_fetch(start)  # a miss occupies its core until the origin answers
            self.store(key)
        self.core_free_at[core] = start + round(work * self.slowdown / self.warm_fraction(now))
        return self.core_free_at[core]


class Origin:
    """The origin behind all servers; it serves a limited number of fetches at once, in order of arrival."""

    def __init__(self, world: World):
        self.world = world
        self.slot_free_at = [0] * world.concurrent_fetches
        self.fetch_count = 0

    def schedule_fetch(self, now: int) -> int:
        """Start a fetch as soon as a slot is free, and return the time at which the fetch is done."""
        start = max(now, heapq.heappop(self.slot_free_at))
        heapq.heappush(self.slot_free_at, start + self.world.fetch_time)
        self.fetch_count += 1
        return start + self.world.fetch_time


@dataclass(eq=False, slots=True)
class ClientOperation:
    """An operation of a client, which sends one or more requests for it."""

    load: Load
    key: int
    proxy_number: int
    impatient: bool
    started_at: int
    request_count: int = 0


class Proxy:
    """One balancer with its timer; a restart of the proxy builds a new object from the same settings."""

    def __init__(self, swarm: Swarm, number: int, endpoints: list[Server], now: int):
        self.swarm, self.number = swarm, number
        settings = InstanceConfiguration(swarm.rng.getrandbits(60), swarm.instance_settings(number))
        self.balancer: Balancer = settings.balancer
        self.request_classes, self.tenants = settings.request_classes, settings.tenants
        self.wakeup_at: int | None = None
        self.in_flight: dict[Attempt, ClientOperation] = {}
        self.operations: dict[Request, ClientOperation] = {}
        self.down = False
        self.balancer.update_endpoints(endpoints, True, now)


class Swarm:
    """A simulated fleet with its clients, servers and origin.

    `schedule(time, callback)` plans a fault or a change of the endpoint list.
    """

    def __init__(self, rng: Random, loads: list[Load], world: World):
        self.rng, self.loads, self.world = rng, loads, world
        world.mean_work = mean_work_seconds(loads) * MICROSECONDS_PER_SECOND
        self.now, self.event_count = 1_000 * MICROSECONDS_PER_SECOND, 0
        self.started_at = self.now
        self.events: list[tuple[int, int, Callable]] = []
        self.servers = {
            name: SimulatedServer(name, world) for name in (f"n{i:04}" for i in range(world.servers))
        }
        self.origin = Origin(world)
        # Zipf's law with an offset: the most popular key has about one hundredth of the requests.
        self.cumulative_popularity = [*accumulate(1 / (rank + 5) for rank in range(world.key_count))]
        rates = [rng.lognormvariate(0, world.rate_sigma) for _ in range(world.proxies)]
        self.rates = [rate / sum(rates) * world.requests_per_second for rate in rates]
        self.endpoints = {name: Server(name) for name in self.servers}
        if world.cache_aside:
            self.endpoints[ORIGIN] = Server(ORIGIN, kind=1)
        self.proxies = [Proxy(self, i, self.copy_endpoints(), self.now) for i in range(world.proxies)]
        self.operations_started: Counter[tuple[str, int]] = Counter()  # by class and second of the start
        self.operations_satisfied: Counter[tuple[str, int]] = Counter()  # within the latency objective
        self.results: Counter[tuple[str, str]] = Counter()  # client requests by class and result
        self.max_executions = 0  # of a request whose effect must not be applied twice
        for number in range(world.proxies):
            for load in loads:
                self.schedule_operation(number, load)

    def instance_settings(self, number: int) -> dict:
        """Return the settings of the proxy with this number."""
        world = self.world
        limits = {
            "most_write_outs": world.max_attempts,
            "may_duplicate": True,
            "conn_idle": 60 * MICROSECONDS_PER_SECOND * 1000,
        }
        limits |= {"peers": world.gossip, "retry_after": True, "max_retry_after": 1_200_000_000}
        aside = {"kinds": ["cache", ORIGIN], "specifics": {"origin_kind": 1}} if world.cache_aside else {}
        return aside | {
            "methods": [load.settings() for load in self.loads], "limits": limits,
            "n_instances": world.proxies,
            "parties": [{"name": n, "allowance_per_s": a} for n, a in world.tenant_allowances.items()],
            "excess_criticality": world.excess_priority_weight, "slot_no": number, "granularity": 5_000_000,
            "rules": {
                "cold": world.warm_up_time * 1000, "cold_share": world.cold_share,
                "overload_factor": world.overload_factor,
            },
        }  # fmt: skip

    def copy_endpoints(self) -> list[Server]:
        """Return a copy of the endpoint list, because each balancer keeps its own state in the servers."""
        return [
            Server(server.name, server.kind, state=server.state, started_at=server.started_at)
            for server in self.endpoints.values()
        ]

    def schedule(self, time: int, callback: Callable, *args) -> None:
        """Call `callback(*args)` at a virtual time, in microseconds."""
        self.event_count += 1
        heapq.heappush(self.events, (time, self.event_count, lambda: callback(*args)))

    def run(self, duration: int) -> None:
        """Run the simulation for this number of microseconds of virtual time."""
        end = self.now + duration
        while self.events and self.events[0][0] <= end:
            self.now, _, callback = heapq.heappop(self.events)
            callback()
        self.now = end

    # Clients

    def schedule_operation(self, number: int, load: Load) -> None:
        """Schedule the next operation of a class at a proxy after an exponentially distributed interval."""
        senders = load.senders or self.world.proxies
        if number >= senders:
            return
        total = self.rates[number] if load.senders is None else self.world.requests_per_second / senders
        rate = total * load.share
        self.schedule(
            self.now + round(self.rng.expovariate(rate) * MICROSECONDS_PER_SECOND),
            self.start_operation,
            number,
            load,
        )

    def start_operation(self, number: int, load: Load) -> None:
        """Start an operation of a client and schedule the next one of its class."""
        self.schedule_operation(number, load)
        key = bisect(self.cumulative_popularity, self.rng.random() * self.cumulative_popularity[-1])
        impatient = self.rng.random() < self.world.impatient_share
        self.operations_started[
            load.name, (self.now - self.started_at) // MICROSECONDS_PER_SECOND
        ] += not impatient
        self.send_request(ClientOperation(load, key, number, impatient, self.now))

    def send_request(self, operation: ClientOperation) -> None:
        """Send the next request of a client for its operation."""
        proxy = self.proxies[operation.proxy_number]
        if proxy.down:
            return self.finish_request(operation, "down")
        operation.request_count += 1
        request_class = proxy.request_classes[operation.load.name]
        give_up_at = self.now + (
            operation.load.latency_objective // 20
            if operation.impatient
            else 2 * operation.load.latency_objective
        )
        tenant = proxy.tenants.get(operation.load.tenant)
        request = Request(
            request_class, self.now, give_up_at, operation.key, tenant, is_write=operation.load.is_write
        )
        proxy.operations[request] = operation
        self.apply_decision(proxy, request, proxy.balancer.route(request, self.now))
        self.perform_due_actions(proxy)

    def finish_request(self, operation: ClientOperation, result: str) -> None:
        """Count an unsatisfied request, and schedule a retry of the client if the proxy did not accept it."""
        self.results[operation.load.name, result] += 1
        if result in ("nack", "down") and operation.request_count < self.world.max_client_requests:
            self.schedule(
                self.now + self.rng.randrange(self.world.client_retry_delay * 2), self.send_request, operation
            )

    # Proxies

    def perform(self, proxy: Proxy, action: Request | SendGossip | CloseIdleConnections) -> None:
        """Perform an action that the balancer of a proxy has returned as due."""
        match action:
            case SendGossip(peer, datagram):
                self.schedule(self.now + self.world.network_delay, self.deliver_gossip, peer, datagram)
            case CloseIdleConnections(server):
                if server.name in self.servers:
                    self.servers[server.name].connected_proxies.discard(proxy)
            case request:
                self.apply_decision(proxy, request, proxy.balancer.route(request, self.now))

    def apply_decision(self, proxy: Proxy, request: Request, decision: Decision) -> None:
        """Send an attempt of the request, or conclude the request, as the balancer decided."""
        match decision:
            case Send(timeout_at=timeout_at):
                self.send_attempt(proxy, request.attempts[-1], timeout_at)
            case Reject():
                self.conclude_request(proxy, request, "nack")
            case Fail():
                self.conclude_request(proxy, request, "fail")

    def conclude_request(self, proxy: Proxy, request: Request, result: str) -> None:
        """Record the result of a request, unless the request is already concluded."""
        if not request.concluded:
            request.concluded = True
            operation = proxy.operations.pop(request)
            if result == "satisfied":
                in_time = self.now - request.arrived_at <= request.request_class.latency_objective
                self.results[operation.load.name, "satisfied" if in_time else "late"] += 1
                self.operations_satisfied[
                    operation.load.name, (operation.started_at - self.started_at) // MICROSECONDS_PER_SECOND
                ] += in_time and not operation.impatient
            else:
                self.finish_request(operation, result)

    def deliver_gossip(self, peer: int, datagram: bytes) -> None:
        """Deliver a gossip datagram to a proxy, unless the proxy is down."""
        proxy = self.proxies[peer]
        if not proxy.down:
            proxy.balancer.receive_gossip(datagram, self.now)
            self.perform_due_actions(proxy)

    def perform_due_actions(self, proxy: Proxy) -> None:
        """Perform all actions that are due at a proxy, and set its timer for the next one."""
        while True:
            wakeup = proxy.balancer.next_wakeup(self.now)
            if not wakeup.due:
                break
            for action in wakeup.due:
                self.perform(proxy, action)
        delay = wakeup.delay
        if delay is not None and (proxy.wakeup_at is None or self.now + max(delay, 1) < proxy.wakeup_at):
            proxy.wakeup_at = self.now + max(delay, 1)
            self.schedule(proxy.wakeup_at, self.wake, proxy, proxy.wakeup_at)

    def wake(self, proxy: Proxy, wakeup_at: int) -> None:
        """Perform due actions when the timer of a proxy fires, unless an earlier timer has replaced it."""
        if proxy.wakeup_at == wakeup_at and not proxy.down:
            proxy.wakeup_at = None
            self.perform_due_actions(proxy)

    def send_attempt(self, proxy: Proxy, attempt: Attempt, timeout_at: int) -> None:
        """Send an attempt over the network and schedule its timeout."""
        self.schedule(timeout_at, self.record_outcome, proxy, attempt, Outcome.TIMED_OUT)
        self.schedule(self.now + self.world.network_delay, self.deliver_attempt, proxy, attempt)

    def fetch_from_origin(self, attempt: Attempt) -> int:
        """Return the time at which the origin has answered a proxy.

        The cache server that reported a miss for the request stores the value.
        """
        missed = [
            previous.server.name
            for previous in attempt.request.attempts
            if previous.outcome == Outcome.CACHE_MISS
        ]
        if missed and missed[-1] in self.servers:
            self.servers[missed[-1]].store(attempt.request.key)
        return self.origin.schedule_fetch(self.now)

    def deliver_attempt(self, proxy: Proxy, attempt: Attempt) -> None:
        """Deliver an attempt to its server or to the origin, and schedule the outcome."""
        if attempt.server.name == ORIGIN:
            return self.schedule(
                self.fetch_from_origin(attempt) + self.world.network_delay,
                self.record_outcome,
                proxy,
                attempt,
                Outcome.SUCCEEDED,
            )
        server = self.servers.get(attempt.server.name)
        if server is None or server.gone:
            return self.schedule(
                self.now + self.world.network_delay,
                self.record_outcome,
                proxy,
                attempt,
                Outcome.CONNECTION_REFUSED,
            )
        if server.hung or attempt.outcome is not None or proxy.down:
            return
        attempt.first_on_connection = proxy not in server.connected_proxies
        if attempt.first_on_connection and len(server.connected_proxies) >= self.world.max_connections:
            return self.schedule(
                self.now + self.world.network_delay, self.record_outcome, proxy, attempt, Outcome.OVERLOADED
            )
        server.connected_proxies.add(proxy)
        if self.world.cache_aside and not server.look_up(attempt.request.key):
            return self.schedule(
                self.now + self.world.network_delay, self.record_outcome, proxy, attempt, Outcome.CACHE_MISS
            )
        operation = proxy.operations.get(attempt.request)
        work = (operation.load.mean_work if operation else self.loads[0].mean_work) * self.rng.gammavariate(
            3, 1 / 3
        )
        server.record_arrival(work, self.now)
        done_at = server.schedule_request(work, attempt.request.key, self.now, self.origin)
        self.schedule(
            done_at + self.world.network_delay, self.record_outcome, proxy, attempt, Outcome.SUCCEEDED
        )

    def record_outcome(self, proxy: Proxy, attempt: Attempt, outcome: Outcome) -> None:
        """Report the outcome of an attempt to its balancer, and perform what the balancer decides next."""
        if attempt.outcome is not None or proxy.down:
            return
        follow_up = proxy.balancer.record_outcome(
            attempt, outcome, self.now, None, outcome == Outcome.SUCCEEDED
        )
        if outcome == Outcome.SUCCEEDED:
            self.conclude_request(proxy, attempt.request, "satisfied")
        for other in follow_up.cancel:
            if other.outcome is None:
                proxy.balancer.record_outcome(other, Outcome.CANCELLED, self.now)
        if not attempt.request.concluded:
            self.apply_decision(proxy, attempt.request, follow_up.decision)
        self.perform_due_actions(proxy)

    # Faults and changes of the endpoint list

    def announce(self, *names: str) -> None:
        """Send the changed endpoints to each proxy after a random delay of less than 200 ms.

        A caller that simulates slower discovery adds its own delay.
        """
        for proxy in self.proxies:
            changes = [server for server in self.copy_endpoints() if server.name in names]
            self.schedule(self.now + self.rng.randrange(200_000), self.update_endpoints, proxy, changes)

    def update_endpoints(self, proxy: Proxy, changes: Sequence[Server]) -> None:
        """Apply a change of the endpoint list at a proxy, unless the proxy is down."""
        if not proxy.down:
            proxy.balancer.update_endpoints(changes, False, self.now)
            self.perform_due_actions(proxy)

    def replace_servers(self, names: Sequence[str]) -> None:
        """Remove servers at once and add a cold server with a new name for each of them."""
        added = []
        for name in names:
            self.servers[name].gone = True
            self.endpoints[name].state = ServerState.GONE
            new_name = f"{name}+"
            self.servers[new_name] = SimulatedServer(new_name, self.world, self.now)
            self.endpoints[new_name] = Server(new_name, state=ServerState.READY, started_at=self.now)
            added.append(new_name)
        self.announce(*names, *added)

    def hang_servers(self, names: Sequence[str], hung: bool = True) -> None:
        """Let servers accept requests without answering them, or answer again if `hung` is false."""
        for name in names:
            self.servers[name].hung = hung

    def kill_proxies(self, numbers: Sequence[int], downtime: int) -> None:
        """Stop proxies with all their state; each starts again with only the endpoint list.

        Args:
            numbers: Numbers of the proxies.
            downtime: Time until the proxies start again, in microseconds.
        """
        for number in numbers:
            self.proxies[number].down = True
            for server in self.servers.values():
                server.connected_proxies.discard(self.proxies[number])
            self.schedule(self.now + downtime, self.restart_proxy, number)

    def restart_proxy(self, number: int) -> None:
        """Start a proxy without any state of its predecessor."""
        self.proxies[number] = Proxy(self, number, self.copy_endpoints(), self.now)
        self.perform_due_actions(self.proxies[number])

    # Results

    def peak_overload(self) -> float:
        """Return the highest peak overload of all cold servers; a server above 1 would have failed."""
        return max((server.peak_overload for server in self.servers.values()), default=0.0)

    def served_shares(self, first: int = 0, last: int = 1 << 30) -> dict[str, float]:
        """Return for each class the share of operations that were satisfied within the latency objective.

        Args:
            first: First second in which the counted operations started.
            last: Second after the last one that counts.
        """
        shares = {}
        for load in self.loads:
            started, satisfied = (
                sum(n for (name, second), n in counts.items() if name == load.name and first <= second < last)
                for counts in (self.operations_started, self.operations_satisfied)
            )
            shares[load.name] = satisfied / started if started else 1.0
        return shares


# Faults that affect a part of the fleet, by name


def restart_proxies(swarm: Swarm) -> None:
    """Kill seven in ten proxies and start them again after half a second."""
    swarm.kill_proxies(
        swarm.rng.sample(range(swarm.world.proxies), swarm.world.proxies * 7 // 10),
        MICROSECONDS_PER_SECOND // 2,
    )


def replace_servers(swarm: Swarm) -> None:
    """Replace six in ten servers by cold ones, a third of them each second."""
    names = swarm.rng.sample(sorted(swarm.servers), swarm.world.servers * 6 // 10)
    for part in range(3):
        swarm.schedule(swarm.now + part * MICROSECONDS_PER_SECOND, swarm.replace_servers, names[part::3])


def hang_servers(swarm: Swarm) -> None:
    """Let a tenth of the servers accept requests without answering them."""
    swarm.hang_servers(sorted(swarm.servers)[::10])


def slow_down_servers(swarm: Swarm) -> None:
    """Let an eighth of the servers take six times as long for a request."""
    for name in sorted(swarm.servers)[::8]:
        swarm.servers[name].slowdown = 6.0


FAULTS = {
    "restart": restart_proxies,
    "replace": replace_servers,
    "hang": hang_servers,
    "slow": slow_down_servers,
}
