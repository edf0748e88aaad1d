"""A table whose keys are the smallest numbers that are free, so that they stay short in log lines.

A slot is here the number of a value, such as a connection, not a server's place in the placement of keys.
"""

from __future__ import annotations

import heapq
from typing import Generic, TypeVar

T = TypeVar("T")


class SlotTable(dict[int, T], Generic[T]):
    """Values by slot number, from 0 up; a new value gets the lowest number that is free.

    Add and remove values by `add` and `remove` alone: the free numbers are kept beside the table.
    """

    def __init__(self) -> None:
        super().__init__()
        self._free: list[int] = []  # a heap

    def add(self, value: T) -> int:
        """Keep the value and return its slot number."""
        number = heapq.heappop(self._free) if self._free else len(self)
        self[number] = value
        return number

    def remove(self, number: int) -> None:
        """Free a slot; raises KeyError for one that is not taken."""
        del self[number]
        heapq.heappush(self._free, number)
