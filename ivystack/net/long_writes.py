"""Time limits of long writes, whose value is forwarded while it arrives.

A client's timeout counts from the last byte that it writes.  Until that byte is read, nobody but the client
knows when it was written: it may lie in the kernels' buffers while the server accepts no data.  So the
timeout runs from the header on, except while the proxy waits for the client with nothing left to be read.
"""

from __future__ import annotations

from typing import TYPE_CHECKING, cast

from ..model import Request
from .active_request import ActiveRequest
from .reply import Failed, rejected
from .streams import RequestStream

if TYPE_CHECKING:
    from .request_handler import RequestHandler

MAX_TRANSFER_US = 60_000_000  # to receive a long write from a client that takes its time
PLACEMENT_TIMEOUT_DIVISOR = 8  # a long write waits for a server for 1/8 of its timeout at most
MICROSECONDS_PER_MILLISECOND = 1_000


class LongWrites:
    """Starts and enforces the time limits of long writes."""

    def __init__(self, handler: RequestHandler) -> None:
        self.handler = handler

    def admit(self, active: ActiveRequest, upload: RequestStream) -> None:
        """Connect an admitted request with the stream of its value."""
        request, handler = active.request, self.handler
        upload.request, upload.on_sent = request, self.sent
        server_timeout = handler.balancer.retry_policy.answer_deadline(request) - request.arrived_at
        upload.server_timeout_ms = max(1, server_timeout // MICROSECONDS_PER_MILLISECOND)

    def deadline(self, active: ActiveRequest, upload: RequestStream) -> int:
        """Return the time by which a long write must be answered, as far as it is known now."""
        waited = min(upload.clock.waited(self.handler.now()), MAX_TRANSFER_US)
        deadline = active.admitted_at + active.client_timeout + waited
        answer_by = self.handler.answer_by
        return deadline if answer_by is None else min(deadline, answer_by)

    def sent(self, upload: RequestStream) -> None:
        """Set the timeouts of a long write, which the server can execute once its last byte was sent."""
        handler = self.handler
        active = None if upload.request is None else handler.active.get(upload.request)
        if active is None:
            return
        request = active.request
        request.deadline = self.deadline(active, upload)
        request.arrived_at = request.deadline - active.client_timeout
        attempt = request.attempts[-1]
        attempt.sent_at = handler.now()
        attempt.timeout_at = handler.balancer.retry_policy.answer_deadline(request)
        in_flight = handler.in_flight[attempt]
        assert in_flight.connection is not None
        in_flight.end_position = in_flight.connection.bytes_written
        handler.server_pools.endings.restart_timeout(in_flight, attempt.timeout_at)
        handler.start_answer_deadline(active)

    def aborted(self, upload: RequestStream) -> None:
        """Fail a long write that will never be complete."""
        request = cast(Request, upload.request)  # set when the request was admitted
        self.handler.answer(request, Failed())
        self.handler.cancel(request.outstanding())

    def timed_out(self, active: ActiveRequest) -> None:
        """Reject a long write whose last byte was not sent, so that no server can have begun it."""
        handler = self.handler
        handler.answer(active.request, rejected(handler.balancer.parameters.retry_after))
        for attempt in active.request.outstanding():
            if attempt in handler.in_flight:
                handler.server_pools.endings.time_out(handler.in_flight[attempt])

    def start_placement_timeout(self, active: ActiveRequest | None) -> None:
        """Limit the time for which a long write waits for a server.

        The balancer limits the wait of other requests.  It can't do so for a long write, whose timeout it
        knows only once the last byte was sent.
        """
        if active is None or active.upload is None or active.upload.sent or active.request.partly_sent:
            return
        if active.placement_deadline is None or not active.placement_deadline.is_pending:
            due_at = self.handler.now() + active.client_timeout // PLACEMENT_TIMEOUT_DIVISOR
            active.placement_deadline = self.handler.deadlines.call_at(
                due_at, self._placement_timed_out, active
            )

    def _placement_timed_out(self, active: ActiveRequest) -> None:
        """Reject a long write, unless an attempt is in flight."""
        if all(attempt.outcome for attempt in active.request.attempts):
            self.handler.answer(active.request, rejected(self.handler.balancer.parameters.retry_after))
