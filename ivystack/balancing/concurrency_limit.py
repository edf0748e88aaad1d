"""How many of this process's attempts a cache server may have in flight, and its share of the requests.

Both follow the outcomes (additive increase, multiplicative decrease), as servers don't stop late work: a
process that goes on sending keeps their queues full, and all answers late.
"""

from __future__ import annotations

from ..model import Server
from .server_load import RESTING_LOAD, load_is_recent

INITIAL_LIMIT = 12.0  # attempts: a server without strain has a place for the lowest priority
MIN_LIMIT, MAX_LIMIT = 0.05, 64.0  # attempts; at the least one in two seconds shows when the server recovers
MIN_LIMIT_FRACTION = 0.1  # of a limit, for the lowest priority
MIN_SHARE = 0.02  # of the requests still goes out, else a server could never show that it has recovered
# Below a limit of one, attempts are this part of the latency objective over the limit apart.
PACING_FRACTION = 0.125
DEFAULT_PACING_US = 1e5  # where the caller states no pacing of its request class
SMALL_LIMIT_GROWTH = 0.1  # of the limit, an answer, times the answers on time in a row
FAST_GROWTH = 4  # attempts a limit's worth of answers, while no share has fallen; else 1
LATER_SUCCESS_DECREASE = 0.25  # attempts: a lost connection, or long work, no queue
LIMIT_FACTOR = 0.25  # of the limit is left after an attempt that timed out
SHARE_FACTOR = 0.35  # of a server's share is left after a time-out, where it is seldom heard from
RECENT_SHARE_FACTOR = 0.8  # the same where it was heard from lately
COMMON_SHARE_FACTOR = 0.8  # of the common share is left after a time-out
SLOW_ANSWER_FACTOR = 0.92  # of both shares is left after slow answers
SLOW_HIT_SHARE_FACTOR = 0.7  # of a server's share is left after a slow cache hit: it has queued
SHARE_INCREASE = 0.15  # of a server's share, an answer
COMMON_SHARE_INCREASE = 0.02  # of the common share, an answer; smaller, as all servers' answers raise it
# Parts of the latency objective beyond which an answer is slow: of a cache that answers misses at once, of
# one that fetches them itself, and of a hit there.
SLOW_FRACTION_CACHE_ASIDE, SLOW_FRACTION_READ_THROUGH, SLOW_HIT_FRACTION = 0.5, 0.75, 0.4
RECENT_OUTCOME_US = 500_000  # what the server itself showed this lately goes before what all servers show


def raise_admitted_share(server: Server) -> None:
    """Let the server take a larger share of the requests that would go there."""
    server.admitted_share = min(1.0, server.admitted_share + SHARE_INCREASE)


def lower_admitted_share(server: Server, factor: float) -> None:
    """Leave that factor of the server's share."""
    server.admitted_share = max(MIN_SHARE, server.admitted_share * factor)


def has_capacity(server: Server, limit: float, now: int, pacing: float) -> bool:
    """Return whether another attempt fits the limit; below one, attempts are `pacing` / limit us apart."""
    if limit < 1:
        return not server.in_flight and now >= server.last_sent_at + pacing / limit
    return server.in_flight < limit


class ConcurrencyLimiter:
    """The limits and shares of the cache servers."""

    def __init__(self) -> None:
        # Of the requests, at any server that was not heard from lately: a process with little traffic meets
        # each server too seldom to go by its share alone.
        self.common_share = 1.0

    def admits(
        self,
        server: Server,
        limit_fraction: float,
        now: int,
        required_share: float = 0.0,
        pacing: float = DEFAULT_PACING_US,
    ) -> bool:
        """Return whether a request that may use this fraction of the limit can be sent to the server now.

        :param required_share: the server's share must be at least so large.
        :param pacing: microseconds between attempts at a limit of one.
        """
        share = server.admitted_share
        # A server with a low load is as good as one heard from: others' strain is not its own.
        rests = server.load <= RESTING_LOAD and load_is_recent(server, now)
        has_own_sign = now < server.last_outcome_at + RECENT_OUTCOME_US or rests
        uses_own_share = has_own_sign and server.concurrency_limit >= 1
        if not uses_own_share:
            share = min(share, self.common_share)
        if share < max(1 - limit_fraction, required_share):
            return False
        return has_capacity(server, limit_fraction * server.concurrency_limit, now, pacing)

    def record_slow_answer(self, server: Server) -> None:
        """Lower both shares a little."""
        lower_admitted_share(server, SLOW_ANSWER_FACTOR)
        self.lower_common_share(SLOW_ANSWER_FACTOR)

    def record_success(self, server: Server) -> None:
        """Raise both shares, and the limit while the lowest priority finds no place below it."""
        server.consecutive_on_time += 1
        raise_admitted_share(server)
        self.common_share = min(1.0, self.common_share + COMMON_SHARE_INCREASE)
        limit = server.concurrency_limit
        if limit < INITIAL_LIMIT or MIN_LIMIT_FRACTION * limit < server.in_flight + 1:
            unstrained = min(server.admitted_share, self.common_share) == 1
            growth = min(
                SMALL_LIMIT_GROWTH * server.consecutive_on_time * limit,
                (FAST_GROWTH if unstrained else 1) / limit,
            )
            server.concurrency_limit = min(MAX_LIMIT, limit + growth)

    def record_overload(
        self, server: Server, is_healthy: bool, has_recent_outcome: bool, sent_at: int, now: int
    ) -> None:
        """Note an attempt that timed out, or was rejected by a full server that reports no load.

        Attempts that were in flight when the limit last fell are one overload, and change nothing.

        :param is_healthy: the server is not ejected; further failures in a row are its own, and no strain of
        all.
        """
        server.consecutive_on_time = 0
        if sent_at < server.limit_lowered_at:
            return
        server.limit_lowered_at = now
        lower_admitted_share(server, RECENT_SHARE_FACTOR if has_recent_outcome else SHARE_FACTOR)
        if is_healthy:
            self.lower_common_share(COMMON_SHARE_FACTOR)
        server.concurrency_limit = max(MIN_LIMIT, server.concurrency_limit * LIMIT_FACTOR)

    def record_late_after_success(self, server: Server) -> None:
        """Lower the limit a little for an attempt that timed out while later ones were answered."""
        limit = server.concurrency_limit
        server.concurrency_limit = max(min(limit, 1.0), limit - LATER_SUCCESS_DECREASE)

    def lower_common_share(self, factor: float = COMMON_SHARE_FACTOR) -> None:
        """Leave that factor of the common share."""
        self.common_share = max(MIN_SHARE, self.common_share * factor)
