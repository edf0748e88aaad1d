"""The ids of requests that were abandoned when they may have been executed."""

from __future__ import annotations

from collections import OrderedDict
from collections.abc import Callable

RETENTION_US = 60_000_000  # longer than any client waits, and than a connection's attempts live on
MAX_IDS = 4_096  # some 400 KB


class AbandonedIds:
    """Remembers ids whose client has left, so that a request under the same id is not executed again.

    A client gives each request and each retry an id of its own.  Times are in microseconds.
    """

    def __init__(self) -> None:
        self._expires_at: OrderedDict[int, int] = OrderedDict()  # by the id's hash, oldest first

    def record(self, request_id: bytes, now: int) -> None:
        """Remember an id from now on."""
        digest = hash(request_id)
        self._expires_at[digest] = now + RETENTION_US
        self._expires_at.move_to_end(digest)
        if len(self._expires_at) > MAX_IDS:
            self._expires_at.popitem(last=False)

    def contains(self, request_id: bytes, now: Callable[[], int]) -> bool:
        """Return whether the id is remembered; `now` returns the time."""
        expires_at = self._expires_at.get(hash(request_id))
        return expires_at is not None and expires_at > now()
