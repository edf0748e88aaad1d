"""Simulation of a consensus group in virtual time, with faults of network and disks and property checks.

A schedule calls the core only through the methods that the proxy uses. Faults are injected for
:data:`DURATION`; then all faults are repaired and the group has to recover. The seed determines the schedule.
"""

from __future__ import annotations

import heapq
from collections.abc import Callable
from dataclasses import dataclass
from random import Random
from types import ModuleType
from typing import Any

from . import core as real_core
from .errors import PropertyViolationError
from .membership import proxy_name
from .messages import Configuration, Entry, Message, Snapshot
from .mutations import Mutation, mutated_core
from .records import Role
from .simulated_faults import PROFILES, FaultInjector
from .simulated_replica import (
    DEFAULT_WRITE_TIME,
    MS,
    SimulatedDisk,
    SimulatedReplica,
    entry_digest_input,
)

DURATION = 5_000 * MS  # microseconds during which faults are injected
RECOVERY_TIME = 4_000 * MS  # after the repair, by which a leader and all acknowledged entries must exist
PROGRESS_TIME = 500 * MS  # within which a repaired group must commit new entries
LOAD_INTERVAL = 15 * MS
FIRST_FAULT_AT = 500 * MS
START_TIME = 1_000_000_000  # microseconds
READ_FRACTION = 0.3  # probability that a command is followed by a read
REPORTED_FAULTS = 12  # number of faults before a violation that are reported


@dataclass(frozen=True)
class AppliedEntry:
    """An entry as the first replica applied it, and the digest of that replica's state afterwards."""

    digest_input: bytes
    state_digest: bytes


class SimulatedNetwork:
    """The network between replicas: blocked pairs of proxy names, loss, duplication and delay of messages."""

    def __init__(self) -> None:
        self.blocked: set[tuple[str, str]] = set()
        self.loss = self.duplication = 0.0  # probabilities
        self.mean_delay = 3 * MS

    def heal(self, mean_delay: int) -> None:
        """Remove all faults; set the mean message delay in microseconds."""
        self.blocked = set()
        self.loss = self.duplication = 0.0
        self.mean_delay = mean_delay


