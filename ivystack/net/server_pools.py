"""All connections to cache servers: reuse, opening, limits, and the outcome of each attempt."""

from __future__ import annotations

from collections import OrderedDict
from collections.abc import Callable, Container, Iterable
from itertools import islice
from typing import Any

from loguru import logger

from ..model import Outcome, Request
from .deadlines import DeadlineQueue
from .in_flight_attempt import InFlightAttempt
from .resp import MAX_BUFFERED_VALUE
from .server_connection import ConnectionFactory, ConnectionState, ServerConnection
from .server_pool import PoolSettings, ServerPool
from .slot_table import SlotTable
from .streams import MIN_WINDOW, ResponseStream
from .trace import trace

WINDOWS_PER_RELAY = 3  # a server connection's piece, the client's, and what lies between them
CONNECT_TIMEOUT_CODE = "connect-timeout"
NO_DESCRIPTOR_CODE = "no-descriptor"

OutcomeCallback = Callable[[InFlightAttempt, Outcome, "bytes | ResponseStream | None"], None]


class ServerPools:
    """The pools of all servers, within one limit of sockets.

    Each attempt given to `send` gets exactly one outcome, told to `on_outcome` and never from within `send`.
    An attempt whose bytes were handed to an open connection is never reported as not sent.
    """

    # Several times the usual concurrency, and a small part of a server's connection table.
    MAX_CONNECTIONS_PER_SERVER = 16
    SOCKETS_PER_CONNECTION = 3  # of the process's sockets, one in so many is for servers
    IDLE_TIMEOUT_FRACTION = 0.8  # we close before the server does: its close may cross an attempt
    PIPELINE_FROM = 6  # connections to a server, from which on an attempt goes behind others
    MAX_DISCARDED_BYTES = 262_144  # of an unwanted answer: reading them is cheaper than a new connection
    ABANDONED_TIMEOUT = 1_000_000  # microseconds: most late answers come by then, a hung server's never

    def __init__(
        self,
        reactor: Any,
        deadlines: DeadlineQueue,
        now: Callable[[], int],
        settings: PoolSettings,
        sockets: int,
        relay_memory: int,
        on_outcome: OutcomeCallback,
        is_wanted: Callable[[Request], bool],
    ) -> None:
        """Start without a pool; `sockets` and `relay_memory` (bytes) as for `set_limits`.

        :param is_wanted: whether a request's client is still there.
        """
        self.reactor, self.deadlines, self.now = reactor, deadlines, now
        self.on_outcome, self.is_wanted = on_outcome, is_wanted
        self.connections: SlotTable[ServerConnection] = SlotTable()
        self.pools: dict[str, ServerPool] = {}  # by the server's name
        self.idle_connections: OrderedDict[ServerConnection, None] = OrderedDict()  # longest idle first
        self.relays: dict[ServerConnection, ResponseStream] = {}
        self.configure(settings)
        self.set_limits(sockets, relay_memory)

    def configure(self, settings: PoolSettings) -> None:
        """Use these settings from now on."""
        self.idle_timeout = int(settings.idle_timeout * self.IDLE_TIMEOUT_FRACTION)
        self.connect_timeout = settings.connect_timeout
        self.max_in_flight = settings.max_in_flight
        self.cache_aside = settings.cache_aside

    def set_limits(self, sockets: int, relay_memory: int) -> None:
        """Limit the sockets of the whole process, and the bytes of long values that wait to be forwarded."""
        self.max_connections, self.relay_memory = sockets // self.SOCKETS_PER_CONNECTION, relay_memory
        excess = max(0, len(self.connections) - self.max_connections)
        self._close_idle([*islice(self.idle_connections, excess)], "no-room")

    def relay_window(self) -> int:
        """Return how many bytes at a time one more long value may be read."""
        share = self.relay_memory // (WINDOWS_PER_RELAY * (len(self.relays) + 1))
        return max(MIN_WINDOW, min(MAX_BUFFERED_VALUE, share))

    # The endpoint list.

    def update_address(self, name: str, address: tuple[str, int], restarted: bool) -> None:
        """Note where a server is.  At a new address, or once restarted, it has a new process.

        What is open leads to the old one: idle connections are closed, and attempts that wait for one are
        decided anew.
        """
        pool = self.pools.get(name)
        if pool is None:
            self.pools[name] = ServerPool(name, address)
        elif pool.address != address or restarted:
            pool.address = address
            self.close_idle(pool, "moved")
            self._return_waiting_attempts(pool)

    def set_ready(self, name: str, is_ready: bool) -> None:
        """Note whether a server takes new attempts; one that does not keeps no idle connection.

        A draining server's grace period is short, and some wait for their connections to end.
        """
        pool = self.pools.get(name)
        if pool is None:
            return
        pool.is_ready = is_ready
        if not is_ready:
            self.close_idle(pool, "unlisted")
            self._return_waiting_attempts(pool)

    def forget_unlisted(self, listed: Container[str]) -> None:
        """Drop the pools of servers that are not listed any more and have nothing open or waiting."""
        for pool in [*self.pools.values()]:
            if pool.name not in listed and not pool.connections and not pool.waiting:
                del self.pools[pool.name]

    def release(self, name: str) -> None:
        """Close a server's idle connections."""
        if name in self.pools:
            self.close_idle(self.pools[name], "released")

    def close_idle(self, pool: ServerPool, code: str) -> None:
        """Close a pool's idle connections with an end code."""
        self._close_idle([*pool.idle], code)

    def mark_stopping(self) -> None:
        """Note, for the log, that the process ends all connections from now on."""
        for connection in self.connections.values():
            connection.mark_stopping()

    def _close_idle(self, connections: Iterable[ServerConnection], code: str) -> None:
        for connection in connections:
            self._take_from_idle(connection)
            connection.close(code)

    def _return_waiting_attempts(self, pool: ServerPool) -> None:
        for in_flight in [*pool.waiting]:
            self.finish(in_flight, Outcome.NOT_SENT)

    # Sending attempts.

    def send(self, in_flight: InFlightAttempt, server: str, timeout_at: int) -> None:
        """Send an attempt on a connection to the server, or have it wait for one."""
        pool = in_flight.pool = self.pools[server]
        in_flight.deadlines.append(self.deadlines.call_at(timeout_at, self._time_out, in_flight))
        connection = self._idle_connection(pool) or self._pipelined_connection(pool, in_flight, timeout_at)
        if connection is not None:
            connection.send_attempt(in_flight)
            return
        pool.waiting.append(in_flight)
        connect_by = min(timeout_at, self.now() + self.connect_timeout, in_flight.attempt.send_by)
        in_flight.deadlines.append(self.deadlines.call_at(connect_by, self._not_connected, in_flight))
        self._open_connection(pool)

    def _idle_connection(self, pool: ServerPool) -> ServerConnection | None:
        """Take a pool's connection that has been idle longest; those that are closing are passed over."""
        while pool.idle:
            connection = pool.idle[0]
            self._take_from_idle(connection)
            if connection.accepts_attempts:
                return connection
        return None

    def _pipelined_connection(
        self, pool: ServerPool, in_flight: InFlightAttempt, timeout_at: int
    ) -> ServerConnection | None:
        """Return a connection on which the attempt can go behind others, if it should rather than wait.

        One that must be sent in time goes behind nothing: what holds back those before it would hold it
        back too, in our socket or in the server's, past the time at which it may still begin.
        """
        fair_share = max(2, self.max_connections // len(self.pools))  # all servers' shall fit our limit
        if len(pool.connections) < min(self.PIPELINE_FROM, fair_share) or self.max_in_flight <= 1:
            return None
        if in_flight.attempt.send_by <= timeout_at + self.ABANDONED_TIMEOUT:
            return None
        candidates = [one for one in pool.connections if one.can_pipeline(self.max_in_flight)]
        return min(candidates, key=lambda connection: len(connection.in_flight), default=None)

    def _open_connection(self, pool: ServerPool) -> None:
        """Open a connection where attempts wait for more than are being opened, within the limits.

        At the limit of all, the connection that is idle longest is closed instead: its end opens one here.
        """
        is_enough = len(pool.connecting) >= len(pool.waiting)
        if is_enough or len(pool.connections) >= self.MAX_CONNECTIONS_PER_SERVER:
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
        if connection in pool.connecting:  # it may have failed within the call
            pool.connecting[connection] = connector

    # Ending attempts.

    def cancel(self, in_flight: InFlightAttempt) -> None:
        """Abandon an attempt whose answer is not needed any more."""
        self._abandon(in_flight, Outcome.CANCELLED)

    def restart_timeout(self, in_flight: InFlightAttempt, timeout_at: int) -> None:
        """Give an attempt a new timeout: the last byte of its long write has gone out only now."""
        in_flight.cancel_deadlines()
        in_flight.deadlines = [self.deadlines.call_at(timeout_at, self._time_out, in_flight)]

    def finish(
        self, in_flight: InFlightAttempt, outcome: Outcome, value: bytes | ResponseStream | None = None
    ) -> None:
        """Give an attempt its outcome, once; whatever comes later is ignored."""
        if in_flight.has_ended:
            return
        in_flight.has_ended = True
        connection = in_flight.connection
        if trace.enabled:
            slot = connection.slot if connection else "none"
            server = in_flight.pool.name
            trace.step(in_flight.frame.request_id, "ended", server=server, connection=slot, outcome=outcome)
        in_flight.cancel_deadlines()
        if connection is None:
            in_flight.pool.waiting.remove(in_flight)
        if in_flight.upload is not None and in_flight.has_unsent_bytes():
            in_flight.upload.attempt_failed()
        self.on_outcome(in_flight, outcome, value)

    def finish_all(self, connection: ServerConnection, outcome: Outcome) -> None:
        """Give the oldest attempt on a connection its outcome; those behind it are cancelled."""
        for in_flight in [*connection.in_flight]:
            if not in_flight.has_ended:
                self.finish(in_flight, outcome)
                outcome = Outcome.CANCELLED

    def _time_out(self, in_flight: InFlightAttempt) -> None:
        self._abandon(in_flight, Outcome.TIMED_OUT)

    def _not_connected(self, in_flight: InFlightAttempt) -> None:
        if in_flight.connection is not None:
            return
        if self.now() >= in_flight.attempt.send_by:
            self.finish(in_flight, Outcome.NOT_SENT)
        elif in_flight.pool.connecting:
            self.finish(in_flight, Outcome.CONNECTION_REFUSED)
        else:  # counts as overload of the server, although our own limit caused it
            self.finish(in_flight, Outcome.OVERLOADED)

    def _abandon(self, in_flight: InFlightAttempt, outcome: Outcome) -> None:
        """End an attempt that nobody waits for any more.

        Where several may be on a connection, the answer may come a little longer, to be thrown away: a new
        connection costs the server more work than that, and the next request its time.
        """
        if in_flight.has_ended:
            return
        is_cancelled = outcome is Outcome.CANCELLED
        connection, code = in_flight.connection, "called-off" if is_cancelled else "out-of-time"
        if connection is None or in_flight.has_unsent_bytes():
            # CONNECTION_REFUSED, although it timed out: that outcome proves that nothing ran.
            self.finish(in_flight, Outcome.NOT_SENT if is_cancelled else Outcome.CONNECTION_REFUSED)
            if connection is not None:
                connection.abort(code)
            return
        others = [other for other in connection.in_flight if other is not in_flight]
        if self.max_in_flight <= 1 and all(other.has_ended for other in others):
            connection.abort(code)
        elif not any(other.has_ended for other in others):  # else the timeout runs already
            # Also where a connection takes one at a time by now, for those that are on it from before.
            self._await_abandoned(connection, code)
        self.finish(in_flight, outcome)

    def _await_abandoned(self, connection: ServerConnection, code: str) -> None:
        timeout_at = self.now() + self.ABANDONED_TIMEOUT
        connection.deadline = self.deadlines.call_at(timeout_at, self._abandoned_timed_out, connection, code)

    def _abandoned_timed_out(self, connection: ServerConnection, code: str) -> None:
        """Drop a connection that owes only unwanted answers, and the server's idle ones with it.

        Where one connection says nothing more, the idle ones are no better.
        """
        if connection.relay is None and connection.only_abandoned_attempts:
            self.close_idle(connection.pool, "suspect")
            connection.abort(code)
        else:
            self._await_abandoned(connection, code)

    # Events of connections.

    def connection_made(self, connection: ServerConnection) -> None:
        """Use a connection that has been established."""
        connection.pool.connecting.pop(connection, None)
        connection.cancel_deadline()
        self.reuse(connection)

    def reuse(self, connection: ServerConnection) -> None:
        """Send the next attempt that waits on a connection that carries none, or keep it idle."""
        pool = connection.pool
        while pool.waiting and not connection.in_flight:  # an outcome may have led to an attempt on it
            in_flight = pool.waiting[0]
            if not self.is_wanted(in_flight.attempt.request):
                self.finish(in_flight, Outcome.NOT_SENT)  # its client has gone
            elif self.now() < in_flight.attempt.send_by:
                connection.send_attempt(pool.waiting.popleft())
                return
            else:  # the connection came too late for its window, not for its timeout
                self.finish(pool.waiting[0], Outcome.NOT_SENT)
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
        """Note the end of a connection, or of the attempt to open it, with its end code."""
        pool = connection.pool
        self._take_from_idle(connection)
        self.relays.pop(connection, None)
        pool.connections.pop(connection, None)
        pool.connecting.pop(connection, None)
        connect_failed = connection.state is ConnectionState.CONNECTING
        connection.state = ConnectionState.CLOSED
        self.connections.remove(connection.slot)
        logger.info(
            "end server={} connection={} attempts={} code={}",
            pool.name,
            connection.slot,
            connection.attempts_sent,
            code,
        )
        if not connection.only_abandoned_attempts:
            self._finish_lost(connection)
        if connect_failed and code != CONNECT_TIMEOUT_CODE and pool.waiting:  # attempts time out themselves
            # Counts as overload of the server, although this process lacks the descriptor.
            lacks_descriptor = code == NO_DESCRIPTOR_CODE
            self.finish(
                pool.waiting[0], Outcome.OVERLOADED if lacks_descriptor else Outcome.CONNECTION_REFUSED
            )
        for starved in [pool] if pool.waiting else self._starved_pools():
            self._open_connection(starved)

    def _finish_lost(self, connection: ServerConnection) -> None:
        """Give the attempts on a lost connection their outcomes.

        The end of a connection that was kept tells nothing of the server, but what was sent may have run.
        """
        connection.pool.consecutive_losses += 1
        for in_flight in [*connection.in_flight]:
            if in_flight.has_unsent_bytes():  # both outcomes prove that nothing ran
                kept = connection.was_kept_alive
                self.finish(in_flight, Outcome.NOT_SENT if kept else Outcome.CONNECTION_REFUSED)
        kept = connection.was_kept_alive
        self.finish_all(connection, Outcome.CANCELLED if kept else Outcome.CONNECTION_LOST)

    def _take_from_idle(self, connection: ServerConnection) -> None:
        """Take a connection from the idle ones, if it is one, and cancel its timeout."""
        if connection in self.idle_connections:
            del self.idle_connections[connection]
            connection.pool.idle.remove(connection)
            connection.mark_busy()
        connection.cancel_deadline()

    def _idle_timed_out(self, connection: ServerConnection) -> None:
        self._close_idle([connection], "idle")

    def _connect_timed_out(self, connection: ServerConnection) -> None:
        connection.code = CONNECT_TIMEOUT_CODE
        connector = connection.pool.connecting.get(connection)
        if connector is not None:
            connector.stopConnecting()  # type: ignore[misc]  # the interface's methods have no self

    def _starved_pools(self) -> list[ServerPool]:
        """Return the pools with attempts that the limit of all connections kept from a connection."""
        if len(self.connections) + 1 < self.max_connections:
            return []
        return [pool for pool in self.pools.values() if pool.waiting]
