"""Tests of the replicas of hot keys."""

from collections import Counter

from helpers import make_balancer, make_request, make_servers, make_weighted_servers

from ivystack.model import Server


def test_a_hot_key_gets_more_replicas_and_keeps_the_first_ones():
    balancer = make_balancer(make_servers(60))
    for number in range(64):
        balancer.hot_keys.recent.append(7 if number % 8 == 0 else number + 100)
    assert (
        balancer.hot_keys.replica_count(7, 2, 60) == 20 and balancer.hot_keys.replica_count(101, 2, 60) == 2
    )
    few, many = balancer.placement.replicas(7, 2), balancer.placement.replicas(7, 20)
    assert all(server in many or balancer.placement.slots.index(server) < 20 for server in few)
    assert len({balancer.select_server(make_request(), 0) for _ in range(600)}) == 20


def test_requests_for_a_hot_key_are_spread_by_server_size():
    # Guards small servers, above all warming ones, against a large server's part of a hot key's traffic.
    balancer = make_balancer(
        [*make_weighted_servers(*[4.0] * 8), *[Server(f"s{i}", 1, 1.0) for i in range(4)]], live_weights=True
    )
    for key in range(200):
        replicas = balancer.placement.replicas(key, 8)
        if {server.kind for server in replicas} == {0, 1}:
            break
    balancer.hot_keys.recent.extend([key] * 64)
    picks = Counter(balancer.select_server(make_request(key=key), 0).kind for _ in range(2000))
    replicas = balancer.placement.replicas_and_spares(key, balancer.hot_keys.replica_count(key, 2, 12))[:12]
    kinds = Counter(server.kind for server in replicas)
    assert 2.5 < picks[0] / kinds[0] / (picks[1] / kinds[1]) < 6
