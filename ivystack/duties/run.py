"""Duties in one proxy: the keeper, the fence and each duty, on the mesh and the group.

Owns their timer and what the group's leader tells.  It must never hold a req up, nor act under a duty without
having asked the keeper in the same turn.
"""

from __future__ import annotations

from hashlib import blake2b
from typing import Any

import msgspec
from loguru import logger

from ..consensus.core import LEADER
from ..mesh.mesh import Mesh
from .fence import Fence
from .grantor import Grantor
from .keeper import Keeper
from .leases import KNOWN, Leases
from .order import SlotOrder
from .trials import NAMES, Trials, down_of, word_of

TICK = 100_000  # microseconds
NEWS = 500_000  # between the leader's news where nothing changes
STALE = 3_000_000  # news that are older tell nothing
ORDER, TRIALS = "slot-order", "node-trials"
ASK = 1_000_000  # between words of which nodes are down here, to who looks at them

news_of = tuple[int, int, dict[str, tuple[str, int, int]]]


class Duties:
    def __init__(self, proxy, mesh: Mesh, client, lease: int, drift: float):
        """Microseconds."""
        self.proxy, self.mesh, self.client = proxy, mesh, client
        self.now, self.deadlines = proxy.now, proxy.deadlines
        self.who = f"{mesh.name}/{mesh.life}"
        self.keeper = Keeper(self.who, lease, drift, client.do, client.look, self.lost, self.won)
        self.grantor = Grantor(lease, drift)
        self.fence = Fence()
        self.order = SlotOrder(proxy)
        self.keeper.duty(ORDER, self.order.able)
        self.trials = Trials(proxy)
        self.keeper.duty(TRIALS, self.order.able)
        self.next_ask = 0
        self.member = None
        self.leases: Leases | None = None
        self.rows: dict[str, list] = {}
        self.place = (-1, -1)  # of the news: term and index
        self.heard = -STALE
        self.asking = False  # for the order's value
        self.putting = False
        self.written: bytes | None = None  # the order that the group has, as far as we know
        self.next_news = 0
        self.told: Any = None
        self.stopped = False
        mesh.takers["duty"] = self.hear
        mesh.takers["down"] = self.hear_down
        mesh.takers["looked"] = self.hear_looked

    def with_own(self, member, leases: Leases) -> None:
        """Our own process is a member of the group."""
        self.member, self.leases = member, leases
        member.heirs.append(self.changed)
        member.noted = self.noted
        member.may = self.may

    def start(self) -> None:
        self.tick()

    def tick(self) -> None:
        if self.stopped:
            return
        self.deadlines.call_at(self.now() + TICK, self.tick)
        now = self.now()
        self.lead(now)
        fresh = now - self.heard < STALE
        self.keeper.tick(self.rows if fresh else None, now)
        if fresh:
            self.keep_order(now)
            self.keep_trials(now)

    # The leader's part.

    def lead(self, now: int) -> None:
        core = self.member.core if self.member is not None else None
        if core is None or core.role != LEADER or core.term_at(core.commit) != core.term:
            return
        for duty, token in self.grantor.over(self.leases.rows, core.term, now):
            logger.info("duty: lease over duty={} token={}", duty, token)
            self.member.propose("duty", "free", [duty, token])
        if now >= self.next_news:
            self.tell(now)

    def changed(self) -> None:
        """The agreed state has moved on here: where we lead, all hear of it at once."""
        core = self.member.core
        if core is not None and core.role == LEADER and self.leases.told() != self.told:
            self.tell(self.now())

    def tell(self, now: int) -> None:
        core = self.member.core
        self.next_news = now + NEWS
        self.told = self.leases.told()
        news = core.term, self.member.applied, self.told
        self.take_news(*news)
        for peer in [*self.mesh.peers]:
            self.mesh.say(peer, "duty", news)

    def may(self, who: str, part: Any, name: Any, args: Any) -> bool:
        """Guards duties against a peer that has a key and lies: each process takes, frees and writes in its
        own name alone.  Which token it names is the agreed state's to look at."""
        if part != "duty" or name == "value":
            return True
        if not isinstance(args, list) or len(args) < 2:
            return False
        if name == "take":
            return args[1] == who
        row = self.leases.rows.get(args[0]) if isinstance(args[0], str) else None
        return row is not None and row.holder == who

    def noted(self, part: str, name: str, args: list, answer: Any) -> None:
        """A look that the leader answered, after a majority has confirmed that it leads."""
        if part == "duty" and name == "renew" and answer is True:
            self.grantor.renewed(args[0], args[1], self.now())

    # What the leader tells.

    def hear(self, frm: str, body: Any) -> None:
        if frm not in self.mesh.members:
            return self.mesh.count("no-member", frm)
        term, index, rows = msgspec.convert(body, news_of)
        if {*rows} <= {*KNOWN}:
            self.take_news(term, index, {duty: [*row] for duty, row in rows.items()})

    def take_news(self, term: int, index: int, rows: dict[str, list]) -> None:
        if (term, index) < self.place and self.now() - self.heard < 10 * STALE:
            return  # of a leader that is none any more; after so long it is another group, begun anew
        self.place, self.rows, self.heard = (term, index), rows, self.now()
        for duty, row in rows.items():
            self.fence.told(duty, row[1])

    # Holding.

    def won(self, duty: str, token: int) -> None:
        logger.info("duty: held duty={} token={}", duty, token)

    def lost(self, duty: str, token: int, code: str) -> None:
        logger.info("duty: let go duty={} token={} code={}", duty, token, code)

    # The slot order.

    def keep_order(self, now: int) -> None:
        row = self.rows.get(ORDER)
        if row is None or self.asking:
            return
        if row[2] > self.order.version:  # who holds it takes up what was before, too
            self.asking = self.client.look("duty", "value", [ORDER], self.value, 2_000_000)
        elif self.keeper.held(ORDER, now) and not self.putting and self.order.own():
            self.write_order(now)

    def write_order(self, now: int) -> None:
        own = self.order.own()
        if own == self.written:
            return
        token = self.keeper.held(ORDER, self.now())  # right before the act

        def put(good: bool, what) -> None:
            self.putting = False
            if good and what and what[0]:
                self.written, self.order.version = own, max(self.order.version, what[1])
                logger.info("duty: act done duty={} token={} version={}", ORDER, token, what[1])
            elif good:
                logger.info("duty: act refused duty={} token={}", ORDER, token)

        self.putting = bool(token) and self.client.do("duty", "put", [ORDER, token, own], put, 2_000_000)

    def value(self, good: bool, what: Any) -> None:
        self.asking = False
        if not good or not what:
            return
        version, token, order = what
        if version <= self.order.version or not self.fence.admits(ORDER, token):
            return
        self.order.said(token, version, self.order.take(order))
        self.order.version, self.written = version, order

    # Trials of nodes that are down.

    def keep_trials(self, now: int) -> None:
        token = self.keeper.held(TRIALS, now)
        if token:
            self.trials.look(now, lambda: self.keeper.held(TRIALS, self.now()) == token)
            word = self.trials.tell()
            if word and self.keeper.held(TRIALS, self.now()) == token:
                self.pass_on(None, token, word)
        elif now >= self.next_ask and (down := self.trials.down()):
            self.next_ask = now + ASK
            self.ask_for(down)

    def ask_for(self, down: list[str]) -> None:
        """Who looks hears of it by a link, or by the members, who have one to everybody."""
        holder = self.rows.get(TRIALS, [""])[0].rpartition("/")[0]
        if holder and not self.mesh.say(holder, "down", down):
            for peer in self.mesh.members:
                self.mesh.say(peer, "down", down)

    def hear_down(self, frm: str, body: Any) -> None:
        names = msgspec.convert(body, down_of)
        if self.keeper.held(TRIALS, self.now()):
            self.trials.want(names, self.now())
        elif self.member is not None and frm not in self.mesh.members:
            self.mesh.say(self.rows.get(TRIALS, [""])[0].rpartition("/")[0], "down", names[:NAMES])

    def pass_on(self, frm: str | None, token: int, word: dict[str, bool]) -> None:
        """The holder's word: here, to all that have a link to us; a member passes it to those it did not come
        from, who are no members: those have heard it from the holder or from a member."""
        self.trials.said(token, word)
        self.trials.take(word, self.now())
        for peer in [*self.mesh.peers]:
            if peer != frm and (frm is None or peer not in self.mesh.members):
                self.mesh.say(peer, "looked", (token, word))

    def hear_looked(self, frm: str, body: Any) -> None:
        """Only of the holder, or passed on by a member; and only under the token that the group tells."""
        token, word = msgspec.convert(body, word_of)
        holder = self.rows.get(TRIALS, [""])[0].rpartition("/")[0]
        if frm != holder and frm not in self.mesh.members:
            return self.mesh.count("not-allowed", frm)
        if len(word) > NAMES or not self.fence.admits(TRIALS, token):
            return
        if self.member is not None and frm == holder and holder not in self.mesh.members:
            return self.pass_on(frm, token, word)  # it has links to us members alone
        self.trials.take(word, self.now())

    # End, and for operators.

    def hand_on(self) -> None:
        self.keeper.hand_on(self.now())

    def stop(self) -> None:
        self.stopped = True

    def state(self) -> dict:
        now = self.now()
        return {
            "who": self.who, "fresh": now - self.heard < STALE, "rows": self.rows,
            "held": {duty: token for duty in self.keeper.hands if (token := self.keeper.held(duty, now))},
            "trials": self.trials.state(),
            "order": blake2b(self.order.own(), digest_size=6).hexdigest(), "version": self.order.version,
        }  # fmt: skip
