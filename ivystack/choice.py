"""All decisions of ivystack: where a req goes, when, how often, and whether at all.

Three calls, on one Choice an instance:
    where(req, now)                 -> (GO, node, until), (WAIT, None, 0), (NACK, None, come_back_in)
                                       or (FAIL, None, 0)
    after(attempt, outcome, now)  -> the same for its req (or DONE), and a list of attempts to call off
    wait(now)                       -> microseconds until the next thing is due (None: nothing is), and the
                                       reqs due now, in order, for each of which `where` is to be asked
`listed(nodes, whole, now)` and `told(words, now)` tell news of the list and of peers and answer nothing.
docs/design.md says what comes from the paper, and when each exception acts.  Times: whole microseconds.
"""

from __future__ import annotations

import heapq
from bisect import bisect_left
from collections import OrderedDict, deque
from hashlib import blake2b
from math import ceil, inf, log2
from random import Random

from .model import (  # fmt: skip
    CLIENT_GONE,
    DEDUPLICATED,
    DONE,
    ERRORED,
    FAIL,
    FULL,
    GO,
    LEFT,
    MISSED,
    NACK,
    NON_RETRYABLE,
    OVERDUE,
    READY,
    RECALLED,
    REFUSED,
    RETRYABLE,
    SATISFIED,
    SEVERED,
    SUPERSEDED,
    UNFIT,
    WAIT,
    Errors,
    Method,
    Node,
    Req,
    Tenant,
    Attempt,
)
from .words import ENDING, asker, endings, mark, order, question, read_endings, read_order

NEVER_RAN = {FULL, REFUSED, SUPERSEDED, MISSED}  # the wire page: these endings prove it


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
        self.slots: list[Node] = []
        self.known: OrderedDict[tuple[int, int], list[Node]] = OrderedDict()

    def settle(self, nodes: list[Node], now: int) -> None:
        """In line with the list: freed slots go to the last slot's cache, new caches go last."""
        before = list(self.slots)
        ready = {node for node in nodes if node.state == READY}
        for slot in range(len(self.slots) - 1, -1, -1):
            node = self.slots[slot]
            crashed = node.state == LEFT and not node.drained and now - node.left_at < self.AWAITED
            if node not in ready and not crashed:
                last = self.slots.pop()
                if slot < len(self.slots):
                    self.slots[slot] = last
        awaited = {node.name: slot for slot, node in enumerate(self.slots) if node.unnamed}
        for node in ready if awaited else ():
            if (slot := awaited.get(mark(node).hex())) is not None:
                self.slots[slot] = node
        self.slots += sorted(ready - {*self.slots}, key=lambda node: (node.started, node.name))
        if self.slots != before:
            self.known.clear()

    def adopt(self, marks: list[bytes], nodes: list[Node], now: int) -> None:
        """Takes another proxy's order; who is not on our list is awaited, as after a crash."""
        known: dict[bytes, list[Node]] = {}  # two of a thousand may have one mark: the older comes first
        for node in sorted(nodes, key=lambda node: (node.started, node.name), reverse=True):
            known.setdefault(mark(node), []).append(node)
        more = dict(state=LEFT, left_at=now, window=Room.START, unnamed=True)
        more["weight"] = sum(node.weight for node in nodes) / max(1, len(nodes))
        self.slots = [known[one].pop() if known.get(one) else Node(one.hex(), **more) for one in marks]
        self.known.clear()
        self.settle(nodes, now)

    def homes(self, key: int, k: int) -> list[Node]:
        """The key's k replicas in order, and last its spare.  A greater k leaves them there, but for those on
        the first slots: the same walk, with more digits."""
        nodes = self.known.get((key, k))
        if nodes is None:
            found = draws(key, len(self.slots), self.parts)
            if self.sized:
                found = self.sized_digits(found)
            nodes = [self.slots[slot] for slot in spots(found, k)[: max(k, self.MOST)]]
            self.known[key, k] = nodes
            if len(self.known) > self.KEPT:
                self.known.popitem(last=False)
        return nodes

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
    """More replicas for a key that is hotter than its caches can bear, as own reqs show: a soft spot."""

    KEPT = 64  # last keys: a key of a twentieth of the traffic shows thrice; a light proxy's last 15 s or so
    EACH = 0.33  # of a cache's mean load is what a key may add to a replica: half, quarter tried

    def __init__(self):
        self.last: deque[int | None] = deque(maxlen=self.KEPT)

    def replicas(self, key: int | None, k: int, slots: int) -> int:
        """At least k; the req itself does not count, so a key seen once gets k."""
        loads = (self.last.count(key) - 1) / max(1, len(self.last)) * slots / self.EACH
        return max(k, min(slots, ceil(loads)))


# --- Health: failures in a row, own evidence only ---


class Health:
    """Tells nodes that can be sent work from those that get a trial now and then."""

    FAILED = 2  # in a row: one can be chance, and each further one costs a req its time
    PAUSE = 500_000  # before a down node's first trial; doubled a trial, up to eight times that
    PASSED = 2  # own reqs passed by before that, doubled alike: guards a node against hundreds' trials

    def up(self, node: Node) -> bool:
        return node.failures < self.FAILED

    def due(self, node: Node, now: int) -> bool:
        return now >= node.trial_at and node.passed >= self.PASSED << min(max(node.trials - 1, 0), 3)

    def failed(self, node: Node, broken: bool, now: int) -> None:
        node.failures += 1
        node.broken = node.broken or broken
        if node.failures >= self.FAILED and now >= node.trial_at:
            node.trial_at = now + (self.PAUSE << min(node.trials, 3))
            node.trials += 1
            node.passed = 0

    def answered(self, node: Node, now: int) -> None:
        if node.broken and node.trials > 2:  # still refused at a trial
            node.started = now  # its process was gone, so it is back cold, though the list may not say so yet
        node.broken = False
        if node.failures >= self.FAILED:
            node.failures = self.FAILED - 1  # on trial still: one that fails now and then is out at once
        else:
            node.failures, node.trials, node.trial_at = 0, 0, 0


