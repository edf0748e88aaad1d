"""Narrow moments, each forced: where two events cross, in the order that does harm."""

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
from ivystack.net.server_pool import PoolSettings
from ivystack.net.resp import encode_command
from ivystack.configuration.instance import InstanceConfiguration

PAY = b"c=pay,t=t,d=60000"


@pytest.fixture
def moment():
    made = []

    def start(*nodes, begun=True, **more):
        made.append(ProxyHarness(**more))
        return made[-1].start(*nodes) if begun else made[-1]

    yield start
    for one in made:
        one.stop()


def clients(of):
    return [*of.proxy.client_server.connections.values()]


# Clients that have left while their reqs waited: nothing of theirs is sent on.


def never_sent_on(of):
    """All that waited is over; a node that comes now gets nothing."""
    of.wait_until(lambda: not of.proxy.request_handler.requests and not of.proxy.client_server.connections)
    of.run_in_reactor(of.proxy.endpoints.update, [CacheServer("late").endpoint_entry()], True)
    of.advance_clock(20_000)
    proxy = of.proxy
    assert of.run_in_reactor(
        lambda: not proxy.server_pools.connections
        and not proxy.request_handler.in_flight
        and not proxy.client_server.request_ids
    )


@pytest.mark.parametrize("how", ["end", "reset"])
@pytest.mark.parametrize("state", ["read", "owed", "malformed", "stuck", "upload"])
def test_a_client_that_leaves_while_it_is_not_read_is_noticed(moment, state, how):
    # Guards nodes against work for nobody: its end lies behind bytes that are not read.
    made = moment()
    asking = made.client()
    if state == "owed":
        asking.send(encode_gets(ClientConnection.MAX_PENDING + 9))
        made.wait_until(lambda: len(made.proxy.request_handler.requests) == ClientConnection.MAX_PENDING)
    elif state == "upload":
        asking.send(encode_command(b"OBJ.SET", b"7f", b"1", PAY, b"v" * 200_000)[:90_000])
        made.wait_until(lambda: made.proxy.request_handler.requests and clients(made)[0].upload.paused)
    else:
        asking.send(encode_gets(2) + (b"no command\r\n" if state == "malformed" else b""))
        made.wait_until(lambda: len(made.proxy.request_handler.requests) == 2)
        if state == "stuck":  # the transport's call, where more is written than the client takes
            made.run_in_reactor(clients(made)[0].pauseProducing)
    assert made.run_in_reactor(lambda: clients(made)[0].paused) is (state != "read")
    getattr(asking, how)()
    never_sent_on(made)
    if state != "read":
        assert made.run_in_reactor(
            lambda: made.proxy.client_server.hang_up_monitor.connections
            == made.proxy.client_server.hang_up_monitor.descriptors
            == {}
        )


def test_three_hundred_that_leave_within_one_turn_are_all_noticed(moment):
    # A burst, while the reactor is busy with something else.
    made = moment()
    asking = [made.client() for _ in range(300)]
    for number, one in enumerate(asking):
        one.send(encode_gets(ClientConnection.MAX_PENDING + 1, b"%d." % number))
    made.wait_until(lambda: len(made.proxy.request_handler.requests) == 300 * ClientConnection.MAX_PENDING)
    made.run_in_reactor(lambda: [one.end() for one in asking])
    never_sent_on(made)


def test_a_client_that_has_sent_all_and_still_reads_keeps_its_answers(moment):
    # An end that is seen early must not take from a client what is on its way to it.
    node = CacheServer("n0")
    made = moment(node)
    asking = made.client()
    asking.send(encode_gets(1))
    to_node = node.accept()
    assert to_node.receive()[0] == b"OBJ.GET"
    made.run_in_reactor(clients(made)[0].pauseProducing)
    to_node.send(encode_hit())
    made.wait_until(lambda: not made.proxy.request_handler.requests)
    asking.socket.shutdown(socket.SHUT_WR)
    assert asking.receive() == b"v"


def test_what_a_client_sent_behind_its_last_answer_is_not_taken_once_it_has_left(moment):
    # All that it is owed is known but not taken yet; 8 more commands lie unread, and its end behind them.
    made = moment()
    asking = made.client()
    made.wait_until(lambda: made.proxy.client_server.connections)
    (ours,) = clients(made)
    made.run_in_reactor(ours.pauseProducing)  # the transport's call: the client takes no more for now
    asking.send(encode_gets(8))
    asking.socket.shutdown(socket.SHUT_WR)
    made.wait_until(lambda: ours.input_closed)
    made.wait_until(lambda: not made.proxy.client_server.connections)
    assert made.run_in_reactor(lambda: ours.commands_received) == 0 and ours.code == "client-left"


