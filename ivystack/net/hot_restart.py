"""Hot restart: the inherited listening socket, and the Unix socket on which the old process sends its state.

During a hot restart two processes serve as one proxy.  The platform owns the listening socket, so this module
never shuts it down.  The state of the old process is not trusted: if anything is wrong with it, the new
process starts without it.
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

MAX_STATE_BYTES = 1 << 20  # the state of a few hundred servers takes a tenth of it
MAX_REQUEST_BYTES = 64  # the old process expects no request
SOCKET_DIGEST_BYTES = 4
CONNECT_TIMEOUT_SECONDS = 1
SOCKET_MODE = 0o600  # accessible to the proxy's user only

StateCallback = Callable[[ProcessState | None], None]


def adopt_listening_socket(
    reactor: Any, descriptor: int, factory: listener.AcceptingFactory
) -> listener.ClientListener:
    """Accept clients on the listening socket inherited as `descriptor`, and return the port.

    The message of each error is a single line, for the log.

    :raises OSError: if `descriptor` is not open or not a socket.
    :raises ValueError: if the socket is not a TCP socket or does not listen.
    """
    try:
        inherited = socket.socket(fileno=os.dup(descriptor))
    except OSError as error:
        raise OSError(f"`LB_FD`: descriptor {descriptor}: {error.strerror}") from None
    with inherited:
        if inherited.type != socket.SOCK_STREAM or inherited.family not in (socket.AF_INET, socket.AF_INET6):
            raise ValueError(f"`LB_FD`: descriptor {descriptor} is not a TCP socket")
        if not inherited.getsockopt(socket.SOL_SOCKET, socket.SO_ACCEPTCONN):
            raise ValueError(f"`LB_FD`: descriptor {descriptor} does not listen")
        # Both processes accept from this socket.  An accept must not block when the other process has already
        # taken the connection.
        inherited.setblocking(False)
        port = listener.adopt(reactor, inherited.fileno(), inherited.family, factory)
    os.close(descriptor)
    return port


class StateServer(LineReceiver):
    """The old process's connection: sends the state at once, and stays open until one process ends."""

    MAX_LENGTH = MAX_REQUEST_BYTES
    transport: Any

    def __init__(self, hot_restart: HotRestart) -> None:
        self.hot_restart = hot_restart

    def connectionMade(self) -> None:  # noqa: N802, D102
        try:
            self.transport.write(msgspec.json.encode(self.hot_restart.export_state()) + b"\r\n")
        except Exception:  # the next process starts without the state, and this one continues to serve
            logger.exception("hot restart: exporting the state for the next process failed")
            self.transport.loseConnection()
        self.hot_restart.connection_opened(self)

    def lineReceived(self, line: bytes) -> None:  # noqa: N802, D102
        self.transport.abortConnection()  # the new process must not send anything

    def connectionLost(self, reason: Failure = connectionDone) -> None:  # noqa: N802, D102
        self.hot_restart.connection_closed(self)


class StateServerFactory(ServerFactory):
    """Creates connections that serve the state, up to `HotRestart.MAX_CONNECTIONS` at a time."""

    noisy = False

    def __init__(self, hot_restart: HotRestart) -> None:
        self.hot_restart = hot_restart

    def buildProtocol(self, addr: IAddress | None) -> StateServer | None:  # noqa: N802, D102
        is_full = len(self.hot_restart.connections) >= self.hot_restart.MAX_CONNECTIONS
        return None if is_full else StateServer(self.hot_restart)


class StateClient(LineReceiver):
    """The new process's connection: reads the state, and stays open until one process ends."""

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
                raise ValueError(f"unsupported version {state.version}")
        except ValueError as error:  # another version, or malformed: msgspec's errors are ValueErrors
            logger.warning("hot restart: starting without the old process's state: {}", error)
            state = None
        self.hot_restart.state_received(state)

    def lineLengthExceeded(self, line: bytes) -> None:  # noqa: N802, D102
        logger.warning("hot restart: starting without the old process's state: the state is too long")
        self.hot_restart.state_received(None)
        self.transport.abortConnection()

    def connectionLost(self, reason: Failure = connectionDone) -> None:  # noqa: N802, D102
        self.hot_restart.state_received(None)
        self.hot_restart.connection_closed(self)


