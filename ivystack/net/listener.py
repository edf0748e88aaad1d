"""The listening socket for clients, and the transport of each accepted connection.

These classes replace Twisted's, which lose requests in three cases (docs/incidents, 2026-12-02):

- They close a connection without reading what has arrived meanwhile.
- If the process runs out of descriptors, `Port` accepts the connections in the backlog only to close them.
- They treat every error of recv and send except EAGAIN as the end of the connection, even a transient one
  (ENOMEM).

Twisted's classes also notice a client's hang-up directly after its request only a reactor turn later, so that
the request is forwarded without a client to answer.
"""

from __future__ import annotations

import enum
import fcntl
import select
import socket
import sys
import termios
from collections.abc import Callable, Iterable
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
from .memory_budget import ALLOWANCE

NOTHING_TO_READ = frozenset({EAGAIN, EWOULDBLOCK})  # of recv
TRANSIENT = frozenset({*NOTHING_TO_READ, EINTR, ENOMEM, ENOBUFS})  # of recv and send, which are retried
EXHAUSTED = frozenset({EMFILE, ENFILE, ENOBUFS, ENOMEM})  # of accept; the connection stays in the backlog
HUNG_UP = select.POLLRDHUP | select.POLLHUP  # of poll
RETRY_DELAY = 2_000  # microseconds after accept or epoll_ctl failed for lack of resources
MAX_READS = 256  # successive reads of one connection, each of which may return as little as one byte


class ReadResult(enum.Enum):
    """The result of reading all input that has arrived."""

    NOTHING_MORE = "nothing more"
    REQUEST = "a command to be answered, or more input than is read at once"
    ENDED = "the client hung up"
    UNKNOWN = "a read failed with a transient error"


class ClientTransport(tcp.Server):
    """The transport of a client's connection.

    The protocol's `may_close` returns whether the connection may close after all writes, `all_answered`
    whether no command that was read lacks its response, `has_unread_input` whether input was received that is
    not handled yet, and `read_size` how many bytes may be read at once; `output_sent` is told how many bytes
    are not sent.
    """

    protocol: Any

    def doRead(self, *args: Any, **kwargs: Any) -> Any:  # noqa: N802
        """Read what has arrived, and check whether the client's hang-up directly follows.

        If the client was accepted or read late, its request would otherwise be forwarded without a client to
        answer.
        """
        if self.disconnecting:  # left to the last read before the close; LineReceiver would stop half-way
            return None
        size = self.protocol.read_size()
        try:
            data = self.socket.recv(size)
        except OSError as error:
            return None if error.errno in TRANSIENT else main.CONNECTION_LOST
        if len(data) == size and self._has_hung_up():
            return main.CONNECTION_DONE
        if 0 < len(data) < size:
            try:
                more = self.socket.recv(size - len(data))
            except OSError as error:
                if error.errno not in TRANSIENT:
                    return main.CONNECTION_LOST
            else:
                if not more:  # the client has hung up and does not wait for an answer
                    return main.CONNECTION_DONE
                data += more
        return self._dataReceived(data)

    def _has_hung_up(self) -> bool:
        """Return whether the client has hung up, even if input from it is unread."""
        poll = select.poll()
        poll.register(self.socket, select.POLLRDHUP)
        try:
            ready = poll.poll(0)
        except OSError:  # found out when the rest is read
            return False
        return any(events & HUNG_UP for _, events in ready)

    def write(self, data: bytes) -> None:  # noqa: D102
        super().write(data)
        self._count_output()

    def writeSequence(self, iovec: Iterable[bytes]) -> None:  # noqa: N802, D102
        super().writeSequence(iovec)
        self._count_output()

    def doWrite(self) -> Any:  # noqa: N802, D102
        ended = super().doWrite()
        if ended is None:
            self._count_output()
        return ended

    def _count_output(self) -> None:
        unsent = len(self.dataBuffer) + self._tempDataLen
        if self.connected and (unsent > ALLOWANCE or self.protocol.memory.output):
            self.protocol.output_sent(unsent)

    def writeSomeData(self, data: bytes) -> Any:  # noqa: N802, D102
        try:
            return self.socket.send(memoryview(data)[: self.SEND_LIMIT])
        except OSError as error:
            return 0 if error.errno in TRANSIENT else main.CONNECTION_LOST

    def read_now(self) -> ReadResult:
        """Read what has arrived, without waiting for the reactor to report it.

        A hang-up is left to the reactor, which will read it again.
        """
        protocol: Any = self.protocol
        for _ in range(MAX_READS if self.connected else 0):
            try:
                data = self.socket.recv(protocol.read_size())
            except OSError as error:
                if error.errno in NOTHING_TO_READ:
                    return ReadResult.NOTHING_MORE
                return ReadResult.UNKNOWN if error.errno in TRANSIENT else ReadResult.ENDED
            if not data:
                return ReadResult.ENDED
            protocol.dataReceived(data)
            if not protocol.all_answered() or protocol.has_unread_input():
                break
        return ReadResult.REQUEST

    def unread_bytes(self) -> int:
        """Return how many bytes have arrived that were not read; 0 on a closed connection."""
        if not self.connected:
            return 0
        return int.from_bytes(fcntl.ioctl(self.socket.fileno(), termios.FIONREAD, bytes(4)), sys.byteorder)

    def look_for_end(self) -> bool:
        """Return whether the client is still connected; read its input, and handle a hang-up."""
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
        """Register with the reactor, and retry later if epoll_ctl fails for lack of memory."""
        try:
            call()
        except OSError as error:
            delay_ms, code = RETRY_DELAY // 1000, errorcode.get(error.errno or 0)
            logger.warning(
                "epoll registration of a client connection failed; retrying in {} ms code={}", delay_ms, code
            )
            self.reactor.callLater(RETRY_DELAY / 1_000_000, self._register_again, call)

    def _register_again(self, call: Callable[[], None]) -> None:
        if self.connected and not self._aborting:
            self._register(call)

    def _postLoseConnection(self) -> Exception | None:  # noqa: N802
        """Close the connection after all was written, unless a last read finds a command to answer.

        The close directly follows this read, so that only input that arrives within these microseconds is not
        read.
        """
        self.disconnecting = False
        result = self.read_now()
        if result is ReadResult.ENDED:
            return main.CONNECTION_DONE
        if self._aborting:
            return None
        unsent = self._tempDataLen or self.dataBuffer
        if result is ReadResult.UNKNOWN or unsent:  # read again, after the output is sent
            self.disconnecting = True
            self.startWriting()
            return None
        if self.protocol.may_close():
            return main.CONNECTION_DONE
        if not self.protocol.paused:
            self.startReading()
        return None


