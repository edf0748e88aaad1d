"""Links between proxies: who is heard, what is dropped, what is bounded; the operators' file."""

import json
from random import Random

import pytest
from helpers import S, Transport, proxy
from loguru import logger
from test_rig import ivy
from twisted.internet.error import CannotListenError, ConnectionDone, ConnectionRefusedError
from twisted.internet.testing import MemoryReactorClock
from twisted.python.failure import Failure

from ivystack.__main__ import end
from ivystack.fleet.run import Together
from ivystack.fleet.settings import faults, load
from ivystack.mesh import link as links
from ivystack.mesh import mesh as meshes
from ivystack.mesh.keys import KeyFileError, Keys, read, write
from ivystack.mesh.mesh import Mesh
from ivystack.net.deadlines import DeadlineQueue
from ivystack.settings import FaultError

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
def said():
    lines = []
    number = logger.add(lambda line: lines.append(str(line)), format="{message}")
    yield lines
    logger.remove(number)


class Both:
    """Two meshes on one clock, and one connection from a to b."""

    def __init__(self, keys=(ONE, ONE), names=("a", "b")):
        self.clock = MemoryReactorClock()
        self.clock.advance(1000)
        self.got = []
        self.meshes = []
        for name, own in zip(names, keys, strict=True):
            deadlines = DeadlineQueue(self.clock, self.now)
            made = Mesh(self.clock, deadlines, self.now, Random(1), name, Keys(own), 512, MEMBERS, None)
            made.takers["x"] = lambda peer, body, name=name: self.got.append((name, peer, body))
            self.meshes.append(made)
        self.a, self.b = self.meshes

    def now(self):
        return round(self.clock.seconds() * S)

    def connect(self, host="127.0.0.1"):
        self.near = meshes.Calling(self.a, "b").buildProtocol(None)
        self.far = meshes.Called(self.b).buildProtocol(type("Address", (), {"host": host}))
        for one, at in ((self.far, host), (self.near, "127.0.0.2")):
            wire = Wire()
            wire.host = at
            one.makeConnection(wire)
        self.pump()
        return self

    def pump(self):
        while True:
            there, back = self.near.transport.took(), self.far.transport.took()
            if not there and not back:
                return
            self.far.dataReceived(there)
            self.near.dataReceived(back)

    def end(self, one):
        one.connectionLost(Failure(ConnectionDone()))


def test_two_proxies_that_share_a_key_hear_each_other_on_one_connection():
    both = Both().connect()
    assert both.a.say("b", "x", {"n": 1}) and both.b.say("a", "x", [2])
    both.pump()
    assert both.got == [("b", "a", {"n": 1}), ("a", "b", [2])]
    both.end(both.far)
    assert not both.b.say("a", "x", 3) and not both.a.say("nobody", "x", 3)


def test_two_processes_of_one_name_both_hear_and_a_reply_goes_to_the_one_that_asked():
    # Guards an upgrade: what was said to the name went to the newer process, the old one's lease ran out.
    both = Both().connect()
    old_near, old_far = both.near, both.far
    both.a.life = "0123456789abcdef"
    both.connect()
    assert [link.life for link in both.b.peers["a"]] == [old_far.life, both.a.life]
    both.b.takers["ask"] = lambda peer, body: both.b.reply(both.b.link, "x", body)
    old_near.write("ask", 7)
    old_far.dataReceived(old_near.transport.took())
    assert old_far.transport.value() and not both.far.transport.value()
    old_far.transport.clear()
    both.b.say("a", "x", 1)
    assert old_far.transport.value() and both.far.transport.value()


def test_a_key_is_changed_with_both_valid_meanwhile():
    # Old and new in turn: the second learns to accept it, the first signs with it, then the old one goes.
    steps = [(ONE, ONE), (ONE, ONE | TWO), (ONE | TWO, TWO | ONE), (TWO | ONE, TWO), (TWO, TWO)]
    for keys, good in [*((step, True) for step in steps), ((TWO, ONE | TWO), False), ((ONE, TWO), False)]:
        both = Both(keys).connect()
        both.a.say("b", "x", 1), both.b.say("a", "x", 2)
        both.pump()
        assert sorted(both.got) == ([("a", "b", 2), ("b", "a", 1)] if good else [])


