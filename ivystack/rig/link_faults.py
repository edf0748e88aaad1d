"""Faults of the links between the processes of a run, which the relays carry out."""

from __future__ import annotations

from .scenario import Fault, match_names


class LinkFaults:
    """Applies faults to links.

    `record_fault` is `Faults.record_fault`.  Each `undo` list gets the calls that revert the fault.
    """

    def __init__(self, rig, record_fault):
        self.rig, self.record_fault = rig, record_fault

    def apply(self, fault: Fault, undo: list) -> None:
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
