"""Recorded days of the simulator's line protocol: the same input lines must get the same output to the byte.

The days under tests/data/decisions/ were recorded once, by `play_day`: a seeded toy model of proxies' clients
and servers that reacts to decisions through the protocol alone.
`PYTHONPATH=. python tests/test_golden_decisions.py` records them anew;
that is right only when decisions are changed on purpose.
"""

from __future__ import annotations

import gzip
import heapq
import json
from pathlib import Path
from random import Random

import pytest

from ivystack.simulator.adapter import SimulatorAdapter

DATA = Path(__file__).parent / "data" / "decisions"
MS, SECOND = 1_000_000, 1_000_000_000  # nanoseconds


# --- Adapters: the only uses of the project's own names ---


def new_engine():
    return SimulatorAdapter()


def give(engine, line: bytes) -> bytes | None:
    """Hands one input line over; what is answered, if anything is."""
    return engine.handle_line(line)


# --- The toy model ---


class Server:
    """One cache server or the origin: a few cores, a queue, a set of keys, and faults with times."""

    def __init__(self, name, kind, zone, cell, cores, came_up):
        self.name, self.kind, self.zone, self.cell, self.cores = name, kind, zone, cell, cores
        self.state, self.came_up = "active", came_up
        self.free, self.keys, self.held, self.fault = [0] * cores, set(), 0, None


