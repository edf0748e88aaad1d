"""Log lines of traced requests and of closed client connections."""

import pytest
from helpers import connect_client, encode_get, encode_hit, open_server_connection, make_proxy
from loguru import logger
from twisted.internet.error import ConnectionDone
from twisted.python.failure import Failure

from ivystack.net.trace import trace


@pytest.fixture
def lines():
    messages = []
    sink = logger.add(lambda line: messages.append(line.rstrip()), format="{message}", level="INFO")
    yield messages
    logger.remove(sink)


@pytest.fixture
def traced(lines):
    trace.enabled = True
    yield lines
    trace.enabled = False


def steps(lines, request_id):
    """Return the events that were logged for a request, in order."""
    prefix = f"request id={request_id} event="
    return [line.partition(prefix)[2].split()[0] for line in lines if prefix in line]


def test_each_step_of_a_request_is_logged_with_its_id(traced):
    proxy = make_proxy()
    client = connect_client(proxy)
    client.dataReceived(encode_get(b"r1"))
    open_server_connection(proxy).dataReceived(encode_hit())
    assert steps(traced, "r1") == ["admitted", "attempt", "sent", "ended", "answered"]
    assert "answer=value" in traced[-1] and "attempts=in-flight" in traced[-1]


def test_refused_and_abandoned_requests_are_logged(traced):
    proxy = make_proxy(0)
    client = connect_client(proxy)
    client.dataReceived(encode_get(b"r2", fields=b"c=nosuch,d=9"))
    assert steps(traced, "r2") == ["not-admitted"]
    client.dataReceived(encode_get(b"r3"))
    client.connectionLost(Failure(ConnectionDone()))
    assert steps(traced, "r3") == ["admitted", "client-disconnected"]
    assert any("client connection closed client=0" in line and "ids=r3" in line for line in traced)


def test_no_steps_are_logged_while_tracing_is_disabled(lines):
    proxy = make_proxy()
    connect_client(proxy).dataReceived(encode_get(b"r4"))
    open_server_connection(proxy).dataReceived(encode_hit())
    assert steps(lines, "r4") == []


def test_the_log_of_a_closed_connection_names_partial_commands_and_discarded_bytes(lines):
    proxy = make_proxy()
    client = connect_client(proxy)
    client.dataReceived(encode_get(b"r5")[:20])
    client.close_after_writes("idle")
    client.dataReceived(encode_get(b"r5")[20:])
    client.connectionLost(Failure(ConnectionDone()))
    (line,) = [line for line in lines if line.startswith("client connection closed")]
    assert "code=idle partial_command=1 unhandled_bytes=10 waited_for_turn=0" in line
    assert f"discarded_bytes={len(encode_get(b'r5')) - 20}" in line
