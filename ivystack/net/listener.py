"""The listening socket for clients, and the transport of each connection that it accepts.

Twisted's own classes lose requests in three ways that these do not (docs/incidents, 2026-12-02):

- a connection was closed without a look at what had come meanwhile;
- where a process runs out of descriptors, `Port` accepts what waits in the backlog and closes it at once;
- each error of recv and send but EAGAIN was taken for the connection's end, also one that passes (ENOMEM).
"""

from __future__ import annotations

import socket
from errno import (  # fmt: skip
    EAGAIN, EINTR, EMFILE, ENFILE, ENOBUFS, ENOMEM, EWOULDBLOCK, errorcode,
)

from loguru import logger
from twisted.internet import main, tcp

MOMENTARY = frozenset({EAGAIN, EWOULDBLOCK, EINTR, ENOMEM, ENOBUFS})  # of recv and send: try again
EXHAUSTED = frozenset({EMFILE, ENFILE, ENOBUFS, ENOMEM})  # of accept: the connection goes on waiting
REST = 5_000  # microseconds without an accept after one that could not be made


class ClientTransport(tcp.Server):
    """A client's connection.  Its protocol says in `may_end` whether it may end now that all is written."""

    def doRead(self):  # noqa: N802
        if self.disconnecting:  # the last look reads it; LineReceiver would take it apart by half
            return None
        try:
            data = self.socket.recv(self.bufferSize)
        except OSError as fault:
            return None if fault.errno in MOMENTARY else main.CONNECTION_LOST
        return self._dataReceived(data)

    def writeSomeData(self, data):  # noqa: N802
        try:
            return self.socket.send(memoryview(data)[: self.SEND_LIMIT])
        except OSError as fault:
            return 0 if fault.errno in MOMENTARY else main.CONNECTION_LOST

    def read_now(self) -> None:
        """Reads what has come, without waiting for the reactor to say so.  An end that is found is left to
        the reactor, which finds it again."""
        if self.connected:
            self.doRead()

    def _postLoseConnection(self):  # noqa: N802
        """All that was written is out, and the connection is to end: the last look at what has come.

        Nothing lies between this look and the end but the call that ends it, so only what arrives in these
        microseconds is not read.
        """
        self.disconnecting = False
        ended = self.doRead()
        if ended is not None:
            return ended
        if self._tempDataLen or self.dataBuffer:  # an answer to what was read just now: look again after it
            self.disconnecting = True
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
        self.accept_waiting(self.AT_ONCE)

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
        self.serve(accepted, address)
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
        self.factory.deadlines.at(self.factory.now() + REST, self.go_on)

    def go_on(self) -> None:
        if self.connected and not self.disconnecting:
            self.startReading()


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
