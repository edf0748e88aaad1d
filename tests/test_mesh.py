"""Tests of links between proxies (authentication, drops, limits) and of the fleet configuration file."""

import json
from random import Random

import orjson
import pytest
from helpers import S, FakeTransport, make_proxy
from loguru import logger
from test_rig import run_ivystack
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
KEY_1, KEY_2 = {"k1": bytes(32)}, {"k2": b"2" * 32}


class RecordingTransport(FakeTransport):
    """A transport that records written data; the test sets the peer's address in `host`."""

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
    handler_id = logger.add(lambda line: lines.append(str(line)), format="{message}")
    yield lines
    logger.remove(handler_id)


class MeshPair:
    """Two meshes that share a clock, and a connection from a to b."""

    def __init__(self, keys=(KEY_1, KEY_1), names=("a", "b")):
        self.clock = MemoryReactorClock()
        self.clock.advance(1000)
        self.received = []
        self.meshes = []
        for name, own_keys in zip(names, keys, strict=True):
            deadlines = DeadlineQueue(self.clock, self.now)
            mesh = Mesh(
                self.clock, deadlines, self.now, Random(1), name, KeyRing(own_keys), 512, MEMBERS, None
            )
            mesh.handlers["x"] = lambda peer, body, name=name: self.received.append((name, peer, body))
            self.meshes.append(mesh)
        self.a, self.b = self.meshes

    def now(self):
        return round(self.clock.seconds() * S)

    def connect(self, host="127.0.0.1"):
        self.dialer = meshes.DialFactory(self.a, "b").buildProtocol(None)
        self.acceptor = meshes.AcceptFactory(self.b).buildProtocol(type("Address", (), {"host": host}))
        for link, address in ((self.acceptor, host), (self.dialer, "127.0.0.2")):
            transport = RecordingTransport()
            transport.host = address
            link.makeConnection(transport)
        self.pump()
        return self

    def pump(self):
        while True:
            to_acceptor, to_dialer = (
                self.dialer.transport.take_output(),
                self.acceptor.transport.take_output(),
            )
            if not to_acceptor and not to_dialer:
                return
            self.acceptor.dataReceived(to_acceptor)
            self.dialer.dataReceived(to_dialer)

    def lose_connection(self, link):
        link.connectionLost(Failure(ConnectionDone()))


def test_proxies_that_share_a_key_exchange_messages_in_both_directions_of_a_connection():
    pair = MeshPair().connect()
    assert pair.a.send("b", "x", {"n": 1}) and pair.b.send("a", "x", [2])
    pair.pump()
    assert pair.received == [("b", "a", {"n": 1}), ("a", "b", [2])]
    pair.lose_connection(pair.acceptor)
    assert not pair.b.send("a", "x", 3) and not pair.a.send("nobody", "x", 3)


def test_two_processes_of_a_name_both_receive_messages_and_a_reply_goes_to_the_requesting_process():
    # During a hot restart the old process must still receive messages for its name, or its lease expires.
    pair = MeshPair().connect()
    old_dialer, old_acceptor = pair.dialer, pair.acceptor
    pair.a.incarnation = "0123456789abcdef"
    pair.connect()
    assert [link.incarnation for link in pair.b.peers["a"]] == [old_acceptor.incarnation, pair.a.incarnation]
    pair.b.handlers["ask"] = lambda peer, body: pair.b.reply(pair.b.current_link, "x", body)
    old_dialer.send("ask", 7)
    old_acceptor.dataReceived(old_dialer.transport.take_output())
    assert old_acceptor.transport.value() and not pair.acceptor.transport.value()
    old_acceptor.transport.clear()
    pair.b.send("a", "x", 1)
    assert old_acceptor.transport.value() and pair.acceptor.transport.value()


