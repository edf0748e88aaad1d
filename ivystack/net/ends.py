"""The ends of connections that are not read for now.

Owns the one descriptor that tells of them.  It must never read a byte of a connection, or end one itself.
"""

from __future__ import annotations

import select
from errno import errorcode

from loguru import logger


class Ends:
    """A descriptor for the reactor to read: on it the kernel tells that another side has ended, though bytes
    that came before lie unread.

    Guards against reqs that are sent on for a client that left while they waited: to see its end by reading,
    all that it has sent would have to be read first, however much that is."""

    def __init__(self, reactor, ended):
        self.reactor, self.ended = reactor, ended  # told of each that has ended, once
        self.watched: dict[int, object] = {}  # by descriptor: whose
        self.at: dict[object, int] = {}  # and which is whose
        self.epoll = None

    def watch(self, one) -> None:
        if self.epoll is None:  # most proxies never pause one
            self.epoll = select.epoll()
            self.reactor.addReader(self)
        fd = one.transport.fileno()
        if fd >= 0 and one not in self.at:
            try:
                self.epoll.register(fd, select.EPOLLRDHUP | select.EPOLLONESHOT)
            except OSError as fault:  # for want of memory: its end shows when it is read again
                logger.warning("epoll: an end may be seen late code={}", errorcode.get(fault.errno))
                return
            self.watched[fd], self.at[one] = one, fd

    def forget(self, one) -> None:
        """It is read again, or closed: a closed descriptor has left by itself, and its number is free."""
        fd = self.at.pop(one, None)
        if fd is not None:
            del self.watched[fd]
            if one.transport.fileno() == fd:
                self.epoll.unregister(fd)

    # For the reactor.

    def fileno(self) -> int:
        return self.epoll.fileno()

    def logPrefix(self) -> str:  # noqa: N802
        return "ends"

    def doRead(self) -> None:  # noqa: N802
        for fd, _ in self.epoll.poll(0):
            one = self.watched.get(fd)
            if one is not None:
                self.ended(one)

    def connectionLost(self, reason) -> None:  # noqa: N802
        """The reactor stops."""
        self.epoll.close()
