"""The rig: its files, its relays, its checkers, each shown a planted breach, and real processes under it."""

import os
import shutil
import subprocess
import sys
from pathlib import Path
from random import Random

import pytest
from twisted.internet.task import Clock

import ivystack
from ivystack.load.arrivals import draw_arrivals
from ivystack.load.clients import ClientRequest, LoadClass, ClientAttempt
from ivystack.rig import draw, scenario
from ivystack.rig.check import Act, Excuse, Terms, duties, rules
from ivystack.rig.linear import Op, TooLargeError, linearizable
from ivystack.rig.record import Record
from ivystack.rig.scenario import ScenarioError, checked
from ivystack.rig.verdict import judged
from ivystack.rig.ways import HELD, Stream, Way
from ivystack.standin.ledger import Effect, Ledger, ReceivedCommand, StateUpdate

CLASSES = {
    "read": LoadClass("read"),
    "pay": LoadClass("pay", write=True, retryable=False, sends_idempotency_key=True),
}
TERMS = Terms(CLASSES, 100_000, 10_000, cold=3)
PACKAGE = Path(ivystack.__file__).parent


def one(method="read", answers=((1000, "served", b"a"),), ident=b"a", **more):
    return ClientAttempt(0, ident, method, b"", "p0", 0, 900_000, [*answers], **more)


def taken(at=500, node="n0", ident=b"a", cold=False, busy=False):
    return ReceivedCommand(at, node, "p0", ident, "pay", True, cold, busy)


def broken(tries=(), excuses=(), terms=TERMS, **ledger):
    return [(breach.rule, breach.at) for breach in rules([*tries], Ledger(**ledger), [*excuses], terms)]


def test_each_rule_is_found_broken_and_a_good_record_is_not():
    assert broken([one()], commands=[taken()], effects=[Effect(600, "n0", b"a", b"k", b"", "pay")]) == []
    answers = [(1000, "served", b"a"), (2000, "served", b"a")]
    assert broken([one(answers=answers)]) == [("one answer", 2000)]
    assert broken([one(answers=())]) == [("one answer", 1_000_000)]
    assert broken([one(answers=(), connection_lost_at=700)]) == [("one answer", 700)]
    assert broken([one(answers=[(1_000_001, "nacked", b"")])]) == [("one answer", 1_000_001)]
    assert broken([one(answers=[(5, "served", b"b")])]) == [("one answer", 5)]  # another's
    twice = [taken(), taken(600, "n1")]
    assert broken([one("pay")], commands=twice) == [("no effect twice", 600)]
    assert broken([one("pay", [(1000, "nacked", b"")])], commands=[taken()]) == [("no effect twice", 1000)]
    assert broken([one("pay", [(1000, "nacked", b"")])], commands=[taken(busy=True)]) == []
    marked = [Effect(at, "n0", ident, b"k", b"m", "put") for at, ident in ((5, b"a"), (9, b"b"))]
    assert broken(effects=marked) == [("no effect twice", 9)]
    told = [StateUpdate(0, "p0", "n0", "DRAINING"), StateUpdate(1, "p0", "n0", "DELETED")]
    assert broken(state_updates=told, commands=[taken(1_000_000)]) == []
    assert broken(state_updates=told, commands=[taken(1_011_000)]) == [
        ("nothing new to a draining node", 1_011_000)
    ]
    back = [*told, StateUpdate(500_000, "p0", "n0", "SERVING")]
    assert broken(state_updates=back, commands=[taken(1_500_000)]) == []
    cold = [taken(at, cold=True) for at in (0, 300_000, 600_000, 900_000)]
    assert broken(commands=cold) == [("a cold node is not pushed over", 900_000)]
    assert broken(commands=[taken(at, cold=True) for at in (0, 400_000, 800_000, 1_100_000)]) == []


def test_a_fault_excuses_its_own_proxy_in_its_own_time_alone():
    lost = [one(answers=(), connection_lost_at=700)]
    assert broken(lost, [Excuse(600, 800, "p0")]) == []
    assert broken(lost, [Excuse(600, 800, "p1")]) == [("one answer", 700)]
    assert broken(lost, [Excuse(2_000_000, 3_000_000, "p0")]) == [("one answer", 700)]
    assert broken(lost, [Excuse(600, 800, "p0", "n0")]) == [("one answer", 700)]


