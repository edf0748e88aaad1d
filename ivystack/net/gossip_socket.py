"""Gossip between proxies: datagrams on one UDP socket."""

from __future__ import annotations

from collections.abc import Callable
from typing import Any

from loguru import logger
from twisted.internet.protocol import DatagramProtocol

MAX_DATAGRAM_BYTES = 256

PeerAddress = tuple[str, int]


class GossipSocket(DatagramProtocol):
    """Sends datagrams to the configured peers and takes theirs; others' and oversized ones are ignored.

    Delivery is best effort: datagrams may be lost, and nothing may depend on one.
    """

    noisy = False
    transport: Any

    def __init__(self, peers: list[PeerAddress], on_datagram: Callable[[bytes], None]) -> None:
        self.on_datagram = on_datagram
        self.send_failed = False  # and was logged
        self.set_peers(peers)

    def set_peers(self, peers: list[PeerAddress]) -> None:
        """Replace the peers; their numbers are their places in the list."""
        self.peers, self.allowed_senders = peers, set(peers)

    def close(self) -> None:
        """Free the address: in a hot restart the other process takes it."""
        if self.transport is not None:
            self.transport.stopListening()

    def send(self, peer: int, datagram: bytes) -> None:
        """Send a datagram, cut to `MAX_DATAGRAM_BYTES`, to the peer of that number, if there is one."""
        if self.transport is None or not 0 <= peer < len(self.peers):
            return
        try:
            self.transport.write(datagram[:MAX_DATAGRAM_BYTES], self.peers[peer])
        except OSError as fault:  # full buffers, a peer's machine away
            if not self.send_failed:
                logger.warning("gossip: could not send: {}", fault)
            self.send_failed = True

    def datagramReceived(self, datagram: bytes, addr: tuple[Any, ...]) -> None:  # noqa: N802, D102
        if len(datagram) <= MAX_DATAGRAM_BYTES and addr[:2] in self.allowed_senders:
            self.on_datagram(datagram)
