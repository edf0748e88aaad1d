"""What the log tells of one request and of the end of a client's connection."""

import pytest
from helpers import connect_client, encode_get, encode_hit, open_server_connection, make_proxy
from loguru import logger
from twisted.internet.error import ConnectionDone
from twisted.python.failure import Failure

from ivystack.net.trace import trace


@pytest.fixture
def lines():
    found = []
    sink = logger.add(lambda line: found.append(line.rstrip()), format="{message}", level="INFO")
    yield found
    logger.remove(sink)


@pytest.fixture
def traced(lines):
    trace.enabled = True
    yield lines
    trace.enabled = False


def steps(lines, ident):
    mark = f"request id={ident} event="
    return [line.partition(mark)[2].split()[0] for line in lines if mark in line]


def test_each_step_of_a_request_is_logged_with_its_id(traced):
    made = make_proxy()
    asking = connect_client(made)
    asking.dataReceived(encode_get(b"r1"))
    open_server_connection(made).dataReceived(encode_hit())
    assert steps(traced, "r1") == ["admitted", "attempt", "sent", "ended", "answered"]
    assert "answer=value" in traced[-1] and "attempts=in-flight" in traced[-1]


def test_what_is_refused_or_left_open_says_why(traced):
    made = make_proxy(0)
    asking = connect_client(made)
    asking.dataReceived(encode_get(b"r2", fields=b"c=nosuch,d=9"))
    assert steps(traced, "r2") == ["not-admitted"]
    asking.dataReceived(encode_get(b"r3"))
    asking.connectionLost(Failure(ConnectionDone()))
    assert steps(traced, "r3") == ["admitted", "client-disconnected"]
    assert any("client connection closed client=0" in line and "ids=r3" in line for line in traced)


def test_nothing_is_logged_of_a_request_while_the_trace_is_off(lines):
    made = make_proxy()
    connect_client(made).dataReceived(encode_get(b"r4"))
    open_server_connection(made).dataReceived(encode_hit())
    assert steps(lines, "r4") == []


def test_the_end_of_a_connection_tells_a_half_read_command_and_bytes_that_came_too_late(lines):
    made = make_proxy()
    asking = connect_client(made)
    asking.dataReceived(encode_get(b"r5")[:20])
    asking.close_after_writes("idle")
    asking.dataReceived(encode_get(b"r5")[20:])
    asking.connectionLost(Failure(ConnectionDone()))
    (line,) = [line for line in lines if line.startswith("client connection closed")]
    assert f"code=idle partial_command=1 discarded_bytes={len(encode_get(b'r5')) - 20}" in line
