"""Counts what the mesh drops, and logs it at most once a period."""

from __future__ import annotations

from collections import Counter
from collections.abc import Callable

from loguru import logger

from ..net.deadlines import Deadline, DeadlineQueue

LOG_PERIOD = 10_000_000  # microseconds between two lines


class DropLog:
    """Counts by code.  The first drop is logged at once, later ones as sums, however many there are."""

    def __init__(self, deadlines: DeadlineQueue, now: Callable[[], int]) -> None:
        """Start with no drops.

        :param now: the clock, in microseconds.
        """
        self.deadlines, self.now = deadlines, now
        self.unlogged: Counter[str] = Counter()
        self.total: dict[str, int] = {}  # since the start
        self.next_line: Deadline | None = None

    def count(self, code: str, peer: str) -> None:
        """Count one drop; `peer` is the name or address that it came from or was meant for."""
        code = str(code)  # a plain string also where an enum's member was given: operators get it as JSON
        self.unlogged[code] += 1
        self.total[code] = self.total.get(code, 0) + 1
        if self.next_line is None:
            logger.warning("mesh: dropped code={} from={}", code, peer)
            self._begin_period()

    def _log_sums(self) -> None:
        self.next_line = None
        if self.unlogged:
            sums = " ".join(f"{code}={count}" for code, count in sorted(self.unlogged.items()))
            logger.warning("mesh: dropped since the last line: {}", sums)
            self._begin_period()

    def _begin_period(self) -> None:
        self.unlogged.clear()
        self.next_line = self.deadlines.call_at(self.now() + LOG_PERIOD, self._log_sums)
