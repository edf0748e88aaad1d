"""A consensus group in virtual time: a seeded network and seeded disks with faults, and what must hold.

A schedule drives the core only by the calls that the proxy makes. It is judged when it has run to its end:
faults are injected for some seconds, then everything is repaired and the group has to go on.
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

DURATION = 5_000 * MS  # of the faults
RECOVERY_TIME = 4_000 * MS  # until a repaired group must be led and complete
PROGRESS_TIME = 500 * MS  # within which a repaired group must commit
LOAD_INTERVAL = 15 * MS
FIRST_FAULT_AT = 500 * MS
START_TIME = 1_000_000_000  # microseconds
READ_FRACTION = 0.3  # of the load
REPORTED_FAULTS = 12  # the last ones before a violation


@dataclass(frozen=True)
class AppliedEntry:
    """An entry as the first replica applied it, and that replica's state afterwards."""

    digest_input: bytes
    state_digest: bytes


class SimulatedNetwork:
    """Links between replicas: blocked pairs of names, and what happens to the other messages."""

    def __init__(self) -> None:
        self.blocked: set[tuple[str, str]] = set()
        self.loss = self.duplication = 0.0  # probabilities
        self.mean_delay = 3 * MS

    def heal(self, mean_delay: int) -> None:
        """Remove all faults."""
        self.blocked = set()
        self.loss = self.duplication = 0.0
        self.mean_delay = mean_delay


class Simulation:
    """One schedule, wholly determined by its seed."""

    def __init__(self, seed: int, core_module: ModuleType = real_core) -> None:
        self.rng = Random(seed)
        self.core_module = core_module
        self.now, self.event_count = START_TIME, 0
        self.events: list[tuple[int, int, Callable, tuple]] = []  # a heap by time and number
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
        self.read_floors: dict[int, int] = {}  # by read id: the greatest index acknowledged before the read
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
        """Call a function after so many microseconds."""
        self.event_count += 1
        heapq.heappush(self.events, (self.now + delay, self.event_count, call, args))

    def run_until(self, end: int) -> None:
        """Play all events up to that time, and check the leaders after each."""
        while self.events and self.events[0][0] <= end:
            self.now, _, call, args = heapq.heappop(self.events)
            call(*args)
            self._check_leaders()
        self.now = end

    def send(self, sender: SimulatedReplica, receiver_id: str, message: Message) -> None:
        """Send a message of the core; it may be lost, duplicated and overtaken."""
        name = proxy_name(receiver_id)
        for delay in self._delays(sender.name, name):
            self.schedule(delay, self._deliver, sender.id, name, receiver_id, message)

    def send_announcement(self, sender: SimulatedReplica, receiver: str) -> None:
        """Tell a proxy of a replica that is no member."""
        for delay in self._delays(sender.name, receiver):
            self.schedule(delay, self.replicas[receiver].receive_announcement, sender.id)

    def _delays(self, sender: str, receiver: str) -> list[int]:
        """Draw the delay of each copy of a message that arrives."""
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
        """No term has two leaders, and a new one's log holds all that was applied anywhere."""
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
        log, top = leader.core.log, max(self.applied_log)
        if log.last_index < top:
            raise PropertyViolationError(f"leader {leader.id} lacks entry {top}, which was committed")
        for index in range(log.base_index + 1, top + 1):
            if entry_digest_input(index, log.entry_at(index)) != self.applied_log[index].digest_input:
                text = f"leader {leader.id} holds another entry {index} than was committed"
                raise PropertyViolationError(text)

    def check_applied(self, replica: SimulatedReplica, index: int, entry: Entry) -> None:
        """All replicas apply the same entry at an index, and come to the same state."""
        applied = AppliedEntry(entry_digest_input(index, entry), replica.state_digest)
        known = self.applied_log.setdefault(index, applied)
        if known.digest_input != applied.digest_input:
            text = f"{replica.name} applied {applied.digest_input!r}, another {known.digest_input!r}"
            raise PropertyViolationError(text)
        if known.state_digest != applied.state_digest:
            raise PropertyViolationError(f"{replica.name}'s state after {index} differs from another's")

    def check_read(self, replica: SimulatedReplica, read_id: int) -> None:
        """A read shows all that was acknowledged before it began."""
        self.completed_reads += 1
        floor = self.read_floors[read_id]
        if replica.applied_index < floor:
            text = f"a read at {replica.name} shows {replica.applied_index}, {floor} was acknowledged"
            raise PropertyViolationError(text)

    # --- Load and members ---

    def _load(self) -> None:
        """Ask each replica that believes to lead for a command, and sometimes for a read."""
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
        """Return the replicas that believe to lead."""
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
        """Let the group grow from three to five members, or shrink to three others."""
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
        """Play the schedule.

        :raises PropertyViolationError: a property does not hold.
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
        """There is a leader, nothing acknowledged is lost, and new entries reach all members."""
        leader = self.newest_leader()
        if leader is None or leader.core is None:
            raise PropertyViolationError("no leader four seconds after all was repaired")
        self._check_acknowledged()
        before, top = self.proposal_count, max(self.applied_log)
        self.run_until(self.now + PROGRESS_TIME)
        if max(self.applied_log) <= top or self.proposal_count <= before:
            raise PropertyViolationError("nothing new was committed after all was repaired")
        if leader.core is None:
            raise PropertyViolationError("the leader is gone though all was repaired")
        voters = leader.core.configuration.voters
        replicas = self.replicas.values()
        late = [replica.name for replica in replicas if replica.id in voters and replica.applied_index < top]
        if late:
            raise PropertyViolationError(f"members that stay behind: {' '.join(late)}")
        wanted = {replica.id for replica in replicas if replica.name in self.wanted}
        if {*voters} != wanted:
            raise PropertyViolationError(f"members are {sorted(voters)}, wanted {sorted(wanted)}")

    def _check_acknowledged(self) -> None:
        indexes = {
            applied.digest_input.rpartition(b" ")[2]: index for index, applied in self.applied_log.items()
        }
        for data, index in self.acknowledged.items():
            if indexes.get(data) != index:
                raise PropertyViolationError(f"{data!r} was acknowledged at {index} and is not there")


def play_schedule(seed: int, core_module: ModuleType = real_core) -> str | None:
    """Play the schedule of a seed; return what does not hold, None if all does."""
    simulation = Simulation(seed, core_module)
    try:
        simulation.run()
    except Exception as error:  # what the core itself raises is a violation too
        kind = "" if isinstance(error, PropertyViolationError) else f"{type(error).__name__} "
        return f"seed {seed}: {kind}{error}; faults: {', '.join(simulation.faults.log[-REPORTED_FAULTS:])}"
    return None


def first_failing_seed(mutation: Mutation, seeds: range) -> int | None:
    """Return the first seed whose schedule shows a mutation, None if none does."""
    module = mutated_core(mutation)
    return next((seed for seed in seeds if play_schedule(seed, module)), None)
