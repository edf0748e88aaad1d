"""Shares each reactor turn among the connections, so that no connection's input holds up the others.

The reactor reports every connection that has input, and a read may bring thousands of commands.  A connection
handles one slice of its input when it is read.  If more was read, it is not read again for now, and handles
its further slices in later turns, in turn with the other connections that have some.
"""

from __future__ import annotations

from collections import OrderedDict
from collections.abc import Callable
from typing import Any, Protocol

from loguru import logger


class SlicedConnection(Protocol):
    """A connection that handles its input in slices."""

    def resume_reading(self) -> None:
        """Handle one slice of the input that was read, unless the connection is paused for another reason."""

    def abort(self, code: str) -> None:
        """Close the connection at once."""


class Slice:
    """The part of a reactor turn that one connection may use; the last value may exceed it."""

    __slots__ = ("_now", "_ends_at", "_values_left")

    def __init__(self, now: Callable[[], int], ends_at: int, values_left: int) -> None:
        self._now, self._ends_at, self._values_left = now, ends_at, values_left

    def is_used_up(self) -> bool:
        """Count a value that was handled, and return whether the next one has to wait."""
        self._values_left -= 1
        return self._values_left <= 0 or self._now() >= self._ends_at


class TurnScheduler:
    """Calls the connections that have further slices to handle, one after another, in every reactor turn.

    :param reactor: the Twisted reactor, of which `callLater` is used
    :param now: returns the time in microseconds
    :param before_slices: called first in each turn, to notice what happened since the last one
    """

    SLICE_US = 150
    MAX_VALUES = 32  # a slice ends after so many values, even if they took no time
    TURN_US = 300  # of each turn, for all further slices

    def __init__(
        self, reactor: Any, now: Callable[[], int], before_slices: Callable[[], object] = lambda: None
    ) -> None:
        self.reactor, self.now, self.before_slices = reactor, now, before_slices
        self._waiting: OrderedDict[SlicedConnection, None] = OrderedDict()  # longest waiting first
        self._is_scheduled = False

    def __contains__(self, connection: SlicedConnection) -> bool:
        return connection in self._waiting

    def begin_slice(self) -> Slice:
        """Return a new slice for a connection."""
        return Slice(self.now, self.now() + self.SLICE_US, self.MAX_VALUES)

    def add(self, connection: SlicedConnection) -> None:
        """Have a connection handle its next slice in a later turn."""
        self._waiting[connection] = None
        self._schedule()

    def forget(self, connection: SlicedConnection) -> None:
        """Forget a connection that has ended."""
        self._waiting.pop(connection, None)

    def _schedule(self) -> None:
        if not self._is_scheduled:
            self._is_scheduled = True
            self.reactor.callLater(0, self.run_turn)

    def run_turn(self) -> None:
        """Handle one slice after another until this turn's time is used up."""
        self._is_scheduled = False
        self.before_slices()
        ends_at = self.now() + self.TURN_US
        while self._waiting:
            connection, _ = self._waiting.popitem(last=False)
            try:
                connection.resume_reading()
            except Exception:  # as the reactor does: the error ends this connection alone
                logger.exception("reading from a connection raised an exception; closing the connection")
                connection.abort("internal-error")
            if self.now() >= ends_at:
                break
        if self._waiting:
            self._schedule()
