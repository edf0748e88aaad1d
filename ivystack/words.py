"""How words between proxies are written in bytes and read again.

Owns the forms of the short messages that proxies send each other.  It must never decide who is told what, or
believe a word: what can't be read is left out.
"""

from __future__ import annotations

from hashlib import blake2b

from .model import Server

ENDING = 4  # bytes an ending: three of the server's name, hashed, and how it ended
HEAD, SLOTS = 9, 80  # bytes before the marks, and marks in a message of at most 256


def mark(server: Server) -> bytes:
    """What stands for a server in words between proxies: 24 bits, seldom alike among some hundreds."""
    return (
        bytes.fromhex(server.name)
        if server.is_placeholder
        else blake2b(server.name.encode(), digest_size=3).digest()
    )


def endings(ended: list[tuple[Server, int]]) -> bytes:
    return b"".join(mark(server) + bytes([well]) for server, well in ended)


def read_endings(words: bytes) -> list[tuple[bytes, int]]:
    """
    >>> read_endings(b"abc" + bytes([1]) + b"de")
    [(b'abc', 1)]
    """
    whole = range(0, len(words) - ENDING + 1, ENDING)
    return [(words[at : at + ENDING - 1], words[at + ENDING - 1]) for at in whole]


def question(me: int) -> bytes:
    return b"?%b" % me.to_bytes(2, "big")


def asker(words: bytes) -> int | None:
    """Who asks for our slot order; None if the words ask nothing."""
    return int.from_bytes(words[1:], "big") if words[:1] == b"?" and len(words) == 3 else None


def order(slots: list[Server]) -> list[bytes]:
    """The slots' marks in order, in parts; the length of each tells it from endings."""
    marks = b"".join(map(mark, slots))
    head = b"=%b%b" % (blake2b(marks, digest_size=4).digest(), len(slots).to_bytes(2, "big"))
    parts = []
    for first in range(0, len(slots), SLOTS):
        part = head + first.to_bytes(2, "big") + marks[3 * first :][: 3 * SLOTS]
        parts.append(part + b"=" * (len(part) % ENDING == 0))
    return parts


def read_order(words: bytes, parts: dict[bytes, dict[int, bytes]]) -> list[bytes]:
    """Puts a part of an order to those that came before; the marks, once all are there."""
    if words[:1] != b"=" or len(words) <= HEAD or len(parts) >= 16:
        return []
    count, first = int.from_bytes(words[5:7], "big"), int.from_bytes(words[7:9], "big")
    found = parts.setdefault(words[1:5], {})
    found[first] = words[HEAD:][: 3 * min(SLOTS, count - first)]
    marks = b"".join(found[at] for at in sorted(found))
    if len(marks) != 3 * count or blake2b(marks, digest_size=4).digest() != words[1:5]:
        return []
    return [marks[at : at + 3] for at in range(0, len(marks), 3)]