def test_handshake_digests_and_status_keep_their_format():
    handshake = encode(Handshake(1, "a", "b", "0" * 16, b"n"))
    assert handshake == encode([1, "a", "b", "0" * 16, b"n"])
    assert KeyRing(KEY_1).sign(b"hello", b"", b"x").hex() == "06d14602c03b471efcd7c47383f01e67"
    pair = MeshPair().connect()
    pair.a.send("b", "unknown", 1)
    pair.pump()
    assert orjson.loads(orjson.dumps(pair.b.state())) == {
        "life": pair.b.incarnation,
        "connections": 1,
        "dropped": {"unknown-kind": 1},
        "peers": {"a": {"key": "k1", "queued": 0}},
    }


def test_a_key_can_be_replaced_while_old_and_new_key_are_valid():
    # Each step has the key rings of a and b, whose first key signs. A proxy first accepts the new key, then
    # signs with the new key and then drops the old key.
    steps = [
        (KEY_1, KEY_1),
        (KEY_1, KEY_1 | KEY_2),
        (KEY_1 | KEY_2, KEY_2 | KEY_1),
        (KEY_2 | KEY_1, KEY_2),
        (KEY_2, KEY_2),
    ]
    for keys, accepted in [
        *((step, True) for step in steps),
        ((KEY_2, KEY_1 | KEY_2), False),
        ((KEY_1, KEY_2), False),
    ]:
        pair = MeshPair(keys).connect()
        pair.a.send("b", "x", 1), pair.b.send("a", "x", 2)
        pair.pump()
        assert sorted(pair.received) == ([("a", "b", 2), ("b", "a", 1)] if accepted else [])


def test_nothing_signed_with_another_key_is_accepted_and_the_log_has_one_line_per_period(log_lines):
    pair = MeshPair((KEY_1, KEY_2))
    for _ in range(50):
        pair.connect()
        assert pair.acceptor.transport.disconnected
        pair.lose_connection(pair.acceptor), pair.lose_connection(pair.dialer)
    assert pair.b.drops.total["bad-key"] == 50 and not pair.b.peers and not pair.b.connections
    assert sum("bad-key" in line for line in log_lines) == 1
    pair.clock.advance(drop_log.LOG_PERIOD / S)
    assert sum("bad-key" in line for line in log_lines) == 2 and "bad-key=49" in log_lines[-1]


def test_a_replayed_connection_is_rejected():
    # Sends the recorded bytes of a connection to an acceptor, which uses a new nonce.
    recorded = MeshPair()
    dialer = meshes.DialFactory(recorded.a, "b").buildProtocol(None)
    dialer.makeConnection(RecordingTransport())
    handshake = dialer.transport.take_output()
    acceptor = meshes.AcceptFactory(recorded.b).buildProtocol(type("A", (), {"host": "127.0.0.1"}))
    acceptor.makeConnection(RecordingTransport())
    acceptor.dataReceived(handshake)
    dialer.dataReceived(acceptor.transport.take_output())
    recorded.a.send("b", "x", "pay")
    record = handshake + dialer.transport.take_output()
    replayed = meshes.AcceptFactory(recorded.b).buildProtocol(type("A", (), {"host": "127.0.0.1"}))
    replayed.makeConnection(RecordingTransport())
    replayed.dataReceived(record)
    assert not recorded.received and replayed.code == "bad-digest"
    acceptor.dataReceived(record[len(handshake) :])  # on its own connection the message is accepted, once
    assert recorded.received == [("b", "a", "pay")]
    acceptor.dataReceived(record[len(handshake) :][-40:])
    assert len(recorded.received) == 1


def test_no_message_with_a_flipped_bit_or_out_of_order_is_accepted():
    pair = MeshPair().connect()
    pair.a.send("b", "x", "first")
    first = pair.dialer.transport.take_output()
    pair.a.send("b", "x", "second")
    second = pair.dialer.transport.take_output()
    for position in range(len(first)):
        other = MeshPair().connect()
        other.a.send("b", "x", "first")
        message = bytearray(other.dialer.transport.take_output())
        message[position] ^= 1 << position % 8
        other.acceptor.dataReceived(bytes(message))
        assert not other.received
    pair.acceptor.dataReceived(second)
    assert not pair.received and pair.acceptor.code == "bad-digest"


