"""Recording of attempt outcomes: the health, limits, load and zone of the server, and gossip to peers."""

from __future__ import annotations

from ..model import Attempt, FailureState, Outcome, Server
from .components import Components
from .concurrency_limit import (
    RECENT_OUTCOME_US,
    RECENT_SHARE_FACTOR,
    SHARE_FACTOR,
    SLOW_FRACTION_CACHE_ASIDE,
    SLOW_FRACTION_READ_THROUGH,
    SLOW_HIT_FRACTION,
    SLOW_HIT_SHARE_FACTOR,
    lower_admitted_share,
)
from .gossip_codec import GossipedOutcome
from .origin_limit import shortest_response_time
from .outlier_detection import later_attempt_succeeded
from .parameters import NO_ORIGIN, BalancerParameters
from .server_load import NO_QUEUE_LOAD, load_is_recent

ANSWERED_OUTCOMES = (Outcome.SUCCEEDED, Outcome.CACHE_MISS)
# Outcomes that count as evidence of whether the server's zone is reachable.
ZONE_OUTCOMES = (*ANSWERED_OUTCOMES, Outcome.TIMED_OUT, Outcome.CONNECTION_REFUSED, Outcome.CONNECTION_LOST)
ON_TIME_FRACTION = 0.5  # of the latency objective; a later answer counts as a failure of the server's zone


