"""When the endpoint list's service is called, and called again after a call or a watch has failed."""

from __future__ import annotations

from random import Random

MIN_PAUSE_US = 20_000  # a call that fails at once is not made in a loop
MAX_DOUBLINGS = 8  # of the pause; bounds the power of two, `max_pause` bounds the pause itself


class PollBackoff:
    """Exponential backoff with jitter between calls of the endpoint list's service.

    It keeps a whole fleet's calls from coming at once to a service of fixed capacity.
    """

    def __init__(self, rng: Random, base_pause: int, max_pause: int) -> None:
        """:param base_pause: microseconds; doubled at each failure up to `max_pause`, before jitter."""
        self.rng, self.base_pause, self.max_pause = rng, base_pause, max_pause
        self.failures = 0  # in a row
        self.next_at: int | None = None  # when to call next; None: a call or a watch is on

    def take_due_call(self, now: int) -> bool:
        """Return whether to call now; the call then counts as made."""
        if self.next_at is None or now < self.next_at:
            return False
        self.next_at = None
        return True

    def record_failure(self, now: int, latest: int | None = None) -> int:
        """Note that a call failed or a watch broke; return when to call next.

        :param latest: not to be later than this, where given; the jitter is as wide as that leaves.
        """
        self.failures += 1
        pause = min(self.base_pause << min(self.failures, MAX_DOUBLINGS), self.max_pause)
        if latest is not None:
            pause = max(MIN_PAUSE_US, min(pause, 2 * (latest - now) // 3))
        self.next_at = now + pause // 2 + self.rng.randrange(pause)
        return self.next_at
