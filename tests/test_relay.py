"""Long answers, which are forwarded in pieces."""

import re
import socket
import threading
import time
from random import Random

import pytest
from helpers import (
    connect_client,
    encode_get,
    encode_hit,
    make_proxy,
    open_server_connection,
    start_without_discovery,
    request_memory,
)
from ivystack.standin.apart import Node
from test_net import Reader
from twisted.internet.error import ConnectionDone, ConnectionLost
from twisted.python.failure import Failure

from ivystack.net.reply_verifier import PING
from ivystack.net.resp import MAX_VALUE, MAX_BUFFERED_VALUE, encode_bulk

LONG = bytes(range(256)) * 1024  # 256 KiB
HEAD, TAIL = b"*3\r\n$%d\r\n" % len(LONG), b"\r\n$3\r\nhit\r\n$-1\r\n"


class StreamReader(Reader):
    """Also reads streamed values, and joins their pieces."""

    max_value_size = MAX_VALUE

    def stream_started(self, size):
        self.sizes = [*getattr(self, "sizes", []), size]
        self.long = b""
        return self.piece_received

    def piece_received(self, piece):
        self.long += piece

    def element_received(self, element):
        super().element_received(self.long if hasattr(element, "size") else element)


def test_values_are_the_same_regardless_of_segmentation():
    rng = Random(5)
    values = [
        b"v",
        b"x" * MAX_BUFFERED_VALUE,
        b"y" * (MAX_BUFFERED_VALUE + 1),
        b"\r\n" * (MAX_BUFFERED_VALUE + 7),
    ]
    for malformed in (b"", b"*3\r\n$70000\r\n" + b"z" * 70_000 + b"no", b"*3\r\n$5000000\r\n", b"?\r\n"):
        data = b"".join(encode_hit(rng.choice(values)) for _ in range(4)) + malformed
        expected = StreamReader()
        expected.dataReceived(data)
        assert len(expected.values) == 4 and bool(expected.errors) == bool(malformed)
        cuts = [sorted(rng.randrange(len(data)) for _ in range(count)) for count in (1, 5, 50, 500)]
        cuts.append(range(1, len(data)) if len(data) < 200_000 else [])
        for cut in cuts:
            reader, start = StreamReader(), 0
            for stop in [*cut, len(data)]:
                if not reader.errors:
                    reader.dataReceived(data[start:stop])
                start = stop
            assert reader.values == expected.values and reader.errors == expected.errors


def send_request(count=1, **limits):
    """Send a request of a client to a server; return the proxy and both connections."""
    proxy = make_proxy(count, **limits)
    client = connect_client(proxy)
    client.dataReceived(encode_get(fields=b"c=read,d=900"))
    return proxy, client, open_server_connection(proxy)


def test_a_long_answer_is_forwarded_in_pieces_and_ends_only_when_complete():
    proxy, client, connection = send_request()
    connection.dataReceived(HEAD + LONG[:1000])
    assert (
        client.transport.take_output() == b"$%d\r\n" % len(LONG) + LONG[:1000]
        and not proxy.request_handler.requests
    )
    for at in range(1000, len(LONG), 65_536):
        connection.dataReceived(LONG[at : at + 65_536])
    connection.dataReceived(TAIL[:2])
    assert client.transport.take_output() == LONG[1000:]
    connection.dataReceived(TAIL[2:])
    pools = proxy.server_pools
    assert (
        client.transport.take_output() == b"\r\n"
        and connection in pools.idle_connections
        and connection.long_answer.stream is None
    )
    client.dataReceived(encode_get(b"2"))  # both connections can be reused
    connection.dataReceived(b"+PONG\r\n" + encode_hit())
    assert client.transport.take_output() == b"$1\r\nv\r\n"


def test_no_deadline_interrupts_an_answer_that_has_started():
    proxy, client, connection = send_request()
    connection.dataReceived(HEAD)
    for at in range(0, len(LONG), 32_768):
        proxy.reactor.advance(2)
        connection.dataReceived(LONG[at : at + 32_768])
    connection.dataReceived(TAIL)
    assert client.transport.take_output() == encode_bulk(LONG) and not client.transport.disconnecting


