"""The one budget of bytes that all connections of a process hold together, and what each connection holds."""

from __future__ import annotations

from collections import OrderedDict
from collections.abc import Callable
from enum import Enum

from .resp import MAX_BUFFERED_VALUE

CONNECTION_BYTES = 6_144  # a connection's objects, with up to `ALLOWANCE` bytes each of input and output
ALLOWANCE = 1_024
# A request's objects, and its answer or the pieces of its long value.  Reserved before the request is
# forwarded, because it is too late for that once the answer arrives.
REQUEST_BYTES = MAX_BUFFERED_VALUE + 6_144
VALUE_COPIES = 2  # of a request's value: for a retry, and what a server's connection has not sent
# What a process takes beyond its start once it serves requests: code that is used for the first time, caches
# of the balancer, and garbage between collections.
SERVICE_BYTES = 8 << 20
# Of the rest, 1/SPARE_DIVISOR is the budget; the other part is for the allocator's overhead.
SPARE_DIVISOR = 2
MIN_CAPACITY = 1 << 20  # bytes, where the limit leaves less; enough for some requests at a time
CONNECTION_DIVISOR = 4  # 1/CONNECTION_DIVISOR of the budget may be taken by each side's idle connections


class MemoryUse(Enum):
    """What memory is reserved for; the value is the part of the budget that may be reserved by then.

    The more depends on a use, the more of the budget is left to it.
    """

    READ_AHEAD = 0.5  # input that is not yet a request, and requests behind others of their connection
    REQUEST = 0.75  # a request that waits for no other
    COMMITTED = 1.0  # answers to requests that were forwarded

    __hash__ = object.__hash__


class MemoryBudget:
    """Counts reserved bytes against a capacity.

    :param capacity: bytes; reservations that exist may exceed it after it was lowered
    """

    def __init__(self, capacity: int) -> None:
        self.reserved = 0  # bytes
        self.set_capacity(capacity)
        # Reservations that are waiting for bytes to be released, longest waiting first.
        self._waiting: OrderedDict[Callable[[], object], int] = OrderedDict()

    def set_capacity(self, capacity: int) -> None:
        """Change the capacity, in bytes."""
        self.capacity = capacity
        self._bounds = {use: int(capacity * use.value) for use in MemoryUse}

    def available(self, use: MemoryUse) -> int:
        """Return how many more bytes may be reserved for a use; negative if too many are."""
        return self._bounds[use] - self.reserved

    def reserve(self, size: int, use: MemoryUse) -> bool:
        """Reserve `size` bytes if they are available for this use, and return whether they were reserved."""
        if self.reserved + size > self._bounds[use]:
            return False
        self.reserved += size
        return True

    def reserve_when_available(self, size: int, on_reserved: Callable[[], object]) -> None:
        """Call `on_reserved` once `size` bytes are reserved, which may be within this call."""
        if not self._waiting and self.reserve(size, MemoryUse.COMMITTED):
            on_reserved()
        else:
            self._waiting[on_reserved] = size

    def cancel_waiting(self, on_reserved: Callable[[], object]) -> None:
        """Give up a reservation that is waiting; do nothing if it is not."""
        self._waiting.pop(on_reserved, None)

    def add(self, size: int) -> None:
        """Reserve `size` bytes that are in use already, or release them if negative."""
        self.reserved += size
        while size < 0 and self._waiting:
            on_reserved, wanted = next(iter(self._waiting.items()))
            if not self.reserve(wanted, MemoryUse.COMMITTED):
                return
            del self._waiting[on_reserved]
            on_reserved()


class ConnectionMemory:
    """The bytes of the budget that one connection holds, from its creation to `close`."""

    __slots__ = ("budget", "input", "output", "requests")

    def __init__(self, budget: MemoryBudget) -> None:
        self.budget = budget
        self.input = 0  # bytes received that are not handled, beyond `ALLOWANCE`
        self.output = 0  # bytes written that are not sent, beyond `ALLOWANCE`
        self.requests = 0  # reserved for requests without an answer, and for answers that are not written
        budget.add(CONNECTION_BYTES)

    def set_input(self, size: int) -> None:
        """Record that `size` bytes have been received that are not handled."""
        size = max(0, size - ALLOWANCE)
        if size != self.input:
            change, self.input = size - self.input, size
            self.budget.add(change)

    def set_output(self, size: int) -> None:
        """Record that `size` bytes have been written that are not sent."""
        size = max(0, size - ALLOWANCE)
        if size != self.output:
            change, self.output = size - self.output, size
            self.budget.add(change)

    def reserve_request(self, size: int, use: MemoryUse) -> bool:
        """Reserve `size` bytes for a request, and return whether they were available."""
        is_reserved = self.budget.reserve(size, use)
        if is_reserved:
            self.requests += size
        return is_reserved

    def release_request(self, size: int) -> None:
        """Release `size` bytes of those reserved for requests."""
        if size:
            self.requests -= size
            self.budget.add(-size)

    def close(self) -> None:
        """Release everything, because the connection has ended."""
        held = CONNECTION_BYTES + self.input + self.output + self.requests
        self.input = self.output = self.requests = 0
        self.budget.add(-held)


def budget_capacity(memory_limit: int, resident: int) -> int:
    """Return the capacity of the budget in bytes.

    :param memory_limit: bytes that the process may use
    :param resident: bytes that it uses without connections

    >>> budget_capacity(192 << 20, 40 << 20) >> 20, budget_capacity(32 << 20, 40 << 20) >> 20
    (72, 1)
    """
    return max(MIN_CAPACITY, (memory_limit - resident - SERVICE_BYTES) // SPARE_DIVISOR)


def max_connections(capacity: int) -> int:
    """Return how many connections of one side the budget has room for."""
    return capacity // CONNECTION_DIVISOR // CONNECTION_BYTES
