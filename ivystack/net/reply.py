"""The final reply to a request, which the request handler passes to the client's connection."""

from __future__ import annotations

from dataclasses import dataclass

from .streams import ResponseStream

MICROSECONDS_PER_MILLISECOND = 1_000


@dataclass(frozen=True, slots=True)
class Value:
    """The request succeeded with this value, which is a stream if it is too long to be buffered."""

    value: bytes | ResponseStream


@dataclass(frozen=True, slots=True)
class Rejected:
    """The request had no effect and may be retried after a delay."""

    retry_after_ms: int  # 0: unspecified


@dataclass(frozen=True, slots=True)
class Failed:
    """The request failed, or its effect is unknown because no answer arrived."""


Reply = Value | Rejected | Failed


def rejected(retry_after: int) -> Rejected:
    """Return a rejection whose retry delay, given in microseconds, is rounded up to milliseconds."""
    return Rejected(-(-retry_after // MICROSECONDS_PER_MILLISECOND))
