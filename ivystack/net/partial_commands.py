"""The commands that arrive slowly, and which of them make way when memory runs short."""

from __future__ import annotations

from collections import OrderedDict
from typing import TYPE_CHECKING

from .memory_budget import MemoryBudget, MemoryUse

if TYPE_CHECKING:
    from .client_connection import ClientConnection


class PartialCommands:
    """The connections that hold part of a command in the memory budget.

    When too much memory is reserved for input to be left to requests, the command that has been arriving for
    longest is refused.  A client that sends its command at once is never among the first.
    """

    def __init__(self, budget: MemoryBudget) -> None:
        self.budget = budget
        self._connections: OrderedDict[ClientConnection, None] = OrderedDict()  # longest arriving first

    def update(self, client: ClientConnection) -> None:
        """Record what a connection holds after its input was handled, and refuse commands if necessary."""
        if client.memory.input and client.is_receiving_command():
            self._connections.setdefault(client)
        else:
            self._connections.pop(client, None)
        while self._connections and self.budget.available(MemoryUse.READ_AHEAD) < 0:
            self._connections.popitem(last=False)[0].refuse_partial_command()

    def forget(self, client: ClientConnection) -> None:
        """Forget a connection whose command is complete, or which has ended."""
        self._connections.pop(client, None)