class AcceptingFactory(Protocol):
    """The part of the server for clients that the listener uses."""

    deadlines: DeadlineQueue
    now: Callable[[], int]

    def buildProtocol(self, addr: Any) -> Any:  # noqa: N802
        """Return the protocol of a new connection."""

    def available_capacity(self) -> int:
        """Return how many more connections may be accepted now."""

    def evict_for_capacity(self, minimum: int = 0) -> int:
        """Close some connections, at least `minimum` if possible, and return how many were closed."""


class ClientListener(tcp.Port):
    """Accepts a bounded number of clients in each reactor turn, as far as the factory has capacity.

    Connections that can't be accepted now wait in the kernel's backlog.  They are never accepted only to be
    closed.
    """

    transport = ClientTransport
    ACCEPTS_PER_TURN = 16
    factory: Any  # an `AcceptingFactory`

    def doRead(self) -> None:  # noqa: N802, D102
        try:
            self.accept_waiting(self.ACCEPTS_PER_TURN)
        except Exception:  # must not reach the reactor, which would close the port
            logger.exception("accepting client connections raised an exception; the listener stays open")

    def accept_waiting(self, max_accepts: int) -> None:
        """Accept up to `max_accepts` waiting connections, as far as there is capacity."""
        for _ in range(max_accepts):
            if self.factory.available_capacity() <= 0:
                if not self.factory.evict_for_capacity():
                    self._pause()
                return
            if not self._accept_one():
                return

    def _accept_one(self) -> bool:
        """Accept a connection, and return whether another one may be waiting."""
        try:
            accepted, address = self.socket.accept()
        except OSError as error:
            if error.errno in NOTHING_TO_READ:
                return False
            code = errorcode.get(error.errno or 0, error.errno)
            if error.errno in EXHAUSTED:
                logger.warning("accept failed; pausing for {} ms code={}", RETRY_DELAY // 1000, code)
                self.factory.evict_for_capacity(minimum=1)
                self._pause()
                return False
            # Any other error concerns this connection alone: accept(2) also reports network errors.
            logger.warning("accept failed; skipping one client connection code={}", code)
            return True
        try:
            self._set_up(accepted, address)
        except Exception:
            logger.exception("accepted client connection could not be set up; closing the connection")
            accepted.close()
        return True

    def _set_up(self, accepted: socket.socket, address: tuple[Any, ...]) -> None:
        if len(address) == 4:  # IPv6: add the name of the scope
            flags = socket.NI_NUMERICHOST | socket.NI_NUMERICSERV
            address = (socket.getnameinfo(address, flags)[0], *address[1:])
        protocol = self.factory.buildProtocol(self._buildAddr(address))
        self.sessionno += 1
        transport = self.transport(accepted, protocol, address, self, self.sessionno, self.reactor)
        protocol.makeConnection(transport)

    def _pause(self) -> None:
        """Stop accepting for a short time, so that the reactor does not retry in every turn."""
        self.stopReading()
        self.factory.deadlines.call_at(self.factory.now() + RETRY_DELAY, self._resume)

    def _resume(self) -> None:
        if not self.connected or self.disconnecting:
            return
        try:
            self.startReading()
        except OSError as error:  # epoll_ctl failed for lack of memory
            code = errorcode.get(error.errno or 0)
            logger.warning(
                "could not resume accepting clients; retrying in {} ms code={}", RETRY_DELAY // 1000, code
            )
            self._pause()


def listen(reactor: Any, host: str, port: int, factory: AcceptingFactory, backlog: int) -> ClientListener:
    """Listen for clients at an address, and return the listener.

    :raises twisted.internet.error.CannotListenError: the address can't be used
    """
    listener = ClientListener(port, cast(Any, factory), backlog, host, reactor)
    listener.startListening()
    return listener


def adopt(reactor: Any, descriptor: int, family: int, factory: AcceptingFactory) -> ClientListener:
    """Accept clients on a socket that is already listening, and return the listener.

    The listener uses a duplicate of the descriptor.
    """
    listener = ClientListener._fromListeningDescriptor(reactor, descriptor, family, factory)
    listener.startListening()
    return listener
