"""A health check of a server: connect, send a PING and wait for the answer."""

from __future__ import annotations

from collections.abc import Callable
from typing import Any

from twisted.internet.protocol import ClientFactory

from ..net.resp import RespProtocol, encode_command

TIMEOUT = 400_000  # microseconds for connection and answer; a slower server is not fit for use


class PingProtocol(RespProtocol):
    """Sends a single PING and nothing else; the first call of `callback` says whether it was answered.

    Later calls of `callback` must be ignored.
    """

    transport: Any

    def __init__(self, callback: Callable[[bool], None]) -> None:
        super().__init__()
        self.callback = callback

    def connectionMade(self) -> None:  # noqa: N802, D102
        self.transport.write(encode_command(b"PING"))

    def value_received(self, value: Any) -> None:
        """Report whether the answer is the expected one and close the connection."""
        self.callback(value == "+PONG")
        self.transport.loseConnection()

    def fail_protocol(self, reason: str) -> None:
        """Report failure on bytes that are not RESP and close the connection."""
        self.callback(False)
        self.transport.loseConnection()

    def connectionLost(self, reason: Any = None) -> None:  # noqa: N802, D102
        self.callback(False)


class PingFactory(ClientFactory):
    """Creates the protocol of a health check's connection."""

    noisy = False

    def __init__(self, callback: Callable[[bool], None]) -> None:
        self.callback = callback

    def buildProtocol(self, addr: Any) -> PingProtocol:  # noqa: N802, D102
        return PingProtocol(self.callback)

    def clientConnectionFailed(self, connector: Any, reason: Any) -> None:  # noqa: N802, D102
        self.callback(False)


def probe(
    reactor: Any, deadlines: Any, now: int, address: tuple[str, int], callback: Callable[[bool], None]
) -> None:
    """Check the server at `address`; call `callback` once with whether it answered within `TIMEOUT`.

    :param now: the current time in microseconds.
    """
    pending = True

    def finish(reached: bool) -> None:
        nonlocal pending
        if pending:
            pending = False
            callback(reached)

    def time_out() -> None:
        finish(False)
        connector.disconnect()

    deadlines.call_at(now + TIMEOUT, time_out)
    connector = reactor.connectTCP(*address, PingFactory(finish), timeout=TIMEOUT / 1e6)