class StateClientFactory(ClientFactory):
    """Connects to a socket that an old process serves or has left behind."""

    noisy = False

    def __init__(self, hot_restart: HotRestart, path: Path) -> None:
        self.hot_restart, self.path = hot_restart, path

    def buildProtocol(self, addr: IAddress | None) -> StateClient:  # noqa: N802, D102
        return StateClient(self.hot_restart)

    def clientConnectionFailed(self, connector: IConnector, reason: Failure) -> None:  # noqa: N802, D102
        if reason.check(ConnectError):
            self.path.unlink(missing_ok=True)  # left behind by a process that was killed
        self.hot_restart.request_from_next()


class HotRestart:
    """Requests an old process's state, serves the state to the next process, and detects other processes."""

    # Microseconds.  The old process may hang, and the new process must be ready within 6 s.
    STATE_TIMEOUT = 500_000
    MAX_CONNECTIONS = 4  # to other processes; also limits the sockets of old processes that are tried

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
        """Use sockets in `folder`, named after the address on which clients are accepted.

        :param folder: None disables both requesting and serving the state.
        :param on_other_process: called with True when another process is detected, with False when none is
            left.
        """
        self.reactor, self.deadlines, self.now = reactor, deadlines, now
        self.export_state, self.on_other_process = export_state, on_other_process
        self.folder = Path(folder) if folder else None
        digest = blake2b(repr(listen_address).encode(), digest_size=SOCKET_DIGEST_BYTES)
        self.socket_prefix = "ivystack-" + digest.hexdigest()
        self.connections: dict[LineReceiver, None] = {}  # to other processes
        self.untried_sockets: list[Path] = []  # sockets of old processes, newest last
        self.on_state: StateCallback | None = None  # None once it has been called
        self.timeout: Deadline | None = None

    def request_state(self, on_state: StateCallback) -> None:
        """Request an old process's state, and call `on_state` once with the state.

        The argument is None if no process sends a usable state, or none within `STATE_TIMEOUT`.
        """
        self.on_state = on_state
        try:
            found = [*self.folder.glob(self.socket_prefix + "-*.sock")] if self.folder else []
            self.untried_sockets = sorted(found, key=lambda path: path.stat().st_mtime)[
                -self.MAX_CONNECTIONS :
            ]
        except OSError as error:
            logger.warning("hot restart: can't look for an old process: {}: {}", error.strerror, self.folder)
        self.timeout = self.deadlines.call_at(self.now() + self.STATE_TIMEOUT, self.state_received, None)
        self.request_from_next()

    def request_from_next(self) -> None:
        """Connect to the newest untried socket; if none is left, report that there is no state."""
        if not self.untried_sockets or self.on_state is None:
            self.state_received(None)
            return
        path = self.untried_sockets.pop()
        factory = StateClientFactory(self, path)
        self.reactor.connectUNIX(str(path), factory, timeout=CONNECT_TIMEOUT_SECONDS)

    def state_received(self, state: ProcessState | None) -> None:
        """Pass on the state, or None; ignore all calls after the first."""
        on_state, self.on_state = self.on_state, None
        if self.timeout is not None:
            self.timeout.cancel()
        if on_state is not None:
            on_state(state)

    def listen(self) -> None:
        """Start serving the state to the next process; log a failure to listen."""
        if self.folder is None:
            return
        path = self.folder / f"{self.socket_prefix}-{os.getpid()}.sock"
        try:
            path.unlink(missing_ok=True)
            self.reactor.listenUNIX(str(path), StateServerFactory(self), mode=SOCKET_MODE)
        except (CannotListenError, OSError) as error:  # the path may be too long or the folder missing
            logger.warning("hot restart: the state can't be served to the next process: {}", error)

    def connection_opened(self, connection: LineReceiver) -> None:
        """Record a connection to another process."""
        self.connections[connection] = None
        if len(self.connections) == 1:
            self.on_other_process(True)

    def connection_closed(self, connection: LineReceiver) -> None:
        """Record that a connection to another process was closed by either side."""
        if connection in self.connections:
            del self.connections[connection]
            if not self.connections:
                self.on_other_process(False)
