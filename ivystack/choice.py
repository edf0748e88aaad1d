"""All decisions of ivystack: where a request goes, when, how often, and whether at all.

Three calls, on one Balancer an instance:
    where(request, now)                 -> (GO, server, until), Wait(), (NACK, None, come_back_in)
                                       or Fail()
    after(attempt, outcome, now)  -> the same for its request (or DONE), and a list of attempts to call off
    wait(now)                       -> microseconds until the next thing is due (None: nothing is), and the
                                       requests due now, in order, for each of which `where` is to be asked
`listed(servers, whole, now)` and `told(words, now)` tell news of the list and of peers and answer nothing.
docs/design.md says what comes from the paper, and when each exception acts.  Times: whole microseconds.
"""

from __future__ import annotations

import heapq
from bisect import bisect_left
from collections import OrderedDict, deque
from hashlib import blake2b
from math import ceil, inf, log2
from random import Random

from .model import (
    Attempt,
    CloseIdleConnections,
    Decision,
    DedupGroup,
    Done,
    Fail,
    FailureState,
    Idempotency,
    Outcome,
    OutcomeDecision,
    Reject,
    Request,
    RequestClass,
    Send,
    SendGossip,
    Server,
    ServerState,
    Tenant,
    Wait,
    Wakeup,
)
from .words import ENDING, asker, endings, mark, order, question, read_endings, read_order

NEVER_RAN = {
    Outcome.OVERLOADED,
    Outcome.CONNECTION_REFUSED,
    Outcome.NOT_SENT,
    Outcome.CACHE_MISS,
}  # the wire page: these endings prove it


# --- Placement: the paper's, sections IV and V ---


def digits(rid: int, count: int, first: int = 1, parts: int = 1) -> list[int]:
    """The factorial digits x_0 .. x_(count-1) of rid, x_l in 0..l in so many parts; end zeros count."""
    found = []
    for radix in range(first, first + count):
        rid, digit = divmod(rid, radix * parts)
        found.append(digit)
    return found


def draws(key: int, count: int, parts: int = 1) -> list[int]:
    """For each slot l a whole number in 0..l, in so many parts: the key's hash, taken apart by remainders.

    32 digits use up under 400 of a block's 512 bits while slots stay below 4096, 16 in 64 parts under 300, so
    each is even to within 2^-100; Python's own hash is salted a process and would part the proxies."""
    found: list[int] = []
    step = 32 if parts == 1 else 16
    for block in range(0, count, step):
        rid = int.from_bytes(blake2b(b"%d/%d" % (key, block)).digest(), "little")
        found += digits(rid, min(step, count - block), block + 1, parts)
    return found


def spots(found: list[int], k: int) -> list[int]:
    """The slots of replicas 0 .. k-1, then one spare, for digits x_0 .. x_(N-1) of N slots.

    Replica r is at the highest slot l >= k whose digit is r, else at slot r: so walk down from the last slot
    and stop when all are found.  The spare follows the next digit value, k, over slots that no replica has.
    """
    k, place = min(k, len(found)), {}
    for slot in range(len(found) - 1, k - 1, -1):
        if found[slot] <= k:
            place.setdefault(found[slot], slot)
            if len(place) > k:
                break
    taken = [place.get(r, r) for r in range(k)]
    free = (slot for slot in range(k, -1, -1) if slot < len(found) and slot not in taken)
    spare = place.get(k, next(free, None))
    return taken if spare is None else [*taken, spare]


class Placement:
    """Which caches a key lives on: slots in order of first start, a walk down the key's digits."""

    KEPT = 4_000  # keys' places: about 1 MB.  A list change that moves a slot drops them all.
    AWAITED = 40_000_000  # a cache that left unasked (crashed) keeps its slot: longer than outages
    K = 2  # replicas of a key: 3 was tried, and leaves each cache less room for keys of its own
    MOST = 3  # places of a key, its spare included: the design page's
    PARTS = 64  # of a digit: with whole ones a far smaller slot gets one replica's keys or none

    def __init__(self, sized: bool, live: bool = False):
        self.sized, self.live, self.parts = sized or live, live, self.PARTS if live else 1
        self.slots: list[Server] = []
        self.known: OrderedDict[tuple[int, int], list[Server]] = OrderedDict()

    def settle(self, servers: list[Server], now: int) -> None:
        """In line with the list: freed slots go to the last slot's cache, new caches go last."""
        before = list(self.slots)
        ready = {server for server in servers if server.state == ServerState.READY}
        for slot in range(len(self.slots) - 1, -1, -1):
            server = self.slots[slot]
            crashed = (
                server.state == ServerState.GONE
                and not server.was_draining
                and now - server.gone_at < self.AWAITED
            )
            if server not in ready and not crashed:
                last = self.slots.pop()
                if slot < len(self.slots):
                    self.slots[slot] = last
        awaited = {server.name: slot for slot, server in enumerate(self.slots) if server.is_placeholder}
        for server in ready if awaited else ():
            if (slot := awaited.get(mark(server).hex())) is not None:
                self.slots[slot] = server
        self.slots += sorted(ready - {*self.slots}, key=lambda server: (server.started_at, server.name))
        if self.slots != before:
            self.known.clear()

    def adopt(self, marks: list[bytes], servers: list[Server], now: int) -> None:
        """Takes another proxy's order; who is not on our list is awaited, as after a crash."""
        known: dict[bytes, list[Server]] = {}  # two of a thousand may have one mark: the older comes first
        for server in sorted(servers, key=lambda server: (server.started_at, server.name), reverse=True):
            known.setdefault(mark(server), []).append(server)
        more = dict(state=ServerState.GONE, gone_at=now, concurrency_limit=Room.START, is_placeholder=True)
        more["weight"] = sum(server.weight for server in servers) / max(1, len(servers))
        self.slots = [known[one].pop() if known.get(one) else Server(one.hex(), **more) for one in marks]
        self.known.clear()
        self.settle(servers, now)

    def homes(self, key: int, k: int) -> list[Server]:
        """The key's k replicas in order, and last its spare.  A greater k leaves them there, but for those on
        the first slots: the same walk, with more digits."""
        servers = self.known.get((key, k))
        if servers is None:
            found = draws(key, len(self.slots), self.parts)
            if self.sized:
                found = self.sized_digits(found)
            servers = [self.slots[slot] for slot in spots(found, k)[: max(k, self.MOST)]]
            self.known[key, k] = servers
            if len(self.known) > self.KEPT:
                self.known.popitem(last=False)
        return servers

    def sized_digits(self, found: list[int]) -> list[int]:
        """Quasi-digits (section V): slot l takes [0, k p_l) of the draw, in k equal parts, one a replica.

        The printed [0, p_l) would move k times too little.  A slot due more than every key once (k p_l > 1)
        takes every key.  The next p_l of the draw names the spare."""
        quasi, total = [], 0.0
        for slot, digit in enumerate(found):
            weight = self.slots[slot].weight
            total += weight
            share = weight / total if total else 1 / (slot + 1)
            due = min(share, 1 / self.K)
            quasi.append(int((digit + 0.5) / (self.parts * (slot + 1)) / due) if due else self.K + 1)
        return quasi


