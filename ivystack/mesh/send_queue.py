"""Messages that wait for a slow peer, bounded in bytes."""

from __future__ import annotations

from collections import deque

MAX_QUEUED_BYTES = 1 << 20  # what one slow peer may cost in memory


class SendQueue:
    """A queue of encoded messages; beyond its bound the oldest are dropped."""

    def __init__(self) -> None:
        self.messages: deque[bytes] = deque()
        self.size = 0  # bytes

    def __bool__(self) -> bool:
        return bool(self.messages)

    def append(self, message: bytes) -> int:
        """Add a message; return how many old ones were dropped for it."""
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
