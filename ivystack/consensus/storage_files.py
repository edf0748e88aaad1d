"""Layout of a replica's storage directory: file names, stored records, digests and the commit counter."""

from __future__ import annotations

import os
import sqlite3
from hashlib import blake2b
from pathlib import Path

import msgspec
from msgspec import Struct

from .errors import FaultCode, StorageError
from .messages import Entry, Snapshot

DATABASE_FILE = "agreed.sqlite"
LOCK_FILE = "lock"
MARKER_FILE = "identity"  # created once and never written again
COUNTER_FILE = "tail"  # the number of acknowledged commits
COUNTER_SLOT_BYTES = 64  # two slots are written in turn, so that a torn write corrupts one at most
COUNTER_RECORD_BYTES = 24  # the number and its digest
JOURNAL_LIMIT_BYTES = 1_048_576
TABLES = """
CREATE TABLE IF NOT EXISTS kept (name TEXT PRIMARY KEY, value BLOB NOT NULL, digest BLOB NOT NULL);
CREATE TABLE IF NOT EXISTS entry (at INTEGER PRIMARY KEY, value BLOB NOT NULL, digest BLOB NOT NULL);
"""


class Identity(Struct, array_like=True, frozen=True, forbid_unknown_fields=True):
    """What tells a directory from its copies: the incarnation drawn for it, and its marker file."""

    version: int
    incarnation: str
    marker_inode: int
    marker_changed_ns: int


class Head(Struct, array_like=True, frozen=True, forbid_unknown_fields=True):
    """The replica's term and vote, where its log ends, and how many commits led there."""

    version: int
    voted_for: str
    term: int
    last_index: int
    commit_count: int


decode_identity = msgspec.msgpack.Decoder(Identity).decode
decode_head = msgspec.msgpack.Decoder(Head).decode
decode_entry = msgspec.msgpack.Decoder(Entry).decode
decode_snapshot = msgspec.msgpack.Decoder(Snapshot).decode


def digest(name: str, value: bytes) -> bytes:
    """Digest of a record, keyed by its name: a record in another's place does not match."""
    return blake2b(value, key=name.encode(), digest_size=16).digest()


def marker_stat(marker: Path) -> tuple[int, int]:
    """Inode and inode change time (ns) of the marker file.

    No copying tool can set the change time. The device is left out: its number may differ after a reboot.
    """
    stat = os.stat(marker)
    return stat.st_ino, stat.st_ctime_ns


def sync_directory(directory: Path) -> None:
    """Flush a directory's entries to disk."""
    descriptor = os.open(directory, os.O_RDONLY)
    try:
        os.fsync(descriptor)
    finally:
        os.close(descriptor)


def connect(database: Path) -> sqlite3.Connection:
    """Open the database with a write-ahead log and full sync, in autocommit mode."""
    connection = sqlite3.connect(database, isolation_level=None, check_same_thread=False)
    connection.execute("PRAGMA journal_mode=WAL")
    connection.execute("PRAGMA synchronous=FULL")
    connection.execute(f"PRAGMA journal_size_limit={JOURNAL_LIMIT_BYTES}")
    return connection


def put_record(connection: sqlite3.Connection, name: str, value: bytes) -> None:
    """Store a named record with its digest."""
    connection.execute("INSERT OR REPLACE INTO kept VALUES (?, ?, ?)", (name, value, digest(name, value)))


def get_record(connection: sqlite3.Connection, name: str, database: Path) -> bytes:
    """Read a named record.

    :raises StorageError: CORRUPT where it is missing or its digest is wrong.
    """
    row = connection.execute("SELECT value, digest FROM kept WHERE name = ?", (name,)).fetchone()
    if row is None or digest(name, row[0]) != row[1]:
        raise StorageError(FaultCode.CORRUPT, f"{database}: {name}")
    return row[0]


def write_commit_count(descriptor: int, count: int) -> None:
    """Put the number of commits on disk, before they are acknowledged.

    SQLite takes a damaged page of its log for the end of that log and opens without an error on what lies
    before it; this counter shows that commits are missing.
    """
    number = count.to_bytes(8, "big")
    os.pwrite(descriptor, number + digest(COUNTER_FILE, number), count % 2 * COUNTER_SLOT_BYTES)
    os.fdatasync(descriptor)


def read_commit_count(path: Path) -> int:
    """Read the number of acknowledged commits.

    :raises StorageError: CORRUPT where both slots are damaged.
    """
    content = path.read_bytes()
    slots = [content[start : start + COUNTER_RECORD_BYTES] for start in (0, COUNTER_SLOT_BYTES)]
    counts = [int.from_bytes(slot[:8], "big") for slot in slots if digest(COUNTER_FILE, slot[:8]) == slot[8:]]
    if not counts:
        raise StorageError(FaultCode.CORRUPT, f"{path}: wrong digest")
    return max(counts)
