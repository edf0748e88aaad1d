"""The operators' address and sending clients away."""

from helpers import (
    S,
    FakeTransport,
    connect_client,
    make_entries,
    encode_get,
    encode_hit,
    open_server_connection,
    make_proxy,
)
from twisted.internet.error import ConnectionDone
from twisted.python.failure import Failure

from ivystack.net.admin import MAX_BODY_BYTES, AdminServer
from ivystack.net.resp import encode_command

PING = encode_command(b"PING")


def serving(count=1):
    made = make_proxy(count)
    made.endpoint_watch.request_watch = lambda: None
    made.start()
    return made


def caller(made):
    channel = made.admin.buildProtocol(None)
    channel.makeConnection(FakeTransport())
    return channel


def ask(made, call):
    """The status that a call is answered with."""
    channel = caller(made)
    channel.dataReceived(call.encode() + b" HTTP/1.1\r\nHost: x\r\n\r\n")
    assert channel.transport.disconnecting  # one call a connection
    channel.connectionLost(Failure(ConnectionDone()))
    return int(channel.transport.value().split()[1])


def answered(made, count):
    """Connections of clients that have had an answer, the longest idle first."""
    asking = []
    for _ in range(count):
        asking.append(connect_client(made))
        asking[-1].dataReceived(PING)
        asking[-1].transport.clear()
    return asking


def left(asking):
    return [one for one in asking if not one.transport.disconnecting]


def test_ready_is_yes_exactly_while_clients_are_taken():
    made = make_proxy(0)
    made.endpoint_watch.request_watch = lambda: None
    assert ask(made, "GET /_ready") == 503  # not started
    made.start()
    assert ask(made, "GET /_ready") == 503  # no node
    made.endpoints.update(make_entries(1), True)
    assert ask(made, "GET /_ready") == 200
    assert ask(made, "POST /_lameduck/on") == 200 and ask(made, "GET /_ready") == 503
    assert ask(made, "POST /_lameduck/on") == 200  # no harm in saying it twice
    assert ask(made, "POST /_lameduck/off") == 200 and ask(made, "GET /_ready") == 200
    assert ask(made, "POST /_lameduck/off") == 200
    made.terminate()
    assert ask(made, "GET /_ready") == 503 and ask(made, "POST /_lameduck/off") == 409
    assert ask(made, "POST /_lameduck/on") == 200 and made.client_server.drain.code == "stopping"


def test_what_is_no_call_is_answered_no_and_changes_nothing():
    made = serving()
    assert ask(made, "GET /") == 404 and ask(made, "POST /_ready") == 405
    assert ask(made, "GET /_lameduck/on") == 405 and ask(made, "nonsense") == 400
    long = caller(made)
    head = b"POST /_lameduck/on HTTP/1.1\r\nContent-Length: 9999999\r\n\r\n"
    long.dataReceived(head + b"x" * (MAX_BODY_BYTES + 1))
    endless = caller(made)
    endless.dataReceived(b"GET /_ready HTTP/1.1\r\n" + b"A: b\r\n" * 5_000)
    assert (
        long.transport.disconnected and endless.transport.disconnecting and not made.client_server.drain.code
    )


def test_callers_without_a_whole_call_keep_nobody_from_an_answer():
    # Guards the operators: each of these holds its connection, and they are more than may be open at once.
    made = serving()
    holding = [caller(made) for _ in range(3 * AdminServer.MAX_CONNECTIONS)]
    for one in holding:
        one.dataReceived(b"GET /_ready HT")
    assert ask(made, "GET /_ready") == 200
    assert len(made.admin.channels) <= AdminServer.MAX_CONNECTIONS and holding[0].transport.disconnected
    assert not holding[-1].transport.disconnected
    made.reactor.advance(AdminServer.REQUEST_TIMEOUT / S)
    assert all(one.transport.disconnected for one in holding)


def test_a_drain_closes_idle_clients_in_slices_the_longest_idle_first():
    made = serving()
    asking = answered(made, 100)
    ask(made, "POST /_lameduck/on")
    counts = []
    for _ in range(60):
        made.reactor.advance(0.02)
        counts.append(len(left(asking)))
        assert left(asking) == asking[100 - counts[-1] :]
    assert counts[5] > 80 and counts[-1] == 0
    assert max(a - b for a, b in zip(counts, counts[1:], strict=False)) <= 4  # never all at once


