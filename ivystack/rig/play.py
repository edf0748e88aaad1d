"""Plays a scenario: starts everything, makes the faults when due, takes them back, gathers the record.

Owns the run from its start to its end and all that it has started.  It must never judge (check.py does),
leave a process behind, or let two runs share anything but the machine.
"""

from __future__ import annotations

import signal
import socket
import time
from dataclasses import dataclass, field
from math import inf
from pathlib import Path
from random import Random

import orjson
from msgspec.structs import replace
from twisted.internet import defer
from twisted.internet.protocol import ClientFactory
from twisted.web.client import Agent, readBody

from ..load.arrivals import drawn
from ..load.clients import Class, Clients, in_time
from ..mesh.keys import read, write
from ..net.resp import Resp, command
from ..standin.discovery import Discovery
from ..standin.ledger import DRAINING, GONE, SERVING, Ledger
from ..standin.node import Node
from ..standin.origin import Origin
from .check import Act, Breach, Excuse, Terms, agreed, duties, overlapping, rules
from .logs import logged
from .processes import Process
from .relay import Hub
from .agree import Agreeing
from .scenario import FILES, HOLDER, LEADER, LINK, PEER, LISTS, PROCESS, Fault, Scenario, found, names

US = 1_000_000
WINDOW = 10 * US  # of the deduplicated class
MULTIPLE = 4.0  # of what a cold node bears
SHARE = 0.3  # of a warm node's, what a cold one bears
READY_WITHIN = 60.0  # seconds that the processes may take to start, all of them
GROUP_WITHIN = 20.0  # that the consensus group may take to begin
END_WITHIN = 6.0  # after SIGTERM
STEP = 2_000  # microseconds: less than that the logs do not show
LOOK = 0.05  # seconds between looks at the processes and at our own lateness

CLASSES = [
    Class("read"),
    Class("put", write=True, marked=True),
    Class("pay", write=True, repeats=False, marked=True),
]


