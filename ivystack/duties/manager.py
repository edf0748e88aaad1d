"""Run the duties of one proxy: a periodic cycle over the announced leases and the components of each duty."""

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
ANNOUNCEMENT_TTL = 3_000_000  # microseconds after which an announcement is out of date
# Microseconds without an announcement after which a lower log index is accepted, because it must belong to a
# newly created group.
NEW_GROUP_TIMEOUT = 10 * ANNOUNCEMENT_TTL

SLOT_ORDER, HEALTH_CHECKS = DutyName.SLOT_ORDER.value, DutyName.HEALTH_CHECKS.value


class DutyManager:
    """Drives the lease holder and the duties, one cycle per tick.  No client request waits for a cycle."""

    def __init__(self, proxy: Proxy, mesh: Mesh, client: Client, lease: int, drift: float) -> None:
        """Create the duties of `proxy` without starting them.

        :param client: client of the consensus group.
        :param lease: duration of a lease in microseconds.
        :param drift: the largest relative difference between the rates of two clocks.
        """
        self.mesh, self.now, self.deadlines = mesh, proxy.now, proxy.deadlines
        self.owner = f"{mesh.name}/{mesh.incarnation}"
        self.fencing, self.expiry = FencingTokens(), LeaseExpiry(lease, drift)
        lease_client = LeaseClient(client.execute, client.query)
        self.holder = LeaseHolder(self.owner, lease, drift, lease_client, self._on_lost, self._on_acquired)
        self.slot_order = SlotOrder(proxy)
        self.holder.add_duty(SLOT_ORDER, self.slot_order.can_serve)
        self.holder.add_duty(HEALTH_CHECKS, self.slot_order.can_serve)
        self.slot_order_duty = SlotOrderDuty(
            self.slot_order, lease_client, self.holder, self.fencing, self.now
        )
        self.health_checks = HealthCheckDuty(proxy)
        self.health_check_exchange = HealthCheckExchange(
            self.health_checks, mesh, self.holder, self.fencing, self.now, self._health_check_holder
        )
        self.leader: LeaseLeader | None = None
        self.leases: dict[str, LeaseSummary] = {}  # by duty, as last announced
        self.announced_index = (-1, -1)  # term and log index of the last announcement
        self.announced_at = -ANNOUNCEMENT_TTL
        self.stopped = False
        mesh.handlers[MessageKind.LEASE_ANNOUNCEMENT.value] = self.announcement_received

    def attach_member(self, member: Replica, table: LeaseTable) -> None:
        """Take part in the consensus group through this process's own replica.

        :param table: the lease table of the replica's state machine.
        """
        self.leader = LeaseLeader(member, table, self.expiry, self.mesh, self.now, self._apply_announcement)
        self.health_check_exchange.is_member = True

    def start(self) -> None:
        """Start the periodic cycle."""
        self.tick()

    def tick(self) -> None:
        """Run one cycle and schedule the next."""
        if self.stopped:
            return
        self.deadlines.call_at(self.now() + TICK_INTERVAL, self.tick)
        now = self.now()
        if self.leader is not None:
            self.leader.tick(now)
        is_fresh = self._is_fresh(now)
        self.holder.tick(self.leases if is_fresh else None, now)
        if is_fresh:
            self.slot_order_duty.tick(self.leases.get(SLOT_ORDER), now)
            self.health_check_exchange.tick(now)

    def announcement_received(self, sender: str, body: Any) -> None:
        """Apply an announcement of the leader; ignore one that names an unknown duty.

        :raises msgspec.ValidationError: the body is not a lease announcement.
        """
        if sender not in self.mesh.members:
            return self.mesh.count_drop(DropCode.NOT_A_MEMBER, sender)
        announcement = msgspec.convert(body, LeaseAnnouncement)
        if {*announcement.leases} <= {*KNOWN_DUTIES}:
            self._apply_announcement(announcement)
        return None

    def release_all(self) -> None:
        """Release all leases and stop campaigning, because the proxy is shutting down."""
        self.holder.release_all(self.now())

    def stop(self) -> None:
        """Stop the periodic cycle."""
        self.stopped = True

    def state(self) -> dict[str, Any]:
        """Return the state of the leases and duties for the status JSON."""
        now = self.now()
        held = {duty: token for duty in self.holder.leases if (token := self.holder.held_token(duty, now))}
        return {
            "who": self.owner,
            "fresh": self._is_fresh(now),
            "rows": {duty: [*lease] for duty, lease in self.leases.items()},
            "held": held,
            "trials": self.health_checks.state(),
            "order": self.slot_order.digest(),
            "version": self.slot_order_duty.version,
        }

    def _is_fresh(self, now: int) -> bool:
        return now - self.announced_at < ANNOUNCEMENT_TTL

    def _apply_announcement(self, announcement: LeaseAnnouncement) -> None:
        index, now = (announcement.term, announcement.applied_index), self.now()
        if index < self.announced_index and now - self.announced_at < NEW_GROUP_TIMEOUT:
            return  # sent by a former leader
        self.announced_index, self.leases, self.announced_at = index, announcement.leases, now
        for duty, lease in announcement.leases.items():
            self.fencing.announce(duty, lease.token)

    def _health_check_holder(self) -> str:
        return self.leases.get(HEALTH_CHECKS, FREE_LEASE).holder_name

    def _on_acquired(self, duty: str, token: int) -> None:
        logger.info("duty: lease acquired duty={} token={}", duty, token)

    def _on_lost(self, duty: str, token: int, reason: LeaseLossReason) -> None:
        logger.info("duty: lease lost duty={} token={} code={}", duty, token, reason.value)
