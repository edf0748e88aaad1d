"""Links between proxies: authentication, what is dropped, what is bounded; the fleet's configuration file."""

import json
from random import Random

import orjson
import pytest
from helpers import S, Transport, proxy
from loguru import logger
from test_rig import ivy
from twisted.internet.error import CannotListenError, ConnectionDone, ConnectionRefusedError
from twisted.internet.testing import MemoryReactorClock
from twisted.python.failure import Failure

from ivystack.__main__ import terminate
from ivystack.fleet.config import check_file, load_config
from ivystack.fleet.services import FleetServices
from ivystack.mesh import drop_log, send_queue
from ivystack.mesh import link as links
from ivystack.mesh import mesh as meshes
from ivystack.mesh.exceptions import KeyFileError
from ivystack.mesh.keys import KeyRing, read_key_file, write_key_file
from ivystack.mesh.mesh import Mesh
from ivystack.mesh.protocol import MAX_MESSAGE_BYTES, Handshake, encode
from ivystack.net.deadlines import DeadlineQueue
from ivystack.configuration.errors import ConfigurationError

MEMBERS = {"a": ("127.0.0.1", 1), "b": ("127.0.0.2", 2)}
ONE, TWO = {"k1": bytes(32)}, {"k2": b"2" * 32}


class Wire(Transport):
    """Keeps what is written; its other side is at the address that the test says."""

    host = "127.0.0.1"

    def getPeer(self):  # noqa: N802
        return type("Address", (), {"host": self.host})

    def registerProducer(self, producer, streaming):  # noqa: N802
        self.producer_ = producer

    def unregisterProducer(self):  # noqa: N802
        pass


@pytest.fixture
def log_lines():
    lines = []
    number = logger.add(lambda line: lines.append(str(line)), format="{message}")
    yield lines
    logger.remove(number)


class MeshPair:
    """Two meshes on one clock, and one connection from a to b."""

    def __init__(self, keys=(ONE, ONE), names=("a", "b")):
        self.clock = MemoryReactorClock()
        self.clock.advance(1000)
        self.received = []
        self.meshes = []
        for name, own in zip(names, keys, strict=True):
            deadlines = DeadlineQueue(self.clock, self.now)
            made = Mesh(self.clock, deadlines, self.now, Random(1), name, KeyRing(own), 512, MEMBERS, None)
            made.handlers["x"] = lambda peer, body, name=name: self.received.append((name, peer, body))
            self.meshes.append(made)
        self.a, self.b = self.meshes

    def now(self):
        return round(self.clock.seconds() * S)

    def connect(self, host="127.0.0.1"):
        self.caller = meshes.DialFactory(self.a, "b").buildProtocol(None)
        self.called = meshes.AcceptFactory(self.b).buildProtocol(type("Address", (), {"host": host}))
        for one, at in ((self.called, host), (self.caller, "127.0.0.2")):
            wire = Wire()
            wire.host = at
            one.makeConnection(wire)
        self.pump()
        return self

    def pump(self):
        while True:
            there, back = self.caller.transport.took(), self.called.transport.took()
            if not there and not back:
                return
            self.called.dataReceived(there)
            self.caller.dataReceived(back)

    def end(self, one):
        one.connectionLost(Failure(ConnectionDone()))


def test_two_proxies_that_share_a_key_exchange_messages_on_one_connection():
    pair = MeshPair().connect()
    assert pair.a.send("b", "x", {"n": 1}) and pair.b.send("a", "x", [2])
    pair.pump()
    assert pair.received == [("b", "a", {"n": 1}), ("a", "b", [2])]
    pair.end(pair.called)
    assert not pair.b.send("a", "x", 3) and not pair.a.send("nobody", "x", 3)


