"""The fleet's services in one proxy: mesh, consensus and duties, started after it serves and ended before.

Whatever fails here is logged, and the proxy goes on as one without these services.
"""

from __future__ import annotations

from random import Random
from typing import TYPE_CHECKING, Any

import orjson
from loguru import logger

from ..configuration.errors import ConfigurationError
from ..consensus.client import Client
from ..consensus.environment import Environment, Timing
from ..consensus.replica import Replica
from ..consensus.state_machine import StateMachine
from ..duties.lease_table import LeaseTable
from ..duties.manager import DutyManager
from ..mesh.mesh import Mesh
from ..net.admin import AdminResponse
from .config import FleetConfig, load_config

if TYPE_CHECKING:
    from ..net.proxy import Proxy

STATUS_PATH = b"/_fleet"  # at the operators' address
SEED_MASK = 0xF1EE7  # keeps our random draws apart from the proxy's own of the same seed
US_PER_MS = 1000
HTTP_OK = 200


class FleetServices:
    """Connects the proxy with the services; a SIGHUP and the proxy's end are passed on to them."""

    def __init__(self, proxy: Proxy, path: str, config: FleetConfig) -> None:
        """Create the services, not started yet; `path` is that of the configuration file."""
        self.proxy, self.path, self.config = proxy, path, config
        self.rng = Random(proxy.configuration.seed ^ SEED_MASK)
        listen_address = config.listen_address or proxy.configuration.listen
        self.mesh = Mesh(
            proxy.reactor,
            proxy.deadlines,
            proxy.now,
            self.rng,
            config.name,
            config.keys,
            config.max_links,
            config.members,
            config.listen_address,
            source_address=listen_address[0],
        )
        self.member: Replica | None = None
        self.client = Client(proxy.deadlines, proxy.now, self.rng, self.mesh, [*config.members])
        lease = config.times.lease * US_PER_MS
        self.duties = DutyManager(proxy, self.mesh, self.client, lease, config.times.clock_drift)
        if config.name in config.members:
            self._create_member()

    def _create_member(self) -> Replica:
        """Make this process a member of the consensus group, not started yet."""
        config, proxy = self.config, self.proxy
        leases = LeaseTable(config.times.lease * US_PER_MS)
        self.member = Replica(
            Environment(proxy.reactor, proxy.deadlines, proxy.now, self.rng, self.mesh),
            config.name,
            [*config.members],
            config.directory,
            StateMachine(duty=leases),
            Timing(config.times.heartbeat * US_PER_MS, config.times.election_timeout * US_PER_MS),
        )
        self.client.use_local_replica(self.member)
        self.duties.attach_member(self.member, leases)
        return self.member

    def start(self) -> None:
        """Start all services; a failure is logged, since the proxy serves without them."""
        try:
            self._start()
        except Exception:
            logger.exception("fleet: could not start")

    def _start(self) -> None:
        self.proxy.admin.routes[STATUS_PATH] = {b"GET": self.status}
        self.proxy.reactor.addSystemEventTrigger("before", "shutdown", self.stop)
        self.mesh.start()
        if self.member is not None:
            self.member.start()
        self.duties.start()
        is_member = self.config.name in self.config.members
        logger.info("fleet: started name={} member={}", self.config.name, is_member)

    def reload(self) -> None:
        """Read keys and members again (SIGHUP); a file that is at fault changes nothing."""
        try:
            config = load_config(self.path, self.config.name)
        except ConfigurationError as fault:
            logger.error("fleet: configuration rejected, the former one stays: {}", fault)
            return
        self.config, self.mesh.keys, self.client.members = config, config.keys, [*config.members]
        self.mesh.max_connections = config.max_links  # the proxy's own limits follow at its next start
        self.mesh.set_members(config.members)
        if self.member is not None:
            self.member.configured_members = [*config.members]
        elif config.name in config.members:
            self._create_member().start()
        keys, members = " ".join(config.keys.keys), " ".join(config.members)
        logger.info("fleet: configuration applied keys={} members={}", keys, members)

    def prepare_shutdown(self) -> None:
        """Hand over leases and leadership: the proxy is about to end, but serves a little longer."""
        self.duties.release_all()
        if self.member is not None:
            self.member.transfer_leadership()

    def stop(self) -> None:
        """End all services."""
        self.duties.stop()
        if self.member is not None:
            self.member.stop()
        self.mesh.stop()

    def status(self) -> AdminResponse:
        """Return an HTTP status and how things stand, as JSON for operators."""
        status: dict[str, Any] = {
            "name": self.config.name,
            "mesh": self.mesh.state(),
            "duties": self.duties.state(),
        }
        if self.member is not None:
            status["group"] = self.member.status()
        return AdminResponse(HTTP_OK, orjson.dumps(status).decode())
