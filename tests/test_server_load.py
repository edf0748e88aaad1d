"""Tests of listed weights that fall with load, and of servers' load reports."""

from collections import Counter
from math import inf, nan

from helpers import S, make_balancer, make_servers, make_weighted_servers

from ivystack.balancing.server_load import LoadEstimator, NO_QUEUE_LOAD


def placed_names(balancer, keys=400):
    return [[server.name for server in balancer.placement.replicas_and_spares(key, 2)] for key in range(keys)]


def test_weights_that_change_with_load_move_no_key():
    balancer = make_balancer(make_weighted_servers(*[4.0] * 9), live_weights=True)
    names_before = placed_names(balancer)
    balancer.update_endpoints(make_weighted_servers(1.0, 2.0, 0.4, 4.0, 3.1, 1.3, 0.1, 0.8, 2.0), False, S)
    assert placed_names(balancer) == names_before


def test_a_process_that_starts_under_load_finds_the_same_sizes():
    # Guards the placement: one idle server of a machine kind is enough to determine the kind's size.
    old, new = (
        make_balancer(make_weighted_servers(*[4.0] * 9), live_weights=True),
        make_balancer(live_weights=True),
    )
    busy = make_weighted_servers(1.0, 2.0, 0.4, 3.9, 3.1, 1.3, 0.1, 0.8, 2.0)
    old.update_endpoints(busy, True, S)
    new.update_endpoints(make_weighted_servers(*[server.weight for server in busy]), True, S)
    assert placed_names(new) == placed_names(old)


def test_kinds_of_unequal_size_get_keys_in_proportion():
    # Guards small servers against an even share of the keys, which would be several times their own.
    small, large = make_weighted_servers(*[1.0] * 10), make_weighted_servers(*[3.5] * 20, kind=1)[10:]
    balancer = make_balancer([*small, *large], live_weights=True)
    shares = Counter(name for replicas in placed_names(balancer, 6000) for name in replicas[:2])
    assert 2.9 < sum(shares[n.name] for n in large) / sum(shares[n.name] for n in small) < 3.9
    assert all(0.6 < shares[server.name] * 45 / 12000 < 1.5 for server in small[2:])


def test_unusable_weights_are_ignored():
    balancer = make_balancer(make_weighted_servers(4.0, 4.0, 4.0, 4.0), live_weights=True)
    names_before = placed_names(balancer)
    balancer.update_endpoints(make_weighted_servers(0.0, -1.0, nan, inf), False, S)
    assert placed_names(balancer) == names_before and all(
        server.load == 0 for server in balancer.placement.slots
    )
    # Unusable weights are also ignored if no other weight was ever listed.
    assert placed_names(make_balancer(make_weighted_servers(0.0, nan, 0.0), live_weights=True))


def test_the_processs_own_attempts_are_added_to_the_listed_load():
    estimator, server = LoadEstimator(True), make_servers(1)[0]
    estimator.record_listed_weight(server, 1.0, 0)
    server.in_flight = 3
    assert estimator.load(server, 0) == 3


def test_a_report_gives_the_requests_in_flight_or_a_lower_bound_from_those_waiting():
    estimator, server = LoadEstimator(True), make_servers(1, weight=2.0)[0]
    estimator.record_report(server, {"active": 6, "waiting": 1}, S)
    assert (server.load, server.load_reported_at) == (3.0, S)
    estimator.record_report(server, {"waiting": 4}, 2 * S)
    assert (server.load, server.load_reported_at) == (NO_QUEUE_LOAD + 2.0, 2 * S)
    # This report contains no information about requests in flight.
    estimator.record_report(server, {"waiting": 0, "cpu": 0.1}, 3 * S)
    assert server.load_reported_at == 2 * S
