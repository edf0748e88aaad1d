"""Stored and sent bytes are compared with recordings of earlier versions in tests/data.

`python tests/test_golden_state.py FOLDER` records the data again.  Do so only with code whose formats are
intended.  Only the adapters in the first part of this file use names of the package.
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
MEMBER = "member"  # the name of the consensus member's directory
NONCES = bytes(range(16)), bytes(range(16, 32))  # of the connecting and of the accepting side
INCARNATIONS = "0123456789abcdef", "fedcba9876543210"
MESH_KEY = bytes(range(100, 132))
MEMBER_INCARNATION = "0a1b2c3d"  # of the consensus member
pack = msgspec.msgpack.encode


# --- Adapters: all uses of the package's own names ---


def consensus_record(kind, *values):
    """Return an entry, a snapshot or a configuration.

    The values are in wire order and are assigned to fields by name, so that a reordered field is detected.
    """
    from ivystack.consensus import messages

    kinds = {
        "entry": (messages.Entry, "term kind data"),
        "snapshot": (messages.Snapshot, "index term configuration data"),
        "members": (messages.Configuration, "voters learners"),
    }
    record_type, names = kinds[kind]
    return record_type(**dict(zip(names.split(), values, strict=False)))


def consensus_message(kind, *values):
    """Return a message by its tag on the wire; the values are those of `consensus_record`."""
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
    message_type, names = kinds[kind]
    return message_type(**dict(zip(names.split(), values, strict=False)))


def encode_consensus(message):
    from ivystack.consensus.messages import encode

    return encode(message)


def decode_consensus(data):
    """Decode a message of any type, which its tag determines."""
    from ivystack.consensus.messages import Message

    return msgspec.msgpack.decode(data, type=Message)


def consensus_tags():
    """Return the tags of all message types."""
    from ivystack.consensus.messages import Message

    return {kind.__struct_config__.tag for kind in Message.__args__}


def write_member(folder, writes):
    """Create a member's directory in an empty folder; each write is committed separately."""
    from ivystack.consensus.records import WriteBatch
    from ivystack.consensus.storage import Storage

    done, failed = queue.SimpleQueue(), []
    storage = Storage(folder, lambda call, *values: call(*values), failed.append)
    storage.open()
    storage.start()
    new_names = {"voted": "voted_for", "first": "first_index", "kept_from": "retained_from"}
    for write in writes:
        batch = WriteBatch(**{new_names.get(name, name): value for name, value in write.items()})
        storage.save(batch, done.put)
        assert done.get(timeout=20) == write["number"]
    storage.stop()
    assert not failed


def read_member(folder):
    """Return what the storage reads, as JSON; raise ValueError with its code for a rejected directory."""
    from ivystack.consensus.errors import StorageError
    from ivystack.consensus.storage import Storage

    storage = Storage(folder, lambda call, *values: call(*values), None)
    try:
        found = storage.open()
    except StorageError as error:
        raise ValueError(error.code) from None
    finally:
        storage.close()
    return {
        "life": found.incarnation, "term": found.term, "voted": found.voted_for, "begun": found.was_member,
        "snapshot": to_json(found.snapshot), "entries": to_json(found.entries),
    }  # fmt: skip


def apply_commands(snapshot, commands):
    """Apply commands to a snapshot (empty: the initial state); return the results and the new snapshot."""
    from ivystack.consensus.state_machine import StateMachine
    from ivystack.duties.lease_table import LeaseTable

    machine = StateMachine(duty=LeaseTable())
    machine.load(snapshot)
    answers = [machine.apply(command) for command in commands]
    return answers, machine.dump()


def mesh_pair(on_message):
    """Return both ends of a connection before it starts; `on_message(end, kind, body)` gets the messages."""
    from ivystack.mesh.keys import KeyRing
    from ivystack.mesh.mesh import AcceptFactory, DialFactory, Mesh
    from ivystack.net.deadlines import DeadlineQueue

    clock = MemoryReactorClock()
    clock.advance(1000)
    members = {"a": ("127.0.0.1", 1), "b": ("127.0.0.2", 2)}
    meshes = []
    for name, incarnation in zip(members, INCARNATIONS, strict=True):

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
        mesh.incarnation = incarnation
        for kind in mesh_bodies():
            mesh.handlers[kind] = lambda peer, body, name=name, kind=kind: on_message(name, kind, body)
        meshes.append(mesh)
    dialing = DialFactory(meshes[0], "b").buildProtocol(None)
    accepting = AcceptFactory(meshes[1]).buildProtocol(type("Address", (), {"host": "127.0.0.1"}))
    for link, nonce, host in zip((dialing, accepting), NONCES, ("127.0.0.2", "127.0.0.1"), strict=True):
        link.own_nonce = nonce
        link.recorder = RecordingTransport(host)
    return dialing, accepting


