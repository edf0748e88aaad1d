"""Mesh messages of the consensus group: envelopes of Raft messages, announcements, requests and replies.

Message bodies are MessagePack arrays without field names. Kinds and the order of fields are part of the
protocol and must not change.
"""

from __future__ import annotations

from enum import StrEnum
from typing import Annotated, Any

from msgspec import Meta, Struct

from .messages import Message


class MessageKind(StrEnum):
    """Kinds of mesh messages; the values are sent on the wire."""

    RAFT = "raft"  # an Envelope
    ANNOUNCEMENT = "knock"  # an Announcement
    REQUEST = "ask"  # a Request
    REPLY = "answer"  # a Reply


class RequestKind(StrEnum):
    """Kinds of requests; the values are sent on the wire."""

    COMMAND = "do"
    QUERY = "look"


class Envelope(Struct, array_like=True, frozen=True, forbid_unknown_fields=True):
    """A Raft message from one replica to another, with the ids of both."""

    sender: str
    receiver: str
    message: Message


class Announcement(Struct, array_like=True, frozen=True, forbid_unknown_fields=True):
    """Announces a replica that is not a member or knows no leader."""

    replica_id: str
    has_state: bool  # the replica has a configuration: it has been a member, or a group has added it


class Request(Struct, array_like=True, frozen=True, forbid_unknown_fields=True):
    """A request to the leader.

    ``fields`` of a command are client id, command number, part, name and arguments; ``fields`` of a query are
    part, name and arguments.
    """

    number: int
    kind: RequestKind
    fields: Annotated[list, Meta(min_length=3, max_length=5)]


class Reply(Struct, array_like=True, frozen=True, forbid_unknown_fields=True):
    """The reply to a request.

    If the request was not ``accepted``, ``answer`` is the name of the leader, or ``""`` if the leader is
    unknown; a command may have been executed nevertheless.
    """

    number: int
    accepted: bool
    answer: Any
