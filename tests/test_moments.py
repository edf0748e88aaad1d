"""Races between two events, each forced into the order that does harm."""

import json
import os
import signal
import socket
import subprocess
import sys
import time

import pytest
from conftest import METHODS
from helpers import connect_client, encode_hit, make_proxy, make_process_configuration
from moments import DiscoveryServer, ProxyHarness, CacheServer, encode_gets
from test_main import free_port
from twisted.internet.error import ConnectionDone
from twisted.python.failure import Failure

from ivystack.model import ServerState
from ivystack.net.client_connection import ClientConnection
from ivystack.net.listener import ClientListener
from ivystack.net.memory_budget import REQUEST_BYTES
from ivystack.net.server_pool import PoolSettings
from ivystack.net.resp import encode_command
from ivystack.configuration.instance import InstanceConfiguration

PAY = b"c=pay,t=t,d=60000"


@pytest.fixture
def start_proxy():
    """Start proxies on real sockets with a controlled clock, and stop them at the end of the test."""
    harnesses = []

    def start(*nodes, started=True, **more):
        harnesses.append(ProxyHarness(**more))
        return harnesses[-1].start(*nodes) if started else harnesses[-1]

    yield start
    for harness in harnesses:
        harness.stop()


def client_connections(harness):
    return [*harness.proxy.client_server.connections.values()]


# Clients that disconnect while their requests wait: these requests must not be sent.


def assert_nothing_is_sent(harness):
    """Assert that all requests have ended and that a server which is listed now receives no attempt."""
    harness.wait_until(
        lambda: not harness.proxy.request_handler.requests and not harness.proxy.client_server.connections
    )
    harness.run_in_reactor(harness.proxy.endpoints.update, [CacheServer("late").endpoint_entry()], True)
    harness.advance_clock(20_000)
    proxy = harness.proxy
    assert harness.run_in_reactor(
        lambda: not proxy.server_pools.connections
        and not proxy.request_handler.in_flight
        and not proxy.client_server.request_ids
    )


@pytest.mark.parametrize("how", ["end", "reset"])
@pytest.mark.parametrize("state", ["read", "owed", "malformed", "stuck", "upload"])
def test_the_end_of_a_client_whose_input_is_not_read_is_detected(start_proxy, state, how):
    # The client's end lies behind bytes that are not read; its requests must not cost the servers any work.
    harness = start_proxy()
    client = harness.client()
    if state == "owed":
        client.send(encode_gets(ClientConnection.MAX_PENDING + 9))
        harness.wait_until(
            lambda: len(harness.proxy.request_handler.requests) == ClientConnection.MAX_PENDING
        )
    elif state == "upload":
        client.send(encode_command(b"OBJ.SET", b"7f", b"1", PAY, b"v" * 200_000)[:90_000])
        harness.wait_until(
            lambda: harness.proxy.request_handler.requests and client_connections(harness)[0].upload.paused
        )
    else:
        client.send(encode_gets(2) + (b"no command\r\n" if state == "malformed" else b""))
        harness.wait_until(lambda: len(harness.proxy.request_handler.requests) == 2)
        if state == "stuck":  # as the transport does when its write buffer is full
            harness.run_in_reactor(client_connections(harness)[0].pauseProducing)
    assert harness.run_in_reactor(lambda: client_connections(harness)[0].paused) is (state != "read")
    getattr(client, how)()
    assert_nothing_is_sent(harness)
    if state != "read":
        assert harness.run_in_reactor(
            lambda: harness.proxy.client_server.hang_up_monitor.connections
            == harness.proxy.client_server.hang_up_monitor.descriptors
            == {}
        )


def test_the_ends_of_three_hundred_clients_within_one_reactor_turn_are_detected(start_proxy):
    # All clients disconnect while the reactor is busy.
    harness = start_proxy()
    harness.proxy.memory.set_capacity(300 * ClientConnection.MAX_PENDING * 4 * REQUEST_BYTES)
    clients = [harness.client() for _ in range(300)]
    for number, wire in enumerate(clients):
        wire.send(encode_gets(ClientConnection.MAX_PENDING + 1, b"%d." % number))
    harness.wait_until(
        lambda: len(harness.proxy.request_handler.requests) == 300 * ClientConnection.MAX_PENDING
    )
    harness.run_in_reactor(lambda: [wire.end() for wire in clients])
    assert_nothing_is_sent(harness)


