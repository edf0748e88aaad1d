"""Recognition of replies that a cache server sent twice on one connection.

Replies carry nothing that names their command: they belong to the commands in their order.  A surplus reply
that is taken for the answer to the next command would be served to the wrong client, and so would all that
follow on its connection.  Servers may send a reply a second time, at any later moment.

A reply that differs from the earlier replies on its connection is no copy of them.  One that equals an
earlier reply may be a copy, or a true answer that happens to be equal.  It is held back, and the connection
sends a PING: the server answers commands in order, so that the number of replies before the PONG tells how
many are surplus.

A long value can't be held back, as it is forwarded while it arrives.  The attempt that follows one on its
connection is sent behind a PING: what comes before the PONG is surplus.
"""

from __future__ import annotations

from collections import deque
from dataclasses import dataclass, field
from typing import Any

from ..model import Outcome
from .resp import StreamedValue, encode_command, value_size

PING, PONG = encode_command(b"PING"), "+PONG"
# Values with which a new one is compared.  A copy directly follows its original, unless answers to commands
# that were written in between overtake it.
REMEMBERED_VALUES = 4
NO_VALUE = "no value"

Fingerprint = int | tuple[int, int] | str  # of a value, of a long value, and of any other reply


@dataclass(frozen=True, slots=True)
class Reply:
    """A complete reply of a server; `value` is as read by `resp.RespProtocol`."""

    outcome: Outcome
    value: Any
    fingerprint: Fingerprint

    @property
    def is_long(self) -> bool:
        """Whether its value was forwarded while it arrived."""
        return isinstance(self.fingerprint, tuple)


class SurplusRepliesError(Exception):
    """The replies can't be matched with the commands."""


def fingerprint(value: Any, checksum: int = 0) -> Fingerprint:
    """Return what is equal for a reply and its copies, whose load reports may differ.

    :param checksum: the checksum of a streamed value

    >>> fingerprint([b"v", b"hit", None]) == fingerprint([b"v", b"miss", b"{}"])
    True
    >>> fingerprint("-BUSY")
    '-BUSY'
    """
    content = value[0] if isinstance(value, list) and value else value
    if isinstance(content, StreamedValue):
        return content.size, checksum
    if isinstance(content, bytes):
        return hash(content)
    return content if isinstance(content, str) else NO_VALUE


@dataclass(slots=True)
class ReplyVerifier:
    """The replies of one connection that may be copies, and whether the reply to a PING is awaited.

    While it is, no further command may be written to the connection.
    """

    is_skipping: bool = False  # replies before the PONG are surplus
    _held: list[Reply] = field(default_factory=list)
    _previous: Fingerprint | None = None
    _recent_values: deque[Fingerprint] = field(default_factory=lambda: deque(maxlen=REMEMBERED_VALUES))
    _long_sizes: set[int] = field(default_factory=set)  # of the long values since the last PONG

    @property
    def held_count(self) -> int:
        """How many replies are held back until the PONG."""
        return len(self._held)

    @property
    def held_bytes(self) -> int:
        """How many bytes of values are held back until the PONG."""
        return sum(value_size(reply.value) for reply in self._held) if self._held else 0

    @property
    def awaits_pong(self) -> bool:
        """Whether a PING was sent that was not answered."""
        return self.is_skipping or bool(self._held)

    @property
    def needs_ping(self) -> bool:
        """Whether the next attempt must be sent behind a PING."""
        return bool(self._long_sizes)

    def may_be_copy(self, candidate: Fingerprint) -> bool:
        """Return whether an earlier reply on the connection was equal."""
        return candidate == self._previous or candidate in self._recent_values

    def record(self, reply: Reply) -> None:
        """Remember a reply that belongs to a command."""
        self._previous = reply.fingerprint
        if not isinstance(reply.fingerprint, str):
            self._recent_values.append(reply.fingerprint)

    def hold(self, reply: Reply) -> None:
        """Hold a reply back: the first one that may be a copy, or any that follows it."""
        self._held.append(reply)

    def begin_long_value(self, size: int) -> None:
        """Record that a value of `size` bytes begins, which is forwarded while it arrives.

        :raises SurplusRepliesError: it may be a copy
        """
        if self._held or size in self._long_sizes:
            raise SurplusRepliesError
        self._long_sizes.add(size)

    def skip_to_pong(self) -> None:
        """Treat all replies before the next PONG as surplus."""
        self.is_skipping = True

    def end_skipping(self) -> None:
        """Record the PONG that ends the surplus."""
        self.is_skipping = False
        self._long_sizes.clear()

    def resolve(self, expected: int) -> list[Reply]:
        """Record the PONG behind the held replies, and return those that belong to commands, in order.

        :param expected: the number of commands that were not answered when the PING was sent
        :raises SurplusRepliesError: it can't be told which of the replies are copies
        """
        held, self._held = self._held, []
        surplus = len(held) - expected
        earlier = {self._previous, *self._recent_values}
        answers = []
        for reply in held:
            if reply.fingerprint not in earlier:
                answers.append(reply)
            earlier.add(reply.fingerprint)
        if surplus == 0:
            return held
        if len(answers) == expected:
            return answers
        if surplus > 0 and len({reply.fingerprint for reply in held}) == 1:
            return held[surplus:]
        raise SurplusRepliesError
