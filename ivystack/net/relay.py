"""Long values, passed on in pieces as they come.

Owns a value on its way from a node's connection to a client's or back, and the few pieces of it that wait.
It must never hold a value whole, make a broken one look whole, or go on reading what the other side does not
take.
"""

from __future__ import annotations

from .deadlines import Deadline
from .resp import VALUE


class Relay:
    """One long answer: what comes from the node's connection goes to the client's, once its turn has come."""

    LEAST = 4_096  # bytes of a window: with less each piece costs more than it carries

    def __init__(self, link, size: int, window: int):
        self.link, self.size = link, size
        self.client = None  # None: nobody wants it (any more), the rest is thrown away
        self.started = False  # its turn has come: the client has the head of it
        self.over = False
        self.passed = 0  # bytes that came
        self.kept: list[bytes] = []  # pieces that came before the turn
        self.window = link.transport.bufferSize = window  # read at once

    # From the node's side.

    def piece(self, data: bytes) -> None:
        self.passed += len(data)
        if self.client is None:
            return
        if self.started:
            return self.client.transport.write(data)
        self.kept.append(data)
        self.link.pauseProducing()

    def whole(self) -> None:
        """The node's own end of it has come, and what lies behind is an answer's."""
        if not self.over:
            self.over = True
            if self.client is not None:
                self.client.passed_on(self)

    def broken(self) -> None:
        if not self.over:
            self.over = True
            self.kept.clear()
            if self.client is not None:
                self.client.cut(self)

    # From the client's side.

    def start(self) -> None:
        self.started = True
        self.client.transport.bufferSize = self.window
        self.client.transport.writeSequence([b"$%d\r\n" % self.size, *self.kept])
        self.kept.clear()
        if not self.client.blocked:
            self.resume()

    def pause(self) -> None:
        if not self.over:
            self.link.pauseProducing()

    def resume(self) -> None:
        if not self.over and self.link.paused and not self.link.deaf:
            self.link.resumeProducing()

    def left(self) -> None:
        """The client has gone."""
        self.client = None
        self.kept.clear()
        if not self.over:
            self.link.relay_abandoned()
            self.resume()


class Upload:
    """One long write: what comes from the client's connection goes to the node's, once there is one."""

    def __init__(self, client, size: int, window: int):
        self.client, self.size, self.window = client, size, window
        client.transport.bufferSize = window
        self.link = None
        self.request = None
        self.rest = 0  # milliseconds that the node is told we wait
        self.through = None  # called once the node has been written all of it
        self.held = False  # the client is not read on
        self.ended = False  # the client's own end of it has come
        self.whole = False  # and has gone to the node
        self.over = False  # the rest is thrown away
        self.kept: list[bytes] = []  # pieces that came before there was a connection
        self.stuck: Deadline | None = None

    # From the client's side.

    def piece(self, data: bytes) -> None:
        if self.over:
            return
        if self.link is not None:
            return self.write(data)
        self.kept.append(data)
        self.hold()

    def end(self) -> None:
        self.ended = True
        if self.link is not None:
            self.finish()

    def hold(self) -> None:
        self.held = True
        self.client.stop_reading()

    def read_on(self) -> None:
        self.held = False
        self.client.go_on()

    def discard(self) -> None:
        """Its request has been answered, or can't go out again: the rest is read and thrown away."""
        self.over = True
        self.kept.clear()
        self.read_on()

    # From the node's side.

    def sent_to(self, link) -> None:
        self.link = link
        link.transport.bufferSize = self.window
        link.transport.registerProducer(self, True)
        while self.kept:
            self.write(self.kept.pop(0))
        if self.ended:
            return self.finish()
        if self.stuck is None:
            self.read_on()

    def write(self, data: bytes) -> None:
        self.request.partly_sent = True
        self.link.send([data])

    def finish(self) -> None:
        self.link.send([b"\r\n"])
        self.whole = True
        self.leave()
        self.through(self)

    def leave(self) -> None:
        """It has nothing to do with the node's connection any more."""
        link, self.link = self.link, None
        if link is not None:
            link.transport.bufferSize = VALUE
            link.transport.unregisterProducer()
            if self.stuck is not None:
                self.stuck.cancel()
            self.stuck = None

    def broke(self) -> None:
        """The attempt has ended before it was whole."""
        self.leave()
        if self.request.partly_sent:
            self.discard()

    def pauseProducing(self) -> None:  # noqa: N802
        pools, timeout = self.link.pools, self.link.STALL_TIMEOUT
        self.stuck = pools.deadlines.call_at(pools.now() + timeout, self.link.drop, "stalled")
        self.hold()

    def resumeProducing(self) -> None:  # noqa: N802
        if self.link is not None:
            if self.stuck is not None:
                self.stuck.cancel()
            self.stuck = None
            self.read_on()

    def stopProducing(self) -> None:  # noqa: N802
        """The node's connection has gone; that is told where it ends."""