def test_reqs_of_one_client_that_are_due_in_the_turn_of_its_end_are_not_sent_on():
    # Ending the first one's attempt settles what is due, and the second one is due just then.
    made = make_proxy(3)
    asking = connect_client(made)
    asking.dataReceived(encode_gets(2))
    first, second = made.request_handler.active
    seen, where = [], made.balancer.route
    made.balancer.route = lambda req, now: seen.append((req, req.concluded)) or where(req, now)
    made.balancer.retries.append(second)
    asking.connectionLost(Failure(ConnectionDone()))
    assert (
        first.concluded
        and second.concluded
        and not made.request_handler.requests
        and not made.request_handler.in_flight
    )
    assert all(over for _, over in seen)


def test_a_client_that_leaves_while_its_connection_to_a_node_does_not_come_up(moment):
    # It comes up after the client has left: nothing is written to it.
    node = CacheServer("n0")
    node.listener.listen(0)
    made = moment(begun=False)
    made.run.connect_timeout_us = made.proxy.server_pools.connect_timeout = 1 << 40
    full = []
    for _ in range(4):  # its table of connections that nobody took yet is full: further ones do not come up
        one = socket.socket()
        one.setblocking(False)
        one.connect_ex(node.listener.getsockname())
        full.append(one)
    made.start(node)
    asking = made.client()
    asking.send(encode_gets(1))
    made.wait_until(lambda: len(made.proxy.server_pools.connections) == 1)
    assert made.run_in_reactor(lambda: not made.proxy.server_pools.connections[0].is_connected)
    asking.end()
    made.wait_until(
        lambda: not made.proxy.request_handler.requests and not made.proxy.request_handler.in_flight
    )
    for one in full:
        one.close()
    node.listener.listen(64)
    for _ in full:
        node.listener.settimeout(0.05)
        try:
            node.accept()
        except TimeoutError:
            break
    pools = made.proxy.server_pools
    made.wait_until(lambda: pools.connections and pools.connections[0].is_connected)
    assert made.run_in_reactor(lambda: made.proxy.server_pools.connections[0].attempts_sent) == 0


def test_one_id_is_used_again_right_after_its_client_has_left(moment):
    node = CacheServer("n0")
    made = moment(node)
    first, second = made.client(), made.client()
    first.send(encode_gets(1))
    node.accept().receive()
    first.reset()
    made.wait_until(lambda: not made.proxy.request_handler.requests)
    second.send(encode_gets(1))
    to_node = node.accept()
    to_node.receive()
    to_node.send(encode_hit(b"second"))
    assert second.receive() == b"second"


# The end of a proxy.


def test_what_the_kernel_has_accepted_when_the_port_closes_is_served(moment):
    # Guards clients that came within the last turn: a closed listening socket resets them.
    made = moment()
    came = []

    def last_turn():
        made.proxy.terminate()
        for _ in range(3 * ClientListener.ACCEPTS_PER_TURN):
            came.append(made.client())
            came[-1].send(encode_command(b"PING"))
        made.proxy.stop_accepting()

    made.run_in_reactor(last_turn)
    assert [one.receive() for one in came] == ["-ERR draining"] * len(came)
    with pytest.raises(ConnectionRefusedError):
        made.client()


def test_a_proxy_told_to_end_while_it_asks_the_old_process_opens_nothing(moment, tmp_path):
    # Guards against a port that nobody closes: SIGTERM finds none, and the old process's word comes after it.
    door = socket.create_server(("127.0.0.1", 0))
    run = make_process_configuration()
    run.inherited_descriptor, run.restart_folder = os.dup(door.fileno()), str(tmp_path)
    made = moment(run=run, begun=False)
    old = socket.socket(socket.AF_UNIX)
    old.bind(str(tmp_path / f"{made.proxy.hot_restart.tag}-1.sock"))
    old.listen()
    made.start()
    word = old.accept()[0]
    made.run_in_reactor(made.proxy.terminate)
    word.close()
    made.wait_until(lambda: made.proxy.hot_restart.on_state is None)
    assert made.proxy.port is None and not made.proxy.started
    made.advance_clock(1)
    assert made.reactor.stopped
    os.close(run.inherited_descriptor)


