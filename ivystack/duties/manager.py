"""Runs the duties of one proxy: their cycle, the announced leases, and each duty's parts."""

from __future__ import annotations

from typing import TYPE_CHECKING, Any

import msgspec
from loguru import logger

from ..mesh.mesh import Mesh
from ..mesh.protocol import DropCode
from .fencing import FencingTokens
from .health_check_duty import HealthCheckDuty
from .health_check_exchange import HealthCheckExchange
from .lease_client import LeaseClient
from .lease_expiry import LeaseExpiry
from .lease_holder import LeaseHolder, LeaseLossReason
from .lease_leader import LeaseLeader
from .lease_table import LeaseTable
from .protocol import FREE_LEASE, KNOWN_DUTIES, DutyName, LeaseAnnouncement, LeaseSummary, MessageKind
from .slot_order_duty import SlotOrder, SlotOrderDuty

if TYPE_CHECKING:
    from ..consensus.client import Client
    from ..consensus.replica import Replica
    from ..net.proxy import Proxy

TICK_INTERVAL = 100_000  # microseconds
ANNOUNCEMENT_TTL = 3_000_000  # microseconds: older announcements tell nothing
NEW_GROUP_AFTER = (
    10 * ANNOUNCEMENT_TTL
)  # microseconds without news: then even an older index is a new group's

ORDER, CHECKS = DutyName.SLOT_ORDER.value, DutyName.HEALTH_CHECKS.value


class DutyManager:
    """Drives the lease holder and the duties, one cycle per tick.  No client request ever waits for it."""

    def __init__(self, proxy: Proxy, mesh: Mesh, client: Client, lease: int, drift: float) -> None:
        """Create the duties of `proxy`, not started yet.

        :param lease: duration of a lease in microseconds.
        :param drift: the largest relative difference between the rates of two clocks.
        """
        self.mesh, self.now, self.deadlines = mesh, proxy.now, proxy.deadlines
        self.owner = f"{mesh.name}/{mesh.incarnation}"
        self.fencing, self.expiry = FencingTokens(), LeaseExpiry(lease, drift)
        lease_client = LeaseClient(client.execute, client.query)
        self.holder = LeaseHolder(self.owner, lease, drift, lease_client, self._on_lost, self._on_acquired)
        self.slots = SlotOrder(proxy)
        self.holder.add_duty(ORDER, self.slots.can_serve)
        self.holder.add_duty(CHECKS, self.slots.can_serve)
        self.order = SlotOrderDuty(self.slots, lease_client, self.holder, self.fencing, self.now)
        self.checks = HealthCheckDuty(proxy)
        self.exchange = HealthCheckExchange(
            self.checks, mesh, self.holder, self.fencing, self.now, self._check_holder
        )
        self.leader: LeaseLeader | None = None
        self.leases: dict[str, LeaseSummary] = {}  # as last announced
        self.announced_index = (-1, -1)  # term and log index of the last announcement
        self.announced_at = -ANNOUNCEMENT_TTL
        self.stopped = False
        mesh.handlers[MessageKind.LEASE_NEWS.value] = self.news_received

    def attach_member(self, member: Replica, table: LeaseTable) -> None:
        """Take part in the group through our own process's member."""
        self.leader = LeaseLeader(member, table, self.expiry, self.mesh, self.now, self._apply_announcement)
        self.exchange.is_member = True

    def start(self) -> None:
        """Begin the cycle."""
        self.tick()

    def tick(self) -> None:
        """Run one cycle and schedule the next."""
        if self.stopped:
            return
        self.deadlines.call_at(self.now() + TICK_INTERVAL, self.tick)
        now = self.now()
        if self.leader is not None:
            self.leader.tick(now)
        fresh = self._is_fresh(now)
        self.holder.tick(self.leases if fresh else None, now)
        if fresh:
            self.order.tick(self.leases.get(ORDER), now)
            self.exchange.tick(now)

    def news_received(self, sender: str, body: Any) -> None:
        """Take an announcement of the leader.

        :raises msgspec.ValidationError: the body has another shape.
        """
        if sender not in self.mesh.members:
            return self.mesh.count_drop(DropCode.NOT_A_MEMBER, sender)
        news = msgspec.convert(body, LeaseAnnouncement)
        if {*news.leases} <= {*KNOWN_DUTIES}:
            self._apply_announcement(news)
        return None

    def release_all(self) -> None:
        """Release all leases and campaign no more: the proxy is shutting down."""
        self.holder.release_all(self.now())

    def stop(self) -> None:
        """End the cycle."""
        self.stopped = True

    def state(self) -> dict[str, Any]:
        """Return how things stand, for the operators' JSON."""
        now = self.now()
        held = {duty: token for duty in self.holder.leases if (token := self.holder.held_token(duty, now))}
        return {
            "who": self.owner,
            "fresh": self._is_fresh(now),
            "rows": {duty: [*lease] for duty, lease in self.leases.items()},
            "held": held,
            "trials": self.checks.state(),
            "order": self.slots.digest(),
            "version": self.order.version,
        }

    def _is_fresh(self, now: int) -> bool:
        return now - self.announced_at < ANNOUNCEMENT_TTL

    def _apply_announcement(self, news: LeaseAnnouncement) -> None:
        index, now = (news.term, news.applied_index), self.now()
        if index < self.announced_index and now - self.announced_at < NEW_GROUP_AFTER:
            return  # from a former leader
        self.announced_index, self.leases, self.announced_at = index, news.leases, now
        for duty, lease in news.leases.items():
            self.fencing.announce(duty, lease.token)

    def _check_holder(self) -> str:
        return self.leases.get(CHECKS, FREE_LEASE).holder_name

    def _on_acquired(self, duty: str, token: int) -> None:
        logger.info("duty: lease acquired duty={} token={}", duty, token)

    def _on_lost(self, duty: str, token: int, reason: LeaseLossReason) -> None:
        logger.info("duty: lease lost duty={} token={} code={}", duty, token, reason.value)
