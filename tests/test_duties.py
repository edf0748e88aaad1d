"""Duties: leases against clocks that go apart, fencing, who comes forward, the slot order, real processes."""

import sys
import time
from random import Random
from types import ModuleType

import pytest
from helpers import Transport, entries, proxy
from test_consensus import playing
from test_rig import PACKAGE, altered, ivy

from ivystack.balancing.gossip_codec import server_hash
from ivystack.duties import grantor, keeper
from ivystack.duties.fence import Fence
from ivystack.duties.leases import Leases
from ivystack.duties.order import SlotOrder
from ivystack.duties.trials import MOST, Trials
from ivystack.rig.check import overlapping
from ivystack.rig.logs import logged

MS, S = 1_000, 1_000_000
LEASE, DRIFT = 3 * S, 0.02
DUTY = "slot-order"


class Leased:
    """Proxies with clocks of their own, a leader that changes, words that are late or lost.  True time is in
    `now`; at most one proxy may believe that it holds."""

    def __init__(self, seed, keepers=keeper, grantors=grantor, cut=False):
        self.rng = Random(seed)
        self.now, self.calls, self.count = 0, [], 0
        self.leases = Leases(LEASE)
        self.grantors, self.term = grantors, 0
        self.loss = 0.0
        self.slow = self.rng.choice([2, 40, 400])  # milliseconds that a word takes at most
        self.says_only = None
        self.keepers = []
        self.rates = []
        self.held_by: list[tuple[int, int]] = []  # when, by whom, as it changes
        for number in range(3):
            self.rates.append(1 + self.rng.choice([-1, 1]) * DRIFT / 2)
            made = keepers.Keeper(
                f"p{number}/x", LEASE, DRIFT, self.asks(number, "execute"), self.asks(number, "query"),
                lambda *_: None, lambda *_: None,
            )  # fmt: skip
            made.duty(DUTY, lambda: True)
            self.keepers.append(made)
        self.asleep = [0, 0, 0]
        self.lead()

    def lead(self):
        self.term += 1
        self.rate = 1 + self.rng.choice([-1, 1]) * DRIFT / 2
        self.leader = self.grantors.Grantor(LEASE, DRIFT)

    def clock(self, number):
        return int(self.now * self.rates[number]) + number * 77 * S

    def own(self):
        return int(self.now * self.rate) + 500 * S

    def later(self, rest, call, *values):
        self.count += 1
        self.calls.append((self.now + rest, self.count, call, values))

    def asks(self, number, how):
        def ask(part, name, args, done, within):
            if self.rng.random() >= self.loss:
                self.later(self.rng.randrange(1, self.slow) * MS, self.arrives, number, how, name, args, done)
            self.later(within, self.given_up, done)
            return True

        return ask

    def given_up(self, done):
        if done not in self.answered:
            self.answered.add(done)
            done(False, None)

    answered: set = set()

    def arrives(self, number, how, name, args, done):
        answer = getattr(self.leases, how)(name, args)
        if name == "renew" and answer is True:
            self.leader.renewed(args[0], args[1], self.own())
        if self.rng.random() >= self.loss and number != self.says_only:
            self.later(self.rng.randrange(1, self.slow) * MS, self.answers, number, done, answer)

    def answers(self, number, done, answer):
        if self.asleep[number] > self.now:  # it is stopped: it hears when it goes on
            return self.later(self.asleep[number] - self.now, self.answers, number, done, answer)
        if done not in self.answered:
            self.answered.add(done)
            done(True, answer)

    def run(self, seconds, faults=True):
        self.answered = set()
        for step in range(int(seconds * 50)):
            self.now += 20 * MS
            for call in sorted(one for one in self.calls if one[0] <= self.now):
                self.calls.remove(call)
                call[2](*call[3])
            if faults and self.rng.random() < 0.01:
                self.fault()
            for duty, token in self.leader.over(self.leases.rows, self.term, self.own()):
                self.leases.execute("free", [duty, token])
            if step % 5 == 0:
                rows = self.leases.told()
                for number, one in enumerate(self.keepers):
                    if self.asleep[number] <= self.now:
                        one.tick(rows, self.clock(number))
            holding = [
                n for n, one in enumerate(self.keepers)
                if one.hands[DUTY].token and self.clock(n) < one.hands[DUTY].until
            ]  # fmt: skip
            if len(holding) > 1:
                return f"at {self.now / S:.2f} s {holding} both hold"
            if holding and (not self.held_by or self.held_by[-1][1] != holding[0]):
                self.held_by.append((self.now, holding[0]))
        return None

    def fault(self):
        kind = self.rng.choice(["lead", "loss", "well", "sleep", "sleep"])
        if kind == "lead":
            self.lead()
        elif kind == "sleep":
            self.asleep[self.rng.randrange(3)] = self.now + self.rng.randrange(1, 8) * S
        else:
            self.loss = 0.5 if kind == "loss" else 0.0


