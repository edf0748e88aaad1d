"""The stand-ins for programs without a running reactor, such as tests.

The reactor runs in a thread, and this module makes blocking calls into it. A program that already runs a
reactor must not use this module.
"""

from __future__ import annotations

import socket
import threading
import time
from random import Random

from twisted.internet.threads import blockingCallFromThread

from ..net.resp import encode_command
from . import discovery as discovery_standin
from . import node as cache_standin
from .ledger import SERVING, Ledger

reactor_threads: list[threading.Thread] = []  # holds at most one thread


def in_reactor(call, *arguments, **keywords):
    """Make the call in the reactor thread, which the first call starts, and return its result."""
    from twisted.internet import reactor

    if not reactor_threads:
        run = reactor.run  # type: ignore[misc]  # Twisted's interface declares methods without self
        reactor_threads.append(threading.Thread(target=run, args=(False,), daemon=True))
        reactor_threads[0].start()
    return blockingCallFromThread(reactor, call, *arguments, **keywords)


def now() -> int:
    """Return the monotonic time in microseconds."""
    return time.monotonic_ns() // 1000


class Node:
    """A cache server that answers each command after `service_time` seconds.

    `ids` are the ids of the commands in the order in which they arrived. `value` answers every read.
    """

    def __init__(self, service_time: float = 0.0, value: bytes | None = None):
        from twisted.internet import reactor

        self.standin = cache_standin.Node(
            "",
            reactor,
            now,
            Random(1),
            Ledger(),
            service_time=service_time,
            steady=True,
            cores=10_000,
            value=value,
        )
        in_reactor(self.standin.listen)
        self.ids = self.standin.ids
        self.address = "{}:{}".format(*self.standin.address)  # type: ignore[misc]  # set by listen()


class Discovery:
    """A discovery server whose list of these cache servers does not change."""

    def __init__(self, *nodes: Node):
        from twisted.internet import reactor

        self.standin = discovery_standin.Discovery(reactor, now, Ledger())
        for number, node in enumerate(nodes):
            node.standin.name = f"n{number}"
        in_reactor(self.standin.change, SERVING, *(node.standin for node in nodes))
        self.known = self.standin.listing("", 0)
        in_reactor(self.standin.listen)
        self.address = "{}:{}".format(*self.standin.address)  # type: ignore[misc]  # set by listen()


class Client(threading.Thread):
    """A client thread that sends one command after another over one connection until `running` is False.

    When the connection ends, the client opens a new one. `answers` maps the id of each command to its answer.
    A command on a reused connection may cross with the close of that connection, and is sent once more;
    `resent` counts these. `lost` holds the ids of commands that remained without an answer.
    """

    def __init__(self, address, name, fields=b"c=read,d=900"):
        super().__init__(daemon=True)
        self.address, self.name_, self.fields = address, name, fields
        self.answers, self.lost, self.resent, self.running = {}, [], 0, True
        self.start()

    def run(self) -> None:
        number, connection = 0, None
        while self.running:
            number += 1
            ident = b"%b%d" % (self.name_, number)
            for may_resend in (True, False):
                is_new = connection is None
                if is_new:
                    connection = socket.create_connection(self.address, timeout=10)
                answer = self.send_command(connection, ident)
                if answer:
                    self.answers[ident] = answer
                    break
                connection.close()
                connection = None
                self.resent += not is_new
                if is_new or not may_resend:
                    self.lost.append(ident)
                    break
        if connection:
            connection.close()

    def send_command(self, connection, ident: bytes) -> bytes:
        """Send a command and return its answer, or nothing if the connection ended before."""
        response = b""
        try:
            connection.sendall(encode_command(b"OBJ.GET", b"7f", ident, self.fields))
            while not response.endswith(b"\r\n") or (response[:1] == b"$" and response.count(b"\r\n") < 2):
                data = connection.recv(65_536)
                if not data:
                    return b""
                response += data
        except OSError:
            return b""
        return response
