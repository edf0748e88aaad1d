"""Backoff between calls of the discovery service, after a call or a watch has failed."""

from __future__ import annotations

from random import Random

MIN_PAUSE_US = 20_000  # keeps calls that fail at once from being repeated in a busy loop
MAX_DOUBLINGS = 8  # bounds the power of two; `max_pause` bounds the pause itself


class PollBackoff:
    """Exponential backoff with jitter between calls of the discovery service.

    Both keep the processes of a fleet from calling a service of fixed capacity all at once.
    """

    def __init__(self, rng: Random, base_pause: int, max_pause: int) -> None:
        """:param base_pause: microseconds; doubled at each failure up to `max_pause`, before jitter."""
        self.rng, self.base_pause, self.max_pause = rng, base_pause, max_pause
        self.failures = 0  # consecutive failures
        self.next_at: int | None = None  # time of the next call; None: a call or a watch is in progress

    def claim_due_call(self, now: int) -> bool:
        """Return whether a call is due now; if so, it counts as started."""
        if self.next_at is None or now < self.next_at:
            return False
        self.next_at = None
        return True

    def record_failure(self, now: int, latest: int | None = None) -> int:
        """Record that a call or a watch failed; return when to call next.

        :param latest: the latest time for the next call, if given; it also limits the jitter.
        """
        self.failures += 1
        pause = min(self.base_pause << min(self.failures, MAX_DOUBLINGS), self.max_pause)
        if latest is not None:
            pause = max(MIN_PAUSE_US, min(pause, 2 * (latest - now) // 3))
        self.next_at = now + pause // 2 + self.rng.randrange(pause)
        return self.next_at
