"""Plain types shared by the decisions and whoever asks for them; nothing is decided here.

Times are whole microseconds of the caller's clock.  Objects point to each other; ids stay at the door.
"""

from __future__ import annotations

from collections import deque
from dataclasses import dataclass, field
from math import inf

# What `where` and `after` answer with: (GO, node, until), (WAIT, None, 0), (NACK, None, come_back_in),
# (FAIL, None, 0), or (DONE, None, 0) when nothing more is owed.
GO, WAIT, NACK, FAIL, DONE = "go", "wait", "nack", "fail", "done"

# How an attempt can end.
SATISFIED, ERRORED, FULL, OVERDUE, REFUSED, SEVERED, RECALLED, SUPERSEDED, MISSED, UNFIT = (
    "satisfied",
    "errored",
    "full",
    "overdue",
    "refused",
    "severed",
    "recalled",
    "superseded",
    "missed",
    "unfit",  # the node can't use such a req; nor could another
)
CLIENT_GONE = "client gone"  # no ending of an attempt: its req needs no answer any more

# What a method's reqs bear.
RETRYABLE, DEDUPLICATED, NON_RETRYABLE = "retryable", "deduplicated", "non-retryable"

READY, LEAVING, LEFT = "ready", "leaving", "left"


@dataclass(eq=False, slots=True)
class Errors:
    """What a node answers one method with, judged as a node is."""

    failures: int = 0
    broken: bool = False
    trial_at: int = 0
    trials: int = 0
    passed: int = 0


@dataclass(eq=False, slots=True)
class Node:
    """A cache node (or the origin) as the list names it, and what this proxy has seen of it."""

    name: str
    kind: int = 0
    weight: float = 1.0
    zone: str = ""
    cell: int = 0
    state: str = READY
    started: int = 0  # 0: long ago
    unnamed: bool = False  # known by another proxy's slots alone, its name their mark for it
    drained: bool = False  # seen leaving since it last was ready
    left_at: int = 0
    in_flight: int = 0  # own attempts there
    sent: int = 0  # when the last went out
    failures: int = 0  # in a row
    broken: bool = False  # one of them was a broken or refused connection
    trial_at: int = 0  # when down: not before this
    trials: int = 0  # since it went down
    passed: int = 0  # own reqs that would have gone there since the last trial
    proven: int = 0  # when the latest of those that were answered in time had gone out
    errors: dict = field(default_factory=dict)  # by method: answered with an error last
    heard: int = -1_000_000_000  # when an attempt there last ended
    in_time: int = 0  # answers in a row
    slow: bool = False  # the last answer was, for its latency budget
    cut: int = 0  # when the window fell last
    crowded: int = -1_000_000_000  # when it last turned away a new connection of ours
    window: float = 0.0  # own attempts it bears at once
    times: tuple[int, ...] = ()  # an origin's last answers'
    load: float = 0.0  # reqs that it held a core, as told last
    load_at: int = -1_000_000_000
    share: float = 1.0  # of the reqs that would go there: those of highest rank


@dataclass(eq=False, slots=True)
class Method:
    name: str
    semantics: str = RETRYABLE
    latency_budget: int = 1_000_000
    criticality: float = 1.0
    group: str = "all"  # deduplicated: which nodes drop a repeat: all, zone or cell
    window: int = 0  # and for how long
    tardy: float = 0.0  # what an answer after the latency budget is worth
    times: deque = field(default_factory=lambda: deque(maxlen=64))  # its last attempts' times
    took: deque = field(default_factory=lambda: deque(maxlen=64))  # those of them that were answered


@dataclass(eq=False, slots=True)
class Tenant:
    name: str
    allowance: float = 0.0  # reqs a second over all proxies
    recent: int = 0  # among the last reqs here


@dataclass(eq=False, slots=True)
class Req:
    method: Method | None
    arrived: int
    give_up_at: int
    key: int | None = None
    tenant: Tenant | None = None
    write: bool = False
    repeat: bool = False
    over: bool = False  # concluded, by whom ever
    ranked: bool = False
    part: float = 1.0  # of a node's window that it may use, by its rank
    calm: float = 0.0  # the share of reqs that a node must take to be given this one
    luck: float = 0.0  # drawn once: a node as warm as this may take it
    attempts: list = field(default_factory=list)
    once: bool = False  # some of its bytes have gone out and are nowhere else: it can't go out again
    saying: tuple[int, bytes] | None = None  # standing req: a message to the peer of that number
    closing: Node | None = None  # standing req: close the idle connections to this node


@dataclass(eq=False, slots=True)
class Attempt:
    req: Req
    node: Node | None
    sent: int
    until: int
    outcome: str | None = None  # None: still out
    latest: float = inf  # by when its last byte must have gone out, else it must not go out at all
    zone: str = ""  # its node's when it was decided: a node's name may come back elsewhere
    cell: int = 0
    doubted: bool = False  # its lateness was already held against the node
    fresh: bool = False  # the first on its connection, where the caller knows of these
    trial: bool = False


def figures(report: dict | None, columns: frozenset[str]) -> dict[str, float]:
    """What of a node's load report can be used: the figures that the settings name, finite and not negative.

    >>> figures({"active": 3, "waiting": -1, "cpu": None, "new": 5}, frozenset(["active", "waiting", "cpu"]))
    {'active': 3}
    """
    return {
        name: value
        for name, value in (report or {}).items()
        if name in columns and isinstance(value, int | float) and 0 <= value < inf
    }
