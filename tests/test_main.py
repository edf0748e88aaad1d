"""The program as a real process: start, readiness, reload, drain and exit codes."""

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
    """Start the program with a configuration; kill the processes that the test leaves running."""
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
    """A stand-in for discovery that accepts one connection, records the request and never answers."""

    def __init__(self):
        super().__init__(daemon=True)
        self.listener = socket.create_server(("127.0.0.1", 0))
        self.listener.settimeout(10)
        self.address = f"127.0.0.1:{self.listener.getsockname()[1]}"
        self.request = b""
        self.start()

    def run(self):
        self.connection = self.listener.accept()[0]
        self.request = self.connection.recv(1000)


def free_port():
    with socket.create_server(("127.0.0.1", 0)) as listener:
        return listener.getsockname()[1]


def connected(port):
    """Connect to a port of the loopback address, with retries until it listens."""
    for _ in range(100):
        try:
            return socket.create_connection(("127.0.0.1", port), timeout=5)
        except ConnectionRefusedError:
            time.sleep(0.05)
    raise TimeoutError


def test_an_invalid_configuration_ends_the_process_with_code_2_and_one_line(started):
    process = started(listen="127.0.0.1:0", discovery="127.0.0.1:1", settings={})
    _, log = process.communicate(timeout=10)
    assert process.returncode == 2 and log.count(b"\n") == 1 and b"listen" in log


def test_an_address_in_use_ends_the_process_with_code_1(started):
    with socket.create_server(("127.0.0.1", 0)) as other:
        address = f"127.0.0.1:{other.getsockname()[1]}"
        process = started(listen=address, discovery=f"127.0.0.1:{free_port()}", settings={})
        process.communicate(timeout=10)
    assert process.returncode == 1


def test_the_proxy_serves_until_half_a_second_after_sigterm(started):
    # Neither an unreachable discovery nor a client that sends garbage may end the process.
    port, node = free_port(), {"instanceId": "a", "hostPort": "127.0.0.1:1", "lifecycle": "SERVING"}
    known = {"generation": 1, "reset": True, "instances": [node]}
    process = started(
        listen=f"127.0.0.1:{port}", discovery=f"127.0.0.1:{free_port()}", settings={}, known=known
    )
    with connected(port) as client:
        client.sendall(bytes(range(256)) + b"\r\n")
        assert client.recv(100).startswith(b"-ERR ")
    process.send_signal(signal.SIGTERM)
    time.sleep(0.2)
    with connected(port) as client:
        client.sendall(encode_command(b"PING"))
        assert client.recv(100) == b"-ERR draining\r\n"
        assert client.recv(100) == b""  # closed between requests
    process.communicate(timeout=10)
    assert process.returncode == 0


def test_sighup_applies_a_new_discovery_address_and_rejects_an_invalid_file(started, tmp_path):
    # Guards against a process that ends on SIGHUP, or that keeps calling the previous discovery address.
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
    _, log = process.communicate(timeout=10)
    assert process.returncode == 0 and b"index=0" in old.request and b"index=0" in new.request
    assert log.count(b"configuration rejected") == 1 and b"code=moved" in log


def call(port, method, path):
    """Send a request to the admin address and return the status."""
    with closing(HTTPConnection("127.0.0.1", port, timeout=10)) as connection:
        connection.request(method, path)
        return connection.getresponse().status


def test_drain_and_its_end_work_beside_incomplete_admin_requests(started):
    port, admin_port = free_port(), free_port()
    node = {"instanceId": "a", "hostPort": "127.0.0.1:1", "lifecycle": "SERVING"}
    started(
        listen=f"127.0.0.1:{port}", discovery=f"127.0.0.1:{free_port()}", settings={},
        admin_addr=f"127.0.0.1:{admin_port}", known={"generation": 1, "reset": True, "instances": [node]},
    )  # fmt: skip
    connected(port).close()
    incomplete = []
    for _ in range(40):  # at most 16 connections stay open; each new one closes the oldest
        incomplete.append(connected(admin_port))
        incomplete[-1].sendall(b"GET /_ready HTTP/1.1\r\n")
    try:
        assert call(admin_port, "GET", "/_ready") == 200
        with connected(port) as idle:
            idle.sendall(encode_command(b"PING"))
            assert idle.recv(100) == b"+PONG\r\n"
            assert call(admin_port, "POST", "/_lameduck/on") == 200
            assert idle.recv(100) == b""  # closed by the drain
        with connected(port) as new:
            new.sendall(encode_command(b"PING"))
            assert new.recv(100) == b"-ERR draining\r\n" and new.recv(100) == b""
        assert call(admin_port, "GET", "/_ready") == 503
        assert call(admin_port, "POST", "/_lameduck/off") == 200 == call(admin_port, "GET", "/_ready")
    finally:
        for connection in incomplete:
            connection.close()


def test_an_admin_address_in_use_ends_the_process_with_code_1_and_one_line(started):
    with socket.create_server(("127.0.0.1", 0)) as other:
        admin_address = f"127.0.0.1:{other.getsockname()[1]}"
        process = started(
            listen=f"127.0.0.1:{free_port()}", discovery="127.0.0.1:1", settings={}, admin_addr=admin_address
        )
        _, log = process.communicate(timeout=10)
    assert process.returncode == 1 and log.count(b"\n") == 1 and admin_address.encode() in log