def test_two_processes_of_one_name_both_get_messages_and_a_reply_goes_to_the_one_that_asked():
    # In a hot restart the old process, too, has to get what is sent to the name, else its lease expires.
    pair = MeshPair().connect()
    old_caller, old_called = pair.caller, pair.called
    pair.a.incarnation = "0123456789abcdef"
    pair.connect()
    assert [link.incarnation for link in pair.b.peers["a"]] == [old_called.incarnation, pair.a.incarnation]
    pair.b.handlers["ask"] = lambda peer, body: pair.b.reply(pair.b.current_link, "x", body)
    old_caller.send("ask", 7)
    old_called.dataReceived(old_caller.transport.took())
    assert old_called.transport.value() and not pair.called.transport.value()
    old_called.transport.clear()
    pair.b.send("a", "x", 1)
    assert old_called.transport.value() and pair.called.transport.value()


def test_handshake_digests_and_status_keep_their_form():
    handshake = encode(Handshake(1, "a", "b", "0" * 16, b"n"))
    assert handshake == encode([1, "a", "b", "0" * 16, b"n"])
    assert KeyRing(ONE).sign(b"hello", b"", b"x").hex() == "06d14602c03b471efcd7c47383f01e67"
    pair = MeshPair().connect()
    pair.a.send("b", "unknown", 1)
    pair.pump()
    assert orjson.loads(orjson.dumps(pair.b.state())) == {
        "life": pair.b.incarnation,
        "connections": 1,
        "dropped": {"unknown-kind": 1},
        "peers": {"a": {"key": "k1", "queued": 0}},
    }


def test_a_key_is_changed_with_both_valid_meanwhile():
    # Old and new in turn: the second learns to accept it, the first signs with it, then the old one goes.
    steps = [(ONE, ONE), (ONE, ONE | TWO), (ONE | TWO, TWO | ONE), (TWO | ONE, TWO), (TWO, TWO)]
    for keys, good in [*((step, True) for step in steps), ((TWO, ONE | TWO), False), ((ONE, TWO), False)]:
        pair = MeshPair(keys).connect()
        pair.a.send("b", "x", 1), pair.b.send("a", "x", 2)
        pair.pump()
        assert sorted(pair.received) == ([("a", "b", 2), ("b", "a", 1)] if good else [])


def test_nothing_signed_with_another_key_is_accepted_and_the_log_has_one_line_a_period(log_lines):
    pair = MeshPair((ONE, TWO))
    for _ in range(50):
        pair.connect()
        assert pair.called.transport.disconnected
        pair.end(pair.called), pair.end(pair.caller)
    assert pair.b.drops.total["bad-key"] == 50 and not pair.b.peers and not pair.b.connections
    assert sum("bad-key" in line for line in log_lines) == 1
    pair.clock.advance(drop_log.LOG_PERIOD / S)
    assert sum("bad-key" in line for line in log_lines) == 2 and "bad-key=49" in log_lines[-1]


def test_a_replayed_connection_is_rejected():
    # The same bytes as then, to a listener that sends a new nonce.
    recorded = MeshPair()
    caller = meshes.DialFactory(recorded.a, "b").buildProtocol(None)
    caller.makeConnection(Wire())
    handshake = caller.transport.took()
    called = meshes.AcceptFactory(recorded.b).buildProtocol(type("A", (), {"host": "127.0.0.1"}))
    called.makeConnection(Wire())
    called.dataReceived(handshake)
    caller.dataReceived(called.transport.took())
    recorded.a.send("b", "x", "pay")
    record = handshake + caller.transport.took()
    again = meshes.AcceptFactory(recorded.b).buildProtocol(type("A", (), {"host": "127.0.0.1"}))
    again.makeConnection(Wire())
    again.dataReceived(record)
    assert not recorded.received and again.code == "bad-digest"
    called.dataReceived(record[len(handshake) :])  # where it belongs it is heard, once
    assert recorded.received == [("b", "a", "pay")]
    called.dataReceived(record[len(handshake) :][-40:])
    assert len(recorded.received) == 1


