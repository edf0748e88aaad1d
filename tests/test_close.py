"""A request that has arrived before its connection is closed is not lost (incident 47).

Each case forces this order on real connections: in one reactor turn, the request arrives in the kernel, and
the proxy closes the connection before anything is read.  It occurs whenever a stalled process continues.
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
from test_rig import run_ivystack
from twisted.internet.error import ConnectionDone
from twisted.python.failure import Failure

from ivystack.net.admin import AdminServer
from ivystack.net.client_connection import ClientConnection
from ivystack.net.client_server import ClientServer
from ivystack.net.listener import ClientTransport
from ivystack.net.resp import encode_command

LONG_TIMEOUT_FIELDS = b"c=read,t=t,d=60000"


class CloseCase:
    """A proxy with one server, and a client that is connected and was either answered once or is silent."""

    def __init__(self, answered: bool):
        self.server = CacheServer("n0")
        self.harness = ProxyHarness().start(self.server)
        self.proxy, self.client_server = self.harness.proxy, self.harness.proxy.client_server
        self.client = self.harness.client()
        self.client.socket.setsockopt(socket.IPPROTO_TCP, socket.TCP_NODELAY, 1)  # pieces are sent at once
        self.server_connection: Any = None
        self.harness.wait_until(lambda: self.client_server.connections)
        (self.connection,) = self.harness.run_in_reactor(lambda: [*self.client_server.connections.values()])
        if answered:
            self.client.send(encode_gets(1, b"first"))
            value = self.answer_next_request()
            assert self.client.receive() == value

    def answer_next_request(self) -> bytes:
        """Answer the next request at the server with its id, and return that value.

        The values must differ, because an answer that equals the previous one counts as its duplicate.
        """
        if self.server_connection is None:
            self.server_connection = self.server.accept()
        value = self.server_connection.receive()[2]
        self.server_connection.send(encode_hit(value))
        return value

    def send_and_call(self, close, *values, data: bytes = encode_gets(1, b"late")) -> None:
        """In one reactor turn, send the data, which stays unread in the kernel, and then call `close`."""

        def send_and_close() -> None:
            self.client.send(data)
            close(*values)

        self.harness.run_in_reactor(send_and_close)

    def run_due_after(self, microseconds: int) -> None:
        """Advance the clock and make the calls that are then due, in the current reactor turn."""
        self.harness.now += microseconds
        self.proxy.deadlines.run_due()

    def result(self) -> str:
        """Return "served" if the request gets its value, or else a description of what happened."""
        self.harness.wait_until(
            lambda: self.proxy.request_handler.requests
            or self.connection not in self.client_server.connections.values()
        )
        if not self.harness.run_in_reactor(lambda: bool(self.proxy.request_handler.requests)):
            return f"closed, code={self.connection.code}"
        value, received = self.answer_next_request(), self.client.receive()
        return "served" if received == value else f"got {received!r}"


def idle_timeout():
    case = CloseCase(answered=True)
    case.client_server.max_connections = 1
    case.harness.advance_clock(ClientServer.SHORT_IDLE_TIMEOUT + 1)
    case.send_and_call(lambda: case.client_server.close_idle(case.proxy.now()))
    return case


def eviction_after_an_answer():
    case = CloseCase(answered=True)
    case.client_server.max_connections = 1
    case.harness.advance_clock(ClientServer.MIN_SILENCE + 1)
    case.send_and_call(lambda: case.client_server.buildProtocol(None).makeConnection(SilentTransport()))
    return case


def eviction_before_the_first_request():
    case = CloseCase(answered=False)
    case.client_server.max_connections = 1
    case.harness.advance_clock(ClientServer.MIN_SILENCE + 1)
    case.send_and_call(lambda: case.client_server.buildProtocol(None).makeConnection(SilentTransport()))
    return case


def silence_timeout():
    case = CloseCase(answered=False)
    case.send_and_call(case.run_due_after, ClientConnection.COMMAND_TIMEOUT)
    return case


def partial_command_timeout():
    case = CloseCase(answered=False)
    case.client.send(encode_gets(1, b"late")[:30])
    case.harness.wait_until(lambda: not case.connection.at_message_boundary())
    case.send_and_call(
        case.run_due_after, ClientConnection.COMMAND_TIMEOUT, data=encode_gets(1, b"late")[30:]
    )
    return case


def idle_timeout_within_a_command():
    case = CloseCase(answered=True)
    case.client_server.max_connections = 1
    case.client.send(encode_gets(1, b"late")[:30])
    case.harness.wait_until(lambda: not case.connection.at_message_boundary())
    case.harness.advance_clock(ClientServer.SHORT_IDLE_TIMEOUT + 1)
    case.send_and_call(
        lambda: case.client_server.close_idle(case.proxy.now()), data=encode_gets(1, b"late")[30:]
    )
    return case


def drain_of_an_idle_connection():
    case = CloseCase(answered=True)
    case.send_and_call(case.client_server.drain.close_batch, [case.connection], False, "drained")
    return case


def drain_of_partial_commands():
    case = CloseCase(answered=True)
    case.client.send(encode_gets(1, b"late")[:30])
    case.harness.wait_until(lambda: not case.connection.at_message_boundary())
    case.send_and_call(
        case.client_server.drain.close_batch,
        [case.connection],
        True,
        "drained",
        data=encode_gets(1, b"late")[30:],
    )
    return case


def drain_with_an_answer():
    """A drain closes the connection with the answer to a request, after the next request was sent."""
    case = CloseCase(answered=False)
    case.client.send(encode_gets(1, b"first"))
    case.server_connection = case.server.accept()
    case.server_connection.receive()
    case.harness.run_in_reactor(case.proxy.start_draining)

    def answered() -> None:
        (connection,) = case.proxy.server_pools.connections.values()
        connection.dataReceived(encode_hit(b"first"))

    case.send_and_call(answered)
    assert case.client.receive() == b"first"
    return case


class SilentTransport:
    """The transport of a client that sends nothing."""

    connected = disconnecting = False

    def setTcpNoDelay(self, on):  # noqa: N802
        pass

    def registerProducer(self, producer, streaming):  # noqa: N802
        pass

    def abortConnection(self):  # noqa: N802
        pass


CASES = [
    idle_timeout, eviction_after_an_answer, eviction_before_the_first_request,
    silence_timeout, partial_command_timeout,
    idle_timeout_within_a_command, drain_of_an_idle_connection, drain_of_partial_commands,
    drain_with_an_answer,
]  # fmt: skip


def test_a_request_that_is_unread_when_its_connection_is_closed_is_served():
    results = {}
    for make_case in CASES:
        case = make_case()
        try:
            results[make_case.__name__] = case.result()
        finally:
            case.harness.stop()
    assert {name: result for name, result in results.items() if result != "served"} == {}


TRANSIENT_ERRORS = {  # by system call
    "accept": ["EMFILE", "ENFILE", "ENOBUFS", "ENOMEM", "ECONNABORTED", "EPROTO", "EPERM", "EHOSTUNREACH"],
    "recv": ["ENOMEM", "ENOBUFS", "EINTR"],
    "send": ["ENOMEM", "ENOBUFS", "EINTR"],
}


def test_transient_errors_of_system_calls_lose_no_request(monkeypatch):
    answers = {}
    for call, errors in TRANSIENT_ERRORS.items():
        for error in errors:
            answers[call, error] = answers_while_failing(monkeypatch, call, error)
    assert {case: received for case, received in answers.items() if received != [b"v"] * 2} == {}


def answers_while_failing(monkeypatch, call: str, error_name: str) -> list:
    """Return the answers of two clients while three calls fail on the proxy's side of their connections."""
    server = CacheServer("n0")
    harness = ProxyHarness().start(server)
    failures_left, original = [3], getattr(socket.socket, call)

    def failing(self, *values):
        if failures_left[0] and self.getsockname() == harness.run.listen:
            failures_left[0] -= 1
            raise OSError(getattr(errno, error_name), os.strerror(getattr(errno, error_name)))
        return original(self, *values)

    monkeypatch.setattr(socket.socket, call, failing)
    try:
        clients = [harness.client(), harness.client()]
        for number, client in enumerate(clients):
            client.send(encode_command(b"OBJ.GET", b"7f", b"%d" % number, LONG_TIMEOUT_FIELDS))
        for _ in range(500 if call == "accept" else 0):  # the proxy may pause accepting after each failure
            if failures_left[0]:
                harness.advance_clock(20_000)
        harness.advance_clock(20_000)
        connections = []
        for _ in clients:  # no request is answered before both have arrived on different connections
            connections.append(server.accept())
            if connections[-1].receive() is None:
                return ["no request"]
        for connection in connections:
            connection.send(encode_hit())
        return [client.receive() for client in clients]
    except (TimeoutError, AssertionError) as error:
        return [repr(error)]
    finally:
        monkeypatch.undo()
        harness.stop()


