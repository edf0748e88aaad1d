"""Closing a client's connection never costs a request that had reached this machine before (incident 47).

Each case forces the order on real connections: in one turn of the reactor the request arrives in the kernel,
and then, before anything is read, the proxy comes to close that connection.  A process that was held up meets
this order whenever it goes on.
"""

import errno
import os
import socket
from typing import Any

import pytest
from helpers import (
    connect_client,
    encode_get,
    encode_hit,
    open_server_connection,
    make_proxy,
    make_process_configuration,
)
from moments import ProxyHarness, CacheServer, encode_gets
from test_rig import ivy
from twisted.internet.error import ConnectionDone
from twisted.python.failure import Failure

from ivystack.net.admin import AdminServer
from ivystack.net.client_connection import ClientConnection
from ivystack.net.client_server import ClientServer
from ivystack.net.listener import ClientTransport
from ivystack.net.resp import encode_command

WAITS = b"c=read,t=t,d=60000"


class Resting:
    """A proxy with one node, and a client whose connection rests: after an answer, or new and silent."""

    def __init__(self, answered: bool):
        self.node = CacheServer("n0")
        self.moment = ProxyHarness().start(self.node)
        self.proxy, self.client_server = self.moment.proxy, self.moment.proxy.client_server
        self.asking = self.moment.client()
        self.asking.socket.setsockopt(socket.IPPROTO_TCP, socket.TCP_NODELAY, 1)  # no piece waits
        self.to_node: Any = None
        self.moment.wait_until(lambda: self.client_server.connections)
        (self.ours,) = self.moment.run_in_reactor(lambda: [*self.client_server.connections.values()])
        if answered:
            self.asking.send(encode_gets(1, b"first"))
            value = self.answer()
            assert self.asking.receive() == value

    def answer(self) -> bytes:
        """The node gives the next request a value of its own: of two alike the second passes for a copy."""
        if self.to_node is None:
            self.to_node = self.node.accept()
        value = self.to_node.receive()[2]
        self.to_node.send(encode_hit(value))
        return value

    def arrives(self, close, *values, data: bytes = encode_gets(1, b"late")) -> None:
        """In one turn: the bytes are in the kernel, unread, and then `close` is called."""

        def both() -> None:
            self.asking.send(data)
            close(*values)

        self.moment.run_in_reactor(both)

    def passes(self, microseconds: int) -> None:
        """What the clock calls for once so much time has passed, in the turn that this is called in."""
        self.moment.now += microseconds
        self.proxy.deadlines.run_due()

    def served(self) -> str:
        """Whether the request gets the value made for it; what became of it otherwise."""
        self.moment.wait_until(
            lambda: self.proxy.request_handler.requests
            or self.ours not in self.client_server.connections.values()
        )
        if not self.moment.run_in_reactor(lambda: bool(self.proxy.request_handler.requests)):
            return f"closed, code={self.ours.code}"
        value, took = self.answer(), self.asking.receive()
        return "served" if took == value else f"got {took!r}"


def idle_beyond_the_bound():
    case = Resting(answered=True)
    case.client_server.max_connections = 1
    case.moment.advance_clock(ClientServer.SHORT_IDLE_TIMEOUT + 1)
    case.arrives(lambda: case.client_server.close_idle(case.proxy.now()))
    return case


def no_room_after_an_answer():
    case = Resting(answered=True)
    case.client_server.max_connections = 1
    case.moment.advance_clock(ClientServer.MIN_SILENCE + 1)
    case.arrives(lambda: case.client_server.buildProtocol(None).makeConnection(Silent()))
    return case


def no_room_before_the_first_request():
    case = Resting(answered=False)
    case.client_server.max_connections = 1
    case.moment.advance_clock(ClientServer.MIN_SILENCE + 1)
    case.arrives(lambda: case.client_server.buildProtocol(None).makeConnection(Silent()))
    return case


def silent_since_it_connected():
    case = Resting(answered=False)
    case.arrives(case.passes, ClientConnection.COMMAND_TIMEOUT)
    return case


def half_a_command_whose_rest_is_there():
    case = Resting(answered=False)
    case.asking.send(encode_gets(1, b"late")[:30])
    case.moment.wait_until(lambda: not case.ours.at_message_boundary())
    case.arrives(case.passes, ClientConnection.COMMAND_TIMEOUT, data=encode_gets(1, b"late")[30:])
    return case


