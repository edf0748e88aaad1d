"""The endpoint list must arrive within 6 s after discovery becomes reachable, on a simulated clock."""

from itertools import product
from types import SimpleNamespace

import pytest
from helpers import S, FakeReactor
from twisted.internet.defer import Deferred
from twisted.internet.error import ConnectionRefusedError, TimeoutError
from twisted.python.failure import Failure

from ivystack.net.endpoint_watch import EndpointWatch, UpdateResult
from ivystack.net.deadlines import DeadlineQueue
from ivystack.net.list_freshness import ListFreshness
from ivystack.configuration.instance import InstanceConfiguration

UPDATE_LIMIT = 6 * S  # from when discovery is reachable until the list must have been received
MS = 1000


LIST = b'{"generation":9,"reset":true,"instances":[]}\n'


class Agent:
    """A stand-in for the HTTP agent: requests fail in the given ways until `reachable_at`, then they succeed.

    The failures: connection refused; connect timeout (2 s); silence before or after the response head; a
    status other than 200; a reset after the head; silence within a line; a line that can't be parsed.
    """

    def __init__(self, reactor, failures, reachable_at):
        self.reactor, self.failures, self.reachable_at = reactor, list(failures), reachable_at
        self.request_times: list[int] = []
        self.discovery = self.connected_at = None

    def read_now(self):
        """Nothing arrives but what the reactor delivers."""
        return False

    def end_call(self):
        pass

    def request(self, method, url):
        response, now = Deferred(lambda _: None), round(self.reactor.seconds() * S)
        self.request_times.append(now)
        if now >= self.reachable_at:
            self.reactor.callLater(0.01, self.respond, response, 200, LIST)
            return response
        failure = self.failures.pop(0) if len(self.failures) > 1 else self.failures[0]
        if failure == "refused":
            self.reactor.callLater(0.001, self.fail, response, ConnectionRefusedError())
        elif failure == "no-connect":
            self.reactor.callLater(2, self.fail, response, TimeoutError())
        elif failure == "status":
            self.reactor.callLater(0.001, self.respond, response, 503, b"")
        elif failure == "silent-after-head":
            self.reactor.callLater(0.001, self.respond, response, 200, b"")
        elif failure == "reset":
            self.reactor.callLater(0.001, self.respond, response, 200, None)
        elif failure == "half-line":
            self.reactor.callLater(0.001, self.respond, response, 200, b'{"generation":9,"res')
        elif failure == "unreadable":
            self.reactor.callLater(0.001, self.respond, response, 200, b"noise\n")
        else:
            assert failure == "silent"
        return response

    def fail(self, response, error):
        if not response.called:
            response.errback(Failure(error))

    def respond(self, response, code, data):
        if response.called:
            return

        def deliver(body):
            body.transport = SimpleNamespace(loseConnection=lambda: None, disconnecting=False)
            if data is None:
                self.reactor.callLater(0.001, body.connectionLost)
            elif data:
                body.dataReceived(data)

        response.callback(SimpleNamespace(code=code, deliverBody=deliver))


def received_at(mode, grace, failures, reachable_at, seed=1):
    """Return when the list was received, and the times of the requests up to then."""
    reactor = FakeReactor()
    reactor.advance(1000)
    start = round(reactor.seconds() * S)
    rules = {"ask_within": 10**10, "stop_sending_within": grace * 10**6}
    settings = InstanceConfiguration(seed, {"discovery": mode, "rules": rules})
    deadlines, received = DeadlineQueue(reactor, lambda: round(reactor.seconds() * S)), []
    agent = Agent(reactor, failures, start + reachable_at)
    watch = EndpointWatch(
        reactor, deadlines, deadlines.now, settings.poll_backoff, ("127.0.0.1", 1),
        lambda entries, is_complete: received.append(deadlines.now() - start) or UpdateResult(True, False),
        ListFreshness(settings.drain_grace, settings.lists_are_pushed),
    )  # fmt: skip
    watch.agent = agent
    watch.request_watch()
    for _ in range(200 * 30):
        if received:
            return received[0], [sent_at - start for sent_at in agent.request_times]
        reactor.advance(0.005)
    raise AssertionError("the list was never received")


FAILURES = [
    "refused",
    "no-connect",
    "silent",
    "silent-after-head",
    "status",
    "reset",
    "half-line",
    "unreadable",
]


@pytest.mark.parametrize("mode, grace", [("push", 1000), ("push", 250), ("ask", 1000), ("ask", 250)])
@pytest.mark.parametrize("failure", FAILURES)
def test_the_list_arrives_within_six_seconds_after_each_kind_of_failure(mode, grace, failure):
    for reachable_at in range(0, 12 * S, 700 * MS):
        at, calls = received_at(mode, grace, [failure], reachable_at, seed=reachable_at)
        assert at <= reachable_at + UPDATE_LIMIT, (reachable_at, at, calls)


@pytest.mark.parametrize("mode", ["push", "ask"])
def test_the_list_arrives_within_six_seconds_after_alternating_failures(mode):
    for number, (first, second) in enumerate(product(FAILURES, FAILURES)):
        for reachable_at in (6_100 * MS, 9_900 * MS):
            at, calls = received_at(mode, 1000, [first, second, first, second], reachable_at, seed=number)
            assert at <= reachable_at + UPDATE_LIMIT, (first, second, reachable_at, at, calls)


def test_poll_requests_stay_spaced_and_out_of_step():
    # Discovery has a fixed capacity and refuses all requests: a fleet must not retry at once or in step.
    last_calls = []
    for seed in range(40):
        _, calls = received_at("ask", 1000, ["refused"], 20 * S, seed)
        gaps = [later - earlier for earlier, later in zip(calls, calls[1:], strict=False)]
        assert min(gaps) >= 700 * MS and sum(gap >= 1500 * MS for gap in gaps) >= len(gaps) // 2
        last_calls.append(calls[-1])
    assert max(last_calls) - min(last_calls) > S


@pytest.mark.parametrize("mode", ["push", "ask"])
def test_a_silent_watch_is_requested_again_within_six_seconds(mode):
    # The last line, a heartbeat, arrives just before the watch falls silent.
    reactor, calls = FakeReactor(), []
    reactor.advance(1000)
    settings = InstanceConfiguration(
        1, {"discovery": mode, "rules": {"ask_within": 10**10, "stop_sending_within": 10**9}}
    )
    deadlines = DeadlineQueue(reactor, lambda: round(reactor.seconds() * S))
    watch = EndpointWatch(
        reactor,
        deadlines,
        deadlines.now,
        settings.poll_backoff,
        ("127.0.0.1", 1),
        None,
        ListFreshness(settings.drain_grace, settings.lists_are_pushed),
    )
    watch.request_watch = lambda: calls.append(deadlines.now())
    silent_since = deadlines.now()
    watch.record_activity(silent_since)
    for _ in range(1200):
        reactor.advance(0.005)
    assert calls and calls[0] <= silent_since + UPDATE_LIMIT - 500 * MS