def send_message(link, kind, body):
    """Send a message on this connection; an empty kind is the heartbeat."""
    link.send(kind, body)


def old_process():
    """Return a proxy whose state differs from the initial one."""
    from helpers import S, make_entries, make_proxy

    from ivystack.model import FailureState

    process = make_proxy(5)
    now, servers = process.now(), process.balancer.servers
    process.endpoints.update(make_entries(1, "DRAINING"), False)
    process.endpoints.update([make_entries(3, "DELETED")[2]], False)
    (
        servers["n1"].health.consecutive_failures,
        servers["n1"].health.next_probe_at,
        servers["n1"].health.probes,
    ) = (
        3,
        now + S,
        2,
    )
    servers["n1"].health.connection_failed = True
    servers["n3"].concurrency_limit, servers["n3"].admitted_share, servers["n3"].started_at = (
        2.5,
        0.4,
        now - 7000,
    )
    read, pay = (process.settings.request_classes[name] for name in ("read", "pay"))
    read.attempt_times.extend([5, 6, 7])
    servers["n3"].class_failures[read] = FailureState(consecutive_failures=2, next_probe_at=now + S)
    servers["n4"].class_failures[pay] = FailureState(
        consecutive_failures=1, connection_failed=True, next_probe_at=now + 2 * S, probes=3
    )
    process.balancer.limiter.common_share = 0.5
    process.endpoint_watch.generation = 41
    return process


def new_process(folder):
    """Return a starting proxy that requests the state of an old process, and its end of the connection."""
    from helpers import make_proxy, make_process_configuration

    configuration = make_process_configuration()
    configuration.inherited_descriptor, configuration.restart_folder = 3, str(folder)
    process = make_proxy(0, run=configuration)
    process.endpoint_watch.request_watch = process.open_sockets = lambda: None
    (folder / f"{process.hot_restart.socket_prefix}-1.sock").write_text("")
    process.start()
    path, factory = process.reactor.unixClients[-1][:2]
    assert Path(path).parent == folder
    connection = factory.buildProtocol(None)
    connection.makeConnection(StringTransport())
    return process, connection


def socket_name(process):
    """Return the name of the hot restart socket without the process number."""
    return process.hot_restart.socket_prefix


def exported_state(process):
    """Return all that a process sends to a new process that connects to its socket."""
    from ivystack.net.hot_restart import StateServerFactory

    connection = StateServerFactory(process.hot_restart).buildProtocol(None)
    connection.makeConnection(StringTransport())
    return connection.transport.value()


def server_states(process):
    from ivystack.model import ServerState

    names = {ServerState.READY: "ready", ServerState.DRAINING: "leaving", ServerState.GONE: "left"}
    return {name: names[server.state] for name, server in process.balancer.servers.items()}


def make_server(name, is_placeholder=False):
    from ivystack.model import Server

    return Server(name, is_placeholder=is_placeholder)


def gossip_outcomes(outcomes):
    from ivystack.balancing.gossip_codec import encode_outcomes

    return encode_outcomes(outcomes)


def read_gossip_outcomes(data):
    from ivystack.balancing.gossip_codec import decode_outcomes

    return [(server_hash, int(outcome)) for server_hash, outcome in decode_outcomes(data)]


def gossip_order_request(number):
    from ivystack.balancing.gossip_codec import encode_order_request

    return encode_order_request(number)


def read_gossip_order_request(data):
    from ivystack.balancing.gossip_codec import decode_order_request

    return decode_order_request(data)


def gossip_order(slots):
    from ivystack.balancing.gossip_codec import encode_slot_order

    return encode_slot_order(slots)


def read_gossip_order(parts):
    """Return the result of decoding after each part."""
    from ivystack.balancing.gossip_codec import decode_slot_order_part

    known = {}
    return [decode_slot_order_part(part, known) for part in parts]


# --- The recorded data ---


class RecordingTransport(StringTransport):
    """Records written bytes; its peer has a given address."""

    def __init__(self, host):
        super().__init__()
        self.host = host

    def getPeer(self):  # noqa: N802
        return type("Address", (), {"host": self.host})

    def setTcpNoDelay(self, on):  # noqa: N802
        pass

    def take_written(self):
        text = self.value()
        self.clear()
        return text


