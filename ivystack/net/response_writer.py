"""The sending side of a client's connection: writes the responses in the order of the commands.

Every response and everything written that the client has not taken is part of the memory budget.
"""

from __future__ import annotations

from typing import TYPE_CHECKING

from .deadlines import Deadline
from .memory_budget import REQUEST_BYTES, ConnectionMemory, MemoryUse
from .pipeline import FAILED, PendingResponse, ResponsePipeline
from .resp import MAX_BUFFERED_VALUE, RespProtocol
from .streams import WIDE_BYTES, RequestStream, ResponseStream, StreamState

if TYPE_CHECKING:
    from .client_server import ClientServer


class ResponseWriter(RespProtocol):
    """A connection that writes the responses to its commands; the subclass reads them and closes it."""

    WRITE_TIMEOUT = 10_000_000  # microseconds for a client to read its responses; above the longest deadline

    def __init__(self, server: ClientServer) -> None:
        super().__init__()
        self.server = server
        self.memory = ConnectionMemory(server.memory)
        self.slot = -1  # in the server's table of connections
        self.pending = ResponsePipeline()
        self.write_timeout: Deadline | None = None  # for the client to read what was written
        self.write_blocked = False  # the transport holds output that it could not send

    # Hooks.

    def responses_written(self) -> None:
        """Become idle or close if no response is pending, and read on."""
        raise NotImplementedError

    def cut_short(self) -> None:
        """Close the connection because a response that was written in part broke off."""
        raise NotImplementedError

    # Responses.

    def respond(self, pending: PendingResponse, response: bytes | ResponseStream) -> None:
        """Set a command's response, which is written after the responses of all earlier commands."""
        pending.response = response
        if isinstance(response, ResponseStream):
            response.client = self
            if self._reserve_more(pending, WIDE_BYTES):
                response.widen()
        elif pending is not self.pending[0]:
            self._release_memory(pending, keep=len(response))
        self.flush()

    def flush(self) -> None:
        """Write the responses that are next in order."""
        if not self._write_responses():
            self.responses_written()

    def _write_responses(self) -> bool:
        """Write the responses that are next in order, and return whether one of them is still streaming."""
        while self.pending and (response := self.pending[0].response) is not None:
            if isinstance(response, ResponseStream):
                self._forward_stream(response)
                if self.pending and self.pending[0].response is response:  # until `response_completed`
                    return True
                continue
            self._release_memory(self.pending.popleft())  # the transport counts what it can't send
            self.transport.write(response)
        return False

    def _forward_stream(self, stream: ResponseStream) -> None:
        """Write a long response as it arrives, unless commands behind it were read.

        If it broke off, these could not be answered any more, although servers may have executed them.  So
        nothing further is read while it is written.
        """
        self.pause_reading()
        if len(self.pending) == 1 and not self.is_reading and self.at_message_boundary():
            stream.start()
        else:
            stream.collect()

    def response_completed(self, stream: ResponseStream, state: StreamState) -> None:
        """Finish a streamed response, all of which has arrived; `state` is its last state."""
        pending = self.pending.find_stream(stream)
        if state is StreamState.WAITING:  # it fitted into the window before its turn came
            pending.response = b"".join([stream.header, *stream.buffered, b"\r\n"])
        else:
            if state is StreamState.COLLECTING:
                self.transport.writeSequence([stream.header, *stream.buffered])
            self.transport.write(b"\r\n")
            self._release_memory(self.pending.popleft())
            self.transport.bufferSize = MAX_BUFFERED_VALUE
        self.flush()

    def response_failed(self, stream: ResponseStream, state: StreamState) -> None:
        """Fail a streamed response that broke off in this state; if part of it was written, close."""
        if state is StreamState.WRITING:
            self.cut_short()
        else:
            self.respond(self.pending.find_stream(stream), FAILED)

    def is_streaming(self) -> bool:
        """Return whether a long response is being written or collected."""
        return self.pending.current_stream() is not None

    # Memory.

    def reserve_for_request(self, pending: PendingResponse, size: int) -> bool:
        """Reserve `size` bytes until a response is written, and return whether they were available."""
        is_next = self.pending[0] is pending
        is_reserved = self.memory.reserve_request(
            size, MemoryUse.REQUEST if is_next else MemoryUse.READ_AHEAD
        )
        if is_reserved:
            pending.reserved_bytes = size
        return is_reserved

    def reserve_for_long_write(self, pending: PendingResponse, upload: RequestStream) -> bool:
        """Reserve memory for a long write and its response, and return whether it was available."""
        is_reserved = self.reserve_for_request(pending, REQUEST_BYTES)
        if is_reserved and self._reserve_more(pending, WIDE_BYTES):
            upload.widen()
        return is_reserved

    def _reserve_more(self, pending: PendingResponse, size: int) -> bool:
        """Reserve further bytes that the command can do without, and return whether they were available."""
        is_reserved = self.memory.reserve_request(size, MemoryUse.READ_AHEAD)
        if is_reserved:
            pending.reserved_bytes += size
        return is_reserved

    def _release_memory(self, pending: PendingResponse, keep: int = 0) -> None:
        released = max(0, pending.reserved_bytes - keep)
        pending.reserved_bytes -= released
        self.memory.release_request(released)

    def release_all_responses(self) -> None:
        """Release the memory of the responses, which can't be written any more."""
        for pending in self.pending:
            self._release_memory(pending)

    def lacks_memory(self) -> bool:
        """Return whether responses must be taken before there is memory for a further command."""
        if not self.pending and not self.memory.output:
            return False
        return self.server.memory.available(MemoryUse.READ_AHEAD) < REQUEST_BYTES

    def output_sent(self, unsent_bytes: int) -> None:
        """Record how many bytes the transport holds that were not sent, if these are more than a few."""
        self.memory.set_output(unsent_bytes)
        if self.paused and not self.memory.output:
            self.resume_reading()

    # Called by the transport when its output buffer is full, and when the buffer is empty again.

    def start_write_timeout(self) -> None:
        """Start the time within which the client has to read what was written."""
        if self.write_timeout is None:
            due_at = self.server.now() + self.WRITE_TIMEOUT
            self.write_timeout = self.server.deadlines.call_at(due_at, self.abort, "slow-reader")

    def stop_write_timeout(self) -> None:
        """Stop that time, because the client has read everything, or the connection has ended."""
        if self.write_timeout is not None:
            self.write_timeout.cancel()
        self.write_timeout = None

    def pauseProducing(self) -> None:  # noqa: N802, D102
        self.write_blocked = True
        self.start_write_timeout()
        self.pause_reading()
        stream = self.pending.current_stream()
        if stream is not None:
            stream.pause()

    def resumeProducing(self) -> None:  # noqa: N802, D102
        self.write_blocked = False
        self.stop_write_timeout()
        stream = self.pending.current_stream()
        if stream is not None:
            stream.resume()
        self.resume_reading()
