"""TCP and UDP relays through which all links between two processes of a run pass.

A relay listens in place of a process and forwards connections and datagrams to it under the faults of the
link.  It does not interpret the bytes, and connects only to the process that it stands for.
"""

from __future__ import annotations

import os
from random import Random
from typing import Any

from twisted.internet.error import CannotListenError
from twisted.internet.protocol import ClientFactory, DatagramProtocol, Protocol, ServerFactory

from .ways import LinkDirection, Stream


class RelayEnd(Protocol):
    """One of the two TCP connections of a relayed connection."""

    transport: Any  # a TCP transport: Twisted declares only the interface that all transports share

    def __init__(self, connection: RelayedConnection):
        self.connection = connection
        self.stream: Stream | None = None  # carries the bytes received here to the other end

    def connectionMade(self) -> None:  # noqa: N802
        self.transport.setTcpNoDelay(True)
        self.connection.end_connected(self)

    def dataReceived(self, data: bytes) -> None:  # noqa: N802
        self.stream.put(data)

    def connectionLost(self, reason) -> None:  # noqa: N802
        self.connection.end_closed(self)


class RelayedConnection:
    """A connection between two processes.

    It has two ends: the caller's connection to the relay, and the relay's connection to the called process.
    """

    def __init__(self, hub: RelayHub, caller: str, called: str, address: tuple[str, int]):
        self.hub, self.caller, self.called = hub, caller, called
        self.caller_end, self.called_end = RelayEnd(self), RelayEnd(self)
        self.address = address
        self.stopped = self.half_open = False

    def end_connected(self, end: RelayEnd) -> None:
        """Connect to the called process, or start to forward once both ends are connected."""
        if end is self.caller_end:
            self.hub.connections[self] = None
            forward, backward = (
                self.hub.direction(self.caller, self.called),
                self.hub.direction(self.called, self.caller),
            )
            self.caller_end.stream = self.make_stream(forward, self.caller_end, self.called_end)
            self.called_end.stream = self.make_stream(backward, self.called_end, self.caller_end)
            if forward.cut or backward.cut:
                return self.reset()
            if forward.hole:
                self.caller_end.stream.lost_bytes = True
                return
            self.caller_end.transport.pauseProducing()
            source = (self.hub.hosts[self.caller], 0) if self.caller in self.hub.hosts else None
            self.hub.reactor.connectTCP(*self.address, CalledEndFactory(self), timeout=2, bindAddress=source)
        elif self.stopped:
            end.transport.abortConnection()
        else:
            self.caller_end.transport.registerProducer(self.called_end.transport, True)
            self.called_end.transport.registerProducer(self.caller_end.transport, True)
            self.caller_end.transport.resumeProducing()

    def make_stream(self, direction: LinkDirection, source: RelayEnd, target: RelayEnd) -> Stream:
        """Return a stream that carries bytes from the source to the target."""
        return Stream(
            direction, self.hub.reactor, lambda data: target.transport and target.transport.write(data),
            lambda: self.close_end(target), self.reset, lambda: source.transport.pauseProducing(),
            lambda: source.transport.resumeProducing(),
        )  # fmt: skip

    def close_end(self, end: RelayEnd) -> None:
        """Close one end after its pending bytes are written."""
        if end.transport is not None:
            end.transport.unregisterProducer()
            end.transport.loseConnection()

    def end_closed(self, end: RelayEnd) -> None:
        """Forward the close of one end to the other, after the bytes in transit."""
        if not self.stopped and end.stream is not None:
            end.stream.put(None)
        if all(
            each.transport is None or not each.transport.connected
            for each in (self.caller_end, self.called_end)
        ):
            self.stop()

    def stop(self) -> None:
        """Stop forwarding and remove the connection from the hub."""
        self.stopped = True
        for end in (self.caller_end, self.called_end):
            if end.stream is not None:
                end.stream.stop()
        self.hub.connections.pop(self, None)

    def reset(self) -> None:
        """Reset both ends at once."""
        if not self.stopped:
            self.stop()
            for end in (self.caller_end, self.called_end):
                if end.transport is not None:
                    end.transport.abortConnection()

    def connection_refused(self) -> None:
        """Record that the called process refused the connection, and reset the caller's end.

        The relay learns this only after it has accepted the caller's connection, so a caller can look up in
        `RelayHub.refused_callers` whether its connection was refused.
        """
        if self.caller_end.transport is not None:
            peer = self.caller_end.transport.getPeer()
            self.hub.refused_callers.add((peer.host, peer.port))
        self.reset()

    def make_half_open(self, unaware: str) -> None:
        """Reset the connection of one process without a sign to the other process, `unaware`."""
        reset_end, open_end = (
            (self.called_end, self.caller_end)
            if unaware == self.caller
            else (self.caller_end, self.called_end)
        )
        self.half_open = True
        reset_end.stream.stop()  # so that the close is not forwarded
        open_end.stream.stop()
        if reset_end.transport is not None:
            reset_end.transport.abortConnection()

    def has_lost_bytes(self) -> bool:
        """Return whether the link has dropped bytes of this connection."""
        return any(
            end.stream is not None and end.stream.lost_bytes for end in (self.caller_end, self.called_end)
        )


