"""One simulated proxy: its balancer, its requests in flight and its timer."""

from __future__ import annotations

from base64 import b64decode, b64encode
from collections.abc import Callable
from typing import Any, TypeVar

from ..configuration.instance import InstanceConfiguration
from ..configuration.schema import microseconds
from ..model import (
    Attempt,
    CloseIdleConnections,
    Decision,
    Done,
    Fail,
    Reject,
    Request,
    Send,
    SendGossip,
    Server,
    usable_figures,
)
from .protocol import (
    ANSWERED_FROM_CACHE,
    CANCEL,
    CLOSE_IDLE_CONNECTIONS,
    FAIL,
    LIST_ANSWERS_POLL,
    LIST_FAILED,
    LIST_IS_DELTA,
    OUTCOME_BY_NAME,
    POLL_ENDPOINTS,
    REJECT,
    SEND,
    SEND_GOSSIP,
    SET_TIMER,
    STATE_BY_NAME,
    UNKNOWN_KIND,
    MalformedLineError,
    BalancerError,
)

MIN_TIMER_US = 1  # a timer with no delay would fire again at the same simulated time
NANOSECONDS_PER_MICROSECOND = 1000

T = TypeVar("T")


def call_balancer(method: Callable[..., T], *arguments: Any) -> T:
    """Call a method of the balancer and return its result.

    :raises BalancerError: the method raised an exception.  The separate type keeps a failure of the balancer
        from being reported as a malformed line.
    """
    try:
        return method(*arguments)
    except Exception as error:
        raise BalancerError(f"{type(error).__name__}: {error}") from error


