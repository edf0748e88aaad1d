"""A simulated replica: the real core with a simulated disk, called in the same way as in the proxy."""

from __future__ import annotations

from dataclasses import dataclass, field
from hashlib import blake2b
from random import Random
from typing import TYPE_CHECKING, Any

from .core import Core
from .errors import PropertyViolationError
from .membership import next_configuration, proxy_name, replica_id
from .messages import Configuration, Entry, Message, Snapshot
from .records import Proposal, WriteBatch

if TYPE_CHECKING:
    from .simulation import Simulation

MS = 1000  # microseconds
HEARTBEAT_INTERVAL = 50 * MS
ELECTION_TIMEOUT = 200 * MS
ANNOUNCE_INTERVAL = 100 * MS
ANNOUNCEMENT_TTL = 5 * ANNOUNCE_INTERVAL
DEFAULT_WRITE_TIME = 2 * MS  # longest time to write a batch


@dataclass
class SimulatedDisk:
    """The durable state of a replica."""

    term: int
    voted_for: str
    snapshot: Snapshot
    entries: list[Entry] = field(default_factory=list)
    base_index: int = 0  # index before the first entry

    def write(self, batch: WriteBatch) -> None:
        """Write a batch in the same way as the real storage."""
        self.term, self.voted_for = batch.term, batch.voted_for
        if batch.snapshot is not None:
            self.snapshot = batch.snapshot
        retained = self.entries[: max(0, batch.first_index - self.base_index - 1)]
        retained = retained[max(0, batch.retained_from - 1 - self.base_index) :]
        self.base_index = max(self.base_index, batch.retained_from - 1)
        self.entries = [*retained, *batch.entries]

    def load(self) -> dict[str, Any]:
        """Return the stored state as keyword arguments for the core."""
        after_snapshot = self.entries[self.snapshot.index - self.base_index :]
        return {
            "term": self.term,
            "voted_for": self.voted_for,
            "snapshot": self.snapshot,
            "entries": after_snapshot,
        }


@dataclass(frozen=True)
class SimulatedCommand:
    """A command that the leader has accepted: index and term of its entry, and its data."""

    proposal: Proposal
    data: bytes


@dataclass(frozen=True)
class ReceivedAnnouncement:
    """The announcement of a replica that is not a member, and the time of its arrival."""

    replica_id: str
    received_at: int


def entry_digest_input(index: int, entry: Entry) -> bytes:
    """Return the digested form of an entry: index, term, kind and data, separated by spaces."""
    return b"%d %d %b %b" % (index, entry.term, entry.kind.encode(), entry.data)


