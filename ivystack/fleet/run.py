"""The fleet's parts in one proxy: started after it serves, ended before it ends.

Owns the joints between the proxy and these parts.  It must never keep the proxy from serving: whatever fails
here is logged, and the proxy goes on as one without them.
"""

from __future__ import annotations

from random import Random

import orjson
from loguru import logger

from ..mesh.mesh import Mesh
from ..settings import FaultError
from .settings import Fleet, load


class Together:
    def __init__(self, proxy, path: str, fleet: Fleet):
        self.proxy, self.path, self.fleet = proxy, path, fleet
        self.rng = Random(proxy.run.seed ^ 0xF1EE7)
        bind = fleet.listen[0] if fleet.listen else proxy.run.listen[0]
        self.mesh = Mesh(
            proxy.reactor, proxy.deadlines, proxy.now, self.rng, fleet.name, fleet.keys, fleet.members,
            fleet.listen, bind,
        )  # fmt: skip

    def start(self) -> None:
        self.proxy.admin.calls[b"/_fleet"] = {b"GET": self.told}
        self.proxy.reactor.addSystemEventTrigger("before", "shutdown", self.stop)
        self.mesh.start()
        logger.info("fleet name={} member={}", self.fleet.name, self.fleet.name in self.fleet.members)

    def reload(self) -> None:
        """SIGHUP: the keys are read again, so that they can be changed one after the other."""
        try:
            fleet = load(self.path, self.fleet.name)
        except FaultError as fault:
            logger.error("fleet: keys not taken: {}", fault)
            return
        self.mesh.keys = fleet.keys
        logger.info("fleet: keys taken: {}", " ".join(fleet.keys.keys))

    def hand_on(self) -> None:
        """A planned end has begun: the proxy serves a little longer."""

    def stop(self) -> None:
        self.mesh.stop()

    def told(self) -> tuple[int, str]:
        """For operators: how things stand, as JSON."""
        return 200, orjson.dumps({"name": self.fleet.name, "mesh": self.mesh.state()}).decode()
