"""Weights that the list lowers by load, and what nodes report of theirs."""

from collections import Counter
from math import inf, nan

from helpers import S, make_balancer, make_request, make_servers

from ivystack.balancing.concurrency_limit import INITIAL_LIMIT, RECENT_SHARE_FACTOR, SHARE_FACTOR
from ivystack.balancing.server_load import LOAD_MAX_AGE_US, RESTING_LOAD, LoadEstimator
from ivystack.model import Outcome, Send, Server, ServerState, Wait


def listing(*weights, kind=0):
    return [Server(f"n{i:02}", kind, weight) for i, weight in enumerate(weights)]


def placed(made, keys=400):
    return [[node.name for node in made.placement.replicas_and_spares(key, 2)] for key in range(keys)]


def test_weights_that_move_with_load_move_no_key():
    made = make_balancer(listing(*[4.0] * 9), live_weights=True)
    before = placed(made)
    made.update_endpoints(listing(1.0, 2.0, 0.4, 4.0, 3.1, 1.3, 0.1, 0.8, 2.0), False, S)
    assert placed(made) == before


def test_a_proxy_that_starts_amid_load_finds_the_sizes_that_the_others_have():
    # Guards the placement: one node of a kind at rest is enough, whichever it is.
    old, new = make_balancer(listing(*[4.0] * 9), live_weights=True), make_balancer(live_weights=True)
    busy = listing(1.0, 2.0, 0.4, 3.9, 3.1, 1.3, 0.1, 0.8, 2.0)
    old.update_endpoints(busy, True, S)
    new.update_endpoints(listing(*[node.weight for node in busy]), True, S)
    assert placed(new) == placed(old)


def test_kinds_of_unequal_size_get_keys_in_proportion():
    # Guards small caches against the even share, which is several times theirs where sizes differ as here.
    small, large = listing(*[1.0] * 10), listing(*[3.5] * 20, kind=1)[10:]
    made = make_balancer([*small, *large], live_weights=True)
    shares = Counter(name for homes in placed(made, 6000) for name in homes[:2])
    assert 2.9 < sum(shares[n.name] for n in large) / sum(shares[n.name] for n in small) < 3.9
    assert all(0.6 < shares[node.name] * 45 / 12000 < 1.5 for node in small[2:])


def test_weights_that_tell_nothing_do_no_harm():
    made = make_balancer(listing(4.0, 4.0, 4.0, 4.0), live_weights=True)
    before = placed(made)
    made.update_endpoints(listing(0.0, -1.0, nan, inf), False, S)
    assert placed(made) == before and all(node.load == 0 for node in made.placement.slots)
    assert placed(
        make_balancer(listing(0.0, nan, 0.0), live_weights=True)
    )  # nor where nothing else was ever told


def test_a_node_that_the_list_shows_loaded_is_skipped_by_chance_and_not_for_ever():
    # Guards against the jam that a light proxy, with nothing in flight there, can't see; by chance, since all
    # proxies learn of it at one moment.
    made = make_balancer(listing(*[4.0] * 12), live_weights=True)
    loaded = made.placement.replicas_and_spares(7, 2)[0]

    def picks(now):
        return Counter(made.select_server(make_request(arrived_at=now), now).name for _ in range(200))[
            loaded.name
        ]

    assert 60 < picks(0) < 140
    made.update_endpoints([Server(loaded.name, 0, 0.2)], False, S)  # 19 held a core
    assert 0 < picks(S) < 40
    assert 60 < picks(S + LOAD_MAX_AGE_US) < 140


def test_own_attempts_count_on_top_of_what_was_listed():
    live, node = LoadEstimator(True), make_servers(1)[0]
    live.record_listed_weight(node, 1.0, 0)
    node.in_flight = 3
    assert live.load(node, 0) == 3


def test_a_key_whose_homes_are_all_gone_goes_on_along_its_walk():
    # Guards against nacking what other nodes could take, where a lost zone holds all of a key's homes.
    made = make_balancer(make_servers(12), live_weights=True)
    homes = made.placement.replicas_and_spares(7, 2)
    made.update_endpoints([Server(node.name, state=ServerState.GONE) for node in homes], False, S)
    decision = made.route(make_request(arrived_at=S), S)
    assert isinstance(decision, Send)
    assert decision.server not in homes and decision.server in made.placement.replicas_and_spares(7, 6)
    made.hot_keys.recent.clear()
    made.load.enabled = False  # blind: the nodes that are left may be no better
    assert made.route(make_request(arrived_at=S), S) == Wait()


