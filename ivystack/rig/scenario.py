"""Scenario files: the processes and the load of a run, its faults, and what the run is checked for.

This module defines the format of the files, validates them and writes them.  It starts no process.
An error in a file is reported as one line that names the key.
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

# Roles that a fault may name as its target: the group's leader, and the holders of two duties.
LEADER, ORDER_HOLDER, PROBE_HOLDER = "leader", "holder", "trier"
ROLES = {LEADER, ORDER_HOLDER, PROBE_HOLDER}  # resolved to a process when the fault begins

Fraction = Annotated[float, Meta(ge=0, le=1)]
Positive = Annotated[float, Meta(gt=0)]
Seconds = Annotated[float, Meta(ge=0)]

PROCESS_FAULTS = ("kill", "restart", "stop", "pause", "slow", "clock", "syscall", "beside", "reload")
SERVER_FAULTS = ("node-die", "node-hang", "node-slow", "node-fail", "node-drain", "node-spoil", "origin-slow")
LINK_FAULTS = ("cut", "hole", "freeze", "delay", "loss", "twice", "rate", "reset", "half-open")
# list-late: discovery answers each call up to `ms` milliseconds late.  watch-reset: open watches are reset.
DISCOVERY_FAULTS = ("list-silent", "list-refuses", "list-late", "watch-silent", "watch-reset")
# leave: the fraction `part` of the clients that wait at the named proxies disconnects.  crowd: connections
# that send nothing take the fraction `part` of the proxies' descriptors.
CLIENT_FAULTS = ("leave", "crowd")
PEER_FAULTS = ("lies",)  # a peer with a valid key, run by the rig, sends false messages
MEMBERSHIP_FAULTS = ("members",)  # a new operators' file changes the members of the consensus group


MAX_PAUSE_S = 0.15  # a proxy that is paused for at most this long must still follow all rules
# Bound of the number of proxies, and of cache servers.  A machine may support fewer: then the start fails.
MAX_PROCESSES = 1024


class ScenarioError(ValueError):
    """A scenario file can't be used; the message is one line that names the key at fault."""


class Fleet(Struct, forbid_unknown_fields=True):
    """The processes of a run.  Cache servers are called nodes in scenario files."""

    proxies: Annotated[int, Meta(ge=1, le=MAX_PROCESSES)] = 3
    nodes: Annotated[int, Meta(ge=1, le=MAX_PROCESSES)] = 4
    zones: Annotated[int, Meta(ge=1, le=8)] = 1
    peers: bool = True  # the proxies gossip with each other
    sockets: Annotated[int, Meta(ge=64)] = 1024  # limit of open file descriptors of a proxy
    group: Annotated[int, Meta(ge=0, le=7)] = 0  # proxies in the consensus group; 0: no group
    cores: Annotated[int, Meta(ge=1)] = 4  # of a cache server
    service: Positive = 0.004  # seconds of a core that a command takes
    warm: Seconds = 2.0  # seconds after its start during which a cache server counts as cold
    origin: Annotated[int, Meta(ge=1)] = 32  # concurrent fetches and writes at the origin
    origin_time: Positive = 0.02  # seconds of one fetch or write
    memory: Annotated[int, Meta(ge=1)] = 100_000  # keys that a cache server stores


class Load(Struct, forbid_unknown_fields=True):
    rate: Positive = 100.0  # requests per second, over all proxies
    shape: Literal["steady", "poisson", "ramp", "surge"] = "poisson"
    keys: Annotated[int, Meta(ge=1)] = 2000
    skew: Annotated[float, Meta(ge=0, le=3)] = 0.8
    read: Fraction = 0.8
    put: Fraction = 0.1  # deduplicated writes, with an idempotency token
    pay: Fraction = 0.1  # writes that must not be retried
    reuse: Literal["newest", "oldest"] = "newest"  # which idle connection a client uses next
    # Seconds during which repeats of `put` are dropped; 0 means 10.
    window: Annotated[float, Meta(ge=0, le=10)] = 0.0
    worth: dict[Literal["read", "put", "pay"], Positive] = {}  # criticality of a class; 1 by default


