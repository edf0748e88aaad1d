"""What discovery has counts as told 6 s after it could be reached: calls and watches on a driven clock."""

from itertools import product
from types import SimpleNamespace

import pytest
from helpers import S, FakeReactor
from twisted.internet.defer import Deferred
from twisted.internet.error import ConnectionRefusedError, TimeoutError
from twisted.python.failure import Failure

from ivystack.net.endpoint_watch import EndpointWatch, UpdateResult
from ivystack.net.deadlines import DeadlineQueue
from ivystack.configuration.instance import InstanceConfiguration

TOLD = 6 * S
MS = 1000


LIST = b'{"generation":9,"reset":true,"instances":[]}\n'


class Agent:
    """A service that each call to fails as its script says, until it can be reached; then it answers at once.

    The kinds: refused; a connect that never comes up (2 s); silent before the head or after it; a status
    other than 200; a reset after the head; a line cut off by silence; a line that can't be read."""

    def __init__(self, reactor, kinds, back_at):
        self.reactor, self.kinds, self.back_at = reactor, list(kinds), back_at
        self.calls: list[int] = []
        self.discovery = None

    def request(self, method, url):
        made, now = Deferred(lambda _: None), round(self.reactor.seconds() * S)
        self.calls.append(now)
        if now >= self.back_at:
            self.reactor.callLater(0.01, self.opens, made, 200, LIST)
            return made
        kind = self.kinds.pop(0) if len(self.kinds) > 1 else self.kinds[0]
        if kind == "refused":
            self.reactor.callLater(0.001, self.fails, made, ConnectionRefusedError())
        elif kind == "no-connect":
            self.reactor.callLater(2, self.fails, made, TimeoutError())
        elif kind == "status":
            self.reactor.callLater(0.001, self.opens, made, 503, b"")
        elif kind == "silent-after-head":
            self.reactor.callLater(0.001, self.opens, made, 200, b"")
        elif kind == "reset":
            self.reactor.callLater(0.001, self.opens, made, 200, None)
        elif kind == "half-line":
            self.reactor.callLater(0.001, self.opens, made, 200, b'{"generation":9,"res')
        elif kind == "unreadable":
            self.reactor.callLater(0.001, self.opens, made, 200, b"noise\n")
        else:
            assert kind == "silent"
        return made

    def fails(self, made, why):
        if not made.called:
            made.errback(Failure(why))

    def opens(self, made, code, data):
        if made.called:
            return

        def deliver(body):
            body.transport = SimpleNamespace(loseConnection=lambda: None, disconnecting=False)
            if data is None:
                self.reactor.callLater(0.001, body.connectionLost)
            elif data:
                body.dataReceived(data)

        made.callback(SimpleNamespace(code=code, deliverBody=deliver))


def told_at(mode, grace, kinds, back_at, seed=1):
    """When the list is told, and the calls made by then."""
    reactor = FakeReactor()
    reactor.advance(1000)
    start = round(reactor.seconds() * S)
    rules = {"ask_within": 10**10, "stop_sending_within": grace * 10**6}
    settings = InstanceConfiguration(seed, {"discovery": mode, "rules": rules})
    deadlines, news = DeadlineQueue(reactor, lambda: round(reactor.seconds() * S)), []
    agent = Agent(reactor, kinds, start + back_at)
    made = EndpointWatch(
        reactor, deadlines, deadlines.now, settings.poll_backoff, ("127.0.0.1", 1),
        lambda entries, whole: news.append(deadlines.now() - start) or UpdateResult(True, False),
    )  # fmt: skip
    made.agent = agent
    made.request_watch()
    for _ in range(200 * 30):
        if news:
            return news[0], [at - start for at in agent.calls]
        reactor.advance(0.005)
    raise AssertionError("never told")


KINDS = ["refused", "no-connect", "silent", "silent-after-head", "status", "reset", "half-line", "unreadable"]


@pytest.mark.parametrize("mode, grace", [("push", 1000), ("push", 250), ("ask", 1000), ("ask", 250)])
@pytest.mark.parametrize("kind", KINDS)
def test_each_failure_and_each_moment_of_the_return_keep_the_six_seconds(mode, grace, kind):
    for back_at in range(0, 12 * S, 700 * MS):
        at, calls = told_at(mode, grace, [kind], back_at, seed=back_at)
        assert at <= back_at + TOLD, (back_at, at, calls)


@pytest.mark.parametrize("mode", ["push", "ask"])
def test_failures_of_two_kinds_in_turn_keep_them_too(mode):
    for number, (one, other) in enumerate(product(KINDS, KINDS)):
        for back_at in (6_100 * MS, 9_900 * MS):
            at, calls = told_at(mode, 1000, [one, other, one, other], back_at, seed=number)
            assert at <= back_at + TOLD, (one, other, back_at, at, calls)


def test_calls_that_are_asked_for_stay_spaced():
    # A service of bounded capacity that turns all away: a fleet's calls must not come in a loop, or in step.
    firsts = []
    for seed in range(40):
        _, calls = told_at("ask", 1000, ["refused"], 20 * S, seed)
        gaps = [later - earlier for earlier, later in zip(calls, calls[1:], strict=False)]
        assert min(gaps) >= 700 * MS and sum(gap >= 1500 * MS for gap in gaps) >= len(gaps) // 2
        firsts.append(calls[-1])
    assert max(firsts) - min(firsts) > S


@pytest.mark.parametrize("mode", ["push", "ask"])
def test_a_watch_that_falls_silent_is_told_within_them(mode):
    # It is heard for the last time up to an empty line before it falls silent.
    reactor, calls = FakeReactor(), []
    reactor.advance(1000)
    settings = InstanceConfiguration(
        1, {"discovery": mode, "rules": {"ask_within": 10**10, "stop_sending_within": 10**9}}
    )
    deadlines = DeadlineQueue(reactor, lambda: round(reactor.seconds() * S))
    made = EndpointWatch(reactor, deadlines, deadlines.now, settings.poll_backoff, ("127.0.0.1", 1), None)
    made.request_watch = lambda: calls.append(deadlines.now())
    silent = deadlines.now()
    made.note_activity()
    for _ in range(1200):
        reactor.advance(0.005)
    assert calls and calls[0] <= silent + TOLD - 500 * MS
