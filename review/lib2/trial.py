"""Stand-ins and helpers for the cases 6 to 10 of the second review.

Standard library only.  One asyncio loop holds the stand-ins for clients, cache servers, discovery and the
platform; the proxies are separate processes, started by the command `run` of the deploy file.  Everything
binds to loopback addresses and free ports.  What happens is written to `record.txt` in the case's folder.

Exit codes of a case: 0 the rule held, 1 it was broken, 2 the case could not run.
"""

from __future__ import annotations

import asyncio
import json
import os
import shutil
import signal
import socket
import sys
import tempfile
import time
import tomllib
import traceback
from pathlib import Path

ROOT = Path(__file__).resolve().parents[2]
MS = 1_000_000  # nanoseconds, the unit of the settings
TROUBLE = os.environ.get("TROUBLE", "1") != "0"
NODE_BACKLOG = 512


class CannotRunError(Exception):
    """The case can't be run here; this says nothing about the rule."""


def bulk(data: bytes) -> bytes:
    return b"$%d\r\n%b\r\n" % (len(data), data)


def command(*arguments: bytes) -> bytes:
    return b"*%d\r\n" % len(arguments) + b"".join(map(bulk, arguments))


def fields_of(text: bytes) -> dict[bytes, bytes]:
    return dict(part.partition(b"=")[::2] for part in text.split(b","))


class RespReader:
    """Reads RESP2 values from an asyncio stream."""

    def __init__(self, reader: asyncio.StreamReader) -> None:
        self.reader = reader

    async def read(self):
        line = await self.reader.readuntil(b"\r\n")
        kind, rest = line[:1], line[1:-2]
        if kind == b"*":
            return None if int(rest) < 0 else [await self.read() for _ in range(int(rest))]
        if kind == b"$":
            if int(rest) < 0:
                return None
            return (await self.reader.readexactly(int(rest) + 2))[:-2]
        return line[:-2].decode("latin-1")


class Trial:
    """One run of a case: the record, the processes and the stand-ins that it started."""

    def __init__(self, folder: Path) -> None:
        self.folder = folder
        self.record_file = open(folder / "record.txt", "w", encoding="utf-8")
        self.started_at = time.monotonic()
        self.temporary = Path(tempfile.mkdtemp(prefix="review-"))
        self.processes: list[asyncio.subprocess.Process] = []
        self.tasks: set[asyncio.Task] = set()
        self.servers: list = []

    def now(self) -> float:
        return time.monotonic() - self.started_at

    def log(self, text: str) -> None:
        self.record_file.write(f"{self.now():9.4f} {text}\n")

    def say(self, text: str) -> None:
        self.log(text)
        print(text, flush=True)

    def spawn(self, coroutine) -> asyncio.Task:
        task = asyncio.ensure_future(coroutine)
        self.tasks.add(task)
        task.add_done_callback(self.tasks.discard)
        return task

    async def listen(self, handler) -> tuple[str, int]:
        server = await asyncio.start_server(handler, "127.0.0.1", 0, backlog=NODE_BACKLOG, limit=1 << 20)
        self.servers.append(server)
        return server.sockets[0].getsockname()[:2]

    async def close(self) -> None:
        for process in self.processes:
            if process.returncode is None:
                process.kill()
        for process in self.processes:
            await process.wait()
        for task in [*self.tasks]:
            task.cancel()
        for server in self.servers:
            server.close()
        self.record_file.close()
        shutil.rmtree(self.temporary, ignore_errors=True)


def free_port() -> int:
    with socket.socket() as probe:
        probe.bind(("127.0.0.1", 0))
        return probe.getsockname()[1]


class Discovery:
    """The agent of discovery on the proxy's machine: the whole list, and a watch on its changes."""

    def __init__(self, trial: Trial) -> None:
        self.trial, self.entries, self.generation = trial, {}, 0
        self.watches: set[asyncio.StreamWriter] = set()

    async def start(self) -> str:
        host, port = await self.trial.listen(self._serve)
        return f"{host}:{port}"

    def listing(self, names=None, reset=True) -> dict:
        wanted = self.entries if names is None else names
        return {"generation": self.generation, "reset": reset, "instances": [self.entries[n] for n in wanted]}

    def change(self, name: str, address: str, lifecycle="SERVING", started_at_ms=0, **more) -> None:
        """Set an entry of the list, and tell it to every open watch."""
        self.generation += 1
        self.entries[name] = {
            "instanceId": name, "hostPort": address, "zone": "a", "machineType": "m1", "cell": 0,
            "lifecycle": lifecycle, "weight": 1.0, "startedAtMs": started_at_ms, **more,
        }  # fmt: skip
        line = json.dumps(self.listing([name], reset=False)).encode() + b"\n"
        for writer in self.watches:
            self._chunk(writer, line)
        self.trial.log(f"discovery tells {name} {lifecycle} to {len(self.watches)} watches")

    @staticmethod
    def _chunk(writer, data: bytes) -> None:
        writer.write(b"%x\r\n%b\r\n" % (len(data), data))

    async def _serve(self, reader, writer) -> None:
        try:
            head = await reader.readuntil(b"\r\n\r\n")
            body = json.dumps(self.listing()).encode() + b"\n"
            if b"stream=1" not in head.split(b"\r\n")[0]:
                writer.write(b"HTTP/1.1 200 OK\r\nContent-Length: %d\r\n\r\n%b" % (len(body), body))
                return
            writer.write(b"HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n")
            self._chunk(writer, body)
            self.watches.add(writer)
            while not writer.is_closing():
                await asyncio.sleep(2)
                self._chunk(writer, b"\n")
                await writer.drain()
        except (ConnectionError, asyncio.IncompleteReadError):
            pass
        finally:
            self.watches.discard(writer)
            writer.close()


