"""Parses the entries of the endpoint list from discovery and applies them to the balancer and pools."""

from __future__ import annotations

from collections import deque
from collections.abc import Callable, Iterator
from contextlib import contextmanager
from dataclasses import replace
from typing import Any

from loguru import logger

from ..configuration.schema import parse_address
from ..model import Server, ServerState
from ..configuration.instance import InstanceConfiguration
from .endpoint_watch import UpdateResult
from .hot_restart_state import UNKNOWN_KIND
from .request_handler import RequestHandler
from .server_pools import ServerPools

LIFECYCLES = {"SERVING": ServerState.READY, "DRAINING": ServerState.DRAINING, "DELETED": ServerState.GONE}
LISTED_LIFECYCLES = {ServerState.READY: "SERVING", ServerState.DRAINING: "DRAINING"}
MAX_REMEMBERED_FAULTS = 64  # invalid entries
MICROSECONDS_PER_MILLISECOND = 1_000


class EndpointList:
    """Applies updates of the endpoint list; an invalid entry is skipped and the others are applied."""

    def __init__(
        self,
        settings: InstanceConfiguration,
        server_pools: ServerPools,
        request_handler: RequestHandler,
        now: Callable[[], int],
    ) -> None:
        self.settings, self.balancer, self.now = settings, settings.balancer, now
        self.server_pools, self.request_handler = server_pools, request_handler
        # Hashes of the invalid entries that were logged last.
        self.invalid_entries: deque[int] = deque(maxlen=MAX_REMEMBERED_FAULTS)

    @contextmanager
    def batch(self) -> Iterator[None]:
        """Apply the updates within the context before any decision is made by one of them."""
        with self.request_handler.due.deferred():
            yield
        self.request_handler.due.run_soon()

    def update(self, entries: list[dict], is_complete: bool) -> UpdateResult:
        """Apply an update.

        :param is_complete: whether servers without an entry are removed.
        :returns: whether all entries were valid, and whether an invalid one was not seen before.
        """
        servers, all_valid, has_new_invalid_entry = [], True, False
        states_before = {server.name: server.state for server in self.balancer.servers.values()}
        # The balancer decides on attempts that the update ends only after the whole update is applied.
        with self.request_handler.due.deferred():
            for entry in entries:
                try:
                    servers.append(self._parse_endpoint(entry))
                except (ValueError, TypeError, KeyError, AttributeError) as error:
                    all_valid = False
                    has_new_invalid_entry |= self._log_invalid(entry, error)
            servers += self._displaced_servers(servers, is_complete)
            self.balancer.update_endpoints(servers, is_complete, self.now())
            for server in self.balancer.servers.values():
                self.server_pools.set_ready(server.name, server.state == ServerState.READY)
        self.server_pools.forget_unlisted(self.balancer.servers)
        self.request_handler.due.run()
        return UpdateResult(all_valid, has_new_invalid_entry, self._state_changes(states_before))

    def _state_changes(self, states_before: dict[str, ServerState]) -> list[str]:
        """Return each server whose state has changed, with its new state; new servers are left out.

        For a server that was ready the time since the last attempt at it is added, in milliseconds.
        """
        changes = []
        for name, state_before in states_before.items():
            server = self.balancer.servers.get(name)
            state = ServerState.GONE if server is None else server.state
            if state is state_before:
                continue
            change = f"{name}:{state.value}"
            if server is not None and server.last_sent_at and state_before is ServerState.READY:
                change += f":{(self.now() - server.last_sent_at) // MICROSECONDS_PER_MILLISECOND}ms"
            changes.append(change)
        return changes

    def entries(self) -> list[dict[str, Any]]:
        """Return the list in discovery's format, without the servers that are gone."""
        kinds = {index: name for name, index in self.settings.kinds.items()}
        pools = self.server_pools.pools
        return [
            {
                "instanceId": server.name,
                "hostPort": "{}:{}".format(*pools[server.name].address),
                "zone": server.zone,
                "machineType": kinds.get(server.kind),
                "cell": server.cell,
                "lifecycle": LISTED_LIFECYCLES[server.state],
                "startedAtMs": server.started_at // MICROSECONDS_PER_MILLISECOND,
                # Live weights are not server sizes; discovery sends new ones every second.
                "weight": None if self.balancer.load.enabled else server.weight,
            }
            for server in self.balancer.servers.values()
            if server.state in LISTED_LIFECYCLES and server.name in pools
        ]

    def _displaced_servers(self, listed: list[Server], is_complete: bool) -> list[Server]:
        """Stop sending to servers at whose address another one has started since.

        The list may name both for a while.  What is sent to the address reaches the one that started last.

        :param listed: the servers of an update; the state of the displaced ones among them is changed
        :returns: the displaced ones among the other servers
        """
        names = {server.name for server in listed}
        others = [] if is_complete else [s for s in self.balancer.servers.values() if s.name not in names]
        ready = [server for server in (*listed, *others) if server.state is ServerState.READY]
        latest: dict[tuple[str, int], Server] = {}
        for server in ready:
            address = self.server_pools.pools[server.name].address
            if address not in latest or server.started_at > latest[address].started_at:
                latest[address] = server
        displaced = []
        for server in ready:
            successor = latest[self.server_pools.pools[server.name].address]
            if server.started_at == successor.started_at:
                continue
            if server.name in names:
                server.state = ServerState.DRAINING
            else:
                logger.info("server {} has gone: {} has started at its address", server.name, successor.name)
                displaced.append(replace(server, state=ServerState.DRAINING))
        return displaced

    def _log_invalid(self, entry: Any, error: Exception) -> bool:
        """Log an invalid entry unless it was logged before; return whether it was logged now."""
        digest = hash(repr(entry))
        if digest in self.invalid_entries:
            return False
        self.invalid_entries.append(digest)
        logger.error("discovery: invalid endpoint entry ignored: {}: {}", type(error).__name__, error)
        return True

    def _parse_endpoint(self, entry: dict[str, Any]) -> Server:
        """Return the server of an entry; if it is ready, set its address in the pools.

        :raises ValueError, TypeError, KeyError, AttributeError: if the entry is invalid.
        """
        name, address = entry["instanceId"], entry.get("hostPort")
        machine_type: Any = entry.get("machineType")
        lifecycle: Any = entry.get("lifecycle")
        if not isinstance(name, str):
            raise TypeError(f"instanceId: wanted a name, got {name!r}")
        server = Server(
            name,
            self.settings.kinds.get(machine_type, UNKNOWN_KIND),
            float(entry.get("weight") or 0),  # null: no weight given
            entry.get("zone") or "",
            entry.get("cell") or 0,
            LIFECYCLES.get(lifecycle, ServerState.DRAINING),  # an unknown lifecycle: no new attempts
            int(entry.get("startedAtMs") or 0) * MICROSECONDS_PER_MILLISECOND,
        )
        if (
            server.state == ServerState.READY
        ):  # a draining server is not called, so its address may be invalid
            known = self.balancer.servers.get(name)
            restarted = known is not None and server.started_at > known.started_at
            self.server_pools.update_address(name, parse_address(address, "hostPort"), restarted)
        return server
