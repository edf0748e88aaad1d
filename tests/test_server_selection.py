"""Tests of the steps of server selection."""

from collections import Counter

from helpers import (
    S,
    make_balancer,
    make_balancer_with_origin,
    make_ranked_request,
    make_request,
    make_servers,
    make_weighted_servers,
    route_after_miss,
)

from ivystack.balancing.server_load import LOAD_MAX_AGE_US
from ivystack.model import Outcome, Send, Server, ServerState, Wait


def test_a_loaded_replica_is_skipped():
    balancer = make_balancer(make_servers(6))
    replicas = balancer.placement.replicas_and_spares(7, 2)
    replicas[0].in_flight = balancer.in_flight = 9
    assert all(balancer.select_server(make_request(), 0) is replicas[1] for _ in range(20))


def test_a_miss_goes_to_the_origin_which_holds_no_slot():
    balancer = make_balancer(
        [*make_servers(3), Server("origin", kind=4)], origin_kind=4, hedging_enabled=False
    )
    request = make_request()
    balancer.route(request, 0)
    balancer.record_outcome(request.attempts[0], Outcome.CACHE_MISS, 10)
    balancer.next_wakeup(10)
    assert balancer.route(request, 10).server.name == "origin" and len(balancer.placement.slots) == 3


def test_reads_prefer_the_first_replica_while_the_origin_has_no_capacity():
    # Guards an origin without capacity, which can't serve a fetch for each of two replicas.  Once it has
    # capacity, the choice of the replica is random again.
    balancer, origin = make_balancer_with_origin()
    first = balancer.placement.replicas_and_spares(7, 2)[0]
    origin.admitted_share = 0
    for index in range(30):
        route_after_miss(balancer, 9 * S + index, key=index)
    assert balancer.selector.first_replica_chance == 1
    assert {balancer.select_server(make_request(arrived_at=9 * S), 9 * S) for _ in range(20)} == {first}
    origin.admitted_share, origin.concurrency_limit = 1, 1000
    for index in range(300):
        route_after_miss(balancer, 10 * S + index, key=index)
    assert balancer.selector.first_replica_chance == 0
    assert len({balancer.select_server(make_request(arrived_at=10 * S), 10 * S) for _ in range(20)}) == 2


def test_a_server_listed_as_loaded_is_skipped_at_random_and_for_a_limited_time():
    # A process with little traffic has no attempts in flight there, and depends on the listed load.  Servers
    # are skipped at random, because all processes learn of the load at the same time.
    balancer = make_balancer(make_weighted_servers(*[4.0] * 12), live_weights=True)
    loaded = balancer.placement.replicas_and_spares(7, 2)[0]

    def picks(now):
        return Counter(balancer.select_server(make_request(arrived_at=now), now).name for _ in range(200))[
            loaded.name
        ]

    assert 60 < picks(0) < 140
    balancer.update_endpoints([Server(loaded.name, 0, 0.2)], False, S)  # 19 requests in flight per core
    assert 0 < picks(S) < 40
    assert 60 < picks(S + LOAD_MAX_AGE_US) < 140


def test_a_key_whose_replicas_are_all_gone_goes_to_a_server_of_a_further_slot():
    # Otherwise requests that other servers could take would be rejected after the loss of a zone that has all
    # replicas of their key.
    balancer = make_balancer(make_servers(12), live_weights=True)
    replicas = balancer.placement.replicas_and_spares(7, 2)
    balancer.update_endpoints([Server(server.name, state=ServerState.GONE) for server in replicas], False, S)
    decision = balancer.route(make_request(arrived_at=S), S)
    assert isinstance(decision, Send)
    assert decision.server not in replicas and decision.server in balancer.placement.replicas_and_spares(7, 6)
    balancer.hot_keys.recent.clear()
    balancer.load.enabled = False  # without known loads: the other servers may be no better
    assert balancer.route(make_request(arrived_at=S), S) == Wait()


def test_overload_alone_sends_no_request_beyond_the_keys_replicas():
    balancer = make_balancer(make_servers(12), live_weights=True)
    for server in balancer.placement.replicas_and_spares(7, 2):
        server.admitted_share = 0.0
    balancer.shedder.limit_fraction(make_request(), 0)
    request = make_request()
    request.is_ranked, request.limit_fraction, request.warm_up_draw = True, 0.5, 0.5
    assert balancer.route(request, 0) == Wait()


def test_the_search_stops_at_replicas_that_are_ejected_for_late_answers():
    # Otherwise requests in an overloaded fleet would be sent to servers that lack the key.
    balancer = make_balancer(make_servers(12), live_weights=True)
    replicas = balancer.placement.replicas_and_spares(7, 2)
    for server in replicas:
        server.health.consecutive_failures, server.health.next_probe_at = 2, 9 * S
    assert balancer.select_server(make_ranked_request(S), S) is None
    for server in replicas:
        server.health.connection_failed = True  # the server is gone, even if the list still has it
    assert balancer.select_server(make_ranked_request(S), S) in set(balancer.placement.slots) - set(replicas)


def test_a_reads_last_attempt_goes_to_the_origin():
    # Prevents a miss on the last attempt: two replicas were full, and the third server may lack the key.
    balancer = make_balancer([*make_servers(6), Server("o", kind=1)], origin_kind=1)
    request = make_request()
    for at in (0, 10):
        server = balancer.route(request, at).server
        assert server.kind == 0
        balancer.record_outcome(request.attempts[-1], Outcome.OVERLOADED, at)
        balancer.next_wakeup(at)
    assert balancer.route(request, 20).server.name == "o"


def test_a_server_with_a_long_queue_is_avoided_at_random():
    # Prevents adding to an overload that the list shows: requests would queue for their whole second.
    balancer = make_balancer(make_weighted_servers(*[4.0] * 4), live_weights=True)
    request, server = make_request(), balancer.placement.slots[0]
    request.request_class.attempt_times.extend([S // 10] * 8)
    for load, least, most in ((0.5, 0, 0), (10.0, 60, 90)):
        server.load, server.load_reported_at = load, S
        avoided = sum(
            balancer.selector.queue_is_too_long(server, request.request_class, S) for _ in range(100)
        )
        assert least <= avoided <= most
    # No attempt times of this request class are known yet.
    assert not balancer.selector.queue_is_too_long(server, make_request().request_class, S)


def test_the_search_continues_if_the_only_replica_left_is_full():
    balancer = make_balancer(make_servers(12), live_weights=True)
    only, other, spare = balancer.placement.replicas_and_spares(7, 2)
    balancer.update_endpoints(
        [Server(other.name, state=ServerState.GONE), Server(spare.name, state=ServerState.GONE)], False, 0
    )
    request = make_request()
    assert balancer.route(request, 0).server is only
    balancer.record_outcome(request.attempts[0], Outcome.OVERLOADED, 10)
    balancer.next_wakeup(10)
    assert balancer.route(request, 10).server in balancer.placement.replicas_and_spares(7, 6)[2:]
