"""Server selection: which server a request's next attempt goes to.

The steps, in order: the origin for what only it can answer; a probe of an ejected server; one of the key's
replicas at random; its spare; a wider walk, where all of these are gone; and of several candidates the first
that is not loaded, or else the least loaded.
"""

from __future__ import annotations

from dataclasses import dataclass
from random import Random

from ..model import Idempotency, Outcome, Request, RequestClass, Server, ServerState
from .components import Components
from .concurrency_limit import PACING_FRACTION
from .parameters import BalancerParameters
from .placement import REPLICAS
from .retry_policy import RetryPolicy
from .server_load import RESTING_LOAD

KEYLESS_BITS = 50  # of the random key of a request without one
MIN_SKIP_BOUND = 2  # own attempts in flight at which a replica is never skipped as loaded
SKIP_FACTOR = 2.0  # times the mean load beyond which a replica is skipped
# Of the chance that reads go to their key's first replica: with each that finds no capacity at the origin,
# and with each that finds some.  An origin without capacity can't bear the fetches of two copies.
FIRST_REPLICA_STEP_UP, FIRST_REPLICA_STEP_DOWN = 0.05, -0.005
MIN_WAIT_SAMPLES = 8  # attempt times of a class
# Outcomes after which the same server may be asked again, where no loads are reported and where they are.
SAME_SERVER_RETRY_OUTCOMES = (Outcome.NOT_SENT, Outcome.OVERLOADED)
SAME_SERVER_RETRY_OUTCOMES_WITH_LOADS = (Outcome.NOT_SENT,)


@dataclass(eq=False, slots=True)
class Selection:
    """One search for a server."""

    request: Request
    now: int
    pacing: float  # microseconds between attempts at a server with a concurrency limit of one
    key: int
    replicas: list[Server]  # in the order in which they are asked, the first one drawn at random
    nearby: list[Server]  # the same in their own order, then the key's spares
    excluded: list[Server]  # not to be asked again by this request


