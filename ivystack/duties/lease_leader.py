"""The consensus leader's part in the leases: end expired leases and announce all leases to the fleet."""

from __future__ import annotations

from collections.abc import Callable
from typing import TYPE_CHECKING, Any

from loguru import logger

from ..consensus.records import Role
from ..mesh.mesh import Mesh
from .lease_expiry import LeaseExpiry
from .lease_table import LeaseTable
from .protocol import LEASE_PART, LeaseCommand, LeaseAnnouncement, LeaseRead, LeaseSummary, MessageKind

if TYPE_CHECKING:
    from ..consensus.replica import Replica

ANNOUNCEMENT_INTERVAL = 500_000  # microseconds between announcements while no lease changes


class LeaseLeader:
    """Acts on the lease table of this process's replica while that replica leads the group."""

    def __init__(
        self,
        member: Replica,
        table: LeaseTable,
        expiry: LeaseExpiry,
        mesh: Mesh,
        now: Callable[[], int],
        on_announcement: Callable[[LeaseAnnouncement], None],
    ) -> None:
        """Register with this process's replica, `member`.

        :param now: returns the current time in microseconds.
        :param on_announcement: called in this process with each announcement, before it is sent.
        """
        self.member, self.table, self.expiry, self.mesh = member, table, expiry, mesh
        self.now, self.on_announcement = now, on_announcement
        self.next_announcement = 0
        self.announced: dict[str, LeaseSummary] | None = None
        table.is_expired = expiry.is_expired
        member.state_observers.append(self.state_changed)
        member.query_answered = self.read_answered
        member.authorize = self.is_allowed

    def tick(self, now: int) -> None:
        """Expire and announce leases if this process leads and has committed an entry of its term."""
        core = self.member.core
        if core is None or core.role is not Role.LEADER or core.log.term_at(core.commit_index) != core.term:
            return
        for duty, token in self.expiry.find_expired(self.table.records, core.term, now):
            logger.info(
                "duty: lease expired, because its holder did not renew it duty={} token={}", duty, token
            )
            self.member.propose(LEASE_PART, LeaseCommand.RELEASE.value, [duty, token])
        if now >= self.next_announcement:
            self._announce(core.term, now)

    def state_changed(self) -> None:
        """Announce the leases at once if the table has changed and this process leads."""
        core = self.member.core
        if core is not None and core.role is Role.LEADER and self.table.summaries() != self.announced:
            self._announce(core.term, self.now())

    def _announce(self, term: int, now: int) -> None:
        self.next_announcement = now + ANNOUNCEMENT_INTERVAL
        self.announced = self.table.summaries()
        announcement = LeaseAnnouncement(term, self.member.applied_index, self.announced)
        self.on_announcement(announcement)
        for peer in [*self.mesh.peers]:
            self.mesh.send(peer, MessageKind.LEASE_ANNOUNCEMENT.value, announcement)

    def is_allowed(self, process: str, part: Any, name: Any, args: Any) -> bool:
        """Return whether `process` may send this request: a process may change only its own leases.

        A peer with a valid key may give a false owner in its request.  The token in the request is checked by
        the lease table.
        """
        if part != LEASE_PART or name == LeaseRead.GET_VALUE:
            return True
        if not isinstance(args, list) or len(args) < 2:
            return False
        if name == LeaseCommand.ACQUIRE:
            return args[1] == process
        record = self.table.records.get(args[0]) if isinstance(args[0], str) else None
        return record is not None and record.holder == process

    def read_answered(self, part: str, name: str, args: list, answer: Any) -> None:
        """Record a granted renewal.  A majority has confirmed that this process leads."""
        if part == LEASE_PART and name == LeaseRead.RENEW and answer is True:
            self.expiry.record_renewal(args[0], args[1], self.now())
