"""The parts of a watch of the endpoint list: its states, how a call may end, and the lines of a response."""

from __future__ import annotations

import enum
from typing import TYPE_CHECKING, Any, Protocol

from twisted.internet.protocol import connectionDone
from twisted.protocols.basic import LineReceiver
from twisted.python.failure import Failure

if TYPE_CHECKING:
    from .endpoint_watch import EndpointWatch

MAX_LINE_BYTES = 4 << 20


class WatchListener(Protocol):
    """What is told when discovery has been heard, or can't be."""

    def heard(self) -> None:
        """Discovery has sent a line."""

    def call_failed(self, code: str) -> None:
        """Discovery can't be heard: it refuses calls or does not answer them."""

    def call_lost(self, code: str) -> None:
        """A call has ended without a line, which does not show whether discovery can be heard."""


class CallEnd(enum.Enum):
    """What the end of a call or a watch says of discovery."""

    REFUSED = "refused"  # it does not serve now
    SILENT = "silent"  # it has sent nothing for longer than it may take
    LOST = "lost"  # nothing: the connection or what came on it was unusable


class WatchState(enum.Enum):
    """The states of the watch."""

    WAITING = "waiting"  # until the next request is due, or for the first call of `request_watch`
    REQUESTING = "requesting"
    STREAMING = "streaming"  # the response has begun
    STOPPED = "stopped"


class WatchLines(LineReceiver):
    """The body of a response: one JSON object per line, and an empty line every 2 s as a heartbeat."""

    delimiter = b"\n"
    MAX_LENGTH = MAX_LINE_BYTES
    transport: Any

    def __init__(self, watch: EndpointWatch) -> None:
        self.watch = watch
        self.has_line = False  # a usable line was received

    def dataReceived(self, data: bytes) -> None:  # noqa: N802, D102
        with self.watch.reading(), self.watch.update_batch():
            super().dataReceived(data)

    def lineReceived(self, line: bytes) -> None:  # noqa: N802, D102
        if self.watch.body is self:
            self.watch.line_received(line)

    def lineLengthExceeded(self, line: bytes) -> None:  # noqa: N802, D102
        self.watch.connection_broke("line-too-long")

    def connectionLost(self, reason: Failure = connectionDone) -> None:  # noqa: N802, D102
        if self.watch.body is self:
            self.watch.connection_broke("watch-ended")