class Popular:
    """More replicas for a key that is hotter than its caches can bear, as own requests show: a soft spot."""

    KEPT = 64  # last keys: a key of a twentieth of the traffic shows thrice; a light proxy's last 15 s or so
    EACH = 0.33  # of a cache's mean load is what a key may add to a replica: half, quarter tried

    def __init__(self):
        self.last: deque[int | None] = deque(maxlen=self.KEPT)

    def replicas(self, key: int | None, k: int, slots: int) -> int:
        """At least k; the request itself does not count, so a key seen once gets k."""
        loads = (self.last.count(key) - 1) / max(1, len(self.last)) * slots / self.EACH
        return max(k, min(slots, ceil(loads)))


# --- Health: failures in a row, own evidence only ---


class Health:
    """Tells servers that can be sent work from those that get a trial now and then."""

    FAILED = 2  # in a row: one can be chance, and each further one costs a request its time
    PAUSE = 500_000  # before a down server's first trial; doubled a trial, up to eight times that
    PASSED = 2  # own requests passed by before that, doubled alike: guards a server against hundreds' trials

    def up(self, state: FailureState) -> bool:
        return state.consecutive_failures < self.FAILED

    def due(self, state: FailureState, now: int) -> bool:
        return now >= state.next_probe_at and state.skipped_requests >= self.PASSED << min(
            max(state.probes - 1, 0), 3
        )

    def failed(self, state: FailureState, broken: bool, now: int) -> None:
        state.consecutive_failures += 1
        state.connection_failed = state.connection_failed or broken
        if state.consecutive_failures >= self.FAILED and now >= state.next_probe_at:
            state.next_probe_at = now + (self.PAUSE << min(state.probes, 3))
            state.probes += 1
            state.skipped_requests = 0

    def came_back(self, server: Server, now: int) -> None:
        if server.health.connection_failed and server.health.probes > 2:  # still refused at a trial
            server.started_at = (
                now  # its process was gone, so it is back cold, though the list may not say so yet
            )

    def answered(self, state: FailureState) -> None:
        state.connection_failed = False
        if state.consecutive_failures >= self.FAILED:
            state.consecutive_failures = (
                self.FAILED - 1
            )  # on trial still: one that fails now and then is out at once
        else:
            state.consecutive_failures, state.probes, state.next_probe_at = 0, 0, 0


# --- The ways to other zones ---


class Ways:
    """Tells zones out of reach from here: a slow or lossy way, or all of a zone's servers at fault.

    Guards requests against homes that are well, and content with their own zone's proxies, but can't answer
    us in
    time.  Judged as a server is, by bad endings in a row; never so that no zone is left."""

    ROW = 8  # over all of its servers: far more than chance or one sick server gives

    def __init__(self):
        self.zones: dict[str, FailureState] = {}

    def ended(self, zone: str, well: bool) -> None:
        one = self.zones.setdefault(zone, FailureState())
        if not well:
            one.consecutive_failures += 1
        elif one.consecutive_failures >= self.ROW:
            one.consecutive_failures = self.ROW - 1  # on trial still
        else:
            self.zones[zone] = FailureState()

    def far(self, zone: str, now: int) -> bool:
        one = self.zones.get(zone)
        bad = one and one.consecutive_failures >= self.ROW and now < one.next_probe_at
        return bool(bad) and any(other.consecutive_failures < self.ROW for other in self.zones.values())

    def sent(self, zone: str, now: int) -> None:
        """One that went to a far zone is its trial: the next one waits."""
        one = self.zones.get(zone)
        if one and one.consecutive_failures >= self.ROW and now >= one.next_probe_at:
            one.next_probe_at = now + (Health.PAUSE << min(one.probes, 3))
            one.probes += 1


# --- Live weights: where the list lowers a server's size by the requests that it holds ---


class Live:
    """Tells a server's size from its load in such a weight, size / (1 + requests held a core).

    Guards keys and proxies against sizes that move with each list: the greatest weight that a kind has shown
    is its size, since one at rest shows it, and a proxy that starts late finds the same."""

    STEPS = 4  # of sizes, a doubling: noise and what a kind still lacks of its size move no key
    AGE = 3_000_000  # a load counts in full when listed and not at all so much later: some lists on
    REST = 1.0  # requests held a core: none waits there

    def __init__(self):
        self.most: dict[int, float] = {}
        self.mean = 0.0  # load of the caches listed last

    def sized(self, servers: list[Server], now: int) -> bool:
        """Gives each its kind's size; whether that is news for any."""
        before = [server.weight for server in servers]
        for server in servers:
            server.weight = 2 ** (round(log2(self.most.get(server.kind, 1.0)) * self.STEPS) / self.STEPS)
        self.mean = sum(self.load(server, now) for server in servers) / max(1, len(servers))
        return before != [server.weight for server in servers]

    def listed(self, server: Server, weight: float, now: int) -> None:
        most = self.most[server.kind] = max(weight, self.most.get(server.kind, 0.0))
        server.load, server.load_reported_at = most / weight - 1, now

    def reported(self, server: Server, figures: dict[str, float], now: int) -> None:
        """What the server told of itself with an answer: requests held, or at the least those that wait
        there."""
        held = figures.get("active")
        if held is None and figures.get("waiting"):
            held = self.REST * server.weight + figures["waiting"]
        if held is not None:
            server.load, server.load_reported_at = held / server.weight, now

    def load(self, server: Server, now: int) -> float:
        """What is known of it, the less the older, and our own attempts since on top."""
        return (
            server.load * max(0.0, 1 - (now - server.load_reported_at) / self.AGE)
            + server.in_flight / server.weight
        )


# --- Cold servers: they take part of their keys' requests, by chance ---


class Cold:
    """A cold server is open to the part of its requests that it can be counted on for, whoever sends them.

    Guards against pushing it over: each request draws its luck once, so all proxies' loads together are that
    part
    of the server's usual load, however many they are and whatever they know; nothing is saved up."""

    def __init__(self, cold_share: float, cold: int, fall: float):
        self.share, self.cold = cold_share, cold
        # Of what its keys' other homes can't take: the stated multiple leaves room for it beyond two, which
        # chance and clients that try again may make of its own part.
        self.spill = min(1.0, max(0.0, (fall - 2) / 2))

    def warmth(self, server: Server, now: int) -> float:
        """The part of its capacity that it can be counted on for; 1 once it is warm."""
        if not server.started_at or not self.cold:
            return 1.0
        part = self.share + (1 - self.share) * max(0, now - server.started_at) / self.cold
        # Guards it where all that is asked is more than the fleet can do, and its part with it.
        held = server.load if now < server.load_reported_at + Live.AGE else 0.0
        return 1.0 if part >= 1 else part / max(Live.REST, held)


