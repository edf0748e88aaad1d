"""Servers' loads and sizes, from endpoint list weights that fall with load and from load reports in answers.

A weight that moves with load is size / (1 + requests in flight per core).  Loads are in
requests in flight per core.
"""

from __future__ import annotations

from math import log2

from ..model import Server

STEPS_PER_DOUBLING = 4  # sizes are rounded to quarter doublings, so that noise moves no key
LOAD_MAX_AGE_US = 3_000_000  # a load counts in full when reported and not at all so much later
RESTING_LOAD = 1.0  # requests in flight per core: none waits there


class LoadEstimator:
    """Estimates each server's load, and its size from the greatest weight that its kind has shown.

    A server at rest shows its size, so all processes, also one that starts under load, find the same sizes.
    """

    def __init__(self, enabled: bool) -> None:
        """:param enabled: whether loads are known at all, from the endpoint list or from servers' answers."""
        self.enabled = enabled
        self.max_weights: dict[int, float] = {}  # by machine kind
        self.mean_load = 0.0  # of the cache servers listed last

    def reset(self, enabled: bool) -> None:
        """Begin anew, with loads known or not."""
        self.enabled, self.max_weights, self.mean_load = enabled, {}, 0.0

    def update_weights(self, servers: list[Server], now: int) -> bool:
        """Set each server's weight to the size of its kind; return whether any weight changed."""
        before = [server.weight for server in servers]
        for server in servers:
            steps = round(log2(self.max_weights.get(server.kind, 1.0)) * STEPS_PER_DOUBLING)
            server.weight = 2 ** (steps / STEPS_PER_DOUBLING)
        self.mean_load = sum(self.load(server, now) for server in servers) / max(1, len(servers))
        return before != [server.weight for server in servers]

    def record_listed_weight(self, server: Server, weight: float, now: int) -> None:
        """Take a weight from the endpoint list, lowered by the server's load."""
        size = self.max_weights[server.kind] = max(weight, self.max_weights.get(server.kind, 0.0))
        server.load, server.load_reported_at = size / weight - 1, now

    def record_report(self, server: Server, figures: dict[str, float], now: int) -> None:
        """Take a server's report: `active`, its requests in flight, or else `waiting`, those that queue."""
        in_flight = figures.get("active")
        if in_flight is None and figures.get("waiting"):
            in_flight = RESTING_LOAD * server.weight + figures["waiting"]  # at the least
        if in_flight is not None:
            server.load, server.load_reported_at = in_flight / server.weight, now

    def load(self, server: Server, now: int) -> float:
        """Return the load last reported, counted less the older it is, plus our own attempts in flight."""
        return (
            server.load * max(0.0, 1 - (now - server.load_reported_at) / LOAD_MAX_AGE_US)
            + server.in_flight / server.weight
        )


def load_is_recent(server: Server, now: int) -> bool:
    """Return whether the server's load was reported lately enough to go by."""
    return now < server.load_reported_at + LOAD_MAX_AGE_US
