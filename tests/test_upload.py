"""Long writes, which are forwarded in pieces."""

import re
import socket
import threading
import time

import pytest
from helpers import S, connect_client, encode_get, encode_hit, open_server_connection, make_proxy
from ivystack.standin.apart import Node
from twisted.internet.error import ConnectionDone, ConnectionLost, ConnectionRefusedError
from twisted.python.failure import Failure

from ivystack.net.resp import MAX_VALUE, encode_bulk, encode_command

LONG = bytes(range(256)) * 1024  # 256 KiB
HEAD = encode_command(b"OBJ.SET", b"7f", b"1", b"c=pay,t=t,d=900", LONG)[: -len(LONG) - 2]
TAIL = b"\r\n"


def start_write(count=1, head=HEAD, **limits):
    """Send the first piece of a long write to a server; return the proxy and both connections."""
    proxy = make_proxy(count, **limits)
    client = connect_client(proxy)
    client.dataReceived(head + LONG[:1000])
    return proxy, client, open_server_connection(proxy)


def test_a_long_write_is_forwarded_in_pieces_and_ends_only_when_received():
    proxy, client, connection = start_write()
    assert connection.transport.take_output() == HEAD + LONG[:1000]
    for start in range(1000, len(LONG), 65_536):
        client.dataReceived(LONG[start : start + 65_536])
    assert connection.transport.take_output() == LONG[1000:]
    client.dataReceived(TAIL[:1])
    assert connection.transport.take_output() == b""
    client.dataReceived(TAIL[1:])
    assert connection.transport.take_output() == TAIL
    connection.dataReceived(encode_hit(b"receipt"))
    assert (
        client.transport.take_output() == encode_bulk(b"receipt")
        and not proxy.request_handler.requests
        and not proxy.request_handler.in_flight
    )
    client.dataReceived(encode_get(b"2"))  # both connections can be reused
    connection.dataReceived(encode_hit())
    assert client.transport.take_output() == encode_bulk(b"v")


def test_the_timeout_of_a_long_write_starts_at_its_last_byte():
    proxy, client, connection = start_write()
    for start in range(1000, len(LONG), 32_768):
        proxy.reactor.advance(2)
        client.dataReceived(LONG[start : start + 32_768])
    client.dataReceived(TAIL)
    proxy.reactor.advance(0.8)
    assert client.transport.take_output() == b""
    proxy.reactor.advance(0.2)
    # An error, because the write may have been executed.
    assert client.transport.take_output() == b"-ERR failed\r\n" and not proxy.request_handler.requests
    # Without the seconds in which the write was received.
    assert [*proxy.settings.request_classes["pay"].attempt_times] == [1_000_000]


def test_a_long_write_may_have_been_executed_only_after_its_last_byte():
    for sent, answer in ((LONG[1000:], b"-BUSY\r\n"), (LONG[1000:] + TAIL, b"-ERR failed\r\n")):
        proxy, client, connection = start_write(3)
        client.dataReceived(sent)
        connection.connectionLost(Failure(ConnectionLost()))
        assert client.transport.take_output() == answer and len(proxy.reactor.tcpClients) == 1
        client.dataReceived((LONG[1000:] + TAIL)[len(sent) :] + encode_get(b"2"))  # the rest is discarded
        assert proxy.request_handler.active and not client.transport.disconnecting


def test_a_long_write_is_retried_if_no_byte_was_sent():
    proxy = make_proxy(3)
    client = connect_client(proxy)
    client.dataReceived(HEAD + LONG[:1000])
    assert client.transport.producerState == "paused"  # until a server's connection is open
    proxy.reactor.tcpClients[0][2].clientConnectionFailed(None, Failure(ConnectionRefusedError()))
    connection = open_server_connection(proxy, 1)
    assert (
        connection.transport.take_output() == HEAD + LONG[:1000]
        and client.transport.producerState == "producing"
    )


def test_a_client_that_disconnects_within_a_long_write_leaves_no_state():
    proxy, client, connection = start_write()
    client.connectionLost(Failure(ConnectionDone()))
    assert (
        connection.transport.disconnected
        and not proxy.request_handler.requests
        and not proxy.request_handler.in_flight
        and not proxy.client_server.request_ids
    )
    assert not proxy.balancer.servers["n0"].health.consecutive_failures  # not counted against the server


def test_a_client_that_disconnects_after_its_long_write_ends_what_is_still_buffered():
    # Guards against bytes that go to the server for up to a second after the client has left.
    proxy, client, connection = start_write(may_duplicate=True, streams_per_conn=100)
    client.dataReceived(LONG[1000:] + TAIL)
    connection.transport.dataBuffer = TAIL  # the kernel has not taken the last bytes
    client.connectionLost(Failure(ConnectionDone()))
    assert connection.transport.disconnected and not proxy.request_handler.in_flight


def test_a_long_write_of_a_wrong_length_is_never_completed():
    proxy, client, connection = start_write()
    client.dataReceived(LONG[1000:] + b"more than said")
    assert connection.transport.disconnected and not connection.transport.value().endswith(TAIL)
    assert (
        client.transport.take_output().endswith(b"after a bulk string\r\n") and client.transport.disconnecting
    )


