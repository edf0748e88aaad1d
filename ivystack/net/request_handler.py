"""Handling of active requests: every call to the balancer that concerns a request is made here.

The balancer decides and the handler carries out its decisions.  Each request gets at most one answer, and an
exception raised by the balancer ends only the request for which the balancer was called.
"""

from __future__ import annotations

from collections.abc import Callable
from typing import cast

import orjson
from loguru import logger

from ..model import (
    Attempt,
    CloseIdleConnections,
    Decision,
    Done,
    Fail,
    Idempotency,
    Outcome,
    OutcomeDecision,
    Reject,
    Request,
    Send,
    SendGossip,
    Server,
    Wait,
    usable_figures,
)
from ..configuration.instance import InstanceConfiguration
from ..balancing.retry_policy import possibly_executed
from .abandoned_ids import AbandonedIds
from .active_request import ActiveRequest
from .client_server import ClientRequest
from .deadlines import DeadlineQueue
from .due_decisions import DueAction, DueDecisions, EndedAttempt
from .endpoint_gate import EndpointGate
from .gossip_socket import GossipSocket
from .held_requests import HeldRequests
from .in_flight_attempt import InFlightAttempt
from .long_writes import MAX_TRANSFER_US, LongWrites
from .reply import Failed, Rejected, Reply, Value, rejected
from .resp import MAX_ARGUMENT
from .server_pools import ServerPools
from .slot_table import SlotTable
from .streams import ResponseStream
from .trace import trace

ANSWER_GRACE_US = 2_000  # from a request's deadline until it fails; the balancer can act before that
CLIENT_CHECK_AGE_US = 20_000  # age of a request from which its client is checked before each attempt
MICROSECONDS_PER_MILLISECOND = 1_000