class Fault(Struct, forbid_unknown_fields=True):
    """A fault of `span` seconds (`for` in the file); without a span it lasts to the end of the load."""

    at: Seconds
    kind: Literal[  # type: ignore[valid-type]
        PROCESS_FAULTS
        + SERVER_FAULTS
        + LINK_FAULTS
        + DISCOVERY_FAULTS
        + MEMBERSHIP_FAULTS
        + PEER_FAULTS
        + CLIENT_FAULTS
    ]
    span: Seconds | None = msgspec.field(default=None, name="for")
    who: list[str] = []  # targets: patterns of processes or servers, such as p0, p*, n2
    between: list[str] = []  # ends of a link fault: two patterns of processes, "discovery" or "clients"
    way: Literal["both", "there", "back"] = "both"  # there: from the first of `between` to the second
    # kill, restart: state of the directory at the next start
    directory: Literal["kept", "gone", "old", "full", "unwritable"] = "kept"
    hold: Seconds = 0.0  # kill, restart: seconds for which the new process stands still right after its start
    kill_after: Seconds = 0.0  # restart: seconds from SIGTERM to SIGKILL; 0: it ends by itself
    duty: Annotated[float, Meta(gt=0, lt=1)] = 0.2  # slow: the fraction of time in which the process runs
    hours: float = 0.0  # clock: offset of the wall clock
    call: Literal[SYSTEM_CALLS] = "accept"  # type: ignore[valid-type]  # syscall: the call that fails
    error: str = "EMFILE"  # syscall: the error that the call returns
    factor: Positive = 10.0  # node-slow, origin-slow
    part: Fraction = 0.5  # node-fail, loss, twice, leave, syscall
    # node-spoil: the kind of invalid answer; late: a second copy some milliseconds after the answer
    how: Literal["twice", "late", "noise", "break"] = "break"
    ms: Seconds = 50.0  # delay, list-late
    jitter_ms: Seconds = 0.0
    bytes: Annotated[int, Meta(ge=0)] = 1000  # rate: bytes per second; reset: bytes passed before the reset
    times: Annotated[int, Meta(ge=1, le=1000)] = 1  # repetitions, `every` seconds apart
    every: Seconds = 1.0
    flap: Seconds = 0.0  # seconds of each phase of a fault that alternates between on and off; 0: steady


class Agree(Struct, forbid_unknown_fields=True):
    """The rig's own operations on the replicated table; their history must be linearizable."""

    rate: Seconds = 0.0  # commands and queries per second; 0: none
    keys: Annotated[int, Meta(ge=1, le=50)] = 5


class Hold(Struct, forbid_unknown_fields=True):
    """The conditions that a run must meet."""

    rules: bool = True  # check the four rules, and those on clients that left (check.py)
    served: Fraction = 0.0  # least fraction of all requests that is served in time
    served_last: Fraction = 0.0  # the same for requests due in the last `last` seconds
    last: Positive = 2.0
    each_class: Fraction = 0.0  # the same for each class in each third of the load
    # Nothing to draining servers, counted from when discovery had the drain (stale_sends.py).
    stale_sends: bool = False
    orders: bool = False  # at the end all proxies use the same slot order and slot-order has one holder
    linked: bool = False  # at the end each proxy is connected to every member of the consensus group
    # Least number of table operations that are called and answered in the last `last` seconds.
    agreed_last: Annotated[int, Meta(ge=0)] = 0
    crashes: bool = False  # processes may crash
    slack_ms: Seconds = 500.0  # added to the time limit of a final answer, beside the rig's own lag


class Scenario(Struct, forbid_unknown_fields=True):
    """A scenario file.  `seconds` is the duration of the load."""

    version: Literal[1]
    name: str = ""
    about: str = ""
    seconds: Annotated[float, Meta(gt=0, le=3600)] = 8.0
    seed: int = 1
    settle: Seconds = 1.5  # seconds after the end of the load, with no fault active
    fleet: Fleet = msgspec.field(default_factory=Fleet)
    load: Load = msgspec.field(default_factory=Load)
    agree: Agree = msgspec.field(default_factory=Agree)
    fault: list[Fault] = []
    hold: Hold = msgspec.field(default_factory=Hold)


def process_names(scenario: Scenario) -> tuple[list[str], list[str]]:
    """Return the names of the proxies and those of the cache servers."""
    fleet = scenario.fleet
    return [f"p{i}" for i in range(fleet.proxies)], [f"n{i}" for i in range(fleet.nodes)]


def match_names(patterns: list[str], known: list[str], key: str) -> list[str]:
    """Return the known names that match any of the patterns, in the order of `known`.

    A role (ROLES) is returned as it is.  Raises ScenarioError for a pattern without a match; `key` is the key
    that the message names.

    >>> match_names(["p*"], ["p0", "n1"], "who")
    ['p0']
    """
    for pattern in patterns:
        if pattern in ROLES:
            return [pattern]
        if not any(fnmatch(name, pattern) for name in known):
            raise ScenarioError(f"`{key}`: no process matches {pattern}")
    return [name for name in known if any(fnmatch(name, pattern) for pattern in patterns)]