def to_json(value):
    """Return a value as JSON: bytes become {"hex": ...}, tuples become lists."""
    if isinstance(value, bytes):
        return {"hex": value.hex()}
    if isinstance(value, list | tuple):
        return [to_json(element) for element in value]
    if isinstance(value, dict):
        return {key: to_json(element) for key, element in value.items()}
    if isinstance(value, msgspec.Struct):
        return to_json(msgspec.to_builtins(value, builtin_types=(bytes,)))
    return value


def recorded(name):
    return json.loads((DATA / f"{name}.json").read_text())


def commands():
    """Return the data of entries: client, number, part, name and arguments; the last one is a duplicate."""
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
    """Return writes: entries, a replaced tail, a snapshot with entries retained before it, and votes."""
    data = [consensus_record("entry", 1, "d", text) for text in commands()]
    later = [consensus_record("entry", 3, "d", text) for text in commands()[4:]]
    first = consensus_record("snapshot", 1, 1, consensus_record("members", ("a/1", "b/1", "c/1"), ()), b"")
    members = consensus_record("members", ("a/1", "b/1"), ("d/4",))
    after = consensus_record("snapshot", 4, 1, members, apply_commands(b"", commands()[:3])[1])
    change = [consensus_record("entry", 4, "c", pack(members)), consensus_record("entry", 4, "n")]
    names = "number", "term", "voted", "first", "entries", "snapshot", "kept_from"
    rows = [
        (1, 1, "a/1", 2, data[:9], first, 1),
        (2, 3, "b/1", 6, later, None, 1),
        (3, 4, "c/3", 11, change, after, 3),
    ]
    return [dict(zip(names, row, strict=True)) for row in rows]


def messages():
    """Return at least one message of each type, with empty and full fields."""
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
    """Return a body for each kind of mesh message; the empty kind is the heartbeat."""
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
    """Return the steps of a connection from the handshake on: sender, bytes, and the messages received."""
    received = []
    ends = dict(zip("ab", mesh_pair(lambda *message: received.append(message)), strict=True))
    steps = []
    ends["b"].makeConnection(ends["b"].recorder)
    ends["a"].makeConnection(ends["a"].recorder)

    def carry(name, writer):
        data = ends[writer].recorder.take_written()
        ends["b" if writer == "a" else "a"].dataReceived(data)
        steps.append({"step": name, "from": writer, "bytes": data.hex(), "heard": to_json(received)})
        received.clear()

    carry("greeting of the caller", "a")
    carry("greeting of the called", "b")
    carry("first signed message", "a")
    for writer in "ab":
        for kind, body in mesh_bodies().items():
            send_message(ends[writer], kind, body)
            carry(kind or "beat", writer)
    return steps


def make_slots(count):
    return [
        *(make_server(f"n{at:02}") for at in range(count - 1)),
        make_server("0a0b0c", is_placeholder=True),
    ][:count]


ORDERS = (
    0,
    3,
    80,
    81,
    161,
)  # servers; the last part of 81 would be as long as an outcomes datagram, so it is padded


def gossip_data():
    ended = [
        (make_server("n00"), 0),
        (make_server("n01"), 1),
        (make_server("0a0b0c", is_placeholder=True), 2),
        (make_server("näme"), 1),
    ]
    data = {"outcomes": gossip_outcomes(ended), "no outcomes": gossip_outcomes([])}
    read = {name: to_json(read_gossip_outcomes(text)) for name, text in data.items()}
    orders = {str(count): gossip_order(make_slots(count)) for count in ORDERS}
    return {
        "outcomes": {name: {"bytes": data[name].hex(), "read": read[name]} for name in data},
        "questions": {str(number): gossip_order_request(number).hex() for number in (0, 7, 65_535)},
        "orders": {
            count: {"parts": [part.hex() for part in parts], "read": to_json(read_gossip_order(parts))}
            for count, parts in orders.items()
        },
    }


def import_result(folder, line):
    """Return what a new process has imported, by the state that it would send to the next process."""
    process, connection = new_process(folder)
    connection.dataReceived(line)
    return {"told again": sort_nodes(exported_state(process)), "states": server_states(process)}


def sort_nodes(line):
    """Return the line with the servers sorted by name, as their order is random."""
    assert line.endswith(b"\r\n") and line.count(b"\r\n") == 1
    state = json.loads(line)
    assert compact_json(state) == line.decode()  # only that order is lost
    state["nodes"] = dict(sorted(state["nodes"].items()))
    return compact_json(state)


def compact_json(value):
    return json.dumps(value, separators=(",", ":"), ensure_ascii=False) + "\r\n"