# --- The ways to other zones ---


class Ways:
    """Tells zones out of reach from here: a slow or lossy way, or all of a zone's nodes at fault.

    Guards reqs against homes that are well, and content with their own zone's proxies, but can't answer us in
    time.  Judged as a node is, by bad endings in a row; never so that no zone is left."""

    ROW = 8  # over all of its nodes: far more than chance or one sick node gives

    def __init__(self):
        self.zones: dict[str, Errors] = {}

    def ended(self, zone: str, well: bool) -> None:
        one = self.zones.setdefault(zone, Errors())
        if not well:
            one.failures += 1
        elif one.failures >= self.ROW:
            one.failures = self.ROW - 1  # on trial still
        else:
            self.zones[zone] = Errors()

    def far(self, zone: str, now: int) -> bool:
        one = self.zones.get(zone)
        bad = one and one.failures >= self.ROW and now < one.trial_at
        return bool(bad) and any(other.failures < self.ROW for other in self.zones.values())

    def sent(self, zone: str, now: int) -> None:
        """One that went to a far zone is its trial: the next one waits."""
        one = self.zones.get(zone)
        if one and one.failures >= self.ROW and now >= one.trial_at:
            one.trial_at = now + (Health.PAUSE << min(one.trials, 3))
            one.trials += 1


# --- Live weights: where the list lowers a node's size by the reqs that it holds ---


class Live:
    """Tells a node's size from its load in such a weight, size / (1 + reqs held a core).

    Guards keys and proxies against sizes that move with each list: the greatest weight that a kind has shown
    is its size, since one at rest shows it, and a proxy that starts late finds the same."""

    STEPS = 4  # of sizes, a doubling: noise and what a kind still lacks of its size move no key
    AGE = 3_000_000  # a load counts in full when listed and not at all so much later: some lists on
    REST = 1.0  # reqs held a core: none waits there

    def __init__(self):
        self.most: dict[int, float] = {}
        self.mean = 0.0  # load of the caches listed last

    def sized(self, nodes: list[Node], now: int) -> bool:
        """Gives each its kind's size; whether that is news for any."""
        before = [node.weight for node in nodes]
        for node in nodes:
            node.weight = 2 ** (round(log2(self.most.get(node.kind, 1.0)) * self.STEPS) / self.STEPS)
        self.mean = sum(self.load(node, now) for node in nodes) / max(1, len(nodes))
        return before != [node.weight for node in nodes]

    def listed(self, node: Node, weight: float, now: int) -> None:
        most = self.most[node.kind] = max(weight, self.most.get(node.kind, 0.0))
        node.load, node.load_at = most / weight - 1, now

    def reported(self, node: Node, figures: dict[str, float], now: int) -> None:
        """What the node told of itself with an answer: reqs held, or at the least those that wait there."""
        held = figures.get("active")
        if held is None and figures.get("waiting"):
            held = self.REST * node.weight + figures["waiting"]
        if held is not None:
            node.load, node.load_at = held / node.weight, now

    def load(self, node: Node, now: int) -> float:
        """What is known of it, the less the older, and our own attempts since on top."""
        return node.load * max(0.0, 1 - (now - node.load_at) / self.AGE) + node.in_flight / node.weight


# --- Cold nodes: they take part of their keys' reqs, by chance ---


class Cold:
    """A cold node is open to the part of its reqs that it can be counted on for, whoever sends them.

    Guards against pushing it over: each req draws its luck once, so all proxies' loads together are that part
    of the node's usual load, however many they are and whatever they know; nothing is saved up."""

    def __init__(self, cold_share: float, cold: int, fall: float):
        self.share, self.cold = cold_share, cold
        # Of what its keys' other homes can't take: the stated multiple leaves room for it beyond two, which
        # chance and clients that try again may make of its own part.
        self.spill = min(1.0, max(0.0, (fall - 2) / 2))

    def warmth(self, node: Node, now: int) -> float:
        """The part of its capacity that it can be counted on for; 1 once it is warm."""
        if not node.started or not self.cold:
            return 1.0
        part = self.share + (1 - self.share) * max(0, now - node.started) / self.cold
        # Guards it where all that is asked is more than the fleet can do, and its part with it.
        held = node.load if now < node.load_at + Live.AGE else 0.0
        return 1.0 if part >= 1 else part / max(Live.REST, held)


# --- Sharing under pressure ---


