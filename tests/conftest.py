"""What tests with real processes share."""

import json
import os
import socket
import subprocess
import sys
import time

import known_red
import pytest
from ivystack.standin.apart import Discovery
from test_main import call, free_port

KNOWN = known_red.read(known_red.PLACE.read_text()) if known_red.PLACE.exists() else {}


def pytest_report_header():
    return [f"KNOWN-RED: {name} | {cause}" for name, cause in KNOWN.items()]


def pytest_collection_modifyitems(config, items):
    # Chosen by name, file or word, not all of them are here.
    chosen = config.option.keyword or config.option.markexpr or config.args_source.name == "ARGS"
    known_red.mark(KNOWN, items, not chosen)


METHODS = [
    {"name": name, "semantics": semantics, "latency_budget": 10**9, "give_up": 10**9, "criticality": 1.0}
    for name, semantics in (("read", "pure"), ("pay", "side_effect"))
]
LIMITS = {"most_write_outs": 3, "may_duplicate": True, "streams_per_conn": 10}
SETTINGS = {"methods": METHODS, "limits": LIMITS}


class Platform:
    """Holds the clients' listening socket and starts processes that inherit it."""

    def __init__(self, folder, *nodes):
        self.folder, self.running = folder, []
        self.discovery = Discovery(*nodes)
        self.door = socket.create_server(("127.0.0.1", 0), backlog=512)
        self.address = self.door.getsockname()
        (folder / "tmp").mkdir()

    def start(self, **more):
        admin = free_port()
        config = {
            "listen": f"127.0.0.1:{self.address[1]}", "discovery": self.discovery.address,
            "known": self.discovery.known, "settings": SETTINGS, "name": "p",
        } | more  # fmt: skip
        path = self.folder / f"{admin}.json"
        path.write_text(json.dumps(config))
        environ = {
            "LB_CONFIG": str(path), "LB_ADMIN_ADDR": f"127.0.0.1:{admin}",
            "LB_FD": str(self.door.fileno()), "TMPDIR": str(self.folder / "tmp"),
        }  # fmt: skip
        process = subprocess.Popen(
            [sys.executable, "-B", "-m", "ivystack"], env=os.environ | environ, stderr=subprocess.PIPE,
            pass_fds=[self.door.fileno()],
        )  # fmt: skip
        self.running.append(process)
        for _ in range(200):
            try:
                if call(admin, "GET", "/_ready") == 200:
                    return process
            except OSError:
                pass
            if process.poll() is not None:
                return process
            time.sleep(0.02)
        raise TimeoutError


@pytest.fixture
def platform(tmp_path):
    made = []

    def start(*nodes):
        made.append(Platform(tmp_path, *nodes))
        return made[-1]

    yield start
    for one in made:
        for process in one.running:
            process.kill()
            process.communicate()
        one.door.close()
