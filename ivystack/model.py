"""Records and enums that the balancing decisions share with their callers.

Times and durations are whole microseconds of the caller's clock, unless a name or docstring says otherwise.
"""

from __future__ import annotations

import enum
from collections import deque
from dataclasses import dataclass, field
from math import inf

LONG_AGO = -1_000_000_000  # microseconds; earlier than any clock reading
MAX_TIME_SAMPLES = 64  # samples per request class


class Idempotency(enum.Enum):
    """Whether a request may be executed more than once."""

    IDEMPOTENT = "idempotent"
    KEYED = "keyed"  # the servers of a group drop a repeat of a key within a time window
    NOT_IDEMPOTENT = "not-idempotent"


class DedupGroup(enum.Enum):
    """The servers that share idempotency keys and so drop repeats; the widest group comes first."""

    ALL = "all"
    ZONE = "zone"
    CELL = "cell"


class ServerState(enum.Enum):
    """A server's state in the endpoint list."""

    READY = "ready"
    DRAINING = "draining"
    GONE = "gone"


class Outcome(enum.Enum):
    """How an attempt can end; `str()` returns the value, as log lines show it."""

    SUCCEEDED = "succeeded"
    ERROR = "error"
    OVERLOADED = "overloaded"
    TIMED_OUT = "timed-out"
    CONNECTION_REFUSED = "connection-refused"
    CONNECTION_LOST = "connection-lost"
    CANCELLED = "cancelled"
    NOT_SENT = "not-sent"
    CACHE_MISS = "cache-miss"
    INVALID_REQUEST = "invalid-request"  # no server can execute this request

    def __str__(self) -> str:
        return self.value


@dataclass(eq=False, slots=True)
class FailureState:
    """The recent failures of a server, or of one request class at a server."""

    consecutive_failures: int = 0
    connection_failed: bool = False  # one of the failures was a connection that could not be established
    next_probe_at: int = 0  # an ejected server gets no probe before this time
    probes: int = 0  # probe pauses started since the ejection
    skipped_requests: int = 0  # requests withheld because of the ejection since the last probe


@dataclass(eq=False, slots=True)
class Server:
    """A cache server or origin server of the endpoint list, and what this process has observed of it."""

    name: str
    kind: int = 0  # index of the machine kind in the settings
    weight: float = 1.0
    zone: str = ""
    cell: int = 0
    state: ServerState = ServerState.READY
    started_at: int = 0  # 0: the server started long ago
    is_placeholder: bool = False  # only known from another process's slot order; named by its hash
    was_draining: bool = False  # listed as draining since it was last ready
    gone_at: int = 0
    in_flight: int = 0  # attempts of this process
    last_sent_at: int = 0
    health: FailureState = field(default_factory=FailureState)
    class_failures: dict[RequestClass, FailureState] = field(default_factory=dict)
    latest_success_sent_at: int = 0  # send time of the latest attempt that was answered
    last_outcome_at: int = LONG_AGO
    consecutive_on_time: int = 0  # answers on time since the last overload
    last_was_slow: bool = False  # the last answer was slow, relative to its latency objective
    limit_lowered_at: int = 0
    connection_rejected_at: int = LONG_AGO  # when it last rejected a new connection
    concurrency_limit: float = 0.0  # attempts of this process in flight; 0: not set yet
    response_times: tuple[int, ...] = ()  # of the last answers; kept for origin servers only
    load: float = 0.0  # requests in flight per core, as last reported
    load_reported_at: int = LONG_AGO
    admitted_share: float = 1.0  # the share of its requests that is sent, highest priority first


@dataclass(eq=False, slots=True)
class RequestClass:
    """A request class: its limits and weights from the settings, and recent time samples."""

    name: str
    idempotency: Idempotency = Idempotency.IDEMPOTENT
    latency_objective: int = 1_000_000
    priority_weight: float = 1.0
    dedup_group: DedupGroup = DedupGroup.ALL  # for keyed classes
    dedup_window: int = 0  # for keyed classes
    late_priority_weight: float = 0.0  # weight of an answer after the latency objective
    attempt_times: deque[int] = field(default_factory=lambda: deque(maxlen=MAX_TIME_SAMPLES))
    success_times: deque[int] = field(default_factory=lambda: deque(maxlen=MAX_TIME_SAMPLES))


@dataclass(eq=False, slots=True)
class Tenant:
    """A tenant and its quota."""

    name: str
    quota: float = 0.0  # requests per second over all processes; 0: no quota
    recent_requests: int = 0  # this tenant's requests among the last ones at this process


@dataclass(eq=False, slots=True)
class Request:
    """A client's request, from its arrival to its final answer."""

    request_class: RequestClass
    arrived_at: int
    deadline: int
    key: int | None = None
    tenant: Tenant | None = None
    is_write: bool = False
    is_client_retry: bool = False
    concluded: bool = False  # the final answer was given, or the client has disconnected
    is_ranked: bool = False  # `limit_fraction`, `required_share` and `warm_up_draw` are set
    limit_fraction: float = 1.0  # the part of a server's concurrency limit open to this priority
    required_share: float = 0.0  # least admitted share of a server that may be sent the request
    warm_up_draw: float = 0.0  # uniform in [0, 1); only servers with a greater warm fraction qualify
    attempts: list[Attempt] = field(default_factory=list)
    partly_sent: bool = False  # can't be sent again: bytes already sent were not kept

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
    send_by: float = inf  # latest time for sending the last byte; never sent after that
    zone: str = ""  # the server's at the decision; a server may return in another zone
    cell: int = 0
    suspected: bool = False  # already counted as a failure of the server because it is late
    first_on_connection: bool = False  # set by callers that manage connections
    is_probe: bool = False


@dataclass(frozen=True, slots=True)
class Send:
    """Decision: send the request's last attempt to `server`, to be answered by `timeout_at`."""

    server: Server
    timeout_at: int


@dataclass(frozen=True, slots=True)
class Wait:
    """Decision: do nothing now; the balancer decides on the request again later."""


@dataclass(frozen=True, slots=True)
class Reject:
    """Decision: answer that a retry is safe, after `retry_after` (0: answer without a delay)."""

    retry_after: int


@dataclass(frozen=True, slots=True)
class Fail:
    """Decision: answer that the request failed and may have taken effect."""


@dataclass(frozen=True, slots=True)
class Done:
    """Decision: do nothing, as the request has its final answer."""


Decision = Send | Wait | Reject | Fail | Done


@dataclass(frozen=True, slots=True)
class OutcomeDecision:
    """The decision for a request after the outcome of an attempt, and the attempts to cancel."""

    decision: Decision
    cancel: list[Attempt]


@dataclass(frozen=True, slots=True)
class SendGossip:
    """Action: send the datagram to the process with the number `peer`."""

    peer: int
    datagram: bytes


@dataclass(frozen=True, slots=True)
class CloseIdleConnections:
    """Action: close the idle connections to a server."""

    server: Server


@dataclass(frozen=True, slots=True)
class Wakeup:
    """What is due now, in order, and the microseconds until something else is due (None: nothing is)."""

    delay: int | None
    due: list[Request | SendGossip | CloseIdleConnections]


def usable_figures(report: dict | None, columns: frozenset[str]) -> dict[str, float]:
    """Return the figures of a server's load report named in `columns` that are finite and not negative.

    >>> usable_figures({"active": 3, "waiting": -1, "cpu": None, "new": 5}, frozenset(["active", "waiting"]))
    {'active': 3}
    """
    return {
        name: value
        for name, value in (report or {}).items()
        if name in columns and isinstance(value, int | float) and 0 <= value < inf
    }
