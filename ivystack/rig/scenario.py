"""Scenario files: what runs, what goes wrong when, what must hold.

Owns their form and its checks.  It must never start anything; a fault in a file is one line with its key.
"""

from __future__ import annotations

import errno
import tomllib
from fnmatch import fnmatch
from importlib import resources
from pathlib import Path
from typing import Annotated, Any, Literal

import msgspec
from msgspec import Meta, Struct

from .shim.sitecustomize import SYSTEM_CALLS

LEADER, HOLDER, TRIER = "leader", "holder", "trier"  # of the group; of slot-order; of node-trials
AIMED = {LEADER, HOLDER, TRIER}  # known when it comes to it

Part = Annotated[float, Meta(ge=0, le=1)]
Positive = Annotated[float, Meta(gt=0)]
Seconds = Annotated[float, Meta(ge=0)]

PROCESS = ("kill", "restart", "stop", "pause", "slow", "clock", "syscall", "beside")
NODE = ("node-die", "node-hang", "node-slow", "node-fail", "node-drain", "node-spoil", "origin-slow")
LINK = ("cut", "hole", "freeze", "delay", "loss", "twice", "rate", "reset", "half-open")
LISTS = ("list-silent", "list-refuses")
CLIENTS = ("leave",)  # of those that wait at the proxies named: `part` of them at once
PEER = ("lies",)  # of the rig's own link, which has a valid key
FILES = ("members",)  # of the consensus group, by a new operators' file


PAUSE = 0.15  # seconds for which a proxy may be held up and still owes all that it owes
MOST = 1024  # proxies, and nodes: what a machine bears is less, and said before the start


class ScenarioError(ValueError):
    """The file can't be played; says in one line which key is at fault."""


class Fleet(Struct, forbid_unknown_fields=True):
    proxies: Annotated[int, Meta(ge=1, le=MOST)] = 3
    nodes: Annotated[int, Meta(ge=1, le=MOST)] = 4
    zones: Annotated[int, Meta(ge=1, le=8)] = 1
    peers: bool = True  # proxies may talk to each other
    sockets: Annotated[int, Meta(ge=64)] = 1024  # file descriptors of a proxy
    group: Annotated[int, Meta(ge=0, le=7)] = 0  # proxies of the consensus group; 0: none
    cores: Annotated[int, Meta(ge=1)] = 4  # of a node
    service: Positive = 0.004  # seconds that a command holds one
    warm: Seconds = 2.0  # a started node counts as cold for so long
    origin: Annotated[int, Meta(ge=1)] = 32  # fetches and writes at once
    origin_time: Positive = 0.02
    memory: Annotated[int, Meta(ge=1)] = 100_000  # keys that a node keeps


class Load(Struct, forbid_unknown_fields=True):
    rate: Positive = 100.0  # reqs a second over all
    shape: Literal["steady", "poisson", "ramp", "surge"] = "poisson"
    keys: Annotated[int, Meta(ge=1)] = 2000
    skew: Annotated[float, Meta(ge=0, le=3)] = 0.8
    read: Part = 0.8
    put: Part = 0.1  # deduplicated writes, with a mark
    pay: Part = 0.1  # non-retryable ones
    reuse: Literal["newest", "oldest"] = "newest"  # which of a client's resting connections is used next
    window: Annotated[float, Meta(ge=0, le=10)] = 0.0  # seconds that repeats of `put` are dropped; 0: 10
    worth: dict[Literal["read", "put", "pay"], Positive] = {}  # their criticality, 1 where it is not said