def test_strain_alone_sends_no_key_beyond_its_homes():
    made = make_balancer(make_servers(12), live_weights=True)
    for node in made.placement.replicas_and_spares(7, 2):
        node.admitted_share = 0.0
    made.shedder.limit_fraction(make_request(), 0)
    asked = make_request()
    asked.is_ranked, asked.limit_fraction, asked.warm_up_draw = True, 0.5, 0.5
    assert made.route(asked, 0) == Wait()


def test_a_full_node_says_nothing_of_others_and_is_not_asked_again():
    # Guards against closing a fleet whose waiting rooms are short, where each is full now and then.
    for live in (True, False):
        made = make_balancer(listing(*[4.0] * 4), live_weights=live)
        asked = make_request()
        first = made.route(asked, 0).server
        made.record_outcome(asked.attempts[0], Outcome.OVERLOADED, 10)
        # Where no loads are told it is what tells of a jam: 40 proxies fed one else.
        assert (made.limiter.common_share == 1) is (first.concurrency_limit == INITIAL_LIMIT) is live
        assert first.admitted_share == (RECENT_SHARE_FACTOR if live else SHARE_FACTOR)
        made.next_wakeup(10)
        if live:
            assert made.route(asked, 10).server is not first


def test_a_walk_does_not_go_on_past_homes_that_are_down_by_late_answers():
    # Guards a jammed fleet: its reqs would come to nodes that lack the key.
    made = make_balancer(make_servers(12), live_weights=True)
    homes = made.placement.replicas_and_spares(7, 2)
    for node in homes:
        node.health.consecutive_failures, node.health.next_probe_at = 2, 9 * S
    assert made.select_server(lucky(S), S) is None
    for node in homes:
        node.health.connection_failed = True  # refused: gone, whatever the list says
    assert made.select_server(lucky(S), S) in set(made.placement.slots) - set(homes)


def test_a_reads_last_attempt_goes_to_the_origin_where_that_is_asked_apart():
    # Guards against a miss that nothing can follow: two homes were full, the third may lack the key.
    made = make_balancer([*make_servers(6), Server("o", kind=1)], origin_kind=1)
    asked = make_request()
    for at in (0, 10):
        node = made.route(asked, at).server
        assert node.kind == 0
        made.record_outcome(asked.attempts[-1], Outcome.OVERLOADED, at)
        made.next_wakeup(at)
    assert made.route(asked, 20).server.name == "o"


def test_a_cold_node_takes_nothing_that_its_keys_other_homes_cannot():
    # Guards the fourth rule: full or gone, the others' part came on top of the cold one's own.
    made = make_balancer(make_servers(6), initial_fraction=0.5, warm_up_time=20 * S, overload_factor=2.0)
    cold, other = made.placement.replicas(7, 2)
    cold.started_at, other.admitted_share = 2 * S, 0.0
    picks = Counter(made.select_server(lucky(2 * S), 2 * S) for _ in range(200))
    assert 60 < picks[cold] < 140  # its own turns
    cold.started_at = 0
    assert {made.select_server(lucky(2 * S), 2 * S) for _ in range(50)} == {cold}
    made = make_balancer(
        make_servers(6), initial_fraction=0.5, warm_up_time=20 * S, overload_factor=4.0
    )  # as much as it is said to bear
    cold, other = made.placement.replicas(7, 2)
    cold.started_at, other.admitted_share = 2 * S, 0.0
    assert {made.select_server(lucky(2 * S), 2 * S) for _ in range(50)} == {cold}


def lucky(now):
    asked = make_request(arrived_at=now)
    asked.is_ranked, asked.limit_fraction, asked.warm_up_draw = True, 0.5, 0.1
    return asked


def test_a_hot_key_asks_its_replicas_by_size():
    # Guards a small cache, above all a cold one, against the part of a hot key that a large one bears.
    made = make_balancer(
        [*listing(*[4.0] * 8), *[Server(f"s{i}", 1, 1.0) for i in range(4)]], live_weights=True
    )
    for key in range(200):
        homes = made.placement.replicas(key, 8)
        if {node.kind for node in homes} == {0, 1}:
            break
    made.hot_keys.recent.extend([key] * 64)
    picks = Counter(made.select_server(make_request(key=key), 0).kind for _ in range(2000))
    homes = made.placement.replicas_and_spares(key, made.hot_keys.replica_count(key, 2, 12))[:12]
    kinds = Counter(node.kind for node in homes)
    assert 2.5 < picks[0] / kinds[0] / (picks[1] / kinds[1]) < 6


def test_what_a_cold_node_turns_away_closes_it_further():
    made = make_balancer(make_servers(4), initial_fraction=0.9, warm_up_time=20 * S, live_weights=True)
    asked = make_request()
    node = made.route(asked, 0).server
    node.started_at = 1
    made.record_outcome(asked.attempts[0], Outcome.OVERLOADED, 10)
    assert node.admitted_share == SHARE_FACTOR


