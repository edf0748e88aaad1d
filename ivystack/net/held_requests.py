"""Requests on which no decision may be made yet, because the endpoint list may be out of date."""

from __future__ import annotations

from collections.abc import Callable

from loguru import logger

from ..model import Request
from .deadlines import Deadline, DeadlineQueue


class HeldRequests:
    """Keeps requests in the order of their arrival, and has them decided in slices of several turns.

    A request is held for as long as an answer is of use to its client, and is then given up.

    :param decide: decides on a request at a time in microseconds; it may hold the request again
    :param give_up: answers a request that is not sent
    :param answer_deadline: returns the time in microseconds from which an answer to a request is useless
    :param after_slice: called after each slice of decisions
    """

    SLICE_US = 500
    GIVE_UP_LEAD_US = 20_000  # so that the answer is in time

    def __init__(
        self,
        deadlines: DeadlineQueue,
        now: Callable[[], int],
        decide: Callable[[Request, int], object],
        give_up: Callable[[Request], object],
        answer_deadline: Callable[[Request], int],
        after_slice: Callable[[], object],
    ) -> None:
        self.deadlines, self.now, self.decide, self.give_up = deadlines, now, decide, give_up
        self.answer_deadline, self.after_slice = answer_deadline, after_slice
        self._requests: dict[Request, Deadline] = {}  # to the call that gives the request up
        self._given_up = 0  # since the last release

    def __len__(self) -> int:
        return len(self._requests)

    def add(self, request: Request) -> None:
        """Hold a request until the next release."""
        if request not in self._requests:
            give_up_at = self.answer_deadline(request) - self.GIVE_UP_LEAD_US
            self._requests[request] = self.deadlines.call_at(give_up_at, self._expire, request)

    def discard(self, request: Request) -> None:
        """Hold a request no longer that has ended, if it is held."""
        expiry = self._requests.pop(request, None)
        if expiry is not None:
            expiry.cancel()

    def _expire(self, request: Request) -> None:
        """Give a request up, unless an attempt is in flight that may still be answered."""
        self.discard(request)
        if not request.concluded and not request.outstanding():
            self._given_up += 1
            self.give_up(request)

    def release(self) -> None:
        """Decide on the requests that are held now; on the rest of them soon, if there are many."""
        if self._requests or self._given_up:
            logger.info(
                "waiting requests are decided count={} given_up={}", len(self._requests), self._given_up
            )
            self._given_up = 0
        self._decide_slice()

    def _decide_slice(self) -> None:
        waiting = [*self._requests]
        ends_at = self.now() + self.SLICE_US
        for request in waiting:
            self.discard(request)
            if not request.concluded:
                self.decide(request, self.now())
            if request in self._requests:  # held again: its next release is that of all
                break
            if self.now() >= ends_at and self._requests:
                self.deadlines.call_at(self.now(), self._decide_slice)
                break
        if waiting:
            self.after_slice()
