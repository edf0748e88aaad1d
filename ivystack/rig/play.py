"""Plays a scenario: starts everything, makes the faults when due, takes them back, gathers the record.

Owns the run from its start to its end and all that it has started.  It must never judge (verdict.py does),
leave a process behind, or let two runs share anything but the machine.
"""

from __future__ import annotations

import socket
import time
from pathlib import Path
from random import Random

import orjson
from twisted.internet import defer
from twisted.internet.protocol import ClientFactory
from twisted.web.client import Agent, readBody

from ..load.arrivals import draw_arrivals
from ..load.clients import Clients, in_time
from ..mesh.keys import read_key_file, write_key_file
from ..net.resp import RespProtocol, encode_command
from ..standin.discovery import Discovery
from ..standin.ledger import SERVING
from ..standin.node import Node
from ..standin.origin import Origin
from .agree import Agreeing
from .faults import Faults
from .logs import logged
from .processes import Process
from .record import CLASSES, MULTIPLE, SHARE, US, WINDOW, Record, window
from .relay import Hub
from .scenario import Scenario, names
from .verdict import judged

READY_WITHIN = 60.0  # seconds that the processes may take to start, all of them
GROUP_WITHIN = 20.0  # that the consensus group may take to begin
END_WITHIN = 6.0  # after SIGTERM
STEP = 2_000  # microseconds: less than that the logs do not show
LOOK = 0.05  # seconds between looks at the processes and at our own lateness


def settings(scenario: Scenario, number: int) -> dict:
    """What a proxy is told in `settings`; times in nanoseconds."""
    ns = 1000
    semantics = {"read": "pure", "put": "token", "pay": "side_effect"}
    methods = [
        {
            "name": one.name, "semantics": semantics[one.name], "latency_budget": one.latency_budget * ns,
            "give_up": one.timeout * ns, "criticality": scenario.load.worth.get(one.name, 1.0),
            "tardy_criticality": 0.3, "group": "all", "window": window(scenario) * ns,
        }
        for one in CLASSES
    ]  # fmt: skip
    limits = {
        "connect_timeout": 250_000 * ns, "conn_idle": 10 * US * ns, "streams_per_conn": 8,
        "most_write_outs": 3, "may_duplicate": True, "retry_after": True, "max_retry_after": 400_000 * ns,
        "peers": scenario.fleet.peers,
    }  # fmt: skip
    cold = {"cold": int(scenario.fleet.warm * US) * ns, "cold_share": SHARE, "overload_factor": MULTIPLE}
    return {
        "methods": methods, "limits": limits, "rules": cold, "n_instances": scenario.fleet.proxies,
        "slot_no": number,
    }  # fmt: skip


class Ports:
    """Free ports, kept from being given out again until the processes that want them are started."""

    def __init__(self):
        self.kept: list[socket.socket] = []

    def free(self, host: str, kind=socket.SOCK_STREAM) -> int:
        one = socket.socket(socket.AF_INET, kind)
        self.kept.append(one)
        one.bind((host, 0))
        return one.getsockname()[1]

    def let_go(self) -> None:
        while self.kept:
            self.kept.pop().close()


class Ping(RespProtocol):
    def __init__(self, done):
        super().__init__()
        self.done = done

    def connectionMade(self) -> None:  # noqa: N802
        self.transport.write(encode_command(b"PING"))

    def value_received(self, value) -> None:
        self.done(value == "+PONG")
        self.transport.loseConnection()

    def fail_protocol(self, why: str) -> None:
        self.done(False)


class Pinging(ClientFactory):
    noisy = False

    def __init__(self, done):
        self.done = done

    def buildProtocol(self, addr):  # noqa: N802
        return Ping(self.done)

    def clientConnectionFailed(self, connector, reason) -> None:  # noqa: N802
        self.done(False)


