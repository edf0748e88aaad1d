"""Faults of the simulation: their kinds, the profiles that schedules use, and their injection."""

from __future__ import annotations

from collections.abc import Callable
from dataclasses import dataclass
from enum import StrEnum
from typing import TYPE_CHECKING

from .simulated_replica import MS, SimulatedReplica

if TYPE_CHECKING:
    from .simulation import Simulation


class FaultKind(StrEnum):
    """Kinds of faults, of the actions that end them, and of membership and leadership changes."""

    CRASH = "crash"
    RESTART = "restart"
    LEADER_CRASH = "leader crash"
    START = "start"
    PARTITION = "partition"
    ONE_WAY_PARTITION = "one-way partition"
    HEAL = "heal"
    MESSAGE_LOSS = "message loss"
    MESSAGE_DELAY = "message delay"
    SLOW_DISK = "slow disk"
    CRASH_ALL = "crash all"
    DISK_LOSS = "disk loss"
    WRITE_FAILURE = "write failure"
    MEMBERSHIP_CHANGE = "membership change"
    ISOLATE_LEADER = "isolate leader"
    LEADERSHIP_TRANSFER = "leadership transfer"


@dataclass(frozen=True)
class FaultProfile:
    """Mean time between faults in microseconds, and the kinds of faults.

    A kind that is listed twice is drawn twice as often.
    """

    mean_interval: int
    kinds: tuple[FaultKind, ...]


PROFILES = {
    "mixed": FaultProfile(
        120 * MS,
        (
            FaultKind.CRASH,
            FaultKind.CRASH,
            FaultKind.LEADER_CRASH,
            FaultKind.START,
            FaultKind.START,
            FaultKind.START,
            FaultKind.PARTITION,
            FaultKind.PARTITION,
            FaultKind.ONE_WAY_PARTITION,
            FaultKind.HEAL,
            FaultKind.HEAL,
            FaultKind.MESSAGE_LOSS,
            FaultKind.SLOW_DISK,
            FaultKind.CRASH_ALL,
            FaultKind.DISK_LOSS,
            FaultKind.WRITE_FAILURE,
            FaultKind.MESSAGE_DELAY,
            FaultKind.MEMBERSHIP_CHANGE,
            FaultKind.ISOLATE_LEADER,
            FaultKind.LEADERSHIP_TRANSFER,
        ),
    ),
    "leaders": FaultProfile(
        50 * MS,
        (
            FaultKind.LEADER_CRASH,
            FaultKind.LEADER_CRASH,
            FaultKind.START,
            FaultKind.START,
            FaultKind.START,
            FaultKind.PARTITION,
            FaultKind.HEAL,
            FaultKind.HEAL,
            FaultKind.RESTART,
            FaultKind.RESTART,
            FaultKind.RESTART,
            FaultKind.MESSAGE_DELAY,
            FaultKind.ISOLATE_LEADER,
            FaultKind.ONE_WAY_PARTITION,
            FaultKind.MESSAGE_LOSS,
        ),
    ),
    "members": FaultProfile(
        80 * MS,
        (
            FaultKind.MEMBERSHIP_CHANGE,
            FaultKind.MEMBERSHIP_CHANGE,
            FaultKind.MEMBERSHIP_CHANGE,
            FaultKind.LEADER_CRASH,
            FaultKind.ISOLATE_LEADER,
            FaultKind.PARTITION,
            FaultKind.HEAL,
            FaultKind.HEAL,
            FaultKind.START,
            FaultKind.START,
            FaultKind.RESTART,
            FaultKind.DISK_LOSS,
            FaultKind.LEADERSHIP_TRANSFER,
        ),
    ),
}


