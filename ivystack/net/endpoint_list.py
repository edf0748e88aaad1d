"""The endpoint list as discovery sends it: its entries are parsed and applied to the balancer and pools."""

from __future__ import annotations

from collections import deque
from collections.abc import Callable
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
MAX_UNUSABLE_REMEMBERED = 64  # entries
MICROSECONDS_PER_MILLISECOND = 1_000


class EndpointList:
    """Applies updates of the endpoint list; an entry that can't be used keeps no other from being applied."""

    def __init__(
        self,
        settings: InstanceConfiguration,
        server_pools: ServerPools,
        request_handler: RequestHandler,
        now: Callable[[], int],
    ) -> None:
        self.settings, self.balancer, self.now = settings, settings.balancer, now
        self.server_pools, self.request_handler = server_pools, request_handler
        # Hashes of entries that could not be used and were logged.
        self.unusable_entries: deque[int] = deque(maxlen=MAX_UNUSABLE_REMEMBERED)

    def update(self, entries: list[dict], is_complete: bool) -> UpdateResult:
        """Apply an update.

        :param is_complete: whether servers that are not among the entries have gone.
        :returns: whether all entries could be used, and whether one that could not is new.
        """
        servers, all_usable, has_new_faults = [], True, False
        with self.request_handler.defer_run_due():  # attempts ended by the update are decided by all of it
            for entry in entries:
                try:
                    servers.append(self._parse_endpoint(entry))
                except (ValueError, TypeError, KeyError, AttributeError) as fault:
                    all_usable = False
                    has_new_faults |= self._note_unusable(entry, fault)
            self.balancer.update_endpoints(servers, is_complete, self.now())
            for server in self.balancer.servers.values():
                self.server_pools.set_ready(server.name, server.state == ServerState.READY)
        self.server_pools.forget_unlisted(self.balancer.servers)
        self.request_handler.run_due()
        return UpdateResult(all_usable, has_new_faults)

    def _note_unusable(self, entry: Any, fault: Exception) -> bool:
        """Log an entry that can't be used, each once; return whether it is new."""
        digest = hash(repr(entry))
        if digest in self.unusable_entries:
            return False
        self.unusable_entries.append(digest)
        logger.error("list: an entry that can't be used: {}: {}", type(fault).__name__, fault)
        return True

    def _parse_endpoint(self, entry: dict[str, Any]) -> Server:
        """Return the server of an entry, and note its address if it is ready.

        :raises ValueError, TypeError, KeyError, AttributeError: if the entry can't be used.
        """
        name, address = entry["instanceId"], entry.get("hostPort")
        machine_type: Any = entry.get("machineType")
        lifecycle: Any = entry.get("lifecycle")
        if not isinstance(name, str):
            raise TypeError(f"instanceId: wanted a name, got {name!r}")
        server = Server(
            name,
            self.settings.kinds.get(machine_type, UNKNOWN_KIND),
            float(entry.get("weight") or 0),  # null: not stated
            entry.get("zone") or "",
            entry.get("cell") or 0,
            LIFECYCLES.get(lifecycle, ServerState.DRAINING),  # an unknown one: nothing new is sent there
            int(entry.get("startedAtMs") or 0) * MICROSECONDS_PER_MILLISECOND,
        )
        if server.state == ServerState.READY:  # a draining one is not called: its address may be unusable
            known = self.balancer.servers.get(name)
            restarted = known is not None and server.started_at > known.started_at
            self.server_pools.update_address(name, parse_address(address, "hostPort"), restarted)
        return server
