"""Sending clients away: for the operators, at shutdown and in a hot restart."""

from __future__ import annotations

from itertools import takewhile
from typing import TYPE_CHECKING

from .deadlines import Deadline

if TYPE_CHECKING:
    from .client_connection import ClientConnection
    from .client_server import ClientServer


class ClientDrain:
    """Closes connections without a request in hand, spread over some time, and all others once answered.

    Clients come back elsewhere spread over that time.  All times are microseconds.
    """

    INTERVAL = 20_000  # between batches
    # Over which idle connections are closed where the operators call for it: it ends well before the 4 s at
    # which no client may be left.
    SPREAD = 1_000_000
    # After which commands that have not arrived completely are given up: at 2 s, after which no client may
    # send a request, such a command has no time left.
    PARTIAL_COMMAND_GRACE = 900_000

    def __init__(self, server: ClientServer) -> None:
        self.server = server
        self.code = ""  # with which connections are closed; empty: no drain
        self.refuses_pings = False
        self.idle_closed_by = 0
        self.partial_closed_at = 0
        self.next_batch: Deadline | None = None  # its deadline

    def start(self, code: str, spread: int, partial_command_grace: int, refuses_pings: bool = True) -> None:
        """Begin to close connections.

        :param spread: over so long idle connections are closed
        :param partial_command_grace: so long after that, commands that have not arrived completely are given
            up: a request admitted late would still be held at the end
        """
        self.code, self.refuses_pings = code, refuses_pings
        self.idle_closed_by = self.server.now() + spread
        self.partial_closed_at = self.idle_closed_by + partial_command_grace
        if self.next_batch is not None:
            self.next_batch.cancel()
        self._close_next_batch()

    def stop(self) -> None:
        """End the drain: nothing more is closed."""
        self.code, self.refuses_pings = "", False
        if self.next_batch is not None:
            self.next_batch.cancel()

    def _close_next_batch(self) -> None:
        server = self.server
        now = server.now()
        batches_left = max(1, -(-(self.idle_closed_by - now) // self.INTERVAL))
        idle = [client for client in server.idle_connections if client.at_message_boundary()]
        batch = idle[: -(-len(idle) // batches_left)]
        silent_since = now - server.MIN_SILENCE
        batch += takewhile(lambda unused: unused.last_input_at < silent_since, server.unused_connections)
        even_if_partial = now >= self.partial_closed_at
        if even_if_partial:
            batch = [client for client in server.connections.values() if not client.pending]
        if batch:  # a turn later, so that what has arrived by now is read first
            server.deadlines.call_at(now + 1, self.close_batch, batch, even_if_partial)
        self.next_batch = server.deadlines.call_at(now + self.INTERVAL, self._close_next_batch)

    def close_batch(self, batch: list[ClientConnection], even_if_partial: bool, code: str = "") -> None:
        """Close these connections; one on which a request has arrived meanwhile is served first."""
        code = self.code or code
        for client in batch:
            partial_allowed = even_if_partial or client.at_message_boundary()
            if code and client.all_answered() and partial_allowed:
                client.close_when_idle(code, even_if_partial)
