"""Expiry of leases at the leader.

The replicated state has no clock, so the leader alone decides when a lease has expired: after the lease's
duration, lengthened by the clock drift, has passed since the holder's last renewal in this term.  From then
on it grants no renewal under that token, although the table lists the holder until the release is committed.
A later leader grants one only if its log lacks the release: it commits its whole log before it answers.
"""

from __future__ import annotations

from collections.abc import Mapping
from typing import NamedTuple

from .lease_table import LeaseRecord


class Renewal(NamedTuple):
    """The last renewal of a lease: its token, and the time at the leader in microseconds."""

    token: int
    at: int


class ExpiredLease(NamedTuple):
    """An expired lease, identified by its duty and the token of its holder."""

    duty: str
    token: int


class LeaseExpiry:
    """Tracks renewals while this process leads, and finds the leases that were not renewed in time."""

    def __init__(self, lease: int, drift: float) -> None:
        """Set the duration of leases.

        :param lease: duration in microseconds.
        :param drift: the largest relative difference between the rates of two clocks.
        """
        self.duration = int(lease * (1 + drift))
        self.term = -1  # term in which this process leads; renewals of other terms do not count
        self.renewals: dict[str, Renewal] = {}  # by duty
        self.expired_tokens: dict[str, int] = {}  # by duty: let expire in this term

    def record_renewal(self, duty: str, token: int, now: int) -> None:
        """Record that the holder with `token` renewed its lease at time `now`."""
        self.renewals[duty] = Renewal(token, now)

    def is_expired(self, duty: str, token: int) -> bool:
        """Return whether this process, as the leader, has let the lease expire that is held under `token`."""
        return self.expired_tokens.get(duty) == token

    def find_expired(self, leases: Mapping[str, LeaseRecord], term: int, now: int) -> list[ExpiredLease]:
        """Return the leases that have expired at time `now` while this process leads in `term`."""
        if term != self.term:
            self.term, self.renewals, self.expired_tokens = term, {}, {}
        expired_leases = []
        for duty, record in leases.items():
            if not record.holder:
                continue
            token, renewed_at = self.renewals.setdefault(duty, Renewal(record.token, now))
            if token != record.token:  # a new holder, heard from when its acquisition was committed or later
                self.renewals[duty] = Renewal(record.token, now)
            elif now - renewed_at > self.duration:
                self.expired_tokens[duty] = record.token
                expired_leases.append(ExpiredLease(duty, record.token))
        return expired_leases