def parse_scenario(values: Any, name: str) -> Scenario:
    """Convert the parsed values of a scenario file and validate them.

    `name` is used in messages, and as the scenario's name if the file gives none.  Raises ScenarioError.
    """
    try:
        scenario = msgspec.convert(values, Scenario)
    except msgspec.ValidationError as error:
        text = str(error).replace("$", "scenario")
        raise ScenarioError(f"{name}: {text}") from None
    scenario.name = scenario.name or name
    proxies, servers = process_names(scenario)
    for number, fault in enumerate(scenario.fault):
        key = f"fault[{number}]"
        if fault.at > scenario.seconds:
            raise ScenarioError(f"{name}: `{key}.at`: later than the end of the load at {scenario.seconds} s")
        if fault.kind in LINK_FAULTS:
            if len(fault.between) != 2:
                raise ScenarioError(
                    f"{name}: `{key}.between`: expected two patterns, got {len(fault.between)}"
                )
            for pattern in fault.between:
                if pattern in ROLES and not scenario.fleet.group:
                    raise ScenarioError(f"{name}: `{key}.between`: there is no consensus group")
                match_names([pattern], [*proxies, *servers, "discovery", "clients"], f"{name}: {key}.between")
        elif (
            fault.kind in (*PROCESS_FAULTS, *SERVER_FAULTS, *MEMBERSHIP_FAULTS, *CLIENT_FAULTS)
            and fault.kind != "origin-slow"
        ):
            known = servers if fault.kind in SERVER_FAULTS else proxies
            if ROLES & {*fault.who} and not (scenario.fleet.group and fault.kind in PROCESS_FAULTS):
                raise ScenarioError(f"{name}: `{key}.who`: this target has no leader or holder")
            if not match_names(fault.who, known, f"{name}: {key}.who"):
                raise ScenarioError(f"{name}: `{key}.who`: missing")
        if fault.kind == "pause" and (fault.span is None or fault.span > MAX_PAUSE_S):
            raise ScenarioError(f"{name}: `{key}.for`: expected at most {MAX_PAUSE_S:g} s, got {fault.span}")
        if fault.kind == "syscall" and not hasattr(errno, fault.error):
            raise ScenarioError(f"{name}: `{key}.error`: unknown error: {fault.error}")
        if fault.kind in MEMBERSHIP_FAULTS and len(match_names(fault.who, proxies, key)) not in (3, 5, 7):
            raise ScenarioError(f"{name}: `{key}.who`: a group has 3, 5 or 7 members")
        if fault.kind in (*PEER_FAULTS, "beside") and not scenario.fleet.group:
            raise ScenarioError(f"{name}: `{key}.kind`: there is no consensus group")
        if fault.times > 1 and fault.flap:
            raise ScenarioError(f"{name}: `{key}.flap`: must not be combined with `times`")
    if scenario.agree.rate and not scenario.fleet.group:
        raise ScenarioError(f"{name}: `agree.rate`: there is no consensus group")
    total = scenario.load.read + scenario.load.put + scenario.load.pay
    if abs(total - 1) > 1e-9:
        raise ScenarioError(f"{name}: `load`: read, put and pay add up to {total:g} instead of 1")
    if scenario.fleet.group and (
        scenario.fleet.group not in (3, 5, 7) or scenario.fleet.group > scenario.fleet.proxies
    ):
        raise ScenarioError(
            f"{name}: `fleet.group`: expected 3, 5 or 7 of the proxies, got {scenario.fleet.group}"
        )
    return scenario


def bundled_scenarios() -> dict[str, Any]:
    """Return the scenario files that come with the program, by name."""
    folder = resources.files(__package__) / "scenarios"
    return {file.name[:-5]: file for file in sorted(folder.iterdir(), key=str) if file.name.endswith(".toml")}


def load_scenario(name: str) -> Scenario:
    """Load the bundled scenario of this name, or the file at this path.  Raises ScenarioError."""
    source = bundled_scenarios().get(name) or Path(name)
    try:
        text = source.read_text()
    except OSError as error:
        raise ScenarioError(f"{name}: {error.strerror or error}") from None
    try:
        return parse_scenario(tomllib.loads(text), Path(name).stem)
    except tomllib.TOMLDecodeError as error:
        raise ScenarioError(f"{name}: {error}") from None


def to_toml(scenario: Scenario) -> str:
    """Return the text of a scenario file that gives this scenario again."""
    lines = []

    def write_values(values: dict, skip=()) -> None:
        for key, value in values.items():
            if key in skip or value is None:
                continue
            text = ("true" if value else "false") if isinstance(value, bool) else None
            if isinstance(value, dict):
                text = "{ " + ", ".join(f"{name} = {part}" for name, part in value.items()) + " }"
            lines.append(f"{key} = {text or msgspec.json.encode(value).decode()}")

    values = msgspec.to_builtins(scenario)
    write_values(values, ("fleet", "load", "agree", "fault", "hold"))
    for key in ("fleet", "load", "agree", "hold"):
        lines.append(f"\n[{key}]")
        write_values(values[key])
    defaults = msgspec.to_builtins(Fault(at=0, kind="cut"))
    for fault in values["fault"]:
        lines.append("\n[[fault]]")
        write_values(
            {key: value for key, value in fault.items() if key in ("at", "kind") or value != defaults[key]}
        )
    return "\n".join(lines) + "\n"