def half_a_command_on_an_idle_connection():
    case = Resting(answered=True)
    case.client_server.max_connections = 1
    case.asking.send(encode_gets(1, b"late")[:30])
    case.moment.wait_until(lambda: not case.ours.at_message_boundary())
    case.moment.advance_clock(ClientServer.SHORT_IDLE_TIMEOUT + 1)
    case.arrives(lambda: case.client_server.close_idle(case.proxy.now()), data=encode_gets(1, b"late")[30:])
    return case


def drained_while_idle():
    case = Resting(answered=True)
    case.arrives(case.client_server.drain.close_batch, [case.ours], False, "drained")
    return case


def halves_given_up_in_a_drain():
    case = Resting(answered=True)
    case.asking.send(encode_gets(1, b"late")[:30])
    case.moment.wait_until(lambda: not case.ours.at_message_boundary())
    case.arrives(
        case.client_server.drain.close_batch, [case.ours], True, "drained", data=encode_gets(1, b"late")[30:]
    )
    return case


def drained_with_its_answer():
    """The next request was sent before the answer to this one goes out, and the end with it."""
    case = Resting(answered=False)
    case.asking.send(encode_gets(1, b"first"))
    case.to_node = case.node.accept()
    case.to_node.receive()
    case.moment.run_in_reactor(case.proxy.start_draining)

    def answered() -> None:
        (link,) = case.proxy.server_pools.connections.values()
        link.dataReceived(encode_hit(b"first"))

    case.arrives(answered)
    assert case.asking.receive() == b"first"
    return case


class Silent:
    """The transport of a client that says nothing; nothing is made of it here."""

    connected = disconnecting = False

    def setTcpNoDelay(self, on):  # noqa: N802
        pass

    def registerProducer(self, producer, streaming):  # noqa: N802
        pass

    def abortConnection(self):  # noqa: N802
        pass


CASES = [
    idle_beyond_the_bound, no_room_after_an_answer, no_room_before_the_first_request,
    silent_since_it_connected, half_a_command_whose_rest_is_there,
    half_a_command_on_an_idle_connection, drained_while_idle, halves_given_up_in_a_drain,
    drained_with_its_answer,
]  # fmt: skip


def test_a_request_that_lies_unread_when_its_connection_is_closed_is_served():
    found = {}
    for make in CASES:
        case = make()
        try:
            found[make.__name__] = case.served()
        finally:
            case.moment.stop()
    assert {name: how for name, how in found.items() if how != "served"} == {}


MOMENTARY = {
    "accept": ["EMFILE", "ENFILE", "ENOBUFS", "ENOMEM", "ECONNABORTED", "EPROTO", "EPERM", "EHOSTUNREACH"],
    "recv": ["ENOMEM", "ENOBUFS", "EINTR"],
    "send": ["ENOMEM", "ENOBUFS", "EINTR"],
}


def test_a_call_that_fails_for_a_moment_costs_no_request(monkeypatch):
    failed = {}
    for call, errors in MOMENTARY.items():
        for error in errors:
            failed[call, error] = answer_while_failing(monkeypatch, call, error)
    assert {case: how for case, how in failed.items() if how != [b"v"] * 2} == {}


def answer_while_failing(monkeypatch, call: str, error: str) -> list:
    """Two clients' answers while three of such calls fail on the proxy's side of clients' connections."""
    node = CacheServer("n0")
    made = ProxyHarness().start(node)
    left, true_call = [3], getattr(socket.socket, call)

    def failing(self, *values):
        if left[0] and self.getsockname() == made.run.listen:
            left[0] -= 1
            raise OSError(getattr(errno, error), os.strerror(getattr(errno, error)))
        return true_call(self, *values)

    monkeypatch.setattr(socket.socket, call, failing)
    try:
        clients = [made.client(), made.client()]
        for number, one in enumerate(clients):
            one.send(encode_command(b"OBJ.GET", b"7f", b"%d" % number, WAITS))
        for _ in range(500 if call == "accept" else 0):  # the proxy may rest after each, so time has to pass
            if left[0]:
                made.advance_clock(20_000)
        made.advance_clock(20_000)
        links = []
        for _ in clients:  # neither is answered before both are there, so each has a connection of its own
            links.append(node.accept())
            if links[-1].receive() is None:
                return ["no request"]
        for one in links:
            one.send(encode_hit())
        return [one.receive() for one in clients]
    except (TimeoutError, AssertionError) as fault:
        return [repr(fault)]
    finally:
        monkeypatch.undo()
        made.stop()


