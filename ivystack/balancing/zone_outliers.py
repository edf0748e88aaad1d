"""Zone outliers: zones that this process can't reach in time, by a slow or lossy link or failing servers.

The servers may be well and serve processes in their own zone, so no server's own state is touched.
"""

from __future__ import annotations

from ..model import FailureState
from .outlier_detection import start_probe_pause

EJECT_ZONE_AFTER = 8  # failures in a row over all of its servers: far more than chance or one server gives


class ZoneOutliers:
    """Ejects a zone as a server is ejected, by failures in a row; never the last one that is left."""

    def __init__(self) -> None:
        self.zones: dict[str, FailureState] = {}

    def record(self, zone: str, on_time: bool) -> None:
        """Count the outcome of an attempt in this zone."""
        state = self.zones.setdefault(zone, FailureState())
        if not on_time:
            state.consecutive_failures += 1
        elif state.consecutive_failures >= EJECT_ZONE_AFTER:
            state.consecutive_failures = EJECT_ZONE_AFTER - 1  # its next failure ejects it again
        else:
            self.zones[zone] = FailureState()

    def is_ejected(self, zone: str, now: int) -> bool:
        """Return whether the zone is to be sent nothing now; False while a probe is due."""
        state = self.zones.get(zone)
        if state is None or state.consecutive_failures < EJECT_ZONE_AFTER or now >= state.next_probe_at:
            return False
        return any(other.consecutive_failures < EJECT_ZONE_AFTER for other in self.zones.values())

    def note_probe_sent(self, zone: str, now: int) -> None:
        """Start the pause before the next probe, if an attempt that goes there now is a probe."""
        state = self.zones.get(zone)
        if state and state.consecutive_failures >= EJECT_ZONE_AFTER and now >= state.next_probe_at:
            start_probe_pause(state, now)

    def forget_unlisted(self, zones: set[str]) -> None:
        """Drop what is known of zones other than these."""
        self.zones = {zone: state for zone, state in self.zones.items() if zone in zones}
