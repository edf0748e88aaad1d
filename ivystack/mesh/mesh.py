"""All links of one proxy to others.

Owns the listener, the links that are to last, and who is told of what comes.  It must never wait for a peer,
or let one that is slow, silent or strange take more than its bounds.
"""

from __future__ import annotations

import secrets
from collections.abc import Callable
from random import Random
from typing import Any

import msgspec
from loguru import logger
from twisted.internet.error import CannotListenError
from twisted.internet.protocol import ClientFactory, ServerFactory

from ..net.deadlines import Deadline
from .keys import Keys
from .link import MESSAGE, Link

CONNECT = 2  # seconds for a connection to come up
AGAIN = 100_000, 3_000_000  # microseconds before a link is opened again: doubled, half of it by chance
PERIOD = 10_000_000  # of a line about what was dropped
LET_GO = 200_000  # before a listening address that is taken is tried again


class Called(ServerFactory):
    noisy = False

    def __init__(self, mesh: Mesh):
        self.mesh = mesh

    def buildProtocol(self, addr):  # noqa: N802
        mesh = self.mesh
        if len(mesh.open) >= mesh.most or mesh.stopped:
            mesh.count("no-room", addr.host)
            return None
        return Link(mesh, None)


class Calling(ClientFactory):
    noisy = False

    def __init__(self, mesh: Mesh, peer: str):
        self.mesh, self.peer = mesh, peer

    def buildProtocol(self, addr):  # noqa: N802
        return Link(self.mesh, self.peer)

    def clientConnectionFailed(self, connector, reason) -> None:  # noqa: N802
        self.mesh.failed(self.peer)


