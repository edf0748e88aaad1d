"""Tracks unsaved changes, the write batch in flight, and the messages that depend on them."""

from __future__ import annotations

from typing import NamedTuple

from .log import RaftLog
from .messages import Message, Snapshot
from .records import WriteBatch


class InFlightBatch(NamedTuple):
    """A batch that the caller is writing and has not reported as written yet."""

    number: int
    last_index: int


class HeldMessage(NamedTuple):
    """A message that may be sent once batch ``batch_number`` is durable."""

    batch_number: int
    receiver: str
    message: Message


class WriteTracker:
    """Collects changes into one batch at a time; releases messages once the reported state is durable."""

    def __init__(self) -> None:
        self.batch_number = 0  # number of the latest batch that the caller has taken
        self.in_flight: InFlightBatch | None = None
        self.dirty = False
        self.first_unsaved_index: int | None = None
        self.snapshot: Snapshot | None = None  # to be saved with the next batch
        self.held: list[HeldMessage] = []
        self.sendable: list[tuple[str, Message]] = []

    def mark_dirty(self, first_index: int | None = None) -> None:
        """Record an unsaved change; ``first_index`` is the index of the first changed log entry."""
        self.dirty = True
        if first_index is not None:
            previous_index = self.first_unsaved_index
            self.first_unsaved_index = (
                first_index if previous_index is None else min(first_index, previous_index)
            )

    def is_durable(self) -> bool:
        """Return whether all changes are durable."""
        return not self.dirty and self.in_flight is None

    def send(self, receiver: str, message: Message) -> None:
        """Send a message that does not depend on the durability of any change."""
        self.sendable.append((receiver, message))

    def send_when_durable(self, receiver: str, message: Message) -> None:
        """Send a message once all changes made so far are durable."""
        if self.is_durable():
            self.send(receiver, message)
            return
        needed_batch = self.batch_number + 1 if self.dirty else self.batch_number
        self.held.append(HeldMessage(needed_batch, receiver, message))

    def take_messages(self) -> list[tuple[str, Message]]:
        """Remove and return the messages that may be sent now, each with its receiver."""
        messages, self.sendable = self.sendable, []
        return messages

    def discard_messages(self) -> None:
        """Drop all messages, whether held or sendable."""
        self.held, self.sendable = [], []

    def take_batch(self, log: RaftLog, term: int, voted_for: str) -> WriteBatch | None:
        """Return the changes to be written now; None while a batch is in flight or if nothing has changed."""
        if not self.dirty or self.in_flight is not None:
            return None
        self.batch_number += 1
        first = max(self.first_unsaved_index or log.last_index + 1, log.base_index + 1)
        batch = WriteBatch(
            number=self.batch_number,
            term=term,
            voted_for=voted_for,
            first_index=first,
            entries=log.entries_from(first),
            snapshot=self.snapshot,
            retained_from=log.base_index + 1,
        )
        self.in_flight = InFlightBatch(self.batch_number, log.last_index)
        self.dirty, self.first_unsaved_index, self.snapshot = False, None, None
        return batch

    def complete(self, number: int, last_index: int) -> int | None:
        """Record that a batch is durable and release the messages that waited for it.

        :param number: number of the batch.
        :param last_index: index of the last log entry.
        :returns: the index up to which the log is durable now; None if the batch is not in flight.
        """
        if self.in_flight is None or self.in_flight.number != number:
            return None
        saved_index, self.in_flight = self.in_flight.last_index, None
        last_unchanged_index = (
            last_index if self.first_unsaved_index is None else self.first_unsaved_index - 1
        )
        released = [(held.receiver, held.message) for held in self.held if held.batch_number <= number]
        self.held = [held for held in self.held if held.batch_number > number]
        self.sendable += released
        return min(saved_index, last_unchanged_index)
