"""Clients' connections: commands in, answers out in the order of the commands.

Owns every connection from a client and the answers owed on it.  It must never answer a command twice, out of
order or in part, nor keep more for one client than a few commands and their answers.
"""

from __future__ import annotations

import re
from collections import OrderedDict, deque
from itertools import takewhile

from loguru import logger
from twisted.internet.protocol import ServerFactory

from .deadlines import Deadline
from .ends import Ends
from .relay import Relay, Upload
from .reply import Failed, Rejected, Reply, Value
from .resp import LONGEST, PARTS, VALUE, Given, Resp, bulk, no_delay
from .slot_table import SlotTable
from .trace import trace

PONG, OK, BUSY, FAILED = b"+PONG\r\n", b"+OK\r\n", b"-BUSY\r\n", b"-ERR failed\r\n"
DRAINS = b"-ERR draining\r\n"
WRITES = {b"OBJ.GET": False, b"OBJ.SET": True}
WAIT = re.compile(rb"(?:^|,)d=(\d{1,9})(?=,|$)")


class Frame:
    """A command as it came, taken apart only around the figure that is rewritten."""

    __slots__ = ("ident", "before", "fields", "after", "value")

    def __init__(self, args: list[bytes], figure: tuple[int, int], size: int = 0):
        """`size` is that of a value which goes out in pieces behind this."""
        self.ident = args[2]  # the request's id, for the log
        self.before = b"*%d\r\n" % (len(args) + bool(size)) + b"".join(map(bulk, args[:3]))
        self.fields, self.after = args[3][: figure[0]], args[3][figure[1] :]
        self.value = b"$%d\r\n" % size if size else bulk(args[4]) if len(args) > 4 else b""

    def telling(self, wait_ms: int) -> list[bytes]:
        """The command for a node, telling how long we wait."""
        return [self.before, bulk(b"%b%d%b" % (self.fields, wait_ms, self.after)), self.value]


def encode_reply(reply: Reply) -> bytes | Relay:
    """An answer in the protocol's words, or what passes on a long one.

    >>> [encode_reply(reply) for reply in (Value(b"v"), Rejected(20), Rejected(0), Failed())]
    [b'$1\\r\\nv\\r\\n', b'-BUSY 20\\r\\n', b'-BUSY\\r\\n', b'-ERR failed\\r\\n']
    """
    match reply:
        case Value(value):
            return bulk(value) if isinstance(value, bytes) else value
        case Rejected(retry_after_ms):
            return b"-BUSY %d\r\n" % retry_after_ms if retry_after_ms else BUSY
        case Failed():
            return FAILED


def key_of(text: bytes) -> int:
    """A key is a number in hexadecimal; any other is taken by its bytes, which all proxies do alike.

    >>> key_of(b"ff"), key_of(b"x")
    (255, 376)
    """
    try:
        return int(text, 16)
    except ValueError:
        return int.from_bytes(b"\1" + text, "big")


