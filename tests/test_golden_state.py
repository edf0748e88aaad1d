"""What earlier versions have stored and sent, byte for byte: the recorded data in tests/data is held to.

`python tests/test_golden_state.py FOLDER` records it again; do so only on code whose formats are wanted.
Names of the package are used by the adapters alone, in the first part of this file.
"""

import json
import queue
import shutil
import sqlite3
import sys
from contextlib import closing
from hashlib import blake2b
from pathlib import Path
from random import Random

import msgspec
import pytest
from twisted.internet.testing import MemoryReactorClock, StringTransport

DATA = Path(__file__).parent / "data"
MEMBER = "member"  # the folder of the consensus member's directory
NONCES = bytes(range(16)), bytes(range(16, 32))  # the caller's, the called one's
LIVES = "0123456789abcdef", "fedcba9876543210"
MESH_KEY = bytes(range(100, 132))
LIFE = "0a1b2c3d"  # of the consensus member
pack = msgspec.msgpack.encode


# --- Adapters: all uses of the package's own names ---


def consensus_record(kind, *values):
    """An entry, a snapshot or a list of members; values in the order on the wire, fields by name, so that
    fields that change places are seen."""
    from ivystack.consensus import messages

    kinds = {
        "entry": (messages.Entry, "term kind data"),
        "snapshot": (messages.Snapshot, "index term configuration data"),
        "members": (messages.Configuration, "voters learners"),
    }
    made, names = kinds[kind]
    return made(**dict(zip(names.split(), values, strict=False)))


def consensus_message(kind, *values):
    """A message by the letter that it has on the wire; values as above."""
    from ivystack.consensus import messages

    kinds = {
        "v": (messages.RequestVote, "term last_log_index last_log_term pre_vote leadership_transfer"),
        "V": (messages.VoteReply, "term granted pre_vote"),
        "a": (
            messages.AppendEntries,
            "term prev_log_index prev_log_term entries leader_commit round",
        ),
        "A": (messages.AppendEntriesReply, "term success match_index round last_log_index"),
        "s": (messages.InstallSnapshot, "term snapshot round"),
        "h": (messages.TimeoutNow, "term"),
        "o": (messages.DataLossDetected, "term"),
    }
    made, names = kinds[kind]
    return made(**dict(zip(names.split(), values, strict=False)))


def encode_consensus(what):
    from ivystack.consensus.messages import encode

    return encode(what)


def decode_consensus(data):
    """A message as it arrives: any of them, told apart by its letter."""
    from ivystack.consensus.messages import Message

    return msgspec.msgpack.decode(data, type=Message)


def consensus_letters():
    """The letters of all messages that there are."""
    from ivystack.consensus.messages import Message

    return {kind.__struct_config__.tag for kind in Message.__args__}


def write_member(folder, saves):
    """Makes a member's directory in an empty folder by these writes, each in a commit of its own."""
    from ivystack.consensus.records import WriteBatch
    from ivystack.consensus.storage import Storage

    done, failed = queue.SimpleQueue(), []
    store = Storage(folder, lambda call, *values: call(*values), failed.append)
    store.open()
    store.start()
    new_names = {"voted": "voted_for", "first": "first_index", "kept_from": "retained_from"}
    for save in saves:
        batch = WriteBatch(**{new_names.get(name, name): value for name, value in save.items()})
        store.save(batch, done.put)
        assert done.get(timeout=20) == save["number"]
    store.stop()
    assert not failed


def read_member(folder):
    """What the store finds in a directory, as plain data; ValueError with its code where it takes none."""
    from ivystack.consensus.errors import StorageError
    from ivystack.consensus.storage import Storage

    store = Storage(folder, lambda call, *values: call(*values), None)
    try:
        found = store.open()
    except StorageError as fault:
        raise ValueError(fault.code) from None
    finally:
        store.close()
    return {
        "life": found.incarnation, "term": found.term, "voted": found.voted_for, "begun": found.was_member,
        "snapshot": plain(found.snapshot), "entries": plain(found.entries),
    }  # fmt: skip


def agreed_state(snapshot, commands):
    """What commands answer after a snapshot of the agreed state (empty: the beginning), and its snapshot."""
    from ivystack.consensus.state_machine import StateMachine
    from ivystack.duties.lease_table import LeaseTable

    machine = StateMachine(duty=LeaseTable())
    machine.load(snapshot)
    answers = [machine.apply(command) for command in commands]
    return answers, machine.dump()