def record_digest(kind, value):
    """Return the digest of a stored record."""
    return blake2b(value, key=kind.encode(), digest_size=16).digest()


def identity_record(folder):
    """Return the record that ties a directory to its place.

    It has the version, the incarnation, and the inode and change time of the marker file.
    """
    with closing(sqlite3.connect(folder / "agreed.sqlite")) as base:
        value, sealed = base.execute("SELECT value, digest FROM kept WHERE name = 'identity'").fetchone()
    assert sealed == record_digest("identity", value)
    return msgspec.msgpack.decode(value)


def tie_to_place(folder, incarnation=None):
    """Tie a copied directory to its new place, which the program itself never does."""
    version, former, _, _ = identity_record(folder)
    about = (folder / "identity").stat()
    value = pack((version, incarnation or former, about.st_ino, about.st_ctime_ns))
    with closing(sqlite3.connect(folder / "agreed.sqlite")) as base:
        with base:
            row = value, record_digest("identity", value)
            base.execute("UPDATE kept SET value = ?, digest = ? WHERE name = 'identity'", row)


def directory_content(folder):
    """Return a directory's content except the identity record and the layout of the database pages."""
    with closing(sqlite3.connect(folder / "agreed.sqlite")) as base:
        rows = {
            "tables": "SELECT name, sql FROM sqlite_master WHERE sql IS NOT NULL ORDER BY name",
            "kept": "SELECT name, value, digest FROM kept WHERE name != 'identity' ORDER BY name",
            "entry": "SELECT at, value, digest FROM entry ORDER BY at",
            "mode": "PRAGMA journal_mode",
        }
        found = {name: base.execute(text).fetchall() for name, text in rows.items()}
    files = sorted(path.name for path in folder.iterdir())
    return to_json(
        found | {"files": files} | {name: (folder / name).read_bytes() for name in ("tail", "identity")}
    )


@pytest.fixture
def member(tmp_path):
    """Return a copy of the recorded directory that is tied to its new place."""
    folder = tmp_path / "copy"
    shutil.copytree(DATA / MEMBER, folder)
    tie_to_place(folder)
    return folder


def record(folder):
    """Record all data again into a folder, with the current code."""
    folder.mkdir(parents=True, exist_ok=True)

    def save(name, value):
        (folder / f"{name}.json").write_text(json.dumps(value, indent=1, ensure_ascii=False) + "\n")

    directory, work = folder / MEMBER, folder / "work"
    for old in (directory, work):
        shutil.rmtree(old, ignore_errors=True)
    write_member(directory, member_writes())
    tie_to_place(directory, MEMBER_INCARNATION)
    found = read_member(directory)
    later = [bytes.fromhex(data["hex"]) for _, kind, data in found["entries"] if kind == "d"]
    answers, state = apply_commands(bytes.fromhex(found["snapshot"][3]["hex"]), later)
    save("member", {"read": found, "answers": answers, "state": state.hex()})
    encoded = {name: (encode_consensus(message), to_json(message)) for name, message in messages().items()}
    save(
        "consensus", {name: {"bytes": data.hex(), "value": value} for name, (data, value) in encoded.items()}
    )
    save("mesh", mesh_steps())
    save("gossip", gossip_data())
    work.mkdir()
    answer = exported_state(old_process())
    name = socket_name(old_process())
    save("handover", {"socket": name, "answer": sort_nodes(answer), "imported": import_result(work, answer)})
    shutil.rmtree(work)


# --- Tests ---


def test_a_recorded_member_directory_is_read_completely(member):
    assert read_member(member) == recorded("member")["read"]
    assert read_member(member)["life"] == MEMBER_INCARNATION
    assert directory_content(member) == recorded_directory_content(member.parent)  # reading changes nothing


def recorded_directory_content(folder):
    shutil.copytree(DATA / MEMBER, folder / "untouched")
    return directory_content(folder / "untouched")


def test_a_recorded_member_directory_in_another_place_is_rejected_as_a_copy(tmp_path):
    shutil.copytree(DATA / MEMBER, tmp_path / "copy")
    with pytest.raises(ValueError, match="^older$"):
        read_member(tmp_path / "copy")


def test_the_same_writes_make_the_same_member_directory(tmp_path):
    # The identity record has a random incarnation, an inode and a time, and the pages depend on the SQLite
    # version.  So all other records with their digests, the tables' SQL and the other files are compared.
    write_member(tmp_path / "new", member_writes())
    assert directory_content(tmp_path / "new") == recorded_directory_content(tmp_path)
    version, incarnation, inode, changed = identity_record(tmp_path / "new")
    about = (tmp_path / "new" / "identity").stat()
    assert (version, len(incarnation), inode, changed) == (1, 8, about.st_ino, about.st_ctime_ns)


