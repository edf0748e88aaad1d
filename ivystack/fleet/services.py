"""The fleet's services in one proxy: mesh, consensus and duties.

They start after the proxy begins to serve and stop before it ends.  A failure of the services is logged, and
the proxy continues without them.
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

STATUS_PATH = b"/_fleet"  # at the admin address
SEED_MASK = 0xF1EE7  # gives the services another random sequence than the proxy, which has the same seed
US_PER_MS = 1000
HTTP_OK = 200


class FleetServices:
    """Connects the proxy with the services and passes reloads (SIGHUP) and the shutdown on to them."""

    def __init__(self, proxy: Proxy, path: str, config: FleetConfig) -> None:
        """Create the services without starting them.

        :param path: path of the fleet's configuration file.
        """
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
        """Create this process's replica of the consensus group without starting it."""
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
        """Start all services; a failure is only logged, because the proxy can serve without them."""
        try:
            self._start()
        except Exception:
            logger.exception(
                "fleet: could not start all of mesh, consensus group and duties; the proxy still serves"
            )

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
        """Reload keys and members from the file (SIGHUP); a faulty file changes nothing."""
        try:
            config = load_config(self.path, self.config.name)
        except ConfigurationError as error:
            logger.error("fleet: configuration rejected, the previous one stays in use: {}", error)
            return
        self.config, self.mesh.keys, self.client.members = config, config.keys, [*config.members]
        self.mesh.max_connections = (
            config.max_links
        )  # the limits of clients and servers change at the next start
        self.mesh.set_members(config.members)
        if self.member is not None:
            self.member.configured_members = [*config.members]
        elif config.name in config.members:
            self._create_member().start()
        keys, members = " ".join(config.keys.keys), " ".join(config.members)
        logger.info("fleet: configuration applied keys={} members={}", keys, members)

    def prepare_shutdown(self) -> None:
        """Hand over leases and leadership before the proxy ends; the proxy still serves for a short time."""
        self.duties.release_all()
        if self.member is not None:
            self.member.transfer_leadership()

    def stop(self) -> None:
        """Stop all services."""
        self.duties.stop()
        if self.member is not None:
            self.member.stop()
        self.mesh.stop()

    def status(self) -> AdminResponse:
        """Return the state of the services as JSON, with an HTTP status, for the admin interface."""
        status: dict[str, Any] = {
            "name": self.config.name,
            "mesh": self.mesh.state(),
            "duties": self.duties.state(),
        }
        if self.member is not None:
            status["group"] = self.member.status()
        return AdminResponse(HTTP_OK, orjson.dumps(status).decode())
