"""The admin address: readiness, and draining client connections."""

from helpers import (
    S,
    FakeTransport,
    connect_client,
    make_entries,
    encode_get,
    encode_hit,
    open_server_connection,
    start_without_discovery,
    make_proxy,
)
from twisted.internet.error import ConnectionDone
from twisted.python.failure import Failure

from ivystack.net.admin import MAX_BODY_BYTES, AdminServer
from ivystack.net.resp import encode_command

PING = encode_command(b"PING")


def start_proxy(count=1):
    instance = make_proxy(count)
    start_without_discovery(instance)
    return instance


def admin_connection(instance):
    channel = instance.admin.buildProtocol(None)
    channel.makeConnection(FakeTransport())
    return channel


def admin_status(instance, call):
    """Send an admin request; return the status of the response."""
    channel = admin_connection(instance)
    channel.dataReceived(call.encode() + b" HTTP/1.1\r\nHost: x\r\n\r\n")
    assert channel.transport.disconnecting  # one request per connection
    channel.connectionLost(Failure(ConnectionDone()))
    return int(channel.transport.value().split()[1])


def answered(instance, count):
    """Return idle connections of clients that have received an answer, the longest idle first."""
    clients = []
    for _ in range(count):
        clients.append(connect_client(instance))
        clients[-1].dataReceived(PING)
        clients[-1].transport.clear()
    return clients


def still_open(clients):
    return [connection for connection in clients if not connection.transport.disconnecting]


def test_readiness_is_200_exactly_while_clients_are_accepted():
    instance = make_proxy(0)
    instance.endpoint_watch.request_watch = lambda: None
    assert admin_status(instance, "GET /_ready") == 503  # not started
    instance.start()
    assert admin_status(instance, "GET /_ready") == 503  # no server is ready
    instance.endpoints.update(make_entries(1), True)
    assert admin_status(instance, "GET /_ready") == 200
    assert (
        admin_status(instance, "POST /_lameduck/on") == 200 and admin_status(instance, "GET /_ready") == 503
    )
    assert admin_status(instance, "POST /_lameduck/on") == 200  # a repeated call has no effect
    assert (
        admin_status(instance, "POST /_lameduck/off") == 200 and admin_status(instance, "GET /_ready") == 200
    )
    assert admin_status(instance, "POST /_lameduck/off") == 200
    instance.terminate()
    assert (
        admin_status(instance, "GET /_ready") == 503 and admin_status(instance, "POST /_lameduck/off") == 409
    )
    assert (
        admin_status(instance, "POST /_lameduck/on") == 200
        and instance.client_server.drain.code == "stopping"
    )


def test_invalid_admin_requests_are_rejected_and_change_nothing():
    instance = start_proxy()
    assert admin_status(instance, "GET /") == 404 and admin_status(instance, "POST /_ready") == 405
    assert admin_status(instance, "GET /_lameduck/on") == 405 and admin_status(instance, "nonsense") == 400
    too_long = admin_connection(instance)
    head = b"POST /_lameduck/on HTTP/1.1\r\nContent-Length: 9999999\r\n\r\n"
    too_long.dataReceived(head + b"x" * (MAX_BODY_BYTES + 1))
    endless = admin_connection(instance)
    endless.dataReceived(b"GET /_ready HTTP/1.1\r\n" + b"A: b\r\n" * 5_000)
    assert (
        too_long.transport.disconnected
        and endless.transport.disconnecting
        and not instance.client_server.drain.code
    )


def test_incomplete_admin_requests_do_not_block_others():
    # More connections with an incomplete request than may be open at once must not lock the operators out.
    instance = start_proxy()
    incomplete = [admin_connection(instance) for _ in range(3 * AdminServer.MAX_CONNECTIONS)]
    for channel in incomplete:
        channel.dataReceived(b"GET /_ready HT")
    assert admin_status(instance, "GET /_ready") == 200
    assert (
        len(instance.admin.channels) <= AdminServer.MAX_CONNECTIONS and incomplete[0].transport.disconnected
    )
    assert not incomplete[-1].transport.disconnected
    instance.reactor.advance(AdminServer.REQUEST_TIMEOUT / S)
    assert all(channel.transport.disconnected for channel in incomplete)


def test_a_drain_closes_idle_clients_in_batches_the_longest_idle_first():
    instance = start_proxy()
    clients = answered(instance, 100)
    admin_status(instance, "POST /_lameduck/on")
    counts = []
    for _ in range(60):
        instance.reactor.advance(0.02)
        counts.append(len(still_open(clients)))
        assert still_open(clients) == clients[100 - counts[-1] :]
    assert counts[5] > 80 and counts[-1] == 0
    assert max(a - b for a, b in zip(counts, counts[1:], strict=False)) <= 4  # never all at once


