"""What a member of the consensus group keeps on disk: SQLite with full sync, on a thread of its own.

Owns the directory, its lock, the member's life, and each record with its digest.  It must never block the
reactor, hand on a record whose digest is wrong, mend anything in silence, or try a failed write again.
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
from contextlib import closing
from dataclasses import dataclass
from hashlib import blake2b
from pathlib import Path

import msgspec

from .core import Save
from .forms import VERSION, Config, Entry, Snapshot, packed

FILE, MARK, LOCK = "agreed.sqlite", "identity", "lock"
GROUPED = 64  # saves in one transaction: what has come while the last one was synced
TABLES = """
CREATE TABLE IF NOT EXISTS kept (name TEXT PRIMARY KEY, value BLOB NOT NULL, digest BLOB NOT NULL);
CREATE TABLE IF NOT EXISTS entry (at INTEGER PRIMARY KEY, value BLOB NOT NULL, digest BLOB NOT NULL);
"""
entry_of = msgspec.msgpack.Decoder(Entry).decode
snapshot_of = msgspec.msgpack.Decoder(Snapshot).decode
head_of = msgspec.msgpack.Decoder(tuple[int, str, int, int]).decode
identity_of = msgspec.msgpack.Decoder(tuple[int, str, int, int, int]).decode


class UnfitError(Exception):
    """The directory can't be used as it is; `code`: taken, unwritable, lost, older, spoilt, newer."""

    def __init__(self, code: str, text: str):
        super().__init__(f"{code}: {text}")
        self.code = code


@dataclass
class Loaded:
    life: str
    term: int
    voted: str
    snapshot: Snapshot
    entries: list[Entry]
    begun: bool  # it has been a member, or was asked to be one


def digest(name: str, value: bytes) -> bytes:
    return blake2b(value, key=name.encode(), digest_size=16).digest()


