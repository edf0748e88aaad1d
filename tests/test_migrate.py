"""Migration of a configuration: what is carried over, what is listed, and that no partial file is written."""

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
def migrate(tmp_path):
    """Run the command on a configuration; return its exit code and the new file's path."""
    old, new = tmp_path / "old.json", tmp_path / "new.json"

    def run(config, *arguments):
        text = config if isinstance(config, str) else json.dumps(config)
        old.write_text(text)
        code = main([str(old), str(new), *arguments])
        assert old.read_text() == text
        return code, new

    return run


def test_the_new_shape_is_written_and_the_rest_carried_over(migrate):
    code, new = migrate(OLD)
    migrated = json.loads(new.read_text())
    assert code == 0 and migrated["settings"]["weight_source"] == "live"
    assert migrated["settings"]["limits"] == OLD["settings"]["limits"] | {"streams_per_conn": 1}
    assert migrated["settings"]["reporting"] == {"how": "answers", "columns": ["active", "waiting"]}
    assert migrated["known"] == OLD["known"] and migrated["settings"]["methods"] == OLD["settings"]["methods"]
    settings = load({"LB_CONFIG": str(new)}).settings
    assert settings.balancer.load.enabled and settings.streams_per_connection == 1


def test_keys_that_are_not_carried_over_are_listed(migrate, capsys):
    old = json.loads(json.dumps(OLD))
    old["settings"] |= {"discovery": "ask", "rules": {"ask_within": 10**10}, "colour": "green"}
    code, new = migrate(old, "--zone", "north=dar-ubungo")
    lines = capsys.readouterr().out.splitlines()
    assert code == 1 and len(lines) == 5 and all(line.startswith("not carried over: `") for line in lines)
    for key in ("settings.discovery", "settings.rules.ask_within", "settings.colour", "known.instances"):
        assert any(f"`{key}`" in line for line in lines)
    assert any("settings.zones" in line and "hill" in line for line in lines)
    migrated = json.loads(new.read_text())
    assert [entry["zone"] for entry in migrated["known"]["instances"]] == ["dar-ubungo"]
    assert migrated["settings"]["zones"] == ["dar-ubungo"]


def test_a_dry_run_lists_keys_and_writes_no_file(migrate, capsys):
    code, new = migrate(OLD | {"colour": 1}, "--dry-run")
    assert code == 1 and "`colour`" in capsys.readouterr().out and not new.exists()


def test_migrating_a_migrated_file_changes_nothing(migrate, tmp_path):
    _, new = migrate(OLD, "--zone", "north=x", "--zone", "hill=y")
    again = tmp_path / "again.json"
    assert main([str(new), str(again)]) == 0 and again.read_text() == new.read_text()
    third = tmp_path / "third.json"
    assert main([str(new), str(third), "--zone", "north=x", "--zone", "hill=y"]) == 0
    assert third.read_text() == new.read_text()


def test_an_invalid_configuration_gives_one_line_and_no_file(migrate, tmp_path, capsys):
    invalid_listen = OLD | {"listen": "nowhere"}
    invalid_class = {"settings": {"methods": [{"name": "m", "window": -1}]}}
    for config, key in (
        (invalid_listen, "listen"),
        (OLD | invalid_class, "window"),
        ("{", "not JSON"),
        ("[]", "object"),
    ):
        code, new = migrate(config)
        error = capsys.readouterr().err
        assert code == 2 and key in error and error.count("\n") == 1 and not new.exists()
    assert main([str(tmp_path / "none.json"), str(tmp_path / "new.json")]) == 2


def test_no_existing_file_is_overwritten(migrate, tmp_path):
    _, new = migrate(OLD)
    before = new.read_text()
    assert migrate(OLD | {"name": "other"})[0] == 2 and new.read_text() == before
    source = tmp_path / "old.json"
    text = source.read_text()
    assert main([str(source), str(source)]) == 2 and source.read_text() == text
    assert {path.name for path in tmp_path.iterdir()} == {"old.json", "new.json"}


class StandIn(threading.Thread):
    """A server thread that serves each connection in another thread until the test ends."""

    def __init__(self):
        super().__init__(daemon=True)
        self.listener = socket.create_server(("127.0.0.1", 0))
        self.address = f"127.0.0.1:{self.listener.getsockname()[1]}"
        self.start()

    @staticmethod
    def read(connection):
        try:
            return connection.recv(10_000)
        except ConnectionError:  # the proxy ended with the test
            return b""

    def run(self):
        while True:
            connection = self.listener.accept()[0]
            serve = self.serve  # type: ignore[attr-defined]  # each stand-in defines it
            threading.Thread(target=serve, args=(connection,), daemon=True).start()


class CacheNode(StandIn):
    """Answers with load reports, once `concurrent` commands have arrived on different connections."""

    def __init__(self, concurrent):
        self.all_arrived = threading.Barrier(concurrent)
        self.values = count(10)  # different values, because a duplicate of an answer would be dropped
        self.pipelined = 0  # commands received on a connection before the previous answer was sent
        super().__init__()

    def serve(self, connection):
        while text := self.read(connection):
            self.pipelined += text.count(b"OBJ.GET") > 1
            self.all_arrived.wait(10)
            connection.sendall(
                b"*3\r\n"
                + encode_bulk(b"%d" % next(self.values))
                + encode_bulk(b"hit")
                + encode_bulk(b'{"active":3}')
            )


class Agent(StandIn):
    """Discovery: a watch that sends the given lists one by one, the next when `next` is set."""

    def __init__(self, *lists):
        self.lists, self.next = lists, threading.Event()
        super().__init__()

    def serve(self, connection):
        self.read(connection)
        connection.sendall(b"HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n")
        for listing in self.lists:
            line = json.dumps(listing).encode() + b"\n"
            connection.sendall(b"%x\r\n%b\r\n" % (len(line), line))
            self.next.wait(10)
            self.next.clear()
        self.read(connection)


def test_the_proxy_serves_with_a_migrated_configuration(started, migrate):  # noqa: F811
    # Checks the new shape as a whole: changing weights, load reports, one request per connection.
    concurrent = 6
    server, port = CacheNode(concurrent), free_port()

    def listing(generation, weight):
        entry = {"instanceId": "a", "hostPort": server.address, "lifecycle": "SERVING", "weight": weight}
        return {"generation": generation, "reset": generation == 1, "instances": [entry]}

    agent = Agent(listing(1, 4.0), listing(2, 0.1), listing(3, None))
    old = {"listen": f"127.0.0.1:{port}", "discovery": agent.address, "settings": OLD["settings"]}
    code, new = migrate(old)
    assert code == 0
    started(**json.loads(new.read_text()))
    wait_until_ready(port)
    clients = [connected(port) for _ in range(concurrent)]
    for turn in range(3):
        for i, client in enumerate(clients):
            client.sendall(encode_get(b"%d-%d" % (turn, i), fields=b"c=read,d=5000"))
        answers = {client.recv(100) for client in clients}
        assert answers == {b"$2\r\n%d\r\n" % (10 + concurrent * turn + i) for i in range(concurrent)}
        agent.next.set()
    assert not server.pipelined


def wait_until_ready(port):
    with connected(port) as client:
        for _ in range(200):
            client.sendall(encode_command(b"PING"))
            if client.recv(100) == b"+PONG\r\n":
                return
            threading.Event().wait(0.02)
    raise TimeoutError
