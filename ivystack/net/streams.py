"""Streams of values too long to be buffered, between a client's and a server's connection.

A stream buffers a few pieces of a value, and pauses reading on one side while the other side accepts no more
data.  A value whose transfer breaks off must never look complete to the receiver.
"""

from __future__ import annotations

import enum
from collections.abc import Callable
from typing import TYPE_CHECKING, Any

from loguru import logger

from .deadlines import Deadline
from .memory_budget import MemoryBudget
from .resp import MAX_BUFFERED_VALUE
from .transfer_clock import TransferClock

if TYPE_CHECKING:
    from ..model import Request
    from .client_connection import ClientConnection
    from .response_writer import ResponseWriter

# Pieces of a long value that are held at a time: two by the transport that writes them, one by the connection
# that reads them, and one between.
PIECES_HELD = 4
# Bytes that are read at once: what its request has reserved suffices for small pieces, and `WIDE_BYTES` more
# for wide ones, which take less time.
SMALL_PIECE, WIDE_PIECE = MAX_BUFFERED_VALUE // PIECES_HELD, MAX_BUFFERED_VALUE
WIDE_BYTES = PIECES_HELD * (WIDE_PIECE - SMALL_PIECE)


class StreamState(enum.Enum):
    """The states of a long response, in their order; it is either collected or written as it arrives."""

    WAITING = "waiting"  # for the earlier responses; a piece at most is buffered
    COLLECTING = "collecting"  # all earlier responses are written, and all of the value is buffered
    WRITING = "writing"  # each piece is written as it arrives
    ENDED = "ended"  # no further bytes are needed


class ResponseStream:
    """A long response, forwarded from a server's connection to the client's after all earlier responses.

    RESP2 has no way to end a value that breaks off but to close the connection.  So a response is written as
    it arrives only if nothing behind it was read from the client; otherwise it is collected first.

    :param size: the size of the value in bytes
    :param time_left: microseconds from the value's first byte to the request's deadline
    """

    def __init__(self, server_connection: Any, size: int, time_left: int) -> None:
        self.server_connection, self.size, self.time_left = server_connection, size, time_left
        self.client: ResponseWriter | None = None  # while None, pieces are discarded
        self.state = StreamState.WAITING
        self.received_bytes = 0
        self.buffered: list[bytes] = []  # pieces that arrived before the response could be written
        self.read_size = server_connection.transport.bufferSize = SMALL_PIECE
        self._collection_deadline: Deadline | None = None  # when a collected response fails
        self._memory: MemoryBudget | None = None  # in which the response's bytes were or will be reserved
        self._has_memory = False

    @property
    def has_ended(self) -> bool:
        """Whether no further bytes are needed."""
        return self.state is StreamState.ENDED

    @property
    def is_blocked(self) -> bool:
        """Whether no further bytes may be read from the server for now."""
        if self.client is None or self.has_ended:
            return False
        if self.state is StreamState.WRITING:
            return self.client.write_blocked
        return bool(self.buffered) and not self._has_memory

    # Called by the server's connection.

    def piece_received(self, data: bytes) -> None:
        """Write a piece to the client, or buffer it."""
        self.received_bytes += len(data)
        if self.client is None:
            return
        if self.state is StreamState.WRITING:
            return self.client.transport.write(data)
        self.buffered.append(data)
        if self.is_blocked:
            self.server_connection.pause_input()

    def complete(self) -> None:
        """Complete the response, because the server's response proves that the value is complete."""
        if not self.has_ended:
            state, self.state = self.state, StreamState.ENDED
            if self.client is not None:
                self.client.response_completed(self, state)
            self._stop_collecting()

    def fail(self) -> None:
        """Fail the response, because the value will never be complete."""
        if not self.has_ended:
            state, self.state = self.state, StreamState.ENDED
            self._stop_collecting()
            if self.client is not None:
                self.client.response_failed(self, state)

    # Called by the client's connection.

    def widen(self) -> None:
        """Read larger pieces, because `WIDE_BYTES` were reserved for them."""
        if not self.has_ended:
            self.read_size = self.server_connection.transport.bufferSize = WIDE_PIECE

    def start(self) -> None:
        """Start to write, after all earlier responses were written."""
        assert self.client is not None
        if self.state is not StreamState.WAITING:
            return
        self.state = StreamState.WRITING
        self.client.transport.bufferSize = self.read_size
        self.client.transport.writeSequence([self.header, *self.buffered])
        self.buffered.clear()
        self.resume()

    def collect(self) -> None:
        """Buffer the whole response before it is written, once there is memory; fail it at its deadline.

        The deadline counts from now on, because the time for which a response waits for earlier ones does not
        count.
        """
        if self.state is not StreamState.WAITING:
            return
        assert self.client is not None
        self.state = StreamState.COLLECTING
        server = self.client.server
        due_at = server.now() + self.time_left
        self._collection_deadline = server.deadlines.call_at(due_at, self._collection_expired)
        self._memory = server.memory
        self._memory.reserve_when_available(self.size, self._memory_reserved)

    @property
    def header(self) -> bytes:
        """The header of the response."""
        return b"$%d\r\n" % self.size

    def pause(self) -> None:
        """Pause reading from the server, because the client accepts no more data for now."""
        if self.state is StreamState.WRITING:
            self.server_connection.pause_input()

    def resume(self) -> None:
        """Resume reading from the server, unless a reason for the pause remains."""
        if not self.has_ended:
            self.server_connection.resume_reading()

    def client_lost(self) -> None:
        """Discard the rest of the value, because nobody needs it any more."""
        self._stop_collecting()
        self.client = None
        if not self.has_ended:
            self.server_connection.long_answer.client_lost()
            self.resume()

    # Collecting.

    def _memory_reserved(self) -> None:
        self._has_memory = True
        self.resume()

    def _collection_expired(self) -> None:
        client = self.client
        assert client is not None
        logger.info(
            "long answer failed: commands were read behind it, and it was not complete in time client={} "
            "missing_bytes={} code=not-collected",
            client.slot,
            self.size - self.received_bytes,
        )
        self.client_lost()
        client.response_failed(self, StreamState.COLLECTING)

    def _stop_collecting(self) -> None:
        """Discard what is buffered, and release its memory."""
        self.buffered.clear()
        if self._collection_deadline is not None:
            self._collection_deadline.cancel()
        if self._memory is None:
            return
        self._memory.cancel_waiting(self._memory_reserved)
        if self._has_memory:
            self._has_memory = False
            self._memory.add(-self.size)


