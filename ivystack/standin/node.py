"""A stand-in for a cache node: cores, a waiting room, memory that starts cold, and faults on command.

Owns its listening socket and what it keeps.  It must never run a write twice by itself, or answer a command
with what was made for another.
"""

from __future__ import annotations

import re
from collections import OrderedDict, deque
from random import Random
from typing import Any

from twisted.internet.protocol import ServerFactory

from ..net.resp import MAX_VALUE, RespProtocol, encode_bulk
from .ledger import Ledger, ReceivedCommand

BUSY, FAILED, BAD = b"-BUSY\r\n", b"-ERR failed\r\n", b"-SYNTAX\r\n"
WAIT = re.compile(rb"(?:^|,)d=(\d+)")


class Command:
    __slots__ = ("link", "place", "key", "ident", "fields", "write", "until", "taken")

    def __init__(self, link: Link, place: list, args: list, now: int):
        self.link, self.place = link, place
        self.key, self.ident = args[1], args[2]
        self.fields = dict(part.partition(b"=")[::2] for part in args[3].split(b","))
        self.write = args[0].upper() == b"OBJ.SET"
        wait = WAIT.search(args[3])
        self.until = now + 1000 * int(wait[1]) if wait else None
        self.taken: ReceivedCommand | None = None


class Link(RespProtocol):
    """A proxy's connection; answers go out in the order of the commands."""

    arrays_only = True
    max_value_size = MAX_VALUE
    value_index = 4

    def __init__(self, node: Node, caller: str):
        super().__init__()
        self.node, self.caller = node, caller
        self.owed: deque[list] = deque()

    def connectionMade(self) -> None:  # noqa: N802
        self.transport.setTcpNoDelay(True)
        self.node.links[self] = None

    def connectionLost(self, reason) -> None:  # noqa: N802
        self.node.links.pop(self, None)
        self.owed.clear()

    def stream_started(self, size: int):
        return lambda piece: None

    def fail_protocol(self, why: str) -> None:
        self.abort(why)

    def value_received(self, args) -> None:
        place: list = [None]
        self.owed.append(place)
        name = args[0].upper() if args and isinstance(args[0], bytes) else b""
        if name in (b"OBJ.GET", b"OBJ.SET") and len(args) in (4, 5):
            self.node.take(Command(self, place, args, self.node.now()))
        else:
            place[0] = b"+PONG\r\n" if name == b"PING" else BAD
        self.flush()

    def flush(self) -> None:
        while self.owed and self.owed[0][0] is not None:
            self.transport.write(self.owed.popleft()[0])


class Factory(ServerFactory):
    noisy = False

    def __init__(self, node: Node):
        self.node = node

    def buildProtocol(self, addr):  # noqa: N802
        if len(self.node.links) >= self.node.connections:
            return None
        return Link(self.node, self.node.names.get(addr.host, addr.host))


