"""A member of the consensus group: carries messages, disk and time between the core and this process.

Owns the core, the store and the agreed state here.  It must never block the reactor, answer before an entry
is applied, or go on as a member after its disk has failed or its own steps have.
"""

from __future__ import annotations

from pathlib import Path
from random import Random
from typing import Annotated, Any, Literal

import msgspec
from loguru import logger
from msgspec import Meta

from ..net.deadlines import Deadline
from .core import LEADER, Core
from .council import ident, name_of, next_config
from .forms import DATA, Config, Entry, Install, Message, Snapshot, packed
from .machine import Machine, NewerError
from .store import Loaded, Store, UnfitError

KNOCK = 500_000  # microseconds: who is no member says so
FRESH = 4 * KNOCK  # a knock counts for so long
AGAIN = 1_000_000  # before a directory that another process uses is tried again
EVERY = 1024  # entries between snapshots
ENTRY = 32_768  # bytes of a command: with others it has to fit a message, or nobody could ever be told of it
EACH = 128  # that one proxy may have waiting: its client holds half of it
APPLY = 64  # entries in one turn of the reactor: 0.4 ms, with their answers well under one

Asker = tuple[str, Any]  # a proxy's name, and the link that it asked on; None: our own process
raft_of = tuple[str, str, Message]
ask_of = tuple[int, Literal["do", "look"], Annotated[list, Meta(min_length=3, max_length=5)]]


