"""Until when attempts may go by the endpoint list, if nothing more is heard of discovery.

This process counts as notified of what the discovery agent has, whether or not it has heard it, and a server
that drains may be sent new attempts only for a grace after the notification.  So each event says since when
there may be a change that was not heard, and attempts by the list end before the grace after that is over.

All times are microseconds.
"""

from __future__ import annotations

from math import inf

NOTIFIED_AFTER_SILENCE_US = 6_000_000  # from when a watch fell silent, of what it misses
NOTIFIED_AFTER_MOVE_US = 4_000_000  # from SIGHUP, of what the new address has
# Part of the grace that is left to a process that is held up between its decision and the write.
STALL_ALLOWANCE_US = 160_000
MAX_LAG_US = 150_000  # by which a scheduled call may be late


class ListFreshness:
    """Tells whether the endpoint list is as new as it has to be.

    :param drain_grace: for which a draining server may be sent new attempts; 0 if the settings do not say
    :param is_pushed: whether lists are pushed by an agent, so that what it has counts at once, watch or not;
        where lists are polled it counts as late as after a silence
    """

    def __init__(self, drain_grace: int, is_pushed: bool) -> None:
        self.fresh_until: float = inf
        self.configure(drain_grace, is_pushed)

    def configure(self, drain_grace: int, is_pushed: bool) -> None:
        """Change the settings; what has happened keeps its effect."""
        self._usable_grace = max(0, drain_grace - STALL_ALLOWANCE_US)
        self._notified_after_loss = 0 if is_pushed else NOTIFIED_AFTER_SILENCE_US

    def is_fresh(self, now: int) -> bool:
        """Return whether attempts may be sent by the list now."""
        return now <= self.fresh_until

    # Events of the watch.

    def started(self, at: int) -> None:
        """This process began to serve at `at`, and has not heard discovery."""
        self.fresh_until = at

    def line_arrived(self, at: int) -> None:
        """Discovery wrote a line no earlier than `at`, on a watch that may have fallen silent since."""
        self.fresh_until = at + NOTIFIED_AFTER_SILENCE_US + self._usable_grace

    def watch_lost(self, at: int) -> None:
        """The watch was last known to be open at `at`; changes since then were not heard."""
        self.fresh_until = min(self.fresh_until, at + self._notified_after_loss + self._usable_grace)

    def address_changed(self, at: int) -> None:
        """Another address of discovery was configured at `at`."""
        self.fresh_until = min(self.fresh_until, at + NOTIFIED_AFTER_MOVE_US + self._usable_grace)

    def call_refused(self, next_call_at: int) -> None:
        """Discovery refused a call, so that the list has to do until the next one, though it is no newer."""
        self.fresh_until = max(self.fresh_until, next_call_at + MAX_LAG_US)

    def call_unanswered(self, next_answer_by: int) -> None:
        """Discovery said nothing for as long as an answer may take; the next call's is due by then."""
        self.fresh_until = next_answer_by + MAX_LAG_US
