"""Stand-ins and helpers for the review's cases; standard library only, loopback only.

`CacheNode`, `Discovery` and `Relay` follow the pages: a cache node answers RESP2 in the order of the commands
of a connection and begins a command when its last byte has come; discovery serves the list and a watch over
HTTP/1.1; a relay adds a fixed delay in each direction.  All of them run in the test's own event loop.  The
proxy is a process of its own, started with the command `run` of the deploy file.
"""

import asyncio
import contextlib
import fcntl
import json
import os
import shutil
import signal
import socket
import struct
import subprocess
import sys
import tempfile
import termios
import time
import tomllib
from pathlib import Path

ROOT = Path(__file__).resolve().parents[2]
TROUBLE = os.environ.get("TROUBLE", "1") != "0"
HOST = "127.0.0.1"
NS = 1_000_000_000


class CannotRun(Exception):
    """The case could not be run (exit code 2)."""


class Record:
    """What was sent, answered and run, with seconds since the start."""

    def __init__(self, folder):
        self.started = time.monotonic()
        self.file = open(folder / "record.txt", "w", encoding="utf-8")
        self("record", f"trouble={int(TROUBLE)}")

    def now(self):
        return time.monotonic() - self.started

    def __call__(self, kind, text):
        self.file.write(f"{self.now():9.4f} {kind:<10} {text}\n")

    def close(self):
        self.file.close()


def bulk(data):
    return b"$%d\r\n%b\r\n" % (len(data), data)


def command(*arguments):
    return b"*%d\r\n" % len(arguments) + b"".join(map(bulk, arguments))


class Stream:
    """Reads RESP2 from a non-blocking socket; `may_read` is awaited before each read."""

    def __init__(self, sock, may_read=None, read_size=65_536):
        self.sock, self.may_read, self.read_size = sock, may_read, read_size
        self.data = bytearray()

    async def more(self):
        if self.may_read is not None:
            await self.may_read()
        piece = await asyncio.get_running_loop().sock_recv(self.sock, self.read_size)
        if not piece:
            raise ConnectionResetError("closed by the other side")
        self.data += piece

    async def line(self):
        while (end := self.data.find(b"\r\n")) < 0:
            await self.more()
        line = bytes(self.data[:end])
        del self.data[: end + 2]
        return line

    async def value(self):
        """Return a bulk string as bytes, null as None, an array as a list, anything else as its line."""
        line = await self.line()
        if line[:1] == b"$":
            size = int(line[1:])
            if size < 0:
                return None
            while len(self.data) < size + 2:
                await self.more()
            body = bytes(self.data[:size])
            del self.data[: size + 2]
            return body
        if line[:1] == b"*":
            return [await self.value() for _ in range(int(line[1:]))]
        return line.decode("latin-1")


def fields_of(command_words):
    return dict(part.partition(b"=")[::2] for part in command_words[3].split(b","))


