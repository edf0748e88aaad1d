"""The relays that every link between two processes passes through.

Owns the listeners that stand for a process at the others, and each connection through them.  It must never
look into what passes, or connect to anything but the process it stands for.
"""

from __future__ import annotations

import os
from random import Random
from typing import Any

from twisted.internet.error import CannotListenError
from twisted.internet.protocol import ClientFactory, DatagramProtocol, Protocol, ServerFactory

from .ways import Stream, Way


class Side(Protocol):
    """One side of a connection through a relay."""

    transport: Any  # a TCP transport: Twisted declares only the interface that all transports share

    def __init__(self, pair: Pair):
        self.pair = pair
        self.stream: Stream | None = None  # what comes in here, on its way to the other side

    def connectionMade(self) -> None:  # noqa: N802
        self.transport.setTcpNoDelay(True)
        self.pair.up(self)

    def dataReceived(self, data: bytes) -> None:  # noqa: N802
        self.stream.put(data)

    def connectionLost(self, reason) -> None:  # noqa: N802
        self.pair.ended(self)


class Pair:
    """A connection from one process to another: the caller's side, and ours to the process called."""

    def __init__(self, hub: Hub, caller: str, called: str, address: tuple[str, int]):
        self.hub, self.caller, self.called = hub, caller, called
        self.near, self.far = Side(self), Side(self)
        self.address = address
        self.done = self.halved = False

    def up(self, side: Side) -> None:
        if side is self.near:
            self.hub.pairs[self] = None
            there, back = self.hub.way(self.caller, self.called), self.hub.way(self.called, self.caller)
            self.near.stream = self.made(there, self.near, self.far)
            self.far.stream = self.made(back, self.far, self.near)
            if there.cut or back.cut:
                return self.reset()
            if there.hole:
                self.near.stream.dirty = True
                return
            self.near.transport.pauseProducing()
            source = (self.hub.hosts[self.caller], 0) if self.caller in self.hub.hosts else None
            self.hub.reactor.connectTCP(*self.address, Onward(self), timeout=2, bindAddress=source)
        elif self.done:
            side.transport.abortConnection()
        else:
            self.near.transport.registerProducer(self.far.transport, True)
            self.far.transport.registerProducer(self.near.transport, True)
            self.near.transport.resumeProducing()

    def made(self, way: Way, of: Side, to: Side) -> Stream:
        return Stream(
            way, self.hub.reactor, lambda data: to.transport and to.transport.write(data),
            lambda: self.finish(to), self.reset, lambda: of.transport.pauseProducing(),
            lambda: of.transport.resumeProducing(),
        )  # fmt: skip

    def finish(self, side: Side) -> None:
        if side.transport is not None:
            side.transport.unregisterProducer()
            side.transport.loseConnection()

    def ended(self, side: Side) -> None:
        """One side has closed: the other hears of it in its turn."""
        if not self.done and side.stream is not None:
            side.stream.put(None)
        if all(one.transport is None or not one.transport.connected for one in (self.near, self.far)):
            self.forget()

    def forget(self) -> None:
        self.done = True
        for side in (self.near, self.far):
            if side.stream is not None:
                side.stream.stop()
        self.hub.pairs.pop(self, None)

    def reset(self) -> None:
        """Both sides end at once."""
        if not self.done:
            self.forget()
            for side in (self.near, self.far):
                if side.transport is not None:
                    side.transport.abortConnection()

    def refused(self) -> None:
        """Nobody listens there.  We had to accept to learn it, so the caller can ask us whether it was so."""
        if self.near.transport is not None:
            at = self.near.transport.getPeer()
            self.hub.refused.add((at.host, at.port))
        self.reset()

    def half(self, keeps: str) -> None:
        """One side's connection is reset, the side of `keeps` is not told."""
        gone, stays = (self.far, self.near) if keeps == self.caller else (self.near, self.far)
        self.halved = True
        gone.stream.stop()  # so that its end does not pass
        stays.stream.stop()
        if gone.transport is not None:
            gone.transport.abortConnection()

    def dirty(self) -> bool:
        return any(side.stream is not None and side.stream.dirty for side in (self.near, self.far))


class Onward(ClientFactory):
    noisy = False

    def __init__(self, pair: Pair):
        self.pair = pair

    def buildProtocol(self, addr):  # noqa: N802
        return self.pair.far

    def clientConnectionFailed(self, connector, reason) -> None:  # noqa: N802
        self.pair.refused()


