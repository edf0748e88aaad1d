"""Errors of the consensus package, and the fault codes that operators see.

The values of the codes appear in log lines, in the status for operators and in directory names, and must not
change.
"""

from __future__ import annotations

from enum import StrEnum


class FaultCode(StrEnum):
    """The reason why this process has no working replica."""

    LOCKED = "taken"  # another process has locked the directory
    UNWRITABLE = "unwritable"  # the directory can't be created or written
    INCOMPLETE = "lost"  # files are missing, or the creation of the directory was interrupted
    STALE = "older"  # the directory is a copy, or lacks acknowledged commits or entries
    CORRUPT = "spoilt"  # a record does not match its digest
    NEWER_FORMAT = "newer"  # written by a newer version of the program
    WRITE_FAILED = "disk"  # a write failed; no write is retried until a restart
    INTERNAL = "fault"  # an unexpected exception in the replica's code


class ConsensusError(Exception):
    """Base class of the errors in this package."""


class StorageError(ConsensusError):
    """The storage directory can't be used; ``code`` is the reason."""

    def __init__(self, code: FaultCode, text: str) -> None:
        super().__init__(f"{code}: {text}")
        self.code = code


class CommittedEntryError(ConsensusError):
    """An attempt to replace a committed entry, which would violate the protocol."""


class UnknownEntryError(ConsensusError):
    """An entry or a snapshot that this program does not know because another version wrote it."""


class PropertyViolationError(ConsensusError):
    """A simulated schedule violated a property of the protocol."""