class CacheNode:
    """A warm cache node: each answer is made for its request and holds the request's id and key.

    :param service: seconds of work for a command
    :param receive_buffer: bytes of the socket's receive buffer; 0 leaves it to the system
    """

    def __init__(self, name, record, service=0.005, receive_buffer=0):
        self.name, self.record, self.service = name, record, service
        self.listener = socket.socket()
        if receive_buffer:
            self.listener.setsockopt(socket.SOL_SOCKET, socket.SO_RCVBUF, receive_buffer)
        self.listener.setsockopt(socket.SOL_SOCKET, socket.SO_REUSEADDR, 1)
        self.listener.bind((HOST, 0))
        self.listener.listen(256)
        self.listener.setblocking(False)
        self.address = self.public = "{}:{}".format(*self.listener.getsockname())
        self.awake = asyncio.Event()  # cleared while the node hangs: it reads nothing and answers nothing
        self.awake.set()
        self.begun = {}  # id: time at which the last byte of the command came
        self.read_size, self.pause = 65_536, 0.0  # a slow reader takes small pieces with pauses
        self.started_ms = 0
        self.latest = {}  # connection: its latest command
        self.tasks = set()

    def start(self):
        self.spawn(self.accept())
        return self

    def spawn(self, call):
        task = asyncio.ensure_future(call)
        self.tasks.add(task)
        task.add_done_callback(self.tasks.discard)
        return task

    async def may_read(self):
        if self.pause:
            await asyncio.sleep(self.pause)
        await self.awake.wait()

    async def accept(self):
        loop = asyncio.get_running_loop()
        while True:
            sock, _ = await loop.sock_accept(self.listener)
            sock.setblocking(False)
            sock.setsockopt(socket.IPPROTO_TCP, socket.TCP_NODELAY, 1)
            self.spawn(self.serve(sock))

    async def serve(self, sock):
        stream, answers = Stream(sock, self.may_read, self.read_size), asyncio.Queue()
        writer = self.spawn(self.write(sock, answers))
        try:
            while True:
                words = await stream.value()
                if not isinstance(words, list) or words[0] not in (b"OBJ.GET", b"OBJ.SET"):
                    is_ping = isinstance(words, list) and words[0] == b"PING"
                    plain = b"+PONG\r\n" if is_ping else b"-ERR unknown command\r\n"
                    answers.put_nowait((None, asyncio.ensure_future(constant(plain))))
                    continue
                ident = words[2].decode()
                self.latest[sock] = words
                self.begun[ident] = self.record.now()
                self.record("begun", f"node={self.name} id={ident} {words[0].decode()} key={words[1].decode()}"
                            f" fields={words[3].decode()}")
                answers.put_nowait((words, asyncio.ensure_future(self.run(words))))
        except (OSError, ConnectionError) as error:
            self.record("node", f"{self.name} connection ended: {type(error).__name__}")
        finally:
            writer.cancel()
            self.latest.pop(sock, None)
            sock.close()

    async def run(self, words):
        await asyncio.sleep(self.service)
        self.record("ran", f"node={self.name} id={words[2].decode()}")
        value = b"made-for:%b:%b" % (words[2], words[1])
        return b"*3\r\n" + bulk(value) + bulk(b"hit") + b"$-1\r\n"

    async def write(self, sock, answers):
        loop = asyncio.get_running_loop()
        with contextlib.suppress(OSError):
            while True:
                words, work = await answers.get()
                answer = await work
                await self.awake.wait()
                await loop.sock_sendall(sock, answer)
                if words is not None:
                    await self.answered(sock, answers, words, answer)

    async def answered(self, sock, answers, words, answer):
        """Hook: an answer was written."""


async def constant(data):
    return data


class Discovery:
    """The agent of discovery: the whole list and a watch, from a list that the test may change."""

    def __init__(self, nodes, record, heartbeat=2.0):
        self.record, self.heartbeat, self.generation = record, heartbeat, 1
        self.entries = {node.name: self.entry(node, "SERVING") for node in nodes}
        self.changed = dict.fromkeys(self.entries, 1)
        self.news = asyncio.Condition()

    @staticmethod
    def entry(node, lifecycle):
        return {"instanceId": node.name, "hostPort": node.public, "zone": "a", "machineType": "full-node",
                "cell": 0, "lifecycle": lifecycle, "weight": 1.0, "startedAtMs": node.started_ms}

    def listing(self, since=0):
        entries = [entry for name, entry in self.entries.items() if self.changed[name] > since]
        return {"generation": self.generation, "reset": not since, "instances": entries}

    async def start(self):
        self.server = await asyncio.start_server(self.serve, HOST, 0)
        self.address = "{}:{}".format(*self.server.sockets[0].getsockname())
        return self

    async def serve(self, reader, writer):
        with contextlib.suppress(OSError, ConnectionError, asyncio.IncompleteReadError):
            head = await reader.readuntil(b"\r\n\r\n")
            target = head.split(b" ")[1].decode()
            self.record("discovery", f"call {target}")
            writer.write(b"HTTP/1.1 200 OK\r\nContent-Type: application/json\r\nTransfer-Encoding: chunked\r\n\r\n")
            since = int(target.partition("index=")[2] or 0)
            while True:
                line = json.dumps(self.listing(since)).encode() + b"\n" if since < self.generation else b"\n"
                since = self.generation
                writer.write(b"%x\r\n%b\r\n" % (len(line), line))
                await writer.drain()
                if "stream=1" not in target:
                    writer.write(b"0\r\n\r\n")
                    break
                await asyncio.sleep(self.heartbeat)
        writer.close()