def test_a_client_that_has_closed_its_sending_side_receives_its_answers(start_proxy):
    # An end that is detected early must not discard answers that the client still reads.
    node = CacheServer("n0")
    harness = start_proxy(node)
    client = harness.client()
    client.send(encode_gets(1))
    server_connection = node.accept()
    assert server_connection.receive()[0] == b"OBJ.GET"
    harness.run_in_reactor(client_connections(harness)[0].pauseProducing)
    server_connection.send(encode_hit())
    harness.wait_until(lambda: not harness.proxy.request_handler.requests)
    client.socket.shutdown(socket.SHUT_WR)
    assert client.receive() == b"v"


def test_unread_commands_of_a_disconnected_client_are_not_admitted(start_proxy):
    # The connection is paused, as if the client read no answers; 8 commands and its end are not read yet.
    harness = start_proxy()
    client = harness.client()
    harness.wait_until(lambda: harness.proxy.client_server.connections)
    (connection,) = client_connections(harness)
    harness.run_in_reactor(connection.pauseProducing)  # as the transport does when its write buffer is full
    client.send(encode_gets(8))
    client.socket.shutdown(socket.SHUT_WR)
    harness.wait_until(lambda: connection.input_closed)
    harness.wait_until(lambda: not harness.proxy.client_server.connections)
    assert (
        harness.run_in_reactor(lambda: connection.commands_received) == 0 and connection.code == "client-left"
    )


def test_requests_due_in_the_turn_in_which_their_client_disconnects_are_not_sent():
    # Ending the attempt of the first request runs the due work, which includes a retry of the second.
    instance = make_proxy(3)
    connection = connect_client(instance)
    connection.dataReceived(encode_gets(2))
    first, second = instance.request_handler.active
    routed, route = [], instance.balancer.route
    instance.balancer.route = lambda request, now: (
        routed.append((request, request.concluded)) or route(request, now)
    )
    instance.balancer.retries.append(second)
    connection.connectionLost(Failure(ConnectionDone()))
    assert (
        first.concluded
        and second.concluded
        and not instance.request_handler.requests
        and not instance.request_handler.in_flight
    )
    assert all(concluded for _, concluded in routed)


def test_nothing_is_sent_on_a_connection_established_after_the_client_has_disconnected(start_proxy):
    # The server accepts the connection only after the client has disconnected.
    node = CacheServer("n0")
    node.listener.listen(0)
    harness = start_proxy(started=False)
    harness.run.connect_timeout_us = harness.proxy.server_pools.connect_timeout = 1 << 40
    fillers = []
    for _ in range(4):  # these fill the server's backlog, so that further connections are not established
        filler = socket.socket()
        filler.setblocking(False)
        filler.connect_ex(node.listener.getsockname())
        fillers.append(filler)
    harness.start(node)
    client = harness.client()
    client.send(encode_gets(1))
    harness.wait_until(lambda: len(harness.proxy.server_pools.connections) == 1)
    assert harness.run_in_reactor(lambda: not harness.proxy.server_pools.connections[0].is_connected)
    client.end()
    harness.wait_until(
        lambda: not harness.proxy.request_handler.requests and not harness.proxy.request_handler.in_flight
    )
    for filler in fillers:
        filler.close()
    node.listener.listen(64)
    for _ in fillers:
        node.listener.settimeout(0.05)
        try:
            node.accept()
        except TimeoutError:
            break
    pools = harness.proxy.server_pools
    harness.wait_until(lambda: pools.connections and pools.connections[0].is_connected)
    assert harness.run_in_reactor(lambda: harness.proxy.server_pools.connections[0].attempts_sent) == 0


def test_a_request_id_can_be_reused_right_after_its_client_has_disconnected(start_proxy):
    node = CacheServer("n0")
    harness = start_proxy(node)
    first, second = harness.client(), harness.client()
    first.send(encode_gets(1))
    server_connection = node.accept()  # kept open
    assert server_connection.receive()
    first.reset()
    harness.wait_until(lambda: not harness.proxy.request_handler.requests)
    second.send(encode_gets(1))
    server_connection = node.accept()
    server_connection.receive()
    server_connection.send(encode_hit(b"second"))
    assert second.receive() == b"second"


