"""How attempts end: by an answer, a timeout, a cancellation, or the loss of their connection."""

from __future__ import annotations

from typing import TYPE_CHECKING

from ..model import Outcome
from .in_flight_attempt import InFlightAttempt
from .server_connection import ServerConnection
from .streams import ResponseStream
from .trace import trace

if TYPE_CHECKING:
    from .server_pools import ServerPools


class AttemptEndings:
    """Ends the attempts of all pools; each attempt gets exactly one outcome."""

    ABANDONED_TIMEOUT = 1_000_000  # microseconds, enough for most late answers; a hung server sends none

    def __init__(self, pools: ServerPools) -> None:
        self.pools = pools

    def cancel(self, in_flight: InFlightAttempt) -> None:
        """Cancel an attempt whose answer is no longer needed."""
        self._abandon(in_flight, Outcome.CANCELLED)

    def time_out(self, in_flight: InFlightAttempt) -> None:
        """End an attempt whose answer did not come in time."""
        self._abandon(in_flight, Outcome.TIMED_OUT)

    def restart_timeout(self, in_flight: InFlightAttempt, timeout_at: int) -> None:
        """Restart the timeout of an attempt after the last byte of its long write was sent."""
        in_flight.cancel_deadlines()
        in_flight.deadlines = [self.pools.deadlines.call_at(timeout_at, self.time_out, in_flight)]

    def finish(
        self, in_flight: InFlightAttempt, outcome: Outcome, value: bytes | ResponseStream | None = None
    ) -> None:
        """End an attempt with an outcome; ignore any later one."""
        if in_flight.has_ended:
            return
        in_flight.has_ended = True
        connection = in_flight.connection
        if trace.enabled and in_flight.frame is not None:
            slot = connection.slot if connection else "none"
            server = in_flight.pool.name
            trace.step(in_flight.frame.request_id, "ended", server=server, connection=slot, outcome=outcome)
        in_flight.cancel_deadlines()
        in_flight.frame = None  # its connection may keep the attempt until its answer has come
        if connection is None:
            in_flight.pool.waiting.remove(in_flight)
        if in_flight.upload is not None and in_flight.has_unsent_bytes():
            in_flight.upload.attempt_failed()
        self.pools.on_outcome(in_flight, outcome, value)

    def finish_all(self, connection: ServerConnection, outcome: Outcome) -> None:
        """End the oldest attempt on a connection with an outcome, and cancel those behind it."""
        for in_flight in [*connection.in_flight]:
            if not in_flight.has_ended:
                self.finish(in_flight, outcome)
                outcome = Outcome.CANCELLED

    def connection_wait_expired(self, in_flight: InFlightAttempt) -> None:
        """End an attempt that still waits for a connection."""
        if in_flight.connection is not None:
            return
        if self.pools.now() >= in_flight.attempt.send_by:
            self.finish(in_flight, Outcome.NOT_SENT)
        elif in_flight.pool.connecting:
            self.finish(in_flight, Outcome.CONNECTION_REFUSED)
        else:  # reported as overload of the server, although this process's connection limit is the cause
            self.finish(in_flight, Outcome.OVERLOADED)

    def _abandon(self, in_flight: InFlightAttempt, outcome: Outcome) -> None:
        """End an attempt whose answer is no longer needed.

        If connections may carry several attempts, the connection stays open up to `ABANDONED_TIMEOUT` to read
        and discard the answer: a new connection would cost the server more, and delay the next request.
        """
        if in_flight.has_ended:
            return
        is_cancelled = outcome is Outcome.CANCELLED
        connection, code = in_flight.connection, "called-off" if is_cancelled else "out-of-time"
        if connection is None or in_flight.has_unsent_bytes():
            # CONNECTION_REFUSED, although the attempt timed out, because it proves that nothing was executed.
            self.finish(in_flight, Outcome.NOT_SENT if is_cancelled else Outcome.CONNECTION_REFUSED)
            if connection is not None:
                connection.abort(code)
            return
        others = [other for other in connection.in_flight if other is not in_flight]
        if self.pools.max_in_flight <= 1 and all(other.has_ended for other in others):
            connection.abort(code)
        elif not any(other.has_ended for other in others):  # else the timeout is already running
            # `max_in_flight` may be 1 here, if the other attempts were sent before a reload lowered it.
            self._await_abandoned(connection, code)
        self.finish(in_flight, outcome)

    def _await_abandoned(self, connection: ServerConnection, code: str) -> None:
        timeout_at = self.pools.now() + self.ABANDONED_TIMEOUT
        connection.deadline = self.pools.deadlines.call_at(
            timeout_at, self._abandoned_timed_out, connection, code
        )

    def _abandoned_timed_out(self, connection: ServerConnection, code: str) -> None:
        """Abort a connection on which only abandoned attempts are left, and close the server's idle ones.

        If the server is silent on one connection, its idle connections are suspect too.
        """
        if connection.long_answer.stream is None and connection.only_abandoned_attempts:
            self.pools.close_idle(connection.pool, "suspect")
            connection.abort(code)
        else:
            self._await_abandoned(connection, code)

    def finish_lost(self, connection: ServerConnection) -> None:
        """End the attempts on a lost connection.

        The loss of a connection that was kept alive is no evidence of a fault of the server, but attempts
        that were sent may have been executed.
        """
        connection.pool.consecutive_losses += 1
        for in_flight in [*connection.in_flight]:
            if in_flight.has_unsent_bytes():  # both outcomes prove that nothing was executed
                kept_alive = connection.was_kept_alive
                self.finish(in_flight, Outcome.NOT_SENT if kept_alive else Outcome.CONNECTION_REFUSED)
        kept_alive = connection.was_kept_alive
        self.finish_all(connection, Outcome.CANCELLED if kept_alive else Outcome.CONNECTION_LOST)