class Rig:
    """One run of a scenario in `folder`.  `tell` gets a line now and then; `program` is the folder that holds
    the package which the processes run, ours if None."""

    def __init__(self, scenario: Scenario, folder: Path, reactor, tell=lambda line: None, program=None):
        self.scenario, self.folder, self.reactor, self.tell = scenario, folder, reactor, tell
        self.program = program  # the folder that holds the package; None: our own
        self.rng = Random(scenario.seed)
        self.hub = Hub(reactor, Random(self.rng.getrandbits(64)))
        self.record = Record(scenario)
        self.ledger = self.record.ledger
        self.faults = Faults(self)
        self.over = False
        self.ports = Ports()
        # Wall clock less ours, with the wall's time from which on it was so: a machine's may be set in a run.
        self.steps = [(0, time.time_ns() // 1000 - self.now())]
        self.meshes: dict[str, tuple[str, int]] = {}
        self.mesh_doors: dict[str, tuple[str, int]] = {}
        self.members: list[str] = []
        self.agreeing: Agreeing | None = None
        self.others: list[Process] = []  # beside the first ones
        self.looked = self.now()
        self.build()

    def now(self) -> int:
        return time.monotonic_ns() // 1000

    # What there is.

    def build(self) -> None:
        fleet, hub = self.scenario.fleet, self.hub
        proxies, nodes = names(self.scenario)
        windows = {one.name: WINDOW for one in CLASSES if one.sends_idempotency_key and one.retryable}
        self.origin = Origin(
            self.reactor, self.now, Random(self.rng.getrandbits(64)), self.ledger,
            service_time=fleet.origin_time, at_once=fleet.origin, windows=windows,
        )  # fmt: skip
        hosts = {name: hub.host(name, 1, number) for number, name in enumerate(proxies)}
        self.nodes = {}
        for number, name in enumerate(nodes):
            node = self.nodes[name] = Node(
                name, self.reactor, self.now, Random(self.rng.getrandbits(64)), self.ledger, self.origin,
                zone=f"z{number % fleet.zones}", cores=fleet.cores, service_time=fleet.service,
                warm_up=int(fleet.warm * US), memory=fleet.memory, names=hub.names,
            )  # fmt: skip
            node.listen(hub.host(name, 2, number))
        self.discovery = Discovery(
            self.reactor, self.now, self.ledger, address_for=self.place_of_node, names=hub.names
        )
        self.discovery.listen(hub.host("discovery", 3, 0))
        hub.host("clients", 4, 0)
        self.to_nodes = {
            (one, other): hub.door(one, other, self.nodes[other].address)
            for one in proxies for other in nodes
        }  # fmt: skip
        self.to_discovery = {one: hub.door(one, "discovery", self.discovery.address) for one in proxies}
        self.discovery.change(SERVING, *self.nodes.values())
        self.listens = {one: (hosts[one], self.ports.free(hosts[one])) for one in proxies}
        self.to_proxies = {one: hub.door("clients", one, self.listens[one]) for one in proxies}
        self.talks, self.posts = {}, {}
        if fleet.peers:
            talks = {one: self.ports.free(hosts[one], socket.SOCK_DGRAM) for one in proxies}
            self.talks = {one: (hosts[one], talks[one]) for one in proxies}
            self.posts = {one: hub.post(one, self.talks[one]) for one in proxies}
        self.admins = {one: (hosts[one], self.ports.free(hosts[one])) for one in proxies}
        if fleet.group:
            self.fleet_files([*hosts][: fleet.group])
        self.processes = {
            one: Process(one, self.folder / one, self.reactor, self.now, environ=self.environ(one))
            for one in proxies
        }
        for process in self.processes.values():
            process.program = self.program or process.program
            process.sockets = fleet.sockets
        self.record.processes = [*self.processes.values()]
        self.clients = Clients(
            self.reactor,
            self.now,
            Random(self.rng.getrandbits(64)),
            self.to_proxies,
            CLASSES,
            self.hub.refused,
            self.scenario.load.reuse == "oldest",
        )
        self.arrivals = draw_arrivals(
            Random(self.rng.getrandbits(64)), self.scenario.seconds, self.scenario.load.rate,
            self.scenario.load.shape, self.scenario.load.keys, self.scenario.load.skew,
            {one.name: getattr(self.scenario.load, one.name) for one in CLASSES}, fleet.proxies,
        )  # fmt: skip

    def environ(self, name: str) -> dict[str, str]:
        return {"LB_FLEET": str(self.folder / f"{name}.fleet.toml")} if self.scenario.fleet.group else {}

    def fleet_files(self, members: list[str]) -> None:
        """The operators' file for each proxy, with each member where that one reaches it."""
        for one in members:
            if one not in self.meshes:
                host = self.hub.hosts[one]
                self.meshes[one] = host, self.ports.free(host)
                # A relay's listener has its process's own address, by which a member is known.
                self.mesh_doors[one] = self.hub.door(None, one, self.meshes[one], host)
        if not (self.folder / "fleet.key").exists():
            write_key_file(self.folder / "fleet.key", "k1")
        self.members = members
        for name in self.listens:
            lines = ["version = 1", 'key_file = "fleet.key"', f'directory = "{self.folder}/{{name}}/state"']
            for one in members:
                host, port = (self.meshes if one == name else self.mesh_doors)[one]
                lines += ["[[group.member]]", f'name = "{one}"', f'address = "{host}:{port}"']
            (self.folder / f"{name}.fleet.toml").write_text("\n".join(lines) + "\n")

    def place_of_node(self, caller: str, node: Node) -> str:
        return "{}:{}".format(*self.to_nodes[caller, node.name])

    def config(self, name: str) -> dict:
        number = [*self.processes].index(name)
        made = {
            "name": name, "listen": "{}:{}".format(*self.listens[name]),
            "discovery": "{}:{}".format(*self.to_discovery[name]), "seed": f"{self.rng.getrandbits(32):08x}",
            "admin_addr": "{}:{}".format(*self.admins[name]), "settings": settings(self.scenario, number),
            "limits": {"sockets": self.scenario.fleet.sockets, "memory_mb": 192},
        }  # fmt: skip
        if self.posts:
            made["peer_listen"] = "{}:{}".format(*self.talks[name])
            made["peers"] = ["{}:{}".format(*place) for place in self.posts.values()]
        return made

    # The run.

    async def play(self) -> Record:
        try:
            await self.begin()
            if self.scenario.fleet.group:
                await self.agree()
            await self.load()
            await self.finish()
        finally:
            self.clear()
        self.gather()
        return self.record

    def wait(self, seconds: float) -> defer.Deferred:
        done: defer.Deferred = defer.Deferred()
        self.reactor.callLater(seconds, done.callback, None)
        return done

    async def begin(self) -> None:
        began = self.now()
        self.ports.let_go()
        for name, process in self.processes.items():
            process.start(self.config(name))
        self.look()
        waiting = [*self.processes]
        while waiting:
            for name in [*waiting]:
                if await self.ready(name):
                    waiting.remove(name)
                elif not self.processes[name].up():
                    raise RuntimeError(f"{name} ended at its start; its log is {self.processes[name].log}")
            if (self.now() - began) / US > READY_WITHIN:
                raise RuntimeError(f"not ready within {READY_WITHIN:g} s: {', '.join(waiting)}")
            await self.wait(0.05)
        self.record.ready = (self.now() - began) / US
        self.tell(f"{len(self.processes)} processes ready in {self.record.ready:.1f} s")

    def ready(self, name: str) -> defer.Deferred:
        done: defer.Deferred = defer.Deferred()

        def told(yes: bool) -> None:
            if not done.called:
                done.callback(yes)

        self.reactor.connectTCP(*self.listens[name], Pinging(told), timeout=1)
        self.reactor.callLater(2, told, False)
        return done

    async def agree(self) -> None:
        """The consensus group is there, before the load begins."""
        rng = Random(self.rng.getrandbits(64))
        doors = {one: self.mesh_doors[one] for one in self.members}
        keys = read_key_file(self.folder / "fleet.key")
        self.agreeing = Agreeing(
            self.reactor, self.now, rng, keys, doors, self.hub.hosts["clients"],
            self.scenario.agree.rate, self.scenario.agree.keys,
        )  # fmt: skip
        began = self.now()
        while not await self.agreeing.led():
            if (self.now() - began) / US > GROUP_WITHIN:
                raise RuntimeError(f"no leader of the consensus group within {GROUP_WITHIN:g} s")
        self.tell(f"the consensus group is led by {self.agreeing.client.leader}")

    async def load(self) -> None:
        record, scenario = self.record, self.scenario
        record.start = self.now()
        self.clients.play(self.arrivals)
        if self.agreeing is not None:
            self.agreeing.start()
        for number, fault in enumerate(scenario.fault):
            self.reactor.callLater(fault.at, self.faults.fault, number, fault)
        for second in range(1, int(scenario.seconds) + 1):
            self.reactor.callLater(second, self.progress, second)
        await self.wait(scenario.seconds)
        self.faults.heal()
        if self.agreeing is not None:
            self.reactor.callLater(scenario.settle, self.agreeing.rest)
        await self.wait(scenario.settle + max(one.timeout for one in CLASSES) / US)
        record.end = self.now()
        if scenario.fleet.group:
            for name, process in self.processes.items():
                if process.up():
                    record.fleet[name] = await self.fleet_of(name)

    async def fleet_of(self, name: str) -> dict:
        """What that proxy tells operators of the fleet; nothing if it does not answer within two seconds."""
        url = "http://{}:{}/_fleet".format(*self.admins[name]).encode()
        call = Agent(self.reactor, connectTimeout=2).request(b"GET", url).addCallback(readBody)
        try:
            return orjson.loads(await call.addTimeout(2, self.reactor))
        except Exception:  # refused, late, no JSON: a scenario's own terms say what that means
            return {}

    def progress(self, second: int) -> None:
        asked = self.clients.requests
        due = [one for one in asked if one.due < self.now() - US // 2]
        served = sum(in_time(one) for one in due)
        down = [name for name, one in self.processes.items() if not one.up()]
        self.tell(
            f"{second:4d} s  {len(due)} reqs, {served} served in time"
            + (f"  down: {' '.join(down)}" if down else "")
        )

    async def finish(self) -> None:
        for process in (*self.processes.values(), *self.others):
            if process.up():
                process.end()
        for _ in range(int(END_WITHIN / LOOK)):
            if not any(process.up() for process in (*self.processes.values(), *self.others)):
                break
            await self.wait(LOOK)

    def clear(self) -> None:
        """Ends all that was started, whatever has happened."""
        self.over = True
        for process in (*self.processes.values(), *self.others):
            process.duty = 0.0
            if process.up():
                process.kill()
        self.clients.close()
        if self.agreeing is not None:
            self.agreeing.stop()
        self.hub.stop()
        for node in self.nodes.values():
            node.crash()
        self.discovery.stop()

    def look(self) -> None:
        if self.over:
            return
        now = self.now()
        if self.record.start:
            self.record.lag = max(self.record.lag, now - self.looked - int(LOOK * US))
        self.looked = now
        wall = time.time_ns() // 1000
        if abs(wall - now - self.steps[-1][1]) > STEP:
            self.steps.append((wall, wall - now))
        before = {*self.hub.down}
        for process in (*self.processes.values(), *self.others):
            process.look()
        self.follow(before)
        self.reactor.callLater(LOOK, self.look)

    def follow(self, before: set[str] | None = None) -> None:
        """Where a process is not there, callers are refused; nothing to do where that is as `before`."""
        for name, process in self.processes.items():
            (self.hub.down.discard if process.up() else self.hub.down.add)(name)
        if before != self.hub.down:
            self.hub.changed()

    def gather(self) -> None:
        """The rest of the record, and the verdict on it."""
        record, clients = self.record, self.clients
        record.asked, record.tries, record.times = clients.requests, clients.attempts, clients.times
        record.load_lag, record.members = clients.lag, self.members
        for mark in record.marks:
            mark.to = mark.to or record.end
        if self.agreeing is not None:
            record.agreed = self.agreeing.history
        kills = {one.name: [at for at, word in one.events if word == "kill"] for one in record.processes}
        record.acts, held = logged(self.folder, self.steps, kills)
        record.held = [one for one in held if one[0] < record.end]
        record.breaches = judged(record)


def kept(record: Record, folder: Path) -> None:
    """The run's own events, as a log beside the processes': `rig logs` shows them in their order."""
    offset = time.time_ns() // 1000 - time.monotonic_ns() // 1000
    events = [(mark.frm, f"{mark.who}: {mark.word} begins") for mark in record.marks]
    events += [(mark.to or record.end, f"{mark.who}: {mark.word} ends") for mark in record.marks]
    events += [(at, f"{one.name}: {word}") for one in record.processes for at, word in one.events]
    events += [(one.at, f"BREACH {one.rule}: {one.who}: {one.text}") for one in record.breaches]
    lines = []
    for at, text in sorted(events):
        seconds, us = divmod(at + offset, US)
        stamp = time.strftime("%H:%M:%S", time.localtime(seconds))
        lines.append(f"{stamp}.{us // 1000:03d} RIG {text}\n")
    (folder / "rig.log").write_text("".join(lines))
    with open(folder / "tries.jsonl", "wb") as file:
        for one in record.tries:
            answers = [(at - record.start, kind, str(text[:60])) for at, kind, text in one.answers]
            row = {
                "req": one.number, "id": one.ident.decode(), "class": one.request_class,
                "mark": one.idempotency_key.decode(), "proxy": one.proxy, "at_us": one.at - record.start,
                "by_us": one.deadline - record.start, "answers": answers,
                "crossed": one.maybe_unread, "left": one.client_left_at,
            }  # fmt: skip
            file.write(orjson.dumps(row) + b"\n")
