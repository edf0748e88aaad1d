"""An attempt on its way to a server, from being sent to its outcome."""

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
    """An attempt that waits in a pool for a connection, is out on a connection, or has ended."""

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

    pool: ServerPool  # set once it is sent

    def __init__(self, attempt: Attempt, frame: RequestFrame, upload: RequestStream | None = None) -> None:
        self.attempt, self.frame, self.upload = attempt, frame, upload
        self.connection: ServerConnection | None = None
        self.deadlines: list[Deadline] = []
        self.end_position = 0  # bytes written to its connection up to its own last one
        self.has_ended = False
        self.load_report: bytes | None = None  # as it came with the answer
        self.cache_hit = False  # the server told that it had the value

    def has_unsent_bytes(self) -> bool:
        """Whether its last byte has not been handed to the kernel: the server can't have begun it.

        False for one that has no connection yet.
        """
        if self.connection is None:
            return False
        if self.upload is not None and not self.upload.sent:
            return True
        return self.end_position > self.connection.bytes_sent()

    def cancel_deadlines(self) -> None:
        """Cancel its timeouts."""
        for deadline in self.deadlines:
            deadline.cancel()
