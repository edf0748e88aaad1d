"""Connections to cache nodes: reuse, opening, giving up, and what each ending of an attempt proves.

Owns every connection to a node and the attempts on them or waiting for one.  It must never choose a node,
repeat an attempt, or call one unsent whose bytes were handed to an open connection.
"""

from __future__ import annotations

from collections import OrderedDict, deque

from loguru import logger
from twisted.internet.error import ConnectBindError
from twisted.internet.protocol import ClientFactory

from ..model import Attempt, Idempotency, Outcome
from . import tables
from .resp import MAX_BUFFERED_VALUE, MAX_VALUE, RespProtocol, StreamedValue, disable_nagle
from .streams import MIN_WINDOW, RequestStream, ResponseStream
from .trace import trace


class Sending:
    """One attempt on its way: it waits at a place for a connection, or is out on a link, or has ended."""

    __slots__ = ("attempt", "frame", "upload", "link", "place", "until", "last_byte", "over", "report", "hit")

    def __init__(self, attempt: Attempt, frame, upload: RequestStream | None = None):
        self.attempt, self.frame, self.upload = attempt, frame, upload
        self.link: Link | None = None
        self.place: Place | None = None
        self.until: list[list] = []  # its deadlines
        self.last_byte = 0  # its place among all bytes written to its link
        self.over = False
        self.report: bytes | None = None  # the node's load, as it came with the answer
        self.hit = False  # the node told that it had the value

    def partial(self) -> bool:
        """Its last byte has not gone out: the node can't have begun it."""
        if self.link is None:
            return False
        return (self.upload is not None and not self.upload.sent) or self.last_byte > self.link.gone_out()


class Place:
    """A node's address and what we have there."""

    def __init__(self, name: str, address: tuple[str, int]):
        self.name, self.address = name, address
        self.ready = True  # as listed
        self.broke = 0  # connections in a row that ended under an attempt
        # The one used longest ago is the next one used: an end that crosses an attempt mostly comes right
        # after an answer, and all stay in use.
        self.idle: deque[Link] = deque()
        self.waiting: deque[Sending] = deque()
        self.links: dict[Link, None] = {}
        self.opening: dict[Link, object] = {}  # with the connector of each


class Link(RespProtocol):
    """A connection to a node; answers come in the order of the attempts on it."""

    max_value_size = MAX_VALUE
    first_array_index = 2  # the load report; the value and how it went are none

    def __init__(self, nodes: Nodes, place: Place):
        super().__init__()
        self.nodes, self.place = nodes, place
        self.out: deque[Sending] = deque()  # in order; over already where nobody waits for its answer
        self.deadline: list | None = None
        self.carried = self.answers = 0
        self.up = False
        self.reading = False  # more may lie behind the answer just read
        self.last = (0, 0)  # the value that came last, hashed, or a long one's size; and when
        self.busy_at = -Nodes.DOUBT  # when it last turned an attempt away
        self.relay: ResponseStream | None = None  # the long answer that is being passed on
        self.written = 0  # bytes that were given to the transport for attempts
        self.slot = nodes.links.put(self)

    def send(self, parts: list[bytes]) -> None:
        """Writes now, not in the reactor's next turn: what is decided there may end the attempt."""
        self.written += sum(map(len, parts))
        self.transport.writeSequence(parts)
        self.transport.doWrite()

    def gone_out(self) -> int:
        """How many of the bytes written were handed to the kernel."""
        transport = self.transport
        return self.written - (len(transport.dataBuffer) - transport.offset + transport._tempDataLen)

    def connectionMade(self) -> None:  # noqa: N802
        self.up = True
        disable_nagle(self.transport)
        self.nodes.came_up(self)

    def dataReceived(self, data: bytes) -> None:  # noqa: N802
        self.reading = True
        super().dataReceived(data)
        self.reading = False
        if self.code is None:
            self.nodes.read(self)

    def stream_started(self, size: int):
        if self.open_arrays != [([], 3)]:
            return self.fail_protocol("too long")
        return self.nodes.begun(self, size)

    def element_received(self, element) -> None:
        super().element_received(element)
        # A report that never comes whole must not keep the end of a value from the client.
        if self.relay and self.open_arrays and len(self.open_arrays[0].elements) == 2:
            if outcome_of([*self.open_arrays[0].elements, None]) == Outcome.SUCCEEDED:
                self.relay.complete()

    def value_received(self, value) -> None:
        self.nodes.answered(self, value)

    def abort(self, code: str) -> None:
        super().abort(code)
        self.cut()

    def cut(self) -> None:
        relay, self.relay = self.relay, None
        if relay is not None:
            relay.fail()

    def fail_protocol(self, why: str) -> None:
        report = (
            [*self.open_arrays[0].elements, None]
            if self.open_arrays and len(self.open_arrays[0].elements) == 2
            else None
        )
        if self.out and report and outcome_of(report) == Outcome.SUCCEEDED:
            self.nodes.answered(self, report)  # the value is whole: a bad load report must not spoil it
        self.nodes.spoilt(self, why)

    def connectionLost(self, reason) -> None:  # noqa: N802
        self.cut()
        self.nodes.lost(self, self.end_code(reason, "node"))


