"""The connections to one server, the attempts that wait for one, and what is set for both."""

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
    """What a configuration tells of connections to servers; times are microseconds."""

    idle_timeout: int  # after which servers close an idle connection
    connect_timeout: int
    max_in_flight: int  # attempts on a connection at once; with 1, to abandon an attempt is to close
    cache_aside: bool = False  # servers tell that they lack a value, and fetch none themselves


class ServerPool:
    """A server's address and what is open or waiting there."""

    def __init__(self, name: str, address: tuple[str, int]) -> None:
        self.name, self.address = name, address
        self.is_ready = True  # as listed
        self.consecutive_losses = 0  # connections in a row that ended with attempts in flight
        # The one used longest ago is used next: a server's close that crosses an attempt mostly comes right
        # after an answer, and all stay in use.
        self.idle: deque[ServerConnection] = deque()
        self.waiting: deque[InFlightAttempt] = deque()
        self.connections: dict[ServerConnection, None] = {}  # in every state, oldest first
        # Those being opened; None while the reactor's call for the connector has not returned.
        self.connecting: dict[ServerConnection, IConnector | None] = {}
