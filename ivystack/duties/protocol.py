"""Wire names and message types of the duties, mapped to the terms of the code.

The wire values must not change, because they appear in the replicated log, in snapshots and in messages
between different versions.
"""

from __future__ import annotations

from enum import StrEnum
from typing import NamedTuple

from ..consensus.membership import proxy_name

LEASE_PART = "duty"  # name of the replicated state machine's part with the leases
MAX_SERVERS_PER_MESSAGE = 64  # server names in one health check message


class DutyName(StrEnum):
    """A duty, by its name on the wire, in logs and in the operators' JSON."""

    SLOT_ORDER = "slot-order"
    LIST_WATCH = "list-watch"  # reserved: stored state may hold a lease of this name
    HEALTH_CHECKS = "node-trials"


KNOWN_DUTIES = tuple(duty.value for duty in DutyName)


class LeaseCommand(StrEnum):
    """A request that changes the lease table through the replicated log."""

    ACQUIRE = "take"
    RELEASE = "free"
    PUT_VALUE = "put"


class LeaseRead(StrEnum):
    """A linearizable read of the lease table."""

    # A renewal is a read, because only the leader keeps the times of renewals (LeaseExpiry) and nothing is
    # replicated.  The read proves that the process is still the leader.
    RENEW = "renew"
    GET_VALUE = "value"


class MessageKind(StrEnum):
    """A message between proxies that this package handles."""

    LEASE_ANNOUNCEMENT = "duty"
    SERVERS_DOWN = "down"
    HEALTH_CHECK_RESULTS = "looked"


class LeaseSummary(NamedTuple):
    """A lease without its value, as the leader announces it."""

    holder: str  # `name/incarnation` of the holding process; empty if the lease is free
    token: int  # fencing token of the current or last holder
    version: int  # version of the value

    @property
    def holder_name(self) -> str:
        """Return the name of the holding proxy, empty if the lease is free."""
        return proxy_name(self.holder)


FREE_LEASE = LeaseSummary("", 0, 0)


class LeaseAnnouncement(NamedTuple):
    """All leases by duty at one index of the replicated log, announced by the leader of `term`."""

    term: int
    applied_index: int
    leases: dict[str, LeaseSummary]


class HealthCheckResults(NamedTuple):
    """Whether each checked server was reached, under the holder's fencing token."""

    token: int
    reached: dict[str, bool]


ServersDown = list[str]  # names of servers that are unhealthy at the sender
