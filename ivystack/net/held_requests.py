"""Requests on which no decision may be made yet, because the endpoint list may be out of date."""

from __future__ import annotations

from collections.abc import Callable

from ..model import Request
from .deadlines import DeadlineQueue


class HeldRequests:
    """Keeps requests in the order of their arrival, and has them decided in slices of several turns.

    :param decide: decides on a request at a time in microseconds; it may hold the request again
    :param after_slice: called after each slice of decisions
    """

    SLICE_US = 500

    def __init__(
        self,
        deadlines: DeadlineQueue,
        now: Callable[[], int],
        decide: Callable[[Request, int], object],
        after_slice: Callable[[], object],
    ) -> None:
        self.deadlines, self.now, self.decide, self.after_slice = deadlines, now, decide, after_slice
        self._requests: dict[Request, None] = {}

    def add(self, request: Request) -> None:
        """Hold a request until the next release."""
        self._requests[request] = None

    def release(self) -> None:
        """Decide on the requests that are held now; on the rest of them soon, if there are many."""
        waiting = [*self._requests]
        ends_at = self.now() + self.SLICE_US
        for request in waiting:
            del self._requests[request]
            if not request.concluded:
                self.decide(request, self.now())
            if request in self._requests:  # held again: its next release is that of all
                break
            if self.now() >= ends_at and self._requests:
                self.deadlines.call_at(self.now(), self.release)
                break
        if waiting:
            self.after_slice()
