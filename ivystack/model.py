"""Records and enums that the balancing decisions share with their callers; nothing is decided here.

All times and spans are whole microseconds of the caller's clock, unless a name or docstring says otherwise.
"""

from __future__ import annotations

import enum
from collections import deque
from dataclasses import dataclass, field
from math import inf

LONG_AGO = -1_000_000_000  # microseconds: before any moment that a clock shows
RESPONSE_TIMES_KEPT = 64  # samples of a request class


class Idempotency(enum.Enum):
    """Whether a request may be executed more than once, from always to never."""

    IDEMPOTENT = "idempotent"
    KEYED = "keyed"  # servers drop a repeat with the same key, within a group and a window
    NOT_IDEMPOTENT = "not-idempotent"


class DedupGroup(enum.Enum):
    """Which servers know each other's keys and drop a repeat, from the widest to the narrowest."""

    ALL = "all"
    ZONE = "zone"
    CELL = "cell"


class ServerState(enum.Enum):
    """A server's state in the endpoint list."""

    READY = "ready"
    DRAINING = "draining"
    GONE = "gone"


class Outcome(enum.Enum):
    """How an attempt can end; `str()` gives the word used in log lines."""

    SUCCEEDED = "succeeded"
    ERROR = "error"
    OVERLOADED = "overloaded"
    TIMED_OUT = "timed-out"
    CONNECTION_REFUSED = "connection-refused"
    CONNECTION_LOST = "connection-lost"
    CANCELLED = "cancelled"
    NOT_SENT = "not-sent"
    CACHE_MISS = "cache-miss"
    INVALID_REQUEST = "invalid-request"  # the server can't use such a request; nor could another

    def __str__(self) -> str:
        return self.value


@dataclass(eq=False, slots=True)
class FailureState:
    """The recent failures of a server, or of one request class at a server."""

    consecutive_failures: int = 0
    connection_failed: bool = False  # one of them was a broken or refused connection
    next_probe_at: int = 0  # while ejected: no probe before this
    probes: int = 0  # since it was ejected
    skipped_requests: int = 0  # own requests that would have gone there since the last probe


@dataclass(eq=False, slots=True)
class Server:
    """A cache server (or the origin) as listed, and what this process has observed of it."""

    name: str
    kind: int = 0  # index of its machine kind in the settings
    weight: float = 1.0
    zone: str = ""
    cell: int = 0
    state: ServerState = ServerState.READY
    started_at: int = 0  # 0: long ago
    is_placeholder: bool = False  # known by another process's slot order alone; its name is the hash there
    was_draining: bool = False  # seen draining since it last was ready
    gone_at: int = 0
    in_flight: int = 0  # own attempts
    last_sent_at: int = 0
    health: FailureState = field(default_factory=FailureState)
    class_failures: dict[RequestClass, FailureState] = field(default_factory=dict)
    latest_success_sent_at: int = 0  # when the latest of the attempts that it answered in time was sent
    last_outcome_at: int = LONG_AGO
    consecutive_on_time: int = 0  # answers
    last_was_slow: bool = False  # the last answer, for its latency objective
    limit_lowered_at: int = 0
    connection_rejected_at: int = LONG_AGO  # when it last rejected a new connection of ours
    concurrency_limit: float = 0.0  # own attempts; 0: not set yet
    response_times: tuple[int, ...] = ()  # an origin's last
    load: float = 0.0  # requests in flight per core, as last reported
    load_reported_at: int = LONG_AGO
    admitted_share: float = 1.0  # of the requests that would go there: those of highest priority


@dataclass(eq=False, slots=True)
class RequestClass:
    """The limits and weights that the settings give to one class of requests, and its recent samples."""

    name: str
    idempotency: Idempotency = Idempotency.IDEMPOTENT
    latency_objective: int = 1_000_000
    priority_weight: float = 1.0
    dedup_group: DedupGroup = DedupGroup.ALL  # for keyed classes
    dedup_window: int = 0  # for keyed classes
    late_priority_weight: float = 0.0  # of an answer after the latency objective
    attempt_times: deque[int] = field(default_factory=lambda: deque(maxlen=RESPONSE_TIMES_KEPT))
    success_times: deque[int] = field(default_factory=lambda: deque(maxlen=RESPONSE_TIMES_KEPT))


