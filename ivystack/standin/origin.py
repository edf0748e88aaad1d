"""A stand-in for the slow origin behind the cache nodes: so many at once, the rest in a queue.

Owns the effects of writes: one is carried out exactly when it is recorded in the ledger.  It must never drop
a repeat that its class does not let it recognize.
"""

from __future__ import annotations

from collections import deque
from random import Random

from .ledger import Effect, Ledger


class Origin:
    def __init__(
        self,
        reactor,
        now,
        rng: Random,
        ledger: Ledger,
        *,
        service_time=0.02,
        at_once=32,
        queue=512,
        windows=None,
    ):
        """`time` in seconds is an exponential's mean; `windows` names the deduplicated classes, with the
        window of each in microseconds."""
        self.reactor, self.now, self.rng, self.ledger = reactor, now, rng, ledger
        self.service_time, self.at_once, self.queue = service_time, at_once, queue
        self.windows = windows or {}
        self.slowdown = 1.0  # slower by it
        self.busy = 0
        self.waiting: deque = deque()
        self.marks: dict[tuple[str, bytes], int] = {}  # when each was carried out

    def ask(self, done) -> bool:
        """Calls `done` when it has been through; False if the queue is full, and nothing happens."""
        if self.busy < self.at_once:
            self.begin(done)
        elif len(self.waiting) < self.queue:
            self.waiting.append(done)
        else:
            return False
        return True

    def begin(self, done) -> None:
        self.busy += 1
        self.ledger.origin_requests += 1
        spent = self.rng.expovariate(1 / self.service_time) * self.slowdown if self.service_time else 0
        self.reactor.callLater(spent, self.ended, done)

    def ended(self, done) -> None:
        self.busy -= 1
        if self.waiting and self.busy < self.at_once:
            self.begin(self.waiting.popleft())
        done()

    def write(self, node: str, ident: bytes, key: bytes, mark: bytes, method: str) -> None:
        """Carries a write out, or recognizes it as a repeat."""
        effect = Effect(self.now(), node, ident, key, mark, method)
        window = self.windows.get(method)
        if window is not None and mark:
            before = self.marks.get((method, mark))
            if before is not None and effect.at - before < window:
                self.ledger.dropped_repeats.append(effect)
                return
            self.marks[method, mark] = effect.at
        self.ledger.effects.append(effect)
