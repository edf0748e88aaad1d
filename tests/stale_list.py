"""Plays moments in which a proxy's endpoint list is older than what the discovery agent has.

The proxy is a process of its own.  It can be held with SIGSTOP, so that it starts late or stands still.
"""

import json
import os
import signal
import socket
import subprocess
import sys
import time

from helpers import encode_command
from test_main import free_port

from ivystack.standin.apart import Discovery, Node, in_reactor
from ivystack.standin.ledger import DRAINING, SERVING

GRACE_SECONDS = 1.0
TOLERANCE_SECONDS = 0.05
COMMANDS = 120
COLD_SHARE = 0.1  # of its capacity with which a server starts
MS = 1_000_000  # nanoseconds
READ = {"name": "read", "semantics": "pure", "criticality": 1.0}
SETTINGS = {
    "methods": [READ | {"latency_budget": 20_000 * MS, "give_up": 20_000 * MS}],
    "limits": {"most_write_outs": 3, "may_duplicate": True, "streams_per_conn": 10},
    "rules": {
        "stop_sending_within": int(GRACE_SECONDS * 1000) * MS,
        "cold_share": COLD_SHARE,
        "cold": 60_000 * MS,
        "overload_factor": 4.0,
    },
    "discovery": "push",
}


class StaleListPlay:
    """A proxy, its cache servers and its discovery agent; `drain` lists n0 and n1 as draining."""

    def __init__(self, folder, servers=6):
        self.folder = folder
        self.servers = [Node(service_time=0.002) for _ in range(servers)]
        self.discovery = Discovery(*self.servers)
        self.known = self.discovery.known
        self.port = free_port()
        self.clients, self.processes = [], []
        self.rounds = 0

    def start(self, listener=None):
        """Start the proxy with the list that it had at first; it may inherit the listening socket."""
        path = self.write_configuration()
        environ = os.environ | {"LB_CONFIG": str(path)}
        if listener is not None:
            environ |= {"LB_FD": str(listener.fileno()), "TMPDIR": str(self.folder / "tmp")}
        with open(self.folder / "log", "ab") as log:
            self.process = subprocess.Popen(
                [sys.executable, "-B", "-m", "ivystack"], env=environ, stderr=log,
                pass_fds=[] if listener is None else [listener.fileno()],
            )  # fmt: skip
        self.processes.append(self.process)
        return self.process

    def write_configuration(self):
        """Write the proxy's configuration, and return its path."""
        path = self.folder / "config.json"
        config = {
            "listen": f"127.0.0.1:{self.port}", "discovery": self.discovery.address,
            "known": self.known, "settings": SETTINGS, "name": "p", "seed": "5",
        }  # fmt: skip
        path.write_text(json.dumps(config))
        return path

    def drain(self):
        """List two servers as draining; return when that was told, in seconds."""
        in_reactor(self.discovery.standin.change, DRAINING, *(node.standin for node in self.servers[:2]))
        return time.monotonic()

    def restart_servers(self):
        """List two servers as ready and started just now."""
        for node in self.servers[:2]:
            node.standin.started = time.time_ns() // 1000
        in_reactor(self.discovery.standin.change, SERVING, *(node.standin for node in self.servers[:2]))

    def mute_watches(self):
        """Let the open watches fall silent; calls from now on are answered."""
        in_reactor(self.discovery.standin.watches.clear)

    def reset_watches(self):
        """Reset the connections of the open watches; calls from now on are answered."""
        in_reactor(self.discovery.standin.reset_watches)

    def reset_calls(self):
        """Reset the connections of all calls and watches; further calls are answered."""
        in_reactor(self.discovery.standin.reset_calls)

    def answer_late(self, seconds):
        """Let the agent answer each further call after a time, as on a machine that is busy."""
        self.discovery.standin.answer_delay = lambda: seconds

    def move_discovery(self):
        """Give the agent a second address, and tell the proxy by SIGHUP; return when it was told."""
        standin = self.discovery.standin
        standin.address = None
        in_reactor(standin.listen)
        self.discovery.address = "{}:{}".format(*standin.address)
        self.write_configuration()
        self.process.send_signal(signal.SIGHUP)
        return time.monotonic()

    def connect(self, count=12):
        """Open connections for the commands, from the moment in which the proxy listens."""
        while len(self.clients) < count:
            try:
                self.clients.append(socket.create_connection(("127.0.0.1", self.port), timeout=10))
            except ConnectionRefusedError:
                time.sleep(0.001)

    def reconnect(self):
        """Open new connections in place of those that were used."""
        for client in self.clients:
            client.close()
        self.clients = []
        self.connect()

    def serve_a_round(self):
        """Start the proxy and serve each command once, so that it has connections to all servers."""
        self.start()
        self.connect()
        self.send_commands()
        assert self.read_answers() == COMMANDS

    def send_commands(self):
        """Write all commands to the open connections."""
        self.rounds += 1
        for number, client in enumerate(self.clients):
            client.sendall(
                b"".join(self.command(place) for place in range(number, COMMANDS, len(self.clients)))
            )

    def command(self, number):
        """Return a read with a key and an id of its own."""
        key, ident = number * 0x9E3779B97F4A7C15 % 2**53, b"r%d-%d" % (self.rounds, number)
        return encode_command(b"OBJ.GET", b"%016x" % key, ident, b"c=read,d=20000")

    def read_answers(self):
        """Return the number of commands that were served."""
        served = 0
        for client in self.clients:
            expected, data = COMMANDS // len(self.clients), b""
            while data.count(b"\r\n") < 2 * expected:
                received = client.recv(65_536)
                if not received:
                    break
                data += received
            served += data.count(b"$")
        return served

    def hold(self, seconds, *during):
        """Stop the process for a time; make the calls after a tenth of it."""
        self.process.send_signal(signal.SIGSTOP)
        time.sleep(seconds / 10)
        for call in during:
            call()
        time.sleep(seconds * 9 / 10)
        self.process.send_signal(signal.SIGCONT)

    def late_commands(self, told_at):
        """Return how many commands the draining servers received after the grace."""
        latest = (told_at + GRACE_SECONDS + TOLERANCE_SECONDS) * 1e6
        received = [command for node in self.servers[:2] for command in node.standin.ledger.commands]
        return sum(command.at > latest for command in received)

    def close(self):
        for client in self.clients:
            client.close()
        for process in self.processes:
            process.kill()
            process.wait()
