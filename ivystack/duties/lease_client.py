"""Lease requests to the consensus group, with typed results."""

from __future__ import annotations

from collections.abc import Callable
from enum import Enum, auto
from typing import Any, NamedTuple, Protocol

from .protocol import LEASE_PART, LeaseCommand, LeaseRead

REQUEST_TIMEOUT = 2_000_000  # microseconds to wait for an answer of the group


class GroupRequest(Protocol):
    """A function that sends a request to the group and returns whether the request was sent.

    If the request was sent, `callback` is called once: `callback(True, answer)` when the answer arrives, or
    `callback(False, None)` if no answer arrives within `timeout` microseconds.
    """

    def __call__(  # noqa: D102
        self, part: str, name: str, args: list, callback: Callable[[bool, Any], None], timeout: int
    ) -> bool: ...


class LeaseGrant(NamedTuple):
    """The holder and the token of a lease after a request to acquire it."""

    holder: str
    token: int


class RenewalResult(Enum):
    """The result of a request to renew a lease."""

    GRANTED = auto()
    NOT_HOLDER = auto()  # the owner does not hold the lease under its token
    NOT_EXTENDED = auto()  # held, but not extended, because the last answer from the group is too old
    UNANSWERED = auto()  # no answer arrived in time


class PutResult(NamedTuple):
    """Whether a value was accepted, and the resulting version of the lease's value."""

    accepted: bool
    version: int


class LeaseValue(NamedTuple):
    """The value of a lease, its version, and the token under which it was written."""

    version: int
    token: int
    value: bytes


class LeaseClient:
    """Sends lease requests to the group.  Each method returns whether the request was sent."""

    def __init__(self, command: GroupRequest, read: GroupRequest) -> None:
        self.command, self.read = command, read

    def acquire(self, duty: str, owner: str, callback: Callable[[LeaseGrant | None], None]) -> bool:
        """Request a lease; `callback` gets its holder after the request, or None without an answer."""

        def answered(was_answered: bool, answer: Any) -> None:
            holder, token = answer if was_answered and answer else ("", 0)
            callback(LeaseGrant(holder, token) if was_answered else None)

        return self.command(LEASE_PART, LeaseCommand.ACQUIRE.value, [duty, owner], answered, REQUEST_TIMEOUT)

    def renew(
        self,
        duty: str,
        token: int,
        owner: str,
        answer_age: int | None,
        callback: Callable[[RenewalResult], None],
    ) -> bool:
        """Request a renewal of a held lease.

        :param answer_age: microseconds since the last answered request was sent, None if none was answered.
        """

        def answered(was_answered: bool, answer: Any) -> None:
            if not was_answered:
                callback(RenewalResult.UNANSWERED)
            elif answer is True:
                callback(RenewalResult.GRANTED)
            else:
                callback(RenewalResult.NOT_HOLDER if answer is False else RenewalResult.NOT_EXTENDED)

        args = [duty, token, owner, answer_age]
        return self.read(LEASE_PART, LeaseRead.RENEW.value, args, answered, REQUEST_TIMEOUT)

    def release(self, duty: str, token: int) -> bool:
        """Free the lease without waiting for an answer; if the request is lost, the lease expires anyway."""
        args = [duty, token]
        return self.command(
            LEASE_PART, LeaseCommand.RELEASE.value, args, lambda was_answered, answer: None, REQUEST_TIMEOUT
        )

    def put_value(
        self, duty: str, token: int, value: bytes, callback: Callable[[PutResult | None], None]
    ) -> bool:
        """Write the value of the lease; `callback` gets None without an answer."""

        def answered(was_answered: bool, answer: Any) -> None:
            accepted, version = answer if was_answered and answer else (False, 0)
            callback(PutResult(accepted, version) if was_answered else None)

        args = [duty, token, value]
        return self.command(LEASE_PART, LeaseCommand.PUT_VALUE.value, args, answered, REQUEST_TIMEOUT)

    def get_value(self, duty: str, callback: Callable[[LeaseValue | None], None]) -> bool:
        """Read the value of the lease; `callback` gets None without an answer."""

        def answered(was_answered: bool, answer: Any) -> None:
            callback(LeaseValue(*answer) if was_answered and answer else None)

        return self.read(LEASE_PART, LeaseRead.GET_VALUE.value, [duty], answered, REQUEST_TIMEOUT)
