"""Typed lease requests to the consensus group."""

from __future__ import annotations

from collections.abc import Callable
from enum import Enum, auto
from typing import Any, NamedTuple, Protocol

from .protocol import LEASE_PART, LeaseCommand, LeaseRead

REQUEST_TIMEOUT = 2_000_000  # microseconds for an answer of the group


class GroupRequest(Protocol):
    """A request to the group as its client offers it: False if it was not sent, else one call of `callback`.

    `callback(True, answer)` on an answer, `callback(False, None)` once `timeout` microseconds have passed
    without one.
    """

    def __call__(  # noqa: D102
        self, part: str, name: str, args: list, callback: Callable[[bool, Any], None], timeout: int
    ) -> bool: ...


class LeaseGrant(NamedTuple):
    """The holder of a lease and its token, after an attempt to acquire it."""

    holder: str
    token: int


class RenewalResult(Enum):
    """What became of a request to renew a lease."""

    GRANTED = auto()
    NOT_HOLDER = auto()  # the lease is not held by that owner under that token
    NOT_EXTENDED = auto()  # held, but the last answer from the group is too old to grant more time
    UNANSWERED = auto()


class PutResult(NamedTuple):
    """Whether a value was written, and the version of the lease's value then."""

    accepted: bool
    version: int


class LeaseValue(NamedTuple):
    """The value of a lease, its version, and the token that it was written under."""

    version: int
    token: int
    value: bytes


class LeaseClient:
    """Sends lease requests to the group.  Each method returns whether the request was sent."""

    def __init__(self, command: GroupRequest, read: GroupRequest) -> None:
        self.command, self.read = command, read

    def acquire(self, duty: str, owner: str, done: Callable[[LeaseGrant | None], None]) -> bool:
        """Ask for a free lease; `done` gets who holds it then, None if there was no answer."""

        def answered(was_answered: bool, answer: Any) -> None:
            holder, token = answer if was_answered and answer else ("", 0)
            done(LeaseGrant(holder, token) if was_answered else None)

        return self.command(LEASE_PART, LeaseCommand.ACQUIRE.value, [duty, owner], answered, REQUEST_TIMEOUT)

    def renew(
        self, duty: str, token: int, owner: str, answer_age: int | None, done: Callable[[RenewalResult], None]
    ) -> bool:
        """Ask for more time; `answer_age` is the microseconds since the last answered request was sent."""

        def answered(was_answered: bool, answer: Any) -> None:
            if not was_answered:
                done(RenewalResult.UNANSWERED)
            elif answer is True:
                done(RenewalResult.GRANTED)
            else:
                done(RenewalResult.NOT_HOLDER if answer is False else RenewalResult.NOT_EXTENDED)

        args = [duty, token, owner, answer_age]
        return self.read(LEASE_PART, LeaseRead.RENEW.value, args, answered, REQUEST_TIMEOUT)

    def release(self, duty: str, token: int) -> bool:
        """Free the lease; the answer is not waited for, since an unheard release expires by itself."""
        args = [duty, token]
        return self.command(
            LEASE_PART, LeaseCommand.RELEASE.value, args, lambda was_answered, answer: None, REQUEST_TIMEOUT
        )

    def put_value(
        self, duty: str, token: int, value: bytes, done: Callable[[PutResult | None], None]
    ) -> bool:
        """Write the lease's value; `done` gets None if there was no answer."""

        def answered(was_answered: bool, answer: Any) -> None:
            accepted, version = answer if was_answered and answer else (False, 0)
            done(PutResult(accepted, version) if was_answered else None)

        args = [duty, token, value]
        return self.command(LEASE_PART, LeaseCommand.PUT_VALUE.value, args, answered, REQUEST_TIMEOUT)

    def get_value(self, duty: str, done: Callable[[LeaseValue | None], None]) -> bool:
        """Read the lease's value; `done` gets None if there was no answer."""

        def answered(was_answered: bool, answer: Any) -> None:
            done(LeaseValue(*answer) if was_answered and answer else None)

        return self.read(LEASE_PART, LeaseRead.GET_VALUE.value, [duty], answered, REQUEST_TIMEOUT)
