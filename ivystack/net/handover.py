"""Upgrades: the listening socket that the platform holds, and two processes that are one proxy meanwhile.

Owns the inherited descriptor and the Unix socket on which an old process tells a new one what it knows.  It
must never shut the inherited socket down, which others hold too, trust what is told, or keep a new process
from its start: whatever is wrong with the old one, the new one goes on without.
"""

from __future__ import annotations

import os
import socket
from hashlib import blake2b
from pathlib import Path

import msgspec
from loguru import logger
from msgspec import Struct
from twisted.internet.error import CannotListenError, ConnectError
from twisted.internet.protocol import ClientFactory, ServerFactory
from twisted.protocols.basic import LineReceiver

from ..choice import Balancer, Room
from ..model import FailureState, Server, ServerState
from . import listener
from .deadlines import Deadline

VERSION = 1  # of what is told; another one's is not understood
MOST = 1 << 20  # bytes told: some hundred nodes are a tenth of it


def adopt(reactor, fd: int, factory):
    """Accepts clients at a listening socket that was inherited as this descriptor.

    A fault is an OSError or ValueError in one line: the descriptor is none, no socket, or does not listen.
    """
    try:
        inherited = socket.socket(fileno=os.dup(fd))
    except OSError as fault:
        raise OSError(f"`LB_FD`: descriptor {fd}: {fault.strerror}") from None
    with inherited:
        if inherited.type != socket.SOCK_STREAM or inherited.family not in (socket.AF_INET, socket.AF_INET6):
            raise ValueError(f"`LB_FD`: descriptor {fd} is no TCP socket")
        if not inherited.getsockopt(socket.SOL_SOCKET, socket.SO_ACCEPTCONN):
            raise ValueError(f"`LB_FD`: descriptor {fd} does not listen")
        # Both processes wait at it: an accept that finds nothing, as the other was quicker, must not wait.
        inherited.setblocking(False)
        port = listener.adopt(reactor, inherited.fileno(), inherited.family, factory)
    os.close(fd)
    return port


# --- What is told ---


class Tried(Struct):
    """A node's failures, or one class's at that node."""

    failures: int
    broken: bool
    trial_at: int
    trials: int


class Seen(Struct):
    """What was seen of one node."""

    tried: Tried
    errors: dict[str, Tried]  # by class
    started: int
    drained: bool
    left_at: int
    window: float
    share: float


class State(Struct):
    v: int
    generation: int
    instances: list[dict]  # the list, in discovery's form
    slots: list[str]
    nodes: dict[str, Seen]
    times: dict[str, list[int]]  # by class: its last attempts'
    common: float


def tried(state: FailureState) -> Tried:
    return Tried(state.consecutive_failures, state.connection_failed, state.next_probe_at, state.probes)


def told(balancer: Balancer, methods: dict, generation: int, instances: list[dict]) -> State:
    """What this process knows, for the next one."""
    names = {method: name for name, method in methods.items()}
    nodes = {
        node.name: Seen(
            tried(node.health), {names[m]: tried(one) for m, one in node.class_failures.items() if m in
            names}, node.started_at,
            node.was_draining, node.gone_at, node.concurrency_limit, node.admitted_share,
        )
        for node in {*balancer.servers.values(), *balancer.placement.slots} if not node.is_placeholder
    }  # fmt: skip
    slots = [node.name for node in balancer.placement.slots if not node.is_placeholder]
    times = {name: [*method.attempt_times] for name, method in methods.items()}
    return State(VERSION, generation, instances, slots, nodes, times, balancer.room.common)


def take(state: State, balancer: Balancer, methods: dict, now: int) -> None:
    """Goes on where the other process is: slot order, nodes' health, cold starts, windows and samples."""
    for name, seen in state.nodes.items():
        node = balancer.servers.get(name)
        if node is None:  # not listed any more: awaited at its slot as long as the other would
            node = Server(
                name, -2, state=ServerState.GONE, was_draining=seen.drained, gone_at=min(seen.left_at, now)
            )
            node.weight = sum(n.weight for n in balancer.servers.values()) / max(1, len(balancer.servers))
            balancer.servers[name] = node
        retry(node.health, seen.tried, now)
        for method, one in seen.errors.items():
            if method in methods:
                retry(node.class_failures.setdefault(methods[method], FailureState()), one, now)
        node.started_at = max(node.started_at, min(seen.started, now))
        node.concurrency_limit = min(Room.MOST, max(Room.LEAST, seen.window))
        node.admitted_share = min(1.0, max(Room.CLOSED, seen.share))
    for name, times in state.times.items():
        if name in methods:
            methods[name].attempt_times.extend(time for time in times[-64:] if time >= 0)
    balancer.room.common = min(1.0, max(Room.CLOSED, state.common))
    order = [balancer.servers[name] for name in dict.fromkeys(state.slots) if name in balancer.servers]
    balancer.placement.slots = [node for node in order if node.kind != balancer.origin_kind]
    balancer.placement.known.clear()
    balancer.placement.settle([n for n in balancer.servers.values() if n.kind != balancer.origin_kind], now)
    if balancer.order:  # the order is known: nobody is to be asked
        balancer.order.grown_at, balancer.order.next_at = now, None


