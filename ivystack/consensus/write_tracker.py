"""What waits for the disk: unsaved changes, the batch being written, and messages that depend on them."""

from __future__ import annotations

from typing import NamedTuple

from .log import RaftLog
from .messages import Message, Snapshot
from .records import WriteBatch


class InFlightBatch(NamedTuple):
    """A batch that was handed to the caller and is not reported as written yet."""

    number: int
    last_index: int


class HeldMessage(NamedTuple):
    """A message that may leave once the batch of that number is durable."""

    batch_number: int
    receiver: str
    message: Message


class WriteTracker:
    """Gathers changes into one batch at a time and releases messages when what they promise is durable."""

    def __init__(self) -> None:
        self.batch_number = 0  # of the latest batch handed out
        self.in_flight: InFlightBatch | None = None
        self.dirty = False
        self.first_unsaved_index: int | None = None
        self.snapshot: Snapshot | None = None  # to be saved with the next batch
        self.held: list[HeldMessage] = []
        self.sendable: list[tuple[str, Message]] = []

    def mark_dirty(self, first_index: int | None = None) -> None:
        """Note a change that must be saved; ``first_index``: entries from there on have changed."""
        self.dirty = True
        if first_index is not None:
            known = self.first_unsaved_index
            self.first_unsaved_index = first_index if known is None else min(first_index, known)

    def is_durable(self) -> bool:
        """Whether everything is on disk."""
        return not self.dirty and self.in_flight is None

    def send(self, receiver: str, message: Message) -> None:
        """Send a message that promises nothing about our disk."""
        self.sendable.append((receiver, message))

    def send_when_durable(self, receiver: str, message: Message) -> None:
        """Send a message once all that has changed so far is on disk."""
        if self.is_durable():
            self.send(receiver, message)
            return
        needed_batch = self.batch_number + 1 if self.dirty else self.batch_number
        self.held.append(HeldMessage(needed_batch, receiver, message))

    def take_messages(self) -> list[tuple[str, Message]]:
        """Return the messages that may leave now, by receiver."""
        messages, self.sendable = self.sendable, []
        return messages

    def discard_messages(self) -> None:
        """Drop all messages, held or not."""
        self.held, self.sendable = [], []

    def take_batch(self, log: RaftLog, term: int, voted_for: str) -> WriteBatch | None:
        """Return what is to be written now; None while a batch is in flight or nothing has changed."""
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
        """Note that a batch is durable and release the messages that waited for it.

        :param last_index: the log's last entry.
        :returns: the index up to which it made the log durable; None for a batch that is not in flight.
        """
        if self.in_flight is None or self.in_flight.number != number:
            return None
        saved_index, self.in_flight = self.in_flight.last_index, None
        unchanged = last_index if self.first_unsaved_index is None else self.first_unsaved_index - 1
        released = [(held.receiver, held.message) for held in self.held if held.batch_number <= number]
        self.held = [held for held in self.held if held.batch_number > number]
        self.sendable += released
        return min(saved_index, unchanged)
