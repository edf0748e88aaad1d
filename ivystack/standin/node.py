"""A stand-in for a cache server: it has cores, a queue, a cache that starts cold, and injected faults.

This module answers RESP2 commands on a listening socket. The stand-in must not execute a write twice on its
own, nor answer a command with the result of another, except where an injected fault asks for it.
"""

from __future__ import annotations

import re
from collections import OrderedDict, deque
from random import Random
from typing import Any

from twisted.internet.protocol import ServerFactory

from ..net.resp import MAX_VALUE, RespProtocol, encode_bulk
from .ledger import Ledger, ReceivedCommand

BUSY, FAILED, SYNTAX_ERROR = b"-BUSY\r\n", b"-ERR failed\r\n", b"-SYNTAX\r\n"
LATE_COPY_SECONDS = (0.001, 0.016)  # from a reply to its copy
DEADLINE_FIELD = re.compile(rb"(?:^|,)d=(\d+)")


class Command:
    """An OBJ.GET or OBJ.SET command, and the slot for its reply on the connection."""

    __slots__ = ("connection", "reply_slot", "key", "ident", "fields", "write", "deadline", "record")

    def __init__(self, connection: ProxyConnection, reply_slot: list, args: list, now: int):
        self.connection, self.reply_slot = connection, reply_slot
        self.key, self.ident = args[1], args[2]
        self.fields = dict(part.partition(b"=")[::2] for part in args[3].split(b","))
        self.write = args[0].upper() == b"OBJ.SET"
        timeout_ms = DEADLINE_FIELD.search(args[3])
        self.deadline = now + 1000 * int(timeout_ms[1]) if timeout_ms else None
        self.record: ReceivedCommand | None = None


class ProxyConnection(RespProtocol):
    """A connection from a proxy; replies are sent in the order of the commands.

    A pending reply is a list with one element, which is None until the reply is known.
    """

    arrays_only = True
    max_value_size = MAX_VALUE
    value_index = 4

    def __init__(self, node: Node, proxy: str):
        super().__init__()
        self.node, self.proxy = node, proxy
        self.pending_replies: deque[list] = deque()
        self.last_command: Command | None = None  # the last one that was replied to

    def connectionMade(self) -> None:  # noqa: N802
        self.transport.setTcpNoDelay(True)
        self.node.proxy_connections[self] = None

    def connectionLost(self, reason) -> None:  # noqa: N802
        self.node.proxy_connections.pop(self, None)
        self.pending_replies.clear()

    def stream_started(self, size: int):
        return lambda piece: None

    def fail_protocol(self, reason: str) -> None:
        self.abort(reason)

    def value_received(self, args) -> None:
        reply_slot: list = [None]
        self.pending_replies.append(reply_slot)
        command_name = args[0].upper() if args and isinstance(args[0], bytes) else b""
        if command_name in (b"OBJ.GET", b"OBJ.SET") and len(args) in (4, 5):
            self.node.receive(Command(self, reply_slot, args, self.node.now()))
        else:
            reply_slot[0] = b"+PONG\r\n" if command_name == b"PING" else SYNTAX_ERROR
        self.flush()

    def flush(self) -> None:
        """Send the replies that are known, up to the first that is not."""
        while self.pending_replies and self.pending_replies[0][0] is not None:
            self.transport.write(self.pending_replies.popleft()[0])


class ProxyConnectionFactory(ServerFactory):
    """Accepts connections from proxies, up to the limit of the cache server."""

    noisy = False

    def __init__(self, node: Node):
        self.node = node

    def buildProtocol(self, addr):  # noqa: N802
        if len(self.node.proxy_connections) >= self.node.max_connections:
            return None
        return ProxyConnection(self.node, self.node.names.get(addr.host, addr.host))