def test_what_lay_unread_for_longer_than_a_crossing_takes_was_lost():
    def closed(after, crossed, terms=TERMS):
        return broken([one(answers=(), connection_lost_at=after, maybe_unread=crossed)], terms=terms)

    assert closed(10_000, True) == [] and closed(10_001, True) == [("one answer", 10_001)]
    assert closed(1, False) == [("one answer", 1)]  # on a new connection nothing crosses
    lagged = Terms(CLASSES, 100_000, 30_000, lag=20_000)
    assert closed(20_000, False, lagged) == [] and closed(20_001, False, lagged) == [("one answer", 20_001)]
    assert broken([one(answers=(), connection_lost_at=5, maybe_unread=True)], commands=[taken()]) == [
        ("one answer", 5)
    ]  # read


def test_an_attempt_that_reaches_a_node_after_its_request_has_ended_is_found():
    answered, cut_off = one(), one(answers=(), connection_lost_at=1000, maybe_unread=True)
    late = taken(11_001)
    assert broken([answered], commands=[taken(11_000)]) == []
    assert broken([answered], commands=[late]) == [("nothing is sent after its end", 11_001)]
    assert ("nothing is sent after its end", 11_001) in broken([cut_off], commands=[late])
    assert broken([answered], [Excuse(900, 12_000, "p0", "n0")], commands=[late]) == []  # held up on its way


def test_reqs_that_are_sent_on_after_their_client_has_left_are_found():
    # Counted against all that waited: one that a node had before is none of them.
    # What begins over 0.1 s after is a statement of its own, below.
    gone = [one(answers=(), ident=b"%d" % n, client_left_at=1000) for n in range(8)]

    def of_first(taken):
        return [
            found for found in broken(gone, commands=taken) if found[0] == "nothing is sent on for nobody"
        ]

    late = [taken(400_000, ident=b"%d" % n) for n in range(3)]
    soon = [taken(300_000, ident=b"%d" % n) for n in range(3, 6)]
    assert of_first(soon) == [] == of_first(soon + late[:2])
    assert of_first(soon + late) == [("nothing is sent on for nobody", 400_000)]
    had = [taken(900, ident=b"%d" % n) for n in range(4, 8)]
    assert of_first(had + late[:1]) == []
    assert of_first(had + late[:2]) == [("nothing is sent on for nobody", 400_000)]


def test_attempts_begun_after_their_client_has_left_are_found_from_the_third_on():
    gone = [one(answers=(), ident=b"%d" % n, client_left_at=1000) for n in range(30)]
    had = [taken(900, ident=b"%d" % n) for n in range(30)]  # all had a first one
    late = [taken(112_000 + n, "n1", ident=b"%d" % n) for n in range(3)]
    crossed = [taken(111_000, "n1", ident=b"%d" % n) for n in range(5, 12)]
    found = [("nothing is begun for nobody", 112_002)]
    assert broken(gone, commands=had + crossed + late[:2]) == []
    assert broken(gone, commands=had + late) == found
    assert broken(gone, [Excuse(0, 200_000, "p0", "n1")], commands=had + late) == []
    assert broken(gone, [Excuse(0, 200_000, "p0", "n2")], commands=had + late) == found


def test_a_repeat_that_comes_past_its_window_is_found_though_the_origin_drops_it():
    terms = Terms(
        {"pay": LoadClass("pay", write=True, sends_idempotency_key=True)},
        100_000,
        10_000,
        windows={"pay": 300_000},
    )
    waits = one("pay", [(400_000, "served", b"a")])  # its answer comes after all of them
    good = [taken(0), taken(310_000, "n1")]
    assert broken([waits], terms=terms, commands=good) == []
    late = [taken(0), taken(200_000, "n1"), taken(310_001, "n2")]
    assert broken([waits], terms=terms, commands=late) == [("no effect twice", 310_001)]
    assert broken([waits], terms=terms, commands=[taken(0, busy=True), *late[2:]]) == []
    assert broken([waits], [Excuse(0, 1, "p0", "n2")], terms, commands=late) == []


def test_a_req_that_crossed_an_end_was_not_accepted_unless_a_node_has_had_it():
    crossed = [one("pay", (), connection_lost_at=700, maybe_unread=True)]
    assert broken(crossed) == []
    assert broken(crossed, commands=[taken()]) == [("one answer", 700)]


