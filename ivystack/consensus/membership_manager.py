"""Announcements of replicas, bootstrap of the group, and membership changes by the leader."""

from __future__ import annotations

from dataclasses import dataclass
from typing import TYPE_CHECKING, Any

import msgspec
from loguru import logger

from ..mesh.protocol import DropCode
from .core import Core
from .membership import next_configuration, proxy_name
from .messages import Configuration, InstallSnapshot, Snapshot
from .wire import Announcement, Envelope, MessageKind

if TYPE_CHECKING:
    from .replica import Replica

ANNOUNCE_INTERVAL = 500_000  # microseconds between announcements of a replica that is not a member
ANNOUNCEMENT_TTL = 4 * ANNOUNCE_INTERVAL  # tolerates a few lost announcements


@dataclass(frozen=True)
class ReceivedAnnouncement:
    """An announcement and the time of its arrival, in microseconds."""

    replica_id: str
    has_state: bool
    received_at: int


class MembershipManager:
    """Announces a replica that is not a member, and adds announced replicas where this replica leads."""

    def __init__(self, replica: Replica) -> None:
        self.replica = replica
        self.env = replica.env
        self.announcements: dict[str, ReceivedAnnouncement] = {}  # latest by proxy name

    def run(self) -> None:
        """Announce this replica, bootstrap the group or change its membership as needed.

        The method schedules its next run until the replica stops.
        """
        replica = self.replica
        if replica.stopped:
            return
        self.env.deadlines.call_at(self.env.now() + ANNOUNCE_INTERVAL, self.run)
        if replica.core is None:
            return
        now = self.env.now()
        self._announce(replica.core)
        recent = {
            name: received
            for name, received in self.announcements.items()
            if now - received.received_at < ANNOUNCEMENT_TTL
        }
        if not replica.core.configuration.voters:
            self._bootstrap(recent)
        self._change_membership({name: received.replica_id for name, received in recent.items()}, now)

    def receive(self, sender: str, body: Any) -> None:
        """Record another proxy's announcement."""
        if not self.is_member_name(sender):
            return
        announcement = msgspec.convert(body, Announcement)
        if proxy_name(announcement.replica_id) == sender:
            received = ReceivedAnnouncement(announcement.replica_id, announcement.has_state, self.env.now())
            self.announcements[sender] = received

    def is_member_name(self, name: str) -> bool:
        """Return whether a proxy is a configured member; count a dropped message if it is not.

        Proxies that are not members may hold a valid key as well.
        """
        if name not in self.replica.configured_members:
            self.env.mesh.count_drop(DropCode.NOT_A_MEMBER, name)
        return name in self.replica.configured_members

    def _announce(self, core: Core) -> None:
        replica = self.replica
        if replica.id in core.configuration.all_members() and core.leader:
            return
        body = Announcement(replica.id, bool(core.configuration.voters))
        for name in replica.configured_members:
            if name != replica.name:
                self.env.mesh.send(name, MessageKind.ANNOUNCEMENT, body)

    def _bootstrap(self, recent: dict[str, ReceivedAnnouncement]) -> None:
        """Create the group, if this proxy is the first configured member and all others announce no state.

        Without the second condition a replica whose disk was lost would create a second group.
        """
        replica = self.replica
        others = [name for name in replica.configured_members if name != replica.name]
        if replica.configured_members[0] != replica.name or replica.core is None:
            return
        if any(name not in recent or recent[name].has_state for name in others):
            return
        voters = (replica.id, *(recent[name].replica_id for name in others))
        initial = InstallSnapshot(1, Snapshot(1, 1, Configuration(voters)), 0)
        logger.info("group: created a new consensus group voters={}", " ".join(voters))
        replica.core.receive(self.env.now(), replica.id, initial)
        replica.process_ready()
        for name in others:
            envelope = Envelope(replica.id, recent[name].replica_id, initial)
            self.env.mesh.send(name, MessageKind.RAFT, envelope)

    def _change_membership(self, announced: dict[str, str], now: int) -> None:
        replica = self.replica
        core = replica.core
        if core is None:
            return
        proposed = next_configuration(core, replica.configured_members, announced, now)
        if proposed is not None and core.change_membership(proposed, now):
            logger.info(
                "group: proposed a membership change voters={} learners={}",
                " ".join(proposed.voters),
                " ".join(proposed.learners) or "-",
            )
            replica.process_ready()