# Shutdown of the proxy.


def test_connections_in_the_backlog_are_served_when_the_port_closes(start_proxy):
    # Closing a listening socket would reset the clients that connected in the last turn of the reactor.
    harness = start_proxy()
    arrived = []

    def last_turn():
        harness.proxy.terminate()
        for _ in range(3 * ClientListener.ACCEPTS_PER_TURN):
            arrived.append(harness.client())
            arrived[-1].send(encode_command(b"PING"))
        harness.proxy.shutdown.stop_accepting()

    harness.run_in_reactor(last_turn)
    assert [client.receive() for client in arrived] == ["-ERR draining"] * len(arrived)
    with pytest.raises(ConnectionRefusedError):
        harness.client()


def test_a_proxy_terminated_while_it_waits_for_the_old_process_opens_no_port(start_proxy, tmp_path):
    # Guards against a port that is never closed: the old process's state arrives after SIGTERM, when no port
    # was open yet.
    listener = socket.create_server(("127.0.0.1", 0))
    configuration = make_process_configuration()
    configuration.inherited_descriptor, configuration.restart_folder = (
        os.dup(listener.fileno()),
        str(tmp_path),
    )
    harness = start_proxy(run=configuration, started=False)
    old = socket.socket(socket.AF_UNIX)
    old.bind(str(tmp_path / f"{harness.proxy.hot_restart.socket_prefix}-1.sock"))
    old.listen()
    harness.start()
    connection = old.accept()[0]
    harness.run_in_reactor(harness.proxy.terminate)
    connection.close()
    harness.wait_until(lambda: harness.proxy.hot_restart.on_state is None)
    assert harness.proxy.port is None and not harness.proxy.started
    harness.advance_clock(1)
    assert harness.reactor.stopped
    os.close(configuration.inherited_descriptor)


def test_a_second_sigterm_has_no_effect_while_an_attempt_is_unanswered(start_proxy):
    # The proxy waits for a request that can't be retried, up to its deadline, and answers it once.
    node = CacheServer("n0")
    harness = start_proxy(node)
    client = harness.client()
    client.send(encode_command(b"OBJ.SET", b"7f", b"1", b"c=pay,t=t,d=2000", b"v"))
    server_connection = node.accept()  # kept: the attempt is unanswered only while the connection is open
    assert server_connection.receive()
    harness.run_in_reactor(harness.proxy.terminate)
    harness.advance_clock(harness.proxy.shutdown.STOP_ACCEPTING_DELAY_US)
    harness.run_in_reactor(harness.proxy.terminate)
    harness.run_in_reactor(harness.proxy.start_draining)
    assert not harness.reactor.stopped
    harness.advance_clock(2_000_000)
    assert client.receive() == "-ERR failed" and client.receive() is None
    harness.wait_until(lambda: not harness.proxy.client_server.connections)
    harness.advance_clock(20_000)
    assert harness.reactor.stopped


def test_a_server_drained_after_sigterm_gets_no_attempts(start_proxy):
    agent, node, other = DiscoveryServer(), CacheServer("n0"), CacheServer("n1")
    harness = start_proxy(discovery=agent)
    watch, _ = agent.accept_watch()
    agent.send_update(watch, 1, node.endpoint_entry(), other.endpoint_entry(), whole=True)
    harness.wait_until(lambda: len(harness.proxy.balancer.servers) == 2)
    client = harness.client()
    client.send(encode_gets(1))
    harness.wait_until(lambda: harness.proxy.request_handler.requests)
    harness.run_in_reactor(harness.proxy.terminate)
    agent.send_update(watch, 2, node.endpoint_entry("DRAINING"), other.endpoint_entry("DRAINING"))
    harness.wait_until(
        lambda: all(
            server.state == ServerState.DRAINING for server in harness.proxy.balancer.servers.values()
        )
    )
    late = harness.client()
    late.send(encode_gets(1, b"late"))
    harness.wait_until(lambda: len(harness.proxy.request_handler.requests) == 2)
    assert harness.run_in_reactor(
        lambda: [len(active.request.attempts) for active in harness.proxy.request_handler.requests.values()]
    ) == [1, 0]