def test_in_a_drain_answer_and_end_go_out_together_and_ping_says_no():
    made = serving()
    busy, late = connect_client(made), connect_client(made)
    busy.dataReceived(encode_get(b"1", fields=b"c=read,d=900"))
    node = open_server_connection(made)
    ask(made, "POST /_lameduck/on")
    made.reactor.pump([0.02] * 20)
    assert not busy.transport.disconnecting
    node.dataReceived(encode_hit())
    assert (
        busy.transport.take_output() == b"$1\r\nv\r\n"
        and busy.transport.disconnecting
        and busy.code == "drained"
    )
    new = connect_client(made)  # the front may send some for a while: it is served, and then closed
    new.dataReceived(PING)
    assert new.transport.take_output() == b"-ERR draining\r\n" and new.transport.disconnecting
    assert late.transport.disconnecting  # had said nothing


def test_commands_that_came_together_are_all_answered_before_the_end():
    made = serving()
    asking = connect_client(made)
    ask(made, "POST /_lameduck/on")
    asking.dataReceived(PING + encode_get(b"1") + PING)
    open_server_connection(made).dataReceived(encode_hit())
    assert asking.transport.take_output() == b"-ERR draining\r\n$1\r\nv\r\n-ERR draining\r\n"
    assert asking.transport.disconnecting


def test_a_req_that_crosses_the_end_is_read_and_served():
    made = serving()
    asking = answered(made, 1)[0]
    parts = []
    made.client_server.drain.close_batch = lambda *more: parts.append(more)
    ask(made, "POST /_lameduck/on")
    made.reactor.pump([0.02] * 60)
    asking.dataReceived(encode_get(fields=b"c=read,d=900"))  # between the slice that chose it and its end
    del made.client_server.drain.close_batch
    for more in parts:
        made.client_server.drain.close_batch(*more)
    assert parts and not asking.transport.disconnecting
    open_server_connection(made).dataReceived(encode_hit())
    assert asking.transport.take_output() == b"$1\r\nv\r\n" and asking.transport.disconnecting


def test_off_in_the_middle_keeps_the_rest_and_says_yes_at_once():
    made = serving()
    asking = answered(made, 50)
    ask(made, "POST /_lameduck/on")
    made.reactor.pump([0.02] * 10)
    some = len(left(asking))
    ask(made, "POST /_lameduck/off")
    made.reactor.pump([0.02] * 100)
    assert 0 < some == len(left(asking)) < 50
    asking[-1].dataReceived(PING)
    assert asking[-1].transport.take_output() == b"+PONG\r\n" and not asking[-1].transport.disconnecting
    for _ in range(3):  # and again, as often as one likes
        ask(made, "POST /_lameduck/on"), ask(made, "POST /_lameduck/off")
    made.reactor.pump([0.02] * 100)
    assert len(left(asking)) == some


def test_a_drain_leaves_no_connection_idle_or_half_said():
    made = serving()
    idle, half, fresh_half = answered(made, 3)
    for one in (half, fresh_half):
        one.dataReceived(encode_get()[:-4])
    ask(made, "POST /_lameduck/on")
    made.reactor.pump([0.1] * 21)
    assert all(one.transport.disconnecting for one in (idle, half, fresh_half))


def test_sigterm_closes_idle_clients_in_slices_too():
    made = serving()
    asking = answered(made, 50)
    made.terminate()
    made.terminate()  # twice is once
    counts = []
    for _ in range(30):
        made.reactor.advance(0.02)
        counts.append(len(left(asking)))
    assert counts[-1] == 0 and counts[5] > 25 and {one.code for one in asking} == {"stopping"}


def test_nothing_is_taken_any_more_when_sigkill_could_find_it():
    # SIGKILL comes 0.7 s after the longest deadline: what is taken later than that may still be held then.
    made = serving()
    slow = connect_client(made)
    slow.dataReceived(encode_get()[:-4])
    made.terminate()
    made.reactor.pump([0.02] * 34)
    assert not slow.transport.disconnecting
    made.reactor.pump([0.02] * 3)
    assert slow.transport.disconnecting and slow.commands_received == 0