def test_reading_from_the_server_pauses_while_the_client_does_not_read():
    # The long values in flight may be larger than the memory.
    proxy, client, connection = send_request()
    connection.dataReceived(HEAD + LONG[:1000])
    client.pauseProducing()  # as the transport does when its buffer is full
    assert connection.transport.producerState == "paused"
    connection.dataReceived(LONG[1000:])  # input that was already read
    proxy.reactor.advance(5)
    client.resumeProducing()
    assert connection.transport.producerState == "producing"
    connection.dataReceived(TAIL)
    assert client.transport.take_output() == encode_bulk(LONG)
    proxy.reactor.advance(60)
    assert not client.transport.disconnecting  # because the client has made progress


def test_an_answer_behind_a_pending_one_waits_at_the_server():
    proxy = make_proxy(1)
    client = connect_client(proxy)
    client.dataReceived(encode_get(b"1", fields=b"c=read,d=900") + encode_get(b"2", fields=b"c=read,d=900"))
    first, second = open_server_connection(proxy, 0), open_server_connection(proxy, 1)
    second.dataReceived(HEAD + LONG[:1000])
    assert client.transport.take_output() == b"" and second.transport.producerState == "paused"
    first.dataReceived(encode_hit(b"first"))
    assert client.transport.take_output() == b"$5\r\nfirst\r\n" + encode_bulk(LONG)[: 9 + 1000]
    assert second.transport.producerState == "producing"
    second.dataReceived(LONG[1000:] + TAIL)
    assert client.transport.take_output() == LONG[1000:] + b"\r\n"


def test_the_attempt_that_answers_first_wins_and_the_other_is_cancelled():
    proxy = make_proxy(2, may_duplicate=True, streams_per_conn=100)
    proxy.settings.request_classes["read"].attempt_times.extend([1000] * 8)
    client = connect_client(proxy)
    client.dataReceived(encode_get(fields=b"c=read,d=900"))
    slow = open_server_connection(proxy)
    proxy.reactor.advance(0.6)
    quick = open_server_connection(proxy)
    quick.dataReceived(HEAD + LONG[:10])
    slow.dataReceived(encode_hit(LONG))
    quick.dataReceived(LONG[10:] + TAIL)
    assert client.transport.take_output() == encode_bulk(LONG) and not proxy.request_handler.in_flight
    assert {slow, quick} == {*proxy.server_pools.idle_connections}


def test_a_truncated_answer_never_looks_complete():
    for end in (
        lambda connection: connection.connectionLost(Failure(ConnectionLost())),
        lambda connection: connection.dataReceived(LONG[1000:] + b"xx$3\r\nhit\r\n$-1\r\n"),  # a wrong length
        lambda connection: connection.dataReceived(LONG[1000:] + b"\r\n:5\r\n$-1\r\n"),  # no lookup result
    ):
        proxy, client, connection = send_request()
        connection.dataReceived(HEAD + LONG[:1000])
        end(connection)
        assert client.transport.disconnecting and client.code == "cut-short"
        received = client.transport.take_output()
        assert encode_bulk(LONG).startswith(received) and received != encode_bulk(LONG)
        client.connectionLost(Failure(ConnectionDone()))
        assert not proxy.request_handler.requests and not proxy.request_handler.in_flight


def test_requests_behind_a_truncated_answer_are_not_forwarded():
    # Their client can't be answered any more and retries them elsewhere, after which they must not run here.
    proxy = make_proxy(2)
    client = connect_client(proxy)
    client.dataReceived(encode_get())
    connection = open_server_connection(proxy)
    connection.dataReceived(HEAD + LONG[:9000])
    assert client.transport.producerState == "paused"  # what the client sends stays in the kernel
    client.dataReceived(encode_get(b"2", b"80") + encode_get(b"3", b"81"))  # as if it had been read before
    assert not proxy.request_handler.requests and len(proxy.reactor.tcpClients) == 1
    connection.connectionLost(Failure(ConnectionLost()))
    assert client.transport.disconnecting and client.code == "cut-short"
    assert (
        not proxy.request_handler.requests
        and not proxy.request_handler.in_flight
        and not proxy.client_server.request_ids
    )
    for number in range(1, len(proxy.reactor.tcpClients)):
        assert open_server_connection(proxy, number).transport.value() == b""
    assert not client.pending and request_memory(proxy) == 0
    client.connectionLost(Failure(ConnectionDone()))
    assert not proxy.client_server.connections


