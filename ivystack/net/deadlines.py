"""A queue of scheduled calls that uses one timer of the reactor.

A busy proxy schedules several calls for each request and cancels nearly all of them.  A heap of entries is
cheaper for that than a reactor timer for each call.  All times are whole microseconds of the queue's clock.
"""

from __future__ import annotations

import heapq
from collections.abc import Callable
from typing import Any, Protocol

from loguru import logger

MICROSECONDS_PER_SECOND = 1_000_000


class Timer(Protocol):
    """A timer of the reactor, as returned by `callLater`; delays are in seconds."""

    def reset(self, seconds_from_now: float) -> None:
        """Reschedule the call."""


class TimerReactor(Protocol):
    """The part of a Twisted reactor that the queue uses."""

    def callLater(self, delay: float, call: Callable[[], object]) -> Timer:  # noqa: N802
        """Schedule `call` in `delay` seconds."""


class Deadline:
    """A scheduled call that can be cancelled, made by `DeadlineQueue.call_at`; not a request's deadline."""

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
        """Whether the call was neither made nor cancelled."""
        return self._call is not None

    def cancel(self) -> None:
        """Cancel the call; do nothing if it was already made or cancelled."""
        if self._call is None:
            return
        self._call, self._arguments = None, ()
        queue = self._queue
        queue.cancelled += 1
        if queue.cancelled > queue.MAX_CANCELLED:
            queue.discard_cancelled()

    def run(self) -> None:
        """Make the call if it is pending; the queue calls this after removing the deadline from its heap."""
        call, arguments = self._call, self._arguments
        self._call, self._arguments = None, ()
        if call is not None:
            call(*arguments)


class DeadlineQueue:
    """Makes calls at their scheduled times; calls for the same time are made in the order of scheduling.

    If the process was stalled for longer than `STALL_THRESHOLD`, the reactor reads its sockets before calls
    are made.  Otherwise an answer that arrived before its deadline would be treated as late.
    """

    STALL_THRESHOLD = 20_000  # microseconds; a call later than this means a stall, with input possibly unread
    MAX_CANCELLED = 1_000  # cancelled entries that may stay on the heap even if they are over half of it

    def __init__(self, reactor: TimerReactor, now: Callable[[], int]) -> None:
        self.reactor, self.now = reactor, now
        self.heap: list[tuple[float, int, Deadline]] = []  # due time, scheduling number, deadline
        self.scheduled = 0  # calls scheduled since the start
        self.cancelled = 0  # cancelled entries still on the heap
        self._timer: Timer | None = None
        self._timer_at: float = 0
        self._sockets_read = False  # the reactor has read its sockets since the current stall was noticed

    def call_at(self, due_at: float, call: Callable[..., object], *arguments: Any) -> Deadline:
        """Schedule `call(*arguments)` for `due_at`, or for the next reactor turn if that time has passed."""
        self.scheduled += 1
        deadline = Deadline(self, due_at, call, arguments)
        heapq.heappush(self.heap, (due_at, self.scheduled, deadline))
        self._arm()
        return deadline

    def discard_cancelled(self) -> None:
        """Rebuild the heap without its cancelled entries, if they are over half of it.

        Entries may be scheduled a minute ahead, and thousands are cancelled a second.
        """
        if 2 * self.cancelled > len(self.heap):
            self.heap = [entry for entry in self.heap if entry[2]._call is not None]
            heapq.heapify(self.heap)
            self.cancelled = 0

    def run_due(self) -> None:
        """Make the calls that are due; an exception of one call is logged and does not affect the others."""
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
                logger.exception("scheduled call raised an exception; other calls are not affected")
        self._arm()

    def _pop(self) -> Deadline:
        deadline = heapq.heappop(self.heap)[2]
        if deadline._call is None:  # `is_pending` would be slower, and this runs several times a request
            self.cancelled -= 1
        return deadline

    def _arm(self) -> None:
        """Set the timer to expire at the first pending deadline or earlier, which does no harm."""
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
