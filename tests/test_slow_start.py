"""Tests of slow start: servers that have just started get a growing part of their requests."""

from collections import Counter

from helpers import S, make_balancer, make_ranked_request, make_request, make_servers, make_weighted_servers

from ivystack.balancing.concurrency_limit import SHARE_FACTOR
from ivystack.balancing.server_load import LOAD_MAX_AGE_US
from ivystack.model import Outcome, Send, Server


def test_a_warming_server_gets_its_warm_fraction_of_its_usual_load():
    balancer = make_balancer(
        [*make_servers(5, concurrency_limit=999), Server("cold", concurrency_limit=999, started_at=1)],
        initial_fraction=0.1,
        warm_up_time=100 * S,
    )
    sent = Counter(balancer.route(make_request(key=key), 2).server.name for key in range(400))
    assert 1 <= sent["cold"] <= 0.25 * sent.total() / 6
    balancer = make_balancer(
        [Server(f"c{i}", concurrency_limit=999, started_at=1) for i in range(6)],
        initial_fraction=0.1,
        warm_up_time=100 * S,
    )
    # Here all servers are warming up.
    assert sum(isinstance(balancer.route(make_request(key=key), 2), Send) for key in range(400)) < 80


def test_a_warming_server_does_not_take_requests_that_other_replicas_cannot():
    # Otherwise the part of full or lost replicas would be added to that of the warming server.
    balancer = make_balancer(make_servers(6), initial_fraction=0.5, warm_up_time=20 * S, overload_factor=2.0)
    cold, other = balancer.placement.replicas(7, 2)
    cold.started_at, other.admitted_share = 2 * S, 0.0
    picks = Counter(balancer.select_server(make_ranked_request(2 * S), 2 * S) for _ in range(200))
    assert 60 < picks[cold] < 140  # only the requests for which it is the preferred replica
    cold.started_at = 0
    assert {balancer.select_server(make_ranked_request(2 * S), 2 * S) for _ in range(50)} == {cold}
    # With a greater overload factor, the warming server takes the other replica's requests too.
    balancer = make_balancer(make_servers(6), initial_fraction=0.5, warm_up_time=20 * S, overload_factor=4.0)
    cold, other = balancer.placement.replicas(7, 2)
    cold.started_at, other.admitted_share = 2 * S, 0.0
    assert {balancer.select_server(make_ranked_request(2 * S), 2 * S) for _ in range(50)} == {cold}


def test_a_rejection_by_a_warming_server_lowers_its_share_further():
    balancer = make_balancer(make_servers(4), initial_fraction=0.9, warm_up_time=20 * S, live_weights=True)
    request = make_request()
    server = balancer.route(request, 0).server
    server.started_at = 1
    balancer.record_outcome(request.attempts[0], Outcome.OVERLOADED, 10)
    assert server.admitted_share == SHARE_FACTOR


def test_a_warming_server_under_load_takes_less():
    # Guards a warming server while the fleet's total traffic exceeds its capacity.
    balancer = make_balancer(
        make_weighted_servers(*[4.0] * 6), live_weights=True, initial_fraction=0.5, warm_up_time=20 * S
    )
    server = balancer.placement.slots[0]
    server.started_at = 1
    assert balancer.slow_start.warm_fraction(server, 1) == 0.5
    server.load, server.load_reported_at = 5.0, S
    assert balancer.slow_start.warm_fraction(server, S) < 0.15
    assert balancer.slow_start.warm_fraction(server, S + LOAD_MAX_AGE_US) > 0.5  # the load is too old
    server.started_at = 0
    assert balancer.slow_start.warm_fraction(server, S) == 1  # load does not affect a warm server
