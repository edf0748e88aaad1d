"""Names and message shapes of the duties on the wire, each mapped once to the term used in the code.

The wire values are fixed: they stand in the replicated log, in snapshots and in messages between versions.
"""

from __future__ import annotations

from enum import StrEnum
from typing import NamedTuple

from ..consensus.membership import proxy_name

LEASE_PART = "duty"  # the part of the replicated state machine that holds the leases
MAX_SERVERS_PER_MESSAGE = 64  # server names in one health check message


class DutyName(StrEnum):
    """A duty, by its name on the wire, in logs and in the operators' JSON."""

    SLOT_ORDER = "slot-order"
    LIST_WATCH = "list-watch"  # reserved: stored state may hold a lease of this name
    HEALTH_CHECKS = "node-trials"


KNOWN_DUTIES = tuple(duty.value for duty in DutyName)


class LeaseCommand(StrEnum):
    """A request that changes the lease table and goes through the replicated log."""

    ACQUIRE = "take"
    RELEASE = "free"
    PUT_VALUE = "put"


class LeaseRead(StrEnum):
    """A linearizable read of the lease table."""

    # A read, since only the leader keeps the times of renewals (LeaseExpiry) and nothing is replicated; the
    # read proves that it leads.
    RENEW = "renew"
    GET_VALUE = "value"


class MessageKind(StrEnum):
    """A message between proxies that this package handles."""

    LEASE_NEWS = "duty"
    SERVERS_DOWN = "down"
    HEALTH_CHECK_RESULTS = "looked"


class LeaseSummary(NamedTuple):
    """A lease without its value, as the leader announces it."""

    holder: str  # `name/incarnation` of the holding process; empty: the lease is free
    token: int  # fencing token of the holder, or of the last one
    version: int  # of the value

    @property
    def holder_name(self) -> str:
        """Return the name of the holding proxy, empty if the lease is free."""
        return proxy_name(self.holder)


FREE_LEASE = LeaseSummary("", 0, 0)


class LeaseAnnouncement(NamedTuple):
    """All leases at one index of the replicated log, announced by the leader of that term."""

    term: int
    applied_index: int
    leases: dict[str, LeaseSummary]


class HealthCheckResults(NamedTuple):
    """Whether each checked server was reached, under the holder's fencing token."""

    token: int
    reached: dict[str, bool]


ServersDown = list[str]  # names of servers that the sender holds to be down
