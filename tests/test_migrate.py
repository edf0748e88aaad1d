"""The move of a configuration: what is carried over, what is listed, and that nothing is ever half done."""

import json
import socket
import threading
from itertools import count

import pytest
from helpers import encode_bulk, encode_command, encode_get
from test_main import connected, free_port, started  # noqa: F401  a fixture

from ivystack.migrate import main
from ivystack.configuration.process import load

OLD = {
    "listen": "127.0.0.1:6379",
    "discovery": "127.0.0.1:8500",
    "limits": {"sockets": 256, "memory_mb": 64},
    "known": {
        "generation": 3,
        "reset": True,
        "instances": [
            {"instanceId": "a", "hostPort": "127.0.0.1:1", "zone": "north", "lifecycle": "SERVING"},
            {"instanceId": "b", "hostPort": "127.0.0.1:2", "zone": "hill", "lifecycle": "SERVING"},
        ],
    },
    "settings": {
        "methods": [
            {"name": "read", "semantics": "pure", "latency_budget": 10**9, "give_up": 10**9, "criticality": 1}
        ],
        "weight_source": "nominal",
        "zones": ["north", "hill"],
        "limits": {"streams_per_conn": 100, "most_write_outs": 3, "conn_idle": 10**10, "may_duplicate": True},
    },
}


@pytest.fixture
def move(tmp_path):
    old, new = tmp_path / "old.json", tmp_path / "new.json"

    def moved(config, *more):
        text = config if isinstance(config, str) else json.dumps(config)
        old.write_text(text)
        code = main([str(old), str(new), *more])
        assert old.read_text() == text
        return code, new

    return moved


def test_the_new_shape_is_written_and_the_rest_carried_over(move):
    code, new = move(OLD)
    made = json.loads(new.read_text())
    assert code == 0 and made["settings"]["weight_source"] == "live"
    assert made["settings"]["limits"] == OLD["settings"]["limits"] | {"streams_per_conn": 1}
    assert made["settings"]["reporting"] == {"how": "answers", "columns": ["active", "waiting"]}
    assert made["known"] == OLD["known"] and made["settings"]["methods"] == OLD["settings"]["methods"]
    settings = load({"LB_CONFIG": str(new)}).settings
    assert settings.balancer.load.enabled and settings.streams_per_connection == 1


def test_what_cannot_be_carried_over_is_listed_with_its_key(move, capsys):
    old = json.loads(json.dumps(OLD))
    old["settings"] |= {"discovery": "ask", "rules": {"ask_within": 10**10}, "colour": "green"}
    code, new = move(old, "--zone", "north=dar-ubungo")
    told = capsys.readouterr().out.splitlines()
    assert code == 1 and len(told) == 5 and all(line.startswith("not carried over: `") for line in told)
    for key in ("settings.discovery", "settings.rules.ask_within", "settings.colour", "known.instances"):
        assert any(f"`{key}`" in line for line in told)
    assert any("settings.zones" in line and "hill" in line for line in told)
    made = json.loads(new.read_text())
    assert [node["zone"] for node in made["known"]["instances"]] == ["dar-ubungo"]
    assert made["settings"]["zones"] == ["dar-ubungo"]


def test_a_dry_run_lists_and_writes_nothing(move, capsys):
    code, new = move(OLD | {"colour": 1}, "--dry-run")
    assert code == 1 and "`colour`" in capsys.readouterr().out and not new.exists()


def test_a_migrated_file_comes_out_unchanged(move, tmp_path):
    _, new = move(OLD, "--zone", "north=x", "--zone", "hill=y")
    again = tmp_path / "again.json"
    assert main([str(new), str(again)]) == 0 and again.read_text() == new.read_text()
    third = tmp_path / "third.json"
    assert main([str(new), str(third), "--zone", "north=x", "--zone", "hill=y"]) == 0
    assert third.read_text() == new.read_text()