class ServerSelector:
    """Selects servers by what the other rules say of them."""

    def __init__(
        self, rng: Random, parameters: BalancerParameters, policy: RetryPolicy, components: Components
    ) -> None:
        self.rng, self.parameters, self.policy = rng, parameters, policy
        self.placement, self.hot_keys = components.placement, components.hot_keys
        self.outliers, self.zone_outliers = components.outliers, components.zone_outliers
        self.limiter, self.origin_limiter = components.limiter, components.origin_limiter
        self.slow_start, self.load = components.slow_start, components.load
        self.connections = components.connections
        self.first_replica_chance = 0.0  # that a read goes to its key's first replica

    def select(
        self, request: Request, now: int, origins: list[Server], total_in_flight: int
    ) -> Server | None:
        """Return the server for the request's next attempt; None: no server can be sent it now.

        :param origins: the origin's servers that are ready.
        :param total_in_flight: this process's attempts in flight at all servers.
        """
        if not self.policy.may_send_attempt(request, now):
            return None
        pacing = PACING_FRACTION * request.request_class.latency_objective
        if self._goes_to_origin(request):
            return self._select_origin(request, now, origins, pacing)
        if not self.placement.slots:
            return None
        selection = self._start(request, now, pacing)
        probed = self._find_probe(selection)
        if probed is not None:
            return probed
        candidates = self._find_candidates(selection)
        return self._least_loaded(selection, candidates, total_in_flight)

    def _goes_to_origin(self, request: Request) -> bool:
        """Return whether only the origin is left: for writes, after a miss, for a last attempt after others.

        A cache that lacks the key would use the last attempt up for nothing.
        """
        if self.parameters.origin_kind < 0:
            return False
        attempts = request.attempts
        if request.is_write:
            return True
        if not attempts:
            return False
        return attempts[-1].outcome is Outcome.CACHE_MISS or len(attempts) + 1 == self.parameters.max_attempts

    def _select_origin(
        self, request: Request, now: int, origins: list[Server], pacing: float
    ) -> Server | None:
        # The rank counts half: it already let the request miss, and rejected here that was for nothing.
        fraction = (1 + request.limit_fraction) / 2
        candidates = [
            server
            for server in origins
            if self.origin_limiter.admits(server, fraction, now, pacing)
            and self.policy.within_dedup_group(request, server)
        ]
        if not request.is_write:
            step = FIRST_REPLICA_STEP_DOWN if candidates else FIRST_REPLICA_STEP_UP
            self.first_replica_chance = min(1.0, max(0.0, self.first_replica_chance + step))
        return min(candidates, key=lambda server: server.in_flight, default=None)

    def _start(self, request: Request, now: int, pacing: float) -> Selection:
        """Locate the key's replicas and draw the one that is asked first."""
        if request.key is None:
            key, k = self.rng.getrandbits(KEYLESS_BITS), REPLICAS
        else:
            key = request.key
            k = self.hot_keys.replica_count(key, REPLICAS, len(self.placement.slots))
        nearby = self.placement.replicas_and_spares(key, k)
        replicas = nearby[:k]
        first = self._draw_first(replicas)
        repeatable = (
            SAME_SERVER_RETRY_OUTCOMES_WITH_LOADS if self.load.enabled else SAME_SERVER_RETRY_OUTCOMES
        )
        excluded = [attempt.server for attempt in request.attempts if attempt.outcome not in repeatable]
        return Selection(request, now, pacing, key, replicas[first:] + replicas[:first], nearby, excluded)

    def _draw_first(self, replicas: list[Server]) -> int:
        """Return the index of the replica that is asked first."""
        first = self.rng.randrange(len(replicas))
        if self.first_replica_chance and self.rng.random() < self.first_replica_chance:
            first = 0
        if self.load.enabled and len(replicas) > REPLICAS:  # by size: a hot key loads its replicas alike
            weights = [server.weight for server in replicas]
            first = self.rng.choices(range(len(replicas)), weights)[0]
        return first

    def _find_probe(self, selection: Selection) -> Server | None:
        """Return an ejected replica whose pause is over, for a request that can bear a failed attempt.

        Also counts the request at each ejected replica as one that it was not sent.
        """
        request, now = selection.request, selection.now
        for server in selection.replicas:
            ejection = self.outliers.ejection(server, request.request_class)
            if ejection is None:
                continue
            if now == request.arrived_at:
                ejection.skipped_requests += 1
            # A server that errs on one class alone is probed with that class, whatever its idempotency.
            bears_probe = not request.attempts and (
                request.request_class.idempotency is Idempotency.IDEMPOTENT or ejection is not server.health
            )
            if (
                bears_probe
                and server.state is ServerState.READY
                and self.outliers.probe_is_due(ejection, now)
                and request.warm_up_draw < self.slow_start.warm_fraction(server, now)
            ):
                return server
        return None

    def _find_candidates(self, selection: Selection) -> list[Server]:
        """Return the replicas that can be sent the request, else the spare, else those of a wider walk."""
        candidates = [server for server in selection.replicas if self._can_send(selection, server)]
        if not candidates:
            candidates = [server for server in selection.nearby if self._can_send(selection, server)]
        if not candidates:
            candidates = self._walk_wider(selection)
        return candidates

    def _walk_wider(self, selection: Selection) -> list[Server]:
        """Walk to further servers of the key while no nearer one is available.

        They are gone, ejected, warming up or out of reach; never merely under strain, which a walk would
        spread.
        """
        now, nearby = selection.now, selection.nearby
        out_of_reach = any(self.zone_outliers.is_ejected(server.zone, now) for server in nearby)
        if not (self.load.enabled or out_of_reach):
            return []
        while len(nearby) < len(self.placement.slots):
            if any(
                self._is_available(selection, server) or self._is_overloaded(server, now) for server in nearby
            ):
                return []
            nearby = self.placement.replicas(selection.key, 2 * len(nearby))
            candidates = [server for server in nearby if self._can_send(selection, server)]
            if candidates:
                return candidates
        return []

    def _least_loaded(
        self, selection: Selection, candidates: list[Server], total_in_flight: int
    ) -> Server | None:
        """Return the first candidate that is not loaded beyond the others, else the least loaded one."""
        now = selection.now
        bound = max(MIN_SKIP_BOUND, SKIP_FACTOR * total_in_flight / len(self.placement.slots))
        for server in candidates:
            if server.in_flight <= bound and not (self.load.enabled and self._is_loaded(server, now)):
                return server
        if self.load.enabled:
            return min(candidates, key=lambda server: self.load.load(server, now), default=None)
        return min(candidates, key=lambda server: server.in_flight, default=None)

    def _can_send(self, selection: Selection, server: Server) -> bool:
        request, now = selection.request, selection.now
        return (
            self.limiter.admits(server, request.limit_fraction, now, request.required_share, selection.pacing)
            and not self.connections.is_rejecting(server, now)
            and self._is_available(selection, server)
            and not self.queues_too_long(server, request.request_class, now)
        )

    def _is_available(self, selection: Selection, server: Server) -> bool:
        """Return whether the server is ready, healthy and warm enough, and the request may go there."""
        request, now = selection.request, selection.now
        if server.state is not ServerState.READY or server in selection.excluded:
            return False
        if self.outliers.ejection(server, request.request_class) is not None:
            return False
        if self.zone_outliers.is_ejected(server.zone, now):
            return False
        warm_fraction = self.slow_start.warm_fraction(server, now)
        if server is not selection.replicas[0] and warm_fraction != 1:
            warm_fraction *= self.slow_start.spill_over
        return request.warm_up_draw < warm_fraction and self.policy.within_dedup_group(request, server)

    def _is_overloaded(self, server: Server, now: int) -> bool:
        """Return whether the server is ejected for late answers, not for failed connections: it is there."""
        return (
            server.state is ServerState.READY
            and not self.outliers.is_healthy(server.health)
            and not server.health.connection_failed
            and not self.zone_outliers.is_ejected(server.zone, now)
        )

    def queues_too_long(self, server: Server, request_class: RequestClass, now: int) -> bool:
        """Return whether a quarter of the latency objective goes to queueing; by chance, more the longer.

        All processes learn of a load at one moment: in step they would move it on.
        """
        if not self.load.enabled or len(request_class.attempt_times) < MIN_WAIT_SAMPLES:
            return False
        quick_attempt = sorted(request_class.attempt_times)[len(request_class.attempt_times) // 4]
        wait = self.load.load(server, now) * quick_attempt
        return self.rng.random() * wait > request_class.latency_objective // 4

    def _is_loaded(self, server: Server, now: int) -> bool:
        """Return whether the server's load is beyond the bound for skipping it; by chance, as above."""
        bound = max(RESTING_LOAD, SKIP_FACTOR * self.load.mean_load)
        return self.rng.random() * self.load.load(server, now) > bound