@pytest.mark.parametrize("scene", ["held-up", "failing-calls"])
def test_scenarios_with_stalls_and_failing_calls_lose_no_request(scene):
    code, output, _ = run_ivystack("rig", "play", scene, "--seconds", "7", "--quiet")
    assert code == 0, output


# --- Related faults: overdue calls, unsent output, and requests that end during their admission ---


def test_sockets_are_read_before_overdue_calls_are_made():
    """When a stalled process continues, an answer that arrived in time must win over its overdue deadline."""
    case = CloseCase(answered=True)
    try:
        case.client.send(encode_command(b"OBJ.GET", b"7f", b"late", b"c=read,t=t,d=900"))
        request_id = case.server_connection.receive()[2]

        def continue_after_stall() -> None:
            case.server_connection.send(encode_hit(request_id))
            case.run_due_after(2_000_000)

        # Called like the reactor's own timers, so that a further timer runs after the sockets were read.
        case.harness.run_in_reactor(case.harness.reactor.real.callLater, 0, continue_after_stall)
        assert case.client.receive() == request_id
    finally:
        case.harness.stop()


def test_buffered_bytes_of_an_ended_attempt_are_not_sent():
    """The server reads nothing for a while, so that an attempt is still buffered when its request ends."""
    server = CacheServer("n0")
    server.listener.setsockopt(socket.SOL_SOCKET, socket.SO_RCVBUF, 4096)
    harness = ProxyHarness(streams_per_conn=8, may_duplicate=True).start(server)
    try:
        client = harness.client()
        client.send(encode_gets(1, b"first"))
        server_connection = server.accept()
        server_connection.receive()
        server_connection.send(encode_hit(b"first"))
        assert client.receive() == b"first"
        (connection,) = harness.run_in_reactor(lambda: [*harness.proxy.server_pools.connections.values()])
        harness.run_in_reactor(
            connection.transport.socket.setsockopt, socket.SOL_SOCKET, socket.SO_SNDBUF, 4096
        )
        client.send(encode_command(b"OBJ.SET", b"7f", b"big", b"c=pay,t=t,d=500", b"v" * 60_000))
        harness.wait_until(lambda: connection.transport.dataBuffer)
        harness.advance_clock(600_000)
        assert client.receive() == "-BUSY"  # provably not executed
        server_connection.socket.settimeout(1)
        assert server_connection.receive() is None  # closed without a whole command before
    finally:
        harness.stop()


