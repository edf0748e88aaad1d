"""The faults of a run: this module applies them when they are due, reverts them and records them.

Some faults exempt a proxy from rules while they last (see Exemption in check.py); that is recorded with them.
"""

from __future__ import annotations

import json
import signal

from msgspec.structs import replace
from twisted.internet.protocol import ClientFactory, Protocol

from ..standin.ledger import DRAINING, DELETED, SERVING, StateUpdate
from ..standin.node import Node
from .check import Exemption
from .processes import Process
from .record import US, FaultRecord
from .scenario import (  # fmt: skip
    CLIENT_FAULTS,
    DISCOVERY_FAULTS,
    LEADER,
    LINK_FAULTS,
    MAX_PAUSE_S,
    MEMBERSHIP_FAULTS,
    ORDER_HOLDER,
    PEER_FAULTS,
    PROBE_HOLDER,
    PROCESS_FAULTS,
    ROLES,
    Fault,
    match_names,
)


MIN_AGE_FOR_RELOAD_S = 2.0
MS_PER_S = 1000


class SilentClient(Protocol):
    """A client that sends nothing."""

    def connectionMade(self) -> None:  # noqa: N802
        self.factory.clients.append(self)


class CrowdFactory(ClientFactory):
    """Makes the silent clients of one crowd."""

    noisy, protocol = False, SilentClient

    def __init__(self):
        self.clients: list[SilentClient] = []

    def close_all(self) -> None:
        for client in self.clients:
            client.transport.abortConnection()


