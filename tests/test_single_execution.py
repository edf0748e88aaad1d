"""Requests that may be executed only once: what holds when an attempt is sent, not when it was decided."""

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


def once(group="all", window=300, semantics="token", budget=2000, **limits):
    """A proxy with one class, whose repeats are dropped for so many milliseconds."""
    stated = {
        "name": "mark", "semantics": semantics, "latency_budget": budget * 10**6, "give_up": budget * 10**6,
        "criticality": 1.0, "group": group, "window": window * 10**6,
    }  # fmt: skip
    return make_process_configuration(methods=[stated], connect_timeout=10**9, most_write_outs=4, **limits)


def put(ident=b"1", wait=2000):
    return encode_command(b"OBJ.SET", b"7f", ident, b"c=mark,t=t,d=%d" % wait, b"v")


def pass_by(made, milliseconds):
    """So many milliseconds go by, one after the other."""
    for _ in range(milliseconds):
        made.reactor.advance(0.001)


def written(made):
    """What has been written to nodes, on any connection that has come up."""
    links = made.server_pools.connections.values()
    return b"".join(one.transport.value() for one in links if one.is_connected)


def lost(one):
    one.connectionLost(Failure(ConnectionLost()))


# The window and a connection that comes up late.


def severed(made, after):
    """The first attempt was sent; so many milliseconds later it is possibly executed, and a retry waits."""
    asking = connect_client(made)
    asking.dataReceived(put())
    first = open_server_connection(made)
    assert b"mark" in written(made)
    pass_by(made, after)
    before = len(made.reactor.tcpClients)
    lost(first)
    pass_by(made, 1)
    assert len(made.reactor.tcpClients) == before + 1  # the retry waits for this one
    return asking


@pytest.mark.parametrize("streams", [1, 10])
@pytest.mark.parametrize("group, answer", [("all", b"-BUSY"), ("zone", b"-ERR failed")])
def test_a_retry_whose_connection_comes_up_after_the_window_is_not_sent(streams, group, answer):
    made = make_proxy(3, run=once(group, streams_per_conn=streams))
    asking = severed(made, 250)
    pass_by(made, 49)  # 300 ms since the first was decided
    open_server_connection(made)
    assert written(made) == b"" and asking.transport.take_output().startswith(answer)
    assert not made.request_handler.in_flight and not made.request_handler.requests


def test_a_retry_whose_connection_comes_up_within_the_window_is_sent():
    made = make_proxy(3, run=once())
    asking = severed(made, 250)
    pass_by(made, 40)
    other = open_server_connection(made)
    assert b"mark" in written(made)
    other.dataReceived(encode_hit(b"receipt"))
    assert asking.transport.take_output() == b"$7\r\nreceipt\r\n"


def test_a_connection_that_comes_up_in_a_late_reactor_turn_sends_nothing_past_the_window():
    # The reactor was busy: the link's coming up is told before the deadlines that have passed meanwhile.
    made = make_proxy(3, run=once())
    severed(made, 250)
    made.reactor.rightNow += 0.2  # with no call made
    late = open_server_connection(made)
    assert written(made) == b"" and late in made.server_pools.idle_connections  # it serves others


def test_a_hedge_that_is_sent_first_makes_the_first_attempt_the_retry():
    # Hedging: the first attempt still waits for its connection when the second one is sent.
    made = make_proxy(2, run=once(window=700, streams_per_conn=10, may_duplicate=True, budget=1000))
    made.settings.request_classes["mark"].attempt_times.extend(
        [100 * MS] * 8
    )  # so that a hedge is sent at half of the time
    asking = connect_client(made)
    asking.dataReceived(put(wait=1000))
    pass_by(made, 490)
    assert len(made.reactor.tcpClients) == 1
    pass_by(made, 12)
    second = open_server_connection(made, 1)
    assert b"mark" in second.transport.value()
    pass_by(made, 210)
    assert open_server_connection(made, 0).transport.value() == b""
    second.dataReceived(encode_hit())
    assert asking.transport.take_output() == b"$1\r\nv\r\n"


