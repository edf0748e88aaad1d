"""Long writes, passed on in pieces."""

import re
import socket
import threading
import time

from helpers import S, connect_client, encode_get, encode_hit, open_server_connection, make_proxy
from ivystack.standin.apart import Node
from twisted.internet.error import ConnectionDone, ConnectionLost, ConnectionRefusedError
from twisted.python.failure import Failure

from ivystack.net.resp import MAX_VALUE, encode_bulk, encode_command

LONG = bytes(range(256)) * 1024  # 256 KiB
HEAD = encode_command(b"OBJ.SET", b"7f", b"1", b"c=pay,t=t,d=900", LONG)[: -len(LONG) - 2]
TAIL = b"\r\n"


def begun(count=1, head=HEAD, **limits):
    """A long write whose first piece has gone to its node."""
    made = make_proxy(count, **limits)
    asking = connect_client(made)
    asking.dataReceived(head + LONG[:1000])
    return made, asking, open_server_connection(made)


def test_a_long_write_goes_out_as_it_comes_and_its_last_byte_once_the_clients_has_come():
    made, asking, node = begun()
    assert node.transport.take_output() == HEAD + LONG[:1000]
    for at in range(1000, len(LONG), 65_536):
        asking.dataReceived(LONG[at : at + 65_536])
    assert node.transport.take_output() == LONG[1000:]
    asking.dataReceived(TAIL[:1])
    assert node.transport.take_output() == b""
    asking.dataReceived(TAIL[1:])
    assert node.transport.take_output() == TAIL
    node.dataReceived(encode_hit(b"receipt"))
    assert (
        asking.transport.take_output() == encode_bulk(b"receipt")
        and not made.request_handler.requests
        and not made.request_handler.in_flight
    )
    asking.dataReceived(encode_get(b"2"))  # both connections are good for more
    node.dataReceived(encode_hit())
    assert asking.transport.take_output() == encode_bulk(b"v")


def test_its_time_counts_from_the_last_byte():
    made, asking, node = begun()
    for at in range(1000, len(LONG), 32_768):
        made.reactor.advance(2)
        asking.dataReceived(LONG[at : at + 32_768])
    asking.dataReceived(TAIL)
    made.reactor.advance(0.8)
    assert asking.transport.take_output() == b""
    made.reactor.advance(0.2)
    assert (
        asking.transport.take_output() == b"-ERR failed\r\n" and not made.request_handler.requests
    )  # it may have run
    assert [*made.settings.request_classes["pay"].attempt_times] == [
        1_000_000
    ]  # none of the seconds in which it came


def test_before_its_last_byte_nothing_has_run_and_after_it_it_may_have():
    for sent, answer in ((LONG[1000:], b"-BUSY\r\n"), (LONG[1000:] + TAIL, b"-ERR failed\r\n")):
        made, asking, node = begun(3)
        asking.dataReceived(sent)
        node.connectionLost(Failure(ConnectionLost()))
        assert asking.transport.take_output() == answer and len(made.reactor.tcpClients) == 1
        asking.dataReceived((LONG[1000:] + TAIL)[len(sent) :] + encode_get(b"2"))  # the rest is thrown away
        assert made.request_handler.active and not asking.transport.disconnecting


def test_while_no_piece_has_gone_out_it_goes_to_another_node():
    made = make_proxy(3)
    asking = connect_client(made)
    asking.dataReceived(HEAD + LONG[:1000])
    assert asking.transport.producerState == "paused"  # until there is a connection
    made.reactor.tcpClients[0][2].clientConnectionFailed(None, Failure(ConnectionRefusedError()))
    node = open_server_connection(made, 1)
    assert (
        node.transport.take_output() == HEAD + LONG[:1000] and asking.transport.producerState == "producing"
    )


def test_a_client_that_leaves_in_the_middle_leaves_nothing_behind():
    made, asking, node = begun()
    asking.connectionLost(Failure(ConnectionDone()))
    assert (
        node.transport.disconnected
        and not made.request_handler.requests
        and not made.request_handler.in_flight
        and not made.client_server.request_ids
    )
    assert not made.balancer.servers["n0"].health.consecutive_failures  # that was not the node's doing


def test_a_wrong_length_never_reaches_the_node_whole():
    made, asking, node = begun()
    asking.dataReceived(LONG[1000:] + b"more than said")
    assert node.transport.disconnected and not node.transport.value().endswith(TAIL)
    assert (
        asking.transport.take_output().endswith(b"after a bulk string\r\n") and asking.transport.disconnecting
    )


def test_progress_is_what_counts_for_a_slow_client():
    made, asking, node = begun()
    for at in range(5):
        made.reactor.advance(2)
        asking.dataReceived(LONG[1000 + at : 1001 + at])
    assert not asking.transport.disconnecting
    made.reactor.advance(2.6)
    assert (
        asking.code == "malformed: half a command"
        and node.transport.disconnected
        and not made.request_handler.requests
    )