def mesh_pair(heard):
    """Both ends of a connection, not yet begun, caller first; `heard(end, kind, body)` is told messages."""
    from ivystack.mesh.keys import KeyRing
    from ivystack.mesh.mesh import AcceptFactory, DialFactory, Mesh
    from ivystack.net.deadlines import DeadlineQueue

    clock = MemoryReactorClock()
    clock.advance(1000)
    members = {"a": ("127.0.0.1", 1), "b": ("127.0.0.2", 2)}
    meshes = []
    for name, life in zip(members, LIVES, strict=True):

        def now():
            return round(clock.seconds() * 1_000_000)

        mesh = Mesh(
            clock,
            DeadlineQueue(clock, now),
            now,
            Random(1),
            name,
            KeyRing({"k1": MESH_KEY}),
            512,
            members,
            None,
        )
        mesh.incarnation = life
        for kind in mesh_bodies():
            mesh.handlers[kind] = lambda peer, body, name=name, kind=kind: heard(name, kind, body)
        meshes.append(mesh)
    caller = DialFactory(meshes[0], "b").buildProtocol(None)
    called = AcceptFactory(meshes[1]).buildProtocol(type("Address", (), {"host": "127.0.0.1"}))
    for link, nonce, host in zip((caller, called), NONCES, ("127.0.0.2", "127.0.0.1"), strict=True):
        link.own_nonce = nonce
        link.wire = Wire(host)
    return caller, called


def mesh_write(link, kind, body):
    """Says it on this very connection; an empty kind is the beat."""
    link.send(kind, body)


def old_process():
    """A proxy with something to tell the next process."""
    from helpers import S, make_entries, make_proxy

    from ivystack.model import FailureState

    made = make_proxy(5)
    now, nodes = made.now(), made.balancer.servers
    made.endpoints.update(make_entries(1, "DRAINING"), False)
    made.endpoints.update([make_entries(3, "DELETED")[2]], False)
    nodes["n1"].health.consecutive_failures, nodes["n1"].health.next_probe_at, nodes["n1"].health.probes = (
        3,
        now + S,
        2,
    )
    nodes["n1"].health.connection_failed = True
    nodes["n3"].concurrency_limit, nodes["n3"].admitted_share, nodes["n3"].started_at = 2.5, 0.4, now - 7000
    read, pay = (made.settings.request_classes[name] for name in ("read", "pay"))
    read.attempt_times.extend([5, 6, 7])
    nodes["n3"].class_failures[read] = FailureState(consecutive_failures=2, next_probe_at=now + S)
    nodes["n4"].class_failures[pay] = FailureState(
        consecutive_failures=1, connection_failed=True, next_probe_at=now + 2 * S, probes=3
    )
    made.balancer.limiter.common_share = 0.5
    made.endpoint_watch.generation = 41
    return made


def new_process(folder):
    """A proxy that has just begun and asks at the socket that it finds; the end that it listens with."""
    from helpers import make_proxy, make_process_configuration

    run = make_process_configuration()
    run.inherited_descriptor, run.restart_folder = 3, str(folder)
    made = make_proxy(0, run=run)
    made.endpoint_watch.request_watch = made.open_sockets = lambda: None
    (folder / f"{made.hot_restart.tag}-1.sock").write_text("")
    made.start()
    path, factory = made.reactor.unixClients[-1][:2]
    assert Path(path).parent == folder
    end = factory.buildProtocol(None)
    end.makeConnection(StringTransport())
    return made, end


def socket_name(made):
    """The name of a process's socket, up to the process's number."""
    return made.hot_restart.tag


def hot_restart_answer(made):
    """All that a process writes to one that has connected to its socket."""
    from ivystack.net.hot_restart import StateServerFactory

    end = StateServerFactory(made.hot_restart).buildProtocol(None)
    end.makeConnection(StringTransport())
    return end.transport.value()


def node_states(made):
    from ivystack.model import ServerState

    words = {ServerState.READY: "ready", ServerState.DRAINING: "leaving", ServerState.GONE: "left"}
    return {name: words[server.state] for name, server in made.balancer.servers.items()}


def node(name, is_placeholder=False):
    from ivystack.model import Server

    return Server(name, is_placeholder=is_placeholder)


