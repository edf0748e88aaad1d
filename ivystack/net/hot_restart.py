"""Hot restart: the inherited listening socket, and the Unix socket on which the old process tells its state.

Two processes are one proxy meanwhile.  The platform holds the listening socket, so it is never shut down
here.  What the old process tells is not trusted, and whatever is wrong with it, the new one starts without.
"""

from __future__ import annotations

import os
import socket
from collections.abc import Callable
from hashlib import blake2b
from pathlib import Path
from typing import Any

import msgspec
from loguru import logger
from twisted.internet.error import CannotListenError, ConnectError
from twisted.internet.interfaces import IAddress, IConnector
from twisted.internet.protocol import ClientFactory, ServerFactory, connectionDone
from twisted.protocols.basic import LineReceiver
from twisted.python.failure import Failure

from . import listener
from .deadlines import Deadline, DeadlineQueue
from .hot_restart_state import VERSION, ProcessState

MAX_STATE_BYTES = 1 << 20  # some hundred servers are a tenth of it
MAX_REQUEST_BYTES = 64  # nothing is to be said to the old process
SOCKET_TAG_BYTES = 4
CONNECT_TIMEOUT_SECONDS = 1
SOCKET_MODE = 0o600  # the proxy's own user

StateCallback = Callable[[ProcessState | None], None]


def adopt_listening_socket(
    reactor: Any, descriptor: int, factory: listener.AcceptingFactory
) -> listener.ClientListener:
    """Accept clients at a listening socket that was inherited as this descriptor, and return the port.

    :raises OSError: if it is no descriptor or no socket.
    :raises ValueError: if it is no TCP socket or does not listen.  Each is one line for the log.
    """
    try:
        inherited = socket.socket(fileno=os.dup(descriptor))
    except OSError as fault:
        raise OSError(f"`LB_FD`: descriptor {descriptor}: {fault.strerror}") from None
    with inherited:
        if inherited.type != socket.SOCK_STREAM or inherited.family not in (socket.AF_INET, socket.AF_INET6):
            raise ValueError(f"`LB_FD`: descriptor {descriptor} is no TCP socket")
        if not inherited.getsockopt(socket.SOL_SOCKET, socket.SO_ACCEPTCONN):
            raise ValueError(f"`LB_FD`: descriptor {descriptor} does not listen")
        # Both processes accept from it: an accept that finds nothing, as the other was quicker, must not
        # block.
        inherited.setblocking(False)
        port = listener.adopt(reactor, inherited.fileno(), inherited.family, factory)
    os.close(descriptor)
    return port


class StateServer(LineReceiver):
    """The old process's end: tells its state at once, and stays open for as long as both are there."""

    MAX_LENGTH = MAX_REQUEST_BYTES
    transport: Any

    def __init__(self, hot_restart: HotRestart) -> None:
        self.hot_restart = hot_restart

    def connectionMade(self) -> None:  # noqa: N802, D102
        try:
            self.transport.write(msgspec.json.encode(self.hot_restart.export_state()) + b"\r\n")
        except Exception:  # the next process starts without, and this one serves on
            logger.exception("hot restart: the state could not be exported")
            self.transport.loseConnection()
        self.hot_restart.connection_opened(self)

    def lineReceived(self, line: bytes) -> None:  # noqa: N802, D102
        self.transport.abortConnection()  # nothing is to be said here

    def connectionLost(self, reason: Failure = connectionDone) -> None:  # noqa: N802, D102
        self.hot_restart.connection_closed(self)


class StateServerFactory(ServerFactory):
    """Serves the state to a few processes at once."""

    noisy = False

    def __init__(self, hot_restart: HotRestart) -> None:
        self.hot_restart = hot_restart

    def buildProtocol(self, addr: IAddress | None) -> StateServer | None:  # noqa: N802, D102
        is_full = len(self.hot_restart.connections) >= self.hot_restart.MAX_CONNECTIONS
        return None if is_full else StateServer(self.hot_restart)


class StateClient(LineReceiver):
    """The new process's end: reads the state, and stays open for as long as both are there."""

    MAX_LENGTH = MAX_STATE_BYTES
    transport: Any

    def __init__(self, hot_restart: HotRestart) -> None:
        self.hot_restart = hot_restart

    def connectionMade(self) -> None:  # noqa: N802, D102
        self.hot_restart.connection_opened(self)

    def lineReceived(self, line: bytes) -> None:  # noqa: N802, D102
        state: ProcessState | None = None
        try:
            state = msgspec.json.decode(line, type=ProcessState)
            if state.version != VERSION:
                raise ValueError(f"version {state.version}")
        except ValueError as fault:  # msgspec's are: from another version, or not what it should be
            logger.warning("hot restart: the old process's state can't be used: {}", fault)
            state = None
        self.hot_restart.state_received(state)

    def lineLengthExceeded(self, line: bytes) -> None:  # noqa: N802, D102
        logger.warning("hot restart: the old process's state is too long")
        self.hot_restart.state_received(None)
        self.transport.abortConnection()

    def connectionLost(self, reason: Failure = connectionDone) -> None:  # noqa: N802, D102
        self.hot_restart.state_received(None)
        self.hot_restart.connection_closed(self)