def test_a_server_that_stalls_within_an_answer_is_dropped_eventually():
    proxy, client, connection = send_request()
    connection.dataReceived(HEAD + LONG[:1000])
    proxy.reactor.pump([1] * 9)
    connection.dataReceived(LONG[1000:2000])  # a few seconds between pieces are not a stall
    proxy.reactor.pump([1] * 10)
    assert not connection.transport.disconnected
    proxy.reactor.pump([1] * 11)
    assert connection.code == "stalled" and client.transport.disconnecting


def test_an_answer_that_breaks_off_before_it_is_written_is_a_failure():
    proxy = make_proxy(1)
    client = connect_client(proxy)
    client.dataReceived(encode_get(b"1", fields=b"c=read,d=900") + encode_get(b"2", fields=b"c=read,d=900"))
    first, second = open_server_connection(proxy, 0), open_server_connection(proxy, 1)
    second.dataReceived(HEAD + LONG[:1000])
    second.connectionLost(Failure(ConnectionLost()))
    first.dataReceived(encode_hit())
    assert (
        client.transport.take_output() == b"$1\r\nv\r\n-ERR failed\r\n" and not client.transport.disconnecting
    )


def test_a_client_that_disconnects_within_an_answer_costs_at_most_one_connection():
    proxy, client, connection = send_request()
    connection.dataReceived(HEAD + LONG[:1000])
    proxy.server_pools.MAX_DISCARDED_BYTES = 1000
    client.connectionLost(Failure(ConnectionDone()))
    assert connection.transport.disconnected and connection.code == "called-off"
    proxy, client, connection = send_request()
    connection.dataReceived(HEAD + LONG[:1000])
    client.pauseProducing()
    client.connectionLost(Failure(ConnectionDone()))  # the rest is short, so it is read and discarded
    assert connection.transport.producerState == "producing"
    connection.dataReceived(LONG[1000:] + TAIL)
    assert connection in proxy.server_pools.idle_connections


def test_pipelined_requests_are_answered_after_another_client_disconnected():
    proxy = make_proxy(1, may_duplicate=True, streams_per_conn=100)
    proxy.server_pools.PIPELINE_FROM = 1
    client, other = connect_client(proxy), connect_client(proxy)
    client.dataReceived(encode_get(b"0"))
    connection = open_server_connection(proxy)
    connection.dataReceived(encode_hit())
    client.dataReceived(encode_get(b"1", fields=b"c=read,d=900"))
    other.dataReceived(encode_get(b"2", fields=b"c=read,d=900"))
    assert [in_flight.attempt.request.key for in_flight in connection.in_flight] == [127, 127]
    connection.dataReceived(HEAD + LONG[:1000])
    proxy.server_pools.MAX_DISCARDED_BYTES = 0
    client.connectionLost(Failure(ConnectionDone()))
    connection.dataReceived(LONG[1000:] + TAIL + encode_hit(b"other"))
    assert other.transport.take_output() == b"$5\r\nother\r\n"


def test_an_incomplete_load_report_does_not_delay_the_value():
    proxy, client, connection = send_request()
    connection.dataReceived(HEAD + LONG + b"\r\n$3\r\nhit\r\n$500\r\nno")
    assert client.transport.take_output() == encode_bulk(LONG)


def test_long_malformed_input_is_not_an_answer():
    for text in (b"$%d\r\n" % len(LONG), b"*2\r\n$%d\r\n" % len(LONG), b"*3\r\n$%d\r\n" % (MAX_VALUE + 1)):
        proxy, client, connection = send_request()
        connection.dataReceived(text + LONG)
        assert connection.transport.disconnected and b"$" not in client.transport.take_output()


@pytest.mark.parametrize("delay", [0, 0.006, 0.3])
def test_a_duplicate_of_a_long_answer_does_not_answer_the_next_request(delay):
    # Guards against a client that gets the document of the request before, also in part (review case 2).
    proxy, client, connection = send_request()
    connection.dataReceived(HEAD + LONG + TAIL)
    client.dataReceived(encode_get(b"2", fields=b"c=read,d=900"))
    client.transport.clear()
    proxy.reactor.advance(delay)
    connection.dataReceived(HEAD + LONG + TAIL)
    assert client.transport.take_output() == b""
    own = LONG[::-1]
    connection.dataReceived(b"+PONG\r\n" + HEAD + own + TAIL)
    assert client.transport.take_output() == encode_bulk(own)


