"""Faults of discovery: it is silent, refuses calls or answers late; watches fall silent or are reset."""

from __future__ import annotations

from random import Random

from .scenario import Fault

MS_PER_S = 1000


class DiscoveryFaults:
    """Applies faults to the discovery server of a run.

    `record_fault` is `Faults.record_fault`.  Each `undo` list gets the calls that revert the fault.
    """

    def __init__(self, rig, record_fault):
        self.rig, self.record_fault = rig, record_fault

    def apply(self, fault: Fault, undo: list) -> None:
        if fault.kind in ("watch-silent", "watch-reset"):
            discovery = self.rig.discovery
            discovery.silence_watches() if fault.kind == "watch-silent" else discovery.reset_watches()
            self.record_fault("discovery", fault.kind, undo)
            return
        if fault.kind == "list-late":
            rng = Random(self.rig.scenario.seed)
            self.rig.discovery.answer_delay = lambda: rng.uniform(0.0, fault.ms / MS_PER_S)
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