class Fault(Struct, forbid_unknown_fields=True):
    """`span` is written `for`: after it the fault is taken back; without it it stays to the end."""

    at: Seconds
    kind: Literal[PROCESS + NODE + LINK + LISTS + FILES + PEER + CLIENTS]  # type: ignore[valid-type]
    span: Seconds | None = msgspec.field(default=None, name="for")
    who: list[str] = []  # of a process or node: patterns, such as p0, p*, n2
    between: list[str] = []  # of a link: two patterns, of processes, "discovery" or "clients"
    way: Literal["both", "there", "back"] = "both"  # there: from the first of `between` to the second
    directory: Literal["kept", "gone", "old", "full", "unwritable"] = "kept"  # kill and restart
    duty: Annotated[float, Meta(gt=0, lt=1)] = 0.2  # slow: the part of the time that it runs
    hours: float = 0.0  # clock
    call: Literal[SYSTEM_CALLS] = "accept"  # type: ignore[valid-type]  # syscall: which fails
    error: str = "EMFILE"  # syscall: with which error
    factor: Positive = 10.0  # node-slow, origin-slow
    part: Part = 0.5  # node-fail, loss, twice, leave, syscall
    how: Literal["twice", "noise", "break"] = "break"  # node-spoil
    ms: Seconds = 50.0  # delay
    jitter_ms: Seconds = 0.0
    bytes: Annotated[int, Meta(ge=0)] = 1000  # rate: a second; reset: before it
    times: Annotated[int, Meta(ge=1, le=1000)] = 1  # again and again, `every` seconds apart
    every: Seconds = 1.0
    flap: Seconds = 0.0  # on and off in turn, each so many seconds


class Agree(Struct, forbid_unknown_fields=True):
    """What the rig asks of the agreed state; the history of it must be linearizable."""

    rate: Seconds = 0.0  # commands and looks a second; 0: none
    keys: Annotated[int, Meta(ge=1, le=50)] = 5


class Hold(Struct, forbid_unknown_fields=True):
    rules: bool = True  # the four rules
    served: Part = 0.0  # in time, of all reqs
    served_last: Part = 0.0  # in time, of those of the last `last` seconds
    last: Positive = 2.0
    each_class: Part = 0.0  # in time, of each class's reqs in each third of the load
    orders: bool = False  # at the end all proxies have one slot order, and slot-order has one holder
    linked: bool = False  # at the end each proxy has a link to every member of the consensus group
    agreed_last: Annotated[int, Meta(ge=0)] = 0  # of what was asked of the agreed state, answered in `last`
    crashes: bool = False  # processes may end by themselves
    slack_ms: Seconds = 500.0  # on the time of a final answer, beside how late the rig itself was


class Scenario(Struct, forbid_unknown_fields=True):
    version: Literal[1]
    name: str = ""
    about: str = ""
    seconds: Annotated[float, Meta(gt=0, le=3600)] = 8.0
    seed: int = 1
    settle: Seconds = 1.5  # after the load's end, all faults taken back
    fleet: Fleet = msgspec.field(default_factory=Fleet)
    load: Load = msgspec.field(default_factory=Load)
    agree: Agree = msgspec.field(default_factory=Agree)
    fault: list[Fault] = []
    hold: Hold = msgspec.field(default_factory=Hold)


def names(scenario: Scenario) -> tuple[list[str], list[str]]:
    """The proxies' names and the nodes'."""
    fleet = scenario.fleet
    return [f"p{i}" for i in range(fleet.proxies)], [f"n{i}" for i in range(fleet.nodes)]


def found(patterns: list[str], known: list[str], key: str) -> list[str]:
    """The known names that any of the patterns fits, in their order.

    >>> found(["p*"], ["p0", "n1"], "who")
    ['p0']
    """
    for pattern in patterns:
        if pattern in AIMED:
            return [pattern]
        if not any(fnmatch(name, pattern) for name in known):
            raise ScenarioError(f"`{key}`: no such process: {pattern}")
    return [name for name in known if any(fnmatch(name, pattern) for pattern in patterns)]