def test_a_duplicate_of_a_long_answer_that_comes_after_the_pong_is_never_served_whole():
    # The server has answered the PING in front of a command that it had not received completely.
    proxy, client, connection = send_request()
    connection.dataReceived(HEAD + LONG + TAIL)
    client.dataReceived(encode_get(b"2"))
    client.transport.clear()
    connection.transport.take_output()
    connection.dataReceived(b"+PONG\r\n" + HEAD + LONG + TAIL)
    assert connection.transport.take_output() == PING
    connection.dataReceived(HEAD[:4] + b"$3\r\nown\r\n$3\r\nhit\r\n$-1\r\n" + b"+PONG\r\n")
    assert encode_bulk(LONG) not in client.transport.value() and client.transport.disconnecting
    assert connection.long_answer.stream is None and not proxy.request_handler.in_flight


def test_an_equal_long_answer_is_served_once_the_server_has_answered_a_ping():
    proxy, client, connection = send_request()
    connection.dataReceived(HEAD + LONG + TAIL)
    client.dataReceived(encode_get(b"2"))
    client.transport.clear()
    connection.dataReceived(b"+PONG\r\n" + HEAD + LONG + TAIL)
    assert client.transport.value() == encode_bulk(LONG)[:-2]
    connection.dataReceived(b"+PONG\r\n")
    assert client.transport.value() == encode_bulk(LONG) and connection in proxy.server_pools.idle_connections


def test_an_equally_long_answer_to_a_pipelined_attempt_is_not_forwarded():
    proxy, client, connection = send_request(may_duplicate=True, streams_per_conn=100)
    proxy.server_pools.PIPELINE_FROM = 1
    client.dataReceived(encode_get(b"2"))
    assert len(connection.in_flight) == 2
    connection.dataReceived(HEAD + LONG + TAIL + HEAD + LONG)
    assert client.transport.value() == encode_bulk(LONG) and connection.transport.disconnected


def test_a_drain_finishes_answers_that_are_being_forwarded():
    proxy, client, connection = send_request()
    start_without_discovery(proxy)
    connection.dataReceived(HEAD + LONG[:1000])
    proxy.start_draining()
    proxy.reactor.pump([0.1] * 40)
    assert not client.transport.disconnecting
    connection.dataReceived(LONG[1000:] + TAIL)
    assert client.transport.take_output() == encode_bulk(LONG) and client.transport.disconnecting


def test_concurrent_long_answers_larger_than_the_memory(make_launcher):
    # 40 values of 4 MiB go through a proxy with a memory limit of 64 MB, to clients that start to read late.
    value = b"long" * (1 << 20)
    launcher = make_launcher(Node(value=value), Node(value=value))
    process = launcher.start(limits={"memory_mb": 64}, settings=long_timeout_settings())
    results = []

    def read(number):
        for attempt in range(1000):
            with socket.create_connection(launcher.address, timeout=30) as client:
                client.sendall(encode_get(b"%d.%d" % (number, attempt), b"%x" % number, b"c=read,d=5000"))
                if client.recv(1, socket.MSG_PEEK) != b"$":  # rejected: a server has 16 connections at most
                    time.sleep(0.05)
                    continue
                time.sleep(0.5)
                received = bytearray()
                while len(received) < len(value) + 12:
                    received += client.recv(1 << 16)
                return results.append(bytes(received) == encode_bulk(value))

    readers = [threading.Thread(target=read, args=(number,)) for number in range(40)]
    for reader in readers:
        reader.start()
    for reader in readers:
        reader.join()
    with open(f"/proc/{process.pid}/status") as status:
        peak_mb = int(re.search(r"VmHWM:\s+(\d+)", status.read())[1]) >> 10
    assert results == [True] * 40 and peak_mb < 64


def long_timeout_settings():
    """Return settings with timeouts so long that the proxy rejects no request of these tests."""
    request_class = {"name": "read", "semantics": "pure", "latency_budget": 5 * 10**9, "give_up": 5 * 10**9}
    limits = {"most_write_outs": 3, "streams_per_conn": 1, "may_duplicate": True}
    return {"methods": [request_class], "limits": limits}
