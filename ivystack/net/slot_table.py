"""A table that numbers its values with the smallest free numbers, so that log lines stay short.

Here a slot is the number of a value, such as a connection; it is not a server's slot in the slot order.
"""

from __future__ import annotations

import heapq
from typing import Generic, TypeVar

T = TypeVar("T")


class SlotTable(dict[int, T], Generic[T]):
    """Values by slot number, from 0 up; a new value gets the lowest free number.

    Values must be added and removed by `add` and `remove`, which keep track of the free numbers.
    """

    def __init__(self) -> None:
        super().__init__()
        self._freed_numbers: list[int] = []  # a heap of the numbers that were freed

    def add(self, value: T) -> int:
        """Add a value and return its slot number."""
        number = heapq.heappop(self._freed_numbers) if self._freed_numbers else len(self)
        self[number] = value
        return number

    def remove(self, number: int) -> None:
        """Free a slot; raise KeyError if it is not in use."""
        del self[number]
        heapq.heappush(self._freed_numbers, number)
