"""The long value that a server's connection is receiving, and its way to the client."""

from __future__ import annotations

import zlib
from collections.abc import Callable
from typing import TYPE_CHECKING

from ..model import Outcome
from .reply_verifier import SurplusRepliesError
from .resp import MAX_BUFFERED_VALUE
from .streams import ResponseStream

if TYPE_CHECKING:
    from .server_connection import ServerConnection


class LongAnswer:
    """Forwards the long values of one connection, one after another."""

    STALL_TIMEOUT = 10_000_000  # microseconds without a byte of a long value; sending one may take seconds

    def __init__(self, connection: ServerConnection) -> None:
        self.connection = connection
        self.stream: ResponseStream | None = None  # the value that is being forwarded
        self.checksum = 0  # of the value that is being received, or was received last

    def begin(self, size: int) -> Callable[[bytes], None] | None:
        """Begin to forward a value to its client; the attempt has succeeded.

        :returns: the receiver of the value's pieces; None if the connection was aborted
        """
        connection = self.connection
        if not connection.in_flight:
            connection.abort("strange: an answer to nothing")
            return None
        if connection.verifier.is_skipping:
            return _discard
        try:
            connection.verifier.begin_long_value(size)
        except SurplusRepliesError:
            connection.fail("a second copy")
            return None
        self.checksum = 0
        in_flight = connection.in_flight[0]
        if in_flight.has_ended:
            return self._add_to_checksum
        time_left = max(0, in_flight.attempt.request.deadline - connection.pools.now())
        self.stream = stream = ResponseStream(connection, size, time_left)
        connection.pool.consecutive_losses = 0
        connection.pools.endings.finish(in_flight, Outcome.SUCCEEDED, stream)
        self._check_stalled(stream, -1)
        return self._piece_received

    def finish(self) -> None:
        """Complete the client's response, if there is one."""
        stream = self._end()
        if stream is not None:
            stream.complete()

    def break_off(self) -> None:
        """Fail the client's response, if there is one, because the value will never be complete."""
        stream = self._end()
        if stream is not None:
            stream.fail()

    def client_lost(self) -> None:
        """Abort the connection if the value's client has disconnected and too many bytes remain."""
        connection = self.connection
        bytes_left = self.stream.size - self.stream.received_bytes if self.stream else 0
        if bytes_left > connection.pools.MAX_DISCARDED_BYTES and connection.only_abandoned_attempts:
            connection.abort("called-off")

    def _end(self) -> ResponseStream | None:
        stream, self.stream = self.stream, None
        if stream is not None:
            self.connection.transport.bufferSize = MAX_BUFFERED_VALUE
        return stream

    def _add_to_checksum(self, piece: bytes) -> None:
        self.checksum = zlib.crc32(piece, self.checksum)

    def _piece_received(self, piece: bytes) -> None:
        self._add_to_checksum(piece)
        if self.stream is not None:
            self.stream.piece_received(piece)

    def _check_stalled(self, stream: ResponseStream, previously_received: int) -> None:
        """Abort the connection if the server has sent no byte of a value since the previous check.

        While the connection is paused for a slow client, that client's connection has its own timeout.
        """
        connection = self.connection
        if self.stream is not stream or stream.has_ended:
            return
        if previously_received == stream.received_bytes and not connection.paused:
            connection.abort("stalled")
            return
        check_at = connection.pools.now() + self.STALL_TIMEOUT
        connection.pools.deadlines.call_at(check_at, self._check_stalled, stream, stream.received_bytes)


def _discard(piece: bytes) -> None:
    """Discard a piece of a surplus long value."""
