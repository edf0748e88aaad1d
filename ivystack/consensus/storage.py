"""Durable storage of a replica: an SQLite database with full sync, written by a separate thread.

A directory is used by one process at a time, and only ever by one incarnation of a replica. Each record is
stored with a digest. A directory that is damaged, incomplete or a copy is reported, never repaired. After a
failed write nothing more is written, because the kernel may drop the unwritten data and report success for
the next sync.
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

MAX_BATCHES_PER_COMMIT = 64  # batches queued during a sync share the next commit
STOP_TIMEOUT_S = 5
RETAINED_DIRECTORIES = 2  # number of unusable directories that are kept for inspection


@dataclass
class StoredState:
    """The stored state of a replica; ``was_member``: the replica has been a member of a group."""

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
    """The storage directory of one replica.

    The owner calls :meth:`open` and :meth:`start`, then :meth:`save` for each batch, then :meth:`stop`.
    """

    def __init__(
        self, directory: Path, call_in_owner: Callable[..., None], on_failure: Callable[[str], None]
    ) -> None:
        """Create the storage object without accessing ``directory``.

        :param call_in_owner: ``call_in_owner(function, *args)`` calls a function on the owner's thread.
        :param on_failure: called once on the owner's thread, with the reason, after a write has failed.
        """
        self.directory, self.call_in_owner, self.on_failure = directory, call_in_owner, on_failure
        self.database_path = directory / DATABASE_FILE
        self.marker_path = directory / MARKER_FILE
        self.counter_path = directory / COUNTER_FILE
        self.commit_count = 0
        self.batches_written = self.syncs = 0
        self.slowest_sync_s = 0.0
        self._jobs: queue.SimpleQueue[_Job | None] = queue.SimpleQueue()
        self._stop_received = False
        self._thread: threading.Thread | None = None
        self._lock_file: IO[str] | None = None
        self._opened_files: tuple[tuple[int, int], int] | None = None  # _current_files() when opened

    def open(self) -> StoredState:
        """Lock the directory, then read its content, or create the files if there are none.

        :raises StorageError: the directory is unusable; its content is unchanged.
        """
        self._acquire_lock()
        if not self.marker_path.exists() and not self.database_path.exists():
            return self._create()
        try:
            return self._read()
        except sqlite3.Error as error:
            raise StorageError(FaultCode.CORRUPT, f"{self.database_path}: {error}") from None
        except OSError as error:
            raise StorageError(FaultCode.INCOMPLETE, f"{error.filename}: {error.strerror}") from None

    def set_aside(self, code: FaultCode) -> Path:
        """Rename the unusable directory for inspection, and delete all but the latest such directories.

        :returns: the new path of the directory.
        :raises OSError: the directory can't be renamed.
        """
        moved_to = self.directory.with_name(f"{self.directory.name}.{code}-{time.time_ns() // 1_000_000}")
        self.close()
        os.rename(self.directory, moved_to)
        retained = sorted(
            moved_to.parent.glob(f"{self.directory.name}.*-*"), key=lambda path: path.stat().st_mtime
        )
        for old in retained[:-RETAINED_DIRECTORIES]:
            for file in old.iterdir():
                file.unlink()
            old.rmdir()
        return moved_to

    def start(self) -> None:
        """Start the writer thread."""
        self._thread = threading.Thread(target=self._run, name="consensus-storage", daemon=True)
        self._thread.start()

    def save(self, batch: WriteBatch, on_written: Callable[[int], None]) -> None:
        """Queue a batch, which is written atomically.

        :param on_written: called with the batch's number on the owner's thread once the batch is durable.
        """
        self._jobs.put(_Job(batch, on_written))

    def stop(self) -> None:
        """Write all queued batches, stop the writer thread and unlock the directory."""
        if self._thread is not None:
            self._jobs.put(None)
            self._thread.join(STOP_TIMEOUT_S)
        self.close()

    def close(self) -> None:
        """Unlock the directory."""
        lock_file, self._lock_file = self._lock_file, None
        if lock_file is not None:
            lock_file.close()

    def _acquire_lock(self) -> None:
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
        incarnation, empty_snapshot = secrets.token_hex(4), Snapshot(0, 0, Configuration())
        try:
            with closing(connect(self.database_path)) as connection:
                connection.executescript(TABLES)
                put_record(connection, "head", encode(Head(FORMAT_VERSION, "", 0, 0, 0)))
                put_record(connection, "snapshot", encode(empty_snapshot))
                with open(self.counter_path, "xb") as counter, open(self.marker_path, "xb") as marker:
                    write_commit_count(counter.fileno(), 0)
                    os.fsync(marker.fileno())
                sync_directory(self.directory)
                # The identity is stored last: a directory without it is treated as incomplete.
                identity = Identity(FORMAT_VERSION, incarnation, *marker_stat(self.marker_path))
                put_record(connection, "identity", encode(identity))
        except (OSError, sqlite3.Error) as error:
            raise StorageError(FaultCode.UNWRITABLE, f"{self.directory}: {error}") from None
        return StoredState(incarnation, 0, "", empty_snapshot, [], False)

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
            raise StorageError(
                FaultCode.INCOMPLETE, f"{self.directory}: creation of the directory was interrupted"
            )
        identity = decode_identity(get_record(connection, "identity", self.database_path))
        if (identity.marker_inode, identity.marker_changed_ns) != marker:
            raise StorageError(
                FaultCode.STALE, f"{self.directory}: the directory is a copy and may lack later entries"
            )
        return identity

    def _read_head(self, connection: sqlite3.Connection, acknowledged: int) -> Head:
        path = self.database_path
        head = decode_head(get_record(connection, "head", path))
        self.commit_count = head.commit_count
        if head.version != FORMAT_VERSION:
            text = f"{path}: format version is {head.version}, this program reads version {FORMAT_VERSION}"
            raise StorageError(FaultCode.NEWER_FORMAT, text)
        # One more than acknowledged: the process ended after the commit, before the counter was written.
        if not acknowledged <= head.commit_count <= acknowledged + 1:
            text = f"{path}: storage has {head.commit_count} commits, but {acknowledged} were acknowledged"
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
            expected_index = snapshot_index + len(entries) + 1
            if index != expected_index or digest(f"entry {index}", value) != stored_digest:
                raise StorageError(
                    FaultCode.CORRUPT,
                    f"{self.database_path}: log entry {expected_index} is missing or damaged",
                )
            entries.append(decode_entry(value))
        last_stored_index = snapshot_index + len(entries)
        if last_index != last_stored_index:
            text = f"{self.database_path}: last log entry is {last_stored_index}, expected {last_index}"
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
        """Wait for a job and return it with the jobs queued after it; return none after :meth:`stop`."""
        jobs: list[_Job] = []
        while not self._stop_received and (
            not jobs or (len(jobs) < MAX_BATCHES_PER_COMMIT and not self._jobs.empty())
        ):
            job = self._jobs.get()
            if job is None:
                self._stop_received = True
            else:
                jobs.append(job)
        return jobs

    def _commit(self, connection: sqlite3.Connection, counter_descriptor: int, jobs: list[_Job]) -> None:
        start_time = time.monotonic()
        self._check_files()
        self.commit_count += 1
        connection.execute("BEGIN IMMEDIATE")
        for job in jobs:
            self.write_batch(connection, job.batch)
        connection.execute("COMMIT")
        write_commit_count(counter_descriptor, self.commit_count)
        self.syncs += 1
        self.batches_written += len(jobs)
        self.slowest_sync_s = max(self.slowest_sync_s, time.monotonic() - start_time)

    def _current_files(self) -> tuple[tuple[int, int], int]:
        return marker_stat(self.marker_path), os.stat(self.database_path).st_ino

    def _check_files(self) -> None:
        """Raise an error if the directory was replaced.

        Writes to the open files would succeed, but no process would read those files again.
        """
        if self._current_files() != self._opened_files:
            raise OSError("the storage directory was replaced")

    def write_batch(self, connection: sqlite3.Connection, batch: WriteBatch) -> None:
        """Write a batch in the caller's transaction."""
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
