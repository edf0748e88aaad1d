"""A consensus group in virtual time: a seeded network and seeded disks with faults, and what must hold.

Owns the schedules and the properties.  It must never reach into a member beyond the calls that the proxy
makes, or judge a schedule that it has not run to its end.
"""

from __future__ import annotations

import heapq
from dataclasses import dataclass, field
from hashlib import blake2b
from random import Random
from types import ModuleType
from typing import Any

from . import core as real
from .membership import next_configuration, proxy_name, replica_id
from .messages import Configuration, Entry, Snapshot
from .mutations import Mutation, mutated_core
from .records import Role

MS = 1000
BEAT, ELECTION = 50 * MS, 200 * MS
PROFILES = {  # what a schedule draws its faults from, and the mean time between them
    "mixed": (120 * MS, (
        "crash", "crash", "leader", "start", "start", "start", "cut", "cut", "one way", "heal", "heal",
        "loss", "slow disk", "all", "disk lost", "failing", "delay", "members", "isolate leader", "hand on",
    )),
    "leaders": (50 * MS, (
        "leader", "leader", "start", "start", "start", "cut", "heal", "heal", "blink", "blink", "blink",
        "delay", "isolate leader", "one way", "loss",
    )),
    "members": (80 * MS, (
        "members", "members", "members", "leader", "isolate leader", "cut", "heal", "heal", "start", "start",
        "blink", "disk lost", "hand on",
    )),
}  # fmt: skip
KNOCK = 100 * MS


class Broken(Exception):  # noqa: N818
    """A property does not hold; says which and how."""


@dataclass
class Disk:
    term: int
    voted: str
    snapshot: Snapshot
    entries: list[Entry] = field(default_factory=list)
    base: int = 0  # the index before the first entry

    def write(self, save) -> None:
        self.term, self.voted = save.term, save.voted_for
        if save.snapshot is not None:
            self.snapshot = save.snapshot
        keep = self.entries[: max(0, save.first_index - self.base - 1)]
        keep = keep[max(0, save.retained_from - 1 - self.base) :]
        self.base = max(self.base, save.retained_from - 1)
        self.entries = [*keep, *save.entries]

    def loaded(self) -> dict[str, Any]:
        after = self.entries[self.snapshot.index - self.base :]
        return dict(term=self.term, voted_for=self.voted, snapshot=self.snapshot, entries=after)