class Simulation:
    """One simulated schedule, which its seed determines completely."""

    def __init__(self, seed: int, core_module: ModuleType = real_core) -> None:
        self.rng = Random(seed)
        self.core_module = core_module
        self.now, self.event_count = START_TIME, 0
        self.events: list[tuple[int, int, Callable, tuple]] = []  # heap, ordered by time and event number
        profile = self.rng.choice(["mixed", "mixed", *PROFILES])
        self.snapshot_interval = self.rng.choice([7, 40, 100_000])  # entries
        self.max_entries_per_message = self.rng.choice([1, 256, 256])
        size = self.rng.choice([3, 3, 5])
        self.replicas = {f"m{i}": SimulatedReplica(self, f"m{i}") for i in range(size)}
        self.wanted = [*self.replicas]
        self.network = SimulatedNetwork()
        self.faults = FaultInjector(self, PROFILES[profile])
        self.leaders: dict[int, str] = {}  # by term
        self.applied_log: dict[int, AppliedEntry] = {}  # by index
        self.acknowledged: dict[bytes, int] = {}  # index by command
        self.read_floors: dict[int, int] = {}  # greatest index acknowledged before a read, by read id
        self.proposal_count = self.read_count = self.completed_reads = 0
        self._bootstrap()

    def _bootstrap(self) -> None:
        for replica in self.replicas.values():
            replica.replace_disk()
        voters = tuple(replica.id for replica in self.replicas.values())
        first = Snapshot(1, 1, Configuration(voters))
        for replica in self.replicas.values():
            replica.disk = SimulatedDisk(1, "", first, base_index=1)
        self.applied_log[1] = AppliedEntry(b"", b"")

    # --- Events ---

    def schedule(self, delay: int, call: Callable, *args: Any) -> None:
        """Schedule a call after ``delay`` microseconds."""
        self.event_count += 1
        heapq.heappush(self.events, (self.now + delay, self.event_count, call, args))

    def run_until(self, end: int) -> None:
        """Run all events up to time ``end``, and check the leaders after each event."""
        while self.events and self.events[0][0] <= end:
            self.now, _, call, args = heapq.heappop(self.events)
            call(*args)
            self._check_leaders()
        self.now = end

    def send(self, sender: SimulatedReplica, receiver_id: str, message: Message) -> None:
        """Send a Raft message, which may be lost, duplicated or reordered."""
        name = proxy_name(receiver_id)
        for delay in self._delays(sender.name, name):
            self.schedule(delay, self._deliver, sender.id, name, receiver_id, message)

    def send_announcement(self, sender: SimulatedReplica, receiver: str) -> None:
        """Send a proxy the announcement of a replica that is not a member."""
        for delay in self._delays(sender.name, receiver):
            self.schedule(delay, self.replicas[receiver].receive_announcement, sender.id)

    def _delays(self, sender: str, receiver: str) -> list[int]:
        """Draw the delay of each copy of a message that arrives; return no delay for a lost message."""
        network = self.network
        if (sender, receiver) in network.blocked or receiver not in self.replicas:
            return []
        if self.rng.random() < network.loss:
            return []
        copies = 2 if self.rng.random() < network.duplication else 1
        return [int(self.rng.expovariate(1 / network.mean_delay)) + 100 for _ in range(copies)]

    def _deliver(self, sender_id: str, name: str, receiver_id: str, message: Message) -> None:
        if self.replicas[name].id == receiver_id:
            self.replicas[name].receive(sender_id, message)

    # --- Properties ---

    def _check_leaders(self) -> None:
        """Check that no term has two leaders, and that a new leader's log has all applied entries."""
        for replica in self.replicas.values():
            core = replica.core
            if core is None or core.role != Role.LEADER or core.withdrawn:
                continue
            known = self.leaders.get(core.term)
            if known is None:
                self.leaders[core.term] = replica.id
                self._check_complete(replica)
            elif known != replica.id:
                raise PropertyViolationError(f"two leaders in term {core.term}: {known} and {replica.id}")

    def _check_complete(self, leader: SimulatedReplica) -> None:
        if leader.core is None:
            return
        log, last_applied_index = leader.core.log, max(self.applied_log)
        if log.last_index < last_applied_index:
            raise PropertyViolationError(f"leader {leader.id} lacks committed entry {last_applied_index}")
        for index in range(log.base_index + 1, last_applied_index + 1):
            if entry_digest_input(index, log.entry_at(index)) != self.applied_log[index].digest_input:
                text = f"leader {leader.id} has an entry {index} that differs from the committed entry"
                raise PropertyViolationError(text)

    def check_applied(self, replica: SimulatedReplica, index: int, entry: Entry) -> None:
        """Check that all replicas apply the same entry at an index and reach the same state."""
        applied = AppliedEntry(entry_digest_input(index, entry), replica.state_digest)
        known = self.applied_log.setdefault(index, applied)
        if known.digest_input != applied.digest_input:
            text = f"{replica.name} applied {applied.digest_input!r}, another replica {known.digest_input!r}"
            raise PropertyViolationError(text)
        if known.state_digest != applied.state_digest:
            raise PropertyViolationError(
                f"state of {replica.name} after entry {index} differs from another replica's"
            )

    def check_read(self, replica: SimulatedReplica, read_id: int) -> None:
        """Check that a read reflects all commands that were acknowledged before the read began."""
        self.completed_reads += 1
        floor = self.read_floors[read_id]
        if replica.applied_index < floor:
            text = (
                f"read at {replica.name} reflects entry {replica.applied_index}, but {floor} was acknowledged"
            )
            raise PropertyViolationError(text)

    # --- Load and membership ---

    def _load(self) -> None:
        """Send a command, and sometimes a read, to each replica that considers itself the leader."""
        self.schedule(LOAD_INTERVAL, self._load)
        for leader in self.leading_replicas():
            self.proposal_count += 1
            leader.propose(b"v%d" % self.proposal_count)
            if self.rng.random() < READ_FRACTION and leader.core is not None:
                self.read_count += 1
                self.read_floors[self.read_count] = max(self.acknowledged.values(), default=0)
                leader.core.read(self.read_count)
            leader.process_ready()

    def leading_replicas(self) -> list[SimulatedReplica]:
        """Return the replicas that consider themselves the leader."""
        return [
            replica
            for replica in self.replicas.values()
            if replica.core is not None and replica.core.role == Role.LEADER
        ]

    def newest_leader(self) -> SimulatedReplica | None:
        """Return the leader of the highest term."""
        leaders = self.leading_replicas()
        return max(leaders, key=lambda replica: replica.core.term if replica.core else 0, default=None)

    def change_wanted_members(self) -> None:
        """Change the wanted members: from three to all five, or from five to three random ones."""
        if len(self.wanted) != 3:
            self.wanted = self.rng.sample([*self.replicas], 3)
            return
        for name in ("m3", "m4"):
            if name not in self.replicas:
                self.replicas[name] = SimulatedReplica(self, name)
                self.replicas[name].replace_disk()
                self.replicas[name].start()
        self.wanted = [f"m{i}" for i in range(5)]

    # --- The schedule ---

    def run(self) -> None:
        """Run the schedule.

        :raises PropertyViolationError: a property of the protocol is violated.
        """
        self.faults.began_at, self.faults.end = self.now, self.now + DURATION
        for replica in [*self.replicas.values()]:
            replica.start()
        self._load()
        self.schedule(FIRST_FAULT_AT, self.faults.inject)
        self.run_until(self.faults.end)
        self._repair()
        self.run_until(self.faults.end + RECOVERY_TIME)
        self._check_recovered()

    def _repair(self) -> None:
        self.network.heal(2 * MS)
        for replica in self.replicas.values():
            replica.write_time = DEFAULT_WRITE_TIME
            if replica.core is None or replica.core.withdrawn or replica.write_fails:
                replica.stop()
                replica.start()

    def _check_recovered(self) -> None:
        """Check that a leader exists, no acknowledged entry is lost, and new entries reach all members."""
        leader = self.newest_leader()
        if leader is None or leader.core is None:
            raise PropertyViolationError("no leader four seconds after the repair")
        self._check_acknowledged()
        before, last_applied_index = self.proposal_count, max(self.applied_log)
        self.run_until(self.now + PROGRESS_TIME)
        if max(self.applied_log) <= last_applied_index or self.proposal_count <= before:
            raise PropertyViolationError("no new entry was committed after the repair")
        if leader.core is None:
            raise PropertyViolationError("the leader stopped after the repair")
        voters = leader.core.configuration.voters
        replicas = self.replicas.values()
        lagging = [
            replica.name
            for replica in replicas
            if replica.id in voters and replica.applied_index < last_applied_index
        ]
        if lagging:
            raise PropertyViolationError(f"members without all committed entries: {' '.join(lagging)}")
        wanted = {replica.id for replica in replicas if replica.name in self.wanted}
        if {*voters} != wanted:
            raise PropertyViolationError(f"voters are {sorted(voters)}, expected {sorted(wanted)}")

    def _check_acknowledged(self) -> None:
        indexes = {
            applied.digest_input.rpartition(b" ")[2]: index for index, applied in self.applied_log.items()
        }
        for data, index in self.acknowledged.items():
            if indexes.get(data) != index:
                raise PropertyViolationError(
                    f"command {data!r} was acknowledged at entry {index} but is not there"
                )


def run_schedule(seed: int, core_module: ModuleType = real_core) -> str | None:
    """Run the schedule of a seed; return a description of the violated property, or None."""
    simulation = Simulation(seed, core_module)
    try:
        simulation.run()
    except Exception as error:  # an exception in the core is a violation as well
        kind = "" if isinstance(error, PropertyViolationError) else f"{type(error).__name__} "
        return f"seed {seed}: {kind}{error}; faults: {', '.join(simulation.faults.log[-REPORTED_FAULTS:])}"
    return None


def first_failing_seed(mutation: Mutation, seeds: range) -> int | None:
    """Return the first seed whose schedule detects a mutation, or None."""
    module = mutated_core(mutation)
    return next((seed for seed in seeds if run_schedule(seed, module)), None)
