"""The pool of connections to one server, with the attempts that wait for one, and the pools' settings."""

from __future__ import annotations

from collections import deque
from dataclasses import dataclass
from typing import TYPE_CHECKING

from twisted.internet.interfaces import IConnector

if TYPE_CHECKING:
    from .in_flight_attempt import InFlightAttempt
    from .server_connection import ServerConnection


@dataclass(frozen=True, slots=True)
class PoolSettings:
    """The settings for connections to servers; times in microseconds."""

    idle_timeout: int  # of the servers: they close a connection that has been idle for this time
    connect_timeout: int
    max_in_flight: int  # attempts on one connection; with 1, abandoning an attempt closes the connection
    cache_aside: bool = False  # servers report a cache miss instead of fetching the value from the origin


class ServerPool:
    """A server's address, its connections, and the attempts that wait for a connection."""

    def __init__(self, name: str, address: tuple[str, int]) -> None:
        self.name, self.address = name, address
        self.is_ready = True  # according to the endpoint list
        self.consecutive_losses = 0  # connections lost in a row with attempts in flight
        # The connection that has been idle longest is used first.  This keeps all of them in use, and a close
        # by the server that crosses an attempt mostly comes right after an answer.
        self.idle: deque[ServerConnection] = deque()
        self.waiting: deque[InFlightAttempt] = deque()
        self.connections: dict[ServerConnection, None] = {}  # in every state, oldest first
        # Connections being opened; None while the reactor's call for the connector has not returned.
        self.connecting: dict[ServerConnection, IConnector | None] = {}

    def stop_connecting(self, connection: ServerConnection, code: str) -> None:
        """Give up a connection that is being opened; `code` is the reason."""
        connection.code = code
        connector = self.connecting.pop(connection, None)
        if connector is not None:
            connector.stopConnecting()  # type: ignore[misc]  # the interface's methods have no self

    def retire_connections(self, code: str) -> None:
        """Let the present connections carry nothing new, because they lead to a process that is gone."""
        for connection in [*self.connecting]:
            self.stop_connecting(connection, code)
        for connection in self.connections:
            connection.mark_finishing()