class CalledEndFactory(ClientFactory):
    """Connects a relayed connection to the called process."""

    noisy = False

    def __init__(self, connection: RelayedConnection):
        self.connection = connection

    def buildProtocol(self, addr):  # noqa: N802
        return self.connection.called_end

    def clientConnectionFailed(self, connector, reason) -> None:  # noqa: N802
        self.connection.connection_refused()


class RelayListener(ServerFactory):
    """A TCP listener in place of a process.

    The listener is closed while the process is unreachable, so that connections to it are refused as they
    would be without the relay.
    """

    noisy = False

    def __init__(self, hub: RelayHub, caller: str | None, called: str, address: tuple[str, int], host: str):
        self.hub, self.caller, self.called, self.address = hub, caller, called, address
        self.port: Any = None  # a listening port: Twisted's reactor is untyped here
        self.listen_address = (host, 0)
        self.open()

    def open(self) -> None:
        """Listen, always on the port that the first call was given."""
        if self.port is None:
            try:
                self.port = self.hub.reactor.listenTCP(
                    self.listen_address[1], self, 512, self.listen_address[0]
                )
            except CannotListenError:  # a socket closed in this reactor iteration is released in the next one
                if not self.listen_address[1]:
                    raise
                self.hub.reactor.callLater(0.01, self.retry_open)
                return
            self.listen_address = (self.port.getHost().host, self.port.getHost().port)

    def retry_open(self) -> None:
        """Listen, unless the process has become unreachable in the meantime."""
        if not self.unreachable():
            self.open()

    def close(self) -> None:
        """Stop listening; established connections stay."""
        port, self.port = self.port, None
        if port is not None:
            port.stopListening()

    def buildProtocol(self, addr):  # noqa: N802
        caller = self.caller or self.hub.process_names.get(addr.host)
        if caller is None:
            return None
        return RelayedConnection(self.hub, caller, self.called, self.address).caller_end

    def unreachable(self) -> bool:
        """Return whether the process is down, or the link from the only caller of this listener is cut."""
        cut = self.caller is not None and self.hub.is_cut(self.caller, self.called)
        return cut or self.called in self.hub.down


class DatagramRelay(DatagramProtocol):
    """A UDP relay in front of one proxy; it receives what the other proxies send to that proxy."""

    noisy = False
    transport: Any  # a UDP port: the interface that Twisted declares lacks `write` with an address

    def __init__(self, hub: RelayHub, called: str, address: tuple[str, int]):
        self.hub, self.called, self.address = hub, called, address

    def datagramReceived(self, data: bytes, addr) -> None:  # noqa: N802
        caller = self.hub.process_names.get(addr[0])
        if caller not in self.hub.datagram_relays:
            return
        for delay in self.hub.direction(caller, self.called).datagram_delays():
            if delay:
                self.hub.reactor.callLater(delay, self.forward, caller, data)
            else:
                self.forward(caller, data)

    def forward(self, caller: str, data: bytes) -> None:
        """Send a datagram from the address of the caller's relay, by which the proxies know the caller."""
        sender = self.hub.datagram_relays[caller]
        if sender.transport is not None and self.called not in self.hub.down:
            sender.transport.write(data, self.address)


