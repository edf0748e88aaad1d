"""Long values, passed on in pieces as they come.

Owns a value on its way from a node's connection to a client's, and the few pieces of it that wait.  It must
never hold a value whole, make a broken one look whole, or go on reading what the client does not take.
"""

from __future__ import annotations


class Relay:
    """One long answer: what comes from the node's connection goes to the client's, once its turn has come."""

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
            self.link.nodes.unwanted(self.link)
            self.resume()
