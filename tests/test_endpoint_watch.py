"""The endpoint list must arrive within 6 s after discovery becomes reachable, on a simulated clock."""

from itertools import product
from types import SimpleNamespace

import pytest
from helpers import S, Reactor
from twisted.internet.defer import Deferred
from twisted.internet.error import ConnectionRefusedError, TimeoutError
from twisted.python.failure import Failure

from ivystack.net.endpoint_watch import EndpointWatch, UpdateResult
from ivystack.net.deadlines import DeadlineQueue
from ivystack.configuration.instance import InstanceConfiguration

UPDATE_LIMIT = 6 * S  # from when discovery is reachable until the list must have been received
MS = 1000


LIST = b'{"generation":9,"reset":true,"instances":[]}\n'


class Agent:
    """A stand-in for the HTTP agent: requests fail in the given ways until `back_at`, then they succeed.

    The failures: connection refused; connect timeout (2 s); silence before or after the response head; a
    status other than 200; a reset after the head; silence within a line; a line that can't be parsed.
    """

    def __init__(self, reactor, kinds, back_at):
        self.reactor, self.kinds, self.back_at = reactor, list(kinds), back_at
        self.calls: list[int] = []
        self.discovery = None

    def request(self, method, url):
        response, now = Deferred(lambda _: None), round(self.reactor.seconds() * S)
        self.calls.append(now)
        if now >= self.back_at:
            self.reactor.callLater(0.01, self.opens, response, 200, LIST)
            return response
        kind = self.kinds.pop(0) if len(self.kinds) > 1 else self.kinds[0]
        if kind == "refused":
            self.reactor.callLater(0.001, self.fails, response, ConnectionRefusedError())
        elif kind == "no-connect":
            self.reactor.callLater(2, self.fails, response, TimeoutError())
        elif kind == "status":
            self.reactor.callLater(0.001, self.opens, response, 503, b"")
        elif kind == "silent-after-head":
            self.reactor.callLater(0.001, self.opens, response, 200, b"")
        elif kind == "reset":
            self.reactor.callLater(0.001, self.opens, response, 200, None)
        elif kind == "half-line":
            self.reactor.callLater(0.001, self.opens, response, 200, b'{"generation":9,"res')
        elif kind == "unreadable":
            self.reactor.callLater(0.001, self.opens, response, 200, b"noise\n")
        else:
            assert kind == "silent"
        return response

    def fails(self, response, error):
        if not response.called:
            response.errback(Failure(error))

    def opens(self, response, code, data):
        if response.called:
            return

        def deliver(body):
            body.transport = SimpleNamespace(loseConnection=lambda: None, disconnecting=False)
            if data is None:
                self.reactor.callLater(0.001, body.connectionLost)
            elif data:
                body.dataReceived(data)

        response.callback(SimpleNamespace(code=code, deliverBody=deliver))


def received_at(mode, grace, kinds, back_at, seed=1):
    """Return when the list was received, and the times of the requests up to then."""
    reactor = Reactor()
    reactor.advance(1000)
    start = round(reactor.seconds() * S)
    rules = {"ask_within": 10**10, "stop_sending_within": grace * 10**6}
    settings = InstanceConfiguration(seed, {"discovery": mode, "rules": rules})
    deadlines, received = DeadlineQueue(reactor, lambda: round(reactor.seconds() * S)), []
    agent = Agent(reactor, kinds, start + back_at)
    watch = EndpointWatch(
        reactor, deadlines, deadlines.now, settings.poll_backoff, ("127.0.0.1", 1),
        lambda entries, is_complete: received.append(deadlines.now() - start) or UpdateResult(True, False),
    )  # fmt: skip
    watch.agent = agent
    watch.request_watch()
    for _ in range(200 * 30):
        if received:
            return received[0], [sent_at - start for sent_at in agent.calls]
        reactor.advance(0.005)
    raise AssertionError("the list was never received")


KINDS = ["refused", "no-connect", "silent", "silent-after-head", "status", "reset", "half-line", "unreadable"]


@pytest.mark.parametrize("mode, grace", [("push", 1000), ("push", 250), ("ask", 1000), ("ask", 250)])
@pytest.mark.parametrize("kind", KINDS)
def test_the_list_arrives_within_six_seconds_after_each_kind_of_failure(mode, grace, kind):
    for back_at in range(0, 12 * S, 700 * MS):
        at, calls = received_at(mode, grace, [kind], back_at, seed=back_at)
        assert at <= back_at + UPDATE_LIMIT, (back_at, at, calls)


@pytest.mark.parametrize("mode", ["push", "ask"])
def test_the_list_arrives_within_six_seconds_after_alternating_failures(mode):
    for number, (first, second) in enumerate(product(KINDS, KINDS)):
        for back_at in (6_100 * MS, 9_900 * MS):
            at, calls = received_at(mode, 1000, [first, second, first, second], back_at, seed=number)
            assert at <= back_at + UPDATE_LIMIT, (first, second, back_at, at, calls)


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
    reactor, calls = Reactor(), []
    reactor.advance(1000)
    settings = InstanceConfiguration(
        1, {"discovery": mode, "rules": {"ask_within": 10**10, "stop_sending_within": 10**9}}
    )
    deadlines = DeadlineQueue(reactor, lambda: round(reactor.seconds() * S))
    watch = EndpointWatch(reactor, deadlines, deadlines.now, settings.poll_backoff, ("127.0.0.1", 1), None)
    watch.request_watch = lambda: calls.append(deadlines.now())
    silent_since = deadlines.now()
    watch.record_activity()
    for _ in range(1200):
        reactor.advance(0.005)
    assert calls and calls[0] <= silent_since + UPDATE_LIMIT - 500 * MS
