"""The list of cache nodes: starts from what is known, then watches for changes over HTTP.

Owns the one connection to discovery.  It must never keep a list of its own, make up an entry, or take silence
for news.
"""

from __future__ import annotations

import orjson
from loguru import logger
from twisted.internet.error import ConnectError
from twisted.protocols.basic import LineReceiver
from twisted.web.client import Agent

from ..choice import Asking
from .deadlines import Deadline

PATH = b"http://%b:%d/v1/endpoints?stream=1&index=%d"


class Lines(LineReceiver):
    """The body of a watch: an object a line, an empty line every 2 s."""

    delimiter = b"\n"
    MAX_LENGTH = 4 << 20

    def __init__(self, discovery: Discovery):
        self.discovery = discovery

    def lineReceived(self, line: bytes) -> None:  # noqa: N802
        if self.discovery.body is self:
            self.discovery.line(line)

    def lineLengthExceeded(self, line: bytes) -> None:  # noqa: N802
        self.discovery.broke("line-too-long")

    def connectionLost(self, reason=None) -> None:  # noqa: N802
        if self.discovery.body is self:
            self.discovery.broke("watch-ended")


class Discovery:
    SILENT = 5_000_000  # two of its empty lines missed, and some
    # A change counts as told 6 s after discovery had it and could be reached, whatever came of our calls: it
    # may have been so from when we last heard anything, or called in vain.  Half a second is for the answer.
    TOLD = 5_500_000

    def __init__(self, reactor, deadlines, now, asking: Asking, address, told):
        self.agent = Agent(reactor, connectTimeout=2)
        self.deadlines, self.now, self.asking, self.address = deadlines, now, asking, address
        self.told = told  # (entries, whole): news; whether all could be used, and if not, whether that is new
        self.generation = 0
        self.lacking = False  # some entry could not be used: only a whole list shows that all is known
        self.body: Lines | None = None
        self.call = None
        self.since = now()  # when something was heard last, or a call begun
        self.silence: Deadline | None = None
        self.next: Deadline | None = None  # the deadline of the next call
        self.stopped = False

    def known(self, listing: dict) -> None:
        """The list as we last had it."""
        self.take(listing)

    def watch(self) -> None:
        if self.stopped or self.call is not None or self.body is not None:
            return
        if self.next is not None:
            self.next.cancel()
        since = 0 if self.lacking else self.generation
        url = PATH % (self.address[0].encode(), self.address[1], since)
        self.heard()
        call = self.call = self.agent.request(b"GET", url)
        call.addCallbacks(self.opened, self.failed, (call,), errbackArgs=(call,))

    def opened(self, response, call) -> None:
        body, dropped = Lines(self), call is not self.call
        if not dropped:
            self.call, self.body = None, body  # first: what has come already is delivered at once
        response.deliverBody(body)
        if dropped:
            body.transport.loseConnection()
        elif response.code != 200 and self.body is body:
            self.broke(f"status-{response.code}")

    def failed(self, reason, call) -> None:
        if call is self.call:
            self.broke("refused" if reason.check(ConnectError) else reason.type.__name__)

    def heard(self) -> None:
        if self.silence is not None:
            self.silence.cancel()
        self.since = self.now()
        self.silence = self.deadlines.call_at(self.since + self.SILENT, self.silent)

    def silent(self) -> None:
        """Guards against a machine that vanished: its connection stays open and says nothing."""
        self.broke("silent")

    def line(self, line: bytes) -> None:
        self.heard()
        if not line.strip():
            return
        try:
            new = self.take(orjson.loads(line))
        except Exception as fault:  # guards against whatever may come: the watch is begun anew
            logger.error("discovery: a line that can't be used: {}: {}", type(fault).__name__, fault)
            return self.broke("unreadable")
        self.asking.failures = 0
        if new:  # guards against news lost for good: what was spoilt on its way comes whole the next time
            self.broke("unusable-entry")

    def take(self, listing: dict) -> bool:
        """Whether something in it could not be used that is new to us."""
        generation, whole = int(listing["generation"]), bool(listing.get("reset"))
        usable, new = self.told(listing["instances"], whole)
        self.lacking = not usable or (self.lacking and not whole)
        self.generation = generation
        return new

    def broke(self, code: str) -> None:
        if self.silence is not None:
            self.silence.cancel()
        call, self.call = self.call, None
        if call is not None:
            call.cancel()
        body, self.body = self.body, None
        if body is not None and body.transport is not None:
            body.transport.loseConnection()
        logger.info("end discovery generation={} code={}", self.generation, code)
        if not self.stopped:
            self.next = self.deadlines.call_at(
                self.asking.failed(self.now(), self.since + self.TOLD), self.watch
            )

    def move(self, address: tuple[str, int]) -> None:
        """Discovery is elsewhere from now on.  Its versions go on, so what is known stays known."""
        if address == self.address or self.stopped:
            return
        self.address = address
        self.asking.failures = 0
        if self.call is not None or self.body is not None:
            self.broke("moved")
        self.watch()

    def stop(self) -> None:
        self.stopped = True
        if self.call is not None or self.body is not None:
            self.broke("stopping")