def test_nothing_signed_with_another_key_is_heard_and_the_log_has_one_line_a_period(said):
    both = Both((ONE, TWO))
    for _ in range(50):
        both.connect()
        assert both.far.transport.disconnected
        both.end(both.far), both.end(both.near)
    assert both.b.total["bad-key"] == 50 and not both.b.peers and not both.b.open
    assert sum("bad-key" in line for line in said) == 1
    both.clock.advance(meshes.PERIOD / S)
    assert sum("bad-key" in line for line in said) == 2 and "bad-key=49" in said[-1]


def test_a_recorded_connection_played_again_is_not_heard():
    # The same bytes as then, to a listener that greets anew.
    both2 = Both()
    near = meshes.Calling(both2.a, "b").buildProtocol(None)
    near.makeConnection(Wire())
    hello = near.transport.took()
    far = meshes.Called(both2.b).buildProtocol(type("A", (), {"host": "127.0.0.1"}))
    far.makeConnection(Wire())
    far.dataReceived(hello)
    near.dataReceived(far.transport.took())
    both2.a.say("b", "x", "pay")
    record = hello + near.transport.took()
    again = meshes.Called(both2.b).buildProtocol(type("A", (), {"host": "127.0.0.1"}))
    again.makeConnection(Wire())
    again.dataReceived(record)
    assert not both2.got and again.code == "bad-digest"
    far.dataReceived(record[len(hello) :])  # where it belongs it is heard, once
    assert both2.got == [("b", "a", "pay")]
    far.dataReceived(record[len(hello) :][-40:])
    assert len(both2.got) == 1


def test_no_message_with_a_byte_flipped_is_heard_and_none_out_of_its_turn():
    both = Both().connect()
    both.a.say("b", "x", "first")
    first = both.near.transport.took()
    both.a.say("b", "x", "second")
    second = both.near.transport.took()
    for at in range(len(first)):
        other = Both().connect()
        other.a.say("b", "x", "first")
        text = bytearray(other.near.transport.took())
        text[at] ^= 1 << at % 8
        other.far.dataReceived(bytes(text))
        assert not other.got
    both.far.dataReceived(second)
    assert not both.got and both.far.code == "bad-digest"


def test_strange_greetings_end_the_connection_and_a_members_name_counts_from_its_own_address_alone():
    assert Both().connect("127.0.0.9").far.code == "not-its-address"
    stranger = Both(names=("c", "b")).connect("127.0.0.9")  # no member: any address will do
    stranger.a.say("b", "x", 1)
    stranger.pump()
    assert stranger.got == [("b", "c", 1)]
    for text in (b"\xff\xff\xff\xff", b"\x00\x00\x00\x05hello", b"GET / HTTP/1.1\r\n\r\n"):
        both = Both()
        far = meshes.Called(both.b).buildProtocol(type("A", (), {"host": "127.0.0.1"}))
        far.makeConnection(Wire())
        far.dataReceived(text)
        assert far.transport.disconnected and not both.b.peers
    both = Both()
    silent = meshes.Called(both.b).buildProtocol(type("A", (), {"host": "127.0.0.1"}))
    silent.makeConnection(Wire())
    both.clock.advance(links.GREET / S)
    assert silent.transport.disconnected and silent.code == "no-greeting"


def test_a_peer_that_reads_nothing_holds_no_more_than_the_bound_and_gets_the_newest(said):
    both = Both().connect()
    both.near.pauseProducing()
    for number in range(300):
        both.a.say("b", "x", [number, bytes(10_000)])
    assert both.near.size <= links.QUEUED and both.a.total["queue-full"] > 100
    assert sum("queue-full" in line for line in said) == 1
    both.near.resumeProducing()
    both.pump()
    numbers = [body[0] for _, _, body in both.got]
    assert numbers == [*range(numbers[0], 300)] and 80 < len(numbers) < 110
    assert not both.a.say("b", "x", bytes(links.MESSAGE + 1))