def test_faults_are_one_line_and_nothing_is_written(move, tmp_path, capsys):
    listen = OLD | {"listen": "nowhere"}
    budget = {"settings": {"methods": [{"name": "m", "window": -1}]}}
    for config, key in ((listen, "listen"), (OLD | budget, "window"), ("{", "not JSON"), ("[]", "object")):
        code, new = move(config)
        told = capsys.readouterr().err
        assert code == 2 and key in told and told.count("\n") == 1 and not new.exists()
    assert main([str(tmp_path / "none.json"), str(tmp_path / "new.json")]) == 2


def test_no_file_is_written_over_the_source_included(move, tmp_path):
    _, new = move(OLD)
    before = new.read_text()
    assert move(OLD | {"name": "other"})[0] == 2 and new.read_text() == before
    source = tmp_path / "old.json"
    text = source.read_text()
    assert main([str(source), str(source)]) == 2 and source.read_text() == text
    assert {path.name for path in tmp_path.iterdir()} == {"old.json", "new.json"}


class StandIn(threading.Thread):
    """A thread that takes connections and answers each in a thread of its own, until the test's end."""

    def __init__(self):
        super().__init__(daemon=True)
        self.door = socket.create_server(("127.0.0.1", 0))
        self.address = f"127.0.0.1:{self.door.getsockname()[1]}"
        self.start()

    @staticmethod
    def read(one):
        try:
            return one.recv(10_000)
        except ConnectionError:  # the proxy ended with the test
            return b""

    def run(self):
        while True:
            one = self.door.accept()[0]
            serve = self.serve  # type: ignore[attr-defined]  # each stand-in defines it
            threading.Thread(target=serve, args=(one,), daemon=True).start()


class CacheNode(StandIn):
    """Answers only once so many commands are in hand, each on a connection of its own, with a load report."""

    def __init__(self, most):
        self.all = threading.Barrier(most)
        self.values = count(10)  # each its own: a second copy of an answer would be dropped
        self.behind = 0  # commands that came on a connection before the answer to the one before
        super().__init__()

    def serve(self, one):
        while text := self.read(one):
            self.behind += text.count(b"OBJ.GET") > 1
            self.all.wait(10)
            one.sendall(
                b"*3\r\n"
                + encode_bulk(b"%d" % next(self.values))
                + encode_bulk(b"hit")
                + encode_bulk(b'{"active":3}')
            )


class Agent(StandIn):
    """Discovery: a watch that tells the lists it is given, one after another."""

    def __init__(self, *lists):
        self.lists, self.next = lists, threading.Event()
        super().__init__()

    def serve(self, one):
        self.read(one)
        one.sendall(b"HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n")
        for listing in self.lists:
            line = json.dumps(listing).encode() + b"\n"
            one.sendall(b"%x\r\n%b\r\n" % (len(line), line))
            self.next.wait(10)
            self.next.clear()
        self.read(one)


def test_the_proxy_serves_on_the_commands_output(started, move):  # noqa: F811
    # Guards the move as a whole: weights that change, load reports, one req a connection.
    most = 6
    node, port = CacheNode(most), free_port()

    def listing(generation, weight):
        entry = {"instanceId": "a", "hostPort": node.address, "lifecycle": "SERVING", "weight": weight}
        return {"generation": generation, "reset": generation == 1, "instances": [entry]}

    agent = Agent(listing(1, 4.0), listing(2, 0.1), listing(3, None))
    old = {"listen": f"127.0.0.1:{port}", "discovery": agent.address, "settings": OLD["settings"]}
    code, new = move(old)
    assert code == 0
    started(**json.loads(new.read_text()))
    ready(port)
    clients = [connected(port) for _ in range(most)]
    for turn in range(3):
        for i, one in enumerate(clients):
            one.sendall(encode_get(b"%d-%d" % (turn, i), fields=b"c=read,d=5000"))
        got = {one.recv(100) for one in clients}
        assert got == {b"$2\r\n%d\r\n" % (10 + most * turn + i) for i in range(most)}
        agent.next.set()
    assert not node.behind


def ready(port):
    with connected(port) as one:
        for _ in range(200):
            one.sendall(encode_command(b"PING"))
            if one.recv(100) == b"+PONG\r\n":
                return
            threading.Event().wait(0.02)
    raise TimeoutError
