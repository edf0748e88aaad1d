"""Clients that send each req when it is due, whatever became of those before, and try again as clients do.

Owns the connections to proxies and the record of each try.  It must never send less because answers are slow,
or try a non-retryable req again that may have run.
"""

from __future__ import annotations

from collections import deque
from dataclasses import dataclass, field
from random import Random

from hdrh.histogram import HdrHistogram
from twisted.internet.protocol import ClientFactory

from ..net.resp import MAX_VALUE, RespProtocol, encode_command
from .arrivals import Arrival

SERVED, REJECTED, FAILED, CONNECTION_LOST, TIMED_OUT, UNSENT = (
    "served",
    "nacked",
    "failed",
    "lost",
    "never",
    "unsent",
)
CLIENT_LEFT = "left"


@dataclass(frozen=True, slots=True)
class LoadClass:
    """What the load knows of a method.  Times are microseconds."""

    name: str
    write: bool = False
    retryable: bool = True  # it may be tried again though it may have run
    sends_idempotency_key: bool = False  # its writes carry a mark
    latency_budget: int = 500_000  # an answer beyond it is late
    timeout: int = 900_000  # for the answer to one try


@dataclass(eq=False, slots=True)
class ClientAttempt:
    """One command that was written to a proxy's connection."""

    number: int  # of the req, common to its tries
    ident: bytes
    request_class: str
    idempotency_key: bytes
    proxy: str
    at: int
    deadline: int  # when its answer is due
    answers: list[tuple[int, str, bytes]] = field(default_factory=list)  # when, which, what
    connection_lost_at: int | None = None  # its connection ended then, and nothing had come
    maybe_unread: bool = False  # on a kept connection that ended, it may be before it was read
    client_left_at: int | None = None  # its client went away then, and nothing had come


@dataclass(eq=False, slots=True)
class ClientRequest:
    """One req of the load, with all its tries."""

    number: int
    arrival: Arrival
    due: int
    request_class: LoadClass
    idempotency_key: bytes
    attempts: list[ClientAttempt] = field(default_factory=list)
    hops: int = 0  # proxies that could not be reached
    outcome: str = UNSENT
    ended: int = 0
    lag: int = 0  # how much later than due it was sent


class Link(RespProtocol):
    """A connection to a proxy, one command at a time."""

    max_value_size = MAX_VALUE

    def __init__(self, clients: Clients, proxy: str):
        super().__init__()
        self.clients, self.proxy = clients, proxy
        self.asked: ClientRequest | None = None
        self.last: ClientAttempt | None = None
        self.sent = 0
        self.here: tuple[str, int] | None = None  # our side's address

    def connectionMade(self) -> None:  # noqa: N802
        self.transport.setTcpNoDelay(True)
        here = self.transport.getHost()
        self.here = here.host, here.port
        self.clients.up(self)

    def value_received(self, value) -> None:
        self.clients.answered(self, value)

    def fail_protocol(self, why: str) -> None:
        self.clients.answered(self, "!" + why)
        self.abort(why)

    def connectionLost(self, reason) -> None:  # noqa: N802
        self.clients.lost(self)


class Opening(ClientFactory):
    noisy = False

    def __init__(self, clients: Clients, proxy: str, asked: ClientRequest):
        self.clients, self.proxy, self.asked = clients, proxy, asked

    def buildProtocol(self, addr):  # noqa: N802
        link = Link(self.clients, self.proxy)
        link.asked = self.asked
        return link

    def clientConnectionFailed(self, connector, reason) -> None:  # noqa: N802
        self.clients.unreached(self.asked, self.proxy)


