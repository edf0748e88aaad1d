"""Gossip of outcomes: each process sends some peers how its last attempts at each server ended.

So hundreds of processes don't learn one by one that a server is full or hangs.  A lost, late, repeated or
wrong datagram does little: it moves a known server's share as one attempt of our own would.
"""

from __future__ import annotations

from random import Random

from ..model import SendGossip, Server
from .gossip_codec import GossipedOutcome, decode_outcomes, encode_outcomes, server_hash

INTERVAL_US = (
    250_000  # well below the time in which many processes overload a server that none has seen to be full
)
FAILURE_DELAY_US = 30_000  # outcomes come in bursts, and one datagram has all that failed in this time
FANOUT = 12  # peers a round, drawn anew: each process hears of that many times the outcomes of its own
MAX_OUTCOMES = 64  # in a datagram


class OutcomeGossip:
    """The recent outcomes that peers are to be sent, when and to whom."""

    def __init__(self, rng: Random, own_number: int, process_count: int) -> None:
        self.rng, self.peers = rng, [peer for peer in range(process_count) if peer != own_number]
        self.latest: dict[Server, GossipedOutcome] = {}
        self.servers_by_hash: dict[bytes, Server] = {}
        self.next_at: int | None = None  # the next round

    def note(self, server: Server, outcome: GossipedOutcome, now: int) -> None:
        """Note how an attempt ended, to be sent in the next round."""
        if not self.peers:
            return
        self.latest[server] = outcome
        if outcome is GossipedOutcome.FAILED:
            at = now + FAILURE_DELAY_US
        else:
            at = now + (INTERVAL_US // 2 + self.rng.randrange(INTERVAL_US))
        self.next_at = at if self.next_at is None else min(at, self.next_at)

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
        """Recognize these servers, and no others, in datagrams."""
        self.servers_by_hash = {server_hash(server): server for server in servers}

    def receive(self, datagram: bytes) -> list[tuple[Server, GossipedOutcome]]:
        """Return the outcomes that a peer reports of known servers."""
        return [
            (self.servers_by_hash[one], outcome)
            for one, outcome in decode_outcomes(datagram)
            if one in self.servers_by_hash
        ]
