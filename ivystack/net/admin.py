"""The operators' address: one call to a connection, answered in the turn in which it has come whole.

Owns that address and the connections to it.  It must never wait for anything before it answers, keep what a
caller sends, or do more than ask the proxy: what is done and whether it is refused is the proxy's.
"""

from __future__ import annotations

from io import BytesIO

from loguru import logger
from twisted.internet.protocol import ServerFactory
from twisted.web.http import HTTPChannel, Request

from .deadlines import Deadline

BODY = 4_096  # bytes of a call's body that are read past; no call needs one


class Call(Request):
    """One call.  Its body is thrown away as it comes: the library would put a long one into a file."""

    def gotLength(self, length) -> None:  # noqa: N802
        self.content, self.size = BytesIO(), 0

    def handleContentChunk(self, data: bytes) -> None:  # noqa: N802
        self.size += len(data)
        if self.size > BODY:
            self.channel.drop("too-long")

    def process(self) -> None:
        admin = self.channel.admin
        methods = admin.calls.get(self.path)
        if methods is None:
            code, text = 404, "no such call"
        elif self.method not in methods:
            code, text = 405, "no such method for this call"
            self.setHeader(b"allow", b", ".join(methods))
        else:
            code, text = methods[self.method]()
        self.channel.code = f"{code} {self.method.decode('latin-1'):.10} {self.path.decode('latin-1'):.40}"
        body = text.encode() + b"\n"
        self.setResponseCode(code)
        for name, value in ((b"content-type", b"text/plain"), (b"connection", b"close")):
            self.setHeader(name, value)
        self.setHeader(b"content-length", b"%d" % len(body))
        self.write(body)
        self.finish()


class Channel(HTTPChannel):
    requestFactory = Call  # noqa: N815
    maxHeaders = 64  # noqa: N815
    totalHeadersSize = 8_192  # noqa: N815
    timeOut = None  # noqa: N815  a whole call has one deadline, however its bytes are spread

    def __init__(self, admin: Admin):
        super().__init__()
        self.admin = admin
        self.code: str | None = None
        self.late: Deadline | None = None

    def connectionMade(self) -> None:  # noqa: N802
        super().connectionMade()
        self.late = self.admin.deadlines.call_at(
            self.admin.now() + self.admin.WHOLE, self.drop, "half-a-call"
        )
        self.admin.came(self)

    def checkPersistence(self, request, version) -> bool:  # noqa: N802
        return False

    def drop(self, code: str) -> None:
        self.code = self.code or code
        self.transport.abortConnection()

    def connectionLost(self, reason) -> None:  # noqa: N802
        super().connectionLost(reason)
        if self.late is not None:
            self.late.cancel()
        self.admin.open.pop(self, None)
        logger.info("end admin code={}", self.code or "caller-closed")


class Admin(ServerFactory):
    noisy = False
    # Connections at once.  Beyond it the oldest goes: a whole call is answered in the turn that reads it, so
    # the oldest hold theirs without one, or do not read their answers.
    MOST = 16
    WHOLE = 3_000_000  # for a whole call and its answer's reading

    def __init__(self, deadlines, now, ready, drain, back):
        """`ready`, `drain` and `back` each answer with a status and a line for the caller."""
        self.deadlines, self.now = deadlines, now
        self.calls = {
            b"/_ready": {b"GET": ready},
            b"/_lameduck/on": {b"POST": drain},
            b"/_lameduck/off": {b"POST": back},
        }
        self.open: dict[Channel, None] = {}  # oldest first

    def buildProtocol(self, addr) -> Channel:  # noqa: N802
        return Channel(self)

    def came(self, channel: Channel) -> None:
        self.open[channel] = None
        if len(self.open) > self.MOST:
            oldest = next(iter(self.open))
            del self.open[oldest]
            oldest.transport.doRead()  # its call may lie unread where many came at once
            if oldest.code is None:
                oldest.drop("no-room")
