"""A connection to a cache server: its state, its attempts in flight, and the outcomes of their answers."""

from __future__ import annotations

from collections import deque
from collections.abc import Callable
from typing import TYPE_CHECKING, Any

from loguru import logger
from twisted.internet.protocol import connectionDone
from twisted.python.failure import Failure

from ..model import Outcome
from .deadlines import Deadline
from .in_flight_attempt import InFlightAttempt
from .long_answer import LongAnswer
from .memory_budget import ConnectionMemory, MemoryUse
from .reply_verifier import PING, PONG, Reply, ReplyVerifier, SurplusRepliesError, fingerprint
from .resp import MAX_VALUE, RespProtocol, disable_nagle
from .response_outcome import ANSWER_PARTS, is_unexpected_error, outcome_of_response
from .server_state import ConnectionState
from .trace import trace

if TYPE_CHECKING:
    from .server_pool import ServerPool
    from .server_pools import ServerPools

MICROSECONDS_PER_MILLISECOND = 1_000
LOAD_REPORT_PART = 2  # index in an answer; the load report is the only part that may be an array
VALUE_OUTCOMES = frozenset([Outcome.SUCCEEDED, Outcome.CACHE_MISS])
OTHER_SIDE = "node"  # prefix of the codes `node-closed` and `node-reset` in log lines