class Client(Resp):
    most = LONGEST
    value_at = 4
    arrays_from = PARTS  # none
    only_arrays = True
    MOST = 32  # commands without an answer on one connection; what comes after stays unread
    # For a whole command, from its first byte or from the connection's start: below the 3 s that clients
    # which can't be served wait for a word at most.
    WHOLE = 2_500_000
    PATIENCE = 10_000_000  # for a client that does not read its answers; our longest deadlines are below it
    IDS_LOGGED = 8  # ids of open requests that the line of a connection's end names

    def __init__(self, front: Front):
        super().__init__()
        self.front = front
        self.owed: deque[list] = deque()  # answer or None, slot, bytes, id; in order of commands
        self.slot = -1
        self.asked = 0
        self.since = 0  # when it came, or was answered last
        self.heard = 0  # when bytes came last
        self.half: Deadline | None = None  # the deadline for a whole command
        self.stuck: Deadline | None = None  # the deadline for reading what we have written
        self.blocked = False  # the transport holds more than it could pass on
        self.reading = False  # more commands may lie behind the one just read
        self.upload: Upload | None = None  # the long write that is coming

    def connectionMade(self) -> None:  # noqa: N802
        no_delay(self.transport)
        self.slot = self.front.clients.add(self)
        self.transport.registerProducer(self, True)
        self.since = self.heard = self.front.now()
        self.half = self.front.deadlines.call_at(self.since + self.WHOLE, self.half_said)
        self.front.fresh[self] = None
        self.front.make_room()

    def dataReceived(self, data: bytes) -> None:  # noqa: N802
        self.reading = True
        super().dataReceived(data)
        self.reading = False
        if self.front.draining and self.done():
            return self.retire(self.front.draining)
        if self.deaf or self.paused or self.between():
            if self.half is not None:
                self.half.cancel()
            self.half = None
            return
        self.heard = self.front.now()
        self.front.idle.pop(self, None)  # a command has begun: no longer at rest
        if self in self.front.fresh:
            self.front.fresh.move_to_end(self)
        if self.half is None or self.upload is not None:  # of a long write each piece has that time
            if self.half is not None:
                self.half.cancel()
            self.half = self.front.deadlines.call_at(self.heard + self.WHOLE, self.half_said)

    def half_said(self) -> None:
        """Guards the descriptors against clients that say nothing, or half a command and no more.  What they
        have said by now may lie unread: a process that was held up finds its timers due first."""
        self.half = None
        self.transport.read_now()
        if self.deaf or (self.upload is not None and self.half is not None):  # a piece of a long write came
            return
        if not self.between():
            self.malformed("half a command")
        elif not self.asked:
            self.retire("silent")

    def received(self, args) -> None:
        self.front.idle.pop(self, None)
        if self.half is not None:
            self.half.cancel()
        self.half = None
        if args and isinstance(args[-1], Given):
            upload, self.upload = self.upload, None
            self.transport.bufferSize = VALUE
            upload.end()
            return self.flush()
        self.asked += 1
        if not args or not all(isinstance(arg, bytes) for arg in args):
            return self.malformed("not a command")
        place = [None, None, 0, None]
        self.owed.append(place)
        name = args[0].upper()
        if name in WRITES:
            self.front.take(self, place, args, WRITES[name])
        else:
            place[0] = self.front.plain(name)
        if len(self.owed) >= self.MOST:
            self.read_no_more()
        self.flush()

    def begins(self, size: int):
        args = self.open[0][0] if len(self.open) == 1 and self.open[0][1] == 5 else []
        known = len(args) == 4 and all(isinstance(arg, bytes) for arg in args)
        if not known or not WRITES.get(args[0].upper()):
            return self.malformed("too long")
        self.front.idle.pop(self, None)
        self.asked += 1
        place = [None, None, 0, None]
        self.owed.append(place)
        self.upload = Upload(self, size, self.front.window())
        self.front.take(self, place, args, True, self.upload)
        self.flush()
        return self.upload.piece

    def malformed(self, why: str) -> None:
        """Guards against taking bytes for commands that are none: what is owed goes out, and then the end."""
        upload, self.upload = self.upload, None
        if upload is not None and upload.request is not None:
            self.front.cut(upload)
        self.front.idle.pop(self, None)
        self.deafen()
        self.read_no_more()  # one that goes on sending at full speed would cost our time
        self.code = f"malformed: {why}"
        self.owed.append([b"-ERR %b\r\n" % why.encode(), None, 0, None])
        self.flush()

    def answer(self, place: list, text: bytes | Relay) -> None:
        place[0] = text
        self.front.bytes -= place[2]
        if isinstance(text, Relay):
            text.client = self
        self.flush()

    def flush(self) -> None:
        while self.owed and self.owed[0][0] is not None:
            text = self.owed[0][0]
            if isinstance(text, Relay):
                if not text.started:
                    text.start()
                if self.owed and self.owed[0][0] is text:  # it ends by `passed_on`
                    return
                continue
            self.owed.popleft()
            self.transport.write(text)
        if not self.owed and self.transport.connected:
            if self.deaf:
                self.leave("stopping")
            elif self.asked and self not in self.front.retiring:
                if self.front.draining and self.done():
                    return self.retire(self.front.draining)  # answer and end go out together
                self.front.fresh.pop(self, None)
                self.since = self.front.now()
                self.front.idle[self] = None
                self.front.idle.move_to_end(self)
                self.front.tidy(self.since)
        self.go_on()

    # Long answers.

    def passed_on(self, relay: Relay) -> None:
        """All of it has come."""
        if relay.started:
            self.transport.write(b"\r\n")
            self.owed.popleft()
            self.transport.bufferSize = VALUE
        else:  # its turn has not come, and it was a short one after all
            place = next(place for place in self.owed if place[0] is relay)
            place[0] = b"".join([b"$%d\r\n" % relay.size, *relay.kept, b"\r\n"])
        self.flush()

    def cut(self, relay: Relay) -> None:
        """It will never be whole: where some of it has gone out, the end of the connection says so."""
        if relay.started:
            # Guards what is owed behind it against being sent on for nobody: its answers can't go out any
            # more, and its client sends it once more elsewhere.
            self.deafen()
            self.front.let_go(self)
            return self.leave("cut-short")
        next(place for place in self.owed if place[0] is relay)[0] = FAILED
        self.flush()

    def done(self) -> bool:
        """All that came has been read, taken and answered."""
        return bool(self.asked and not self.owed and not self.reading and not self.deaf and self.between())

    def go_on(self) -> None:
        held = self.blocked or len(self.owed) >= self.MOST or (self.upload is not None and self.upload.held)
        if self.paused and not self.deaf and not held:
            self.front.ends.forget(self)
            super().resumeProducing()

    def read_no_more(self) -> None:
        """Not for now: its end shows all the same."""
        super().pauseProducing()
        self.front.ends.watch(self)

    def stop_reading(self) -> None:
        """The node of a long write takes no more for now."""
        self.read_no_more()
        if self.half is not None:
            self.half.cancel()
        self.half = None

    def retire(self, code: str, halves: bool = False) -> None:
        """Closes a connection at rest once all that was written is out, unless a request has come by then:
        that one is served.  `halves`: also one on which half a command has come."""
        self.front.fresh.pop(self, None)
        self.front.idle.pop(self, None)
        if self.deaf or self in self.front.retiring:
            return
        self.front.retiring[self] = halves
        self.watch_reading()
        self.transport.unregisterProducer()  # a paused one would keep the transport from closing
        self.close(code)

    def still_there(self) -> bool:
        """Whether it waits for its answers, as far as the kernel knows by now.  One that is being read, or
        not to be read for now, is taken to be there: its end shows by itself."""
        return self.reading or self.paused or self.deaf or self.transport.look_for_end()

    def reads_on(self) -> bool:
        """Nothing of what has come so far is owed an answer."""
        return not self.deaf and not self.owed

    def may_end(self) -> bool:
        """The transport's question after its last look: whether nothing has come that is owed an answer.  If
        something has, the connection is as it was before it was to end."""
        halves = self.front.retiring.get(self, False)
        if self.deaf or (not self.owed and (halves or self.between())):
            return True
        del self.front.retiring[self]
        self.code = None
        self.blocked = False
        if self.stuck is not None:
            self.stuck.cancel()
        self.stuck = None
        self.transport.registerProducer(self, True)
        if not self.asked:
            self.front.fresh[self] = None
        return False

    def leave(self, code: str) -> None:
        """Closes what can't be read any more; one that does not read its last answers is cut off."""
        self.front.fresh.pop(self, None)
        self.front.idle.pop(self, None)
        self.deafen()
        self.watch_reading()
        self.transport.unregisterProducer()  # a paused one would keep the transport from closing
        self.close(code)

    def circumstances(self, still: list[bytes | None]) -> str:
        """What the log tells of its end beside the code: the requests left open, and what was left unread."""
        text = ""
        if still:
            ids = [ident.decode("latin-1") for ident in still[: self.IDS_LOGGED] if ident]
            text += f" ids={','.join(ids)}"
        if self.half_read:
            text += " begun=1"
        if self.unheard:
            text += f" unheard={self.unheard}"
        if self.asked and not still:
            text += f" rested_ms={(self.front.now() - self.since) // 1000}"
        return text

    def watch_reading(self) -> None:
        if self.stuck is None:
            self.stuck = self.front.deadlines.call_at(
                self.front.now() + self.PATIENCE, self.drop, "slow-reader"
            )

    # The transport's calls: more is written than it could pass on, or all of it has gone out.

    def pauseProducing(self) -> None:  # noqa: N802
        self.blocked = True
        self.watch_reading()
        self.read_no_more()
        if self.owed and isinstance(self.owed[0][0], Relay):
            self.owed[0][0].pause()

    def resumeProducing(self) -> None:  # noqa: N802
        self.blocked = False
        if self.stuck is not None:
            self.stuck.cancel()
        self.stuck = None
        if self.owed and isinstance(self.owed[0][0], Relay):
            self.owed[0][0].resume()
        self.go_on()

    def connectionLost(self, reason) -> None:  # noqa: N802
        self.deafen()  # what is read already and waits must not be taken any more
        self.front.ends.forget(self)
        if self.stuck is not None:
            self.stuck.cancel()
        if self.half is not None:
            self.half.cancel()
        self.front.lost(self, self.ended(reason, "client"))