def test_malformed_handshakes_close_the_connection_and_a_members_name_is_valid_only_from_its_address():
    assert MeshPair().connect("127.0.0.9").acceptor.code == "not-its-address"
    outsider = MeshPair(names=("c", "b")).connect("127.0.0.9")  # not a member: may connect from any address
    outsider.a.send("b", "x", 1)
    outsider.pump()
    assert outsider.received == [("b", "c", 1)]
    for data in (b"\xff\xff\xff\xff", b"\x00\x00\x00\x05hello", b"GET / HTTP/1.1\r\n\r\n"):
        pair = MeshPair()
        acceptor = meshes.AcceptFactory(pair.b).buildProtocol(type("A", (), {"host": "127.0.0.1"}))
        acceptor.makeConnection(RecordingTransport())
        acceptor.dataReceived(data)
        assert acceptor.transport.disconnected and not pair.b.peers
    pair = MeshPair()
    silent = meshes.AcceptFactory(pair.b).buildProtocol(type("A", (), {"host": "127.0.0.1"}))
    silent.makeConnection(RecordingTransport())
    pair.clock.advance(links.HANDSHAKE_TIMEOUT / S)
    assert silent.transport.disconnected and silent.code == "no-greeting"


def test_the_queue_of_a_peer_that_does_not_read_is_bounded_and_keeps_the_newest_messages(log_lines):
    pair = MeshPair().connect()
    pair.dialer.pauseProducing()
    for number in range(300):
        pair.a.send("b", "x", [number, bytes(10_000)])
    assert pair.dialer.queue.size <= send_queue.MAX_QUEUED_BYTES and pair.a.drops.total["queue-full"] > 100
    assert sum("queue-full" in line for line in log_lines) == 1
    pair.dialer.resumeProducing()
    pair.pump()
    numbers = [body[0] for _, _, body in pair.received]
    assert numbers == [*range(numbers[0], 300)] and 80 < len(numbers) < 110
    assert not pair.a.send("b", "x", bytes(MAX_MESSAGE_BYTES + 1))


def test_a_silent_peers_link_is_closed_and_dialed_again_with_randomized_backoff():
    pair = MeshPair().connect()
    pair.a.dial_failures.clear()
    heartbeats = 0
    for _ in range(30):  # heartbeats keep the link open
        pair.clock.advance(0.2)
        heartbeats += bool(pair.dialer.transport.value())
        pair.pump()
    assert pair.dialer.code is None and heartbeats > 5
    for _ in range(30):
        pair.clock.advance(0.2)
        pair.dialer.transport.take_output(), pair.acceptor.transport.take_output()
    assert pair.dialer.code == pair.acceptor.code == "silent"
    pair.lose_connection(pair.dialer)
    times = []
    for _ in range(600):
        count_before = len(pair.clock.tcpClients)
        pair.clock.advance(0.1)
        if len(pair.clock.tcpClients) > count_before:
            times.append(pair.clock.seconds())
            pair.clock.tcpClients[-1][2].clientConnectionFailed(None, Failure(ConnectionRefusedError()))
    assert 20 <= len(times) <= 45  # in a minute, with a backoff of at most 3 s
    backoffs = [later - earlier for earlier, later in zip(times, times[1:], strict=False)][8:]
    assert max(backoffs) <= 3.2 and len({round(backoff, 1) for backoff in backoffs}) > 4


def test_unauthenticated_connections_do_not_block_authenticated_links():
    pair = MeshPair()
    pair.b.max_connections = 64
    accepted = []
    for _ in range(500):
        accepted.append(meshes.AcceptFactory(pair.b).buildProtocol(type("A", (), {"host": "127.0.0.1"})))
        accepted[-1].makeConnection(RecordingTransport())
        if len(accepted) > meshes.MIN_UNAUTHENTICATED:
            pair.lose_connection(accepted[-1 - meshes.MIN_UNAUTHENTICATED])
    assert sum(not link.transport.disconnected for link in accepted) == meshes.MIN_UNAUTHENTICATED
    pair.connect()
    pair.a.send("b", "x", 1)
    pair.pump()
    assert pair.received == [("b", "a", 1)]


