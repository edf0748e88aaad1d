"""The connections to all cache servers: opening, reuse and limits, and the outcome of each attempt."""

from __future__ import annotations

from collections import OrderedDict
from collections.abc import Callable, Container, Iterable
from itertools import islice
from typing import Any

from loguru import logger

from ..model import Outcome, Request
from .attempt_endings import AttemptEndings
from .connection_factory import ConnectionFactory
from .deadlines import DeadlineQueue
from .in_flight_attempt import InFlightAttempt
from .memory_budget import MemoryBudget, max_connections
from .server_connection import ServerConnection
from .server_pool import PoolSettings, ServerPool
from .server_state import ConnectionState
from .slot_table import SlotTable
from .streams import ResponseStream
from .turn_scheduler import TurnScheduler

CONNECT_TIMEOUT_CODE = "connect-timeout"
NO_DESCRIPTOR_CODE = "no-descriptor"

OutcomeCallback = Callable[[InFlightAttempt, Outcome, "bytes | ResponseStream | None"], None]


class ServerPools:
    """The connection pools of all servers, which share one limit of sockets.

    Each attempt passed to `send` gets exactly one outcome, by a call of `on_outcome` after `send` returned.
    An attempt whose bytes were written to an open connection never gets the outcome NOT_SENT.
    """

    # Several times the usual concurrency, and a small part of a server's connection table.
    MAX_CONNECTIONS_PER_SERVER = 16
    SOCKETS_PER_CONNECTION = 3  # one third of the process's sockets may be connections to servers
    IDLE_TIMEOUT_FRACTION = 0.8  # this side closes first, as the server's close could cross an attempt
    PIPELINE_FROM = 6  # connections to a server before attempts are pipelined
    MAX_DISCARDED_BYTES = 262_144  # of an abandoned answer: reading them is cheaper than a new connection

    def __init__(
        self,
        reactor: Any,
        deadlines: DeadlineQueue,
        now: Callable[[], int],
        settings: PoolSettings,
        sockets: int,
        memory: MemoryBudget,
        turn_scheduler: TurnScheduler,
        on_outcome: OutcomeCallback,
        is_wanted: Callable[[Request], bool],
        may_send: Callable[[], bool],
    ) -> None:
        """Start without pools; `sockets` is passed to `set_limit`.

        :param memory: the budget of what all connections hold
        :param turn_scheduler: shares each reactor turn among all connections
        :param is_wanted: returns whether a request's client is still connected.
        :param may_send: returns whether attempts may go out by the present endpoint list; it may change that.
        """
        self.reactor, self.deadlines, self.now = reactor, deadlines, now
        self.on_outcome, self.is_wanted, self.may_send = on_outcome, is_wanted, may_send
        self.connections: SlotTable[ServerConnection] = SlotTable()
        self.pools: dict[str, ServerPool] = {}  # by the server's name
        self.idle_connections: OrderedDict[ServerConnection, None] = OrderedDict()  # longest idle first
        self.memory, self.turn_scheduler = memory, turn_scheduler
        self.endings = AttemptEndings(self)
        self.configure(settings)
        self.set_limit(sockets)

    def configure(self, settings: PoolSettings) -> None:
        """Apply new settings."""
        self.idle_timeout = int(settings.idle_timeout * self.IDLE_TIMEOUT_FRACTION)
        self.connect_timeout = settings.connect_timeout
        self.max_in_flight = settings.max_in_flight
        self.cache_aside = settings.cache_aside

    def set_limit(self, sockets: int) -> None:
        """Set the socket limit of the whole process, after the memory budget was set."""
        in_memory = max_connections(self.memory.capacity)
        self.max_connections = min(sockets // self.SOCKETS_PER_CONNECTION, in_memory)
        excess = max(0, len(self.connections) - self.max_connections)
        self._close_idle([*islice(self.idle_connections, excess)], "no-room")

    # The endpoint list.

    def update_address(self, name: str, address: tuple[str, int], restarted: bool) -> None:
        """Set a server's address, and whether the server has restarted.

        Open connections lead to the process at the old address or before the restart, and so may those that
        are being opened.  They carry nothing new: idle ones are closed, busy ones once their attempts have
        ended.  Attempts that wait for a connection end with NOT_SENT and are decided again.
        """
        pool = self.pools.get(name)
        if pool is None:
            self.pools[name] = ServerPool(name, address)
        elif pool.address != address or restarted:
            pool.address = address
            self.close_idle(pool, "moved")
            self._return_waiting_attempts(pool)
            pool.retire_connections("moved")

    def set_ready(self, name: str, is_ready: bool) -> None:
        """Set whether a server accepts new attempts; if not, close its idle connections.

        A draining server has a short grace period, and some servers wait for their connections to end.
        """
        pool = self.pools.get(name)
        if pool is None:
            return
        pool.is_ready = is_ready
        if not is_ready:
            self.close_idle(pool, "unlisted")
            self._return_waiting_attempts(pool)

    def forget_unlisted(self, listed: Container[str]) -> None:
        """Remove pools of unlisted servers that have neither connections nor waiting attempts."""
        for pool in [*self.pools.values()]:
            if pool.name not in listed and not pool.connections and not pool.waiting:
                del self.pools[pool.name]

    def release(self, name: str) -> None:
        """Close a server's idle connections."""
        if name in self.pools:
            self.close_idle(self.pools[name], "released")

    def close_idle(self, pool: ServerPool, code: str) -> None:
        """Close a pool's idle connections; `code` is logged as the reason."""
        self._close_idle([*pool.idle], code)

    def mark_stopping(self) -> None:
        """Record, for the log, that all connections end because the process stops."""
        for connection in self.connections.values():
            connection.mark_stopping()

    def _close_idle(self, connections: Iterable[ServerConnection], code: str) -> None:
        for connection in connections:
            self._remove_from_idle(connection)
            connection.close(code)

    def _return_waiting_attempts(self, pool: ServerPool) -> None:
        for in_flight in [*pool.waiting]:
            self.endings.finish(in_flight, Outcome.NOT_SENT)

    # Sending attempts.

    def send(self, in_flight: InFlightAttempt, server: str, timeout_at: int) -> None:
        """Send an attempt on a connection to the server, or queue it until there is one."""
        pool = in_flight.pool = self.pools[server]
        in_flight.deadlines.append(self.deadlines.call_at(timeout_at, self.endings.time_out, in_flight))
        connection = self._idle_connection(pool) or self._pipelined_connection(pool, in_flight, timeout_at)
        if connection is not None:
            connection.send_attempt(in_flight)
            return
        pool.waiting.append(in_flight)
        connect_by = min(timeout_at, self.now() + self.connect_timeout, in_flight.attempt.send_by)
        in_flight.deadlines.append(
            self.deadlines.call_at(connect_by, self.endings.connection_wait_expired, in_flight)
        )
        self._open_connection(pool)

    def _idle_connection(self, pool: ServerPool) -> ServerConnection | None:
        """Take the connection of a pool that has been idle longest, and skip those that are closing."""
        while pool.idle:
            connection = pool.idle[0]
            self._remove_from_idle(connection)
            if connection.accepts_attempts:
                return connection
        return None

    def _pipelined_connection(
        self, pool: ServerPool, in_flight: InFlightAttempt, timeout_at: int
    ) -> ServerConnection | None:
        """Return a connection on which to pipeline the attempt; None if it has to wait for another.

        An attempt with an early `send_by` is never pipelined: whatever delays the attempts before it would
        delay it too, in this process's socket or the server's, so that it could begin too late.
        """
        fair_share = max(2, self.max_connections // len(self.pools))  # so that every server gets connections
        if len(pool.connections) < min(self.PIPELINE_FROM, fair_share) or self.max_in_flight <= 1:
            return None
        if in_flight.attempt.send_by <= timeout_at + self.endings.ABANDONED_TIMEOUT:
            return None
        candidates = [other for other in pool.connections if other.can_pipeline(self.max_in_flight)]
        return min(candidates, key=lambda connection: len(connection.in_flight), default=None)

    def _open_connection(self, pool: ServerPool) -> None:
        """Open a connection if more attempts wait than connections are being opened, within the limits.

        At the limit for all servers, close the connection that has been idle longest instead; once that is
        closed, one is opened for this pool.
        """
        enough_connecting = len(pool.connecting) >= len(pool.waiting)
        if enough_connecting or len(pool.connections) >= self.MAX_CONNECTIONS_PER_SERVER:
            return
        if len(self.connections) >= self.max_connections:
            self._close_idle([*islice(self.idle_connections, 1)], "no-room")
            return
        connection = ServerConnection(self, pool)
        pool.connections[connection] = None
        pool.connecting[connection] = None
        give_up_at = self.now() + self.connect_timeout
        connection.deadline = self.deadlines.call_at(give_up_at, self._connect_timed_out, connection)
        connector = self.reactor.connectTCP(*pool.address, ConnectionFactory(connection), timeout=None)
        if connection in pool.connecting:  # the connection may have failed within the call
            pool.connecting[connection] = connector

    # Events of connections.

    def connection_made(self, connection: ServerConnection) -> None:
        """Put an established connection to use."""
        connection.pool.connecting.pop(connection, None)
        connection.cancel_deadline()
        self.reuse(connection)

    def reuse(self, connection: ServerConnection) -> None:
        """Send the next waiting attempt on a connection that carries none, or keep the connection idle."""
        pool = connection.pool
        may_send = not pool.waiting or self.may_send()
        if not connection.accepts_attempts:
            if not connection.in_flight:
                connection.close("moved")
            return
        while pool.waiting and not connection.in_flight:  # `finish` may have sent another attempt on it
            in_flight = pool.waiting[0]
            if not self.is_wanted(in_flight.attempt.request):
                self.endings.finish(in_flight, Outcome.NOT_SENT)  # its client has disconnected
            elif may_send and self.now() < in_flight.attempt.send_by:
                connection.send_attempt(pool.waiting.popleft())
                return
            else:  # too late to be sent safely, or by an endpoint list that may be out of date
                self.endings.finish(pool.waiting[0], Outcome.NOT_SENT)
        if connection.in_flight:
            return
        if not pool.is_ready:
            connection.close("unlisted")
            return
        pool.idle.append(connection)
        self.idle_connections[connection] = None
        connection.mark_idle()
        idle_until = self.now() + self.idle_timeout
        connection.deadline = self.deadlines.call_at(idle_until, self._idle_timed_out, connection)

    def connection_lost(self, connection: ServerConnection, code: str) -> None:
        """Handle the end of a connection, or a failure to open it; `code` is the reason."""
        pool = connection.pool
        self._remove_from_idle(connection)
        connection.memory.close()
        self.turn_scheduler.forget(connection)
        pool.connections.pop(connection, None)
        pool.connecting.pop(connection, None)
        connect_failed = connection.state is ConnectionState.CONNECTING
        connection.state = ConnectionState.CLOSED
        self.connections.remove(connection.slot)
        logger.info(
            "server connection closed server={} connection={} attempts={} code={}",
            pool.name,
            connection.slot,
            connection.attempts_sent,
            code,
        )
        if not connection.only_abandoned_attempts:
            self.endings.finish_lost(connection)
        if (
            connect_failed and code != CONNECT_TIMEOUT_CODE and pool.waiting
        ):  # waiting attempts have their own timeouts
            # Without a free descriptor in this process, the server is reported as overloaded.
            lacks_descriptor = code == NO_DESCRIPTOR_CODE
            self.endings.finish(
                pool.waiting[0], Outcome.OVERLOADED if lacks_descriptor else Outcome.CONNECTION_REFUSED
            )
        for waiting_pool in [pool] if pool.waiting else self._pools_at_limit():
            self._open_connection(waiting_pool)

    def _remove_from_idle(self, connection: ServerConnection) -> None:
        """Remove a connection from the idle ones if it is idle, and cancel its timeout."""
        if connection in self.idle_connections:
            del self.idle_connections[connection]
            connection.pool.idle.remove(connection)
            connection.mark_busy()
        connection.cancel_deadline()

    def _idle_timed_out(self, connection: ServerConnection) -> None:
        self._close_idle([connection], "idle")

    def _connect_timed_out(self, connection: ServerConnection) -> None:
        connection.pool.stop_connecting(connection, CONNECT_TIMEOUT_CODE)

    def _pools_at_limit(self) -> list[ServerPool]:
        """Return the pools whose attempts wait because of the limit on all connections; empty below it."""
        if len(self.connections) + 1 < self.max_connections:
            return []
        return [pool for pool in self.pools.values() if pool.waiting]