class RelayHub:
    """All relays of a run, and the state of the links between its processes."""

    HOST = "127.0.0.1"

    def __init__(self, reactor, rng: Random):
        self.reactor, self.rng = reactor, rng
        self.hosts: dict[str, str] = {}  # loopback address by process name
        self.process_names: dict[str, str] = {}  # process name by loopback address
        self.directions: dict[tuple[str, str], LinkDirection] = {}
        self.connections: dict[RelayedConnection, None] = {}
        self.listeners: list[RelayListener] = []
        self.datagram_relays: dict[str, DatagramRelay] = {}
        self.down: set[str] = set()  # names of processes that do not run
        self.refused_callers: set[tuple[str, int]] = set()  # addresses whose connection the process refused

    def assign_host(self, name: str, block: int, number: int) -> str:
        """Return a loopback address that only this process uses.

        A concurrent run of the rig has other addresses, so that neither run takes a port that the other has
        found free.
        """
        run = 8 * (os.getpid() % 31)
        host = f"127.{run + block}.{number // 250}.{number % 250 + 1}"
        self.hosts[name], self.process_names[host] = host, name
        return host

    def direction(self, sender: str, receiver: str) -> LinkDirection:
        """Return the state of the link from one process to another."""
        if (sender, receiver) not in self.directions:
            self.directions[sender, receiver] = LinkDirection(
                sender, receiver, Random(self.rng.getrandbits(64))
            )
        return self.directions[sender, receiver]

    def relay_tcp(
        self, caller: str | None, called: str, address: tuple[str, int], host: str | None = None
    ) -> tuple[str, int]:
        """Start a TCP relay and return its address.

        Args:
            caller: Name of the only process that uses the relay; None if each caller connects from an
                assigned address, by which the relay recognizes it.
            called: Name of the process behind the relay.
            address: IP address and port of that process.
            host: IP address to listen on; `HOST` by default.
        """
        listener = RelayListener(self, caller, called, address, host or self.HOST)
        self.listeners.append(listener)
        return listener.listen_address

    def relay_udp(self, called: str, address: tuple[str, int]) -> tuple[str, int]:
        """Start a UDP relay in front of a proxy and return its address."""
        relay = self.datagram_relays[called] = DatagramRelay(self, called, address)
        port = self.reactor.listenUDP(0, relay, self.HOST)
        return port.getHost().host, port.getHost().port

    def is_cut(self, first: str, second: str) -> bool:
        """Return whether the link between two processes is cut in at least one direction."""
        return any(
            pair in self.directions and self.directions[pair].cut
            for pair in ((first, second), (second, first))
        )

    def apply_changes(self) -> None:
        """Update listeners and connections after faults of links or the set of running processes changed."""
        for listener in self.listeners:
            if listener.unreachable():
                listener.close()
            else:
                listener.open()
        for connection in [*self.connections]:
            directions = [
                self.direction(connection.caller, connection.called),
                self.direction(connection.called, connection.caller),
            ]
            if any(direction.cut for direction in directions):
                connection.reset()
            elif connection.has_lost_bytes() and not any(direction.hole for direction in directions):
                connection.reset()  # the dropped bytes cannot be sent again
            else:
                for end in (connection.caller_end, connection.called_end):
                    if end.stream is not None:
                        end.stream.start_timer()

    def half_open(self, unaware: str, other: str) -> None:
        """Reset all connections between two processes at `other`, without a sign to `unaware`."""
        for connection in [*self.connections]:
            if {connection.caller, connection.called} == {unaware, other} and not connection.half_open:
                connection.make_half_open(unaware)

    def reset_half_open(self, first: str, second: str) -> None:
        """Reset the half-open connections between two processes at both ends."""
        for connection in [*self.connections]:
            if connection.half_open and {connection.caller, connection.called} == {first, second}:
                connection.reset()

    def stop(self) -> None:
        """Stop all listeners and datagram relays, and reset all connections."""
        for listener in self.listeners:
            listener.close()
        for relay in self.datagram_relays.values():
            if relay.transport is not None:
                relay.transport.stopListening()
        for connection in [*self.connections]:
            connection.reset()
