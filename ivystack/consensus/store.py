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
from .messages import FORMAT_VERSION, Configuration, Entry, Snapshot, encode

FILE, LOCK = "agreed.sqlite", "lock"
# A marker that is made once and never touched, and how many commits were acknowledged, in two slots in turn.
MARK, TAIL = "identity", "tail"
SLOT = 64  # bytes of a slot, of which a torn write spoils one
GROUPED = 64  # saves in one transaction: what has come while the last one was synced
TABLES = """
CREATE TABLE IF NOT EXISTS kept (name TEXT PRIMARY KEY, value BLOB NOT NULL, digest BLOB NOT NULL);
CREATE TABLE IF NOT EXISTS entry (at INTEGER PRIMARY KEY, value BLOB NOT NULL, digest BLOB NOT NULL);
"""
entry_of = msgspec.msgpack.Decoder(Entry).decode
snapshot_of = msgspec.msgpack.Decoder(Snapshot).decode
head_of = msgspec.msgpack.Decoder(tuple[int, str, int, int, int]).decode
identity_of = msgspec.msgpack.Decoder(tuple[int, str, int, int]).decode


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
        self.file, self.mark, self.tail = folder / FILE, folder / MARK, folder / TAIL
        self.commits = 0
        self.jobs: queue.SimpleQueue = queue.SimpleQueue()
        self.thread: threading.Thread | None = None
        self.lock = None
        self.known: tuple | None = None  # which files these are, while the thread runs
        self.writes = self.syncs = 0
        self.slowest = 0.0

    # Before the thread runs.

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
        if not self.mark.exists() and not self.file.exists():
            return self.create()
        try:
            return self.read()
        except sqlite3.Error as fault:
            raise UnfitError("spoilt", f"{self.file}: {fault}") from None
        except OSError as fault:
            raise UnfitError("lost", f"{fault.filename}: {fault.strerror}") from None

    def create(self) -> Loaded:
        life, nothing = secrets.token_hex(4), Snapshot(0, 0, Configuration())
        try:
            with closing(self.connect(self.file)) as base:
                base.executescript(TABLES)
                self.put(base, "head", encode((FORMAT_VERSION, "", 0, 0, 0)))
                self.put(base, "snapshot", encode(nothing))
                with open(self.tail, "xb") as tail, open(self.mark, "xb") as mark:
                    self.acknowledge(tail.fileno(), 0)
                    os.fsync(mark.fileno())
                self.sync_folder()
                # Last: without it the directory counts as lost.
                self.put(base, "identity", encode((FORMAT_VERSION, life, *self.marked())))
        except (OSError, sqlite3.Error) as fault:
            raise UnfitError("unwritable", f"{self.folder}: {fault}") from None
        return Loaded(life, 0, "", nothing, [], False)

    def marked(self) -> tuple[int, int]:
        """What tells this directory from any copy: the marker's inode, and when that changed last, which no
        tool that copies can set.  Never the device: its number may be another after a start."""
        about = os.stat(self.mark)
        return about.st_ino, about.st_ctime_ns

    def acknowledge(self, tail: int, commit: int) -> None:
        """So many commits have been made, and may be told.

        Guards against the library's log: at a spoilt or missing page it takes all that comes behind for torn,
        and opens without a word on what is left.
        """
        number = commit.to_bytes(8, "big")
        os.pwrite(tail, number + digest(TAIL, number), commit % 2 * SLOT)
        os.fdatasync(tail)

    def acknowledged(self) -> int:
        text = self.tail.read_bytes()
        slots = [text[at : at + 24] for at in (0, SLOT)]
        good = [int.from_bytes(one[:8], "big") for one in slots if digest(TAIL, one[:8]) == one[8:]]
        if not good:
            raise UnfitError("spoilt", f"{self.tail}: wrong digest")
        return max(good)

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

    def read(self) -> Loaded:
        file, marked, told = self.file, self.marked(), self.acknowledged()
        os.stat(file)  # the library would make a new one
        base = self.connect(file)
        try:
            if base.execute("SELECT 1 FROM kept WHERE name = 'identity'").fetchall() == []:
                raise UnfitError("lost", f"{self.folder}: it was not made to its end")
            _, life, *known = identity_of(self.get(base, "identity"))
            if (*known,) != marked:
                raise UnfitError("older", f"{self.folder}: a copy; what it lacks can't be known")
            version, voted, term, last, self.commits = head_of(self.get(base, "head"))
            if version != FORMAT_VERSION:
                raise UnfitError("newer", f"{file}: version {version}, this program reads {FORMAT_VERSION}")
            if not told <= self.commits <= told + 1:  # one more: it ended between the two
                raise UnfitError("older", f"{file}: {self.commits} commits, {told} were acknowledged")
            snapshot = snapshot_of(self.get(base, "snapshot"))
            entries = []
            rows = base.execute(
                "SELECT at, value, digest FROM entry WHERE at > ? ORDER BY at", (snapshot.index,)
            )
            for at, text, sealed in rows:
                if at != snapshot.index + len(entries) + 1 or digest(f"entry {at}", text) != sealed:
                    raise UnfitError("spoilt", f"{file}: entry {snapshot.index + len(entries) + 1}")
                entries.append(entry_of(text))
            found = snapshot.index + len(entries)
            if last != found:
                raise UnfitError("spoilt", f"{file}: entries end at {found}, not {last}")
        except msgspec.MsgspecError as fault:
            raise UnfitError("spoilt", f"{file}: {fault}") from None
        finally:
            base.close()
        return Loaded(life, term, voted, snapshot, entries, bool(snapshot.index))

    def get(self, base: sqlite3.Connection, name: str) -> bytes:
        row = base.execute("SELECT value, digest FROM kept WHERE name = ?", (name,)).fetchone()
        if row is None or digest(name, row[0]) != row[1]:
            raise UnfitError("spoilt", f"{self.file}: {name}")
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
        base = tail = None
        try:
            self.known = self.marked(), os.stat(self.file).st_ino
            base = self.connect(self.file)
            tail = open(self.tail, "r+b", buffering=0)  # noqa: SIM115
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
                self.commits += 1
                base.execute("BEGIN IMMEDIATE")
                for save, _ in jobs:
                    self.write(base, save)
                base.execute("COMMIT")
                self.acknowledge(tail.fileno(), self.commits)
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
            for one in (base, tail):
                try:
                    if one is not None:
                        one.close()
                except (sqlite3.Error, OSError):
                    pass

    def still_here(self) -> None:
        """Guards against a directory that was taken away under us: what is written to it then is nowhere."""
        if (self.marked(), os.stat(self.file).st_ino) != self.known:
            raise OSError("the directory was replaced")

    def write(self, base: sqlite3.Connection, save: Save) -> None:
        if save.snapshot is not None:
            self.put(base, "snapshot", encode(save.snapshot))
        base.execute("DELETE FROM entry WHERE at >= ? OR at < ?", (save.first, save.kept_from))
        rows = []
        for at, entry in enumerate(save.entries, save.first):
            value = encode(entry)
            rows.append((at, value, digest(f"entry {at}", value)))
        base.executemany("INSERT INTO entry VALUES (?, ?, ?)", rows)
        last = save.first + len(save.entries) - 1
        self.put(base, "head", encode((FORMAT_VERSION, save.voted, save.term, last, self.commits)))