def test_the_client_is_read_no_further_than_the_node_takes():
    made, asking, node = begun()
    node.transport.producer.pauseProducing()  # as the transport does when it can't pass on more
    assert asking.transport.producerState == "paused"
    made.reactor.advance(9)  # the client is not to blame
    assert not asking.transport.disconnecting
    node.transport.producer.resumeProducing()
    assert asking.transport.producerState == "producing"
    asking.dataReceived(LONG[1000:] + TAIL)
    node.dataReceived(encode_hit())
    assert asking.transport.take_output() == encode_bulk(b"v")


def test_a_node_that_takes_nothing_is_given_up():
    made, asking, node = begun()
    node.transport.producer.pauseProducing()
    made.reactor.advance(10)
    assert node.code == "stalled"
    node.connectionLost(Failure(ConnectionLost()))
    assert asking.transport.take_output() == b"-BUSY\r\n"  # it never ran


def test_an_answer_to_half_a_write_ends_it_there():
    for early, answer in ((b"-BUSY\r\n", b"-BUSY\r\n"), (encode_hit(), b"-ERR failed\r\n")):
        made, asking, node = begun()
        node.dataReceived(early)
        assert asking.transport.take_output() == answer and node.transport.disconnected
        asking.dataReceived(LONG[1000:] + TAIL)
        assert asking.commands_received == 1 and not asking.transport.disconnecting


def test_what_can_not_be_used_is_answered_at_once_and_read_to_its_end():
    made = make_proxy()
    asking = connect_client(made)
    for head in (HEAD.replace(b"c=pay", b"c=pax"), HEAD.replace(b"$1\r\n1", b"$0\r\n")):
        asking.dataReceived(head + LONG[:10])
        assert asking.transport.take_output().startswith(b"-ERR ")
        asking.dataReceived(LONG[10:] + TAIL)
    asking.dataReceived(encode_command(b"PING"))
    assert asking.transport.take_output() == b"+PONG\r\n" and not made.reactor.tcpClients
    for bad in (HEAD.replace(b"OBJ.SET", b"OBJ.GET"), HEAD.replace(b"$262144", b"$%d" % (MAX_VALUE + 1))):
        asking = connect_client(made)
        asking.dataReceived(bad)
        assert asking.transport.take_output() == b"-ERR too long\r\n" and asking.transport.disconnecting


def test_with_nowhere_to_go_it_is_nacked_within_an_eighth_of_its_time():
    made = make_proxy(1)
    made.balancer.servers["n0"].health.consecutive_failures = 2
    made.balancer.servers["n0"].health.next_probe_at = made.now() + 100 * S
    asking = connect_client(made)
    asking.dataReceived(HEAD + LONG[:1000])
    made.reactor.pump([0.01] * 12)
    assert asking.transport.take_output() == b"-BUSY\r\n"
    asking.dataReceived(LONG[1000:] + TAIL + encode_command(b"PING"))
    assert asking.transport.take_output() == b"+PONG\r\n" and not made.request_handler.requests


def test_what_is_under_way_to_a_node_that_drains_is_finished():
    made, asking, node = begun()
    made.endpoints.update(
        [{"instanceId": "n0", "hostPort": "127.0.0.9:7000", "lifecycle": "DRAINING"}], False
    )
    asking.dataReceived(LONG[1000:] + TAIL)
    node.dataReceived(encode_hit())
    assert asking.transport.take_output() == encode_bulk(b"v") and node.code == "unlisted"


def test_nothing_goes_behind_half_a_write():
    made, asking, node = begun(may_duplicate=True, streams_per_conn=100)
    made.server_pools.PIPELINE_FROM = 1
    other = connect_client(made)
    other.dataReceived(encode_get(b"2"))
    assert node.transport.take_output() == HEAD + LONG[:1000] and len(made.reactor.tcpClients) == 2


def test_more_long_writes_at_once_than_memory_holds(make_launcher):
    nodes = [Node(), Node(), Node()]
    at = make_launcher(*nodes)
    budget = 5 * 10**9
    one = {"name": "put", "semantics": "token", "latency_budget": budget, "give_up": budget, "window": budget}
    limits = {"most_write_outs": 3, "streams_per_conn": 1, "may_duplicate": True}
    process = at.start(limits={"memory_mb": 64}, settings={"methods": [one], "limits": limits})
    value, answers = b"long" * (1 << 20), []

    def write(number):
        for again in range(1000):
            ident = b"%d.%d" % (number, again)
            text = encode_command(b"OBJ.SET", b"%x" % number, ident, b"c=put,d=5000,k=1", value)
            with socket.create_connection(at.address, timeout=30) as asking:
                for piece in range(0, len(text), 1 << 18):
                    asking.sendall(text[piece : piece + (1 << 18)])
                    time.sleep(0.02)
                answer = asking.recv(100)
            if answer != b"-BUSY\r\n":
                return answers.append((ident, answer))

    writers = [threading.Thread(target=write, args=(number,)) for number in range(30)]
    for writer in writers:
        writer.start()
    for writer in writers:
        writer.join()
    with open(f"/proc/{process.pid}/status") as status:
        most = int(re.search(r"VmHWM:\s+(\d+)", status.read())[1]) >> 10
    ran = [ident for node in nodes for ident in node.ids]
    assert sorted(answers) == sorted((ident, encode_bulk(ident)) for ident in ran) and len(answers) == 30
    assert len(ran) == len(set(ran)) and most < 64
