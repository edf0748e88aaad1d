"""Work that may run only once: what must hold of each attempt when it goes out, not when it was decided."""

from random import Random

import pytest
from helpers import S, choice, client, entries, hit, link, nodes, proxy, told
from twisted.internet.error import ConnectionLost
from twisted.python.failure import Failure

from ivystack import choice as decisions
from ivystack.choice import Balancer
from ivystack.model import (
    Attempt,
    DedupGroup,
    Done,
    Fail,
    Idempotency,
    Outcome,
    Reject,
    Request,
    RequestClass,
    Send,
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
    return told(methods=[stated], connect_timeout=10**9, most_write_outs=4, **limits)


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
    """The first attempt has gone out; so many milliseconds later it may have run, and its repeat waits."""
    asking = client(made)
    asking.dataReceived(put())
    first = link(made)
    assert b"mark" in written(made)
    pass_by(made, after)
    before = len(made.reactor.tcpClients)
    lost(first)
    pass_by(made, 1)
    assert len(made.reactor.tcpClients) == before + 1  # the repeat waits for this one
    return asking


@pytest.mark.parametrize("streams", [1, 10])
@pytest.mark.parametrize("group, answer", [("all", b"-BUSY"), ("zone", b"-ERR failed")])
def test_a_repeat_whose_connection_comes_up_after_the_window_is_not_written(streams, group, answer):
    made = proxy(3, run=once(group, streams_per_conn=streams))
    asking = severed(made, 250)
    pass_by(made, 49)  # 300 ms since the first was decided
    link(made)
    assert written(made) == b"" and asking.transport.took().startswith(answer)
    assert not made.in_flight and not made.requests


def test_a_repeat_whose_connection_comes_up_within_the_window_is_written():
    made = proxy(3, run=once())
    asking = severed(made, 250)
    pass_by(made, 40)
    other = link(made)
    assert b"mark" in written(made)
    other.dataReceived(hit(b"receipt"))
    assert asking.transport.took() == b"$7\r\nreceipt\r\n"


def test_a_link_that_comes_up_in_a_late_turn_carries_nothing_past_the_window():
    # The reactor was busy: the link's coming up is told before the deadlines that have passed meanwhile.
    made = proxy(3, run=once())
    severed(made, 250)
    made.reactor.rightNow += 0.2  # with no call made
    late = link(made)
    assert written(made) == b"" and late in made.server_pools.idle_connections  # it serves others


def test_the_repeat_that_goes_out_first_makes_the_first_one_the_repeat():
    # Second copies: the first attempt still waits for its connection when the second one goes out.
    made = proxy(2, run=once(window=700, streams_per_conn=10, may_duplicate=True, budget=1000))
    made.settings.request_classes["mark"].attempt_times.extend(
        [100 * MS] * 8
    )  # so that a copy goes out at half of the time
    asking = client(made)
    asking.dataReceived(put(wait=1000))
    pass_by(made, 490)
    assert len(made.reactor.tcpClients) == 1
    pass_by(made, 12)
    second = link(made, 1)
    assert b"mark" in second.transport.value()
    pass_by(made, 210)
    assert link(made, 0).transport.value() == b""
    second.dataReceived(hit())
    assert asking.transport.took() == b"$1\r\nv\r\n"


def test_what_waits_for_a_process_that_has_gone_is_decided_anew():
    made = proxy(1, run=once(idempotency="side_effect"))
    asking = client(made)
    asking.dataReceived(put())
    waits = next(iter(made.in_flight))
    made.listed(entries(1, startedAtMs=999_999), True)
    assert waits.outcome == Outcome.NOT_SENT and len(made.in_flight) == 1 and waits not in made.in_flight
    assert not asking.transport.value()


# What a connection can prove of an attempt follows from what came on it.


class Attempts:
    """Attempts of one class at one node, made without the decisions, and how each ended."""

    def __init__(self, semantics, **more):
        self.made = proxy(1, run=once(streams_per_conn=10, may_duplicate=True, **more))
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
def test_a_busy_so_soon_after_another_proves_nothing_of_what_crossed_it(semantics, gap, split):
    # The node's second copy of its first -BUSY comes when the next attempt is out: that one runs.
    of = Attempts(semantics)
    of.go()
    wire = link(of.made)
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
    wire = link(of.made)
    of.go()
    of.go()
    assert len(wire.in_flight) == 3
    assert of.said(wire, BUSY + BUSY + hit()) == [Outcome.OVERLOADED, Outcome.CANCELLED, Outcome.SUCCEEDED]


def test_a_busy_for_one_that_was_given_up_makes_the_next_one_doubtful():
    of = Attempts(Idempotency.NOT_IDEMPOTENT)
    of.made.server_pools.PIPELINE_FROM = 1
    of.go()
    wire = link(of.made)
    of.go()
    of.made.server_pools.cancel(wire.in_flight[0])
    assert of.said(wire, BUSY + BUSY) == [Outcome.CANCELLED]


def test_one_that_must_be_there_in_time_goes_behind_nothing():
    # What holds back those before it, a long value or a node that reads no more, would hold it back too.
    of = Attempts(Idempotency.KEYED)
    of.made.server_pools.PIPELINE_FROM = 1
    of.go()
    wire = link(of.made)
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
        assert of.said(link(of.made), lacks) == [outcome]


@pytest.mark.parametrize(
    "answer, outcome",
    [
        (hit(), Outcome.SUCCEEDED),
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
    # Only a -BUSY, and what never was written whole, proves that it never ran (PROTOCOL, the nodes' table).
    of = Attempts(Idempotency.NOT_IDEMPOTENT)
    of.go()
    assert of.said(link(of.made), answer) == [outcome]
    assert (outcome in decisions.NEVER_RAN) is (answer.startswith(b"-BUSY") and answer != b"-BUSYING\r\n")


def test_what_was_never_written_is_told_from_what_was():
    for written_first in (False, True):
        of = Attempts(Idempotency.NOT_IDEMPOTENT)
        out = of.go()
        if written_first:
            lost(link(of.made))
        else:
            pass_by(of.made, 1001)
        ((of_whom, outcome),) = of.ends
        assert of_whom is out and (outcome in decisions.NEVER_RAN) is not written_first


# SIGHUP.


@pytest.mark.parametrize("before, now, held", [
    (("pure", "all", 0), ("side_effect", "all", 0), (Idempotency.NOT_IDEMPOTENT, "all", 0)),
    (("pure", "all", 0), ("token", "zone", 400), (Idempotency.KEYED, "zone", 400 * MS)),
    (("token", "all", 900), ("token", "cell", 400), (Idempotency.KEYED, "cell", 400 * MS)),
    (("token", "cell", 400), ("token", "all", 900), (Idempotency.KEYED, "cell", 400 * MS)),
    (("token", "all", 900), ("pure", "all", 0), (Idempotency.KEYED, "all", 900 * MS)),
    (("side_effect", "all", 0), ("pure", "all", 0), (Idempotency.NOT_IDEMPOTENT, "all", 0)),
])  # fmt: skip
def test_of_two_meanings_the_stricter_holds_for_reqs_that_are_out_at_sighup(before, now, held):
    made = proxy(3, run=once(before[1], before[2], before[0]))
    asking = client(made)
    asking.dataReceived(put())
    (req,) = made.held
    made.reload(once(now[1], now[2], now[0]))
    assert (
        req.request_class.idempotency,
        req.request_class.dedup_group.value,
        req.request_class.dedup_window,
    ) == held
    asking.dataReceived(put(b"2"))
    fresh = next(one for one in made.held if one is not req)
    semantics = {
        "pure": Idempotency.IDEMPOTENT,
        "token": Idempotency.KEYED,
        "side_effect": Idempotency.NOT_IDEMPOTENT,
    }[now[0]]
    assert (fresh.request_class.idempotency, fresh.request_class.dedup_window) == (semantics, now[2] * MS)


# The module, with every order of endings, waits and late connections: what a strict node would have run.


class Strict:
    """Nodes that remember a repeat just as long as stated, and hold it against whoever sends it again."""

    def __init__(self, semantics, group, window):
        self.idempotency, self.group, self.window = semantics, group, window
        self.came: dict[
            Request, list
        ] = {}  # what has reached a node whole, and may have run: when, and where
        self.broken: list[str] = []

    def reached(self, req, node, now):
        before = self.came.setdefault(req, [])
        if before and self.idempotency == Idempotency.NOT_IDEMPOTENT:
            self.broken.append("a second attempt")
        elif before and self.idempotency == Idempotency.KEYED:
            if now - before[0][0] > self.window:
                self.broken.append("past its window")
            where = {"all": (), "zone": (node.zone,), "cell": (node.zone, node.cell)}[self.group]
            if where and any(where != (zone, cell)[: len(where)] for _, zone, cell in before):
                self.broken.append("outside its group")
        before.append((now, node.zone, node.cell))

    def turned_away(self, req, at):
        self.came[req].remove(at)

    def nacked(self, req):
        bears = self.idempotency == Idempotency.IDEMPOTENT or (
            self.idempotency == Idempotency.KEYED and self.group == "all"
        )
        if self.came.get(req) and not bears:
            self.broken.append("nacked though it may have run")


def played(seed, semantics, group, *, keeps=True, window=300 * MS, duplicate=True):
    """So many reqs one after another, each with endings, waits and late connections drawn anew."""
    rng, strict = Random(seed), Strict(semantics, group, window)
    caches = nodes(6)
    for place, node in enumerate(caches):
        node.zone, node.cell = "ab"[place // 3], place // 2
    made = choice(caches, most_write_outs=5, may_duplicate=duplicate, tick=MS)
    method, now, going = (
        RequestClass("m", semantics, S, dedup_group=DedupGroup(group), dedup_window=window),
        S,
        [],
    )
    counts = {"again": 0}

    def send(req, until):
        attempt = req.attempts[-1]
        wait = rng.choice((0, 0, rng.randrange(600 * MS)))
        going.append([now + wait, rng.random(), "up", attempt, until])
        counts["again"] += len(req.attempts) > 1

    def carry(req, decision):
        match decision:
            case Send(timeout_at=timeout_at):
                send(req, timeout_at)
            case Reject():
                req.concluded = True
                strict.nacked(req)
            case Fail() | Done():
                req.concluded = True

    def ended(attempt, outcome):
        follow_up = made.record_outcome(attempt, outcome, now)
        for one in follow_up.cancel:
            going[:] = [event for event in going if event[3] is not one]
            one.outcome or made.record_outcome(one, Outcome.CANCELLED, now)
        if not attempt.request.concluded:
            carry(attempt.request, follow_up.decision)

    for _ in range(40):
        req = Request(method, now, now + 2 * S, rng.getrandbits(40))
        carry(req, made.route(req, now))
        while going or not req.concluded:
            wakeup = made.next_wakeup(now)
            for one in wakeup.due:
                if one is req:
                    carry(one, made.route(one, now))
            if wakeup.due:
                continue
            going.sort(key=lambda event: event[:2])
            looks = [] if wakeup.delay is None else [now + wakeup.delay]
            at = min([event[0] for event in going[:1]] + looks, default=None)
            if at is None:
                assert req.concluded, "a req that nothing will end"
                break
            now = max(now, at)
            if not going or going[0][0] > now:
                continue
            _, _, what, attempt, until = going.pop(0)
            if attempt.outcome is not None:
                continue
            if what == "up":
                if now >= until:
                    ended(attempt, Outcome.CONNECTION_REFUSED)
                elif keeps and now >= attempt.send_by:
                    ended(attempt, Outcome.NOT_SENT)
                else:
                    strict.reached(attempt.request, attempt.server, now)
                    outcome = rng.choice(
                        (
                            Outcome.SUCCEEDED,
                            Outcome.ERROR,
                            Outcome.OVERLOADED,
                            Outcome.TIMED_OUT,
                            Outcome.CONNECTION_LOST,
                            Outcome.CONNECTION_LOST,
                            Outcome.CONNECTION_LOST,
                        )
                    )
                    left = until - now
                    took = left if outcome == Outcome.TIMED_OUT else rng.randrange(min(400 * MS, left) + 1)
                    if outcome == Outcome.OVERLOADED:
                        strict.turned_away(attempt.request, (now, attempt.server.zone, attempt.server.cell))
                    going.append([now + took, rng.random(), outcome, attempt, until])
            else:
                ended(attempt, what)
        now += rng.randrange(S)
    return strict.broken, counts["again"]


GROUPS = ["all", "zone", "cell"]
KINDS = [
    (Idempotency.IDEMPOTENT, "all"),
    (Idempotency.NOT_IDEMPOTENT, "all"),
    *((Idempotency.KEYED, group) for group in GROUPS),
]


@pytest.mark.parametrize("semantics, group", KINDS)
@pytest.mark.parametrize("duplicate", [True, False])
def test_no_order_of_events_runs_an_effect_twice(semantics, group, duplicate):
    again = 0
    for seed in range(30):
        broken, more = played(seed, semantics, group, duplicate=duplicate)
        assert not broken, (seed, broken)
        again += more
    assert again > 30  # else nothing was shown


@pytest.mark.parametrize("group", GROUPS)
def test_the_check_finds_a_window_that_is_not_kept(group):
    found = (played(seed, Idempotency.KEYED, group, keeps=False)[0] for seed in range(60))
    assert any("past its window" in broken for broken in found)


def test_the_check_finds_a_group_that_is_not_kept(monkeypatch):
    monkeypatch.setattr(Balancer, "within_group", lambda *_: True)
    assert any("outside its group" in played(seed, Idempotency.KEYED, "zone")[0] for seed in range(30))


@pytest.mark.parametrize(
    "taken_for_proof, found",
    [
        (Outcome.ERROR, "a second attempt"),
        (Outcome.CONNECTION_LOST, "a second attempt"),
        (Outcome.TIMED_OUT, "nacked though it may have run"),
    ],
)
def test_the_check_finds_an_ending_that_is_taken_for_proof(monkeypatch, taken_for_proof, found):
    monkeypatch.setattr(decisions, "NEVER_RAN", decisions.NEVER_RAN | {taken_for_proof})
    assert any(found in played(seed, Idempotency.NOT_IDEMPOTENT, "all")[0] for seed in range(30))
