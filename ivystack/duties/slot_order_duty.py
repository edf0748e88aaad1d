"""The `slot-order` duty: one slot order for the fleet, written by the holder and adopted by all proxies.

The order is the value of the duty's lease.  It is the sequence of the hashes of the servers
(balancing/gossip_codec.py), with one hash for each slot.
"""

from __future__ import annotations

from collections import Counter
from collections.abc import Callable
from enum import StrEnum
from hashlib import blake2b
from typing import TYPE_CHECKING

from loguru import logger

from ..model import ServerState
from ..balancing.gossip_codec import SERVER_HASH_BYTES, server_hash
from .fencing import FencingTokens
from .lease_client import LeaseClient, LeaseValue, PutResult
from .lease_holder import LeaseHolder
from .protocol import DutyName, LeaseSummary

if TYPE_CHECKING:
    from ..net.proxy import Proxy

MAX_SLOTS = 4096
MAX_WATCH_OUTAGE = 3_000_000  # microseconds without a watch after which the endpoint list is out of date
DIGEST_BYTES = 6  # length of the order's digest in the status JSON
DUTY = DutyName.SLOT_ORDER.value


class OrderFault(StrEnum):
    """Why an agreed order is not adopted; the value is the `code=` of the log line."""

    MALFORMED = "malformed"
    UNFAMILIAR = "strange"  # it contains less than half of the servers that are ready at this proxy


class SlotOrder:
    """The slots of this proxy, and whether its endpoint list is good enough to write the fleet's order."""

    def __init__(self, proxy: Proxy) -> None:
        self.proxy = proxy
        self.watch_lost_at: int | None = None

    def can_serve(self) -> bool:
        """Return whether this proxy serves, has a recent endpoint list and knows a ready server."""
        now = self.proxy.now()
        if self.proxy.endpoint_watch.is_streaming:
            self.watch_lost_at = None
        elif self.watch_lost_at is None:
            self.watch_lost_at = now
        recent = self.watch_lost_at is None or now - self.watch_lost_at < MAX_WATCH_OUTAGE
        return recent and self.proxy.started and not self.proxy.is_stopping and self.proxy.has_ready_server()

    def encode(self) -> bytes:
        """Return the slot order of this proxy as the concatenated hashes of the servers."""
        return b"".join(server_hash(server) for server in self.proxy.balancer.placement.slots)

    def digest(self) -> str:
        """Return a short hexadecimal digest of this proxy's slot order, for comparing proxies."""
        return blake2b(self.encode(), digest_size=DIGEST_BYTES).hexdigest()

    def adopt(self, order: bytes) -> OrderFault | None:
        """Adopt a slot order, encoded as by `encode`; return the reason if it is not adopted, else None."""
        hashes = [
            order[start : start + SERVER_HASH_BYTES] for start in range(0, len(order), SERVER_HASH_BYTES)
        ]
        servers = self.proxy.balancer.cache_servers()
        # A hash may occur more than once only if several servers here share it, as two of a thousand may.
        known_hashes = Counter(map(server_hash, servers))
        repeated = any(count > max(1, known_hashes[digest]) for digest, count in Counter(hashes).items())
        if not hashes or len(hashes) > MAX_SLOTS or len(order) % SERVER_HASH_BYTES or repeated:
            return OrderFault.MALFORMED
        ready = [server_hash(server) for server in servers if server.state == ServerState.READY]
        if 2 * len({*hashes} & {*ready}) < len(ready):
            return OrderFault.UNFAMILIAR
        if order != self.encode():
            self.proxy.balancer.placement.adopt_order(hashes, servers, self.proxy.now())
        return None


class SlotOrderDuty:
    """Keeps this proxy's slots in the agreed order, and writes the order while it holds the duty."""

    def __init__(
        self,
        slots: SlotOrder,
        client: LeaseClient,
        holder: LeaseHolder,
        fencing: FencingTokens,
        now: Callable[[], int],
    ) -> None:
        self.slots, self.client, self.holder, self.fencing, self.now = slots, client, holder, fencing, now
        self.version = 0  # version of the newest order that was read or written
        self.agreed: bytes | None = None  # the order at the group, as far as this process knows
        self.read_pending = False
        self.write_pending = False

    def tick(self, announced: LeaseSummary | None, now: int) -> None:
        """Read a newer order, or write this proxy's order as the holder.

        A new holder adopts the order of its predecessor first.

        :param announced: the duty's lease as the leader announced it.
        """
        if announced is None or self.read_pending:
            return
        if announced.version > self.version:
            self.read_pending = self.client.get_value(DUTY, self._value_read)
        elif self.holder.held_token(DUTY, now) and not self.write_pending and self.slots.encode():
            self._write()

    def _write(self) -> None:
        order = self.slots.encode()
        if order == self.agreed:
            return
        token = self.holder.held_token(DUTY, self.now())  # right before the write

        def written(result: PutResult | None) -> None:
            self.write_pending = False
            if result is None:
                return
            if result.accepted:
                self.agreed, self.version = order, max(self.version, result.version)
                logger.info("duty: value written duty={} token={} version={}", DUTY, token, result.version)
            else:
                logger.info(
                    "duty: value rejected by the group, lease not held or value invalid duty={} token={}",
                    DUTY,
                    token,
                )

        self.write_pending = bool(token) and self.client.put_value(DUTY, token, order, written)

    def _value_read(self, value: LeaseValue | None) -> None:
        self.read_pending = False
        if value is None or value.version <= self.version or not self.fencing.accept(DUTY, value.token):
            return
        fault = self.slots.adopt(value.value)
        if fault is None:
            message = "duty: value adopted duty={} token={} version={}"
            logger.info(message, DUTY, value.token, value.version)
        else:
            message = (
                "duty: value not adopted, this proxy keeps its slot order duty={} token={} version={} code={}"
            )
            logger.error(message, DUTY, value.token, value.version, fault.value)
        self.version, self.agreed = value.version, value.value