class SimulatedReplica:
    """A replica that can crash, restart and lose its disk.

    Its state machine is a digest of all applied entries.
    """

    def __init__(self, simulation: Simulation, name: str) -> None:
        self.simulation, self.name = simulation, name
        self.incarnation_count = 0
        self.disk = SimulatedDisk(0, "", Snapshot(0, 0, Configuration()))
        self.core: Core | None = None
        self.batch_in_flight: WriteBatch | None = None
        self.id = ""
        self.process_number = 0  # events of an earlier process are ignored
        self.write_time = DEFAULT_WRITE_TIME
        self.write_fails = False
        self.state_digest = b""
        self.applied_index = 0
        self.commands: dict[int, SimulatedCommand] = {}  # by index
        self.announcements: dict[str, ReceivedAnnouncement] = {}  # by proxy name

    def replace_disk(self) -> None:
        """Replace the disk by an empty one, with a new incarnation."""
        self.incarnation_count += 1
        self.id = replica_id(self.name, str(self.incarnation_count))
        self.disk = SimulatedDisk(0, "", Snapshot(0, 0, Configuration()))

    def start(self) -> None:
        """Start a process with the state on the disk."""
        self.process_number += 1
        simulation = self.simulation
        rng = Random(simulation.rng.getrandbits(32))
        core_type = simulation.core_module.Core
        self.core = core_type(
            self.id, simulation.now, rng, HEARTBEAT_INTERVAL, ELECTION_TIMEOUT, **self.disk.load()
        )
        self.core.max_entries_per_message = simulation.max_entries_per_message
        self._restore(self.disk.snapshot)
        self.commands = {}
        self.write_fails = False
        self._tick(self.process_number)
        self._announce(self.process_number)
        self.process_ready()

    def stop(self) -> None:
        """Crash; a batch in flight is written completely or not at all."""
        if self.core is not None:
            batch = self.batch_in_flight if self.core.writes.in_flight is not None else None
            if batch is not None and self.simulation.rng.random() < 0.5:
                self.disk.write(batch)
            self.core = None
        self.batch_in_flight = None

    def propose(self, data: bytes) -> None:
        """Propose a command at this replica."""
        proposal = self.core.propose(data) if self.core is not None else None
        if proposal is not None:
            self.commands[proposal.index] = SimulatedCommand(proposal, data)

    def receive(self, sender: str, message: Message) -> None:
        """Pass a message to the core."""
        if self.core is not None:
            self.core.receive(self.simulation.now, sender, message)
            self.process_ready()

    def receive_announcement(self, sender: str) -> None:
        """Record the announcement of a replica that is not a member."""
        if self.core is not None:
            self.announcements[proxy_name(sender)] = ReceivedAnnouncement(sender, self.simulation.now)

    def process_ready(self) -> None:
        """Execute the work that the core has ready."""
        while self.core is not None:
            ready = self.core.take_ready(self.simulation.now)
            if ready.restore is not None:
                self._restore(ready.restore)
            for index, entry in ready.committed:
                self._apply(self.core, index, entry)
            for read_id in ready.confirmed_reads:
                self.simulation.check_read(self, read_id)
            for receiver, message in ready.messages:
                self.simulation.send(self, receiver, message)
            if ready.batch is not None:
                self.batch_in_flight = ready.batch
                duration = self.simulation.rng.randrange(1, self.write_time + 1)
                self.simulation.schedule(duration, self._written, self.process_number, ready.batch)
            if ready.is_empty():
                return

    def _restore(self, snapshot: Snapshot) -> None:
        self.state_digest, self.applied_index = (snapshot.data or b""), snapshot.index

    def _tick(self, process_number: int) -> None:
        if process_number != self.process_number or self.core is None:
            return
        self.core.tick(self.simulation.now)
        self.process_ready()
        delay = max(self.core.wake_at - self.simulation.now, MS)
        self.simulation.schedule(min(delay, HEARTBEAT_INTERVAL), self._tick, process_number)

    def _announce(self, process_number: int) -> None:
        """Announce this replica if it is not a member; propose a membership change if this replica leads."""
        core, simulation = self.core, self.simulation
        if process_number != self.process_number or core is None:
            return
        is_member = self.id in core.configuration.all_members()
        if not core.withdrawn and not (is_member and core.leader):
            for other in simulation.replicas.values():
                simulation.send_announcement(self, other.name)
        recent = {
            name: received.replica_id
            for name, received in self.announcements.items()
            if simulation.now - received.received_at < ANNOUNCEMENT_TTL
        }
        proposed_configuration = next_configuration(core, simulation.wanted, recent, simulation.now)
        if proposed_configuration is not None:
            core.change_membership(proposed_configuration, simulation.now)
            self.process_ready()
        simulation.schedule(ANNOUNCE_INTERVAL, self._announce, process_number)

    def _written(self, process_number: int, batch: WriteBatch) -> None:
        if process_number != self.process_number or self.core is None or self.core.withdrawn:
            return
        if self.write_fails:  # a write failure is final for this process
            self.core.withdrawn = True
            self.batch_in_flight = None
            return
        self.disk.write(batch)
        self.batch_in_flight = None
        self.core.handle_written(batch.number, self.simulation.now)
        self.process_ready()

    def _apply(self, core: Core, index: int, entry: Entry) -> None:
        if index != self.applied_index + 1:
            raise PropertyViolationError(
                f"{self.name} applied entry {index} after entry {self.applied_index}"
            )
        self.applied_index = index
        digest_input = entry_digest_input(index, entry)
        self.state_digest = blake2b(self.state_digest + digest_input, digest_size=8).digest()
        self.simulation.check_applied(self, index, entry)
        command = self.commands.pop(index, None)
        if command is not None and command.proposal.term == entry.term and command.data == entry.data:
            self.simulation.acknowledged[entry.data] = index
        if index % self.simulation.snapshot_interval == 0:
            core.compact(index, self.state_digest)