def test_never_two_hold_whatever_the_clocks_the_words_and_the_leaders_do_and_somebody_mostly_does():
    for seed in range(60):
        leased = Leased(seed)
        assert leased.run(40) is None, seed
        leased.loss, leased.asleep = 0.0, [0, 0, 0]
        assert leased.run(10, False) is None
        assert any(one.held(DUTY, leased.clock(n)) for n, one in enumerate(leased.keepers))


def slipped(module, before, after):
    """That module with one piece of its text replaced."""
    with open(module.__file__) as file:
        text = file.read()
    assert text.count(before) == 1
    made = ModuleType(module.__name__ + "_slipped")
    made.__package__ = module.__package__
    sys.modules[made.__name__] = made
    exec(compile(text.replace(before, after), "slip", "exec"), made.__dict__)
    return made


@pytest.mark.parametrize("module, before, after", [
    (keeper, "self.lease = int(lease * (1 - drift))", "self.lease = int(lease * 1.3)"),
    (keeper, "hand.token, hand.until = token, asked + self.lease", "hand.token, hand.until = token, 1 << 60"),
    (grantor, "self.lease = int(lease * (1 + drift))", "self.lease = int(lease * 0.8)"),
    (grantor, "            if token != row.token:", "            if False:"),
])  # fmt: skip
def test_a_slip_in_the_reckoning_of_leases_is_found(module, before, after):
    made = slipped(module, before, after)
    how = {"keepers": made} if module is keeper else {"grantors": made}
    assert any(Leased(seed, **how).run(40) for seed in range(60))


def test_a_holder_that_is_heard_and_hears_nothing_holds_no_longer_than_two_leases():
    # Guards a duty against standing still: its renewals would go on being granted.
    leased = Leased(1)
    leased.run(5, False)
    first = leased.held_by[-1][1]
    leased.says_only = first
    assert leased.run(2 * LEASE / S + 2, False) is None
    assert leased.held_by[-1][1] != first


def test_who_can_not_do_a_duty_lets_go_and_does_not_come_forward_again_on_a_link_that_flaps():
    leased = Leased(2)
    leased.run(5, False)
    first = leased.held_by[-1][1]
    able = [True]
    leased.keepers[first].hands[DUTY].able = lambda: able[0]
    for _ in range(20):  # off and on each 300 ms: never unable for a second
        able[0] = not able[0]
        leased.run(0.3, False)
    assert [n for _, n in leased.held_by] == [first]
    able[0] = False
    leased.run(4, False)
    able[0] = True
    leased.run(5, False)
    assert len(leased.held_by) == 2 and leased.held_by[-1][1] != first


def test_a_planned_end_hands_on_at_once():
    leased = Leased(3)
    leased.run(5, False)
    at, first = leased.now, leased.held_by[-1][1]
    leased.keepers[first].hand_on(leased.clock(first))
    leased.run(3, False)
    assert leased.held_by[-1][1] != first and leased.held_by[-1][0] - at < LEASE // 2


def test_duties_spread_over_proxies_and_the_next_in_line_is_another():
    turns = {
        duty: sorted(range(40), key=lambda n, duty=duty: keeper.Keeper(
            f"p{n}/1", LEASE, DRIFT, None, None, None, None).turn(duty))
        for duty in ("slot-order", "list-watch", "node-trials")
    }  # fmt: skip
    assert len({turn[0] for turn in turns.values()}) == 3


