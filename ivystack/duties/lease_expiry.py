"""The leader's clock over leases: which of them have expired.

The replicated state has no clock, so the leader alone decides when a lease is over.  It waits for the lease's
duration, lengthened by the clock drift, after the holder was last heard from in this term.
"""

from __future__ import annotations

from collections.abc import Mapping
from typing import NamedTuple

from .lease_table import LeaseRecord


class Renewal(NamedTuple):
    """The last renewal of a lease: its token, and the leader's time in microseconds."""

    token: int
    at: int


class ExpiredLease(NamedTuple):
    """A lease that has expired, by its duty and the token of its holder."""

    duty: str
    token: int


class LeaseExpiry:
    """Tracks renewals while this process leads, and finds the leases whose holders have gone silent."""

    def __init__(self, lease: int, drift: float) -> None:
        """Set the duration of a lease.

        :param lease: microseconds.
        :param drift: the largest relative difference between the rates of two clocks.
        """
        self.duration = int(lease * (1 + drift))
        self.term = -1  # the term in which this process leads; renewals of other terms do not count
        self.renewals: dict[str, Renewal] = {}

    def renewed(self, duty: str, token: int, now: int) -> None:
        """Record that the holder with `token` was heard from."""
        self.renewals[duty] = Renewal(token, now)

    def expired(self, leases: Mapping[str, LeaseRecord], term: int, now: int) -> list[ExpiredLease]:
        """Return the leases that have expired, given that this process leads in `term`."""
        if term != self.term:
            self.term, self.renewals = term, {}
        found = []
        for duty, record in leases.items():
            if not record.holder:
                continue
            token, renewed_at = self.renewals.setdefault(duty, Renewal(record.token, now))
            if token != record.token:  # a new holder: heard from when its acquisition was committed, or since
                self.renewals[duty] = Renewal(record.token, now)
            elif now - renewed_at > self.duration:
                found.append(ExpiredLease(duty, record.token))
        return found
