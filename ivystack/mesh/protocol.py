"""The mesh's wire format: handshake, messages, and the codes for what was dropped.

Each frame is a signature and a msgpack body, with a 32 bit length before them.  Both sides send a `Handshake`
first; the called side's covers the caller's nonce.  Each later message is an array of kind and body, signed
over both nonces, its direction and its number, so that it counts on this connection and in this order alone.
"""

from __future__ import annotations

from enum import StrEnum
from typing import Annotated, Any

import msgspec
from msgspec import Meta, Struct

VERSION = 1  # of the handshake and of what follows it
MAX_MESSAGE_BYTES = 262_144  # a snapshot of the replicated state fits, and its digest takes 0.3 ms
NONCE_BYTES = 16
NAME_PATTERN = r"^[\w.:-]{1,64}$"  # of a proxy: the name stands in logs and in ids
HEARTBEAT_KIND = ""  # a message without a handler: it shows that the sender is alive

# What a signature covers first, by the kind of frame.
HANDSHAKE_TAG, MESSAGE_TAG = b"hello", b"say"
FROM_DIALER, FROM_ACCEPTOR = b">", b"<"

ProxyName = Annotated[str, Meta(pattern=NAME_PATTERN)]
Incarnation = Annotated[str, Meta(pattern="^[0-9a-f]{16}$")]


class Handshake(Struct, array_like=True):
    """The first frame of each side, as an array in the order of these fields."""

    version: int
    sender: ProxyName
    recipient: str
    incarnation: Incarnation  # of the sender's process: in a hot restart two processes have one name
    nonce: bytes


encode = msgspec.msgpack.encode
handshake_decoder = msgspec.msgpack.Decoder(Handshake)
message_decoder = msgspec.msgpack.Decoder(tuple[str, Any])


class DropCode(StrEnum):
    """Why a link was closed or a message dropped; the value is the `code=` in logs and operators' JSON."""

    NO_HANDSHAKE = "no-greeting"
    BAD_KEY = "bad-key"
    BAD_DIGEST = "bad-digest"
    WRONG_ADDRESS = "not-its-address"  # it has a member's name, but not that member's address
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
    """Return the `code=` of a link that was closed because the peer has another version."""
    return f"version-{version}"


# Ends that strangers can bring about at will: counted, and logged once a period for all of them.
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
