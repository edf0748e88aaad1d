"""One proxy: creates and connects its parts, starts them, reloads their settings and shuts them down."""

from __future__ import annotations

from collections.abc import Callable
from typing import Any

from loguru import logger
from twisted.internet.error import CannotListenError, ConnectionDone
from twisted.python.failure import Failure

from ..configuration.process import ProcessConfiguration
from ..model import ServerState
from .admin import AdminResponse, AdminServer
from .client_drain import ClientDrain
from .client_server import ClientServer, RequestCallbacks
from .clock import WallAnchoredClock
from .deadlines import DeadlineQueue
from .endpoint_list import EndpointList
from .endpoint_watch import EndpointWatch
from .gossip_socket import GossipSocket
from .hot_restart import HotRestart, adopt_listening_socket
from .hot_restart_state import ProcessState, export_state, import_state
from .listener import ClientListener, listen
from .request_handler import ANSWER_GRACE_US, RequestHandler
from .server_pool import PoolSettings
from .server_pools import ServerPools

LISTEN_BACKLOG = 1024  # clients that the kernel holds until they are accepted
ADMIN_BACKLOG = 64
GOSSIP_BIND_RETRY_US = 100_000
FINISH_POLL_US = 10_000
LISTED_LIFECYCLES = {ServerState.READY: "SERVING", ServerState.DRAINING: "DRAINING"}
MICROSECONDS_PER_MILLISECOND = 1_000