class Room:
    """How many of our attempts a node bears at once, and what part of our reqs: shown by what came in time.

    Guards against the jam: where late work is not stopped, sending on keeps a queue full that makes all late.
    """

    LEAST, MOST = 0.05, 64.0  # one in 2 s shows when it is better; the most bounds a fall
    CLOSED = 0.02  # of our reqs still go out, else slow errors or full nodes would close all for good
    START = 12.0  # of a window: so that the least worth still has one place at a node that shows no strain
    REST = 0.125  # of a latency budget, between attempts, over the window, when that is below one
    GROWTH, QUICK = 0.1, 4  # of a small window, an answer, times those in a row; faster where no share fell
    NUDGE = 0.25  # off a cache's that answered what was sent later: a lost connection, or long work, no jam
    FALL = 0.25  # of the window is left after a jam, shown by attempts that ran out of time
    FALL_SHARE = 0.35  # of that of a node met seldom, by own and peers' time-outs: forty fed a jam with 0.5
    FALL_ALL, BACK_ALL = 0.8, 0.02  # of the common share: one in eleven out of time leaves all of it
    BACK = 0.15  # of a node's share with an answer: one in five out of time leaves all, one in two a third
    EBB, SLOW_ASIDE, SLOW = 0.92, 0.5, 0.75  # left of both after a slow answer; in through mode after two
    LEFT = 0.7  # of an origin's window, when one of its answers has waited longer than it may
    TIMES = 12  # its last answers'; with 32 a way that has grown long was taken for a wait for too long
    SLOW_HIT, FALL_HIT = 0.4, 0.7  # of a node's share with a hit that took such a part of the budget: a queue
    FRESH = 500_000  # what the node itself showed this lately goes before what all show: some answers' time

    def __init__(self):
        self.common = 1.0  # of our reqs may go out: a light proxy meets nodes too seldom to go by each

    def has(self, node: Node, part: float, now: int, calm=0.0, rest: float = 1e5, alone=False) -> bool:
        # Listed at rest is as good: guards a good node against what the rest of the fleet shows.
        rests = node.load <= Live.REST and now < node.load_at + Live.AGE
        heard = (now < node.heard + self.FRESH or rests) and node.window >= 1
        if (node.share if heard or alone else min(node.share, self.common)) < max(1 - part, calm):
            return False
        room = part * node.window
        if room < 1:  # below one attempt at a time, one after a rest
            return not node.in_flight and now >= node.sent + rest / room
        return node.in_flight < room

    def answered(self, node: Node, slow: bool) -> None:
        if slow:
            self.told(node, False, self.EBB)
            return self.strained(self.EBB)
        node.in_time += 1
        self.told(node, True)
        self.common = min(1.0, self.common + self.BACK_ALL)
        # Beyond: only while the least worth finds no place: rank shall not bind where nothing is strained.
        if node.window < self.START or Shares.LEAST * node.window < node.in_flight + 1:
            quick = self.QUICK if min(node.share, self.common) == 1 else 1
            growth = min(self.GROWTH * node.in_time * node.window, quick / node.window)
            node.window = min(self.MOST, node.window + growth)

    def origin_answered(self, node: Node, spent: int, budget: int, sent: int, now: int) -> None:
        """Its window goes by the wait there: what an answer took beyond the quickest of the last.

        Guards an origin that all share against proxies that fill its queue until every fetch is too late."""
        node.times = (*node.times[1 - self.TIMES :], spent)
        if not self.waited(node, spent, budget):
            if node.in_flight + 1 >= node.window / 2:
                node.window = min(self.MOST, node.window + self.QUICK / node.window)
        elif sent >= node.cut:
            node.cut = now
            node.window = max(2.0, min(node.window, node.in_flight + 1) * self.LEFT)

    def waited(self, node: Node, spent: int, budget: int) -> bool:
        """A whole latency budget beyond the quickest of the last: too late, however long the way."""
        return spent - min(node.times, default=0) > budget

    def told(self, node: Node, well: bool, left: float = FALL_SHARE) -> None:
        node.share = min(1.0, node.share + self.BACK) if well else max(self.CLOSED, node.share * left)

    def strained(self, left: float = FALL_ALL) -> None:
        self.common = max(self.CLOSED, self.common * left)

    def ran_out(self, node: Node, origin: bool, up: bool, often: bool, sent: int, now: int) -> None:
        node.in_time = 0
        if sent < node.cut:  # it was out already when the window fell: one jam is held against a node once
            return
        node.cut = now
        self.told(node, False, self.FALL_ALL if often else self.FALL_SHARE)
        if up and not origin:  # further failures in a row are the node's own
            self.strained()
        if origin:  # of what is in use, which the window may be far above
            node.window = max(2.0, min(node.window, node.in_flight + 1) / 2)
        else:
            node.window = max(self.LEAST, node.window * self.FALL)