@pytest.mark.parametrize("scene", ["held-up", "failing-calls"])
def test_proxies_that_are_held_up_again_and_again_lose_no_request(scene):
    code, told, _ = ivy("rig", "play", scene, "--seconds", "7", "--quiet")
    assert code == 0, told


# --- Related finds: what is overdue, what has not gone out, what ends while it is taken ---


def test_what_has_come_is_read_before_what_is_overdue():
    """Both are there when a process that was held up goes on: an answer, and a deadline it was in time."""
    case = Resting(answered=True)
    try:
        case.asking.send(encode_command(b"OBJ.GET", b"7f", b"late", b"c=read,t=t,d=900"))
        ident = case.to_node.receive()[2]

        def goes_on() -> None:
            case.to_node.send(encode_hit(ident))
            case.passes(2_000_000)

        # As the reactor's own timers are called: what such a call asks for comes after the sockets were read.
        case.moment.run_in_reactor(case.moment.reactor.real.callLater, 0, goes_on)
        assert case.asking.receive() == ident
    finally:
        case.moment.stop()


def test_bytes_of_an_attempt_that_has_ended_never_go_out():
    """The node takes nothing for a while, so an attempt waits in our own buffer when its request ends."""
    node = CacheServer("n0")
    node.listener.setsockopt(socket.SOL_SOCKET, socket.SO_RCVBUF, 4096)
    made = ProxyHarness(streams_per_conn=8, may_duplicate=True).start(node)
    try:
        asking = made.client()
        asking.send(encode_gets(1, b"first"))
        to_node = node.accept()
        to_node.receive()
        to_node.send(encode_hit(b"first"))
        assert asking.receive() == b"first"
        (link,) = made.run_in_reactor(lambda: [*made.proxy.server_pools.connections.values()])
        made.run_in_reactor(link.transport.socket.setsockopt, socket.SOL_SOCKET, socket.SO_SNDBUF, 4096)
        asking.send(encode_command(b"OBJ.SET", b"7f", b"big", b"c=pay,t=t,d=500", b"v" * 60_000))
        made.wait_until(lambda: link.transport.dataBuffer)
        made.advance_clock(600_000)
        assert asking.receive() == "-BUSY"  # it never ran, provably
        to_node.socket.settimeout(1)
        assert to_node.receive() is None  # the end, and no whole command before it
    finally:
        made.stop()


def test_a_request_whose_client_goes_while_it_is_taken_goes_nowhere():
    made = make_proxy(0)  # no node: it waits
    asking = connect_client(made)
    true_run_due = made.request_handler.run_due

    def leaves() -> None:  # as where another's ending cuts short what this client is being passed on
        made.request_handler.run_due = true_run_due
        made.client_server.abandon_pending(asking)

    made.request_handler.run_due = leaves
    asking.dataReceived(encode_get(b"1"))
    assert (
        not made.request_handler.requests
        and not made.request_handler.active
        and not made.client_server.request_ids
    )


def test_calls_of_operators_that_came_together_are_all_answered():
    """More than the bound at once, each with its whole call: they are read before the oldest makes way."""
    run = make_process_configuration()
    with socket.create_server(("127.0.0.78", 0)) as free:
        run.admin = free.getsockname()
    made = ProxyHarness(run=run).start(CacheServer("n0"))
    try:
        callers = []

        def all_at_once() -> None:
            for _ in range(AdminServer.MAX_CONNECTIONS + 8):
                callers.append(socket.create_connection(run.admin, timeout=10))
                callers[-1].sendall(b"GET /_ready HTTP/1.1\r\nHost: x\r\n\r\n")

        made.run_in_reactor(all_at_once)
        assert [one.recv(12) for one in callers] == [b"HTTP/1.1 200"] * len(callers)
    finally:
        for one in callers:
            one.close()
        made.stop()


def test_a_request_that_comes_late_after_sigterm_ends_before_sigkill_may_come():
    """It crossed the end of its connection and is served, but the earliest SIGKILL must not find it."""
    made = make_proxy(1)
    made.terminate()
    begun = made.now()
    made.reactor.advance(1.2)
    asking = connect_client(made)
    asking.dataReceived(encode_get(b"1", fields=b"c=read,t=t,d=900"))
    (active,) = made.request_handler.requests.values()
    assert active.request.deadline < begun + 1_000_000 + 700_000  # the longest deadline is 1 s here


