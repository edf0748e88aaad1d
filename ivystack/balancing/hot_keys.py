"""Hot keys: the number of a key's replicas, from its share of this process's recent requests."""

from __future__ import annotations

from collections import deque
from math import ceil

RECENT_REQUESTS = 64  # a key with a twentieth of the traffic occurs three times in them
MAX_LOAD_PER_REPLICA = 0.33  # fraction of the mean server load that one key may add to each replica


class HotKeys:
    """Counts the keys of recent requests, and sets how many replicas each key is spread over."""

    def __init__(self) -> None:
        self.recent: deque[int | None] = deque(maxlen=RECENT_REQUESTS)

    def record(self, key: int | None) -> None:
        """Record the key of a request, or None if it has no key."""
        self.recent.append(key)

    def replica_count(self, key: int | None, k: int, slot_count: int) -> int:
        """Return the number of the key's replicas, at least k; the latest request does not count."""
        share = (self.recent.count(key) - 1) / max(1, len(self.recent))
        replicas_needed = share * slot_count / MAX_LOAD_PER_REPLICA
        return max(k, min(slot_count, ceil(replicas_needed)))
