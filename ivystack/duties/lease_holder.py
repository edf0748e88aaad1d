"""The holder's side of the leases: campaign, acquire, renew, release.

There is no I/O here: the clock is passed in and the group is asked through a `LeaseClient`.  A lease counts
from the moment before it was requested and is shortened by the clock drift, so that the holder's time is over
before the leader's is.  All times are microseconds.
"""

from __future__ import annotations

from collections.abc import Callable, Mapping
from dataclasses import dataclass
from enum import StrEnum
from hashlib import blake2b

from ..consensus.membership import proxy_name
from .lease_client import REQUEST_TIMEOUT, LeaseClient, LeaseGrant, RenewalResult
from .protocol import FREE_LEASE, LeaseSummary

RENEWALS_PER_LEASE = 3  # renewals due in one duration, so that a lost one does not cost the lease
MAX_CANDIDACY_DELAY = 600_000  # microseconds that the last candidate waits longer than the first
CANNOT_SERVE_GRACE = 1_000_000  # microseconds after which a holder that cannot serve releases the lease
BACKOFF = 10_000_000  # microseconds without a campaign after that: a link that flaps must not move the lease


class LeaseLossReason(StrEnum):
    """Why a lease is no longer held; the value is the `code=` of the log line."""

    EXPIRED = "ran-out"  # not renewed in time
    REVOKED = "taken-away"  # the group says that it is not ours
    CANNOT_SERVE = "unable"
    SHUTDOWN = "handed-on"


@dataclass
class DutyLease:
    """The lease of one duty as this process stands to it."""

    duty: str
    can_serve: Callable[[], bool]
    token: int = 0  # our fencing token; 0: not held
    expires_at: int = 0
    renew_at: int = 0
    request_pending: bool = False
    cannot_serve_since: int | None = None
    backoff_until: int = 0
    available_since: int | None = None
    answered_request_at: int | None = None  # when the last answered request was sent: we can receive, too
    released_token: int = 0  # not ours again, though the group may not know of the release yet
    released_at: int = 0  # when the group was last asked to free it


