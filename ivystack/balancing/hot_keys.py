"""Hot keys: how many replicas a key gets, by its share of this process's recent requests."""

from __future__ import annotations

from collections import deque
from math import ceil

RECENT_REQUESTS = 64  # a key of a twentieth of the traffic shows up three times
MAX_LOAD_PER_REPLICA = 0.33  # of a server's mean load: what one key may add to each of its replicas


class HotKeys:
    """The keys of the recent requests, and the replicas that each is spread over."""

    def __init__(self) -> None:
        self.recent: deque[int | None] = deque(maxlen=RECENT_REQUESTS)

    def record(self, key: int | None) -> None:
        """Note a request; None where it has no key."""
        self.recent.append(key)

    def replica_count(self, key: int | None, k: int, slot_count: int) -> int:
        """Return the number of the key's replicas, at least k; its latest request does not count."""
        share = (self.recent.count(key) - 1) / max(1, len(self.recent))
        loads = share * slot_count / MAX_LOAD_PER_REPLICA
        return max(k, min(slot_count, ceil(loads)))
