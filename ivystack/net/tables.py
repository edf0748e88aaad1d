"""Tables of numbered slots, and the one ordered structure in which all deadlines hang.

Owns which numbers are taken and the reactor's one timer.  It must never know what is kept in a slot or what a
deadline is for.
"""

from __future__ import annotations

import heapq
import time

from loguru import logger


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


class Deadlines:
    """Calls to be made at their times; a list [at, number, call, values] each, its call None once over."""

    HELD_UP = 20_000  # microseconds late: the process did not run meanwhile, and what has come lies unread
    MANY = 1000  # dropped ones that may stay in the heap, where they are over half of it

    def __init__(self, reactor, now):
        self.reactor, self.now = reactor, now
        self.heap: list[list] = []
        self.count = 0
        self.dropped = 0  # still in the heap
        self.timer, self.timer_at = None, 0
        self.read_up = False  # the sockets were read since it was seen that we were held up

    def at(self, when: int, call, *values) -> list:
        self.count += 1
        deadline = [when, self.count, call, values]
        heapq.heappush(self.heap, deadline)
        self.arm()
        return deadline

    def drop(self, deadline: list | None) -> None:
        if deadline is None or deadline[2] is None:
            return
        deadline[2], deadline[3] = None, ()
        self.dropped += 1
        # Guards the memory: a busy proxy drops thousands of deadlines a second that lie a minute ahead.
        if self.dropped > self.MANY and 2 * self.dropped > len(self.heap):
            self.heap = [one for one in self.heap if one[2] is not None]
            heapq.heapify(self.heap)
            self.dropped = 0

    def pop(self) -> tuple:
        deadline = heapq.heappop(self.heap)
        call, values = deadline[2:]
        if call is None:
            self.dropped -= 1
        deadline[2], deadline[3] = None, ()
        return call, values

    def arm(self) -> None:
        """Sees to it that the timer goes off by the first deadline; one that goes off early does no harm."""
        while self.heap and self.heap[0][2] is None:
            self.pop()
        if not self.heap or self.timer is not None and self.timer_at <= self.heap[0][0]:
            return
        self.timer_at = self.heap[0][0]
        rest = max(0, self.timer_at - self.now()) / 1_000_000
        if self.timer is None:
            self.timer = self.reactor.callLater(rest, self.fire)
        else:
            self.timer.reset(rest)

    def fire(self) -> None:
        """Makes the calls that are due.  Where the process was held up, the reactor reads its sockets first:
        an answer that came in time must not lose against the deadline that it was in time for."""
        self.timer = None
        now = self.now()
        if not self.read_up and self.heap and self.heap[0][0] < now - self.HELD_UP:
            self.read_up = True
            self.timer, self.timer_at = self.reactor.callLater(0, self.fire), now
            return
        self.read_up = False
        while self.heap and self.heap[0][0] <= now:
            call, values = self.pop()
            if call is None:
                continue
            try:
                call(*values)
            except Exception:  # guards the other deadlines: one that fails must not keep the rest from coming
                logger.exception("a deadline's call failed")
        self.arm()
