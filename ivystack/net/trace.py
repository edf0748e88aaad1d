"""Request tracing: a log line for each step of a request, with which operators follow one request by its id.

The environment variable `LB_TRACE=1` enables tracing.  If disabled, a step costs one attribute lookup.
The lines are `request id=ID event=EVENT` and the event's fields; docs/on-call.md lists them.
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
        """Log one step; callers check `enabled` first, so that disabled tracing costs nothing."""
        text = " ".join(f"{name}={value}" for name, value in fields.items())
        logger.info("request id={} event={} {}", request_id.decode("latin-1"), event, text)


trace = RequestTrace(os.environ.get("LB_TRACE") == "1")