def test_the_last_look_reads_to_the_end_though_reads_are_short_and_fail(monkeypatch):
    """A byte a read, every third one ENOMEM: half a command whose rest is there is no half command."""
    case = Resting(answered=True)
    calls, true_recv = [0], socket.socket.recv

    def short(self, size, *values):
        if self.getsockname() != case.moment.run.listen:
            return true_recv(self, size, *values)
        calls[0] += 1
        if calls[0] % 3 == 0:
            raise OSError(errno.ENOMEM, os.strerror(errno.ENOMEM))
        return true_recv(self, 1)

    monkeypatch.setattr(socket.socket, "recv", short)
    try:
        case.asking.send(encode_gets(1, b"late")[:30])
        case.moment.wait_until(lambda: not case.ours.at_message_boundary())
        case.arrives(
            case.client_server.drain.close_batch,
            [case.ours],
            True,
            "drained",
            data=encode_gets(1, b"late")[30:],
        )
        assert case.served() == "served"
    finally:
        monkeypatch.undo()
        case.moment.stop()


def test_a_connection_that_cannot_be_set_up_costs_no_other(monkeypatch):
    """The listening port stays, whatever the first connection's set-up raises; so with epoll_ctl."""
    node = CacheServer("n0")
    made = ProxyHarness().start(node)
    build, failures = made.proxy.client_server.buildProtocol, [RuntimeError("planted")]
    monkeypatch.setattr(
        made.proxy.client_server,
        "buildProtocol",
        lambda addr: _raise(failures.pop()) if failures else build(addr),
    )
    true_start, refused = ClientTransport.__mro__[1].startReading, [3]  # type: ignore[attr-defined]

    def start_reading(self):
        if refused[0] and isinstance(self, ClientTransport):
            refused[0] -= 1
            raise OSError(errno.ENOMEM, os.strerror(errno.ENOMEM))
        true_start(self)

    monkeypatch.setattr(ClientTransport.__mro__[1], "startReading", start_reading)
    try:
        assert made.client().receive() is None
        asking = made.client()
        asking.send(encode_gets(1))
        to_node = node.accept()
        to_node.receive()
        to_node.send(encode_hit())
        assert asking.receive() == b"v"
    finally:
        monkeypatch.undo()
        made.stop()


def _raise(fault):
    raise fault


@pytest.mark.parametrize("how", ["end", "reset"])
def test_what_a_client_asked_that_has_gone_before_it_is_read_is_sent_nowhere(how):
    """It was accepted late, or the process was held up: its request and its end lie there together."""
    made = ProxyHarness().start(CacheServer("n0"))
    true_send, sent = made.proxy.server_pools.send, []
    made.proxy.server_pools.send = lambda one, *values: (sent.append(one), true_send(one, *values))
    try:

        def asks_and_goes() -> None:
            asking = made.client()
            asking.send(encode_gets(1))
            getattr(asking, how)()

        made.run_in_reactor(asks_and_goes)
        made.wait_until(lambda: made.proxy.port.sessionno and not made.proxy.client_server.connections)
        assert sent == [] and not made.proxy.request_handler.requests
    finally:
        made.stop()


def leaving(made):
    """A client whose end lies unread in the kernel: it shows when somebody looks."""
    asking = connect_client(made)

    def look() -> bool:
        if asking.slot in made.client_server.connections:
            asking.connectionLost(Failure(ConnectionDone()))
        return False

    asking.transport.look_for_end = look
    return asking


def test_nothing_is_tried_again_for_a_client_whose_end_lies_unread():
    made = make_proxy(2)
    asking = leaving(made)
    asking.dataReceived(encode_get(b"1"))
    first = open_server_connection(made)
    assert len(made.reactor.tcpClients) == 1
    first.dataReceived(b"-ERR failed\r\n")
    assert (
        len(made.reactor.tcpClients) == 1
        and not made.request_handler.requests
        and not made.request_handler.in_flight
    )
    assert all(node.in_flight == 0 for node in made.balancer.servers.values())


def test_what_waited_for_a_connection_is_not_written_for_a_client_whose_end_lies_unread():
    made = make_proxy(1)
    asking = leaving(made)
    asking.dataReceived(encode_get(b"1"))
    made.reactor.advance(0.1)
    assert open_server_connection(made).transport.take_output() == b""
    assert (
        not made.request_handler.requests
        and not made.request_handler.in_flight
        and made.balancer.in_flight == 0
    )
