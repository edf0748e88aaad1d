"""Retry policy: whether, until when and where a request may be sent again, and when it is given up.

Only this module decides whether a request that may already have taken effect is sent again.  A request that
is not idempotent is sent again only if no earlier attempt can have been executed.  A request with an
idempotency key is sent again in that case, and also within the time window and the group of servers in which
repeats are dropped.
"""

from __future__ import annotations

from math import inf

from ..model import (
    Attempt,
    DedupGroup,
    Fail,
    Idempotency,
    Outcome,
    Reject,
    Request,
    RequestClass,
    Server,
)
from .parameters import BalancerParameters

# Outcomes after which, by the protocol, the server has certainly not executed the request.  A cache that
# reports a miss has only looked up the key.  CANCELLED and TIMED_OUT prove nothing, because the server may
# still be working; neither does ERROR, which may be reported after the request took effect.
NEVER_EXECUTED = frozenset(
    {Outcome.OVERLOADED, Outcome.CONNECTION_REFUSED, Outcome.NOT_SENT, Outcome.CACHE_MISS}
)
TOKENS_PER_SUCCESS = 0.15  # retries or hedges that each answered request adds to the budget
MAX_TOKENS = 20.0  # enough to retry the attempts that a crashing server had in flight
HEDGE_FACTOR = 3  # a hedge is sent after this multiple of the 90th percentile of attempt times
MIN_HEDGE_SAMPLES = 8  # attempt times; a percentile of fewer samples is not usable


class RetryBudget:
    """A token bucket filled by answered requests; it keeps retries from amplifying an overload."""

    def __init__(self) -> None:
        self.tokens = MAX_TOKENS

    def allows_retry(self) -> bool:
        """Return whether the budget allows one more retry or hedge."""
        return self.tokens >= 1

    def withdraw(self) -> None:
        """Spend a token on a retry or hedge."""
        self.tokens -= 1

    def deposit(self) -> None:
        """Add a part of a token, for an answered request."""
        self.tokens = min(MAX_TOKENS, self.tokens + TOKENS_PER_SUCCESS)


def is_possibly_executed(attempt: Attempt) -> bool:
    """Return whether the server may have executed the attempt, or may still execute it."""
    return attempt.outcome not in NEVER_EXECUTED


def possibly_executed(request: Request) -> list[Attempt]:
    """Return the request's attempts that may have been executed, in the order of sending."""
    return [attempt for attempt in request.attempts if attempt.outcome not in NEVER_EXECUTED]


def is_retryable(request: Request) -> bool:
    """Return whether the request may be sent again after an attempt that may have been executed."""
    return request.request_class.idempotency is not Idempotency.NOT_IDEMPOTENT


def can_reject(request: Request) -> bool:
    """Return whether the client can be told that sending the request again is safe."""
    request_class = request.request_class
    if request_class.idempotency is Idempotency.IDEMPOTENT:
        return True
    if request_class.idempotency is Idempotency.KEYED and request_class.dedup_group is DedupGroup.ALL:
        return True
    return not possibly_executed(request)


def hedge_delay(request_class: RequestClass, time_left: int, is_probe: bool = False) -> int:
    """Return the microseconds to wait for an attempt before another one is worth sending.

    The delay is at least half of `time_left`, because an earlier hedge would lengthen the queue that made the
    first attempt late.  It is shorter for a probe, so that the request is still answered in time if the
    probed server has not recovered.
    """
    times = sorted(request_class.attempt_times)
    if is_probe:
        return min(2 * times[len(times) // 2], time_left // 3) if times else time_left // 3
    delay = time_left
    if len(times) >= MIN_HEDGE_SAMPLES:
        delay = HEDGE_FACTOR * times[len(times) * 9 // 10]
    return max(min(delay, time_left), time_left // 2)


class RetryPolicy:
    """The retry rules that depend on the configuration."""

    def __init__(self, parameters: BalancerParameters) -> None:
        self.parameters = parameters

    def answer_deadline(self, request: Request) -> int:
        """Return the time from which an answer is useless, because it is too late or nobody waits for it."""
        deadline = request.deadline
        request_class = request.request_class
        if not request_class.late_priority_weight:
            deadline = min(deadline, request.arrived_at + request_class.latency_objective)
        return deadline - self.parameters.clock_margin

    def may_send_attempt(self, request: Request, now: int) -> bool:
        """Return whether a first or further attempt of the request may be sent now."""
        return (
            not request.partly_sent
            and len(request.attempts) < self.parameters.max_attempts
            and now < self.retry_send_by(request)
        )

    def retry_send_by(self, request: Request) -> float:
        """Return the latest time for sending the next attempt's last byte, or -inf if none may be sent.

        The senders must check this time again, because the connection may be established, or the socket may
        accept the bytes, long after the decision.
        """
        request_class = request.request_class
        if request_class.idempotency is Idempotency.IDEMPOTENT:
            return inf
        earlier_attempts = possibly_executed(request)
        if not earlier_attempts:
            return inf
        if request_class.idempotency is not Idempotency.KEYED:
            return -inf
        # Servers drop a repeat only within the window, so the repeat must reach a server before its end.
        return earlier_attempts[0].sent_at + (request_class.dedup_window - self.parameters.clock_margin)

    def within_dedup_group(self, request: Request, server: Server) -> bool:
        """Return whether the server drops repeats of each possibly executed attempt.

        True also if the group of servers does not matter: the request has no idempotency key, or all servers
        drop repeats together.
        """
        request_class = request.request_class
        if request_class.idempotency is not Idempotency.KEYED or request_class.dedup_group is DedupGroup.ALL:
            return True
        any_cell = request_class.dedup_group is DedupGroup.ZONE
        return all(
            server.zone == attempt.zone and (any_cell or server.cell == attempt.cell)
            for attempt in possibly_executed(request)
        )

    def is_cache_fill(self, request: Request, server: Server) -> bool:
        """Return whether this is an origin read after a cache miss; even a late answer is cached."""
        has_missed = any(attempt.outcome is Outcome.CACHE_MISS for attempt in request.attempts)
        return has_missed and not request.is_write and server.kind == self.parameters.origin_kind

    def attempt_timeout_at(self, request: Request, server: Server, now: int, deadline: int) -> int:
        """Return the time (microseconds) at which the next attempt, if sent now, times out.

        :param deadline: the request's answer deadline.
        """
        if self.is_cache_fill(request, server):
            # An abandoned fetch leaves no cached copy, so a fetch may continue after the client was answered.
            # Its time is still bounded, because a lost fetch counts against the concurrency limit meanwhile.
            max_duration = 2 * max(server.response_times, default=deadline - now)
            return max(deadline, min(now + max_duration, request.deadline - self.parameters.clock_margin))
        is_last = len(request.attempts) + 1 >= self.parameters.max_attempts
        is_final = is_last or server.kind == self.parameters.origin_kind or not is_retryable(request)
        if self.parameters.hedging_enabled or is_final:
            return deadline
        return now + hedge_delay(request.request_class, deadline - now)

    def give_up(self, request: Request) -> Reject | Fail:
        """Return the final answer to a request that is not sent again.

        The answer is Reject where the client may safely retry, else Fail.
        """
        return Reject(self.parameters.retry_after) if can_reject(request) else Fail()
