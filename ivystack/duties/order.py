"""`slot-order`: one order of slots for the fleet, written by its holder, taken up by all.

Owns the way between the agreed value and the proxy's slots.  It must never take an order that does not name
most of the nodes that this proxy knows to be ready, or change slots where the agreed order is what they are.
"""

from __future__ import annotations

from collections import Counter

from loguru import logger

from ..model import ServerState
from ..words import mark

MARK = 3  # bytes a slot
MOST = 4096  # slots
DEAF = 3_000_000  # microseconds without a watch on the list: such a proxy knows no order worth writing


class SlotOrder:
    def __init__(self, proxy):
        self.proxy = proxy
        self.since: int | None = None  # the watch has been away since
        self.version = 0  # of the order that came last

    def able(self) -> bool:
        """Whether this proxy sees the list and knows a ready node."""
        now = self.proxy.now()
        if self.proxy.endpoint_watch.is_streaming:
            self.since = None
        elif self.since is None:
            self.since = now
        heard = self.since is None or now - self.since < DEAF
        return heard and self.proxy.started and not self.proxy.ending and self.proxy.ready()

    def own(self) -> bytes:
        return b"".join(mark(node) for node in self.proxy.balancer.placement.slots)

    def take(self, order: bytes) -> str:
        """Takes an order up; what is wrong with it, if it is not."""
        balancer = self.proxy.balancer
        marks = [order[at : at + MARK] for at in range(0, len(order), MARK)]
        caches = [node for node in balancer.servers.values() if node.kind != balancer.origin_kind]
        # A mark comes once, or as often as nodes here have it: two of a thousand may have one.
        known = Counter(map(mark, caches))
        more = any(count > max(1, known[one]) for one, count in Counter(marks).items())
        if not marks or len(marks) > MOST or len(order) % MARK or more:
            return "malformed"
        ready = [mark(node) for node in caches if node.state == ServerState.READY]
        if 2 * len({*marks} & {*ready}) < len(ready):
            return "strange"  # it names none of what we see: our own order is no worse
        if order != self.own():
            balancer.placement.adopt(marks, caches, self.proxy.now())
        return ""

    def said(self, token: int, version: int, fault: str) -> None:
        if fault:
            logger.error("duty: slot-order version={} token={} not taken code={}", version, token, fault)
        else:
            logger.info("duty: act taken duty=slot-order token={} version={}", token, version)