def retry(one: FailureState, seen: Tried, now: int) -> None:
    one.consecutive_failures, one.probes = max(0, seen.failures), max(0, seen.trials)
    one.connection_failed = seen.broken
    one.next_probe_at = min(seen.trial_at, now + 10_000_000)  # longer than any pause


# --- The way from one process to the other ---


class Teller(LineReceiver):
    """The old process's end: tells all at once, and stays open for as long as both are there."""

    MAX_LENGTH = 64

    def __init__(self, handover: Handover):
        self.handover = handover

    def connectionMade(self) -> None:  # noqa: N802
        try:
            self.transport.write(msgspec.json.encode(self.handover.state()) + b"\r\n")
        except Exception:  # the next process goes on without, and this one serves on
            logger.exception("handover: what we know could not be told")
            self.transport.loseConnection()
        self.handover.came(self)

    def lineReceived(self, line: bytes) -> None:  # noqa: N802
        self.transport.abortConnection()  # nothing is to be said here

    def connectionLost(self, reason) -> None:  # noqa: N802
        self.handover.went(self)


class Listener(LineReceiver):
    """The new process's end."""

    MAX_LENGTH = MOST

    def __init__(self, handover: Handover):
        self.handover = handover

    def connectionMade(self) -> None:  # noqa: N802
        self.handover.came(self)

    def lineReceived(self, line: bytes) -> None:  # noqa: N802
        try:
            state = msgspec.json.decode(line, type=State)
            if state.v != VERSION:
                raise ValueError(f"version {state.v}")
        except ValueError as fault:  # msgspec's are: from another version, or not what it should be
            logger.warning("handover: what the old process told can't be used: {}", fault)
            state = None
        self.handover.heard(state)

    def lineLengthExceeded(self, line: bytes) -> None:  # noqa: N802
        logger.warning("handover: the old process told too much")
        self.handover.heard(None)
        self.transport.abortConnection()

    def connectionLost(self, reason) -> None:  # noqa: N802
        self.handover.heard(None)
        self.handover.went(self)


class Asking(ClientFactory):
    noisy = False

    def __init__(self, handover: Handover, path: Path):
        self.handover, self.path = handover, path

    def buildProtocol(self, addr) -> Listener:  # noqa: N802
        return Listener(self.handover)

    def clientConnectionFailed(self, connector, reason) -> None:  # noqa: N802
        if reason.check(ConnectError):
            self.path.unlink(missing_ok=True)  # a process that was killed left it
        self.handover.ask_next()


class Telling(ServerFactory):
    noisy = False

    def __init__(self, handover: Handover):
        self.handover = handover

    def buildProtocol(self, addr) -> Teller | None:  # noqa: N802
        return Teller(self.handover) if len(self.handover.open) < self.handover.FEW else None


class Handover:
    WAIT = 500_000  # for the old process's word: it may hang, and the new one owes its yes within 6 s
    FEW = 4  # connections of other processes; leftovers that are looked at

    def __init__(self, reactor, deadlines, now, folder: str | None, listen: tuple[str, int], state, two):
        """`state` makes what is told; `two` is told whether another process is there."""
        self.reactor, self.deadlines, self.now = reactor, deadlines, now
        self.state, self.two = state, two
        self.folder = Path(folder) if folder else None
        self.tag = "ivystack-" + blake2b(repr(listen).encode(), digest_size=4).hexdigest()
        self.open: dict[LineReceiver, None] = {}
        self.left: list[Path] = []  # sockets that are still to be asked at
        self.then = None  # told the state, once
        self.late: Deadline | None = None

    def ask(self, then) -> None:
        """Looks for an old process and tells `then` what it knows, or None; at the latest after `WAIT`."""
        self.then = then
        try:
            found = [*self.folder.glob(self.tag + "-*.sock")] if self.folder else []
            self.left = sorted(found, key=lambda path: path.stat().st_mtime)[-self.FEW :]  # newest last
        except OSError as fault:
            logger.warning("handover: {}: {}", fault.strerror, self.folder)
        self.late = self.deadlines.call_at(self.now() + self.WAIT, self.heard, None)
        self.ask_next()

    def ask_next(self) -> None:
        if not self.left or self.then is None:
            return self.heard(None)
        path = self.left.pop()
        self.reactor.connectUNIX(str(path), Asking(self, path), timeout=1)

    def heard(self, state: State | None) -> None:
        then, self.then = self.then, None
        if self.late is not None:
            self.late.cancel()
        if then is not None:
            then(state)

    def listen(self) -> None:
        """From now on the next process can ask us."""
        if self.folder is None:
            return
        path = self.folder / f"{self.tag}-{os.getpid()}.sock"
        try:
            path.unlink(missing_ok=True)
            self.reactor.listenUNIX(str(path), Telling(self), mode=0o600)
        except (CannotListenError, OSError) as fault:  # a path that is too long, a folder that is not there
            logger.warning("handover: the next process can't ask us: {}", fault)

    def came(self, other: LineReceiver) -> None:
        self.open[other] = None
        if len(self.open) == 1:
            self.two(True)

    def went(self, other: LineReceiver) -> None:
        if self.open.pop(other, self) is None and not self.open:
            self.two(False)