def gossip_outcomes(endings):
    from ivystack.balancing.gossip_codec import encode_outcomes

    return encode_outcomes(endings)


def read_gossip_outcomes(data):
    from ivystack.balancing.gossip_codec import decode_outcomes

    return [(server_hash, int(outcome)) for server_hash, outcome in decode_outcomes(data)]


def gossip_question(number):
    from ivystack.balancing.gossip_codec import encode_order_request

    return encode_order_request(number)


def read_gossip_question(data):
    from ivystack.balancing.gossip_codec import decode_order_request

    return decode_order_request(data)


def gossip_order(slots):
    from ivystack.balancing.gossip_codec import encode_slot_order

    return encode_slot_order(slots)


def read_gossip_order(parts):
    """The marks after each part."""
    from ivystack.balancing.gossip_codec import decode_slot_order_part

    known = {}
    return [decode_slot_order_part(part, known) for part in parts]


# --- What is recorded ---


class Wire(StringTransport):
    """Keeps what is written; its other side is at a given address."""

    def __init__(self, host):
        super().__init__()
        self.host = host

    def getPeer(self):  # noqa: N802
        return type("Address", (), {"host": self.host})

    def setTcpNoDelay(self, on):  # noqa: N802
        pass

    def took(self):
        text = self.value()
        self.clear()
        return text


def plain(what):
    """As JSON can hold it: bytes become {"hex": ...}, tuples lists."""
    if isinstance(what, bytes):
        return {"hex": what.hex()}
    if isinstance(what, list | tuple):
        return [plain(one) for one in what]
    if isinstance(what, dict):
        return {key: plain(one) for key, one in what.items()}
    if isinstance(what, msgspec.Struct):
        return plain(msgspec.to_builtins(what, builtin_types=(bytes,)))
    return what


def recorded(name):
    return json.loads((DATA / f"{name}.json").read_text())


def commands():
    """Entries' data: client, number, part, name and arguments of a command; the last is a repeat."""
    rows = [
        ("a/1", 1, "table", "set", ["k0", b"one", None]),
        ("a/1", 2, "duty", "take", ["slot-order", "a/0123456789abcdef"]),
        ("a/1", 3, "duty", "put", ["slot-order", 1, b"\x00\x01\x02\xfd\xfe\xff"]),
        ("a/1", 4, "table", "set", ["none", b"", None]),
        ("b/2", 1, "table", "set", ["k0", b"two", 1]),
        ("a/1", 5, "duty", "free", ["slot-order", 1]),
        ("b/2", 2, "table", "set", ["k0", b"refused", 7]),
        ("b/2", 3, "duty", "take", ["slot-order", "b/fedcba9876543210"]),
        ("b/2", 3, "duty", "take", ["slot-order", "b/fedcba9876543210"]),
    ]
    return [pack(row) for row in rows]


def member_writes():
    """Entries, a tail that is replaced, a later snapshot with entries kept before it, and votes."""
    data = [consensus_record("entry", 1, "d", text) for text in commands()]
    later = [consensus_record("entry", 3, "d", text) for text in commands()[4:]]
    first = consensus_record("snapshot", 1, 1, consensus_record("members", ("a/1", "b/1", "c/1"), ()), b"")
    members = consensus_record("members", ("a/1", "b/1"), ("d/4",))
    after = consensus_record("snapshot", 4, 1, members, agreed_state(b"", commands()[:3])[1])
    change = [consensus_record("entry", 4, "c", pack(members)), consensus_record("entry", 4, "n")]
    names = "number", "term", "voted", "first", "entries", "snapshot", "kept_from"
    rows = [
        (1, 1, "a/1", 2, data[:9], first, 1),
        (2, 3, "b/1", 6, later, None, 1),
        (3, 4, "c/3", 11, change, after, 3),
    ]
    return [dict(zip(names, row, strict=True)) for row in rows]


