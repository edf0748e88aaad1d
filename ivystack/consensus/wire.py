"""What proxies send each other about the consensus group, beside the core's own messages.

Bodies are MessagePack arrays without field names; kinds and the order of fields are the protocol.
"""

from __future__ import annotations

from enum import StrEnum
from typing import Annotated, Any

from msgspec import Meta, Struct

from .messages import Message


class MessageKind(StrEnum):
    """Kinds of mesh messages; the values stand on the wire."""

    RAFT = "raft"  # an Envelope
    ANNOUNCEMENT = "knock"  # an Announcement
    REQUEST = "ask"  # a Request
    REPLY = "answer"  # a Reply


class RequestKind(StrEnum):
    """What a request wants; the values stand on the wire."""

    COMMAND = "do"
    QUERY = "look"


class Envelope(Struct, array_like=True, frozen=True, forbid_unknown_fields=True):
    """A message of the core from one replica id to another."""

    sender: str
    receiver: str
    message: Message


class Announcement(Struct, array_like=True, frozen=True, forbid_unknown_fields=True):
    """A replica that is no member, or knows no leader, makes itself known."""

    replica_id: str
    has_state: bool  # it has been a member of a group, or was asked to be one


class Request(Struct, array_like=True, frozen=True, forbid_unknown_fields=True):
    """A request to the leader.

    ``fields`` are client id, command number, part, name and arguments of a command; part, name and arguments
    of a query.
    """

    number: int
    kind: RequestKind
    fields: Annotated[list, Meta(min_length=3, max_length=5)]


class Reply(Struct, array_like=True, frozen=True, forbid_unknown_fields=True):
    """The answer to a request.

    Where it was not ``accepted``, ``answer`` is the name of the leader as far as known, else ``""``; a
    command may have been executed all the same.
    """

    number: int
    accepted: bool
    answer: Any
