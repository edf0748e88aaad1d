"""All links of a proxy to other proxies: the listener, dialing, and dispatch of messages to handlers.

No function of this module waits for a peer. The resources that a slow, silent or faulty peer can use are
bounded.
"""

from __future__ import annotations

import secrets
from collections.abc import Callable
from random import Random
from typing import Any

import msgspec
from loguru import logger
from twisted.internet.error import CannotListenError
from twisted.internet.protocol import ClientFactory, ServerFactory

from .drop_log import DropLog
from .keys import KeyRing
from .link import Link
from .protocol import MAX_MESSAGE_BYTES, DropCode, encode

Address = tuple[str, int]  # IP address and port
Handler = Callable[[str, Any], Any]  # called with the sender's name and the message body

CONNECT_TIMEOUT_SECONDS = 2
# Microseconds before a peer is dialed again; random jitter reduces the backoff by up to half.
MIN_BACKOFF, MAX_BACKOFF = 100_000, 3_000_000
MAX_BACKOFF_DOUBLINGS = 10
LISTEN_RETRY_INTERVAL = 200_000  # microseconds between attempts to listen on an address in use
LISTEN_BACKLOG = 1024
# Limit of unauthenticated connections: max_connections / UNAUTHENTICATED_DIVISOR, but at least the minimum.
MIN_UNAUTHENTICATED = 32
UNAUTHENTICATED_DIVISOR = 8


class AcceptFactory(ServerFactory):
    """Creates links for accepted connections."""

    noisy = False

    def __init__(self, mesh: Mesh) -> None:
        self.mesh = mesh

    def buildProtocol(self, addr: Any) -> Link | None:  # noqa: N802, D102
        mesh = self.mesh
        if len(mesh.connections) >= mesh.max_connections or mesh.stopped:
            mesh.count_drop(DropCode.NO_CAPACITY, addr.host)
            return None
        return Link(mesh, None)


class DialFactory(ClientFactory):
    """Creates the link for a dialed connection."""

    noisy = False

    def __init__(self, mesh: Mesh, peer: str) -> None:
        self.mesh, self.peer = mesh, peer

    def buildProtocol(self, addr: Any) -> Link:  # noqa: N802, D102
        return Link(self.mesh, self.peer)

    def clientConnectionFailed(self, connector: Any, reason: Any) -> None:  # noqa: N802, D102
        self.mesh.schedule_redial(self.peer)