def messages():
    """One of each message at least, with empty and full fields."""
    members = consensus_record("members", ("a/1", "b/1"), ("c/2",))
    entries = (
        consensus_record("entry", 2, "d", b"\x00data\xff"),
        consensus_record("entry", 3, "c", pack(members)),
        consensus_record("entry", 3, "n"),
    )
    snapshot = consensus_record("snapshot", 70_000, 3, members, b"state" * 3)
    return {
        "vote asked for": consensus_message("v", 3, 300, 2),
        "vote asked for before an election": consensus_message("v", 3, 300, 2, True, False),
        "vote asked for by a leader's wish": consensus_message("v", 3, 300, 2, False, True),
        "vote": consensus_message("V", 3, True),
        "vote before an election": consensus_message("V", 3, False, True),
        "entries": consensus_message("a", 3, 300, 2, entries, 299, 1 << 40),
        "beat of the leader": consensus_message("a", 3, 0, 0, (), 0, 1),
        "entries taken": consensus_message("A", 3, True, 303, 7, 303),
        "entries not taken": consensus_message("A", 3, False, 12, 7, 290),
        "snapshot": consensus_message("s", 3, snapshot, 9),
        "election wanted": consensus_message("h", 3),
        "older than was acknowledged": consensus_message("o", 3),
    }


def mesh_bodies():
    """One body for each kind of message between proxies; the empty kind is the beat."""
    return {
        "": None,
        "raft": ("a/1", "b/1", messages()["entries"]),
        "knock": ("a/1", True),
        "ask": (7, "do", ["a/0123456789abcdef", 7, "table", "set", ["key", b"\x00value", None]]),
        "answer": (7, True, [True, 1]),
        "duty": (3, 12, {"trials": ["a/0123456789abcdef", 1, 0]}),
        "down": ["n1", "n2"],
        "looked": (1, {"n1": True, "n2": False}),
    }


def mesh_steps():
    """A connection from its greetings on: each step's writer, bytes, and what the other end hears."""
    heard = []
    ends = dict(zip("ab", mesh_pair(lambda *one: heard.append(one)), strict=True))
    steps = []
    ends["b"].makeConnection(ends["b"].wire)
    ends["a"].makeConnection(ends["a"].wire)

    def carry(name, writer):
        data = ends[writer].wire.took()
        ends["b" if writer == "a" else "a"].dataReceived(data)
        steps.append({"step": name, "from": writer, "bytes": data.hex(), "heard": plain(heard)})
        heard.clear()

    carry("greeting of the caller", "a")
    carry("greeting of the called", "b")
    carry("first signed message", "a")
    for writer in "ab":
        for kind, body in mesh_bodies().items():
            mesh_write(ends[writer], kind, body)
            carry(kind or "beat", writer)
    return steps


def slots(count):
    return [*(node(f"n{at:02}") for at in range(count - 1)), node("0a0b0c", is_placeholder=True)][:count]


ORDERS = 0, 3, 80, 81, 161  # nodes; the last part of 81 would be as long as outcomes are, and is made longer


def gossip():
    ended = [(node("n00"), 0), (node("n01"), 1), (node("0a0b0c", is_placeholder=True), 2), (node("näme"), 1)]
    data = {"outcomes": gossip_outcomes(ended), "no outcomes": gossip_outcomes([])}
    read = {name: plain(read_gossip_outcomes(text)) for name, text in data.items()}
    orders = {str(count): gossip_order(slots(count)) for count in ORDERS}
    return {
        "outcomes": {name: {"bytes": data[name].hex(), "read": read[name]} for name in data},
        "questions": {str(number): gossip_question(number).hex() for number in (0, 7, 65_535)},
        "orders": {
            count: {"parts": [one.hex() for one in parts], "read": plain(read_gossip_order(parts))}
            for count, parts in orders.items()
        },
    }


def imported(folder, line):
    """What a new process knows once it was told this, by what it would tell the next one."""
    made, end = new_process(folder)
    end.dataReceived(line)
    return {"told again": sorted_nodes(hot_restart_answer(made)), "states": node_states(made)}


def sorted_nodes(line):
    """The line with nodes by name: they are written in an order of chance."""
    assert line.endswith(b"\r\n") and line.count(b"\r\n") == 1
    what = json.loads(line)
    assert compact(what) == line.decode()  # no byte but that order is lost here
    what["nodes"] = dict(sorted(what["nodes"].items()))
    return compact(what)


def compact(what):
    return json.dumps(what, separators=(",", ":"), ensure_ascii=False) + "\r\n"


def seal(kind, value):
    """A stored record's digest."""
    return blake2b(value, key=kind.encode(), digest_size=16).digest()


