"""The factory with which the reactor opens a connection to a cache server."""

from __future__ import annotations

from twisted.internet.error import ConnectBindError
from twisted.internet.interfaces import IAddress, IConnector
from twisted.internet.protocol import ClientFactory
from twisted.python.failure import Failure

from .server_connection import ServerConnection


class ConnectionFactory(ClientFactory):
    """Returns the connection that was created for its connector."""

    noisy = False

    def __init__(self, connection: ServerConnection) -> None:
        self.connection = connection

    def buildProtocol(self, addr: IAddress | None) -> ServerConnection:  # noqa: N802, D102
        return self.connection

    def clientConnectionFailed(self, connector: IConnector, reason: Failure) -> None:  # noqa: N802, D102
        lacks_descriptor = reason.check(ConnectBindError)
        code = "no-descriptor" if lacks_descriptor else f"refused: {type(reason.value).__name__}"
        self.connection.pools.connection_lost(self.connection, self.connection.code or code)
