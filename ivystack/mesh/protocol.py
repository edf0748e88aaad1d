"""The wire format of the mesh: handshake, messages, and the codes of drops and closed links.

Each frame is a 32-bit length, a signature and a MessagePack body. Both sides send a `Handshake` first; the
acceptor's signature covers the dialer's nonce. Each later message is an array of kind and body. Its signature
covers both nonces, the direction and the sequence number, so that the message is valid only on its connection
and in its position.
"""

from __future__ import annotations

from enum import StrEnum
from typing import Annotated, Any

import msgspec
from msgspec import Meta, Struct

VERSION = 1  # version of the handshake and of the messages
MAX_MESSAGE_BYTES = 262_144  # fits a snapshot of the replicated state; a digest of this length takes 0.3 ms
NONCE_BYTES = 16
NAME_PATTERN = r"^[\w.:-]{1,64}$"  # pattern of proxy names, which are used in logs and ids
HEARTBEAT_KIND = ""  # has no handler; shows that the sender is alive

# First bytes that a signature covers, by kind of frame.
HANDSHAKE_TAG, MESSAGE_TAG = b"hello", b"say"
FROM_DIALER, FROM_ACCEPTOR = b">", b"<"

ProxyName = Annotated[str, Meta(pattern=NAME_PATTERN)]
Incarnation = Annotated[str, Meta(pattern="^[0-9a-f]{16}$")]


class Handshake(Struct, array_like=True):
    """The first frame of each side, encoded as an array in the order of these fields."""

    version: int
    sender: ProxyName
    recipient: str
    incarnation: Incarnation  # of the sender's process; in a hot restart two processes share a name
    nonce: bytes


encode = msgspec.msgpack.encode
handshake_decoder = msgspec.msgpack.Decoder(Handshake)
message_decoder = msgspec.msgpack.Decoder(tuple[str, Any])


class DropCode(StrEnum):
    """The reason for a closed link or a dropped message; the value is the `code=` in logs and JSON status."""

    NO_HANDSHAKE = "no-greeting"
    BAD_KEY = "bad-key"
    BAD_DIGEST = "bad-digest"
    WRONG_ADDRESS = "not-its-address"  # the peer has a member's name, but not that member's address
    WRONG_NAME = "other-name"
    UNREADABLE = "unreadable"
    TOO_LONG = "too-long"
    SILENT = "silent"
    PEER_CLOSED = "peer-closed"
    PEER_RESET = "peer-reset"
    STOPPING = "stopping"
    HANDLER_FAILED = "unusable"
    NO_CAPACITY = "no-room"
    QUEUE_FULL = "queue-full"
    UNKNOWN_KIND = "unknown-kind"
    TOO_LONG_TO_SEND = "too-long-to-say"
    NOT_A_MEMBER = "no-member"
    NOT_ALLOWED = "not-allowed"


def version_code(version: int) -> str:
    """Return the `code=` of a link that was closed because the peer has another protocol version."""
    return f"version-{version}"


# Closes that unauthenticated peers can cause at will. They are counted and logged once per period in total.
UNLOGGED_CODES = frozenset(
    [
        DropCode.NO_HANDSHAKE,
        DropCode.BAD_KEY,
        DropCode.BAD_DIGEST,
        DropCode.WRONG_ADDRESS,
        DropCode.PEER_CLOSED,
        DropCode.PEER_RESET,
        DropCode.UNREADABLE,
        DropCode.TOO_LONG,
        DropCode.NO_CAPACITY,
    ]
)