class Member:
    def __init__(
        self, reactor, deadlines, now, rng: Random, name: str, wanted: list[str], folder: Path, mesh,
        machine: Machine, beat: int, election: int,
    ):  # fmt: skip
        """`wanted` are the members' names in the file's order, ours among them; times are microseconds."""
        self.reactor, self.deadlines, self.now, self.rng = reactor, deadlines, now, rng
        self.name, self.wanted, self.folder, self.mesh, self.machine = name, wanted, folder, mesh, machine
        self.beat, self.election = beat, election
        self.store: Store | None = None
        self.core: Core | None = None
        self.ident = ""
        self.off = "opening"  # why we are no member of use; empty: we are
        self.knocks: dict[str, tuple[str, bool, int]] = {}  # by name: id, whether begun, when
        self.waiting: dict[int, tuple[int, Asker, int]] = {}  # proposals by index: term, asker, number
        self.reading: dict[int, tuple[Asker, int, list]] = {}
        self.count = 0
        self.since = 0  # entries since the last snapshot
        self.timer: Deadline | None = None
        self.led = ""
        self.applied = 0
        self.backlog: list[tuple[int, Entry]] = []  # committed, to be applied in later turns
        self.heirs: list = []  # called after each change of the state
        self.answer = self.say_answer
        self.owing: dict[str, int] = {}  # by who asks: what waits
        self.may = lambda who, part, name, args: True  # whether that process (name/life) may ask for it
        self.noted = lambda part, name, args, answer: None  # told of each look that was answered
        self.stopped = False
        mesh.takers["raft"] = self.heard_raft
        mesh.takers["knock"] = self.heard_knock
        mesh.takers["ask"] = self.asked

    # Start and end.

    def start(self) -> None:
        self.reactor.callInThread(self.open)

    def open(self) -> None:
        """On a thread: the directory, or why not."""
        store = Store(self.folder, self.reactor.callFromThread, self.failed)
        try:
            try:
                loaded = store.open()
            except UnfitError as fault:
                if fault.code not in ("lost", "older", "spoilt"):
                    raise
                aside = store.put_aside(fault.code)
                self.reactor.callFromThread(self.begins_anew, str(fault), aside)
                loaded = store.open()
        except UnfitError as fault:
            store.close()
            self.reactor.callFromThread(self.unfit, fault)
        except Exception as fault:  # a directory that can't be moved, whatever else a disk may do
            store.close()
            self.reactor.callFromThread(self.unfit, UnfitError("unwritable", f"{self.folder}: {fault}"))
        else:
            self.reactor.callFromThread(self.opened, store, loaded)

    def begins_anew(self, why: str, aside: Path) -> None:
        logger.error("group: {}; put aside as {}, we come back as a new member", why, aside)

    def unfit(self, fault: UnfitError) -> None:
        if self.off != fault.code:
            logger.error("group: not a member code={} {}", fault.code, fault)
        self.off = fault.code
        if fault.code != "newer" and not self.stopped:
            self.deadlines.call_at(self.now() + AGAIN, self.start)

    def opened(self, store: Store, loaded: Loaded) -> None:
        if self.stopped:
            return store.stop()
        self.store, self.ident, self.off = store, ident(self.name, loaded.life), ""
        store.start()
        self.run(loaded.term, loaded.voted, loaded.snapshot, loaded.entries)
        logger.info("group: member={} term={} entries={}", self.ident, loaded.term, self.core.last())
        self.knock()

    def run(self, term: int, voted: str, snapshot: Snapshot, entries: list[Entry]) -> None:
        self.core = Core(
            self.ident, self.now(), self.rng, self.beat, self.election,
            term=term, voted=voted, snapshot=snapshot, entries=entries,
        )  # fmt: skip
        self.guarded(self.restore, snapshot)
        self.act()

    def failed(self, why: str) -> None:
        """The store's word that a write has failed: final for this process."""
        self.withdraw("disk", why)

    def withdraw(self, code: str, why: str) -> None:
        if self.off == code:
            return
        logger.error("group: not a member any more code={} {}", code, why)
        self.off = code
        self.release()
        self.core = None
        if self.timer is not None:
            self.timer.cancel()

    def hand_on(self) -> None:
        """A planned end has begun."""
        if self.core is not None and self.core.role == LEADER:
            self.core.hand_on(self.now())
            self.act()

    def stop(self) -> None:
        self.stopped = True
        if self.timer is not None:
            self.timer.cancel()
        self.core = None
        if self.store is not None:
            self.store.stop()

    # What there is to do.

    def guarded(self, call, *values) -> Any:
        """Guards the group: a member whose own steps fail must not go on with half of one."""
        try:
            return call(*values)
        except NewerError as fault:
            self.withdraw("newer", str(fault))
        except Exception as fault:
            logger.exception("group: a step has failed")
            self.withdraw("fault", f"{type(fault).__name__}: {fault}")

    def act(self) -> None:
        if self.core is not None:
            self.guarded(self.carry_out)
        if self.core is not None:
            if self.timer is not None:
                self.timer.cancel()
            self.timer = self.deadlines.call_at(self.core.wakes(), self.tick)

    def tick(self) -> None:
        if self.core is not None:
            self.core.tick(self.now())
            self.act()

    def carry_out(self) -> None:
        while self.core is not None:
            out = self.core.take(self.now())
            if out.withdrawn:
                return self.withdraw("older", "the group has had more from us than our disk holds")
            if out.restore is not None:
                self.backlog = []
                self.restore(out.restore)
            if out.save is not None:
                self.store.save(out.save, self.saved)
            for to, message in out.messages:
                self.mesh.say(name_of(to), "raft", (self.ident, to, message))
            self.backlog += out.applied
            for token in out.lost_reads:
                asker, number, _ = self.reading.pop(token)
                self.closed(asker)
                self.refuse(asker, number)
            for token in out.reads:  # behind all that is committed
                self.backlog.append((-1, token))
            if not (out.save or out.messages or out.applied or out.reads or out.lost_reads):
                break
        self.apply()
        self.tell_lead()

    def apply(self) -> None:
        """Some of the backlog; the rest in later turns, so that none takes long."""
        if self.core is None or not self.backlog:
            return
        now, self.backlog = self.backlog[:APPLY], self.backlog[APPLY:]
        for index, entry in now:
            if index < 0:
                asker, number, (part, name, args) = self.reading.pop(entry)
                self.closed(asker)
                answer = self.look(part, name, args)
                self.noted(part, name, args, answer)
                self.answer(asker, number, True, answer)
                continue
            answer = self.machine.apply(entry.data) if entry.kind == DATA else None
            self.applied = index
            term, asker, number = self.waiting.pop(index, (0, ("", None), 0))
            if term:
                self.closed(asker)
            if term == entry.term:
                self.answer(asker, number, True, answer)
            elif term:
                self.refuse(asker, number)
            self.since += 1
        if self.since >= EVERY and not any(index > 0 for index, _ in self.backlog):
            self.since = 0
            self.core.compact(self.applied, self.machine.dump())
        for heir in self.heirs:
            heir()
        if self.backlog:
            self.reactor.callLater(0, self.apply_more)

    def apply_more(self) -> None:
        self.guarded(self.apply)
        self.act()

    def look(self, part: str, name: str, args: list) -> Any:
        try:
            return self.machine.look(part, name, args)
        except (KeyError, TypeError, ValueError, IndexError):  # what nobody knows here
            return None

    def restore(self, snapshot: Snapshot) -> None:
        self.machine.load(snapshot.data)
        self.applied, self.since = snapshot.index, 0
        for heir in self.heirs:
            heir()

    def saved(self, number: int) -> None:
        if self.core is not None:
            self.core.saved(number, self.now())
            self.act()

    def tell_lead(self) -> None:
        core = self.core
        if core is None:
            return
        if core.role != LEADER and (self.waiting or self.reading):
            self.release()
        if core.leader != self.led:
            self.led = core.leader
            logger.info("group: leader={} term={}", self.led or "-", core.term)

    def release(self) -> None:
        """Whoever waits for us asks elsewhere: what was proposed may still be done, once."""
        waiting, self.waiting, self.owing = self.waiting, {}, {}
        for _, asker, number in waiting.values():
            self.refuse(asker, number)
        kept = {entry for index, entry in self.backlog if index < 0}
        for token in [one for one in self.reading if one not in kept]:
            self.refuse(*self.reading.pop(token)[:2])

    # Members.

    def knock(self) -> None:
        """Who is no member, or knows no leader, says so to all; the leader sees to it."""
        if self.stopped:
            return
        self.deadlines.call_at(self.now() + KNOCK, self.knock)
        if self.core is None:
            return
        config, now = self.core.config, self.now()
        if self.ident not in config.everybody() or not self.core.leader:
            for name in self.wanted:
                if name != self.name:
                    self.mesh.say(name, "knock", (self.ident, bool(config.voters)))
        fresh = {name: one for name, one in self.knocks.items() if now - one[2] < FRESH}
        if not config.voters:
            self.found(fresh)
        step = next_config(self.core, self.wanted, {name: one[0] for name, one in fresh.items()}, now)
        if step is not None and self.core.change(step, now):
            logger.info("group: voters={} learners={}", " ".join(step.voters), " ".join(step.learners) or "-")
            self.act()

    def found(self, fresh: dict[str, tuple[str, bool, int]]) -> None:
        """The first of the file begins the group, once all others have said that they hold nothing: else one
        whose disk was lost would begin a second one."""
        others = [name for name in self.wanted if name != self.name]
        if self.wanted[0] != self.name or any(name not in fresh or fresh[name][1] for name in others):
            return
        voters = (self.ident, *(fresh[name][0] for name in others))
        first = Snapshot(1, 1, Config(voters))
        logger.info("group: begun voters={}", " ".join(voters))
        self.core.receive(self.now(), self.ident, Install(1, first, 0))
        self.act()
        for name in others:
            self.mesh.say(name, "raft", (self.ident, fresh[name][0], Install(1, first, 0)))

    def of_group(self, frm: str) -> bool:
        """Guards the group against a peer that has a key and speaks as if it were a member."""
        if frm not in self.wanted:
            self.mesh.count("no-member", frm)
        return frm in self.wanted

    def heard_knock(self, frm: str, body: Any) -> None:
        if not self.of_group(frm):
            return
        one, begun = msgspec.convert(body, tuple[str, bool])
        if name_of(one) == frm:
            self.knocks[frm] = one, begun, self.now()

    def heard_raft(self, frm: str, body: Any) -> None:
        if not self.of_group(frm):
            return
        sender, to, message = msgspec.convert(body, raft_of)
        if name_of(sender) == frm and to == self.ident and self.core is not None:
            self.guarded(self.core.receive, self.now(), sender, message)
            self.act()

    # Who asks for something.

    def asked(self, frm: str, body: Any, own: bool = False) -> None:
        number, how, what = msgspec.convert(body, ask_of)
        asker = frm, None if own else self.mesh.link
        if self.core is None or self.core.role != LEADER:
            return self.refuse(asker, number)
        who = f"{frm}/{self.mesh.life if own else self.mesh.link.life}"
        data = packed(what)
        fit = how == "look" or (self.machine.knows(what) and what[0] == who and len(data) <= ENTRY)
        if not fit or not self.may(who, *what[-3:]):
            self.mesh.count("not-allowed", frm)
            return self.answer(asker, number, True, None)
        if self.owing.get(frm, 0) >= EACH:
            return self.refuse(asker, number)
        if how == "do":
            made = self.core.propose(data)
            if made is None:
                return self.refuse(asker, number)
            self.waiting[made[0]] = made[1], asker, number
        else:
            self.count += 1
            self.reading[self.count] = asker, number, what
            self.core.read(self.count)
        self.owing[frm] = self.owing.get(frm, 0) + 1
        self.act()

    def propose(self, part: str, name: str, args: list) -> None:
        """Our own, as leader: an entry of our term, or none."""
        self.count += 1
        # By term and number, since no client of that name ever asks twice.
        who = f"{self.ident} {self.core.term}"
        if self.core.propose(packed((who, self.count, part, name, args))) is not None:
            self.act()

    def refuse(self, asker: Asker, number: int) -> None:
        leader = name_of(self.core.leader) if self.core is not None else ""
        self.answer(asker, number, False, leader if leader != self.name else "")

    def closed(self, asker: Asker) -> None:
        """Something that it asked for waits no more."""
        frm = asker[0]
        left = self.owing.pop(frm, 1) - 1
        if left > 0:
            self.owing[frm] = left

    def say_answer(self, asker: Asker, number: int, done: bool, what: Any) -> None:
        """To the very process that asked: in an upgrade two have its name."""
        if asker[1] is not None:
            self.mesh.reply(asker[1], "answer", (number, done, what))

    def state(self) -> dict:
        """For operators."""
        made = {"id": self.ident, "off": self.off}
        if self.core is not None:
            core = self.core
            made |= {
                "role": core.role, "leader": core.leader, "term": core.term, "commit": core.commit,
                "entries": len(core.entries), "voters": core.config.voters, "learners": core.config.learners,
                "writes": self.store.writes, "syncs": self.store.syncs,
                "slowest_sync_ms": round(1000 * self.store.slowest, 1),
            }  # fmt: skip
        return made
