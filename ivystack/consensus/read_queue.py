"""Linearizable reads by read index (thesis, section 6.4): they wait for a confirmation of leadership."""

from __future__ import annotations

from typing import NamedTuple


class PendingRead(NamedTuple):
    """A read that is answered once a majority has replied to the heartbeat round."""

    round: int
    read_id: int


class ReadQueue:
    """Reads of one leader, in order."""

    def __init__(self) -> None:
        self.pending: list[PendingRead] = []
        self.deferred: list[int] = []  # read ids, until an entry of the leader's term is committed
        self._confirmed: list[int] = []
        self._failed: list[int] = []

    def add(self, round_number: int, read_id: int) -> None:
        """Let a read wait for that round."""
        self.pending.append(PendingRead(round_number, read_id))

    def defer(self, read_id: int) -> None:
        """Let a read wait for an entry of the leader's term."""
        self.deferred.append(read_id)

    def start_deferred(self, round_number: int) -> None:
        """Let the deferred reads wait for that round."""
        self.pending += [PendingRead(round_number, read_id) for read_id in self.deferred]
        self.deferred = []

    def confirm_oldest(self) -> None:
        """The oldest pending read may be answered."""
        self._confirmed.append(self.pending.pop(0).read_id)

    def fail_all(self) -> None:
        """Leadership is lost: all reads must be asked again elsewhere."""
        self._failed += [read.read_id for read in self.pending] + self.deferred
        self.pending, self.deferred = [], []

    def take_confirmed(self) -> list[int]:
        """Return the read ids that may be answered, once."""
        read_ids, self._confirmed = self._confirmed, []
        return read_ids

    def take_failed(self) -> list[int]:
        """Return the read ids that have failed, once."""
        read_ids, self._failed = self._failed, []
        return read_ids
