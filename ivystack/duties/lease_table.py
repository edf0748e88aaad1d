"""The replicated lease table: holder, fencing token and value of each duty.

The table is a part of the consensus group's state machine.  It uses no clock, because every member must
compute the same result from the same command.  The leader decides whether a lease has expired
(lease_expiry.py).
"""

from __future__ import annotations

from collections.abc import Callable
from dataclasses import dataclass
from typing import Any

from .exceptions import UnknownDutyError, UnknownLeaseRequestError
from .protocol import KNOWN_DUTIES, LeaseCommand, LeaseRead, LeaseSummary

MAX_VALUE_BYTES = 16_384  # enough for a slot order of 5,000 servers
MAX_OWNER_CHARS = 128


@dataclass(slots=True)
class LeaseRecord:
    """One lease.  Snapshots store the fields in this order."""

    holder: str = ""  # `name/incarnation` of the holding process; empty if the lease is free
    token: int = 0  # fencing token of the current or last holder
    value: bytes = b""
    version: int = 0  # version of the value
    value_token: int = 0  # token under which the value was written

    def summary(self) -> LeaseSummary:
        """Return the lease without its value."""
        return LeaseSummary(self.holder, self.token, self.version)

    def acquire(self, owner: str) -> list:
        """Give the lease to `owner` under a new token if it is free; return the current holder and token."""
        if not self.holder:
            self.holder, self.token = owner, self.token + 1
        return [self.holder, self.token]

    def release(self, token: Any) -> bool:
        """Free the lease if it is held under `token`; return whether it was freed."""
        held = bool(self.holder) and token == self.token
        self.holder = "" if held else self.holder
        return held

    def put(self, token: Any, value: Any) -> list:
        """Write the value if the lease is held under `token`.

        :returns: whether the value was accepted, and the version of the lease's value.
        """
        accepted = isinstance(value, bytes) and len(value) <= MAX_VALUE_BYTES
        accepted = accepted and bool(self.holder) and token == self.token
        if accepted and value != self.value:
            self.value, self.version, self.value_token = value, self.version + 1, token
        return [accepted, self.version]


class LeaseTable:
    """The leases of all duties, changed by commands and read by queries of the consensus group."""

    COMMANDS = tuple(command.value for command in LeaseCommand)

    def __init__(self, lease: int = 0) -> None:
        """Create an empty table.

        :param lease: duration in microseconds; only reads use it, and it is not replicated.
        """
        self.max_answer_age = lease * 2 // 3  # a holder whose last answer is older gets no renewal
        self.records: dict[str, LeaseRecord] = {}  # by duty
        # Whether this process, as the leader, has let a duty's lease expire under a token; not replicated.
        self.is_expired: Callable[[str, int], bool] = lambda duty, token: False

    def record(self, duty: str) -> LeaseRecord:
        """Return the lease of a duty; create a free lease if the table has none.

        :raises UnknownDutyError: the duty is unknown.  This bounds the number of records.
        """
        if duty not in KNOWN_DUTIES:
            raise UnknownDutyError(duty)
        return self.records.setdefault(duty, LeaseRecord())

    def execute(self, name: str, args: list) -> Any:
        """Apply a command and return its result.

        The commands are `take` (duty, owner), `free` (duty, token) and `put` (duty, token, value).

        :raises UnknownDutyError: the duty is unknown; nothing is changed.
        :raises UnknownLeaseRequestError: the command is unknown; no lease is changed.

        >>> table = LeaseTable()
        >>> table.execute("take", ["slot-order", "a/1"]), table.execute("take", ["slot-order", "b/1"])
        (['a/1', 1], ['a/1', 1])
        >>> table.execute("free", ["slot-order", 1]), table.execute("take", ["slot-order", "b/1"])
        (True, ['b/1', 2])
        >>> table.execute("put", ["slot-order", 1, b"old"]), table.execute("put", ["slot-order", 2, b"new"])
        ([False, 0], [True, 1])
        """
        record = self.record(args[0])
        if name == LeaseCommand.ACQUIRE:
            return record.acquire(str(args[1])[:MAX_OWNER_CHARS])
        if name == LeaseCommand.RELEASE:
            return record.release(args[1])
        if name == LeaseCommand.PUT_VALUE:
            _, token, value = args
            return record.put(token, value)
        raise UnknownLeaseRequestError(name)

    def query(self, name: str, args: list) -> Any:
        """Answer a read: `renew` (duty, token, owner, answer age) or `value` (duty).

        `renew` returns whether the owner holds the lease under the token, and the leader has not let it
        expire (its release may not be committed yet).  It returns None, which grants no renewal, if the
        owner's last answer from the group is too old or absent.  Otherwise a holder that can send but not
        receive would keep the lease forever.  `value` returns the version of the value, the token under which
        it was written, and the value.

        :raises UnknownDutyError: the duty is unknown.
        :raises UnknownLeaseRequestError: the read is unknown.
        """
        record = self.record(args[0])
        if name == LeaseRead.RENEW:
            _, token, owner, answer_age = args
            if not record.holder or [record.token, record.holder] != [token, owner]:
                return False
            if self.is_expired(args[0], token):
                return False
            return True if answer_age is not None and answer_age <= self.max_answer_age else None
        if name == LeaseRead.GET_VALUE:
            return [record.version, record.value_token, record.value]
        raise UnknownLeaseRequestError(name)

    def summaries(self) -> dict[str, LeaseSummary]:
        """Return all leases by duty without their values, as they are announced to the fleet."""
        return {duty: record.summary() for duty, record in self.records.items()}

    def dump(self) -> Any:
        """Return the content of the table for a snapshot."""
        return {
            duty: [record.holder, record.token, record.value, record.version, record.value_token]
            for duty, record in self.records.items()
        }

    def load(self, stored: Any) -> None:
        """Replace the content of the table by that of a snapshot."""
        self.records = {duty: LeaseRecord(*values) for duty, values in stored.items()}