class Node:
    """One cache node on loopback.

    `time` is the seconds that a command holds a core (an exponential's mean, or the figure itself where
    `steady`); `room` commands wait beyond the cores, `memory` keys are kept, for `warm` microseconds after a
    start it counts as cold.  `names` tells which proxy calls from an address.  `value` answers every read
    (default: the read's own id, so that a client can tell whose answer it got).
    """

    def __init__(
        self, name: str, reactor, now, rng: Random, ledger: Ledger, origin=None, *, zone="", cores=4,
        service_time=0.004, steady=False, room=64, memory=100_000, warm_up=0, connections=1_000, value=None, names=None,
    ):  # fmt: skip
        self.name, self.reactor, self.now, self.rng, self.ledger = name, reactor, now, rng, ledger
        self.origin, self.zone, self.cores, self.service_time, self.steady = (
            origin,
            zone,
            cores,
            service_time,
            steady,
        )
        self.room, self.memory, self.warm_up, self.connections = room, memory, warm_up, connections
        self.value, self.names = value, names or {}
        self.links: dict[Link, None] = {}
        self.cached_keys: OrderedDict[bytes, None] = OrderedDict()
        self.busy = 0
        self.waiting: deque[Command] = deque()
        self.incarnation = 0  # what was begun in an earlier one ends in nothing
        self.started = 0  # long ago
        self.port: Any = None  # a listening port: the reactor is untyped here
        self.address: tuple[str, int] | None = None
        self.drains = False
        # Faults: takes and never answers; slower by a factor; fails so large a part; how answers are spoilt.
        self.unresponsive = False
        self.slowdown, self.failure_rate, self.corruption = 1.0, 0.0, ""
        self.ids: list[bytes] = []

    def listen(self, host="127.0.0.1") -> None:
        at = self.address or (host, 0)
        self.port = self.reactor.listenTCP(at[1], Factory(self), backlog=512, interface=at[0])
        self.address = (self.port.getHost().host, self.port.getHost().port)

    def crash(self) -> None:
        """The process ends at once: connections are reset, new ones refused, memory lost."""
        self.incarnation += 1
        self.busy = 0
        self.waiting.clear()
        self.cached_keys.clear()
        self.clear_faults()
        if self.port is not None:
            self.port.stopListening()
            self.port = None
        for link in [*self.links]:
            link.transport.abortConnection()

    def clear_faults(self) -> None:
        """Takes all faults back."""
        self.unresponsive, self.slowdown, self.failure_rate, self.corruption, self.drains = (
            False,
            1.0,
            0.0,
            "",
            False,
        )

    def restart(self) -> None:
        """Starts again, cold."""
        self.started = self.now()
        if self.port is None:
            self.listen()

    def cold(self) -> bool:
        return bool(self.started) and self.now() - self.started < self.warm_up

    # Commands.

    def take(self, command: Command) -> None:
        method = command.fields.get(b"c", b"").decode("latin-1")
        self.ids.append(command.ident)
        command.taken = ReceivedCommand(
            self.now(), self.name, command.link.caller, command.ident, method, command.write, self.cold()
        )
        self.ledger.commands.append(command.taken)
        if self.busy < self.cores:
            self.begin(command)
        elif len(self.waiting) < self.room:
            self.waiting.append(command)
        else:
            self.turn_away(command)

    def turn_away(self, command: Command) -> None:
        command.taken.busy = True
        self.answer(command, BUSY)

    def begin(self, command: Command) -> None:
        if command.until is not None and self.now() > command.until:
            return self.turn_away(command)
        self.busy += 1
        spent = (
            (self.service_time if self.steady else self.rng.expovariate(1 / self.service_time))
            if self.service_time
            else 0
        )
        self.reactor.callLater(spent * self.slowdown, self.through, command, self.incarnation)

    def through(self, command: Command, incarnation: int) -> None:
        if incarnation != self.incarnation:
            return
        self.busy -= 1
        while self.waiting and self.busy < self.cores:
            self.begin(self.waiting.popleft())
        if self.unresponsive:
            return
        if self.failure_rate and self.rng.random() < self.failure_rate:
            return self.answer(command, FAILED)
        if self.origin is None:
            return self.made(command, "hit", incarnation)
        if not command.write and command.key in self.cached_keys:
            self.cached_keys.move_to_end(command.key)
            return self.made(command, "hit", incarnation)
        if not self.origin.ask(lambda: self.made(command, "miss", incarnation)):
            self.answer(command, FAILED)

    def made(self, command: Command, how: str, incarnation: int) -> None:
        """It has been through all it needs.  A write's effect is the origin's and stays, whoever died."""
        if command.write and self.origin is not None:
            mark, method = command.fields.get(b"k", b""), command.taken.request_class
            self.origin.write(self.name, command.ident, command.key, mark, method)
        if incarnation != self.incarnation:
            return
        if not command.write:
            self.cached_keys[command.key] = None
            if len(self.cached_keys) > self.memory:
                self.cached_keys.popitem(last=False)
        value = self.value or command.ident
        self.answer(command, b"*3\r\n" + encode_bulk(value) + encode_bulk(how.encode()) + b"$-1\r\n")

    def answer(self, command: Command, text: bytes) -> None:
        link = command.link
        if link not in self.links:
            return
        if self.corruption == "twice":
            text += text
        elif self.corruption == "noise":
            text = b"\x00noise\r\n"
        elif self.corruption == "break":
            link.transport.write(text[: len(text) // 2])
            return link.transport.abortConnection()
        command.place[0] = text
        link.flush()