class Clients:
    TRIES, HOPS = 4, 3
    PATIENCE = 2_500_000  # after the req was due nobody tries again
    AGAIN = 50_000  # before a failed one that may be repeated
    SPAN = 60_000_000  # the histogram's, in microseconds

    def __init__(
        self, reactor, now, rng: Random, places: dict[str, tuple[str, int]], classes: list[LoadClass],
        refused: set | None = None, oldest_first: bool = False,
    ):  # fmt: skip
        """`places` are the proxies' addresses as clients reach them, in the order that arrivals number.
        `refused` holds our side's address of each connection that only a relay has accepted.  Of resting
        connections the one used last is used next, or with `oldest_first` the one that has rested longest."""
        self.reactor, self.now, self.rng = reactor, now, rng
        self.places, self.names = places, [*places]
        self.classes = {one.name: one for one in classes}
        self.refused = refused if refused is not None else set()
        self.oldest_first = oldest_first
        self.idle: dict[str, deque[Link]] = {name: deque() for name in places}
        self.busy: dict[Link, None] = {}
        self.requests: list[ClientRequest] = []
        self.attempts: list[ClientAttempt] = []
        self.count = 0
        self.lag = 0  # the greatest: how far the generator itself fell behind
        self.shut = False
        self.times = HdrHistogram(1, self.SPAN, 3)  # of what was served, from when it was due

    # Sending.

    def play(self, arrivals: list[Arrival]) -> None:
        start = self.now()
        for number, one in enumerate(arrivals):
            method = self.classes[one.request_class]
            mark = b"m%08d" % number if method.sends_idempotency_key else b""
            self.requests.append(ClientRequest(number, one, start + one.at, method, mark))
        self.coming = deque(self.requests)
        self.next()

    def next(self) -> None:
        while self.coming and self.coming[0].due <= self.now():
            asked = self.coming.popleft()
            asked.lag = self.now() - asked.due
            self.lag = max(self.lag, asked.lag)
            self.send(asked, self.names[asked.arrival.client % len(self.names)])
        if self.coming:
            self.reactor.callLater(max(0, self.coming[0].due - self.now()) / 1e6, self.next)

    def send(self, asked: ClientRequest, proxy: str, fresh: bool = False) -> None:
        idle = self.idle[proxy]
        if idle and not fresh:
            return self.write(idle.popleft() if self.oldest_first else idle.pop(), asked)
        host, port = self.places[proxy]
        self.reactor.connectTCP(host, port, Opening(self, proxy, asked), timeout=0.5)

    def up(self, link: Link) -> None:
        self.write(link, link.asked)

    def write(self, link: Link, asked: ClientRequest) -> None:
        method, now = asked.request_class, self.now()
        self.count += 1
        ident = b"%012x" % self.count
        made = ClientAttempt(
            asked.number, ident, method.name, asked.idempotency_key, link.proxy, now, now + method.timeout
        )
        asked.attempts.append(made)
        self.attempts.append(made)
        link.asked, link.last = asked, made
        self.busy[link] = None
        link.sent += 1
        fields = b"c=%b,d=%d" % (method.name.encode(), method.timeout // 1000)
        fields += b",k=%b" % asked.idempotency_key if asked.idempotency_key else b""
        fields += b",r=1" if len(asked.attempts) > 1 else b""
        parts = [b"OBJ.SET" if method.write else b"OBJ.GET", asked.arrival.key, ident, fields]
        link.transport.write(encode_command(*parts, *([b"value of " + ident] if method.write else [])))
        self.reactor.callLater((method.timeout + 1_000_000) / 1e6, self.waited, link, made)

    # What comes of it.

    def answered(self, link: Link, value) -> None:
        kind = FAILED
        if isinstance(value, bytes) or isinstance(value, list) and value and isinstance(value[0], bytes):
            kind = SERVED
        elif isinstance(value, str) and value.split(" ")[0] == "-BUSY":
            kind = REJECTED
        text = value if isinstance(value, bytes) else str(value).encode()
        asked, made = link.asked, link.last
        if made is not None:
            made.answers.append((self.now(), kind, text))
        if asked is None:  # something came that nothing was owed for: the record has it
            return
        link.asked = None
        self.busy.pop(link, None)
        if not self.shut:
            self.idle[link.proxy].append(link)
        self.concluded(asked, made, kind, text)

    def waited(self, link: Link, made: ClientAttempt) -> None:
        """A second beyond its time: nobody waits any more."""
        if link.last is made and link.asked is not None:
            asked, link.asked = link.asked, None
            self.busy.pop(link, None)
            link.transport.abortConnection()
            self.concluded(asked, made, TIMED_OUT, b"")

    def disconnect(self, proxies: list[str], part: float) -> None:
        """So many of those that wait for an answer go away, half of them with a reset; none asks again."""
        for link in [link for link in self.busy if link.proxy in proxies and self.rng.random() < part]:
            asked, link.asked = link.asked, None
            del self.busy[link]
            link.last.client_left_at = asked.ended = self.now()
            asked.outcome = CLIENT_LEFT
            if self.rng.random() < 0.5:
                link.transport.abortConnection()
            else:
                link.transport.loseConnection()

    def lost(self, link: Link) -> None:
        if link in self.idle[link.proxy]:
            self.idle[link.proxy].remove(link)
        self.busy.pop(link, None)
        asked, made, link.asked = link.asked, link.last, None
        if asked is None or made is None:
            return
        if link.here in self.refused:
            self.refused.discard(link.here)
            asked.attempts.remove(made)
            self.attempts.remove(made)
            return self.unreached(asked, link.proxy)
        made.connection_lost_at = self.now()
        if link.sent > 1 and not any(one.maybe_unread for one in asked.attempts):
            made.maybe_unread = True
            # A killed proxy's end looks the same, and then it may have run: such a one is let be.
            if asked.request_class.retryable:
                return self.send(asked, link.proxy, True)
        self.concluded(asked, made, CONNECTION_LOST, b"")

    def unreached(self, asked: ClientRequest, proxy: str) -> None:
        """No connection came up: the next proxy is asked, as a front would do."""
        asked.hops += 1
        if asked.hops > self.HOPS or self.now() - asked.due > self.PATIENCE:
            asked.ended = self.now()
            return
        at = (self.names.index(proxy) + self.rng.randrange(1, len(self.names) + 1)) % len(self.names)
        self.send(asked, self.names[at])

    def concluded(self, asked: ClientRequest, made: ClientAttempt, kind: str, text: bytes) -> None:
        now = self.now()
        asked.outcome, asked.ended = kind, now
        if kind == SERVED:
            self.times.record_value(max(1, min(now - asked.due, self.SPAN)))
            return
        again = kind == REJECTED or asked.request_class.retryable
        if not again or len(asked.attempts) >= self.TRIES or now - asked.due > self.PATIENCE:
            return
        rest = self.AGAIN
        if kind == REJECTED and text[6:].isdigit():
            rest = 1000 * int(text[6:])
        rest = int(rest * (1 + self.rng.random()))
        at = made.proxy if kind == REJECTED else self.rng.choice(self.names)
        self.reactor.callLater(rest / 1e6, self.send, asked, at)

    def close(self) -> None:
        self.shut = True
        for links in self.idle.values():
            for link in [*links]:
                link.transport.loseConnection()


def in_time(asked: ClientRequest) -> bool:
    return asked.outcome == SERVED and asked.ended - asked.due <= asked.request_class.latency_budget
