"""Known failing tests, and a fixture that starts real proxy processes."""

import json
import os
import socket
import subprocess
import sys
import time

import known_red
import pytest
from ivystack.standin.apart import Discovery
from stale_list import StaleListPlay
from test_main import call, free_port

KNOWN = known_red.parse(known_red.KNOWN_RED_PATH.read_text()) if known_red.KNOWN_RED_PATH.exists() else {}


def pytest_report_header():
    return [f"KNOWN-RED: {test_id} | {cause}" for test_id, cause in KNOWN.items()]


def pytest_collection_modifyitems(config, items):
    # Where tests were selected by name, file or keyword, a known failing test may be absent.
    selected = config.option.keyword or config.option.markexpr or config.args_source.name == "ARGS"
    known_red.mark_expected_failures(KNOWN, items, not selected)


METHODS = [
    {"name": name, "semantics": semantics, "latency_budget": 10**9, "give_up": 10**9, "criticality": 1.0}
    for name, semantics in (("read", "pure"), ("pay", "side_effect"))
]
LIMITS = {"most_write_outs": 3, "may_duplicate": True, "streams_per_conn": 10}
SETTINGS = {"methods": METHODS, "limits": LIMITS}


class ProcessLauncher:
    """Holds the clients' listening socket and starts proxy processes that inherit it."""

    def __init__(self, folder, *servers):
        self.folder, self.running = folder, []
        self.discovery = Discovery(*servers)
        self.listener = socket.create_server(("127.0.0.1", 0), backlog=512)
        self.address = self.listener.getsockname()
        (folder / "tmp").mkdir()

    def start(self, **fields):
        """Start a process with these further configuration fields; return when it is ready or has ended.

        :raises TimeoutError: the process is neither ready nor has ended after 200 checks
        """
        admin_port = free_port()
        config = {
            "listen": f"127.0.0.1:{self.address[1]}", "discovery": self.discovery.address,
            "known": self.discovery.known, "settings": SETTINGS, "name": "p",
        } | fields  # fmt: skip
        path = self.folder / f"{admin_port}.json"
        path.write_text(json.dumps(config))
        environ = {
            "LB_CONFIG": str(path), "LB_ADMIN_ADDR": f"127.0.0.1:{admin_port}",
            "LB_FD": str(self.listener.fileno()), "TMPDIR": str(self.folder / "tmp"),
        }  # fmt: skip
        process = subprocess.Popen(
            [sys.executable, "-B", "-m", "ivystack"], env=os.environ | environ, stderr=subprocess.PIPE,
            pass_fds=[self.listener.fileno()],
        )  # fmt: skip
        self.running.append(process)
        for _ in range(200):
            try:
                if call(admin_port, "GET", "/_ready") == 200:
                    return process
            except OSError:
                pass
            if process.poll() is not None:
                return process
            time.sleep(0.02)
        raise TimeoutError


@pytest.fixture
def make_launcher(tmp_path):
    """Yield a function that makes a `ProcessLauncher` with these cache servers in its endpoint list."""
    launchers = []

    def make(*servers):
        launchers.append(ProcessLauncher(tmp_path, *servers))
        return launchers[-1]

    yield make
    for launcher in launchers:
        for process in launcher.running:
            process.kill()
            process.communicate()
        launcher.listener.close()


@pytest.fixture
def play(tmp_path):
    """Yield a play with one proxy, which is not started yet; end its processes."""
    play = StaleListPlay(tmp_path)
    yield play
    play.close()