def test_a_request_abandoned_during_its_admission_is_not_forwarded():
    proxy = make_proxy(0)  # without a server, the request waits
    client = connect_client(proxy)
    original = proxy.request_handler.due.run

    # As if the end of another request broke off a response that is streamed to this client.
    def abandon() -> None:
        proxy.request_handler.due.run = original
        proxy.client_server.abandon_pending(client)

    proxy.request_handler.due.run = abandon
    client.dataReceived(encode_get(b"1"))
    assert (
        not proxy.request_handler.requests
        and not proxy.request_handler.active
        and not proxy.client_server.request_ids
    )


def test_simultaneous_admin_requests_are_all_answered():
    """More connections than allowed open at once, each with a request; all are read before one is dropped."""
    run = make_process_configuration()
    with socket.create_server(("127.0.0.78", 0)) as free:
        run.admin = free.getsockname()
    harness = ProxyHarness(run=run).start(CacheServer("n0"))
    try:
        callers = []

        def all_at_once() -> None:
            for _ in range(AdminServer.MAX_CONNECTIONS + 8):
                callers.append(socket.create_connection(run.admin, timeout=10))
                callers[-1].sendall(b"GET /_ready HTTP/1.1\r\nHost: x\r\n\r\n")

        harness.run_in_reactor(all_at_once)
        assert [caller.recv(12) for caller in callers] == [b"HTTP/1.1 200"] * len(callers)
    finally:
        for caller in callers:
            caller.close()
        harness.stop()


def test_a_late_request_after_sigterm_ends_before_the_earliest_sigkill():
    """A request that arrives while its connection is being closed is served, but must end before SIGKILL."""
    proxy = make_proxy(1)
    proxy.terminate()
    terminated_at = proxy.now()
    proxy.reactor.advance(1.2)
    client = connect_client(proxy)
    client.dataReceived(encode_get(b"1", fields=b"c=read,t=t,d=900"))
    (active,) = proxy.request_handler.requests.values()
    assert active.request.deadline < terminated_at + 1_000_000 + 700_000  # the longest deadline is 1 s here


