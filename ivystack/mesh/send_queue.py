"""The queue of messages for a slow peer, bounded in bytes."""

from __future__ import annotations

from collections import deque

MAX_QUEUED_BYTES = 1 << 20  # memory limit for each slow peer


class SendQueue:
    """A queue of encoded messages; above its limit the oldest messages are dropped."""

    def __init__(self) -> None:
        self.messages: deque[bytes] = deque()
        self.size = 0  # bytes

    def __bool__(self) -> bool:
        return bool(self.messages)

    def append(self, message: bytes) -> int:
        """Add a message; return the number of messages that were dropped to make space."""
        self.messages.append(message)
        self.size += len(message)
        dropped = 0
        while self.size > MAX_QUEUED_BYTES:
            self.popleft()
            dropped += 1
        return dropped

    def popleft(self) -> bytes:
        """Remove and return the oldest message."""
        message = self.messages.popleft()
        self.size -= len(message)
        return message