class ServerConnection(RespProtocol):
    """A connection to a cache server, which answers attempts in the order in which they were sent."""

    transport: Any  # Twisted's TCP client, whose write buffer `bytes_sent` reads
    max_value_size = MAX_VALUE
    first_array_index = LOAD_REPORT_PART

    def __init__(self, pools: ServerPools, pool: ServerPool) -> None:
        super().__init__()
        self.pools, self.pool = pools, pool
        self.state = ConnectionState.CONNECTING
        self.in_flight: deque[InFlightAttempt] = deque()  # in order of sending; abandoned ones have ended
        self.deadline: Deadline | None = None  # while connecting, idle, or awaiting an abandoned answer
        self.attempts_sent = 0
        self.answers_received = 0
        self.verifier = ReplyVerifier()
        self.long_answer = LongAnswer(self)
        self.bytes_written = 0  # bytes passed to the transport
        self.turn_scheduler = pools.turn_scheduler
        self.memory = ConnectionMemory(pools.memory)
        self.slot = pools.connections.add(self)

    # State.

    @property
    def is_connected(self) -> bool:
        """Whether the connection is established, even if it is closing."""
        return self.state not in (ConnectionState.CONNECTING, ConnectionState.CLOSED)

    @property
    def accepts_attempts(self) -> bool:
        """Whether the connection is established and not closing."""
        return self.state is ConnectionState.IDLE or self.state is ConnectionState.BUSY

    @property
    def has_abandoned_attempts(self) -> bool:
        """Whether an attempt in flight has ended: it was abandoned, or its long value is being forwarded."""
        for in_flight in self.in_flight:  # evaluated for each answer: a loop is faster than a generator
            if in_flight.has_ended:
                return True
        return False

    @property
    def only_abandoned_attempts(self) -> bool:
        """Whether all attempts in flight have ended, so that no answer is needed."""
        return all(in_flight.has_ended for in_flight in self.in_flight)

    @property
    def was_kept_alive(self) -> bool:
        """Whether its loss is no evidence of a fault, as it has served and is the first lost in a row."""
        return self.pool.consecutive_losses == 1 and self.answers_received > 0

    def mark_idle(self) -> None:
        """Record that the pool has queued the connection as idle; a closing one stays closing."""
        if self.state is ConnectionState.BUSY:
            self.state = ConnectionState.IDLE

    def mark_busy(self) -> None:
        """Record that the pool has taken the connection from the idle ones; a closing one stays closing."""
        if self.state is ConnectionState.IDLE:
            self.state = ConnectionState.BUSY

    def mark_finishing(self) -> None:
        """Take no further attempts, as the server has moved or restarted; a closing one stays closing."""
        if self.state is ConnectionState.BUSY:
            self.state = ConnectionState.FINISHING

    def mark_stopping(self) -> None:
        """Record, for the log, that the process stops; a connection being opened keeps its state."""
        self.code = self.code or "stopping"
        if self.state is not ConnectionState.CONNECTING:
            self.state = ConnectionState.CLOSING

    def close(self, code: str) -> None:
        """Close the connection after all written bytes were sent."""
        super().close(code)
        self.state = ConnectionState.CLOSING

    def abort(self, code: str) -> None:
        """Abort the connection at once; a long value that is being forwarded is cut short."""
        super().abort(code)
        self.state = ConnectionState.CLOSING
        self.long_answer.break_off()

    def cancel_deadline(self) -> None:
        """Cancel the current timeout of the connection, if there is one."""
        if self.deadline is not None:
            self.deadline.cancel()

    def can_pipeline(self, max_in_flight: int) -> bool:
        """Return whether another attempt can be sent; none in flight may be abandoned or partly unsent."""
        if not self.accepts_attempts or self.is_reading or len(self.in_flight) >= max_in_flight:
            return False
        if self.verifier.held_count or self.verifier.needs_ping:
            return False
        return not any(other.has_ended or other.has_unsent_bytes() for other in self.in_flight)

    # Writing.

    def send_attempt(self, in_flight: InFlightAttempt) -> None:
        """Write an attempt after those in flight, with the time that remains until its timeout."""
        in_flight.connection = self
        attempt, frame = in_flight.attempt, in_flight.frame
        assert frame is not None
        # A -BUSY for the first attempt on a connection means that the server's connection table is full.
        attempt.first_on_connection = not self.attempts_sent
        self.in_flight.append(in_flight)
        self.attempts_sent += 1
        timeout_ms = max(1, (attempt.timeout_at - self.pools.now()) // MICROSECONDS_PER_MILLISECOND)
        if trace.enabled:
            server, slot = self.pool.name, self.slot
            trace.step(frame.request_id, "sent", server=server, connection=slot, timeout_ms=timeout_ms)
        command = frame.encode(in_flight.upload.server_timeout_ms if in_flight.upload else timeout_ms)
        if self.verifier.needs_ping:
            self.verifier.skip_to_pong()
            command.insert(0, PING)
        self.send(command)
        if in_flight.upload is not None:
            in_flight.upload.send_to(self)
            return
        in_flight.end_position = self.bytes_written

    def send(self, parts: list[bytes]) -> None:
        """Write at once, because an event in the next reactor turn may end the attempt before it is sent."""
        self.bytes_written += sum(map(len, parts))
        self.transport.writeSequence(parts)
        self.transport.doWrite()

    def bytes_sent(self) -> int:
        """Return how many of the bytes written for attempts have reached the kernel."""
        transport = self.transport
        buffered = len(transport.dataBuffer) - transport.offset + transport._tempDataLen
        return self.bytes_written - buffered

    # Reading.

    def resume_reading(self) -> None:
        """Read on, unless the connection waits for its turn or for the client of a long value."""
        if not self.paused or self.input_closed or self in self.pools.turn_scheduler:
            return
        stream = self.long_answer.stream
        if stream is None or not stream.is_blocked:
            self.resume_input()

    # The protocol's events.

    def connectionMade(self) -> None:  # noqa: N802, D102
        self.state = ConnectionState.BUSY if self.code is None else ConnectionState.CLOSING
        disable_nagle(self.transport)
        self.pools.connection_made(self)

    def input_handled(self) -> None:
        """Make the connection available again, unless it is closing or memory is short."""
        if self.memory.input or self.verifier.held_count or not self.at_message_boundary():
            self.memory.set_input(self.buffered_bytes() + self.verifier.held_bytes)
        if self.memory.input and self.pools.memory.available(MemoryUse.COMMITTED) < 0:
            self.abort("no-memory")
            self.pools.endings.finish_all(self, Outcome.CANCELLED)  # no fault of the server
        if self.code is None:
            self._finish_reading()

    def connectionLost(self, reason: Failure = connectionDone) -> None:  # noqa: N802, D102
        self.long_answer.break_off()
        self.pools.connection_lost(self, self.end_code(reason, OTHER_SIDE))

    def stream_started(self, size: int) -> Callable[[bytes], None] | None:
        """Begin a long value and return the receiver of its pieces; None if the connection was aborted."""
        if self.open_arrays != [([], ANSWER_PARTS)]:
            self.fail_protocol("too long")
            return None
        return self.long_answer.begin(size)

    def element_received(self, element: Any) -> None:
        """Handle a part of an answer.

        A long value is completed before its load report, which may never arrive completely.
        """
        super().element_received(element)
        report_is_next = bool(self.open_arrays) and len(self.open_arrays[0].elements) == LOAD_REPORT_PART
        stream = self.long_answer.stream
        if stream and report_is_next and self._value_is_complete():
            candidate = fingerprint(self.open_arrays[0].elements, self.long_answer.checksum)
            if not self.verifier.may_be_copy(candidate):
                stream.complete()

    def fail_protocol(self, why: str) -> None:
        """Abort the connection, but use a complete value if only its load report is malformed."""
        report_is_next = bool(self.open_arrays) and len(self.open_arrays[0].elements) == LOAD_REPORT_PART
        if self.in_flight and report_is_next and self._value_is_complete():
            self.value_received([*self.open_arrays[0].elements, None])
        self.fail(why)

    def value_received(self, value: Any) -> None:
        """Handle a complete reply, which is the answer to the oldest attempt in flight or a copy."""
        reply_fingerprint = fingerprint(value, self.long_answer.checksum)
        if not self.in_flight:
            is_copy = self.verifier.may_be_copy(reply_fingerprint)
            self.abort("strange: a second copy" if is_copy else "strange: an answer to nothing")
            return
        if value == PONG and self.verifier.awaits_pong:
            self._pong_received()
            return
        outcome = outcome_of_response(value, self.pools.cache_aside)
        if outcome is None or (self.verifier.awaits_pong and is_unexpected_error(outcome, value)):
            self.fail(f"{value!r:.40}")
            return
        reply = Reply(outcome, value, reply_fingerprint)
        if self.verifier.is_skipping:
            self._log_duplicate()
        elif self.verifier.held_count:
            self.verifier.hold(reply)
        elif self.verifier.may_be_copy(reply.fingerprint) and not self.in_flight[0].has_unsent_bytes():
            self._hold(reply)
        else:
            self._deliver(reply)

    def fail(self, why: str) -> None:
        """Abort the connection after an invalid answer.

        The oldest attempt gets the outcome ERROR, since it may have been executed.  Those behind it are
        cancelled, so that one invalid answer counts as one failure of the server.
        """
        self.abort(f"strange: {why}")
        self.pools.endings.finish_all(self, Outcome.ERROR)

    # Answers.

    def _value_is_complete(self) -> bool:
        """Return whether the answer being read has a value and lacks only its load report."""
        return outcome_of_response([*self.open_arrays[0].elements, None]) is Outcome.SUCCEEDED

    def _hold(self, reply: Reply) -> None:
        """Hold a reply back that may be a copy, until the server has answered a PING."""
        if any(in_flight.has_unsent_bytes() for in_flight in self.in_flight):
            self.fail("a second copy")  # a PING can't be written within an unfinished command
            return
        self.verifier.hold(reply)
        self.send([PING])

    def _pong_received(self) -> None:
        """Deliver the replies that were held back, without the copies."""
        if self.verifier.is_skipping:
            self.verifier.end_skipping()
            return
        held_count = self.verifier.held_count
        try:
            replies = self.verifier.resolve(len(self.in_flight))
        except SurplusRepliesError:
            self.fail("a second copy")
            return
        if held_count > len(replies):
            self._log_duplicate()
        if not any(reply.is_long for reply in replies):
            self.long_answer.break_off()  # its client can tell that the value is not whole
        for reply in replies:
            self._deliver(reply)

    def _log_duplicate(self) -> None:
        name, slot = self.pool.name, self.slot
        logger.info("server {} sent an answer twice; dropped connection={} code=duplicate-answer", name, slot)

    def _deliver(self, reply: Reply) -> None:
        """End the oldest attempt in flight with the outcome of its answer."""
        self.verifier.record(reply)
        outcome, value = reply.outcome, reply.value
        if self.long_answer.stream is not None:
            self.long_answer.finish()
        elif is_unexpected_error(outcome, value):
            logger.warning("server {} sent an unexpected answer: {!r:.80}", self.pool.name, value)
        self._finish_oldest(outcome, value)

    def _finish_oldest(self, outcome: Outcome, value: Any) -> None:
        in_flight = self.in_flight.popleft()
        self.answers_received += 1
        self.pool.consecutive_losses = 0
        is_early = in_flight.has_unsent_bytes()
        if not self.has_abandoned_attempts:
            self.cancel_deadline()
        if outcome in VALUE_OUTCOMES:
            in_flight.load_report, in_flight.cache_hit = value[2], value[1] in ("hit", b"hit")
        if not in_flight.has_ended:
            if is_early and outcome in VALUE_OUTCOMES:
                outcome = Outcome.ERROR  # the server answered before it received the whole attempt
            self.pools.endings.finish(in_flight, outcome, value[0] if outcome is Outcome.SUCCEEDED else None)
        if is_early:
            self.abort("early: an answer to half a write")

    def _finish_reading(self) -> None:
        """Make the connection available again after all received bytes were read.

        A connection with surplus bytes is aborted, as they would be read as the next attempt's answer.
        """
        if self.in_flight:
            return
        if not self.at_message_boundary():
            self.abort("strange: more than an answer")
        elif self.state is not ConnectionState.IDLE:
            self.pools.reuse(self)