class Shares:
    """A req's rank by worth among the last says how much of a window it may use."""

    KEPT = 200  # last reqs to be ranked among: a second or so of a busy proxy's
    LEAST = 0.1  # of a window, for the least worth
    NEW = 4  # reqs below each by assumption: the first after a start has nothing to be ranked among, and goes
    ALIKE = 8  # reqs: a light proxy's first dozens tell little of who sends more than its share
    KEYS = 1000  # last answered ones that a cache will mostly still hold
    # Of reqs, rank as one of a class drawn from the last, if that is worth more: guards classes against being
    # shut out by rank for as long as a strain lasts.  A miss still ranks as one, excess as excess.
    FLOOR = 0.75
    MISS = 0.2  # of its worth for the rest: a miss costs the origin, and holds a place while it is fetched

    def __init__(self, rng: Random, tenants: list[Tenant], excess: float, parts: int):
        self.rng, self.tenants, self.excess, self.parts = rng, tenants, excess, parts
        self.worths: deque[float] = deque()
        self.asked: deque[float] = deque(maxlen=self.KEPT)  # worths of their classes
        self.ordered: list[float] = []  # the same: looking at each for each req took an eighth of our time
        self.last: deque[tuple[Tenant, int]] = deque()  # whose req came when
        self.seen: OrderedDict[int, bool] = OrderedDict()

    def came(self, tenant: Tenant, now: int) -> None:
        self.last.append((tenant, now))
        tenant.recent += 1
        if len(self.last) > self.KEPT:
            self.last.popleft()[0].recent -= 1

    def within(self, tenant: Tenant, now: int) -> float:
        """The part of a tenant's traffic that its share covers.  We see an unknown part of all traffic: the
        middle tenant's rate over its allowance is it."""
        if not tenant.allowance:
            return 1.0
        due = sum(t.allowance for t in self.tenants)
        rate = len(self.last) * 1_000_000 / max(1, now - self.last[0][1])

        def part(t: Tenant) -> float:  # of its allowance that comes here, as if ALIKE more came in proportion
            return (t.recent / t.allowance + self.ALIKE / due) / (len(self.last) + self.ALIKE) * rate

        parts = sorted(part(t) for t in self.tenants if t.allowance)
        return min(1.0, max(parts[len(parts) // 2], 1 / self.parts) / part(tenant))

    def answered(self, key: int | None) -> None:
        self.seen[key] = True
        self.seen.move_to_end(key)
        if len(self.seen) > self.KEYS:
            self.seen.popitem(last=False)

    def part_of_window(self, req: Req, now: int, chance: float = 1.0) -> float:
        worth = own = req.method.criticality
        if self.asked and self.rng.random() < self.FLOOR:
            worth = max(worth, self.rng.choice(self.asked))
        self.asked.append(own)
        if req.tenant:
            self.came(req.tenant, now)
            if self.rng.random() > self.within(req.tenant, now):
                worth = own * self.excess
                req.calm = 1 - self.excess  # the less it is worth, the less strain it may add to
        if req.key not in self.seen:
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
    """Closes idle connections early where proxies are many, so that those of all fit a node's table.

    Guards against tables filled by idle ones: a node then refuses every proxy that has none.  Open ones are
    at most a node's reqs a second times `keep`, whatever the number of proxies."""

    FEW = 16  # proxies whose connections may stay as long as the nodes let them; 400 begin with 1/25 of that
    LEFT, BACK = 0.8, 1.005  # of `keep`, when a new one is turned away, or taken: settles at one in forty
    AWAY = 500_000  # without a new one to a node that turned one away: some places are free again by then

    def __init__(self, idle: int, proxies: int):
        self.most = idle if proxies > self.FEW else 0
        self.first = self.keep = self.most * self.FEW // proxies  # 0: for the nodes to close
        self.idle: OrderedDict[Node, int] = OrderedDict()  # since when, oldest first

    def turned_away(self, node: Node, now: int) -> None:
        node.crowded = now
        self.keep = max(self.AWAY // 8, int(self.keep * self.LEFT))

    def taken(self) -> None:
        self.keep = min(self.most, int(self.keep * self.BACK) + 1)

    def crowded(self, node: Node, now: int) -> bool:
        return now < node.crowded + self.AWAY and not node.in_flight and node not in self.idle

    def freed(self, node: Node, now: int) -> None:
        if self.keep and not node.in_flight:
            self.idle[node] = now

    def due(self, now: int) -> list[Req]:
        """Standing reqs, one for each node whose idle connections are to be closed now."""
        found = []
        while self.idle and self.rest() <= now:
            found.append(Req(None, now, now, closing=self.idle.popitem(last=False)[0]))
        return found

    def rest(self) -> int | None:
        return next(iter(self.idle.values())) + self.keep if self.idle else None


# --- Hearsay: what other proxies saw, where they may talk ---


class Hearsay:
    """Tells some peers now and then how our last attempts to each node ended, and takes in what they tell.

    Guards against learning of a full or hung node by hundreds of proxies one by one.  It moves known nodes'
    shares alone, as one attempt of ours would, so a lost, late, repeated or wrong message does little."""

    EVERY = 250_000  # well below the time in which forty proxies, none of which has seen it, jam a node
    SOON = 30_000  # one with a bad ending: a jam grows by what comes meanwhile, and endings come in bursts
    TO = 12  # peers each, drawn anew: everyone then hears of that many times the endings of its own

    def __init__(self, rng: Random, me: int, proxies: int):
        self.rng, self.others = rng, [peer for peer in range(proxies) if peer != me]
        self.ended: dict[Node, int] = {}  # 0: badly, 1: well, 2: late for a hit
        self.marked: dict[bytes, Node] = {}
        self.next_at: int | None = None

    def note(self, node: Node, well: int, now: int) -> None:
        if self.others:
            self.ended[node] = well
            at = now + (self.EVERY // 2 + self.rng.randrange(self.EVERY) if well else self.SOON)
            self.next_at = at if self.next_at is None else min(at, self.next_at)

    def due(self, now: int) -> list[Req]:
        if self.next_at is None or now < self.next_at:
            return []
        self.next_at = None
        words = endings([*self.ended.items()][-64:])
        self.ended.clear()
        peers = self.rng.sample(self.others, min(self.TO, len(self.others)))
        return [Req(None, now, now, saying=(peer, words)) for peer in peers]

    def knows(self, nodes: list[Node]) -> None:
        self.marked = {mark(node): node for node in nodes}

    def told(self, words: bytes) -> list[tuple[Node, int]]:
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

    def due(self, now: int) -> list[Req]:
        said, self.replies = [*self.replies], deque(maxlen=256)
        self.grown_at = self.grown_at or now + self.YOUNG
        if self.next_at is not None and now >= self.next_at:
            self.next_at, self.parts = None, {}
            if now < self.grown_at:
                self.next_at = now + self.EVERY
                asked = self.rng.sample(self.others, min(self.TO, len(self.others)))
                said += [(peer, question(self.me)) for peer in asked]
        return [Req(None, now, now, saying=one) for one in said]

    def told(self, words: bytes, slots: list[Node], now: int) -> list[bytes]:
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


class Choice:
    FLOOR = 2  # the skip rule's least bound, the design page's
    SKIP = 2.0  # times the mean in flight a cache: the design page's; 1.5 and 3 were tried
    FURTHER = 0.15  # further attempts and second copies earned by each satisfied req
    FURTHER_MOST = 20.0  # and kept at most: enough for what a dying node held
    # Of reads, to their key's first replica, with each that finds no room at the origin, or some: guards an
    # origin that can't bear two copies' fetches.
    LEAN, LEAN_OFF = 0.05, -0.005
    HOPELESS = 0.05  # chance of an answer in time, below which hardly any req goes out: shown by 20 answers
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
        self.many = links.keep > 0  # proxies: what one sees of a node itself is a small part, however often
        self.origin_kind, self.most, self.may_duplicate = origin, most_write_outs, may_duplicate
        self.come_back, self.tick = come_back, tick
        self.nodes: dict[str, Node] = {}
        self.origins: list[Node] = []
        self.in_flight = self.count = 0
        self.spare, self.lean = self.FURTHER_MOST, 0.0
        self.due: list[tuple[int, int, Req]] = []
        self.first: deque[Req] = deque()
        self.further: deque[Req] = deque()

    def listed(self, nodes: list[Node], whole: bool, now: int) -> None:
        """List news: nodes as now listed.  One known before keeps its object."""
        for new in nodes:
            node = self.nodes.setdefault(new.name, new)
            node.window = node.window or (Room.MOST if node.kind == self.origin_kind else Room.START)
            if not 0 < new.weight < inf:  # guards the node's keys: such a weight tells nothing
                new.weight = 1.0
            elif self.placement.live:
                self.live.listed(node, new.weight, now)
            if node is not new:
                if new.state == READY and new.started > node.started:
                    node.started, node.failures, node.trials, node.errors = new.started, 0, 0, {}
                node.zone, node.cell, node.state = new.zone, new.cell, new.state
            if node.state == LEFT:
                node.left_at = now
            else:
                node.drained = node.state != READY
        names = {node.name for node in nodes} if whole else self.nodes
        for node in self.nodes.values():
            if node.name not in names and node.state != LEFT:
                node.state, node.left_at = LEFT, now
        caches = [node for node in self.nodes.values() if node.kind != self.origin_kind]
        self.origins = [n for n in self.nodes.values() if n.kind == self.origin_kind and n.state == READY]
        if self.placement.live and self.live.sized(caches, now):
            self.placement.known.clear()
        self.placement.settle(caches, now)
        # Guards the memory: what is known of a node goes with it, once no slot awaits it; ids are ever new.
        kept = {*self.placement.slots, *(n for n in self.nodes.values() if n.state != LEFT or n.in_flight)}
        self.nodes = {name: node for name, node in self.nodes.items() if node in kept}
        zones = {node.zone for node in self.nodes.values()}
        self.ways.zones = {zone: one for zone, one in self.ways.zones.items() if zone in zones}
        if self.hearsay:
            self.hearsay.knows([*self.nodes.values()])

    def told(self, words: bytes, now: int) -> None:
        """A peer's message: news like the list's."""
        if self.order and len(words) % ENDING:
            marks = self.order.told(words, self.placement.slots, now)
            if marks and marks != [*map(mark, self.placement.slots)]:
                caches = [node for node in self.nodes.values() if node.kind != self.origin_kind]
                self.placement.adopt(marks, caches, now)
            return
        for node, well in self.hearsay.told(words) if self.hearsay else []:
            often = not self.many and now < node.heard + self.room.FRESH
            left = self.room.FALL_ALL if often else self.room.FALL_SHARE
            self.room.told(node, well == 1 or often and well == 2, self.room.FALL_HIT if well == 2 else left)

    def where(self, req: Req, now: int) -> tuple:
        if req.closing or req.saying:
            return GO, req.closing, 0
        if req.over:
            return DONE, None, 0
        end = self.end(req)
        out = [w for w in req.attempts if w.outcome is None]
        if not req.ranked:
            req.ranked, req.luck = True, self.rng.random()
            self.popular.last.append(req.key)
            chance = self.chance(req.method, end - now)
            req.part = self.shares.part_of_window(req, now, chance)
            if chance < self.HOPELESS and req.luck > Room.CLOSED:
                return self.never(req)
        again = bool(req.attempts) and req.attempts[-1].outcome not in NEVER_RAN
        spent = now >= end or len(req.attempts) >= self.most or (out and not self.may_duplicate)
        if spent or (again and self.spare < 1):
            late = out and now >= end and all(self.fills(req, w.node) for w in out)
            return self.never(req) if late or not out else (WAIT, None, 0)
        node = self.pick(req, now)
        if node is None:
            return (WAIT, None, 0) if out else self.hold(req, now, end)
        self.spare -= again
        until = self.until(req, node, now, end)
        sick = self.sick(node, req.method)
        latest = self.latest(req)
        at = dict(latest=latest, zone=node.zone, cell=node.cell)
        attempt = Attempt(req, node, now, until, trial=sick is not None, **at)
        for one in out:  # one that still waits to go out is the repeat then, and this the first
            one.latest = min(one.latest, latest)
        if sick:
            self.health.failed(sick, False, now)
        req.attempts.append(attempt)
        node.in_flight, node.sent = node.in_flight + 1, now
        self.ways.sent(node.zone, now)
        self.links.idle.pop(node, None)
        self.in_flight += 1
        if until > end:  # its client is answered then; the fetch goes on
            self.later(req, end)
        elif until < end or (self.may_duplicate and self.repeatable(req)):
            self.later(req, now + self.patience(req.method, end - now, attempt.trial))
        return GO, node, until

    def after(self, attempt: Attempt, outcome: str, now: int, load=None, hit: bool = False) -> tuple:
        req = attempt.req
        if outcome == CLIENT_GONE:
            return (DONE, None, 0), [w for w in req.attempts if w.outcome is None]
        node, method, origin = attempt.node, req.method, attempt.node.kind == self.origin_kind
        attempt.outcome = outcome
        if self.live and load:
            self.live.reported(node, load, now)
        node.in_flight, self.in_flight = node.in_flight - 1, self.in_flight - 1
        self.links.freed(node, now)
        spent = now - attempt.sent
        often = now < node.heard + self.room.FRESH  # a node met often shows soon whether this was chance
        node.heard = now
        # Guards good nodes, here and at peers: tables that idle connections fill are no jam.
        away = outcome == FULL and attempt.fresh and self.many
        # Not in a small fleet that tells no loads: leaving a zone of it, merely loaded, jams the rest.
        judged = not origin and (self.many or self.live)
        if judged and outcome in (SATISFIED, MISSED, OVERDUE, REFUSED, SEVERED):
            soon = spent <= self.room.SLOW_ASIDE * method.latency_budget
            self.ways.ended(node.zone, soon and outcome in (SATISFIED, MISSED))
        if outcome in (SATISFIED, MISSED):
            if attempt.fresh:
                self.links.taken()
            for one in {node, node.errors.get(method, node)}:
                self.health.answered(one, now)
            node.proven = max(node.proven, attempt.sent)
            method.times.append(spent)
            aside = self.origin_kind not in (-1, node.kind)
            part = self.room.SLOW_ASIDE if aside else self.room.SLOW
            before, node.slow = node.slow, spent > part * method.latency_budget
            late = hit and not aside and spent > self.room.SLOW_HIT * method.latency_budget
            well = not late or (often and not self.many)  # a busy proxy's windows show its queues
            if spent > method.latency_budget and node.load > Live.REST and now < node.load_at + Live.AGE:
                self.room.ran_out(node, origin, True, often, attempt.sent, now)
            elif origin:
                self.room.told(node, True)
                self.room.origin_answered(node, spent, method.latency_budget, attempt.sent, now)
            elif not well:
                self.room.told(node, False, self.room.FALL_HIT)
            else:  # else it is long work
                self.room.answered(node, node.slow and (aside or before and (self.many or not often)))
            if outcome == SATISFIED:
                method.took.append(spent)
                self.spare = min(self.FURTHER_MOST, self.spare + self.FURTHER)
                self.shares.answered(req.key)
        elif outcome == OVERDUE and 2 * (attempt.until - attempt.sent) < method.latency_budget:
            pass  # it went out late: not the node's doing, and above all not the origin's after a slow miss
        elif outcome == OVERDUE and origin and spent < 2 * min(node.times, default=0):
            pass  # too short a time for the way there: guards an origin that is well, but far or cut off
        elif outcome == OVERDUE and (self.passed_by(attempt) or (often and not node.failures)):
            node.failures += not (attempt.doubted or self.passed_by(attempt))
            node.window = max(min(node.window, 1.0), node.window - self.room.NUDGE)
        elif outcome == ERRORED and 2 * spent >= method.latency_budget:
            # Slow errors are fetches that ran out of time: the origin behind all is pressed, not the node.
            self.room.strained()
        elif outcome == ERRORED:  # held against it by method: some nodes fail one and serve the rest
            self.health.failed(node.errors.setdefault(method, Errors()), False, now)
        elif outcome in (REFUSED, SEVERED, OVERDUE):
            if not attempt.doubted:
                self.health.failed(node, outcome == REFUSED, now)
            if outcome == OVERDUE:
                method.times.append(spent)
            # An origin that refuses is full of all proxies' reqs, and there is no other: guards what is left.
            if outcome == OVERDUE or origin:
                self.room.ran_out(node, origin, self.health.up(node), often, attempt.sent, now)
        elif away:
            self.links.turned_away(node, now)
        elif outcome == FULL and not self.live:
            self.room.ran_out(node, origin, self.health.up(node), often, attempt.sent, now)
        elif outcome == FULL:  # where loads are told it tells of that moment alone, and nothing of others
            cold = self.cold.warmth(node, now) < 1  # what it turns away counts towards its fall
            self.room.told(node, False, self.room.FALL_SHARE if cold else self.room.FALL_ALL)
        if self.hearsay and outcome not in (RECALLED, SUPERSEDED) and not away:
            self.hearsay.note(node, 0 if outcome not in (SATISFIED, MISSED) else 1 if well else 2, now)
        out = [w for w in req.attempts if w.outcome is None]
        if outcome in (SATISFIED, UNFIT) or req.over:
            return (DONE if outcome != UNFIT or req.over else FAIL, None, 0), out
        if not out and (now >= self.end(req) or not self.may_send_again(req, now)):
            return self.never(req), []
        self.further += [] if out else [req]
        return (WAIT, None, 0), []

    def wait(self, now: int) -> tuple[int | None, list[Req]]:
        while self.due and self.due[0][0] <= now:
            req = heapq.heappop(self.due)[2]
            if not req.over:
                self.doubt(req, now)
                (self.further if req.attempts else self.first).append(req)
        talks = [talk for talk in (self.hearsay, self.order) if talk]
        ready = [*self.first, *self.further, *self.links.due(now), *(r for t in talks for r in t.due(now))]
        self.first, self.further = deque(), deque()
        standing = [self.links.rest(), *(talk.next_at for talk in talks)]
        next_at = [at for at in (self.due[0][0] if self.due else None, *standing) if at is not None]
        return (min(next_at) - now if next_at else None), ready

    def chance(self, method: Method, left: int) -> float:
        """The part of its last answers that came in such a time.  Guards nodes that work on when a client has
        gone against clients that give up before any answer can come: all their reqs' work is for nothing."""
        if left >= max(method.took, default=0):  # mostly: a look at each took a tenth of our time
            return 1.0
        return (1 + sum(took <= left for took in method.took)) / (1 + len(method.took))

    def end(self, req: Req) -> int:
        """When an answer is worth nothing any more, or nobody waits for it."""
        end = req.give_up_at
        if not req.method.tardy:
            end = min(end, req.arrived + req.method.latency_budget)
        return end - self.MARGIN * self.tick

    def patience(self, method: Method, left: int, trial: bool = False) -> int:
        """How long an attempt may take before another is worth trying: three times what nine in ten took, at
        least half of what is left: a copy sent sooner feeds the queue that made it late."""
        times = sorted(method.times)
        if trial:  # the node is down for all we know, and the req shall not suffer for our finding out
            return min(2 * times[len(times) // 2], left // 3) if times else left // 3
        usual = 3 * times[len(times) * 9 // 10] if len(times) >= 8 else left
        return max(min(usual, left), left // 2)

    def until(self, req: Req, node: Node, now: int, end: int) -> int:
        last = len(req.attempts) + 1 >= self.most or node.kind == self.origin_kind  # no other is there
        if self.fills(req, node):
            # Guards the caches while the origin is slow: given up, a fetch leaves no copy.  Twice the slowest
            # of the last: one that was lost would hold a place for nothing.
            usual = 2 * max(node.times, default=end - now)
            return max(end, min(now + usual, req.give_up_at - self.MARGIN * self.tick))
        if self.may_duplicate or not self.repeatable(req) or last:
            return end
        return now + self.patience(req.method, end - now)

    def fills(self, req: Req, node: Node) -> bool:
        """A read at the origin after a cache's miss: its answer is kept there, also when it comes late."""
        missed = any(w.outcome == MISSED for w in req.attempts)
        return missed and not req.write and node.kind == self.origin_kind

    def later(self, req: Req, at: int) -> None:
        self.count += 1
        heapq.heappush(self.due, (at, self.count, req))

    def hold(self, req: Req, now: int, end: int) -> tuple:
        """Nowhere to send it now: look again soon, for a part of its time only; a quick nack costs less."""
        soon, last = now + 20_000, req.arrived + (end - req.arrived) // 8  # later ones seldom come in time
        if soon >= last or (req.attempts and not self.may_nack(req)):
            return self.never(req)
        self.later(req, soon)
        return WAIT, None, 0

    def may_have_run(self, req: Req) -> list[Attempt]:
        return [w for w in req.attempts if w.outcome not in NEVER_RAN]

    def repeatable(self, req: Req) -> bool:
        return req.method.semantics != NON_RETRYABLE

    def may_nack(self, req: Req) -> bool:
        deduplicated = req.method.semantics == DEDUPLICATED and req.method.group == "all"
        return req.method.semantics == RETRYABLE or deduplicated or not self.may_have_run(req)

    def may_send_again(self, req: Req, now: int) -> bool:
        return not req.once and len(req.attempts) < self.most and now < self.latest(req)

    def latest(self, req: Req) -> float:
        """By when the last byte of its next attempt must have gone out.  Guards the effect: a decision made
        within the window says nothing of when a connection comes up, or a socket takes what is written."""
        ran = self.may_have_run(req)
        if not ran or req.method.semantics == RETRYABLE:
            return inf
        # Ends a tick early: the window is the nodes' to keep, and the repeat must reach one within it.
        window = req.method.window - self.MARGIN * self.tick
        return ran[0].sent + window if req.method.semantics == DEDUPLICATED else -inf

    def within_group(self, req: Req, node: Node) -> bool:
        if req.method.semantics != DEDUPLICATED or req.method.group == "all":
            return True
        return all(
            node.zone == w.zone and (req.method.group == "zone" or node.cell == w.cell)
            for w in self.may_have_run(req)
        )

    def never(self, req: Req) -> tuple:
        """Given up: its answer goes out at once, a nack where that is true."""
        return (NACK, None, self.come_back) if self.may_nack(req) else (FAIL, None, 0)

    def pick(self, req: Req, now: int) -> Node | None:
        if not self.may_send_again(req, now):
            return None
        rest = self.room.REST * req.method.latency_budget
        missed = req.attempts and req.attempts[-1].outcome == MISSED
        # The last attempt too: a cache that lacks the key would use it up for nothing.
        if self.origin_kind >= 0 and (req.write or missed or 1 < len(req.attempts) + 1 == self.most):
            # The rank counts half: it already let the req miss, and turned away here that was for nothing.
            part = (1 + req.part) / 2
            fit = [node for node in self.origins if self.room.has(node, part, now, 0, rest, True)]
            fit = [node for node in fit if self.within_group(req, node)]
            if not req.write:
                self.lean = min(1.0, max(0.0, self.lean + (self.LEAN_OFF if fit else self.LEAN)))
            return min(fit, key=lambda node: node.in_flight, default=None)
        slots = self.placement.slots
        if not slots:
            return None
        key, k = self.rng.getrandbits(50) if req.key is None else req.key, self.placement.K
        k = k if req.key is None else self.popular.replicas(key, k, len(slots))
        homes = self.placement.homes(key, k)
        replicas = homes[:k]
        again = (SUPERSEDED,) if self.live else (SUPERSEDED, FULL)  # after these the same node may be asked
        tried = [w.node for w in req.attempts if w.outcome not in again]
        start = self.rng.randrange(len(replicas))
        if self.lean and self.rng.random() < self.lean:
            start = 0
        if self.live and k > self.placement.K:  # by size: guards small ones, a hot key brings each alike
            start = self.rng.choices(range(len(replicas)), [node.weight for node in replicas])[0]
        turn = replicas[start:] + replicas[:start]

        def there(node: Node) -> bool:
            # A cold one beyond its own turn by the spill: guards it against what others are too few to take.
            warmth = self.cold.warmth(node, now)
            warmth *= 1 if node is turn[0] or warmth == 1 else self.cold.spill
            up = node.state == READY and node not in tried and not self.sick(node, req.method)
            up = up and not self.ways.far(node.zone, now)
            return up and req.luck < warmth and self.within_group(req, node)

        def jammed(node: Node) -> bool:
            down = node.state == READY and not self.health.up(node) and not node.broken
            return down and not self.ways.far(node.zone, now)

        def able(node: Node) -> bool:
            has = self.room.has(node, req.part, now, req.calm, rest) and not self.links.crowded(node, now)
            return has and there(node) and not self.queued(node, req.method, now)

        # Trial: a down node whose pause is over gets one retryable req of its own keys, or of its bad method.
        for node in turn:
            sick = self.sick(node, req.method)
            if sick and now == req.arrived:
                sick.passed += 1
            may = not req.attempts and (req.method.semantics == RETRYABLE or sick is not node)
            if sick and may and node.state == READY and self.health.due(sick, now):
                if req.luck < self.cold.warmth(node, now):
                    return node
        fit = [node for node in turn if able(node)]
        if not fit:
            fit = [node for node in homes if able(node)]  # both replicas are out of reach: the spare
        # Guards the keys whose homes are all gone, refuse us, are cold or far.  Never for strain: it spreads.
        far = len(slots) if self.live or any(self.ways.far(node.zone, now) for node in homes) else 0
        while not fit and len(homes) < far and not any(there(node) or jammed(node) for node in homes):
            homes = self.placement.homes(key, 2 * len(homes))
            fit = [node for node in homes if able(node)]
        bound = max(self.FLOOR, self.SKIP * self.in_flight / len(slots))
        for node in fit:
            if node.in_flight <= bound and not (self.live and self.heavy(node, now)):
                return node
        return min(fit, key=lambda n: self.live.load(n, now) if self.live else n.in_flight, default=None)

    def queued(self, node: Node, method: Method, now: int) -> bool:
        """What waits there takes over a quarter of the latency budget.  Guards against the jam of nodes whose
        late work goes on: all proxies see it at one moment, so they leave it by chance, more the longer."""
        if not self.live or len(method.times) < 8:
            return False
        wait = self.live.load(node, now) * sorted(method.times)[len(method.times) // 4]
        return self.rng.random() * wait > method.latency_budget // 4

    def heavy(self, node: Node, now: int) -> bool:
        """The skip rule by the load of all proxies' reqs.  By chance: all learn of it at one moment."""
        bound = max(self.live.REST, self.SKIP * self.live.mean)
        return self.rng.random() * self.live.load(node, now) > bound

    def doubt(self, req: Req, now: int) -> None:
        """An attempt that outlasts patience counts against its node at once: a silent one is fed no more.
        Where peers may talk they learn of a queue while it still grows."""
        for attempt in req.attempts:
            if attempt.outcome is None and not attempt.doubted and not self.passed_by(attempt):
                attempt.doubted = True
                self.health.failed(attempt.node, False, attempt.sent)
                if self.hearsay and self.many:
                    self.room.told(attempt.node, False, self.room.FALL_HIT)
                    self.hearsay.note(attempt.node, 2, now)

    def passed_by(self, attempt: Attempt) -> bool:
        """The node, no origin, has answered what went out after this: it is not behind that this is late."""
        return attempt.sent < attempt.node.proven

    def sick(self, node: Node, method: Method) -> Node | Errors | None:
        """What keeps a method's reqs from a node: failures of the node, or its errors to that method."""
        errors = node.errors.get(method, node)
        return next((one for one in (node, errors) if not self.health.up(one)), None)
