"""Agreement: schedules in virtual time, planted slips, the directory, the agreed state, real processes."""

import os
import shutil
import sqlite3
import subprocess
import sys
from concurrent.futures import ProcessPoolExecutor
from math import inf
from random import Random

import pytest
from test_rig import PACKAGE, ivy

from ivystack.consensus import core as real
from ivystack.consensus.core import Save
from ivystack.consensus.forms import (  # fmt: skip
    CONFIG,
    DATA,
    Append,
    Appended,
    Ask,
    Config,
    Entry,
    Install,
    Older,
    Snapshot,
)
from ivystack.consensus.machine import ANSWERS, CLIENTS, Machine, NewerError, Table
from ivystack.consensus.member import EACH, ENTRY, Member
from ivystack.consensus.planted import PLANTED, SCRIPTED
from ivystack.consensus.sim import found, mutant, played
from ivystack.consensus.store import FILE, MARK, SLOT, TAIL, Store, UnfitError
from ivystack.rig.check import agreed
from ivystack.rig.linear import Op

MS = 1000
VOTERS = ("a/1", "b/1", "c/1")


def test_three_hundred_schedules_with_every_fault_hold():
    with ProcessPoolExecutor() as pool:
        assert [told for told in pool.map(played, range(300), chunksize=10) if told] == []


def test_every_planted_slip_is_found():
    assert len(PLANTED) >= 12
    with ProcessPoolExecutor() as pool:
        finds = pool.map(found, PLANTED.values(), [range(400)] * len(PLANTED))
        seeds = dict(zip(PLANTED, finds, strict=True))
    assert [name for name, seed in seeds.items() if seed is None] == []


def test_schedules_are_played_from_the_command_line():
    code, told, _ = ivy("rig", "schedules", "--seed", "5", "--count", "16")
    assert code == 0 and told.startswith("HOLDS 16 schedules")
    assert ivy("rig", "schedules", "--count", "0")[0] == 2


# Schedules written out.


def member(module=real, ident="b/1", entries=(), config=Config(VOTERS), index=1, term=1, now=10_000 * MS):  # noqa: B008
    return module.Core(
        ident, now, Random(1), 50 * MS, 200 * MS, term=term, voted="", snapshot=Snapshot(index, term, config),
        entries=list(entries),
    )  # fmt: skip


def written(core, now=10_000 * MS):
    """What was said, once all is on disk."""
    said = []
    while True:
        out = core.take(now)
        said += out.messages
        if out.save is None:
            return said
        core.saved(out.save.number, now)


def vote_is_written(module):
    core = member(module)
    core.receive(10_000 * MS, "a/1", Ask(2, 0, 0))  # a shorter log: no vote, but the term rises
    assert not [m for _, m in written(core) if m.yes]
    core.receive(10_000 * MS, "c/1", Ask(2, 1, 1))
    out = core.take(10_000 * MS)
    assert out.save is not None and out.save.voted == "c/1" and not out.messages
    core.saved(out.save.number, 10_000 * MS)
    assert core.take(10_000 * MS).messages[0][1].yes


def configuration_goes_with_its_entry(module):
    core = member(module)
    new = Entry(1, CONFIG, real.packed(Config((*VOTERS, "d/1"))))
    core.receive(10_000 * MS, "a/1", Append(1, 1, 1, (new,), 1, 1))
    assert len(core.config.voters) == 4
    core.receive(10_000 * MS, "c/1", Append(2, 1, 1, (Entry(2, "n"),), 1, 1))
    assert core.config.voters == VOTERS


def older_snapshot_changes_nothing(module):
    entries = [Entry(1, DATA, b"%d" % n) for n in range(9)]
    core = member(module, entries=entries)
    core.receive(10_000 * MS, "a/1", Append(1, 10, 1, (), 10, 1))
    written(core)
    core.receive(10_000 * MS, "a/1", Install(1, Snapshot(5, 1, Config(VOTERS), b"old"), 2))
    assert core.take(10_000 * MS).restore is None and core.commit == core.applied == core.last() == 10


def snapshot_takes_the_place_of_a_log_that_does_not_fit(module):
    core = member(module, entries=[Entry(1, DATA, b"%d" % n) for n in range(9)])
    core.receive(10_000 * MS, "c/1", Install(3, Snapshot(5, 2, Config(VOTERS), b"new"), 1))
    assert core.last() == 5 and core.term_at(5) == 2


