"""One connection between two proxies: greeting, signed messages, beats.

Owns the bytes of that connection.  It must never hand on a message that is not signed for this very
connection, direction and place in the order, nor hold more than its bounds.
"""

from __future__ import annotations

import secrets
from collections import deque
from typing import Annotated, Any

import msgspec
from loguru import logger
from msgspec import Meta, Struct
from twisted.internet import error
from twisted.protocols.basic import Int32StringReceiver

from ..net.deadlines import Deadline
from .keys import DIGEST

VERSION = 1  # of the greeting and of what follows it
MESSAGE = 262_144  # bytes of a message: a snapshot of the agreed state fits, and its digest takes 0.3 ms
QUEUED = 1 << 20  # bytes that wait for a peer; beyond it the oldest goes
BEAT = 500_000  # microseconds between beats where nothing else is said
SILENT = 2_000_000  # without a byte, the connection is given up: four beats
NAME = r"^[\w.:-]{1,64}$"  # of a proxy: it stands in logs and in ids
GREET = 2_000_000  # for both greetings


Name = Annotated[str, Meta(pattern=NAME)]
Life = Annotated[str, Meta(pattern="^[0-9a-f]{16}$")]


class Hello(Struct, array_like=True):
    version: int
    name: Name
    to: str
    life: Life  # of the process: two of one name are told apart
    nonce: bytes


encode = msgspec.msgpack.encode
greeting = msgspec.msgpack.Decoder(Hello)
message = msgspec.msgpack.Decoder(tuple[str, Any])


class Link(Int32StringReceiver):
    MAX_LENGTH = MESSAGE + 256

    def __init__(self, mesh, peer: str | None):
        """`peer` is whom we called; None where we are called."""
        self.mesh, self.peer, self.dialed = mesh, peer, peer is not None
        self.life = ""
        self.nonces = [secrets.token_bytes(16), b""]  # ours, theirs
        self.key: str | None = None  # the id of theirs
        self.up = False
        self.greeted = False
        self.sent = self.heard = 0  # numbers of the next messages
        self.queue: deque[bytes] = deque()
        self.size = 0
        self.full = False  # the transport holds as much as we give it
        self.code: str | None = None
        self.at = 0  # when bytes came last
        self.timer: Deadline | None = None

    # Start.

    def connectionMade(self) -> None:  # noqa: N802
        self.transport.setTcpNoDelay(True)
        self.transport.bufferSize = 65_536  # bytes read in one go: bounds a turn
        self.transport.registerProducer(self, True)
        self.at = self.mesh.now()
        self.timer = self.mesh.deadlines.call_at(self.at + GREET, self.slow_greeting)
        self.mesh.came(self)
        if self.dialed:
            self.greet()

    def greet(self) -> None:
        hello = Hello(VERSION, self.mesh.name, self.peer or "", self.mesh.life, self.nonces[0])
        body = encode(hello)
        answer = self.nonces[1]  # the called one signs the caller's nonce with it
        self.sendString(self.mesh.keys.sign(b"hello", answer, body) + body)

    def slow_greeting(self) -> None:
        if not self.up:
            self.drop("no-greeting")

    def take_greeting(self, made: bytes, body: bytes) -> None:
        self.key = self.mesh.keys.signer(made, b"hello", self.nonces[0] if self.dialed else b"", body)
        if self.key is None:
            return self.mesh.wrong(self, "bad-key")
        try:
            hello = greeting.decode(body)
        except msgspec.MsgspecError:
            return self.drop("unreadable")
        if hello.version != VERSION:
            return self.drop(f"version-{hello.version}")
        if (self.dialed and hello.name != self.peer) or (not self.dialed and hello.to != self.mesh.name):
            return self.drop("other-name")
        if not self.dialed and not self.mesh.may_be(hello.name, self.transport.getPeer().host):
            return self.mesh.wrong(self, "not-its-address")
        self.peer, self.life, self.nonces[1] = hello.name, hello.life, hello.nonce
        self.greeted = True
        if self.dialed:
            self.is_up()
            self.write("", None)  # the first signed one proves to the other side that we are no replay
        else:
            self.greet()

    def is_up(self) -> None:
        self.up = True
        if self.timer is not None:
            self.timer.cancel()
        self.timer = self.mesh.deadlines.call_at(self.mesh.now() + BEAT, self.beat)
        self.mesh.is_up(self)

    # Messages.

    def binding(self, ours: bool, number: int) -> tuple[bytes, ...]:
        """What a message's digest covers beside it: this connection, its direction, its place."""
        mine, theirs = self.nonces
        caller, called = (mine, theirs) if self.dialed else (theirs, mine)
        from_caller = self.dialed == ours
        return b"say", caller, called, b">" if from_caller else b"<", number.to_bytes(8, "big")

    def write(self, kind: str, body: Any) -> None:
        self.put(encode((kind, body)))

    def put(self, text: bytes) -> None:
        self.queue.append(text)
        self.size += len(text)
        while self.size > QUEUED:
            self.size -= len(self.queue.popleft())
            self.mesh.dropped(self)
        self.flush()

    def flush(self) -> None:
        while self.queue and not self.full:
            text = self.queue.popleft()
            self.size -= len(text)
            made = self.mesh.keys.sign(*self.binding(True, self.sent), text)
            self.sent += 1
            self.sendString(made + text)

    # The transport's calls.

    def pauseProducing(self) -> None:  # noqa: N802
        self.full = True

    def resumeProducing(self) -> None:  # noqa: N802
        self.full = False
        self.flush()

    def stopProducing(self) -> None:  # noqa: N802
        self.full = True

    def dataReceived(self, data: bytes) -> None:  # noqa: N802
        self.at = self.mesh.now()
        super().dataReceived(data)

    def stringReceived(self, text: bytes) -> None:  # noqa: N802
        if self.code is not None:
            return
        made, body = text[:DIGEST], text[DIGEST:]
        if not self.greeted:
            return self.take_greeting(made, body)
        if self.mesh.keys.signer(made, *self.binding(False, self.heard), body) is None:
            return self.mesh.wrong(self, "bad-digest")
        self.heard += 1
        if not self.up:
            self.is_up()
        try:
            kind, what = message.decode(body)
        except msgspec.MsgspecError:
            return self.drop("unreadable")
        if kind:
            self.mesh.heard(self, kind, what)

    def lengthLimitExceeded(self, length: int) -> None:  # noqa: N802
        self.drop("too-long")

    def end(self) -> None:
        """Closes once what was written is out."""
        self.code = self.code or "stopping"
        self.transport.unregisterProducer()  # a paused one would keep the transport from closing
        self.transport.loseConnection()

    def beat(self) -> None:
        now = self.mesh.now()
        if now - self.at > SILENT:
            return self.drop("silent")
        if not self.queue:
            self.write("", None)
        self.timer = self.mesh.deadlines.call_at(now + BEAT, self.beat)

    # End.

    def drop(self, code: str) -> None:
        self.code = self.code or code
        self.transport.abortConnection()

    def connectionLost(self, reason) -> None:  # noqa: N802
        if self.timer is not None:
            self.timer.cancel()
        if self.code is None:
            self.code = "peer-closed" if reason.check(error.ConnectionDone) else "peer-reset"
        if self.greeted or self.code not in self.mesh.QUIET:
            logger.info(
                "end mesh peer={} carried={} code={}", self.peer or self.transport.getPeer().host,
                self.sent + self.heard, self.code,
            )  # fmt: skip
        self.mesh.went(self)