def test_a_sighup_during_the_start_reloads_the_configuration(tmp_path):
    # Guards against a proxy that keeps the old settings: the file is replaced and SIGHUP sent after the first
    # read, but before the signal handler is installed.  The file is a pipe, so the test controls each read.
    path, agents, listen = tmp_path / "config", [DiscoveryServer(), DiscoveryServer()], free_port()
    os.mkfifo(path)
    process = subprocess.Popen(
        [sys.executable, "-B", "-m", "ivystack"], env=os.environ | {"LB_CONFIG": str(path)},
        stderr=subprocess.DEVNULL,
    )  # fmt: skip

    def configuration(agent):
        return json.dumps(
            {"listen": f"127.0.0.1:{listen}", "discovery": "{}:{}".format(*agent.address), "settings": {}}
        ).encode()

    def wait_for_reader():
        """Return the pipe once the program has opened it for reading."""
        for _ in range(1000):
            try:
                return os.open(path, os.O_WRONLY | os.O_NONBLOCK)
            except OSError:
                time.sleep(0.01)
        raise AssertionError("the configuration is not read again")

    try:
        for number, agent in enumerate(agents):
            pipe = wait_for_reader()
            if number == 0:
                process.send_signal(signal.SIGHUP)
                os.mkfifo(tmp_path / "next")  # another pipe for the second read
                os.replace(tmp_path / "next", path)
            os.write(pipe, configuration(agent))
            os.close(pipe)
        assert agents[1].accept_watch()[1] == 0
    finally:
        process.kill()
        process.wait()


def test_a_sighup_ends_a_command_other_than_serve(tmp_path):
    os.mkfifo(tmp_path / "config")
    process = subprocess.Popen(
        [sys.executable, "-B", "-m", "ivystack", "check-config", str(tmp_path / "config")],
        stderr=subprocess.DEVNULL,
    )  # fmt: skip
    with open(tmp_path / "config", "w"):  # the command reads it
        process.send_signal(signal.SIGHUP)
        assert process.wait(10) == -signal.SIGHUP


# The endpoint list.


def test_after_an_invalid_entry_the_complete_list_is_requested_once_and_the_rest_is_applied(start_proxy):
    # Guards against an update that is lost for good: the generation has advanced, so discovery would not send
    # the entry again.
    agent, nodes = DiscoveryServer(), [CacheServer("n0"), CacheServer("n1")]
    harness = start_proxy(discovery=agent)
    watch, since = agent.accept_watch()
    agent.send_update(watch, 1, *(node.endpoint_entry() for node in nodes), whole=True)
    harness.wait_until(lambda: len(harness.proxy.balancer.servers) == 2)
    invalid = nodes[0].endpoint_entry("DRAINING", startedAtMs="x")
    agent.send_update(watch, 2, invalid, nodes[1].endpoint_entry("DRAINING"))
    harness.wait_until(lambda: harness.proxy.balancer.servers["n1"].state == ServerState.DRAINING)
    harness.wait_until(lambda: not harness.proxy.endpoint_watch.is_streaming)
    harness.advance_clock(harness.proxy.settings.poll_pauses[1] * 2)
    watch, since = agent.accept_watch()
    assert since == 0  # the complete list
    # The entry is invalid at its source, so it causes no further request.
    agent.send_update(watch, 2, invalid, nodes[1].endpoint_entry("DRAINING"), whole=True)
    agent.send_update(watch, 3, nodes[1].endpoint_entry())
    harness.wait_until(lambda: harness.proxy.balancer.servers["n1"].state != ServerState.DRAINING)
    assert harness.run_in_reactor(
        lambda: harness.proxy.endpoint_watch.is_streaming and harness.proxy.endpoint_watch.is_incomplete
    )
    agent.send_update(watch, 4, nodes[0].endpoint_entry("DRAINING"), nodes[1].endpoint_entry(), whole=True)
    harness.wait_until(lambda: harness.proxy.balancer.servers["n0"].state == ServerState.DRAINING)
    assert not harness.proxy.endpoint_watch.is_incomplete and harness.proxy.endpoint_watch.generation == 4


