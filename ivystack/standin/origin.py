"""A stand-in for the slow origin behind the cache servers: a fixed number of requests at once, and a queue.

The origin executes the writes and records each of them in the ledger. It drops a repeated write only if the
request class is deduplicated, within the window of that class.
"""

from __future__ import annotations

from collections import deque
from random import Random

from .ledger import Effect, Ledger


class Origin:
    """The origin of all cache servers of a run."""

    def __init__(
        self, reactor, now, rng: Random, ledger: Ledger, *, service_time=0.02, at_once=32, queue=512,
        windows=None,
    ):  # fmt: skip
        """Create the origin. `now` returns the time in microseconds.

        `service_time` is the mean of an exponential distribution, in seconds. `at_once` requests are served
        concurrently and up to `queue` requests wait. `windows` maps each deduplicated request class to its
        deduplication window in microseconds.
        """
        self.reactor, self.now, self.rng, self.ledger = reactor, now, rng, ledger
        self.service_time, self.concurrency, self.queue_limit = service_time, at_once, queue
        self.windows = windows or {}
        self.slowdown = 1.0  # an injected fault: service takes this many times as long
        self.in_service = 0
        self.queue: deque = deque()
        self.executed_at: dict[tuple[str, bytes], int] = {}  # by request class and idempotency key

    def serve(self, done) -> bool:
        """Call `done` once a request has been served. Return False, and do nothing, if the queue is full."""
        if self.in_service < self.concurrency:
            self.start(done)
        elif len(self.queue) < self.queue_limit:
            self.queue.append(done)
        else:
            return False
        return True

    def start(self, done) -> None:
        self.in_service += 1
        self.ledger.origin_requests += 1
        duration = self.rng.expovariate(1 / self.service_time) * self.slowdown if self.service_time else 0
        self.reactor.callLater(duration, self.service_finished, done)

    def service_finished(self, done) -> None:
        self.in_service -= 1
        if self.queue and self.in_service < self.concurrency:
            self.start(self.queue.popleft())
        done()

    def write(self, node: str, ident: bytes, key: bytes, idempotency_key: bytes, request_class: str) -> None:
        """Execute and record a write, or drop it as a repeat."""
        effect = Effect(self.now(), node, ident, key, idempotency_key, request_class)
        window = self.windows.get(request_class)
        if window is not None and idempotency_key:
            previous = self.executed_at.get((request_class, idempotency_key))
            if previous is not None and effect.at - previous < window:
                self.ledger.dropped_repeats.append(effect)
                return
            self.executed_at[request_class, idempotency_key] = effect.at
        self.ledger.effects.append(effect)
