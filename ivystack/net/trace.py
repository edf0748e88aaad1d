"""A log line for each step in the life of a request, for operators who follow one request by its id.

Switched on by the environment variable `LB_TRACE=1`; off, a step costs one attribute look-up.  The lines are
`request id=ID event=EVENT` and the event's fields; docs/on-call.md lists them.
"""

from __future__ import annotations

import os

from loguru import logger


class RequestTrace:
    """Writes the steps of requests to the log while `enabled`."""

    __slots__ = ("enabled",)

    def __init__(self, enabled: bool) -> None:
        self.enabled = enabled

    def step(self, request_id: bytes, event: str, **fields: object) -> None:
        """Log one step; callers ask `enabled` first, so that a trace that is off costs nothing."""
        text = " ".join(f"{name}={value}" for name, value in fields.items())
        logger.info("request id={} event={} {}", request_id.decode("latin-1"), event, text)


trace = RequestTrace(os.environ.get("LB_TRACE") == "1")