def identity(folder):
    """The record that ties a directory to its place: version, life, the marker's inode and change time."""
    with closing(sqlite3.connect(folder / "agreed.sqlite")) as base:
        value, sealed = base.execute("SELECT value, digest FROM kept WHERE name = 'identity'").fetchone()
    assert sealed == seal("identity", value)
    return msgspec.msgpack.decode(value)


def settle(folder, life=None):
    """Ties a copied directory to its new place, as the program never does."""
    version, former, _, _ = identity(folder)
    about = (folder / "identity").stat()
    value = pack((version, life or former, about.st_ino, about.st_ctime_ns))
    with closing(sqlite3.connect(folder / "agreed.sqlite")) as base:
        with base:
            row = value, seal("identity", value)
            base.execute("UPDATE kept SET value = ?, digest = ? WHERE name = 'identity'", row)


def content(folder):
    """A directory's bytes, but for the record that is tied to its place and the library's own pages."""
    with closing(sqlite3.connect(folder / "agreed.sqlite")) as base:
        rows = {
            "tables": "SELECT name, sql FROM sqlite_master WHERE sql IS NOT NULL ORDER BY name",
            "kept": "SELECT name, value, digest FROM kept WHERE name != 'identity' ORDER BY name",
            "entry": "SELECT at, value, digest FROM entry ORDER BY at",
            "mode": "PRAGMA journal_mode",
        }
        found = {name: base.execute(text).fetchall() for name, text in rows.items()}
    files = sorted(one.name for one in folder.iterdir())
    return plain(
        found | {"files": files} | {one: (folder / one).read_bytes() for one in ("tail", "identity")}
    )


@pytest.fixture
def member(tmp_path):
    """A copy of the recorded directory, tied to its new place."""
    folder = tmp_path / "copy"
    shutil.copytree(DATA / MEMBER, folder)
    settle(folder)
    return folder


def record(folder):
    """Writes all the data anew into a folder, from the code as it is."""
    folder.mkdir(parents=True, exist_ok=True)

    def keep(name, what):
        (folder / f"{name}.json").write_text(json.dumps(what, indent=1, ensure_ascii=False) + "\n")

    directory, work = folder / MEMBER, folder / "work"
    for old in (directory, work):
        shutil.rmtree(old, ignore_errors=True)
    write_member(directory, member_writes())
    settle(directory, LIFE)
    found = read_member(directory)
    later = [bytes.fromhex(data["hex"]) for _, kind, data in found["entries"] if kind == "d"]
    answers, state = agreed_state(bytes.fromhex(found["snapshot"][3]["hex"]), later)
    keep("member", {"read": found, "answers": answers, "state": state.hex()})
    made = {name: (encode_consensus(what), plain(what)) for name, what in messages().items()}
    keep("consensus", {name: {"bytes": data.hex(), "value": value} for name, (data, value) in made.items()})
    keep("mesh", mesh_steps())
    keep("gossip", gossip())
    work.mkdir()
    answer = hot_restart_answer(old_process())
    name = socket_name(old_process())
    keep("handover", {"socket": name, "answer": sorted_nodes(answer), "imported": imported(work, answer)})
    shutil.rmtree(work)


# --- Tests ---


def test_a_recorded_member_directory_is_read_whole(member):
    assert read_member(member) == recorded("member")["read"]
    assert read_member(member)["life"] == LIFE
    assert content(member) == content_of_record(member.parent)  # reading has changed nothing


def content_of_record(folder):
    shutil.copytree(DATA / MEMBER, folder / "untouched")
    return content(folder / "untouched")


def test_a_recorded_member_directory_in_another_place_is_taken_for_a_copy(tmp_path):
    shutil.copytree(DATA / MEMBER, tmp_path / "copy")
    with pytest.raises(ValueError, match="^older$"):
        read_member(tmp_path / "copy")


def test_the_same_writes_make_the_same_member_directory(tmp_path):
    # The identity record holds a random life, an inode and a time, and the pages depend on the library: so
    # all other records with their digests, the tables' text and the other files are compared.
    write_member(tmp_path / "new", member_writes())
    assert content(tmp_path / "new") == content_of_record(tmp_path)
    version, life, inode, changed = identity(tmp_path / "new")
    about = (tmp_path / "new" / "identity").stat()
    assert (version, len(life), inode, changed) == (1, 8, about.st_ino, about.st_ctime_ns)


