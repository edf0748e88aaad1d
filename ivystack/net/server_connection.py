"""A connection to a cache server: its state, the attempts on it, and what their answers prove."""

from __future__ import annotations

import enum
from collections import deque
from collections.abc import Callable
from typing import TYPE_CHECKING, Any

from loguru import logger
from twisted.internet.error import ConnectBindError
from twisted.internet.interfaces import IAddress, IConnector
from twisted.internet.protocol import ClientFactory, connectionDone
from twisted.python.failure import Failure

from ..model import Idempotency, Outcome
from .deadlines import Deadline
from .in_flight_attempt import InFlightAttempt
from .resp import MAX_BUFFERED_VALUE, MAX_VALUE, RespProtocol, disable_nagle
from .response_outcome import ANSWER_PARTS, EXPECTED_ERROR, outcome_of_response
from .streams import ResponseStream
from .trace import trace

if TYPE_CHECKING:
    from .server_pool import ServerPool
    from .server_pools import ServerPools

MICROSECONDS_PER_MILLISECOND = 1_000
DUPLICATE_VALUE_WINDOW = 5_000  # microseconds: two equal values so close are one and its duplicate
# Microseconds: so soon after another a -BUSY may be that one's duplicate, which comes some milliseconds late.
DUPLICATE_BUSY_WINDOW = 100_000
LOAD_REPORT_PART = 2  # of an answer, the only part that may be an array
VALUE_OUTCOMES = frozenset([Outcome.SUCCEEDED, Outcome.CACHE_MISS])
OTHER_SIDE = "node"  # in the end codes `node-closed` and `node-reset`


class ConnectionState(enum.Enum):
    """The states of a connection, in the order in which it can go through them.

    IDLE and BUSY alternate.
    """

    CONNECTING = "connecting"
    IDLE = "idle"  # kept for the next attempt
    BUSY = "busy"  # attempts are on it, or what came behind their last answer is still to be read
    CLOSING = "closing"  # told to close, or aborted
    CLOSED = "closed"


