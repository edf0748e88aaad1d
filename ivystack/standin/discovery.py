"""A stand-in for discovery: the endpoint list and watches on it over HTTP, on Twisted's web server.

This module holds the versions of the list and records which state was written to whom. A watch receives each
version at most once, and the ledger holds only what was written.
"""

from __future__ import annotations

from collections.abc import Callable
from typing import Any

import orjson
from twisted.web.resource import Resource
from twisted.web.server import NOT_DONE_YET, Site

from .ledger import DELETED, Ledger, ListChange, StateUpdate

HEARTBEAT_S = 2.0  # seconds between the empty lines on each watch


class EndpointResource(Resource):
    """The HTTP resource of the endpoint list and its watches."""

    isLeaf = True  # noqa: N815

    def __init__(self, discovery: Discovery):
        super().__init__()
        self.discovery = discovery

    def render_GET(self, request):  # noqa: N802
        return self.discovery.handle_request(request)


class QuietSite(Site):
    """An HTTP site without an access log."""

    noisy = False

    def log(self, request) -> None:
        pass


class Discovery:
    """The discovery server of a run.

    `now` returns the time in microseconds. `address_for(caller, node)` returns the address, "host:port", at
    which that caller reaches the cache server; by default the address on which the server listens. `names`
    maps an address to the name of the proxy that calls from it.
    """

    def __init__(self, reactor, now, ledger: Ledger, *, address_for=None, names=None):
        self.reactor, self.now, self.ledger = reactor, now, ledger
        self.address_for = address_for or (lambda caller, node: "{}:{}".format(*node.address))
        self.names = names or {}
        self.nodes: dict[str, tuple] = {}  # name to (cache server, state)
        self.generation = 0
        self.changes: dict[str, int] = {}  # generation of each server's last change
        self.deleted_nodes: dict[str, tuple] = {}
        self.watches: dict = {}  # request to [caller, last generation written]
        self.refuses = self.silent = False  # injected faults: answer 503; write nothing to watches
        # Injected fault: returns the seconds from a call to its answer.
        self.answer_delay: Callable[[], float] = lambda: 0.0
        self.unanswered: dict = {}  # request of a call to the timer of its late answer
        self.port: Any = None  # the listening port; the reactor is untyped here
        self.address: tuple[str, int] | None = None

    def listen(self, host="127.0.0.1") -> None:
        """Listen on the previous address, or on a free port of `host` the first time."""
        host_and_port = self.address or (host, 0)
        self.port = self.reactor.listenTCP(
            host_and_port[1], QuietSite(EndpointResource(self)), backlog=512, interface=host_and_port[0]
        )
        self.address = (self.port.getHost().host, self.port.getHost().port)
        self.reactor.callLater(HEARTBEAT_S, self.send_heartbeats)

    def change(self, state: str, *nodes) -> None:
        """Change these cache servers to the state in one new generation of the list."""
        self.generation += 1
        for node in nodes:
            self.changes[node.name] = self.generation
            self.ledger.list_changes.append(ListChange(self.now(), node.name, state))
            destination, source = (
                (self.deleted_nodes, self.nodes) if state == DELETED else (self.nodes, self.deleted_nodes)
            )
            source.pop(node.name, None)
            destination[node.name] = node, state
        self.notify_watches()

    def silence_watches(self) -> None:
        """Write nothing more to the open watches, which stay open; further calls are answered."""
        self.ledger.silenced_watches += [(self.now(), caller) for caller, _ in self.watches.values()]
        self.watches.clear()

    def entry(self, caller: str, node, state: str) -> dict:
        """Return the entry of a cache server in the list that this caller receives."""
        return {
            "instanceId": node.name, "hostPort": self.address_for(caller, node), "zone": node.zone,
            "lifecycle": state, "weight": 1.0, "startedAtMs": node.started // 1000,
        }  # fmt: skip

    def listing(self, caller: str, since: int) -> dict:
        """Return the entries that changed after generation `since`, or the complete list for 0."""
        known = {**self.nodes, **(self.deleted_nodes if since else {})}
        entries = [self.entry(caller, *known[name]) for name in known if self.changes[name] > since]
        return {"generation": self.generation, "reset": not since, "instances": entries}

    def handle_request(self, request):
        """Answer with the complete list, or open a watch if the query has `stream=1`."""
        host = request.getClientAddress().host
        caller = self.names.get(host, host)
        self.ledger.discovery_requests[caller] = self.ledger.discovery_requests.get(caller, 0) + 1
        if self.refuses:
            request.setResponseCode(503)
            return b""
        stream = request.args.get(b"stream") == [b"1"]
        if not stream:
            return orjson.dumps(self.listing(caller, 0))
        since = int(request.args.get(b"index", [b"0"])[0])
        delay = self.answer_delay()
        if delay:
            self.unanswered[request] = self.reactor.callLater(delay, self.open_watch, request, caller, since)
            request.notifyFinish().addBoth(lambda _: self.drop_call(request))
        else:
            self.open_watch(request, caller, since)
        return NOT_DONE_YET

    def open_watch(self, request, caller: str, since: int) -> None:
        """Answer a call with the changes since a generation, and write further changes as they are made."""
        self.unanswered.pop(request, None)
        self.watches[request] = [caller, since]
        request.notifyFinish().addBoth(lambda _: self.watches.pop(request, None))
        self.notify_watch(request, True)

    def drop_call(self, request) -> None:
        """Forget a call that ended before its answer."""
        timer = self.unanswered.pop(request, None)
        if timer is not None:
            timer.cancel()

    def reset_calls(self) -> None:
        """Reset the connections of the calls that have no answer yet, and of the open watches."""
        for request in [*self.unanswered]:
            request.transport.abortConnection()
        self.reset_watches()

    def reset_watches(self) -> None:
        """Reset the connections of the open watches; further calls are answered."""
        for request in [*self.watches]:
            request.transport.abortConnection()

    def notify_watches(self) -> None:
        """Write the changes to each watch that has not received them."""
        for request in [*self.watches]:
            self.notify_watch(request)

    def notify_watch(self, request, first: bool = False) -> None:
        """Write the changes to a watch and record them; the first line is written even without changes."""
        caller, since = self.watches[request]
        if self.silent or not (first or since < self.generation):
            return
        listing = self.listing(caller, since)
        request.write(orjson.dumps(listing) + b"\n")
        self.ledger.watch_updates[caller] = self.ledger.watch_updates.get(caller, 0) + 1
        self.watches[request][1] = self.generation
        now = self.now()
        self.ledger.state_updates += [
            StateUpdate(now, caller, entry["instanceId"], entry["lifecycle"])
            for entry in listing["instances"]
        ]

    def send_heartbeats(self) -> None:
        """Write an empty line to each watch, and schedule the next call."""
        if self.port is None:
            return
        for request in [*self.watches]:
            if not self.silent:
                request.write(b"\n")
        self.reactor.callLater(HEARTBEAT_S, self.send_heartbeats)

    def stop(self) -> None:
        """Stop listening and sending heartbeats."""
        port, self.port = self.port, None
        if port is not None:
            port.stopListening()
