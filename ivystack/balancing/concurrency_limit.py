"""Concurrency limits and admitted shares of cache servers.

The concurrency limit bounds the attempts of this process in flight at a server; the admitted share bounds the
part of the server's requests that is sent at all.  Both rise additively and fall multiplicatively with the
outcomes of attempts.  Servers don't abort late work, so a process that continued to send would keep their
queues full and all answers late.
"""

from __future__ import annotations

from ..model import Server
from .server_load import NO_QUEUE_LOAD, load_is_recent

INITIAL_LIMIT = 12.0  # attempts; lets requests of the lowest priority use a server that is not overloaded
MIN_LIMIT, MAX_LIMIT = 0.05, 64.0  # attempts; the minimum lets one through in two seconds, to detect recovery
MIN_LIMIT_FRACTION = 0.1  # fraction of a limit that the lowest priority may use
MIN_SHARE = 0.02  # this share is always sent, so that the recovery of a server is detected
# With a limit below one, attempts are sent at intervals of this part of the latency objective over the limit.
PACING_FRACTION = 0.125
DEFAULT_PACING_US = 1e5  # used if the caller passes no pacing for the request class
SMALL_LIMIT_GROWTH = 0.1  # of the limit per answer, times the consecutive answers on time
FAST_GROWTH = 4  # attempts per limit's worth of answers while both shares are 1; otherwise 1 attempt
# Attempts; small, because the timeout indicates a lost connection or long-running work, not a queue.
LATER_SUCCESS_DECREASE = 0.25
LIMIT_FACTOR = 0.25  # factor on the limit after an attempt that timed out
SHARE_FACTOR = 0.35  # factor on a server's share after a timeout, if its outcomes are rare
RECENT_SHARE_FACTOR = 0.8  # the same if the server has a recent outcome
COMMON_SHARE_FACTOR = 0.8  # factor on the common share after a timeout
SLOW_ANSWER_FACTOR = 0.92  # factor on both shares after slow answers
SLOW_HIT_SHARE_FACTOR = 0.7  # factor on a server's share after a slow cache hit, which has queued
SHARE_INCREASE = 0.15  # added to a server's share per answer
COMMON_SHARE_INCREASE = 0.02  # added to the common share per answer; small, as all servers' answers add to it
# Parts of the latency objective above which an answer is slow: at a cache-aside server, which answers misses
# at once; at a read-through server, which fetches misses itself; and for a hit at a read-through server.
SLOW_FRACTION_CACHE_ASIDE, SLOW_FRACTION_READ_THROUGH, SLOW_HIT_FRACTION = 0.5, 0.75, 0.4
RECENT_OUTCOME_US = 500_000  # for this time, a server's last outcome counts more than other servers'


def raise_admitted_share(server: Server) -> None:
    """Raise the share of the server's requests that is sent."""
    server.admitted_share = min(1.0, server.admitted_share + SHARE_INCREASE)


def lower_admitted_share(server: Server, factor: float) -> None:
    """Multiply the server's admitted share by the factor."""
    server.admitted_share = max(MIN_SHARE, server.admitted_share * factor)


def has_capacity(server: Server, limit: float, now: int, pacing: float) -> bool:
    """Return whether the limit allows another attempt now.

    With a limit below one, attempts are sent one at a time, at least `pacing` / `limit` microseconds apart.
    """
    if limit < 1:
        return not server.in_flight and now >= server.last_sent_at + pacing / limit
    return server.in_flight < limit


class ConcurrencyLimiter:
    """Adjusts and applies the concurrency limits and admitted shares of the cache servers."""

    def __init__(self) -> None:
        # The admitted share of servers without a recent outcome.  A process with little traffic sends too
        # few attempts to each server to rely on the server's own share.
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

        :param required_share: the least admitted share with which the server may be sent the request.
        :param pacing: microseconds between attempts at a limit of one.
        """
        share = server.admitted_share
        # A recently reported low load counts like a recent outcome: an overload elsewhere does not affect it.
        is_lightly_loaded = server.load <= NO_QUEUE_LOAD and load_is_recent(server, now)
        has_own_evidence = now < server.last_outcome_at + RECENT_OUTCOME_US or is_lightly_loaded
        uses_own_share = has_own_evidence and server.concurrency_limit >= 1
        if not uses_own_share:
            share = min(share, self.common_share)
        if share < max(1 - limit_fraction, required_share):
            return False
        return has_capacity(server, limit_fraction * server.concurrency_limit, now, pacing)

    def record_slow_answer(self, server: Server) -> None:
        """Lower the server's share and the common share a little."""
        lower_admitted_share(server, SLOW_ANSWER_FACTOR)
        self.lower_common_share(SLOW_ANSWER_FACTOR)

    def record_success(self, server: Server) -> None:
        """Raise both shares; raise the limit if the attempts in flight exceed the lowest priority's part."""
        server.consecutive_on_time += 1
        raise_admitted_share(server)
        self.common_share = min(1.0, self.common_share + COMMON_SHARE_INCREASE)
        limit = server.concurrency_limit
        if limit < INITIAL_LIMIT or MIN_LIMIT_FRACTION * limit < server.in_flight + 1:
            shares_are_full = min(server.admitted_share, self.common_share) == 1
            growth = min(
                SMALL_LIMIT_GROWTH * server.consecutive_on_time * limit,
                (FAST_GROWTH if shares_are_full else 1) / limit,
            )
            server.concurrency_limit = min(MAX_LIMIT, limit + growth)

    def record_overload(
        self, server: Server, is_healthy: bool, has_recent_outcome: bool, sent_at: int, now: int
    ) -> None:
        """Record an attempt that timed out, or that a full server without load reports rejected.

        Attempts sent before the limit was last lowered belong to the same overload, and change nothing.

        :param is_healthy: the server is not ejected.  Failures of an ejected server don't lower the common
            share, because they indicate no overload of all servers.
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
        """Lower the limit a little for an attempt that timed out although later ones were answered."""
        limit = server.concurrency_limit
        server.concurrency_limit = max(min(limit, 1.0), limit - LATER_SUCCESS_DECREASE)

    def lower_common_share(self, factor: float = COMMON_SHARE_FACTOR) -> None:
        """Multiply the common share by the factor."""
        self.common_share = max(MIN_SHARE, self.common_share * factor)