def term_before_the_log_stays(module):
    core = member(module, entries=[Entry(1, DATA, b"%d" % n) for n in range(300)])
    core.receive(10_000 * MS, "a/1", Append(2, 301, 1, (), 301, 1))
    written(core)
    core.compact(301, b"state")
    assert core.base == 301 - real.KEPT and core.term_at(core.base) == 1


SCRIPTS = {
    "a vote that is not written": vote_is_written,
    "keeps the configuration of entries that were cut": configuration_goes_with_its_entry,
    "a snapshot over entries that it does not cover": older_snapshot_changes_nothing,
    "a snapshot beside a log that does not fit it": snapshot_takes_the_place_of_a_log_that_does_not_fit,
    "another term for what lies before the log": term_before_the_log_stays,
}


@pytest.mark.parametrize("name", SCRIPTED)
def test_a_schedule_written_out_holds_and_shows_its_slip(name):
    SCRIPTS[name](real)
    with pytest.raises(AssertionError):
        SCRIPTS[name](mutant(*SCRIPTED[name]))


def leading():
    """A leader of three with both followers up to date."""
    core = member(ident="a/1")
    core.campaign(10_000 * MS, False)
    written(core)
    core.receive(10_000 * MS, "b/1", real.Vote(2, True))
    written(core)
    assert core.role == real.LEADER
    for one in ("b/1", "c/1"):
        core.receive(10_000 * MS, one, Appended(2, True, 2, core.round, 2))
    written(core)
    assert core.commit == 2
    return core


def test_a_follower_that_lost_what_it_acknowledged_is_told_and_votes_no_more():
    core = leading()
    core.tick(10_060 * MS)
    core.receive(10_060 * MS, "b/1", Appended(2, False, 0, core.round, 1))  # it had acknowledged entry 2
    assert ("b/1", Older(2)) in written(core, 10_060 * MS) and "b/1" not in core.peers
    old = member(ident="b/1", term=2)
    old.receive(10_000 * MS, "a/1", Append(2, 1, 1, (), 1, 1))
    old.receive(10_000 * MS, "a/1", Older(2))
    old.receive(10_000 * MS, "c/1", Ask(9, 9, 9))
    assert old.take(10_000 * MS).withdrawn and old.term == 2


def test_leadership_is_handed_on_at_once_and_nothing_new_is_taken_meanwhile():
    core = leading()
    assert core.hand_on(10_060 * MS) and core.propose(b"x") is None
    to, hand = written(core)[-1]
    other = member(ident=to, term=2, entries=[Entry(2, "n")])
    other.receive(10_100 * MS, "a/1", Append(2, 2, 2, (), 2, 1))  # it has a leader, and is asked all the same
    other.receive(10_100 * MS, "a/1", hand)
    asked = [m for _, m in written(other) if isinstance(m, Ask)]
    assert asked and all(m.handed and not m.pre for m in asked)
    core.receive(10_100 * MS, to, asked[0])
    assert core.role == real.FOLLOWER and core.voted == to


def test_a_member_that_was_cut_off_unseats_no_leader():
    core = leading()
    core.receive(10_050 * MS, "c/1", Ask(99, 9, 9, True))
    core.receive(10_050 * MS, "c/1", Ask(99, 9, 9))
    assert core.role == real.LEADER and core.term == 2


# The directory.


class Disk:
    """A store on a folder; what the thread reports is kept."""

    def __init__(self, folder):
        self.done, self.fault = [], []
        self.store = Store(folder, lambda call, *values: call(*values), self.fault.append)

    def save(self, *saves):
        self.store.start()
        for save in saves:
            self.store.save(save, self.done.append)
        self.store.stop()


def filled(folder, count=20):
    disk = Disk(folder)
    life = disk.store.open().life
    entries = [Entry(1, DATA, b"entry %d" % n) for n in range(count)]
    first = Snapshot(1, 1, Config(VOTERS), b"state")
    disk.save(Save(1, 1, "a/1", 2, entries[:9], first, 1), Save(2, 3, "b/1", 6, entries[9:], None, 1))
    assert disk.done == [1, 2] and not disk.fault
    return life, entries[:4] + entries[9:]


def opened(folder):
    disk = Disk(folder)
    try:
        return disk.store.open()
    finally:
        disk.store.close()


def code(folder):
    with pytest.raises(UnfitError) as fault:
        opened(folder)
    return fault.value.code


