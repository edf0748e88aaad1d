"""The pending responses of a client's connection, in the order of its commands."""

from __future__ import annotations

from collections import deque
from collections.abc import Iterator
from dataclasses import dataclass

from .reply import Failed, Rejected, Reply, Value
from .resp import encode_bulk
from .streams import ResponseStream

BUSY, FAILED = b"-BUSY\r\n", b"-ERR failed\r\n"


@dataclass(eq=False, slots=True)
class PendingResponse:
    """The response to one command, from the command's arrival until the response is written."""

    response: bytes | ResponseStream | None = None  # None until the command is answered
    request_slot: int | None = None  # in the table of active requests
    reserved_bytes: int = 0  # of the memory budget, until the response is written
    request_id: bytes | None = None


class ResponsePipeline(deque[PendingResponse]):
    """A queue of pending responses in the order in which they are written."""

    def add(self, response: bytes | None = None) -> PendingResponse:
        """Append and return the pending response to a command that has just arrived."""
        pending = PendingResponse(response)
        self.append(pending)
        return pending

    def unanswered(self) -> list[PendingResponse]:
        """Return the pending responses to commands that have no answer yet."""
        return [pending for pending in self if pending.response is None]

    def streams(self) -> Iterator[ResponseStream]:
        """Yield the streams among the responses."""
        return (pending.response for pending in self if isinstance(pending.response, ResponseStream))

    def find_stream(self, stream: ResponseStream) -> PendingResponse:
        """Return the pending response whose response is this stream."""
        return next(pending for pending in self if pending.response is stream)

    def current_stream(self) -> ResponseStream | None:
        """Return the stream that is at the head of the queue, if any."""
        response = self[0].response if self else None
        return response if isinstance(response, ResponseStream) else None


def encode_reply(reply: Reply) -> bytes | ResponseStream:
    """Return the bytes to write for a reply, or the stream of a long value.

    >>> [encode_reply(reply) for reply in (Value(b"v"), Rejected(20), Rejected(0), Failed())]
    [b'$1\\r\\nv\\r\\n', b'-BUSY 20\\r\\n', b'-BUSY\\r\\n', b'-ERR failed\\r\\n']
    """
    match reply:
        case Value(value):
            return encode_bulk(value) if isinstance(value, bytes) else value
        case Rejected(retry_after_ms):
            return b"-BUSY %d\r\n" % retry_after_ms if retry_after_ms else BUSY
        case Failed():
            return FAILED