class Member:
    def __init__(self, sim: Sim, name: str):
        self.sim, self.name, self.lives = sim, name, 0
        self.disk: Disk | None = None
        self.core = None
        self.pending = None  # the batch on its way to disk
        self.ident = ""
        self.begin = 0  # of this process: what was asked of an earlier one is nobody's
        self.write_time = 2 * MS
        self.failing = False
        self.chain = b""  # a digest of all that was applied
        self.count = 0
        self.waiting: dict[int, tuple[int, bytes]] = {}  # proposals by index, with term
        self.knocks: dict[str, tuple[str, int]] = {}

    def fresh(self, disk: Disk | None) -> None:
        """A new directory: a new life."""
        self.lives += 1
        self.ident = replica_id(self.name, str(self.lives))
        self.disk = disk or Disk(0, "", Snapshot(0, 0, Configuration()))

    def start(self) -> None:
        self.begin += 1
        sim = self.sim
        rng = Random(sim.rng.getrandbits(32))
        self.core = sim.module.Core(self.ident, sim.now, rng, BEAT, ELECTION, **self.disk.loaded())
        self.core.max_entries_per_message = sim.each
        self.state(self.disk.snapshot)
        self.waiting = {}
        self.failing = False
        self.wake(self.begin)
        self.knock(self.begin)
        self.act()

    def state(self, snapshot: Snapshot) -> None:
        self.chain, self.count = (snapshot.data or b""), snapshot.index

    def stop(self) -> None:
        if self.core is not None:
            # A batch on its way to disk is there whole or not at all.
            if (
                self.core.writes.in_flight is not None
                and self.pending is not None
                and self.sim.rng.random() < 0.5
            ):
                self.disk.write(self.pending)
            self.core = None
        self.pending = None

    def wake(self, begin: int) -> None:
        if begin != self.begin or self.core is None:
            return
        self.core.tick(self.sim.now)
        self.act()
        due = max(self.core.wake_at - self.sim.now, MS)
        self.sim.at(min(due, BEAT), self.wake, begin)

    def knock(self, begin: int) -> None:
        """No member, or without a leader (it may have been taken out while it was away): says so to all, and
        the leader takes it in, if its name is wanted."""
        if begin != self.begin or self.core is None:
            return
        if not self.core.withdrawn and (
            self.ident not in self.core.configuration.all_members() or not self.core.leader
        ):
            for other in self.sim.members.values():
                self.sim.send(self, other.name, "knock", self.ident)
        core, now = self.core, self.sim.now
        fresh = {name: one for name, (one, at) in self.knocks.items() if now - at < 5 * KNOCK}
        step = next_configuration(core, self.sim.wanted, fresh, now)
        if step is not None:
            core.change_membership(step, now)
            self.act()
        self.sim.at(KNOCK, self.knock, begin)

    def hear(self, frm: str, what: str, message) -> None:
        if self.core is None:
            return
        if what == "knock":
            self.knocks[proxy_name(message)] = message, self.sim.now
            return
        self.core.receive(self.sim.now, frm, message)
        self.act()

    def act(self) -> None:
        """Carries out what the core gives, as the proxy does."""
        while True:
            out = self.core.take_ready(self.sim.now)
            if out.restore is not None:
                self.state(out.restore)
            for index, entry in out.committed:
                self.apply(index, entry)
            for token in out.confirmed_reads:
                self.sim.read_done(self, token)
            for to, message in out.messages:
                self.sim.send(self, proxy_name(to), "raft", message, to)
            if out.batch is not None:
                self.pending = out.batch
                spent = self.sim.rng.randrange(1, self.write_time + 1)
                self.sim.at(spent, self.written, self.begin, out.batch)
            if not (out.messages or out.committed or out.batch or out.confirmed_reads):
                return

    def written(self, begin: int, save) -> None:
        if begin != self.begin or self.core is None or self.core.withdrawn:
            return
        if self.failing:  # a failed sync is final for this process
            self.core.withdrawn = True
            self.pending = None
            return
        self.disk.write(save)
        self.pending = None
        self.core.handle_written(save.number, self.sim.now)
        self.act()

    def apply(self, index: int, entry: Entry) -> None:
        if index != self.count + 1:
            raise Broken(f"{self.name} applied {index} after {self.count}")
        self.count = index
        mark = packed_mark(index, entry)
        self.chain = blake2b(self.chain + mark, digest_size=8).digest()
        self.sim.applied(self, index, entry, self.chain)
        asked = self.waiting.pop(index, None)
        if asked is not None and asked == (entry.term, entry.data):
            self.sim.acked[entry.data] = index
        if index % self.sim.every == 0:
            self.core.compact(index, self.chain)


def packed_mark(index: int, entry: Entry) -> bytes:
    return b"%d %d %b %b" % (index, entry.term, entry.kind.encode(), entry.data)


