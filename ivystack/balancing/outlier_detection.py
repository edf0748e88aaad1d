"""Outlier detection: servers that fail several requests in a row are ejected, and probed with real requests.

Only outcomes of this process count.  The rule applies to each server, and also to each request class at a
server, since some servers fail one class and serve the others.
"""

from __future__ import annotations

from ..model import Attempt, FailureState, RequestClass, Server

EJECT_AFTER = 2  # consecutive failures; one can be chance, and each further one delays a request
PROBE_BACKOFF_US = 500_000  # pause before the first probe; doubled after each probe
MAX_BACKOFF_DOUBLINGS = 3
# Requests that are withheld from the server before the first probe; doubled after each probe.  This keeps the
# hundreds of processes that may have ejected a server from all probing it at once.
SKIPPED_BEFORE_PROBE = 2


class OutlierDetector:
    """Ejects failing servers, and determines when an ejected server is due for a probe."""

    def is_healthy(self, state: FailureState) -> bool:
        """Return whether the consecutive failures are too few for an ejection."""
        return state.consecutive_failures < EJECT_AFTER

    def ejection(self, server: Server, request_class: RequestClass) -> FailureState | None:
        """Return the failures that eject the server or the class at the server; None if none do."""
        if server.health.consecutive_failures >= EJECT_AFTER:
            return server.health
        state = server.class_failures.get(request_class)
        if state is not None and state.consecutive_failures >= EJECT_AFTER:
            return state
        return None

    def probe_is_due(self, state: FailureState, now: int) -> bool:
        """Return whether the pause is over, both in time and in requests skipped."""
        doublings = min(max(state.probes - 1, 0), MAX_BACKOFF_DOUBLINGS)
        return now >= state.next_probe_at and state.skipped_requests >= SKIPPED_BEFORE_PROBE << doublings

    def record_failure(self, state: FailureState, connection_failed: bool, now: int) -> None:
        """Count a failure; start a probe pause if the server is now ejected and no pause is running."""
        state.consecutive_failures += 1
        state.connection_failed = state.connection_failed or connection_failed
        if state.consecutive_failures >= EJECT_AFTER and now >= state.next_probe_at:
            start_probe_pause(state, now)
            state.skipped_requests = 0

    def record_success(self, state: FailureState) -> None:
        """Reset the failures; a server that was ejected is ejected again by its next failure."""
        state.connection_failed = False
        if state.consecutive_failures >= EJECT_AFTER:
            state.consecutive_failures = EJECT_AFTER - 1
        else:
            state.consecutive_failures, state.probes, state.next_probe_at = 0, 0, 0

    def record_return(self, server: Server, now: int) -> None:
        """Mark a server as just started if it answers after connections failed in several probes.

        Its process had ended, so its cache is empty, even if the endpoint list does not show the restart yet.
        """
        if server.health.connection_failed and server.health.probes > 2:
            server.started_at = now


def start_probe_pause(state: FailureState, now: int) -> None:
    """Start a pause without probes, which doubles with each probe."""
    state.next_probe_at = now + (PROBE_BACKOFF_US << min(state.probes, MAX_BACKOFF_DOUBLINGS))
    state.probes += 1


def later_attempt_succeeded(attempt: Attempt) -> bool:
    """Return whether the server has answered an attempt sent later, so that it is not late in general."""
    return attempt.sent_at < attempt.server.latest_success_sent_at
