"""The proxy of one process: creates and connects its parts, starts, reconfigures and stops them."""

from __future__ import annotations

from collections.abc import Callable
from typing import Any

from loguru import logger
from twisted.internet.error import CannotListenError

from ..configuration.process import ProcessConfiguration
from ..early_call import EarlyCall
from ..model import ServerState
from .admin import AdminResponse, AdminServer
from .client_drain import ClientDrain
from .client_server import ClientServer, RequestCallbacks
from .clock import WallAnchoredClock
from .deadlines import DeadlineQueue
from .endpoint_gate import EndpointGate
from .endpoint_list import EndpointList
from .endpoint_watch import EndpointWatch
from .gossip_socket import GossipSocket
from .hot_restart import HotRestart, adopt_listening_socket
from .memory_budget import MemoryBudget, budget_capacity, max_connections
from .hot_restart_state import ProcessState, export_state, import_state
from .list_freshness import ListFreshness
from .listener import ClientListener, listen
from .request_handler import ANSWER_GRACE_US, RequestHandler
from .server_pool import PoolSettings
from .server_pools import ServerPools
from .shutdown import GracefulShutdown
from .turn_scheduler import TurnScheduler

LISTEN_BACKLOG = 1024  # client connections that the kernel queues until they are accepted
ADMIN_BACKLOG = 64
GOSSIP_BIND_RETRY_US = 100_000