def test_the_last_read_before_a_close_survives_short_reads_and_errors(monkeypatch):
    """Each read returns one byte, and every third one fails with ENOMEM; the command must be read whole."""
    case = CloseCase(answered=True)
    calls, original = [0], socket.socket.recv

    def short_recv(self, size, *values):
        if self.getsockname() != case.harness.run.listen:
            return original(self, size, *values)
        calls[0] += 1
        if calls[0] % 3 == 0:
            raise OSError(errno.ENOMEM, os.strerror(errno.ENOMEM))
        return original(self, 1)

    monkeypatch.setattr(socket.socket, "recv", short_recv)
    try:
        case.client.send(encode_gets(1, b"late")[:30])
        case.harness.wait_until(lambda: not case.connection.at_message_boundary())
        case.send_and_call(
            case.client_server.drain.close_batch,
            [case.connection],
            True,
            "drained",
            data=encode_gets(1, b"late")[30:],
        )
        assert case.result() == "served"
    finally:
        monkeypatch.undo()
        case.harness.stop()


def test_a_connection_that_cannot_be_set_up_does_not_affect_others(monkeypatch):
    """The port keeps listening if the setup of a connection raises an exception or epoll_ctl fails."""
    server = CacheServer("n0")
    harness = ProxyHarness().start(server)
    original_build, failures = harness.proxy.client_server.buildProtocol, [RuntimeError("planted")]
    monkeypatch.setattr(
        harness.proxy.client_server,
        "buildProtocol",
        lambda addr: _raise(failures.pop()) if failures else original_build(addr),
    )
    original, failures_left = ClientTransport.__mro__[1].startReading, [3]  # type: ignore[attr-defined]

    def start_reading(self):
        if failures_left[0] and isinstance(self, ClientTransport):
            failures_left[0] -= 1
            raise OSError(errno.ENOMEM, os.strerror(errno.ENOMEM))
        original(self)

    monkeypatch.setattr(ClientTransport.__mro__[1], "startReading", start_reading)
    try:
        assert harness.client().receive() is None
        client = harness.client()
        client.send(encode_gets(1))
        server_connection = server.accept()
        server_connection.receive()
        server_connection.send(encode_hit())
        assert client.receive() == b"v"
    finally:
        monkeypatch.undo()
        harness.stop()


def _raise(error):
    raise error


@pytest.mark.parametrize("how", ["end", "reset"])
def test_a_request_whose_client_hung_up_before_it_was_read_is_not_forwarded(how):
    """After a late accept or a stall, the request and the client's hang-up are unread together."""
    harness = ProxyHarness().start(CacheServer("n0"))
    original, sent = harness.proxy.server_pools.send, []
    harness.proxy.server_pools.send = lambda in_flight, *values: (
        sent.append(in_flight),
        original(in_flight, *values),
    )
    try:

        def request_and_hang_up() -> None:
            client = harness.client()
            client.send(encode_gets(1))
            getattr(client, how)()

        harness.run_in_reactor(request_and_hang_up)
        harness.wait_until(
            lambda: harness.proxy.port.sessionno and not harness.proxy.client_server.connections
        )
        assert sent == [] and not harness.proxy.request_handler.requests
    finally:
        harness.stop()


def connect_client_with_unread_hang_up(proxy):
    """Connect a client whose hang-up is unread in the kernel until the proxy checks the connection."""
    client = connect_client(proxy)

    def look_for_end() -> bool:
        if client.slot in proxy.client_server.connections:
            client.connectionLost(Failure(ConnectionDone()))
        return False

    client.transport.look_for_end = look_for_end
    return client


def test_no_retry_for_a_client_whose_hang_up_is_unread():
    proxy = make_proxy(2)
    client = connect_client_with_unread_hang_up(proxy)
    client.dataReceived(encode_get(b"1"))
    first = open_server_connection(proxy)
    assert len(proxy.reactor.tcpClients) == 1
    first.dataReceived(b"-ERR failed\r\n")
    assert (
        len(proxy.reactor.tcpClients) == 1
        and not proxy.request_handler.requests
        and not proxy.request_handler.in_flight
    )
    assert all(server.in_flight == 0 for server in proxy.balancer.servers.values())


def test_a_waiting_attempt_is_not_sent_for_a_client_whose_hang_up_is_unread():
    proxy = make_proxy(1)
    client = connect_client_with_unread_hang_up(proxy)
    client.dataReceived(encode_get(b"1"))
    proxy.reactor.advance(0.1)
    assert open_server_connection(proxy).transport.take_output() == b""
    assert (
        not proxy.request_handler.requests
        and not proxy.request_handler.in_flight
        and proxy.balancer.in_flight == 0
    )
