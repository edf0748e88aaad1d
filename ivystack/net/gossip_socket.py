"""The UDP socket for gossip between proxies."""

from __future__ import annotations

from collections.abc import Callable
from typing import Any

from loguru import logger
from twisted.internet.protocol import DatagramProtocol

MAX_DATAGRAM_BYTES = 256

PeerAddress = tuple[str, int]


class GossipSocket(DatagramProtocol):
    """Exchanges datagrams with the configured peers; ignores other senders' and oversized datagrams.

    Delivery is best effort: any datagram may be lost.
    """

    noisy = False
    transport: Any

    def __init__(self, peers: list[PeerAddress], on_datagram: Callable[[bytes], None]) -> None:
        self.on_datagram = on_datagram
        self.send_failed = False  # a failure has been logged; later ones are not
        self.set_peers(peers)

    def set_peers(self, peers: list[PeerAddress]) -> None:
        """Replace the peers; a peer's number is its index in the list."""
        self.peers, self.allowed_senders = peers, set(peers)

    def close(self) -> None:
        """Close the socket, so that in a hot restart the other process can bind the address."""
        if self.transport is not None:
            self.transport.stopListening()

    def send(self, peer: int, datagram: bytes) -> None:
        """Send a datagram, truncated to `MAX_DATAGRAM_BYTES`, to a peer; ignore an unknown peer number."""
        if self.transport is None or not 0 <= peer < len(self.peers):
            return
        try:
            self.transport.write(datagram[:MAX_DATAGRAM_BYTES], self.peers[peer])
        except OSError as error:  # for example, full buffers or an unreachable peer
            if not self.send_failed:
                logger.warning("gossip: sending a datagram failed, later failures are not logged: {}", error)
            self.send_failed = True

    def datagramReceived(self, datagram: bytes, addr: tuple[Any, ...]) -> None:  # noqa: N802, D102
        if len(datagram) <= MAX_DATAGRAM_BYTES and addr[:2] in self.allowed_senders:
            self.on_datagram(datagram)
