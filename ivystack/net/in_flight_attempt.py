"""An attempt between the decision to send it and its outcome."""

from __future__ import annotations

from typing import TYPE_CHECKING

from ..model import Attempt
from .deadlines import Deadline
from .streams import RequestStream

if TYPE_CHECKING:
    from .request_frame import RequestFrame
    from .server_connection import ServerConnection
    from .server_pool import ServerPool


class InFlightAttempt:
    """An attempt that waits in a pool for a connection, was sent on one, or has ended."""

    __slots__ = (
        "attempt",
        "frame",
        "upload",
        "connection",
        "pool",
        "deadlines",
        "end_position",
        "has_ended",
        "load_report",
        "cache_hit",
    )

    pool: ServerPool  # set by `ServerPools.send`

    def __init__(self, attempt: Attempt, frame: RequestFrame, upload: RequestStream | None = None) -> None:
        self.attempt, self.upload = attempt, upload
        self.frame: RequestFrame | None = frame  # until the attempt has ended
        self.connection: ServerConnection | None = None
        self.deadlines: list[Deadline] = []
        self.end_position = 0  # position of its last byte among the bytes written to its connection
        self.has_ended = False
        self.load_report: bytes | None = None  # as received with the answer
        self.cache_hit = False  # the server reported that it had the value in its cache

    def has_unsent_bytes(self) -> bool:
        """Whether its last byte has not been written to the kernel, so that no server can have begun it.

        False for an attempt without a connection.
        """
        if self.connection is None:
            return False
        if self.upload is not None and not self.upload.sent:
            return True
        return self.end_position > self.connection.bytes_sent()

    def cancel_deadlines(self) -> None:
        """Cancel the timeouts of this attempt."""
        for deadline in self.deadlines:
            deadline.cancel()
