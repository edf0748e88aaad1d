"""One health check of a server: a connection, a PING and its answer."""

from __future__ import annotations

from collections.abc import Callable
from typing import Any

from twisted.internet.protocol import ClientFactory

from ..net.resp import RespProtocol, encode_command

TIMEOUT = 400_000  # microseconds for connection and answer: a slower server is in no state to be used


class PingProtocol(RespProtocol):
    """Sends one PING and nothing else, ever; `done` gets whether it was answered, and may get more calls."""

    transport: Any

    def __init__(self, done: Callable[[bool], None]) -> None:
        super().__init__()
        self.done = done

    def connectionMade(self) -> None:  # noqa: N802, D102
        self.transport.write(encode_command(b"PING"))

    def value_received(self, value: Any) -> None:
        """Take the answer."""
        self.done(value == "+PONG")
        self.transport.loseConnection()

    def fail_protocol(self, why: str) -> None:
        """Take bytes that are no answer."""
        self.done(False)
        self.transport.loseConnection()

    def connectionLost(self, reason: Any = None) -> None:  # noqa: N802, D102
        self.done(False)


class PingFactory(ClientFactory):
    """Makes the one connection of a check."""

    noisy = False

    def __init__(self, done: Callable[[bool], None]) -> None:
        self.done = done

    def buildProtocol(self, addr: Any) -> PingProtocol:  # noqa: N802, D102
        return PingProtocol(self.done)

    def clientConnectionFailed(self, connector: Any, reason: Any) -> None:  # noqa: N802, D102
        self.done(False)


def probe(
    reactor: Any, deadlines: Any, now: int, address: tuple[str, int], done: Callable[[bool], None]
) -> None:
    """Check the server at `address`; `done` is called once, with whether it answered within `TIMEOUT`."""
    pending = True

    def finish(reached: bool) -> None:
        nonlocal pending
        if pending:
            pending = False
            done(reached)

    def time_out() -> None:
        finish(False)
        connector.disconnect()

    deadlines.call_at(now + TIMEOUT, time_out)
    connector = reactor.connectTCP(*address, PingFactory(finish), timeout=TIMEOUT / 1e6)