class Front(ServerFactory):
    noisy = False
    HELD = 8  # one byte in so many of the memory may be of values in hand
    KEEP = 7  # one in so many of the connections may be idle for long
    # Idle ones beyond that are closed after the first; beyond twice as many, or where busy ones hold most of
    # the part that clients may have, after the second: hundreds a second ask once and stay.
    IDLE, SOON = 2_000_000, 50_000
    YOUNG = 100_000  # a usual client's first request is here by then
    PRESSED = 20_000  # nearly as surely; for where nobody else could make way
    MAKING_WAY = 16  # connections beyond the bound for as long as others make way
    SPARE = 32  # descriptors for these and for all else: the list, peers, operators, the log, Python's own
    # A drain: its slices, and the time over which idle ones are closed where the operators call for it: their
    # clients come back elsewhere spread over it, and it ends well before the 4 s at which none may be left.
    # Half a second before the 2 s after which none may ask any more a half-said command has no time left.
    SLICE, SPREAD, HALVES = 20_000, 1_000_000, 900_000
    EACH = 8  # closed in a slice where they are beyond a bound that has changed

    def __init__(
        self, reactor, deadlines, now, admit, begin, gone, cut, ready, methods, tenants, most: int,
        memory: int,
    ):  # fmt: skip
        """`admit` puts a request into the table and tells its slot, `begin` decides on it."""
        self.deadlines, self.now = deadlines, now
        self.ends = Ends(reactor, self.left)
        self.admit, self.begin, self.gone, self.cut, self.ready = admit, begin, gone, cut, ready
        self.knows(methods, tenants)
        self.most, self.held = most, memory // self.HELD
        self.fitting: Deadline | None = None
        self.clients: SlotTable[Client] = SlotTable()
        self.fresh: OrderedDict[Client, None] = OrderedDict()  # nothing whole said yet; longest silent first
        self.idle: OrderedDict[Client, None] = OrderedDict()  # of the others; longest idle first
        self.retiring: dict[Client, bool] = {}  # to be closed unless more comes; also with half a command
        self.ids: set[bytes] = set()  # of the requests in hand
        self.draining = ""  # the code with which connections are closed; empty: they are kept
        self.refuses = False  # PING is answered no
        self.until = 0  # by when idle ones are to be closed
        self.halves = 0  # when commands that are not whole are given up
        self.next: Deadline | None = None  # the next slice's deadline
        self.bytes = 0  # of values in hand

    def bound(self, most: int, memory: int) -> None:
        """Other bounds from now on: idle connections beyond them are closed in slices."""
        self.most, self.held = most, memory // self.HELD
        if self.fitting is not None:
            self.fitting.cancel()
        self.fit()

    def fit(self) -> None:
        ending = sum(client.deaf and client not in self.retiring for client in self.clients.values())
        beyond = len(self.clients) - ending - len(self.retiring) - self.most
        going = [client for client in self.idle if client.between()][: min(self.EACH, max(0, beyond))]
        if going:
            self.deadlines.call_at(self.now() + 1, self.part, going, False, "no-room")
            self.fitting = self.deadlines.call_at(self.now() + self.SLICE, self.fit)

    def knows(self, methods: dict, tenants: dict) -> None:
        """The classes and tenants that commands may name from now on; requests that are held keep theirs."""
        self.methods = {name.encode(): method for name, method in methods.items()}
        self.tenants = {name.encode(): tenant for name, tenant in tenants.items()}

    def buildProtocol(self, addr):  # noqa: N802
        return Client(self)

    def tidy(self, now: int) -> None:
        """Guards usual clients, who may hold but a part of the descriptors, against connections that ask once
        and stay for good."""
        busy = len(self.clients) - len(self.fresh) - len(self.idle)
        third = (self.most + self.SPARE) // 2  # of the descriptors: clients may hold no more for requests
        most = self.most // self.KEEP
        kept = min(most, max(2, third // 2 - busy))
        while len(self.idle) > kept:
            oldest = next(iter(self.idle))
            at_ease = kept == most and len(self.idle) <= 2 * kept
            if now - oldest.since < (self.IDLE if at_ease else self.SOON):
                return
            oldest.retire("idle")

    def room(self) -> int:
        """How many more may be accepted now: those that make way need their descriptors a turn longer."""
        return self.most + self.MAKING_WAY - len(self.clients)

    def make_room(self, least: int = 0) -> int:
        """Guards the descriptors; how many make way, at least so many if there are any.  First goes, of those
        that asked nothing of use, the one silent for longest, then the one idle longest.  One that sends
        slowly is no silent one, and one that came just now is not shut: who comes after it has to wait."""
        wanted = max(least, len(self.clients) - len(self.retiring) - self.most)
        for made in range(wanted):
            oldest = self.may_make_way()
            if oldest is None:
                return made
            oldest.retire("no-room", halves=True)
        return max(0, wanted)

    def may_make_way(self) -> Client | None:
        silent, idle = next(iter(self.fresh), None), next(iter(self.idle), None)
        young = self.YOUNG if idle is not None else self.PRESSED
        if silent is not None and silent.heard <= self.now() - young:
            return silent
        return idle

    def plain(self, name: bytes) -> bytes:
        if name == b"PING" and self.refuses:
            return DRAINS
        if name == b"PING":
            return PONG if self.ready() else b"-ERR no cache node is ready\r\n"
        if name in (b"CLIENT", b"SELECT"):  # what clients' libraries begin with
            return OK
        return b"-ERR unknown command\r\n"

    def window(self) -> int:
        """Bytes of a long write that are read at once: what waits of all is bounded like values in hand."""
        long = sum(client.upload is not None for client in self.clients.values())
        return max(Relay.LEAST, min(VALUE, self.held // (3 * (long + 1))))

    def take(
        self, client: Client, place: list, args: list[bytes], write: bool, upload: Upload | None = None
    ) -> None:
        fault, wait = None, None
        if len(args) != (5 if write and upload is None else 4):
            fault = b"-ERR wrong number of arguments\r\n"
        else:
            wait = WAIT.search(args[3])
            fields = dict(field.partition(b"=")[::2] for field in args[3].split(b","))
            method = self.methods.get(fields.get(b"c"))
            if method is None or wait is None:
                fault = b"-ERR a class c= and a wait d= are wanted\r\n"
            elif not args[1] or not args[2]:
                fault = b"-ERR a key and an id are wanted\r\n"
            elif args[2] in self.ids:  # another request's, or sent twice: two answers could not be told apart
                fault = b"-ERR the id is in use\r\n"
            elif self.bytes > self.held:  # guards the memory; nothing of it has run
                fault = BUSY
        if fault:
            place[0] = fault
            if trace.enabled and len(args) > 2:
                trace.step(args[2], "not-taken", client=client.slot, answer=fault[:40])
            if upload is not None:
                upload.discard()
            return
        self.fresh.pop(client, None)
        ident = args[2]
        if trace.enabled:
            trace.step(ident, "taken", client=client.slot, method=method.name, wait_ms=int(wait[1]))
        self.ids.add(ident)
        place[2] = len(args[-1])
        self.bytes += place[2]

        def reply(answer: Reply) -> None:
            self.ids.discard(ident)
            if upload is not None and not upload.whole:
                upload.discard()
            client.answer(place, encode_reply(answer))

        place[3] = ident
        place[1] = self.admit(
            reply,
            Frame(args, wait.span(1), upload.size if upload else 0),
            method,
            int(wait[1]) * 1000,
            key_of(args[1]),
            self.tenants.get(fields.get(b"t")),
            write,
            fields.get(b"r") == b"1",
            upload,
            client.still_there,
        )
        self.begin(place[1])  # only now: what it ends may let this client go, and this request with it

    def left(self, client: Client) -> None:
        """It has ended while it is not read.  One that waits for nothing more may still take what is on its
        way to it; what it has sent behind that is nobody's any more."""
        if any(place[0] is None for place in client.owed):
            return client.drop("client-left")
        client.code = client.code or "client-left"
        client.deafen()
        client.flush()

    def lost(self, client: Client, code: str) -> None:
        client.upload = None
        self.idle.pop(client, None)
        self.fresh.pop(client, None)
        self.retiring.pop(client, None)
        self.clients.remove(client.slot)
        still = [place[3] for place in client.owed if place[0] is None]
        logger.info(
            "end client={} asked={} open={} code={}{}", client.slot, client.asked, len(still), code,
            client.circumstances(still),
        )  # fmt: skip
        if trace.enabled:
            for ident in still:
                trace.step(ident, "client-gone", client=client.slot, code=code)
        self.let_go(client)

    def let_go(self, client: Client) -> None:
        """Nothing that it is owed can reach it any more."""
        owed = [place for place in client.owed if place[0] is None]
        for place in owed:
            self.bytes -= place[2]
            self.ids.discard(place[3])
        relays = [place[0] for place in client.owed if isinstance(place[0], Relay)]
        client.owed.clear()
        self.gone([place[1] for place in owed if place[1] is not None])
        for relay in relays:  # last: what lies behind a long answer may end one of those requests
            relay.left()

    # Sending clients away: for the operators, at the end, and in an upgrade; callers differ in how it ends.

    def drain(self, code: str, within: int, halves: int, refuses: bool = True) -> None:
        """Closes what is idle in slices, and all else after its answers; so long after that, commands that
        have not come whole: a request taken late would still be held at the end."""
        self.draining, self.refuses = code, refuses
        self.until = self.now() + within
        self.halves = self.until + halves
        if self.next is not None:
            self.next.cancel()
        self.slice()

    def keep(self) -> None:
        """The drain is over: nothing more is closed."""
        self.draining, self.refuses = "", False
        if self.next is not None:
            self.next.cancel()

    def slice(self) -> None:
        now = self.now()
        left = max(1, -(-(self.until - now) // self.SLICE))
        idle = [client for client in self.idle if client.between()]
        going = idle[: -(-len(idle) // left)]
        going += takewhile(lambda new: new.heard < now - self.YOUNG, self.fresh)
        halves = now >= self.halves
        if halves:
            going = [client for client in self.clients.values() if not client.owed]
        if going:  # a turn later, so that what has come to them by now is read first
            self.deadlines.call_at(now + 1, self.part, going, halves)
        self.next = self.deadlines.call_at(now + self.SLICE, self.slice)

    def part(self, going: list[Client], halves: bool, code: str = "") -> None:
        """Guards a request that crosses the end: one that has come meanwhile is served first."""
        code = self.draining or code
        for client in going:
            if code and not client.owed and not client.deaf and (halves or client.between()):
                client.retire(code, halves)