def test_a_slow_client_is_dropped_only_without_progress():
    proxy, client, connection = start_write()
    for start in range(5):
        proxy.reactor.advance(2)
        client.dataReceived(LONG[1000 + start : 1001 + start])
    assert not client.transport.disconnecting
    proxy.reactor.advance(2.6)
    assert (
        client.code == "malformed: half a command"
        and connection.transport.disconnected
        and not proxy.request_handler.requests
    )


def test_reading_from_the_client_pauses_while_the_server_does_not_read():
    proxy, client, connection = start_write(
        head=HEAD.replace(b"$15\r\nc=pay,t=t,d=900", b"$16\r\nc=pay,t=t,d=9500")
    )
    connection.transport.producer.pauseProducing()  # as the transport does when its buffer is full
    assert client.transport.producerState == "paused"
    proxy.reactor.advance(9)  # the client is not timed out for the server's pause
    assert not client.transport.disconnecting
    connection.transport.producer.resumeProducing()
    assert client.transport.producerState == "producing"
    client.dataReceived(LONG[1000:] + TAIL)
    connection.dataReceived(encode_hit())
    assert client.transport.take_output() == encode_bulk(b"v")


def test_a_server_that_does_not_read_is_dropped():
    proxy, client, connection = start_write(
        head=HEAD.replace(b"$15\r\nc=pay,t=t,d=900", b"$17\r\nc=pay,t=t,d=20000")
    )
    connection.transport.producer.pauseProducing()
    proxy.reactor.advance(10)
    assert connection.code == "stalled"
    connection.connectionLost(Failure(ConnectionLost()))
    assert client.transport.take_output() == b"-BUSY\r\n"  # it was not executed


def test_a_long_write_to_a_server_that_does_not_read_is_rejected_within_the_clients_timeout():
    # Guards against an answer 10 s after the write was taken: its last byte may lie unread (review case 3).
    proxy, client, connection = start_write()
    proxy.reactor.advance(0.2)
    connection.transport.producer.pauseProducing()
    client.transport.unread_bytes = lambda: len(LONG)
    proxy.reactor.pump([0.1] * 11)  # 0.9 s without the 0.2 s in which the client sent nothing
    assert client.transport.take_output() == b"-BUSY\r\n" and connection.code == "out-of-time"
    assert not proxy.request_handler.active and not proxy.request_handler.in_flight
    assert proxy.balancer.servers["n0"].health.consecutive_failures == 1
    client.dataReceived(LONG[1000:] + TAIL + encode_command(b"PING"))
    assert client.transport.take_output() == b"+PONG\r\n"


def test_the_pauses_of_a_slow_server_add_up():
    # Guards against a deadline that each piece moves on: all of them may have been written long before.
    proxy, client, connection = start_write()
    client.transport.unread_bytes = lambda: len(LONG)
    for start in range(1000, 9000, 1000):
        connection.transport.producer.pauseProducing()
        proxy.reactor.advance(0.1)
        connection.transport.producer.resumeProducing()
        client.dataReceived(LONG[start : start + 1000])
    assert client.transport.take_output() == b""
    connection.transport.producer.pauseProducing()
    proxy.reactor.advance(0.12)
    assert client.transport.take_output() == b"-BUSY\r\n"


def test_what_a_slow_server_took_of_the_timeout_is_missing_after_the_last_byte():
    proxy, client, connection = start_write()
    client.transport.unread_bytes = lambda: len(LONG)
    connection.transport.producer.pauseProducing()
    proxy.reactor.advance(0.6)
    connection.transport.producer.resumeProducing()
    client.dataReceived(LONG[1000:] + TAIL)
    assert connection.transport.take_output().endswith(TAIL)
    proxy.reactor.advance(0.28)
    assert client.transport.take_output() == b""
    proxy.reactor.advance(0.03)
    assert client.transport.take_output() == b"-ERR failed\r\n"  # it may have been executed


def test_the_time_of_a_slow_client_does_not_count_towards_its_timeout():
    proxy, client, connection = start_write()
    for start in range(1000, 9000, 1000):
        proxy.reactor.advance(0.8)
        client.dataReceived(LONG[start : start + 1000])
    connection.transport.producer.pauseProducing()
    proxy.reactor.advance(0.88)
    assert client.transport.take_output() == b""
    proxy.reactor.advance(0.03)
    assert client.transport.take_output() == b"-BUSY\r\n"


@pytest.mark.parametrize("arrives", [True, False])
def test_a_long_write_is_answered_before_a_terminating_process_is_killed(arrives):
    # Guards against a deadline beyond SIGKILL, if the last byte comes late after SIGTERM.
    proxy, client, connection = start_write()
    proxy.request_handler.answer_by = proxy.now() + 3 * S // 2  # as `Proxy.terminate` sets it
    proxy.reactor.advance(1.2)
    if arrives:
        client.dataReceived(LONG[1000:] + TAIL)
    proxy.reactor.advance(0.28)
    assert client.transport.take_output() == b""
    proxy.reactor.advance(0.03)
    assert client.transport.take_output() == (b"-ERR failed\r\n" if arrives else b"-BUSY\r\n")