class Mesh:
    """The links of a proxy.

    The mesh keeps a link to each member open. Proxies that are not members dial this proxy.
    """

    def __init__(
        self,
        reactor: Any,
        deadlines: Any,
        now: Callable[[], int],
        rng: Random,
        name: str,
        keys: KeyRing,
        max_connections: int,
        members: dict[str, Address],
        listen_address: Address | None,
        source_address: str | None = None,
    ) -> None:
        """Create a mesh without links.

        :param now: the clock, in microseconds.
        :param name: name of this proxy.
        :param max_connections: limit of connections open at the same time, dialed and accepted.
        :param members: addresses, by name, of the proxies to keep links to; may include this proxy.
        :param listen_address: address to listen on; None if this proxy accepts no links.
        :param source_address: source IP address of dialed connections.
        """
        self.reactor, self.deadlines, self.now, self.rng = reactor, deadlines, now, rng
        self.name, self.keys = name, keys
        self.members, self.max_connections = members, max_connections
        self.listen_address, self.source_address = listen_address, source_address
        self.incarnation = secrets.token_hex(8)  # distinguishes this process from another with the same name
        self.connections: dict[Link, None] = {}
        self.unauthenticated: dict[Link, None] = {}  # accepted, but not established yet; oldest first
        self.peers: dict[str, list[Link]] = {}  # established links by peer name, newest last
        self.dialing: set[str] = set()  # peers with a dialed connection or an attempt in progress
        self.dial_failures: dict[str, int] = {}
        self.handlers: dict[str, Handler] = {}  # by message kind
        self.drops = DropLog(deadlines, now)
        self.port: Any = None
        self.listen_failed = False
        self.current_link: Link | None = None  # the link whose message is being handled
        self.stopped = False

    def start(self) -> None:
        """Start to listen, and dial all other members."""
        self.listen()
        for peer in self.members:
            if peer != self.name:
                self.dial(peer)

    def listen(self) -> None:
        """Open the listener; retry while its address is in use."""
        if self.listen_address is None or self.stopped:
            return
        host, port = self.listen_address
        try:
            self.port = self.reactor.listenTCP(port, AcceptFactory(self), LISTEN_BACKLOG, host)
        except CannotListenError as error:
            # During a hot restart the old process listens until its end; members dial that process meanwhile.
            if not self.listen_failed:
                logger.warning("mesh: could not listen: {}; retrying until the address is free", error)
            self.listen_failed = True
            self.deadlines.call_at(self.now() + LISTEN_RETRY_INTERVAL, self.listen)

    def stop(self) -> None:
        """Close the listener, and each link after its written data is sent."""
        self.stopped = True
        port, self.port = self.port, None
        if port is not None:
            port.stopListening()
        for link in [*self.connections]:
            link.stop()

    def set_members(self, members: dict[str, Address]) -> None:
        """Replace the members to keep links to; open links to former members stay until they are closed."""
        former_members, self.members = self.members, members
        for peer, address in members.items():
            if peer != self.name and former_members.get(peer) != address:
                self.dial(peer)
        if self.listen_address is None and self.name in members:
            self.listen_address = members[self.name]
            self.listen()

    def dial(self, peer: str) -> None:
        """Dial a member, unless a dialed link to that member exists or is being opened."""
        if self.stopped or peer in self.dialing or peer not in self.members:
            return
        self.dialing.add(peer)
        source = (self.source_address, 0) if self.source_address else None
        factory = DialFactory(self, peer)
        self.reactor.connectTCP(
            *self.members[peer], factory, timeout=CONNECT_TIMEOUT_SECONDS, bindAddress=source
        )

    def schedule_redial(self, peer: str) -> None:
        """Dial a peer again after a randomized backoff, because an attempt failed or its link was closed."""
        self.dialing.discard(peer)
        failures = self.dial_failures[peer] = self.dial_failures.get(peer, 0) + 1
        backoff = min(MAX_BACKOFF, MIN_BACKOFF << min(failures - 1, MAX_BACKOFF_DOUBLINGS))
        self.deadlines.call_at(self.now() + int(backoff * (0.5 + self.rng.random() / 2)), self.dial, peer)

    def connected(self, link: Link) -> None:
        """Record a new connection, before its handshake."""
        self.connections[link] = None
        if link.is_dialer:
            return
        # Unauthenticated connections must not block others: above the limit the oldest is closed.
        self.unauthenticated[link] = None
        if len(self.unauthenticated) > max(
            MIN_UNAUTHENTICATED, self.max_connections // UNAUTHENTICATED_DIVISOR
        ):
            self.reject(next(iter(self.unauthenticated)), DropCode.NO_CAPACITY)

    def established(self, link: Link) -> None:
        """Record that a link is established."""
        self.unauthenticated.pop(link, None)
        links = self.peers.setdefault(link.peer, [])
        links.append(link)
        if link.is_dialer:
            self.dial_failures[link.peer] = 0
        if len(links) == 1:
            logger.info("mesh: link established peer={} key={}", link.peer, link.key_id)

    def disconnected(self, link: Link) -> None:
        """Remove a closed link; dial its peer again if this proxy had dialed the link."""
        self.connections.pop(link, None)
        self.unauthenticated.pop(link, None)
        links = self.peers.get(link.peer, [])
        if link in links:
            links.remove(link)
            if not links:
                del self.peers[link.peer]
        if link.is_dialer:
            self.schedule_redial(link.peer)

    def address_matches(self, name: str, host: str) -> bool:
        """Return whether a proxy may connect from `host`; a member may connect from its address only."""
        return name not in self.members or self.members[name][0] == host

    def send(self, peer: str, kind: str, body: Any) -> bool:
        """Send a message to every process with the name `peer`.

        :returns: whether there is a link and the message fits; the message may be lost nevertheless.
        """
        links = self.peers.get(peer)
        if not links:
            return False
        message = encode((kind, body))
        if len(message) > MAX_MESSAGE_BYTES:
            self.count_drop(DropCode.TOO_LONG_TO_SEND, peer)
            return False
        for link in {link.incarnation: link for link in links}.values():  # newest link of each process
            link.send_encoded(message)
        return True

    def reply(self, link: Link, kind: str, body: Any) -> None:
        """Send a message on a given link, and so to one process; do nothing if the link is closed."""
        if link.code is None and link in self.connections:
            link.send(kind, body)

    def message_received(self, link: Link, kind: str, body: Any) -> None:
        """Pass a message to its handler; if the handler fails, close only this link."""
        handler = self.handlers.get(kind)
        if handler is None:
            return self.count_drop(DropCode.UNKNOWN_KIND, link.peer)
        self.current_link = link
        try:
            handler(link.peer, body)
        except msgspec.ValidationError:  # malformed, or sent by another version
            self.count_drop(DropCode.UNREADABLE, link.peer)
            link.close(DropCode.UNREADABLE)
        except Exception:  # no message of a peer may stop the proxy
            logger.exception(
                "mesh: message handler failed, closing the link kind={} peer={}", kind, link.peer
            )
            link.close(DropCode.HANDLER_FAILED)
        return None

    def reject(self, link: Link, code: DropCode) -> None:
        """Count and close a connection that failed authentication or exceeds a limit."""
        self.count_drop(code, link.transport.getPeer().host)
        link.close(code)

    def count_drop(self, code: str, peer: str) -> None:
        """Count a drop; `peer` is the name or address of the sender or the intended receiver."""
        self.drops.count(code, peer)

    def state(self) -> dict[str, Any]:
        """Return the state of the mesh for operators, as values that can be encoded as JSON."""
        peers = {
            peer: {"key": links[-1].key_id, "queued": links[-1].queue.size}
            for peer, links in self.peers.items()
        }
        return {
            "life": self.incarnation,
            "connections": len(self.connections),
            "dropped": self.drops.total,
            "peers": peers,
        }
