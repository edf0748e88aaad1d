"""Duties: leases under clock drift, fencing, candidacy, the slot order, health checks, and real processes."""

import sys
import time
from collections.abc import Callable
from random import Random
from types import ModuleType, SimpleNamespace
from typing import NamedTuple

import pytest
from helpers import FakeTransport, make_entries, make_proxy
from test_consensus import start_scenario
from test_rig import PACKAGE, copy_with_change, run_ivystack

from ivystack.balancing.gossip_codec import server_hash
from ivystack.consensus.records import Role
from ivystack.duties import lease_expiry, lease_holder
from ivystack.duties.fencing import FencingTokens
from ivystack.duties.health_check_duty import MAX_POSTPONEMENT, HealthCheckDuty
from ivystack.duties.lease_client import LeaseClient
from ivystack.duties.lease_leader import LeaseLeader
from ivystack.duties.lease_table import LeaseTable
from ivystack.duties.protocol import HealthCheckResults, LeaseAnnouncement, LeaseSummary, MessageKind
from ivystack.duties.slot_order_duty import OrderFault, SlotOrder
from ivystack.mesh.protocol import encode
from ivystack.rig.check import check_overlapping_leases
from ivystack.rig.logs import parse_duty_logs

MS, S = 1_000, 1_000_000
LEASE, DRIFT = 3 * S, 0.02
DUTY = "slot-order"


class LogEntry(NamedTuple):
    """A command that is applied when it is committed, at a true time in microseconds."""

    commit_at: int
    name: str
    args: list
    on_applied: Callable