def test_what_was_written_is_read_again_whole(tmp_path):
    life, entries = filled(tmp_path / "s")
    loaded = opened(tmp_path / "s")
    assert (loaded.life, loaded.term, loaded.voted, loaded.entries) == (life, 3, "b/1", entries)
    assert loaded.snapshot == Snapshot(1, 1, Config(VOTERS), b"state") and loaded.begun


def test_each_record_that_is_changed_or_missing_is_found_and_nothing_is_cut_off(tmp_path):
    filled(tmp_path / "s")
    base = sqlite3.connect(tmp_path / "s" / FILE)
    base.execute("PRAGMA wal_checkpoint(TRUNCATE)")
    rows = [("entry", "at", at) for (at,) in base.execute("SELECT at FROM entry")]
    rows += [("kept", "name", name) for (name,) in base.execute("SELECT name FROM kept")]
    assert ("kept", "name", "identity") in rows
    for table, key, one in rows:
        ((value,),) = base.execute(f"SELECT value FROM {table} WHERE {key} = ?", (one,)).fetchall()
        for spoilt in (bytes([value[0] ^ 1]) + value[1:], value[:-1], None):
            if spoilt is None:
                (kept,) = base.execute(f"SELECT * FROM {table} WHERE {key} = ?", (one,)).fetchall()
                base.execute(f"DELETE FROM {table} WHERE {key} = ?", (one,))
            else:
                base.execute(f"UPDATE {table} SET value = ? WHERE {key} = ?", (spoilt, one))
            base.commit()
            lost = one == "identity" and spoilt is None  # as if it had not been made to its end
            assert code(tmp_path / "s") == ("lost" if lost else "spoilt"), (table, one)
            if spoilt is None:
                base.execute(f"INSERT INTO {table} VALUES (?, ?, ?)", kept)
            else:
                base.execute(f"UPDATE {table} SET value = ? WHERE {key} = ?", (value, one))
            base.commit()
    base.close()
    assert len(opened(tmp_path / "s").entries) == 15


def test_each_page_of_the_file_that_is_overwritten_is_found(tmp_path):
    filled(tmp_path / "s")
    whole = (tmp_path / "s" / FILE).read_bytes()
    for page in range(0, len(whole), 4096):
        with open(tmp_path / "s" / FILE, "r+b") as file:
            file.write(whole)
            file.seek(page)
            file.write(b"\xff" * 4096)
        assert code(tmp_path / "s") == "spoilt"


def test_a_copy_a_lost_part_a_taken_and_an_unwritable_directory_are_told_apart(tmp_path):
    filled(tmp_path / "s")
    shutil.copytree(tmp_path / "s", tmp_path / "old")
    shutil.rmtree(tmp_path / "s")
    shutil.move(tmp_path / "old", tmp_path / "s")
    assert code(tmp_path / "s") == "older"
    for name in (MARK, FILE, TAIL):
        filled(tmp_path / name)
        (tmp_path / name / name).unlink()
        assert code(tmp_path / name) == "lost"
    filled(tmp_path / "t")
    disk = Disk(tmp_path / "t")
    disk.store.open()
    assert code(tmp_path / "t") == "taken"
    disk.store.close()
    opened(tmp_path / "t")
    (tmp_path / "plain").write_text("")
    assert code(tmp_path / "plain") == "unwritable"
    aside = Disk(tmp_path / "t").store.put_aside("older")
    assert aside.is_dir() and not opened(tmp_path / "t").begun


def test_a_copy_is_found_where_every_file_has_its_old_inode_number_again(tmp_path):
    # Guards against a restore in place: taken away and written again in their order, files get the same.
    for _ in range(10):
        filled(tmp_path / "s")
        kept = sorted((tmp_path / "s").iterdir(), key=lambda file: file.stat().st_ino)
        texts = [(file, file.read_bytes()) for file in kept]
        shutil.rmtree(tmp_path / "s")
        (tmp_path / "s").mkdir()
        for file, text in texts:
            file.write_bytes(text)
        assert code(tmp_path / "s") == "older"
        shutil.rmtree(tmp_path / "s")


