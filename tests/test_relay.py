"""Long answers, passed on in pieces."""

import re
import socket
import threading
import time
from random import Random

from helpers import connect_client, encode_get, encode_hit, open_server_connection, make_proxy
from ivystack.standin.apart import Node
from test_net import Reader
from twisted.internet.error import ConnectionDone, ConnectionLost
from twisted.python.failure import Failure

from ivystack.net.resp import MAX_VALUE, MAX_BUFFERED_VALUE, encode_bulk

LONG = bytes(range(256)) * 1024  # 256 KiB
HEAD, TAIL = b"*3\r\n$%d\r\n" % len(LONG), b"\r\n$3\r\nhit\r\n$-1\r\n"


class Pieces(Reader):
    """Reads long values too, putting their pieces together again."""

    max_value_size = MAX_VALUE

    def stream_started(self, size):
        self.sizes = [*getattr(self, "sizes", []), size]
        self.long = b""
        return self.take

    def take(self, piece):
        self.long += piece

    def element_received(self, element):
        super().element_received(self.long if hasattr(element, "size") else element)


def test_any_cut_of_a_stream_gives_what_the_whole_stream_gives():
    rng = Random(5)
    values = [
        b"v",
        b"x" * MAX_BUFFERED_VALUE,
        b"y" * (MAX_BUFFERED_VALUE + 1),
        b"\r\n" * (MAX_BUFFERED_VALUE + 7),
    ]
    for bad in (b"", b"*3\r\n$70000\r\n" + b"z" * 70_000 + b"no", b"*3\r\n$5000000\r\n", b"?\r\n"):
        text = b"".join(encode_hit(rng.choice(values)) for _ in range(4)) + bad
        whole = Pieces()
        whole.dataReceived(text)
        assert len(whole.values) == 4 and bool(whole.errors) == bool(bad)
        cuts = [sorted(rng.randrange(len(text)) for _ in range(count)) for count in (1, 5, 50, 500)]
        cuts.append(range(1, len(text)) if len(text) < 200_000 else [])
        for cut in cuts:
            reader, at = Pieces(), 0
            for to in [*cut, len(text)]:
                if not reader.errors:
                    reader.dataReceived(text[at:to])
                at = to
            assert reader.values == whole.values and reader.errors == whole.errors


def asked(count=1, **limits):
    """A req out on a connection to its node."""
    made = make_proxy(count, **limits)
    asking = connect_client(made)
    asking.dataReceived(encode_get(fields=b"c=read,d=900"))
    return made, asking, open_server_connection(made)


def test_a_long_answer_goes_out_as_it_comes_and_the_last_of_it_once_it_proves_whole():
    made, asking, node = asked()
    node.dataReceived(HEAD + LONG[:1000])
    assert (
        asking.transport.take_output() == b"$%d\r\n" % len(LONG) + LONG[:1000]
        and not made.request_handler.requests
    )
    for at in range(1000, len(LONG), 65_536):
        node.dataReceived(LONG[at : at + 65_536])
    node.dataReceived(TAIL[:2])
    assert asking.transport.take_output() == LONG[1000:]
    node.dataReceived(TAIL[2:])
    pools = made.server_pools
    assert asking.transport.take_output() == b"\r\n" and node in pools.idle_connections and not pools.relays
    asking.dataReceived(encode_get(b"2"))  # both connections are good for more
    node.dataReceived(encode_hit())
    assert asking.transport.take_output() == b"$1\r\nv\r\n"


def test_no_deadline_cuts_an_answer_that_has_begun():
    made, asking, node = asked()
    node.dataReceived(HEAD)
    for at in range(0, len(LONG), 32_768):
        made.reactor.advance(2)
        node.dataReceived(LONG[at : at + 32_768])
    node.dataReceived(TAIL)
    assert asking.transport.take_output() == encode_bulk(LONG) and not asking.transport.disconnecting


def test_reading_stops_while_the_client_takes_no_more():
    # Guards the memory: more of these values are under way than it holds.
    made, asking, node = asked()
    node.dataReceived(HEAD + LONG[:1000])
    asking.pauseProducing()  # as the transport does when it can't pass on more
    assert node.transport.producerState == "paused"
    node.dataReceived(LONG[1000:])  # what had been read already
    made.reactor.advance(5)
    asking.resumeProducing()
    assert node.transport.producerState == "producing"
    node.dataReceived(TAIL)
    assert asking.transport.take_output() == encode_bulk(LONG)
    made.reactor.advance(60)
    assert not asking.transport.disconnecting  # it had made progress


