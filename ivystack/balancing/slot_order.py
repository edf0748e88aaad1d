"""Exchange of the slot order: a process that has just started takes it from peers that have kept it.

Else most processes that restart amid a release each derive an order of their own from the endpoint list, keys
have several times their replicas, and copies are hardly ever met again.
"""

from __future__ import annotations

from collections import deque
from random import Random

from ..model import SendGossip, Server
from .gossip_codec import (
    decode_order_request,
    decode_slot_order_part,
    encode_order_request,
    encode_slot_order,
)

REQUEST_INTERVAL_US = 500_000  # datagrams may be lost, and the peers asked may have started just now too
SETTLING_US = 8_000_000  # endpoint lists agree by then; until then a process asks, and answers nobody
FANOUT = 6  # peers asked at a time: one of them has run for longer, unless nearly all have just started
MAX_REPLIES = 256  # datagrams that wait to be sent


class SlotOrderExchange:
    """Asks peers for their slot order at the start, and answers them afterwards."""

    def __init__(self, rng: Random, own_number: int, process_count: int) -> None:
        self.rng, self.own_number = rng, own_number
        self.peers = [peer for peer in range(process_count) if peer != own_number]
        self.settled_at: int | None = None  # None: not started
        self.next_at: int | None = 0 if self.peers else None  # the next request; None: none any more
        self.replies: deque[tuple[int, bytes]] = deque(maxlen=MAX_REPLIES)
        self.partial_orders: dict[bytes, dict[int, bytes]] = {}

    def due(self, now: int) -> list[SendGossip]:
        """Return the datagrams to be sent now: answers, then requests."""
        datagrams, self.replies = [*self.replies], deque(maxlen=MAX_REPLIES)
        self.settled_at = self.settled_at or now + SETTLING_US
        if self.next_at is not None and now >= self.next_at:
            self.next_at, self.partial_orders = None, {}
            if now < self.settled_at:
                self.next_at = now + REQUEST_INTERVAL_US
                asked = self.rng.sample(self.peers, min(FANOUT, len(self.peers)))
                datagrams += [(peer, encode_order_request(self.own_number)) for peer in asked]
        return [SendGossip(peer, datagram) for peer, datagram in datagrams]

    def receive(self, datagram: bytes, slots: list[Server], now: int) -> list[bytes]:
        """Answer a request; return an order's server hashes by slot once it is complete, else []."""
        settling = self.settled_at is None or now < self.settled_at
        asker = decode_order_request(datagram)
        if asker is not None and not settling:
            self.replies.extend((asker, part) for part in encode_slot_order(slots))
        return decode_slot_order_part(datagram, self.partial_orders) if settling else []

    def stop_asking(self, now: int) -> None:
        """Take the order that is known now for settled."""
        self.settled_at, self.next_at = now, None