class ServerConnection(RespProtocol):
    """A connection whose answers come in the order of the attempts on it."""

    STALL_TIMEOUT = 10_000_000  # microseconds without a byte of a long value: servers take seconds for one
    transport: Any  # Twisted's TCP client; its write buffer is looked into
    max_value_size = MAX_VALUE
    first_array_index = LOAD_REPORT_PART

    def __init__(self, pools: ServerPools, pool: ServerPool) -> None:
        super().__init__()
        self.pools, self.pool = pools, pool
        self.state = ConnectionState.CONNECTING
        self.in_flight: deque[InFlightAttempt] = deque()  # in order; ended already where nobody waits
        self.deadline: Deadline | None = None  # for connecting, being idle, or an abandoned answer
        self.attempts_sent = 0
        self.answers = 0
        self.reading = False  # more may lie behind the answer just read
        self.last_value = (0, 0)  # the hash of the value that came last, or a long one's size; and when
        self.busy_at = -DUPLICATE_BUSY_WINDOW  # when it last rejected an attempt
        self.relay: ResponseStream | None = None  # the long value that is being forwarded
        self.bytes_written = 0  # to the transport, for attempts
        self.slot = pools.connections.add(self)

    # State.

    @property
    def is_connected(self) -> bool:
        """Whether the connection is established, even if it is about to close."""
        return self.state not in (ConnectionState.CONNECTING, ConnectionState.CLOSED)

    @property
    def accepts_attempts(self) -> bool:
        """Whether it is established and not closing."""
        return self.state is ConnectionState.IDLE or self.state is ConnectionState.BUSY

    @property
    def has_abandoned_attempts(self) -> bool:
        """Whether an answer is due that nobody waits for, or that is being forwarded already."""
        for in_flight in self.in_flight:  # asked for each answer: a loop, not a generator
            if in_flight.has_ended:
                return True
        return False

    @property
    def only_abandoned_attempts(self) -> bool:
        """Whether nobody waits for any of the answers that are due."""
        return all(in_flight.has_ended for in_flight in self.in_flight)

    @property
    def was_kept_alive(self) -> bool:
        """Whether its end tells nothing of the server: it has served before, and is the first to end so."""
        return self.pool.consecutive_losses == 1 and self.answers > 0

    def mark_idle(self) -> None:
        """Note that the pool keeps it for the next attempt; one that is closing stays so."""
        if self.state is ConnectionState.BUSY:
            self.state = ConnectionState.IDLE

    def mark_busy(self) -> None:
        """Note that the pool has taken it from the idle ones; one that is closing stays so."""
        if self.state is ConnectionState.IDLE:
            self.state = ConnectionState.BUSY

    def mark_stopping(self) -> None:
        """Note, for the log, that the process ends it; one that is being opened stays in that state."""
        self.code = self.code or "stopping"
        if self.state is not ConnectionState.CONNECTING:
            self.state = ConnectionState.CLOSING

    def close(self, code: str) -> None:
        """Close it once what was written has been sent."""
        super().close(code)
        self.state = ConnectionState.CLOSING

    def abort(self, code: str) -> None:
        """Abort it at once; a long value that is being forwarded breaks off."""
        super().abort(code)
        self.state = ConnectionState.CLOSING
        self._break_relay()

    def cancel_deadline(self) -> None:
        """Cancel its present timeout, if there is one."""
        if self.deadline is not None:
            self.deadline.cancel()

    def can_pipeline(self, max_in_flight: int) -> bool:
        """Whether one more attempt can go behind those on it, none of which has been abandoned."""
        if not self.accepts_attempts or self.reading or len(self.in_flight) >= max_in_flight:
            return False
        return not any(other.has_ended or other.has_unsent_bytes() for other in self.in_flight)

    # Writing.

    def send_attempt(self, in_flight: InFlightAttempt) -> None:
        """Write an attempt behind those on it, with the time that is left for it."""
        in_flight.connection = self
        attempt, frame = in_flight.attempt, in_flight.frame
        attempt.first_on_connection = not self.attempts_sent  # a -BUSY then is of the server's table
        self.in_flight.append(in_flight)
        self.attempts_sent += 1
        timeout_ms = max(1, (attempt.timeout_at - self.pools.now()) // MICROSECONDS_PER_MILLISECOND)
        if trace.enabled:
            server, slot = self.pool.name, self.slot
            trace.step(frame.request_id, "sent", server=server, connection=slot, timeout_ms=timeout_ms)
        if in_flight.upload is not None:
            self.send(frame.encode(in_flight.upload.server_timeout_ms))
            in_flight.upload.send_to(self)
            return
        self.send(frame.encode(timeout_ms))
        in_flight.end_position = self.bytes_written

    def send(self, parts: list[bytes]) -> None:
        """Write at once, not in the reactor's next turn: what is decided there may end the attempt."""
        self.bytes_written += sum(map(len, parts))
        self.transport.writeSequence(parts)
        self.transport.doWrite()

    def bytes_sent(self) -> int:
        """Return how many of the bytes written for attempts were handed to the kernel."""
        transport = self.transport
        buffered = len(transport.dataBuffer) - transport.offset + transport._tempDataLen
        return self.bytes_written - buffered

    # The protocol's events.

    def connectionMade(self) -> None:  # noqa: N802, D102
        self.state = ConnectionState.BUSY if self.code is None else ConnectionState.CLOSING
        disable_nagle(self.transport)
        self.pools.connection_made(self)

    def dataReceived(self, data: bytes) -> None:  # noqa: N802, D102
        self.reading = True
        super().dataReceived(data)
        self.reading = False
        if self.code is None:
            self._finish_reading()

    def connectionLost(self, reason: Failure = connectionDone) -> None:  # noqa: N802, D102
        self._break_relay()
        self.pools.connection_lost(self, self.end_code(reason, OTHER_SIDE))

    def stream_started(self, size: int) -> Callable[[bytes], None] | None:
        """Take the start of a long value; return what takes its pieces, None where the connection fails."""
        if self.open_arrays != [([], ANSWER_PARTS)]:
            self.fail_protocol("too long")
            return None
        return self._begin_relay(size)

    def element_received(self, element: Any) -> None:
        """Take a part of an answer.

        A load report that never comes whole must not keep the end of a long value from the client.
        """
        super().element_received(element)
        report_is_next = bool(self.open_arrays) and len(self.open_arrays[0].elements) == LOAD_REPORT_PART
        if self.relay and report_is_next and self._value_is_complete():
            self.relay.complete()

    def fail_protocol(self, why: str) -> None:
        """Fail the connection, but use a value that came whole: only its load report is bad."""
        report_is_next = bool(self.open_arrays) and len(self.open_arrays[0].elements) == LOAD_REPORT_PART
        if self.in_flight and report_is_next and self._value_is_complete():
            self.value_received([*self.open_arrays[0].elements, None])
        self.fail(why)

    def value_received(self, value: Any) -> None:
        """Take an answer: the oldest attempt has its outcome."""
        if not self.in_flight:
            self.abort("strange: an answer to nothing")
            return
        outcome = outcome_of_response(value, self.pools.cache_aside)
        if outcome is None:
            self.fail(f"{value!r:.40}")
            return
        if self.relay is not None:
            self._finish_relay(self.relay)
        elif outcome is Outcome.SUCCEEDED:
            if self._is_duplicate(hash(value[0])):
                self.fail("a second copy")
                return
        elif outcome in (Outcome.ERROR, Outcome.INVALID_REQUEST) and value != EXPECTED_ERROR:
            logger.warning("server {}: unexpected answer {!r:.80}", self.pool.name, value)
        self._finish_oldest(outcome, value)

    def fail(self, why: str) -> None:
        """Abort the connection after something that is no answer.

        The attempt it came for has failed and may have run.  Those behind it get no answer any more; that is
        held against the server once, not once for each.
        """
        self.abort(f"strange: {why}")
        self.pools.finish_all(self, Outcome.ERROR)

    # Answers.

    def _value_is_complete(self) -> bool:
        """Whether the answer being read has all but its load report, and is one with a value."""
        return outcome_of_response([*self.open_arrays[0].elements, None]) is Outcome.SUCCEEDED

    def _is_duplicate(self, fingerprint: int) -> bool:
        """Note a value; return whether it is a duplicate of the one before, which crossed this attempt."""
        now = self.pools.now()
        (last_fingerprint, last_at), self.last_value = self.last_value, (fingerprint, now)
        return last_fingerprint == fingerprint and now - last_at < DUPLICATE_VALUE_WINDOW

    def _may_be_duplicate_busy(self, in_flight: InFlightAttempt) -> bool:
        """Note a -BUSY; return whether it proves nothing of the attempt that it came for.

        It may be a duplicate of the one before: a duplicate can't be recognized.
        """
        last_at, self.busy_at = self.busy_at, self.pools.now()
        is_close = self.busy_at - last_at < DUPLICATE_BUSY_WINDOW
        return is_close and in_flight.attempt.request.request_class.idempotency != Idempotency.IDEMPOTENT

    def _finish_oldest(self, outcome: Outcome, value: Any) -> None:
        in_flight = self.in_flight.popleft()
        if outcome is Outcome.OVERLOADED and self._may_be_duplicate_busy(in_flight):
            outcome = Outcome.CANCELLED
        self.answers += 1
        self.pool.consecutive_losses = 0
        is_early = in_flight.has_unsent_bytes()
        if not self.has_abandoned_attempts:
            self.cancel_deadline()
        if outcome in VALUE_OUTCOMES:
            in_flight.load_report, in_flight.cache_hit = value[2], value[1] in ("hit", b"hit")
        if not in_flight.has_ended:
            if is_early and outcome in VALUE_OUTCOMES:
                outcome = Outcome.ERROR  # it answers what it has not seen whole
            self.pools.finish(in_flight, outcome, value[0] if outcome is Outcome.SUCCEEDED else None)
        if is_early:
            self.abort("early: an answer to half a write")

    def _finish_reading(self) -> None:
        """All that came has been read: only now may it carry the next attempt.

        Surplus bytes would be taken for the next attempt's answer.
        """
        if self.in_flight:
            return
        if not self.at_message_boundary():
            self.abort("strange: more than an answer")
        elif self.state is not ConnectionState.IDLE:
            self.pools.reuse(self)

    # Long values.

    def _begin_relay(self, size: int) -> Callable[[bytes], None] | None:
        """Take the start of a long value: it satisfies its request, whose client gets it as it comes."""
        if not self.in_flight:
            self.abort("strange: an answer to nothing")
            return None
        last_size, last_at = self.last_value
        if last_size == size and self.pools.now() - last_at < DUPLICATE_VALUE_WINDOW:
            self.fail("a second copy")
            return None
        in_flight = self.in_flight[0]
        if in_flight.has_ended:
            return _discard
        relay = self.relay = ResponseStream(self, size, self.pools.relay_window())
        self.pools.relays[self] = relay
        self.pool.consecutive_losses = 0
        self.pools.finish(in_flight, Outcome.SUCCEEDED, relay)
        self._check_stalled(relay, -1)
        return relay.piece_received

    def _finish_relay(self, relay: ResponseStream) -> None:
        self.pools.relays.pop(self, None)
        self.relay = None
        self.transport.bufferSize = MAX_BUFFERED_VALUE
        self.last_value = relay.size, self.pools.now()
        relay.complete()

    def _break_relay(self) -> None:
        relay, self.relay = self.relay, None
        if relay is not None:
            relay.fail()

    def _check_stalled(self, relay: ResponseStream, passed_before: int) -> None:
        """Drop a server that says nothing more in the middle of a long value.

        A client that takes nothing is its own connection's matter.
        """
        if self.relay is not relay or relay.ended:
            return
        if passed_before == relay.received_bytes and not self.paused:
            self.abort("stalled")
            return
        check_at = self.pools.now() + self.STALL_TIMEOUT
        self.pools.deadlines.call_at(check_at, self._check_stalled, relay, relay.received_bytes)

    def relay_abandoned(self) -> None:
        """Drop the connection if the client of a long value has gone and too much of it is still to come."""
        bytes_left = self.relay.size - self.relay.received_bytes if self.relay else 0
        if bytes_left > self.pools.MAX_DISCARDED_BYTES and self.only_abandoned_attempts:
            self.abort("called-off")


def _discard(piece: bytes) -> None:
    """Take a piece of a long value that nobody wants."""


class ConnectionFactory(ClientFactory):
    """Makes the one connection that a connector was asked for."""

    noisy = False

    def __init__(self, connection: ServerConnection) -> None:
        self.connection = connection

    def buildProtocol(self, addr: IAddress | None) -> ServerConnection:  # noqa: N802, D102
        return self.connection

    def clientConnectionFailed(self, connector: IConnector, reason: Failure) -> None:  # noqa: N802, D102
        lacks_descriptor = reason.check(ConnectBindError)
        code = "no-descriptor" if lacks_descriptor else f"refused: {type(reason.value).__name__}"
        self.connection.pools.connection_lost(self.connection, self.connection.code or code)