class SimulatedLeases:
    """Simulates lease holders with drifting clocks, changing leaders, and delayed or lost messages.

    Commands are committed in their order, some time after they were proposed.

    `now` is the true time in microseconds.  At most one proxy may believe that it holds the lease.
    """

    def __init__(self, seed, holders=lease_holder, expiries=lease_expiry):
        self.rng = Random(seed)
        self.now, self.scheduled_calls, self.sequence_number = 0, [], 0
        self.leases = LeaseTable(LEASE)
        self.expiries, self.term = expiries, 0
        self.loss = 0.0
        self.max_latency = self.rng.choice([2, 40, 400])  # milliseconds
        self.max_commit_latency = self.rng.choice([2, 40, 1000])  # milliseconds
        self.cannot_receive = None  # index of a proxy whose answers are lost
        self.holders = []
        self.rates = []
        self.holders_seen: list[tuple[int, int]] = []  # time and holder of each change
        for index in range(3):
            self.rates.append(1 + self.rng.choice([-1, 1]) * DRIFT / 2)
            client = LeaseClient(self.request(index, "execute"), self.request(index, "query"))
            holder = holders.LeaseHolder(
                f"p{index}/x", LEASE, DRIFT, client, lambda *_: None, lambda *_: None
            )
            holder.add_duty(DUTY, lambda: True)
            self.holders.append(holder)
        self.stopped_until = [0, 0, 0]
        self.log: list[LogEntry] = []  # proposed and not yet committed, in order
        self.change_leader()

    def change_leader(self):
        """Elect a leader, which has some of the uncommitted entries, and commits them before it answers."""
        self.term += 1
        kept, self.log = self.log[: self.rng.randrange(len(self.log) + 1)], []
        for entry in kept:
            self.apply(entry)
        self.rate = 1 + self.rng.choice([-1, 1]) * DRIFT / 2
        self.leader = self.expiries.LeaseExpiry(LEASE, DRIFT)
        self.leases.is_expired = self.leader.is_expired

    def propose(self, name, args, on_applied=lambda answer: None):
        earliest = self.log[-1].commit_at if self.log else 0
        commit_at = max(earliest, self.now + self.rng.randrange(1, self.max_commit_latency) * MS)
        self.log.append(LogEntry(commit_at, name, args, on_applied))

    def apply(self, entry):
        entry.on_applied(self.leases.execute(entry.name, entry.args))

    def clock(self, index):
        return int(self.now * self.rates[index]) + index * 77 * S

    def leader_clock(self):
        return int(self.now * self.rate) + 500 * S

    def schedule(self, delay, call, *values):
        self.sequence_number += 1
        self.scheduled_calls.append((self.now + delay, self.sequence_number, call, values))

    def request(self, index, operation):
        def send(part, name, args, callback, timeout):
            if self.rng.random() >= self.loss:
                self.schedule(
                    self.rng.randrange(1, self.max_latency) * MS,
                    self.request_arrives,
                    index,
                    operation,
                    name,
                    args,
                    callback,
                )
            self.schedule(timeout, self.time_out, callback)
            return True

        return send

    def time_out(self, callback):
        if callback not in self.answered:
            self.answered.add(callback)
            callback(False, None)

    answered: set = set()

    def request_arrives(self, index, operation, name, args, callback):
        if operation == "execute":
            return self.propose(name, args, lambda answer: self.send_answer(index, callback, answer))
        answer = self.leases.query(name, args)
        if name == "renew" and answer is True:
            self.leader.record_renewal(args[0], args[1], self.leader_clock())
        return self.send_answer(index, callback, answer)

    def send_answer(self, index, callback, answer):
        if self.rng.random() >= self.loss and index != self.cannot_receive:
            self.schedule(
                self.rng.randrange(1, self.max_latency) * MS, self.answer_arrives, index, callback, answer
            )

    def answer_arrives(self, index, callback, answer):
        if self.stopped_until[index] > self.now:  # a stopped proxy receives the answer when it continues
            return self.schedule(
                self.stopped_until[index] - self.now, self.answer_arrives, index, callback, answer
            )
        if callback not in self.answered:
            self.answered.add(callback)
            callback(True, answer)

    def run(self, seconds, faults=True):
        self.answered = set()
        for step in range(int(seconds * 50)):
            self.now += 20 * MS
            for call in sorted(entry for entry in self.scheduled_calls if entry[0] <= self.now):
                self.scheduled_calls.remove(call)
                call[2](*call[3])
            while self.log and self.log[0].commit_at <= self.now:
                self.apply(self.log.pop(0))
            if faults and self.rng.random() < 0.01:
                self.inject_fault()
            for duty, token in self.leader.find_expired(self.leases.records, self.term, self.leader_clock()):
                self.propose("free", [duty, token])
            if step % 5 == 0:
                announced = self.leases.summaries()
                for index, holder in enumerate(self.holders):
                    if self.stopped_until[index] <= self.now:
                        holder.tick(announced, self.clock(index))
            holding = [
                index for index, holder in enumerate(self.holders)
                if holder.leases[DUTY].token and self.clock(index) < holder.leases[DUTY].expires_at
            ]  # fmt: skip
            if len(holding) > 1:
                return f"at {self.now / S:.2f} s {holding} both hold"
            if holding and (not self.holders_seen or self.holders_seen[-1][1] != holding[0]):
                self.holders_seen.append((self.now, holding[0]))
        return None

    def inject_fault(self):
        kind = self.rng.choice(["leader", "loss", "no loss", "sleep", "sleep"])
        if kind == "leader":
            self.change_leader()
        elif kind == "sleep":
            self.stopped_until[self.rng.randrange(3)] = self.now + self.rng.randrange(1, 8) * S
        else:
            self.loss = 0.5 if kind == "loss" else 0.0


def find_fault(simulated):
    """Return what went wrong in 40 s with faults and 10 s without, or None."""
    fault = simulated.run(40)
    simulated.loss, simulated.stopped_until = 0.0, [0, 0, 0]
    fault = fault or simulated.run(10, False)
    held = any(
        holder.held_token(DUTY, simulated.clock(index)) for index, holder in enumerate(simulated.holders)
    )
    return fault or (None if held else "nobody holds the lease")


def test_at_most_one_proxy_holds_the_lease_under_clock_drift_message_loss_and_leader_changes():
    for seed in range(140):
        assert find_fault(SimulatedLeases(seed)) is None, seed


def with_change(module, before, after):
    """Return a copy of the module in which one piece of its text is replaced."""
    with open(module.__file__) as file:
        text = file.read()
    assert text.count(before) == 1
    changed = ModuleType(module.__name__ + "_changed")
    changed.__package__ = module.__package__
    sys.modules[changed.__name__] = changed
    exec(compile(text.replace(before, after), "changed", "exec"), changed.__dict__)
    return changed


