"""Outlier detection: servers that fail several requests in a row are ejected, and probed with real requests.

Only this process's own outcomes count.  The same rule is kept for each server and for each request class at a
server, since some servers fail one class and serve the others.
"""

from __future__ import annotations

from ..model import Attempt, FailureState, RequestClass, Server

EJECT_AFTER = 2  # failures in a row: one can be chance, and each further one costs a request its time
PROBE_BACKOFF_US = 500_000  # before the first probe; doubled at each probe
MAX_BACKOFF_DOUBLINGS = 3
# Own requests that would have gone there before the first probe, doubled alike: a server that hundreds of
# processes have ejected is not probed by all of them at once.
SKIPPED_BEFORE_PROBE = 2


class OutlierDetector:
    """Tells servers that can be sent requests from ejected ones, which get a probe now and then."""

    def is_healthy(self, state: FailureState) -> bool:
        """Return whether too few requests in a row have failed for an ejection."""
        return state.consecutive_failures < EJECT_AFTER

    def ejection(self, server: Server, request_class: RequestClass) -> FailureState | None:
        """Return the failures for which the server gets no requests of this class: its own or the class's."""
        if server.health.consecutive_failures >= EJECT_AFTER:
            return server.health
        state = server.class_failures.get(request_class)
        if state is not None and state.consecutive_failures >= EJECT_AFTER:
            return state
        return None

    def probe_is_due(self, state: FailureState, now: int) -> bool:
        """Return whether an ejected server's pause is over, in time and in requests that it was not sent."""
        doublings = min(max(state.probes - 1, 0), MAX_BACKOFF_DOUBLINGS)
        return now >= state.next_probe_at and state.skipped_requests >= SKIPPED_BEFORE_PROBE << doublings

    def record_failure(self, state: FailureState, connection_failed: bool, now: int) -> None:
        """Count a failure; from the last one that ejects on, it also starts a pause where none runs."""
        state.consecutive_failures += 1
        state.connection_failed = state.connection_failed or connection_failed
        if state.consecutive_failures >= EJECT_AFTER and now >= state.next_probe_at:
            start_probe_pause(state, now)
            state.skipped_requests = 0

    def record_success(self, state: FailureState) -> None:
        """Forget the failures; an ejected server is ejected again by its next failure."""
        state.connection_failed = False
        if state.consecutive_failures >= EJECT_AFTER:
            state.consecutive_failures = EJECT_AFTER - 1
        else:
            state.consecutive_failures, state.probes, state.next_probe_at = 0, 0, 0

    def note_return(self, server: Server, now: int) -> None:
        """Take a server that answers after its connections failed in several probes for restarted just now.

        Its process was gone, so its cache is empty, though the endpoint list may not say so yet.
        """
        if server.health.connection_failed and server.health.probes > 2:
            server.started_at = now


def start_probe_pause(state: FailureState, now: int) -> None:
    """Let no probe be sent for a pause that doubles with each probe."""
    state.next_probe_at = now + (PROBE_BACKOFF_US << min(state.probes, MAX_BACKOFF_DOUBLINGS))
    state.probes += 1


def later_attempt_succeeded(attempt: Attempt) -> bool:
    """Return whether the server has answered an attempt sent later: it is not the server that is late."""
    return attempt.sent_at < attempt.server.latest_success_sent_at
