"""Measurement of the time that a client itself takes to send a long write."""

from __future__ import annotations


class TransferClock:
    """The time for which a long write waits for its client, with nothing left to be read.

    Whatever else delays a long write counts towards the client's timeout, for its last byte may have been
    written long before it is read.  Times are in microseconds.
    """

    __slots__ = ("_total", "_since")

    def __init__(self) -> None:
        self._total = 0
        self._since: int | None = None  # when the current wait began

    def start(self, now: int) -> None:
        """Begin to wait for the client; do nothing during a wait."""
        if self._since is None:
            self._since = now

    def stop(self, now: int) -> None:
        """End the wait, as more has arrived or the connection is not read any more."""
        self._total = self.waited(now)
        self._since = None

    def waited(self, now: int) -> int:
        """Return how long the write has waited for its client up to now."""
        return self._total + (now - self._since if self._since is not None else 0)
