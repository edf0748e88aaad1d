"""Faults of the processes of a run: they are killed, restarted, stopped, slowed, reloaded and replaced."""

from __future__ import annotations

import json
import signal

from ..standin.ledger import StateUpdate
from .check import Exemption
from .processes import Process
from .record import US
from .scenario import MAX_PAUSE_S, Fault

MIN_AGE_FOR_RELOAD_S = 2.0


class ProcessFaults:
    """Applies faults to single processes.

    `record_fault` is `Faults.record_fault`.  Each `undo` list gets the calls that revert the fault.
    """

    def __init__(self, rig, record_fault):
        self.rig, self.record_fault = rig, record_fault

    def apply(self, process: Process, fault: Fault, undo: list) -> None:
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
