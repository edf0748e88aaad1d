"""Placement of keys: the paper's algorithm, weights, and updates of the slots by the endpoint list."""

from collections import Counter

from helpers import S, make_balancer, make_request, make_servers

from ivystack.balancing.placement import (
    CACHED_LOCATIONS,
    Placement,
    factorial_digits,
    key_digits,
    replica_slots,
)
from ivystack.model import Server, ServerState, Wait


# The factorial digits of 12345678910 as the paper lists them, from x_1 on.
EXPANSION_IN_PAPER = [0, 2, 3, 2, 1, 3, 3, 3, 1, 3, 9, 12, 1]


def reference_replica_slots(digits, k):
    """Return the replicas' slots by the algorithm of the paper's figure 3, one slot after another."""
    replicas = list(range(k))
    for slot in range(k, len(digits)):
        if digits[slot] < k:
            replicas[digits[slot]] = slot
    return replicas


def test_factorial_digits_of_the_papers_example():
    assert factorial_digits(12345678910, 14) == [0, *EXPANSION_IN_PAPER]


def test_short_expansions_end_in_zeros_which_are_digits():
    assert replica_slots(factorial_digits(1, 6), 2)[:2] == [5, 1]


def test_worked_example_of_the_paper():
    # The paper reads its list from index 0, so bin l takes x_(l+1); the algorithm is the same.
    slots_of_count = {count: replica_slots(EXPANSION_IN_PAPER[:count], 3)[:3] for count in range(3, 12)}
    assert slots_of_count[3] == [0, 1, 2] and slots_of_count[4] == [0, 1, 3]
    assert all(slots_of_count[count] == [0, 4, 3] for count in range(5, 9))
    assert all(slots_of_count[count] == [0, 8, 3] for count in range(9, 12))


def test_keys_are_spread_evenly_and_no_two_replicas_share_a_slot():
    for k, count in ((2, 7), (3, 25), (2, 40)):
        shares = Counter()
        for key in range(6000):
            replicas = replica_slots(key_digits(key, count), k)
            assert len(set(replicas)) == k + 1
            shares.update(replicas[:k])
        assert all(abs(shares[slot] * count / (6000 * k) - 1) < 0.2 for slot in range(count))


def test_fewer_servers_than_replicas():
    assert replica_slots(key_digits(5, 1), 2) == [0]
    assert replica_slots([], 2) == []
    assert make_balancer().route(make_request(), 0) == Wait()


def test_keys_are_spread_in_proportion_to_weights():
    placement = Placement(True)
    placement.update([Server(f"n{i}", weight=1.0 if i < 6 else 2.0) for i in range(9)], 0)
    shares = Counter(server.name for key in range(8000) for server in placement.replicas(key, 2))
    assert 1.7 < shares["n8"] / shares["n4"] < 2.3


def test_a_server_whose_weight_exceeds_all_keys_holds_every_key_once():
    placement = Placement(True)
    placement.update([Server("a"), Server("b"), Server("c", weight=50.0)], 0)
    assert all("c" in [server.name for server in placement.replicas(key, 2)] for key in range(200))


def test_a_drained_servers_slot_goes_to_the_last_server():
    balancer = make_balancer(make_servers(5))
    balancer.update_endpoints([Server("n01", state=ServerState.DRAINING)], False, 0)
    assert [server.name for server in balancer.placement.slots] == ["n00", "n04", "n02", "n03"]


def test_a_crashed_server_keeps_its_slot_and_returns_in_slow_start():
    balancer = make_balancer(make_servers(4), initial_fraction=0.1, warm_up_time=10 * S)
    balancer.update_endpoints([Server("n01", state=ServerState.GONE)], False, S)
    balancer.update_endpoints([Server("n01", state=ServerState.READY, started_at=5 * S)], False, 6 * S)
    server = balancer.placement.slots[1]
    assert server.name == "n01" and balancer.slow_start.warm_fraction(server, 6 * S) < 0.2


def test_slots_after_a_restart_of_the_process_follow_start_times():
    balancer = make_balancer(
        [Server("a", started_at=9), Server("b", started_at=0), Server("c", started_at=5)]
    )
    assert [server.name for server in balancer.placement.slots] == ["b", "c", "a"]


def test_zero_weights_hold_no_keys_but_the_first():
    placement = Placement(True)
    placement.update([Server("a"), Server("b"), Server("c", weight=0.0), Server("d")], 0)
    assert all("c" not in [server.name for server in placement.replicas(key, 2)] for key in range(100))


def test_replicas_are_those_of_the_papers_algorithm_at_any_size():
    for count in (2, 3, 13, 33, 80, 500):
        placement = Placement(False)
        placement.update(make_servers(count), 0)
        for key in range(50):
            servers = [placement.slots[slot] for slot in reference_replica_slots(key_digits(key, count), 2)]
            assert placement.replicas(key, 2) == servers


def test_the_location_cache_is_bounded_and_evicts_the_oldest_first():
    placement = Placement(False)
    placement.update(make_servers(5), 0)
    first = placement.replicas(0, 2)
    for key in range(1, CACHED_LOCATIONS + 1):
        placement.replicas(key, 2)
    assert len(placement.location_cache) == CACHED_LOCATIONS and (0, 2) not in placement.location_cache
    assert placement.replicas(0, 2) == first


def test_a_key_with_few_replicas_has_a_spare():
    placement = Placement(False)
    placement.update(make_servers(9), 0)
    for key in range(50):
        assert len(placement.spares(key, 2)) == 1 and placement.spares(key, 4) == []
        assert placement.spares(key, 2)[0] not in placement.replicas(key, 2)