@pytest.mark.parametrize("name", ["", "a b", "a/b", "a\nb", "x" * 65])
def test_a_name_that_is_unsuitable_for_logs_and_ids_is_rejected(name):
    assert MeshPair(names=(name, "b")).connect("127.0.0.9").acceptor.code == "unreadable"


def test_connections_are_bounded_and_a_failing_handler_closes_only_its_link():
    pair = MeshPair()
    pair.b.max_connections = 3
    accepted = []
    for _ in range(5):
        accepted.append(meshes.AcceptFactory(pair.b).buildProtocol(type("A", (), {"host": "127.0.0.1"})))
        if accepted[-1]:
            accepted[-1].makeConnection(RecordingTransport())
    assert [bool(link) for link in accepted] == [True] * 3 + [False] * 2
    pair = MeshPair().connect()
    pair.b.handlers["x"] = lambda peer, body: 1 / 0
    pair.a.send("b", "x", 1)
    pair.pump()
    assert pair.acceptor.code == "unusable"
    pair = MeshPair().connect()
    pair.a.send("b", "unheard-of", 1), pair.a.send("b", "x", 2)
    pair.pump()
    assert pair.b.drops.total == {"unknown-kind": 1} and pair.received == [("b", "a", 2)]


def test_key_files_are_created_private_never_overwritten_and_validated(tmp_path):
    path = tmp_path / "key"
    write_key_file(path, "k1")
    assert [*read_key_file(path).keys] == ["k1"] and path.stat().st_mode & 0o777 == 0o600
    with pytest.raises(OSError):
        write_key_file(path, "k2")
    valid_line = path.read_text()
    path.chmod(0o640)
    with pytest.raises(KeyFileError, match="others may read"):
        read_key_file(path)
    path.chmod(0o600)
    for text in (
        "",
        "k1",
        "k1 zz",
        "k1 00",
        valid_line + valid_line.replace("k1", "k2") + valid_line.replace("k1", "k3"),
    ):
        path.write_text(text)
        with pytest.raises(KeyFileError):
            read_key_file(path)
    path.write_text("# old and new\n" + valid_line + valid_line.replace("k1", "k2"))
    assert [*read_key_file(path).keys] == ["k1", "k2"]


