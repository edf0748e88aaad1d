"""What the configuration says to the decisions as a whole; the single rules have their own parameters."""

from __future__ import annotations

from dataclasses import dataclass

NO_ORIGIN = -1  # as a machine kind
CLOCK_MARGIN_TICKS = 2  # an answer needs so long to get back to the client in time


@dataclass(eq=False, slots=True)
class BalancerParameters:
    """Parameters that may change while requests are under way."""

    origin_kind: int = (
        NO_ORIGIN  # index of the machine kind that misses and writes go to, where a kind has the origin
    )
    max_attempts: int = 1  # of a request
    hedging_enabled: bool = False  # an attempt may be sent while another is in flight
    retry_after: int = 0  # microseconds, sent with a rejection; 0: none is sent
    clock_granularity: int = 0  # microseconds

    @property
    def clock_margin(self) -> int:
        """Microseconds by which deadlines and windows end early."""
        return CLOCK_MARGIN_TICKS * self.clock_granularity