class Door(ServerFactory):
    """A listener that stands for a process; closed while nothing would answer there, so that callers are
    refused as they would be."""

    noisy = False

    def __init__(self, hub: Hub, caller: str | None, called: str, address: tuple[str, int], host: str):
        self.hub, self.caller, self.called, self.address = hub, caller, called, address
        self.port: Any = None  # a listening port: Twisted's reactor is untyped here
        self.place = (host, 0)
        self.open()

    def open(self) -> None:
        if self.port is None:
            try:
                self.port = self.hub.reactor.listenTCP(self.place[1], self, 512, self.place[0])
            except CannotListenError:  # closed in this very turn: its socket goes with the next
                if not self.place[1]:
                    raise
                self.hub.reactor.callLater(0.01, self.again)
                return
            self.place = (self.port.getHost().host, self.port.getHost().port)

    def again(self) -> None:
        if not self.shut():
            self.open()

    def close(self) -> None:
        port, self.port = self.port, None
        if port is not None:
            port.stopListening()

    def buildProtocol(self, addr):  # noqa: N802
        caller = self.caller or self.hub.names.get(addr.host)
        if caller is None:
            return None
        return Pair(self.hub, caller, self.called, self.address).near

    def shut(self) -> bool:
        """Nothing would answer here now: the process is down, or the link of its one caller is cut."""
        cut = self.caller is not None and self.hub.cut(self.caller, self.called)
        return cut or self.called in self.hub.down


class Post(DatagramProtocol):
    """Where datagrams to one proxy go; what it sends to others comes in at theirs."""

    noisy = False
    transport: Any  # a UDP port: the interface that Twisted declares lacks `write` with an address

    def __init__(self, hub: Hub, called: str, address: tuple[str, int]):
        self.hub, self.called, self.address = hub, called, address

    def datagramReceived(self, data: bytes, addr) -> None:  # noqa: N802
        caller = self.hub.names.get(addr[0])
        if caller not in self.hub.posts:
            return
        for wait in self.hub.way(caller, self.called).datagrams():
            if wait:
                self.hub.reactor.callLater(wait, self.hand, caller, data)
            else:
                self.hand(caller, data)

    def hand(self, caller: str, data: bytes) -> None:
        """From the caller's own address as the others know it."""
        sender = self.hub.posts[caller]
        if sender.transport is not None and self.called not in self.hub.down:
            sender.transport.write(data, self.address)


class Hub:
    """All relays of a run."""

    HOST = "127.0.0.1"

    def __init__(self, reactor, rng: Random):
        self.reactor, self.rng = reactor, rng
        self.hosts: dict[str, str] = {}  # the address that each process has to itself
        self.names: dict[str, str] = {}
        self.ways: dict[tuple[str, str], Way] = {}
        self.pairs: dict[Pair, None] = {}
        self.doors: list[Door] = []
        self.posts: dict[str, Post] = {}
        self.down: set[str] = set()  # processes that are not there
        self.refused: set[tuple[str, int]] = set()  # callers whose connection went no further than to us

    def host(self, name: str, block: int, number: int) -> str:
        """A loopback address that is that process's alone; another run of the rig beside this one has others,
        so that neither takes a port which the other has found free."""
        run = 8 * (os.getpid() % 31)
        host = f"127.{run + block}.{number // 250}.{number % 250 + 1}"
        self.hosts[name], self.names[host] = host, name
        return host

    def way(self, frm: str, to: str) -> Way:
        if (frm, to) not in self.ways:
            self.ways[frm, to] = Way(frm, to, Random(self.rng.getrandbits(64)))
        return self.ways[frm, to]

    def door(
        self, caller: str | None, called: str, address: tuple[str, int], host: str | None = None
    ) -> tuple[str, int]:
        """Where that caller (None: whoever calls from an address of its own) reaches that process."""
        made = Door(self, caller, called, address, host or self.HOST)
        self.doors.append(made)
        return made.place

    def post(self, called: str, address: tuple[str, int]) -> tuple[str, int]:
        made = self.posts[called] = Post(self, called, address)
        port = self.reactor.listenUDP(0, made, self.HOST)
        return port.getHost().host, port.getHost().port

    def cut(self, one: str, other: str) -> bool:
        return any(pair in self.ways and self.ways[pair].cut for pair in ((one, other), (other, one)))

    def changed(self) -> None:
        """Ways have changed, or processes come and gone: connections and listeners follow."""
        for door in self.doors:
            if door.shut():
                door.close()
            else:
                door.open()
        for pair in [*self.pairs]:
            ways = [self.way(pair.caller, pair.called), self.way(pair.called, pair.caller)]
            if any(way.cut for way in ways):
                pair.reset()
            elif pair.dirty() and not any(way.hole for way in ways):
                pair.reset()  # what it lost can't be made up
            else:
                for side in (pair.near, pair.far):
                    if side.stream is not None:
                        side.stream.arm()

    def half_open(self, one: str, other: str) -> None:
        """All connections between the two end for the other one, and the first is not told."""
        for pair in [*self.pairs]:
            if {pair.caller, pair.called} == {one, other} and not pair.halved:
                pair.half(one)

    def whole_again(self, one: str, other: str) -> None:
        """Who was not told learns it now."""
        for pair in [*self.pairs]:
            if pair.halved and {pair.caller, pair.called} == {one, other}:
                pair.reset()

    def stop(self) -> None:
        for door in self.doors:
            door.close()
        for post in self.posts.values():
            if post.transport is not None:
                post.transport.stopListening()
        for pair in [*self.pairs]:
            pair.reset()