class LeaseHolder:
    """Acquires, renews and releases the leases of one process, one cycle per `tick`."""

    def __init__(
        self,
        owner: str,
        lease: int,
        drift: float,
        client: LeaseClient,
        on_lost: Callable[[str, int, LeaseLossReason], None],
        on_acquired: Callable[[str, int], None],
    ) -> None:
        """Create a holder without any duty.

        :param owner: this process, as `name/incarnation`.
        :param lease: duration in microseconds.
        :param drift: the largest relative difference between the rates of two clocks.
        """
        self.owner, self.client, self.on_lost, self.on_acquired = owner, client, on_lost, on_acquired
        self.duration = int(lease * (1 - drift))
        self.leases: dict[str, DutyLease] = {}
        self.shutting_down = False

    def add_duty(self, duty: str, can_serve: Callable[[], bool]) -> None:
        """Make this process a candidate for a duty whenever `can_serve` says so."""
        self.leases[duty] = DutyLease(duty, can_serve)

    def held_token(self, duty: str, now: int) -> int:
        """End the lease if it has expired; return its token, 0 if not held.  Ask right before each action."""
        lease = self.leases[duty]
        if lease.token and now >= lease.expires_at:
            self._lose(lease, LeaseLossReason.EXPIRED)
        return lease.token

    def candidacy_delay(self, duty: str) -> int:
        """Return how long this proxy waits before it campaigns, by hash: duties spread over proxies."""
        rank = blake2b(f"{duty} {proxy_name(self.owner)}".encode(), digest_size=2).digest()
        return int.from_bytes(rank, "big") * MAX_CANDIDACY_DELAY // 65_536

    def tick(self, announced: Mapping[str, LeaseSummary] | None, now: int) -> None:
        """Run one cycle, several times a second.

        :param announced: the leases as the leader announced them, None if that is stale.
        """
        for lease in self.leases.values():
            can_serve = lease.can_serve()
            lease.cannot_serve_since = None if can_serve else lease.cannot_serve_since or now
            if self.held_token(lease.duty, now):
                self._renew_or_release(lease, now)
            elif announced is not None and not lease.request_pending and not self.shutting_down:
                self._act_on_announcement(lease, announced.get(lease.duty, FREE_LEASE), can_serve, now)

    def release_all(self, now: int) -> None:
        """Release everything held and campaign no more: a planned end."""
        self.shutting_down = True
        for lease in self.leases.values():
            if lease.token:
                self._release(lease, LeaseLossReason.SHUTDOWN, now)

    def _renew_or_release(self, lease: DutyLease, now: int) -> None:
        """Renew a held lease when due, or release it where this process cannot serve."""
        since = lease.cannot_serve_since
        if since is not None and now - since >= CANNOT_SERVE_GRACE:
            lease.backoff_until = now + BACKOFF
            self._release(lease, LeaseLossReason.CANNOT_SERVE, now)
        elif now >= lease.renew_at and not lease.request_pending:
            self._renew(lease, lease.token, now)

    def _act_on_announcement(
        self, lease: DutyLease, announced: LeaseSummary, can_serve: bool, now: int
    ) -> None:
        """Act on the announced state of a lease that is not held here."""
        if announced.holder == self.owner:
            self._reclaim(lease, announced.token, now)
        elif announced.holder or not can_serve or now < lease.backoff_until:
            lease.available_since = None
        else:
            self._campaign(lease, now)

    def _reclaim(self, lease: DutyLease, token: int, now: int) -> None:
        """Renew a lease whose grant was not heard, or repeat a release that was not."""
        if token != lease.released_token:
            self._renew(lease, token, now)
        elif now - lease.released_at > REQUEST_TIMEOUT:
            self._send_release(lease, now)

    def _campaign(self, lease: DutyLease, now: int) -> None:
        """Acquire a lease that has been free for our candidacy delay."""
        lease.available_since = lease.available_since or now
        if now - lease.available_since < self.candidacy_delay(lease.duty):
            return
        lease.available_since = None
        lease.request_pending = True

        def answered(grant: LeaseGrant | None) -> None:
            lease.request_pending = False
            if grant is None:
                return
            lease.answered_request_at = now
            if grant.holder == self.owner and not self.shutting_down:
                self._extend(lease, grant.token, now)

        if not self.client.acquire(lease.duty, self.owner, answered):
            lease.request_pending = False

    def _renew(self, lease: DutyLease, token: int, now: int) -> None:
        """Ask for more time, counted from now."""
        lease.request_pending = True

        def answered(result: RenewalResult) -> None:
            lease.request_pending = False
            if result is not RenewalResult.UNANSWERED:
                lease.answered_request_at = now
            granted = result is RenewalResult.GRANTED
            if granted and not self.shutting_down and token != lease.released_token:
                self._extend(lease, token, now)
            elif result is RenewalResult.NOT_HOLDER and lease.token == token:
                self._lose(lease, LeaseLossReason.REVOKED)

        answer_age = None if lease.answered_request_at is None else now - lease.answered_request_at
        if not self.client.renew(lease.duty, token, self.owner, answer_age, answered):
            lease.request_pending = False

    def _extend(self, lease: DutyLease, token: int, requested_at: int) -> None:
        """Hold the lease under `token`, for its duration from the time of the request."""
        new = lease.token != token
        if new and lease.token:
            self._lose(lease, LeaseLossReason.REVOKED)
        lease.token, lease.expires_at = token, requested_at + self.duration
        lease.renew_at = requested_at + self.duration // RENEWALS_PER_LEASE
        if new:
            self.on_acquired(lease.duty, token)

    def _lose(self, lease: DutyLease, reason: LeaseLossReason) -> None:
        token, lease.token, lease.expires_at = lease.token, 0, 0
        self.on_lost(lease.duty, token, reason)

    def _release(self, lease: DutyLease, reason: LeaseLossReason, now: int) -> None:
        lease.released_token = lease.token
        self._lose(lease, reason)
        self._send_release(lease, now)

    def _send_release(self, lease: DutyLease, now: int) -> None:
        lease.released_at = now
        self.client.release(lease.duty, lease.released_token)
