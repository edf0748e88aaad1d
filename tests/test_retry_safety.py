"""No sequence of outcomes, waits and late connections executes an effect twice, as strict servers check."""

from dataclasses import dataclass, field
from random import Random

import pytest
from helpers import S, make_balancer, make_servers

from ivystack.balancing import retry_policy
from ivystack.balancing.retry_policy import RetryPolicy
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
    Wait,
)

MS = 1000
WINDOW = 300 * MS
REQUESTS = 40  # of a run, one after another
# Of an attempt that has reached its server.
OUTCOMES = (
    Outcome.SUCCEEDED,
    Outcome.ERROR,
    Outcome.OVERLOADED,
    Outcome.TIMED_OUT,
    Outcome.CONNECTION_LOST,
    Outcome.CONNECTION_LOST,
    Outcome.CONNECTION_LOST,
)


class StrictServers:
    """Servers that drop a repeat for just as long as stated, and note every breach by the sender."""

    def __init__(self, idempotency, group):
        self.idempotency, self.group = idempotency, group
        self.arrivals: dict[
            Request, list[tuple[int, str, int]]
        ] = {}  # possibly executed: when, zone and cell
        self.breaches: list[str] = []

    def receive(self, request, server, now):
        before = self.arrivals.setdefault(request, [])
        if before and self.idempotency is Idempotency.NOT_IDEMPOTENT:
            self.breaches.append("a second attempt")
        elif before and self.idempotency is Idempotency.KEYED:
            if now - before[0][0] > WINDOW:
                self.breaches.append("past its window")
            where = {"all": (), "zone": (server.zone,), "cell": (server.zone, server.cell)}[self.group]
            if where and any(where != (zone, cell)[: len(where)] for _, zone, cell in before):
                self.breaches.append("outside its group")
        before.append((now, server.zone, server.cell))

    def reject(self, request, arrival):
        """The server does not execute what arrived."""
        self.arrivals[request].remove(arrival)

    def client_told_of_no_effect(self, request):
        may_be_repeated = self.idempotency is Idempotency.IDEMPOTENT or (
            self.idempotency is Idempotency.KEYED and self.group == "all"
        )
        if self.arrivals.get(request) and not may_be_repeated:
            self.breaches.append("rejected though possibly executed")


@dataclass
class Event:
    """What comes of an attempt: its connection is up (no outcome), or its outcome."""

    at: int
    tie_break: float
    attempt: Attempt
    timeout_at: int
    outcome: Outcome | None = None


