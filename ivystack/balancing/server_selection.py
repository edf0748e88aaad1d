"""Server selection: which server a request's next attempt is sent to.

The selector applies these steps in order:

- a request that only the origin can answer goes to the least loaded origin server;
- a request that may probe an ejected replica whose pause is over goes to that replica;
- the candidates are the key's available replicas, in an order that starts at a random one;
- if there are none, the candidates are the key's available spares;
- if all of these are unavailable, further slots of the key are searched;
- the first candidate that is not overloaded gets the request, else the least loaded one.
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
from .server_load import NO_QUEUE_LOAD

KEYLESS_BITS = 50  # size of the random key given to a request that has none
MIN_SKIP_BOUND = 2  # with at most this many attempts in flight, a replica is never skipped as loaded
SKIP_FACTOR = 2.0  # a replica is skipped as loaded above this multiple of the mean load
# Changes of the probability that a read goes to its key's first replica: it rises with each read that finds
# no capacity at the origin, and falls with each that finds capacity.  Reads of one replica need one fetch per
# key from the origin; an origin without capacity can't serve a fetch for each of two replicas.
FIRST_REPLICA_STEP_UP, FIRST_REPLICA_STEP_DOWN = 0.05, -0.005
MIN_WAIT_SAMPLES = 8  # attempt times of a request class that a queueing estimate needs
# Outcomes after which a request may be sent to the same server again, without and with reported loads.
SAME_SERVER_RETRY_OUTCOMES = (Outcome.NOT_SENT, Outcome.OVERLOADED)
SAME_SERVER_RETRY_OUTCOMES_WITH_LOADS = (Outcome.NOT_SENT,)


@dataclass(eq=False, slots=True)
class Selection:
    """The state of one search for a server."""

    request: Request
    now: int
    pacing: float  # microseconds between attempts at a server with a concurrency limit of one
    key: int
    replicas: list[Server]  # in the order of preference, which starts at a random replica
    replicas_and_spares: list[Server]  # the replicas in placement order, then the key's spares
    excluded: list[Server]  # servers that this request must not be sent to again


class ServerSelector:
    """Selects a server by placement, health, capacity, load and slow start."""

    def __init__(
        self, rng: Random, parameters: BalancerParameters, retry_policy: RetryPolicy, components: Components
    ) -> None:
        self.rng, self.parameters, self.retry_policy = rng, parameters, retry_policy
        self.placement, self.hot_keys = components.placement, components.hot_keys
        self.outliers, self.zone_outliers = components.outliers, components.zone_outliers
        self.limiter, self.origin_limiter = components.limiter, components.origin_limiter
        self.slow_start, self.load = components.slow_start, components.load
        self.connections = components.connections
        self.first_replica_chance = 0.0  # probability that a read goes to its key's first replica

    def select(
        self, request: Request, now: int, origins: list[Server], total_in_flight: int
    ) -> Server | None:
        """Return the server for the request's next attempt; None if no server can take it now.

        :param origins: the origin servers that are ready.
        :param total_in_flight: this process's attempts in flight at all servers.
        """
        if not self.retry_policy.may_send_attempt(request, now):
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
        """Return whether the next attempt must go to the origin.

        This holds for writes, after a cache miss, and for the last attempt of a request that had others: it
        would be wasted on a cache server that lacks the key.
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
        # The request's priority counts only half at the origin: the request already passed the limit of a
        # cache server, and rejecting it now would waste that attempt.
        fraction = (1 + request.limit_fraction) / 2
        candidates = [
            server
            for server in origins
            if self.origin_limiter.admits(server, fraction, now, pacing)
            and self.retry_policy.within_dedup_group(request, server)
        ]
        if not request.is_write:
            step = FIRST_REPLICA_STEP_DOWN if candidates else FIRST_REPLICA_STEP_UP
            self.first_replica_chance = min(1.0, max(0.0, self.first_replica_chance + step))
        return min(candidates, key=lambda server: server.in_flight, default=None)

    def _start(self, request: Request, now: int, pacing: float) -> Selection:
        """Locate the key's replicas and draw the preferred one."""
        if request.key is None:
            key, k = self.rng.getrandbits(KEYLESS_BITS), REPLICAS
        else:
            key = request.key
            k = self.hot_keys.replica_count(key, REPLICAS, len(self.placement.slots))
        replicas_and_spares = self.placement.replicas_and_spares(key, k)
        replicas = replicas_and_spares[:k]
        preferred = self._draw_preferred(replicas)
        retry_outcomes = (
            SAME_SERVER_RETRY_OUTCOMES_WITH_LOADS if self.load.enabled else SAME_SERVER_RETRY_OUTCOMES
        )
        excluded = [attempt.server for attempt in request.attempts if attempt.outcome not in retry_outcomes]
        return Selection(
            request,
            now,
            pacing,
            key,
            replicas[preferred:] + replicas[:preferred],
            replicas_and_spares,
            excluded,
        )

    def _draw_preferred(self, replicas: list[Server]) -> int:
        """Return the index of the preferred replica."""
        preferred = self.rng.randrange(len(replicas))
        if self.first_replica_chance and self.rng.random() < self.first_replica_chance:
            preferred = 0
        if self.load.enabled and len(replicas) > REPLICAS:
            # The draw is by size, so that a hot key adds the same load per core to each of its replicas.
            weights = [server.weight for server in replicas]
            preferred = self.rng.choices(range(len(replicas)), weights)[0]
        return preferred

    def _find_probe(self, selection: Selection) -> Server | None:
        """Return an ejected replica that is due for a probe, if the request may be used as the probe.

        Also count the request as skipped at each ejected replica.
        """
        request, now = selection.request, selection.now
        for server in selection.replicas:
            ejection = self.outliers.ejection(server, request.request_class)
            if ejection is None:
                continue
            if now == request.arrived_at:
                ejection.skipped_requests += 1
            # A server ejected for one request class is probed with that class, whatever its idempotency.
            may_probe = not request.attempts and (
                request.request_class.idempotency is Idempotency.IDEMPOTENT or ejection is not server.health
            )
            if (
                may_probe
                and server.state is ServerState.READY
                and self.outliers.probe_is_due(ejection, now)
                and request.warm_up_draw < self.slow_start.warm_fraction(server, now)
            ):
                return server
        return None

    def _find_candidates(self, selection: Selection) -> list[Server]:
        """Return the replicas that can be sent the request, else spares, else servers of further slots."""
        candidates = [server for server in selection.replicas if self._can_send(selection, server)]
        if not candidates:
            candidates = [
                server for server in selection.replicas_and_spares if self._can_send(selection, server)
            ]
        if not candidates:
            candidates = self._search_further_slots(selection)
        return candidates

    def _search_further_slots(self, selection: Selection) -> list[Server]:
        """Return candidates from further slots of the key if no replica or spare is available.

        Servers are unavailable if they are gone, ejected, warming up or in an unreachable zone.  The search
        stops at a server that is only overloaded, because sending its requests elsewhere would spread the
        overload.
        """
        now, searched = selection.now, selection.replicas_and_spares
        any_zone_unreachable = any(self.zone_outliers.is_ejected(server.zone, now) for server in searched)
        if not (self.load.enabled or any_zone_unreachable):
            return []
        while len(searched) < len(self.placement.slots):
            if any(
                self._is_available(selection, server) or self._is_overloaded(server, now)
                for server in searched
            ):
                return []
            searched = self.placement.replicas(selection.key, 2 * len(searched))
            candidates = [server for server in searched if self._can_send(selection, server)]
            if candidates:
                return candidates
        return []

    def _least_loaded(
        self, selection: Selection, candidates: list[Server], total_in_flight: int
    ) -> Server | None:
        """Return the first candidate that is not loaded above the bounds, else the least loaded one."""
        now = selection.now
        skip_bound = max(MIN_SKIP_BOUND, SKIP_FACTOR * total_in_flight / len(self.placement.slots))
        for server in candidates:
            if server.in_flight <= skip_bound and not (self.load.enabled and self._is_loaded(server, now)):
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
            and not self.queue_is_too_long(server, request.request_class, now)
        )

    def _is_available(self, selection: Selection, server: Server) -> bool:
        """Return whether the server is ready, healthy and warm enough, and may be sent the request."""
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
        return request.warm_up_draw < warm_fraction and self.retry_policy.within_dedup_group(request, server)

    def _is_overloaded(self, server: Server, now: int) -> bool:
        """Return whether the server is ejected, but for late answers and not for failed connections."""
        return (
            server.state is ServerState.READY
            and not self.outliers.is_healthy(server.health)
            and not server.health.connection_failed
            and not self.zone_outliers.is_ejected(server.zone, now)
        )

    def queue_is_too_long(self, server: Server, request_class: RequestClass, now: int) -> bool:
        """Return whether queueing at the server is likely to take a quarter of the latency objective.

        The result is random, and True more often the longer the queue.  All processes learn of a load at the
        same time; if all of them then avoided the server, they would move its load to the next one.
        """
        if not self.load.enabled or len(request_class.attempt_times) < MIN_WAIT_SAMPLES:
            return False
        lower_quartile_time = sorted(request_class.attempt_times)[len(request_class.attempt_times) // 4]
        queueing_time = self.load.load(server, now) * lower_quartile_time
        return self.rng.random() * queueing_time > request_class.latency_objective // 4

    def _is_loaded(self, server: Server, now: int) -> bool:
        """Return whether the load exceeds the bound for skipping; random, as in `queue_is_too_long`."""
        skip_bound = max(NO_QUEUE_LOAD, SKIP_FACTOR * self.load.mean_load)
        return self.rng.random() * self.load.load(server, now) > skip_bound
