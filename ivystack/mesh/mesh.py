"""All links of one proxy to others: the listener, dialing, and handing messages to their handlers.

Nothing here waits for a peer, and a peer that is slow, silent or faulty gets no more than its bounds.
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
Handler = Callable[[str, Any], Any]  # gets the sender's name and the message's body

CONNECT_TIMEOUT_SECONDS = 2
MIN_BACKOFF, MAX_BACKOFF = 100_000, 3_000_000  # microseconds before a link is dialed again, up to half less
MAX_BACKOFF_DOUBLINGS = 10
LISTEN_RETRY_INTERVAL = 200_000  # microseconds before a listening address that is taken is tried again
LISTEN_BACKLOG = 1024
# Unauthenticated connections always allowed; above that, one in UNAUTHENTICATED_DIVISOR of max_connections.
MIN_UNAUTHENTICATED = 32
UNAUTHENTICATED_DIVISOR = 8


class AcceptFactory(ServerFactory):
    """Makes the links that peers dial to us."""

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
    """Makes one link that we dial."""

    noisy = False

    def __init__(self, mesh: Mesh, peer: str) -> None:
        self.mesh, self.peer = mesh, peer

    def buildProtocol(self, addr: Any) -> Link:  # noqa: N802, D102
        return Link(self.mesh, self.peer)

    def clientConnectionFailed(self, connector: Any, reason: Any) -> None:  # noqa: N802, D102
        self.mesh.redial_later(self.peer)


class Mesh:
    """The links of one proxy.  It keeps one to each member; other proxies keep theirs to us."""

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
        """Create a mesh without any link.

        :param now: the clock, in microseconds.
        :param name: of this proxy.
        :param max_connections: at once, in both directions.
        :param members: the proxies that links are kept to, by name; this one may be among them.
        :param listen_address: where peers reach us, None if they do not.
        :param source_address: the IP address that our connections come from.
        """
        self.reactor, self.deadlines, self.now, self.rng = reactor, deadlines, now, rng
        self.name, self.keys = name, keys
        self.members, self.max_connections = members, max_connections
        self.listen_address, self.source_address = listen_address, source_address
        self.incarnation = secrets.token_hex(8)  # tells this process from another of the same name
        self.connections: dict[Link, None] = {}
        self.unauthenticated: dict[Link, None] = {}  # dialed by who has proved nothing yet; oldest first
        self.peers: dict[str, list[Link]] = {}  # established links, the newest last
        self.dialing: set[str] = set()  # peers with a connection that we dial or have dialed
        self.dial_failures: dict[str, int] = {}
        self.handlers: dict[str, Handler] = {}  # by a message's kind
        self.drops = DropLog(deadlines, now)
        self.port: Any = None
        self.listen_failed = False
        self.current_link: Link | None = None  # whose message is being handled
        self.stopped = False

    def start(self) -> None:
        """Listen, and dial the members."""
        self.listen()
        for peer in self.members:
            if peer != self.name:
                self.dial(peer)

    def listen(self) -> None:
        """Open the listener, retrying while its address is taken."""
        if self.listen_address is None or self.stopped:
            return
        host, port = self.listen_address
        try:
            self.port = self.reactor.listenTCP(port, AcceptFactory(self), LISTEN_BACKLOG, host)
        except CannotListenError as fault:
            # In a hot restart the old process has it until it ends; members dial that one meanwhile.
            if not self.listen_failed:
                logger.warning("mesh: {}; retrying until the address is free", fault)
            self.listen_failed = True
            self.deadlines.call_at(self.now() + LISTEN_RETRY_INTERVAL, self.listen)

    def stop(self) -> None:
        """Close the listener and all links once what was written is out."""
        self.stopped = True
        port, self.port = self.port, None
        if port is not None:
            port.stopListening()
        for link in [*self.connections]:
            link.stop()

    def set_members(self, members: dict[str, Address]) -> None:
        """Keep links to these from now on; an open link to another proxy stays until it ends."""
        former, self.members = self.members, members
        for peer, address in members.items():
            if peer != self.name and former.get(peer) != address:
                self.dial(peer)
        if self.listen_address is None and self.name in members:
            self.listen_address = members[self.name]
            self.listen()

    def dial(self, peer: str) -> None:
        """Open a link to a member, unless there is one or one is being opened."""
        if self.stopped or peer in self.dialing or peer not in self.members:
            return
        self.dialing.add(peer)
        source = (self.source_address, 0) if self.source_address else None
        factory = DialFactory(self, peer)
        self.reactor.connectTCP(
            *self.members[peer], factory, timeout=CONNECT_TIMEOUT_SECONDS, bindAddress=source
        )

    def redial_later(self, peer: str) -> None:
        """Dial again after a randomized backoff: a peer was not reached, or its link has ended."""
        self.dialing.discard(peer)
        failures = self.dial_failures[peer] = self.dial_failures.get(peer, 0) + 1
        backoff = min(MAX_BACKOFF, MIN_BACKOFF << min(failures - 1, MAX_BACKOFF_DOUBLINGS))
        self.deadlines.call_at(self.now() + int(backoff * (0.5 + self.rng.random() / 2)), self.dial, peer)

    def connected(self, link: Link) -> None:
        """Note a new connection, before its handshake."""
        self.connections[link] = None
        if link.is_dialer:
            return
        # A stranger who only connects must not keep others out: the oldest such connection makes way.
        self.unauthenticated[link] = None
        if len(self.unauthenticated) > max(
            MIN_UNAUTHENTICATED, self.max_connections // UNAUTHENTICATED_DIVISOR
        ):
            self.reject(next(iter(self.unauthenticated)), DropCode.NO_CAPACITY)

    def established(self, link: Link) -> None:
        """Note that a link's peer is authenticated."""
        self.unauthenticated.pop(link, None)
        links = self.peers.setdefault(link.peer, [])
        links.append(link)
        if link.is_dialer:
            self.dial_failures[link.peer] = 0
        if len(links) == 1:
            logger.info("mesh: link established peer={} key={}", link.peer, link.key_id)

    def disconnected(self, link: Link) -> None:
        """Forget a link, and dial again where we had dialed it."""
        self.connections.pop(link, None)
        self.unauthenticated.pop(link, None)
        links = self.peers.get(link.peer, [])
        if link in links:
            links.remove(link)
            if not links:
                del self.peers[link.peer]
        if link.is_dialer:
            self.redial_later(link.peer)

    def address_matches(self, name: str, host: str) -> bool:
        """Return whether a proxy of that name may connect from `host`; a member only from its own address."""
        return name not in self.members or self.members[name][0] == host

    def send(self, peer: str, kind: str, body: Any) -> bool:
        """Send to each process of that name; return whether there is a link.  It may be lost all the same."""
        links = self.peers.get(peer)
        if not links:
            return False
        message = encode((kind, body))
        if len(message) > MAX_MESSAGE_BYTES:
            self.count_drop(DropCode.TOO_LONG_TO_SEND, peer)
            return False
        for link in {link.incarnation: link for link in links}.values():  # the newest link of each process
            link.send_encoded(message)
        return True

    def reply(self, link: Link, kind: str, body: Any) -> None:
        """Send to the very process that a message came from."""
        if link.code is None and link in self.connections:
            link.send(kind, body)

    def message_received(self, link: Link, kind: str, body: Any) -> None:
        """Hand a message to its handler; one that cannot be handled costs that link alone."""
        handler = self.handlers.get(kind)
        if handler is None:
            return self.count_drop(DropCode.UNKNOWN_KIND, link.peer)
        self.current_link = link
        try:
            handler(link.peer, body)
        except msgspec.ValidationError:  # not a message of ours, or one of another version
            self.count_drop(DropCode.UNREADABLE, link.peer)
            link.close(DropCode.UNREADABLE)
        except Exception:  # whatever a peer may send must not harm the proxy
            logger.exception(
                "mesh: handling a message failed, its link is closed kind={} peer={}", kind, link.peer
            )
            link.close(DropCode.HANDLER_FAILED)
        return None

    def reject(self, link: Link, code: DropCode) -> None:
        """Count a connection of somebody who did not prove who they are, and close it."""
        self.count_drop(code, link.transport.getPeer().host)
        link.close(code)

    def count_drop(self, code: str, peer: str) -> None:
        """Count something dropped; `peer` is the name or address that it came from or was meant for."""
        self.drops.count(code, peer)

    def state(self) -> dict[str, Any]:
        """Return how things stand, for the operators' JSON."""
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