@dataclass
class Simulation:
    """Requests one after another, with outcomes, waits and late connections drawn from the seed."""

    seed: int
    idempotency: Idempotency
    group: str
    keeps_send_by: bool = True  # whether attempts past their last moment are held back
    hedging_enabled: bool = True
    now: int = S
    retries: int = 0
    events: list[Event] = field(default_factory=list)

    def __post_init__(self):
        self.rng, self.servers = Random(self.seed), StrictServers(self.idempotency, self.group)
        listed = make_servers(6)
        for place, server in enumerate(listed):
            server.zone, server.cell = "ab"[place // 3], place // 2
        self.balancer = make_balancer(
            listed, max_attempts=5, hedging_enabled=self.hedging_enabled, clock_granularity=MS
        )

    def run(self):
        """Returns the breaches."""
        request_class = RequestClass(
            "m", self.idempotency, S, dedup_group=DedupGroup(self.group), dedup_window=WINDOW
        )
        for _ in range(REQUESTS):
            request = Request(request_class, self.now, self.now + 2 * S, self.rng.getrandbits(40))
            self.carry_out(request, self.balancer.route(request, self.now))
            while self.events or not request.concluded:
                self.step(request)
            self.now += self.rng.randrange(S)
        return self.servers.breaches

    def step(self, request):
        wakeup = self.balancer.next_wakeup(self.now)
        for due in wakeup.due:
            if due is request:
                self.carry_out(request, self.balancer.route(request, self.now))
        if wakeup.due:
            return
        self.events.sort(key=lambda event: (event.at, event.tie_break))
        moments = [event.at for event in self.events[:1]]
        if wakeup.delay is not None:
            moments.append(self.now + wakeup.delay)
        assert moments, "a request that nothing will conclude"
        self.now = max(self.now, min(moments))
        if self.events and self.events[0].at <= self.now:
            event = self.events.pop(0)
            if event.attempt.outcome is None:
                self.happen(event)

    def happen(self, event):
        if event.outcome is not None:
            self.end(event.attempt, event.outcome)
        elif self.now >= event.timeout_at:
            self.end(event.attempt, Outcome.CONNECTION_REFUSED)
        elif self.keeps_send_by and self.now >= event.attempt.send_by:
            self.end(event.attempt, Outcome.NOT_SENT)
        else:
            self.reach_server(event)

    def reach_server(self, event):
        attempt = event.attempt
        self.servers.receive(attempt.request, attempt.server, self.now)
        outcome = self.rng.choice(OUTCOMES)
        time_left = event.timeout_at - self.now
        took = time_left
        if outcome is not Outcome.TIMED_OUT:
            took = self.rng.randrange(min(400 * MS, time_left) + 1)
        if outcome is Outcome.OVERLOADED:
            self.servers.reject(attempt.request, (self.now, attempt.server.zone, attempt.server.cell))
        self.events.append(Event(self.now + took, self.rng.random(), attempt, event.timeout_at, outcome))

    def carry_out(self, request, decision):
        match decision:
            case Send(timeout_at=timeout_at):
                wait = self.rng.choice((0, 0, self.rng.randrange(600 * MS)))
                self.events.append(
                    Event(self.now + wait, self.rng.random(), request.attempts[-1], timeout_at)
                )
                self.retries += len(request.attempts) > 1
            case Reject():
                request.concluded = True
                self.servers.client_told_of_no_effect(request)
            case Fail() | Done():
                request.concluded = True
            case Wait():
                pass

    def end(self, attempt, outcome):
        follow_up = self.balancer.record_outcome(attempt, outcome, self.now)
        for other in follow_up.cancel:
            self.events = [event for event in self.events if event.attempt is not other]
            if other.outcome is None:
                self.balancer.record_outcome(other, Outcome.CANCELLED, self.now)
        if not attempt.request.concluded:
            self.carry_out(attempt.request, follow_up.decision)


GROUPS = ["all", "zone", "cell"]
CLASSES = [
    (Idempotency.IDEMPOTENT, "all"),
    (Idempotency.NOT_IDEMPOTENT, "all"),
    *((Idempotency.KEYED, group) for group in GROUPS),
]


@pytest.mark.parametrize("idempotency, group", CLASSES)
@pytest.mark.parametrize("hedging_enabled", [True, False])
def test_no_sequence_of_events_executes_an_effect_twice(idempotency, group, hedging_enabled):
    retries = 0
    for seed in range(30):
        simulation = Simulation(seed, idempotency, group, hedging_enabled=hedging_enabled)
        breaches = simulation.run()
        assert not breaches, (seed, breaches)
        retries += simulation.retries
    assert retries > 30  # else nothing was shown


@pytest.mark.parametrize("group", GROUPS)
def test_the_check_finds_a_window_that_is_not_kept(group):
    found = (Simulation(seed, Idempotency.KEYED, group, keeps_send_by=False).run() for seed in range(60))
    assert any("past its window" in breaches for breaches in found)


def test_the_check_finds_a_group_that_is_not_kept(monkeypatch):
    monkeypatch.setattr(RetryPolicy, "within_dedup_group", lambda *_: True)
    found = (Simulation(seed, Idempotency.KEYED, "zone").run() for seed in range(30))
    assert any("outside its group" in breaches for breaches in found)


@pytest.mark.parametrize(
    "taken_for_proof, breach",
    [
        (Outcome.ERROR, "a second attempt"),
        (Outcome.CONNECTION_LOST, "a second attempt"),
        (Outcome.TIMED_OUT, "rejected though possibly executed"),
    ],
)
def test_the_check_finds_an_outcome_that_is_taken_for_proof(monkeypatch, taken_for_proof, breach):
    outcomes = retry_policy.NEVER_EXECUTED | {taken_for_proof}
    monkeypatch.setattr(retry_policy, "NEVER_EXECUTED", outcomes)
    found = (Simulation(seed, Idempotency.NOT_IDEMPOTENT, "all").run() for seed in range(30))
    assert any(breach in breaches for breaches in found)