class FaultInjector:
    """Injects random faults of a profile until ``end``, and records them in a log."""

    def __init__(self, simulation: Simulation, profile: FaultProfile) -> None:
        self.simulation, self.profile, self.rng = simulation, profile, simulation.rng
        self.network = simulation.network
        self.began_at = self.end = 0
        self.log: list[str] = []
        self._injections: dict[FaultKind, Callable[[], str | None]] = {
            FaultKind.CRASH: self._crash,
            FaultKind.RESTART: self._restart,
            FaultKind.LEADER_CRASH: self._crash_leaders,
            FaultKind.START: self._start,
            FaultKind.PARTITION: self._partition,
            FaultKind.ONE_WAY_PARTITION: self._partition_one_way,
            FaultKind.HEAL: self._heal,
            FaultKind.MESSAGE_LOSS: self._lose_messages,
            FaultKind.MESSAGE_DELAY: self._delay_messages,
            FaultKind.SLOW_DISK: self._slow_disk,
            FaultKind.CRASH_ALL: self._crash_all,
            FaultKind.DISK_LOSS: self._lose_disk,
            FaultKind.WRITE_FAILURE: self._fail_writes,
            FaultKind.MEMBERSHIP_CHANGE: self._change_membership,
            FaultKind.ISOLATE_LEADER: self._isolate_leaders,
            FaultKind.LEADERSHIP_TRANSFER: self._transfer_leadership,
        }

    def inject(self) -> None:
        """Inject a fault and schedule the next fault."""
        interval = int(self.rng.expovariate(1 / self.profile.mean_interval)) + MS
        self.simulation.schedule(interval, self.inject)
        if self.simulation.now > self.end:
            return
        kind = self.rng.choice(self.profile.kinds)
        replica_name = self._injections[kind]()
        text = f"{kind} {replica_name}" if replica_name else kind
        self.log.append(f"{(self.simulation.now - self.began_at) / MS:.0f} ms {text}")

    def _all(self) -> list[SimulatedReplica]:
        return [*self.simulation.replicas.values()]

    def _running(self) -> list[SimulatedReplica]:
        return [replica for replica in self._all() if replica.core is not None]

    def _crash(self) -> str | None:
        running = self._running()
        if not running:
            return None
        replica = self.rng.choice(running)
        replica.stop()
        return replica.name

    def _restart(self) -> None:
        running = self._running()
        if running:
            replica = self.rng.choice(running)
            replica.stop()
            replica.start()

    def _crash_leaders(self) -> None:
        for replica in self.simulation.leading_replicas():
            replica.stop()

    def _start(self) -> None:
        stopped = [replica for replica in self._all() if replica.core is None]
        if stopped:
            self.rng.choice(stopped).start()

    def _partition(self) -> None:
        names = [*self.simulation.replicas]
        side = {name for name in names if self.rng.random() < 0.5}
        self.network.blocked |= {(a, b) for a in names for b in names if (a in side) != (b in side)}

    def _partition_one_way(self) -> None:
        names = [*self.simulation.replicas]
        isolated = self.rng.choice(names)
        outgoing = self.rng.random() < 0.5
        self.network.blocked |= {(isolated, name) if outgoing else (name, isolated) for name in names}

    def _isolate_leaders(self) -> None:
        names = [*self.simulation.replicas]
        for leader in self.simulation.leading_replicas():
            self.network.blocked |= {(leader.name, name) for name in names}
            self.network.blocked |= {(name, leader.name) for name in names}

    def _heal(self) -> None:
        self.network.heal(3 * MS)

    def _lose_messages(self) -> None:
        self.network.loss = self.rng.choice([0.05, 0.3])
        self.network.duplication = self.rng.choice([0.0, 0.2])

    def _delay_messages(self) -> None:
        self.network.mean_delay = self.rng.choice([1, 20, 80]) * MS

    def _slow_disk(self) -> None:
        write_time = self.rng.choice([1, 20, 300]) * MS
        self.rng.choice(self._all()).write_time = write_time

    def _crash_all(self) -> None:
        if self.rng.random() >= 0.3:
            return
        for replica in self._running():
            replica.stop()
        for replica in self._all():
            if self.rng.random() < 0.8:
                replica.start()

    def _lose_disk(self) -> None:
        """Replace a disk by an empty disk, unless the group is still recovering from an earlier loss.

        The protocol does not tolerate the loss of a majority of the disks.
        """
        replica = self.rng.choice(self._all())
        if not self._is_recovering():
            replica.stop()
            replica.replace_disk()
            replica.start()

    def _is_recovering(self) -> bool:
        """Return whether the voters are not yet the current incarnations of the wanted replicas.

        Without a leader that may change the membership, the group counts as recovering.
        """
        newest = self.simulation.newest_leader()
        if newest is None or newest.core is None or not newest.core.may_change_membership():
            return True
        wanted = {replica.id for replica in self._all() if replica.name in self.simulation.wanted}
        return wanted != {*newest.core.configuration.voters}

    def _fail_writes(self) -> None:
        running = self._running()
        if running:
            self.rng.choice(running).write_fails = True

    def _transfer_leadership(self) -> None:
        for replica in self._running():
            if replica.core is not None:
                replica.core.transfer_leadership(self.simulation.now)
                replica.process_ready()

    def _change_membership(self) -> None:
        self.simulation.change_wanted_members()