def test_a_peer_that_falls_silent_is_given_up_and_called_again_spaced_and_by_chance():
    both = Both().connect()
    both.a.failures.clear()
    beats = 0
    for _ in range(30):  # beats keep it up
        both.clock.advance(0.2)
        beats += bool(both.near.transport.value())
        both.pump()
    assert both.near.code is None and beats > 5
    for _ in range(30):
        both.clock.advance(0.2)
        both.near.transport.took(), both.far.transport.took()
    assert both.near.code == both.far.code == "silent"
    both.end(both.near)
    times = []
    for _ in range(600):
        before = len(both.clock.tcpClients)
        both.clock.advance(0.1)
        if len(both.clock.tcpClients) > before:
            times.append(both.clock.seconds())
            both.clock.tcpClients[-1][2].clientConnectionFailed(None, Failure(ConnectionRefusedError()))
    assert 20 <= len(times) <= 45  # a minute, at up to 3 s
    rests = [b - a for a, b in zip(times, times[1:], strict=False)][8:]
    assert max(rests) <= 3.2 and len({round(rest, 1) for rest in rests}) > 4


def test_strangers_who_only_connect_keep_nobody_out():
    both = Both()
    both.b.most = 64
    held = []
    for _ in range(500):
        held.append(meshes.Called(both.b).buildProtocol(type("A", (), {"host": "127.0.0.1"})))
        held[-1].makeConnection(Wire())
        if len(held) > Mesh.YOUNG:
            both.end(held[-1 - Mesh.YOUNG])
    assert sum(not one.transport.disconnected for one in held) == Mesh.YOUNG
    both.connect()
    both.a.say("b", "x", 1)
    both.pump()
    assert both.got == [("b", "a", 1)]


@pytest.mark.parametrize("name", ["", "a b", "a/b", "a\nb", "x" * 65])
def test_a_name_that_can_not_stand_in_logs_and_ids_is_not_taken(name):
    assert Both(names=(name, "b")).connect("127.0.0.9").far.code == "unreadable"


def test_connections_are_bounded_and_what_a_taker_can_not_bear_costs_that_link_alone():
    both = Both()
    both.b.most = 3
    made = []
    for _ in range(5):
        made.append(meshes.Called(both.b).buildProtocol(type("A", (), {"host": "127.0.0.1"})))
        if made[-1]:
            made[-1].makeConnection(Wire())
    assert [bool(one) for one in made] == [True] * 3 + [False] * 2
    both = Both().connect()
    both.b.takers["x"] = lambda peer, body: 1 / 0
    both.a.say("b", "x", 1)
    both.pump()
    assert both.far.code == "unusable"
    both = Both().connect()
    both.a.say("b", "unheard-of", 1), both.a.say("b", "x", 2)
    both.pump()
    assert both.b.total == {"unknown-kind": 1} and both.got == [("b", "a", 2)]


def test_key_files_are_new_private_and_checked(tmp_path):
    path = tmp_path / "key"
    write(path, "k1")
    assert [*read(path).keys] == ["k1"] and path.stat().st_mode & 0o777 == 0o600
    with pytest.raises(OSError):
        write(path, "k2")
    good = path.read_text()
    path.chmod(0o640)
    with pytest.raises(KeyFileError, match="others may read"):
        read(path)
    path.chmod(0o600)
    for text in ("", "k1", "k1 zz", "k1 00", good + good.replace("k1", "k2") + good.replace("k1", "k3")):
        path.write_text(text)
        with pytest.raises(KeyFileError):
            read(path)
    path.write_text("# old and new\n" + good + good.replace("k1", "k2"))
    assert [*read(path).keys] == ["k1", "k2"]


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