class OutcomeRecorder:
    """Passes each outcome to the rules that depend on it."""

    def __init__(self, parameters: BalancerParameters, components: Components) -> None:
        self.parameters = parameters
        self.outliers, self.zone_outliers = components.outliers, components.zone_outliers
        self.limiter, self.origin_limiter = components.limiter, components.origin_limiter
        self.slow_start, self.load = components.slow_start, components.load
        self.connections, self.shedder = components.connections, components.shedder
        self.retry_budget = components.retry_budget

    def record(
        self,
        attempt: Attempt,
        outcome: Outcome,
        now: int,
        report: dict[str, float] | None,
        is_cache_hit: bool,
    ) -> GossipedOutcome | None:
        """Record an outcome; return the outcome to gossip about the server, or None.

        :param report: the figures of the server's load report, if it sent one.
        :param is_cache_hit: the server reported that it answered from its cache.
        """
        server = attempt.server
        if report and self.load.enabled:
            self.load.record_report(server, report, now)
        # If outcomes at a server are frequent, the next ones soon show whether this one was chance.
        has_recent_outcome = now < server.last_outcome_at + RECENT_OUTCOME_US
        server.last_outcome_at = now
        self._record_for_zone(attempt, outcome, now)
        if outcome is Outcome.SUCCEEDED or outcome is Outcome.CACHE_MISS:
            return self._record_answer(attempt, outcome, now, has_recent_outcome, is_cache_hit)
        if outcome is Outcome.CANCELLED or outcome is Outcome.NOT_SENT:
            return None
        if outcome is Outcome.OVERLOADED:
            if attempt.first_on_connection and self.connections.is_large_fleet:
                # The server's connection table is full of idle connections.  That is no overload, so no limit
                # is lowered and no peer is informed.
                self.connections.record_rejected(server, now)
                return None
            self._record_rejection(attempt, now, has_recent_outcome)
        elif outcome is Outcome.TIMED_OUT:
            self._record_timeout(attempt, now, has_recent_outcome)
        elif outcome is Outcome.ERROR:
            self._record_error(attempt, now)
        elif outcome is Outcome.CONNECTION_REFUSED or outcome is Outcome.CONNECTION_LOST:
            self._record_connection_failure(attempt, outcome, now, has_recent_outcome)
        return GossipedOutcome.FAILED

    def is_origin(self, server: Server) -> bool:
        """Return whether the server is an origin server."""
        return server.kind == self.parameters.origin_kind

    def _record_for_zone(self, attempt: Attempt, outcome: Outcome, now: int) -> None:
        # In a small fleet without load reports, an ejected zone may only have been loaded, and the ejection
        # would overload the other zones.
        if self.is_origin(attempt.server) or not (self.connections.is_large_fleet or self.load.enabled):
            return
        if outcome in ZONE_OUTCOMES:
            objective = attempt.request.request_class.latency_objective
            in_time = now - attempt.sent_at <= ON_TIME_FRACTION * objective
            self.zone_outliers.record(attempt.server.zone, in_time and outcome in ANSWERED_OUTCOMES)

    def _record_answer(
        self, attempt: Attempt, outcome: Outcome, now: int, has_recent_outcome: bool, is_cache_hit: bool
    ) -> GossipedOutcome:
        server, request_class = attempt.server, attempt.request.request_class
        response_time = now - attempt.sent_at
        if attempt.first_on_connection:
            self.connections.record_accepted()
        self.outliers.record_return(server, now)
        self.outliers.record_success(server.health)
        if request_class in server.class_failures:
            self.outliers.record_success(server.class_failures[request_class])
        server.latest_success_sent_at = max(server.latest_success_sent_at, attempt.sent_at)
        request_class.attempt_times.append(response_time)
        gossiped = self._limit_after_answer(attempt, response_time, now, has_recent_outcome, is_cache_hit)
        if outcome is Outcome.SUCCEEDED:
            request_class.success_times.append(response_time)
            self.retry_budget.deposit()
            self.shedder.record_answer(attempt.request.key)
        return gossiped

    def _limit_after_answer(
        self, attempt: Attempt, response_time: int, now: int, has_recent_outcome: bool, is_cache_hit: bool
    ) -> GossipedOutcome:
        """Adjust the server's concurrency limit and admitted share to the response time of an answer."""
        server, objective = attempt.server, attempt.request.request_class.latency_objective
        # A cache-aside server answers misses at once, so a slow answer has queued.  A read-through server may
        # have fetched one slow answer from the origin; two slow ones in a row have queued.
        is_cache_aside = self.parameters.origin_kind not in (NO_ORIGIN, server.kind)
        slow_fraction = SLOW_FRACTION_CACHE_ASIDE if is_cache_aside else SLOW_FRACTION_READ_THROUGH
        last_was_slow, is_slow = server.last_was_slow, response_time > slow_fraction * objective
        server.last_was_slow = is_slow
        # A busy process in a small fleet detects queues by its own concurrency limits.
        detects_queues = has_recent_outcome and not self.connections.is_large_fleet
        is_slow_cache_hit = (
            is_cache_hit and not is_cache_aside and response_time > SLOW_HIT_FRACTION * objective
        )
        counts_as_slow_cache_hit = is_slow_cache_hit and not detects_queues
        if response_time > objective and server.load > NO_QUEUE_LOAD and load_is_recent(server, now):
            self._record_overload(attempt, True, has_recent_outcome, now)
        elif self.is_origin(server):
            self.origin_limiter.record_success(server, response_time, objective, attempt.sent_at, now)
        elif counts_as_slow_cache_hit:
            lower_admitted_share(server, SLOW_HIT_SHARE_FACTOR)
        elif is_slow and (is_cache_aside or (last_was_slow and not detects_queues)):
            self.limiter.record_slow_answer(server)
        else:
            self.limiter.record_success(server)
        return GossipedOutcome.SLOW_HIT if counts_as_slow_cache_hit else GossipedOutcome.ON_TIME

    def _record_timeout(self, attempt: Attempt, now: int, has_recent_outcome: bool) -> None:
        server, request_class = attempt.server, attempt.request.request_class
        elapsed = now - attempt.sent_at
        if 2 * (attempt.timeout_at - attempt.sent_at) < request_class.latency_objective:
            return  # sent late, with less than half of the objective left: no failure of the server
        if self.is_origin(server) and elapsed < 2 * shortest_response_time(server):
            return  # too short for the round trip: the origin may be healthy but far away or unreachable
        later_succeeded = later_attempt_succeeded(attempt)
        if later_succeeded or (has_recent_outcome and not server.health.consecutive_failures):
            if not (attempt.suspected or later_succeeded):
                server.health.consecutive_failures += 1
            self.limiter.record_late_after_success(server)
            return
        if not attempt.suspected:
            self.outliers.record_failure(server.health, False, now)
        request_class.attempt_times.append(elapsed)
        self._record_overload(attempt, self.outliers.is_healthy(server.health), has_recent_outcome, now)

    def _record_error(self, attempt: Attempt, now: int) -> None:
        server, request_class = attempt.server, attempt.request.request_class
        if 2 * (now - attempt.sent_at) >= request_class.latency_objective:
            # An origin fetch ran out of time: the origin behind all servers is overloaded, not this server.
            self.limiter.lower_common_share()
            return
        failures = server.class_failures.setdefault(request_class, FailureState())
        self.outliers.record_failure(failures, False, now)

    def _record_connection_failure(
        self, attempt: Attempt, outcome: Outcome, now: int, has_recent_outcome: bool
    ) -> None:
        server = attempt.server
        if not attempt.suspected:
            self.outliers.record_failure(server.health, outcome is Outcome.CONNECTION_REFUSED, now)
        # The requests of all processes have probably filled the origin, and there is no alternative to it.
        if self.is_origin(server):
            self.origin_limiter.record_overload(server, has_recent_outcome, attempt.sent_at, now)

    def _record_rejection(self, attempt: Attempt, now: int, has_recent_outcome: bool) -> None:
        server = attempt.server
        if not self.load.enabled:
            self._record_overload(attempt, self.outliers.is_healthy(server.health), has_recent_outcome, now)
            return
        # Where loads are reported, a rejection only describes the server's state at that time, and says
        # nothing about other servers.  A warming server's share is lowered more, because rejected requests
        # also count towards its collapse.
        is_warming = self.slow_start.warm_fraction(server, now) < 1
        lower_admitted_share(server, SHARE_FACTOR if is_warming else RECENT_SHARE_FACTOR)

    def _record_overload(
        self, attempt: Attempt, is_healthy: bool, has_recent_outcome: bool, now: int
    ) -> None:
        if self.is_origin(attempt.server):
            self.origin_limiter.record_overload(attempt.server, has_recent_outcome, attempt.sent_at, now)
        else:
            self.limiter.record_overload(attempt.server, is_healthy, has_recent_outcome, attempt.sent_at, now)
