"""Counters of dropped messages and rejected connections, logged at most once in each period."""

from __future__ import annotations

from collections import Counter
from collections.abc import Callable

from loguru import logger

from ..net.deadlines import Deadline, DeadlineQueue

LOG_PERIOD = 10_000_000  # microseconds between two log lines


class DropLog:
    """Counts drops by code.

    The first drop is logged at once; later drops are logged as one line of sums per period.
    """

    def __init__(self, deadlines: DeadlineQueue, now: Callable[[], int]) -> None:
        """Create counters without any drop.

        :param now: the clock, in microseconds.
        """
        self.deadlines, self.now = deadlines, now
        self.unlogged: Counter[str] = Counter()
        self.total: dict[str, int] = {}  # counts since the start, by code
        self.period_timer: Deadline | None = None

    def count(self, code: str, peer: str) -> None:
        """Count one drop.

        :param code: the reason, usually a `DropCode`.
        :param peer: name or address of the peer that sent or should have received the dropped message.
        """
        code = str(code)  # converts a DropCode to a plain string, which can be encoded as JSON
        self.unlogged[code] += 1
        self.total[code] = self.total.get(code, 0) + 1
        if self.period_timer is None:
            logger.warning("mesh: dropped a message or rejected a connection code={} from={}", code, peer)
            self._begin_period()

    def _log_sums(self) -> None:
        self.period_timer = None
        if self.unlogged:
            sums = " ".join(f"{code}={count}" for code, count in sorted(self.unlogged.items()))
            logger.warning(
                "mesh: dropped messages and rejected connections since the last such line: {}", sums
            )
            self._begin_period()

    def _begin_period(self) -> None:
        self.unlogged.clear()
        self.period_timer = self.deadlines.call_at(self.now() + LOG_PERIOD, self._log_sums)
