"""Tests of the ejection and probing of servers with consecutive failures."""

from helpers import S, make_balancer, make_request, make_servers

from ivystack.balancing.outlier_detection import EJECT_AFTER, PROBE_BACKOFF_US
from ivystack.model import Idempotency, Outcome, Request, RequestClass, Send, Server


def test_consecutive_failures_eject_a_server_and_an_answer_readmits_it():
    balancer = make_balancer(make_servers(6))
    server = balancer.placement.replicas_and_spares(7, 2)[0]
    for _ in range(3):
        balancer.outliers.record_failure(server.health, False, 0)
    assert all(balancer.select_server(make_request(), 10) is not server for _ in range(20))
    # The pause is over, but no request counts as skipped: that happens on arrival, and all arrived earlier.
    assert balancer.select_server(make_request(), S) is not server
    server.health.skipped_requests = 4
    assert balancer.select_server(make_request(), S) is server
    balancer.outliers.record_return(server, S)
    balancer.outliers.record_success(server.health)
    assert balancer.outliers.is_healthy(server.health)


def test_a_rejection_by_a_full_server_is_no_failure():
    balancer = make_balancer(make_servers(4))
    request = make_request()
    server = balancer.route(request, 0).server
    balancer.record_outcome(request.attempts[0], Outcome.OVERLOADED, 10)
    assert server.health.consecutive_failures == 0
    balancer.next_wakeup(10)
    balancer.record_outcome(request.attempts[0], Outcome.CONNECTION_REFUSED, 10)
    assert server.health.consecutive_failures == 1


def test_a_server_that_fails_one_class_serves_the_others_and_is_probed_with_it():
    balancer = make_balancer(make_servers(1))
    server = balancer.servers["n00"]
    failing_class, served_class = (
        RequestClass("bad", Idempotency.KEYED, S, dedup_window=9 * S),
        RequestClass("good", Idempotency.IDEMPOTENT, S),
    )
    for _ in range(EJECT_AFTER):
        request = Request(failing_class, 0, S, 7)
        assert isinstance(balancer.route(request, 0), Send)
        balancer.record_outcome(request.attempts[0], Outcome.ERROR, 10)
    assert (
        balancer.select_server(Request(failing_class, 10, S, 7), 10) is None
        and balancer.select_server(Request(served_class, 10, S, 7), 10) is server
    )
    later = PROBE_BACKOFF_US + 20
    picks = [balancer.select_server(Request(failing_class, later, later + S, 7), later) for _ in range(3)]
    assert picks[-1] is server


def test_a_server_that_refused_by_chance_does_not_start_slowly():
    balancer = make_balancer([Server("a", started_at=1)], initial_fraction=0.1, warm_up_time=100 * S)
    server = balancer.servers["a"]
    for at in (S, S + 1):
        balancer.outliers.record_failure(server.health, True, at)
    balancer.outliers.record_failure(server.health, False, 2 * S)  # the first probe, answered below
    balancer.outliers.record_return(server, 2 * S)
    balancer.outliers.record_success(server.health)
    assert server.started_at == 1