class StateClientFactory(ClientFactory):
    """Connects to one socket that an old process may have left or serves."""

    noisy = False

    def __init__(self, hot_restart: HotRestart, path: Path) -> None:
        self.hot_restart, self.path = hot_restart, path

    def buildProtocol(self, addr: IAddress | None) -> StateClient:  # noqa: N802, D102
        return StateClient(self.hot_restart)

    def clientConnectionFailed(self, connector: IConnector, reason: Failure) -> None:  # noqa: N802, D102
        if reason.check(ConnectError):
            self.path.unlink(missing_ok=True)  # a process that was killed left it
        self.hot_restart.ask_next()


class HotRestart:
    """Asks an old process for its state, serves it to the next one, and notes whether another is there."""

    STATE_TIMEOUT = 500_000  # microseconds: the old process may hang; the new one must be ready within 6 s
    MAX_CONNECTIONS = 4  # of other processes, and sockets of old ones that are tried

    def __init__(
        self,
        reactor: Any,
        deadlines: DeadlineQueue,
        now: Callable[[], int],
        folder: str | None,
        listen_address: tuple[str, int],
        export_state: Callable[[], ProcessState],
        on_other_process: Callable[[bool], None],
    ) -> None:
        """Keep sockets in `folder` (None: neither ask nor serve), named by the address that clients call.

        :param on_other_process: called with whether another process is there, when that changes.
        """
        self.reactor, self.deadlines, self.now = reactor, deadlines, now
        self.export_state, self.on_other_process = export_state, on_other_process
        self.folder = Path(folder) if folder else None
        digest = blake2b(repr(listen_address).encode(), digest_size=SOCKET_TAG_BYTES)
        self.tag = "ivystack-" + digest.hexdigest()
        self.connections: dict[LineReceiver, None] = {}  # to other processes
        self.untried: list[Path] = []  # sockets of old processes, the newest last
        self.on_state: StateCallback | None = None  # until it has been called
        self.timeout: Deadline | None = None

    def request_state(self, on_state: StateCallback) -> None:
        """Look for an old process and call `on_state` once with its state, or None after `STATE_TIMEOUT`."""
        self.on_state = on_state
        try:
            found = [*self.folder.glob(self.tag + "-*.sock")] if self.folder else []
            self.untried = sorted(found, key=lambda path: path.stat().st_mtime)[-self.MAX_CONNECTIONS :]
        except OSError as fault:
            logger.warning("hot restart: {}: {}", fault.strerror, self.folder)
        self.timeout = self.deadlines.call_at(self.now() + self.STATE_TIMEOUT, self.state_received, None)
        self.ask_next()

    def ask_next(self) -> None:
        """Ask at the newest socket that was not tried; without one there is no state."""
        if not self.untried or self.on_state is None:
            self.state_received(None)
            return
        path = self.untried.pop()
        factory = StateClientFactory(self, path)
        self.reactor.connectUNIX(str(path), factory, timeout=CONNECT_TIMEOUT_SECONDS)

    def state_received(self, state: ProcessState | None) -> None:
        """Pass on the state, or that there is none; what comes after the first call is ignored."""
        on_state, self.on_state = self.on_state, None
        if self.timeout is not None:
            self.timeout.cancel()
        if on_state is not None:
            on_state(state)

    def listen(self) -> None:
        """Serve the state to the next process from now on; a failure to listen is logged."""
        if self.folder is None:
            return
        path = self.folder / f"{self.tag}-{os.getpid()}.sock"
        try:
            path.unlink(missing_ok=True)
            self.reactor.listenUNIX(str(path), StateServerFactory(self), mode=SOCKET_MODE)
        except (CannotListenError, OSError) as fault:  # a path that is too long, a folder that is missing
            logger.warning("hot restart: the next process can't ask for the state: {}", fault)

    def connection_opened(self, connection: LineReceiver) -> None:
        """Note a connection to another process."""
        self.connections[connection] = None
        if len(self.connections) == 1:
            self.on_other_process(True)

    def connection_closed(self, connection: LineReceiver) -> None:
        """Note that a connection to another process has ended, by its end or ours."""
        if connection in self.connections:
            del self.connections[connection]
            if not self.connections:
                self.on_other_process(False)
