"""The admin HTTP endpoint for operators.

Each connection serves one request, which is answered in the reactor turn in which the request is complete.
Handlers execute or reject the requests.  Request bodies are ignored.
"""

from __future__ import annotations

from collections.abc import Callable
from http import HTTPStatus
from io import BytesIO
from typing import Any, NamedTuple

from loguru import logger
from twisted.internet.interfaces import IAddress
from twisted.internet.protocol import ServerFactory, connectionDone
from twisted.python.failure import Failure
from twisted.web.http import HTTPChannel, Request

from .deadlines import Deadline, DeadlineQueue

MAX_BODY_BYTES = 4_096  # of a request's body, which is read and ignored; no request needs a body
MAX_HEADERS = 64
MAX_HEADER_BYTES = 8_192
METHOD_LOGGED, PATH_LOGGED = 10, 40  # characters of the method and the path that are logged


class AdminResponse(NamedTuple):
    """The response of a handler: the HTTP status and a line of text."""

    status: int
    text: str


AdminHandler = Callable[[], AdminResponse]
Routes = dict[bytes, dict[bytes, AdminHandler]]  # by path, then by HTTP method


class AdminRequest(Request):
    """One request, whose body is discarded as it arrives; Twisted would write a long body to a file."""

    channel: AdminChannel

    def gotLength(self, length: int | None) -> None:  # noqa: N802, D102
        self.content, self.body_bytes = BytesIO(), 0

    def handleContentChunk(self, data: bytes) -> None:  # noqa: N802, D102
        self.body_bytes += len(data)
        if self.body_bytes > MAX_BODY_BYTES:
            self.channel.drop("too-long")

    def process(self) -> None:
        """Answer the request, which has arrived completely."""
        status, text = self._handle()
        method, path = self.method.decode("latin-1"), self.path.decode("latin-1")
        self.channel.code = f"{int(status)} {method:.{METHOD_LOGGED}} {path:.{PATH_LOGGED}}"
        body = text.encode() + b"\n"
        self.setResponseCode(status)
        for name, value in ((b"content-type", b"text/plain"), (b"connection", b"close")):
            self.setHeader(name, value)
        self.setHeader(b"content-length", b"%d" % len(body))
        self.write(body)
        self.finish()

    def _handle(self) -> AdminResponse:
        handlers = self.channel.server.routes.get(self.path)
        if handlers is None:
            return AdminResponse(HTTPStatus.NOT_FOUND.value, "no such call")
        if self.method not in handlers:
            self.setHeader(b"allow", b", ".join(handlers))
            return AdminResponse(HTTPStatus.METHOD_NOT_ALLOWED.value, "no such method for this call")
        return handlers[self.method]()


class AdminChannel(HTTPChannel):
    """An operator's connection."""

    requestFactory = AdminRequest  # noqa: N815
    maxHeaders = MAX_HEADERS  # noqa: N815
    totalHeadersSize = MAX_HEADER_BYTES  # noqa: N815
    timeOut = None  # noqa: N815  disabled, because `deadline` limits the time of a whole request
    transport: Any

    def __init__(self, server: AdminServer) -> None:
        super().__init__()
        self.server = server
        self.code: str | None = None  # for the log: the response, or why the connection was closed
        self.deadline: Deadline | None = None

    def connectionMade(self) -> None:  # noqa: N802, D102
        super().connectionMade()
        timeout_at = self.server.now() + self.server.REQUEST_TIMEOUT
        self.deadline = self.server.deadlines.call_at(timeout_at, self.drop, "half-a-call")
        self.server.channel_opened(self)

    def checkPersistence(self, request: Request, version: bytes) -> bool:  # noqa: N802, D102
        return False

    def drop(self, code: str) -> None:
        """Abort the connection."""
        self.code = self.code or code
        self.transport.abortConnection()

    def connectionLost(self, reason: Failure = connectionDone) -> None:  # noqa: N802, D102
        super().connectionLost(reason)
        if self.deadline is not None:
            self.deadline.cancel()
        self.server.channels.pop(self, None)
        logger.info("admin connection closed code={}", self.code or "caller-closed")


class AdminServer(ServerFactory):
    """Serves operators' requests on a small number of connections.

    Beyond `MAX_CONNECTIONS` the oldest connection is dropped.  Because a complete request is answered in the
    turn that reads it, the oldest connections have sent no complete request or have not read their response.
    """

    noisy = False
    MAX_CONNECTIONS = 16
    REQUEST_TIMEOUT = (
        3_000_000  # microseconds to receive a whole request and for the caller to read the response
    )

    def __init__(
        self,
        deadlines: DeadlineQueue,
        now: Callable[[], int],
        ready: AdminHandler,
        drain: AdminHandler,
        resume: AdminHandler,
    ) -> None:
        self.deadlines, self.now = deadlines, now
        self.routes: Routes = {
            b"/_ready": {b"GET": ready},
            b"/_lameduck/on": {b"POST": drain},
            b"/_lameduck/off": {b"POST": resume},
        }
        self.channels: dict[AdminChannel, None] = {}  # oldest first

    def buildProtocol(self, addr: IAddress | None) -> AdminChannel:  # noqa: N802, D102
        return AdminChannel(self)

    def channel_opened(self, channel: AdminChannel) -> None:
        """Record a connection, and drop the oldest if there are too many."""
        self.channels[channel] = None
        if len(self.channels) > self.MAX_CONNECTIONS:
            oldest = next(iter(self.channels))
            del self.channels[oldest]
            oldest.transport.doRead()  # its request may still be unread if many connections opened at once
            if oldest.code is None:
                oldest.drop("no-room")
