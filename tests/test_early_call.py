"""The first call of discovery is made before the libraries are imported, and its answer is used."""

import socket

import pytest
from moments import CacheServer, ProxyHarness
from stale_list import COMMANDS, StaleListPlay

from ivystack.early_call import call_discovery


@pytest.fixture
def server():
    return CacheServer("n0")


@pytest.fixture
def harness(server):
    """Yield a proxy that is not started, whose known list has generation 1."""
    harness = ProxyHarness()
    entries = [server.endpoint_entry()]
    harness.run.known_endpoints = {"generation": 1, "reset": True, "instances": entries}
    yield harness
    harness.stop()


def start_with_early_call(harness, generation=1):
    """Make the early call, start the proxy, and return the connection and generation of the early call."""
    early_call = call_discovery(harness.discovery.address, generation)
    connection = harness.discovery.accept_watch()
    harness.run_in_reactor(harness.proxy.use_early_call, early_call)
    harness.run_in_reactor(harness.proxy.start)
    return connection


def state_of_server(harness):
    return harness.run_in_reactor(lambda: harness.proxy.balancer.servers["n0"].state.value)


def test_an_answer_that_came_before_the_start_opens_the_gate(harness, server):
    early_call = call_discovery(harness.discovery.address, 1)
    connection, since = harness.discovery.accept_watch()
    harness.discovery.send_update(connection, 2, server.endpoint_entry("DRAINING"))
    harness.run_in_reactor(harness.proxy.use_early_call, early_call)
    harness.run_in_reactor(harness.proxy.start)
    harness.wait_until(lambda: harness.proxy.endpoint_gate.is_open)
    assert since == 1 and state_of_server(harness) == "draining"
    harness.discovery.send_update(connection, 3, server.endpoint_entry())  # the watch goes on
    harness.wait_until(lambda: harness.proxy.endpoint_watch.generation == 3)


def test_an_early_call_that_has_ended_is_made_again(harness):
    connection, _ = start_with_early_call(harness)
    connection.close()
    again, since = harness.discovery.accept_watch()
    harness.discovery.send_update(again, 2)
    harness.wait_until(lambda: harness.proxy.endpoint_gate.is_open)
    assert since == 1


def test_an_early_call_for_another_generation_is_not_used(harness, server):
    # Guards against changes since a generation that this process does not have: `known` was not usable.
    harness.run.known_endpoints = {"generation": 1}
    early, _ = start_with_early_call(harness)
    whole, since = harness.discovery.accept_watch()
    assert since == 0
    with pytest.raises(ConnectionResetError):  # its answer was not read
        early.recv(1)
    harness.discovery.send_update(whole, 2, server.endpoint_entry(), whole=True)
    harness.wait_until(lambda: harness.proxy.endpoint_gate.is_open)


def test_a_call_that_nobody_accepts_is_left_to_the_proxy():
    with socket.create_server(("127.0.0.1", 0)) as unused:
        address = unused.getsockname()
    assert call_discovery(address, 0) is None


def test_a_start_makes_one_call_whose_answer_is_there_when_the_port_opens(tmp_path):
    play = StaleListPlay(tmp_path)
    try:
        play.start()
        play.connect()
        play.send_commands()
        assert play.read_answers() == COMMANDS
        assert [*play.discovery.standin.ledger.discovery_requests.values()] == [1]
    finally:
        play.close()
