"""`node-trials`: one proxy looks whether nodes that are down can be reached, and tells the others.

Owns whom the holder looks at and when, and what a word of it does here.  It must never take a node out, send
it a request or call it well: a node's own answers alone do that (Health).  A word only spaces this proxy's
own
trials of a node that it holds down itself, and for no longer than MOST after one was due.  No request waits.
"""

from __future__ import annotations

from collections.abc import Callable

from loguru import logger
from twisted.internet.protocol import ClientFactory

from ..model import ServerState
from ..net.resp import RespProtocol, encode_command

EVERY = 500_000  # microseconds to the second look at a node, as to its first trial; doubled twice
WAIT = 400_000  # for a connection and its answer: a node that takes longer is in no state to be tried
HOLD = 4_500_000  # so long a word spaces own trials: two of the longest spans between looks, one may be lost
MOST = 30_000_000  # in all: what a holder that lies or errs can cost a node that is back
NAMES = 64  # nodes in one message, and asked for by one proxy
WANTED = 2_000_000  # so long a proxy's word that a node is down there counts
AT_ONCE = 32  # looks

down_of = list[str]  # nodes that are down here
word_of = tuple[int, dict[str, bool]]  # token; whether each node was reached


class Look(RespProtocol):
    """One connection to a node, a PING on it; nothing else is ever written there."""

    def __init__(self, done: Callable[[bool], None]):
        super().__init__()
        self.done = done

    def connectionMade(self) -> None:  # noqa: N802
        self.transport.write(encode_command(b"PING"))

    def value_received(self, value) -> None:
        self.done(value == "+PONG")
        self.transport.loseConnection()

    def fail_protocol(self, why: str) -> None:
        self.done(False)
        self.transport.loseConnection()

    def connectionLost(self, reason=None) -> None:  # noqa: N802
        self.done(False)


class Looking(ClientFactory):
    noisy = False

    def __init__(self, done: Callable[[bool], None]):
        self.done = done

    def buildProtocol(self, addr) -> Look:  # noqa: N802
        return Look(self.done)

    def clientConnectionFailed(self, connector, reason) -> None:  # noqa: N802
        self.done(False)


class Trials:
    def __init__(self, proxy):
        self.proxy = proxy
        self.wanted: dict[str, int] = {}  # down at others, and until when that counts
        self.looked: dict[str, tuple[int, int]] = {}  # how often the holder has looked, and when next
        self.looking: set[str] = set()
        self.found: dict[str, bool] = {}  # not told yet
        # Nodes whose own trial is spaced: which trial of theirs it is, and when it was due.
        self.since: dict[str, tuple[int, int]] = {}
        self.looks = self.spaced = 0  # for operators

    def down(self) -> list[str]:
        """Nodes on our list that we hold down ourselves."""
        balancer = self.proxy.balancer
        found = [
            n.name
            for n in balancer.servers.values()
            if n.state == ServerState.READY and not balancer.health.up(n.health)
        ]
        return found[:NAMES]

    def want(self, names: down_of, now: int) -> None:
        """Another proxy holds these down.  Names that our list lacks are not kept: a liar's have no end."""
        for name in names[:NAMES]:
            if name in self.proxy.balancer.servers:
                self.wanted[name] = now + WANTED

    def look(self, now: int, held: Callable[[], bool]) -> None:
        """The holder's round; `held` is asked right before each look."""
        balancer, pools = self.proxy.balancer, self.proxy.server_pools.pools
        self.wanted = {name: until for name, until in self.wanted.items() if until > now}
        self.looked = {name: one for name, one in self.looked.items() if now - one[1] < WANTED}
        for name in dict.fromkeys([*self.down(), *self.wanted]):
            node, pool = balancer.servers.get(name), pools.get(name)
            # Nothing goes to a node that drains or has left, not even a look.
            if (
                node is None
                or pool is None
                or node.state != ServerState.READY
                or len(self.looking) >= AT_ONCE
            ):
                continue
            count, next_at = self.looked.get(name, (0, now))
            if name in self.looking or now < next_at or not held():
                continue
            self.looked[name] = count + 1, now + (EVERY << min(count, 2))
            self.looks += 1
            self.one(name, pool.address)

    def one(self, name: str, address: tuple[str, int]) -> None:
        self.looking.add(name)
        open_ = [True]

        def done(reached: bool) -> None:
            if open_:
                open_.clear()
                self.looking.discard(name)
                self.found[name] = reached

        def late() -> None:
            done(False)
            connector.disconnect()

        self.proxy.deadlines.call_at(self.proxy.now() + WAIT, late)
        connector = self.proxy.reactor.connectTCP(*address, Looking(done), timeout=WAIT / 1e6)

    def tell(self) -> dict[str, bool]:
        """What has been found since this was asked last, so many at a time."""
        names = [*self.found][:NAMES]
        return {name: self.found.pop(name) for name in names}

    def take(self, word: dict[str, bool], now: int) -> None:
        """A word of the holder.  One that was not reached is tried by ourselves a little later."""
        balancer = self.proxy.balancer
        still = {node.name for node in balancer.servers.values() if not balancer.health.up(node.health)}
        self.since = {name: at for name, at in self.since.items() if name in still}
        for name, reached in word.items():
            node = balancer.servers.get(name)
            if node is None or balancer.health.up(node.health):
                continue
            if reached:  # our own trial goes on as it would by itself
                if self.since.pop(name, None) is not None:
                    node.health.next_probe_at = min(node.health.next_probe_at, now)
                continue
            if name not in self.since or self.since[name][0] != node.health.probes:
                self.since[name] = node.health.probes, node.health.next_probe_at
            until = min(now + HOLD, self.since[name][1] + MOST)
            if until > node.health.next_probe_at:
                node.health.next_probe_at = until
                self.spaced += 1

    def state(self) -> dict:
        return {"looks": self.looks, "spaced": self.spaced, "down": self.down()}

    def said(self, token: int, word: dict[str, bool]) -> None:
        silent = [name for name, reached in word.items() if not reached]
        logger.debug("duty: looked token={} reached={} not={}", token, len(word) - len(silent), len(silent))
