"""Short words between proxies, as UDP datagrams.

Owns the one UDP socket.  It must never send more than a datagram's 256 bytes, take words from an address that
is no peer's, or let strange words do harm.
"""

from __future__ import annotations

from loguru import logger
from twisted.internet.protocol import DatagramProtocol

MOST = 256


class Peers(DatagramProtocol):
    noisy = False

    def __init__(self, addresses: list[tuple[str, int]], told):
        self.told = told
        self.broken = False
        self.at(addresses)

    def at(self, addresses: list[tuple[str, int]]) -> None:
        self.addresses, self.senders = addresses, set(addresses)

    def leave(self) -> None:
        """Lets the address go: in an upgrade the other process takes it."""
        if self.transport is not None:
            self.transport.stopListening()

    def say(self, peer: int, words: bytes) -> None:
        if self.transport is None or not 0 <= peer < len(self.addresses):
            return
        try:
            self.transport.write(words[:MOST], self.addresses[peer])
        except OSError as fault:  # full buffers, a peer's machine away: words may be lost
            if not self.broken:
                logger.warning("peers: could not send: {}", fault)
            self.broken = True

    def datagramReceived(self, datagram: bytes, addr) -> None:  # noqa: N802
        if len(datagram) <= MOST and addr[:2] in self.senders:
            self.told(datagram)