def test_recorded_entries_after_the_recorded_snapshot_lead_to_the_recorded_state():
    known = recorded("member")
    found = known["read"]
    later = [bytes.fromhex(data["hex"]) for _, kind, data in found["entries"] if kind == "d"]
    answers, state = apply_commands(bytes.fromhex(found["snapshot"][3]["hex"]), later)
    assert answers == known["answers"] and state.hex() == known["state"]


def test_consensus_messages_are_encoded_and_decoded_as_recorded():
    known, created = recorded("consensus"), messages()
    assert {*known} == {*created}
    assert {entry["value"][0] for entry in known.values()} == consensus_tags()
    for name, entry in known.items():
        data = bytes.fromhex(entry["bytes"])
        assert encode_consensus(created[name]) == data, name
        assert decode_consensus(data) == created[name], name
        assert to_json(decode_consensus(data)) == entry["value"], name
        assert encode_consensus(decode_consensus(data)) == data, name


def test_mesh_frames_are_written_as_recorded():
    known = recorded("mesh")
    for step, known_step in zip(mesh_steps(), known, strict=True):
        assert step == known_step
    assert {step["step"] for step in known if step["from"] == "a"} >= {*mesh_bodies()} - {""} | {"beat"}


@pytest.mark.parametrize("reader", ["a", "b"])
def test_recorded_mesh_frames_are_decoded_byte_by_byte(reader):
    received = []
    ends = mesh_pair(lambda *message: received.append(message))
    end = ends["ab".index(reader)]
    end.makeConnection(end.recorder)
    steps = [step for step in recorded("mesh") if step["from"] != reader]
    for byte in bytes.fromhex("".join(step["bytes"] for step in steps)):
        end.dataReceived(bytes([byte]))
    assert to_json(received) == [message for step in steps for message in step["heard"]]
    assert len(received) == len(mesh_bodies()) - 1 and not end.recorder.disconnecting


def test_a_recorded_mesh_frame_with_one_bit_changed_is_rejected():
    steps = [step for step in recorded("mesh") if step["from"] == "a"]
    for at, step in enumerate(steps):
        received = []
        end = mesh_pair(lambda *message, received=received: received.append(message))[1]
        end.makeConnection(end.recorder)
        for before in steps[:at]:
            end.dataReceived(bytes.fromhex(before["bytes"]))
        count, data = len(received), bytearray.fromhex(step["bytes"])
        data[-1] ^= 1
        end.dataReceived(bytes(data))
        assert len(received) == count and end.recorder.disconnected, step["step"]


def test_the_old_process_sends_the_recorded_state():
    known = recorded("handover")
    process = old_process()
    assert sort_nodes(exported_state(process)) == known["answer"]
    assert socket_name(process) == known["socket"]


def test_a_new_process_imports_the_recorded_state(tmp_path):
    known = recorded("handover")
    process, connection = new_process(tmp_path)
    assert socket_name(process) == known["socket"]
    assert connection.transport.value() == b""  # connecting requests the state; nothing is sent
    assert import_result(tmp_path, known["answer"].encode()) == known["imported"]
    other_version = known["answer"].replace('{"v":1,', '{"v":2,')
    assert other_version != known["answer"]
    rejected = import_result(tmp_path, other_version.encode())
    assert rejected["states"] == {} and json.loads(rejected["told again"])["slots"] == []


def test_gossip_is_encoded_and_decoded_as_recorded():
    known = recorded("gossip")
    assert gossip_data() == known
    for entry in known["outcomes"].values():
        assert to_json(read_gossip_outcomes(bytes.fromhex(entry["bytes"]))) == entry["read"]
    for number, data in known["questions"].items():
        assert read_gossip_order_request(bytes.fromhex(data)) == int(number)
        assert gossip_order_request(int(number)).hex() == data
    for count, entry in known["orders"].items():
        parts = [bytes.fromhex(part) for part in entry["parts"]]
        assert to_json(read_gossip_order(parts)) == entry["read"]
        assert gossip_order(make_slots(int(count))) == parts
        assert all(len(part) <= 256 and read_gossip_order_request(part) is None for part in parts)
        assert all(len(part) % 4 for part in parts)  # distinguishes an order from outcomes


if __name__ == "__main__":
    sys.path[:0] = [str(Path(__file__).parent), str(Path(__file__).parent.parent)]
    record(Path(sys.argv[1]) if len(sys.argv) > 1 else DATA)
