"""The steps by which a server is selected."""

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
    # Guards an origin that can't bear two copies' fetches; the random pick is back once it can.
    balancer, origin = make_balancer_with_origin()
    first = balancer.placement.replicas_and_spares(7, 2)[0]
    origin.admitted_share = 0
    for place in range(30):
        route_after_miss(balancer, 9 * S + place, key=place)
    assert balancer.selector.first_replica_chance == 1
    assert {balancer.select_server(make_request(arrived_at=9 * S), 9 * S) for _ in range(20)} == {first}
    origin.admitted_share, origin.concurrency_limit = 1, 1000
    for place in range(300):
        route_after_miss(balancer, 10 * S + place, key=place)
    assert balancer.selector.first_replica_chance == 0
    assert len({balancer.select_server(make_request(arrived_at=10 * S), 10 * S) for _ in range(20)}) == 2


def test_a_server_listed_as_loaded_is_skipped_by_chance_and_for_a_time():
    # A light process has nothing in flight there; by chance, since all processes learn of it at one moment.
    balancer = make_balancer(make_weighted_servers(*[4.0] * 12), live_weights=True)
    loaded = balancer.placement.replicas_and_spares(7, 2)[0]

    def picks(now):
        return Counter(balancer.select_server(make_request(arrived_at=now), now).name for _ in range(200))[
            loaded.name
        ]

    assert 60 < picks(0) < 140
    balancer.update_endpoints([Server(loaded.name, 0, 0.2)], False, S)  # 19 held a core
    assert 0 < picks(S) < 40
    assert 60 < picks(S + LOAD_MAX_AGE_US) < 140


def test_a_key_whose_replicas_are_all_gone_goes_to_a_server_of_a_wider_walk():
    # Else requests that other servers could take are rejected, where a lost zone has all of a key's replicas.
    balancer = make_balancer(make_servers(12), live_weights=True)
    replicas = balancer.placement.replicas_and_spares(7, 2)
    balancer.update_endpoints([Server(server.name, state=ServerState.GONE) for server in replicas], False, S)
    decision = balancer.route(make_request(arrived_at=S), S)
    assert isinstance(decision, Send)
    assert decision.server not in replicas and decision.server in balancer.placement.replicas_and_spares(7, 6)
    balancer.hot_keys.recent.clear()
    balancer.load.enabled = False  # blind: the servers that are left may be no better
    assert balancer.route(make_request(arrived_at=S), S) == Wait()


def test_overload_alone_sends_no_key_beyond_its_replicas():
    balancer = make_balancer(make_servers(12), live_weights=True)
    for server in balancer.placement.replicas_and_spares(7, 2):
        server.admitted_share = 0.0
    balancer.shedder.limit_fraction(make_request(), 0)
    request = make_request()
    request.is_ranked, request.limit_fraction, request.warm_up_draw = True, 0.5, 0.5
    assert balancer.route(request, 0) == Wait()


def test_a_walk_does_not_pass_replicas_that_are_ejected_for_late_answers():
    # Guards an overloaded fleet: its requests would come to servers that lack the key.
    balancer = make_balancer(make_servers(12), live_weights=True)
    replicas = balancer.placement.replicas_and_spares(7, 2)
    for server in replicas:
        server.health.consecutive_failures, server.health.next_probe_at = 2, 9 * S
    assert balancer.select_server(make_ranked_request(S), S) is None
    for server in replicas:
        server.health.connection_failed = True  # refused: gone, whatever the list says
    assert balancer.select_server(make_ranked_request(S), S) in set(balancer.placement.slots) - set(replicas)


def test_a_reads_last_attempt_goes_to_the_origin():
    # Prevents a miss that nothing can follow: two replicas were full, the third may lack the key.
    balancer = make_balancer([*make_servers(6), Server("o", kind=1)], origin_kind=1)
    request = make_request()
    for at in (0, 10):
        server = balancer.route(request, at).server
        assert server.kind == 0
        balancer.record_outcome(request.attempts[-1], Outcome.OVERLOADED, at)
        balancer.next_wakeup(at)
    assert balancer.route(request, 20).server.name == "o"


def test_a_server_that_queues_for_long_is_left_by_chance():
    # Prevents feeding an overload that the list shows: a second of waiting where one is all there is.
    balancer = make_balancer(make_weighted_servers(*[4.0] * 4), live_weights=True)
    request, server = make_request(), balancer.placement.slots[0]
    request.request_class.attempt_times.extend([S // 10] * 8)
    for load, least, most in ((0.5, 0, 0), (10.0, 60, 90)):
        server.load, server.load_reported_at = load, S
        left = sum(balancer.selector.queue_is_too_long(server, request.request_class, S) for _ in range(100))
        assert least <= left <= most
    # Nothing known yet of how long such requests take.
    assert not balancer.selector.queue_is_too_long(server, make_request().request_class, S)


def test_a_full_replica_that_is_the_only_one_left_lets_the_walk_go_on():
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