def test_recorded_entries_after_the_recorded_snapshot_lead_to_the_recorded_state():
    known = recorded("member")
    found = known["read"]
    later = [bytes.fromhex(data["hex"]) for _, kind, data in found["entries"] if kind == "d"]
    answers, state = agreed_state(bytes.fromhex(found["snapshot"][3]["hex"]), later)
    assert answers == known["answers"] and state.hex() == known["state"]


def test_consensus_messages_are_written_and_read_as_recorded():
    known, made = recorded("consensus"), messages()
    assert {*known} == {*made}
    assert {one["value"][0] for one in known.values()} == consensus_letters()
    for name, one in known.items():
        data = bytes.fromhex(one["bytes"])
        assert encode_consensus(made[name]) == data, name
        assert decode_consensus(data) == made[name], name
        assert plain(decode_consensus(data)) == one["value"], name
        assert encode_consensus(decode_consensus(data)) == data, name


def test_frames_between_proxies_are_written_as_recorded():
    known = recorded("mesh")
    for ours, theirs in zip(mesh_steps(), known, strict=True):
        assert ours == theirs
    assert {step["step"] for step in known if step["from"] == "a"} >= {*mesh_bodies()} - {""} | {"beat"}


@pytest.mark.parametrize("reader", ["a", "b"])
def test_recorded_frames_are_heard_from_their_bytes_alone(reader):
    heard = []
    ends = mesh_pair(lambda *one: heard.append(one))
    end = ends["ab".index(reader)]
    end.makeConnection(end.wire)
    steps = [step for step in recorded("mesh") if step["from"] != reader]
    for byte in bytes.fromhex("".join(step["bytes"] for step in steps)):
        end.dataReceived(bytes([byte]))
    assert plain(heard) == [one for step in steps for one in step["heard"]]
    assert len(heard) == len(mesh_bodies()) - 1 and not end.wire.disconnecting


def test_a_recorded_frame_with_one_bit_changed_is_not_heard():
    steps = [step for step in recorded("mesh") if step["from"] == "a"]
    for at, step in enumerate(steps):
        heard = []
        end = mesh_pair(lambda *one, heard=heard: heard.append(one))[1]
        end.makeConnection(end.wire)
        for before in steps[:at]:
            end.dataReceived(bytes.fromhex(before["bytes"]))
        count, data = len(heard), bytearray.fromhex(step["bytes"])
        data[-1] ^= 1
        end.dataReceived(bytes(data))
        assert len(heard) == count and end.wire.disconnected, step["step"]


def test_the_old_process_answers_as_recorded():
    known = recorded("handover")
    made = old_process()
    assert sorted_nodes(hot_restart_answer(made)) == known["answer"]
    assert socket_name(made) == known["socket"]


def test_a_new_process_takes_the_recorded_answer(tmp_path):
    known = recorded("handover")
    made, end = new_process(tmp_path)
    assert socket_name(made) == known["socket"]
    assert end.transport.value() == b""  # the question is the connection itself
    assert imported(tmp_path, known["answer"].encode()) == known["imported"]
    other = known["answer"].replace('{"v":1,', '{"v":2,')
    assert other != known["answer"]
    nothing = imported(tmp_path, other.encode())
    assert nothing["states"] == {} and json.loads(nothing["told again"])["slots"] == []


def test_gossip_is_written_and_read_as_recorded():
    known = recorded("gossip")
    assert gossip() == known
    for one in known["outcomes"].values():
        assert plain(read_gossip_outcomes(bytes.fromhex(one["bytes"]))) == one["read"]
    for number, data in known["questions"].items():
        assert read_gossip_question(bytes.fromhex(data)) == int(number)
        assert gossip_question(int(number)).hex() == data
    for count, one in known["orders"].items():
        parts = [bytes.fromhex(part) for part in one["parts"]]
        assert plain(read_gossip_order(parts)) == one["read"]
        assert gossip_order(slots(int(count))) == parts
        assert all(len(part) <= 256 and read_gossip_question(part) is None for part in parts)
        assert all(len(part) % 4 for part in parts)  # how an order is told from outcomes


if __name__ == "__main__":
    sys.path[:0] = [str(Path(__file__).parent), str(Path(__file__).parent.parent)]
    record(Path(sys.argv[1]) if len(sys.argv) > 1 else DATA)