def test_sigterm_twice_and_with_an_attempt_that_no_node_answers(moment):
    # The req that can't be repeated is waited for, to its own end, and answered once.
    node = CacheServer("n0")
    made = moment(node)
    asking = made.client()
    asking.send(encode_command(b"OBJ.SET", b"7f", b"1", b"c=pay,t=t,d=2000", b"v"))
    node.accept().receive()
    made.run_in_reactor(made.proxy.terminate)
    made.advance_clock(made.proxy.STOP_ACCEPTING_DELAY_US)
    made.run_in_reactor(made.proxy.terminate)
    made.run_in_reactor(made.proxy.start_draining)
    assert not made.reactor.stopped
    made.advance_clock(2_000_000)
    assert asking.receive() == "-ERR failed" and asking.receive() is None
    made.wait_until(lambda: not made.proxy.client_server.connections)
    made.advance_clock(20_000)
    assert made.reactor.stopped


def test_a_drain_that_is_told_after_sigterm_counts(moment):
    agent, node, other = DiscoveryServer(), CacheServer("n0"), CacheServer("n1")
    made = moment(discovery=agent)
    watch, _ = agent.accept_watch()
    agent.send_update(watch, 1, node.endpoint_entry(), other.endpoint_entry(), whole=True)
    made.wait_until(lambda: len(made.proxy.balancer.servers) == 2)
    asking = made.client()
    asking.send(encode_gets(1))
    made.wait_until(lambda: made.proxy.request_handler.requests)
    made.run_in_reactor(made.proxy.terminate)
    agent.send_update(watch, 2, node.endpoint_entry("DRAINING"), other.endpoint_entry("DRAINING"))
    made.wait_until(
        lambda: all(one.state == ServerState.DRAINING for one in made.proxy.balancer.servers.values())
    )
    late = made.client()
    late.send(encode_gets(1, b"late"))
    made.wait_until(lambda: len(made.proxy.request_handler.requests) == 2)
    assert made.run_in_reactor(
        lambda: [len(active.request.attempts) for active in made.proxy.request_handler.requests.values()]
    ) == [1, 0]


def test_a_sighup_during_the_start_is_not_lost(tmp_path):
    # Guards against old settings for ever: the configuration is replaced after it was read, before the signal
    # has its handler.  The file is a pipe, so the test says when each reading ends.
    path, agents, listen = tmp_path / "config", [DiscoveryServer(), DiscoveryServer()], free_port()
    os.mkfifo(path)
    process = subprocess.Popen(
        [sys.executable, "-B", "-m", "ivystack"], env=os.environ | {"LB_CONFIG": str(path)},
        stderr=subprocess.DEVNULL,
    )  # fmt: skip

    def told(agent):
        return json.dumps(
            {"listen": f"127.0.0.1:{listen}", "discovery": "{}:{}".format(*agent.address), "settings": {}}
        ).encode()

    def reading():
        """The pipe, once the program reads it."""
        for _ in range(1000):
            try:
                return os.open(path, os.O_WRONLY | os.O_NONBLOCK)
            except OSError:
                time.sleep(0.01)
        raise AssertionError("it is not read again")

    try:
        for number, agent in enumerate(agents):
            pipe = reading()
            if number == 0:
                process.send_signal(signal.SIGHUP)
                os.mkfifo(tmp_path / "next")  # a pipe of its own for the second reading
                os.replace(tmp_path / "next", path)
            os.write(pipe, told(agent))
            os.close(pipe)
        assert agents[1].accept_watch()[1] == 0
    finally:
        process.kill()
        process.wait()


def test_a_sighup_ends_a_command_that_is_no_proxy(tmp_path):
    os.mkfifo(tmp_path / "config")
    process = subprocess.Popen(
        [sys.executable, "-B", "-m", "ivystack", "check-config", str(tmp_path / "config")],
        stderr=subprocess.DEVNULL,
    )  # fmt: skip
    with open(tmp_path / "config", "w"):  # it reads
        process.send_signal(signal.SIGHUP)
        assert process.wait(10) == -signal.SIGHUP


# The list of nodes.


