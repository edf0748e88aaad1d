"""The faults of a run: this module applies them when they are due, reverts them and records them.

Some faults exempt a proxy from rules while they last (see Exemption in check.py); that is recorded with them.
"""

from __future__ import annotations

import signal

from msgspec.structs import replace
from twisted.internet.protocol import ClientFactory, Protocol

from ..standin.ledger import DRAINING, DELETED, SERVING
from ..standin.node import Node
from .check import Exemption
from .discovery_faults import DiscoveryFaults
from .link_faults import LinkFaults
from .process_faults import ProcessFaults
from .record import US, FaultRecord
from .scenario import (  # fmt: skip
    CLIENT_FAULTS,
    DISCOVERY_FAULTS,
    LEADER,
    LINK_FAULTS,
    MEMBERSHIP_FAULTS,
    ORDER_HOLDER,
    PEER_FAULTS,
    PROBE_HOLDER,
    PROCESS_FAULTS,
    ROLES,
    Fault,
    match_names,
)


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
        self.process_faults = ProcessFaults(rig, self.record_fault)
        self.link_faults = LinkFaults(rig, self.record_fault)
        self.discovery_faults = DiscoveryFaults(rig, self.record_fault)
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
                self.process_faults.apply(self.rig.processes[name], fault, undo)
        elif fault.kind in LINK_FAULTS:
            self.link_faults.apply(fault, undo)
        elif fault.kind in DISCOVERY_FAULTS:
            self.discovery_faults.apply(fault, undo)
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
