"""Tables of numbered slots, and the one ordered structure in which all deadlines hang.

Owns which numbers are taken and the reactor's one timer.  It must never know what is kept in a slot or what a
deadline is for.
"""

from __future__ import annotations

import heapq
import time


class Slots(dict):
    """Numbers from 0 up, the lowest free one next, and what is kept under each."""

    def __init__(self):
        self.free: list[int] = []

    def put(self, what) -> int:
        number = heapq.heappop(self.free) if self.free else len(self)
        self[number] = what
        return number

    def drop(self, number: int) -> None:
        del self[number]
        heapq.heappush(self.free, number)


class Clock:
    """Whole microseconds since 1970 that never go back: what a node's start is told in, so that every proxy
    reckons it alike.  The step from the monotonic clock is taken once."""

    def __init__(self):
        self.step = time.time_ns() - time.monotonic_ns()

    def __call__(self) -> int:
        return (time.monotonic_ns() + self.step) // 1000
