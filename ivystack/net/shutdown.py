"""The graceful shutdown of a process: it serves for a short time, answers the active requests and stops."""

from __future__ import annotations

from typing import TYPE_CHECKING

from loguru import logger
from twisted.internet.error import ConnectionDone
from twisted.python.failure import Failure

from .listener import ClientListener

if TYPE_CHECKING:
    from .proxy import Proxy

SHUTDOWN_POLL_US = 10_000


class GracefulShutdown:
    """Stops a proxy, from SIGTERM on."""

    # Clients keep opening connections for part of the first 0.5 s after SIGTERM.
    STOP_ACCEPTING_DELAY_US = 500_000
    # Additional time for commands that have arrived in part.  Nothing is admitted later than 0.7 s after
    # SIGTERM, because SIGKILL may follow 0.7 s after the longest deadline and requests still active are lost.
    PARTIAL_COMMAND_GRACE_US = 200_000
    # SIGKILL follows SIGTERM after at least the longest deadline (3 s at most) plus 0.7 s.  Requests admitted
    # near the end of that time must be answered before SIGKILL, even after a stall of 0.15 s.
    MAX_CLIENT_TIMEOUT_US, KILL_DELAY_US, STALL_ALLOWANCE_US = 3_000_000, 700_000, 150_000

    def __init__(self, proxy: Proxy) -> None:
        self.proxy = proxy
        self.has_started = False

    def start(self) -> None:
        """Begin to shut down; a second call has no effect."""
        if self.has_started:
            return
        self.has_started = True
        proxy = self.proxy
        longest_timeout = min(self.MAX_CLIENT_TIMEOUT_US, proxy.settings.longest_deadline())
        time_left = longest_timeout + self.KILL_DELAY_US - self.STALL_ALLOWANCE_US
        proxy.request_handler.answer_by = proxy.now() + time_left
        # Another process accepts on an inherited port, or will.
        inherited = proxy.configuration.inherited_descriptor is not None
        logger.info("graceful shutdown started requests={}", len(proxy.request_handler.requests))
        proxy.client_server.drain.start(
            "stopping",
            self.STOP_ACCEPTING_DELAY_US,
            self.PARTIAL_COMMAND_GRACE_US,
            refuses_pings=not inherited,
        )
        if inherited:
            proxy.gossip.close()
        delay = 0 if inherited else self.STOP_ACCEPTING_DELAY_US
        proxy.deadlines.call_at(proxy.now() + delay, self.stop_accepting)

    def stop_accepting(self) -> None:
        """Close the port, and stop the reactor once no client is connected."""
        if self.proxy.port is not None:
            self._close_port(self.proxy.port)
        self._stop_when_idle()

    def _close_port(self, port: ClientListener) -> None:
        """Close the port after accepting the connections in its backlog, which the kernel would reset.

        The backlog of an inherited port is left to the other process.
        """
        port.stopReading()
        if self.proxy.configuration.inherited_descriptor is None:
            capacity = self.proxy.client_server.available_capacity()
            port.accept_waiting(max(ClientListener.ACCEPTS_PER_TURN, capacity))
        port.connectionLost(Failure(ConnectionDone()))  # at once: later, more clients would have connected

    def _stop_when_idle(self) -> None:
        proxy = self.proxy
        if proxy.request_handler.requests or proxy.client_server.connections:
            proxy.deadlines.call_at(proxy.now() + SHUTDOWN_POLL_US, self._stop_when_idle)
            return
        logger.info("proxy stopped: all clients are disconnected")
        proxy.endpoint_watch.stop()
        proxy.server_pools.mark_stopping()
        proxy.reactor.stop()
