"""Tests of how idle connections are closed in a large fleet."""

from helpers import S, make_balancer, make_request, make_servers

from ivystack.model import CloseIdleConnections, Outcome, Wakeup


def test_idle_connections_are_closed_early_in_a_large_fleet():
    balancer = make_balancer(make_servers(4), process_count=320)
    request = make_request()
    server = balancer.route(request, 0).server
    balancer.record_outcome(request.attempts[0], Outcome.SUCCEEDED, S)
    balancer.timers.clear()
    assert balancer.next_wakeup(S) == Wakeup(3 * S, [])
    assert balancer.next_wakeup(4 * S).due == [CloseIdleConnections(server)]