def test_no_message_with_a_byte_flipped_is_accepted_and_none_out_of_order():
    pair = MeshPair().connect()
    pair.a.send("b", "x", "first")
    first = pair.caller.transport.took()
    pair.a.send("b", "x", "second")
    second = pair.caller.transport.took()
    for at in range(len(first)):
        other = MeshPair().connect()
        other.a.send("b", "x", "first")
        text = bytearray(other.caller.transport.took())
        text[at] ^= 1 << at % 8
        other.called.dataReceived(bytes(text))
        assert not other.received
    pair.called.dataReceived(second)
    assert not pair.received and pair.called.code == "bad-digest"


def test_malformed_handshakes_close_the_connection_and_a_members_name_counts_from_its_own_address_alone():
    assert MeshPair().connect("127.0.0.9").called.code == "not-its-address"
    stranger = MeshPair(names=("c", "b")).connect("127.0.0.9")  # no member: any address will do
    stranger.a.send("b", "x", 1)
    stranger.pump()
    assert stranger.received == [("b", "c", 1)]
    for text in (b"\xff\xff\xff\xff", b"\x00\x00\x00\x05hello", b"GET / HTTP/1.1\r\n\r\n"):
        pair = MeshPair()
        called = meshes.AcceptFactory(pair.b).buildProtocol(type("A", (), {"host": "127.0.0.1"}))
        called.makeConnection(Wire())
        called.dataReceived(text)
        assert called.transport.disconnected and not pair.b.peers
    pair = MeshPair()
    silent = meshes.AcceptFactory(pair.b).buildProtocol(type("A", (), {"host": "127.0.0.1"}))
    silent.makeConnection(Wire())
    pair.clock.advance(links.HANDSHAKE_TIMEOUT / S)
    assert silent.transport.disconnected and silent.code == "no-greeting"


def test_a_peer_that_reads_nothing_holds_no_more_than_the_bound_and_gets_the_newest(log_lines):
    pair = MeshPair().connect()
    pair.caller.pauseProducing()
    for number in range(300):
        pair.a.send("b", "x", [number, bytes(10_000)])
    assert pair.caller.queue.size <= send_queue.MAX_QUEUED_BYTES and pair.a.drops.total["queue-full"] > 100
    assert sum("queue-full" in line for line in log_lines) == 1
    pair.caller.resumeProducing()
    pair.pump()
    numbers = [body[0] for _, _, body in pair.received]
    assert numbers == [*range(numbers[0], 300)] and 80 < len(numbers) < 110
    assert not pair.a.send("b", "x", bytes(MAX_MESSAGE_BYTES + 1))


def test_a_silent_peers_link_is_closed_and_dialed_again_with_randomized_backoff():
    pair = MeshPair().connect()
    pair.a.dial_failures.clear()
    heartbeats = 0
    for _ in range(30):  # heartbeats keep it up
        pair.clock.advance(0.2)
        heartbeats += bool(pair.caller.transport.value())
        pair.pump()
    assert pair.caller.code is None and heartbeats > 5
    for _ in range(30):
        pair.clock.advance(0.2)
        pair.caller.transport.took(), pair.called.transport.took()
    assert pair.caller.code == pair.called.code == "silent"
    pair.end(pair.caller)
    times = []
    for _ in range(600):
        before = len(pair.clock.tcpClients)
        pair.clock.advance(0.1)
        if len(pair.clock.tcpClients) > before:
            times.append(pair.clock.seconds())
            pair.clock.tcpClients[-1][2].clientConnectionFailed(None, Failure(ConnectionRefusedError()))
    assert 20 <= len(times) <= 45  # a minute, at up to 3 s
    pauses = [b - a for a, b in zip(times, times[1:], strict=False)][8:]
    assert max(pauses) <= 3.2 and len({round(pause, 1) for pause in pauses}) > 4