KILLED = """
import os, sys
from pathlib import Path
from test_consensus import DATA, VOTERS, Config, Disk, Entry, Save, Snapshot

disk = Disk(Path(sys.argv[1]))
disk.store.open()
disk.store.start()
disk.store.save(Save(1, 1, "", 2, [], Snapshot(1, 1, Config(VOTERS)), 1), disk.done.append)
for number in range(20):
    disk.store.save(Save(number + 2, 1, "", number + 2, [Entry(1, DATA, b"x")], None, 1), disk.done.append)
    while len(disk.done) < number + 2:
        pass
os._exit(0)
"""


def test_a_killed_members_log_that_is_cut_spoilt_or_older_is_never_opened_in_silence(tmp_path):
    # Guards what was acknowledged: at a spoilt page the library drops all that comes behind, without a word.
    whole = tmp_path / "s"
    environ = os.environ | {"PYTHONPATH": os.pathsep.join([str(PACKAGE.parent), os.path.dirname(__file__)])}
    subprocess.run([sys.executable, "-c", KILLED, str(whole)], check=True, env=environ)
    assert len(opened(whole).entries) == 20  # and the library has put its log into the file
    shutil.rmtree(whole)
    subprocess.run([sys.executable, "-c", KILLED, str(whole)], check=True, env=environ)
    log, file, tail = (whole / name for name in (FILE + "-wal", FILE, TAIL))
    kept = {path: path.read_bytes() for path in (log, file, tail)}

    def spoilt(path, text):
        for one, before in kept.items():
            one.write_bytes(text if one is path else before)
        return code(whole)

    text = kept[log]
    for at in range(32, len(text) - 4096, len(text) // 12):
        assert spoilt(log, text[:at] + bytes([text[at] ^ 1]) + text[at + 1 :]) in ("older", "spoilt"), at
        assert spoilt(log, text[:at]) in ("older", "spoilt", "lost"), at
    assert spoilt(log, b"") in ("older", "spoilt", "lost")
    assert spoilt(tail, bytes(2 * SLOT)) == "spoilt" == spoilt(tail, b"")
    log.write_bytes(kept[log])
    one = bytearray(kept[tail])
    one[20 % 2 * SLOT] ^= 1  # a torn write spoils the slot before the last commit's at most
    for path, before in kept.items():
        path.write_bytes(bytes(one) if path is tail else before)
    assert len(opened(whole).entries) == 20


def test_a_failed_write_is_final_and_what_came_behind_it_is_not_said_to_be_written(tmp_path):
    disk = Disk(tmp_path / "s")
    disk.store.open()
    disk.store.start()
    good = Save(1, 1, "", 2, [Entry(1, DATA, b"x")], None, 1)
    disk.store.save(good, disk.done.append)
    while not disk.done:
        pass
    os.rename(tmp_path / "s", tmp_path / "gone")  # taken away under it, and another put there
    Disk(tmp_path / "s").store.open()
    for number in (2, 3):
        disk.store.save(Save(number, 1, "", 3, [Entry(1, DATA, b"x")], None, 1), disk.done.append)
    disk.store.stop()
    assert disk.done == [1] and len(disk.fault) == 1 and "replaced" in disk.fault[0]


# The agreed state.


class Heard:
    """A mesh as far as a member needs one, with a link of one asker; keeps what is said."""

    incarnation = "0" * 16

    def __init__(self):
        self.handlers, self.counted, self.replies = {}, [], []
        self.current_link = type("Link", (), {"incarnation": "f" * 16})

    def count_drop(self, code, peer):
        self.counted.append(code)

    def reply(self, link, kind, body):
        self.replies.append(body)

    def send(self, *_):
        return True


def test_a_leader_makes_no_entry_that_could_not_be_passed_on_or_is_asked_in_anothers_name():
    # Guards the group: an entry beyond a message's bound reaches no follower, nor do beats with it; a session
    # that anybody could use up would let a command be done twice.
    heard = Heard()
    made = Member(None, None, lambda: 10_060 * MS, Random(1), "a", ["a"], None, heard, Machine(), MS, MS)
    made.core, made.act = leading(), lambda: None
    me, last = f"z/{'f' * 16}", made.core.last()
    for number, what in enumerate((
        [me, 1, "table", "set", ["k", bytes(ENTRY), None]], [me, 1, "table", "unheard", []],
        [me, 1, "none", "set", []], ["z/1", 1, "table", "set", ["k", b"", None]],
        ["y/" + "f" * 16, 1, "table", "set", ["k", b"", None]], [me, "1", "table", "set", []],
    )):  # fmt: skip
        made.asked("z", (number, "do", what))
        assert heard.replies[-1] == (number, True, None) and made.core.last() == last
    assert heard.counted == ["not-allowed"] * 6
    made.asked("z", (9, "do", [me, 1, "table", "set", ["k", bytes(16_000), None]]))
    assert made.core.last() == last + 1 and len(heard.replies) == 6
    for number in range(2 * EACH):
        made.asked("z", (number, "look", ["table", "get", ["k"]]))
    assert len(made.reading) == EACH - 1 and heard.replies[-1][1] is False


def test_a_command_that_comes_twice_is_done_once_and_a_snapshot_keeps_that():
    machine = Machine()

    def do(client, number, *args):
        return machine.apply(real.packed([client, number, "table", "set", list(args)]))

    assert do("x", 1, "a", b"1", None) == [True, 1] == do("x", 1, "a", b"1", None)
    other = Machine()
    other.load(machine.dump())
    machine = other
    assert do("x", 1, "a", b"1", None) == [True, 1] and machine.look("table", "get", ["a"]) == [b"1", 1]
    for number in range(2, 2 + ANSWERS):
        do("x", number, "a", b"%d" % number, None)
    version = machine.look("table", "get", ["a"])[1]
    assert do("x", 1, "a", b"late", None) is None and machine.look("table", "get", ["a"])[1] == version
    for number in range(2 * CLIENTS):
        do(f"c{number}", 1, "b", b"1", 0)
    assert len(machine.answers) == CLIENTS and len(machine.dump()) < 200_000


def test_the_table_is_bounded_and_an_entry_that_is_not_known_stops_it():
    table = Table()
    assert table.do("set", ["k", bytes(Table.VALUE + 1), None]) == [False, 0]
    assert sum(table.do("set", [f"k{n}", bytes(1000), None])[0] for n in range(1000)) <= 66
    assert table.do("set", ["k0", b"", None]) == [True, 0] and table.look("get", ["k0"]) == [b"", 0]
    machine = Machine()
    for what in (["x", 1, "nothing", "set", []], ["x", 1, "table", "unheard", []], 5):
        with pytest.raises(NewerError):
            machine.apply(real.packed(what))
    for args in ([1, 2], [], [{}]):
        assert machine.apply(real.packed([f"x{args}", 1, "table", "set", args])) is None
    assert machine.knows(["x/1", 1, "table", "set", []])
    for what in ([], ["x", 1, "table", "set"], ["x", 1, None, "set", []], ["x", 1, "table", "none", []],
                 ["x", "1", "table", "set", []], [5, 1, "table", "set", []], ["x", 1, "table", {}, []],
                 ["x", 1, [], "set", []]):  # fmt: skip
        assert not machine.knows(what)


def test_a_history_that_no_order_explains_is_found_also_behind_many_good_ones():
    good, at, version = [], 0, 0
    for number in range(200):
        version += 1
        good.append(("k", Op(at, at + 5, ("set", b"%d" % number, None), [True, version])))
        good.append(("k", Op(at + 6, at + 7, ("get",), [b"%d" % number, version])))
        at += 10
    assert agreed(good) == []
    stale = ("k", Op(at, at + 1, ("get",), [b"198", 199]))
    lost = ("k", Op(at, inf, ("set", b"x", None)))
    assert [b.rule for b in agreed([*good, stale])] == ["linearizable"]
    assert agreed([*good, lost]) == []
    both = [("k", Op(at, at + 2, ("set", value, 200), [True, 201])) for value in (b"y", b"z")]
    assert [b.rule for b in agreed([*good, *both])] == ["linearizable"]


def playing(name, *words):
    return subprocess.Popen(
        [sys.executable, "-B", "-m", "ivystack", "rig", "play", name, "--quiet", *words],
        stdout=subprocess.PIPE, stderr=subprocess.STDOUT, text=True,
        env=os.environ | {"PYTHONPATH": str(PACKAGE.parent)},
    )  # fmt: skip


def test_real_groups_go_on_through_dead_leaders_lost_disks_and_changed_members():
    scenes = [("leader-killed", "--seconds", "10"), ("majority-lost",), ("disk-lost",), ("members-changed",)]
    told = {scene[0]: process.communicate(timeout=120)[0] for scene, process in
            [(scene, playing(*scene)) for scene in scenes]}  # fmt: skip
    assert [text for text in told.values() if not text.startswith("HOLDS")] == []
