"""The bytes of the datagrams that proxies send each other, and how they are read again.

There are three kinds, told apart by their first byte and length: recent outcomes (a multiple of four bytes),
a request for the slot order, and parts of a slot order (never a multiple of four bytes).  Whatever can't be
read is left out.
"""

from __future__ import annotations

import enum
from hashlib import blake2b

from ..model import Server

SERVER_HASH_BYTES = 3
OUTCOME_BYTES = SERVER_HASH_BYTES + 1  # the server's hash, and how the latest attempt there ended
ORDER_REQUEST_BYTES = 3  # "?" and the number of the process that asks
ORDER_HEAD_BYTES = 9  # "=", a digest of the whole order, the number of its slots, the part's first slot
SLOTS_IN_PART = 80  # so that a datagram has at most 256 bytes
MAX_PARTIAL_ORDERS = 16  # orders put together at once: senders can't fill our memory


class GossipedOutcome(enum.IntEnum):
    """How the latest attempt at a server ended, in datagrams to peers."""

    FAILED = 0
    ON_TIME = 1
    SLOW_HIT = 2  # answered, but late for a cache hit: it has queued


def server_hash(server: Server) -> bytes:
    """Return the three bytes that stand for a server in datagrams; some hundred servers seldom share one."""
    if server.is_placeholder:
        return bytes.fromhex(server.name)
    return blake2b(server.name.encode(), digest_size=SERVER_HASH_BYTES).digest()


def encode_outcomes(outcomes: list[tuple[Server, GossipedOutcome]]) -> bytes:
    """Return the datagram with the latest outcome at each of these servers."""
    return b"".join(server_hash(server) + bytes([outcome]) for server, outcome in outcomes)


def decode_outcomes(datagram: bytes) -> list[tuple[bytes, GossipedOutcome]]:
    """Return the server hashes and outcomes of a datagram; an unknown outcome counts as a failed one.

    >>> decode_outcomes(b"abc" + bytes([1]) + b"de")
    [(b'abc', <GossipedOutcome.ON_TIME: 1>)]
    """
    found = []
    for start in range(0, len(datagram) - OUTCOME_BYTES + 1, OUTCOME_BYTES):
        code = datagram[start + SERVER_HASH_BYTES]
        outcome = GossipedOutcome(code) if code <= GossipedOutcome.SLOW_HIT else GossipedOutcome.FAILED
        found.append((datagram[start : start + SERVER_HASH_BYTES], outcome))
    return found


def encode_order_request(process_number: int) -> bytes:
    """Return the datagram with which a process asks for its peers' slot order."""
    return b"?%b" % process_number.to_bytes(2, "big")


def decode_order_request(datagram: bytes) -> int | None:
    """Return the number of the process that asks for the slot order; None if the datagram doesn't ask."""
    if datagram[:1] != b"?" or len(datagram) != ORDER_REQUEST_BYTES:
        return None
    return int.from_bytes(datagram[1:], "big")


def encode_slot_order(slots: list[Server]) -> list[bytes]:
    """Return the datagrams with the order of the slots; none has the length of one with outcomes."""
    hashes = b"".join(map(server_hash, slots))
    head = b"=%b%b" % (blake2b(hashes, digest_size=4).digest(), len(slots).to_bytes(2, "big"))
    parts = []
    for first in range(0, len(slots), SLOTS_IN_PART):
        start = SERVER_HASH_BYTES * first
        part = head + first.to_bytes(2, "big") + hashes[start : start + SERVER_HASH_BYTES * SLOTS_IN_PART]
        parts.append(part + b"=" * (len(part) % OUTCOME_BYTES == 0))
    return parts


def decode_slot_order_part(datagram: bytes, partial_orders: dict[bytes, dict[int, bytes]]) -> list[bytes]:
    """Add a part to those before; return the order's server hashes once all parts are there, else [].

    :param partial_orders: hashes by digest of the whole order and first slot of the part; changed in place.
    """
    if datagram[:1] != b"=" or len(datagram) <= ORDER_HEAD_BYTES or len(partial_orders) >= MAX_PARTIAL_ORDERS:
        return []
    digest, count = datagram[1:5], int.from_bytes(datagram[5:7], "big")
    first = int.from_bytes(datagram[7:9], "big")
    parts = partial_orders.setdefault(digest, {})
    parts[first] = datagram[ORDER_HEAD_BYTES:][: SERVER_HASH_BYTES * min(SLOTS_IN_PART, count - first)]
    hashes = b"".join(parts[at] for at in sorted(parts))
    if len(hashes) != SERVER_HASH_BYTES * count or blake2b(hashes, digest_size=4).digest() != digest:
        return []
    return [hashes[at : at + SERVER_HASH_BYTES] for at in range(0, len(hashes), SERVER_HASH_BYTES)]
