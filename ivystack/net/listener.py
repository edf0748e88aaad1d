"""The listening socket for clients, and the transport of each connection that it accepts.

Twisted's own classes lose requests in three ways that these do not (docs/incidents, 2026-12-02):

- a connection was closed without a look at what had come meanwhile;
- where a process runs out of descriptors, `Port` accepts what waits in the backlog and closes it at once;
- each error of recv and send but EAGAIN was taken for the connection's end, also one that passes (ENOMEM).

And they send on for nobody: a client's end that lies behind its request was seen a turn later.
"""

from __future__ import annotations

import enum
import socket
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

from loguru import logger
from twisted.internet import main, tcp
from twisted.python.failure import Failure

NOTHING = frozenset({EAGAIN, EWOULDBLOCK})  # of recv: nothing has come
MOMENTARY = frozenset({*NOTHING, EINTR, ENOMEM, ENOBUFS})  # of recv and send: try again
EXHAUSTED = frozenset({EMFILE, ENFILE, ENOBUFS, ENOMEM})  # of accept: the connection goes on waiting
REST = 2_000  # microseconds without an accept after one that could not be made
LOOKS = 256  # reads in a row for what has come: a read may bring as little as a byte


class Rest(enum.Enum):
    """What reading to the end of what has come has found."""

    NOTHING = "nothing more"
    REQUEST = "something to be answered, or more than is read at once"
    ENDED = "the client's end"
    UNKNOWN = "the call failed for a moment"