def test_strangers_who_only_connect_keep_nobody_out():
    pair = MeshPair()
    pair.b.max_connections = 64
    strangers = []
    for _ in range(500):
        strangers.append(meshes.AcceptFactory(pair.b).buildProtocol(type("A", (), {"host": "127.0.0.1"})))
        strangers[-1].makeConnection(Wire())
        if len(strangers) > meshes.MIN_UNAUTHENTICATED:
            pair.end(strangers[-1 - meshes.MIN_UNAUTHENTICATED])
    assert sum(not one.transport.disconnected for one in strangers) == meshes.MIN_UNAUTHENTICATED
    pair.connect()
    pair.a.send("b", "x", 1)
    pair.pump()
    assert pair.received == [("b", "a", 1)]


@pytest.mark.parametrize("name", ["", "a b", "a/b", "a\nb", "x" * 65])
def test_a_name_that_cannot_stand_in_logs_and_ids_is_rejected(name):
    assert MeshPair(names=(name, "b")).connect("127.0.0.9").called.code == "unreadable"


def test_connections_are_bounded_and_a_handler_that_fails_costs_that_link_alone():
    pair = MeshPair()
    pair.b.max_connections = 3
    made = []
    for _ in range(5):
        made.append(meshes.AcceptFactory(pair.b).buildProtocol(type("A", (), {"host": "127.0.0.1"})))
        if made[-1]:
            made[-1].makeConnection(Wire())
    assert [bool(one) for one in made] == [True] * 3 + [False] * 2
    pair = MeshPair().connect()
    pair.b.handlers["x"] = lambda peer, body: 1 / 0
    pair.a.send("b", "x", 1)
    pair.pump()
    assert pair.called.code == "unusable"
    pair = MeshPair().connect()
    pair.a.send("b", "unheard-of", 1), pair.a.send("b", "x", 2)
    pair.pump()
    assert pair.b.drops.total == {"unknown-kind": 1} and pair.received == [("b", "a", 2)]


def test_key_files_are_new_private_and_checked(tmp_path):
    path = tmp_path / "key"
    write_key_file(path, "k1")
    assert [*read_key_file(path).keys] == ["k1"] and path.stat().st_mode & 0o777 == 0o600
    with pytest.raises(OSError):
        write_key_file(path, "k2")
    good = path.read_text()
    path.chmod(0o640)
    with pytest.raises(KeyFileError, match="others may read"):
        read_key_file(path)
    path.chmod(0o600)
    for text in ("", "k1", "k1 zz", "k1 00", good + good.replace("k1", "k2") + good.replace("k1", "k3")):
        path.write_text(text)
        with pytest.raises(KeyFileError):
            read_key_file(path)
    path.write_text("# old and new\n" + good + good.replace("k1", "k2"))
    assert [*read_key_file(path).keys] == ["k1", "k2"]


GOOD = """version = 1
key_file = "key"
directory = "/tmp/{name}"
[[group.member]]
name = "a"
address = "127.0.0.1:1"
[[group.member]]
name = "b"
address = "127.0.0.1:2"
[[group.member]]
name = "c"
address = "127.0.0.1:3"
"""