class Proxy:
    """The proxy of one process; its public attributes are its parts.

    :param now: returns the current time in microseconds since 1970
    :param resident_bytes: returns how many bytes of memory the process uses
    """

    listen = staticmethod(listen)

    def __init__(
        self,
        configuration: ProcessConfiguration,
        reactor: Any,
        now: Callable[[], int] | None = None,
        resident_bytes: Callable[[], int] = lambda: 0,
    ) -> None:
        self.configuration, self.reactor, self.now = configuration, reactor, now or WallAnchoredClock()
        self.settings, self.balancer = configuration.settings, configuration.settings.balancer
        self.deadlines = DeadlineQueue(reactor, self.now)
        self.request_handler = handler = RequestHandler(self.settings, self.deadlines, self.now)
        self.memory = MemoryBudget(budget_capacity(configuration.memory_bytes, 0))
        self.turn_scheduler = TurnScheduler(reactor, self.now, self.notice_hang_ups)
        self.server_pools = self._create_server_pools()
        self.client_server = self._create_client_server()
        self.endpoints = EndpointList(self.settings, self.server_pools, handler, self.now)
        self.list_freshness = ListFreshness(self.settings.drain_grace, self.settings.lists_are_pushed)
        self.endpoint_watch = self._create_endpoint_watch()
        self.endpoint_gate = self._create_endpoint_gate()
        self.gossip = GossipSocket(configuration.peers, handler.receive_gossip)
        handler.connect(self.server_pools, self.gossip, self.endpoint_gate)
        self.hot_restart = HotRestart(
            reactor,
            self.deadlines,
            self.now,
            configuration.restart_folder,
            configuration.listen,
            self.export_state,
            self.other_process_present,
        )
        self.admin = AdminServer(
            self.deadlines, self.now, self.readiness, self.start_draining, self.stop_draining
        )
        self.process_limits = configuration.descriptors, configuration.memory_bytes  # fixed at the start
        self.resident_bytes, self.initial_bytes = resident_bytes, 0
        self.shares_limits = False  # with the other process of a hot restart
        self.port: ClientListener | None = None
        self.started = False
        self.shutdown = GracefulShutdown(self)

    def _create_server_pools(self) -> ServerPools:
        return ServerPools(
            self.reactor,
            self.deadlines,
            self.now,
            self.pool_settings(self.configuration),
            self.configuration.descriptors,
            self.memory,
            self.turn_scheduler,
            self.request_handler.attempt_ended,
            self.request_handler.client_is_waiting,
            lambda: self.endpoint_gate.allows_attempts(),
        )

    def _create_endpoint_watch(self) -> EndpointWatch:
        return EndpointWatch(
            self.reactor,
            self.deadlines,
            self.now,
            self.settings.poll_backoff,
            self.configuration.discovery,
            self.endpoints.update,
            self.list_freshness,
            self.endpoints.batch,
        )

    def _create_endpoint_gate(self) -> EndpointGate:
        return EndpointGate(
            self.reactor,
            self.endpoint_watch,
            self.list_freshness,
            self.deadlines,
            self.now,
            self.request_handler.held.release,
        )

    def _create_client_server(self) -> ClientServer:
        handler, configuration = self.request_handler, self.configuration
        return ClientServer(
            self.reactor,
            self.deadlines,
            self.now,
            RequestCallbacks(
                admit=handler.admit,
                begin=handler.begin,
                abandon=handler.abandon,
                was_abandoned=handler.was_abandoned,
                abort_upload=handler.long_writes.aborted,
                is_ready=self.has_ready_server,
            ),
            self.settings.request_classes,
            self.settings.tenants,
            self._max_clients(configuration.descriptors),
            self.memory,
            self.turn_scheduler,
        )

    def _max_clients(self, sockets: int) -> int:
        """Return the bound for client connections of a process that may have this many sockets."""
        reserved = self.server_pools.max_connections + ClientServer.RESERVED_DESCRIPTORS
        return min(
            max(ClientServer.EVICTION_BATCH, sockets - reserved), max_connections(self.memory.capacity)
        )

    def _apply_limits(self) -> None:
        """Set the limits of connections and their memory, so that two processes together stay within them."""
        sockets, memory_bytes = (limit // 2 if self.shares_limits else limit for limit in self.process_limits)
        self.memory.set_capacity(budget_capacity(memory_bytes, self.initial_bytes))
        self.server_pools.set_limit(sockets)
        self.client_server.set_limit(self._max_clients(sockets))

    def measure_memory(self) -> None:
        """Set the memory budget from what the process uses now, while it has no clients."""
        self.initial_bytes = self.resident_bytes()
        self._apply_limits()

    def notice_hang_ups(self) -> None:
        """End the requests of clients that have hung up while their input waits to be handled."""
        self.client_server.hang_up_monitor.check()

    def pool_settings(self, configuration: ProcessConfiguration) -> PoolSettings:
        """Return the settings for connections to servers that a configuration contains."""
        max_in_flight = self.settings.streams_per_connection if self.settings.hedging_enabled else 1
        cache_aside = self.balancer.parameters.origin_kind >= 0
        return PoolSettings(
            configuration.idle_timeout_us, configuration.connect_timeout_us, max_in_flight, cache_aside
        )

    def has_ready_server(self) -> bool:
        """Return whether any server is listed as ready."""
        return any(server.state == ServerState.READY for server in self.balancer.servers.values())

    # Start.

    def use_early_call(self, early_call: EarlyCall | None) -> None:
        """Take the first answer of discovery from a call that was made before the proxy was created."""
        self.endpoint_watch.agent.early_call = early_call

    def start(self) -> None:
        """Start serving; in a hot restart, first wait for the old process's state, up to a timeout."""
        self._log_warnings(self.configuration)
        if self.configuration.known_endpoints:
            try:
                self.endpoint_watch.load_known(self.configuration.known_endpoints)
            except Exception as error:  # start without it: discovery will send a list
                logger.error(
                    "configuration: could not load endpoint list `known`, starting without it: {}: {}",
                    type(error).__name__,
                    error,
                )
        if self.configuration.admin:  # first, so that readiness checks are answered "not ready" meanwhile
            host, port = self.configuration.admin
            self.reactor.listenTCP(port, self.admin, backlog=ADMIN_BACKLOG, interface=host)
        if self.configuration.inherited_descriptor is not None:
            self.hot_restart.request_state(self.start_serving)
        else:
            self.start_serving(None)

    def start_serving(self, state: ProcessState | None) -> None:
        """Import the old process's state, if there is one, and open the sockets.

        Stop the reactor if a socket can't be opened.
        """
        if self.is_stopping:  # SIGTERM arrived while waiting for the state: nothing would close the port
            return
        try:
            self.import_state(state)
            self.open_sockets()
        except Exception as error:
            logger.error("proxy could not start: {}", error)
            self.reactor.stop()

    def open_sockets(self) -> None:
        """Start accepting clients and watching the endpoint list."""
        self.measure_memory()
        if self.configuration.peer_listen:
            self.open_gossip_socket(*self.configuration.peer_listen)
        if self.configuration.inherited_descriptor is not None:
            self.port = adopt_listening_socket(
                self.reactor, self.configuration.inherited_descriptor, self.client_server
            )
            self.hot_restart.listen()
        else:
            self.port = self.listen(
                self.reactor, *self.configuration.listen, self.client_server, LISTEN_BACKLOG
            )
        self.list_freshness.started(self.now())
        self.endpoint_gate.close("start")  # in the turn in which the port opens: nothing is read before
        logger.info("proxy started name={} nodes={}", self.configuration.name, len(self.balancer.servers))
        self.started = True
        self.request_handler.due.run()

    def open_gossip_socket(self, host: str, port: int) -> None:
        """Bind the address for gossip.

        In a hot restart the old process uses the address until it receives SIGTERM.  The proxy can serve
        without gossip, so binding is retried in the background.

        :raises CannotListenError: if the address can't be bound and this is no hot restart.
        """
        if self.is_stopping:
            return
        try:
            self.reactor.listenUDP(port, self.gossip, interface=host)
        except CannotListenError:
            if self.configuration.inherited_descriptor is None:
                raise
            retry_at = self.now() + GOSSIP_BIND_RETRY_US
            self.deadlines.call_at(retry_at, self.open_gossip_socket, host, port)

    def _log_warnings(self, configuration: ProcessConfiguration) -> None:
        for line in configuration.warnings():
            logger.warning("configuration: {}", line)

    # Hot restart.

    def import_state(self, state: ProcessState | None) -> None:
        """Continue from the old process's state; log a state that can't be imported."""
        if state is None:
            return
        try:
            if state.generation >= self.endpoint_watch.generation:
                listing = dict(generation=state.generation, reset=True, instances=state.instances)
                self.endpoint_watch.load_known(listing)
            import_state(state, self.balancer, self.settings.request_classes, self.now())
        except Exception as error:
            logger.error(
                "hot restart: importing the old process's state failed: {}: {}", type(error).__name__, error
            )
        else:
            generation, slots = state.generation, len(state.slots)
            logger.info("hot restart: state imported generation={} slots={}", generation, slots)

    def export_state(self) -> ProcessState:
        """Return the state for the next process, with the endpoint list in discovery's format."""
        classes, generation = self.settings.request_classes, self.endpoint_watch.generation
        return export_state(self.balancer, classes, generation, self.endpoints.entries())

    def other_process_present(self, is_present: bool) -> None:
        """Halve the limits while another process serves too, so that both together stay within them."""
        logger.info("hot restart: another process has appeared or ended other_process={}", is_present)
        self.shares_limits = is_present
        self._apply_limits()

    # Configuration.

    def reload(self, configuration: ProcessConfiguration) -> None:
        """Apply the settings, discovery address and peers of a new configuration.

        Other keys take effect at the next start.  The configuration has been validated, so that it can't be
        rejected after part of it was applied.
        """
        for key in self.configuration.changed_fixed_keys(configuration):
            logger.warning("configuration: the changed `{}` takes effect at the next start", key)
        self._log_warnings(configuration)
        replaced = self.settings.apply(configuration.settings)
        configuration.settings, self.configuration = self.settings, configuration
        self.client_server.set_names(self.settings.request_classes, self.settings.tenants)
        self.server_pools.configure(self.pool_settings(configuration))
        logger.info(
            "configuration applied discovery={}:{} classes={} changed={}",
            *configuration.discovery,
            len(self.settings.request_classes),
            len(replaced),
        )
        if replaced:  # discarded after their last request has ended
            last_deadline = max(self.request_handler.latest_deadline(), self.now())
            self.deadlines.call_at(last_deadline + 2 * ANSWER_GRACE_US, self.settings.discard, replaced)
        self.gossip.set_peers(configuration.peers)
        self.list_freshness.configure(self.settings.drain_grace, self.settings.lists_are_pushed)
        self.endpoint_watch.change_address(configuration.discovery)
        self.request_handler.due.run()

    # Shutdown.

    @property
    def is_stopping(self) -> bool:
        """Whether the graceful shutdown has begun."""
        return self.shutdown.has_started

    def terminate(self) -> None:
        """Shut down gracefully: serve for a short time, then answer the active requests and stop."""
        self.shutdown.start()

    # The admin server's calls.

    def readiness(self) -> AdminResponse:
        """Return whether this proxy is ready for clients."""
        if self.is_stopping or self.client_server.drain.code:
            return AdminResponse(503, "draining")
        if self.started and self.has_ready_server():
            return AdminResponse(200, "ready")
        return AdminResponse(503, "no cache node is ready")

    def start_draining(self) -> AdminResponse:
        """Begin to close client connections; requests that still arrive are served."""
        if not self.is_stopping and not self.client_server.drain.code:
            clients, requests = len(self.client_server.connections), len(self.request_handler.requests)
            logger.info(
                "drain started on an admin request; closing client connections clients={} requests={}",
                clients,
                requests,
            )
            self.client_server.drain.start("drained", ClientDrain.SPREAD, ClientDrain.PARTIAL_COMMAND_GRACE)
        return AdminResponse(200, "draining")

    def stop_draining(self) -> AdminResponse:
        """End the drain; refused while the process shuts down."""
        if self.is_stopping:
            return AdminResponse(409, "stopping: there is no way back")
        if self.client_server.drain.code:
            logger.info("drain cancelled on an admin request clients={}", len(self.client_server.connections))
            self.client_server.drain.stop()
        return AdminResponse(200, "serving")