@pytest.mark.parametrize("module, before, after", [
    (lease_holder, "self.duration = int(lease * (1 - drift))", "self.duration = int(lease * 1.3)"),
    (lease_holder, "lease.token, lease.expires_at = token, requested_at + self.duration",
     "lease.token, lease.expires_at = token, 1 << 60"),
    (lease_expiry, "self.duration = int(lease * (1 + drift))", "self.duration = int(lease * 0.8)"),
    (lease_expiry, "            if token != record.token:", "            if False:"),
    (lease_expiry, "return self.expired_tokens.get(duty) == token", "return False"),
])  # fmt: skip
def test_the_simulation_detects_faults_in_the_computation_of_lease_times(module, before, after):
    changed = with_change(module, before, after)
    modules = {"holders": changed} if module is lease_holder else {"expiries": changed}
    assert any(find_fault(SimulatedLeases(seed, **modules)) for seed in range(140))


class FakeReplica:
    """The leader's replica: collects proposals, which the test commits."""

    def __init__(self, term=1):
        self.core = SimpleNamespace(
            role=Role.LEADER, term=term, commit_index=1, log=SimpleNamespace(term_at=lambda index: term)
        )
        self.proposals, self.state_observers, self.applied_index = [], [], 1

    def propose(self, part, name, args):
        self.proposals.append((name, args))


def lead(table, clock, term):
    """Return the replica and the leases' leader of a term, which act on the table."""
    replica, mesh = FakeReplica(term), SimpleNamespace(peers=[], send=None)
    leader = LeaseLeader(
        replica, table, lease_expiry.LeaseExpiry(LEASE, DRIFT), mesh, lambda: clock[0], lambda _: None
    )
    leader.tick(clock[0])
    return replica, leader


