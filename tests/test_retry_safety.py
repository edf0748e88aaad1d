"""Simulation: no sequence of outcomes, delays and late connections executes a request's effect twice."""

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
REQUESTS = 40  # per run, one after another
# Possible outcomes of an attempt that has reached its server.
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
    """Servers that drop repeats exactly as long as configured, and record violations by the sender."""

    def __init__(self, idempotency, group):
        self.idempotency, self.group = idempotency, group
        # Possibly executed attempts: time, zone and cell of each arrival.
        self.arrivals: dict[Request, list[tuple[int, str, int]]] = {}
        self.violations: list[str] = []

    def receive(self, request, server, now):
        earlier = self.arrivals.setdefault(request, [])
        if earlier and self.idempotency is Idempotency.NOT_IDEMPOTENT:
            self.violations.append("a second attempt")
        elif earlier and self.idempotency is Idempotency.KEYED:
            if now - earlier[0][0] > WINDOW:
                self.violations.append("past its window")
            location = {"all": (), "zone": (server.zone,), "cell": (server.zone, server.cell)}[self.group]
            if location and any(location != (zone, cell)[: len(location)] for _, zone, cell in earlier):
                self.violations.append("outside its group")
        earlier.append((now, server.zone, server.cell))

    def reject(self, request, arrival):
        """Record that the server does not execute the attempt that arrived."""
        self.arrivals[request].remove(arrival)

    def record_rejection(self, request):
        may_be_repeated = self.idempotency is Idempotency.IDEMPOTENT or (
            self.idempotency is Idempotency.KEYED and self.group == "all"
        )
        if self.arrivals.get(request) and not may_be_repeated:
            self.violations.append("rejected though possibly executed")


@dataclass
class Event:
    """An event of an attempt: its connection is established (no outcome), or its outcome."""

    at: int
    tie_break: float
    attempt: Attempt
    timeout_at: int
    outcome: Outcome | None = None


@dataclass
class Simulation:
    """Runs requests one after another, with outcomes, delays and late connections drawn from the seed."""

    seed: int
    idempotency: Idempotency
    group: str
    enforces_send_by: bool = True  # whether attempts are withheld after their `send_by` time
    hedging_enabled: bool = True
    now: int = S
    retries: int = 0
    events: list[Event] = field(default_factory=list)

    def __post_init__(self):
        self.rng, self.servers = Random(self.seed), StrictServers(self.idempotency, self.group)
        listed = make_servers(6)
        for index, server in enumerate(listed):
            server.zone, server.cell = "ab"[index // 3], index // 2
        self.balancer = make_balancer(
            listed, max_attempts=5, hedging_enabled=self.hedging_enabled, clock_granularity=MS
        )

    def run(self):
        """Run the requests and return the violations."""
        request_class = RequestClass(
            "m", self.idempotency, S, dedup_group=DedupGroup(self.group), dedup_window=WINDOW
        )
        for _ in range(REQUESTS):
            request = Request(request_class, self.now, self.now + 2 * S, self.rng.getrandbits(40))
            self.apply_decision(request, self.balancer.route(request, self.now))
            while self.events or not request.concluded:
                self.step(request)
            self.now += self.rng.randrange(S)
        return self.servers.violations

    def step(self, request):
        wakeup = self.balancer.next_wakeup(self.now)
        for due in wakeup.due:
            if due is request:
                self.apply_decision(request, self.balancer.route(request, self.now))
        if wakeup.due:
            return
        self.events.sort(key=lambda event: (event.at, event.tie_break))
        due_times = [event.at for event in self.events[:1]]
        if wakeup.delay is not None:
            due_times.append(self.now + wakeup.delay)
        assert due_times, "no event is left that could conclude the request"
        self.now = max(self.now, min(due_times))
        if self.events and self.events[0].at <= self.now:
            event = self.events.pop(0)
            if event.attempt.outcome is None:
                self.process_event(event)

    def process_event(self, event):
        if event.outcome is not None:
            self.end_attempt(event.attempt, event.outcome)
        elif self.now >= event.timeout_at:
            self.end_attempt(event.attempt, Outcome.CONNECTION_REFUSED)
        elif self.enforces_send_by and self.now >= event.attempt.send_by:
            self.end_attempt(event.attempt, Outcome.NOT_SENT)
        else:
            self.reach_server(event)

    def reach_server(self, event):
        attempt = event.attempt
        self.servers.receive(attempt.request, attempt.server, self.now)
        outcome = self.rng.choice(OUTCOMES)
        time_left = event.timeout_at - self.now
        duration = time_left
        if outcome is not Outcome.TIMED_OUT:
            duration = self.rng.randrange(min(400 * MS, time_left) + 1)
        if outcome is Outcome.OVERLOADED:
            self.servers.reject(attempt.request, (self.now, attempt.server.zone, attempt.server.cell))
        self.events.append(Event(self.now + duration, self.rng.random(), attempt, event.timeout_at, outcome))

    def apply_decision(self, request, decision):
        match decision:
            case Send(timeout_at=timeout_at):
                delay = self.rng.choice((0, 0, self.rng.randrange(600 * MS)))
                self.events.append(
                    Event(self.now + delay, self.rng.random(), request.attempts[-1], timeout_at)
                )
                self.retries += len(request.attempts) > 1
            case Reject():
                request.concluded = True
                self.servers.record_rejection(request)
            case Fail() | Done():
                request.concluded = True
            case Wait():
                pass

    def end_attempt(self, attempt, outcome):
        follow_up = self.balancer.record_outcome(attempt, outcome, self.now)
        for other in follow_up.cancel:
            self.events = [event for event in self.events if event.attempt is not other]
            if other.outcome is None:
                self.balancer.record_outcome(other, Outcome.CANCELLED, self.now)
        if not attempt.request.concluded:
            self.apply_decision(attempt.request, follow_up.decision)


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
        violations = simulation.run()
        assert not violations, (seed, violations)
        retries += simulation.retries
    assert retries > 30  # otherwise the test would prove nothing


@pytest.mark.parametrize("group", GROUPS)
def test_the_check_detects_a_window_that_is_not_respected(group):
    all_violations = (
        Simulation(seed, Idempotency.KEYED, group, enforces_send_by=False).run() for seed in range(60)
    )
    assert any("past its window" in violations for violations in all_violations)


def test_the_check_detects_a_group_that_is_not_respected(monkeypatch):
    monkeypatch.setattr(RetryPolicy, "within_dedup_group", lambda *_: True)
    all_violations = (Simulation(seed, Idempotency.KEYED, "zone").run() for seed in range(30))
    assert any("outside its group" in violations for violations in all_violations)


@pytest.mark.parametrize(
    "false_proof, violation",
    [
        (Outcome.ERROR, "a second attempt"),
        (Outcome.CONNECTION_LOST, "a second attempt"),
        (Outcome.TIMED_OUT, "rejected though possibly executed"),
    ],
)
def test_the_check_detects_an_outcome_that_is_wrongly_taken_as_proof(monkeypatch, false_proof, violation):
    outcomes = retry_policy.NEVER_EXECUTED | {false_proof}
    monkeypatch.setattr(retry_policy, "NEVER_EXECUTED", outcomes)
    all_violations = (Simulation(seed, Idempotency.NOT_IDEMPOTENT, "all").run() for seed in range(30))
    assert any(violation in violations for violations in all_violations)
