"""The responses that a client's connection owes, in the order of its commands."""

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
    """The response to one command, from the command's arrival until it is written."""

    response: bytes | ResponseStream | None = None  # None: not known yet
    request_slot: int | None = None  # in the table of requests
    value_size: int = 0  # bytes of the command's last argument, counted against the memory
    request_id: bytes | None = None


class ResponsePipeline(deque[PendingResponse]):
    """Pending responses, the next one to be written first."""

    def add(self, response: bytes | None = None) -> PendingResponse:
        """Append the response of a command that has just arrived, and return it."""
        pending = PendingResponse(response)
        self.append(pending)
        return pending

    def unanswered(self) -> list[PendingResponse]:
        """Return those whose requests have no reply yet."""
        return [pending for pending in self if pending.response is None]

    def streams(self) -> Iterator[ResponseStream]:
        """Yield the responses that are streamed."""
        return (pending.response for pending in self if isinstance(pending.response, ResponseStream))

    def of_stream(self, stream: ResponseStream) -> PendingResponse:
        """Return the response that is this stream."""
        return next(pending for pending in self if pending.response is stream)

    def current_stream(self) -> ResponseStream | None:
        """Return the stream whose turn it is to be written, if any."""
        response = self[0].response if self else None
        return response if isinstance(response, ResponseStream) else None


def encode_reply(reply: Reply) -> bytes | ResponseStream:
    """Return a reply as the client is written it, or the stream that passes on a long one.

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