def checked(values: Any, name: str) -> Scenario:
    try:
        made = msgspec.convert(values, Scenario)
    except msgspec.ValidationError as error:
        text = str(error).replace("$", "scenario")
        raise ScenarioError(f"{name}: {text}") from None
    made.name = made.name or name
    proxies, nodes = names(made)
    for number, fault in enumerate(made.fault):
        key = f"fault[{number}]"
        if fault.at > made.seconds:
            raise ScenarioError(f"{name}: `{key}.at`: after the end, at {made.seconds} s")
        if fault.kind in LINK:
            if len(fault.between) != 2:
                raise ScenarioError(f"{name}: `{key}.between`: wanted two, got {len(fault.between)}")
            for pattern in fault.between:
                if pattern in AIMED and not made.fleet.group:
                    raise ScenarioError(f"{name}: `{key}.between`: there is no consensus group")
                found([pattern], [*proxies, *nodes, "discovery", "clients"], f"{name}: {key}.between")
        elif fault.kind in (*PROCESS, *NODE, *FILES, *CLIENTS) and fault.kind != "origin-slow":
            known = nodes if fault.kind in NODE else proxies
            if AIMED & {*fault.who} and not (made.fleet.group and fault.kind in PROCESS):
                raise ScenarioError(f"{name}: `{key}.who`: there is no leader of such")
            if not found(fault.who, known, f"{name}: {key}.who"):
                raise ScenarioError(f"{name}: `{key}.who`: missing")
        if fault.kind == "pause" and (fault.span is None or fault.span > PAUSE):
            raise ScenarioError(f"{name}: `{key}.for`: wanted {PAUSE:g} s at most, got {fault.span}")
        if fault.kind == "syscall" and not hasattr(errno, fault.error):
            raise ScenarioError(f"{name}: `{key}.error`: no such error: {fault.error}")
        if fault.kind in FILES and len(found(fault.who, proxies, key)) not in (3, 5, 7):
            raise ScenarioError(f"{name}: `{key}.who`: a group has 3, 5 or 7 members")
        if fault.kind in (*PEER, "beside") and not made.fleet.group:
            raise ScenarioError(f"{name}: `{key}.kind`: there is no consensus group")
        if fault.times > 1 and fault.flap:
            raise ScenarioError(f"{name}: `{key}.flap`: not with `times`")
    if made.agree.rate and not made.fleet.group:
        raise ScenarioError(f"{name}: `agree.rate`: there is no consensus group")
    total = made.load.read + made.load.put + made.load.pay
    if abs(total - 1) > 1e-9:
        raise ScenarioError(f"{name}: `load`: read, put and pay make {total:g}, not 1")
    if made.fleet.group and (made.fleet.group not in (3, 5, 7) or made.fleet.group > made.fleet.proxies):
        raise ScenarioError(f"{name}: `fleet.group`: wanted 3, 5 or 7 of the proxies, got {made.fleet.group}")
    return made


def own() -> dict[str, Any]:
    """The scenarios that come with the program, by name."""
    folder = resources.files(__package__) / "scenarios"
    return {one.name[:-5]: one for one in sorted(folder.iterdir(), key=str) if one.name.endswith(".toml")}


def load(name: str) -> Scenario:
    """A scenario by its name, or from a file."""
    source = own().get(name) or Path(name)
    try:
        text = source.read_text()
    except OSError as fault:
        raise ScenarioError(f"{name}: {fault.strerror or fault}") from None
    try:
        return checked(tomllib.loads(text), Path(name).stem)
    except tomllib.TOMLDecodeError as fault:
        raise ScenarioError(f"{name}: {fault}") from None


def written(scenario: Scenario) -> str:
    """The scenario as a file that can be played again."""
    lines = []

    def put(values: dict, skip=()) -> None:
        for key, value in values.items():
            if key in skip or value is None:
                continue
            text = ("true" if value else "false") if isinstance(value, bool) else None
            if isinstance(value, dict):
                text = "{ " + ", ".join(f"{one} = {part}" for one, part in value.items()) + " }"
            lines.append(f"{key} = {text or msgspec.json.encode(value).decode()}")

    values = msgspec.to_builtins(scenario)
    put(values, ("fleet", "load", "agree", "fault", "hold"))
    for key in ("fleet", "load", "agree", "hold"):
        lines.append(f"\n[{key}]")
        put(values[key])
    defaults = msgspec.to_builtins(Fault(at=0, kind="cut"))
    for fault in values["fault"]:
        lines.append("\n[[fault]]")
        put({key: value for key, value in fault.items() if key in ("at", "kind") or value != defaults[key]})
    return "\n".join(lines) + "\n"