def test_a_spoilt_entry_is_asked_for_again_once_and_the_rest_is_taken(moment):
    # Guards against news lost for good: the version goes on, so nobody would ever tell it again.
    agent, nodes = DiscoveryServer(), [CacheServer("n0"), CacheServer("n1")]
    made = moment(discovery=agent)
    watch, since = agent.accept_watch()
    agent.send_update(watch, 1, *(node.endpoint_entry() for node in nodes), whole=True)
    made.wait_until(lambda: len(made.proxy.balancer.servers) == 2)
    spoilt = nodes[0].endpoint_entry("DRAINING", startedAtMs="x")
    agent.send_update(watch, 2, spoilt, nodes[1].endpoint_entry("DRAINING"))
    made.wait_until(lambda: made.proxy.balancer.servers["n1"].state == ServerState.DRAINING)
    made.wait_until(lambda: not made.proxy.endpoint_watch.is_streaming)
    made.advance_clock(made.proxy.settings.poll_pauses[1] * 2)
    watch, since = agent.accept_watch()
    assert since == 0  # the whole list
    agent.send_update(
        watch, 2, spoilt, nodes[1].endpoint_entry("DRAINING"), whole=True
    )  # spoilt at its source: told once
    agent.send_update(watch, 3, nodes[1].endpoint_entry())
    made.wait_until(lambda: made.proxy.balancer.servers["n1"].state != ServerState.DRAINING)
    assert made.run_in_reactor(
        lambda: made.proxy.endpoint_watch.is_streaming and made.proxy.endpoint_watch.is_incomplete
    )
    agent.send_update(watch, 4, nodes[0].endpoint_entry("DRAINING"), nodes[1].endpoint_entry(), whole=True)
    made.wait_until(lambda: made.proxy.balancer.servers["n0"].state == ServerState.DRAINING)
    assert not made.proxy.endpoint_watch.is_incomplete and made.proxy.endpoint_watch.generation == 4


def test_a_drain_counts_though_its_address_is_spoilt(moment):
    agent, node = DiscoveryServer(), CacheServer("n0")
    made = moment(discovery=agent)
    watch, _ = agent.accept_watch()
    agent.send_update(watch, 1, node.endpoint_entry(), whole=True)
    made.wait_until(lambda: made.proxy.balancer.servers)
    agent.send_update(watch, 2, node.endpoint_entry("DRAINING", hostPort="nowhere"))
    made.wait_until(lambda: made.proxy.balancer.servers["n0"].state == ServerState.DRAINING)


def test_a_watch_that_ends_within_a_line_tells_nothing_of_it_and_is_opened_anew(moment):
    agent, nodes = DiscoveryServer(), [CacheServer("n0"), CacheServer("n1")]
    made = moment(discovery=agent)
    watch, _ = agent.accept_watch()
    agent.send_update(watch, 1, nodes[0].endpoint_entry(), whole=True)
    made.wait_until(lambda: made.proxy.balancer.servers)
    # One line whole, half of the next, and the end, in one read.
    whole = b'{"generation":2,"reset":false,"instances":[]}\n{"generation":3,"reset":fa'
    watch.sendall(b"%x\r\n%b\r\n" % (len(whole), whole))
    watch.close()
    made.wait_until(lambda: not made.proxy.endpoint_watch.is_streaming)
    made.advance_clock(made.proxy.settings.poll_pauses[1] * 2)
    assert agent.accept_watch()[1] == 2


def test_no_pause_between_calls_comes_near_the_grace_of_a_drain():
    # What the agent gets at its return counts as told at once: the next call comes well within the grace.
    for grace in (1_000, 600, 250, 40):
        made = InstanceConfiguration(1, {"rules": {"stop_sending_within": grace * 1_000_000}})
        pauses = [made.poll_backoff.record_failure(0) for _ in range(300)]
        assert max(pauses) < grace * 1_000 / 2, grace
    asked = InstanceConfiguration(
        1, {"discovery": "ask", "rules": {"ask_within": 10**10, "stop_sending_within": 10**9}}
    )
    assert asked.poll_pauses == (750_000, 6_000_000)  # one service for all: its calls cost the fleet


# Attempts and connections to nodes.