class ClientTransport(tcp.Server):
    """A client's connection.

    Its protocol says in `may_end` whether it may end now that all is written, and in `reads_on` whether what
    has come so far asks for nothing yet.
    """

    def doRead(self):  # noqa: N802
        """Reads what has come, and looks whether the client has ended right behind it: where it was accepted
        or read late, what it asked would be sent on for nobody."""
        if self.disconnecting:  # the last look reads it; LineReceiver would take it apart by half
            return None
        try:
            data = self.socket.recv(self.bufferSize)
        except OSError as fault:
            return None if fault.errno in MOMENTARY else main.CONNECTION_LOST
        if 0 < len(data) < self.bufferSize:
            try:
                more = self.socket.recv(self.bufferSize - len(data))
            except OSError as fault:
                if fault.errno not in MOMENTARY:
                    return main.CONNECTION_LOST
            else:
                if not more:  # it has gone already: what it sent before is nobody's
                    return main.CONNECTION_DONE
                data += more
        return self._dataReceived(data)

    def writeSomeData(self, data):  # noqa: N802
        try:
            return self.socket.send(memoryview(data)[: self.SEND_LIMIT])
        except OSError as fault:
            return 0 if fault.errno in MOMENTARY else main.CONNECTION_LOST

    def read_now(self) -> Rest:
        """Reads what has come, without waiting for the reactor to say so.  An end that is found is left to
        the reactor, which finds it again."""
        for _ in range(LOOKS if self.connected else 0):
            try:
                data = self.socket.recv(self.bufferSize)
            except OSError as fault:
                if fault.errno in NOTHING:
                    return Rest.NOTHING
                return Rest.UNKNOWN if fault.errno in MOMENTARY else Rest.ENDED
            if not data:
                return Rest.ENDED
            self.protocol.dataReceived(data)
            if not self.protocol.reads_on():
                break
        return Rest.REQUEST

    def look_for_end(self) -> bool:
        """Whether the client is still there; what it has sent is read, and if it has gone that is told."""
        if not self.connected:
            return False
        ended = self.doRead()
        if ended is None:
            return True
        self.connectionLost(Failure(ended))
        return False

    def startReading(self):  # noqa: N802
        self.ask_reactor(super().startReading)

    def startWriting(self):  # noqa: N802
        self.ask_reactor(super().startWriting)

    def ask_reactor(self, call) -> None:
        """epoll_ctl may fail for want of memory: an answer must not wait for good for that."""
        try:
            call()
        except OSError as fault:
            logger.warning("epoll: tried again in {} ms code={}", REST // 1000, errorcode.get(fault.errno))
            self.reactor.callLater(REST / 1_000_000, self.ask_again, call)

    def ask_again(self, call) -> None:
        if self.connected and not self._aborting:
            self.ask_reactor(call)

    def _postLoseConnection(self):  # noqa: N802
        """All that was written is out, and the connection is to end: the last look at what has come.

        Nothing lies between this look and the end but the call that ends it, so only what arrives in these
        microseconds is not read.
        """
        self.disconnecting = False
        found = self.read_now()
        if found is Rest.ENDED:
            return main.CONNECTION_DONE
        if self._aborting:
            return None
        if found is Rest.UNKNOWN or self._tempDataLen or self.dataBuffer:  # look again, after what is written
            self.disconnecting = True
            self.startWriting()
            return None
        if self.protocol.may_end():
            return main.CONNECTION_DONE
        if not self.protocol.paused:
            self.startReading()
        return None


class ClientListener(tcp.Port):
    """Accepts clients, a bounded number a turn, for a factory that says how many it has room for.

    The factory offers `room()`, `make_room()`, `deadlines` and `now`.  What can't be accepted now waits in
    the kernel's backlog; it is never accepted only to be closed.
    """

    transport = ClientTransport
    AT_ONCE = 16  # accepted in one turn

    def doRead(self):  # noqa: N802
        try:
            self.accept_waiting(self.AT_ONCE)
        except Exception:  # guards the port: the reactor would close it
            logger.exception("accept: failed")

    def accept_waiting(self, most: int) -> None:
        """Accepts up to so many that wait, as far as there is room."""
        for _ in range(most):
            if self.factory.room() <= 0:
                if not self.factory.make_room():
                    self.rest()
                return
            if not self.accept_one():
                return

    def accept_one(self) -> bool:
        """Whether another may be waiting."""
        try:
            accepted, address = self.socket.accept()
        except OSError as fault:
            if fault.errno in (EAGAIN, EWOULDBLOCK):
                return False
            if fault.errno in EXHAUSTED:
                logger.warning("accept: rests {} ms code={}", REST // 1000, errorcode[fault.errno])
                self.factory.make_room(least=1)
                self.rest()
                return False
            # Any other is that one connection's (accept(2): errors of the network come up here).
            logger.warning("accept: passed by code={}", errorcode.get(fault.errno, fault.errno))
            return True
        try:
            self.serve(accepted, address)
        except Exception:
            logger.exception("accept: a connection could not be set up")
            accepted.close()
        return True

    def serve(self, accepted: socket.socket, address: tuple) -> None:
        if len(address) == 4:  # IPv6: with the scope's name
            flags = socket.NI_NUMERICHOST | socket.NI_NUMERICSERV
            address = (socket.getnameinfo(address, flags)[0], *address[1:])
        protocol = self.factory.buildProtocol(self._buildAddr(address))
        self.sessionno += 1
        transport = self.transport(accepted, protocol, address, self, self.sessionno, self.reactor)
        protocol.makeConnection(transport)

    def rest(self) -> None:
        """No accepts for a moment: what keeps them from being made would keep the reactor busy."""
        self.stopReading()
        self.factory.deadlines.call_at(self.factory.now() + REST, self.go_on)

    def go_on(self) -> None:
        if not self.connected or self.disconnecting:
            return
        try:
            self.startReading()
        except OSError as fault:  # epoll_ctl for want of memory
            logger.warning("accept: rests {} ms code={}", REST // 1000, errorcode.get(fault.errno))
            self.rest()


def listen(reactor, host: str, port: int, factory, backlog: int) -> ClientListener:
    """Listens for clients there; raises CannotListenError."""
    made = ClientListener(port, factory, backlog, host, reactor)
    made.startListening()
    return made


def adopt(reactor, descriptor: int, family: int, factory) -> ClientListener:
    """Accepts at a socket that listens already; it has a descriptor of its own for it."""
    made = ClientListener._fromListeningDescriptor(reactor, descriptor, family, factory)
    made.startListening()
    return made
