"""The balancer: the entry point of the balancing decisions of one process.

A key's hash determines its k replicas; a request is sent to a random one of them that is not overloaded.

The caller calls `route` for each new request, `record_outcome` for each attempt that ends, and `next_wakeup`
for what is due and when to call it again.  It passes changes of the endpoint list to `update_endpoints`, and
datagrams of peers to `receive_gossip`.  All of these take the current time in microseconds.
"""

from __future__ import annotations

import heapq
from collections import deque
from math import inf
from random import Random

from ..model import (
    Attempt,
    CloseIdleConnections,
    Decision,
    Done,
    Fail,
    Outcome,
    OutcomeDecision,
    Request,
    Send,
    SendGossip,
    Server,
    ServerState,
    Wait,
    Wakeup,
)
from .components import Components
from .concurrency_limit import (
    INITIAL_LIMIT,
    MAX_LIMIT,
    MIN_SHARE,
    RECENT_OUTCOME_US,
    RECENT_SHARE_FACTOR,
    SHARE_FACTOR,
    SLOW_HIT_SHARE_FACTOR,
    lower_admitted_share,
    raise_admitted_share,
)
from .gossip import OutcomeGossip
from .gossip_codec import OUTCOME_BYTES, GossipedOutcome, server_hash
from .load_shedding import HOPELESS_CHANCE, success_chance
from .outcomes import OutcomeRecorder
from .outlier_detection import later_attempt_succeeded
from .parameters import BalancerParameters
from .retry_policy import RetryPolicy, can_reject, hedge_delay, is_possibly_executed, is_retryable
from .server_selection import ServerSelector
from .slot_order import SlotOrderExchange

CAPACITY_RECHECK_US = 20_000  # delay until the next decision on a request while no server has capacity for it
# A request waits for capacity for at most this part of the time until its answer deadline: one that waited
# longer would seldom be answered in time, and rejecting it is cheap.
MAX_WAIT_DIVISOR = 8


