"""Balancing parameters from the configuration that apply to more than one rule."""

from __future__ import annotations

from dataclasses import dataclass

NO_ORIGIN = -1  # machine kind that no server has
CLOCK_MARGIN_TICKS = 2  # clock ticks reserved for the answer's way back to the client


@dataclass(eq=False, slots=True)
class BalancerParameters:
    """Balancing parameters, which may change while requests are in flight."""

    origin_kind: int = NO_ORIGIN  # index of the origin's machine kind, which misses and writes are sent to
    max_attempts: int = 1  # per request
    hedging_enabled: bool = False  # whether an attempt may be sent while another is in flight
    retry_after: int = 0  # microseconds, sent with a rejection; 0: rejections have no delay
    clock_granularity: int = 0  # microseconds

    @property
    def clock_margin(self) -> int:
        """Microseconds by which deadlines and windows end early."""
        return CLOCK_MARGIN_TICKS * self.clock_granularity