class Sim:
    """One schedule: `names` begin the group, faults are drawn until `length`, then all is mended."""

    def __init__(self, seed: int, size: int = 0, length: int = 5_000 * MS, module: ModuleType = real):
        self.rng = Random(seed)
        self.module, self.length = module, length
        self.now, self.order = 1_000_000_000, 0
        self.events: list = []
        self.profile = self.rng.choice(["mixed", "mixed", *PROFILES])
        self.every = self.rng.choice([7, 40, 100_000])  # entries between snapshots
        self.each = self.rng.choice([1, 256, 256])  # entries in a message
        size = size or self.rng.choice([3, 3, 5])
        self.members = {f"m{i}": Member(self, f"m{i}") for i in range(size)}
        self.wanted = [*self.members]
        self.blocked: set[tuple[str, str]] = set()
        self.loss = self.twice = 0.0
        self.delay = 3 * MS
        self.leaders: dict[int, str] = {}
        self.log: dict[int, tuple[bytes, bytes]] = {}  # what was applied first at each index, and the chain
        self.acked: dict[bytes, int] = {}
        self.tokens: dict[int, int] = {}  # reads by number: the greatest index acknowledged before
        self.count = self.read_count = self.reads_done = 0
        self.faults: list[str] = []
        for member in self.members.values():
            member.fresh(None)
        first = Snapshot(1, 1, Configuration(tuple(one.ident for one in self.members.values())))
        for member in self.members.values():
            member.disk = Disk(1, "", first, base=1)
        self.log[1] = (b"", b"")

    def at(self, rest: int, call, *values) -> None:
        self.order += 1
        heapq.heappush(self.events, (self.now + rest, self.order, call, values))

    def until(self, end: int) -> None:
        while self.events and self.events[0][0] <= end:
            self.now, _, call, values = heapq.heappop(self.events)
            call(*values)
            self.watch()
        self.now = end

    # The network.

    def send(self, frm: Member, to: str, what: str, message, ident_to: str | None = None) -> None:
        if (frm.name, to) in self.blocked or to not in self.members or self.rng.random() < self.loss:
            return
        for _ in range(2 if self.rng.random() < self.twice else 1):
            rest = int(self.rng.expovariate(1 / self.delay)) + 100
            self.at(rest, self.deliver, frm.ident, to, what, message, ident_to)

    def deliver(self, frm: str, to: str, what: str, message, ident_to: str | None) -> None:
        member = self.members[to]
        if ident_to is None or ident_to == member.ident:
            member.hear(frm, what, message)

    # Properties.

    def watch(self) -> None:
        for member in self.members.values():
            core = member.core
            if core is None or core.role != Role.LEADER or core.withdrawn:
                continue
            known = self.leaders.get(core.term)
            if known is None:
                self.leaders[core.term] = member.ident
                self.complete(member)
            elif known != member.ident:
                raise Broken(f"two leaders in term {core.term}: {known} and {member.ident}")

    def complete(self, member: Member) -> None:
        """A new leader's log has all that was ever applied anywhere."""
        core = member.core
        top = max(self.log)
        if core.log.last_index < top:
            raise Broken(f"leader {member.ident} lacks entry {top}, which was committed")
        for index in range(core.log.base_index + 1, top + 1):
            if packed_mark(index, core.log.entry_at(index)) != self.log[index][0]:
                raise Broken(f"leader {member.ident} holds another entry {index} than was committed")

    def applied(self, member: Member, index: int, entry: Entry, chain: bytes) -> None:
        mark = packed_mark(index, entry)
        known = self.log.setdefault(index, (mark, chain))
        if known[0] != mark:
            raise Broken(f"{member.name} applied {mark!r}, another applied {known[0]!r}")
        if known[1] != chain:
            raise Broken(f"{member.name}'s state after {index} is not as another's")

    def read_done(self, member: Member, token: int) -> None:
        self.reads_done += 1
        if member.count < self.tokens[token]:
            known = self.tokens[token]
            raise Broken(f"a read at {member.name} shows {member.count}, {known} was acknowledged")

    # Load.

    def load(self) -> None:
        self.at(15 * MS, self.load)
        able = [one for one in self.members.values() if one.core and one.core.role == Role.LEADER]
        for member in able:  # each that believes it leads is asked
            self.count += 1
            data = b"v%d" % self.count
            made = member.core.propose(data)
            if made is not None:
                member.waiting[made.index] = made.term, data
            if self.rng.random() < 0.3:
                self.read_count += 1
                self.tokens[self.read_count] = max(self.acked.values(), default=0)
                member.core.read(self.read_count)
            member.act()

    # Faults.

    def fault(self) -> None:
        mean, kinds = PROFILES[self.profile]
        self.at(int(self.rng.expovariate(1 / mean)) + MS, self.fault)
        if self.now > self.end:
            return
        live = [one for one in self.members.values() if one.core is not None]
        down = [one for one in self.members.values() if one.core is None]
        names = [*self.members]
        kind = self.rng.choice(kinds)
        note = kind
        if kind == "crash" and live:
            one = self.rng.choice(live)
            note += f" {one.name}"
            one.stop()
        elif kind == "blink" and live:
            one = self.rng.choice(live)
            one.stop()
            one.start()
        elif kind == "leader" or kind == "isolate leader":
            for one in live:
                if one.core.role == Role.LEADER:
                    if kind == "leader":
                        one.stop()
                    else:
                        self.blocked |= {(one.name, n) for n in names} | {(n, one.name) for n in names}
        elif kind == "start" and down:
            self.rng.choice(down).start()
        elif kind == "cut":
            side = {name for name in names if self.rng.random() < 0.5}
            self.blocked |= {(a, b) for a in names for b in names if (a in side) != (b in side)}
        elif kind == "one way":
            one = self.rng.choice(names)
            says = self.rng.random() < 0.5
            self.blocked |= {(one, n) if says else (n, one) for n in names}
        elif kind == "heal":
            self.blocked = set()
            self.loss = self.twice = 0.0
            self.delay = 3 * MS
        elif kind == "loss":
            self.loss, self.twice = self.rng.choice([0.05, 0.3]), self.rng.choice([0.0, 0.2])
        elif kind == "delay":
            self.delay = self.rng.choice([1, 20, 80]) * MS
        elif kind == "slow disk":
            self.rng.choice([*self.members.values()]).write_time = self.rng.choice([1, 20, 300]) * MS
        elif kind == "all" and self.rng.random() < 0.3:
            for one in live:
                one.stop()
            for one in self.members.values():
                if self.rng.random() < 0.8:
                    one.start()
        elif kind == "disk lost":
            # One at a time: more than the group can lose is no promise that it gives.
            one = self.rng.choice([*self.members.values()])
            if not self.losing():
                one.stop()
                one.fresh(None)
                one.start()
        elif kind == "failing" and live:
            self.rng.choice(live).failing = True
        elif kind == "hand on":
            for one in live:
                one.core.transfer_leadership(self.now)
                one.act()
        elif kind == "members":
            self.change_members()
        self.faults.append(f"{(self.now - self.start_at) / MS:.0f} ms {note}")

    def losing(self) -> bool:
        """Some member's present disk has not come up with the others yet: or is no voter."""
        newest = self.newest()
        if newest is None or newest.core.may_change_membership() is False:
            return True
        return {one.ident for one in self.members.values() if one.name in self.wanted} != {
            *newest.core.configuration.voters
        }

    def newest(self) -> Member | None:
        led = [one for one in self.members.values() if one.core and one.core.role == Role.LEADER]
        return max(led, key=lambda one: one.core.term, default=None)

    def change_members(self) -> None:
        if len(self.wanted) == 3:
            for name in ("m3", "m4"):
                if name not in self.members:
                    self.members[name] = Member(self, name)
                    self.members[name].fresh(None)
                    self.members[name].start()
            self.wanted = [f"m{i}" for i in range(5)]
        else:
            self.wanted = self.rng.sample([*self.members], 3)

    # One schedule.

    def run(self) -> None:
        self.start_at, self.end = self.now, self.now + self.length
        for member in [*self.members.values()]:
            member.start()
        self.load()
        self.at(500 * MS, self.fault)
        self.until(self.end)
        self.mend()
        self.until(self.end + 4_000 * MS)
        self.live()

    def mend(self) -> None:
        self.blocked, self.loss, self.twice, self.delay = set(), 0.0, 0.0, 2 * MS
        for member in self.members.values():
            member.write_time = 2 * MS
            if member.core is None or member.core.withdrawn or member.failing:
                member.stop()
                member.start()

    def live(self) -> None:
        """What must go on, goes on: a leader, a new entry at all members, nothing acknowledged lost."""
        leader = self.newest()
        if leader is None:
            raise Broken("no leader four seconds after all was mended")
        marks = {mark.rpartition(b" ")[2]: index for index, (mark, _) in self.log.items()}
        for data, index in self.acked.items():
            if marks.get(data) != index:
                raise Broken(f"{data!r} was acknowledged at {index} and is not there")
        before, top = self.count, max(self.log)
        self.until(self.now + 500 * MS)
        if max(self.log) <= top or self.count <= before:
            raise Broken("nothing new was committed after all was mended")
        voters = leader.core.configuration.voters
        late = [one.name for one in self.members.values() if one.ident in voters and one.count < top]
        if late:
            raise Broken(f"members that stay behind: {' '.join(late)}")
        wanted = {one.ident for one in self.members.values() if one.name in self.wanted}
        if {*voters} != wanted:
            raise Broken(f"members are {sorted(voters)}, wanted {sorted(wanted)}")


def played(seed: int, module: ModuleType = real) -> str | None:
    """What breaks in the schedule of that seed; None if it holds."""
    sim = Sim(seed, module=module)
    try:
        sim.run()
    except Exception as broken:  # what the core itself raises is a breach too
        kind = "" if isinstance(broken, Broken) else f"{type(broken).__name__} "
        return f"seed {seed}: {kind}{broken}; faults: {', '.join(sim.faults[-12:])}"
    return None


def found(mutation: Mutation, seeds: range) -> int | None:
    """The first schedule that shows this slip."""
    module = mutated_core(mutation)
    return next((seed for seed in seeds if played(seed, module)), None)
