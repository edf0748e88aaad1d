"""Errors of the consensus group, and the codes by which operators know them.

The values of the codes appear in log lines, in the operators' status and in directory names: they stay as
they are.
"""

from __future__ import annotations

from enum import StrEnum


class FaultCode(StrEnum):
    """Why this process is no working replica."""

    LOCKED = "taken"  # another process holds the directory's lock
    UNWRITABLE = "unwritable"  # the directory can't be made or written
    INCOMPLETE = "lost"  # files are missing, or the directory was not created to its end
    STALE = "older"  # a copy of a directory, or fewer commits or entries than were acknowledged
    CORRUPT = "spoilt"  # a digest is wrong
    NEWER_FORMAT = "newer"  # written by a newer version of the program
    WRITE_FAILED = "disk"  # final until a restart
    INTERNAL = "fault"  # an unexpected exception in one of our own steps


class ConsensusError(Exception):
    """Base of this package's errors."""


class StorageError(ConsensusError):
    """The storage directory can't be used as it is; ``code`` says why."""

    def __init__(self, code: FaultCode, text: str) -> None:
        super().__init__(f"{code}: {text}")
        self.code = code


class CommittedEntryError(ConsensusError):
    """An attempt to replace a committed entry: the group's promise would be broken."""


class UnknownEntryError(ConsensusError):
    """An entry or a snapshot that this program does not know: another version wrote it."""


class PropertyViolationError(ConsensusError):
    """A property of the protocol does not hold in a simulated schedule."""