def test_an_attempt_that_waits_for_a_process_that_has_gone_is_decided_anew():
    made = make_proxy(1, run=once(idempotency="side_effect"))
    asking = connect_client(made)
    asking.dataReceived(put())
    waits = next(iter(made.request_handler.in_flight))
    made.endpoints.update(make_entries(1, startedAtMs=999_999), True)
    assert (
        waits.outcome == Outcome.NOT_SENT
        and len(made.request_handler.in_flight) == 1
        and waits not in made.request_handler.in_flight
    )
    assert not asking.transport.value()


# What a connection can prove of an attempt follows from what came on it.


class Attempts:
    """Attempts of one class at one node, made without the decisions, and how each ended."""

    def __init__(self, semantics, **more):
        self.made = make_proxy(1, run=once(streams_per_conn=10, may_duplicate=True, **more))
        self.method, self.ends = RequestClass("mark", semantics, 2 * S, dedup_window=S), []
        pools = self.made.server_pools
        pools.on_outcome = lambda ended, outcome, value: self.ends.append((ended.attempt, outcome))

    def go(self, **more):
        now, fields = self.made.now(), b"c=mark,d=500"
        attempt = Attempt(Request(self.method, now, now + 2 * S), None, now, now + 2 * S, **more)
        frame = RequestFrame([b"OBJ.GET", b"7f", b"1", fields], (9, 12))
        self.made.server_pools.send(InFlightAttempt(attempt, frame), "n0", now + 2 * S)
        return attempt

    def said(self, wire, data):
        before = len(self.ends)
        wire.dataReceived(data)
        return [outcome for _, outcome in self.ends[before:]]


