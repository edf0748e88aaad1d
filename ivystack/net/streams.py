"""Streams of values too long to be buffered, between a client's and a server's connection.

A stream holds a few pieces of a value and stops reading on one side while the other takes no more.  A value
that breaks off is never made to look complete.
"""

from __future__ import annotations

from collections.abc import Callable
from typing import TYPE_CHECKING, Any

from .deadlines import Deadline
from .resp import MAX_BUFFERED_VALUE

if TYPE_CHECKING:
    from ..model import Request
    from .client_connection import ClientConnection

MIN_WINDOW = 4_096  # bytes read at once: below this each piece costs more than it carries


class ResponseStream:
    """A long response, from the server's connection to the client's once it is that response's turn.

    :param size: bytes of the value
    :param read_size: bytes that are read from the server's connection at once
    """

    def __init__(self, server_connection: Any, size: int, read_size: int) -> None:
        self.server_connection, self.size = server_connection, size
        self.client: ClientConnection | None = None  # None: the rest is discarded
        self.started = False  # its turn has come: the client has been written its header
        self.ended = False  # nothing more of it arrives
        self.received_bytes = 0
        self.buffered: list[bytes] = []  # pieces that arrived before its turn
        self.read_size = server_connection.transport.bufferSize = read_size

    # Called by the server's side.

    def piece_received(self, data: bytes) -> None:
        """Pass a piece on, or keep it until it is this response's turn."""
        self.received_bytes += len(data)
        if self.client is None:
            return
        if self.started:
            return self.client.transport.write(data)
        self.buffered.append(data)
        self.server_connection.pauseProducing()

    def complete(self) -> None:
        """Finish: the server's answer proves the value complete."""
        if not self.ended:
            self.ended = True
            if self.client is not None:
                self.client.response_completed(self)

    def fail(self) -> None:
        """Finish: the value will never be complete."""
        if not self.ended:
            self.ended = True
            self.buffered.clear()
            if self.client is not None:
                self.client.response_failed(self)

    # Called by the client's side.

    def start(self) -> None:
        """Begin to write: all responses before this one have been written."""
        assert self.client is not None
        self.started = True
        self.client.transport.bufferSize = self.read_size
        self.client.transport.writeSequence([b"$%d\r\n" % self.size, *self.buffered])
        self.buffered.clear()
        if not self.client.write_blocked:
            self.resume()

    def pause(self) -> None:
        """Stop reading from the server: the client takes no more."""
        if not self.ended:
            self.server_connection.pauseProducing()

    def resume(self) -> None:
        """Read from the server again."""
        server_connection = self.server_connection
        if not self.ended and server_connection.paused and not server_connection.input_closed:
            server_connection.resumeProducing()

    def client_lost(self) -> None:
        """Discard the rest: the client has gone."""
        self.client = None
        self.buffered.clear()
        if not self.ended:
            self.server_connection.relay_abandoned()
            self.resume()


class RequestStream:
    """A long write, from the client's connection to a server's once there is one.

    It is the producer that a server's transport pauses while it takes no more.

    :param size: bytes of the value
    :param read_size: bytes that are read from the client's connection at once
    """

    def __init__(self, client: ClientConnection, size: int, read_size: int) -> None:
        self.client, self.size, self.read_size = client, size, read_size
        client.transport.bufferSize = read_size
        self.server_connection: Any = None
        self.request: Request | None = None  # set once it is admitted
        self.server_timeout_ms = 0  # the time that the server is given
        self.on_sent: Callable[[RequestStream], None] | None = None  # called once all of it was written
        self.paused = False  # the client is not read
        self.received = False  # the client's last byte has arrived
        self.sent = False  # and was written to the server
        self.discarding = False  # the rest is read and discarded
        self.buffered: list[bytes] = []  # pieces that arrived before there was a connection
        self.stall_deadline: Deadline | None = None

    # Called by the client's side.

    def piece_received(self, data: bytes) -> None:
        """Pass a piece on, or keep it until there is a connection."""
        if self.discarding:
            return
        if self.server_connection is not None:
            return self._write(data)
        self.buffered.append(data)
        self._pause_client()

    def end_received(self) -> None:
        """Finish the write: the client's last byte has arrived."""
        self.received = True
        if self.server_connection is not None:
            self._finish()

    def discard(self) -> None:
        """Read and discard the rest: the request was answered, or can't be sent again."""
        self.discarding = True
        self.buffered.clear()
        self._resume_client()

    def _pause_client(self) -> None:
        self.paused = True
        self.client.pause_upload()

    def _resume_client(self) -> None:
        self.paused = False
        self.client.resume_reading()

    # Called by the server's side.

    def send_to(self, server_connection: Any) -> None:
        """Pass on to this connection what has arrived and what still arrives."""
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
        """Leave the server's connection to others."""
        server_connection, self.server_connection = self.server_connection, None
        if server_connection is not None:
            server_connection.transport.bufferSize = MAX_BUFFERED_VALUE
            server_connection.transport.unregisterProducer()
            if self.stall_deadline is not None:
                self.stall_deadline.cancel()
            self.stall_deadline = None

    def attempt_failed(self) -> None:
        """End the attempt, which was not sent completely; another is possible if no byte was sent."""
        assert self.request is not None
        self._detach()
        if self.request.partly_sent:
            self.discard()

    def pauseProducing(self) -> None:  # noqa: N802, D102
        pools = self.server_connection.pools
        stalled_at = pools.now() + self.server_connection.STALL_TIMEOUT
        self.stall_deadline = pools.deadlines.call_at(stalled_at, self.server_connection.abort, "stalled")
        self._pause_client()

    def resumeProducing(self) -> None:  # noqa: N802, D102
        if self.server_connection is not None:
            if self.stall_deadline is not None:
                self.stall_deadline.cancel()
            self.stall_deadline = None
            self._resume_client()

    def stopProducing(self) -> None:  # noqa: N802, D102
        # The server's connection has gone, which is handled where it ends.
        return