def test_a_token_with_two_holders_and_an_act_of_an_older_token_are_found():
    def act(at, holder, token, receiver="r", good=True):
        return Act(at, "d", holder, token, receiver, good)

    assert duties([act(1, "a", 1), act(2, "b", 2), act(3, "a", 1, good=False), act(4, "a", 1, "s")]) == []
    assert [b.rule for b in duties([act(1, "a", 1), act(2, "b", 2), act(3, "a", 1)])] == ["fencing"]
    assert [b.rule for b in duties([act(1, "a", 1), act(2, "b", 1, "s")])] == ["one holder"]


def test_linearizability_sees_lost_writes_stale_reads_and_what_may_have_happened():
    def step(state, args):
        return (args[1], None) if args[0] == "put" else (state, state)

    def put(called, returned, value):
        return Op(called, returned, ("put", value))

    def get(called, returned, value):
        return Op(called, returned, ("get",), value)

    forever = float("inf")
    assert linearizable([put(0, 5, 1), get(1, 2, 0), get(3, 4, 1)], 0, step)
    assert not linearizable([put(0, 5, 1), get(1, 2, 1), get(3, 4, 0)], 0, step)  # reads go back
    assert linearizable([put(0, forever, 1), get(7, 8, 1)], 0, step)
    assert linearizable([put(0, forever, 1), get(7, 8, 0)], 0, step)
    assert not linearizable([put(0, forever, 1), get(7, 8, 1), get(9, 10, 0)], 0, step)
    with pytest.raises(TooLargeError):
        linearizable([put(0, 50, n) for n in range(12)] + [get(51, 52, -1)], 0, step, 100)


@pytest.mark.parametrize("text, key", [
    ({}, "version"), ({"version": 2}, "version"), ({"version": 1, "sconds": 3}, "sconds"),
    ({"version": 1, "fleet": {"proxies": 0}}, "fleet.proxies"),
    ({"version": 1, "load": {"read": 0.5}}, "load"),
    ({"version": 1, "fleet": {"group": 4}}, "fleet.group"),
    ({"version": 1, "fault": [{"at": 1, "kind": "kill"}]}, "fault[0].who"),
    ({"version": 1, "fault": [{"at": 1, "kind": "kill", "who": ["n0"]}]}, "fault[0].who"),
    ({"version": 1, "fault": [{"at": 99, "kind": "kill", "who": ["p0"]}]}, "fault[0].at"),
    ({"version": 1, "fault": [{"at": 1, "kind": "cut", "between": ["p0"]}]}, "fault[0].between"),
    ({"version": 1, "fault": [{"at": 1, "kind": "nap", "who": ["p0"]}]}, "fault[0].kind"),
])  # fmt: skip
def test_a_fault_in_a_file_is_one_line_that_names_the_key(text, key):
    with pytest.raises(ScenarioError) as fault:
        checked(text, "x")
    assert key in str(fault.value) and "\n" not in str(fault.value)


def test_own_scenarios_can_be_read_and_one_seed_draws_one_scenario_that_its_file_gives_again(tmp_path):
    assert [scenario.load(name).name for name in scenario.own()] == [*scenario.own()]
    for seed in range(40):
        made = draw.scenario(seed, 10)
        assert made == draw.scenario(seed, 10)
        path = tmp_path / f"{made.name}.toml"
        path.write_text(scenario.written(made))
        assert scenario.load(str(path)) == made
    assert draw.scenario(1, 10) != draw.scenario(2, 10)


def test_arrivals_are_drawn_alike_from_one_seed_and_their_number_follows_the_rate():
    parts = {"read": 0.5, "pay": 0.5}
    for shape in ("steady", "poisson", "ramp", "surge"):
        ours, theirs = (draw_arrivals(Random(5), 60, 50, shape, 100, 1.0, parts, 3) for _ in range(2))
        assert ours == theirs and abs(len(ours) - 3000) < 300
        assert [a.at for a in ours] == sorted(a.at for a in ours)


class Other:
    """The other side of a stream."""

    def __init__(self, way, clock):
        self.got, self.paused = [], False
        self.stream = Stream(
            way, clock, self.got.append, lambda: self.got.append("end"), lambda: self.got.append("reset"),
            lambda: setattr(self, "paused", True), lambda: setattr(self, "paused", False),
        )  # fmt: skip


