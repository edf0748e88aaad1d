"""Exchange of the slot order: a process that has just started requests the order from its peers.

Otherwise most processes that restart during a release would each derive a different order from the endpoint
list.  Each key would then be cached by several times as many servers, and few copies would be read again.
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

REQUEST_INTERVAL_US = 500_000  # datagrams may be lost, and requested peers may have just started too
# Endpoint lists agree by this time after a start.  A process requests the order until then, and replies to
# requests only afterwards.
SETTLING_US = 8_000_000
FANOUT = 6  # peers per request; one of them has run for longer unless nearly all just started
MAX_REPLIES = 256  # datagrams queued to be sent


class SlotOrderExchange:
    """Requests the slot order from peers after the start, and replies to their requests afterwards."""

    def __init__(self, rng: Random, own_number: int, process_count: int) -> None:
        self.rng, self.own_number = rng, own_number
        self.peers = [peer for peer in range(process_count) if peer != own_number]
        self.settled_at: int | None = None  # end of the settling time; None: the exchange has not started
        self.next_at: int | None = 0 if self.peers else None  # time of the next request; None: no request
        self.replies: deque[tuple[int, bytes]] = deque(maxlen=MAX_REPLIES)
        self.partial_orders: dict[bytes, dict[int, bytes]] = {}

    def due(self, now: int) -> list[SendGossip]:
        """Return the datagrams to be sent now: replies, then requests."""
        datagrams, self.replies = [*self.replies], deque(maxlen=MAX_REPLIES)
        self.settled_at = self.settled_at or now + SETTLING_US
        if self.next_at is not None and now >= self.next_at:
            self.next_at, self.partial_orders = None, {}
            if now < self.settled_at:
                self.next_at = now + REQUEST_INTERVAL_US
                recipients = self.rng.sample(self.peers, min(FANOUT, len(self.peers)))
                datagrams += [(peer, encode_order_request(self.own_number)) for peer in recipients]
        return [SendGossip(peer, datagram) for peer, datagram in datagrams]

    def receive(self, datagram: bytes, slots: list[Server], now: int) -> list[bytes]:
        """Reply to a request; return a received order's server hashes by slot once complete, else []."""
        settling = self.settled_at is None or now < self.settled_at
        requester = decode_order_request(datagram)
        if requester is not None and not settling:
            self.replies.extend((requester, part) for part in encode_slot_order(slots))
        return decode_slot_order_part(datagram, self.partial_orders) if settling else []

    def stop_requests(self, now: int) -> None:
        """Stop requesting the slot order, and treat the current one as settled."""
        self.settled_at, self.next_at = now, None