def test_a_draining_entry_with_an_invalid_address_is_applied(start_proxy):
    agent, node = DiscoveryServer(), CacheServer("n0")
    harness = start_proxy(discovery=agent)
    watch, _ = agent.accept_watch()
    agent.send_update(watch, 1, node.endpoint_entry(), whole=True)
    harness.wait_until(lambda: harness.proxy.balancer.servers)
    agent.send_update(watch, 2, node.endpoint_entry("DRAINING", hostPort="nowhere"))
    harness.wait_until(lambda: harness.proxy.balancer.servers["n0"].state == ServerState.DRAINING)


def test_a_watch_that_ends_within_a_line_ignores_it_and_is_requested_again(start_proxy):
    agent, nodes = DiscoveryServer(), [CacheServer("n0"), CacheServer("n1")]
    harness = start_proxy(discovery=agent)
    watch, _ = agent.accept_watch()
    agent.send_update(watch, 1, nodes[0].endpoint_entry(), whole=True)
    harness.wait_until(lambda: harness.proxy.balancer.servers)
    # A complete line, half of the next, and the end of the stream, in one read.
    data = b'{"generation":2,"reset":false,"instances":[]}\n{"generation":3,"reset":fa'
    watch.sendall(b"%x\r\n%b\r\n" % (len(data), data))
    watch.close()
    harness.wait_until(lambda: not harness.proxy.endpoint_watch.is_streaming)
    harness.advance_clock(harness.proxy.settings.poll_pauses[1] * 2)
    assert agent.accept_watch()[1] == 2


def test_pauses_between_requests_stay_below_half_the_grace_period_of_a_drain():
    # A drain that discovery announces as it returns must be known well within the grace period.
    for grace in (1_000, 600, 250, 40):
        settings = InstanceConfiguration(1, {"rules": {"stop_sending_within": grace * 1_000_000}})
        pauses = [settings.poll_backoff.record_failure(0) for _ in range(300)]
        assert max(pauses) < grace * 1_000 / 2, grace
    polled = InstanceConfiguration(
        1, {"discovery": "ask", "rules": {"ask_within": 10**10, "stop_sending_within": 10**9}}
    )
    assert polled.poll_pauses == (750_000, 6_000_000)  # longer, because all proxies poll one service


# Attempts and connections to servers.


def test_a_reload_to_one_stream_per_connection_does_not_abort_pipelined_attempts(start_proxy):
    # A reload sets one stream per connection while a connection carries two attempts.  The first one's client
    # disconnects; the second is a write that can't be retried and must not be affected.
    node = CacheServer("n0")
    long_deadlines = [entry | {"latency_budget": 60 * 10**9, "give_up": 60 * 10**9} for entry in METHODS]
    harness = start_proxy(
        node, run=make_process_configuration(methods=long_deadlines, streams_per_conn=10, may_duplicate=True)
    )
    clients = [harness.client() for _ in range(harness.proxy.server_pools.PIPELINE_FROM)]
    for number, wire in enumerate(clients):
        wire.send(encode_gets(1, b"%d." % number))
        harness.wait_until(lambda number=number: len(harness.proxy.request_handler.requests) == number + 1)
    wires = [node.accept() for _ in clients]
    for wire in wires:
        wire.receive()
    writer = harness.client()
    writer.send(encode_command(b"OBJ.SET", b"7f", b"pay", PAY, b"v"))
    links = harness.proxy.server_pools.connections
    harness.wait_until(lambda: any(len(link.in_flight) == 2 for link in links.values()))
    shared = harness.run_in_reactor(lambda: next(link for link in links.values() if len(link.in_flight) == 2))
    read_id, port = shared.in_flight[0].frame.request_id, shared.transport.getHost().port
    wire = next(wire for wire in wires if wire.socket.getpeername()[1] == port)
    assert wire.receive()[0] == b"OBJ.SET"
    harness.run_in_reactor(harness.proxy.server_pools.configure, PoolSettings(10_000_000, 250_000, 1))
    next(wire for number, wire in enumerate(clients) if b"%d.0" % number in read_id).end()
    harness.wait_until(lambda: len(harness.proxy.request_handler.in_flight) == len(clients))
    before = harness.run_in_reactor(lambda: harness.proxy.deadlines.scheduled)
    harness.advance_clock(harness.proxy.server_pools.endings.ABANDONED_TIMEOUT)
    # The timeout must not be rescheduled in a loop.
    assert harness.run_in_reactor(lambda: harness.proxy.deadlines.scheduled) - before < 20
    wire.send(encode_hit(b"late") + encode_hit(b"receipt"))
    assert writer.receive() == b"receipt"