def test_with_one_stream_a_connection_from_now_on_no_other_attempt_is_torn_down(moment):
    # SIGHUP takes a connection's streams to one while it carries two: one client leaves, the other is a write
    # that can't be repeated and has nothing to do with it.
    node = CacheServer("n0")
    patient = [one | {"latency_budget": 60 * 10**9, "give_up": 60 * 10**9} for one in METHODS]
    made = moment(
        node, run=make_process_configuration(methods=patient, streams_per_conn=10, may_duplicate=True)
    )
    asking = [made.client() for _ in range(made.proxy.server_pools.PIPELINE_FROM)]
    for number, one in enumerate(asking):
        one.send(encode_gets(1, b"%d." % number))
        made.wait_until(lambda number=number: len(made.proxy.request_handler.requests) == number + 1)
    wires = [node.accept() for _ in asking]
    for wire in wires:
        wire.receive()
    paying = made.client()
    paying.send(encode_command(b"OBJ.SET", b"7f", b"pay", PAY, b"v"))
    links = made.proxy.server_pools.connections
    made.wait_until(lambda: any(len(link.in_flight) == 2 for link in links.values()))
    shared = made.run_in_reactor(lambda: next(link for link in links.values() if len(link.in_flight) == 2))
    reading, port = shared.in_flight[0].frame.request_id, shared.transport.getHost().port
    wire = next(wire for wire in wires if wire.socket.getpeername()[1] == port)
    assert wire.receive()[0] == b"OBJ.SET"
    made.run_in_reactor(made.proxy.server_pools.configure, PoolSettings(10_000_000, 250_000, 1))
    next(one for number, one in enumerate(asking) if b"%d.0" % number in reading).end()
    made.wait_until(lambda: len(made.proxy.request_handler.in_flight) == len(asking))
    before = made.run_in_reactor(lambda: made.proxy.deadlines.scheduled)
    made.advance_clock(made.proxy.server_pools.ABANDONED_TIMEOUT)
    assert (
        made.run_in_reactor(lambda: made.proxy.deadlines.scheduled) - before < 20
    )  # no round after round of nothing
    wire.send(encode_hit(b"late") + encode_hit(b"receipt"))
    assert paying.receive() == b"receipt"


@pytest.mark.parametrize("how", ["end", "reset"])
def test_a_kept_connection_that_its_node_has_ended_takes_no_effect_twice(moment, how):
    # The end is in the kernel, not read yet, when the write goes out.  After an orderly end the kernel takes
    # the bytes, and for all we know it has run.  After a reset it takes none: it goes out once more.
    node = CacheServer("n0")
    made = moment(node)
    asking = made.client()
    asking.send(encode_gets(1))
    kept = node.accept()
    kept.receive()
    kept.send(encode_hit())
    assert asking.receive() == b"v"
    made.wait_until(lambda: made.proxy.server_pools.idle_connections)

    def turn():
        getattr(kept, how)()
        clients(made)[0].dataReceived(encode_command(b"OBJ.SET", b"7f", b"2", PAY, b"v"))

    made.run_in_reactor(turn)
    if how == "reset":
        again = node.accept()
        assert again.receive()[2] == b"2"
        again.send(encode_hit(b"receipt"))
    assert asking.receive() == (b"receipt" if how == "reset" else "-ERR failed")
    assert made.run_in_reactor(
        lambda: not made.proxy.request_handler.in_flight and not made.proxy.request_handler.requests
    )


def test_an_attempt_that_waits_for_a_connection_is_let_go_when_its_node_drains(moment):
    # The connection comes up only after the drain was told: nothing is written to it.
    node, other = CacheServer("n0"), CacheServer("n1")
    made = moment(node, other)
    asking = made.client()

    def turn():  # both within one turn: the connection is not up yet
        made.client_side = clients(made)[0]
        made.client_side.dataReceived(encode_gets(1))
        first = next(iter(made.proxy.request_handler.in_flight.values())).pool
        left = next(one for one in (node, other) if one.name == first.name)
        made.proxy.endpoints.update([left.endpoint_entry("DRAINING")], False)
        return left

    made.wait_until(lambda: made.proxy.client_server.connections)
    left = made.run_in_reactor(turn)
    stays = other if left is node else node
    to_node = stays.accept()
    to_node.receive()
    to_node.send(encode_hit())
    assert asking.receive() == b"v"
    links = made.proxy.server_pools.connections
    made.wait_until(lambda: all(link.pool.name == stays.name for link in links.values()))
    wire = left.accept()
    assert wire.receive() is None  # ended by us with nothing on it


def test_an_answer_and_a_reset_in_one_read_are_an_answer(moment):
    node = CacheServer("n0")
    made = moment(node)
    asking = made.client()
    asking.send(encode_gets(1))
    to_node = node.accept()
    to_node.receive()

    def turn():
        to_node.send(encode_hit())
        to_node.reset()

    made.run_in_reactor(turn)
    assert asking.receive() in (b"v", "-BUSY", "-ERR failed")  # the kernel may have thrown the answer away
    assert made.run_in_reactor(lambda: not made.proxy.request_handler.in_flight)


