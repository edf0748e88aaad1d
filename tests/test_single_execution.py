"""Requests that may be executed only once: rules checked when an attempt is sent, not when it is decided."""

import pytest
from helpers import (
    S,
    connect_client,
    make_entries,
    encode_hit,
    open_server_connection,
    make_proxy,
    make_process_configuration,
)
from twisted.internet.error import ConnectionLost
from twisted.python.failure import Failure

from ivystack.balancing import retry_policy
from ivystack.model import (
    Attempt,
    Idempotency,
    Outcome,
    Request,
    RequestClass,
)
from ivystack.net.request_frame import RequestFrame
from ivystack.net.in_flight_attempt import InFlightAttempt
from ivystack.net.resp import encode_command

BUSY = b"-BUSY\r\n"
MS = 1000


def one_class(group="all", window=300, semantics="token", budget=2000, **limits):
    """Return a configuration with one request class; `window` and `budget` are in milliseconds."""
    request_class = {
        "name": "mark", "semantics": semantics, "latency_budget": budget * 10**6, "give_up": budget * 10**6,
        "criticality": 1.0, "group": group, "window": window * 10**6,
    }  # fmt: skip
    return make_process_configuration(
        methods=[request_class], connect_timeout=10**9, most_write_outs=4, **limits
    )


def set_command(ident=b"1", deadline_ms=2000):
    return encode_command(b"OBJ.SET", b"7f", ident, b"c=mark,t=t,d=%d" % deadline_ms, b"v")


def advance_ms(instance, milliseconds):
    """Advance the clock in steps of one millisecond."""
    for _ in range(milliseconds):
        instance.reactor.advance(0.001)


def bytes_written(instance):
    """Return the bytes written to servers on all established connections."""
    connections = instance.server_pools.connections.values()
    return b"".join(connection.transport.value() for connection in connections if connection.is_connected)


def lose_connection(connection):
    connection.connectionLost(Failure(ConnectionLost()))


# The dedup window, and a connection that is established late.


def lose_first_attempt(instance, after_ms):
    """Send a request, and lose its connection `after_ms` later; the retry then waits for a new connection."""
    client_connection = connect_client(instance)
    client_connection.dataReceived(set_command())
    first = open_server_connection(instance)
    assert b"mark" in bytes_written(instance)
    advance_ms(instance, after_ms)
    count_before = len(instance.reactor.tcpClients)
    lose_connection(first)
    advance_ms(instance, 1)
    assert len(instance.reactor.tcpClients) == count_before + 1  # the connection that the retry waits for
    return client_connection


@pytest.mark.parametrize("streams", [1, 10])
@pytest.mark.parametrize("group, answer", [("all", b"-BUSY"), ("zone", b"-ERR failed")])
def test_a_retry_whose_connection_is_established_after_the_window_is_not_sent(streams, group, answer):
    instance = make_proxy(3, run=one_class(group, streams_per_conn=streams))
    client_connection = lose_first_attempt(instance, 250)
    advance_ms(instance, 49)  # 300 ms after the first attempt was decided
    open_server_connection(instance)
    assert bytes_written(instance) == b"" and client_connection.transport.take_output().startswith(answer)
    assert not instance.request_handler.in_flight and not instance.request_handler.requests


def test_a_retry_whose_connection_is_established_within_the_window_is_sent():
    instance = make_proxy(3, run=one_class())
    client_connection = lose_first_attempt(instance, 250)
    advance_ms(instance, 40)
    second_connection = open_server_connection(instance)
    assert b"mark" in bytes_written(instance)
    second_connection.dataReceived(encode_hit(b"receipt"))
    assert client_connection.transport.take_output() == b"$7\r\nreceipt\r\n"


def test_a_connection_established_in_a_late_reactor_turn_sends_nothing_after_the_window():
    # The reactor was busy, so it reports the new connection before the deadlines that passed meanwhile.
    instance = make_proxy(3, run=one_class())
    lose_first_attempt(instance, 250)
    instance.reactor.rightNow += 0.2  # without running the calls that became due
    late_connection = open_server_connection(instance)
    assert bytes_written(instance) == b"" and late_connection in instance.server_pools.idle_connections