class Faults:
    """Applies the faults of a scenario to the processes, links and servers of a Rig."""

    def __init__(self, rig):
        self.rig = rig
        self.active: dict[int, list] = {}  # fault number: the calls (function, *arguments) that revert it

    def schedule(self, number: int, fault: Fault, repetitions: int | None = None) -> None:
        """Begin the fault, and schedule its end and its further repetitions."""
        if not self.load_is_running():
            return
        repetitions = fault.times if repetitions is None else repetitions
        if repetitions > 1:
            self.rig.reactor.callLater(fault.every, self.schedule, number + 1000, fault, repetitions - 1)
        fault = self.resolve_roles(fault)
        if fault.flap:
            return self.alternate(number, fault, self.rig.now() + int((fault.span or 1e6) * US), True)
        self.begin_fault(number, fault)
        if fault.span is not None:
            self.rig.reactor.callLater(fault.span, self.end_fault, number)

    def load_is_running(self) -> bool:
        """Return whether the load is still running; no fault begins after its end."""
        end = self.rig.record.start + self.rig.scenario.seconds * US
        return not self.rig.finished and self.rig.now() < end

    def resolve_roles(self, fault: Fault) -> Fault:
        """Replace roles by the processes that have them now, as far as the rig knows."""
        if not ROLES & {*fault.who, *fault.between}:
            return fault
        known = {
            LEADER: self.rig.group_client.client.leader or self.rig.rng.choice(self.rig.members),
            ORDER_HOLDER: self.rig.group_client.slot_order_holder
            or self.rig.rng.choice([*self.rig.processes]),
            PROBE_HOLDER: self.rig.group_client.node_trials_holder
            or self.rig.rng.choice([*self.rig.processes]),
        }
        who, between = ([known.get(name, name) for name in names] for names in (fault.who, fault.between))
        return replace(fault, who=who, between=between)

    def alternate(self, number: int, fault: Fault, until: int, on: bool) -> None:
        """Switch the fault on or off, and to the other state after `fault.flap` seconds, up to `until`."""
        if self.rig.now() >= until or not self.load_is_running():
            return self.end_fault(number)
        if on:
            self.begin_fault(number, fault)
        else:
            self.end_fault(number)
        self.rig.reactor.callLater(fault.flap, self.alternate, number, fault, until, not on)

    def begin_fault(self, number: int, fault: Fault) -> None:
        undo = self.active[number] = []
        if fault.kind in PROCESS_FAULTS:
            for name in match_names(fault.who, [*self.rig.processes], "who"):
                self.apply_to_process(self.rig.processes[name], fault, undo)
        elif fault.kind in LINK_FAULTS:
            self.apply_to_links(fault, undo)
        elif fault.kind in DISCOVERY_FAULTS:
            self.apply_to_discovery(fault, undo)
        elif fault.kind == "crowd":
            self.open_crowd(fault, undo)
        elif fault.kind in CLIENT_FAULTS:
            self.record_fault("clients", f"{fault.kind} {fault.part:g}", undo)
            self.rig.clients.disconnect(match_names(fault.who, [*self.rig.processes], "who"), fault.part)
        elif fault.kind in PEER_FAULTS:
            self.record_fault("rig", fault.kind, undo)
            self.rig.group_client.byzantine = True
            self.rig.group_client.byzantine_mesh.start()
            self.rig.group_client.send_byzantine_messages()
            undo.append((setattr, self.rig.group_client, "byzantine", False))
        elif fault.kind in MEMBERSHIP_FAULTS:
            self.record_fault("fleet", f"members {' '.join(fault.who)}", undo)
            self.rig.write_fleet_files(match_names(fault.who, [*self.rig.processes], "who"))
            self.rig.group_client.set_members(
                {member: self.rig.mesh_relays[member] for member in self.rig.members}
            )
            self.rig.ports.release()
            for process in self.rig.processes.values():
                process.signal(signal.SIGHUP)
        else:
            for name in match_names(fault.who or ["n*"], [*self.rig.servers], "who"):
                self.apply_to_server(self.rig.servers[name], fault, undo)
                if fault.kind == "origin-slow":
                    break
        self.rig.hub.apply_changes()

    def open_crowd(self, fault: Fault, undo: list) -> None:
        """Open connections that send nothing, directly to the proxies."""
        self.record_fault("clients", f"{fault.kind} {fault.part:g}", undo)
        factory = CrowdFactory()
        for name in match_names(fault.who, [*self.rig.processes], "who"):
            for _ in range(int(fault.part * self.rig.scenario.fleet.sockets)):
                self.rig.reactor.connectTCP(*self.rig.listen_addresses[name], factory, timeout=5)
        undo.append((factory.close_all,))

    def end_fault(self, number: int) -> None:
        undo = self.active.pop(number, [])
        for call, *values in undo:
            call(*values)
        if undo and not self.rig.finished:
            self.rig.update_relays()

    def end_all(self) -> None:
        for number in [*self.active]:
            self.end_fault(number)

    def record_fault(
        self,
        target: str,
        description: str,
        undo: list,
        exempt: dict | None = None,
        extra_seconds: float = 0.0,
    ) -> None:
        """Record the start of a fault, and its end when it is reverted.

        `exempt` gives the proxy and the server of an exemption, which ends `extra_seconds` after the fault.
        """
        record = FaultRecord(self.rig.now(), None, target, description)
        self.rig.record.faults.append(record)
        first = len(self.rig.record.exemptions)
        for fields in [exempt] if exempt is not None else []:
            self.rig.record.exemptions.append(Exemption(self.rig.now(), 1 << 62, **fields))
        last = len(self.rig.record.exemptions)

        def end() -> None:
            record.end = self.rig.now()
            for index in range(first, last):
                exemption = self.rig.record.exemptions[index]
                self.rig.record.exemptions[index] = Exemption(
                    exemption.start, record.end + int(extra_seconds * US), exemption.proxy, exemption.server
                )

        undo.append((end,))

    def apply_to_process(self, process: Process, fault: Fault, undo: list) -> None:
        name, kind = process.name, fault.kind
        if fault.kind == "kill":
            process.save_directory_copy()
            process.kill()
            self.record_fault(name, kind, undo, {"proxy": name}, 1.0)
            if fault.span is not None:
                undo.append((self.start_again, process, fault))
        elif fault.kind == "restart":
            process.save_directory_copy()
            self.record_fault(name, kind, undo)
            process.terminate()
            if fault.kill_after:
                self.rig.reactor.callLater(fault.kill_after, self.kill_if_running, process, process.child)
            self.rig.reactor.callLater(0.1, self.restart, process, fault)
        elif fault.kind == "reload":
            self.reload(process, undo)
        elif fault.kind == "stop":
            process.suspend()
            self.record_fault(name, kind, undo, {"proxy": name}, 1.0)
            undo.append((process.resume,))
        elif fault.kind == "pause":  # no exemption: a proxy must follow all rules during a short pause
            process.suspend()
            self.record_fault(name, kind, undo)
            undo.append((self.end_pause, process, self.rig.now()))
        elif fault.kind == "syscall":  # no exemption: the failure itself loses nothing
            process.fail_call(fault.call, fault.error, fault.part)
            self.record_fault(name, f"{kind} {fault.call} {fault.error}", undo)
            undo.append((process.fail_call, fault.call, fault.error, 0.0))
        elif fault.kind == "beside":
            self.start_replacement(process, undo)
        elif fault.kind == "slow":
            process.throttle(fault.duty)
            self.record_fault(name, f"slow {fault.duty:g}", undo, {"proxy": name}, 1.0)
            undo.append((process.resume,))
        else:
            process.set_clock_offset(fault.hours)
            self.record_fault(name, f"clock {fault.hours:+g} h", undo)
            undo.append((process.set_clock_offset, 0.0))

    def end_pause(self, process: Process, began_at: int) -> None:
        """Resume the process; if the pause was too long because the rig lagged, exempt the proxy."""
        process.resume()
        now = self.rig.now()
        if now - began_at > MAX_PAUSE_S * US:
            self.rig.record.exemptions.append(Exemption(began_at, now + US, process.name))

    def start_replacement(self, process: Process, undo: list) -> None:
        """Start a second process with the proxy's name and directory, as in an upgrade.

        Clients do not connect to the second process.  Reverting the fault ends the first process, and the
        second runs on alone with the directory.
        """
        name = process.name
        replacement = Process(
            f"{name}-new", self.rig.folder / f"{name}-new", self.rig.reactor, self.rig.now,
            environment=self.rig.environment(name) | {"LB_NAME": name},
        )  # fmt: skip
        replacement.program = process.program
        host = self.rig.hub.hosts[name]
        listen, admin = (f"{host}:{self.rig.ports.reserve(host)}" for _ in range(2))
        config = self.rig.config(name) | {"listen": listen, "admin_addr": admin, "peer_listen": None}
        self.rig.ports.release()
        replacement.start(config)
        self.rig.replacements.append(replacement)
        self.rig.record.processes.append(replacement)
        self.record_fault(name, "beside", undo)

        def end() -> None:
            process.terminate()
            self.record_fault(name, "ended after the start of its replacement", [], {"proxy": name}, 1.0)

        undo.append((end,))

    def kill_if_running(self, process: Process, child: object) -> None:
        """Kill the process if it is still the one that was told to end."""
        if process.child is child and process.is_running():
            process.kill()

    def reload(self, process: Process, undo: list) -> None:
        """Move discovery to another address by SIGHUP, which a process in its first seconds does not get."""
        starts = [at for at, event in process.events if event.startswith(("start", "continue"))]
        if (
            not process.should_run
            or process.stopped
            or self.rig.now() - max(starts) < MIN_AGE_FOR_RELOAD_S * US
        ):
            return
        rig, name = self.rig, process.name
        rig.discovery_relays[name] = rig.hub.relay_tcp(name, "discovery", rig.discovery.address)
        (process.folder / "config.json").write_text(json.dumps(rig.config(name)))
        self.record_fault(name, "reload", undo)
        process.signal(signal.SIGHUP)

    def restart(self, process: Process, fault: Fault) -> None:
        if self.rig.finished:
            return
        if process.is_running():
            self.rig.reactor.callLater(0.05, self.restart, process, fault)
        else:
            self.start_again(process, fault)

    def start_again(self, process: Process, fault: Fault) -> None:
        """Start the process with the present endpoint list, which is old if the process comes up late."""
        if self.rig.finished or process.is_running():
            return
        name = process.name
        known = self.rig.discovery.listing(name, 0)
        self.rig.ledger.state_updates += [
            StateUpdate(self.rig.now(), name, entry["instanceId"], entry["lifecycle"])
            for entry in known["instances"]
        ]
        process.start(self.rig.config(name) | {"known": known}, fault.directory)
        if fault.hold:
            process.suspend()
            self.rig.reactor.callLater(fault.hold, process.resume)

    def apply_to_server(self, server: Node, fault: Fault, undo: list) -> None:
        kind = fault.kind
        if fault.kind == "node-die":
            server.crash()
            self.rig.hub.down.add(server.name)
            undo.append((self.restart_server, server))
        elif fault.kind == "node-hang":
            server.unresponsive = True
            undo.append((setattr, server, "unresponsive", False))
        elif fault.kind == "node-slow":
            server.slowdown = fault.factor
            undo.append((setattr, server, "slowdown", 1.0))
        elif fault.kind == "node-fail":
            server.failure_rate = fault.part
            undo.append((setattr, server, "failure_rate", 0.0))
        elif fault.kind == "node-spoil":
            server.corruption = fault.how
            undo.append((setattr, server, "corruption", ""))
        elif fault.kind == "origin-slow":
            self.rig.origin.slowdown = fault.factor
            undo.append((setattr, self.rig.origin, "slowdown", 1.0))
        else:
            self.rig.discovery.change(DRAINING, server)
            self.rig.reactor.callLater(2.0, self.remove_drained, server)
            undo.append((self.list_again, server))
        target = "origin" if fault.kind == "origin-slow" else server.name
        self.record_fault(target, kind, undo)

    def restart_server(self, server: Node) -> None:
        self.rig.hub.down.discard(server.name)
        server.restart()
        if not self.rig.finished:
            self.rig.discovery.change(SERVING, server)

    def remove_drained(self, server: Node) -> None:
        if not self.rig.finished and self.rig.discovery.nodes.get(server.name, (None, ""))[1] == DRAINING:
            self.rig.discovery.change(DELETED, server)

    def list_again(self, server: Node) -> None:
        if not self.rig.finished:
            server.started = self.rig.now()
            server.cached_keys.clear()
            self.rig.discovery.change(SERVING, server)

    def apply_to_discovery(self, fault: Fault, undo: list) -> None:
        if fault.kind in ("watch-silent", "watch-reset"):
            discovery = self.rig.discovery
            discovery.silence_watches() if fault.kind == "watch-silent" else discovery.reset_watches()
            self.record_fault("discovery", fault.kind, undo)
            return
        if fault.kind == "list-late":
            self.rig.discovery.answer_delay = lambda: self.rig.rng.uniform(0.0, fault.ms / MS_PER_S)
            undo.append((setattr, self.rig.discovery, "answer_delay", lambda: 0.0))
            self.record_fault("discovery", f"{fault.kind} {fault.ms:g} ms", undo)
            return
        attribute = "silent" if fault.kind == "list-silent" else "refuses"
        setattr(self.rig.discovery, attribute, True)

        def end() -> None:
            setattr(self.rig.discovery, attribute, False)
            self.rig.discovery.notify_watches()

        undo.append((end,))
        self.record_fault("discovery", fault.kind, undo)

    def apply_to_links(self, fault: Fault, undo: list) -> None:
        known = [*self.rig.processes, *self.rig.servers, "discovery", "clients"]
        near_ends, far_ends = (match_names([pattern], known, "between") for pattern in fault.between)
        for near in near_ends:
            for far in far_ends:
                if near != far:
                    self.apply_to_link(near, far, fault, undo)

    def apply_to_link(self, near: str, far: str, fault: Fault, undo: list) -> None:
        hub, directions = self.rig.hub, []
        if fault.way in ("both", "there"):
            directions.append(hub.direction(near, far))
        if fault.way in ("both", "back"):
            directions.append(hub.direction(far, near))
        if fault.kind == "half-open":
            hub.half_open(near, far)
            undo.append((hub.reset_half_open, near, far))
        name = {"freeze": "frozen", "reset": "reset_after"}.get(fault.kind, fault.kind)
        values = {
            "cut": True, "hole": True, "frozen": True, "delay": fault.ms / 1000, "loss": fault.part,
            "twice": fault.part, "rate": fault.bytes, "reset_after": fault.bytes,
        }  # fmt: skip
        for direction in directions if name in values else ():
            changes = {name: values[name]}
            if fault.kind == "delay":
                changes["jitter"] = fault.jitter_ms / 1000
            for key, value in changes.items():
                direction.begin_fault(key, value)
                undo.append((direction.end_fault, key, value))
        ends = {near, far}
        proxies = [name for name in ends if name in self.rig.processes]
        other_end = (ends - {*proxies}).pop() if len(proxies) == 1 else None
        exempt = None
        if other_end == "clients":
            exempt = {"proxy": proxies[0]}
        elif other_end is not None:
            exempt = {"proxy": proxies[0], "server": other_end}
        arrows = {"both": "<->", "there": "->", "back": "<-"}
        self.record_fault(
            near, f"{fault.kind} {arrows[fault.way]} {far}", undo, exempt, 1.0 + fault.ms / 1000
        )