def test_a_drain_closes_a_busy_connection_after_its_answer_and_refuses_ping():
    instance = start_proxy()
    busy, unused = connect_client(instance), connect_client(instance)
    busy.dataReceived(encode_get(b"1", fields=b"c=read,d=900"))
    server_connection = open_server_connection(instance)
    admin_status(instance, "POST /_lameduck/on")
    instance.reactor.pump([0.02] * 20)
    assert not busy.transport.disconnecting
    server_connection.dataReceived(encode_hit())
    assert (
        busy.transport.take_output() == b"$1\r\nv\r\n"
        and busy.transport.disconnecting
        and busy.code == "drained"
    )
    new = connect_client(instance)  # new connections may still arrive: they are served, then closed
    new.dataReceived(PING)
    assert new.transport.take_output() == b"-ERR draining\r\n" and new.transport.disconnecting
    assert not unused.transport.disconnecting  # its first command may come late on a machine that is busy
    instance.reactor.pump([0.02] * 80)
    assert unused.transport.disconnecting  # has sent nothing before the drain ended


def test_pipelined_commands_are_all_answered_before_a_drain_closes_the_connection():
    instance = start_proxy()
    connection = connect_client(instance)
    admin_status(instance, "POST /_lameduck/on")
    connection.dataReceived(PING + encode_get(b"1") + PING)
    open_server_connection(instance).dataReceived(encode_hit())
    assert connection.transport.take_output() == b"-ERR draining\r\n$1\r\nv\r\n-ERR draining\r\n"
    assert connection.transport.disconnecting


def test_a_request_that_crosses_the_close_of_a_drain_is_served():
    instance = start_proxy()
    connection = answered(instance, 1)[0]
    batches = []
    instance.client_server.drain.close_batch = lambda *arguments: batches.append(arguments)
    admin_status(instance, "POST /_lameduck/on")
    instance.reactor.pump([0.02] * 60)
    connection.dataReceived(
        encode_get(fields=b"c=read,d=900")
    )  # after it was put in a batch, before it is closed
    del instance.client_server.drain.close_batch
    for arguments in batches:
        instance.client_server.drain.close_batch(*arguments)
    assert batches and not connection.transport.disconnecting
    open_server_connection(instance).dataReceived(encode_hit())
    assert connection.transport.take_output() == b"$1\r\nv\r\n" and connection.transport.disconnecting


def test_ending_a_drain_keeps_the_remaining_clients_and_answers_ping():
    instance = start_proxy()
    clients = answered(instance, 50)
    admin_status(instance, "POST /_lameduck/on")
    instance.reactor.pump([0.02] * 10)
    remaining = len(still_open(clients))
    admin_status(instance, "POST /_lameduck/off")
    instance.reactor.pump([0.02] * 100)
    assert 0 < remaining == len(still_open(clients)) < 50
    clients[-1].dataReceived(PING)
    assert clients[-1].transport.take_output() == b"+PONG\r\n" and not clients[-1].transport.disconnecting
    for _ in range(3):  # repeated drains that are ended at once close nothing
        admin_status(instance, "POST /_lameduck/on"), admin_status(instance, "POST /_lameduck/off")
    instance.reactor.pump([0.02] * 100)
    assert len(still_open(clients)) == remaining


def test_a_drain_closes_idle_connections_and_those_with_a_partial_command():
    instance = start_proxy()
    idle, partial, other_partial = answered(instance, 3)
    for connection in (partial, other_partial):
        connection.dataReceived(encode_get()[:-4])
    admin_status(instance, "POST /_lameduck/on")
    instance.reactor.pump([0.1] * 21)
    assert all(connection.transport.disconnecting for connection in (idle, partial, other_partial))


def test_sigterm_closes_idle_clients_in_batches_too():
    instance = start_proxy()
    clients = answered(instance, 50)
    instance.terminate()
    instance.terminate()  # a second call has no effect
    counts = []
    for _ in range(30):
        instance.reactor.advance(0.02)
        counts.append(len(still_open(clients)))
    assert counts[-1] == 0 and counts[5] > 25 and {connection.code for connection in clients} == {"stopping"}


def test_no_request_is_admitted_that_sigkill_could_interrupt():
    # SIGKILL comes 0.7 s after the longest deadline, so a request admitted later than 0.7 s after SIGTERM
    # could still be active then.
    instance = start_proxy()
    slow = connect_client(instance)
    slow.dataReceived(encode_get()[:-4])
    instance.terminate()
    instance.reactor.pump([0.02] * 34)
    assert not slow.transport.disconnecting
    instance.reactor.pump([0.02] * 3)
    assert slow.transport.disconnecting and slow.commands_received == 0
