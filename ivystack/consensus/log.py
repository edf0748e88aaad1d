"""The replicated log of one replica, from the end of the compacted part on."""

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
    """Log entries after ``base_index``, and the configurations that they contain.

    A configuration is in use as soon as its entry is in the log, whether committed or not.
    """

    def __init__(self, snapshot: Snapshot, entries: list[Entry]) -> None:
        """Create a log from a snapshot and the entries that follow it."""
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
        """Return the configuration that was in use after the entry at ``index`` was appended."""
        return next(
            indexed.configuration for indexed in reversed(self.configurations) if indexed.index <= index
        )

    def term_at(self, index: int) -> int | None:
        """Return the term of the entry at ``index``; None if the entry is compacted or does not exist."""
        if index == self.base_index:
            return self.base_term
        if self.base_index < index <= self.last_index:
            return self.entries[index - self.base_index - 1].term
        return None

    def known_term_at(self, index: int) -> int:
        """Return the term of the entry at ``index``.

        :raises IndexError: the entry is compacted or does not exist.
        """
        term = self.term_at(index)
        if term is None:
            raise IndexError(f"entry {index} is not in the log")
        return term

    def entry_at(self, index: int) -> Entry:
        """Return the entry at ``index``, which must be greater than ``base_index``."""
        return self.entries[index - self.base_index - 1]

    def entries_from(self, index: int) -> list[Entry]:
        """Return all entries from ``index`` on, which must be greater than ``base_index``."""
        return self.entries[index - self.base_index - 1 :]

    def append(self, entries: tuple[Entry, ...]) -> None:
        """Append entries."""
        first = self.last_index + 1
        self.entries += entries
        self._index_configurations(entries, first)

    def truncate(self, index: int, commit_index: int) -> None:
        """Remove the entries from ``index`` on, and the configurations that they contain.

        :raises CommittedEntryError: an entry to be removed is committed; a correct group never causes this.
        """
        if index <= commit_index:
            raise CommittedEntryError(f"entry {index} is committed and can't be replaced")
        del self.entries[index - self.base_index - 1 :]
        while self.configurations[-1].index >= index:
            self.configurations.pop()

    def compact(self, base_index: int) -> None:
        """Remove the entries up to ``base_index``, which must not be less than the current one."""
        self.base_term = self.known_term_at(base_index)
        self.entries = self.entries[base_index - self.base_index :]
        self.base_index = base_index
        later = [indexed for indexed in self.configurations if indexed.index > base_index]
        earlier = [indexed for indexed in self.configurations if indexed.index <= base_index][-1:]
        self.configurations = earlier + later

    def install(self, snapshot: Snapshot) -> None:
        """Replace the start of the log by a snapshot; keep later entries if the log matches the snapshot."""
        if self.term_at(snapshot.index) != snapshot.term:
            self.entries = []
            self.configurations = []
        else:
            self.entries = self.entries[snapshot.index - self.base_index :]
            self.configurations = [
                indexed for indexed in self.configurations if indexed.index > snapshot.index
            ]
        self.configurations.insert(0, IndexedConfiguration(snapshot.index, snapshot.configuration))
        self.base_index, self.base_term = snapshot.index, snapshot.term

    def _index_configurations(self, entries: list[Entry] | tuple[Entry, ...], first_index: int) -> None:
        for index, entry in enumerate(entries, first_index):
            if entry.kind == EntryKind.CONFIGURATION:
                self.configurations.append(IndexedConfiguration(index, decode_configuration(entry.data)))
