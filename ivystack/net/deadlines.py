"""A queue of timed calls behind one timer of the reactor.

A busy proxy schedules several calls for each request and cancels nearly all of them; a heap of entries is
cheaper for that than a reactor timer for each.  All times are whole microseconds of the queue's clock.
"""

from __future__ import annotations

import heapq
from collections.abc import Callable
from typing import Any, Protocol

from loguru import logger

MICROSECONDS_PER_SECOND = 1_000_000


class Timer(Protocol):
    """The reactor's timer, as `callLater` returns it; its delays are seconds."""

    def reset(self, seconds_from_now: float) -> None:
        """Postpone or advance the call."""


class TimerReactor(Protocol):
    """What the queue needs of a Twisted reactor."""

    def callLater(self, delay: float, call: Callable[[], object]) -> Timer:  # noqa: N802
        """Schedule `call` in `delay` seconds."""


class Deadline:
    """A scheduled, cancellable call (a timer), not a request's deadline; made by `DeadlineQueue.call_at`."""

    __slots__ = ("due_at", "_call", "_arguments", "_queue")

    def __init__(
        self, queue: DeadlineQueue, due_at: float, call: Callable[..., object], arguments: tuple[Any, ...]
    ) -> None:
        self.due_at = due_at
        self._queue = queue
        self._call: Callable[..., object] | None = call
        self._arguments = arguments

    @property
    def is_pending(self) -> bool:
        """Whether the call is still to be made: it neither was begun nor cancelled."""
        return self._call is not None

    def cancel(self) -> None:
        """Keep the call from being made; one that was begun or cancelled already is left as it is."""
        if self._call is None:
            return
        self._call, self._arguments = None, ()
        queue = self._queue
        queue.cancelled += 1
        if queue.cancelled > queue.MAX_CANCELLED:
            queue.discard_cancelled()

    def run(self) -> None:
        """Make the call if it is pending.  For the queue, which has taken the deadline off its heap."""
        call, arguments = self._call, self._arguments
        self._call, self._arguments = None, ()
        if call is not None:
            call(*arguments)


class DeadlineQueue:
    """Makes calls at their times, in order of time and then of scheduling.

    Where the process was held up for longer than `STALL_THRESHOLD`, the reactor reads its sockets before
    calls are made: an answer that came in time must not lose against the deadline it was in time for.
    """

    STALL_THRESHOLD = 20_000  # microseconds late: the process did not run, and input may lie unread
    MAX_CANCELLED = 1_000  # entries that may stay on the heap where they are over half of it

    def __init__(self, reactor: TimerReactor, now: Callable[[], int]) -> None:
        self.reactor, self.now = reactor, now
        self.heap: list[tuple[float, int, Deadline]] = []  # due time, scheduling number, deadline
        self.scheduled = 0  # calls, since the start
        self.cancelled = 0  # entries still on the heap
        self._timer: Timer | None = None
        self._timer_at: float = 0
        self._sockets_read = False  # since the present stall was noticed

    def call_at(self, due_at: float, call: Callable[..., object], *arguments: Any) -> Deadline:
        """Schedule `call(*arguments)` for `due_at`; a time that has passed means the reactor's next turn."""
        self.scheduled += 1
        deadline = Deadline(self, due_at, call, arguments)
        heapq.heappush(self.heap, (due_at, self.scheduled, deadline))
        self._arm()
        return deadline

    def discard_cancelled(self) -> None:
        """Rebuild the heap without the cancelled entries, if they are over half of it.

        They may lie a minute ahead, and thousands are cancelled a second.
        """
        if 2 * self.cancelled > len(self.heap):
            self.heap = [entry for entry in self.heap if entry[2]._call is not None]
            heapq.heapify(self.heap)
            self.cancelled = 0

    def run_due(self) -> None:
        """Make the calls that are due.  One that raises is logged and keeps no other from being made."""
        self._timer = None
        now = self.now()
        if not self._sockets_read and self.heap and self.heap[0][0] < now - self.STALL_THRESHOLD:
            self._sockets_read = True
            self._timer, self._timer_at = self.reactor.callLater(0, self.run_due), now
            return
        self._sockets_read = False
        while self.heap and self.heap[0][0] <= now:
            deadline = self._pop()
            try:
                deadline.run()
            except Exception:
                logger.exception("a deadline's call failed")
        self._arm()

    def _pop(self) -> Deadline:
        deadline = heapq.heappop(self.heap)[2]
        if deadline._call is None:  # as `is_pending`, without a call: for each request some are looked at
            self.cancelled -= 1
        return deadline

    def _arm(self) -> None:
        """Have the timer expire by the first pending deadline; one that expires early does no harm."""
        while self.heap and self.heap[0][2]._call is None:
            self._pop()
        if not self.heap:
            return
        first_at = self.heap[0][0]
        if self._timer is not None and self._timer_at <= first_at:
            return
        self._timer_at = first_at
        delay = max(0, first_at - self.now()) / MICROSECONDS_PER_SECOND
        if self._timer is None:
            self._timer = self.reactor.callLater(delay, self.run_due)
        else:
            self._timer.reset(delay)
