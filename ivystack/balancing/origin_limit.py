"""Concurrency limit of the origin, from the queueing delay of its answers.

The queueing delay is the response time minus the shortest of the last response times.  The shortest time
depends on the distance to the origin, so only growth beyond it shows a queue.  All processes share the
origin, and a full queue there makes every fetch too late.
"""

from __future__ import annotations

from ..model import Server
from .concurrency_limit import (
    FAST_GROWTH,
    MAX_LIMIT,
    RECENT_SHARE_FACTOR,
    SHARE_FACTOR,
    has_capacity,
    lower_admitted_share,
    raise_admitted_share,
)

RESPONSE_TIMES = 12  # last answers, of which the quickest shows the response time without a queue
MIN_ORIGIN_LIMIT = 2.0  # attempts
DELAY_FACTOR = 0.7  # factor on the attempts in use after an answer that queued for too long
OVERLOAD_FACTOR = 0.5  # factor on the attempts in use after a timeout or refused connection


def shortest_response_time(server: Server) -> int:
    """Return the shortest of the last response times, in microseconds; 0 if there are none."""
    return min(server.response_times, default=0)


class OriginLimiter:
    """Adjusts and applies the concurrency limits and admitted shares of the origin servers."""

    def admits(self, server: Server, limit_fraction: float, now: int, pacing: float) -> bool:
        """Return whether a request that may use this fraction of the limit can be sent to the origin now."""
        if server.admitted_share < max(1 - limit_fraction, 0):
            return False
        return has_capacity(server, limit_fraction * server.concurrency_limit, now, pacing)

    def record_success(
        self, server: Server, response_time: int, latency_objective: int, sent_at: int, now: int
    ) -> None:
        """Raise a limit that is in use; lower it if the answer queued for over a latency objective."""
        raise_admitted_share(server)
        server.response_times = (*server.response_times[1 - RESPONSE_TIMES :], response_time)
        queueing_delay = response_time - shortest_response_time(server)
        limit = server.concurrency_limit
        if queueing_delay <= latency_objective:
            if server.in_flight + 1 >= limit / 2:
                server.concurrency_limit = min(MAX_LIMIT, limit + FAST_GROWTH / limit)
        elif sent_at >= server.limit_lowered_at:
            server.limit_lowered_at = now
            in_use = min(limit, server.in_flight + 1)
            server.concurrency_limit = max(MIN_ORIGIN_LIMIT, in_use * DELAY_FACTOR)

    def record_overload(self, server: Server, has_recent_outcome: bool, sent_at: int, now: int) -> None:
        """Set the limit to half of what is in use, unless the attempt was sent before the last decrease."""
        server.consecutive_on_time = 0
        if sent_at < server.limit_lowered_at:
            return
        server.limit_lowered_at = now
        lower_admitted_share(server, RECENT_SHARE_FACTOR if has_recent_outcome else SHARE_FACTOR)
        in_use = min(server.concurrency_limit, server.in_flight + 1)
        server.concurrency_limit = max(MIN_ORIGIN_LIMIT, in_use * OVERLOAD_FACTOR)
