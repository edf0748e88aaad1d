"""Gossip of outcomes: each process sends its latest outcome at each server to some of its peers.

Without gossip, each of hundreds of processes would have to detect by itself that a server is full or hangs.
A lost, late, repeated or wrong datagram has little effect: it changes a known server's admitted share as much
as one attempt of this process does.
"""

from __future__ import annotations

from random import Random

from ..model import SendGossip, Server
from .gossip_codec import GossipedOutcome, decode_outcomes, encode_outcomes, server_hash

# Mean delay of a round, well below the time in which many processes overload a server that none of them has
# found to be full.
INTERVAL_US = 250_000
FAILURE_DELAY_US = 30_000  # outcomes come in bursts; one datagram contains all failures of this time
FANOUT = 12  # randomly drawn peers per round; a process receives this many times its own number of outcomes
MAX_OUTCOMES = 64  # per datagram


class OutcomeGossip:
    """Collects outcomes for peers, and decides when and to which peers they are sent."""

    def __init__(self, rng: Random, own_number: int, process_count: int) -> None:
        self.rng, self.peers = rng, [peer for peer in range(process_count) if peer != own_number]
        self.latest: dict[Server, GossipedOutcome] = {}
        self.servers_by_hash: dict[bytes, Server] = {}
        self.next_at: int | None = None  # the next round

    def record(self, server: Server, outcome: GossipedOutcome, now: int) -> None:
        """Record the outcome of an attempt, to be sent in the next round."""
        if not self.peers:
            return
        self.latest[server] = outcome
        if outcome is GossipedOutcome.FAILED:
            send_at = now + FAILURE_DELAY_US
        else:
            send_at = now + (INTERVAL_US // 2 + self.rng.randrange(INTERVAL_US))
        self.next_at = send_at if self.next_at is None else min(send_at, self.next_at)

    def due(self, now: int) -> list[SendGossip]:
        """Return the datagrams to be sent now."""
        if self.next_at is None or now < self.next_at:
            return []
        self.next_at = None
        datagram = encode_outcomes([*self.latest.items()][-MAX_OUTCOMES:])
        self.latest.clear()
        peers = self.rng.sample(self.peers, min(FANOUT, len(self.peers)))
        return [SendGossip(peer, datagram) for peer in peers]

    def set_servers(self, servers: list[Server]) -> None:
        """Set the servers that are recognized in datagrams."""
        self.servers_by_hash = {server_hash(server): server for server in servers}

    def receive(self, datagram: bytes) -> list[tuple[Server, GossipedOutcome]]:
        """Return the outcomes at known servers that a peer's datagram contains."""
        return [
            (self.servers_by_hash[hash_], outcome)
            for hash_, outcome in decode_outcomes(datagram)
            if hash_ in self.servers_by_hash
        ]
