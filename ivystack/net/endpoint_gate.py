"""Holds attempts back while the endpoint list may be older than the discovery agent's.

The process counts as notified of what the agent has, even if it has not read it: it may have just started, or
have stood still.  Before attempts are sent, all that the watch has received is read, and if discovery had
to be heard meanwhile and was not, it is called.  Attempts wait for the answer for as long as the agent of a
busy machine may take.  Where discovery refuses calls or does not answer, the list as it is has to do.
"""

from __future__ import annotations

from collections.abc import Callable
from typing import Any

from loguru import logger

from .deadlines import DeadlineQueue
from .endpoint_watch import ANSWER_TIMEOUT_US, EndpointWatch
from .list_freshness import ListFreshness

# How old the last look at the watch may be when an attempt is sent.  A stall of 0.15 s may follow, and the
# grace of a drain has to cover both.
CHECK_INTERVAL_US = 10_000
MAX_JUDGEMENT_LAG_US = 20_000  # a judgement that is later than this comes after a stall
JUDGEMENT_RETRY_US = 250_000  # what stalled this process may have stalled the agent too
MAX_CLOSED_US = 2 * ANSWER_TIMEOUT_US  # after which a stall no longer puts off the judgement
MICROSECONDS_PER_MILLISECOND = 1_000


class EndpointGate:
    """Answers whether attempts may be sent by the endpoint list as it is; closed while discovery is called.

    :param freshness: which the watch keeps up to date
    :param on_open: called soon after the gate has opened
    """

    def __init__(
        self,
        reactor: Any,
        watch: EndpointWatch,
        freshness: ListFreshness,
        deadlines: DeadlineQueue,
        now: Callable[[], int],
        on_open: Callable[[], object],
    ) -> None:
        self.reactor, self.watch, self.freshness = reactor, watch, freshness
        self.deadlines, self.now, self.on_open = deadlines, now, on_open
        self.is_open = True
        self.closed_at = 0
        self._checked_at = 0
        watch.listener = self

    def allows_attempts(self) -> bool:
        """Return whether attempts may be sent now.

        The call may read the watch, and so change the endpoint list and the state of connections.
        """
        if self.watch.is_reading:  # further lines may follow the one that is being handled
            self.deadlines.call_at(self.now(), self.on_open)
            return False
        now = self.now()
        if now - self._checked_at >= CHECK_INTERVAL_US:
            self.watch.read_now()
            self._checked_at = now
            if not self.freshness.is_fresh(now):
                self.close("overdue")
        return self.is_open

    @property
    def generation(self) -> int:
        """The generation of the endpoint list."""
        return self.watch.generation

    def close(self, code: str) -> None:
        """Allow no attempts until discovery has answered a call; `code` is the reason."""
        if not self.is_open:
            return
        self.is_open = False
        self.closed_at = self.now()
        logger.info("attempts wait for discovery generation={} code={}", self.watch.generation, code)
        self._schedule_judgement(self.closed_at + ANSWER_TIMEOUT_US)  # first: the call may raise an exception
        self.watch.ensure_call(code)
        answer_due_at = self.watch.answer_due_at()
        if answer_due_at is not None:  # sooner, if the call was open before
            self._schedule_judgement(answer_due_at)

    # Events of the watch.

    def heard(self) -> None:
        """Allow attempts, because the list is as new as discovery's answer."""
        self._open("answered")

    def call_failed(self, code: str) -> None:
        """Allow attempts by the list as it is, because discovery can't be heard."""
        self._open(code)

    def call_lost(self, code: str) -> None:
        """Have discovery called again without a pause, if attempts wait for it."""
        if not self.is_open:
            self.deadlines.call_at(self.now(), self.watch.request_watch)

    # The wait for an answer.

    def _schedule_judgement(self, due_at: int) -> None:
        self.deadlines.call_at(due_at, self._judge_later, due_at)

    def _judge_later(self, due_at: int) -> None:
        """Have the reactor read all sockets once more: after a stall the answer may lie unread."""
        self.reactor.callLater(0, self._judge, due_at)

    def _judge(self, due_at: int) -> None:
        """Open if discovery has had the time for an answer, and this process the time to read it."""
        if not self.is_open:
            self.watch.read_now()
        if self.is_open:
            return
        now, answer_due_at = self.now(), self.watch.answer_due_at()
        if answer_due_at is None or (self._is_after_stall(due_at, now) and answer_due_at <= now):
            answer_due_at = now + JUDGEMENT_RETRY_US
        if answer_due_at > now:
            self._schedule_judgement(answer_due_at)
            return
        self.watch.go_without_answer()
        self._open("no-answer")

    def _is_after_stall(self, due_at: int, now: int) -> bool:
        return now - due_at > MAX_JUDGEMENT_LAG_US and now - self.closed_at < MAX_CLOSED_US

    def _open(self, code: str) -> None:
        if self.is_open:
            return
        self.is_open = True
        waited_ms = (self.now() - self.closed_at) // MICROSECONDS_PER_MILLISECOND
        logger.info(
            "attempts are allowed generation={} code={} waited_ms={}", self.watch.generation, code, waited_ms
        )
        self.deadlines.call_at(self.now(), self.on_open)