def test_the_fence_takes_no_older_act_and_none_that_the_group_does_not_bear_out():
    fence = Fence()
    assert not fence.admits(DUTY, 1)
    fence.told(DUTY, 3)
    assert fence.admits(DUTY, 2) and fence.admits(DUTY, 3)
    assert not fence.admits(DUTY, 2) and not fence.admits(DUTY, 1_000_000) and not fence.admits(DUTY, 0)
    fence.told(DUTY, 4)
    assert fence.admits(DUTY, 3) and fence.admits(DUTY, 4)


def test_leases_take_strange_words_without_harm():
    leases = Leases(LEASE)
    for name, args in (("take", ["mine", "a/1"]), ("free", ["mine", 1]), ("put", ["mine", 1, b""])):
        with pytest.raises(ValueError):
            leases.execute(name, args)
    leases.execute("take", [DUTY, "a/1"])
    for token in (0, 2, -1, None, "1", 1 << 70):
        assert leases.execute("put", [DUTY, token, b"x"]) == [False, 0]
        assert not leases.execute("free", [DUTY, token])
    assert leases.execute("put", [DUTY, 1, bytes(20_000)]) == [False, 0]
    assert leases.execute("put", [DUTY, 1, "text"]) == [False, 0]
    other = Leases(LEASE)
    other.load(leases.dump())
    assert other.told() == leases.told() == {DUTY: ["a/1", 1, 0]}


def test_an_agreed_order_is_taken_up_and_one_that_names_no_real_node_is_not():
    made = proxy(4)
    order = SlotOrder(made)
    own = order.own()
    marks = [own[at : at + 3] for at in range(0, 12, 3)]
    other = b"".join(reversed(marks))
    assert order.take(other) == "" and order.own() == other
    for bad, why in (
        (b"", "malformed"),
        (b"ab", "malformed"),
        (other + marks[0], "malformed"),
        (bytes(15_000), "malformed"),
        (b"xyzuvw", "strange"),
        (marks[0] + b"xyz", "strange"),
    ):
        assert order.take(bad) == why and order.own() == other
    awaited = b"xyz" + other  # one that our list does not name yet keeps its slot, and is sent nothing
    assert order.take(awaited) == "" and order.own() == awaited
    made.listed(entries(5), True)
    assert order.own() == awaited + server_hash(made.balancer.servers["n4"])


def test_two_holders_at_once_are_found_unless_one_of_them_did_not_run():
    held = [(0, 5 * S, DUTY, "a", 1), (3 * S, 9 * S, DUTY, "b", 2)]
    assert len(overlapping(held, [])) == 1
    assert overlapping(held, [("a", 1 * S, 5 * S)]) == []
    assert len(overlapping(held, [("b", 1 * S, 5 * S)])) == 1
    assert len(overlapping([(0, S, DUTY, "a", 1), (2 * S, 3 * S, DUTY, "b", 1)], [])) == 1


def test_a_wall_clock_that_is_set_in_the_middle_of_a_run_moves_no_event_of_the_logs(tmp_path):
    (tmp_path / "p0").mkdir()
    (tmp_path / "p0" / "log").write_text(
        "10:00:01.000 INFO duty: held duty=slot-order token=1\n"
        "10:00:12.000 INFO duty: let go duty=slot-order token=1 code=ran-out\n"
    )
    day = int(time.mktime((*time.localtime()[:3], 0, 0, 0, 0, 0, -1))) * S
    begin = day + 36_000 * S  # the rig's own clock is at 0 then; at 3 s the wall's is set 8 s ahead
    steps = [(0, begin), (begin + 11 * S, begin + 8 * S)]
    assert logged(tmp_path, steps, {})[1] == [(1 * S, 4 * S, DUTY, "p0", 1)]


# Real processes.


def test_real_holders_die_stop_and_are_cut_off_and_the_fleet_keeps_one_order():
    scenes = ["holder-killed", "holder-stopped", "holder-cut", "herd-order", "liar", "two-of-one"]
    scenes.append("node-trials")
    told = {scene: process.communicate(timeout=120)[0] for scene, process in
            [(scene, playing(scene)) for scene in scenes]}  # fmt: skip
    assert [text for text in told.values() if not text.startswith("HOLDS")] == []


STOPS = """        token = self.keeper.held(ORDER, self.now())  # right before the act
        import os, signal
        if self.written is not None:
            try:
                os.close(os.open("../stopped", os.O_CREAT | os.O_EXCL))
                os.kill(os.getpid(), signal.SIGSTOP)
            except FileExistsError:
                pass
"""


