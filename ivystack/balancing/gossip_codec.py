"""Encoding and decoding of the datagrams that proxies send to each other.

There are three kinds, distinguished by the first byte and the length: recent outcomes (a multiple of four
bytes), a request for the slot order (three bytes), and a part of a slot order (never a multiple of four
bytes).  Content that can't be decoded is ignored.
"""

from __future__ import annotations

import enum
from hashlib import blake2b

from ..model import Server

SERVER_HASH_BYTES = 3
OUTCOME_BYTES = SERVER_HASH_BYTES + 1  # the server's hash, and the outcome of the latest attempt there
ORDER_REQUEST_BYTES = 3  # "?" and the number of the requesting process
ORDER_HEAD_BYTES = 9  # "=", digest of the whole order, number of its slots, first slot of the part
SLOTS_IN_PART = 80  # keeps datagrams within 256 bytes
MAX_PARTIAL_ORDERS = 16  # orders being assembled; at this number parts are ignored, which bounds the memory


class GossipedOutcome(enum.IntEnum):
    """The outcome of the latest attempt at a server, as datagrams contain it."""

    FAILED = 0
    ON_TIME = 1
    SLOW_HIT = 2  # a cache hit answered so late that the request must have queued


def server_hash(server: Server) -> bytes:
    """Return the three-byte hash of a server in datagrams; it is mostly unique among some hundred servers."""
    if server.is_placeholder:
        return bytes.fromhex(server.name)
    return blake2b(server.name.encode(), digest_size=SERVER_HASH_BYTES).digest()


def encode_outcomes(outcomes: list[tuple[Server, GossipedOutcome]]) -> bytes:
    """Return the datagram that contains the latest outcome at each of the servers."""
    return b"".join(server_hash(server) + bytes([outcome]) for server, outcome in outcomes)


def decode_outcomes(datagram: bytes) -> list[tuple[bytes, GossipedOutcome]]:
    """Return the server hashes and outcomes of a datagram; an unknown outcome counts as FAILED.

    >>> decode_outcomes(b"abc" + bytes([1]) + b"de")
    [(b'abc', <GossipedOutcome.ON_TIME: 1>)]
    """
    decoded = []
    for start in range(0, len(datagram) - OUTCOME_BYTES + 1, OUTCOME_BYTES):
        code = datagram[start + SERVER_HASH_BYTES]
        outcome = GossipedOutcome(code) if code <= GossipedOutcome.SLOW_HIT else GossipedOutcome.FAILED
        decoded.append((datagram[start : start + SERVER_HASH_BYTES], outcome))
    return decoded


def encode_order_request(process_number: int) -> bytes:
    """Return the datagram by which a process requests its peers' slot order."""
    return b"?%b" % process_number.to_bytes(2, "big")


def decode_order_request(datagram: bytes) -> int | None:
    """Return the number of the process that requests the slot order; None if this is no such request."""
    if datagram[:1] != b"?" or len(datagram) != ORDER_REQUEST_BYTES:
        return None
    return int.from_bytes(datagram[1:], "big")


def encode_slot_order(slots: list[Server]) -> list[bytes]:
    """Return the datagrams with the slot order, padded so that none is taken for recent outcomes."""
    hashes = b"".join(map(server_hash, slots))
    head = b"=%b%b" % (blake2b(hashes, digest_size=4).digest(), len(slots).to_bytes(2, "big"))
    parts = []
    for first_slot in range(0, len(slots), SLOTS_IN_PART):
        start = SERVER_HASH_BYTES * first_slot
        part = (
            head + first_slot.to_bytes(2, "big") + hashes[start : start + SERVER_HASH_BYTES * SLOTS_IN_PART]
        )
        parts.append(part + b"=" * (len(part) % OUTCOME_BYTES == 0))
    return parts


def decode_slot_order_part(datagram: bytes, partial_orders: dict[bytes, dict[int, bytes]]) -> list[bytes]:
    """Add a part to those received; return the order's server hashes once all parts are there, else [].

    :param partial_orders: the parts received, by the digest of the whole order and the part's first slot;
        updated in place.
    """
    if datagram[:1] != b"=" or len(datagram) <= ORDER_HEAD_BYTES or len(partial_orders) >= MAX_PARTIAL_ORDERS:
        return []
    digest, count = datagram[1:5], int.from_bytes(datagram[5:7], "big")
    first_slot = int.from_bytes(datagram[7:9], "big")
    parts = partial_orders.setdefault(digest, {})
    parts[first_slot] = datagram[ORDER_HEAD_BYTES:][
        : SERVER_HASH_BYTES * min(SLOTS_IN_PART, count - first_slot)
    ]
    hashes = b"".join(parts[first_slot] for first_slot in sorted(parts))
    if len(hashes) != SERVER_HASH_BYTES * count or blake2b(hashes, digest_size=4).digest() != digest:
        return []
    return [hashes[start : start + SERVER_HASH_BYTES] for start in range(0, len(hashes), SERVER_HASH_BYTES)]