def test_all_faults_of_the_configuration_file_are_listed(tmp_path):
    write_key_file(tmp_path / "key", "k1")
    assert check_file(GOOD, tmp_path).faults == []
    bad = GOOD.replace("version = 1", "version = 1\ncolour = 3").replace('"127.0.0.1:2"', '"127.0.0.1:1"')
    bad = bad.replace('"127.0.0.1:3"', '"far:away"') + "[times]\nbeat = 0\nelection = 'x'\n"
    bad = bad.replace('key_file = "key"', 'key_file = "none"')
    found = check_file(bad, tmp_path).faults
    for words in ("colour", "group.member[1].address", "group.member[2].address", "times.beat",
                  "times.election", "none: No such file"):  # fmt: skip
        assert sum(words in line for line in found) == 1, (words, found)
    assert check_file("x = [", tmp_path).faults[0].startswith("not TOML")
    assert any("directory" in line for line in check_file('version = 1\nkey_file = "key"', tmp_path).faults)
    newer = check_file(GOOD.replace("version = 1", "version = 2"), tmp_path).faults
    assert newer == ["`version`: 2, this program reads 1"]
    short = GOOD + "[times]\nelection = 200\nlease = 300\n"
    found_short = check_file(short, tmp_path).faults
    assert "times.election" in found_short[0] and "lease" in found_short[1]
    (tmp_path / "fleet.toml").write_text("links = 256\n" + GOOD)
    assert load_config(tmp_path / "fleet.toml", "a").reserve_links(1024) == 768
    assert 768 > load_config(tmp_path / "fleet.toml", "z").max_links
    with pytest.raises(ConfigurationError, match="links"):
        load_config(tmp_path / "fleet.toml", "a").reserve_links(500)
    with pytest.raises(ConfigurationError, match="name"):
        load_config(tmp_path / "fleet.toml", "a b")
    (tmp_path / "fleet.toml").write_text(bad)
    with pytest.raises(ConfigurationError, match="more, see check-config"):
        load_config(tmp_path / "fleet.toml", "a")
    code, _, output = ivy("check-config", "--fleet", str(tmp_path / "fleet.toml"))
    assert code == 2 and output.count("\n") == len(found)


def test_a_failure_of_the_fleets_services_does_not_keep_the_proxy_from_serving(tmp_path, log_lines):
    write_key_file(tmp_path / "key", "k1")
    (tmp_path / "fleet.toml").write_text(GOOD)
    made = proxy()
    services = FleetServices(made, str(tmp_path / "fleet.toml"), load_config(tmp_path / "fleet.toml", "z"))
    services.mesh.start = lambda: 1 / 0
    services.start()
    assert sum("fleet: could not start" in line for line in log_lines) == 1


def test_a_failure_of_the_fleets_services_does_not_keep_the_proxy_from_ending():
    # Else the proxy would ignore SIGTERM and serve until it was killed with requests in flight.
    made = proxy()
    made.port = None
    with pytest.raises(ZeroDivisionError):
        terminate(made, type("FleetServices", (), {"prepare_shutdown": lambda self: 1 / 0})())
    assert made.is_stopping


def test_an_address_that_is_taken_is_logged_once_and_retried(log_lines):
    pair = MeshPair()
    pair.a.listen_address = "127.0.0.1", 1
    listens = pair.clock.listenTCP
    attempts = []

    def taken(*where):
        attempts.append(where)
        raise CannotListenError("127.0.0.1", 1, OSError(98, "in use"))

    pair.clock.listenTCP = taken
    pair.a.listen()
    pair.clock.pump([0.1] * 20)
    assert len(attempts) > 5 and sum("retrying until" in line for line in log_lines) == 1
    pair.clock.listenTCP = listens
    pair.clock.advance(1)
    assert pair.a.port is not None


def test_links_are_taken_from_the_descriptors_of_clients_and_nodes_and_too_many_end_the_start(tmp_path):
    write_key_file(tmp_path / "key", "k1")
    (tmp_path / "fleet.toml").write_text("links = 256\n" + GOOD)
    config, fleet = tmp_path / "c.json", tmp_path / "fleet.toml"
    limits = {"name": "a", "limits": {"sockets": 400}}
    places = {"listen": "127.0.0.1:1", "discovery": "127.0.0.1:1", "settings": {}}
    config.write_text(json.dumps(places | limits))
    code, _, output = ivy("serve", "--config", str(config), "--fleet", str(fleet))
    assert code == 2 and "`links`: 256 of 400" in output and output.count("\n") == 1


def test_the_example_that_operators_copy_is_good(tmp_path):
    text = open("deploy/fleet.example.toml").read()
    write_key_file(tmp_path / "fleet.key", "k1")
    assert (
        check_file(text.replace("/etc/ivystack/fleet.key", str(tmp_path / "fleet.key")), tmp_path).faults
        == []
    )


def test_links_between_real_processes_come_back_after_each_kind_of_fault():
    code, output, _ = ivy("rig", "play", "mesh", "--quiet")
    assert code == 0, output