def test_a_hedge_that_is_sent_first_makes_the_first_attempt_the_retry():
    # The first attempt is still waiting for its connection when the hedge is sent.
    instance = make_proxy(2, run=one_class(window=700, streams_per_conn=10, may_duplicate=True, budget=1000))
    # Attempt times that make the hedge be sent after half of the time left.
    instance.settings.request_classes["mark"].attempt_times.extend([100 * MS] * 8)
    client_connection = connect_client(instance)
    client_connection.dataReceived(set_command(deadline_ms=1000))
    advance_ms(instance, 490)
    assert len(instance.reactor.tcpClients) == 1
    advance_ms(instance, 12)
    hedge_connection = open_server_connection(instance, 1)
    assert b"mark" in hedge_connection.transport.value()
    advance_ms(instance, 210)
    assert open_server_connection(instance, 0).transport.value() == b""
    hedge_connection.dataReceived(encode_hit())
    assert client_connection.transport.take_output() == b"$1\r\nv\r\n"


def test_an_attempt_that_waits_for_a_restarted_server_is_decided_again():
    instance = make_proxy(1, run=one_class(semantics="side_effect"))
    client_connection = connect_client(instance)
    client_connection.dataReceived(set_command())
    waiting_attempt = next(iter(instance.request_handler.in_flight))
    instance.endpoints.update(make_entries(1, startedAtMs=999_999), True)
    assert (
        waiting_attempt.outcome == Outcome.NOT_SENT
        and len(instance.request_handler.in_flight) == 1
        and waiting_attempt not in instance.request_handler.in_flight
    )
    assert not client_connection.transport.value()


# What a connection proves about an attempt depends on the data received on it.


class AttemptSender:
    """Sends attempts of one class to one server, bypassing the balancer, and records their outcomes."""

    def __init__(self, semantics, **more):
        self.instance = make_proxy(1, run=one_class(streams_per_conn=10, may_duplicate=True, **more))
        self.request_class, self.outcomes = RequestClass("mark", semantics, 2 * S, dedup_window=S), []
        pools = self.instance.server_pools
        pools.on_outcome = lambda ended, outcome, value: self.outcomes.append((ended.attempt, outcome))

    def send(self, **more):
        now, fields = self.instance.now(), b"c=mark,d=500"
        attempt = Attempt(Request(self.request_class, now, now + 2 * S), None, now, now + 2 * S, **more)
        frame = RequestFrame([b"OBJ.GET", b"7f", b"1", fields], (9, 12))
        self.instance.server_pools.send(InFlightAttempt(attempt, frame), "n0", now + 2 * S)
        return attempt

    def outcomes_after(self, server_connection, data):
        count_before = len(self.outcomes)
        server_connection.dataReceived(data)
        return [outcome for _, outcome in self.outcomes[count_before:]]


PONG = b"+PONG\r\n"


