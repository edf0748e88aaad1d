"""Tests of consensus storage: stored state is read back; damage, copies and failed writes are reported."""

import os
import shutil
import sqlite3
import subprocess
import sys

import pytest
from test_rig import PACKAGE

from ivystack.consensus.errors import StorageError
from ivystack.consensus.messages import Configuration, Entry, EntryKind, Snapshot
from ivystack.consensus.records import WriteBatch
from ivystack.consensus.storage import Storage
from ivystack.consensus.storage_files import COUNTER_FILE, COUNTER_SLOT_BYTES, DATABASE_FILE, MARKER_FILE

VOTERS = ("a/1", "b/1", "c/1")


class RecordingStorage:
    """Storage in a directory; records what the writer thread reports."""

    def __init__(self, directory):
        self.written, self.failures = [], []
        self.storage = Storage(directory, lambda function, *args: function(*args), self.failures.append)

    def save(self, *batches):
        self.storage.start()
        for batch in batches:
            self.storage.save(batch, self.written.append)
        self.storage.stop()


def write_entries(directory, count=20):
    recording = RecordingStorage(directory)
    incarnation = recording.storage.open().incarnation
    entries = [Entry(1, EntryKind.DATA, b"entry %d" % n) for n in range(count)]
    snapshot = Snapshot(1, 1, Configuration(VOTERS), b"state")
    recording.save(
        WriteBatch(1, 1, "a/1", 2, entries[:9], snapshot, 1), WriteBatch(2, 3, "b/1", 6, entries[9:], None, 1)
    )
    assert recording.written == [1, 2] and not recording.failures
    return incarnation, entries[:4] + entries[9:]


def reopen(directory):
    recording = RecordingStorage(directory)
    try:
        return recording.storage.open()
    finally:
        recording.storage.close()


def fault_code(directory):
    with pytest.raises(StorageError) as raised:
        reopen(directory)
    return raised.value.code


def test_stored_state_is_read_back_completely(tmp_path):
    incarnation, entries = write_entries(tmp_path / "s")
    loaded = reopen(tmp_path / "s")
    assert (loaded.incarnation, loaded.term, loaded.voted_for) == (incarnation, 3, "b/1")
    assert loaded.entries == entries
    assert loaded.snapshot == Snapshot(1, 1, Configuration(VOTERS), b"state") and loaded.was_member


def test_each_changed_or_missing_record_is_detected_and_nothing_is_truncated(tmp_path):
    write_entries(tmp_path / "s")
    connection = sqlite3.connect(tmp_path / "s" / DATABASE_FILE)
    connection.execute("PRAGMA wal_checkpoint(TRUNCATE)")
    rows = [("entry", "at", index) for (index,) in connection.execute("SELECT at FROM entry")]
    rows += [("kept", "name", name) for (name,) in connection.execute("SELECT name FROM kept")]
    assert ("kept", "name", "identity") in rows
    for table, key, row_id in rows:
        ((value,),) = connection.execute(f"SELECT value FROM {table} WHERE {key} = ?", (row_id,)).fetchall()
        for damaged in (bytes([value[0] ^ 1]) + value[1:], value[:-1], None):
            if damaged is None:
                (stored_row,) = connection.execute(
                    f"SELECT * FROM {table} WHERE {key} = ?", (row_id,)
                ).fetchall()
                connection.execute(f"DELETE FROM {table} WHERE {key} = ?", (row_id,))
            else:
                connection.execute(f"UPDATE {table} SET value = ? WHERE {key} = ?", (damaged, row_id))
            connection.commit()
            # Without the identity record the directory looks as after an interrupted creation.
            incomplete = row_id == "identity" and damaged is None
            assert fault_code(tmp_path / "s") == ("lost" if incomplete else "spoilt"), (table, row_id)
            if damaged is None:
                connection.execute(f"INSERT INTO {table} VALUES (?, ?, ?)", stored_row)
            else:
                connection.execute(f"UPDATE {table} SET value = ? WHERE {key} = ?", (value, row_id))
            connection.commit()
    connection.close()
    assert len(reopen(tmp_path / "s").entries) == 15


def test_each_overwritten_page_is_detected(tmp_path):
    write_entries(tmp_path / "s")
    whole = (tmp_path / "s" / DATABASE_FILE).read_bytes()
    for page in range(0, len(whole), 4096):
        with open(tmp_path / "s" / DATABASE_FILE, "r+b") as file:
            file.write(whole)
            file.seek(page)
            file.write(b"\xff" * 4096)
        assert fault_code(tmp_path / "s") == "spoilt"


