"""Retry policy: whether, until when and where a request may be sent again, and when it is given up.

This is the one place that decides whether an effect may be sent again.  A request that is not idempotent is
sent again only if no earlier attempt can have been executed; one with an idempotency key also within the
window and the group of servers that drop a repeat.
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

# Outcomes that prove that the server has not executed the request, as the protocol states.  A cache that
# reports a miss has looked the key up and done no more.  CANCELLED and TIMED_OUT end our wait, not the
# server's work, and an ERROR may come after the request took effect: they prove nothing.
NEVER_EXECUTED = frozenset(
    {Outcome.OVERLOADED, Outcome.CONNECTION_REFUSED, Outcome.NOT_SENT, Outcome.CACHE_MISS}
)
TOKENS_PER_SUCCESS = 0.15  # retries and hedged requests earned by each answered request
MAX_TOKENS = 20.0  # enough for what a dying server had in flight
HEDGE_FACTOR = 3  # times the 90th percentile of attempt times before a hedge is sent
MIN_HEDGE_SAMPLES = 8  # attempt times; fewer give no usable percentile


class RetryBudget:
    """Retries and hedges that answered requests have earned, so that retries can't multiply an overload."""

    def __init__(self) -> None:
        self.tokens = MAX_TOKENS

    def allows_retry(self) -> bool:
        """Return whether one more is earned."""
        return self.tokens >= 1

    def withdraw(self) -> None:
        """Spend one."""
        self.tokens -= 1

    def deposit(self) -> None:
        """Earn a part of one, for an answered request."""
        self.tokens = min(MAX_TOKENS, self.tokens + TOKENS_PER_SUCCESS)


def is_possibly_executed(attempt: Attempt) -> bool:
    """Return whether the server may have executed the attempt, or still may."""
    return attempt.outcome not in NEVER_EXECUTED


def possibly_executed(request: Request) -> list[Attempt]:
    """Return the request's attempts that may have been executed, in the order in which they were sent."""
    return [attempt for attempt in request.attempts if attempt.outcome not in NEVER_EXECUTED]


def is_retryable(request: Request) -> bool:
    """Return whether a possibly executed request of this class may be sent again at all."""
    return request.request_class.idempotency is not Idempotency.NOT_IDEMPOTENT


def can_reject(request: Request) -> bool:
    """Return whether the client may be answered that it can safely send the request again."""
    request_class = request.request_class
    if request_class.idempotency is Idempotency.IDEMPOTENT:
        return True
    if request_class.idempotency is Idempotency.KEYED and request_class.dedup_group is DedupGroup.ALL:
        return True
    return not possibly_executed(request)


def hedge_delay(request_class: RequestClass, time_left: int, is_probe: bool = False) -> int:
    """Return how many microseconds an attempt may take before another one is worth sending.

    At least half of the time left: a hedge sent sooner feeds the queue that made the first attempt late.  A
    probe gets less, so that its request does not suffer for finding out whether the server is back.
    """
    times = sorted(request_class.attempt_times)
    if is_probe:
        return min(2 * times[len(times) // 2], time_left // 3) if times else time_left // 3
    usual = time_left
    if len(times) >= MIN_HEDGE_SAMPLES:
        usual = HEDGE_FACTOR * times[len(times) * 9 // 10]
    return max(min(usual, time_left), time_left // 2)


class RetryPolicy:
    """The rules that depend on the configuration."""

    def __init__(self, parameters: BalancerParameters) -> None:
        self.parameters = parameters

    def answer_deadline(self, request: Request) -> int:
        """Return when an answer is worth nothing any more, or nobody waits for it."""
        deadline = request.deadline
        request_class = request.request_class
        if not request_class.late_priority_weight:
            deadline = min(deadline, request.arrived_at + request_class.latency_objective)
        return deadline - self.parameters.clock_margin

    def may_send_attempt(self, request: Request, now: int) -> bool:
        """Return whether the request may be sent now, for the first time or again."""
        return (
            not request.partly_sent
            and len(request.attempts) < self.parameters.max_attempts
            and now < self.retry_send_by(request)
        )

    def retry_send_by(self, request: Request) -> float:
        """Return by when the last byte of the next attempt must have been sent; -inf: it must not be sent.

        The decision alone proves nothing: a connection may come up, or a socket take the bytes, much later.
        """
        request_class = request.request_class
        if request_class.idempotency is Idempotency.IDEMPOTENT:
            return inf
        executed = possibly_executed(request)
        if not executed:
            return inf
        if request_class.idempotency is not Idempotency.KEYED:
            return -inf
        # The window is the servers' to keep: the repeat must reach one before it ends.
        return executed[0].sent_at + (request_class.dedup_window - self.parameters.clock_margin)

    def within_dedup_group(self, request: Request, server: Server) -> bool:
        """Return whether the server drops repeats of all attempts that may have been executed, or needn't."""
        request_class = request.request_class
        if request_class.idempotency is not Idempotency.KEYED or request_class.dedup_group is DedupGroup.ALL:
            return True
        any_cell = request_class.dedup_group is DedupGroup.ZONE
        return all(
            server.zone == attempt.zone and (any_cell or server.cell == attempt.cell)
            for attempt in possibly_executed(request)
        )

    def is_cache_fill(self, request: Request, server: Server) -> bool:
        """Return whether this is a read at the origin after a miss: its answer is cached, even a late one."""
        missed = any(attempt.outcome is Outcome.CACHE_MISS for attempt in request.attempts)
        return missed and not request.is_write and server.kind == self.parameters.origin_kind

    def attempt_timeout_at(self, request: Request, server: Server, now: int, deadline: int) -> int:
        """Return the moment (microseconds) until which the next attempt, sent now, may take.

        :param deadline: the request's answer deadline.
        """
        if self.is_cache_fill(request, server):
            # A fetch that is given up leaves no copy, so it may outlast its client; one that was lost must
            # not hold its place for long.
            usual = 2 * max(server.response_times, default=deadline - now)
            return max(deadline, min(now + usual, request.deadline - self.parameters.clock_margin))
        is_last = len(request.attempts) + 1 >= self.parameters.max_attempts
        nothing_follows = is_last or server.kind == self.parameters.origin_kind or not is_retryable(request)
        if self.parameters.hedging_enabled or nothing_follows:
            return deadline
        return now + hedge_delay(request.request_class, deadline - now)

    def give_up(self, request: Request) -> Reject | Fail:
        """Return the final answer of a request that is not sent again.

        Reject where the client may safely retry, else Fail.
        """
        return Reject(self.parameters.retry_after) if can_reject(request) else Fail()