class Slot:
    """The place of one command's answer on its connection; answers leave in the order of the commands."""

    __slots__ = ("connection", "arguments", "answer")

    def __init__(self, connection, arguments) -> None:
        self.connection, self.arguments, self.answer = connection, arguments, None


class NodeConnection:
    def __init__(self, node, writer) -> None:
        self.node, self.writer, self.pending = node, writer, []

    def reply(self, slot: Slot, answer: bytes) -> None:
        slot.answer = answer
        while self.pending and self.pending[0].answer is not None:
            done = self.pending.pop(0)
            if not self.writer.is_closing():
                self.writer.write(done.answer)
                if done.arguments[0] != b"PING":
                    ident, size = done.arguments[2].decode("latin-1"), len(done.answer)
                    self.node.trial.log(f"{self.node.name} answers {ident}: {done.answer[:32]!r} ({size} bytes)")
                self.node.written(self, done)


class Node:
    """A cache server.  Subclasses override `serve`; the default answers each request with its own id."""

    service_time = 0.001

    def __init__(self, trial: Trial, name: str) -> None:
        self.trial, self.name = trial, name
        self.ran: list[bytes] = []  # ids in the order in which they were begun
        self.connections: set[NodeConnection] = set()

    async def start(self) -> str:
        host, port = await self.trial.listen(self._serve)
        self.address = f"{host}:{port}"
        return self.address

    async def _serve(self, reader, writer) -> None:
        connection = NodeConnection(self, writer)
        self.connections.add(connection)
        writer.get_extra_info("socket").setsockopt(socket.IPPROTO_TCP, socket.TCP_NODELAY, 1)
        resp = RespReader(reader)
        try:
            while True:
                arguments = await resp.read()
                slot = Slot(connection, arguments)
                connection.pending.append(slot)
                name = arguments[0].upper()
                if name == b"PING":
                    connection.reply(slot, b"+PONG\r\n")
                elif name in (b"OBJ.GET", b"OBJ.SET") and len(arguments) in (4, 5):
                    self.ran.append(arguments[2])
                    self.trial.log(f"{self.name} begins {arguments[2].decode('latin-1')}")
                    self.trial.spawn(self.serve(slot))
                else:
                    connection.reply(slot, b"-SYNTAX\r\n")
        except (ConnectionError, asyncio.IncompleteReadError):
            pass
        finally:
            self.connections.discard(connection)
            writer.close()

    async def serve(self, slot: Slot) -> None:
        await asyncio.sleep(self.service_time)
        slot.connection.reply(slot, self.served(self.value(slot)))

    def value(self, slot: Slot) -> bytes:
        return b"v:" + slot.arguments[2]

    @staticmethod
    def served(value: bytes) -> bytes:
        return b"*3\r\n" + bulk(value) + bulk(b"hit") + b"$-1\r\n"

    def written(self, connection: NodeConnection, slot: Slot) -> None:
        """An answer has been written; for subclasses."""


METHODS = [  # a class of each effect, with figures like those of the site `lindach-signing`
    {"name": "read", "semantics": "pure", "criticality": 3.0,
     "latency_budget": 750 * MS, "give_up": 1500 * MS},
    {"name": "sign", "semantics": "token", "criticality": 10.0, "group": "all", "window": 12_000 * MS,
     "latency_budget": 1200 * MS, "give_up": 2500 * MS},
    {"name": "put", "semantics": "side_effect", "criticality": 2.0, "window": 5_000 * MS, "group": "all",
     "latency_budget": 1000 * MS, "give_up": 2500 * MS},
]  # fmt: skip
LIMITS = {"most_write_outs": 3, "may_duplicate": True, "conn_idle": 60_000 * MS,
          "connect_timeout": 250 * MS, "streams_per_conn": 100}  # fmt: skip


