"""Durable storage of a replica: SQLite with full sync, written by a thread of its own.

A directory belongs to one process at a time and to one incarnation of a replica for ever. Each record is
stored with a digest; a directory that is damaged, incomplete or a copy is reported, never repaired. A failed
write is final: the kernel may drop what it could not write and report success for the next sync.
"""

from __future__ import annotations

import fcntl
import os
import queue
import secrets
import sqlite3
import threading
import time
from collections.abc import Callable
from contextlib import closing, suppress
from dataclasses import dataclass
from pathlib import Path
from typing import IO

import msgspec

from .errors import FaultCode, StorageError
from .messages import FORMAT_VERSION, Configuration, Entry, Snapshot, encode
from .records import WriteBatch
from .storage_files import (
    COUNTER_FILE,
    DATABASE_FILE,
    LOCK_FILE,
    MARKER_FILE,
    TABLES,
    Head,
    Identity,
    connect,
    decode_entry,
    decode_head,
    decode_identity,
    decode_snapshot,
    digest,
    get_record,
    marker_stat,
    put_record,
    read_commit_count,
    sync_directory,
    write_commit_count,
)

MAX_BATCHES_PER_COMMIT = 64  # those queued while the last commit was synced share the next one
STOP_TIMEOUT_S = 5
RETAINED_DIRECTORIES = 2  # unusable directories kept for inspection


@dataclass
class StoredState:
    """What a directory holds; ``was_member``: this replica has belonged to a group."""

    incarnation: str
    term: int
    voted_for: str
    snapshot: Snapshot
    entries: list[Entry]
    was_member: bool


@dataclass(frozen=True)
class _Job:
    batch: WriteBatch
    on_written: Callable[[int], None]


