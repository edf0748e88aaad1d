"""The listening socket for clients, and the transport of each connection that it accepts.

Twisted's own classes lose requests in three ways that these do not (docs/incidents, 2026-12-02):

- a connection was closed without a look at what had arrived meanwhile;
- where a process runs out of descriptors, `Port` accepts what waits in the backlog and closes it at once;
- each error of recv and send but EAGAIN was treated as the connection's end, also a transient one (ENOMEM).

And they forward requests for nobody: a client's end right behind its request was seen a turn later.
"""

from __future__ import annotations

import enum
import socket
from collections.abc import Callable
from errno import (  # fmt: skip
    EAGAIN,
    EINTR,
    EMFILE,
    ENFILE,
    ENOBUFS,
    ENOMEM,
    EWOULDBLOCK,
    errorcode,
)
from typing import Any, Protocol, cast

from loguru import logger
from twisted.internet import main, tcp
from twisted.python.failure import Failure

from .deadlines import DeadlineQueue

NOTHING_TO_READ = frozenset({EAGAIN, EWOULDBLOCK})  # of recv
TRANSIENT = frozenset({*NOTHING_TO_READ, EINTR, ENOMEM, ENOBUFS})  # of recv and send: try again
EXHAUSTED = frozenset({EMFILE, ENFILE, ENOBUFS, ENOMEM})  # of accept: the connection goes on waiting
RETRY_DELAY = 2_000  # microseconds, after an accept or an epoll_ctl that failed for want of resources
MAX_READS = 256  # in a row for what has arrived: a read may bring as little as a byte


class ReadResult(enum.Enum):
    """What reading to the end of what has arrived has found."""

    NOTHING_MORE = "nothing more"
    REQUEST = "something to be answered, or more than is read at once"
    ENDED = "the client's end"
    UNKNOWN = "the call failed for a moment"


class ClientTransport(tcp.Server):
    """The transport of a client's connection.

    Its protocol says in `may_close` whether it may end now that all is written, and in `all_answered` whether
    what has arrived so far asks for nothing yet.
    """

    def doRead(self, *args: Any, **kwargs: Any) -> Any:  # noqa: N802
        """Read what has arrived, and look whether the client's end lies right behind it.

        Where the client was accepted or read late, its request would otherwise be forwarded for nobody.
        """
        if self.disconnecting:  # the last read before the end will take it; LineReceiver would stop half-way
            return None
        try:
            data = self.socket.recv(self.bufferSize)
        except OSError as fault:
            return None if fault.errno in TRANSIENT else main.CONNECTION_LOST
        if 0 < len(data) < self.bufferSize:
            try:
                more = self.socket.recv(self.bufferSize - len(data))
            except OSError as fault:
                if fault.errno not in TRANSIENT:
                    return main.CONNECTION_LOST
            else:
                if not more:  # the client has gone already: nobody waits for what it sent before
                    return main.CONNECTION_DONE
                data += more
        return self._dataReceived(data)

    def writeSomeData(self, data: bytes) -> Any:  # noqa: N802, D102
        try:
            return self.socket.send(memoryview(data)[: self.SEND_LIMIT])
        except OSError as fault:
            return 0 if fault.errno in TRANSIENT else main.CONNECTION_LOST

    def read_now(self) -> ReadResult:
        """Read what has arrived, without waiting for the reactor to say so.

        An end that is found is left to the reactor, which finds it again.
        """
        protocol: Any = self.protocol
        for _ in range(MAX_READS if self.connected else 0):
            try:
                data = self.socket.recv(self.bufferSize)
            except OSError as fault:
                if fault.errno in NOTHING_TO_READ:
                    return ReadResult.NOTHING_MORE
                return ReadResult.UNKNOWN if fault.errno in TRANSIENT else ReadResult.ENDED
            if not data:
                return ReadResult.ENDED
            protocol.dataReceived(data)
            if not protocol.all_answered():
                break
        return ReadResult.REQUEST

    def look_for_end(self) -> bool:
        """Return whether the client is still there; what it has sent is read, and an end is handled."""
        if not self.connected:
            return False
        ended = self.doRead()
        if ended is None:
            return True
        self.connectionLost(Failure(ended))
        return False

    def startReading(self) -> None:  # noqa: N802, D102
        self._register(super().startReading)

    def startWriting(self) -> None:  # noqa: N802, D102
        self._register(super().startWriting)

    def _register(self, call: Callable[[], None]) -> None:
        """Register with the reactor, again later if epoll_ctl fails for want of memory."""
        try:
            call()
        except OSError as fault:
            delay_ms, code = RETRY_DELAY // 1000, errorcode.get(fault.errno or 0)
            logger.warning("epoll: retried in {} ms code={}", delay_ms, code)
            self.reactor.callLater(RETRY_DELAY / 1_000_000, self._register_again, call)

    def _register_again(self, call: Callable[[], None]) -> None:
        if self.connected and not self._aborting:
            self._register(call)

    def _postLoseConnection(self) -> Exception | None:  # noqa: N802
        """End the connection after all was written, unless a last read finds something to answer.

        Nothing lies between this read and the end but the call that ends it, so only what arrives in these
        microseconds is not read.
        """
        self.disconnecting = False
        found = self.read_now()
        if found is ReadResult.ENDED:
            return main.CONNECTION_DONE
        if self._aborting:
            return None
        unsent = self._tempDataLen or self.dataBuffer
        if found is ReadResult.UNKNOWN or unsent:  # look again, after what is written
            self.disconnecting = True
            self.startWriting()
            return None
        if self.protocol.may_close():
            return main.CONNECTION_DONE
        if not self.protocol.paused:
            self.startReading()
        return None


