"""The holder's side of the leases: campaign for, acquire, renew and release them.

This module does no I/O: the current time is a parameter, and requests go to the group through a
`LeaseClient`.  A lease starts when its request is sent, and its duration is shortened by the clock drift, so
that the holder stops using the lease before the leader lets it expire.  All times are microseconds.
"""

from __future__ import annotations

from collections.abc import Callable, Mapping
from dataclasses import dataclass
from enum import StrEnum
from hashlib import blake2b

from ..consensus.membership import proxy_name
from .lease_client import REQUEST_TIMEOUT, LeaseClient, LeaseGrant, RenewalResult
from .protocol import FREE_LEASE, LeaseSummary

RENEWALS_PER_LEASE = 3  # renewals per lease duration, so that the loss of one does not cost the lease
MAX_CANDIDACY_DELAY = 600_000  # microseconds; upper bound of the candidates' delays before they campaign
CANNOT_SERVE_GRACE = 1_000_000  # microseconds after which a holder that cannot serve releases the lease
# Microseconds without a campaign after such a release, so that a flapping link does not move the lease often.
CAMPAIGN_BACKOFF = 10_000_000


class LeaseLossReason(StrEnum):
    """Why a lease is no longer held; the value is the `code=` of the log line."""

    EXPIRED = "ran-out"  # not renewed in time
    REVOKED = "taken-away"  # the group does not list this process as the holder under its token
    CANNOT_SERVE = "unable"  # released, because this process cannot perform the duty
    SHUTDOWN = "handed-on"  # released, because this process is shutting down


@dataclass
class DutyLease:
    """This process's view of the lease of one duty.  Times are microseconds."""

    duty: str
    can_serve: Callable[[], bool]  # whether this process can perform the duty at present
    token: int = 0  # fencing token of this process; 0 if the lease is not held here
    expires_at: int = 0
    renew_at: int = 0
    request_pending: bool = False
    cannot_serve_since: int | None = None
    backoff_until: int = 0
    available_since: int | None = None  # since when the lease has been free
    # Send time of the last request whose answer arrived; proves to the group that this process can receive.
    answered_request_at: int | None = None
    released_token: int = 0  # never used again, even if the group has not processed the release yet
    released_at: int = 0  # when the release was last sent


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
        """Create a holder without duties.

        :param owner: this process, as `name/incarnation`.
        :param lease: duration of a lease in microseconds.
        :param drift: the largest relative difference between the rates of two clocks.
        :param on_lost: called with the duty, the token and the reason when a lease is lost or released.
        :param on_acquired: called with the duty and the token when a lease is acquired.
        """
        self.owner, self.client, self.on_lost, self.on_acquired = owner, client, on_lost, on_acquired
        self.duration = int(lease * (1 - drift))
        self.leases: dict[str, DutyLease] = {}
        self.shutting_down = False

    def add_duty(self, duty: str, can_serve: Callable[[], bool]) -> None:
        """Make this process a candidate for a duty whenever `can_serve` returns True."""
        self.leases[duty] = DutyLease(duty, can_serve)

    def held_token(self, duty: str, now: int) -> int:
        """Return the token of the lease, or 0 if it is not held; drop the lease if it has expired.

        Callers must call this method right before each action under the duty.
        """
        lease = self.leases[duty]
        if lease.token and now >= lease.expires_at:
            self._lose(lease, LeaseLossReason.EXPIRED)
        return lease.token

    def candidacy_delay(self, duty: str) -> int:
        """Return the microseconds that this proxy waits before it campaigns for a duty.

        The delay is a hash of the duty and the proxy's name, so that duties spread over the proxies.
        """
        name_hash = blake2b(f"{duty} {proxy_name(self.owner)}".encode(), digest_size=2).digest()
        return int.from_bytes(name_hash, "big") * MAX_CANDIDACY_DELAY // 65_536

    def tick(self, announced: Mapping[str, LeaseSummary] | None, now: int) -> None:
        """Run one cycle, several times a second.

        :param announced: the leases as the leader announced them, None if the announcement is out of date.
        """
        for lease in self.leases.values():
            can_serve = lease.can_serve()
            lease.cannot_serve_since = None if can_serve else lease.cannot_serve_since or now
            if self.held_token(lease.duty, now):
                self._renew_or_release(lease, now)
            elif announced is not None and not lease.request_pending and not self.shutting_down:
                self._act_on_announcement(lease, announced.get(lease.duty, FREE_LEASE), can_serve, now)

    def release_all(self, now: int) -> None:
        """Release all held leases and stop campaigning, because this process is shutting down."""
        self.shutting_down = True
        for lease in self.leases.values():
            if lease.token:
                self._release(lease, LeaseLossReason.SHUTDOWN, now)

    def _renew_or_release(self, lease: DutyLease, now: int) -> None:
        """Renew a held lease when due, or release it if this process cannot serve for too long."""
        cannot_serve_since = lease.cannot_serve_since
        if cannot_serve_since is not None and now - cannot_serve_since >= CANNOT_SERVE_GRACE:
            lease.backoff_until = now + CAMPAIGN_BACKOFF
            self._release(lease, LeaseLossReason.CANNOT_SERVE, now)
        elif now >= lease.renew_at and not lease.request_pending:
            self._renew(lease, lease.token, now)

    def _act_on_announcement(
        self, lease: DutyLease, announced: LeaseSummary, can_serve: bool, now: int
    ) -> None:
        """Campaign for a lease that is not held here, or reclaim it, according to its announced state."""
        if announced.holder == self.owner:
            self._reclaim(lease, announced.token, now)
        elif announced.holder or not can_serve or now < lease.backoff_until:
            lease.available_since = None
        else:
            self._campaign(lease, now)

    def _reclaim(self, lease: DutyLease, token: int, now: int) -> None:
        """Renew a lease whose grant did not arrive here, or repeat a release that did not reach the group."""
        if token != lease.released_token:
            self._renew(lease, token, now)
        elif now - lease.released_at > REQUEST_TIMEOUT:
            self._send_release(lease, now)

    def _campaign(self, lease: DutyLease, now: int) -> None:
        """Request a lease that has been free for at least this proxy's candidacy delay."""
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
            # The grant may be an older one whose answer was lost, and the leader counts from that.  Only a
            # renewal makes the leader count from this request.
            if grant.holder == self.owner and not self.shutting_down:
                self._renew(lease, grant.token, now)

        if not self.client.acquire(lease.duty, self.owner, answered):
            lease.request_pending = False

    def _renew(self, lease: DutyLease, token: int, now: int) -> None:
        """Request a renewal of the lease; the new duration starts now."""
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
        """Hold the lease under `token` for its duration, which started at `requested_at`."""
        is_new = lease.token != token
        if is_new and lease.token:
            self._lose(lease, LeaseLossReason.REVOKED)
        lease.token, lease.expires_at = token, requested_at + self.duration
        lease.renew_at = requested_at + self.duration // RENEWALS_PER_LEASE
        if is_new:
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