@dataclass(eq=False, slots=True)
class Tenant:
    """A tenant and its quota."""

    name: str
    quota: float = 0.0  # requests a second over all processes; 0: none
    recent_requests: int = 0  # among the last requests here


@dataclass(eq=False, slots=True)
class Request:
    """A client's request, from its arrival to its one final answer."""

    request_class: RequestClass
    arrived_at: int
    deadline: int
    key: int | None = None
    tenant: Tenant | None = None
    is_write: bool = False
    is_client_retry: bool = False
    concluded: bool = False  # it has its final answer, or its client has gone
    is_ranked: bool = False  # `limit_fraction`, `required_share` and `warm_up_draw` are set
    limit_fraction: float = 1.0  # of a server's concurrency limit that it may use, by its priority
    required_share: float = 0.0  # the admitted share that a server must have to be sent this one
    warm_up_draw: float = 0.0  # uniform in [0, 1): a server that is warmed up at least so far may take it
    attempts: list[Attempt] = field(default_factory=list)
    partly_sent: bool = False  # some of its bytes have been sent and are not kept: it can't be sent again

    def outstanding(self) -> list[Attempt]:
        """Return the attempts that have no outcome yet."""
        return [attempt for attempt in self.attempts if attempt.outcome is None]


@dataclass(eq=False, slots=True)
class Attempt:
    """One attempt of a request at one server."""

    request: Request
    server: Server
    sent_at: int
    timeout_at: int
    outcome: Outcome | None = None  # None: in flight
    send_by: float = inf  # its last byte must have been sent by then, else it must not be sent at all
    zone: str = ""  # the server's when it was decided: the name may come back elsewhere
    cell: int = 0
    suspected: bool = False  # its lateness was already counted as a failure of the server
    first_on_connection: bool = False  # where the caller knows of connections
    is_probe: bool = False


@dataclass(frozen=True, slots=True)
class Send:
    """Decision: send the request's last attempt to `server`, which has until `timeout_at`."""

    server: Server
    timeout_at: int


@dataclass(frozen=True, slots=True)
class Wait:
    """Decision: nothing to do now; the request is decided again later."""


@dataclass(frozen=True, slots=True)
class Reject:
    """Decision: answer that the request had no effect, to be retried after `retry_after` (0: not told)."""

    retry_after: int


@dataclass(frozen=True, slots=True)
class Fail:
    """Decision: answer that the request failed and may have had its effect."""


@dataclass(frozen=True, slots=True)
class Done:
    """Decision: the request has its final answer; nothing more is owed."""


Decision = Send | Wait | Reject | Fail | Done


@dataclass(frozen=True, slots=True)
class OutcomeDecision:
    """What follows an attempt's outcome: a decision for its request, and the attempts to cancel."""

    decision: Decision
    cancel: list[Attempt]


@dataclass(frozen=True, slots=True)
class SendGossip:
    """Action: send a datagram to the peer of that number."""

    peer: int
    datagram: bytes


@dataclass(frozen=True, slots=True)
class CloseIdleConnections:
    """Action: close the idle connections to a server."""

    server: Server


@dataclass(frozen=True, slots=True)
class Wakeup:
    """What is due now, in order, and in how many microseconds the next thing is due (None: nothing is)."""

    delay: int | None
    due: list[Request | SendGossip | CloseIdleConnections]


def usable_figures(report: dict | None, columns: frozenset[str]) -> dict[str, float]:
    """Return the figures of a server's load report that the settings name, finite and not negative.

    >>> usable_figures({"active": 3, "waiting": -1, "cpu": None, "new": 5}, frozenset(["active", "waiting"]))
    {'active': 3}
    """
    return {
        name: value
        for name, value in (report or {}).items()
        if name in columns and isinstance(value, int | float) and 0 <= value < inf
    }