def test_an_expired_lease_is_not_renewed_while_its_release_is_uncommitted():
    # Guards against two holders: the old one, renewed, and the one that acquires after the release.
    table, clock = LeaseTable(LEASE), [0]
    table.execute("take", [DUTY, "p0/x"])
    replica, leader = lead(table, clock, term=1)
    renewal = [DUTY, 1, "p0/x", 0]
    assert table.query("renew", renewal) is True
    for clock[0] in (LEASE + LEASE // 10, LEASE + LEASE // 5):  # a second release is proposed meanwhile
        leader.tick(clock[0])
        assert table.query("renew", renewal) is False
    assert replica.proposals == [("free", [DUTY, 1])] * 2
    for name, args in replica.proposals:
        table.execute(name, args)
    assert table.execute("take", [DUTY, "p1/x"]) == ["p1/x", 2]
    leader.tick(clock[0])
    assert table.query("renew", [DUTY, 2, "p1/x", 0]) is True


def test_a_leader_without_the_release_of_the_one_before_may_renew_the_lease():
    table, clock = LeaseTable(LEASE), [0]
    table.execute("take", [DUTY, "p0/x"])
    _, leader = lead(table, clock, term=1)
    clock[0] = LEASE + LEASE // 10
    leader.tick(clock[0])
    replica, leader = lead(table, clock, term=2)  # the release was not in its log
    assert table.query("renew", [DUTY, 1, "p0/x", 0]) is True
    leader.read_answered("duty", "renew", [DUTY, 1, "p0/x", 0], True)
    clock[0] += LEASE
    leader.tick(clock[0])
    assert not replica.proposals


def test_a_grant_is_used_only_after_a_renewal_that_the_leader_counts():
    # Guards against a lease that its holder counts from a later request than the leader does.
    requests = []

    def send(part, name, args, callback, timeout):
        requests.append((name, callback))
        return True

    holder = lease_holder.LeaseHolder(
        "p0/x", LEASE, DRIFT, LeaseClient(send, send), lambda *_: None, lambda *_: None
    )
    holder.add_duty(DUTY, lambda: True)
    holder.tick({}, S)
    holder.tick({}, 2 * S)
    assert [name for name, _ in requests] == ["take"]
    requests[0][1](True, ["p0/x", 1])
    assert not holder.held_token(DUTY, 2 * S) and [name for name, _ in requests] == ["take", "renew"]
    requests[1][1](True, True)
    assert holder.held_token(DUTY, 2 * S) == 1 and holder.leases[DUTY].expires_at == 2 * S + holder.duration


def test_a_holder_that_can_send_but_not_receive_loses_the_lease_within_two_durations():
    # Otherwise its renewals would be granted forever although it can't perform the duty.
    simulated = SimulatedLeases(1)
    simulated.max_commit_latency = 2
    simulated.run(5, False)
    first = simulated.holders_seen[-1][1]
    simulated.cannot_receive = first
    assert simulated.run(2 * LEASE / S + 2, False) is None
    assert simulated.holders_seen[-1][1] != first


def test_a_holder_that_cannot_serve_releases_and_backs_off_and_a_flapping_link_moves_no_lease():
    simulated = SimulatedLeases(2)
    simulated.run(5, False)
    first = simulated.holders_seen[-1][1]
    can_serve = [True]
    simulated.holders[first].leases[DUTY].can_serve = lambda: can_serve[0]
    for _ in range(20):  # changes every 300 ms, so it never lasts for a second
        can_serve[0] = not can_serve[0]
        simulated.run(0.3, False)
    assert [n for _, n in simulated.holders_seen] == [first]
    can_serve[0] = False
    simulated.run(4, False)
    can_serve[0] = True
    simulated.run(5, False)
    assert len(simulated.holders_seen) == 2 and simulated.holders_seen[-1][1] != first


def test_a_graceful_shutdown_releases_the_lease_at_once():
    simulated = SimulatedLeases(3)
    simulated.max_commit_latency = 2
    simulated.run(5, False)
    at, first = simulated.now, simulated.holders_seen[-1][1]
    simulated.holders[first].release_all(simulated.clock(first))
    simulated.run(3, False)
    assert simulated.holders_seen[-1][1] != first and simulated.holders_seen[-1][0] - at < LEASE // 2


def test_duties_spread_over_proxies_because_their_first_candidates_differ():
    candidates = {
        duty: sorted(range(40), key=lambda n, duty=duty: lease_holder.LeaseHolder(
            f"p{n}/1", LEASE, DRIFT, None, None, None).candidacy_delay(duty))
        for duty in ("slot-order", "list-watch", "node-trials")
    }  # fmt: skip
    assert len({ranked[0] for ranked in candidates.values()}) == 3


def test_fencing_rejects_older_tokens_and_tokens_that_the_group_has_not_announced():
    fencing = FencingTokens()
    assert not fencing.accept(DUTY, 1)
    fencing.announce(DUTY, 3)
    assert fencing.accept(DUTY, 2) and fencing.accept(DUTY, 3)
    assert not fencing.accept(DUTY, 2) and not fencing.accept(DUTY, 1_000_000) and not fencing.accept(DUTY, 0)
    fencing.announce(DUTY, 4)
    assert fencing.accept(DUTY, 3) and fencing.accept(DUTY, 4)


def test_malformed_lease_requests_change_nothing():
    leases = LeaseTable(LEASE)
    for name, args in (("take", ["mine", "a/1"]), ("free", ["mine", 1]), ("put", ["mine", 1, b""])):
        with pytest.raises(ValueError):
            leases.execute(name, args)
    leases.execute("take", [DUTY, "a/1"])
    for token in (0, 2, -1, None, "1", 1 << 70):
        assert leases.execute("put", [DUTY, token, b"x"]) == [False, 0] and not leases.execute(
            "free", [DUTY, token]
        )
    assert leases.execute("put", [DUTY, 1, bytes(20_000)]) == [False, 0]
    assert leases.execute("put", [DUTY, 1, "text"]) == [False, 0]
    other = LeaseTable(LEASE)
    other.load(leases.dump())
    assert other.summaries() == leases.summaries() == {DUTY: LeaseSummary("a/1", 1, 0)}


def test_requests_and_messages_keep_their_wire_format():
    sent = []

    def send(*request):
        sent.append(request[:3])
        return True

    client = LeaseClient(send, send)
    client.acquire(DUTY, "a/1", lambda _: None)
    client.renew(DUTY, 1, "a/1", None, lambda _: None)
    client.put_value(DUTY, 1, b"x", lambda _: None)
    client.get_value(DUTY, lambda _: None)
    client.release(DUTY, 1)
    assert sent == [
        ("duty", "take", ["slot-order", "a/1"]),
        ("duty", "renew", ["slot-order", 1, "a/1", None]),
        ("duty", "put", ["slot-order", 1, b"x"]),
        ("duty", "value", ["slot-order"]),
        ("duty", "free", ["slot-order", 1]),
    ]
    announcement = LeaseAnnouncement(5, 9, {"slot-order": LeaseSummary("a/1", 1, 0)})
    assert encode((MessageKind.LEASE_ANNOUNCEMENT, announcement)) == encode(
        ["duty", [5, 9, {"slot-order": ["a/1", 1, 0]}]]
    )
    results = HealthCheckResults(1, {"n0": False})
    assert encode((MessageKind.HEALTH_CHECK_RESULTS, results)) == encode(["looked", [1, {"n0": False}]])


def test_a_slot_order_is_adopted_unless_it_is_malformed_or_unfamiliar():
    instance = make_proxy(4)
    order = SlotOrder(instance)
    own = order.encode()
    hashes = [own[at : at + 3] for at in range(0, 12, 3)]
    other = b"".join(reversed(hashes))
    assert order.adopt(other) is None and order.encode() == other
    for invalid_order, fault in (
        (b"", OrderFault.MALFORMED),
        (b"ab", OrderFault.MALFORMED),
        (other + hashes[0], OrderFault.MALFORMED),
        (bytes(15_000), OrderFault.MALFORMED),
        (b"xyzuvw", OrderFault.UNFAMILIAR),
        (hashes[0] + b"xyz", OrderFault.UNFAMILIAR),
    ):
        assert order.adopt(invalid_order) == fault and order.encode() == other
    # A server that is not in the endpoint list yet keeps its slot and gets no requests.
    with_unlisted = b"xyz" + other
    assert order.adopt(with_unlisted) is None and order.encode() == with_unlisted
    instance.endpoints.update(make_entries(5), True)
    assert order.encode() == with_unlisted + server_hash(instance.balancer.servers["n4"])


def test_overlapping_holders_are_detected_unless_one_of_them_was_stopped():
    held = [(0, 5 * S, DUTY, "a", 1), (3 * S, 9 * S, DUTY, "b", 2)]
    assert len(check_overlapping_leases(held, [])) == 1
    assert check_overlapping_leases(held, [("a", 1 * S, 5 * S)]) == []
    assert len(check_overlapping_leases(held, [("b", 1 * S, 5 * S)])) == 1
    assert len(check_overlapping_leases([(0, S, DUTY, "a", 1), (2 * S, 3 * S, DUTY, "b", 1)], [])) == 1


def test_setting_the_wall_clock_during_a_run_does_not_move_logged_events(tmp_path):
    (tmp_path / "p0").mkdir()
    (tmp_path / "p0" / "log").write_text(
        "10:00:01.000 INFO duty: lease acquired duty=slot-order token=1\n"
        "10:00:12.000 INFO duty: lease lost duty=slot-order token=1 code=ran-out\n"
    )
    day = int(time.mktime((*time.localtime()[:3], 0, 0, 0, 0, 0, -1))) * S
    begin = day + 36_000 * S  # time 0 of the rig's clock; at 3 s the wall clock is set 8 s ahead
    steps = [(0, begin), (begin + 11 * S, begin + 8 * S)]
    assert parse_duty_logs(tmp_path, steps, {})[1] == [(1 * S, 4 * S, DUTY, "p0", 1)]


# Real processes


def test_the_fleet_keeps_one_order_while_real_holders_are_killed_stopped_or_partitioned():
    scenarios = ["holder-killed", "holder-stopped", "holder-cut", "herd-order", "liar", "two-of-one"]
    scenarios.append("node-trials")
    output = {scenario: process.communicate(timeout=120)[0] for scenario, process in
            [(scenario, start_scenario(scenario)) for scenario in scenarios]}  # fmt: skip
    assert [text for text in output.values() if not text.startswith("HOLDS")] == []


STOP_BEFORE_WRITE = """        token = self.holder.held_token(DUTY, self.now())  # right before the write
        import os, signal
        if self.agreed is not None:
            try:
                os.close(os.open("../stopped", os.O_CREAT | os.O_EXCL))
                os.kill(os.getpid(), signal.SIGSTOP)
            except FileExistsError:
                pass
"""


def test_a_holder_stopped_between_check_and_write_violates_fencing_only_without_the_checks(tmp_path):
    # The holder checks its lease, is stopped for eight seconds, and then writes under its old token.
    scenario = tmp_path / "scenario.toml"
    text = (PACKAGE / "rig" / "scenarios" / "holder-stopped.toml").read_text()
    text = text.replace("at = 2\nfor = 10", "at = 3.6\nfor = 8")
    scenario.write_text(text.replace("orders = true", "orders = false"))
    write = "        token = self.holder.held_token(DUTY, self.now())  # right before the write\n"
    program = copy_with_change(tmp_path / "a", "duties/slot_order_duty.py", write, STOP_BEFORE_WRITE)
    arguments = "rig", "play", str(scenario), "--program", program, "--quiet"
    code, output, _ = run_ivystack(*arguments, "--keep", str(tmp_path / "k"))
    assert code == 0, output
    rejected = [
        path for path in (tmp_path / "k").glob("p*/log") if "duty: value rejected" in path.read_text()
    ]
    assert len(rejected) == 1
    for path, before, after in (
        (
            "duties/lease_table.py",
            "accepted = accepted and bool(self.holder) and token == self.token",
            "pass",
        ),
        ("duties/lease_leader.py", "return record is not None and record.holder == process", "return True"),
        (
            "duties/fencing.py",
            "if not self.accepted.get(duty, 1) <= token <= self.announced.get(duty, 0):",
            "if 0:",
        ),
    ):
        file = tmp_path / "a" / "ivystack" / path
        assert file.read_text().count(before) == 1
        file.write_text(file.read_text().replace(before, after))
    code, output, _ = run_ivystack(*arguments)
    assert code == 1 and "BREACH of `fencing`" in output, output


# Health checks of unhealthy servers


def mark_unhealthy(instance, name):
    server = instance.balancer.servers[name]
    for _ in range(2):
        instance.balancer.outliers.record_failure(server.health, True, instance.now())
    return server


def test_a_result_postpones_own_checks_of_an_unhealthy_server_up_to_a_bound():
    instance = make_proxy(3)
    duty, now = HealthCheckDuty(instance), instance.now()
    server, healthy = mark_unhealthy(instance, "n1"), instance.balancer.servers["n0"]
    due = server.health.next_probe_at
    for second in range(50):
        duty.apply_results({"n1": False, "n0": False, "nx": False}, now + second * S)
    # At this bound the proxy checks the server itself, whatever the results are.
    assert due < server.health.next_probe_at == due + MAX_POSTPONEMENT
    assert healthy.health.next_probe_at == 0 and instance.balancer.outliers.is_healthy(healthy.health)
    duty.apply_results({"n1": True}, now + 51 * S)
    # Only answers to this proxy's own traffic make the server healthy.
    assert server.health.next_probe_at <= now + 51 * S and not instance.balancer.outliers.is_healthy(
        server.health
    )


def test_the_holder_checks_servers_that_are_unhealthy_anywhere_but_never_a_draining_server():
    instance = make_proxy(4)
    duty, now = HealthCheckDuty(instance), instance.now()
    mark_unhealthy(instance, "n1"), mark_unhealthy(instance, "n2")
    instance.endpoints.update(make_entries(4, state="DRAINING")[2:3], False)
    duty.record_request(["n3", "nx"] * 200, now)
    assert [*duty.requested] == ["n3"]
    duty.run_checks(now, lambda: False)
    assert not instance.reactor.tcpClients  # no check without the duty
    duty.run_checks(now, lambda: True)
    duty.run_checks(now + 1000, lambda: True)
    checked_ports = sorted(port for _, port, *_ in instance.reactor.tcpClients)
    assert checked_ports == [7001, 7003]
    for answer, (*_, factory, _, _) in zip(
        (b"+PONG\r\n", b"-ERR\r\n"), instance.reactor.tcpClients, strict=True
    ):
        ping = factory.buildProtocol(None)
        ping.makeConnection(FakeTransport())
        ping.dataReceived(answer)
    assert duty.take_results() == {"n1": True, "n3": False} and duty.take_results() == {}
    for step in range(100):  # checked again after 0.5 s, after 1 s, then every 2 s
        duty.record_request(["n3"], now + step * S // 10)
        duty.run_checks(now + step * S // 10, lambda: True)
        duty.in_progress.clear()
    assert sum(port == 7003 for _, port, *_ in instance.reactor.tcpClients) == 7


def test_a_check_without_an_answer_counts_as_not_reached():
    instance = make_proxy(2)
    duty = HealthCheckDuty(instance)
    mark_unhealthy(instance, "n0")
    duty.run_checks(instance.now(), lambda: True)
    instance.reactor.advance(1)
    assert duty.take_results() == {"n0": False} and not duty.in_progress