def test_a_holder_stopped_between_check_and_act_does_harm_only_without_the_fences(tmp_path):
    # It looks at its lease, is stopped for eight seconds right then, goes on, and acts under its old token.
    scene = tmp_path / "scene.toml"
    text = (PACKAGE / "rig" / "scenarios" / "holder-stopped.toml").read_text()
    text = text.replace("at = 2\nfor = 10", "at = 3.6\nfor = 8")
    scene.write_text(text.replace("orders = true", "orders = false"))
    act = "        token = self.keeper.held(ORDER, self.now())  # right before the act\n"
    program = altered(tmp_path / "a", "duties/run.py", act, STOPS)
    words = "rig", "play", str(scene), "--program", program, "--quiet"
    code, told, _ = ivy(*words, "--keep", str(tmp_path / "k"))
    assert code == 0, told
    refused = [path for path in (tmp_path / "k").glob("p*/log") if "duty: act refused" in path.read_text()]
    assert len(refused) == 1
    for path, before, after in (
        ("duties/leases.py", "good = good and bool(row.holder) and token == row.token", "pass"),
        ("duties/run.py", "return row is not None and row.holder == who", "return True"),
        ("duties/fence.py", "if not self.taken.get(duty, 1) <= token <= self.known.get(duty, 0):", "if 0:"),
    ):
        file = tmp_path / "a" / "ivystack" / path
        assert file.read_text().count(before) == 1
        file.write_text(file.read_text().replace(before, after))
    code, told, _ = ivy(*words)
    assert code == 1 and "BREACH of `fencing`" in told, told


# Trials of nodes that are down.


def down_at(made, name):
    node = made.balancer.servers[name]
    for _ in range(2):
        made.balancer.outliers.record_failure(node.health, True, made.now())
    return node


def test_a_word_spaces_own_trials_of_a_node_that_is_down_here_and_only_for_so_long():
    made = proxy(3)
    trials, now = Trials(made), made.now()
    node, well = down_at(made, "n1"), made.balancer.servers["n0"]
    due = node.health.next_probe_at
    for second in range(50):
        trials.take({"n1": False, "n0": False, "nx": False}, now + second * S)
    assert due < node.health.next_probe_at == due + MOST  # then we try it ourselves, whatever is said
    assert well.health.next_probe_at == 0 and made.balancer.outliers.is_healthy(well.health)
    trials.take({"n1": True}, now + 51 * S)
    assert node.health.next_probe_at <= now + 51 * S and not made.balancer.outliers.is_healthy(
        node.health
    )  # its own answers alone say so


def test_the_holder_looks_at_what_is_down_anywhere_but_never_at_a_node_that_drains():
    made = proxy(4)
    trials, now = Trials(made), made.now()
    down_at(made, "n1"), down_at(made, "n2")
    made.listed(entries(4, state="DRAINING")[2:3], False)
    trials.want(["n3", "nx"] * 200, now)
    assert [*trials.wanted] == ["n3"]
    trials.look(now, lambda: False)
    assert not made.reactor.tcpClients  # not a single one without the duty
    trials.look(now, lambda: True)
    trials.look(now + 1000, lambda: True)
    asked = sorted(port for _, port, *_ in made.reactor.tcpClients)
    assert asked == [7001, 7003]
    for answer, (*_, factory, _, _) in zip((b"+PONG\r\n", b"-ERR\r\n"), made.reactor.tcpClients, strict=True):
        look = factory.buildProtocol(None)
        look.makeConnection(Transport())
        look.dataReceived(answer)
    assert trials.tell() == {"n1": True, "n3": False} and trials.tell() == {}
    for step in range(100):  # once more after 0.5 s, after 1 s, then every 2 s
        trials.want(["n3"], now + step * S // 10)
        trials.look(now + step * S // 10, lambda: True)
        trials.looking.clear()
    assert sum(port == 7003 for _, port, *_ in made.reactor.tcpClients) == 7


def test_a_look_that_hangs_is_a_node_that_was_not_reached():
    made = proxy(2)
    trials = Trials(made)
    down_at(made, "n0")
    trials.look(made.now(), lambda: True)
    made.reactor.advance(1)
    assert trials.tell() == {"n0": False} and not trials.looking