def send_two_attempts(semantics, gap_ms=0):
    """Return the sender and the connection of two attempts, of which the first was answered -BUSY."""
    sender = AttemptSender(semantics)
    sender.send()
    server_connection = open_server_connection(sender.instance)
    assert sender.outcomes_after(server_connection, BUSY) == [Outcome.OVERLOADED]
    advance_ms(sender.instance, gap_ms // 2)
    sender.send()
    assert len(server_connection.in_flight) == 1  # the same connection is used
    advance_ms(sender.instance, gap_ms - gap_ms // 2)
    return sender, server_connection


def pieces(data, split):
    return [data[:4], data[4:]] if split else [data]


@pytest.mark.parametrize("semantics", [Idempotency.NOT_IDEMPOTENT, Idempotency.KEYED, Idempotency.IDEMPOTENT])
@pytest.mark.parametrize("gap", [0, 8, 99, 101, 400])
@pytest.mark.parametrize("split", [False, True])
def test_a_busy_after_another_proves_nothing_about_an_attempt_sent_between(semantics, gap, split):
    # The server repeats its first -BUSY after the next attempt was sent, and executes that attempt.
    sender, server_connection = send_two_attempts(semantics, gap)
    for piece in pieces(BUSY, split):
        assert sender.outcomes_after(server_connection, piece) == []
    outcomes = sender.outcomes_after(server_connection, encode_hit()) + sender.outcomes_after(
        server_connection, PONG
    )
    assert outcomes == [Outcome.SUCCEEDED]


@pytest.mark.parametrize("semantics", [Idempotency.NOT_IDEMPOTENT, Idempotency.KEYED, Idempotency.IDEMPOTENT])
def test_a_busy_after_another_is_proof_once_the_server_has_answered_a_ping(semantics):
    sender, server_connection = send_two_attempts(semantics)
    assert sender.outcomes_after(server_connection, BUSY) == []
    assert sender.outcomes_after(server_connection, PONG) == [Outcome.OVERLOADED]


def test_a_busy_after_another_is_no_proof_if_the_connection_ends():
    sender, server_connection = send_two_attempts(Idempotency.NOT_IDEMPOTENT)
    sender.outcomes_after(server_connection, BUSY)
    lose_connection(server_connection)
    assert sender.outcomes[-1][1] in (Outcome.CANCELLED, Outcome.CONNECTION_LOST)  # it may have been executed


def test_of_several_busy_answers_on_a_connection_only_the_first_is_proof_without_a_ping():
    sender = AttemptSender(Idempotency.NOT_IDEMPOTENT)
    sender.instance.server_pools.PIPELINE_FROM = 1
    sender.send()
    server_connection = open_server_connection(sender.instance)
    sender.send()
    sender.send()
    assert len(server_connection.in_flight) == 3
    assert sender.outcomes_after(server_connection, BUSY + BUSY + encode_hit()) == [Outcome.OVERLOADED]
    assert sender.outcomes_after(server_connection, PONG) == [Outcome.OVERLOADED, Outcome.SUCCEEDED]


def test_after_a_busy_for_a_cancelled_attempt_the_next_busy_proves_nothing():
    sender = AttemptSender(Idempotency.NOT_IDEMPOTENT)
    sender.instance.server_pools.PIPELINE_FROM = 1
    sender.send()
    server_connection = open_server_connection(sender.instance)
    sender.send()
    sender.instance.server_pools.endings.cancel(server_connection.in_flight[0])
    assert sender.outcomes_after(server_connection, BUSY + BUSY) == []
    assert sender.outcomes_after(server_connection, encode_hit() + PONG) == [Outcome.SUCCEEDED]


def test_an_attempt_that_must_be_sent_soon_is_not_pipelined():
    # A long value, or a server that stopped reading, would delay it together with the attempts before it.
    sender = AttemptSender(Idempotency.KEYED)
    sender.instance.server_pools.PIPELINE_FROM = 1
    sender.send()
    server_connection = open_server_connection(sender.instance)
    far, near = sender.instance.now() + 4 * S, sender.instance.now() + S
    sender.send(send_by=far)
    assert len(server_connection.in_flight) == 2  # the time is long enough: it is sent by then, or given up
    urgent_attempt = sender.send(send_by=near)
    waiting_attempts = sender.instance.server_pools.pools["n0"].waiting
    assert len(server_connection.in_flight) == 2 and [
        in_flight.attempt for in_flight in waiting_attempts
    ] == [urgent_attempt]
    advance_ms(sender.instance, 1001)
    assert sender.outcomes[-1] == (urgent_attempt, Outcome.NOT_SENT)


def test_a_miss_without_a_value_proves_nothing_if_servers_read_through():
    miss_answer = b"*3\r\n$-1\r\n$4\r\nmiss\r\n$-1\r\n"
    for cache_aside, outcome in ((False, Outcome.ERROR), (True, Outcome.CACHE_MISS)):
        sender = AttemptSender(Idempotency.NOT_IDEMPOTENT)
        sender.instance.server_pools.cache_aside = cache_aside
        sender.send()
        assert sender.outcomes_after(open_server_connection(sender.instance), miss_answer) == [outcome]


@pytest.mark.parametrize(
    "answer, outcome",
    [
        (encode_hit(), Outcome.SUCCEEDED),
        (b"-ERR failed\r\n", Outcome.ERROR),
        (BUSY, Outcome.OVERLOADED),
        (b"-BUSY 40\r\n", Outcome.OVERLOADED),
        (b"+OK\r\n", Outcome.ERROR),
        (b":1\r\n", Outcome.ERROR),
        (b"$-1\r\n", Outcome.ERROR),
        (b"*-1\r\n", Outcome.ERROR),
        (b"*0\r\n", Outcome.ERROR),
        (b"-BUSYING\r\n", Outcome.ERROR),
        (b"noise\r\n", Outcome.ERROR),
    ],
)
def test_the_outcome_of_each_answer_in_the_protocols_table(answer, outcome):
    # Only -BUSY or an incomplete send proves that the attempt was not executed (PROTOCOL, the nodes' table).
    sender = AttemptSender(Idempotency.NOT_IDEMPOTENT)
    sender.send()
    assert sender.outcomes_after(open_server_connection(sender.instance), answer) == [outcome]
    assert (outcome in retry_policy.NEVER_EXECUTED) is (
        answer.startswith(b"-BUSY") and answer != b"-BUSYING\r\n"
    )


def test_an_attempt_that_was_never_sent_is_distinguished_from_one_that_was():
    for sent_first in (False, True):
        sender = AttemptSender(Idempotency.NOT_IDEMPOTENT)
        attempt = sender.send()
        if sent_first:
            lose_connection(open_server_connection(sender.instance))
        else:
            advance_ms(sender.instance, 1001)
        ((ended_attempt, outcome),) = sender.outcomes
        assert ended_attempt is attempt and (outcome in retry_policy.NEVER_EXECUTED) is not sent_first


# SIGHUP.


@pytest.mark.parametrize("previous, current, effective", [
    (("pure", "all", 0), ("side_effect", "all", 0), (Idempotency.NOT_IDEMPOTENT, "all", 0)),
    (("pure", "all", 0), ("token", "zone", 400), (Idempotency.KEYED, "zone", 400 * MS)),
    (("token", "all", 900), ("token", "cell", 400), (Idempotency.KEYED, "cell", 400 * MS)),
    (("token", "cell", 400), ("token", "all", 900), (Idempotency.KEYED, "cell", 400 * MS)),
    (("token", "all", 900), ("pure", "all", 0), (Idempotency.KEYED, "all", 900 * MS)),
    (("side_effect", "all", 0), ("pure", "all", 0), (Idempotency.NOT_IDEMPOTENT, "all", 0)),
])  # fmt: skip
def test_the_stricter_of_two_semantics_applies_to_requests_in_flight_at_sighup(previous, current, effective):
    instance = make_proxy(3, run=one_class(previous[1], previous[2], previous[0]))
    client_connection = connect_client(instance)
    client_connection.dataReceived(set_command())
    (request,) = instance.request_handler.active
    instance.reload(one_class(current[1], current[2], current[0]))
    assert (
        request.request_class.idempotency,
        request.request_class.dedup_group.value,
        request.request_class.dedup_window,
    ) == effective
    client_connection.dataReceived(set_command(b"2"))
    new_request = next(active for active in instance.request_handler.active if active is not request)
    semantics = {
        "pure": Idempotency.IDEMPOTENT,
        "token": Idempotency.KEYED,
        "side_effect": Idempotency.NOT_IDEMPOTENT,
    }[current[0]]
    assert (new_request.request_class.idempotency, new_request.request_class.dedup_window) == (
        semantics,
        current[2] * MS,
    )
