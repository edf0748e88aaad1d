"""A request's one final reply, as the connections to clients are given it."""

from __future__ import annotations

from dataclasses import dataclass

from .streams import ResponseStream


@dataclass(frozen=True, slots=True)
class Value:
    """The request succeeded: its value, or the stream that passes on a long one."""

    value: bytes | ResponseStream


@dataclass(frozen=True, slots=True)
class Rejected:
    """The request had no effect and may be retried after so many milliseconds (0: not stated)."""

    retry_after_ms: int


@dataclass(frozen=True, slots=True)
class Failed:
    """The request failed, or may have had its effect without an answer."""


Reply = Value | Rejected | Failed