class Proxy:
    """The proxy of one process: public attributes are its parts.

    :param now: the clock, microseconds since 1970.
    """

    listen = staticmethod(listen)
    STOP_ACCEPTING_DELAY_US = 500_000  # after SIGTERM: new connections go on coming for part of it
    # After that, for commands that have arrived in part.  From 0.7 s on nothing is admitted: SIGKILL comes
    # that long after the longest deadline, and what it finds is lost.
    PARTIAL_COMMAND_GRACE_US = 200_000
    # SIGKILL comes no sooner after SIGTERM than the longest deadline, counted as 3 s at most, and 0.7 s.
    # What is admitted near the end of that time is answered before it, also after a stall of 0.15 s.
    MAX_CLIENT_TIMEOUT_US, KILL_DELAY_US, STALL_ALLOWANCE_US = 3_000_000, 700_000, 150_000

    def __init__(self, run: ProcessConfiguration, reactor: Any, now: Callable[[], int] | None = None) -> None:
        self.run, self.reactor, self.now = run, reactor, now or WallAnchoredClock()
        self.settings, self.balancer = run.settings, run.settings.balancer
        self.deadlines = DeadlineQueue(reactor, self.now)
        self.request_handler = handler = RequestHandler(self.settings, self.deadlines, self.now)
        self.server_pools = ServerPools(
            reactor,
            self.deadlines,
            self.now,
            self.pool_settings(run),
            run.descriptors,
            run.memory_bytes // ClientServer.VALUE_MEMORY_DIVISOR,
            handler.attempt_ended,
            handler.client_is_waiting,
        )
        self.client_server = self._create_client_server()
        self.endpoints = EndpointList(self.settings, self.server_pools, handler, self.now)
        self.endpoint_watch = EndpointWatch(
            reactor,
            self.deadlines,
            self.now,
            self.settings.poll_backoff,
            run.discovery,
            self.endpoints.update,
        )
        self.gossip = GossipSocket(run.peers, handler.receive_gossip)
        handler.connect(self.server_pools, self.gossip)
        self.hot_restart = HotRestart(
            reactor,
            self.deadlines,
            self.now,
            run.restart_folder,
            run.listen,
            self.export_state,
            self.other_process_present,
        )
        self.admin = AdminServer(
            self.deadlines, self.now, self.readiness, self.start_draining, self.stop_draining
        )
        self.limits = run.descriptors, run.memory_bytes  # as at the start
        self.port: ClientListener | None = None
        self.started = self.ending = False

    def _create_client_server(self) -> ClientServer:
        handler, run = self.request_handler, self.run
        reserved = self.server_pools.max_connections + ClientServer.RESERVED_DESCRIPTORS
        return ClientServer(
            self.reactor,
            self.deadlines,
            self.now,
            RequestCallbacks(
                admit=handler.admit,
                begin=handler.begin,
                abandon=handler.abandon,
                abort_upload=handler.upload_aborted,
                is_ready=self.has_ready_server,
            ),
            self.settings.request_classes,
            self.settings.tenants,
            run.descriptors - reserved,
            run.memory_bytes,
        )

    def pool_settings(self, run: ProcessConfiguration) -> PoolSettings:
        """Return what a configuration tells of the connections to servers."""
        max_in_flight = self.settings.streams_per_connection if self.settings.hedging_enabled else 1
        cache_aside = self.balancer.parameters.origin_kind >= 0
        return PoolSettings(run.idle_timeout_us, run.connect_timeout_us, max_in_flight, cache_aside)

    def has_ready_server(self) -> bool:
        """Return whether a server is listed as ready."""
        return any(server.state == ServerState.READY for server in self.balancer.servers.values())

    # Start.

    def start(self) -> None:
        """Start serving, with a hot restart once the old process has sent its state or none came."""
        self._log_warnings(self.run)
        if self.run.known_endpoints:
            try:
                self.endpoint_watch.load_known(self.run.known_endpoints)
            except Exception as fault:  # the watch will bring a list
                logger.error("known: a list that can't be used: {}: {}", type(fault).__name__, fault)
        if self.run.admin:  # before all else: it answers that it is not ready until it is
            host, port = self.run.admin
            self.reactor.listenTCP(port, self.admin, backlog=ADMIN_BACKLOG, interface=host)
        if self.run.inherited_descriptor is not None:
            self.hot_restart.request_state(self.start_serving)
        else:
            self.start_serving(None)

    def start_serving(self, state: ProcessState | None) -> None:
        """Import the old process's state, if there is one, and open the sockets.

        A failure to open them stops the reactor.
        """
        if self.ending:  # SIGTERM came while the state was awaited: nobody would close the port
            return
        try:
            self.import_state(state)
            self.open_sockets()
        except Exception as fault:
            logger.error("could not start: {}", fault)
            self.reactor.stop()

    def open_sockets(self) -> None:
        """Accept clients, and begin to watch the endpoint list."""
        if self.run.peer_listen:
            self.open_gossip_socket(*self.run.peer_listen)
        if self.run.inherited_descriptor is not None:
            self.port = adopt_listening_socket(
                self.reactor, self.run.inherited_descriptor, self.client_server
            )
            self.hot_restart.listen()
        else:
            self.port = self.listen(self.reactor, *self.run.listen, self.client_server, LISTEN_BACKLOG)
        self.endpoint_watch.request_watch()
        logger.info("start name={} nodes={}", self.run.name, len(self.balancer.servers))
        self.started = True
        self.request_handler.run_due()

    def open_gossip_socket(self, host: str, port: int) -> None:
        """Bind the address for gossip.

        In a hot restart the old process has it until it is told to end.  No gossip is needed to serve, so it
        is tried again while we do.

        :raises CannotListenError: without a hot restart, if the address can't be used.
        """
        if self.ending:
            return
        try:
            self.reactor.listenUDP(port, self.gossip, interface=host)
        except CannotListenError:
            if self.run.inherited_descriptor is None:
                raise
            retry_at = self.now() + GOSSIP_BIND_RETRY_US
            self.deadlines.call_at(retry_at, self.open_gossip_socket, host, port)

    def _log_warnings(self, run: ProcessConfiguration) -> None:
        for line in run.warnings():
            logger.warning("configuration: {}", line)

    # Hot restart.

    def import_state(self, state: ProcessState | None) -> None:
        """Go on where the old process is; what is wrong with its state is logged."""
        if state is None:
            return
        try:
            if state.generation >= self.endpoint_watch.generation:
                listing = dict(generation=state.generation, reset=True, instances=state.instances)
                self.endpoint_watch.load_known(listing)
            import_state(state, self.balancer, self.settings.request_classes, self.now())
        except Exception as fault:
            logger.error("hot restart: the state could not be imported: {}: {}", type(fault).__name__, fault)
        else:
            generation, slots = state.generation, len(state.slots)
            logger.info("hot restart state imported generation={} slots={}", generation, slots)

    def export_state(self) -> ProcessState:
        """Return the state for the next process, with the endpoint list in discovery's form."""
        kinds = {index: name for name, index in self.settings.kinds.items()}
        pools = self.server_pools.pools
        instances = [
            {
                "instanceId": server.name,
                "hostPort": "{}:{}".format(*pools[server.name].address),
                "zone": server.zone,
                "machineType": kinds.get(server.kind),
                "cell": server.cell,
                "lifecycle": LISTED_LIFECYCLES[server.state],
                "startedAtMs": server.started_at // MICROSECONDS_PER_MILLISECOND,
                # Live weights are no sizes: the list brings new ones each second.
                "weight": None if self.balancer.load.enabled else server.weight,
            }
            for server in self.balancer.servers.values()
            if server.state in LISTED_LIFECYCLES and server.name in pools
        ]
        classes, generation = self.settings.request_classes, self.endpoint_watch.generation
        return export_state(self.balancer, classes, generation, instances)

    def other_process_present(self, is_present: bool) -> None:
        """Halve the limits while another process serves too: together they keep within those of one."""
        logger.info("hot restart other_process={}", is_present)
        sockets, memory = (limit // 2 if is_present else limit for limit in self.limits)
        self.server_pools.set_limits(sockets, memory // ClientServer.VALUE_MEMORY_DIVISOR)
        reserved = self.server_pools.max_connections + ClientServer.RESERVED_DESCRIPTORS
        self.client_server.set_limits(max(ClientServer.EVICTION_BATCH, sockets - reserved), memory)

    # Configuration.

    def reload(self, run: ProcessConfiguration) -> None:
        """Use a new configuration: its settings, discovery and peers at once, the rest with the next start.

        It has been validated: nothing here can be rejected half-way.
        """
        for key in self.run.changed_fixed_keys(run):
            logger.warning("configuration: a new `{}` counts from the next start on", key)
        self._log_warnings(run)
        former = self.settings.apply(run.settings)
        run.settings, self.run = self.settings, run
        self.client_server.set_names(self.settings.request_classes, self.settings.tenants)
        self.server_pools.configure(self.pool_settings(run))
        logger.info(
            "configuration taken discovery={}:{} classes={} changed={}",
            *run.discovery,
            len(self.settings.request_classes),
            len(former),
        )
        if former:  # forgotten once none of their requests is left
            last_deadline = max(self.request_handler.latest_deadline(), self.now())
            self.deadlines.call_at(last_deadline + 2 * ANSWER_GRACE_US, self.settings.discard, former)
        self.gossip.set_peers(run.peers)
        self.endpoint_watch.change_address(run.discovery)
        self.request_handler.run_due()

    # Shutdown.

    def terminate(self) -> None:
        """Shut down gracefully: serve a little longer, then answer the active requests and stop."""
        if self.ending:
            return
        self.ending = True
        longest_timeout = min(self.MAX_CLIENT_TIMEOUT_US, self.settings.longest_deadline())
        time_left = longest_timeout + self.KILL_DELAY_US - self.STALL_ALLOWANCE_US
        self.request_handler.answer_by = self.now() + time_left
        inherited = self.run.inherited_descriptor is not None  # another process accepts there, or will
        logger.info("stop asked requests={}", len(self.request_handler.requests))
        self.client_server.drain.start(
            "stopping",
            self.STOP_ACCEPTING_DELAY_US,
            self.PARTIAL_COMMAND_GRACE_US,
            refuses_pings=not inherited,
        )
        if inherited:
            self.gossip.close()
        delay = 0 if inherited else self.STOP_ACCEPTING_DELAY_US
        self.deadlines.call_at(self.now() + delay, self.stop_accepting)

    def stop_accepting(self) -> None:
        """Close the port, and stop the reactor once no client is left."""
        if self.port is not None:
            self._close_port(self.port)
        self._finish()

    def _close_port(self, port: ClientListener) -> None:
        """Close the port after accepting what waits in its backlog, which the kernel would reset.

        What waits at an inherited one is left to the other process.
        """
        port.stopReading()
        if self.run.inherited_descriptor is None:
            port.accept_waiting(max(ClientListener.ACCEPTS_PER_TURN, self.client_server.available_capacity()))
        port.connectionLost(Failure(ConnectionDone()))  # in this turn: later, more would have come

    def _finish(self) -> None:
        if self.request_handler.requests or self.client_server.connections:
            self.deadlines.call_at(self.now() + FINISH_POLL_US, self._finish)
        else:
            logger.info("stop")
            self.endpoint_watch.stop()
            self.server_pools.mark_stopping()
            self.reactor.stop()

    # The operators' calls.

    def readiness(self) -> AdminResponse:
        """Answer whether clients should be sent here."""
        if self.ending or self.client_server.drain.code:
            return AdminResponse(503, "draining")
        if self.started and self.has_ready_server():
            return AdminResponse(200, "ready")
        return AdminResponse(503, "no cache node is ready")

    def start_draining(self) -> AdminResponse:
        """Send clients away; requests that still come are served."""
        if not self.ending and not self.client_server.drain.code:
            clients, requests = len(self.client_server.connections), len(self.request_handler.requests)
            logger.info("drain clients={} requests={}", clients, requests)
            self.client_server.drain.start("drained", ClientDrain.SPREAD, ClientDrain.PARTIAL_COMMAND_GRACE)
        return AdminResponse(200, "draining")

    def stop_draining(self) -> AdminResponse:
        """Keep clients again; a process that terminates does not."""
        if self.ending:
            return AdminResponse(409, "stopping: there is no way back")
        if self.client_server.drain.code:
            logger.info("drain over clients={}", len(self.client_server.connections))
            self.client_server.drain.stop()
        return AdminResponse(200, "serving")