def test_an_answer_whose_turn_has_not_come_waits_at_the_node():
    made = make_proxy(1)
    asking = connect_client(made)
    asking.dataReceived(encode_get(b"1", fields=b"c=read,d=900") + encode_get(b"2", fields=b"c=read,d=900"))
    first, second = open_server_connection(made, 0), open_server_connection(made, 1)
    second.dataReceived(HEAD + LONG[:1000])
    assert asking.transport.take_output() == b"" and second.transport.producerState == "paused"
    first.dataReceived(encode_hit(b"first"))
    assert asking.transport.take_output() == b"$5\r\nfirst\r\n" + encode_bulk(LONG)[: 9 + 1000]
    assert second.transport.producerState == "producing"
    second.dataReceived(LONG[1000:] + TAIL)
    assert asking.transport.take_output() == LONG[1000:] + b"\r\n"


def test_the_first_copy_to_begin_wins_and_the_other_is_called_off():
    made = make_proxy(2, may_duplicate=True, streams_per_conn=100)
    made.settings.request_classes["read"].attempt_times.extend([1000] * 8)
    asking = connect_client(made)
    asking.dataReceived(encode_get(fields=b"c=read,d=900"))
    slow = open_server_connection(made)
    made.reactor.advance(0.6)
    quick = open_server_connection(made)
    quick.dataReceived(HEAD + LONG[:10])
    slow.dataReceived(encode_hit(LONG))
    quick.dataReceived(LONG[10:] + TAIL)
    assert asking.transport.take_output() == encode_bulk(LONG) and not made.request_handler.in_flight
    assert {slow, quick} == {*made.server_pools.idle_connections}


def test_what_ends_in_the_middle_never_looks_whole():
    for end in (
        lambda node: node.connectionLost(Failure(ConnectionLost())),
        lambda node: node.dataReceived(LONG[1000:] + b"xx$3\r\nhit\r\n$-1\r\n"),  # a wrong length
        lambda node: node.dataReceived(LONG[1000:] + b"\r\n:5\r\n$-1\r\n"),  # no word of how it went
    ):
        made, asking, node = asked()
        node.dataReceived(HEAD + LONG[:1000])
        end(node)
        assert asking.transport.disconnecting and asking.code == "cut-short"
        got = asking.transport.take_output()
        assert encode_bulk(LONG).startswith(got) and got != encode_bulk(LONG)
        asking.connectionLost(Failure(ConnectionDone()))
        assert not made.request_handler.requests and not made.request_handler.in_flight


def test_what_is_owed_behind_one_that_is_cut_short_is_not_sent_on():
    # Its client can't be answered any more and sends it once more elsewhere: here it must not run after that.
    made = make_proxy(2)
    asking = connect_client(made)
    asking.dataReceived(encode_get())
    node = open_server_connection(made)
    node.dataReceived(HEAD + LONG[:9000])
    asking.dataReceived(encode_get(b"2", b"80") + encode_get(b"3", b"81"))  # their connections do not come up
    assert len(made.request_handler.requests) == 2 and len(made.reactor.tcpClients) > 1
    node.connectionLost(Failure(ConnectionLost()))
    assert asking.transport.disconnecting and asking.code == "cut-short"
    assert (
        not made.request_handler.requests
        and not made.request_handler.in_flight
        and not made.client_server.request_ids
    )
    for number in range(1, len(made.reactor.tcpClients)):
        assert open_server_connection(made, number).transport.value() == b""
    assert not asking.pending and made.client_server.value_bytes == 0
    asking.connectionLost(Failure(ConnectionDone()))
    assert not made.client_server.connections


def test_a_node_that_stalls_in_the_middle_is_given_up_in_the_end():
    made, asking, node = asked()
    node.dataReceived(HEAD + LONG[:1000])
    made.reactor.pump([1] * 9)
    node.dataReceived(LONG[1000:2000])  # seconds between pieces are no stall
    made.reactor.pump([1] * 10)
    assert not node.transport.disconnected
    made.reactor.pump([1] * 11)
    assert node.code == "stalled" and asking.transport.disconnecting


def test_one_that_breaks_before_its_turn_is_a_plain_failure():
    made = make_proxy(1)
    asking = connect_client(made)
    asking.dataReceived(encode_get(b"1", fields=b"c=read,d=900") + encode_get(b"2", fields=b"c=read,d=900"))
    first, second = open_server_connection(made, 0), open_server_connection(made, 1)
    second.dataReceived(HEAD + LONG[:1000])
    second.connectionLost(Failure(ConnectionLost()))
    first.dataReceived(encode_hit())
    assert (
        asking.transport.take_output() == b"$1\r\nv\r\n-ERR failed\r\n" and not asking.transport.disconnecting
    )