class Proxy:
    """A proxy of the project, started as the deploy file says."""

    def __init__(self, trial: Trial, discovery: Discovery, discovery_address: str, name="n0", **changes) -> None:
        self.trial, self.name = trial, name
        self.listen, self.admin = ("127.0.0.1", free_port()), ("127.0.0.1", free_port())
        self.folder = trial.temporary / name
        (self.folder / "tmp").mkdir(parents=True)
        self.configuration = {
            "name": name, "listen": "%s:%d" % self.listen, "discovery": discovery_address,
            "admin_addr": "%s:%d" % self.admin, "seed": "8c1f30d2",
            "limits": {"cores": 1.0, "memory_mb": 192, "sockets": 1024},
            "known": discovery.listing(),
            "settings": {
                "methods": METHODS, "limits": LIMITS, "kinds": ["m1"], "discovery": "push",
                "rules": {"stop_sending_within": 1000 * MS, "cold_share": 0.3, "cold": 9000 * MS,
                          "overload_factor": 4},
                "zone": "a", "zones": ["a"], "n_instances": 4, "slot_no": 0, "granularity": 5 * MS,
            },
            **changes,
        }  # fmt: skip

    async def start(self, within: float = 30.0, inherited: socket.socket | None = None) -> None:
        path = self.folder / "config.json"
        path.write_text(json.dumps(self.configuration))
        run = tomllib.loads((ROOT / "deploy" / "balancer.toml").read_text())["run"]
        environment = {k: v for k, v in os.environ.items() if not k.startswith("LB_")}
        environment |= {"LB_CONFIG": str(path), "TMPDIR": str(self.folder / "tmp")}
        if os.environ.get("PROXY_TRACE"):
            environment["LB_TRACE"] = "1"
        self.log_path = self.folder / "log.txt"
        inherit = {}
        if inherited is not None:  # an upgrade: the platform holds the listening socket
            environment["LB_FD"] = "3"
            inherit = {"pass_fds": (3,), "preexec_fn": lambda: os.dup2(inherited.fileno(), 3)}
        with open(self.log_path, "wb") as log:
            self.process = await asyncio.create_subprocess_exec(
                "/bin/sh", "-c", run, cwd=ROOT, env=environment, stdout=log, stderr=log, **inherit
            )
        self.trial.processes.append(self.process)
        deadline = self.trial.now() + within
        while not await (self._is_ready() if inherited else self._answers_ping()):
            if self.process.returncode is not None or self.trial.now() > deadline:
                raise CannotRunError(f"the proxy did not become ready: {self.log_path.read_text()[-400:]}")
            await asyncio.sleep(0.05)
        self.trial.log(f"proxy {self.name} is ready, pid {self.process.pid}")

    async def _answers_ping(self) -> bool:
        try:
            reader, writer = await asyncio.open_connection(*self.listen)
            writer.write(command(b"PING"))
            answer = await asyncio.wait_for(reader.readuntil(b"\r\n"), 1)
        except (OSError, asyncio.IncompleteReadError, asyncio.TimeoutError):
            return False
        writer.close()
        return answer == b"+PONG\r\n"

    async def _is_ready(self) -> bool:
        try:
            return await self.call("GET", "/_ready") == 200
        except (OSError, IndexError, asyncio.TimeoutError):
            return False

    async def call(self, method: str, path: str) -> int:
        """Make a call at the second address and return its status."""
        reader, writer = await asyncio.open_connection(*self.admin)
        writer.write(f"{method} {path} HTTP/1.1\r\nHost: x\r\nContent-Length: 0\r\n\r\n".encode())
        line = await asyncio.wait_for(reader.readline(), 5)
        writer.close()
        return int(line.split()[1])

    def signal(self, number: signal.Signals) -> None:
        self.trial.log(f"signal {number.name} to proxy {self.name}")
        self.process.send_signal(number)

    def keep_log(self, lines: int = 60) -> None:
        """Copy the end of the proxy's log into the record."""
        for line in self.log_path.read_text(errors="replace").splitlines()[-lines:]:
            self.trial.log(f"log of {self.name}: {line[:300]}")


def main(file: str, case) -> None:
    """Run the coroutine function `case(trial)`, which returns whether the rule held, and exit."""
    trial = Trial(Path(file).resolve().parent)

    async def run() -> int:
        task, loop = asyncio.current_task(), asyncio.get_running_loop()
        for number in (signal.SIGTERM, signal.SIGINT, signal.SIGHUP):
            loop.add_signal_handler(number, task.cancel)  # so that no process is left behind
        try:
            held = await asyncio.wait_for(case(trial), 110)
            trial.say(f"{'held' if held else 'BROKEN'} TROUBLE={int(TROUBLE)}")
            return 0 if held else 1
        except Exception:
            trial.say("could not run: " + traceback.format_exc())
            return 2
        except asyncio.CancelledError:
            trial.say("could not run: interrupted by a signal")
            return 2
        finally:
            await trial.close()

    code = asyncio.run(run())
    sys.stdout.flush()
    os._exit(code)  # at once: transports that are still open need no orderly end