class Storage:
    """The storage directory of one replica: opened once, then written by :meth:`save` until :meth:`stop`."""

    def __init__(
        self, directory: Path, call_in_owner: Callable[..., None], on_failure: Callable[[str], None]
    ) -> None:
        """Prepare storage in ``directory`` without touching it.

        :param call_in_owner: ``call_in_owner(function, *args)`` runs a function on the owner's thread.
        :param on_failure: called there once, with the reason, when a write has failed.
        """
        self.directory, self.call_in_owner, self.on_failure = directory, call_in_owner, on_failure
        self.database_path = directory / DATABASE_FILE
        self.marker_path = directory / MARKER_FILE
        self.counter_path = directory / COUNTER_FILE
        self.commit_count = 0
        self.batches_written = self.syncs = 0
        self.slowest_sync_s = 0.0
        self._jobs: queue.SimpleQueue[_Job | None] = queue.SimpleQueue()
        self._stop_seen = False
        self._thread: threading.Thread | None = None
        self._lock_file: IO[str] | None = None
        self._opened_files: tuple[tuple[int, int], int] | None = None  # which files the thread opened

    def open(self) -> StoredState:
        """Lock the directory and read or create its content.

        :raises StorageError: the directory is unusable; nothing in it has changed.
        """
        self._take_lock()
        if not self.marker_path.exists() and not self.database_path.exists():
            return self._create()
        try:
            return self._read()
        except sqlite3.Error as error:
            raise StorageError(FaultCode.CORRUPT, f"{self.database_path}: {error}") from None
        except OSError as error:
            raise StorageError(FaultCode.INCOMPLETE, f"{error.filename}: {error.strerror}") from None

    def set_aside(self, code: FaultCode) -> Path:
        """Rename an unusable directory, so that it can be inspected; only the last few are kept.

        :returns: its new path.
        :raises OSError: it can't be renamed.
        """
        aside = self.directory.with_name(f"{self.directory.name}.{code}-{time.time_ns() // 1_000_000}")
        self.close()
        os.rename(self.directory, aside)
        retained = sorted(
            aside.parent.glob(f"{self.directory.name}.*-*"), key=lambda path: path.stat().st_mtime
        )
        for old in retained[:-RETAINED_DIRECTORIES]:
            for file in old.iterdir():
                file.unlink()
            old.rmdir()
        return aside

    def start(self) -> None:
        """Start the writer thread."""
        self._thread = threading.Thread(target=self._run, name="consensus-storage", daemon=True)
        self._thread.start()

    def save(self, batch: WriteBatch, on_written: Callable[[int], None]) -> None:
        """Write a batch atomically, then call ``on_written`` with its number on the owner's thread."""
        self._jobs.put(_Job(batch, on_written))

    def stop(self) -> None:
        """Write what is queued, then end the thread and unlock the directory."""
        if self._thread is not None:
            self._jobs.put(None)
            self._thread.join(STOP_TIMEOUT_S)
        self.close()

    def close(self) -> None:
        """Unlock the directory."""
        lock_file, self._lock_file = self._lock_file, None
        if lock_file is not None:
            lock_file.close()

    def _take_lock(self) -> None:
        try:
            self.directory.mkdir(parents=True, exist_ok=True)
            self._lock_file = open(self.directory / LOCK_FILE, "a")  # noqa: SIM115
            fcntl.flock(self._lock_file, fcntl.LOCK_EX | fcntl.LOCK_NB)
        except BlockingIOError:
            self.close()
            raise StorageError(FaultCode.LOCKED, f"another process uses {self.directory}") from None
        except OSError as error:
            self.close()
            raise StorageError(FaultCode.UNWRITABLE, f"{self.directory}: {error.strerror}") from None

    def _create(self) -> StoredState:
        incarnation, empty = secrets.token_hex(4), Snapshot(0, 0, Configuration())
        try:
            with closing(connect(self.database_path)) as connection:
                connection.executescript(TABLES)
                put_record(connection, "head", encode(Head(FORMAT_VERSION, "", 0, 0, 0)))
                put_record(connection, "snapshot", encode(empty))
                with open(self.counter_path, "xb") as counter, open(self.marker_path, "xb") as marker:
                    write_commit_count(counter.fileno(), 0)
                    os.fsync(marker.fileno())
                sync_directory(self.directory)
                # Last: a directory without it counts as incomplete.
                identity = Identity(FORMAT_VERSION, incarnation, *marker_stat(self.marker_path))
                put_record(connection, "identity", encode(identity))
        except (OSError, sqlite3.Error) as error:
            raise StorageError(FaultCode.UNWRITABLE, f"{self.directory}: {error}") from None
        return StoredState(incarnation, 0, "", empty, [], False)

    def _read(self) -> StoredState:
        marker = marker_stat(self.marker_path)
        acknowledged = read_commit_count(self.counter_path)
        os.stat(self.database_path)  # SQLite would create a missing file
        connection = connect(self.database_path)
        try:
            identity = self._read_identity(connection, marker)
            head = self._read_head(connection, acknowledged)
            snapshot = decode_snapshot(get_record(connection, "snapshot", self.database_path))
            entries = self._read_entries(connection, snapshot.index, head.last_index)
        except msgspec.MsgspecError as error:
            raise StorageError(FaultCode.CORRUPT, f"{self.database_path}: {error}") from None
        finally:
            connection.close()
        was_member = bool(snapshot.index)
        return StoredState(identity.incarnation, head.term, head.voted_for, snapshot, entries, was_member)

    def _read_identity(self, connection: sqlite3.Connection, marker: tuple[int, int]) -> Identity:
        if connection.execute("SELECT 1 FROM kept WHERE name = 'identity'").fetchall() == []:
            raise StorageError(FaultCode.INCOMPLETE, f"{self.directory}: its creation was interrupted")
        identity = decode_identity(get_record(connection, "identity", self.database_path))
        if (identity.marker_inode, identity.marker_changed_ns) != marker:
            raise StorageError(FaultCode.STALE, f"{self.directory}: a copy; what it lacks can't be known")
        return identity

    def _read_head(self, connection: sqlite3.Connection, acknowledged: int) -> Head:
        path = self.database_path
        head = decode_head(get_record(connection, "head", path))
        self.commit_count = head.commit_count
        if head.version != FORMAT_VERSION:
            text = f"{path}: version {head.version}, this program reads {FORMAT_VERSION}"
            raise StorageError(FaultCode.NEWER_FORMAT, text)
        # One more than acknowledged: the process ended between the commit and the counter.
        if not acknowledged <= head.commit_count <= acknowledged + 1:
            text = f"{path}: {head.commit_count} commits, {acknowledged} were acknowledged"
            raise StorageError(FaultCode.STALE, text)
        return head

    def _read_entries(
        self, connection: sqlite3.Connection, snapshot_index: int, last_index: int
    ) -> list[Entry]:
        entries: list[Entry] = []
        rows = connection.execute(
            "SELECT at, value, digest FROM entry WHERE at > ? ORDER BY at", (snapshot_index,)
        )
        for index, value, stored_digest in rows:
            expected = snapshot_index + len(entries) + 1
            if index != expected or digest(f"entry {index}", value) != stored_digest:
                raise StorageError(FaultCode.CORRUPT, f"{self.database_path}: entry {expected}")
            entries.append(decode_entry(value))
        found = snapshot_index + len(entries)
        if last_index != found:
            text = f"{self.database_path}: entries end at {found}, not {last_index}"
            raise StorageError(FaultCode.CORRUPT, text)
        return entries

    def _run(self) -> None:
        connection: sqlite3.Connection | None = None
        counter: IO[bytes] | None = None
        try:
            self._opened_files = self._current_files()
            connection = connect(self.database_path)
            counter = open(self.counter_path, "r+b", buffering=0)  # noqa: SIM115
            while jobs := self._next_jobs():
                self._commit(connection, counter.fileno(), jobs)
                for job in jobs:
                    self.call_in_owner(job.on_written, job.batch.number)
        except Exception as error:
            self.call_in_owner(self.on_failure, f"{type(error).__name__}: {error}")
        finally:
            for resource in (connection, counter):
                if resource is not None:
                    with suppress(sqlite3.Error, OSError):
                        resource.close()

    def _next_jobs(self) -> list[_Job]:
        """Wait for a job and take those queued behind it; empty once the thread is to end."""
        jobs: list[_Job] = []
        while not self._stop_seen and (
            not jobs or (len(jobs) < MAX_BATCHES_PER_COMMIT and not self._jobs.empty())
        ):
            job = self._jobs.get()
            if job is None:
                self._stop_seen = True
            else:
                jobs.append(job)
        return jobs

    def _commit(self, connection: sqlite3.Connection, counter_descriptor: int, jobs: list[_Job]) -> None:
        began = time.monotonic()
        self._check_files()
        self.commit_count += 1
        connection.execute("BEGIN IMMEDIATE")
        for job in jobs:
            self.write_batch(connection, job.batch)
        connection.execute("COMMIT")
        write_commit_count(counter_descriptor, self.commit_count)
        self.syncs += 1
        self.batches_written += len(jobs)
        self.slowest_sync_s = max(self.slowest_sync_s, time.monotonic() - began)

    def _current_files(self) -> tuple[tuple[int, int], int]:
        return marker_stat(self.marker_path), os.stat(self.database_path).st_ino

    def _check_files(self) -> None:
        """Fail if the directory was replaced: open files would be written, and found by nobody."""
        if self._current_files() != self._opened_files:
            raise OSError("the directory was replaced")

    def write_batch(self, connection: sqlite3.Connection, batch: WriteBatch) -> None:
        """Write a batch within the caller's transaction."""
        if batch.snapshot is not None:
            put_record(connection, "snapshot", encode(batch.snapshot))
        connection.execute(
            "DELETE FROM entry WHERE at >= ? OR at < ?", (batch.first_index, batch.retained_from)
        )
        rows = []
        for index, entry in enumerate(batch.entries, batch.first_index):
            value = encode(entry)
            rows.append((index, value, digest(f"entry {index}", value)))
        connection.executemany("INSERT INTO entry VALUES (?, ?, ?)", rows)
        last_index = batch.first_index + len(batch.entries) - 1
        head = Head(FORMAT_VERSION, batch.voted_for, batch.term, last_index, self.commit_count)
        put_record(connection, "head", encode(head))