@pytest.mark.parametrize("semantics", [Idempotency.NOT_IDEMPOTENT, Idempotency.KEYED, Idempotency.IDEMPOTENT])
@pytest.mark.parametrize("gap", [0, 8, 99, 101])
@pytest.mark.parametrize("split", [False, True])
def test_a_busy_so_soon_after_another_proves_nothing_of_an_attempt_sent_between(semantics, gap, split):
    # The node's second copy of its first -BUSY comes when the next attempt is out: that one runs.
    of = Attempts(semantics)
    of.go()
    wire = open_server_connection(of.made)
    assert of.said(wire, BUSY) == [Outcome.OVERLOADED]
    pass_by(of.made, gap // 2)
    of.go()
    assert len(wire.in_flight) == 1  # on the same connection
    pass_by(of.made, gap - gap // 2)
    said = of.said(wire, BUSY[:4]) + of.said(wire, BUSY[4:]) if split else of.said(wire, BUSY)
    assert said == [
        Outcome.OVERLOADED if semantics == Idempotency.IDEMPOTENT or gap > 100 else Outcome.CANCELLED
    ]


def test_of_several_on_a_connection_only_the_first_busy_proves():
    of = Attempts(Idempotency.NOT_IDEMPOTENT)
    of.made.server_pools.PIPELINE_FROM = 1
    of.go()
    wire = open_server_connection(of.made)
    of.go()
    of.go()
    assert len(wire.in_flight) == 3
    assert of.said(wire, BUSY + BUSY + encode_hit()) == [
        Outcome.OVERLOADED,
        Outcome.CANCELLED,
        Outcome.SUCCEEDED,
    ]


def test_a_busy_for_a_cancelled_attempt_makes_the_next_one_doubtful():
    of = Attempts(Idempotency.NOT_IDEMPOTENT)
    of.made.server_pools.PIPELINE_FROM = 1
    of.go()
    wire = open_server_connection(of.made)
    of.go()
    of.made.server_pools.cancel(wire.in_flight[0])
    assert of.said(wire, BUSY + BUSY) == [Outcome.CANCELLED]


def test_an_attempt_with_a_last_moment_is_sent_behind_no_other():
    # What holds back those before it, a long value or a node that reads no more, would hold it back too.
    of = Attempts(Idempotency.KEYED)
    of.made.server_pools.PIPELINE_FROM = 1
    of.go()
    wire = open_server_connection(of.made)
    far, near = of.made.now() + 4 * S, of.made.now() + S
    of.go(send_by=far)
    assert len(wire.in_flight) == 2  # in so long a time it gets there, or is given up
    last = of.go(send_by=near)
    waiting = of.made.server_pools.pools["n0"].waiting
    assert len(wire.in_flight) == 2 and [one.attempt for one in waiting] == [last]
    pass_by(of.made, 1001)
    assert of.ends[-1] == (last, Outcome.NOT_SENT)


def test_no_value_and_miss_proves_nothing_where_nodes_read_through():
    lacks = b"*3\r\n$-1\r\n$4\r\nmiss\r\n$-1\r\n"
    for aside, outcome in ((False, Outcome.ERROR), (True, Outcome.CACHE_MISS)):
        of = Attempts(Idempotency.NOT_IDEMPOTENT)
        of.made.server_pools.cache_aside = aside
        of.go()
        assert of.said(open_server_connection(of.made), lacks) == [outcome]


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
def test_each_row_of_the_protocols_table(answer, outcome):
    # Only a -BUSY, or an incomplete sending, proves that it was not executed (PROTOCOL, the nodes' table).
    of = Attempts(Idempotency.NOT_IDEMPOTENT)
    of.go()
    assert of.said(open_server_connection(of.made), answer) == [outcome]
    assert (outcome in retry_policy.NEVER_EXECUTED) is (
        answer.startswith(b"-BUSY") and answer != b"-BUSYING\r\n"
    )


def test_an_attempt_that_was_never_sent_is_told_from_one_that_was():
    for written_first in (False, True):
        of = Attempts(Idempotency.NOT_IDEMPOTENT)
        out = of.go()
        if written_first:
            lost(open_server_connection(of.made))
        else:
            pass_by(of.made, 1001)
        ((of_whom, outcome),) = of.ends
        assert of_whom is out and (outcome in retry_policy.NEVER_EXECUTED) is not written_first


# SIGHUP.


@pytest.mark.parametrize("before, now, held", [
    (("pure", "all", 0), ("side_effect", "all", 0), (Idempotency.NOT_IDEMPOTENT, "all", 0)),
    (("pure", "all", 0), ("token", "zone", 400), (Idempotency.KEYED, "zone", 400 * MS)),
    (("token", "all", 900), ("token", "cell", 400), (Idempotency.KEYED, "cell", 400 * MS)),
    (("token", "cell", 400), ("token", "all", 900), (Idempotency.KEYED, "cell", 400 * MS)),
    (("token", "all", 900), ("pure", "all", 0), (Idempotency.KEYED, "all", 900 * MS)),
    (("side_effect", "all", 0), ("pure", "all", 0), (Idempotency.NOT_IDEMPOTENT, "all", 0)),
])  # fmt: skip
def test_of_two_meanings_the_stricter_holds_for_requests_in_flight_at_sighup(before, now, held):
    made = make_proxy(3, run=once(before[1], before[2], before[0]))
    asking = connect_client(made)
    asking.dataReceived(put())
    (request,) = made.request_handler.active
    made.reload(once(now[1], now[2], now[0]))
    assert (
        request.request_class.idempotency,
        request.request_class.dedup_group.value,
        request.request_class.dedup_window,
    ) == held
    asking.dataReceived(put(b"2"))
    fresh = next(one for one in made.request_handler.active if one is not request)
    semantics = {
        "pure": Idempotency.IDEMPOTENT,
        "token": Idempotency.KEYED,
        "side_effect": Idempotency.NOT_IDEMPOTENT,
    }[now[0]]
    assert (fresh.request_class.idempotency, fresh.request_class.dedup_window) == (semantics, now[2] * MS)