def test_a_copy_an_incomplete_a_locked_and_an_unwritable_directory_are_distinguished(tmp_path):
    write_entries(tmp_path / "s")
    shutil.copytree(tmp_path / "s", tmp_path / "old")
    shutil.rmtree(tmp_path / "s")
    shutil.move(tmp_path / "old", tmp_path / "s")
    assert fault_code(tmp_path / "s") == "older"
    for name in (MARKER_FILE, DATABASE_FILE, COUNTER_FILE):
        write_entries(tmp_path / name)
        (tmp_path / name / name).unlink()
        assert fault_code(tmp_path / name) == "lost"
    write_entries(tmp_path / "t")
    recording = RecordingStorage(tmp_path / "t")
    recording.storage.open()
    assert fault_code(tmp_path / "t") == "taken"
    recording.storage.close()
    reopen(tmp_path / "t")
    (tmp_path / "plain").write_text("")
    assert fault_code(tmp_path / "plain") == "unwritable"
    moved_to = RecordingStorage(tmp_path / "t").storage.set_aside("older")
    assert moved_to.is_dir() and not reopen(tmp_path / "t").was_member


def test_a_copy_is_detected_even_if_every_file_has_its_former_inode_number(tmp_path):
    # A restore in place: files removed and written again in the same order get the same inode numbers.
    for _ in range(10):
        write_entries(tmp_path / "s")
        files = sorted((tmp_path / "s").iterdir(), key=lambda file: file.stat().st_ino)
        contents = [(file, file.read_bytes()) for file in files]
        shutil.rmtree(tmp_path / "s")
        (tmp_path / "s").mkdir()
        for file, content in contents:
            file.write_bytes(content)
        assert fault_code(tmp_path / "s") == "older"
        shutil.rmtree(tmp_path / "s")


WRITER_SCRIPT = """
import os, sys
from pathlib import Path
from test_consensus_storage import VOTERS, Configuration, Entry, EntryKind, Snapshot, WriteBatch
from test_consensus_storage import RecordingStorage

recording = RecordingStorage(Path(sys.argv[1]))
recording.storage.open()
recording.storage.start()
first = WriteBatch(1, 1, "", 2, [], Snapshot(1, 1, Configuration(VOTERS)), 1)
recording.storage.save(first, recording.written.append)
for number in range(20):
    entry = Entry(1, EntryKind.DATA, b"x")
    batch = WriteBatch(number + 2, 1, "", number + 2, [entry], None, 1)
    recording.storage.save(batch, recording.written.append)
    while len(recording.written) < number + 2:
        pass
os._exit(0)
"""


def test_a_truncated_corrupt_or_stale_log_of_a_killed_process_is_never_opened_silently(tmp_path):
    # SQLite treats a damaged page as the end of its write-ahead log and reports no error.
    directory = tmp_path / "s"
    environ = os.environ | {"PYTHONPATH": os.pathsep.join([str(PACKAGE.parent), os.path.dirname(__file__)])}
    subprocess.run([sys.executable, "-c", WRITER_SCRIPT, str(directory)], check=True, env=environ)
    # SQLite moves its write-ahead log into the database file when the directory is opened.
    assert len(reopen(directory).entries) == 20
    shutil.rmtree(directory)
    subprocess.run([sys.executable, "-c", WRITER_SCRIPT, str(directory)], check=True, env=environ)
    log, database, counter = (
        directory / name for name in (DATABASE_FILE + "-wal", DATABASE_FILE, COUNTER_FILE)
    )
    originals = {path: path.read_bytes() for path in (log, database, counter)}

    def code_with(path, content):
        for other, original in originals.items():
            other.write_bytes(content if other is path else original)
        return fault_code(directory)

    content = originals[log]
    for position in range(32, len(content) - 4096, len(content) // 12):
        assert code_with(
            log, content[:position] + bytes([content[position] ^ 1]) + content[position + 1 :]
        ) in ("older", "spoilt"), position
        assert code_with(log, content[:position]) in ("older", "spoilt", "lost"), position
    assert code_with(log, b"") in ("older", "spoilt", "lost")
    assert code_with(counter, bytes(2 * COUNTER_SLOT_BYTES)) == "spoilt" == code_with(counter, b"")
    log.write_bytes(originals[log])
    torn = bytearray(originals[counter])
    torn[20 % 2 * COUNTER_SLOT_BYTES] ^= 1  # a torn write damages at most the older slot
    for path, original in originals.items():
        path.write_bytes(bytes(torn) if path is counter else original)
    assert len(reopen(directory).entries) == 20


def test_a_failed_write_is_final_and_later_batches_are_not_acknowledged(tmp_path):
    recording = RecordingStorage(tmp_path / "s")
    recording.storage.open()
    recording.storage.start()
    first_batch = WriteBatch(1, 1, "", 2, [Entry(1, EntryKind.DATA, b"x")], None, 1)
    recording.storage.save(first_batch, recording.written.append)
    while not recording.written:
        pass
    os.rename(tmp_path / "s", tmp_path / "gone")  # replaced by another directory while it is open
    RecordingStorage(tmp_path / "s").storage.open()
    for number in (2, 3):
        recording.storage.save(
            WriteBatch(number, 1, "", 3, [Entry(1, EntryKind.DATA, b"x")], None, 1), recording.written.append
        )
    recording.storage.stop()
    assert recording.written == [1] and len(recording.failures) == 1 and "replaced" in recording.failures[0]