def test_a_client_that_leaves_in_the_middle_costs_a_connection_at_most():
    made, asking, node = asked()
    node.dataReceived(HEAD + LONG[:1000])
    made.server_pools.MAX_DISCARDED_BYTES = 1000
    asking.connectionLost(Failure(ConnectionDone()))
    assert node.transport.disconnected and node.code == "called-off"
    made, asking, node = asked()
    node.dataReceived(HEAD + LONG[:1000])
    asking.pauseProducing()
    asking.connectionLost(Failure(ConnectionDone()))  # little is left: it is read and thrown away
    assert node.transport.producerState == "producing"
    node.dataReceived(LONG[1000:] + TAIL)
    assert node in made.server_pools.idle_connections


def test_those_behind_it_on_the_connection_are_answered_though_its_client_left():
    made = make_proxy(1, may_duplicate=True, streams_per_conn=100)
    made.server_pools.PIPELINE_FROM = 1
    asking, other = connect_client(made), connect_client(made)
    asking.dataReceived(encode_get(b"0"))
    node = open_server_connection(made)
    node.dataReceived(encode_hit())
    asking.dataReceived(encode_get(b"1", fields=b"c=read,d=900"))
    other.dataReceived(encode_get(b"2", fields=b"c=read,d=900"))
    assert [one.attempt.request.key for one in node.in_flight] == [127, 127]
    node.dataReceived(HEAD + LONG[:1000])
    made.server_pools.MAX_DISCARDED_BYTES = 0
    asking.connectionLost(Failure(ConnectionDone()))
    node.dataReceived(LONG[1000:] + TAIL + encode_hit(b"other"))
    assert other.transport.take_output() == b"$5\r\nother\r\n"


def test_a_report_that_never_ends_keeps_no_value_back():
    made, asking, node = asked()
    node.dataReceived(HEAD + LONG + b"\r\n$3\r\nhit\r\n$500\r\nno")
    assert asking.transport.take_output() == encode_bulk(LONG)


def test_long_noise_is_no_answer():
    for text in (b"$%d\r\n" % len(LONG), b"*2\r\n$%d\r\n" % len(LONG), b"*3\r\n$%d\r\n" % (MAX_VALUE + 1)):
        made, asking, node = asked()
        node.dataReceived(text + LONG)
        assert node.transport.disconnected and b"$" not in asking.transport.take_output()


def test_a_second_copy_of_a_long_answer_is_not_the_next_ones():
    made, asking, node = asked()
    node.dataReceived(HEAD + LONG + TAIL)
    asking.dataReceived(encode_get(b"2"))
    asking.transport.clear()
    node.dataReceived(HEAD + LONG + TAIL)
    assert asking.transport.take_output() == b"" and node.transport.disconnected


def test_a_drain_finishes_what_is_being_passed_on():
    made, asking, node = asked()
    made.endpoint_watch.request_watch = lambda: None
    made.start()
    node.dataReceived(HEAD + LONG[:1000])
    made.start_draining()
    made.reactor.pump([0.1] * 40)
    assert not asking.transport.disconnecting
    node.dataReceived(LONG[1000:] + TAIL)
    assert asking.transport.take_output() == encode_bulk(LONG) and asking.transport.disconnecting


def test_more_long_values_at_once_than_memory_holds(make_launcher):
    # 40 of 4 MiB through a proxy of 64 MB, to clients that begin to read late.
    value = b"long" * (1 << 20)
    at = make_launcher(Node(value=value), Node(value=value))
    process = at.start(limits={"memory_mb": 64}, settings=wide())
    whole = []

    def read(number):
        for again in range(1000):
            with socket.create_connection(at.address, timeout=30) as one:
                one.sendall(encode_get(b"%d.%d" % (number, again), b"%x" % number, b"c=read,d=5000"))
                if one.recv(1, socket.MSG_PEEK) != b"$":  # nacked: 16 connections go to a node at once
                    time.sleep(0.05)
                    continue
                time.sleep(0.5)
                text = bytearray()
                while len(text) < len(value) + 12:
                    text += one.recv(1 << 16)
                return whole.append(bytes(text) == encode_bulk(value))

    readers = [threading.Thread(target=read, args=(number,)) for number in range(40)]
    for one in readers:
        one.start()
    for one in readers:
        one.join()
    with open(f"/proc/{process.pid}/status") as status:
        most = int(re.search(r"VmHWM:\s+(\d+)", status.read())[1]) >> 10
    assert whole == [True] * 40 and most < 64


def wide():
    """Settings under which nothing is nacked here."""
    one = {"name": "read", "semantics": "pure", "latency_budget": 5 * 10**9, "give_up": 5 * 10**9}
    limits = {"most_write_outs": 3, "streams_per_conn": 1, "may_duplicate": True}
    return {"methods": [one], "limits": limits}