@pytest.mark.parametrize("how", ["end", "reset"])
def test_a_write_on_a_connection_that_the_server_has_closed_is_executed_at_most_once(start_proxy, how):
    # The end of the connection is in the kernel but not read yet when the write is sent.  After an orderly
    # close the kernel accepts the bytes, so the write may have been executed.  After a reset it accepts none,
    # so the write is sent again.
    node = CacheServer("n0")
    harness = start_proxy(node)
    client = harness.client()
    client.send(encode_gets(1))
    idle = node.accept()
    idle.receive()
    idle.send(encode_hit())
    assert client.receive() == b"v"
    harness.wait_until(lambda: harness.proxy.server_pools.idle_connections)

    def turn():
        getattr(idle, how)()
        client_connections(harness)[0].dataReceived(encode_command(b"OBJ.SET", b"7f", b"2", PAY, b"v"))

    harness.run_in_reactor(turn)
    if how == "reset":
        second = node.accept()
        assert second.receive()[2] == b"2"
        second.send(encode_hit(b"receipt"))
    assert client.receive() == (b"receipt" if how == "reset" else "-ERR failed")
    assert harness.run_in_reactor(
        lambda: not harness.proxy.request_handler.in_flight and not harness.proxy.request_handler.requests
    )


def test_an_attempt_that_waits_for_a_connection_is_rerouted_when_its_server_drains(start_proxy):
    # The connection is established after the drain was announced: nothing is written to it.
    node, other = CacheServer("n0"), CacheServer("n1")
    harness = start_proxy(node, other)
    client = harness.client()

    def turn():  # both in one turn of the reactor, before the connection is established
        harness.client_side = client_connections(harness)[0]
        harness.client_side.dataReceived(encode_gets(1))
        first = next(iter(harness.proxy.request_handler.in_flight.values())).pool
        draining = next(candidate for candidate in (node, other) if candidate.name == first.name)
        harness.proxy.endpoints.update([draining.endpoint_entry("DRAINING")], False)
        return draining

    harness.wait_until(lambda: harness.proxy.client_server.connections)
    draining = harness.run_in_reactor(turn)
    ready = other if draining is node else node
    server_connection = ready.accept()
    server_connection.receive()
    server_connection.send(encode_hit())
    assert client.receive() == b"v"
    links = harness.proxy.server_pools.connections
    harness.wait_until(lambda: all(link.pool.name == ready.name for link in links.values()))
    wire = draining.accept()
    assert wire.receive() is None  # closed by the proxy without any data


def test_an_answer_followed_by_a_reset_ends_the_attempt(start_proxy):
    node = CacheServer("n0")
    harness = start_proxy(node)
    client = harness.client()
    client.send(encode_gets(1))
    server_connection = node.accept()
    server_connection.receive()

    def turn():
        server_connection.send(encode_hit())
        server_connection.reset()

    harness.run_in_reactor(turn)
    assert client.receive() in (b"v", "-BUSY", "-ERR failed")  # the kernel may have discarded the answer
    assert harness.run_in_reactor(lambda: not harness.proxy.request_handler.in_flight)


@pytest.mark.parametrize("streams", [1, 10])
def test_a_late_answer_is_never_taken_for_the_answer_of_the_next_request(start_proxy, streams):
    node = CacheServer("n0")
    harness = start_proxy(node, streams_per_conn=streams, may_duplicate=True)
    client = harness.client()
    client.send(encode_gets(1))
    server_connection = node.accept()
    server_connection.receive()

    def turn():  # the answer is in the kernel when the deadline expires
        server_connection.send(encode_hit(b"late"))
        harness.now += 1_000_000
        harness.proxy.deadlines.run_due()

    harness.run_in_reactor(turn)
    assert client.receive() == "-BUSY"
    client.send(encode_gets(1, b"next"))
    links = harness.proxy.server_pools.connections
    harness.wait_until(lambda: any(link.in_flight and link.in_flight[-1].frame for link in links.values()))
    if (
        harness.run_in_reactor(lambda: len(harness.proxy.server_pools.connections)) > 1
        or server_connection.receive() is None
    ):
        server_connection = node.accept()
        server_connection.receive()
    server_connection.send(encode_hit(b"own"))
    assert client.receive() == b"own"