def settings(scenario: Scenario, number: int) -> dict:
    """What a proxy is told in `settings`; times in nanoseconds."""
    ns = 1000
    semantics = {"read": "pure", "put": "token", "pay": "side_effect"}
    methods = [
        {
            "name": one.name, "semantics": semantics[one.name], "latency_budget": one.budget * ns,
            "give_up": one.wait * ns, "criticality": 1.0, "tardy_criticality": 0.3, "group": "all",
            "window": WINDOW * ns,
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


@dataclass
class Mark:
    """A fault as it was: for the account and the plot."""

    frm: int
    to: int | None
    who: str
    word: str


@dataclass
class Record:
    """All that a run leaves."""

    scenario: Scenario
    start: int = 0  # of the load; times are microseconds of one clock
    end: int = 0
    ready: float = 0.0  # seconds that the start took
    lag: int = 0  # how late the rig's own reactor was at most
    asked: list = field(default_factory=list)
    tries: list = field(default_factory=list)
    ledger: Ledger = field(default_factory=Ledger)
    marks: list[Mark] = field(default_factory=list)
    excuses: list[Excuse] = field(default_factory=list)
    acts: list[Act] = field(default_factory=list)
    held: list[tuple[int, int, str, str, int]] = field(default_factory=list)  # from, to, duty, proxy, token
    processes: list[Process] = field(default_factory=list)
    breaches: list[Breach] = field(default_factory=list)
    agreed: list = field(default_factory=list)  # (key, operation) on the agreed state
    fleet: dict[str, dict] = field(default_factory=dict)  # what each proxy told of it at the end
    times: object = None  # the histogram of what was served


class Ping(Resp):
    def __init__(self, done):
        super().__init__()
        self.done = done

    def connectionMade(self) -> None:  # noqa: N802
        self.transport.write(command(b"PING"))

    def received(self, value) -> None:
        self.done(value == "+PONG")
        self.transport.loseConnection()

    def malformed(self, why: str) -> None:
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
        self.active: dict[int, list] = {}  # by the fault's number: what takes it back
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
        windows = {one.name: WINDOW for one in CLASSES if one.marked and one.repeats}
        self.origin = Origin(
            self.reactor, self.now, Random(self.rng.getrandbits(64)), self.ledger,
            time=fleet.origin_time, at_once=fleet.origin, windows=windows,
        )  # fmt: skip
        hosts = {name: hub.host(name, 1, number) for number, name in enumerate(proxies)}
        self.nodes = {}
        for number, name in enumerate(nodes):
            node = self.nodes[name] = Node(
                name, self.reactor, self.now, Random(self.rng.getrandbits(64)), self.ledger, self.origin,
                zone=f"z{number % fleet.zones}", cores=fleet.cores, time=fleet.service,
                warm=int(fleet.warm * US), memory=fleet.memory, names=hub.names,
            )  # fmt: skip
            node.listen(hub.host(name, 2, number))
        self.discovery = Discovery(
            self.reactor, self.now, self.ledger, place=self.place_of_node, names=hub.names
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
        self.record.processes = [*self.processes.values()]
        self.clients = Clients(
            self.reactor, self.now, Random(self.rng.getrandbits(64)), self.to_proxies, CLASSES,
            self.hub.refused,
        )
        self.arrivals = drawn(
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
            write(self.folder / "fleet.key", "k1")
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
            "limits": {"sockets": 1024, "memory_mb": 192},
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
        self.judge()
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
        self.agreeing = Agreeing(
            self.reactor, self.now, rng, read(self.folder / "fleet.key"), doors, self.hub.hosts["clients"],
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
            self.reactor.callLater(fault.at, self.fault, number, fault)
        for second in range(1, int(scenario.seconds) + 1):
            self.reactor.callLater(second, self.progress, second)
        await self.wait(scenario.seconds)
        self.heal()
        if self.agreeing is not None:
            self.reactor.callLater(scenario.settle, self.agreeing.rest)
        await self.wait(scenario.settle + max(one.wait for one in CLASSES) / US)
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
        asked = self.clients.reqs
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
            node.die()
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
        for process in self.others:
            process.look()
        for name, process in self.processes.items():
            process.look()
            (self.hub.down.discard if process.up() else self.hub.down.add)(name)
        if before != self.hub.down:
            self.hub.changed()
        self.reactor.callLater(LOOK, self.look)

    # Faults.

    def fault(self, number: int, fault: Fault, left: int | None = None) -> None:
        if self.over or self.now() >= self.record.start + self.scenario.seconds * US:
            return
        left = fault.times if left is None else left
        if left > 1:
            self.reactor.callLater(fault.every, self.fault, number + 1000, fault, left - 1)
        fault = self.aimed(fault)
        if fault.flap:
            return self.flap(number, fault, self.now() + int((fault.span or 1e6) * US), True)
        self.begin_fault(number, fault)
        if fault.span is not None:
            self.reactor.callLater(fault.span, self.end_fault, number)

    def aimed(self, fault: Fault) -> Fault:
        """The group's leader is whoever is thought to be it just now, and so is a duty's holder."""
        if not {LEADER, HOLDER} & {*fault.who, *fault.between}:
            return fault
        known = {
            LEADER: self.agreeing.client.leader or self.rng.choice(self.members),
            HOLDER: self.agreeing.holder or self.rng.choice([*self.processes]),
        }
        who, between = ([known.get(one, one) for one in of] for of in (fault.who, fault.between))
        return replace(fault, who=who, between=between)

    def flap(self, number: int, fault: Fault, until: int, on: bool) -> None:
        if self.over or self.now() >= until or self.now() >= self.record.start + self.scenario.seconds * US:
            return self.end_fault(number)
        if on:
            self.begin_fault(number, fault)
        else:
            self.end_fault(number)
        self.reactor.callLater(fault.flap, self.flap, number, fault, until, not on)

    def begin_fault(self, number: int, fault: Fault) -> None:
        undo = self.active[number] = []
        if fault.kind in PROCESS:
            for name in found(fault.who, [*self.processes], "who"):
                self.to_process(self.processes[name], fault, undo)
        elif fault.kind in LINK:
            self.to_links(fault, undo)
        elif fault.kind in LISTS:
            self.to_list(fault, undo)
        elif fault.kind in PEER:
            self.mark("rig", fault.kind, undo)
            self.agreeing.lies = True
            self.agreeing.lie()
            undo.append((setattr, self.agreeing, "lies", False))
        elif fault.kind in FILES:
            self.mark("fleet", f"members {' '.join(fault.who)}", undo)
            self.fleet_files(found(fault.who, [*self.processes], "who"))
            self.agreeing.members({one: self.mesh_doors[one] for one in self.members})
            self.ports.let_go()
            for process in self.processes.values():
                process.signal(signal.SIGHUP)
        else:
            for name in found(fault.who or ["n*"], [*self.nodes], "who"):
                self.to_node(self.nodes[name], fault, undo)
                if fault.kind == "origin-slow":
                    break
        self.hub.changed()

    def end_fault(self, number: int) -> None:
        undo = self.active.pop(number, [])
        for call, *values in undo:
            call(*values)
        if undo and not self.over:
            self.look_now()

    def look_now(self) -> None:
        for name, process in self.processes.items():
            (self.hub.down.discard if process.up() else self.hub.down.add)(name)
        self.hub.changed()

    def heal(self) -> None:
        for number in [*self.active]:
            self.end_fault(number)

    def mark(self, who: str, word: str, undo: list, excuse: dict | None = None, after: float = 0.0) -> None:
        """Notes a fault, and what it excuses until it ends and so many seconds more."""
        made = Mark(self.now(), None, who, word)
        self.record.marks.append(made)
        first = len(self.record.excuses)
        for one in [excuse] if excuse is not None else []:
            self.record.excuses.append(Excuse(self.now(), 1 << 62, **one))
        last = len(self.record.excuses)

        def end() -> None:
            made.to = self.now()
            for at in range(first, last):
                one = self.record.excuses[at]
                self.record.excuses[at] = Excuse(one.frm, made.to + int(after * US), one.proxy, one.node)

        undo.append((end,))

    def to_process(self, process: Process, fault: Fault, undo: list) -> None:
        name, word = process.name, fault.kind
        if fault.kind == "kill":
            process.copy()
            process.kill()
            self.mark(name, word, undo, {"proxy": name}, 1.0)
            if fault.span is not None:
                undo.append((self.start_again, process, fault.directory))
        elif fault.kind == "restart":
            process.copy()
            self.mark(name, word, undo)
            process.end()
            self.reactor.callLater(0.1, self.restart, process, fault.directory)
        elif fault.kind == "stop":
            process.stop()
            self.mark(name, word, undo, {"proxy": name}, 1.0)
            undo.append((process.go_on,))
        elif fault.kind == "beside":
            self.beside(process, undo)
        elif fault.kind == "slow":
            process.slow(fault.duty)
            self.mark(name, f"slow {fault.duty:g}", undo, {"proxy": name}, 1.0)
            undo.append((process.go_on,))
        else:
            process.step(fault.hours)
            self.mark(name, f"clock {fault.hours:+g} h", undo)
            undo.append((process.step, 0.0))

    def beside(self, process: Process, undo: list) -> None:
        """A second process of that proxy, as in an upgrade, with its name and its directory; clients do not
        come to it.  Taking it back ends the first one, and the second goes on alone, with its directory."""
        name = process.name
        other = Process(f"{name}-new", self.folder / f"{name}-new", self.reactor, self.now,
                        environ=self.environ(name) | {"LB_NAME": name})  # fmt: skip
        other.program = process.program
        host = self.hub.hosts[name]
        config = self.config(name) | {
            "listen": f"{host}:{self.ports.free(host)}", "admin_addr": f"{host}:{self.ports.free(host)}",
            "peer_listen": None,
        }  # fmt: skip
        self.ports.let_go()
        other.start(config)
        self.others.append(other)
        self.record.processes.append(other)
        self.mark(name, "beside", undo)

        def end() -> None:
            process.end()
            self.mark(name, "ended for the new one", [], {"proxy": name}, 1.0)

        undo.append((end,))

    def restart(self, process: Process, directory: str) -> None:
        if self.over:
            return
        if process.up():
            self.reactor.callLater(0.05, self.restart, process, directory)
        else:
            self.start_again(process, directory)

    def start_again(self, process: Process, directory: str) -> None:
        if not self.over and not process.up():
            process.start(self.config(process.name), directory)

    def to_node(self, node: Node, fault: Fault, undo: list) -> None:
        word = fault.kind
        if fault.kind == "node-die":
            node.die()
            self.hub.down.add(node.name)
            undo.append((self.node_back, node))
        elif fault.kind == "node-hang":
            node.hangs = True
            undo.append((setattr, node, "hangs", False))
        elif fault.kind == "node-slow":
            node.factor = fault.factor
            undo.append((setattr, node, "factor", 1.0))
        elif fault.kind == "node-fail":
            node.fails = fault.part
            undo.append((setattr, node, "fails", 0.0))
        elif fault.kind == "node-spoil":
            node.spoils = fault.how
            undo.append((setattr, node, "spoils", ""))
        elif fault.kind == "origin-slow":
            self.origin.factor = fault.factor
            undo.append((setattr, self.origin, "factor", 1.0))
        else:
            self.discovery.change(DRAINING, node)
            self.reactor.callLater(2.0, self.drained, node)
            undo.append((self.listed_again, node))
        who = "origin" if fault.kind == "origin-slow" else node.name
        self.mark(who, word, undo)

    def node_back(self, node: Node) -> None:
        self.hub.down.discard(node.name)
        node.back()
        if not self.over:
            self.discovery.change(SERVING, node)

    def drained(self, node: Node) -> None:
        if not self.over and self.discovery.nodes.get(node.name, (None, ""))[1] == DRAINING:
            self.discovery.change(GONE, node)

    def listed_again(self, node: Node) -> None:
        if not self.over:
            node.started = self.now()
            node.kept.clear()
            self.discovery.change(SERVING, node)

    def to_list(self, fault: Fault, undo: list) -> None:
        name = "silent" if fault.kind == "list-silent" else "refuses"
        setattr(self.discovery, name, True)

        def end() -> None:
            setattr(self.discovery, name, False)
            self.discovery.tell()

        undo.append((end,))
        self.mark("discovery", fault.kind, undo)

    def to_links(self, fault: Fault, undo: list) -> None:
        known = [*self.processes, *self.nodes, "discovery", "clients"]
        ones, others = (found([pattern], known, "between") for pattern in fault.between)
        for one in ones:
            for other in others:
                if one != other:
                    self.to_link(one, other, fault, undo)

    def to_link(self, one: str, other: str, fault: Fault, undo: list) -> None:
        hub, ways = self.hub, []
        if fault.way in ("both", "there"):
            ways.append(hub.way(one, other))
        if fault.way in ("both", "back"):
            ways.append(hub.way(other, one))
        if fault.kind == "half-open":
            hub.half_open(one, other)
            undo.append((hub.whole_again, one, other))
        name = {"freeze": "frozen", "reset": "reset_after"}.get(fault.kind, fault.kind)
        values = {
            "cut": True, "hole": True, "frozen": True, "delay": fault.ms / 1000, "loss": fault.part,
            "twice": fault.part, "rate": fault.bytes, "reset_after": fault.bytes,
        }  # fmt: skip
        for way in ways if name in values else ():
            undo.append((setattr, way, name, getattr(way, name)))
            setattr(way, name, values[name])
            if fault.kind == "delay":
                undo.append((setattr, way, "jitter", way.jitter))
                way.jitter = fault.jitter_ms / 1000
        both = {one, other}
        proxies = [name for name in both if name in self.processes]
        other_side = (both - {*proxies}).pop() if len(proxies) == 1 else None
        excuse = None
        if other_side == "clients":
            excuse = {"proxy": proxies[0]}
        elif other_side is not None:
            excuse = {"proxy": proxies[0], "node": other_side}
        marks = {"both": "<->", "there": "->", "back": "<-"}
        self.mark(one, f"{fault.kind} {marks[fault.way]} {other}", undo, excuse, 1.0 + fault.ms / 1000)

    # The verdict.

    def judge(self) -> None:
        record, scenario = self.record, self.scenario
        record.asked, record.tries, record.times = self.clients.reqs, self.clients.tries, self.clients.times
        for mark in record.marks:
            mark.to = mark.to or record.end
        slack = int(scenario.hold.slack_ms * 1000) + record.lag + self.clients.lag
        bears = scenario.fleet.cores / scenario.fleet.service * SHARE * MULTIPLE
        terms = Terms({one.name: one for one in CLASSES}, slack, cold=bears, end=record.end)
        if scenario.hold.rules:
            record.breaches += rules(record.tries, self.ledger, record.excuses, terms)
        kills = {one.name: [at for at, word in one.events if word == "kill"] for one in record.processes}
        held = logged(self.folder, self.steps, kills)
        record.acts = [act for act in held[0] if scenario.hold.duties]
        record.held = [one for one in held[1] if one[0] < record.end]
        record.breaches += duties(record.acts) + overlapping(record.held, self.stops())
        if not scenario.hold.crashes:
            for process in record.processes:
                record.breaches += [
                    Breach("no crash", at, process.name, word)
                    for at, word in process.events if word.startswith("ended by itself")
                ]  # fmt: skip
        self.hold_service()
        if scenario.hold.linked:
            self.hold_linked()
        if scenario.hold.orders:
            self.hold_orders()
        if self.agreeing is not None:
            record.agreed = self.agreeing.history
            record.breaches += agreed(record.agreed)
            last = record.start + int((scenario.seconds - scenario.hold.last) * US)
            new = sum(one.called >= last and one.returned != inf for _, one in record.agreed)
            if new < scenario.hold.agreed_last:
                text = f"{new} answers from the agreed state, {scenario.hold.agreed_last} are to be"
                record.breaches.append(Breach("hold.agreed_last", record.end, "group", text))

    def stops(self) -> list[tuple[str, int, int]]:
        """Which processes did not run when, or not always."""
        record, words = self.record, ("stop", "slow", "kill")
        return [(m.who, m.frm, m.to or record.end) for m in record.marks if m.word.startswith(words)]

    def hold_orders(self) -> None:
        record = self.record
        told = {name: one.get("duties", {}) for name, one in record.fleet.items()}
        orders = {name: one.get("order") for name, one in told.items()}
        holders = [name for name, one in told.items() if "slot-order" in one.get("held", {})]
        if len({*orders.values()}) > 1:
            text = ", ".join(f"{name} {order}" for name, order in orders.items())
            record.breaches.append(Breach("hold.orders", record.end, "fleet", text[:300]))
        if len(holders) != 1:
            text = f"slot-order is held by {' '.join(holders) or 'nobody'}"
            record.breaches.append(Breach("hold.orders", record.end, "fleet", text))

    def hold_linked(self) -> None:
        for name, told in self.record.fleet.items():
            linked = {name, *told.get("mesh", {}).get("peers", {})}
            missing = [one for one in self.members if one not in linked]
            if missing:
                text = f"no link to {' '.join(missing)} at the end"
                self.record.breaches.append(Breach("hold.linked", self.record.end, name, text))

    def hold_service(self) -> None:
        record, hold = self.record, self.scenario.hold
        last = record.start + int((self.scenario.seconds - hold.last) * US)
        for key, least, asked in (
            ("served", hold.served, record.asked),
            ("served_last", hold.served_last, [one for one in record.asked if one.due >= last]),
        ):
            part = sum(map(in_time, asked)) / max(1, len(asked))
            if part < least:
                text = f"{part:.3f} of {len(asked)} reqs in time, {least:g} are to be"
                record.breaches.append(Breach(f"hold.{key}", record.end, "fleet", text))


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
                "req": one.number, "id": one.ident.decode(), "class": one.method, "mark": one.mark.decode(),
                "proxy": one.proxy, "at_us": one.at - record.start, "by_us": one.by - record.start,
                "answers": answers, "crossed": one.crossed,
            }  # fmt: skip
            file.write(orjson.dumps(row) + b"\n")
