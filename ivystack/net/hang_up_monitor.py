"""Detection of peers that hang up while their connection is not read."""

from __future__ import annotations

import select
from collections.abc import Callable
from errno import errorcode
from typing import Any, Generic, Protocol, TypeVar

from loguru import logger
from twisted.python.failure import Failure


class FileTransport(Protocol):
    """A transport with a file descriptor; -1 once it is closed."""

    def fileno(self) -> int:  # noqa: D102
        ...


class Connection(Protocol):
    """A connection that can be watched."""

    @property
    def transport(self) -> FileTransport:  # noqa: D102
        ...


ConnectionT = TypeVar("ConnectionT", bound=Connection)


class HangUpMonitor(Generic[ConnectionT]):
    """Reports that a peer has hung up, even if earlier input from the peer is still unread.

    The reactor reads one epoll descriptor, which watches all paused connections.  To detect a hang-up by
    reading instead, all earlier input would have to be read and buffered, however long.  The monitor does not
    read from connections, and does not close them.

    :param reactor: the Twisted reactor, which must have `addReader`
    :param on_hang_up: called once with each connection whose peer has hung up
    """

    def __init__(self, reactor: Any, on_hang_up: Callable[[ConnectionT], None]) -> None:
        self.reactor, self.on_hang_up = reactor, on_hang_up
        self.connections: dict[int, ConnectionT] = {}  # by descriptor
        self.descriptors: dict[ConnectionT, int] = {}
        self.epoll: select.epoll | None = None

    def watch(self, connection: ConnectionT) -> None:
        """Start to watch a connection whose reading is paused."""
        if self.epoll is None:  # most processes never pause a connection
            self.epoll = select.epoll()
            self.reactor.addReader(self)
        descriptor = connection.transport.fileno()
        if descriptor >= 0 and connection not in self.descriptors:
            try:
                self.epoll.register(descriptor, select.EPOLLRDHUP | select.EPOLLONESHOT)
            except OSError as error:  # for lack of memory; the hang-up is found when the connection is read
                logger.warning(
                    "epoll registration of a paused client failed; its hang-up may be noticed late code={}",
                    errorcode.get(error.errno or 0),
                )
                return
            self.connections[descriptor], self.descriptors[connection] = connection, descriptor

    def forget(self, connection: ConnectionT) -> None:
        """Stop watching a connection that is read again or was closed."""
        descriptor = self.descriptors.pop(connection, None)
        if descriptor is not None:
            del self.connections[descriptor]
            # The kernel removes a closed descriptor from the epoll set, and its number may be reused.
            if connection.transport.fileno() == descriptor:
                assert self.epoll is not None
                self.epoll.unregister(descriptor)

    def check(self) -> None:
        """Report the peers that have hung up by now."""
        if self.epoll is not None:
            self.doRead()

    # Called by the reactor.

    def fileno(self) -> int:
        """Return the epoll descriptor, which the reactor reads."""
        assert self.epoll is not None
        return self.epoll.fileno()

    def logPrefix(self) -> str:  # noqa: N802, D102
        return "hang-up-monitor"

    def doRead(self) -> None:  # noqa: N802, D102
        assert self.epoll is not None
        for descriptor, _ in self.epoll.poll(0):
            connection = self.connections.get(descriptor)
            if connection is not None:
                self.on_hang_up(connection)

    def connectionLost(self, reason: Failure) -> None:  # noqa: N802, D102
        if self.epoll is not None:
            self.epoll.close()
