"""A stand-in for discovery: the list of cache nodes and watches on it over HTTP, on Twisted's web server.

Owns the list's versions and who was told what.  It must never tell a caller a version twice on one watch, or
count as told what it did not write.
"""

from __future__ import annotations

from typing import Any

import orjson
from twisted.web.resource import Resource
from twisted.web.server import NOT_DONE_YET, Site

from .ledger import DELETED, Ledger, StateUpdate

EMPTY = 2.0  # seconds between the empty lines of a watch on which nothing changes


class Endpoints(Resource):
    isLeaf = True  # noqa: N815

    def __init__(self, discovery: Discovery):
        super().__init__()
        self.discovery = discovery

    def render_GET(self, request):  # noqa: N802
        return self.discovery.asked(request)


class Quiet(Site):
    noisy = False

    def log(self, request) -> None:
        pass


class Discovery:
    """`place(caller, node)` is where that caller reaches the node, "host:port"; `names` tells who calls."""

    def __init__(self, reactor, now, ledger: Ledger, *, address_for=None, names=None):
        self.reactor, self.now, self.ledger = reactor, now, ledger
        self.address_for = address_for or (lambda caller, node: "{}:{}".format(*node.address))
        self.names = names or {}
        self.nodes: dict[str, tuple] = {}  # name to (node, state)
        self.generation = 0
        self.changes: dict[str, int] = {}  # the version at which each changed last
        self.gone: dict[str, tuple] = {}
        self.watches: dict = {}  # request to [caller, version told]
        self.refuses = self.silent = False  # callers get 503; nothing is told to anybody
        self.port: Any = None  # a listening port: the reactor is untyped here
        self.address: tuple[str, int] | None = None

    def listen(self, host="127.0.0.1") -> None:
        at = self.address or (host, 0)
        self.port = self.reactor.listenTCP(at[1], Quiet(Endpoints(self)), backlog=512, interface=at[0])
        self.address = (self.port.getHost().host, self.port.getHost().port)
        self.reactor.callLater(EMPTY, self.beat)

    def change(self, state: str, *nodes) -> None:
        """The list changes, in one version: the nodes are in that state now."""
        self.generation += 1
        for node in nodes:
            self.changes[node.name] = self.generation
            into, out = (self.gone, self.nodes) if state == DELETED else (self.nodes, self.gone)
            out.pop(node.name, None)
            into[node.name] = node, state
        self.notify_watches()

    def entry(self, caller: str, node, state: str) -> dict:
        return {
            "instanceId": node.name, "hostPort": self.address_for(caller, node), "zone": node.zone,
            "lifecycle": state, "weight": 1.0, "startedAtMs": node.started // 1000,
        }  # fmt: skip

    def listing(self, caller: str, since: int) -> dict:
        """What changed after that version; all of it for 0."""
        known = {**self.nodes, **(self.gone if since else {})}
        found = [self.entry(caller, *known[name]) for name in known if self.changes[name] > since]
        return {"generation": self.generation, "reset": not since, "instances": found}

    def asked(self, request):
        host = request.getClientAddress().host
        caller = self.names.get(host, host)
        self.ledger.discovery_requests[caller] = self.ledger.discovery_requests.get(caller, 0) + 1
        if self.refuses:
            request.setResponseCode(503)
            return b""
        stream = request.args.get(b"stream") == [b"1"]
        if not stream:
            return orjson.dumps(self.listing(caller, 0))
        self.watches[request] = [caller, int(request.args.get(b"index", [b"0"])[0])]
        request.notifyFinish().addBoth(lambda _: self.watches.pop(request, None))
        self.tell_one(request, True)
        return NOT_DONE_YET

    def notify_watches(self) -> None:
        for request in [*self.watches]:
            self.tell_one(request)

    def tell_one(self, request, first: bool = False) -> None:
        caller, since = self.watches[request]
        if self.silent or not (first or since < self.generation):
            return
        listing = self.listing(caller, since)
        request.write(orjson.dumps(listing) + b"\n")
        self.ledger.watch_updates[caller] = self.ledger.watch_updates.get(caller, 0) + 1
        self.watches[request][1] = self.generation
        now = self.now()
        self.ledger.state_updates += [
            StateUpdate(now, caller, e["instanceId"], e["lifecycle"]) for e in listing["instances"]
        ]

    def beat(self) -> None:
        if self.port is None:
            return
        for request in [*self.watches]:
            if not self.silent:
                request.write(b"\n")
        self.reactor.callLater(EMPTY, self.beat)

    def stop(self) -> None:
        port, self.port = self.port, None
        if port is not None:
            port.stopListening()
