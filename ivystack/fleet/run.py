"""The fleet's parts in one proxy: started after it serves, ended before it ends.

Owns the joints between the proxy and these parts.  It must never keep the proxy from serving: whatever fails
here is logged, and the proxy goes on as one without them.
"""

from __future__ import annotations

from random import Random

import orjson
from loguru import logger

from ..consensus.client import Client
from ..consensus.machine import Machine
from ..consensus.member import Member
from ..duties.leases import Leases
from ..duties.run import Duties
from ..mesh.mesh import Mesh
from ..net.admin import AdminResponse
from ..settings import FaultError
from .settings import Fleet, load


class Together:
    def __init__(self, proxy, path: str, fleet: Fleet):
        self.proxy, self.path, self.fleet = proxy, path, fleet
        self.rng = Random(proxy.run.seed ^ 0xF1EE7)
        bind = fleet.listen[0] if fleet.listen else proxy.run.listen[0]
        self.mesh = Mesh(
            proxy.reactor, proxy.deadlines, proxy.now, self.rng, fleet.name, fleet.keys, fleet.links,
            fleet.members, fleet.listen, bind,
        )  # fmt: skip
        self.member: Member | None = None
        self.client = Client(proxy.deadlines, proxy.now, self.rng, self.mesh, [*fleet.members])
        self.duties = Duties(proxy, self.mesh, self.client, fleet.times.lease * 1000, fleet.times.drift)
        if fleet.name in fleet.members:
            self.join()

    def join(self) -> None:
        """This proxy is to be of the consensus group."""
        fleet, proxy = self.fleet, self.proxy
        leases = Leases(fleet.times.lease * 1000)
        self.member = Member(
            proxy.reactor, proxy.deadlines, proxy.now, self.rng, fleet.name, [*fleet.members],
            fleet.directory, self.mesh, Machine(duty=leases), fleet.times.beat * 1000,
            fleet.times.election * 1000,
        )  # fmt: skip
        self.client.with_own(self.member)
        self.duties.with_own(self.member, leases)

    def start(self) -> None:
        try:
            self.begin()
        except Exception:  # guards the proxy: it serves as one without these parts
            logger.exception("fleet: could not start")

    def begin(self) -> None:
        self.proxy.admin.routes[b"/_fleet"] = {b"GET": self.told}
        self.proxy.reactor.addSystemEventTrigger("before", "shutdown", self.stop)
        self.mesh.start()
        if self.member is not None:
            self.member.start()
        self.duties.start()
        logger.info("fleet name={} member={}", self.fleet.name, self.fleet.name in self.fleet.members)

    def reload(self) -> None:
        """SIGHUP: keys and members are read again."""
        try:
            fleet = load(self.path, self.fleet.name)
        except FaultError as fault:
            logger.error("fleet: file not taken: {}", fault)
            return
        self.fleet, self.mesh.keys, self.client.members = fleet, fleet.keys, [*fleet.members]
        self.mesh.most = fleet.links  # what it takes from clients and nodes counts from the next start on
        self.mesh.keep_to(fleet.members)
        if self.member is not None:
            self.member.wanted = [*fleet.members]
        elif fleet.name in fleet.members:
            self.join()
            self.member.start()
        logger.info("fleet: taken keys={} members={}", " ".join(fleet.keys.keys), " ".join(fleet.members))

    def hand_on(self) -> None:
        """A planned end has begun: the proxy serves a little longer."""
        self.duties.hand_on()
        if self.member is not None:
            self.member.hand_on()

    def stop(self) -> None:
        self.duties.stop()
        if self.member is not None:
            self.member.stop()
        self.mesh.stop()

    def told(self) -> AdminResponse:
        """For operators: how things stand, as JSON."""
        told = {"name": self.fleet.name, "mesh": self.mesh.state(), "duties": self.duties.state()}
        if self.member is not None:
            told["group"] = self.member.state()
        return AdminResponse(200, orjson.dumps(told).decode())
