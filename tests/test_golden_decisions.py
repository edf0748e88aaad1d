"""Golden tests of the simulator's line protocol: recorded input lines must get byte-identical output.

The days under tests/data/decisions/ were recorded by `play_day`, a seeded model of clients and servers that
reacts to the decisions only through the protocol.  Record them anew only after decisions were changed on
purpose: `PYTHONPATH=. python tests/test_golden_decisions.py`.
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


# --- Adapters: the only functions that use names of the project ---


def new_engine():
    return SimulatorAdapter()


def handle_line(engine, line: bytes) -> bytes | None:
    """Pass an input line to the engine; return its output, or None."""
    return engine.handle_line(line)


# --- The model ---


class Server:
    """A cache server or origin server with a few cores, a queue, cached keys and a current fault."""

    def __init__(self, name, kind, zone, cell, cores, started_at):
        self.name, self.kind, self.zone, self.cell, self.cores = name, kind, zone, cell, cores
        self.state, self.started_at = "active", started_at
        self.core_free_at, self.keys, self.in_service, self.fault = [0] * cores, set(), 0, None


class Day:
    """The state of a day: clock, clients, servers and transcript."""

    def __init__(self, seed, parameters):
        self.rng, self.parameters, self.engine = Random(seed), parameters, new_engine()
        self.lines: list[bytes] = []
        self.heap, self.event_count, self.now, self.batch = [], 0, 0, []
        self.list_count, self.request_number = 0, 0
        self.running: dict[str, int] = {}  # running proxies, with the number of the current start
        self.requests: dict[tuple, dict] = {}  # by proxy, start and request number
        self.servers: dict[str, Server] = {}
        for index in range(parameters["servers"]):
            zone, cores = (
                f"z{index % parameters['zones']}",
                parameters["cores"][index % len(parameters["cores"])],
            )
            kind = "big" if cores > min(parameters["cores"]) else "std"
            self.servers[f"n{index}"] = Server(f"n{index}", kind, zone, index % 2, cores, None)
        for index in range(parameters["origins"]):
            self.servers[f"o{index}"] = Server(
                f"o{index}", "origin", "z0", 0, parameters["origin_cores"], None
            )

    def schedule(self, time, action, *values):
        # Times are rounded up to a grid, so that several events share a batch.
        time = -(-max(time, self.now + 1) // 100_000) * 100_000
        self.event_count += 1
        heapq.heappush(self.heap, (time, self.event_count, action, values))

    def add_event(self, *message):
        self.batch.append(message)

    def run(self):
        while self.heap:
            self.now, self.batch = self.heap[0][0], []
            while self.heap and self.heap[0][0] == self.now:
                _, _, action, values = heapq.heappop(self.heap)
                action(*values)
            if self.batch:
                self.run_turn()
        return self.lines

    def run_turn(self):
        reply = None
        for message in [("TURN", self.now), *self.batch, ("END",)]:
            line = json.dumps(message, separators=(",", ":")).encode()
            self.lines.append(b">" + line)
            reply = handle_line(self.engine, line)
        for line in reply.splitlines():
            self.lines.append(b"<" + line)
            name, *values = json.loads(line)
            if name != "FINISHED":
                getattr(self, "on_" + name.lower())(*values)

    # Handlers of the engine's output

    def on_transmit(self, proxy, request_number, timeout_at, node):
        request = self.requests[proxy, self.running[proxy], request_number]
        number = len(request["attempts"])
        request["attempts"].append(node)
        ending, time, hit = self.attempt_result(self.servers.get(node), request, timeout_at)
        if time >= timeout_at:
            ending, time, hit = "overdue", timeout_at, None
        self.schedule(time, self.end_attempt, proxy, self.running[proxy], request_number, number, ending, hit)

    def on_cancel(self, proxy, request_number, number):
        delay = self.rng.randrange(2 * MS)
        self.schedule(
            self.now + delay,
            self.end_attempt,
            proxy,
            self.running[proxy],
            request_number,
            number,
            "recalled",
            None,
        )

    def on_deny(self, proxy, request_number, *_):
        self.requests[proxy, self.running[proxy], request_number]["closed"] = True

    on_lose = on_deny

    def on_set_timer(self, proxy, delay, at):
        self.schedule(self.now + delay, self.timer, proxy, self.running[proxy], at)

    def on_announce(self, proxy, peer, datagram):
        recipient, draw = f"proxy_{peer}", self.rng.random()
        if recipient not in self.running or draw < 0.05:
            return
        self.schedule(self.now + self.rng.randrange(MS, 5 * MS), self.inbox, recipient, proxy, datagram)
        if draw > 0.97:  # repeated
            self.schedule(self.now + self.rng.randrange(MS, 50 * MS), self.inbox, recipient, proxy, datagram)

    def on_release(self, proxy, node):
        pass

    def on_watch(self, proxy, _):
        failed = self.rng.random() < self.parameters["calls_fail"]
        delay = self.rng.randrange(5 * MS, 50 * MS)
        self.schedule(self.now + delay, self.deliver_list, proxy, self.running[proxy], "X" if failed else "C")

    # Events for the engine

    def timer(self, proxy, start, at):
        if self.running.get(proxy) == start:
            self.add_event("TIMER", proxy, at)

    def inbox(self, proxy, sender, datagram):
        if proxy in self.running:
            self.add_event("INBOX", proxy, sender, datagram)

    def end_attempt(self, proxy, start, request_number, number, ending, hit):
        request = self.requests.get((proxy, start, request_number))
        if not request or number in request["ended"] or self.running.get(proxy) != start:
            return
        request["ended"].add(number)
        server = self.servers.get(request["attempts"][number])
        report = None
        if self.parameters["reports"] and server and ending in ("completed", "saturated", "errored"):
            report = {
                "active": server.in_service,
                "waiting": max(0, server.in_service - server.cores),
                "cpu": 0.5,
            }
            if self.rng.random() < 0.3:
                del report["active"]
        is_final = ending == "completed"
        request["closed"] = request["closed"] or is_final
        delay = self.now - request["arrived_at"]
        node, info = request["attempts"][number], None if hit is None else int(hit)
        self.add_event("FINISHED", proxy, request_number, number, node, ending, delay, is_final, info, report)

    def send_request(self, proxy):
        if proxy not in self.running:
            return
        rng, parameters = self.rng, self.parameters
        self.request_number += 1
        request_class = rng.choice(parameters["classes"])
        key = rng.randrange(3) if rng.random() < parameters["hot"] else int(rng.paretovariate(0.5)) % 400 + 10
        key = None if rng.random() < 0.03 else key
        tenant = rng.choice([None, "t0", "t0", "t0", "t1", "t2", "t3", "stranger"])
        give_up = self.now + request_class["give_up"]
        write = rng.random() < parameters["writes"]
        request = dict(request_class=request_class, key=key, write=write, arrived_at=self.now)
        request |= dict(attempts=[], ended=set(), closed=False)
        self.requests[proxy, self.running[proxy], self.request_number] = request
        self.add_event(
            "ASK",
            proxy,
            self.request_number,
            request_class["name"],
            tenant,
            key,
            give_up,
            None,
            100,
            False,
            write,
        )
        disconnect_after = rng.randrange(60 * MS) if rng.random() < 0.03 else request_class["give_up"]
        self.schedule(
            self.now + disconnect_after,
            self.disconnect_client,
            proxy,
            self.running[proxy],
            self.request_number,
        )

    def disconnect_client(self, proxy, start, request_number):
        request = self.requests[proxy, start, request_number]
        if self.running.get(proxy) == start and not request["closed"]:
            request["closed"] = True
            self.add_event("CANCELLED_BY_CLIENT", proxy, request_number)

    def attempt_result(self, server, request, timeout_at):
        """Return how and when an attempt sent now ends, and whether it was a cache hit."""
        rng, now = self.rng, self.now
        if server is None or server.fault == "gone":
            return "refused_conn", now + rng.randrange(MS, 3 * MS), None
        network_delay = rng.randrange(MS // 2, 2 * MS) + (server.zone != "z0") * self.parameters["far"]
        if server.fault == "hung":
            return "overdue", timeout_at, None
        if server.fault == "cut" and rng.random() < 0.5:
            return "severed", now + 2 * network_delay, None
        if server.fault == "errors" and request["request_class"] is self.parameters["classes"][0]:
            return "errored", now + 2 * network_delay, None
        if server.fault == "slow errors":
            return "errored", now + request["request_class"]["latency_budget"] * 2 // 3, None
        draw = rng.random()
        if draw < 0.004:
            return "severed", now + 2 * network_delay, None
        if request["write"] and draw < 0.08:
            return "superseded", now + 2 * network_delay, None
        if draw < 0.012:
            return "errored", now + 2 * network_delay, None
        start = max(now + network_delay, min(server.core_free_at))
        if start - now > 30 * MS * (4 if server.kind == "origin" else 1) or draw > 0.995:
            return "saturated", now + 2 * network_delay, None
        hit = request["key"] in server.keys and not request["write"]
        if server.kind == "origin":
            service_time = rng.randrange(30 * MS, 60 * MS)
        elif hit or request["write"]:
            service_time = rng.randrange(MS, 4 * MS)
        elif self.parameters["origins"]:  # cache-aside: a miss is answered at once, and filled later
            self.schedule(now + 150 * MS, server.keys.add, request["key"])
            return "lookup_miss", start + MS + network_delay, None
        else:
            service_time = rng.randrange(20 * MS, 60 * MS)
        if server.fault == "slow":
            service_time *= 8
        server.core_free_at[server.core_free_at.index(min(server.core_free_at))] = start + service_time
        server.keys.add(request["key"])
        server.in_service += 1
        self.schedule(start + service_time, self.end_service, server)
        return "completed", start + service_time + network_delay, hit

    @staticmethod
    def end_service(server):
        server.in_service = max(0, server.in_service - 1)

    # Servers and endpoint lists

    def entry(self, server):
        weight = {"none": None, "nominal": server.cores, "live": server.cores}[self.parameters["weights"]]
        if self.parameters["weights"] == "live":
            weight = round(server.cores / (1 + server.in_service / server.cores), 3)
        weight = 0 if self.rng.random() < 0.01 else weight
        return [server.kind, server.name, weight, server.cell, server.state, server.zone, server.started_at]

    def deliver_list(self, proxy, start, list_kind, names=()):
        if self.running.get(proxy) != start:
            return
        if list_kind == "X":
            return self.add_event("MEMBERS", proxy, 0, "X", self.event_count)
        listed = [
            s for s in self.servers.values() if (list_kind != "D" and s.state != "left") or s.name in names
        ]
        self.add_event("REGISTER", self.list_count, [self.entry(server) for server in listed])
        self.add_event("MEMBERS", proxy, self.list_count, list_kind, self.event_count)
        self.list_count += 1

    def announce(self, *names):
        for proxy, start in self.running.items():
            delay = self.rng.randrange(50 * MS, 500 * MS)
            self.schedule(self.now + delay, self.deliver_list, proxy, start, "D" if names else "F", names)

    def change(self, name, state=None, fault=..., cold=False, notify=True):
        server = self.servers.get(name)
        if server is None:
            server = self.servers[name] = Server(name, "std", "z0", 0, self.parameters["cores"][0], self.now)
        if cold:
            server.started_at, server.keys = self.now, set()
        server.state = state or server.state
        server.fault = server.fault if fault is ... else fault
        if notify:
            self.announce(name)

    def zone_fault(self, zone, fault):
        for server in self.servers.values():
            if server.zone == zone and server.kind != "origin":
                server.fault = fault

    def start(self, proxy, number):
        self.running[proxy] = self.running.get(proxy, 0) + 1 + 1000 * (self.now > 0)
        settings = {**self.parameters["settings"], "slot_no": number}
        self.add_event("UP", proxy, 100 + number, settings)
        if settings.get("discovery") != "ask":
            self.deliver_list(proxy, self.running[proxy], "F")

    def stop(self, proxy):
        self.running.pop(proxy)
        self.add_event("KILLED", proxy)

    def break_watch(self, proxy):
        if proxy in self.running:
            self.deliver_list(proxy, self.running[proxy], "X")


def play_day(seed: int, parameters: dict) -> list[bytes]:
    """Return the transcript of a day: input lines start with `>`, output lines with `<`."""
    day = Day(seed, parameters)
    for number in range(parameters["proxies"]):
        day.schedule(MS + number * 300_000, day.start, f"proxy_{number}", number)
    length = parameters["seconds"] * SECOND
    for _ in range(parameters["requests"]):
        begin = day.rng.randrange(200 * MS, length)
        if day.rng.random() < parameters["bursts"]:  # these requests arrive in one of two bursts
            begin = day.rng.choice((length // 3, length * 3 // 4)) + day.rng.randrange(SECOND // 2)
        day.schedule(begin, day.send_request, f"proxy_{day.rng.randrange(parameters['proxies'])}")
    for share in range(1, 10):
        day.schedule(length * share // 10, day.announce)
    for second, action, *values in parameters["script"]:
        keywords = dict(values.pop()) if values and isinstance(values[-1], dict) else {}
        day.schedule(
            int(second * SECOND), lambda action=action, v=values, n=keywords: getattr(day, action)(*v, **n)
        )
    return day.run()


# --- Parameters of the days ---


def token(name, group, **more):
    request_class = dict(semantics="token", latency_budget=150 * MS, give_up=300 * MS, criticality=2.0)
    return {"name": name, "group": group, "window": 400 * MS, **request_class, **more}


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
    (1.0, "change", "n0", {"fault": "errors", "notify": False}),
    (2.5, "change", "n0", {"fault": None, "notify": False}),
    (2.6, "change", "n1", {"fault": "hung", "notify": False}),
    (4.0, "change", "n1", {"fault": None, "notify": False}),
    (4.2, "change", "n2", {"fault": "gone", "notify": False}),
    (6.5, "change", "n2", {"fault": None, "cold": True, "notify": False}),
    (5.0, "change", "n9", {"state": "active", "cold": True}),
    (6.0, "change", "n3", {"state": "leaving"}),
    (6.6, "change", "n3", {"state": "left", "fault": "gone"}),
    (7.0, "change", "n4", {"fault": "cut", "notify": False}),
    (7.6, "change", "n4", {"state": "left", "fault": "gone"}),
    (8.0, "change", "n3", {"state": "active", "fault": None, "cold": True}),
    (9.3, "change", "n4", {"state": "active", "fault": None, "cold": True}),
    (9.5, "change", "n0", {"fault": "slow errors", "notify": False}),
    (10.2, "change", "n0", {"fault": None, "notify": False}),
    (10.3, "change", "n1", {"fault": "slow", "notify": False}),
    (11.5, "change", "n1", {"fault": None, "notify": False}),
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
    (3.0, "change", "o0", {"fault": "slow", "notify": False}),
    (4.5, "change", "o0", {"fault": None}),
    (5.0, "change", "o1", {"fault": "hung", "notify": False}),
    (6.0, "change", "o1", {"fault": None}),
    (8.2, "change", "o0", {"fault": "gone", "notify": False}),
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
    for name, (seed, parameters) in DAYS.items():
        lines = play_day(seed, parameters)
        assert not any(line.startswith(b'<["GIVE_IN"') for line in lines), name
        (DATA / f"{name}.gz").write_bytes(gzip.compress(b"\n".join(lines) + b"\n", 9, mtime=0))


# --- The tests ---


def recorded(name: str) -> list[bytes]:
    return gzip.decompress((DATA / f"{name}.gz").read_bytes()).splitlines()


@pytest.mark.parametrize("name", DAYS)
def test_a_recorded_day_is_decided_as_it_was(name):
    engine, answers = new_engine(), iter(())
    for line_number, line in enumerate(recorded(name), 1):
        if line[:1] == b">":
            extra = next(answers, None)
            assert extra is None, (
                f"{name}, before line {line_number}: one more output line than recorded: {extra}"
            )
            answers = iter((handle_line(engine, line[1:]) or b"").splitlines(keepends=True))
        else:
            answer = next(answers, None)
            assert answer == line[1:] + b"\n", (
                f"{name}, line {line_number}: recorded {line[1:]}, got {answer}"
            )
    assert next(answers, None) is None


def test_the_days_hold_all_kinds_of_events_and_endings():
    """Check that the recordings contain every kind of event, ending and answer."""
    events, endings, answers = set(), set(), set()
    for name in DAYS:
        for line in recorded(name):
            message = json.loads(line[1:])
            (events if line[:1] == b">" else answers).add(message[0])
            if line[:11] == b'>["FINISHED':
                endings.add(message[5])
    expected = "completed errored saturated overdue refused_conn severed recalled superseded lookup_miss"
    assert endings == {*expected.split()}
    expected = "TURN END REGISTER UP MEMBERS ASK FINISHED CANCELLED_BY_CLIENT INBOX TIMER KILLED"
    assert events == {*expected.split()}
    expected = "TRANSMIT DENY LOSE CANCEL SET_TIMER ANNOUNCE RELEASE WATCH FINISHED"
    assert answers == {*expected.split()}


if __name__ == "__main__":
    record()