def test_bytes_on_their_way_keep_their_order_under_jitter_and_a_rate_and_hold_their_sender():
    clock, way = Clock(), Way("a", "b", Random(1))
    way.delay, way.jitter = 0.05, 0.1
    other = Other(way, clock)
    for number in range(50):
        other.stream.put(b"%d" % number)
        clock.advance(0.001)
    other.stream.put(None)
    assert not other.got[1:]
    clock.pump([0.01] * 30)
    assert other.got == [b"%d" % n for n in range(50)] + ["end"]
    way.delay = way.jitter = 0
    way.rate = 1000
    other = Other(way, clock)
    for _ in range(3):
        other.stream.put(bytes(HELD // 2))
    assert other.paused and not other.got
    clock.advance(HELD / 1000 * 2)
    assert not other.paused and len(other.got) == 3


def test_frozen_bytes_come_later_swallowed_ones_never_and_that_is_known():
    clock, way = Clock(), Way("a", "b", Random(1))
    other = Other(way, clock)
    way.frozen = True
    other.stream.put(b"x")
    clock.advance(9)
    assert other.got == []
    way.frozen = False
    other.stream.arm()
    clock.advance(0)
    assert other.got == [b"x"] and not other.stream.dirty
    way.hole = True
    other.stream.put(b"y")
    way.hole = False
    clock.advance(9)
    assert other.got == [b"x"] and other.stream.dirty


def test_a_reset_comes_in_the_middle_of_a_message():
    clock, way = Clock(), Way("a", "b", Random(1))
    other = Other(way, clock)
    way.reset_after = 5
    other.stream.put(b"123")
    other.stream.put(b"4567")
    assert other.got == [b"123", b"45", "reset"]


def test_faults_of_one_way_that_overlap_end_each_by_itself_and_leave_nothing():
    way = Way("a", "b", Random(1))
    way.begin("cut", True), way.begin("cut", True), way.begin("delay", 0.1), way.begin("delay", 0.3)
    way.end("cut", True), way.end("delay", 0.1)
    assert way.cut and way.delay == 0.3
    way.end("cut", True), way.end("delay", 0.3)
    assert way.plain()


def test_datagrams_are_lost_and_doubled_by_their_parts():
    way = Way("a", "b", Random(1))
    way.loss, way.twice = 0.3, 0.5
    copies = [len(way.datagrams()) for _ in range(4000)]
    assert abs(copies.count(0) / 4000 - 0.3) < 0.03 and abs(copies.count(2) / 4000 - 0.35) < 0.03


def ivy(*words, **more):
    """The command line, as somebody would call it; its exit code and what it said."""
    done = subprocess.run(
        [sys.executable, "-B", "-m", "ivystack", *words], capture_output=True, text=True, timeout=100,
        env=os.environ | {"PYTHONPATH": str(PACKAGE.parent)}, **more,
    )  # fmt: skip
    return done.returncode, done.stdout, done.stderr


def test_a_proxy_dies_and_comes_back_under_load_and_all_rules_hold(tmp_path):
    code, told, _ = ivy(
        "rig", "play", "first", "--seconds", "6", "--keep", str(tmp_path), "--plot", str(tmp_path / "x.png")
    )
    assert code == 0 and "HOLDS first seed 1" in told and "p1: kill" in told
    assert (tmp_path / "x.png").read_bytes().startswith(b"\x89PNG")
    code, told, _ = ivy("rig", "logs", str(tmp_path))
    lines = told.splitlines()
    assert code == 0 and [line[:12] for line in lines] == sorted(line[:12] for line in lines)
    assert {line.split()[1] for line in lines} >= {"rig", "p0", "p1", "p2"}


def test_wall_clocks_that_jump_by_hours_change_nothing():
    # Guards the deadlines: set back by hours, the reactor's own clock stopped every timer of the proxy.
    code, told, _ = ivy("rig", "play", "clocks", "--quiet")
    assert code == 0, told


def test_clients_that_leave_in_bursts_while_nodes_fail_leave_no_work_behind(tmp_path):
    code, told, _ = ivy("rig", "play", "leaving", "--keep", str(tmp_path))
    assert code == 0, told
    gone = [line for line in (tmp_path / "tries.jsonl").read_text().splitlines() if '"left":null' not in line]
    assert len(gone) > 20


def altered(folder, path, before, after):
    """A copy of the program with one line changed."""
    shutil.copytree(PACKAGE, folder / "ivystack", ignore=shutil.ignore_patterns("__pycache__"))
    file = folder / "ivystack" / path
    text = file.read_text()
    assert text.count(before) == 1
    file.write_text(text.replace(before, after))
    return str(folder)


@pytest.mark.parametrize("path, before, after, scene, rule", [
    ("net/client_connection.py", "self.pending.popleft()\n            self.transport.write(response)",
     "self.pending.popleft()\n            self.transport.write(2 * response)", "first", "one answer"),
    ("net/endpoint_list.py", '"DRAINING": ServerState.DRAINING', '"DRAINING": ServerState.READY', "drain",
     "nothing new to a draining node"),
    ("net/listener.py", "        if self.protocol.may_close():", "        if True:", "held-up", "one answer"),
    ("net/listener.py", "EINTR, ENOMEM, ENOBUFS})", "EINTR})", "failing-calls", "one answer"),
])  # fmt: skip
def test_a_program_that_breaks_a_rule_is_found_and_the_account_shows_the_req(
    tmp_path, path, before, after, scene, rule
):
    program = altered(tmp_path, path, before, after)
    code, told, _ = ivy("rig", "play", scene, "--seconds", "5.5", "--program", program, "--quiet")
    assert code == 1 and f"BREACH of `{rule}`" in told


def test_words_and_files_that_cannot_be_used_end_with_code_2_and_one_line(tmp_path):
    path = tmp_path / "x.toml"
    path.write_text("version = 1\n[fleet]\nproxies = 'three'\n")
    for name, words in ((str(path), "fleet.proxies"), (str(tmp_path / "none"), "No such file")):
        code, _, told = ivy("rig", "play", name)
        assert code == 2 and words in told and told.count("\n") == 1
    config = tmp_path / "c.json"
    config.write_text('{"listen": "127.0.0.1:0", "discovery": "127.0.0.1:1", "settings": {}}')
    for words in (["check-config", str(config)], ["serve", "--config", str(config)]):
        code, _, told = ivy(*words)
        assert code == 2 and "listen" in told and told.count("\n") == 1
    config.write_text('{"listen": "127.0.0.1:1", "discovery": "127.0.0.1:1", "settings": {}}')
    assert ivy("check-config", str(config))[0] == 0


def test_the_proxy_without_a_command_loads_no_part_that_is_not_its_own():
    # Guards its memory and the time of its start.
    code = (
        "import sys, ivystack.__main__, ivystack.net.proxy\n"
        "own = [[n] for n in ('cli', 'rig', 'load', 'standin', 'mesh', 'fleet', 'consensus', 'duties')]\n"
        "tools = ('click', 'matplotlib', 'numpy', 'hdrh', 'sqlite3')\n"
        "print([n for n in sys.modules if n.split('.')[0] in tools"
        " or n.split('.')[:1] == ['ivystack'] and n.split('.')[1:2] in own])"
    )
    done = subprocess.run([sys.executable, "-c", code], capture_output=True, text=True, cwd=PACKAGE.parent)
    assert done.stdout == "[]\n", done.stdout + done.stderr


def test_a_class_that_starves_in_one_third_is_found():
    made = checked({"version": 1, "seconds": 3, "hold": {"each_class": 0.5, "rules": False}}, "x")
    pay, read = CLASSES["pay"], CLASSES["read"]

    def record(starved):
        found = Record(made, end=4_000_000)
        for at in range(0, 3_000_000, 50_000):
            for method in (pay, read):
                late = method is pay and 1_000_000 <= at < 2_000_000 and starved
                ended = at + (800_000 if late else 1000)
                found.asked.append(ClientRequest(0, None, at, method, b"", outcome="served", ended=ended))
        return [(breach.rule, breach.who) for breach in judged(found)]

    assert record(False) == [] and record(True) == [("hold.each_class", "third 2")]


def test_bounds_of_a_scenario_leave_room_for_a_thousand():
    most = {"proxies": 1024, "nodes": 1024}
    made = checked({"version": 1, "fleet": most, "load": {"worth": {"pay": 3}}}, "x")
    assert "worth = { pay = 3.0 }" in scenario.written(made)
    for wrong in ({"worth": {"pay": -1}}, {"worth": {"other": 1}}):
        with pytest.raises(ScenarioError, match="worth"):
            checked({"version": 1, "load": wrong}, "x")