class Opening(ClientFactory):
    noisy = False

    def __init__(self, link: Link):
        self.link = link

    def buildProtocol(self, addr):  # noqa: N802
        return self.link

    def clientConnectionFailed(self, connector, reason) -> None:  # noqa: N802
        own = reason.check(ConnectBindError)
        code = self.link.code or ("no-descriptor" if own else f"refused: {reason.type.__name__}")
        self.link.nodes.lost(self.link, code)


def outcome_of(value, aside: bool = False) -> str | None:
    """The outcome that an answer of the protocol's table proves; None if it is not in the table.  Where nodes
    read through, that no value was found is no answer at all: it proves nothing.

    >>> [str(outcome_of(answer)) for answer in ([b"value", b"hit", None], "-BUSY", "-ERR failed")]
    ['succeeded', 'overloaded', 'error']
    >>> [str(outcome_of(answer)) for answer in ("-ERR bad request", [b"value"], ":5", None)]
    ['invalid-request', 'None', 'None', 'None']
    >>> [str(outcome_of([None, b"miss", None], aside)) for aside in (False, True)]
    ['None', 'cache-miss']
    """
    if isinstance(value, list) and len(value) == 3 and isinstance(value[1], bytes | None):
        if isinstance(value[0], bytes | StreamedValue):
            return Outcome.SUCCEEDED
        return Outcome.CACHE_MISS if aside and value[0] is None and value[1] == b"miss" else None
    if not isinstance(value, str) or not value.startswith("-"):
        return None
    if value.startswith(("-ERR bad", "-SYNTAX")):
        return Outcome.INVALID_REQUEST
    return Outcome.OVERLOADED if value.split(" ")[0] == "-BUSY" else Outcome.ERROR