@pytest.mark.parametrize("streams", [1, 10])
def test_an_answer_in_the_turn_of_its_deadline_is_nobodys_and_never_the_next_ones(moment, streams):
    node = CacheServer("n0")
    made = moment(node, streams_per_conn=streams, may_duplicate=True)
    asking = made.client()
    asking.send(encode_gets(1))
    to_node = node.accept()
    to_node.receive()

    def turn():  # the answer is in the kernel when the deadline is due
        to_node.send(encode_hit(b"late"))
        made.now += 1_000_000
        made.proxy.deadlines.run_due()

    made.run_in_reactor(turn)
    assert asking.receive() == "-BUSY"
    asking.send(encode_gets(1, b"next"))
    links = made.proxy.server_pools.connections
    made.wait_until(lambda: any(link.in_flight and link.in_flight[-1].frame for link in links.values()))
    if made.run_in_reactor(lambda: len(made.proxy.server_pools.connections)) > 1 or to_node.receive() is None:
        to_node = node.accept()
        to_node.receive()
    to_node.send(encode_hit(b"own"))
    assert asking.receive() == b"own"


def test_an_answer_in_the_turn_in_which_its_client_goes_ends_all_once(moment):
    node = CacheServer("n0")
    made = moment(node)
    for how in ("end", "reset"):
        asking = made.client()
        asking.send(encode_gets(1))
        to_node = node.accept()
        to_node.receive()

        def turn(asking=asking, to_node=to_node, how=how):
            to_node.send(encode_hit())
            getattr(asking, how)()

        made.run_in_reactor(turn)
        made.wait_until(
            lambda: not made.proxy.client_server.connections
            and not made.proxy.request_handler.in_flight
            and not made.proxy.request_handler.requests
        )
        assert not made.run_in_reactor(lambda: made.proxy.client_server.request_ids)
        made.run_in_reactor(made.proxy.server_pools.close_idle, made.proxy.server_pools.pools["n0"], "done")


def test_a_node_that_goes_from_the_list_finishes_what_it_has_and_gets_nothing_more(moment):
    agent, node = DiscoveryServer(), CacheServer("n0")
    made = moment(discovery=agent)
    watch, _ = agent.accept_watch()
    agent.send_update(watch, 1, node.endpoint_entry(), whole=True)
    made.wait_until(lambda: made.proxy.balancer.servers)
    asking = made.client()
    asking.send(encode_gets(1))
    to_node = node.accept()
    to_node.receive()
    agent.send_update(watch, 2, whole=True)
    made.wait_until(lambda: made.proxy.endpoint_watch.generation == 2)
    to_node.send(encode_hit())
    assert asking.receive() == b"v" and to_node.receive() is None


def test_a_move_of_discovery_in_its_pause_in_a_call_and_to_an_address_that_refuses(moment):
    first, second = DiscoveryServer(), DiscoveryServer()
    made = moment(discovery=first)
    watch, _ = first.accept_watch()
    first.send_update(watch, 7, CacheServer("n0").endpoint_entry(), whole=True)
    made.wait_until(lambda: made.proxy.endpoint_watch.generation == 7)
    watch.close()
    made.wait_until(lambda: not made.proxy.endpoint_watch.is_streaming)  # the pause: time stands still
    made.run_in_reactor(made.proxy.endpoint_watch.change_address, second.address)
    watch, since = second.accept_watch()
    assert since == 7
    made.wait_until(lambda: made.proxy.endpoint_watch.is_streaming)
    with socket.create_server(("127.0.0.1", 0)) as free:
        nowhere = free.getsockname()
    made.run_in_reactor(made.proxy.endpoint_watch.change_address, nowhere)
    made.wait_until(
        lambda: made.proxy.endpoint_watch.call is None and not made.proxy.endpoint_watch.is_streaming
    )
    second.send_update(
        watch, 9, CacheServer("n0").endpoint_entry("DRAINING")
    )  # nobody listens there any more
    hung = socket.create_server(("127.0.0.1", 0))
    made.run_in_reactor(made.proxy.endpoint_watch.change_address, hung.getsockname())
    late = hung.accept()[0]
    late.recv(65_536)
    # Amid the call, whose answer comes too late.
    made.run_in_reactor(made.proxy.endpoint_watch.change_address, first.address)
    watch, since = first.accept_watch()
    assert since == 7
    late.close()
    first.send_update(watch, 8, CacheServer("n1").endpoint_entry())
    made.wait_until(
        lambda: made.proxy.endpoint_watch.generation == 8 and len(made.proxy.balancer.servers) == 2
    )