def test_an_answer_in_the_turn_in_which_its_client_disconnects_ends_everything_once(start_proxy):
    node = CacheServer("n0")
    harness = start_proxy(node)
    for how in ("end", "reset"):
        client = harness.client()
        client.send(encode_gets(1))
        server_connection = node.accept()
        server_connection.receive()

        def turn(client=client, server_connection=server_connection, how=how):
            server_connection.send(encode_hit())
            getattr(client, how)()

        harness.run_in_reactor(turn)
        harness.wait_until(
            lambda: not harness.proxy.client_server.connections
            and not harness.proxy.request_handler.in_flight
            and not harness.proxy.request_handler.requests
        )
        assert not harness.run_in_reactor(lambda: harness.proxy.client_server.request_ids)
        harness.run_in_reactor(
            harness.proxy.server_pools.close_idle, harness.proxy.server_pools.pools["n0"], "done"
        )


def test_an_unlisted_server_answers_its_attempts_and_gets_no_more(start_proxy):
    agent, node = DiscoveryServer(), CacheServer("n0")
    harness = start_proxy(discovery=agent)
    watch, _ = agent.accept_watch()
    agent.send_update(watch, 1, node.endpoint_entry(), whole=True)
    harness.wait_until(lambda: harness.proxy.balancer.servers)
    client = harness.client()
    client.send(encode_gets(1))
    server_connection = node.accept()
    server_connection.receive()
    agent.send_update(watch, 2, whole=True)
    harness.wait_until(lambda: harness.proxy.endpoint_watch.generation == 2)
    server_connection.send(encode_hit())
    assert client.receive() == b"v" and server_connection.receive() is None


def test_the_discovery_address_can_change_in_a_pause_during_a_request_and_after_a_refusal(start_proxy):
    first, second = DiscoveryServer(), DiscoveryServer()
    harness = start_proxy(discovery=first)
    watch, _ = first.accept_watch()
    first.send_update(watch, 7, CacheServer("n0").endpoint_entry(), whole=True)
    harness.wait_until(lambda: harness.proxy.endpoint_watch.generation == 7)
    watch.close()
    # In the pause before the next request, as the clock does not advance.
    harness.wait_until(lambda: not harness.proxy.endpoint_watch.is_streaming)
    harness.run_in_reactor(harness.proxy.endpoint_watch.change_address, second.address)
    watch, since = second.accept_watch()
    assert since == 7
    harness.wait_until(lambda: harness.proxy.endpoint_watch.is_streaming)
    with socket.create_server(("127.0.0.1", 0)) as free:
        refusing = free.getsockname()
    harness.run_in_reactor(harness.proxy.endpoint_watch.change_address, refusing)
    harness.wait_until(
        lambda: harness.proxy.endpoint_watch.pending_request is None
        and not harness.proxy.endpoint_watch.is_streaming
    )
    second.send_update(
        watch, 9, CacheServer("n0").endpoint_entry("DRAINING")
    )  # the watch no longer reads from this address
    hanging = socket.create_server(("127.0.0.1", 0))
    harness.run_in_reactor(harness.proxy.endpoint_watch.change_address, hanging.getsockname())
    late = hanging.accept()[0]
    late.recv(65_536)
    # The address changes during the request, whose response comes too late.
    harness.run_in_reactor(harness.proxy.endpoint_watch.change_address, first.address)
    watch, since = first.accept_watch()
    assert since == 7
    late.close()
    first.send_update(watch, 8, CacheServer("n1").endpoint_entry())
    harness.wait_until(
        lambda: harness.proxy.endpoint_watch.generation == 8 and len(harness.proxy.balancer.servers) == 2
    )


def test_commands_that_wait_for_their_turn_after_a_stall_are_no_half_command(start_proxy):
    # Guards against a timer that takes what was read, and is not handled yet, for a command that never comes.
    harness = start_proxy()
    client = harness.client()
    harness.wait_until(lambda: harness.proxy.client_server.connections)

    def stall():
        client.send(encode_command(b"PING") * 200)
        harness.now += 3_000_000
        harness.proxy.deadlines.run_due()

    harness.run_in_reactor(stall)
    assert [client.receive() for _ in range(200)] == ["-ERR no cache node is ready"] * 200
