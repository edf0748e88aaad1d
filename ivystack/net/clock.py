"""The clock of a process: wall-clock time that never goes back."""

from __future__ import annotations

import time

NANOSECONDS_PER_MICROSECOND = 1_000


class WallAnchoredClock:
    """Whole microseconds since 1970, counted on by the monotonic clock from one reading of the wall clock.

    Start times in the endpoint list are wall-clock times, so every proxy must reckon in them; but deadlines
    must not follow a wall clock that is set back.
    """

    def __init__(self) -> None:
        self._offset = time.time_ns() - time.monotonic_ns()

    def __call__(self) -> int:
        """Return the present time in microseconds since 1970."""
        return (time.monotonic_ns() + self._offset) // NANOSECONDS_PER_MICROSECOND