def test_all_faults_of_the_operators_file_are_listed(tmp_path):
    write(tmp_path / "key", "k1")
    assert faults(GOOD, tmp_path)[0] == []
    bad = GOOD.replace("version = 1", "version = 1\ncolour = 3").replace('"127.0.0.1:2"', '"127.0.0.1:1"')
    bad = bad.replace('"127.0.0.1:3"', '"far:away"') + "[times]\nbeat = 0\nelection = 'x'\n"
    bad = bad.replace('key_file = "key"', 'key_file = "none"')
    found = faults(bad, tmp_path)[0]
    for words in ("colour", "group.member[1].address", "group.member[2].address", "times.beat",
                  "times.election", "none: No such file"):  # fmt: skip
        assert sum(words in line for line in found) == 1, (words, found)
    assert faults("x = [", tmp_path)[0][0].startswith("not TOML")
    assert any("directory" in line for line in faults('version = 1\nkey_file = "key"', tmp_path)[0])
    short = GOOD + "[times]\nelection = 200\nlease = 300\n"
    assert ["times.election" in faults(short, tmp_path)[0][0], "lease" in faults(short, tmp_path)[0][1]]
    (tmp_path / "fleet.toml").write_text("links = 256\n" + GOOD)
    assert load(tmp_path / "fleet.toml", "a").spare(1024) == 768 > load(tmp_path / "fleet.toml", "z").links
    with pytest.raises(FaultError, match="links"):
        load(tmp_path / "fleet.toml", "a").spare(500)
    with pytest.raises(FaultError, match="name"):
        load(tmp_path / "fleet.toml", "a b")
    (tmp_path / "fleet.toml").write_text(bad)
    with pytest.raises(FaultError, match="more, see check-config"):
        load(tmp_path / "fleet.toml", "a")
    code, _, told = ivy("check-config", "--fleet", str(tmp_path / "fleet.toml"))
    assert code == 2 and told.count("\n") == len(found)


def test_a_fault_of_the_fleets_parts_does_not_keep_the_proxy_from_serving(tmp_path, said):
    write(tmp_path / "key", "k1")
    (tmp_path / "fleet.toml").write_text(GOOD)
    made = proxy()
    together = Together(made, str(tmp_path / "fleet.toml"), load(tmp_path / "fleet.toml", "z"))
    together.mesh.start = lambda: 1 / 0
    together.start()
    assert sum("fleet: could not start" in line for line in said) == 1


def test_a_fault_of_the_fleets_parts_does_not_keep_the_proxy_from_ending():
    # Guards SIGTERM: the proxy would have served on until it was killed with reqs in hand.
    made = proxy()
    made.port = None
    with pytest.raises(ZeroDivisionError):
        end(made, type("Together", (), {"hand_on": lambda self: 1 / 0})())
    assert made.ending


def test_an_address_that_is_taken_is_said_once_and_tried_again(said):
    both = Both()
    both.a.listen = "127.0.0.1", 1
    listens = both.clock.listenTCP
    tries = []

    def taken(*where):
        tries.append(where)
        raise CannotListenError("127.0.0.1", 1, OSError(98, "in use"))

    both.clock.listenTCP = taken
    both.a.answer()
    both.clock.pump([0.1] * 20)
    assert len(tries) > 5 and sum("tried again" in line for line in said) == 1
    both.clock.listenTCP = listens
    both.clock.advance(1)
    assert both.a.port is not None


def test_links_are_taken_from_the_descriptors_of_clients_and_nodes_and_too_many_end_the_start(tmp_path):
    write(tmp_path / "key", "k1")
    (tmp_path / "fleet.toml").write_text("links = 256\n" + GOOD)
    config, fleet = tmp_path / "c.json", tmp_path / "fleet.toml"
    limits = {"name": "a", "limits": {"sockets": 400}}
    places = {"listen": "127.0.0.1:1", "discovery": "127.0.0.1:1", "settings": {}}
    config.write_text(json.dumps(places | limits))
    code, _, told = ivy("serve", "--config", str(config), "--fleet", str(fleet))
    assert code == 2 and "`links`: 256 of 400" in told and told.count("\n") == 1


def test_the_example_that_operators_copy_is_good(tmp_path):
    text = open("deploy/fleet.example.toml").read()
    write(tmp_path / "fleet.key", "k1")
    assert faults(text.replace("/etc/ivystack/fleet.key", str(tmp_path / "fleet.key")), tmp_path)[0] == []


def test_links_between_real_processes_come_back_after_each_kind_of_fault():
    code, told, _ = ivy("rig", "play", "mesh", "--quiet")
    assert code == 0, told
