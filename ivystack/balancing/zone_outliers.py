"""Zone outliers: zones from which this process gets no answers in time.

The link to the zone may be slow or lossy, or its servers may fail.  The servers may also be healthy and serve
processes in their own zone, so the health state of single servers is not changed.
"""

from __future__ import annotations

from ..model import FailureState
from .outlier_detection import start_probe_pause

EJECT_ZONE_AFTER = 8  # consecutive failures in a zone; far more than chance or one server causes


class ZoneOutliers:
    """Ejects a zone after consecutive failures, as servers are ejected, but never all zones."""

    def __init__(self) -> None:
        self.zones: dict[str, FailureState] = {}

    def record(self, zone: str, on_time: bool) -> None:
        """Count the outcome of an attempt in the zone."""
        state = self.zones.setdefault(zone, FailureState())
        if not on_time:
            state.consecutive_failures += 1
        elif state.consecutive_failures >= EJECT_ZONE_AFTER:
            state.consecutive_failures = EJECT_ZONE_AFTER - 1  # the next failure ejects the zone again
        else:
            self.zones[zone] = FailureState()

    def is_ejected(self, zone: str, now: int) -> bool:
        """Return whether no attempt may be sent to the zone now; False while a probe is due."""
        state = self.zones.get(zone)
        if state is None or state.consecutive_failures < EJECT_ZONE_AFTER or now >= state.next_probe_at:
            return False
        return any(other_state.consecutive_failures < EJECT_ZONE_AFTER for other_state in self.zones.values())

    def record_probe_sent(self, zone: str, now: int) -> None:
        """Start the pause before the next probe, if an attempt sent to the zone now is a probe."""
        state = self.zones.get(zone)
        if state and state.consecutive_failures >= EJECT_ZONE_AFTER and now >= state.next_probe_at:
            start_probe_pause(state, now)

    def forget_unlisted(self, zones: set[str]) -> None:
        """Drop the state of all other zones."""
        self.zones = {zone: state for zone, state in self.zones.items() if zone in zones}
