"""When the balancer is told of outcomes and asked what is due, so that no call of it happens within another.

Attempts may end while the balancer's decisions are carried out.  Their outcomes are kept in order, and the
balancer is told of them before it is asked for further actions.  All times are microseconds.
"""

from __future__ import annotations

from collections import deque
from collections.abc import Callable, Iterator
from contextlib import contextmanager
from dataclasses import dataclass

from loguru import logger

from ..balancing.balancer import Balancer
from ..model import Attempt, CloseIdleConnections, Outcome, Request, SendGossip, Wakeup
from .deadlines import Deadline, DeadlineQueue

BALANCER_RETRY_DELAY_US = 50_000  # after `next_wakeup` has raised an exception

DueAction = Request | SendGossip | CloseIdleConnections


@dataclass(frozen=True, slots=True)
class EndedAttempt:
    """An attempt that has ended, whose outcome the balancer has not been notified of."""

    attempt: Attempt
    outcome: Outcome
    load: dict[str, float]  # the usable figures of the server's load report
    cache_hit: bool


class DueDecisions:
    """Passes on outcomes and the balancer's due actions, one after another.

    :param record_outcome: notifies the balancer of an outcome, and carries out the decision that follows
    :param run_action: carries out an action of the balancer at a time
    """

    def __init__(
        self,
        balancer: Balancer,
        deadlines: DeadlineQueue,
        now: Callable[[], int],
        record_outcome: Callable[[EndedAttempt], object],
        run_action: Callable[[DueAction, int], object],
    ) -> None:
        self.balancer, self.deadlines, self.now = balancer, deadlines, now
        self.record_outcome, self.run_action = record_outcome, run_action
        self._ended: deque[EndedAttempt] = deque()
        self._is_running = False  # `run` is running or deferred
        self._wakeup: Deadline | None = None

    def add_outcome(self, ended: EndedAttempt) -> None:
        """Keep an outcome for the next run."""
        self._ended.append(ended)

    @contextmanager
    def deferred(self) -> Iterator[None]:
        """Make `run` do nothing within the context; its next call after that passes on the outcomes."""
        was_running, self._is_running = self._is_running, True
        try:
            yield
        finally:
            self._is_running = was_running

    def run(self) -> None:
        """Pass on outcomes and carry out due actions, until there are no more of either."""
        if self._is_running:
            return
        self._is_running = True
        try:
            while True:
                while self._ended:
                    self.record_outcome(self._ended.popleft())
                now = self.now()
                wakeup = self._next_wakeup(now)
                if not wakeup.due:
                    break
                for action in wakeup.due:
                    self.run_action(action, now)
        finally:
            self._is_running = False
        if wakeup.delay is not None:
            self._schedule(now + max(wakeup.delay, 1))

    def _next_wakeup(self, now: int) -> Wakeup:
        try:
            return self.balancer.next_wakeup(now)
        except Exception:
            logger.exception("balancer.next_wakeup raised an exception; calling it again after a delay")
            return Wakeup(BALANCER_RETRY_DELAY_US, [])

    def run_soon(self) -> None:
        """Run in the next turn of the reactor."""
        self._schedule(self.now())

    def _schedule(self, due_at: int) -> None:
        """Schedule `run`, unless an earlier call is scheduled already."""
        wakeup = self._wakeup
        if wakeup is not None and wakeup.is_pending and due_at >= wakeup.due_at:
            return
        if wakeup is not None:
            wakeup.cancel()
        self._wakeup = self.deadlines.call_at(due_at, self._run_scheduled)

    def _run_scheduled(self) -> None:
        self._wakeup = None
        self.run()
