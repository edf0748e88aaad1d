"""What a run leaves: what was sent and got, carried out, done to the processes, and held.

Owns these plain types and the classes of the load.  It must never do anything.
"""

from __future__ import annotations

from dataclasses import dataclass, field
from typing import Any

from ..load.clients import LoadClass
from ..standin.ledger import Ledger
from .check import Act, Breach, Excuse
from .processes import Process
from .scenario import Scenario

US = 1_000_000
WINDOW = 10 * US  # of the deduplicated class: the origin's, and what is stated where a scenario says no less
MULTIPLE = 4.0  # of what a cold node bears
SHARE = 0.3  # of a warm node's, what a cold one bears

CLASSES = [
    LoadClass("read"),
    LoadClass("put", write=True, sends_idempotency_key=True),
    LoadClass("pay", write=True, retryable=False, sends_idempotency_key=True),
]


def window(scenario: Scenario) -> int:
    """How long the proxies are told that repeats are dropped, in microseconds."""
    return int(scenario.load.window * US) if scenario.load.window else WINDOW


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
    load_lag: int = 0  # how late the load was at most
    members: list[str] = field(default_factory=list)  # of the consensus group, at the end
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
    times: Any = None  # the histogram of what was served
