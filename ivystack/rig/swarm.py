"""Many instances of the decisions before shared cache nodes, in virtual time: what a fleet does at once.

Owns the virtual world: clients, proxies' timers, nodes' queues and copies, the origin behind them, and what
became of each request by class.  It must never decide for a proxy, nor change what it settles: each proxy is
a
Balancer made from settings, called as the network part calls it.  There are no sockets and no frames; of a
connection only its place in a node's table is kept, one for each proxy that has any there.

    swarm = Swarm(Random(1), loads, World(nodes=60, proxies=40, reqs_per_s=900))
    swarm.play(10_000_000)
    swarm.served()          # {"read": 0.81, ..}: satisfied in time of those asked for, all tries as one
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

S = 1_000_000
ORIGIN = "origin"  # its name in lists, where proxies ask it


@dataclass(frozen=True, slots=True)
class Load:
    """A class of requests: its part of all, a request's work in microseconds of a core, and what settings
    state."""

    name: str
    part: float
    work: int
    priority_weight: float
    budget: int
    semantics: str = "pure"
    proxies: int | None = None  # only so many send it
    write: bool = False
    tenant: str | None = None

    def sheet(self) -> dict:
        return {
            "name": self.name, "criticality": self.priority_weight, "semantics": self.semantics, "group":
            "all",
            "latency_budget": self.budget * 1000, "give_up": 2 * self.budget * 1000, "window": 12 * S * 1000,
        }  # fmt: skip


MIX = [
    Load("view", 0.54, 53_000, 5, 750_000),
    Load("check", 0.39, 93_000, 3, 600_000),
    Load("sign", 0.07, 150_000, 10, 1_200_000, "token"),
]


def work(loads: list[Load]) -> float:
    """Seconds of a core that a request takes, over all classes."""
    return sum(one.part * one.work for one in loads) / sum(one.part for one in loads) / S


@dataclass(slots=True)
class World:
    """Sizes and habits.  Times are microseconds, rates over the whole fleet."""

    nodes: int
    proxies: int
    reqs_per_s: float
    cores: int = 3
    keys: int = 4000
    way: int = 5_000  # from a proxy to a node
    tries: int = 3  # a client's, its first among them
    pause: int = 100_000  # before it comes again
    hurried: float = 0.0  # of the clients give up after a twentieth of the budget, and are not counted
    spread: float = 1.0  # of the proxies' rates: the deviation of a lognormal's logarithm
    copies: int = 400  # that a node keeps
    hits: float = 0.9  # of the keys that a warm node is asked for first, so many it has
    fetch: int = 100_000  # what the origin takes for one
    fetches: int = 60  # that it does at a time
    cold: int = 6 * S  # until a node is warm
    cold_share: float = 0.3
    overload: float = 4.0  # times what it can do by then pushes a cold node over,
    fall: int = S  # over such a time
    table: int = 1 << 30  # connections that a node holds: beyond, new ones are turned away
    attempts: int = 3
    peers: bool = True
    aside: bool = False  # caches tell a miss, and proxies ask the origin; writes go there alone
    tenants: dict[str, float] = field(default_factory=dict)  # and what each is allowed, a second
    excess: float = 0.1
    chance: Random = field(default_factory=lambda: Random(3))
    mean: float = 1.0  # work of a request, in microseconds of a core; the swarm's to say


class SimulatedServer:
    """A cache node: cores that do one request each, in order, late ones too, and the copies that it keeps."""

    def __init__(self, name: str, world: World, started: int = 0):
        self.name, self.world, self.started = name, world, started
        self.free = [0] * world.cores  # when each core is
        self.keeps: OrderedDict[int, None] = OrderedDict()
        self.held: set[Proxy] = set()  # whose connections it has
        self.hung = self.gone = False
        self.slow = 1.0
        self.came: deque[tuple[int, float]] = deque()  # while it is cold: when, and the work
        self.pushed = 0.0  # the most of its bound that came within the time of a fall

    def warmth(self, now: int) -> float:
        if not self.started:
            return 1.0
        least = self.world.cold_share
        return min(1.0, least + (1 - least) * (now - self.started) / self.world.cold)

    def takes(self, work: float, now: int) -> None:
        """Counts towards its fall, also what it turns away.  N requests of mean work are its budget, and
        beyond
        that 2 x root of N + 2 are chance."""
        if self.warmth(now) == 1 or not self.started:
            return
        self.came.append((now, work))
        while self.came[0][0] <= now - self.world.fall:
            self.came.popleft()
        budget = self.world.overload * self.world.cores * self.warmth(now) * self.world.fall / self.world.mean
        sent = sum(work for _, work in self.came) / self.world.mean
        self.pushed = max(self.pushed, sent / (budget + 2 * budget**0.5 + 2))

    def has(self, key: int) -> bool:
        if key not in self.keeps and not self.started and self.world.chance.random() < self.world.hits:
            self.keep(key)
        if key in self.keeps:
            self.keeps.move_to_end(key)
        return key in self.keeps

    def keep(self, key: int) -> None:
        self.keeps[key] = None
        if len(self.keeps) > self.world.copies:
            self.keeps.popitem(last=False)

    def done_at(self, work: float, key: int, now: int, origin: Origin) -> int:
        core = min(range(len(self.free)), key=self.free.__getitem__)
        start = max(now, self.free[core])
        if not self.has(key):
            start = origin.fetched_at(start)  # a miss holds its place
            self.keep(key)
        self.free[core] = start + round(work * self.slow / self.warmth(now))
        return self.free[core]


class Origin:
    """What all nodes fetch from: so many fetches at a time, in order."""

    def __init__(self, world: World):
        self.world = world
        self.free = [0] * world.fetches
        self.fetches = 0

    def fetched_at(self, now: int) -> int:
        start = max(now, heapq.heappop(self.free))
        heapq.heappush(self.free, start + self.world.fetch)
        self.fetches += 1
        return start + self.world.fetch


@dataclass(eq=False, slots=True)
class Asked:
    """What a client wants, over all its tries."""

    load: Load
    key: int
    proxy: int
    hurried: bool
    since: int
    tries: int = 0


class Proxy:
    """One instance with its timer; `settings` makes it anew at a restart."""

    def __init__(self, swarm: Swarm, number: int, nodes: list[Server], now: int):
        self.swarm, self.number = swarm, number
        settings = InstanceConfiguration(swarm.rng.getrandbits(60), swarm.sheet(number))
        self.balancer: Balancer = settings.balancer
        self.request_classes, self.tenants = settings.request_classes, settings.tenants
        self.alarm: int | None = None
        self.out: dict[Attempt, Asked] = {}
        self.asked: dict[Request, Asked] = {}
        self.dead = False
        self.balancer.update_endpoints(nodes, True, now)


class Swarm:
    """All of it.  `at(time, call)` puts a fault or a change of the list on the clock."""

    def __init__(self, rng: Random, loads: list[Load], world: World):
        self.rng, self.loads, self.world = rng, loads, world
        world.mean = work(loads) * S
        self.now, self.count = 1_000 * S, 0
        self.begun = self.now
        self.due: list[tuple[int, int, Callable]] = []
        self.servers = {
            name: SimulatedServer(name, world) for name in (f"n{i:04}" for i in range(world.nodes))
        }
        self.origin = Origin(world)
        # Zipf's law with an offset: the most popular key has some hundredth of the requests.
        self.popular = [*accumulate(1 / (rank + 5) for rank in range(world.keys))]
        rates = [rng.lognormvariate(0, world.spread) for _ in range(world.proxies)]
        self.rates = [rate / sum(rates) * world.reqs_per_s for rate in rates]
        self.listed = {name: Server(name) for name in self.servers}
        if world.aside:
            self.listed[ORIGIN] = Server(ORIGIN, kind=1)
        self.proxies = [Proxy(self, i, self.list(), self.now) for i in range(world.proxies)]
        self.asked: Counter[tuple[str, int]] = Counter()  # by class and second
        self.in_time: Counter[tuple[str, int]] = Counter()
        self.ends: Counter[tuple[str, str]] = Counter()  # by class and how a try ended
        self.most_runs = 0  # of a request whose effect must not come twice
        for number in range(world.proxies):
            for load in loads:
                self.next_req(number, load)

    def sheet(self, number: int) -> dict:
        world = self.world
        limits = {"most_write_outs": world.attempts, "may_duplicate": True, "conn_idle": 60 * S * 1000}
        limits |= {"peers": world.peers, "retry_after": True, "max_retry_after": 1_200_000_000}
        aside = {"kinds": ["cache", ORIGIN], "specifics": {"origin_kind": 1}} if world.aside else {}
        return aside | {
            "methods": [load.sheet() for load in self.loads], "limits": limits, "n_instances": world.proxies,
            "parties": [{"name": n, "allowance_per_s": a} for n, a in world.tenants.items()],
            "excess_criticality": world.excess, "slot_no": number, "granularity": 5_000_000,
            "rules": {
                "cold": world.cold * 1000, "cold_share": world.cold_share, "overload_factor": world.overload,
            },
        }  # fmt: skip

    def list(self) -> list[Server]:
        return [Server(n.name, n.kind, state=n.state, started_at=n.started_at) for n in self.listed.values()]

    def at(self, time: int, call: Callable, *given) -> None:
        self.count += 1
        heapq.heappush(self.due, (time, self.count, lambda: call(*given)))

    def play(self, span: int) -> None:
        end = self.now + span
        while self.due and self.due[0][0] <= end:
            self.now, _, call = heapq.heappop(self.due)
            call()
        self.now = end

    # Clients.

    def next_req(self, number: int, load: Load) -> None:
        senders = load.proxies or self.world.proxies
        if number >= senders:
            return
        mean = self.rates[number] if load.proxies is None else self.world.reqs_per_s / senders
        rate = mean * load.part
        self.at(self.now + round(self.rng.expovariate(rate) * S), self.asks, number, load)

    def asks(self, number: int, load: Load) -> None:
        self.next_req(number, load)
        key = bisect(self.popular, self.rng.random() * self.popular[-1])
        hurried = self.rng.random() < self.world.hurried
        self.asked[load.name, (self.now - self.begun) // S] += not hurried
        self.try_again(Asked(load, key, number, hurried, self.now))

    def try_again(self, asked: Asked) -> None:
        proxy = self.proxies[asked.proxy]
        if proxy.dead:
            return self.ended(asked, "down")
        asked.tries += 1
        method = proxy.request_classes[asked.load.name]
        give_up = self.now + (asked.load.budget // 20 if asked.hurried else 2 * asked.load.budget)
        tenant = proxy.tenants.get(asked.load.tenant)
        request = Request(method, self.now, give_up, asked.key, tenant, is_write=asked.load.write)
        proxy.asked[request] = asked
        self.carry(proxy, request, proxy.balancer.route(request, self.now))
        self.settle(proxy)

    def ended(self, asked: Asked, how: str) -> None:
        self.ends[asked.load.name, how] += 1
        if how in ("nack", "down") and asked.tries < self.world.tries:
            self.at(self.now + self.rng.randrange(self.world.pause * 2), self.try_again, asked)

    # Proxies.

    def act(self, proxy: Proxy, action: Request | SendGossip | CloseIdleConnections) -> None:
        match action:
            case SendGossip(peer, datagram):
                self.at(self.now + self.world.way, self.hears, peer, datagram)
            case CloseIdleConnections(server):
                if server.name in self.servers:
                    self.servers[server.name].held.discard(proxy)
            case request:
                self.carry(proxy, request, proxy.balancer.route(request, self.now))

    def carry(self, proxy: Proxy, request: Request, decision: Decision) -> None:
        match decision:
            case Send(timeout_at=timeout_at):
                self.send(proxy, request.attempts[-1], timeout_at)
            case Reject():
                self.over(proxy, request, "nack")
            case Fail():
                self.over(proxy, request, "fail")

    def over(self, proxy: Proxy, request: Request, how: str) -> None:
        if not request.concluded:
            request.concluded = True
            asked = proxy.asked.pop(request)
            if how == "satisfied":
                well = self.now - request.arrived_at <= request.request_class.latency_objective
                self.ends[asked.load.name, "satisfied" if well else "late"] += 1
                self.in_time[asked.load.name, (asked.since - self.begun) // S] += well and not asked.hurried
            else:
                self.ended(asked, how)

    def hears(self, peer: int, words: bytes) -> None:
        proxy = self.proxies[peer]
        if not proxy.dead:
            proxy.balancer.receive_gossip(words, self.now)
            self.settle(proxy)

    def settle(self, proxy: Proxy) -> None:
        while True:
            wakeup = proxy.balancer.next_wakeup(self.now)
            if not wakeup.due:
                break
            for action in wakeup.due:
                self.act(proxy, action)
        rest = wakeup.delay
        if rest is not None and (proxy.alarm is None or self.now + max(rest, 1) < proxy.alarm):
            proxy.alarm = self.now + max(rest, 1)
            self.at(proxy.alarm, self.wake, proxy, proxy.alarm)

    def wake(self, proxy: Proxy, alarm: int) -> None:
        if proxy.alarm == alarm and not proxy.dead:
            proxy.alarm = None
            self.settle(proxy)

    def send(self, proxy: Proxy, attempt: Attempt, until: int) -> None:
        self.at(until, self.record_outcome, proxy, attempt, Outcome.TIMED_OUT)
        self.at(self.now + self.world.way, self.comes, proxy, attempt)

    def fetches(self, attempt: Attempt) -> int:
        """When the origin has answered a proxy; of a read the cache that missed keeps the value."""
        missed = [w.server.name for w in attempt.request.attempts if w.outcome == Outcome.CACHE_MISS]
        if missed and missed[-1] in self.servers:
            self.servers[missed[-1]].keep(attempt.request.key)
        return self.origin.fetched_at(self.now)

    def comes(self, proxy: Proxy, attempt: Attempt) -> None:
        if attempt.server.name == ORIGIN:
            return self.at(
                self.fetches(attempt) + self.world.way, self.record_outcome, proxy, attempt, Outcome.SUCCEEDED
            )
        server = self.servers.get(attempt.server.name)
        if server is None or server.gone:
            return self.at(
                self.now + self.world.way, self.record_outcome, proxy, attempt, Outcome.CONNECTION_REFUSED
            )
        if server.hung or attempt.outcome is not None or proxy.dead:
            return
        attempt.first_on_connection = proxy not in server.held
        if attempt.first_on_connection and len(server.held) >= self.world.table:
            return self.at(self.now + self.world.way, self.record_outcome, proxy, attempt, Outcome.OVERLOADED)
        server.held.add(proxy)
        if self.world.aside and not server.has(attempt.request.key):
            return self.at(self.now + self.world.way, self.record_outcome, proxy, attempt, Outcome.CACHE_MISS)
        asked = proxy.asked.get(attempt.request)
        work = (asked.load.work if asked else self.loads[0].work) * self.rng.gammavariate(3, 1 / 3)
        server.takes(work, self.now)
        done = server.done_at(work, attempt.request.key, self.now, self.origin)
        self.at(done + self.world.way, self.record_outcome, proxy, attempt, Outcome.SUCCEEDED)

    def record_outcome(self, proxy: Proxy, attempt: Attempt, outcome: Outcome) -> None:
        if attempt.outcome is not None or proxy.dead:
            return
        follow_up = proxy.balancer.record_outcome(
            attempt, outcome, self.now, None, outcome == Outcome.SUCCEEDED
        )
        if outcome == Outcome.SUCCEEDED:
            self.over(proxy, attempt.request, "satisfied")
        for other in follow_up.cancel:
            if other.outcome is None:
                proxy.balancer.record_outcome(other, Outcome.CANCELLED, self.now)
        if not attempt.request.concluded:
            self.carry(proxy, attempt.request, follow_up.decision)
        self.settle(proxy)

    # Faults and the list.

    def tell(self, *names: str) -> None:
        """All proxies' lists, each a little later than the one before: seconds are for the caller to add."""
        for proxy in self.proxies:
            news = [n for n in self.list() if n.name in names]
            self.at(self.now + self.rng.randrange(200_000), self.hears_list, proxy, news)

    def hears_list(self, proxy: Proxy, news: Sequence[Server]) -> None:
        if not proxy.dead:
            proxy.balancer.update_endpoints(news, False, self.now)
            self.settle(proxy)

    def replace(self, names: Sequence[str]) -> None:
        """New nodes in the place of these, which leave at once: cold, and with other names."""
        fresh = []
        for name in names:
            self.servers[name].gone = True
            self.listed[name].state = ServerState.GONE
            new = f"{name}+"
            self.servers[new] = SimulatedServer(new, self.world, self.now)
            self.listed[new] = Server(new, state=ServerState.READY, started_at=self.now)
            fresh.append(new)
        self.tell(*names, *fresh)

    def hang(self, names: Sequence[str], on: bool = True) -> None:
        for name in names:
            self.servers[name].hung = on

    def kill(self, numbers: Sequence[int], back: int) -> None:
        """Proxies die with what they hold, and come back knowing nothing but the list."""
        for number in numbers:
            self.proxies[number].dead = True
            for server in self.servers.values():
                server.held.discard(self.proxies[number])
            self.at(self.now + back, self.restart, number)

    def restart(self, number: int) -> None:
        self.proxies[number] = Proxy(self, number, self.list(), self.now)
        self.settle(self.proxies[number])

    # What came of it.

    def pushed(self) -> float:
        """The most, over all cold nodes, of what may come to one before it falls."""
        return max((server.pushed for server in self.servers.values()), default=0.0)

    def served(self, first: int = 0, last: int = 1 << 30) -> dict[str, float]:
        """By class: the part satisfied in time of what was asked for in these seconds."""
        found = {}
        for load in self.loads:
            asked, well = (
                sum(n for (name, at), n in of.items() if name == load.name and first <= at < last)
                for of in (self.asked, self.in_time)
            )
            found[load.name] = well / asked if asked else 1.0
        return found


# Faults that take a part of the fleet, by name.


def restart(swarm: Swarm) -> None:
    """Seven in ten proxies die and come back after half a second."""
    swarm.kill(swarm.rng.sample(range(swarm.world.proxies), swarm.world.proxies * 7 // 10), S // 2)


def replaced(swarm: Swarm) -> None:
    """Six in ten nodes are replaced by cold ones, a third of them each second."""
    names = swarm.rng.sample(sorted(swarm.servers), swarm.world.nodes * 6 // 10)
    for part in range(3):
        swarm.at(swarm.now + part * S, swarm.replace, names[part::3])


def hung(swarm: Swarm) -> None:
    """A tenth of the nodes take requests and answer none."""
    swarm.hang(sorted(swarm.servers)[::10])


def slowed(swarm: Swarm) -> None:
    """An eighth of the nodes take six times as long."""
    for name in sorted(swarm.servers)[::8]:
        swarm.servers[name].slow = 6.0


FAULTS = {"restart": restart, "replace": replaced, "hang": hung, "slow": slowed}
