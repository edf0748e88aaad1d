"""Requests that the leader has accepted and not answered yet."""

from __future__ import annotations

from dataclasses import dataclass
from typing import Any, NamedTuple


class Requester(NamedTuple):
    """The sender of a request: a proxy and the link to its process, None for the local process."""

    name: str
    link: Any


class PendingCommand(NamedTuple):
    """A command whose entry was appended in ``term``."""

    term: int
    requester: Requester
    number: int


class PendingQuery(NamedTuple):
    """A query that waits until the leadership of this replica is confirmed."""

    requester: Requester
    number: int
    fields: list  # part, name, arguments


@dataclass(frozen=True)
class ReleasedRequest:
    """A request that this replica will no longer answer."""

    requester: Requester
    number: int


class PendingRequests:
    """Pending commands by log index, pending queries by read id, and the number of both for each proxy."""

    def __init__(self) -> None:
        self.commands: dict[int, PendingCommand] = {}
        self.queries: dict[int, PendingQuery] = {}
        self.counts: dict[str, int] = {}

    def __bool__(self) -> bool:
        return bool(self.commands or self.queries)

    def count_of(self, name: str) -> int:
        """Return the number of pending requests of a proxy."""
        return self.counts.get(name, 0)

    def add_command(self, index: int, command: PendingCommand) -> None:
        """Store a command until the entry at ``index`` is applied."""
        self.commands[index] = command
        self._increment_count(command.requester)

    def add_query(self, read_id: int, query: PendingQuery) -> None:
        """Store a query until its read is confirmed or has failed."""
        self.queries[read_id] = query
        self._increment_count(query.requester)

    def pop_command(self, index: int) -> PendingCommand | None:
        """Remove and return the command of an entry; None if the entry belongs to no pending request."""
        command = self.commands.pop(index, None)
        if command is not None:
            self._decrement_count(command.requester)
        return command

    def pop_query(self, read_id: int) -> PendingQuery:
        """Remove and return the query of a read."""
        query = self.queries.pop(read_id)
        self._decrement_count(query.requester)
        return query

    def release(self, confirmed: set[int]) -> list[ReleasedRequest]:
        """Remove and return all requests except the ``confirmed`` queries, which are still answered."""
        released = [ReleasedRequest(command.requester, command.number) for command in self.commands.values()]
        self.commands, self.counts = {}, {}
        for read_id in [read_id for read_id in self.queries if read_id not in confirmed]:
            query = self.queries.pop(read_id)
            released.append(ReleasedRequest(query.requester, query.number))
        return released

    def _increment_count(self, requester: Requester) -> None:
        self.counts[requester.name] = self.counts.get(requester.name, 0) + 1

    def _decrement_count(self, requester: Requester) -> None:
        remaining = self.counts.pop(requester.name, 1) - 1
        if remaining > 0:
            self.counts[requester.name] = remaining
