"""The stand-ins for programs that run no reactor, as tests are: one runs on a thread of its own.

Owns that thread and the plain calls into it.  It must never be used where a reactor already runs.
"""

from __future__ import annotations

import socket
import threading
import time
from random import Random

from twisted.internet.threads import blockingCallFromThread

from ..net.resp import encode_command
from . import discovery as lists
from . import node as caches
from .ledger import SERVING, Ledger

running: list[threading.Thread] = []


def in_reactor(call, *values, **named):
    """Calls it on the reactor's thread, which is started with the first call, and gives its result."""
    from twisted.internet import reactor

    if not running:
        run = reactor.run  # type: ignore[misc]  # Twisted's interface declares methods without self
        running.append(threading.Thread(target=run, args=(False,), daemon=True))
        running[0].start()
    return blockingCallFromThread(reactor, call, *values, **named)


def now() -> int:
    return time.monotonic_ns() // 1000


class Node:
    """A cache node that answers each command after so many seconds; keeps the ids in their order."""

    def __init__(self, wait: float = 0.0, value: bytes | None = None):
        from twisted.internet import reactor

        self.real = caches.Node(
            "", reactor, now, Random(1), Ledger(), service_time=wait, steady=True, cores=10_000, value=value
        )
        in_reactor(self.real.listen)
        self.ids = self.real.ids
        self.address = "{}:{}".format(*self.real.address)  # type: ignore[misc]  # set by listen()


class Discovery:
    """Keeps watches open and tells the same list to each."""

    def __init__(self, *nodes: Node):
        from twisted.internet import reactor

        self.real = lists.Discovery(reactor, now, Ledger())
        for number, node in enumerate(nodes):
            node.real.name = f"n{number}"
        in_reactor(self.real.change, SERVING, *(node.real for node in nodes))
        self.known = self.real.listing("", 0)
        in_reactor(self.real.listen)
        self.address = "{}:{}".format(*self.real.address)  # type: ignore[misc]  # set by listen()


class Client(threading.Thread):
    """Asks without a pause over one connection, anew when that ends; keeps each answer, and what was lost: a
    command on a new connection that ended without an answer; on a kept one it may cross the end, and goes out
    again once."""

    def __init__(self, address, name, fields=b"c=read,d=900"):
        super().__init__(daemon=True)
        self.address, self.name_, self.fields = address, name, fields
        self.answers, self.lost, self.crossed, self.on = {}, [], 0, True
        self.start()

    def run(self) -> None:
        number, one = 0, None
        while self.on:
            number += 1
            ident = b"%b%d" % (self.name_, number)
            for kept in (True, False):
                fresh = one is None
                if fresh:
                    one = socket.create_connection(self.address, timeout=10)
                answer = self.ask(one, ident)
                if answer:
                    self.answers[ident] = answer
                    break
                one.close()
                one = None
                self.crossed += not fresh
                if fresh or not kept:
                    self.lost.append(ident)
                    break
        if one:
            one.close()

    def ask(self, one, ident: bytes) -> bytes:
        text = b""
        try:
            one.sendall(encode_command(b"OBJ.GET", b"7f", ident, self.fields))
            while not text.endswith(b"\r\n") or (text[:1] == b"$" and text.count(b"\r\n") < 2):
                more = one.recv(65_536)
                if not more:
                    return b""
                text += more
        except OSError:
            return b""
        return text
