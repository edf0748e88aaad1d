"""Loads and sizes of servers, from the weights in the endpoint list and from load reports in answers.

Listed weights fall with load: a weight is size / (1 + requests in flight per core).  The unit of loads is
requests in flight per core.
"""

from __future__ import annotations

from math import log2

from ..model import Server

STEPS_PER_DOUBLING = 4  # sizes are rounded to quarter doublings, so that noise moves no keys
LOAD_MAX_AGE_US = 3_000_000  # the weight of a reported load falls linearly to zero over this time
NO_QUEUE_LOAD = 1.0  # requests in flight per core, up to which no request waits


class LoadEstimator:
    """Estimates each server's load, and its size from the greatest weight seen for its machine kind.

    The weight of an idle server is its size, so all processes determine the same sizes, even one that starts
    under load.
    """

    def __init__(self, enabled: bool) -> None:
        """:param enabled: whether the endpoint list or the servers' answers contain loads."""
        self.enabled = enabled
        self.max_weights: dict[int, float] = {}  # by machine kind
        self.mean_load = 0.0  # over the cache servers at the last update of the endpoint list

    def reset(self, enabled: bool) -> None:
        """Discard all estimates, and enable or disable the use of loads."""
        self.enabled, self.max_weights, self.mean_load = enabled, {}, 0.0

    def update_weights(self, servers: list[Server], now: int) -> bool:
        """Set each server's weight to the size of its kind; return whether any weight changed."""
        previous_weights = [server.weight for server in servers]
        for server in servers:
            steps = round(log2(self.max_weights.get(server.kind, 1.0)) * STEPS_PER_DOUBLING)
            server.weight = 2 ** (steps / STEPS_PER_DOUBLING)
        self.mean_load = sum(self.load(server, now) for server in servers) / max(1, len(servers))
        return previous_weights != [server.weight for server in servers]

    def record_listed_weight(self, server: Server, weight: float, now: int) -> None:
        """Record a weight from the endpoint list, which the server's load has lowered."""
        size = self.max_weights[server.kind] = max(weight, self.max_weights.get(server.kind, 0.0))
        server.load, server.load_reported_at = size / weight - 1, now

    def record_report(self, server: Server, figures: dict[str, float], now: int) -> None:
        """Record a load report: `active` requests in flight or, without that figure, `waiting` requests."""
        in_flight = figures.get("active")
        if in_flight is None and figures.get("waiting"):
            in_flight = NO_QUEUE_LOAD * server.weight + figures["waiting"]  # a lower bound
        if in_flight is not None:
            server.load, server.load_reported_at = in_flight / server.weight, now

    def load(self, server: Server, now: int) -> float:
        """Return the last reported load, discounted by its age, plus this process's attempts in flight."""
        return (
            server.load * max(0.0, 1 - (now - server.load_reported_at) / LOAD_MAX_AGE_US)
            + server.in_flight / server.weight
        )


def load_is_recent(server: Server, now: int) -> bool:
    """Return whether the server's load was reported recently enough to be used."""
    return now < server.load_reported_at + LOAD_MAX_AGE_US