VALID_FLEET_CONFIG = """version = 1
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


def test_all_errors_in_the_configuration_file_are_listed(tmp_path):
    write_key_file(tmp_path / "key", "k1")
    assert check_file(VALID_FLEET_CONFIG, tmp_path).faults == []
    invalid = VALID_FLEET_CONFIG.replace("version = 1", "version = 1\ncolour = 3").replace(
        '"127.0.0.1:2"', '"127.0.0.1:1"'
    )
    invalid = invalid.replace('"127.0.0.1:3"', '"far:away"') + "[times]\nbeat = 0\nelection = 'x'\n"
    invalid = invalid.replace('key_file = "key"', 'key_file = "none"')
    found = check_file(invalid, tmp_path).faults
    for text in ("colour", "group.member[1].address", "group.member[2].address", "times.beat",
                  "times.election", "none: No such file"):  # fmt: skip
        assert sum(text in line for line in found) == 1, (text, found)
    assert check_file("x = [", tmp_path).faults[0].startswith("not TOML")
    assert any("directory" in line for line in check_file('version = 1\nkey_file = "key"', tmp_path).faults)
    newer = check_file(VALID_FLEET_CONFIG.replace("version = 1", "version = 2"), tmp_path).faults
    assert newer == ["`version`: 2, this program reads 1"]
    short = VALID_FLEET_CONFIG + "[times]\nelection = 200\nlease = 300\n"
    found_short = check_file(short, tmp_path).faults
    assert "times.election" in found_short[0] and "lease" in found_short[1]
    (tmp_path / "fleet.toml").write_text("links = 256\n" + VALID_FLEET_CONFIG)
    assert load_config(tmp_path / "fleet.toml", "a").reserve_links(1024) == 768
    assert 768 > load_config(tmp_path / "fleet.toml", "z").max_links
    with pytest.raises(ConfigurationError, match="links"):
        load_config(tmp_path / "fleet.toml", "a").reserve_links(500)
    with pytest.raises(ConfigurationError, match="name"):
        load_config(tmp_path / "fleet.toml", "a b")
    (tmp_path / "fleet.toml").write_text(invalid)
    with pytest.raises(ConfigurationError, match="more, see check-config"):
        load_config(tmp_path / "fleet.toml", "a")
    code, _, output = run_ivystack("check-config", "--fleet", str(tmp_path / "fleet.toml"))
    assert code == 2 and output.count("\n") == len(found)


def test_a_failure_of_the_fleet_services_does_not_prevent_the_proxy_from_serving(tmp_path, log_lines):
    write_key_file(tmp_path / "key", "k1")
    (tmp_path / "fleet.toml").write_text(VALID_FLEET_CONFIG)
    tested_proxy = make_proxy()
    services = FleetServices(
        tested_proxy, str(tmp_path / "fleet.toml"), load_config(tmp_path / "fleet.toml", "z")
    )
    services.mesh.start = lambda: 1 / 0
    services.start()
    assert sum("fleet: could not start" in line for line in log_lines) == 1


def test_a_failure_of_the_fleet_services_does_not_prevent_the_shutdown_of_the_proxy():
    # Otherwise the proxy would ignore SIGTERM and serve until it is killed with requests in flight.
    tested_proxy = make_proxy()
    tested_proxy.port = None
    with pytest.raises(ZeroDivisionError):
        terminate(tested_proxy, type("FleetServices", (), {"prepare_shutdown": lambda self: 1 / 0})())
    assert tested_proxy.is_stopping


def test_a_listening_address_in_use_is_logged_once_and_retried(log_lines):
    pair = MeshPair()
    pair.a.listen_address = "127.0.0.1", 1
    original_listen = pair.clock.listenTCP
    attempts = []

    def listen_fails(*arguments):
        attempts.append(arguments)
        raise CannotListenError("127.0.0.1", 1, OSError(98, "in use"))

    pair.clock.listenTCP = listen_fails
    pair.a.listen()
    pair.clock.pump([0.1] * 20)
    assert len(attempts) > 5 and sum("retrying until" in line for line in log_lines) == 1
    pair.clock.listenTCP = original_listen
    pair.clock.advance(1)
    assert pair.a.port is not None


def test_links_count_against_the_socket_limit_and_too_many_links_prevent_the_start(tmp_path):
    write_key_file(tmp_path / "key", "k1")
    (tmp_path / "fleet.toml").write_text("links = 256\n" + VALID_FLEET_CONFIG)
    config, fleet = tmp_path / "c.json", tmp_path / "fleet.toml"
    limits = {"name": "a", "limits": {"sockets": 400}}
    addresses = {"listen": "127.0.0.1:1", "discovery": "127.0.0.1:1", "settings": {}}
    config.write_text(json.dumps(addresses | limits))
    code, _, output = run_ivystack("serve", "--config", str(config), "--fleet", str(fleet))
    assert code == 2 and "`links`: 256 of 400" in output and output.count("\n") == 1


def test_the_example_configuration_is_valid(tmp_path):
    text = open("deploy/fleet.example.toml").read()
    write_key_file(tmp_path / "fleet.key", "k1")
    assert (
        check_file(text.replace("/etc/ivystack/fleet.key", str(tmp_path / "fleet.key")), tmp_path).faults
        == []
    )


def test_links_between_real_processes_are_reestablished_after_each_kind_of_fault():
    code, output, _ = run_ivystack("rig", "play", "mesh", "--quiet")
    assert code == 0, output
