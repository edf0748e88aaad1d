"""The faults of a run: begun when they are due, taken back, noted with what they excuse.

Owns what is to be undone.  It must never leave a fault in place that has been taken back.
"""

from __future__ import annotations

import signal

from msgspec.structs import replace

from ..standin.ledger import DRAINING, DELETED, SERVING
from ..standin.node import Node
from .check import Excuse
from .processes import Process
from .record import US, Mark
from .scenario import (  # fmt: skip
    AIMED,
    CLIENTS,
    FILES,
    HOLDER,
    LEADER,
    LINK,
    LISTS,
    PAUSE,
    PEER,
    PROCESS,
    TRIER,
    Fault,
    found,
)


class Faults:
    def __init__(self, rig):
        self.rig = rig
        self.active: dict[int, list] = {}  # by the fault's number: what takes it back

    def fault(self, number: int, fault: Fault, left: int | None = None) -> None:
        if not self.loaded():
            return
        left = fault.times if left is None else left
        if left > 1:
            self.rig.reactor.callLater(fault.every, self.fault, number + 1000, fault, left - 1)
        fault = self.aimed(fault)
        if fault.flap:
            return self.flap(number, fault, self.rig.now() + int((fault.span or 1e6) * US), True)
        self.begin_fault(number, fault)
        if fault.span is not None:
            self.rig.reactor.callLater(fault.span, self.end_fault, number)

    def loaded(self) -> bool:
        """The load goes on: only then faults begin."""
        end = self.rig.record.start + self.rig.scenario.seconds * US
        return not self.rig.over and self.rig.now() < end

    def aimed(self, fault: Fault) -> Fault:
        """The group's leader is whoever is thought to be it just now, and so is a duty's holder."""
        if not AIMED & {*fault.who, *fault.between}:
            return fault
        known = {
            LEADER: self.rig.agreeing.client.leader or self.rig.rng.choice(self.rig.members),
            HOLDER: self.rig.agreeing.holder or self.rig.rng.choice([*self.rig.processes]),
            TRIER: self.rig.agreeing.trier or self.rig.rng.choice([*self.rig.processes]),
        }
        who, between = ([known.get(one, one) for one in of] for of in (fault.who, fault.between))
        return replace(fault, who=who, between=between)

    def flap(self, number: int, fault: Fault, until: int, on: bool) -> None:
        if self.rig.now() >= until or not self.loaded():
            return self.end_fault(number)
        if on:
            self.begin_fault(number, fault)
        else:
            self.end_fault(number)
        self.rig.reactor.callLater(fault.flap, self.flap, number, fault, until, not on)

    def begin_fault(self, number: int, fault: Fault) -> None:
        undo = self.active[number] = []
        if fault.kind in PROCESS:
            for name in found(fault.who, [*self.rig.processes], "who"):
                self.to_process(self.rig.processes[name], fault, undo)
        elif fault.kind in LINK:
            self.to_links(fault, undo)
        elif fault.kind in LISTS:
            self.to_list(fault, undo)
        elif fault.kind in CLIENTS:
            self.mark("clients", f"{fault.kind} {fault.part:g}", undo)
            self.rig.clients.disconnect(found(fault.who, [*self.rig.processes], "who"), fault.part)
        elif fault.kind in PEER:
            self.mark("rig", fault.kind, undo)
            self.rig.agreeing.lies = True
            self.rig.agreeing.liar.start()
            self.rig.agreeing.lie()
            undo.append((setattr, self.rig.agreeing, "lies", False))
        elif fault.kind in FILES:
            self.mark("fleet", f"members {' '.join(fault.who)}", undo)
            self.rig.fleet_files(found(fault.who, [*self.rig.processes], "who"))
            self.rig.agreeing.members({one: self.rig.mesh_doors[one] for one in self.rig.members})
            self.rig.ports.let_go()
            for process in self.rig.processes.values():
                process.signal(signal.SIGHUP)
        else:
            for name in found(fault.who or ["n*"], [*self.rig.nodes], "who"):
                self.to_node(self.rig.nodes[name], fault, undo)
                if fault.kind == "origin-slow":
                    break
        self.rig.hub.changed()

    def end_fault(self, number: int) -> None:
        undo = self.active.pop(number, [])
        for call, *values in undo:
            call(*values)
        if undo and not self.rig.over:
            self.rig.follow()

    def heal(self) -> None:
        for number in [*self.active]:
            self.end_fault(number)

    def mark(self, who: str, word: str, undo: list, excuse: dict | None = None, after: float = 0.0) -> None:
        """Notes a fault, and what it excuses until it ends and so many seconds more."""
        made = Mark(self.rig.now(), None, who, word)
        self.rig.record.marks.append(made)
        first = len(self.rig.record.excuses)
        for one in [excuse] if excuse is not None else []:
            self.rig.record.excuses.append(Excuse(self.rig.now(), 1 << 62, **one))
        last = len(self.rig.record.excuses)

        def end() -> None:
            made.to = self.rig.now()
            for at in range(first, last):
                one = self.rig.record.excuses[at]
                self.rig.record.excuses[at] = Excuse(one.frm, made.to + int(after * US), one.proxy, one.node)

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
            self.rig.reactor.callLater(0.1, self.restart, process, fault.directory)
        elif fault.kind == "stop":
            process.stop()
            self.mark(name, word, undo, {"proxy": name}, 1.0)
            undo.append((process.go_on,))
        elif fault.kind == "pause":  # excuses nothing: the terms name it as what a proxy has to bear
            process.stop()
            self.mark(name, word, undo)
            undo.append((self.pause_over, process, self.rig.now()))
        elif fault.kind == "syscall":  # nor does this: nothing is lost by such a failure itself
            process.fail_call(fault.call, fault.error, fault.part)
            self.mark(name, f"{word} {fault.call} {fault.error}", undo)
            undo.append((process.fail_call, fault.call, fault.error, 0.0))
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

    def pause_over(self, process: Process, began: int) -> None:
        """A pause that the rig, being late itself, has let last for too long is excused as a stop is."""
        process.go_on()
        now = self.rig.now()
        if now - began > PAUSE * US:
            self.rig.record.excuses.append(Excuse(began, now + US, process.name))

    def beside(self, process: Process, undo: list) -> None:
        """A second process of that proxy, as in an upgrade, with its name and its directory; clients do not
        come to it.  Taking it back ends the first one, and the second goes on alone, with its directory."""
        name = process.name
        other = Process(f"{name}-new", self.rig.folder / f"{name}-new", self.rig.reactor, self.rig.now,
                        environ=self.rig.environ(name) | {"LB_NAME": name})  # fmt: skip
        other.program = process.program
        host = self.rig.hub.hosts[name]
        listen, admin = (f"{host}:{self.rig.ports.free(host)}" for _ in range(2))
        config = self.rig.config(name) | {"listen": listen, "admin_addr": admin, "peer_listen": None}
        self.rig.ports.let_go()
        other.start(config)
        self.rig.others.append(other)
        self.rig.record.processes.append(other)
        self.mark(name, "beside", undo)

        def end() -> None:
            process.end()
            self.mark(name, "ended for the new one", [], {"proxy": name}, 1.0)

        undo.append((end,))

    def restart(self, process: Process, directory: str) -> None:
        if self.rig.over:
            return
        if process.up():
            self.rig.reactor.callLater(0.05, self.restart, process, directory)
        else:
            self.start_again(process, directory)

    def start_again(self, process: Process, directory: str) -> None:
        if not self.rig.over and not process.up():
            process.start(self.rig.config(process.name), directory)

    def to_node(self, node: Node, fault: Fault, undo: list) -> None:
        word = fault.kind
        if fault.kind == "node-die":
            node.crash()
            self.rig.hub.down.add(node.name)
            undo.append((self.node_back, node))
        elif fault.kind == "node-hang":
            node.unresponsive = True
            undo.append((setattr, node, "unresponsive", False))
        elif fault.kind == "node-slow":
            node.slowdown = fault.factor
            undo.append((setattr, node, "slowdown", 1.0))
        elif fault.kind == "node-fail":
            node.failure_rate = fault.part
            undo.append((setattr, node, "failure_rate", 0.0))
        elif fault.kind == "node-spoil":
            node.corruption = fault.how
            undo.append((setattr, node, "corruption", ""))
        elif fault.kind == "origin-slow":
            self.rig.origin.slowdown = fault.factor
            undo.append((setattr, self.rig.origin, "slowdown", 1.0))
        else:
            self.rig.discovery.change(DRAINING, node)
            self.rig.reactor.callLater(2.0, self.drained, node)
            undo.append((self.listed_again, node))
        who = "origin" if fault.kind == "origin-slow" else node.name
        self.mark(who, word, undo)

    def node_back(self, node: Node) -> None:
        self.rig.hub.down.discard(node.name)
        node.restart()
        if not self.rig.over:
            self.rig.discovery.change(SERVING, node)

    def drained(self, node: Node) -> None:
        if not self.rig.over and self.rig.discovery.nodes.get(node.name, (None, ""))[1] == DRAINING:
            self.rig.discovery.change(DELETED, node)

    def listed_again(self, node: Node) -> None:
        if not self.rig.over:
            node.started = self.rig.now()
            node.cached_keys.clear()
            self.rig.discovery.change(SERVING, node)

    def to_list(self, fault: Fault, undo: list) -> None:
        name = "silent" if fault.kind == "list-silent" else "refuses"
        setattr(self.rig.discovery, name, True)

        def end() -> None:
            setattr(self.rig.discovery, name, False)
            self.rig.discovery.notify_watches()

        undo.append((end,))
        self.mark("discovery", fault.kind, undo)

    def to_links(self, fault: Fault, undo: list) -> None:
        known = [*self.rig.processes, *self.rig.nodes, "discovery", "clients"]
        ones, others = (found([pattern], known, "between") for pattern in fault.between)
        for one in ones:
            for other in others:
                if one != other:
                    self.to_link(one, other, fault, undo)

    def to_link(self, one: str, other: str, fault: Fault, undo: list) -> None:
        hub, ways = self.rig.hub, []
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
            sets = {name: values[name]}
            if fault.kind == "delay":
                sets["jitter"] = fault.jitter_ms / 1000
            for key, value in sets.items():
                way.begin(key, value)
                undo.append((way.end, key, value))
        both = {one, other}
        proxies = [name for name in both if name in self.rig.processes]
        other_side = (both - {*proxies}).pop() if len(proxies) == 1 else None
        excuse = None
        if other_side == "clients":
            excuse = {"proxy": proxies[0]}
        elif other_side is not None:
            excuse = {"proxy": proxies[0], "node": other_side}
        marks = {"both": "<->", "there": "->", "back": "<-"}
        self.mark(one, f"{fault.kind} {marks[fault.way]} {other}", undo, excuse, 1.0 + fault.ms / 1000)