class Relay:
    """A way to a node that takes `delay` seconds in each direction."""

    def __init__(self, node, delay):
        self.node, self.delay = node, delay

    async def start(self):
        self.server = await asyncio.start_server(self.serve, HOST, 0)
        self.node.public = "{}:{}".format(*self.server.sockets[0].getsockname())
        return self

    async def serve(self, reader, writer):
        host, port = self.node.address.split(":")
        try:
            far_reader, far_writer = await asyncio.open_connection(host, int(port))
        except OSError:
            return writer.close()
        for end in (writer, far_writer):
            end.get_extra_info("socket").setsockopt(socket.IPPROTO_TCP, socket.TCP_NODELAY, 1)
        await asyncio.gather(self.carry(reader, far_writer), self.carry(far_reader, writer))

    async def carry(self, reader, writer):
        loop, last = asyncio.get_running_loop(), None
        while True:
            try:
                piece = await reader.read(65_536)
            except OSError:
                piece = b""
            last = loop.call_later(self.delay, writer.write if piece else lambda _: writer.close(), piece)
            if not piece:
                return


def unacknowledged(sock):
    """Return how many bytes written to the socket the other side's machine has not acknowledged."""
    return struct.unpack("i", fcntl.ioctl(sock.fileno(), termios.TIOCOUTQ, b"\0" * 4))[0]


def reset(sock):
    """Reset the connection."""
    sock.setsockopt(socket.SOL_SOCKET, socket.SO_LINGER, struct.pack("ii", 1, 0))
    sock.close()


def free_port():
    with socket.socket() as probe:
        probe.bind((HOST, 0))
        return probe.getsockname()[1]


def method(name, semantics, budget_ms, give_up_ms, criticality=1.0, window_ms=0):
    return {"name": name, "semantics": semantics, "latency_budget": budget_ms * 10**6, "give_up": give_up_ms * 10**6,
            "criticality": criticality, "group": "all", "window": window_ms * 10**6, "streamed": False,
            "tardy_criticality": 0.0}


# The settings of the page's example, which are those of lindach-signing.
METHODS = [method("doc-view", "pure", 750, 1500, 5.0, 5000), method("sig-check", "pure", 600, 2500, 3.0, 5000),
           method("sign-submit", "token", 1200, 2500, 10.0, 12000)]


def settings(methods=METHODS, **limits):
    return {
        "methods": methods,
        "kinds": ["full-node", "slow-node"], "discovery": "push", "weight_source": "nominal", "granularity": 5_000_000,
        "n_instances": 1, "slot_no": 0, "zone": "a", "zones": ["a"], "excess_criticality": 0.1,
        "limits": {"connect_timeout": 250_000_000, "conn_idle": 60 * NS, "may_duplicate": True, "most_write_outs": 3,
                   "streams_per_conn": 100, "retry_after": True, "max_retry_after": 1_200_000_000, "peers": False,
                   "probes": True, "cancel": True} | limits,
        "reporting": {"how": "none", "columns": []},
        "rules": {"answer_slack": 20_000_000, "cold": 8_900_000_000, "cold_share": 0.3, "fall": NS,
                  "overload_factor": 4.0, "stop_sending_within": NS, "ask_within": 10 * NS},
        "specifics": {"mode": "through", "origin_kind": -1, "ordered": True},
    }