class RequestHandler:
    """Admits requests, carries out the balancer's decisions on them, and answers the clients.

    `connect` must be called before any other method.
    """

    server_pools: ServerPools
    gossip: GossipSocket
    gate: EndpointGate  # whether the endpoint list is as new as it has to be

    def __init__(
        self, settings: InstanceConfiguration, deadlines: DeadlineQueue, now: Callable[[], int]
    ) -> None:
        self.settings, self.balancer = settings, settings.balancer
        self.deadlines, self.now = deadlines, now
        self.requests: SlotTable[ActiveRequest] = SlotTable()
        self.active: dict[Request, ActiveRequest] = {}  # the same requests as in `requests`
        self.in_flight: dict[Attempt, InFlightAttempt] = {}
        # Microseconds: the time by which all requests must be answered, once the process is terminating.
        self.answer_by: int | None = None
        self.long_writes = LongWrites(self)
        self.abandoned_ids = AbandonedIds()
        self.due = DueDecisions(self.balancer, deadlines, now, self.record_outcome, self._run_action)
        self.held = HeldRequests(
            deadlines,
            now,
            self.decide,
            self.give_up,
            lambda request: self.balancer.retry_policy.answer_deadline(request),
            self.due.run,
        )

    def connect(self, server_pools: ServerPools, gossip: GossipSocket, gate: EndpointGate) -> None:
        """Set the server pools that send attempts, the socket that sends gossip, and when attempts may go."""
        self.server_pools, self.gossip, self.gate = server_pools, gossip, gate

    def latest_deadline(self) -> int:
        """Return the latest deadline of the active requests in microseconds, or 0 if there are none."""
        return max((active.request.deadline for active in self.active.values()), default=0)

    # Clients.

    def admit(self, client_request: ClientRequest) -> int:
        """Add a request to the table and return its slot, before the balancer decides on the request."""
        now, upload, timeout = self.now(), client_request.upload, client_request.timeout
        if self.answer_by is not None:
            timeout = max(0, min(timeout, self.answer_by - now))
        # The balancer learns when a long write has arrived from `LongWrites.sent`.
        arrives_at = now if upload is None else now + MAX_TRANSFER_US
        request = Request(
            client_request.request_class,
            arrives_at,
            arrives_at + timeout,
            client_request.key,
            client_request.tenant,
            client_request.is_write,
            client_request.is_client_retry,
        )
        active = ActiveRequest(
            request,
            client_request.frame,
            client_request.reply,
            upload,
            now,
            timeout,
            client_request.is_connected,
        )
        if upload is not None:
            self.long_writes.admit(active, upload)
        active.slot = self.requests.add(active)
        self.active[request] = active
        self.start_answer_deadline(active)
        return active.slot

    def begin(self, slot: int) -> None:
        """Have the balancer decide on an admitted request, whose answer deadline stays even if this fails."""
        active = self.requests[slot]
        request = active.request
        try:
            self.decide(request, request.arrived_at if active.upload is None else self.now())
            self.due.run()
        except Exception:  # must not affect the client's connection and its other requests
            logger.exception("request could not be started; answering it as failed")
            self.answer(request, Failed())

    def abandon(self, slots: list[int]) -> None:
        """Drop the requests in these slots, whose client has disconnected.

        All of them are closed first, because cancelling the attempts of one request runs what is due, which
        must not forward any of the others.
        """
        abandoned = [self.requests[slot] for slot in slots]
        for active in abandoned:
            self._close(active)
        for request in (active.request for active in abandoned if active.request.attempts):
            try:
                attempts = self.balancer.client_disconnected(request)
            except Exception:
                logger.exception("balancer.client_disconnected raised an exception; cancelling the attempts")
                attempts = request.outstanding()
            self.cancel(attempts)
        self.due.run()
        for active in abandoned:
            self._remember_abandoned(active)

    def _remember_abandoned(self, active: ActiveRequest) -> None:
        request = active.request
        has_effect = request.request_class.idempotency is not Idempotency.IDEMPOTENT
        if has_effect and possibly_executed(request):
            self.abandoned_ids.record(active.frame.request_id, self.now())

    def was_abandoned(self, request_id: bytes) -> bool:
        """Return whether a request may have had its effect under this id before its client left."""
        return self.abandoned_ids.contains(request_id, self.now)

    def answer(self, request: Request, reply: Reply) -> None:
        """Give a request its final answer; do nothing if the request is no longer active."""
        active = self.active.get(request)
        if active is not None:
            if trace.enabled:
                self._trace_answer(active, reply)
            self._close(active)
            active.reply(reply)

    def client_is_waiting(self, request: Request) -> bool:
        """Return whether the request's client is still connected.

        Attempts that are sent in a later reactor turn than the one that read the request need this check:
        after a stall, the client's hang-up may be unread, behind the input that is being processed.
        """
        if len(request.attempts) <= 1 and self.now() - request.arrived_at < CLIENT_CHECK_AGE_US:
            return True
        active = self.active.get(request)
        # The check may read the client's hang-up, and so abandon the request.
        return active is not None and active.is_connected() and request in self.active

    def start_answer_deadline(self, active: ActiveRequest) -> None:
        """Schedule the request's failure, so that it is answered even if the balancer loses track of it."""
        if active.answer_deadline is not None:
            active.answer_deadline.cancel()
        due_at = self._latest_answer(active) + ANSWER_GRACE_US
        active.answer_deadline = self.deadlines.call_at(due_at, self._answer_deadline_expired, active)

    def _latest_answer(self, active: ActiveRequest) -> int:
        """Return the time by which a request must be answered; that of a long write may move on."""
        if active.upload is None or active.upload.sent:
            return active.request.deadline
        return self.long_writes.deadline(active, active.upload)

    def _answer_deadline_expired(self, active: ActiveRequest) -> None:
        request = active.request
        if self._latest_answer(active) > self.now():
            self.start_answer_deadline(active)
        elif active.upload is not None and not active.upload.sent:
            self.long_writes.timed_out(active)
        else:
            self.answer(request, Failed())
            self.cancel([attempt for attempt in request.attempts if attempt in self.in_flight])

    def _close(self, active: ActiveRequest) -> None:
        active.request.concluded = True
        active.cancel_deadlines()
        self.held.discard(active.request)
        del self.active[active.request]
        self.requests.remove(active.slot)

    def _trace_answer(self, active: ActiveRequest, reply: Reply) -> None:
        """Log the request's answer and the outcomes of its attempts."""
        attempts = active.request.attempts
        outcomes = ",".join(str(attempt.outcome or "in-flight") for attempt in attempts) or "none"
        fields: dict[str, object] = {
            "answer": type(reply).__name__.lower(),
            "after_ms": (self.now() - active.request.arrived_at) // MICROSECONDS_PER_MILLISECOND,
            "attempts": outcomes,
        }
        if isinstance(reply, Rejected):
            fields["retry_after_ms"] = reply.retry_after_ms
        trace.step(active.frame.request_id, "answered", **fields)

    # Decisions.

    def decide(self, request: Request, now: int) -> None:
        """Have the balancer route a request, and apply the decision; hold the request if none may be made."""
        if not self.gate.allows_attempts():
            self._hold(request)
            return
        decision: Decision
        try:
            decision = self.balancer.route(request, now)
        except Exception:  # not rejected, because it is unknown whether an attempt was executed
            logger.exception("balancer.route raised an exception; answering the request as failed")
            decision = Fail()
        self.apply_decision(request, decision)

    def _hold(self, request: Request) -> None:
        if trace.enabled and request in self.active:
            trace.step(self.active[request].frame.request_id, "held", generation=self.gate.generation)
        self.held.add(request)

    def give_up(self, request: Request) -> None:
        """Answer a request that can't be sent in its time, as rejected unless an attempt may have run."""
        self.apply_decision(request, self.balancer.retry_policy.give_up(request))

    def apply_decision(self, request: Request, decision: Decision) -> None:
        """Carry out a decision for a request."""
        match decision:
            case Send() if not self.client_is_waiting(request):
                self.due.add_outcome(EndedAttempt(request.attempts[-1], Outcome.NOT_SENT, {}, False))
                self.due.run()
            case Send(server, timeout_at):
                self.send(request, server, timeout_at)
            case Wait():
                self.long_writes.start_placement_timeout(self.active.get(request))
            case Reject(retry_after):
                self.answer(request, rejected(retry_after))
            case Fail():
                self.answer(request, Failed())
            case Done() if request in self.active:
                logger.error("balancer dropped a request that has no answer; answering it as failed")
                self.answer(request, Failed())

    def send(self, request: Request, server: Server, timeout_at: int) -> None:
        """Send the request's last attempt to a server, which must answer by `timeout_at` (microseconds)."""
        attempt, active = request.attempts[-1], self.active[request]
        if active.placement_deadline is not None:
            active.placement_deadline.cancel()
        in_flight = self.in_flight[attempt] = InFlightAttempt(attempt, active.frame, active.upload)
        if trace.enabled:
            number = len(request.attempts)
            left_ms = (timeout_at - self.now()) // MICROSECONDS_PER_MILLISECOND
            trace.step(
                active.frame.request_id, "attempt", number=number, server=server.name, left_ms=left_ms,
                generation=self.gate.generation,
            )  # fmt: skip
        self.server_pools.send(in_flight, server.name, timeout_at)

    def cancel(self, attempts: list[Attempt]) -> None:
        """Cancel the attempts that are still in flight."""
        for attempt in attempts:
            if attempt in self.in_flight:
                self.server_pools.endings.cancel(self.in_flight[attempt])

    # Outcomes.

    def attempt_ended(
        self, in_flight: InFlightAttempt, outcome: Outcome, value: bytes | ResponseStream | None
    ) -> None:
        """Handle the end of an attempt; if the attempt succeeded, answer the client before all else."""
        del self.in_flight[in_flight.attempt]
        if outcome == Outcome.SUCCEEDED:
            self.answer(in_flight.attempt.request, Value(cast("bytes | ResponseStream", value)))
        load = self._usable_load(in_flight.load_report)
        self.due.add_outcome(EndedAttempt(in_flight.attempt, outcome, load, in_flight.cache_hit))
        self.due.run()

    def record_outcome(self, ended: EndedAttempt) -> None:
        """Notify the balancer of an attempt's outcome, and carry out the decision that follows."""
        request = ended.attempt.request
        try:
            follow_up = self.balancer.record_outcome(
                ended.attempt, ended.outcome, self.now(), ended.load, ended.cache_hit
            )
        except Exception:
            logger.exception("balancer.record_outcome raised an exception; answering the request as failed")
            in_flight = [attempt for attempt in request.attempts if attempt in self.in_flight]
            follow_up = OutcomeDecision(Fail(), in_flight)
        self.cancel(follow_up.cancel)
        if not request.concluded and follow_up.decision != Done():
            self.apply_decision(request, follow_up.decision)

    def receive_gossip(self, datagram: bytes) -> None:
        """Pass on a datagram; it may be malformed, as a non-peer may have taken over a peer's address."""
        try:
            self.balancer.receive_gossip(datagram, self.now())
        except Exception:
            logger.exception("balancer.receive_gossip raised an exception; gossip datagram dropped")
        self.due.run()

    def _usable_load(self, report: bytes | None) -> dict[str, float]:
        """Return the usable figures of a server's load report; return none if it can't be parsed."""
        if not self.settings.columns or not isinstance(report, bytes) or len(report) > MAX_ARGUMENT:
            return {}
        try:
            return usable_figures(orjson.loads(report), self.settings.columns)
        except (ValueError, AttributeError):  # not JSON, or not an object
            return {}

    def _run_action(self, action: DueAction, now: int) -> None:
        match action:
            case SendGossip(peer, datagram):
                self.gossip.send(peer, datagram)
            case CloseIdleConnections(server):
                self.server_pools.release(server.name)
            case request:
                self.decide(request, now)
