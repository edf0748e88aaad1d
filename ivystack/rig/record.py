"""The record of a run: requests, answers, effects, faults and leases; and the request classes of the load."""

from __future__ import annotations

from dataclasses import dataclass, field
from typing import Any

from ..load.clients import LoadClass
from ..standin.ledger import Ledger
from .check import Breach, DutyAction, Exemption
from .processes import Process
from .scenario import Scenario

US = 1_000_000
# Deduplication window of the origin, and of the proxies' settings unless a scenario sets a shorter one.
DEFAULT_DEDUP_WINDOW_US = 10 * US
OVERLOAD_FACTOR = 4.0  # multiple of its capacity that overloads a cold server
COLD_SHARE = 0.3  # capacity of a cold server as a fraction of a warm one's

CLASSES = [
    LoadClass("read"),
    LoadClass("put", write=True, sends_idempotency_key=True),
    LoadClass("pay", write=True, retryable=False, sends_idempotency_key=True),
]


def dedup_window_us(scenario: Scenario) -> int:
    """Return the deduplication window in the proxies' settings, in microseconds."""
    return int(scenario.load.window * US) if scenario.load.window else DEFAULT_DEDUP_WINDOW_US


@dataclass
class FaultRecord:
    """A fault that was applied; `end` is None while it lasts."""

    start: int
    end: int | None
    target: str
    description: str


@dataclass
class Record:
    """Everything that is recorded in a run.  Times are microseconds of the rig's monotonic clock."""

    scenario: Scenario
    start: int = 0  # begin of the load
    end: int = 0
    startup_seconds: float = 0.0  # until all processes were ready
    reactor_lag: int = 0  # maximum lag of the rig's own reactor
    load_lag: int = 0  # maximum lag of the load generator
    members: list[str] = field(default_factory=list)  # members of the consensus group at the end
    requests: list = field(default_factory=list)
    client_attempts: list = field(default_factory=list)
    ledger: Ledger = field(default_factory=Ledger)
    faults: list[FaultRecord] = field(default_factory=list)
    exemptions: list[Exemption] = field(default_factory=list)
    duty_actions: list[DutyAction] = field(default_factory=list)
    # Leases of duties: start, end, duty, proxy, fencing token.
    leases: list[tuple[int, int, str, str, int]] = field(default_factory=list)
    processes: list[Process] = field(default_factory=list)
    breaches: list[Breach] = field(default_factory=list)
    table_history: list = field(default_factory=list)  # (key, Op) on the replicated table
    # The fleet status that each proxy reported at the end.
    fleet_status: dict[str, dict] = field(default_factory=dict)
    latencies: Any = None  # histogram of the served requests, in microseconds
