"""Requests that the leader has taken and not answered yet."""

from __future__ import annotations

from dataclasses import dataclass
from typing import Any, NamedTuple


class Requester(NamedTuple):
    """Who asks: a proxy, and the link to its process; no link for our own process."""

    name: str
    link: Any


class PendingCommand(NamedTuple):
    """A command whose entry was appended in ``term``."""

    term: int
    requester: Requester
    number: int


class PendingQuery(NamedTuple):
    """A query that waits for the confirmation of leadership."""

    requester: Requester
    number: int
    fields: list  # part, name, arguments


@dataclass(frozen=True)
class ReleasedRequest:
    """A request that is given up here."""

    requester: Requester
    number: int


class PendingRequests:
    """Commands by log index, queries by read id, and how many each proxy has."""

    def __init__(self) -> None:
        self.commands: dict[int, PendingCommand] = {}
        self.queries: dict[int, PendingQuery] = {}
        self.counts: dict[str, int] = {}

    def __bool__(self) -> bool:
        return bool(self.commands or self.queries)

    def count_of(self, name: str) -> int:
        """Return how many requests of a proxy are pending."""
        return self.counts.get(name, 0)

    def add_command(self, index: int, command: PendingCommand) -> None:
        """Keep a command until the entry at ``index`` is applied."""
        self.commands[index] = command
        self._count(command.requester)

    def add_query(self, read_id: int, query: PendingQuery) -> None:
        """Keep a query until its read is confirmed or has failed."""
        self.queries[read_id] = query
        self._count(query.requester)

    def pop_command(self, index: int) -> PendingCommand | None:
        """Remove and return the command of an entry, if a request of ours is behind it."""
        command = self.commands.pop(index, None)
        if command is not None:
            self._discount(command.requester)
        return command

    def pop_query(self, read_id: int) -> PendingQuery:
        """Remove and return a query."""
        query = self.queries.pop(read_id)
        self._discount(query.requester)
        return query

    def release(self, confirmed: set[int]) -> list[ReleasedRequest]:
        """Remove all requests, but for queries that are ``confirmed`` and will be answered yet."""
        released = [ReleasedRequest(command.requester, command.number) for command in self.commands.values()]
        self.commands, self.counts = {}, {}
        for read_id in [read_id for read_id in self.queries if read_id not in confirmed]:
            query = self.queries.pop(read_id)
            released.append(ReleasedRequest(query.requester, query.number))
        return released

    def _count(self, requester: Requester) -> None:
        self.counts[requester.name] = self.counts.get(requester.name, 0) + 1

    def _discount(self, requester: Requester) -> None:
        left = self.counts.pop(requester.name, 1) - 1
        if left > 0:
            self.counts[requester.name] = left