class Proxy:
    """A proxy, started with the deploy file's command; its log goes to proxy.log in the case's folder."""

    def __init__(self, folder, record, discovery, chosen, name="n0"):
        self.record, self.name = record, name
        self.temporary = tempfile.mkdtemp(prefix="ivystack-review-")
        self.port, self.admin_port = free_port(), free_port()
        config = {
            "name": name, "listen": f"{HOST}:{self.port}", "discovery": discovery.address, "seed": "8c1f30d27a5be964",
            "admin_addr": f"{HOST}:{self.admin_port}",
            "limits": {"cores": 1.0, "memory_mb": 192, "sockets": 1024}, "known": discovery.listing(),
            "settings": chosen,
        }
        path = Path(self.temporary, "config.json")
        path.write_text(json.dumps(config))
        (Path(self.temporary) / "tmp").mkdir()
        environ = {key: value for key, value in os.environ.items() if not key.startswith("LB_")}
        environ |= {"LB_CONFIG": str(path), "TMPDIR": str(Path(self.temporary, "tmp"))}
        if os.environ.get("REVIEW_TRACE"):
            environ["LB_TRACE"] = "1"
        run = tomllib.loads((ROOT / "deploy" / "balancer.toml").read_text())["run"]
        self.log = open(folder / f"{name}.log", "wb")
        self.process = subprocess.Popen(["/bin/sh", "-c", run], cwd=ROOT, env=environ, stdout=self.log,
                                        stderr=self.log)

    async def ready(self):
        for _ in range(300):
            if self.process.poll() is not None:
                raise CannotRun("the proxy ended at its start")
            with contextlib.suppress(OSError, ConnectionError, asyncio.TimeoutError):
                sock = await self.connect()
                try:
                    await asyncio.get_running_loop().sock_sendall(sock, command(b"PING"))
                    if await asyncio.wait_for(Stream(sock).value(), 1) == "+PONG":
                        self.record("proxy", "ready")
                        return self
                finally:
                    sock.close()
            await asyncio.sleep(0.1)
        raise CannotRun("the proxy was not ready within 30 s")

    async def connect(self, send_buffer=0):
        sock = socket.socket()
        if send_buffer:
            sock.setsockopt(socket.SOL_SOCKET, socket.SO_SNDBUF, send_buffer)
        sock.setblocking(False)
        sock.setsockopt(socket.IPPROTO_TCP, socket.TCP_NODELAY, 1)
        await asyncio.get_running_loop().sock_connect(sock, (HOST, self.port))
        return sock

    def signal(self, number):
        self.record("proxy", f"{signal.Signals(number).name}")
        self.process.send_signal(number)

    def end(self):
        if self.process.poll() is None:
            self.process.kill()
        self.process.wait()
        self.log.close()
        shutil.rmtree(self.temporary, ignore_errors=True)


def classify(answer):
    """Return what an answer means to a client: served, refused or failed."""
    if isinstance(answer, list):
        answer = answer[0] if answer else None
    if isinstance(answer, bytes):
        return "served"
    return "refused" if isinstance(answer, str) and answer.startswith("-BUSY") else "failed"


def main(case, folder):
    """Run `case(record, folder, ends)`, which returns the list of breaks; exit with 0, 1 or 2."""
    folder = Path(folder)
    signal.signal(signal.SIGTERM, lambda *_: sys.exit(2))
    record, ends, code = Record(folder), [], 2

    async def bounded():
        asyncio.get_running_loop().set_exception_handler(lambda loop, context: None)  # tasks cut off at the end
        return await asyncio.wait_for(case(record, folder, ends), 110)

    try:
        breaks = asyncio.run(bounded())
        for text in breaks:
            record("BROKEN", text)
        code = 1 if breaks else 0
        verdict = f"broken: {len(breaks)}" if breaks else "held"
    except CannotRun as error:
        verdict = f"could not run: {error}"
    except Exception as error:
        verdict = f"could not run: {type(error).__name__}: {error}"
    finally:
        for end in ends:
            end()
    record("verdict", verdict)
    record.close()
    print(f"case {folder.name}: trouble={int(TROUBLE)} {verdict}")
    sys.exit(code)