def test_an_answer_to_an_incomplete_write_ends_the_attempt():
    for early, answer in ((b"-BUSY\r\n", b"-BUSY\r\n"), (encode_hit(), b"-ERR failed\r\n")):
        proxy, client, connection = start_write()
        connection.dataReceived(early)
        assert client.transport.take_output() == answer and connection.transport.disconnected
        client.dataReceived(LONG[1000:] + TAIL)
        assert client.commands_received == 1 and not client.transport.disconnecting


def test_an_invalid_long_write_is_answered_at_once_and_discarded():
    proxy = make_proxy()
    client = connect_client(proxy)
    for head in (HEAD.replace(b"c=pay", b"c=pax"), HEAD.replace(b"$1\r\n1", b"$0\r\n")):
        client.dataReceived(head + LONG[:10])
        assert client.transport.take_output().startswith(b"-ERR ")
        client.dataReceived(LONG[10:] + TAIL)
    client.dataReceived(encode_command(b"PING"))
    assert client.transport.take_output() == b"+PONG\r\n" and not proxy.reactor.tcpClients
    for malformed in (
        HEAD.replace(b"OBJ.SET", b"OBJ.GET"),
        HEAD.replace(b"$262144", b"$%d" % (MAX_VALUE + 1)),
    ):
        client = connect_client(proxy)
        client.dataReceived(malformed)
        assert client.transport.take_output() == b"-ERR too long\r\n" and client.transport.disconnecting


def test_without_a_server_a_long_write_is_rejected_within_an_eighth_of_its_timeout():
    proxy = make_proxy(1)
    proxy.balancer.servers["n0"].health.consecutive_failures = 2
    proxy.balancer.servers["n0"].health.next_probe_at = proxy.now() + 100 * S
    client = connect_client(proxy)
    client.dataReceived(HEAD + LONG[:1000])
    proxy.reactor.pump([0.01] * 12)
    assert client.transport.take_output() == b"-BUSY\r\n"
    client.dataReceived(LONG[1000:] + TAIL + encode_command(b"PING"))
    assert client.transport.take_output() == b"+PONG\r\n" and not proxy.request_handler.requests


def test_a_long_write_to_a_draining_server_is_finished():
    proxy, client, connection = start_write()
    proxy.endpoints.update(
        [{"instanceId": "n0", "hostPort": "127.0.0.9:7000", "lifecycle": "DRAINING"}], False
    )
    client.dataReceived(LONG[1000:] + TAIL)
    connection.dataReceived(encode_hit())
    assert client.transport.take_output() == encode_bulk(b"v") and connection.code == "unlisted"


def test_requests_are_not_pipelined_behind_an_incomplete_write():
    proxy, client, connection = start_write(may_duplicate=True, streams_per_conn=100)
    proxy.server_pools.PIPELINE_FROM = 1
    other = connect_client(proxy)
    other.dataReceived(encode_get(b"2"))
    assert connection.transport.take_output() == HEAD + LONG[:1000] and len(proxy.reactor.tcpClients) == 2


def test_concurrent_long_writes_larger_than_the_memory(make_launcher):
    servers = [Node(), Node(), Node()]
    launcher = make_launcher(*servers)
    timeout_ns = 5 * 10**9
    request_class = {
        "name": "put",
        "semantics": "token",
        "latency_budget": timeout_ns,
        "give_up": timeout_ns,
        "window": timeout_ns,
    }
    limits = {"most_write_outs": 3, "streams_per_conn": 1, "may_duplicate": True}
    process = launcher.start(
        limits={"memory_mb": 64}, settings={"methods": [request_class], "limits": limits}
    )
    value, answers = b"long" * (1 << 20), []

    def write(number):
        for attempt in range(1000):
            request_id = b"%d.%d" % (number, attempt)
            command = encode_command(b"OBJ.SET", b"%x" % number, request_id, b"c=put,d=5000,k=1", value)
            with socket.create_connection(launcher.address, timeout=30) as client:
                for start in range(0, len(command), 1 << 18):
                    client.sendall(command[start : start + (1 << 18)])
                    time.sleep(0.02)
                answer = client.recv(100)
            if answer != b"-BUSY\r\n":
                return answers.append((request_id, answer))

    writers = [threading.Thread(target=write, args=(number,)) for number in range(30)]
    for writer in writers:
        writer.start()
    for writer in writers:
        writer.join()
    with open(f"/proc/{process.pid}/status") as status:
        peak_mb = int(re.search(r"VmHWM:\s+(\d+)", status.read())[1]) >> 10
    executed = [request_id for server in servers for request_id in server.ids]
    assert (
        sorted(answers) == sorted((request_id, encode_bulk(request_id)) for request_id in executed)
        and len(answers) == 30
    )
    assert len(executed) == len(set(executed)) and peak_mb < 64