def answered_late(made, load):
    asked = make_request(time_to_deadline=3 * S)
    asked.request_class.late_priority_weight = 0.5
    node = made.route(asked, 0).server
    node.load, node.load_reported_at = load, S
    made.record_outcome(asked.attempts[0], Outcome.SUCCEEDED, 2 * S)
    return node


def test_an_answer_after_its_budget_strains_a_node_that_is_listed_loaded():
    # Guards against learning of a jam only at the deadline, where late answers still earn; long work is none.
    assert (
        answered_late(make_balancer(listing(*[4.0] * 4), live_weights=True), 9.0).admitted_share
        == SHARE_FACTOR
    )
    assert answered_late(make_balancer(listing(*[4.0] * 4), live_weights=True), 0.5).admitted_share == 1


def test_nodes_listed_at_rest_are_not_closed_by_what_others_show():
    made = make_balancer(listing(*[4.0] * 4), live_weights=True)
    made.limiter.common_share = 0.1
    made.shedder.limit_fraction(make_request(), 0)
    node = made.placement.slots[0]
    assert made.limiter.admits(node, 0.5, S)
    node.load = 9.0
    assert not made.limiter.admits(node, 0.5, S)
    node.load = 0.0
    assert not made.limiter.admits(node, 0.5, LOAD_MAX_AGE_US + S)  # news too old to tell


def test_a_report_tells_what_is_held_or_at_least_what_waits():
    live, node = LoadEstimator(True), make_servers(1, weight=2.0)[0]
    live.record_report(node, {"active": 6, "waiting": 1}, S)
    assert (node.load, node.load_reported_at) == (3.0, S)
    live.record_report(node, {"waiting": 4}, 2 * S)
    assert (node.load, node.load_reported_at) == (RESTING_LOAD + 2.0, 2 * S)
    live.record_report(node, {"waiting": 0, "cpu": 0.1}, 3 * S)  # tells nothing of what it holds
    assert node.load_reported_at == 2 * S


def test_a_refusing_origin_is_asked_less():
    # Guards the origin whose table is full of all proxies' reqs: each was tried there again at once.
    made = make_balancer([*make_servers(4), Server("o", kind=1)], origin_kind=1)
    origin = made.origins[0]
    asked = make_request(is_write=True)
    made.route(asked, 0)
    before = origin.concurrency_limit
    made.record_outcome(asked.attempts[0], Outcome.CONNECTION_REFUSED, 10)
    assert origin.concurrency_limit < before and origin.admitted_share < 1


def test_a_node_whose_queue_outlasts_a_part_of_the_budget_is_left_by_chance():
    # Guards against feeding a jam that the list shows: a second of waiting where one is all there is.
    made = make_balancer(listing(*[4.0] * 4), live_weights=True)
    asked, node = make_request(), made.placement.slots[0]
    asked.request_class.attempt_times.extend([S // 10] * 8)
    for load, least, most in ((0.5, 0, 0), (10.0, 60, 90)):
        node.load, node.load_reported_at = load, S
        left = sum(made.selector.queues_too_long(node, asked.request_class, S) for _ in range(100))
        assert least <= left <= most
    assert not made.selector.queues_too_long(
        node, make_request().request_class, S
    )  # nothing known yet of how long such reqs take


def test_a_full_home_that_is_the_only_one_left_lets_the_walk_go_on():
    made = make_balancer(make_servers(12), live_weights=True)
    only, other, spare = made.placement.replicas_and_spares(7, 2)
    made.update_endpoints(
        [Server(other.name, state=ServerState.GONE), Server(spare.name, state=ServerState.GONE)], False, 0
    )
    asked = make_request()
    assert made.route(asked, 0).server is only
    made.record_outcome(asked.attempts[0], Outcome.OVERLOADED, 10)
    made.next_wakeup(10)
    assert made.route(asked, 10).server in made.placement.replicas_and_spares(7, 6)[2:]


def test_a_cold_node_listed_loaded_takes_the_less():
    # Guards the fourth rule where all that is asked is more than the fleet can do.
    made = make_balancer(listing(*[4.0] * 6), live_weights=True, initial_fraction=0.5, warm_up_time=20 * S)
    node = made.placement.slots[0]
    node.started_at = 1
    assert made.slow_start.warm_fraction(node, 1) == 0.5
    node.load, node.load_reported_at = 5.0, S
    assert made.slow_start.warm_fraction(node, S) < 0.15
    assert made.slow_start.warm_fraction(node, S + LOAD_MAX_AGE_US) > 0.5  # forgotten
    node.started_at = 0
    assert made.slow_start.warm_fraction(node, S) == 1  # a warm one is not cold for being loaded
