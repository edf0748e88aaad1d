"""One simulated proxy: its balancer, its requests under way and its timer."""

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
    OUTCOME_OF_WORD,
    POLL_ENDPOINTS,
    REJECT,
    SEND,
    SEND_GOSSIP,
    SET_TIMER,
    STATE_OF_WORD,
    UNKNOWN_KIND,
    BadLineError,
    DecisionError,
)

MIN_TIMER_US = 1  # a timer that is due at once would be called again within the same moment
NANOSECONDS_PER_MICROSECOND = 1000

T = TypeVar("T")


def call_balancer(method: Callable[..., T], *arguments: Any) -> T:
    """Call a method of the balancer.

    :raises DecisionError: the method raised; so its failure is not taken for a malformed line.
    """
    try:
        return method(*arguments)
    except Exception as error:
        raise DecisionError(f"{type(error).__name__}: {error}") from error


class SimulatedInstance:
    """Passes one proxy's events to its balancer and collects the actions that follow.

    The parameters of its event methods are those of the events, in order; `now` is in microseconds.  Values
    that an event has beyond them are ignored.
    """

    def __init__(self, name: str, seed: int, config: dict[str, Any], now: int) -> None:
        self.name = name
        self.settings = InstanceConfiguration(seed, config)
        self.balancer = self.settings.balancer
        self.requests: dict[int, Request] = {}  # by the simulator's id
        self.request_ids: dict[Request, int] = {}
        self.timer_at: int | None = None  # microseconds
        self.actions: list[list[Any]] = []  # since the last batch ended
        self.poll_in_progress = False
        polls = self.settings.settings.discovery == "ask"
        self.poll_backoff = self.settings.poll_backoff if polls else None
        if self.poll_backoff:
            self.poll_backoff.next_at = now

    # Events.

    def request_arrived(
        self,
        now: int,
        request_id: int,
        class_name: str,
        tenant_name: str | None = None,
        key: int | None = None,
        time_limit: int | None = None,
        hint: object = None,
        size: object = None,
        is_client_retry: bool = False,
        is_write: bool = False,
        *_: object,
    ) -> None:
        """Route a client's request.

        :param time_limit: its deadline, in nanoseconds.
        """
        request_class = self.settings.request_classes.get(class_name)
        if (
            request_class is None
            or time_limit is None
            or request_id in self.requests
            or not isinstance(key, int | None)
        ):
            raise BadLineError("a request of an unknown class, without a deadline, or with an id used before")
        tenant = self.settings.tenants.get(tenant_name) if isinstance(tenant_name, str) else None
        deadline = microseconds(time_limit)
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
        outcome_word: str,
        delay: object = None,
        is_last: bool = False,
        cache_info: int | None = None,
        report: dict[str, Any] | None = None,
        *_: object,
    ) -> None:
        """Record the outcome of a request's attempt of that number.

        :param is_last: the simulator has answered the client with it.
        """
        request = self.requests.get(request_id)
        if request is None or not 0 <= number < len(request.attempts) or outcome_word not in OUTCOME_OF_WORD:
            raise BadLineError("an outcome of an attempt that was never made, or of no known kind")
        attempt = request.attempts[number]
        if attempt.outcome is not None:
            raise BadLineError("a second outcome of one attempt")
        if is_last:
            request.concluded = True
        figures = usable_figures(report, self.settings.columns)
        is_hit = cache_info == ANSWERED_FROM_CACHE
        outcome = OUTCOME_OF_WORD[outcome_word]
        result = call_balancer(self.balancer.record_outcome, attempt, outcome, now, figures, is_hit)
        self._cancel(request, result.cancel)
        self._apply_decision(request, Done() if request.concluded else result.decision)

    def client_gone(self, now: int, request_id: int, *_: object) -> None:
        """Drop a request whose client hung up; one that was answered a moment ago is ignored."""
        request = self.requests.get(request_id)
        if request is None or request.concluded:
            return
        request.concluded = True
        if request.attempts:
            self._cancel(request, call_balancer(self.balancer.client_disconnected, request))
        self._close(request)

    def endpoints_changed(self, now: int, entries: list[list[Any]], list_kind: str) -> None:
        """Pass a new endpoint list on, or note that the poll or the watch failed."""
        was_polling = self.poll_in_progress
        self.poll_in_progress = was_polling and list_kind == LIST_ANSWERS_POLL
        if list_kind == LIST_FAILED:
            if self.poll_backoff:
                self.poll_backoff.record_failure(now)
            return
        if was_polling and list_kind != LIST_ANSWERS_POLL and self.poll_backoff:
            self.poll_backoff.failures = 0  # the watch works
        servers = [self._server(*entry) for entry in entries]
        call_balancer(self.balancer.update_endpoints, servers, list_kind != LIST_IS_DELTA, now)

    def gossip_received(self, now: int, sender: object, datagram: str, *_: object) -> None:
        """Pass a peer's datagram on; it comes in base64."""
        call_balancer(self.balancer.receive_gossip, b64decode(datagram), now)

    def ignore(self, now: int, *_: object) -> None:
        """Do nothing on an event that only ends a wait."""

    def batch_ended(self, now: int) -> None:
        """Do what is due now, and set a timer for what is due next."""
        while True:
            wakeup = call_balancer(self.balancer.next_wakeup, now)
            if not wakeup.due:
                break
            for action in wakeup.due:
                self._act(action, now)
        delay = self._poll_if_due(now, wakeup.delay)
        if delay is not None:
            self._set_timer(now, max(delay, MIN_TIMER_US))

    # Actions.

    def _poll_if_due(self, now: int, delay: int | None) -> int | None:
        """Poll the endpoint list if it is time; return the microseconds until anything is due."""
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
        """Set a timer, unless one is set that is due no later."""
        due_at = now + delay
        if self.timer_at is None or due_at < self.timer_at or self.timer_at <= now:
            self.timer_at = due_at
            self.actions.append([SET_TIMER, self.name, delay * NANOSECONDS_PER_MICROSECOND, due_at])

    def _act(self, action: Request | SendGossip | CloseIdleConnections, now: int) -> None:
        match action:
            case SendGossip(peer, datagram):
                self.actions.append([SEND_GOSSIP, self.name, peer, b64encode(datagram).decode()])
            case CloseIdleConnections(server):
                self.actions.append([CLOSE_IDLE_CONNECTIONS, self.name, server.name])
            case request:
                self._apply_decision(request, call_balancer(self.balancer.route, request, now))

    def _apply_decision(self, request: Request, decision: Decision) -> None:
        """Add the action that a decision asks for."""
        request_id = self.request_ids.get(request)
        match decision:
            case Send(server, timeout_at):
                timeout = timeout_at * NANOSECONDS_PER_MICROSECOND
                self.actions.append([SEND, self.name, request_id, timeout, server.name])
            case Reject(retry_after):
                pause = retry_after * NANOSECONDS_PER_MICROSECOND
                self.actions.append([REJECT, self.name, request_id, pause])
                self._close(request)
            case Fail():
                self.actions.append([FAIL, self.name, request_id])
                self._close(request)
            case Done():
                self._close(request)

    def _close(self, request: Request) -> None:
        """Conclude a request, and forget it unless an attempt has no outcome yet."""
        request.concluded = True
        if all(attempt.outcome is not None for attempt in request.attempts):
            if request in self.request_ids:
                del self.requests[self.request_ids.pop(request)]

    def _cancel(self, request: Request, attempts: list[Attempt]) -> None:
        for attempt in attempts:
            number = request.attempts.index(attempt)
            self.actions.append([CANCEL, self.name, self.request_ids[request], number])

    def _server(
        self,
        kind: str,
        name: str,
        weight: float | None,
        cell: int | None,
        state_word: str,
        zone: str | None,
        started_at: int | None,
        *_: object,
    ) -> Server:
        """Return the server that an entry of an endpoint list describes; null says nothing."""
        return Server(
            name,
            self.settings.kinds.get(kind, UNKNOWN_KIND),
            weight or 0.0,
            zone or "",
            cell or 0,
            STATE_OF_WORD[state_word],
            microseconds(started_at),
        )