class Node:
    """A cache server on loopback.

    A command occupies one of `cores` for `service_time` seconds, which is the mean of an exponential
    distribution, or the exact time if `steady`. Up to `queue_limit` further commands wait for a core. The
    cache holds `memory` keys. The server counts as cold for `warm_up` microseconds after a start. `names`
    maps an address to the name of the proxy that connects from it. `value` answers every read; by default a
    read is answered with its own id, so that a client can check whose answer it received. `now` returns the
    time in microseconds.
    """

    def __init__(
        self, name: str, reactor, now, rng: Random, ledger: Ledger, origin=None, *, zone="", cores=4,
        service_time=0.004, steady=False, queue_limit=64, memory=100_000, warm_up=0, max_connections=1_000,
        value=None, names=None,
    ):  # fmt: skip
        self.name, self.reactor, self.now, self.rng, self.ledger = name, reactor, now, rng, ledger
        self.origin, self.zone, self.cores, self.service_time, self.steady = (
            origin, zone, cores, service_time, steady
        )  # fmt: skip
        self.queue_limit, self.memory, self.warm_up, self.max_connections = (
            queue_limit, memory, warm_up, max_connections
        )  # fmt: skip
        self.value, self.names = value, names or {}
        self.proxy_connections: dict[ProxyConnection, None] = {}
        self.cached_keys: OrderedDict[bytes, None] = OrderedDict()
        self.busy_cores = 0
        self.queue: deque[Command] = deque()
        self.incarnation = 0  # commands of an earlier incarnation are not answered
        self.started = 0  # in microseconds; 0 for a server that has been warm from the beginning
        self.port: Any = None  # the listening port; the reactor is untyped here
        self.address: tuple[str, int] | None = None
        self.draining = False
        # Injected faults: commands get no reply; service takes `slowdown` times as long; this share of the
        # commands fails; replies are corrupted in the given way ("twice", "late" for a second copy that comes
        # late, "noise" or "break").
        self.unresponsive = False
        self.slowdown, self.failure_rate, self.corruption = 1.0, 0.0, ""
        self.ids: list[bytes] = []

    def listen(self, host="127.0.0.1") -> None:
        """Listen on the previous address, or on a free port of `host` the first time."""
        host_and_port = self.address or (host, 0)
        self.port = self.reactor.listenTCP(
            host_and_port[1], ProxyConnectionFactory(self), backlog=512, interface=host_and_port[0]
        )
        self.address = (self.port.getHost().host, self.port.getHost().port)

    def crash(self) -> None:
        """Simulate a crash: reset all connections, refuse new ones, and lose the cache."""
        self.incarnation += 1
        self.busy_cores = 0
        self.queue.clear()
        self.cached_keys.clear()
        self.clear_faults()
        if self.port is not None:
            self.port.stopListening()
            self.port = None
        for connection in [*self.proxy_connections]:
            connection.transport.abortConnection()

    def clear_faults(self) -> None:
        """End all injected faults."""
        self.unresponsive, self.slowdown, self.failure_rate, self.corruption, self.draining = (
            False, 1.0, 0.0, "", False
        )  # fmt: skip

    def restart(self) -> None:
        """Start again with a cold cache."""
        self.started = self.now()
        if self.port is None:
            self.listen()

    def is_cold(self) -> bool:
        """Return whether the warm-up time since the last start has not passed."""
        return bool(self.started) and self.now() - self.started < self.warm_up

    # --- Commands ---

    def receive(self, command: Command) -> None:
        """Record a command, and start, queue or reject it."""
        request_class = command.fields.get(b"c", b"").decode("latin-1")
        self.ids.append(command.ident)
        command.record = ReceivedCommand(
            self.now(),
            self.name,
            command.connection.proxy,
            command.ident,
            request_class,
            command.write,
            self.is_cold(),
        )
        self.ledger.commands.append(command.record)
        if self.busy_cores < self.cores:
            self.start(command)
        elif len(self.queue) < self.queue_limit:
            self.queue.append(command)
        else:
            self.reject(command)

    def reject(self, command: Command) -> None:
        """Reply BUSY; the command is not executed."""
        command.record.busy = True
        self.reply(command, BUSY)

    def start(self, command: Command) -> None:
        """Occupy a core for the service time, unless the deadline of the command has passed."""
        if command.deadline is not None and self.now() > command.deadline:
            return self.reject(command)
        self.busy_cores += 1
        duration = (
            (self.service_time if self.steady else self.rng.expovariate(1 / self.service_time))
            if self.service_time
            else 0
        )
        self.reactor.callLater(duration * self.slowdown, self.service_finished, command, self.incarnation)

    def service_finished(self, command: Command, incarnation: int) -> None:
        """Free the core, start queued commands, and finish the command, if need be through the origin.

        Writes and reads of keys that are not cached go to the origin. A server without an origin treats each
        command as a hit.
        """
        if incarnation != self.incarnation:
            return
        self.busy_cores -= 1
        while self.queue and self.busy_cores < self.cores:
            self.start(self.queue.popleft())
        if self.unresponsive:
            return
        if self.failure_rate and self.rng.random() < self.failure_rate:
            return self.reply(command, FAILED)
        if self.origin is None:
            return self.complete(command, "hit", incarnation)
        if not command.write and command.key in self.cached_keys:
            self.cached_keys.move_to_end(command.key)
            return self.complete(command, "hit", incarnation)
        if not self.origin.serve(lambda: self.complete(command, "miss", incarnation)):
            self.reply(command, FAILED)

    def complete(self, command: Command, cache_result: str, incarnation: int) -> None:
        """Execute a write at the origin, update the cache, and reply.

        The effect of a write belongs to the origin and remains even if this server has crashed meanwhile.
        """
        if command.write and self.origin is not None:
            idempotency_key, request_class = command.fields.get(b"k", b""), command.record.request_class
            self.origin.write(self.name, command.ident, command.key, idempotency_key, request_class)
        if incarnation != self.incarnation:
            return
        if not command.write:
            self.cached_keys[command.key] = None
            if len(self.cached_keys) > self.memory:
                self.cached_keys.popitem(last=False)
        value = self.value or command.ident
        self.reply(command, b"*3\r\n" + encode_bulk(value) + encode_bulk(cache_result.encode()) + b"$-1\r\n")

    def reply(self, command: Command, reply: bytes) -> None:
        """Send the reply, corrupted if that fault is injected, unless the connection is closed."""
        connection = command.connection
        if connection not in self.proxy_connections:
            return
        if self.corruption == "twice":
            reply += reply
        elif self.corruption == "noise":
            reply = b"\x00noise\r\n"
        elif self.corruption == "break":
            connection.transport.write(reply[: len(reply) // 2])
            return connection.transport.abortConnection()
        elif self.corruption == "late":
            self.reactor.callLater(self.rng.uniform(*LATE_COPY_SECONDS), self.send_copy, command, reply)
        command.reply_slot[0] = reply
        command.connection.last_command = command
        connection.flush()

    def send_copy(self, command: Command, reply: bytes) -> None:
        """Send a reply once more, if no command came after its own and its connection is open."""
        connection = command.connection
        if connection in self.proxy_connections and not connection.pending_replies:
            if connection.last_command is command:
                connection.transport.write(reply)
