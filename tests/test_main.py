import json
import os
import signal
import socket
import subprocess
import sys
import threading
import time
from contextlib import closing
from http.client import HTTPConnection

import pytest
from helpers import encode_command


@pytest.fixture
def started(tmp_path):
    """Starts the program with a configuration; kills what a test leaves running."""
    running = []

    def start(**config):
        path = tmp_path / "config.json"
        path.write_text(json.dumps(config))
        environ = {"LB_CONFIG": str(path), "LB_DISCOVERY": config["discovery"]}
        running.append(
            subprocess.Popen(
                [sys.executable, "-B", "-m", "ivystack"],
                env=os.environ | environ,
                stderr=subprocess.PIPE,
            )
        )
        return running[-1]

    yield start
    for process in running:
        process.kill()
        process.communicate()


class Agent(threading.Thread):
    """Discovery as far as it tells that it is called: takes one connection and keeps it open."""

    def __init__(self):
        super().__init__(daemon=True)
        self.door = socket.create_server(("127.0.0.1", 0))
        self.door.settimeout(10)
        self.address = f"127.0.0.1:{self.door.getsockname()[1]}"
        self.asked = b""
        self.start()

    def run(self):
        self.one = self.door.accept()[0]
        self.asked = self.one.recv(1000)


def free_port():
    with socket.create_server(("127.0.0.1", 0)) as one:
        return one.getsockname()[1]


def connected(port):
    for _ in range(100):
        try:
            return socket.create_connection(("127.0.0.1", port), timeout=5)
        except ConnectionRefusedError:
            time.sleep(0.05)
    raise TimeoutError


def test_a_faulty_configuration_ends_it_with_code_2_and_one_line(started):
    process = started(listen="127.0.0.1:0", discovery="127.0.0.1:1", settings={})
    _, told = process.communicate(timeout=10)
    assert process.returncode == 2 and told.count(b"\n") == 1 and b"listen" in told


def test_a_taken_address_ends_it_with_code_1(started):
    with socket.create_server(("127.0.0.1", 0)) as other:
        address = f"127.0.0.1:{other.getsockname()[1]}"
        process = started(listen=address, discovery=f"127.0.0.1:{free_port()}", settings={})
        process.communicate(timeout=10)
    assert process.returncode == 1


def test_it_serves_until_sigterm_and_half_a_second_more(started):
    # Discovery is away all the while, and strange bytes come: neither may take it down.
    port, node = free_port(), {"instanceId": "a", "hostPort": "127.0.0.1:1", "lifecycle": "SERVING"}
    known = {"generation": 1, "reset": True, "instances": [node]}
    process = started(
        listen=f"127.0.0.1:{port}", discovery=f"127.0.0.1:{free_port()}", settings={}, known=known
    )
    with connected(port) as strange:
        strange.sendall(bytes(range(256)) + b"\r\n")
        assert strange.recv(100).startswith(b"-ERR ")
    process.send_signal(signal.SIGTERM)
    time.sleep(0.2)
    with connected(port) as asking:
        asking.sendall(encode_command(b"PING"))
        assert asking.recv(100) == b"-ERR draining\r\n"
        assert asking.recv(100) == b""  # closed between reqs
    process.communicate(timeout=10)
    assert process.returncode == 0


def test_sighup_moves_to_the_files_discovery_and_a_faulty_file_changes_nothing(started, tmp_path):
    # Guards against ending on SIGHUP, and against staying with a discovery that closes.
    port, old, new = free_port(), Agent(), Agent()
    config = {"listen": f"127.0.0.1:{port}", "settings": {}}
    process = started(**config, discovery=old.address)
    connected(port).close()
    old.join(10)
    for text in ("{", json.dumps(config | {"discovery": new.address})):
        (tmp_path / "config.json").write_text(text)
        process.send_signal(signal.SIGHUP)
        time.sleep(0.2)
    new.join(10)
    process.terminate()
    _, told = process.communicate(timeout=10)
    assert process.returncode == 0 and b"index=0" in old.asked and b"index=0" in new.asked
    assert told.count(b"configuration rejected") == 1 and b"code=moved" in told


def call(port, method, path):
    """The status of a call at the operators' address."""
    with closing(HTTPConnection("127.0.0.1", port, timeout=10)) as caller:
        caller.request(method, path)
        return caller.getresponse().status


def test_operators_drain_it_and_bring_it_back_beside_callers_that_say_nothing_whole(started):
    port, operators = free_port(), free_port()
    node = {"instanceId": "a", "hostPort": "127.0.0.1:1", "lifecycle": "SERVING"}
    started(
        listen=f"127.0.0.1:{port}", discovery=f"127.0.0.1:{free_port()}", settings={},
        admin_addr=f"127.0.0.1:{operators}", known={"generation": 1, "reset": True, "instances": [node]},
    )  # fmt: skip
    connected(port).close()
    holding = []
    for _ in range(40):  # each says its half while it is the newest: the oldest are cut off beyond sixteen
        holding.append(connected(operators))
        holding[-1].sendall(b"GET /_ready HTTP/1.1\r\n")
    try:
        assert call(operators, "GET", "/_ready") == 200
        with connected(port) as idle:
            idle.sendall(encode_command(b"PING"))
            assert idle.recv(100) == b"+PONG\r\n"
            assert call(operators, "POST", "/_lameduck/on") == 200
            assert idle.recv(100) == b""  # closed by the drain
        with connected(port) as new:
            new.sendall(encode_command(b"PING"))
            assert new.recv(100) == b"-ERR draining\r\n" and new.recv(100) == b""
        assert call(operators, "GET", "/_ready") == 503
        assert call(operators, "POST", "/_lameduck/off") == 200 == call(operators, "GET", "/_ready")
    finally:
        for one in holding:
            one.close()


def test_an_operators_address_that_is_taken_ends_it_with_code_1_and_one_line(started):
    with socket.create_server(("127.0.0.1", 0)) as other:
        taken = f"127.0.0.1:{other.getsockname()[1]}"
        process = started(
            listen=f"127.0.0.1:{free_port()}", discovery="127.0.0.1:1", settings={}, admin_addr=taken
        )
        _, told = process.communicate(timeout=10)
    assert process.returncode == 1 and told.count(b"\n") == 1 and taken.encode() in told