class AcceptingFactory(Protocol):
    """What the listener needs of the clients' server."""

    deadlines: DeadlineQueue
    now: Callable[[], int]

    def buildProtocol(self, addr: Any) -> Any:  # noqa: N802
        """Return the protocol of a new connection."""

    def available_capacity(self) -> int:
        """Return how many more connections may be accepted now."""

    def evict_for_capacity(self, least: int = 0) -> int:
        """Close some connections, and return how many."""


class ClientListener(tcp.Port):
    """Accepts clients, a bounded number a turn, for a factory that says how many it has capacity for.

    What can't be accepted now waits in the kernel's backlog; it is never accepted only to be closed.
    """

    transport = ClientTransport
    ACCEPTS_PER_TURN = 16
    factory: Any  # a `AcceptingFactory`

    def doRead(self) -> None:  # noqa: N802, D102
        try:
            self.accept_waiting(self.ACCEPTS_PER_TURN)
        except Exception:  # the reactor would close the port
            logger.exception("accept: failed")

    def accept_waiting(self, most: int) -> None:
        """Accept up to so many that wait, as far as there is capacity."""
        for _ in range(most):
            if self.factory.available_capacity() <= 0:
                if not self.factory.evict_for_capacity():
                    self._pause()
                return
            if not self._accept_one():
                return

    def _accept_one(self) -> bool:
        """Return whether another connection may be waiting."""
        try:
            accepted, address = self.socket.accept()
        except OSError as fault:
            if fault.errno in NOTHING_TO_READ:
                return False
            code = errorcode.get(fault.errno or 0, fault.errno)
            if fault.errno in EXHAUSTED:
                logger.warning("accept: paused for {} ms code={}", RETRY_DELAY // 1000, code)
                self.factory.evict_for_capacity(least=1)
                self._pause()
                return False
            # Any other is that one connection's (accept(2): errors of the network come up here).
            logger.warning("accept: skipped a connection code={}", code)
            return True
        try:
            self._set_up(accepted, address)
        except Exception:
            logger.exception("accept: a connection could not be set up")
            accepted.close()
        return True

    def _set_up(self, accepted: socket.socket, address: tuple[Any, ...]) -> None:
        if len(address) == 4:  # IPv6: with the scope's name
            flags = socket.NI_NUMERICHOST | socket.NI_NUMERICSERV
            address = (socket.getnameinfo(address, flags)[0], *address[1:])
        protocol = self.factory.buildProtocol(self._buildAddr(address))
        self.sessionno += 1
        transport = self.transport(accepted, protocol, address, self, self.sessionno, self.reactor)
        protocol.makeConnection(transport)

    def _pause(self) -> None:
        """Accept nothing for a moment: what prevents it would keep the reactor busy."""
        self.stopReading()
        self.factory.deadlines.call_at(self.factory.now() + RETRY_DELAY, self._resume)

    def _resume(self) -> None:
        if not self.connected or self.disconnecting:
            return
        try:
            self.startReading()
        except OSError as fault:  # epoll_ctl for want of memory
            code = errorcode.get(fault.errno or 0)
            logger.warning("accept: paused for {} ms code={}", RETRY_DELAY // 1000, code)
            self._pause()


def listen(reactor: Any, host: str, port: int, factory: AcceptingFactory, backlog: int) -> ClientListener:
    """Listen for clients at an address.

    :raises twisted.internet.error.CannotListenError: the address can't be used
    """
    listener = ClientListener(port, cast(Any, factory), backlog, host, reactor)
    listener.startListening()
    return listener


def adopt(reactor: Any, descriptor: int, family: int, factory: AcceptingFactory) -> ClientListener:
    """Accept clients at a socket that listens already; its descriptor is duplicated."""
    listener = ClientListener._fromListeningDescriptor(reactor, descriptor, family, factory)
    listener.startListening()
    return listener
