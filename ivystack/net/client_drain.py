"""Draining of client connections, on an operator's request, at shutdown and in a hot restart."""

from __future__ import annotations

from typing import TYPE_CHECKING

from .deadlines import Deadline

if TYPE_CHECKING:
    from .client_connection import ClientConnection
    from .client_server import ClientServer


class ClientDrain:
    """Closes idle connections in batches over a period, and all other connections once they are answered.

    The period spreads the clients' reconnections to other processes.  All times are in microseconds.
    """

    INTERVAL = 20_000  # between batches
    CLOSES_PER_TURN, TURN_INTERVAL = 32, 1_000  # parts of a batch
    # Period over which idle connections are closed in a drain requested by an operator.  It ends well before
    # 4 s, by which no client may be connected.
    SPREAD = 1_000_000
    # Time after that period until commands that have not arrived completely are dropped.  That is just before
    # 2 s, from which on no client may send a request and such a command has no time left.
    PARTIAL_COMMAND_GRACE = 900_000
    # Commands that a connection may still send whole from then on.  More of them are a flood, which would
    # keep the connection open until the process is killed.
    MAX_LATE_COMMANDS = 256

    def __init__(self, server: ClientServer) -> None:
        self.server = server
        self.code = ""  # the code for the log of the connections that the drain closes; empty without a drain
        self.refuses_pings = False
        self.idle_closed_by = 0
        self.partial_closed_at = 0
        self.next_batch: Deadline | None = None  # the timer of the next batch
        # How many commands each connection had sent when partial ones began to be dropped.
        self._commands_before: dict[ClientConnection, int] = {}

    def start(self, code: str, spread: int, partial_command_grace: int, refuses_pings: bool = True) -> None:
        """Start to close connections.

        :param code: the reason for the log of each connection that the drain closes
        :param spread: the period over which idle connections are closed
        :param partial_command_grace: the time after that period until commands that have not arrived
            completely are dropped, because a request admitted late would still be active at the end
        :param refuses_pings: answer PING with an error, so that clients go to other processes
        """
        self.code, self.refuses_pings = code, refuses_pings
        self.idle_closed_by = self.server.now() + spread
        self.partial_closed_at = self.idle_closed_by + partial_command_grace
        if self.next_batch is not None:
            self.next_batch.cancel()
        self._close_next_batch()

    def stop(self) -> None:
        """Stop the drain; no further connections are closed."""
        self.code, self.refuses_pings = "", False
        self._commands_before.clear()
        if self.next_batch is not None:
            self.next_batch.cancel()

    @property
    def drops_partial_commands(self) -> bool:
        """Whether commands that have not arrived completely are dropped."""
        return bool(self.code) and self.server.now() >= self.partial_closed_at

    def is_flooded_by(self, client: ClientConnection) -> bool:
        """Return whether a client has sent too many commands since partial ones are dropped."""
        before = self._commands_before.get(client, client.commands_received)
        return client.commands_received - before > self.MAX_LATE_COMMANDS

    def forget(self, client: ClientConnection) -> None:
        """Forget a connection that has ended."""
        self._commands_before.pop(client, None)

    def _close_next_batch(self) -> None:
        server = self.server
        now = server.now()
        batches_left = max(1, -(-(self.idle_closed_by - now) // self.INTERVAL))
        idle = [client for client in server.idle_connections if client.at_message_boundary()]
        batch = idle[: -(-len(idle) // batches_left)]
        even_if_partial = self.drops_partial_commands
        if even_if_partial:
            for client in server.connections.values():
                self._commands_before.setdefault(client, client.commands_received)
            batch = [client for client in server.connections.values() if not client.pending]
        for first in range(0, len(batch), self.CLOSES_PER_TURN):
            # In later reactor turns, so that input that has arrived is read first.
            turn_at = now + 1 + first // self.CLOSES_PER_TURN * self.TURN_INTERVAL
            closed_then = batch[first : first + self.CLOSES_PER_TURN]
            server.deadlines.call_at(turn_at, self.close_batch, closed_then, even_if_partial)
        self.next_batch = server.deadlines.call_at(now + self.INTERVAL, self._close_next_batch)

    def close_batch(self, batch: list[ClientConnection], even_if_partial: bool, code: str = "") -> None:
        """Close the connections of a batch, except those on which a request has arrived meanwhile.

        :param even_if_partial: close a connection even if part of a command has arrived
        :param code: the reason for the log if there is no drain
        """
        code = self.code or code
        for client in batch:
            if client in self.server.turn_scheduler and not self.is_flooded_by(client):
                continue  # whole commands wait for their turn
            may_interrupt = even_if_partial or client.at_message_boundary()
            if code and client.all_answered() and may_interrupt:
                client.close_when_idle(code, even_if_partial)