class SimulatedInstance:
    """Passes the events of one proxy to its balancer and collects the resulting actions.

    The event methods take the values of their events in order; additional values are ignored.  `now` is the
    time of the batch in microseconds.
    """

    def __init__(self, name: str, seed: int, config: dict[str, Any], now: int) -> None:
        self.name = name
        self.configuration = InstanceConfiguration(seed, config)
        self.balancer = self.configuration.balancer
        self.requests: dict[int, Request] = {}  # by the simulator's request id
        self.request_ids: dict[Request, int] = {}
        self.timer_at: int | None = None  # microseconds; None if no timer was set yet
        self.actions: list[list[Any]] = []  # actions since the end of the last batch
        self.poll_in_progress = False
        is_polling = self.configuration.settings.discovery == "ask"
        self.poll_backoff = self.configuration.poll_backoff if is_polling else None
        if self.poll_backoff:
            self.poll_backoff.next_at = now

    # Events

    def request_arrived(
        self,
        now: int,
        request_id: int,
        class_name: str,
        tenant_name: str | None = None,
        key: int | None = None,
        deadline_ns: int | None = None,
        hint: object = None,
        size: object = None,
        is_client_retry: bool = False,
        is_write: bool = False,
        *_: object,
    ) -> None:
        """Route a client's request.

        :param deadline_ns: the request's deadline, in nanoseconds.
        :raises MalformedLineError: the class is unknown, the deadline is missing, the id is in use, or the
            key is not an integer.
        """
        request_class = self.configuration.request_classes.get(class_name)
        if (
            request_class is None
            or deadline_ns is None
            or request_id in self.requests
            or not isinstance(key, int | None)
        ):
            raise MalformedLineError(
                "request with an unknown class, no deadline, an id in use or an invalid key"
            )
        tenant = self.configuration.tenants.get(tenant_name) if isinstance(tenant_name, str) else None
        deadline = microseconds(deadline_ns)
        request = Request(request_class, now, deadline, key, tenant, bool(is_write), bool(is_client_retry))
        self.requests[request_id] = request
        self.request_ids[request] = request_id
        self._apply_decision(request, call_balancer(self.balancer.route, request, now))

    def attempt_ended(
        self,
        now: int,
        request_id: int,
        number: int,
        server_name: str,
        outcome_name: str,
        delay: object = None,
        is_last: bool = False,
        cache_info: int | None = None,
        report: dict[str, Any] | None = None,
        *_: object,
    ) -> None:
        """Record the outcome of an attempt and act on the balancer's decision.

        :param number: index of the attempt within its request.
        :param is_last: whether the simulator has answered the client with this outcome.
        :raises MalformedLineError: the attempt or the outcome is unknown, or the outcome is not the first.
        """
        request = self.requests.get(request_id)
        if request is None or not 0 <= number < len(request.attempts) or outcome_name not in OUTCOME_BY_NAME:
            raise MalformedLineError("outcome for an unknown attempt, or unknown kind of outcome")
        attempt = request.attempts[number]
        if attempt.outcome is not None:
            raise MalformedLineError("second outcome for the same attempt")
        if is_last:
            request.concluded = True
        load_figures = usable_figures(report, self.configuration.columns)
        is_hit = cache_info == ANSWERED_FROM_CACHE
        outcome = OUTCOME_BY_NAME[outcome_name]
        result = call_balancer(self.balancer.record_outcome, attempt, outcome, now, load_figures, is_hit)
        self._cancel(request, result.cancel)
        self._apply_decision(request, Done() if request.concluded else result.decision)

    def client_gone(self, now: int, request_id: int, *_: object) -> None:
        """Drop a request whose client disconnected.

        The event is ignored if the request has already been concluded.
        """
        request = self.requests.get(request_id)
        if request is None or request.concluded:
            return
        request.concluded = True
        if request.attempts:
            self._cancel(request, call_balancer(self.balancer.client_disconnected, request))
        self._conclude(request)

    def endpoints_changed(self, now: int, entries: list[list[Any]], list_kind: str) -> None:
        """Pass an endpoint list to the balancer, or record that the poll or the watch failed."""
        was_polling = self.poll_in_progress
        self.poll_in_progress = was_polling and list_kind == LIST_ANSWERS_POLL
        if list_kind == LIST_FAILED:
            if self.poll_backoff:
                self.poll_backoff.record_failure(now)
            return
        if was_polling and list_kind != LIST_ANSWERS_POLL and self.poll_backoff:
            self.poll_backoff.failures = 0  # an update outside a poll proves that the watch works
        servers = [self._server_from_entry(*entry) for entry in entries]
        call_balancer(self.balancer.update_endpoints, servers, list_kind != LIST_IS_DELTA, now)

    def gossip_received(self, now: int, sender: object, datagram: str, *_: object) -> None:
        """Pass a peer's gossip datagram, encoded in base64, to the balancer."""
        call_balancer(self.balancer.receive_gossip, b64decode(datagram), now)

    def ignore(self, now: int, *_: object) -> None:
        """Accept an event that carries no data; due actions are collected when the batch ends."""

    def batch_ended(self, now: int) -> None:
        """Perform the actions that are due now and set a timer for the next one."""
        while True:
            wakeup = call_balancer(self.balancer.next_wakeup, now)
            if not wakeup.due:
                break
            for action in wakeup.due:
                self._perform(action, now)
        delay = self._poll_if_due(now, wakeup.delay)
        if delay is not None:
            self._set_timer(now, max(delay, MIN_TIMER_US))

    # Actions

    def _poll_if_due(self, now: int, delay: int | None) -> int | None:
        """Poll the endpoint list if a poll is due.

        :param delay: microseconds until the balancer's next due action, None if there is none.
        :returns: microseconds until the next due action or poll, None if there is neither.
        """
        backoff = self.poll_backoff
        if backoff is None:
            return delay
        if backoff.claim_due_call(now):
            self.poll_in_progress = True
            self.actions.append([POLL_ENDPOINTS, self.name, True])
        if backoff.next_at is None:
            return delay
        until_poll = backoff.next_at - now
        return until_poll if delay is None else min(delay, until_poll)

    def _set_timer(self, now: int, delay: int) -> None:
        """Set a timer, unless a pending timer fires no later."""
        due_at = now + delay
        if self.timer_at is None or due_at < self.timer_at or self.timer_at <= now:
            self.timer_at = due_at
            self.actions.append([SET_TIMER, self.name, delay * NANOSECONDS_PER_MICROSECOND, due_at])

    def _perform(self, action: Request | SendGossip | CloseIdleConnections, now: int) -> None:
        match action:
            case SendGossip(peer, datagram):
                self.actions.append([SEND_GOSSIP, self.name, peer, b64encode(datagram).decode()])
            case CloseIdleConnections(server):
                self.actions.append([CLOSE_IDLE_CONNECTIONS, self.name, server.name])
            case request:
                self._apply_decision(request, call_balancer(self.balancer.route, request, now))

    def _apply_decision(self, request: Request, decision: Decision) -> None:
        """Append the action for a decision on the request."""
        request_id = self.request_ids.get(request)
        match decision:
            case Send(server, timeout_at):
                timeout = timeout_at * NANOSECONDS_PER_MICROSECOND
                self.actions.append([SEND, self.name, request_id, timeout, server.name])
            case Reject(retry_after):
                retry_after_ns = retry_after * NANOSECONDS_PER_MICROSECOND
                self.actions.append([REJECT, self.name, request_id, retry_after_ns])
                self._conclude(request)
            case Fail():
                self.actions.append([FAIL, self.name, request_id])
                self._conclude(request)
            case Done():
                self._conclude(request)

    def _conclude(self, request: Request) -> None:
        """Mark a request as concluded and remove it once all of its attempts have an outcome."""
        request.concluded = True
        if all(attempt.outcome is not None for attempt in request.attempts):
            if request in self.request_ids:
                del self.requests[self.request_ids.pop(request)]

    def _cancel(self, request: Request, attempts: list[Attempt]) -> None:
        for attempt in attempts:
            number = request.attempts.index(attempt)
            self.actions.append([CANCEL, self.name, self.request_ids[request], number])

    def _server_from_entry(
        self,
        kind: str,
        name: str,
        weight: float | None,
        cell: int | None,
        state_name: str,
        zone: str | None,
        started_at: int | None,
        *_: object,
    ) -> Server:
        """Return the server described by an entry of an endpoint list; null values get defaults."""
        return Server(
            name,
            self.configuration.kinds.get(kind, UNKNOWN_KIND),
            weight or 0.0,
            zone or "",
            cell or 0,
            STATE_BY_NAME[state_name],
            microseconds(started_at),
        )