class Nodes:
    EACH = 16  # connections to one node: some times what is out there at once, a part of its table
    PART = 3  # of the descriptors, one in so many is for nodes
    AHEAD = 0.8  # of the time after which a node closes an idle one, we do: theirs may cross an attempt
    FEW = 6  # connections to a node before an attempt goes behind others instead of on a new one
    COPY = (
        5_000  # two equal values so soon after each other are one and its copy: each is made for its request
    )
    DOUBT = 100_000  # so soon after another a -BUSY may be that one's copy: they come some milliseconds late
    STALLS = 10_000_000  # without a byte of a long answer that is being passed on: peers take seconds for one
    LITTLE = 262_144  # bytes of an answer nobody wants that are sooner read than a connection made anew
    LINGER = 1_000_000  # for an answer nobody waits for: most late ones come by then, a hung node's never

    def __init__(
        self, reactor, deadlines, now, ended, sockets, idle, connect_timeout, deep, aside, memory, wanted
    ):
        """`wanted` tells whether a request's client is still there."""
        self.wanted = wanted
        self.reactor, self.deadlines, self.now = reactor, deadlines, now
        self.ended = ended  # told of each attempt's outcome, once, never from within `send`
        self.relaying: dict[Link, ResponseStream] = {}
        self.tune(idle, connect_timeout, deep, aside)
        self.links = tables.Slots()
        self.places: dict[str, Place] = {}
        self.resting: OrderedDict[Link, None] = OrderedDict()  # idle ones, longest first
        self.bound(sockets, memory)

    def bound(self, sockets: int, memory: int) -> None:
        """How many descriptors are there for all, and how many bytes for long answers that wait."""
        self.most, self.pieces = sockets // self.PART, memory
        for link in [*self.resting][: max(0, len(self.links) - self.most)]:
            self.no_longer_idle(link)
            link.close("no-room")

    def tune(self, idle: int, connect_timeout: int, deep: int, aside: bool = False) -> None:
        self.idle, self.connect_timeout = int(idle * self.AHEAD), connect_timeout
        self.deep = deep  # attempts on a connection at once; one where giving up is closing
        self.linger = self.LINGER if deep > 1 else 0
        self.aside = aside  # nodes tell that they lack a value, and fetch none themselves

    # Where nodes are.

    def known(self, name: str, address: tuple[str, int], restarted: bool) -> None:
        place = self.places.get(name)
        if place is None:
            self.places[name] = Place(name, address)
            return
        if place.address != address or restarted:  # what is open leads to a process that is gone
            place.address = address
            self.leave(place, "moved")
            for sending in [*place.waiting]:  # meant for that one: where it goes now is decided anew
                self.end(sending, Outcome.NOT_SENT)

    def listed(self, name: str, ready: bool) -> None:
        """Nothing new goes to one that is not ready, nor does it keep a connection that has nothing to do:
        guards the drain's grace, and nodes that wait for their connections to end."""
        place = self.places.get(name)
        if place is None:
            return
        place.ready = ready
        if not ready:
            self.leave(place, "unlisted")
            for sending in [*place.waiting]:
                self.end(sending, Outcome.NOT_SENT)

    def keep(self, names) -> None:
        """Guards the memory: a node's place goes once it is not named any more and has no connection left."""
        for place in [*self.places.values()]:
            if place.name not in names and not place.links and not place.waiting:
                del self.places[place.name]

    def release(self, name: str) -> None:
        if name in self.places:
            self.leave(self.places[name], "released")

    def leave(self, place: Place, code: str) -> None:
        for link in [*place.idle]:
            self.no_longer_idle(link)
            link.close(code)

    def stop(self) -> None:
        """For the log: what ends from now on is ended by us."""
        for link in self.links.values():
            link.code = link.code or "stopping"

    # Attempts.

    def send(self, sending: Sending, name: str, until: int) -> None:
        place = sending.place = self.places[name]
        sending.until.append(self.deadlines.at(until, self.out_of_time, sending))
        while place.idle:
            link = place.idle[0]
            self.no_longer_idle(link)
            if link.code is None:
                return self.write(link, sending)
        few = min(self.FEW, max(2, self.most // len(self.places)))  # all nodes' shall fit our table
        latest = sending.attempt.send_by
        # One that must be there in time goes behind nothing: what holds back those before it would hold it
        # back too, in our socket or in theirs, past the time at which it may still begin.
        if len(place.links) >= few and self.deep > 1 and latest > until + self.linger:
            fit = [link for link in place.links if link.up and link.code is None and self.fits(link)]
            if fit:
                return self.write(min(fit, key=lambda link: len(link.out)), sending)
        place.waiting.append(sending)
        no_link = min(until, self.now() + self.connect_timeout, latest)
        sending.until.append(self.deadlines.at(no_link, self.no_link_came, sending))
        self.open(place)

    def fits(self, link: Link) -> bool:
        """One more attempt can go behind those on it, none of which has been given up."""
        given_up = any(one.over or one.partial() for one in link.out)
        return len(link.out) < self.deep and not link.reading and not given_up

    def open(self, place: Place) -> None:
        if len(place.opening) >= len(place.waiting) or len(place.links) >= self.EACH:
            return
        if len(self.links) >= self.most:
            if self.resting:  # the one that has been idle longest, wherever
                link = next(iter(self.resting))
                self.no_longer_idle(link)
                link.close("no-room")
            return
        link = Link(self, place)
        place.links[link] = None
        place.opening[link] = None
        link.deadline = self.deadlines.at(self.now() + self.connect_timeout, self.give_up_opening, link)
        connector = self.reactor.connectTCP(*place.address, Opening(link), timeout=None)
        if link in place.opening:  # it may have failed within the call
            place.opening[link] = connector

    def write(self, link: Link, sending: Sending) -> None:
        sending.link = link
        sending.attempt.first_on_connection = not link.carried  # a -BUSY then is of the node's table
        link.out.append(sending)
        link.carried += 1
        rest = max(1, (sending.attempt.timeout_at - self.now()) // 1000)
        if trace.enabled:
            trace.step(sending.frame.request_id, "sent", node=link.place.name, link=link.slot, told_ms=rest)
        if sending.upload is not None:
            link.send(sending.frame.encode(sending.upload.server_timeout_ms))
            return sending.upload.send_to(link)
        link.send(sending.frame.encode(rest))
        sending.last_byte = link.written

    def call_off(self, sending: Sending) -> None:
        self.give_up(sending, Outcome.CANCELLED)

    def out_of_time(self, sending: Sending) -> None:
        self.give_up(sending, Outcome.TIMED_OUT)

    def no_link_came(self, sending: Sending) -> None:
        if sending.link is None:  # where we opened none, it is our table that was full, not the node
            late = self.now() >= sending.attempt.send_by
            self.end(
                sending,
                Outcome.NOT_SENT
                if late
                else Outcome.CONNECTION_REFUSED
                if sending.place.opening
                else Outcome.OVERLOADED,
            )

    def give_up(self, sending: Sending, outcome: str) -> None:
        """Nobody waits any more.  Where a second copy may be out, the answer is let come a little longer, to
        be thrown away: a new connection costs the node more work than that, and the next request its time."""
        if sending.over:
            return
        link, code = sending.link, "called-off" if outcome == Outcome.CANCELLED else "out-of-time"
        if link is None:
            return self.end(
                sending, Outcome.NOT_SENT if outcome == Outcome.CANCELLED else Outcome.CONNECTION_REFUSED
            )
        if sending.partial():
            self.end(
                sending, Outcome.NOT_SENT if outcome == Outcome.CANCELLED else Outcome.CONNECTION_REFUSED
            )
            return link.abort(code)
        others = [other for other in link.out if other is not sending]
        if not self.linger and all(other.over for other in others):
            link.abort(code)
        elif not any(other.over for other in others):  # else it is seen to already
            # Also where a connection takes one at a time by now: guards those that are on it from before.
            link.deadline = self.deadlines.at(self.now() + self.LINGER, self.lingered, link, code)
        self.end(sending, outcome)

    def lingered(self, link: Link, code: str) -> None:
        if link.relay is None and all(sending.over for sending in link.out):
            # Guards the next request there: where one connection says nothing more, idle ones are no better.
            self.leave(link.place, "suspect")
            return link.abort(code)
        link.deadline = self.deadlines.at(self.now() + self.LINGER, self.lingered, link, code)

    def end(self, sending: Sending, outcome: str, value: bytes | None = None) -> None:
        if sending.over:
            return
        sending.over = True
        if trace.enabled:
            link = sending.link.slot if sending.link else "none"
            trace.step(sending.frame.request_id, "ended", node=sending.place.name, link=link, outcome=outcome)
        for deadline in sending.until:
            self.deadlines.drop(deadline)
        if sending.link is None:
            sending.place.waiting.remove(sending)
        if sending.upload is not None and sending.partial():
            sending.upload.attempt_failed()
        self.ended(sending, outcome, value)

    def through(self, sending: Sending, until: int) -> None:
        """A long write has gone out whole: its time counts from now."""
        for deadline in sending.until:
            self.deadlines.drop(deadline)
        sending.until = [self.deadlines.at(until, self.out_of_time, sending)]

    # What happens on links.

    def came_up(self, link: Link) -> None:
        link.place.opening.pop(link, None)
        self.deadlines.drop(link.deadline)
        self.free(link)

    def free(self, link: Link) -> None:
        place = link.place
        while place.waiting and not link.out:  # telling of one's end may have sent another on this link
            sending = place.waiting[0]
            if not self.wanted(sending.attempt.request):
                self.end(sending, Outcome.NOT_SENT)  # its client has gone
                continue
            if self.now() < sending.attempt.send_by:
                return self.write(link, place.waiting.popleft())
            self.end(
                place.waiting[0], Outcome.NOT_SENT
            )  # the link came too late for its window, not for its time
        if link.out:
            return
        if not place.ready:
            return link.close("unlisted")
        place.idle.append(link)
        self.resting[link] = None
        link.deadline = self.deadlines.at(self.now() + self.idle, self.idle_too_long, link)

    def no_longer_idle(self, link: Link) -> None:
        if self.resting.pop(link, self) is None:
            link.place.idle.remove(link)
        self.deadlines.drop(link.deadline)

    def idle_too_long(self, link: Link) -> None:
        self.no_longer_idle(link)
        link.close("idle")

    def give_up_opening(self, link: Link) -> None:
        link.code = "connect-timeout"
        connector = link.place.opening.get(link)
        if connector is not None:
            connector.stopConnecting()

    def answered(self, link: Link, value) -> None:
        if not link.out:
            return link.abort("strange: an answer to nothing")
        outcome = outcome_of(value, self.aside)
        if outcome is None:
            return self.spoilt(link, f"{value!r:.40}")
        if link.relay is not None:
            self.relaying.pop(link, None)
            relay, link.relay = link.relay, None
            link.transport.bufferSize = MAX_BUFFERED_VALUE
            link.last = relay.size, self.now()
            relay.complete()
        elif outcome == Outcome.SUCCEEDED:
            # Guards the next request against a second copy of this answer that crossed its attempt.
            last, link.last = link.last, (hash(value[0]), self.now())
            if last[0] == link.last[0] and link.last[1] - last[1] < self.COPY:
                return self.spoilt(link, "a second copy")
        elif outcome in (Outcome.ERROR, Outcome.INVALID_REQUEST) and value != "-ERR failed":
            logger.warning("node {}: unexpected answer {!r:.80}", link.place.name, value)
        sending = link.out.popleft()
        if outcome == Outcome.OVERLOADED:
            busy_at, link.busy_at = link.busy_at, self.now()
            # Guards the effect against a second copy of a -BUSY that crossed this attempt: it proves
            # nothing of it.  A value's copy is told by the value, this one by nothing.
            if (
                link.busy_at - busy_at < self.DOUBT
                and sending.attempt.request.request_class.idempotency != Idempotency.IDEMPOTENT
            ):
                outcome = Outcome.CANCELLED
        link.answers += 1
        link.place.broke = 0
        early = sending.partial()
        if not any(other.over for other in link.out):
            self.deadlines.drop(link.deadline)
        if outcome in (Outcome.SUCCEEDED, Outcome.CACHE_MISS):
            sending.report, sending.hit = value[2], value[1] in ("hit", b"hit")
        if not sending.over:
            if early and outcome in (Outcome.SUCCEEDED, Outcome.CACHE_MISS):
                outcome = Outcome.ERROR  # to what it has not seen whole
            self.end(sending, outcome, value[0] if outcome == Outcome.SUCCEEDED else None)
        if early:
            link.abort("early: an answer to half a write")

    # Long answers.

    def begun(self, link: Link, size: int):
        """A long answer begins: its request is satisfied by it, and who asked gets it as it comes."""
        if not link.out:
            return link.abort("strange: an answer to nothing")
        if link.last[0] == size and self.now() - link.last[1] < self.COPY:
            return self.spoilt(link, "a second copy")
        sending = link.out[0]
        if sending.over:
            return lambda piece: None
        # A connection's piece, the client's, and what lies between them.
        window = max(MIN_WINDOW, min(MAX_BUFFERED_VALUE, self.pieces // (3 * (len(self.relaying) + 1))))
        relay = link.relay = self.relaying[link] = ResponseStream(link, size, window)
        link.place.broke = 0
        self.end(sending, Outcome.SUCCEEDED, relay)
        self.stalled(link, relay, -1)
        return relay.piece_received

    def stalled(self, link: Link, relay: ResponseStream, passed: int) -> None:
        """Guards against a node that says nothing more in the middle; a client that takes nothing is its own
        connection's matter."""
        if link.relay is not relay or relay.ended:
            return
        if passed == relay.received_bytes and not link.paused:
            return link.abort("stalled")
        self.deadlines.at(self.now() + self.STALLS, self.stalled, link, relay, relay.received_bytes)

    def unwanted(self, link: Link) -> None:
        """The client has gone in the middle of a long answer."""
        left = link.relay.size - link.relay.received_bytes if link.relay else 0
        if left > self.LITTLE and all(sending.over for sending in link.out):
            link.abort("called-off")

    def read(self, link: Link) -> None:
        """All that came has been read: only now may the link carry the next attempt, whose answer could not
        be told from what came too much before it."""
        if link.out:
            return
        if not link.at_message_boundary():
            link.abort("strange: more than an answer")
        elif link not in self.resting:
            self.free(link)

    def spoilt(self, link: Link, why: str) -> None:
        """What came is no answer: the attempt it came for has failed and may have run.  Those behind it get
        no answer any more; that is held against the node once, not once for each."""
        link.abort(f"strange: {why}")
        self.end_all(link, Outcome.ERROR)

    def end_all(self, link: Link, outcome: str) -> None:
        for sending in [*link.out]:
            if not sending.over:
                self.end(sending, outcome)
                outcome = Outcome.CANCELLED

    def lost(self, link: Link, code: str) -> None:
        place = link.place
        self.no_longer_idle(link)
        self.relaying.pop(link, None)
        place.links.pop(link, None)
        failed = link in place.opening
        place.opening.pop(link, None)
        self.links.drop(link.slot)
        logger.info("end node={} link={} carried={} code={}", place.name, link.slot, link.carried, code)
        if any(not sending.over for sending in link.out):
            # Guards against taking a kept connection's end for the node's: the first tells nothing of it, but
            # what was out may have run.
            place.broke += 1
            for sending in [*link.out]:
                if sending.partial():  # it never ran
                    self.end(
                        sending,
                        Outcome.NOT_SENT if place.broke == 1 and link.answers else Outcome.CONNECTION_REFUSED,
                    )
            self.end_all(
                link, Outcome.CANCELLED if place.broke == 1 and link.answers else Outcome.CONNECTION_LOST
            )
        if failed and code != "connect-timeout" and place.waiting:  # of those each has a deadline of its own
            self.end(
                place.waiting[0],
                Outcome.OVERLOADED if code == "no-descriptor" else Outcome.CONNECTION_REFUSED,
            )
        for wanting in [place] if place.waiting else self.wanting():
            self.open(wanting)

    def wanting(self) -> list[Place]:
        """The places that wait for a connection which the bound in all kept from being opened."""
        if len(self.links) + 1 < self.most:
            return []
        return [place for place in self.places.values() if place.waiting]