class Mesh:
    YOUNG = 32  # connections of callers that have not proved yet who they are; or an eighth of all
    # Ends that strangers can bring about at will: counted, one line a period for all of them.
    QUIET = frozenset(["no-greeting", "bad-key", "bad-digest", "not-its-address", "peer-closed", "peer-reset",
                       "unreadable", "too-long", "no-room"])  # fmt: skip

    def __init__(
        self, reactor, deadlines, now, rng: Random, name: str, keys: Keys, most: int,
        members: dict[str, tuple[str, int]], listen: tuple[str, int] | None, bind: str | None = None,
    ):  # fmt: skip
        """`most` connections at once; `members` are those that links are kept to, by name; `listen` is where
        we are called (None: nowhere); `bind` the address that our calls come from."""
        self.reactor, self.deadlines, self.now, self.rng = reactor, deadlines, now, rng
        self.name, self.keys, self.listen, self.bind = name, keys, listen, bind
        self.life = secrets.token_hex(8)
        self.members, self.most = members, most
        self.open: dict[Link, None] = {}
        self.young: dict[Link, None] = {}  # called by who has proved nothing yet; oldest first
        self.peers: dict[str, list[Link]] = {}  # links that are up, the one to write on last
        self.calling: set[str] = set()
        self.failures: dict[str, int] = {}
        self.takers: dict[str, Callable[[str, Any], None]] = {}  # by a message's kind
        self.counts: dict[str, int] = {}  # what was dropped, since the last line about it
        self.total: dict[str, int] = {}
        self.next_line: Deadline | None = None
        self.port = None
        self.refused = False  # our listening address could not be had
        self.link: Link | None = None  # whose message is being taken
        self.stopped = False

    # Start and end.

    def start(self) -> None:
        self.answer()
        for peer in self.members:
            if peer != self.name:
                self.call(peer)

    def answer(self) -> None:
        if self.listen is None or self.stopped:
            return
        try:
            self.port = self.reactor.listenTCP(self.listen[1], Called(self), 1024, self.listen[0])
        except CannotListenError as fault:
            # In an upgrade the old process has it until it ends; members call it meanwhile.
            if not self.refused:
                logger.warning("mesh: {}; tried again until it can", fault)
            self.refused = True
            self.deadlines.call_at(self.now() + LET_GO, self.answer)

    def stop(self) -> None:
        self.stopped = True
        port, self.port = self.port, None
        if port is not None:
            port.stopListening()
        for link in [*self.open]:
            link.end()

    def keep_to(self, members: dict[str, tuple[str, int]]) -> None:
        """Links are kept to these from now on; what is open to others stays until it ends."""
        former, self.members = self.members, members
        for peer, address in members.items():
            if peer != self.name and former.get(peer) != address:
                self.call(peer)
        if self.listen is None and self.name in members:
            self.listen = members[self.name]
            self.answer()

    def call(self, peer: str) -> None:
        if self.stopped or peer in self.calling or peer not in self.members:
            return
        self.calling.add(peer)
        source = (self.bind, 0) if self.bind else None
        self.reactor.connectTCP(*self.members[peer], Calling(self, peer), timeout=CONNECT, bindAddress=source)

    def failed(self, peer: str) -> None:
        """It could not be reached, or its link has ended: again later, spread, lest many do in step."""
        self.calling.discard(peer)
        failures = self.failures[peer] = self.failures.get(peer, 0) + 1
        rest = min(AGAIN[1], AGAIN[0] << min(failures - 1, 10))
        self.deadlines.call_at(self.now() + int(rest * (0.5 + self.rng.random() / 2)), self.call, peer)

    # Links.

    def came(self, link: Link) -> None:
        self.open[link] = None
        if not link.dialed:
            # Guards the others against a stranger who only connects: the oldest of such makes way.
            self.young[link] = None
            if len(self.young) > max(self.YOUNG, self.most // 8):
                oldest = next(iter(self.young))
                self.wrong(oldest, "no-room")

    def is_up(self, link: Link) -> None:
        self.young.pop(link, None)
        links = self.peers.setdefault(link.peer, [])
        links.append(link)
        if link.dialed:
            self.failures[link.peer] = 0
        if len(links) == 1:
            logger.info("mesh up peer={} key={}", link.peer, link.key)

    def went(self, link: Link) -> None:
        self.open.pop(link, None)
        self.young.pop(link, None)
        links = self.peers.get(link.peer, [])
        if link in links:
            links.remove(link)
            if not links:
                del self.peers[link.peer]
        if link.dialed:
            self.failed(link.peer)

    def may_be(self, name: str, host: str) -> bool:
        """A member's name is taken from its own address alone."""
        return name not in self.members or self.members[name][0] == host

    # Messages.

    def say(self, peer: str, kind: str, body: Any) -> bool:
        """Whether there is a link to say it on.  It may be lost all the same.  Each process of
        that name gets it."""
        links = self.peers.get(peer)
        if not links:
            return False
        text = msgspec.msgpack.encode((kind, body))
        if len(text) > MESSAGE:
            self.count("too-long-to-say", peer)
            return False
        for link in {link.life: link for link in links}.values():  # in an upgrade two processes have the name
            link.put(text)
        return True

    def reply(self, link: Link, kind: str, body: Any) -> None:
        """To the very process that a message came from."""
        if link.code is None and link in self.open:
            link.write(kind, body)

    def heard(self, link: Link, kind: str, body: Any) -> None:
        taker = self.takers.get(kind)
        if taker is None:
            return self.count("unknown-kind", link.peer)
        self.link = link  # for a taker that replies
        try:
            taker(link.peer, body)
        except msgspec.ValidationError:  # nothing of ours, or of another version
            self.count("unreadable", link.peer)
            link.drop("unreadable")
        except Exception:  # guards the proxy against whatever a peer may say
            logger.exception("mesh: a message of kind {} from {} could not be taken", kind, link.peer)
            link.drop("unusable")

    # What is dropped.

    def wrong(self, link: Link, code: str) -> None:
        self.count(code, link.transport.getPeer().host)
        link.drop(code)

    def dropped(self, link: Link) -> None:
        self.count("queue-full", link.peer)

    def count(self, code: str, who: str) -> None:
        """Guards the log: one line a period, however many come."""
        self.counts[code] = self.counts.get(code, 0) + 1
        self.total[code] = self.total.get(code, 0) + 1
        if self.next_line is None:
            logger.warning("mesh: dropped code={} from={}", code, who)
            self.counts.clear()
            self.next_line = self.deadlines.call_at(self.now() + PERIOD, self.line)

    def line(self) -> None:
        self.next_line = None
        if self.counts:
            words = " ".join(f"{code}={count}" for code, count in sorted(self.counts.items()))
            logger.warning("mesh: dropped since the last line: {}", words)
            self.counts.clear()
            self.next_line = self.deadlines.call_at(self.now() + PERIOD, self.line)

    def state(self) -> dict:
        """For operators."""
        return {
            "life": self.life, "connections": len(self.open), "dropped": self.total, "peers": {
                peer: {"key": links[-1].key, "queued": links[-1].size} for peer, links in self.peers.items()
            },
        }  # fmt: skip
