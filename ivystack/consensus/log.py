"""The replicated log of one replica, after the point up to which it has been compacted."""

from __future__ import annotations

from dataclasses import dataclass

from .errors import CommittedEntryError
from .messages import Configuration, Entry, EntryKind, Snapshot, decode_configuration


@dataclass(frozen=True, slots=True)
class IndexedConfiguration:
    """A configuration and the index of the entry that holds it."""

    index: int
    configuration: Configuration


class RaftLog:
    """Entries after ``base_index``, and the configurations among them.

    A configuration is in use as soon as its entry is in the log, committed or not.
    """

    def __init__(self, snapshot: Snapshot, entries: list[Entry]) -> None:
        """Begin with a snapshot and the entries that follow it."""
        self.base_index, self.base_term = snapshot.index, snapshot.term
        self.entries = list(entries)
        self.configurations = [IndexedConfiguration(snapshot.index, snapshot.configuration)]
        self._index_configurations(self.entries, self.base_index + 1)

    @property
    def last_index(self) -> int:
        """Index of the last entry."""
        return self.base_index + len(self.entries)

    @property
    def configuration(self) -> Configuration:
        """The configuration in use."""
        return self.configurations[-1].configuration

    @property
    def configuration_index(self) -> int:
        """Index of the entry that holds the configuration in use."""
        return self.configurations[-1].index

    def configuration_at(self, index: int) -> Configuration:
        """Return the configuration that was in use once the entry at ``index`` was appended."""
        return next(found.configuration for found in reversed(self.configurations) if found.index <= index)

    def term_at(self, index: int) -> int | None:
        """Return an entry's term; None where it is compacted away or does not exist yet."""
        if index == self.base_index:
            return self.base_term
        if self.base_index < index <= self.last_index:
            return self.entries[index - self.base_index - 1].term
        return None

    def known_term_at(self, index: int) -> int:
        """Return an entry's term.

        :raises IndexError: it is compacted away or does not exist yet.
        """
        term = self.term_at(index)
        if term is None:
            raise IndexError(f"entry {index} is not in the log")
        return term

    def entry_at(self, index: int) -> Entry:
        """Return the entry at an index after the base."""
        return self.entries[index - self.base_index - 1]

    def entries_from(self, index: int) -> list[Entry]:
        """Return all entries from an index after the base on."""
        return self.entries[index - self.base_index - 1 :]

    def append(self, entries: tuple[Entry, ...]) -> None:
        """Append entries at the end."""
        first = self.last_index + 1
        self.entries += entries
        self._index_configurations(entries, first)

    def truncate(self, index: int, commit_index: int) -> None:
        """Remove the entries from ``index`` on, and with them their configurations.

        :raises CommittedEntryError: one of them is committed, which no correct group brings about.
        """
        if index <= commit_index:
            raise CommittedEntryError(f"entry {index} is committed and can't be replaced")
        del self.entries[index - self.base_index - 1 :]
        while self.configurations[-1].index >= index:
            self.configurations.pop()

    def compact(self, base_index: int) -> None:
        """Remove the entries up to ``base_index``, which is not before the present base."""
        self.base_term = self.known_term_at(base_index)
        self.entries = self.entries[base_index - self.base_index :]
        self.base_index = base_index
        later = [found for found in self.configurations if found.index > base_index]
        earlier = [found for found in self.configurations if found.index <= base_index][-1:]
        self.configurations = earlier + later

    def install(self, snapshot: Snapshot) -> None:
        """Begin at a snapshot; entries that follow it are kept if the log agrees with it."""
        if self.term_at(snapshot.index) != snapshot.term:
            self.entries = []
            self.configurations = []
        else:
            self.entries = self.entries[snapshot.index - self.base_index :]
            self.configurations = [found for found in self.configurations if found.index > snapshot.index]
        self.configurations.insert(0, IndexedConfiguration(snapshot.index, snapshot.configuration))
        self.base_index, self.base_term = snapshot.index, snapshot.term

    def _index_configurations(self, entries: list[Entry] | tuple[Entry, ...], first_index: int) -> None:
        for index, entry in enumerate(entries, first_index):
            if entry.kind == EntryKind.CONFIGURATION:
                self.configurations.append(IndexedConfiguration(index, decode_configuration(entry.data)))
