"""The clock of a process: wall-clock time that never goes backwards."""

from __future__ import annotations

import time

NANOSECONDS_PER_MICROSECOND = 1_000


class WallAnchoredClock:
    """A clock that reads the wall clock once and then advances with the monotonic clock.

    Start times in the endpoint list are wall-clock times, so that every proxy has to use wall-clock time.
    Deadlines, however, must not follow a wall clock that is set back.
    """

    def __init__(self) -> None:
        self._offset = time.time_ns() - time.monotonic_ns()

    def __call__(self) -> int:
        """Return the current time in whole microseconds since 1970."""
        return (time.monotonic_ns() + self._offset) // NANOSECONDS_PER_MICROSECOND
