"""Linearizable reads, which wait for a confirmation of leadership (read index, section 6.4 of the thesis)."""

from __future__ import annotations

from typing import NamedTuple


class PendingRead(NamedTuple):
    """A read that may be answered after a majority has replied to a heartbeat round."""

    round: int
    read_id: int


class ReadQueue:
    """The reads of a leader, in the order of their arrival."""

    def __init__(self) -> None:
        self.pending: list[PendingRead] = []
        self.deferred: list[int] = []  # read ids that wait until an entry of the leader's term is committed
        self._confirmed: list[int] = []
        self._failed: list[int] = []

    def add(self, round_number: int, read_id: int) -> None:
        """Add a read that waits for a heartbeat round."""
        self.pending.append(PendingRead(round_number, read_id))

    def defer(self, read_id: int) -> None:
        """Add a read that waits until an entry of the leader's term is committed."""
        self.deferred.append(read_id)

    def start_deferred(self, round_number: int) -> None:
        """Let all deferred reads wait for a heartbeat round."""
        self.pending += [PendingRead(round_number, read_id) for read_id in self.deferred]
        self.deferred = []

    def confirm_oldest(self) -> None:
        """Mark the oldest pending read as confirmed."""
        self._confirmed.append(self.pending.pop(0).read_id)

    def fail_all(self) -> None:
        """Mark all reads as failed after a loss of leadership; clients must retry them at the new leader."""
        self._failed += [read.read_id for read in self.pending] + self.deferred
        self.pending, self.deferred = [], []

    def take_confirmed(self) -> list[int]:
        """Remove and return the ids of confirmed reads."""
        read_ids, self._confirmed = self._confirmed, []
        return read_ids

    def take_failed(self) -> list[int]:
        """Remove and return the ids of failed reads."""
        read_ids, self._failed = self._failed, []
        return read_ids