class RequestStream:
    """A long write, from the client's connection to the connection of the server that it is sent to.

    The stream is registered as the producer of the server's transport, which pauses and resumes it.

    :param size: the size of the value in bytes
    """

    def __init__(self, client: ClientConnection, size: int) -> None:
        self.client, self.size = client, size
        self.read_size = client.transport.bufferSize = SMALL_PIECE
        self.server_connection: Any = None
        self.request: Request | None = None  # set when the request is admitted
        self.server_timeout_ms = 0  # the timeout that is sent to the server
        self.on_sent: Callable[[RequestStream], None] | None = None  # called after the last byte was written
        self.paused = False  # reading from the client is paused
        self.received = False  # the client's last byte has arrived
        self.sent = False  # the last byte was written to the server
        self.discarding = False  # the rest is read and discarded
        self.buffered: list[bytes] = []  # pieces that arrived before a server's connection was assigned
        self.stall_deadline: Deadline | None = None
        self.clock = TransferClock()

    # Called by the client's connection.

    def widen(self) -> None:
        """Read larger pieces, because `WIDE_BYTES` were reserved for them."""
        self.read_size = self.client.transport.bufferSize = WIDE_PIECE

    def piece_received(self, data: bytes) -> None:
        """Write a piece to the server, or buffer it until a server's connection is assigned."""
        self.clock.stop(self.client.server.now())
        if self.discarding:
            return
        if self.server_connection is not None:
            return self._write(data)
        self.buffered.append(data)
        self._pause_client()

    def end_received(self) -> None:
        """Finish the write, because the client's last byte has arrived."""
        self.received = True
        self.clock.stop(self.client.server.now())
        if self.server_connection is not None:
            self._finish()

    def discard(self) -> None:
        """Read and discard the rest, because the request was answered or can't be sent again."""
        self.discarding = True
        self.buffered.clear()
        self._resume_client()

    def _pause_client(self) -> None:
        self.paused = True
        self.client.pause_upload()

    def _resume_client(self) -> None:
        self.paused = False
        self.client.resume_reading()

    # Called by the server's connection.

    def send_to(self, server_connection: Any) -> None:
        """Send the buffered pieces, and those that arrive from now on, to this connection."""
        self.server_connection = server_connection
        server_connection.transport.bufferSize = self.read_size
        server_connection.transport.registerProducer(self, True)
        while self.buffered:
            self._write(self.buffered.pop(0))
        if self.received:
            return self._finish()
        if self.stall_deadline is None:
            self._resume_client()

    def _write(self, data: bytes) -> None:
        assert self.request is not None
        self.request.partly_sent = True
        self.server_connection.send([data])

    def _finish(self) -> None:
        assert self.on_sent is not None
        self.server_connection.send([b"\r\n"])
        self.sent = True
        self._detach()
        self.on_sent(self)

    def _detach(self) -> None:
        """Release the server's connection for other requests."""
        server_connection, self.server_connection = self.server_connection, None
        if server_connection is not None:
            server_connection.transport.bufferSize = MAX_BUFFERED_VALUE
            server_connection.transport.unregisterProducer()
            if self.stall_deadline is not None:
                self.stall_deadline.cancel()
            self.stall_deadline = None

    def attempt_failed(self) -> None:
        """End an attempt that was not sent completely; another attempt is possible if no byte was sent."""
        assert self.request is not None
        self._detach()
        if self.request.partly_sent:
            self.discard()

    def pauseProducing(self) -> None:  # noqa: N802, D102
        pools = self.server_connection.pools
        stalled_at = pools.now() + self.server_connection.long_answer.STALL_TIMEOUT
        self.stall_deadline = pools.deadlines.call_at(stalled_at, self.server_connection.abort, "stalled")
        self._pause_client()

    def resumeProducing(self) -> None:  # noqa: N802, D102
        if self.server_connection is not None:
            if self.stall_deadline is not None:
                self.stall_deadline.cancel()
            self.stall_deadline = None
            self._resume_client()

    def stopProducing(self) -> None:  # noqa: N802, D102
        # Nothing to do, because the server's connection handles its loss itself.
        return
