"""Asks the consensus group of a run for things, as a proxy would, and keeps the history.

Owns the rig's own link to the members.  It must never count an operation as not done that was not answered.
"""

from __future__ import annotations

from math import inf
from random import Random

from twisted.internet import defer

from ..consensus.client import Client
from ..mesh.keys import KeyRing
from ..mesh.mesh import Mesh
from ..net.deadlines import DeadlineQueue
from .linear import Op

NAME, LIAR = "rig", "liar"  # the second one has links while it lies alone
WITHIN = 3_000_000  # microseconds for an answer
LINKS = 32
OPEN = 8  # operations at once: a history with more takes long to judge


class Agreeing:
    def __init__(
        self, reactor, now, rng: Random, keys: KeyRing, members: dict[str, tuple[str, int]], bind: str,
        rate: float, count: int,
    ):  # fmt: skip
        self.reactor, self.now, self.rng, self.rate, self.count = reactor, now, rng, rate, count
        deadlines = DeadlineQueue(reactor, now)
        self.mesh, self.liar = (
            Mesh(reactor, deadlines, now, rng, name, keys, LINKS, members, None, bind)
            for name in (NAME, LIAR)
        )
        self.client = Client(deadlines, now, rng, self.mesh, [*members])
        self.history: list[tuple[str, Op]] = []
        self.known: dict[str, int] = {}  # versions as last seen
        self.open: dict[int, tuple[str, int, tuple]] = {}
        self.number = 0
        self.done = False
        self.holder = self.trier = ""  # of slot-order and node-trials, as the group's leader tells
        self.mesh.handlers["duty"] = self.hear
        self.mesh.start()

    def hear(self, frm: str, body) -> None:
        rows = body[2]
        self.holder, self.trier = (
            rows.get(duty, [""])[0].rpartition("/")[0] for duty in ("slot-order", "node-trials")
        )

    def members(self, members: dict[str, tuple[str, int]]) -> None:
        self.mesh.set_members(members)
        self.client.members = [*members]

    def led(self) -> defer.Deferred:
        """Whether the group answers by now."""
        done: defer.Deferred = defer.Deferred()
        self.client.query("table", "get", ["a"], lambda good, what: done.callback(good), 1_000_000)
        return done

    def start(self) -> None:
        if self.rate and not self.done:
            self.ask()
            self.reactor.callLater(self.rng.expovariate(self.rate), self.start)

    def ask(self) -> None:
        if len(self.open) >= OPEN:
            return
        self.number += 1
        number, key = self.number, f"k{self.rng.randrange(self.count)}"
        if self.rng.random() < 0.4:
            args: tuple = ("get",)
            call = self.client.query
            asked = [key]
        else:
            wanted = self.known.get(key, 0) if self.rng.random() < 0.5 else None
            args = ("set", b"%d" % number, wanted)
            call = self.client.execute
            asked = [key, args[1], wanted]
        self.open[number] = key, self.now(), args

        def done(good: bool, what) -> None:
            key, called, args = self.open.pop(number)
            if good and what:
                self.known[key] = what[1]
            self.history.append((key, Op(called, self.now() if good else inf, args, what if good else None)))

        call("table", args[0], asked, done, WITHIN)

    lies = False

    def lie(self) -> None:
        """A peer with a valid key that lies, hundreds of times a second: claims duties in others' names,
        tokens far ahead, news and votes as if it were a member, an order of no real node, whatever else."""
        if not self.lies or self.done:
            return self.liar.stop()
        self.reactor.callLater(0.01, self.lie)
        rng, ahead = self.rng, 1 << 40
        new = rng.randrange(1 << 20, ahead)
        victim, me = self.holder or "p0", f"{LIAR}/{self.liar.incarnation}"
        asks = [
            ("do", [me, new, "duty", "take", ["slot-order", f"{victim}/false"]]),
            ("do", [me, new, "duty", "free", ["slot-order", rng.randrange(5)]]),
            ("do", [me, new, "duty", "put", ["slot-order", ahead, b"xyzuvw"]]),
            ("do", [me, new, "duty", "take", ["all", me]]),
            ("do", [me, new, "table", "set", ["k", bytes(200_000), None]]),
            ("do", [f"{LIAR}/{new}", new, "table", "set", ["k", b"", None]]),
            ("do", [f"{victim}/1", 1, "table", "set", ["k", b"", None]]),
            ("look", ["duty", "renew", ["slot-order", 1, f"{victim}/false", 0]]),
            ("do", [me, new, "nothing", "set", []]),
            ("do", [me, "one", None, 5, {}]),
        ]
        send = self.liar.send
        for peer in [*self.liar.peers]:
            send(peer, "duty", (ahead, ahead, {"slot-order": [me, ahead, ahead]}))
            send(peer, "knock", (f"{peer}/ffffffff", True))
            send(peer, "raft", (f"{victim}/0", f"{peer}/0", ["v", ahead, ahead, ahead, False, True]))
            send(peer, "ask", (rng.randrange(1 << 40), *rng.choice(asks)))

    def rest(self) -> None:
        """Asks nothing more."""
        self.done = True

    def stop(self) -> None:
        """What has no answer yet may have been done."""
        self.done = True
        for key, called, args in self.open.values():
            self.history.append((key, Op(called, inf, args)))
        self.open = {}
        self.mesh.stop()
