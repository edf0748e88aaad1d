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
MARKER_FILE = "identity"  # created with the directory and never written again
COUNTER_FILE = "tail"  # the number of acknowledged commits
COUNTER_SLOT_BYTES = 64  # two slots are written alternately, so that a torn write damages at most one
COUNTER_RECORD_BYTES = 24  # the count and its digest
JOURNAL_LIMIT_BYTES = 1_048_576
TABLES = """
CREATE TABLE IF NOT EXISTS kept (name TEXT PRIMARY KEY, value BLOB NOT NULL, digest BLOB NOT NULL);
CREATE TABLE IF NOT EXISTS entry (at INTEGER PRIMARY KEY, value BLOB NOT NULL, digest BLOB NOT NULL);
"""


class Identity(Struct, array_like=True, frozen=True, forbid_unknown_fields=True):
    """Identifies a directory and distinguishes it from copies: its incarnation and its marker file."""

    version: int
    incarnation: str
    marker_inode: int
    marker_changed_ns: int


class Head(Struct, array_like=True, frozen=True, forbid_unknown_fields=True):
    """The replica's term and vote, the index of its last log entry, and the number of commits."""

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
    """Return the digest of a record, keyed by its name; it does not match under another name."""
    return blake2b(value, key=name.encode(), digest_size=16).digest()


def marker_stat(marker: Path) -> tuple[int, int]:
    """Return the inode number and the inode change time (nanoseconds) of the marker file.

    Tools that copy files can't set the change time. The device number is not used, because it may change
    with a reboot.
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

    :raises StorageError: with code CORRUPT if the record is missing or its digest is wrong.
    """
    row = connection.execute("SELECT value, digest FROM kept WHERE name = ?", (name,)).fetchone()
    if row is None or digest(name, row[0]) != row[1]:
        raise StorageError(FaultCode.CORRUPT, f"{database}: record {name} is missing or damaged")
    return row[0]


def write_commit_count(descriptor: int, count: int) -> None:
    """Write the number of commits to disk, before the commits are acknowledged.

    SQLite treats a damaged page of its write-ahead log as the end of that log, and opens the database without
    an error in the state before that page. This counter reveals the missing commits.
    """
    number = count.to_bytes(8, "big")
    os.pwrite(descriptor, number + digest(COUNTER_FILE, number), count % 2 * COUNTER_SLOT_BYTES)
    os.fdatasync(descriptor)


def read_commit_count(path: Path) -> int:
    """Read the number of acknowledged commits.

    :raises StorageError: with code CORRUPT if both slots are damaged.
    """
    content = path.read_bytes()
    slots = [content[start : start + COUNTER_RECORD_BYTES] for start in (0, COUNTER_SLOT_BYTES)]
    counts = [int.from_bytes(slot[:8], "big") for slot in slots if digest(COUNTER_FILE, slot[:8]) == slot[8:]]
    if not counts:
        raise StorageError(FaultCode.CORRUPT, f"{path}: both slots of the commit count are damaged")
    return max(counts)