# --- Sharing under pressure ---


class Room:
    """How many of our attempts a server bears at once, and what part of our requests: shown by what came in
    time.

    Guards against the jam: where late work is not stopped, sending on keeps a queue full that makes all late.
    """

    LEAST, MOST = 0.05, 64.0  # one in 2 s shows when it is better; the most bounds a fall
    CLOSED = 0.02  # of our requests still go out, else slow errors or full servers would close all for good
    START = 12.0  # of a window: so that the least worth still has one place at a server that shows no strain
    REST = 0.125  # of a latency budget, between attempts, over the window, when that is below one
    GROWTH, QUICK = 0.1, 4  # of a small window, an answer, times those in a row; faster where no share fell
    NUDGE = 0.25  # off a cache's that answered what was sent later: a lost connection, or long work, no jam
    FALL = 0.25  # of the window is left after a jam, shown by attempts that ran out of time
    FALL_SHARE = 0.35  # of that of a server met seldom, by own and peers' time-outs: forty fed a jam with 0.5
    FALL_ALL, BACK_ALL = 0.8, 0.02  # of the common share: one in eleven out of time leaves all of it
    BACK = 0.15  # of a server's share with an answer: one in five out of time leaves all, one in two a third
    EBB, SLOW_ASIDE, SLOW = 0.92, 0.5, 0.75  # left of both after a slow answer; in through mode after two
    LEFT = 0.7  # of an origin's window, when one of its answers has waited longer than it may
    TIMES = 12  # its last answers'; with 32 a way that has grown long was taken for a wait for too long
    SLOW_HIT, FALL_HIT = (
        0.4,
        0.7,
    )  # of a server's share with a hit that took such a part of the budget: a queue
    FRESH = 500_000  # what the server itself showed this lately goes before what all show: some answers' time

    def __init__(self):
        self.common = 1.0  # of our requests may go out: a light proxy meets servers too seldom to go by each

    def has(
        self, server: Server, part: float, now: int, required_share=0.0, rest: float = 1e5, alone=False
    ) -> bool:
        # Listed at rest is as good: guards a good server against what the rest of the fleet shows.
        rests = server.load <= Live.REST and now < server.load_reported_at + Live.AGE
        heard = (now < server.last_outcome_at + self.FRESH or rests) and server.concurrency_limit >= 1
        if (server.admitted_share if heard or alone else min(server.admitted_share, self.common)) < max(
            1 - part, required_share
        ):
            return False
        room = part * server.concurrency_limit
        if room < 1:  # below one attempt at a time, one after a rest
            return not server.in_flight and now >= server.last_sent_at + rest / room
        return server.in_flight < room

    def answered(self, server: Server, slow: bool) -> None:
        if slow:
            self.told(server, False, self.EBB)
            return self.strained(self.EBB)
        server.consecutive_on_time += 1
        self.told(server, True)
        self.common = min(1.0, self.common + self.BACK_ALL)
        # Beyond: only while the least worth finds no place: rank shall not bind where nothing is strained.
        if (
            server.concurrency_limit < self.START
            or Shares.LEAST * server.concurrency_limit < server.in_flight + 1
        ):
            quick = self.QUICK if min(server.admitted_share, self.common) == 1 else 1
            growth = min(
                self.GROWTH * server.consecutive_on_time * server.concurrency_limit,
                quick / server.concurrency_limit,
            )
            server.concurrency_limit = min(self.MOST, server.concurrency_limit + growth)

    def origin_answered(self, server: Server, spent: int, budget: int, sent: int, now: int) -> None:
        """Its window goes by the wait there: what an answer took beyond the quickest of the last.

        Guards an origin that all share against proxies that fill its queue until every fetch is too late."""
        server.response_times = (*server.response_times[1 - self.TIMES :], spent)
        if not self.waited(server, spent, budget):
            if server.in_flight + 1 >= server.concurrency_limit / 2:
                server.concurrency_limit = min(
                    self.MOST, server.concurrency_limit + self.QUICK / server.concurrency_limit
                )
        elif sent >= server.limit_lowered_at:
            server.limit_lowered_at = now
            server.concurrency_limit = max(
                2.0, min(server.concurrency_limit, server.in_flight + 1) * self.LEFT
            )

    def waited(self, server: Server, spent: int, budget: int) -> bool:
        """A whole latency budget beyond the quickest of the last: too late, however long the way."""
        return spent - min(server.response_times, default=0) > budget

    def told(self, server: Server, well: bool, left: float = FALL_SHARE) -> None:
        server.admitted_share = (
            min(1.0, server.admitted_share + self.BACK)
            if well
            else max(self.CLOSED, server.admitted_share * left)
        )

    def strained(self, left: float = FALL_ALL) -> None:
        self.common = max(self.CLOSED, self.common * left)

    def ran_out(self, server: Server, origin: bool, up: bool, often: bool, sent: int, now: int) -> None:
        server.consecutive_on_time = 0
        if (
            sent < server.limit_lowered_at
        ):  # it was out already when the window fell: one jam is held against a server once
            return
        server.limit_lowered_at = now
        self.told(server, False, self.FALL_ALL if often else self.FALL_SHARE)
        if up and not origin:  # further failures in a row are the server's own
            self.strained()
        if origin:  # of what is in use, which the window may be far above
            server.concurrency_limit = max(2.0, min(server.concurrency_limit, server.in_flight + 1) / 2)
        else:
            server.concurrency_limit = max(self.LEAST, server.concurrency_limit * self.FALL)