class Day:
    """The clock, the clients, the servers and the transcript."""

    def __init__(self, seed, p):
        self.rng, self.p, self.engine = Random(seed), p, new_engine()
        self.lines: list[bytes] = []
        self.heap, self.count, self.now, self.batch = [], 0, 0, []
        self.sheets, self.ref = 0, 0
        self.up: dict[str, int] = {}  # proxies that run, with the count of their starts
        self.open: dict[tuple, dict] = {}  # requests by proxy, start and number
        self.servers: dict[str, Server] = {}
        for place in range(p["servers"]):
            zone, cores = f"z{place % p['zones']}", p["cores"][place % len(p["cores"])]
            kind = "big" if cores > min(p["cores"]) else "std"
            self.servers[f"n{place}"] = Server(f"n{place}", kind, zone, place % 2, cores, None)
        for place in range(p["origins"]):
            self.servers[f"o{place}"] = Server(f"o{place}", "origin", "z0", 0, p["origin_cores"], None)

    def at(self, when, act, *values):
        when = -(-max(when, self.now + 1) // 100_000) * 100_000  # a grid, so that batches hold several
        self.count += 1
        heapq.heappush(self.heap, (when, self.count, act, values))

    def say(self, *message):
        self.batch.append(message)

    def run(self):
        while self.heap:
            self.now, self.batch = self.heap[0][0], []
            while self.heap and self.heap[0][0] == self.now:
                _, _, act, values = heapq.heappop(self.heap)
                act(*values)
            if self.batch:
                self.turn()
        return self.lines

    def turn(self):
        reply = None
        for message in [("TURN", self.now), *self.batch, ("END",)]:
            line = json.dumps(message, separators=(",", ":")).encode()
            self.lines.append(b">" + line)
            reply = give(self.engine, line)
        for line in reply.splitlines():
            self.lines.append(b"<" + line)
            name, *values = json.loads(line)
            if name != "FINISHED":
                getattr(self, "on_" + name.lower())(*values)

    # What is decided

    def on_transmit(self, proxy, ref, until, node):
        one = self.open[proxy, self.up[proxy], ref]
        number = len(one["attempts"])
        one["attempts"].append(node)
        ending, when, hit = self.served(self.servers.get(node), one, until)
        if when >= until:
            ending, when, hit = "overdue", until, None
        self.at(when, self.ended, proxy, self.up[proxy], ref, number, ending, hit)

    def on_cancel(self, proxy, ref, number):
        delay = self.rng.randrange(2 * MS)
        self.at(self.now + delay, self.ended, proxy, self.up[proxy], ref, number, "recalled", None)

    def on_deny(self, proxy, ref, *_):
        self.open[proxy, self.up[proxy], ref]["closed"] = True

    on_lose = on_deny

    def on_set_timer(self, proxy, rest, at):
        self.at(self.now + rest, self.timer, proxy, self.up[proxy], at)

    def on_announce(self, proxy, peer, words):
        to, luck = f"proxy_{peer}", self.rng.random()
        if to not in self.up or luck < 0.05:
            return
        self.at(self.now + self.rng.randrange(MS, 5 * MS), self.inbox, to, proxy, words)
        if luck > 0.97:  # repeated
            self.at(self.now + self.rng.randrange(MS, 50 * MS), self.inbox, to, proxy, words)

    def on_release(self, proxy, node):
        pass

    def on_watch(self, proxy, _):
        failed = self.rng.random() < self.p["calls_fail"]
        delay = self.rng.randrange(5 * MS, 50 * MS)
        self.at(self.now + delay, self.members, proxy, self.up[proxy], "X" if failed else "C")

    # What comes in

    def timer(self, proxy, start, at):
        if self.up.get(proxy) == start:
            self.say("TIMER", proxy, at)

    def inbox(self, proxy, sender, words):
        if proxy in self.up:
            self.say("INBOX", proxy, sender, words)

    def ended(self, proxy, start, ref, number, ending, hit):
        one = self.open.get((proxy, start, ref))
        if not one or number in one["ended"] or self.up.get(proxy) != start:
            return
        one["ended"].add(number)
        server = self.servers.get(one["attempts"][number])
        told = None
        if self.p["reports"] and server and ending in ("completed", "saturated", "errored"):
            told = {"active": server.held, "waiting": max(0, server.held - server.cores), "cpu": 0.5}
            if self.rng.random() < 0.3:
                del told["active"]
        last = ending == "completed"
        one["closed"] = one["closed"] or last
        delay = self.now - one["asked"]
        node, info = one["attempts"][number], None if hit is None else int(hit)
        self.say("FINISHED", proxy, ref, number, node, ending, delay, last, info, told)

    def ask(self, proxy):
        if proxy not in self.up:
            return
        rng, p = self.rng, self.p
        self.ref += 1
        method = rng.choice(p["classes"])
        key = rng.randrange(3) if rng.random() < p["hot"] else int(rng.paretovariate(0.5)) % 400 + 10
        key = None if rng.random() < 0.03 else key
        tenant = rng.choice([None, "t0", "t0", "t0", "t1", "t2", "t3", "stranger"])
        give_up = self.now + method["give_up"]
        write = rng.random() < p["writes"]
        one = dict(method=method, key=key, write=write, asked=self.now)
        one |= dict(attempts=[], ended=set(), closed=False)
        self.open[proxy, self.up[proxy], self.ref] = one
        self.say("ASK", proxy, self.ref, method["name"], tenant, key, give_up, None, 100, False, write)
        leaves = rng.randrange(60 * MS) if rng.random() < 0.03 else method["give_up"]
        self.at(self.now + leaves, self.client_gone, proxy, self.up[proxy], self.ref)

    def client_gone(self, proxy, start, ref):
        one = self.open[proxy, start, ref]
        if self.up.get(proxy) == start and not one["closed"]:
            one["closed"] = True
            self.say("CANCELLED_BY_CLIENT", proxy, ref)

    def served(self, server, one, until):
        """How and when an attempt that goes out now ends, and whether it was a hit."""
        rng, now = self.rng, self.now
        if server is None or server.fault == "gone":
            return "refused_conn", now + rng.randrange(MS, 3 * MS), None
        way = rng.randrange(MS // 2, 2 * MS) + (server.zone != "z0") * self.p["far"]
        if server.fault == "hung":
            return "overdue", until, None
        if server.fault == "cut" and rng.random() < 0.5:
            return "severed", now + 2 * way, None
        if server.fault == "errors" and one["method"] is self.p["classes"][0]:
            return "errored", now + 2 * way, None
        if server.fault == "slow errors":
            return "errored", now + one["method"]["latency_budget"] * 2 // 3, None
        luck = rng.random()
        if luck < 0.004:
            return "severed", now + 2 * way, None
        if one["write"] and luck < 0.08:
            return "superseded", now + 2 * way, None
        if luck < 0.012:
            return "errored", now + 2 * way, None
        start = max(now + way, min(server.free))
        if start - now > 30 * MS * (4 if server.kind == "origin" else 1) or luck > 0.995:
            return "saturated", now + 2 * way, None
        hit = one["key"] in server.keys and not one["write"]
        if server.kind == "origin":
            took = rng.randrange(30 * MS, 60 * MS)
        elif hit or one["write"]:
            took = rng.randrange(MS, 4 * MS)
        elif self.p["origins"]:  # aside: a miss is told at once, and filled later
            self.at(now + 150 * MS, server.keys.add, one["key"])
            return "lookup_miss", start + MS + way, None
        else:
            took = rng.randrange(20 * MS, 60 * MS)
        if server.fault == "slow":
            took *= 8
        server.free[server.free.index(min(server.free))] = start + took
        server.keys.add(one["key"])
        server.held += 1
        self.at(start + took, self.let_go, server)
        return "completed", start + took + way, hit

    @staticmethod
    def let_go(server):
        server.held = max(0, server.held - 1)

    # Servers and lists

    def entry(self, server):
        weight = {"none": None, "nominal": server.cores, "live": server.cores}[self.p["weights"]]
        if self.p["weights"] == "live":
            weight = round(server.cores / (1 + server.held / server.cores), 3)
        weight = 0 if self.rng.random() < 0.01 else weight
        return [server.kind, server.name, weight, server.cell, server.state, server.zone, server.came_up]

    def members(self, proxy, start, how, names=()):
        if self.up.get(proxy) != start:
            return
        if how == "X":
            return self.say("MEMBERS", proxy, 0, "X", self.count)
        listed = [s for s in self.servers.values() if (how != "D" and s.state != "left") or s.name in names]
        self.say("REGISTER", self.sheets, [self.entry(server) for server in listed])
        self.say("MEMBERS", proxy, self.sheets, how, self.count)
        self.sheets += 1

    def tell(self, *names):
        for proxy, start in self.up.items():
            delay = self.rng.randrange(50 * MS, 500 * MS)
            self.at(self.now + delay, self.members, proxy, start, "D" if names else "F", names)

    def change(self, name, state=None, fault=..., cold=False, told=True):
        server = self.servers.get(name)
        if server is None:
            server = self.servers[name] = Server(name, "std", "z0", 0, self.p["cores"][0], self.now)
        if cold:
            server.came_up, server.keys = self.now, set()
        server.state = state or server.state
        server.fault = server.fault if fault is ... else fault
        if told:
            self.tell(name)

    def zone_fault(self, zone, fault):
        for server in self.servers.values():
            if server.zone == zone and server.kind != "origin":
                server.fault = fault

    def start(self, proxy, number):
        self.up[proxy] = self.up.get(proxy, 0) + 1 + 1000 * (self.now > 0)
        sheet = {**self.p["settings"], "slot_no": number}
        self.say("UP", proxy, 100 + number, sheet)
        if sheet.get("discovery") != "ask":
            self.members(proxy, self.up[proxy], "F")

    def stop(self, proxy):
        self.up.pop(proxy)
        self.say("KILLED", proxy)

    def break_watch(self, proxy):
        if proxy in self.up:
            self.members(proxy, self.up[proxy], "X")


def play_day(seed: int, p: dict) -> list[bytes]:
    """The transcript of one day: input lines after `>`, output lines after `<`."""
    day = Day(seed, p)
    for number in range(p["proxies"]):
        day.at(MS + number * 300_000, day.start, f"proxy_{number}", number)
    length = p["seconds"] * SECOND
    for _ in range(p["requests"]):
        begin = day.rng.randrange(200 * MS, length)
        if day.rng.random() < p["bursts"]:  # some come at two rushes
            begin = day.rng.choice((length // 3, length * 3 // 4)) + day.rng.randrange(SECOND // 2)
        day.at(begin, day.ask, f"proxy_{day.rng.randrange(p['proxies'])}")
    for share in range(1, 10):
        day.at(length * share // 10, day.tell)
    for second, act, *values in p["script"]:
        named = dict(values.pop()) if values and isinstance(values[-1], dict) else {}
        day.at(int(second * SECOND), lambda act=act, v=values, n=named: getattr(day, act)(*v, **n))
    return day.run()


# --- The days ---


def token(name, group, **more):
    one = dict(semantics="token", latency_budget=150 * MS, give_up=300 * MS, criticality=2.0)
    return {"name": name, "group": group, "window": 400 * MS, **one, **more}


PURE = {
    "name": "read",
    "semantics": "pure",
    "latency_budget": 100 * MS,
    "give_up": 200 * MS,
    "criticality": 1.0,
}
TARDY = {**PURE, "name": "page", "tardy_criticality": 0.3, "give_up": 400 * MS}
EFFECT = {**PURE, "name": "pay", "semantics": "side_effect", "criticality": 5.0}
HASTY = {**PURE, "name": "hasty", "latency_budget": 5 * MS, "give_up": 6 * MS, "criticality": 0.1}
TOKENS = [token("all", "all"), token("zone", "zone"), token("cell", "cell", latency_budget=80 * MS)]
CLASSES = [PURE, TARDY, EFFECT, HASTY, *TOKENS]
PARTIES = [{"name": f"t{i}", "allowance_per_s": rate} for i, rate in enumerate((5, 50, 50, 0))]
LIMITS = {"most_write_outs": 3, "conn_idle": 10 * SECOND, "streams_per_conn": 1}
RULES = {"cold": 3 * SECOND, "cold_share": 0.2, "overload_factor": 3.0, "ask_within": 4 * SECOND}
SETTINGS = {"methods": CLASSES, "parties": PARTIES, "kinds": ["std", "big", "origin"], "limits": LIMITS}
SETTINGS |= {"rules": RULES, "excess_criticality": 0.3, "granularity": MS, "n_instances": 3}
BASE = dict(
    settings=SETTINGS, classes=CLASSES, proxies=3, servers=5, zones=2, cores=[2, 2, 4], origins=0,
    origin_cores=2, requests=700, seconds=12, bursts=0.3, hot=0.2, writes=0.1, far=MS, weights="none",
    reports=False, calls_fail=0,
)  # fmt: skip
FAULTS = [
    (1.0, "change", "n0", {"fault": "errors", "told": False}),
    (2.5, "change", "n0", {"fault": None, "told": False}),
    (2.6, "change", "n1", {"fault": "hung", "told": False}),
    (4.0, "change", "n1", {"fault": None, "told": False}),
    (4.2, "change", "n2", {"fault": "gone", "told": False}),
    (6.5, "change", "n2", {"fault": None, "cold": True, "told": False}),
    (5.0, "change", "n9", {"state": "active", "cold": True}),
    (6.0, "change", "n3", {"state": "leaving"}),
    (6.6, "change", "n3", {"state": "left", "fault": "gone"}),
    (7.0, "change", "n4", {"fault": "cut", "told": False}),
    (7.6, "change", "n4", {"state": "left", "fault": "gone"}),
    (8.0, "change", "n3", {"state": "active", "fault": None, "cold": True}),
    (9.3, "change", "n4", {"state": "active", "fault": None, "cold": True}),
    (9.5, "change", "n0", {"fault": "slow errors", "told": False}),
    (10.2, "change", "n0", {"fault": None, "told": False}),
    (10.3, "change", "n1", {"fault": "slow", "told": False}),
    (11.5, "change", "n1", {"fault": None, "told": False}),
]
LONG = [
    (8.5, "zone_fault", "z1", "hung"), (10.0, "zone_fault", "z1", None),
    (9.0, "change", "n2", {"state": "left", "fault": "gone"}),
    (11.5, "stop", "proxy_2"), (11.7, "start", "proxy_2", 2),
    (15.5, "change", "n2", {"state": "active", "fault": None, "cold": True}),
]  # fmt: skip
MANY = {**SETTINGS, "n_instances": 40, "limits": {**LIMITS, "may_duplicate": True, "peers": True}}
FEW = {**SETTINGS, "n_instances": 3, "limits": {**LIMITS, "peers": True}}
ASKED = {**SETTINGS, "discovery": "ask", "specifics": {"origin_kind": 2}}
ASKED["limits"] = {**LIMITS, "retry_after": True, "max_retry_after": 2 * SECOND}
LIVE = {
    **SETTINGS,
    "weight_source": "live",
    "reporting": {"how": "answers", "columns": ["active", "waiting"]},
}
WATCHES = [(t, "break_watch", f"proxy_{t % 3}") for t in (2, 3, 7, 9)]
ORIGIN = [
    (3.0, "change", "o0", {"fault": "slow", "told": False}),
    (4.5, "change", "o0", {"fault": None}),
    (5.0, "change", "o1", {"fault": "hung", "told": False}),
    (6.0, "change", "o1", {"fault": None}),
    (8.2, "change", "o0", {"fault": "gone", "told": False}),
    (8.8, "change", "o0", {"fault": None}),
]

DAYS = {
    "pushed": (11, {**BASE, "script": FAULTS, "proxies": 2}),
    "hedging": (
        12,
        {**BASE, "settings": MANY, "script": FAULTS + LONG, "proxies": 5, "seconds": 18, "zones": 3},
    ),
    "few_peers": (13, {**BASE, "settings": FEW, "script": FAULTS, "requests": 500}),
    "aside": (
        14,
        {**BASE, "settings": ASKED, "script": FAULTS + WATCHES + ORIGIN, "origins": 2, "calls_fail": 0.4},
    ),
    "live": (
        15,
        {
            **BASE,
            "settings": LIVE,
            "script": FAULTS + LONG[:2],
            "weights": "live",
            "reports": True,
            "proxies": 1,
            "cores": [3, 3, 5],
        },
    ),
    "nominal": (
        16,
        {
            **BASE,
            "settings": {**SETTINGS, "weight_source": "nominal"},
            "script": FAULTS,
            "weights": "nominal",
        },
    ),
}


def record():
    DATA.mkdir(parents=True, exist_ok=True)
    for name, (seed, p) in DAYS.items():
        lines = play_day(seed, p)
        assert not any(line.startswith(b'<["GIVE_IN"') for line in lines), name
        (DATA / f"{name}.gz").write_bytes(gzip.compress(b"\n".join(lines) + b"\n", 9, mtime=0))


# --- The tests ---


def recorded(name: str) -> list[bytes]:
    return gzip.decompress((DATA / f"{name}.gz").read_bytes()).splitlines()


@pytest.mark.parametrize("name", DAYS)
def test_a_recorded_day_is_decided_as_it_was(name):
    engine, answers = new_engine(), iter(())
    for place, line in enumerate(recorded(name), 1):
        if line[:1] == b">":
            left = next(answers, None)
            assert left is None, f"{name}, before line {place}: one more than recorded: {left}"
            answers = iter((give(engine, line[1:]) or b"").splitlines(keepends=True))
        else:
            got = next(answers, None)
            assert got == line[1:] + b"\n", f"{name}, line {place}: recorded {line[1:]}, got {got}"
    assert next(answers, None) is None


def test_the_days_hold_all_kinds_of_events_and_endings():
    """Guards the recordings against being hollow."""
    events, endings, answers = set(), set(), set()
    for name in DAYS:
        for line in recorded(name):
            message = json.loads(line[1:])
            (events if line[:1] == b">" else answers).add(message[0])
            if line[:11] == b'>["FINISHED':
                endings.add(message[5])
    wanted = "completed errored saturated overdue refused_conn severed recalled superseded lookup_miss"
    assert endings == {*wanted.split()}
    wanted = "TURN END REGISTER UP MEMBERS ASK FINISHED CANCELLED_BY_CLIENT INBOX TIMER KILLED"
    assert events == {*wanted.split()}
    wanted = "TRANSMIT DENY LOSE CANCEL SET_TIMER ANNOUNCE RELEASE WATCH FINISHED"
    assert answers == {*wanted.split()}


if __name__ == "__main__":
    record()