class Store:
    def __init__(self, folder: Path, back: Callable[..., None], failed: Callable[[str], None]):
        """`back(call, *values)` runs a call on the caller's own thread; `failed` is told once, there."""
        self.folder, self.back, self.failed = folder, back, failed
        self.jobs: queue.SimpleQueue = queue.SimpleQueue()
        self.thread: threading.Thread | None = None
        self.lock = None
        self.writes = self.syncs = 0
        self.slowest = 0.0

    # Before the thread runs: on the caller's own, at the start alone.

    def open(self) -> Loaded:
        """Takes the directory and reads it whole; raises UnfitError, and then nothing there has changed."""
        try:
            self.folder.mkdir(parents=True, exist_ok=True)
            self.lock = open(self.folder / LOCK, "a")  # noqa: SIM115
            fcntl.flock(self.lock, fcntl.LOCK_EX | fcntl.LOCK_NB)
        except BlockingIOError:
            self.close()
            raise UnfitError("taken", f"another process uses {self.folder}") from None
        except OSError as fault:
            self.close()
            raise UnfitError("unwritable", f"{self.folder}: {fault.strerror}") from None
        mark, file = self.folder / MARK, self.folder / FILE
        if not mark.exists() and not file.exists():
            return self.create()
        try:
            return self.read(mark, file)
        except sqlite3.Error as fault:
            raise UnfitError("spoilt", f"{file}: {fault}") from None
        except OSError as fault:
            raise UnfitError("lost", f"{fault.filename}: {fault.strerror}") from None

    def create(self) -> Loaded:
        life, mark, file = secrets.token_hex(4), self.folder / MARK, self.folder / FILE
        try:
            nothing = Snapshot(0, 0, Config())
            with closing(self.connect(file)) as base:
                base.executescript(TABLES)
                self.put(base, "head", packed((VERSION, "", 0, 0)))
                self.put(base, "snapshot", packed(nothing))
            # Last: with the marker there, the rest is.  It tells which files these are: a copy is another.
            with open(mark, "wb") as made:
                where, own = os.fstat(made.fileno()), os.stat(file)
                value = packed((VERSION, life, where.st_dev, where.st_ino, own.st_ino))
                made.write(value + digest(MARK, value))
                made.flush()
                os.fsync(made.fileno())
            self.sync_folder()
        except (OSError, sqlite3.Error) as fault:
            raise UnfitError("unwritable", f"{self.folder}: {fault}") from None
        return Loaded(life, 0, "", nothing, [], False)

    def sync_folder(self) -> None:
        number = os.open(self.folder, os.O_RDONLY)
        try:
            os.fsync(number)
        finally:
            os.close(number)

    def connect(self, file: Path) -> sqlite3.Connection:
        base = sqlite3.connect(file, isolation_level=None, check_same_thread=False)
        base.execute("PRAGMA journal_mode=WAL")
        base.execute("PRAGMA synchronous=FULL")
        base.execute("PRAGMA journal_size_limit=1048576")
        return base

    def read(self, mark: Path, file: Path) -> Loaded:
        value = mark.read_bytes()
        value, sealed = value[:-16], value[-16:]
        if digest(MARK, value) != sealed:
            raise UnfitError("spoilt", f"{mark}: wrong digest")
        version, life, device, inode, own = identity_of(value)
        if version != VERSION:
            raise UnfitError("newer", f"{mark}: version {version}, this program reads {VERSION}")
        about = os.stat(mark)
        if (about.st_dev, about.st_ino, os.stat(file).st_ino) != (device, inode, own):
            raise UnfitError("older", f"{self.folder}: these files are copies; what they lack can't be known")
        base = self.connect(file)
        try:
            version, voted, term, _ = head_of(self.get(base, "head"))
            if version != VERSION:
                raise UnfitError("newer", f"{file}: version {version}, this program reads {VERSION}")
            snapshot = snapshot_of(self.get(base, "snapshot"))
            entries = []
            rows = base.execute(
                "SELECT at, value, digest FROM entry WHERE at > ? ORDER BY at", (snapshot.index,)
            )
            for at, text, sealed in rows:
                if at != snapshot.index + len(entries) + 1 or digest(f"entry {at}", text) != sealed:
                    raise UnfitError("spoilt", f"{file}: entry {snapshot.index + len(entries) + 1}")
                entries.append(entry_of(text))
            count = head_of(self.get(base, "head"))[3]
            if count != snapshot.index + len(entries):
                found = snapshot.index + len(entries)
                raise UnfitError("spoilt", f"{file}: entries end at {found}, not {count}")
        except msgspec.MsgspecError as fault:
            raise UnfitError("spoilt", f"{file}: {fault}") from None
        finally:
            base.close()
        return Loaded(life, term, voted, snapshot, entries, bool(snapshot.index))

    def get(self, base: sqlite3.Connection, name: str) -> bytes:
        row = base.execute("SELECT value, digest FROM kept WHERE name = ?", (name,)).fetchone()
        if row is None or digest(name, row[0]) != row[1]:
            raise UnfitError("spoilt", f"{self.folder / FILE}: {name}")
        return row[0]

    def put(self, base: sqlite3.Connection, name: str, value: bytes) -> None:
        base.execute("INSERT OR REPLACE INTO kept VALUES (?, ?, ?)", (name, value, digest(name, value)))

    def put_aside(self, code: str) -> Path:
        """A directory that can't be used is kept for whoever wants to look, under another name; the last two
        such stay."""
        aside = self.folder.with_name(f"{self.folder.name}.{code}-{time.time_ns() // 1_000_000}")
        self.close()
        os.rename(self.folder, aside)
        kept = sorted(aside.parent.glob(f"{self.folder.name}.*-*"), key=lambda one: one.stat().st_mtime)
        for old in kept[:-2]:
            for file in old.iterdir():
                file.unlink()
            old.rmdir()
        return aside

    # The thread.

    def start(self) -> None:
        self.thread = threading.Thread(target=self.run, name="agreed", daemon=True)
        self.thread.start()

    def save(self, save: Save, done: Callable[[int], None]) -> None:
        """Puts it on disk, whole or not at all, and then calls `done` with its number."""
        self.jobs.put((save, done))

    def stop(self) -> None:
        """What was asked for is written first."""
        if self.thread is not None:
            self.jobs.put(None)
            self.thread.join(5)
        self.close()

    def close(self) -> None:
        lock, self.lock = self.lock, None
        if lock is not None:
            lock.close()

    def run(self) -> None:
        base = None
        try:
            base = self.connect(self.folder / FILE)
            self.inode = os.stat(self.folder / MARK).st_ino
            while (job := self.jobs.get()) is not None:
                jobs, last = [job], False
                while len(jobs) < GROUPED and not self.jobs.empty():
                    more = self.jobs.get()
                    if more is None:
                        last = True
                        break
                    jobs.append(more)
                began = time.monotonic()
                self.still_here()
                base.execute("BEGIN IMMEDIATE")
                for save, _ in jobs:
                    self.write(base, save)
                base.execute("COMMIT")
                self.syncs += 1
                self.writes += len(jobs)
                self.slowest = max(self.slowest, time.monotonic() - began)
                for save, done in jobs:
                    self.back(done, save.number)
                if last:
                    return
        except Exception as fault:
            # Final: what the kernel could not write it may drop, and say yes to the next sync.
            self.back(self.failed, f"{type(fault).__name__}: {fault}")
        finally:
            if base is not None:
                try:
                    base.close()
                except sqlite3.Error:
                    pass

    def still_here(self) -> None:
        """Guards against a directory that was taken away under us: what is written to it then is nowhere."""
        if os.stat(self.folder / MARK).st_ino != self.inode:
            raise OSError("the directory was replaced")

    def write(self, base: sqlite3.Connection, save: Save) -> None:
        if save.snapshot is not None:
            self.put(base, "snapshot", packed(save.snapshot))
        base.execute("DELETE FROM entry WHERE at >= ? OR at < ?", (save.first, save.kept_from))
        rows = []
        for at, entry in enumerate(save.entries, save.first):
            value = packed(entry)
            rows.append((at, value, digest(f"entry {at}", value)))
        base.executemany("INSERT INTO entry VALUES (?, ?, ?)", rows)
        last = save.first + len(save.entries) - 1
        self.put(base, "head", packed((VERSION, save.voted, save.term, last)))