class Balancer:
    """The balancing decisions of one process."""

    def __init__(
        self,
        rng: Random,
        parameters: BalancerParameters,
        components: Components,
        gossip: OutcomeGossip | None = None,
        slot_order: SlotOrderExchange | None = None,
    ) -> None:
        """:param gossip: None, like `slot_order`, if processes don't exchange datagrams."""
        self.rng, self.parameters = rng, parameters
        self.placement, self.hot_keys = components.placement, components.hot_keys
        self.outliers, self.zone_outliers = components.outliers, components.zone_outliers
        self.limiter, self.shedder = components.limiter, components.shedder
        self.slow_start, self.load = components.slow_start, components.load
        self.connections, self.retry_budget = components.connections, components.retry_budget
        self.gossip, self.slot_order = gossip, slot_order
        self.retry_policy = RetryPolicy(parameters)
        self.selector = ServerSelector(rng, parameters, self.retry_policy, components)
        self.outcome_recorder = OutcomeRecorder(parameters, components)
        self.servers: dict[str, Server] = {}  # by name
        self.origins: list[Server] = []  # origin servers that are ready
        self.in_flight = 0  # attempts of this process at all servers
        # A heap of (time, sequence number, request to decide on again); the number breaks ties.
        self.timers: list[tuple[int, int, Request]] = []
        self.timer_count = 0
        self.first_attempts: deque[Request] = deque()  # requests due now that have no attempt yet
        self.retries: deque[Request] = deque()  # requests due now that have attempts

    # Requests.

    def route(self, request: Request, now: int) -> Decision:
        """Decide what to do with a request now: send it, wait, or answer the client."""
        if request.concluded:
            return Done()
        deadline = self.retry_policy.answer_deadline(request)
        if not request.is_ranked and not self._rank(request, now, deadline):
            return self.retry_policy.give_up(request)
        outstanding = request.outstanding()
        is_retry = bool(request.attempts) and is_possibly_executed(request.attempts[-1])
        if not self._has_time_and_budget(request, now, deadline, outstanding, is_retry):
            return self._await_or_give_up(request, now, deadline, outstanding)
        server = self.select_server(request, now)
        if server is None:
            return Wait() if outstanding else self._wait_for_capacity(request, now, deadline)
        if is_retry:
            self.retry_budget.withdraw()
        return self._send(request, server, now, deadline, outstanding)

    def select_server(self, request: Request, now: int) -> Server | None:
        """Return the server for the request's next attempt; None if no server can take it now."""
        return self.selector.select(request, now, self.origins, self.in_flight)

    def client_disconnected(self, request: Request) -> list[Attempt]:
        """Return the attempts to cancel after the client has disconnected."""
        return request.outstanding()

    def record_outcome(
        self,
        attempt: Attempt,
        outcome: Outcome,
        now: int,
        report: dict[str, float] | None = None,
        is_cache_hit: bool = False,
    ) -> OutcomeDecision:
        """Record an attempt's outcome, and decide what to do next with its request.

        :param report: the figures of the server's load report, if it sent one.
        :param is_cache_hit: the server reported that it answered from its cache.
        """
        server = attempt.server
        attempt.outcome = outcome
        server.in_flight -= 1
        self.in_flight -= 1
        self.connections.record_attempt_ended(server, now)
        gossiped = self.outcome_recorder.record(attempt, outcome, now, report, is_cache_hit)
        if self.gossip and gossiped is not None:
            self.gossip.record(server, gossiped, now)
        return self._follow_up(attempt.request, outcome, now)

    def next_wakeup(self, now: int) -> Wakeup:
        """Return what is due now, with first attempts before retries, and when to call this again."""
        while self.timers and self.timers[0][0] <= now:
            request = heapq.heappop(self.timers)[2]
            if not request.concluded:
                self.suspect_late_attempts(request, now)
                (self.retries if request.attempts else self.first_attempts).append(request)
        exchanges = [exchange for exchange in (self.gossip, self.slot_order) if exchange]
        datagrams = [datagram for exchange in exchanges for datagram in exchange.due(now)]
        due: list[Request | SendGossip | CloseIdleConnections] = [
            *self.first_attempts,
            *self.retries,
            *self.connections.due(now),
            *datagrams,
        ]
        self.first_attempts, self.retries = deque(), deque()
        due_times = [self.connections.next_at(), *(exchange.next_at for exchange in exchanges)]
        if self.timers:
            due_times.append(self.timers[0][0])
        next_at = min((due_time for due_time in due_times if due_time is not None), default=None)
        return Wakeup(None if next_at is None else next_at - now, due)

    def suspect_late_attempts(self, request: Request, now: int) -> None:
        """Count each attempt that exceeds the hedge delay as a failure of its server, before it times out.

        The early failure keeps further requests away from the server, and peers learn of its queue while the
        queue still grows.
        """
        for attempt in request.attempts:
            if attempt.outcome is not None or attempt.suspected or later_attempt_succeeded(attempt):
                continue
            attempt.suspected = True
            self.outliers.record_failure(attempt.server.health, False, attempt.sent_at)
            if self.gossip and self.connections.is_large_fleet:
                lower_admitted_share(attempt.server, SLOW_HIT_SHARE_FACTOR)
                self.gossip.record(attempt.server, GossipedOutcome.SLOW_HIT, now)

    def _rank(self, request: Request, now: int, deadline: int) -> bool:
        """Rank a new request, record its key and set its random draw; return False if it is to be given up.

        A request with hardly any chance of an answer in time is given up.  A few of them are sent all the
        same, to detect when answers in time become likely again.
        """
        request.is_ranked, request.warm_up_draw = True, self.rng.random()
        self.hot_keys.record(request.key)
        chance = success_chance(request.request_class, deadline - now)
        request.limit_fraction = self.shedder.limit_fraction(request, now, chance)
        return chance >= HOPELESS_CHANCE or request.warm_up_draw <= MIN_SHARE

    def _has_time_and_budget(
        self, request: Request, now: int, deadline: int, outstanding: list[Attempt], is_retry: bool
    ) -> bool:
        """Return whether time, attempts and retry budget are left, and the attempt is no forbidden hedge."""
        if now >= deadline or len(request.attempts) >= self.parameters.max_attempts:
            return False
        if outstanding and not self.parameters.hedging_enabled:
            return False
        return not is_retry or self.retry_budget.allows_retry()

    def _await_or_give_up(
        self, request: Request, now: int, deadline: int, outstanding: list[Attempt]
    ) -> Decision:
        """Wait for the attempts in flight; give up if there are none, or late ones that only fill a cache."""
        if not outstanding:
            return self.retry_policy.give_up(request)
        only_cache_fills = all(
            self.retry_policy.is_cache_fill(request, attempt.server) for attempt in outstanding
        )
        return self.retry_policy.give_up(request) if now >= deadline and only_cache_fills else Wait()

    def _wait_for_capacity(self, request: Request, now: int, deadline: int) -> Decision:
        """Decide on the request again soon, or give it up if it has waited for capacity for too long."""
        recheck_at = now + CAPACITY_RECHECK_US
        wait_until = request.arrived_at + (deadline - request.arrived_at) // MAX_WAIT_DIVISOR
        if recheck_at >= wait_until or (request.attempts and not can_reject(request)):
            return self.retry_policy.give_up(request)
        self._schedule(request, recheck_at)
        return Wait()

    def _send(
        self, request: Request, server: Server, now: int, deadline: int, outstanding: list[Attempt]
    ) -> Send:
        timeout_at = self.retry_policy.attempt_timeout_at(request, server, now, deadline)
        send_by = self.retry_policy.retry_send_by(request)
        ejection = self.outliers.ejection(server, request.request_class)
        attempt = Attempt(
            request,
            server,
            now,
            timeout_at,
            send_by=send_by,
            zone=server.zone,
            cell=server.cell,
            is_probe=ejection is not None,
        )
        # An attempt that has not been written yet may be written after this one, and is then the repeat.
        for other in outstanding:
            other.send_by = min(other.send_by, send_by)
        if ejection:
            self.outliers.record_failure(ejection, False, now)
        request.attempts.append(attempt)
        server.in_flight += 1
        server.last_sent_at = now
        self.in_flight += 1
        self.zone_outliers.record_probe_sent(server.zone, now)
        self.connections.record_attempt_sent(server)
        self._schedule_after_send(attempt, deadline)
        return Send(server, timeout_at)

    def _schedule_after_send(self, attempt: Attempt, deadline: int) -> None:
        request, now = attempt.request, attempt.sent_at
        if attempt.timeout_at > deadline:  # the client is answered at the deadline; the fetch continues
            self._schedule(request, deadline)
        elif attempt.timeout_at < deadline or (self.parameters.hedging_enabled and is_retryable(request)):
            delay = hedge_delay(request.request_class, deadline - now, attempt.is_probe)
            self._schedule(request, now + delay)

    def _schedule(self, request: Request, at: int) -> None:
        self.timer_count += 1
        heapq.heappush(self.timers, (at, self.timer_count, request))

    def _follow_up(self, request: Request, outcome: Outcome, now: int) -> OutcomeDecision:
        outstanding = request.outstanding()
        if request.concluded or outcome is Outcome.SUCCEEDED:
            return OutcomeDecision(Done(), outstanding)
        if outcome is Outcome.INVALID_REQUEST:
            return OutcomeDecision(Fail(), outstanding)
        if outstanding:
            return OutcomeDecision(Wait(), [])
        if now >= self.retry_policy.answer_deadline(request) or not self.retry_policy.may_send_attempt(
            request, now
        ):
            return OutcomeDecision(self.retry_policy.give_up(request), [])
        self.retries.append(request)
        return OutcomeDecision(Wait(), [])

    # Endpoint updates and gossip.

    def update_endpoints(self, servers: list[Server], is_complete: bool, now: int) -> None:
        """Apply the endpoint list or changes of it; a server that is already known keeps its `Server` object.

        :param is_complete: `servers` is the whole list; otherwise it holds only the changed servers.
        """
        for listed in servers:
            self._update_server(listed, now)
        if is_complete:
            self._mark_unlisted_gone({server.name for server in servers}, now)
        caches = self.cache_servers()
        self.origins = [
            server
            for server in self.servers.values()
            if server.kind == self.parameters.origin_kind and server.state is ServerState.READY
        ]
        if self.placement.live_weights and self.load.update_weights(caches, now):
            self.placement.location_cache.clear()
        self.placement.update(caches, now)
        self._forget_gone_servers()
        if self.gossip:
            self.gossip.set_servers([*self.servers.values()])

    def cache_servers(self) -> list[Server]:
        """Return the known servers other than origin servers, in the order of their first listing."""
        return [server for server in self.servers.values() if server.kind != self.parameters.origin_kind]

    def receive_gossip(self, datagram: bytes, now: int) -> None:
        """Process a peer's datagram; ignore whatever can't be decoded or names unknown servers."""
        if self.slot_order and len(datagram) % OUTCOME_BYTES:
            hashes = self.slot_order.receive(datagram, self.placement.slots, now)
            if hashes and hashes != [*map(server_hash, self.placement.slots)]:
                self.placement.adopt_order(hashes, self.cache_servers(), now)
            return
        for server, outcome in self.gossip.receive(datagram) if self.gossip else []:
            self._record_peer_outcome(server, outcome, now)

    def _record_peer_outcome(self, server: Server, outcome: GossipedOutcome, now: int) -> None:
        # In a small fleet, this process's own recent outcomes count for more than its peers' reports.
        has_own_outcome = (
            not self.connections.is_large_fleet and now < server.last_outcome_at + RECENT_OUTCOME_US
        )
        if outcome is GossipedOutcome.ON_TIME or (outcome is GossipedOutcome.SLOW_HIT and has_own_outcome):
            raise_admitted_share(server)
        elif outcome is GossipedOutcome.SLOW_HIT:
            lower_admitted_share(server, SLOW_HIT_SHARE_FACTOR)
        else:
            lower_admitted_share(server, RECENT_SHARE_FACTOR if has_own_outcome else SHARE_FACTOR)

    def _update_server(self, listed: Server, now: int) -> None:
        server = self.servers.setdefault(listed.name, listed)
        if not server.concurrency_limit:
            is_origin = server.kind == self.parameters.origin_kind
            server.concurrency_limit = MAX_LIMIT if is_origin else INITIAL_LIMIT
        if not 0 < listed.weight < inf:  # an invalid weight would assign all keys or none
            listed.weight = 1.0
        elif self.placement.live_weights:
            self.load.record_listed_weight(server, listed.weight, now)
        if server is not listed:
            if listed.state is ServerState.READY and listed.started_at > server.started_at:
                self._restart_server(server, listed.started_at)
            server.zone, server.cell, server.state = listed.zone, listed.cell, listed.state
        if server.state is ServerState.GONE:
            server.gone_at = now
        else:
            server.was_draining = server.state is not ServerState.READY

    def _restart_server(self, server: Server, started_at: int) -> None:
        """Set the start time of a restarted server, and forget the failures of its previous process."""
        server.started_at = started_at
        server.health.consecutive_failures, server.health.probes = 0, 0
        server.class_failures = {}

    def _mark_unlisted_gone(self, listed_names: set[str], now: int) -> None:
        for server in self.servers.values():
            if server.name not in listed_names and server.state is not ServerState.GONE:
                server.state, server.gone_at = ServerState.GONE, now

    def _forget_gone_servers(self) -> None:
        """Drop servers that are gone, hold no slot and have no attempt in flight."""
        in_use = {
            *self.placement.slots,
            *(
                server
                for server in self.servers.values()
                if server.state is not ServerState.GONE or server.in_flight
            ),
        }
        self.servers = {name: server for name, server in self.servers.items() if server in in_use}
        self.zone_outliers.forget_unlisted({server.zone for server in self.servers.values()})
