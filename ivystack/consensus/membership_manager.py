"""How replicas find each other: announcements, the group's bootstrap, and the leader's membership changes."""

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

ANNOUNCE_INTERVAL = 500_000  # microseconds between the announcements of a replica that is no member
ANNOUNCEMENT_TTL = 4 * ANNOUNCE_INTERVAL  # some may be lost before the announcer counts as gone


@dataclass(frozen=True)
class ReceivedAnnouncement:
    """An announcement and when it came, in microseconds."""

    replica_id: str
    has_state: bool
    received_at: int


class MembershipManager:
    """Announces a replica that is no member, and lets the leader take announced ones in."""

    def __init__(self, replica: Replica) -> None:
        self.replica = replica
        self.env = replica.env
        self.announcements: dict[str, ReceivedAnnouncement] = {}  # latest by proxy name

    def run(self) -> None:
        """Announce, bootstrap or change the membership where that is due; repeats itself until the end."""
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
        """Take another proxy's announcement."""
        if not self.is_member_name(sender):
            return
        announcement = msgspec.convert(body, Announcement)
        if proxy_name(announcement.replica_id) == sender:
            received = ReceivedAnnouncement(announcement.replica_id, announcement.has_state, self.env.now())
            self.announcements[sender] = received

    def is_member_name(self, name: str) -> bool:
        """Whether a proxy may speak as a member: others may hold a valid key as well."""
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
        """Begin the group, as the first of the configured members, once all others have announced no state.

        Otherwise a replica whose disk was lost would begin a second group.
        """
        replica = self.replica
        others = [name for name in replica.configured_members if name != replica.name]
        if replica.configured_members[0] != replica.name or replica.core is None:
            return
        if any(name not in recent or recent[name].has_state for name in others):
            return
        voters = (replica.id, *(recent[name].replica_id for name in others))
        first = InstallSnapshot(1, Snapshot(1, 1, Configuration(voters)), 0)
        logger.info("group: bootstrapped voters={}", " ".join(voters))
        replica.core.receive(self.env.now(), replica.id, first)
        replica.process_ready()
        for name in others:
            envelope = Envelope(replica.id, recent[name].replica_id, first)
            self.env.mesh.send(name, MessageKind.RAFT, envelope)

    def _change_membership(self, announced: dict[str, str], now: int) -> None:
        replica = self.replica
        core = replica.core
        if core is None:
            return
        step = next_configuration(core, replica.configured_members, announced, now)
        if step is not None and core.change_membership(step, now):
            logger.info(
                "group: membership change proposed voters={} learners={}",
                " ".join(step.voters),
                " ".join(step.learners) or "-",
            )
            replica.process_ready()