class Shares:
    """A request's rank by worth among the last says how much of a window it may use."""

    KEPT = 200  # last requests to be ranked among: a second or so of a busy proxy's
    LEAST = 0.1  # of a window, for the least worth
    # requests below each by assumption: the first after a start has nothing to be ranked among, and goes
    NEW = 4
    ALIKE = 8  # requests: a light proxy's first dozens tell little of who sends more than its share
    KEYS = 1000  # last answered ones that a cache will mostly still hold
    # Of requests, rank as one of a class drawn from the last, if that is worth more: guards classes against
    # being
    # shut out by rank for as long as a strain lasts.  A miss still ranks as one, excess as excess.
    FLOOR = 0.75
    MISS = 0.2  # of its worth for the rest: a miss costs the origin, and holds a place while it is fetched

    def __init__(self, rng: Random, tenants: list[Tenant], excess: float, parts: int):
        self.rng, self.tenants, self.excess, self.parts = rng, tenants, excess, parts
        self.worths: deque[float] = deque()
        self.asked: deque[float] = deque(maxlen=self.KEPT)  # worths of their classes
        self.ordered: list[
            float
        ] = []  # the same: looking at each for each request took an eighth of our time
        self.last: deque[tuple[Tenant, int]] = deque()  # whose request came when
        self.seen: OrderedDict[int, bool] = OrderedDict()

    def came(self, tenant: Tenant, now: int) -> None:
        self.last.append((tenant, now))
        tenant.recent_requests += 1
        if len(self.last) > self.KEPT:
            self.last.popleft()[0].recent_requests -= 1

    def within(self, tenant: Tenant, now: int) -> float:
        """The part of a tenant's traffic that its share covers.  We see an unknown part of all traffic: the
        middle tenant's rate over its quota is it."""
        if not tenant.quota:
            return 1.0
        due = sum(t.quota for t in self.tenants)
        rate = len(self.last) * 1_000_000 / max(1, now - self.last[0][1])

        def part(t: Tenant) -> float:  # of its quota that comes here, as if ALIKE more came in proportion
            return (t.recent_requests / t.quota + self.ALIKE / due) / (len(self.last) + self.ALIKE) * rate

        parts = sorted(part(t) for t in self.tenants if t.quota)
        return min(1.0, max(parts[len(parts) // 2], 1 / self.parts) / part(tenant))

    def answered(self, key: int | None) -> None:
        self.seen[key] = True
        self.seen.move_to_end(key)
        if len(self.seen) > self.KEYS:
            self.seen.popitem(last=False)

    def part_of_window(self, request: Request, now: int, chance: float = 1.0) -> float:
        worth = own = request.request_class.priority_weight
        if self.asked and self.rng.random() < self.FLOOR:
            worth = max(worth, self.rng.choice(self.asked))
        self.asked.append(own)
        if request.tenant:
            self.came(request.tenant, now)
            if self.rng.random() > self.within(request.tenant, now):
                worth = own * self.excess
                request.required_share = (
                    1 - self.excess
                )  # the less it is worth, the less strain it may add to
        if request.key not in self.seen:
            worth *= self.MISS
        worth = max(worth, 1e-9) * chance * (1 + 0.01 * self.rng.random())  # equals are parted by chance
        below = bisect_left(self.ordered, worth)
        self.worths.append(worth)
        self.ordered.insert(below, worth)
        if len(self.worths) > self.KEPT:
            self.ordered.pop(bisect_left(self.ordered, self.worths.popleft()))
        return self.LEAST + (1 - self.LEAST) * (below + self.NEW) / (len(self.worths) + self.NEW)


# --- Connections ---


class Links:
    """Closes idle connections early where proxies are many, so that those of all fit a server's table.

    Guards against tables filled by idle ones: a server then refuses every proxy that has none.  Open ones are
    at most a server's requests a second times `keep`, whatever the number of proxies."""

    FEW = (
        16  # proxies whose connections may stay as long as the servers let them; 400 begin with 1/25 of that
    )
    LEFT, BACK = 0.8, 1.005  # of `keep`, when a new one is turned away, or taken: settles at one in forty
    AWAY = 500_000  # without a new one to a server that turned one away: some places are free again by then

    def __init__(self, idle: int, proxies: int):
        self.most = idle if proxies > self.FEW else 0
        self.first = self.keep = self.most * self.FEW // proxies  # 0: for the servers to close
        self.idle: OrderedDict[Server, int] = OrderedDict()  # since when, oldest first

    def turned_away(self, server: Server, now: int) -> None:
        server.connection_rejected_at = now
        self.keep = max(self.AWAY // 8, int(self.keep * self.LEFT))

    def taken(self) -> None:
        self.keep = min(self.most, int(self.keep * self.BACK) + 1)

    def crowded(self, server: Server, now: int) -> bool:
        return (
            now < server.connection_rejected_at + self.AWAY
            and not server.in_flight
            and server not in self.idle
        )

    def freed(self, server: Server, now: int) -> None:
        if self.keep and not server.in_flight:
            self.idle[server] = now

    def due(self, now: int) -> list[CloseIdleConnections]:
        """One for each server whose idle connections are to be closed now."""
        found = []
        while self.idle and self.rest() <= now:
            found.append(CloseIdleConnections(self.idle.popitem(last=False)[0]))
        return found

    def rest(self) -> int | None:
        return next(iter(self.idle.values())) + self.keep if self.idle else None


# --- Hearsay: what other proxies saw, where they may talk ---


class Hearsay:
    """Tells some peers now and then how our last attempts to each server ended, and takes in what they tell.

    Guards against learning of a full or hung server by hundreds of proxies one by one.  It moves known
    servers'
    shares alone, as one attempt of ours would, so a lost, late, repeated or wrong message does little."""

    EVERY = 250_000  # well below the time in which forty proxies, none of which has seen it, jam a server
    SOON = 30_000  # one with a bad ending: a jam grows by what comes meanwhile, and endings come in bursts
    TO = 12  # peers each, drawn anew: everyone then hears of that many times the endings of its own

    def __init__(self, rng: Random, me: int, proxies: int):
        self.rng, self.others = rng, [peer for peer in range(proxies) if peer != me]
        self.ended: dict[Server, int] = {}  # 0: badly, 1: well, 2: late for a hit
        self.marked: dict[bytes, Server] = {}
        self.next_at: int | None = None

    def note(self, server: Server, well: int, now: int) -> None:
        if self.others:
            self.ended[server] = well
            at = now + (self.EVERY // 2 + self.rng.randrange(self.EVERY) if well else self.SOON)
            self.next_at = at if self.next_at is None else min(at, self.next_at)

    def due(self, now: int) -> list[SendGossip]:
        if self.next_at is None or now < self.next_at:
            return []
        self.next_at = None
        words = endings([*self.ended.items()][-64:])
        self.ended.clear()
        peers = self.rng.sample(self.others, min(self.TO, len(self.others)))
        return [SendGossip(peer, words) for peer in peers]

    def knows(self, servers: list[Server]) -> None:
        self.marked = {mark(server): server for server in servers}

    def told(self, words: bytes) -> list[tuple[Server, int]]:
        return [(self.marked[one], well) for one, well in read_endings(words) if one in self.marked]


class Order:
    """Learns the slot order at the start from proxies that have kept it, where they may talk.

    Guards against the design's soft spot in a large fleet: most proxies restart amid a release, each with an
    order of its own from its list, so keys have several times their homes and hardly any copy is met again.
    """

    EVERY = 500_000  # a question: words may be lost, and whom we ask may have started just now as well
    YOUNG = 8_000_000  # the longest that lists take to show all alike; the young ask, and tell nobody
    TO = 6  # peers asked at a time: one of them has run for longer, where not nearly all are young

    def __init__(self, rng: Random, me: int, proxies: int):
        self.rng, self.me, self.others = rng, me, [peer for peer in range(proxies) if peer != me]
        self.grown_at: int | None = None
        self.next_at: int | None = 0 if self.others else None
        self.replies: deque[tuple[int, bytes]] = deque(maxlen=256)
        self.parts: dict[bytes, dict[int, bytes]] = {}

    def due(self, now: int) -> list[SendGossip]:
        said, self.replies = [*self.replies], deque(maxlen=256)
        self.grown_at = self.grown_at or now + self.YOUNG
        if self.next_at is not None and now >= self.next_at:
            self.next_at, self.parts = None, {}
            if now < self.grown_at:
                self.next_at = now + self.EVERY
                asked = self.rng.sample(self.others, min(self.TO, len(self.others)))
                said += [(peer, question(self.me)) for peer in asked]
        return [SendGossip(peer, words) for peer, words in said]

    def told(self, words: bytes, slots: list[Server], now: int) -> list[bytes]:
        """Answers a question; of an answer that has come whole, the marks in order of slots."""
        young, peer = self.grown_at is None or now < self.grown_at, asker(words)
        if peer is not None and not young:
            self.replies.extend((peer, part) for part in order(slots))
        return read_order(words, self.parts) if young else []


# --- When the list is asked for ---


class Asking:
    """Says when the list's service is called: at the start, and again after a call or a watch has failed.

    Guards a service of fixed capacity against a whole fleet's calls at once, of which most would fail, and a
    proxy against being held to news that it never asked for."""

    SOON = 20_000  # the least pause: a call that fails at once is not made in a loop

    def __init__(self, rng: Random, least: int, most: int):
        self.rng, self.least, self.most = rng, least, most
        self.failures = 0
        self.next_at: int | None = None  # none: a call or a watch is on

    def due(self, now: int) -> bool:
        """Whether to call now; the call then counts as made."""
        due = self.next_at is not None and now >= self.next_at
        self.next_at = None if due else self.next_at
        return due

    def failed(self, now: int, by: int | None = None) -> int:
        """Of a call, or a watch that broke: when to call next, later each time and spread by chance; where
        `by` is given not after it, with as wide a spread as that leaves."""
        self.failures += 1
        pause = min(self.least << min(self.failures, 8), self.most)
        if by is not None:
            pause = max(self.SOON, min(pause, 2 * (by - now) // 3))
        self.next_at = now + pause // 2 + self.rng.randrange(pause)
        return self.next_at


# --- The choice ---


class Balancer:
    FLOOR = 2  # the skip rule's least bound, the design page's
    SKIP = 2.0  # times the mean in flight a cache: the design page's; 1.5 and 3 were tried
    FURTHER = 0.15  # further attempts and second copies earned by each satisfied request
    FURTHER_MOST = 20.0  # and kept at most: enough for what a dying server held
    # Of reads, to their key's first replica, with each that finds no room at the origin, or some: guards an
    # origin that can't bear two copies' fetches.
    LEAN, LEAN_OFF = 0.05, -0.005
    HOPELESS = (
        0.05  # chance of an answer in time, below which hardly any request goes out: shown by 20 answers
    )
    MARGIN = 2  # ticks that an answer needs to get back to the client in time

    def __init__(
        self, rng: Random, placement: Placement, health: Health, cold: Cold, room: Room, shares: Shares,
        links: Links, hearsay: Hearsay | None = None, order: Order | None = None, live: Live | None = None,
        *, origin: int, most_write_outs: int, may_duplicate: bool, come_back: int, tick: int,
    ):  # fmt: skip
        self.rng, self.placement, self.health, self.cold = rng, placement, health, cold
        self.room, self.shares, self.links = room, shares, links
        self.hearsay, self.order, self.live = hearsay, order, live
        self.popular, self.ways = Popular(), Ways()
        self.many = links.keep > 0  # proxies: what one sees of a server itself is a small part, however often
        self.origin_kind, self.most, self.may_duplicate = origin, most_write_outs, may_duplicate
        self.come_back, self.tick = come_back, tick
        self.servers: dict[str, Server] = {}
        self.origins: list[Server] = []
        self.in_flight = self.count = 0
        self.spare, self.lean = self.FURTHER_MOST, 0.0
        self.due: list[tuple[int, int, Request]] = []
        self.first: deque[Request] = deque()
        self.further: deque[Request] = deque()

    def update_endpoints(self, servers: list[Server], whole: bool, now: int) -> None:
        """List news: servers as now listed.  One known before keeps its object."""
        for new in servers:
            server = self.servers.setdefault(new.name, new)
            server.concurrency_limit = server.concurrency_limit or (
                Room.MOST if server.kind == self.origin_kind else Room.START
            )
            if not 0 < new.weight < inf:  # guards the server's keys: such a weight tells nothing
                new.weight = 1.0
            elif self.placement.live:
                self.live.listed(server, new.weight, now)
            if server is not new:
                if new.state == ServerState.READY and new.started_at > server.started_at:
                    (
                        server.started_at,
                        server.health.consecutive_failures,
                        server.health.probes,
                        server.class_failures,
                    ) = new.started_at, 0, 0, {}
                server.zone, server.cell, server.state = new.zone, new.cell, new.state
            if server.state == ServerState.GONE:
                server.gone_at = now
            else:
                server.was_draining = server.state != ServerState.READY
        names = {server.name for server in servers} if whole else self.servers
        for server in self.servers.values():
            if server.name not in names and server.state != ServerState.GONE:
                server.state, server.gone_at = ServerState.GONE, now
        caches = [server for server in self.servers.values() if server.kind != self.origin_kind]
        self.origins = [
            n for n in self.servers.values() if n.kind == self.origin_kind and n.state == ServerState.READY
        ]
        if self.placement.live and self.live.sized(caches, now):
            self.placement.known.clear()
        self.placement.settle(caches, now)
        # Guards the memory: what is known of a server goes with it, once no slot awaits it; ids are ever new.
        kept = {
            *self.placement.slots,
            *(n for n in self.servers.values() if n.state != ServerState.GONE or n.in_flight),
        }
        self.servers = {name: server for name, server in self.servers.items() if server in kept}
        zones = {server.zone for server in self.servers.values()}
        self.ways.zones = {zone: one for zone, one in self.ways.zones.items() if zone in zones}
        if self.hearsay:
            self.hearsay.knows([*self.servers.values()])

    def receive_gossip(self, words: bytes, now: int) -> None:
        """A peer's message: news like the list's."""
        if self.order and len(words) % ENDING:
            marks = self.order.told(words, self.placement.slots, now)
            if marks and marks != [*map(mark, self.placement.slots)]:
                caches = [server for server in self.servers.values() if server.kind != self.origin_kind]
                self.placement.adopt(marks, caches, now)
            return
        for server, well in self.hearsay.told(words) if self.hearsay else []:
            often = not self.many and now < server.last_outcome_at + self.room.FRESH
            left = self.room.FALL_ALL if often else self.room.FALL_SHARE
            self.room.told(
                server, well == 1 or often and well == 2, self.room.FALL_HIT if well == 2 else left
            )

    def route(self, request: Request, now: int) -> Decision:
        if request.concluded:
            return Done()
        end = self.end(request)
        out = [w for w in request.attempts if w.outcome is None]
        if not request.is_ranked:
            request.is_ranked, request.warm_up_draw = True, self.rng.random()
            self.popular.last.append(request.key)
            chance = self.chance(request.request_class, end - now)
            request.limit_fraction = self.shares.part_of_window(request, now, chance)
            if chance < self.HOPELESS and request.warm_up_draw > Room.CLOSED:
                return self.never(request)
        again = bool(request.attempts) and request.attempts[-1].outcome not in NEVER_RAN
        spent = now >= end or len(request.attempts) >= self.most or (out and not self.may_duplicate)
        if spent or (again and self.spare < 1):
            late = out and now >= end and all(self.fills(request, w.server) for w in out)
            return self.never(request) if late or not out else Wait()
        server = self.pick(request, now)
        if server is None:
            return Wait() if out else self.hold(request, now, end)
        self.spare -= again
        until = self.until(request, server, now, end)
        sick = self.sick(server, request.request_class)
        latest = self.latest(request)
        at = dict(send_by=latest, zone=server.zone, cell=server.cell)
        attempt = Attempt(request, server, now, until, is_probe=sick is not None, **at)
        for one in out:  # one that still waits to go out is the repeat then, and this the first
            one.send_by = min(one.send_by, latest)
        if sick:
            self.health.failed(sick, False, now)
        request.attempts.append(attempt)
        server.in_flight, server.last_sent_at = server.in_flight + 1, now
        self.ways.sent(server.zone, now)
        self.links.idle.pop(server, None)
        self.in_flight += 1
        if until > end:  # its client is answered then; the fetch goes on
            self.later(request, end)
        elif until < end or (self.may_duplicate and self.repeatable(request)):
            self.later(request, now + self.patience(request.request_class, end - now, attempt.is_probe))
        return Send(server, until)

    def client_gone(self, request: Request) -> list[Attempt]:
        """The client needs no answer any more: the attempts to call off."""
        return request.outstanding()

    def record_outcome(
        self, attempt: Attempt, outcome: Outcome, now: int, load=None, hit: bool = False
    ) -> OutcomeDecision:
        request = attempt.request
        server, request_class, origin = (
            attempt.server,
            request.request_class,
            attempt.server.kind == self.origin_kind,
        )
        attempt.outcome = outcome
        if self.live and load:
            self.live.reported(server, load, now)
        server.in_flight, self.in_flight = server.in_flight - 1, self.in_flight - 1
        self.links.freed(server, now)
        spent = now - attempt.sent_at
        often = (
            now < server.last_outcome_at + self.room.FRESH
        )  # a server met often shows soon whether this was chance
        server.last_outcome_at = now
        # Guards good servers, here and at peers: tables that idle connections fill are no jam.
        away = outcome == Outcome.OVERLOADED and attempt.first_on_connection and self.many
        # Not in a small fleet that tells no loads: leaving a zone of it, merely loaded, jams the rest.
        judged = not origin and (self.many or self.live)
        if judged and outcome in (
            Outcome.SUCCEEDED,
            Outcome.CACHE_MISS,
            Outcome.TIMED_OUT,
            Outcome.CONNECTION_REFUSED,
            Outcome.CONNECTION_LOST,
        ):
            soon = spent <= self.room.SLOW_ASIDE * request_class.latency_objective
            self.ways.ended(server.zone, soon and outcome in (Outcome.SUCCEEDED, Outcome.CACHE_MISS))
        if outcome in (Outcome.SUCCEEDED, Outcome.CACHE_MISS):
            if attempt.first_on_connection:
                self.links.taken()
            self.health.came_back(server, now)
            self.health.answered(server.health)
            if request_class in server.class_failures:
                self.health.answered(server.class_failures[request_class])
            server.latest_success_sent_at = max(server.latest_success_sent_at, attempt.sent_at)
            request_class.attempt_times.append(spent)
            aside = self.origin_kind not in (-1, server.kind)
            part = self.room.SLOW_ASIDE if aside else self.room.SLOW
            before, server.last_was_slow = (
                server.last_was_slow,
                spent > part * request_class.latency_objective,
            )
            late = hit and not aside and spent > self.room.SLOW_HIT * request_class.latency_objective
            well = not late or (often and not self.many)  # a busy proxy's windows show its queues
            if (
                spent > request_class.latency_objective
                and server.load > Live.REST
                and now < server.load_reported_at + Live.AGE
            ):
                self.room.ran_out(server, origin, True, often, attempt.sent_at, now)
            elif origin:
                self.room.told(server, True)
                self.room.origin_answered(
                    server, spent, request_class.latency_objective, attempt.sent_at, now
                )
            elif not well:
                self.room.told(server, False, self.room.FALL_HIT)
            else:  # else it is long work
                self.room.answered(
                    server, server.last_was_slow and (aside or before and (self.many or not often))
                )
            if outcome == Outcome.SUCCEEDED:
                request_class.success_times.append(spent)
                self.spare = min(self.FURTHER_MOST, self.spare + self.FURTHER)
                self.shares.answered(request.key)
        elif (
            outcome == Outcome.TIMED_OUT
            and 2 * (attempt.timeout_at - attempt.sent_at) < request_class.latency_objective
        ):
            pass  # it went out late: not the server's doing, and above all not the origin's after a slow miss
        elif outcome == Outcome.TIMED_OUT and origin and spent < 2 * min(server.response_times, default=0):
            pass  # too short a time for the way there: guards an origin that is well, but far or cut off
        elif outcome == Outcome.TIMED_OUT and (
            self.passed_by(attempt) or (often and not server.health.consecutive_failures)
        ):
            server.health.consecutive_failures += not (attempt.suspected or self.passed_by(attempt))
            server.concurrency_limit = max(
                min(server.concurrency_limit, 1.0), server.concurrency_limit - self.room.NUDGE
            )
        elif outcome == Outcome.ERROR and 2 * spent >= request_class.latency_objective:
            # Slow errors are fetches that ran out of time: the origin behind all is pressed, not the server.
            self.room.strained()
        elif (
            outcome == Outcome.ERROR
        ):  # held against it by request_class: some servers fail one and serve the rest
            self.health.failed(server.class_failures.setdefault(request_class, FailureState()), False, now)
        elif outcome in (Outcome.CONNECTION_REFUSED, Outcome.CONNECTION_LOST, Outcome.TIMED_OUT):
            if not attempt.suspected:
                self.health.failed(server.health, outcome == Outcome.CONNECTION_REFUSED, now)
            if outcome == Outcome.TIMED_OUT:
                request_class.attempt_times.append(spent)
            # An origin that refuses is full of all proxies' requests, and there is no other: guards what is
            # left.
            if outcome == Outcome.TIMED_OUT or origin:
                self.room.ran_out(server, origin, self.health.up(server.health), often, attempt.sent_at, now)
        elif away:
            self.links.turned_away(server, now)
        elif outcome == Outcome.OVERLOADED and not self.live:
            self.room.ran_out(server, origin, self.health.up(server.health), often, attempt.sent_at, now)
        elif (
            outcome == Outcome.OVERLOADED
        ):  # where loads are told it tells of that moment alone, and nothing of others
            cold = self.cold.warmth(server, now) < 1  # what it turns away counts towards its fall
            self.room.told(server, False, self.room.FALL_SHARE if cold else self.room.FALL_ALL)
        if self.hearsay and outcome not in (Outcome.CANCELLED, Outcome.NOT_SENT) and not away:
            self.hearsay.note(
                server, 0 if outcome not in (Outcome.SUCCEEDED, Outcome.CACHE_MISS) else 1 if well else 2, now
            )
        out = [w for w in request.attempts if w.outcome is None]
        if outcome in (Outcome.SUCCEEDED, Outcome.INVALID_REQUEST) or request.concluded:
            failed = outcome == Outcome.INVALID_REQUEST and not request.concluded
            return OutcomeDecision(Fail() if failed else Done(), out)
        if not out and (now >= self.end(request) or not self.may_send_again(request, now)):
            return OutcomeDecision(self.never(request), [])
        self.further += [] if out else [request]
        return OutcomeDecision(Wait(), [])

    def next_wakeup(self, now: int) -> Wakeup:
        while self.due and self.due[0][0] <= now:
            request = heapq.heappop(self.due)[2]
            if not request.concluded:
                self.doubt(request, now)
                (self.further if request.attempts else self.first).append(request)
        talks = [talk for talk in (self.hearsay, self.order) if talk]
        ready = [*self.first, *self.further, *self.links.due(now), *(r for t in talks for r in t.due(now))]
        self.first, self.further = deque(), deque()
        standing = [self.links.rest(), *(talk.next_at for talk in talks)]
        next_at = [at for at in (self.due[0][0] if self.due else None, *standing) if at is not None]
        return Wakeup(min(next_at) - now if next_at else None, ready)

    def chance(self, request_class: RequestClass, left: int) -> float:
        """The part of its last answers that came in such a time.  Guards servers that work on when a client
        has
        gone against clients that give up before any answer can come: all their requests' work is for
        nothing."""
        if left >= max(
            request_class.success_times, default=0
        ):  # mostly: a look at each took a tenth of our time
            return 1.0
        return (1 + sum(took <= left for took in request_class.success_times)) / (
            1 + len(request_class.success_times)
        )

    def end(self, request: Request) -> int:
        """When an answer is worth nothing any more, or nobody waits for it."""
        end = request.deadline
        if not request.request_class.late_priority_weight:
            end = min(end, request.arrived_at + request.request_class.latency_objective)
        return end - self.MARGIN * self.tick

    def patience(self, request_class: RequestClass, left: int, trial: bool = False) -> int:
        """How long an attempt may take before another is worth trying: three times what nine in ten took, at
        least half of what is left: a copy sent sooner feeds the queue that made it late."""
        times = sorted(request_class.attempt_times)
        if trial:  # the server is down for all we know, and the request shall not suffer for our finding out
            return min(2 * times[len(times) // 2], left // 3) if times else left // 3
        usual = 3 * times[len(times) * 9 // 10] if len(times) >= 8 else left
        return max(min(usual, left), left // 2)

    def until(self, request: Request, server: Server, now: int, end: int) -> int:
        last = len(request.attempts) + 1 >= self.most or server.kind == self.origin_kind  # no other is there
        if self.fills(request, server):
            # Guards the caches while the origin is slow: given up, a fetch leaves no copy.  Twice the slowest
            # of the last: one that was lost would hold a place for nothing.
            usual = 2 * max(server.response_times, default=end - now)
            return max(end, min(now + usual, request.deadline - self.MARGIN * self.tick))
        if self.may_duplicate or not self.repeatable(request) or last:
            return end
        return now + self.patience(request.request_class, end - now)

    def fills(self, request: Request, server: Server) -> bool:
        """A read at the origin after a cache's miss: its answer is kept there, also when it comes late."""
        missed = any(w.outcome == Outcome.CACHE_MISS for w in request.attempts)
        return missed and not request.is_write and server.kind == self.origin_kind

    def later(self, request: Request, at: int) -> None:
        self.count += 1
        heapq.heappush(self.due, (at, self.count, request))

    def hold(self, request: Request, now: int, end: int) -> Decision:
        """Nowhere to send it now: look again soon, for a part of its time only; a quick nack costs less."""
        soon, last = (
            now + 20_000,
            request.arrived_at + (end - request.arrived_at) // 8,
        )  # later ones seldom come in time
        if soon >= last or (request.attempts and not self.may_nack(request)):
            return self.never(request)
        self.later(request, soon)
        return Wait()

    def may_have_run(self, request: Request) -> list[Attempt]:
        return [w for w in request.attempts if w.outcome not in NEVER_RAN]

    def repeatable(self, request: Request) -> bool:
        return request.request_class.idempotency != Idempotency.NOT_IDEMPOTENT

    def may_nack(self, request: Request) -> bool:
        deduplicated = (
            request.request_class.idempotency == Idempotency.KEYED
            and request.request_class.dedup_group == DedupGroup.ALL
        )
        return (
            request.request_class.idempotency == Idempotency.IDEMPOTENT
            or deduplicated
            or not self.may_have_run(request)
        )

    def may_send_again(self, request: Request, now: int) -> bool:
        return not request.partly_sent and len(request.attempts) < self.most and now < self.latest(request)

    def latest(self, request: Request) -> float:
        """By when the last byte of its next attempt must have gone out.  Guards the effect: a decision made
        within the window says nothing of when a connection comes up, or a socket takes what is written."""
        ran = self.may_have_run(request)
        if not ran or request.request_class.idempotency == Idempotency.IDEMPOTENT:
            return inf
        # Ends a tick early: the window is the servers' to keep, and the repeat must reach one within it.
        window = request.request_class.dedup_window - self.MARGIN * self.tick
        return ran[0].sent_at + window if request.request_class.idempotency == Idempotency.KEYED else -inf

    def within_group(self, request: Request, server: Server) -> bool:
        if (
            request.request_class.idempotency != Idempotency.KEYED
            or request.request_class.dedup_group == DedupGroup.ALL
        ):
            return True
        return all(
            server.zone == w.zone
            and (request.request_class.dedup_group == DedupGroup.ZONE or server.cell == w.cell)
            for w in self.may_have_run(request)
        )

    def never(self, request: Request) -> Decision:
        """Given up: its answer goes out at once, a nack where that is true."""
        return Reject(self.come_back) if self.may_nack(request) else Fail()

    def pick(self, request: Request, now: int) -> Server | None:
        if not self.may_send_again(request, now):
            return None
        rest = self.room.REST * request.request_class.latency_objective
        missed = request.attempts and request.attempts[-1].outcome == Outcome.CACHE_MISS
        # The last attempt too: a cache that lacks the key would use it up for nothing.
        if self.origin_kind >= 0 and (
            request.is_write or missed or 1 < len(request.attempts) + 1 == self.most
        ):
            # The rank counts half: it already let the request miss, and turned away here that was for
            # nothing.
            part = (1 + request.limit_fraction) / 2
            fit = [server for server in self.origins if self.room.has(server, part, now, 0, rest, True)]
            fit = [server for server in fit if self.within_group(request, server)]
            if not request.is_write:
                self.lean = min(1.0, max(0.0, self.lean + (self.LEAN_OFF if fit else self.LEAN)))
            return min(fit, key=lambda server: server.in_flight, default=None)
        slots = self.placement.slots
        if not slots:
            return None
        key, k = self.rng.getrandbits(50) if request.key is None else request.key, self.placement.K
        k = k if request.key is None else self.popular.replicas(key, k, len(slots))
        homes = self.placement.homes(key, k)
        replicas = homes[:k]
        again = (
            (Outcome.NOT_SENT,) if self.live else (Outcome.NOT_SENT, Outcome.OVERLOADED)
        )  # after these the same server may be asked
        tried = [w.server for w in request.attempts if w.outcome not in again]
        start = self.rng.randrange(len(replicas))
        if self.lean and self.rng.random() < self.lean:
            start = 0
        if self.live and k > self.placement.K:  # by size: guards small ones, a hot key brings each alike
            start = self.rng.choices(range(len(replicas)), [server.weight for server in replicas])[0]
        turn = replicas[start:] + replicas[:start]

        def there(server: Server) -> bool:
            # A cold one beyond its own turn by the spill: guards it against what others are too few to take.
            warmth = self.cold.warmth(server, now)
            warmth *= 1 if server is turn[0] or warmth == 1 else self.cold.spill
            up = (
                server.state == ServerState.READY
                and server not in tried
                and not self.sick(server, request.request_class)
            )
            up = up and not self.ways.far(server.zone, now)
            return up and request.warm_up_draw < warmth and self.within_group(request, server)

        def jammed(server: Server) -> bool:
            down = (
                server.state == ServerState.READY
                and not self.health.up(server.health)
                and not server.health.connection_failed
            )
            return down and not self.ways.far(server.zone, now)

        def able(server: Server) -> bool:
            has = self.room.has(
                server, request.limit_fraction, now, request.required_share, rest
            ) and not self.links.crowded(server, now)
            return has and there(server) and not self.queued(server, request.request_class, now)

        # Trial: a down server whose pause is over gets one retryable request of its own keys, or of its bad
        # request_class.
        for server in turn:
            sick = self.sick(server, request.request_class)
            if sick and now == request.arrived_at:
                sick.skipped_requests += 1
            may = not request.attempts and (
                request.request_class.idempotency == Idempotency.IDEMPOTENT or sick is not server.health
            )
            if sick and may and server.state == ServerState.READY and self.health.due(sick, now):
                if request.warm_up_draw < self.cold.warmth(server, now):
                    return server
        fit = [server for server in turn if able(server)]
        if not fit:
            fit = [server for server in homes if able(server)]  # both replicas are out of reach: the spare
        # Guards the keys whose homes are all gone, refuse us, are cold or far.  Never for strain: it spreads.
        far = len(slots) if self.live or any(self.ways.far(server.zone, now) for server in homes) else 0
        while not fit and len(homes) < far and not any(there(server) or jammed(server) for server in homes):
            homes = self.placement.homes(key, 2 * len(homes))
            fit = [server for server in homes if able(server)]
        bound = max(self.FLOOR, self.SKIP * self.in_flight / len(slots))
        for server in fit:
            if server.in_flight <= bound and not (self.live and self.heavy(server, now)):
                return server
        return min(fit, key=lambda n: self.live.load(n, now) if self.live else n.in_flight, default=None)

    def queued(self, server: Server, request_class: RequestClass, now: int) -> bool:
        """What waits there takes over a quarter of the latency budget.  Guards against the jam of servers
        whose
        late work goes on: all proxies see it at one moment, so they leave it by chance, more the longer."""
        if not self.live or len(request_class.attempt_times) < 8:
            return False
        wait = (
            self.live.load(server, now)
            * sorted(request_class.attempt_times)[len(request_class.attempt_times) // 4]
        )
        return self.rng.random() * wait > request_class.latency_objective // 4

    def heavy(self, server: Server, now: int) -> bool:
        """The skip rule by the load of all proxies' requests.  By chance: all learn of it at one moment."""
        bound = max(self.live.REST, self.SKIP * self.live.mean)
        return self.rng.random() * self.live.load(server, now) > bound

    def doubt(self, request: Request, now: int) -> None:
        """An attempt that outlasts patience counts against its server at once: a silent one is fed no more.
        Where peers may talk they learn of a queue while it still grows."""
        for attempt in request.attempts:
            if attempt.outcome is None and not attempt.suspected and not self.passed_by(attempt):
                attempt.suspected = True
                self.health.failed(attempt.server.health, False, attempt.sent_at)
                if self.hearsay and self.many:
                    self.room.told(attempt.server, False, self.room.FALL_HIT)
                    self.hearsay.note(attempt.server, 2, now)

    def passed_by(self, attempt: Attempt) -> bool:
        """The server, no origin, has answered what went out after this: it is not behind that this is
        late."""
        return attempt.sent_at < attempt.server.latest_success_sent_at

    def sick(self, server: Server, request_class: RequestClass) -> FailureState | None:
        """What keeps a request_class's requests from a server: failures of the server, or its errors to that
        request_class."""
        errors = server.class_failures.get(request_class, server.health)
        return next((one for one in (server.health, errors) if not self.health.up(one)), None)
