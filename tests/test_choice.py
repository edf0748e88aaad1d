from collections import Counter

import pytest
from helpers import S, make_balancer, make_request, make_servers

from ivystack.balancing.concurrency_limit import (
    INITIAL_LIMIT,
    MAX_LIMIT,
    MIN_LIMIT_FRACTION,
    ConcurrencyLimiter,
)
from ivystack.balancing.load_shedding import PRIOR_REQUESTS, RECENT_REQUESTS
from ivystack.balancing.outlier_detection import EJECT_AFTER, PROBE_BACKOFF_US
from ivystack.balancing.placement import Placement, factorial_digits, key_digits, replica_slots
from ivystack.balancing.retry_policy import NEVER_EXECUTED
from ivystack.balancing.zone_outliers import EJECT_ZONE_AFTER
from ivystack.model import (
    Attempt,
    CloseIdleConnections,
    Done,
    Fail,
    Idempotency,
    Outcome,
    OutcomeDecision,
    Reject,
    Request,
    RequestClass,
    Send,
    SendGossip,
    Server,
    ServerState,
    Wait,
    Wakeup,
)

PRINTED = [0, 2, 3, 2, 1, 3, 3, 3, 1, 3, 9, 12, 1]  # the paper's expansion of 12345678910, from x_1 on


def test_expansion_of_the_paper():
    assert factorial_digits(12345678910, 14) == [0, *PRINTED]


def test_short_expansions_end_in_zeros_which_are_digits():
    assert replica_slots(factorial_digits(1, 6), 2)[:2] == [5, 1]


def test_worked_example_of_the_paper():
    # It reads the printed list from index 0, so bin l takes x_(l+1); the walk is the same.
    found = {count: replica_slots(PRINTED[:count], 3)[:3] for count in range(3, 12)}
    assert found[3] == [0, 1, 2] and found[4] == [0, 1, 3]
    assert all(found[count] == [0, 4, 3] for count in range(5, 9))
    assert all(found[count] == [0, 8, 3] for count in range(9, 12))


def test_even_shares_and_no_two_replicas_together():
    for k, count in ((2, 7), (3, 25), (2, 40)):
        shares = Counter()
        for key in range(6000):
            homes = replica_slots(key_digits(key, count), k)
            assert len(set(homes)) == k + 1
            shares.update(homes[:k])
        assert all(abs(shares[slot] * count / (6000 * k) - 1) < 0.2 for slot in range(count))


def test_fewer_caches_than_replicas():
    assert replica_slots(key_digits(5, 1), 2) == [0]
    assert replica_slots([], 2) == []
    assert make_balancer().route(make_request(), 0) == Wait()


def test_weights_give_shares_in_proportion():
    placement = Placement(True)
    placement.update([Server(f"n{i}", weight=1.0 if i < 6 else 2.0) for i in range(9)], 0)
    shares = Counter(node.name for key in range(8000) for node in placement.replicas(key, 2))
    assert 1.7 < shares["n8"] / shares["n4"] < 2.3


def test_a_weight_due_more_than_every_key_takes_every_key_once():
    placement = Placement(True)
    placement.update([Server("a"), Server("b"), Server("c", weight=50.0)], 0)
    assert all("c" in [node.name for node in placement.replicas(key, 2)] for key in range(200))


def test_drained_cache_gives_its_slot_to_the_last():
    made = make_balancer(make_servers(5))
    made.update_endpoints([Server("n01", state=ServerState.DRAINING)], False, 0)
    assert [node.name for node in made.placement.slots] == ["n00", "n04", "n02", "n03"]


def test_crashed_cache_keeps_its_slot_and_its_return_starts_cold():
    made = make_balancer(make_servers(4), initial_fraction=0.1, warm_up_time=10 * S)
    made.update_endpoints([Server("n01", state=ServerState.GONE)], False, S)
    made.update_endpoints([Server("n01", state=ServerState.READY, started_at=5 * S)], False, 6 * S)
    node = made.placement.slots[1]
    assert node.name == "n01" and made.slow_start.warm_fraction(node, 6 * S) < 0.2


def test_slots_after_our_own_restart_follow_start_times():
    made = make_balancer([Server("a", started_at=9), Server("b", started_at=0), Server("c", started_at=5)])
    assert [node.name for node in made.placement.slots] == ["b", "c", "a"]


def test_a_pick_skips_a_loaded_replica():
    made = make_balancer(make_servers(6))
    homes = made.placement.replicas_and_spares(7, 2)
    homes[0].in_flight = made.in_flight = 9
    assert all(made.select_server(make_request(), 0) is homes[1] for _ in range(20))


def test_a_cold_node_gets_its_warmth_of_its_usual_load():
    made = make_balancer(
        [*make_servers(5, concurrency_limit=999), Server("cold", concurrency_limit=999, started_at=1)],
        initial_fraction=0.1,
        warm_up_time=100 * S,
    )
    sent = Counter(made.route(make_request(key=key), 2).server.name for key in range(400))
    assert 1 <= sent["cold"] <= 0.25 * sent.total() / 6
    made = make_balancer(
        [Server(f"c{i}", concurrency_limit=999, started_at=1) for i in range(6)],
        initial_fraction=0.1,
        warm_up_time=100 * S,
    )
    assert (
        sum(isinstance(made.route(make_request(key=key), 2), Send) for key in range(400)) < 80
    )  # all are cold


def test_no_second_attempt_of_a_non_retryable_req_that_may_have_run():
    made = make_balancer(make_servers(4))
    asked = make_request(Idempotency.NOT_IDEMPOTENT)
    made.route(asked, 0)
    assert made.record_outcome(asked.attempts[0], Outcome.ERROR, 10).decision == Fail()


def test_non_retryable_goes_out_again_when_it_never_ran():
    for outcome in NEVER_EXECUTED - {Outcome.CACHE_MISS}:
        made = make_balancer(make_servers(4))
        asked = make_request(Idempotency.NOT_IDEMPOTENT)
        made.route(asked, 0)
        assert made.record_outcome(asked.attempts[0], outcome, 10).decision == Wait()
        assert made.next_wakeup(10).due == [asked] and isinstance(made.route(asked, 10), Send)


def test_deduplicated_only_within_its_window():
    made = make_balancer(make_servers(4))
    asked = make_request(Idempotency.KEYED, dedup_window=S // 2)
    made.route(asked, 0)
    assert isinstance(made.record_outcome(asked.attempts[0], Outcome.ERROR, S * 6 // 10).decision, Reject)
    outside = make_request(Idempotency.KEYED, dedup_window=S // 2, dedup_group="zone")
    made.route(outside, 0)
    assert made.record_outcome(outside.attempts[0], Outcome.ERROR, S * 6 // 10).decision == Fail()


def test_never_two_at_once_where_forbidden():
    made = make_balancer(make_servers(4), hedging_enabled=False)
    asked = make_request()
    made.route(asked, 0)
    assert made.route(asked, 500) == Wait() and len(asked.attempts) == 1


def test_late_is_given_up_at_once():
    made = make_balancer(make_servers(4))
    asked = make_request(latency_objective=S // 2)
    assert made.route(asked, 0).timeout_at == S // 2
    assert isinstance(made.record_outcome(asked.attempts[0], Outcome.TIMED_OUT, S // 2).decision, Reject)


def test_failures_in_a_row_take_a_node_out_and_an_answer_brings_it_back():
    made = make_balancer(make_servers(6))
    node = made.placement.replicas_and_spares(7, 2)[0]
    for _ in range(3):
        made.outliers.record_failure(node.health, False, 0)
    assert all(made.select_server(make_request(), 10) is not node for _ in range(20))
    assert (
        made.select_server(make_request(), S) is not node
    )  # it was looked at long before this req came: none passed by
    node.health.skipped_requests = 4
    assert made.select_server(make_request(), S) is node
    made.outliers.note_return(node, S)
    made.outliers.record_success(node.health)
    assert made.outliers.is_healthy(node.health)


def test_miss_goes_to_the_origin_and_origin_holds_no_slot():
    made = make_balancer([*make_servers(3), Server("origin", kind=4)], origin_kind=4, hedging_enabled=False)
    asked = make_request()
    made.route(asked, 0)
    made.record_outcome(asked.attempts[0], Outcome.CACHE_MISS, 10)
    made.next_wakeup(10)
    assert made.route(asked, 10).server.name == "origin" and len(made.placement.slots) == 3


def test_further_attempts_keep_to_their_budget_and_come_after_first_ones():
    made = make_balancer(make_servers(4))
    made.retry_budget.tokens = 0.5
    asked = make_request()
    made.route(asked, 0)
    made.record_outcome(asked.attempts[0], Outcome.ERROR, 10)
    waiting = make_request(key=9)
    made.first_attempts.append(waiting)
    assert made.next_wakeup(10).due == [waiting, asked] and isinstance(made.route(asked, 10), Reject)


def test_answer_calls_off_the_second_copy():
    made = make_balancer(make_servers(4))
    asked = make_request()
    made.route(asked, 0)
    made.route(asked, S // 4)
    assert made.record_outcome(asked.attempts[0], Outcome.SUCCEEDED, S // 3) == OutcomeDecision(
        Done(), [asked.attempts[1]]
    )


def test_full_node_is_no_failure():
    made = make_balancer(make_servers(4))
    asked = make_request()
    node = made.route(asked, 0).server
    made.record_outcome(asked.attempts[0], Outcome.OVERLOADED, 10)
    assert node.health.consecutive_failures == 0
    made.next_wakeup(10)
    made.record_outcome(asked.attempts[0], Outcome.CONNECTION_REFUSED, 10)
    assert node.health.consecutive_failures == 1


def test_the_least_worth_and_likely_misses_find_a_window_full_first():
    made = make_balancer(make_servers(4))
    made.shedder.record_answer(7)
    parts = [made.shedder.limit_fraction(make_request(key=key), 0) for key in [7] * 50 + [8] * 50 + [7]]
    assert parts[-1] > max(parts[60:100])


def test_a_window_below_one_spaces_attempts():
    made = make_balancer(make_servers(1))
    node = made.placement.slots[0]
    node.concurrency_limit, node.last_sent_at = 0.1, 0
    assert not made.limiter.admits(node, 1.0, S // 2) and made.limiter.admits(node, 1.0, S + 1)


def test_the_origin_has_a_window_and_is_given_all_the_time_left():
    made = make_balancer([*make_servers(3), Server("origin", kind=4)], origin_kind=4, hedging_enabled=False)
    asked = make_request(is_write=True)
    assert made.route(asked, 0) == Send(made.origins[0], S)
    made.origins[0].concurrency_limit = 1.0
    assert made.route(make_request(is_write=True), 0) == Wait()


def test_zero_weights_hold_no_keys_but_the_first():
    placement = Placement(True)
    placement.update([Server("a"), Server("b"), Server("c", weight=0.0), Server("d")], 0)
    assert all("c" not in [node.name for node in placement.replicas(key, 2)] for key in range(100))


def test_a_time_out_after_little_time_is_not_held_against_the_node():
    made = make_balancer(make_servers(2))
    asked = make_request()
    node = made.route(asked, S * 8 // 10).server
    before = node.concurrency_limit
    made.record_outcome(asked.attempts[0], Outcome.TIMED_OUT, S)
    assert node.concurrency_limit == before and node.health.consecutive_failures == 0


def test_a_time_out_that_none_passed_halves_what_is_in_use_of_the_origins_window():
    # Guards against a jam there: two off 64, once a jam, took 22 s to fall to what is answered in time.
    made = make_balancer([*make_servers(3), Server("origin", kind=4)], origin_kind=4, hedging_enabled=False)
    writes = [make_request(is_write=True, arrived_at=place) for place in range(20)]
    for write in writes:
        origin = made.route(write, write.arrived_at).server
    made.record_outcome(writes[0].attempts[0], Outcome.TIMED_OUT, S)
    assert origin.concurrency_limit == 10
    made.record_outcome(writes[1].attempts[0], Outcome.TIMED_OUT, S + 1)
    assert origin.concurrency_limit == 10  # one jam
    made.record_outcome(writes[19].attempts[0], Outcome.SUCCEEDED, S + 2)
    made.record_outcome(writes[18].attempts[0], Outcome.TIMED_OUT, S + 2)
    assert origin.concurrency_limit > 9  # one that others passed is chance


def test_a_time_out_that_later_attempts_passed_is_no_jam_and_no_failure():
    # Guards against shedding at unstrained nodes for lost connections and long work.
    made = make_balancer(make_servers(1))
    node = made.servers["n00"]
    late, quick, behind = make_request(), make_request(arrived_at=10), make_request(arrived_at=20)
    for one in (late, quick, behind):
        made.route(one, one.arrived_at)
    made.record_outcome(quick.attempts[0], Outcome.SUCCEEDED, 30)
    before = node.concurrency_limit
    made.suspect_late_attempts(late, 30)
    made.record_outcome(late.attempts[0], Outcome.TIMED_OUT, S)
    assert before - 1 < node.concurrency_limit < before and (
        node.health.consecutive_failures,
        node.admitted_share,
        made.limiter.common_share,
    ) == (0, 1, 1)
    made.record_outcome(
        behind.attempts[0], Outcome.TIMED_OUT, S + 20
    )  # a lone one at a node heard from just now: the same
    assert before - 1 < node.concurrency_limit and node.health.consecutive_failures == 1
    further = make_request(arrived_at=S)
    made.route(further, S)
    made.record_outcome(further.attempts[0], Outcome.TIMED_OUT, 2 * S)
    assert node.concurrency_limit < before * 0.6 and node.health.consecutive_failures == 2


def test_a_node_that_fails_one_method_serves_the_others_and_is_tried_again_with_it():
    made = make_balancer(make_servers(1))
    node = made.servers["n00"]
    bad, good = (
        RequestClass("bad", Idempotency.KEYED, S, dedup_window=9 * S),
        RequestClass("good", Idempotency.IDEMPOTENT, S),
    )
    for _ in range(EJECT_AFTER):
        asked = Request(bad, 0, S, 7)
        assert isinstance(made.route(asked, 0), Send)
        made.record_outcome(asked.attempts[0], Outcome.ERROR, 10)
    assert (
        made.select_server(Request(bad, 10, S, 7), 10) is None
        and made.select_server(Request(good, 10, S, 7), 10) is node
    )
    later = PROBE_BACKOFF_US + 20
    picked = [made.select_server(Request(bad, later, later + S, 7), later) for _ in range(3)]
    assert picked[-1] is node


def test_a_node_refused_by_chance_is_not_back_cold():
    made = make_balancer([Server("a", started_at=1)], initial_fraction=0.1, warm_up_time=100 * S)
    node = made.servers["a"]
    for at in (S, S + 1):
        made.outliers.record_failure(node.health, True, at)
    made.outliers.record_failure(node.health, False, 2 * S)  # its first trial goes out, and is answered
    made.outliers.note_return(node, 2 * S)
    made.outliers.record_success(node.health)
    assert node.started_at == 1


def test_windows_grow_until_the_least_worth_has_a_place():
    made = make_balancer(make_servers(1))
    node = made.servers["n00"]
    node.in_flight = 3
    for _ in range(3000):
        made.limiter.record_success(node)
    assert made.limiter.admits(node, MIN_LIMIT_FRACTION, 0) and node.concurrency_limit < 42


def test_a_small_window_grows_faster_with_each_answer_in_a_row():
    made = make_balancer(make_servers(1))
    node = made.placement.slots[0]
    node.concurrency_limit = 0.1
    for _ in range(9):
        made.limiter.record_success(node)
    assert node.concurrency_limit > 1


def test_idle_connections_are_closed_early_where_proxies_are_many():
    made = make_balancer(make_servers(4), process_count=320)
    asked = make_request()
    node = made.route(asked, 0).server
    made.record_outcome(asked.attempts[0], Outcome.SUCCEEDED, S)
    made.timers.clear()
    assert made.next_wakeup(S) == Wakeup(3 * S, [])
    assert made.next_wakeup(4 * S).due == [CloseIdleConnections(node)]


def test_a_time_out_leaves_a_third_of_the_share_and_the_higher_ranked_stay():
    made = make_balancer(make_servers(2))
    node = made.placement.slots[0]
    made.limiter.record_overload(node, True, False, 0, 0)
    assert made.limiter.admits(node, 0.7, 0) and not made.limiter.admits(node, 0.6, 0)
    for _ in range(5):
        made.limiter.record_success(node)
    node.concurrency_limit = 12.0  # that is another matter
    assert made.limiter.admits(node, 0.2, 0)


def test_time_outs_over_the_fleet_shed_the_least_worth_everywhere():
    made = make_balancer(make_servers(60))
    for node in made.placement.slots[:9]:
        made.limiter.record_overload(node, True, False, 0, 0)
    other = made.placement.slots[-1]
    assert not made.limiter.admits(other, 0.5, 0) and made.limiter.admits(other, 1.0, 0)


def test_a_hot_key_gets_more_replicas_and_keeps_the_first_ones():
    made = make_balancer(make_servers(60))
    for number in range(64):
        made.hot_keys.recent.append(7 if number % 8 == 0 else number + 100)
    assert made.hot_keys.replica_count(7, 2, 60) == 20 and made.hot_keys.replica_count(101, 2, 60) == 2
    few, many = made.placement.replicas(7, 2), made.placement.replicas(7, 20)
    assert all(node in many or made.placement.slots.index(node) < 20 for node in few)
    assert len({made.select_server(make_request(), 0) for _ in range(600)}) == 20


def test_peers_words_move_the_share_of_a_known_node_only():
    one, other = (
        make_balancer(make_servers(4), process_count=3, gossip=True),
        make_balancer(make_servers(4), process_count=3, gossip=True),
    )
    asked = make_request(time_to_deadline=S)
    node = one.route(asked, 0).server
    one.record_outcome(asked.attempts[0], Outcome.TIMED_OUT, S)
    one.timers.clear()
    one.slot_order.next_at = None
    said = [(r.peer, r.datagram) for r in one.next_wakeup(3 * S).due if isinstance(r, SendGossip)]
    assert sorted(peer for peer, _ in said) == [1, 2]
    for words in (said[0][1], b"abc\0", b"no", b""):  # the last three: nothing known, nothing whole
        other.receive_gossip(words, 3 * S)
    assert {n.name for n in other.placement.slots if n.admitted_share < 1} == {node.name}
    assert not any(n.health.consecutive_failures for n in other.placement.slots)


def test_a_slow_error_is_pressure_and_a_quick_one_the_nodes_failure():
    made = make_balancer(make_servers(4))
    quick, slow = make_request(), make_request()
    made.route(quick, 0)
    made.record_outcome(quick.attempts[0], Outcome.ERROR, S // 10)
    assert (
        quick.attempts[0].server.class_failures[quick.request_class].consecutive_failures == 1
        and made.limiter.common_share == 1
    )
    made.route(slow, 0)
    before = slow.attempts[0].server.health.consecutive_failures
    made.record_outcome(slow.attempts[0], Outcome.ERROR, S * 6 // 10)
    assert slow.attempts[0].server.health.consecutive_failures == before and made.limiter.common_share < 1


def test_no_strain_closes_a_node_or_the_fleet_for_good():
    made = make_balancer(make_servers(4))
    for worth in range(200):
        made.shedder.limit_fraction(make_request(idempotency=Idempotency.IDEMPOTENT, key=worth), 0)
    for at, node in enumerate(made.placement.slots * 40):
        made.limiter.record_overload(node, True, False, at, at)
        node.concurrency_limit = INITIAL_LIMIT
    asked = make_request()
    asked.request_class.priority_weight = 99.0
    made.shedder.record_answer(7)
    assert isinstance(made.route(asked, 0), Send)


def plain_homes(found, k):
    """The paper's figure 3, slot after slot."""
    place = list(range(k))
    for slot in range(k, len(found)):
        if found[slot] < k:
            place[found[slot]] = slot
    return place


def test_homes_are_the_plain_walks_at_any_size():
    for count in (2, 3, 13, 33, 80, 500):
        placement = Placement(False)
        placement.update(make_servers(count), 0)
        for key in range(50):
            names = [placement.slots[slot] for slot in plain_homes(key_digits(key, count), 2)]
            assert placement.replicas(key, 2) == names


def test_slow_answers_ebb_the_shares_only_where_a_miss_is_told_at_once():
    for origin, less in ((4, True), (-1, False)):
        made = make_balancer(
            [*make_servers(3), Server("origin", kind=4)], origin_kind=origin, hedging_enabled=False
        )
        asked = make_request()
        node = made.route(asked, 0).server
        made.record_outcome(asked.attempts[0], Outcome.SUCCEEDED, S * 6 // 10)
        assert (node.admitted_share < 1 and made.limiter.common_share < 1) == less


def test_ranks_are_those_among_the_last_reqs():
    made = make_balancer(make_servers(2))
    shares, worths = made.shedder, []
    for number in range(3 * RECENT_REQUESTS):
        asked = make_request(key=number)
        asked.request_class.priority_weight = number * 37 % 101
        part = shares.limit_fraction(asked, 0)
        below = sum(other < shares.recent_priorities[-1] for other in worths)
        worths = [*worths, shares.recent_priorities[-1]][-RECENT_REQUESTS:]
        assert part == MIN_LIMIT_FRACTION + (1 - MIN_LIMIT_FRACTION) * (below + PRIOR_REQUESTS) / (
            len(worths) + PRIOR_REQUESTS
        )


def test_a_window_grows_quickly_only_where_nothing_shows_strain():
    # Guards reqs of low rank, which find small windows full at nodes that bear far more.
    grown = []
    for share, common in ((1.0, 1.0), (0.5, 1.0), (1.0, 0.5)):
        room, node = (
            ConcurrencyLimiter(),
            Server("n", concurrency_limit=20.0, in_flight=3, consecutive_on_time=50, admitted_share=share),
        )
        room.common_share = common
        room.record_success(node)
        grown.append(node.concurrency_limit - 20)
    assert grown == [pytest.approx(part / 20) for part in (4, 1, 1)]


def test_attempts_that_were_out_together_are_one_jam():
    # Guards a node against being closed for seconds by the many that one full queue made late.
    room, node = ConcurrencyLimiter(), Server("n", concurrency_limit=20.0)
    for sent in (100, 110, 120, 130):
        room.record_overload(node, True, True, sent, 300)
    assert (node.concurrency_limit, node.admitted_share, room.common_share) == (5.0, 0.8, 0.8)
    room.record_overload(node, True, True, 310, 600)  # sent after that: it is still jammed
    assert (node.concurrency_limit, round(node.admitted_share, 2)) == (1.25, 0.64)


def aside(**more):
    """A fleet where misses are told, and its origin."""
    listed = [*make_servers(3), Server("origin", kind=4)]
    made = make_balancer(listed, origin_kind=4, hedging_enabled=False, max_attempts=2, **more)
    return made, made.servers["origin"]


def missed(made, now, **more):
    """A read that a cache has just missed: what is decided of it next."""
    asked = make_request(arrived_at=now, time_to_deadline=more.pop("give_up", 3 * S), **more)
    made.route(asked, now)
    made.record_outcome(asked.attempts[0], Outcome.CACHE_MISS, now)
    made.next_wakeup(now)
    return asked, made.route(asked, now)


def test_an_origins_window_goes_by_the_wait_there_and_not_by_the_way():
    made, origin = aside()
    for place in range(12):  # a long way, and nothing else
        asked, answer = missed(made, place * S, key=place)
        made.record_outcome(asked.attempts[1], Outcome.SUCCEEDED, place * S + S // 2)
    assert origin.concurrency_limit == MAX_LIMIT
    asked, _ = missed(made, 20 * S)
    made.record_outcome(asked.attempts[1], Outcome.SUCCEEDED, 22 * S)  # a budget and a half on top
    assert origin.concurrency_limit <= 2
    for place in range(12):
        asked, _ = missed(made, (30 + place) * S, key=place)
        made.record_outcome(asked.attempts[1], Outcome.SUCCEEDED, (30 + place) * S + S // 2)
    assert origin.concurrency_limit >= 4


def test_time_outs_shorter_than_the_way_to_the_origin_are_not_held_against_it():
    made, origin = aside()
    asked, _ = missed(made, 0)
    made.record_outcome(asked.attempts[1], Outcome.SUCCEEDED, S * 9 // 10)
    write = make_request(is_write=True, arrived_at=S)
    made.route(write, S)
    before = origin.concurrency_limit
    made.record_outcome(write.attempts[0], Outcome.TIMED_OUT, S + S * 9 // 10)
    assert (origin.concurrency_limit, origin.admitted_share) == (before, 1)


def test_a_fetch_that_fills_a_cache_goes_on_when_its_client_has_been_answered():
    made, _ = aside(retry_after=5)
    asked, decision = missed(made, 0)
    assert isinstance(decision, Send) and decision.timeout_at > S  # after the latency budget
    assert made.next_wakeup(S - 1).due == []
    assert made.next_wakeup(S).due == [asked] and made.route(asked, S) == Reject(5)  # at once, not at `until`
    asked.concluded = True
    assert made.record_outcome(asked.attempts[1], Outcome.SUCCEEDED, S + 1) == OutcomeDecision(Done(), [])
    write = make_request(Idempotency.KEYED, is_write=True, time_to_deadline=3 * S, dedup_window=9 * S)
    assert made.route(write, 0).timeout_at == S  # fills nothing


def test_reads_lean_to_the_first_replica_while_the_origin_has_no_room():
    # Guards an origin that can't bear two copies' fetches; the random pick is back once it can.
    made, origin = aside()
    first = made.placement.replicas_and_spares(7, 2)[0]
    origin.admitted_share = 0
    for place in range(30):
        missed(made, 9 * S + place, key=place)
    assert made.selector.first_replica_chance == 1
    assert {made.select_server(make_request(arrived_at=9 * S), 9 * S) for _ in range(20)} == {first}
    origin.admitted_share, origin.concurrency_limit = 1, 1000
    for place in range(300):
        missed(made, 10 * S + place, key=place)
    assert made.selector.first_replica_chance == 0
    assert len({made.select_server(make_request(arrived_at=10 * S), 10 * S) for _ in range(20)}) == 2


def far_zone(made, zones=("b",)):
    for node in made.servers.values():
        for _ in range(9 if node.zone in zones else 0):
            late = make_request(arrived_at=0)
            attempt = Attempt(late, node, 0, S)
            late.attempts.append(attempt)
            node.in_flight += 1
            made.in_flight += 1
            made.record_outcome(attempt, Outcome.SUCCEEDED, S * 9 // 10)
        node.admitted_share, node.concurrency_limit = 1, 12
    made.limiter.common_share = 1


def test_a_zone_that_answers_late_from_here_is_left_and_tried_again():
    # Guards against homes that are well but out of reach: the walk goes on to a zone that answers.
    listed = [Server(f"{zone}{i}", zone=zone) for zone in "ab" for i in range(4)]
    made = make_balancer(listed, process_count=40)
    far_zone(made)
    made.zone_outliers.record("a", True)
    for zone in made.zone_outliers.zones.values():
        zone.next_probe_at = 5 * S
    picked = {made.select_server(make_request(key=key, arrived_at=S), S).zone for key in range(50)}
    assert picked == {"a"}
    there = next(key for key in range(50) if made.placement.replicas_and_spares(key, 2)[0].zone == "b")
    trials = []
    for now in range(5 * S, 9 * S, S // 10):
        asked = make_request(key=there, arrived_at=now)
        trials.append(made.route(asked, now).server.zone)
        took = S * 9 // 10 if trials[-1] == "b" else 1000  # told at once, which does no harm here
        asked.attempts[0].sent_at = now - took
        made.record_outcome(asked.attempts[0], Outcome.SUCCEEDED, now)
    assert 2 <= trials.count("b") <= 6
    made.zone_outliers.record("b", True)
    made.zone_outliers.record("b", True)
    assert not made.zone_outliers.is_ejected("b", 9 * S)
    made.update_endpoints([node for node in listed if node.zone == "a"], True, 9 * S)
    made.update_endpoints([node for node in listed if node.zone == "a"], True, 99 * S)
    assert "b" not in made.zone_outliers.zones  # what is known of a zone goes with it


def test_connections_that_do_not_come_up_count_against_the_way_too():
    # Guards against a way so slow that no connection comes up in the time that one is given.
    for outcome in (
        Outcome.CONNECTION_REFUSED,
        Outcome.CONNECTION_LOST,
        Outcome.TIMED_OUT,
        Outcome.OVERLOADED,
    ):
        made = make_balancer(
            [Server(f"{zone}{i}", zone=zone) for zone in "ab" for i in range(8)], process_count=40
        )
        for node in list(made.servers.values())[8:]:
            asked = make_request(arrived_at=0)
            asked.attempts.append(Attempt(asked, node, 0, S))
            node.in_flight += 1
            made.record_outcome(asked.attempts[0], outcome, S // 4)
        made.zone_outliers.record("a", True)
        made.zone_outliers.note_probe_sent("b", S)
        assert made.zone_outliers.is_ejected("b", S) == (outcome != Outcome.OVERLOADED)


def test_a_zone_is_not_left_in_a_small_fleet_that_tells_no_loads():
    # Guards against leaving a zone that is merely loaded: the rest of a small fleet jams.
    made = make_balancer([Server(f"{zone}{i}", zone=zone) for zone in "ab" for i in range(4)])
    far_zone(made)
    assert not made.zone_outliers.zones


def test_no_zone_is_left_where_all_answer_late():
    made = make_balancer(
        [Server(f"{zone}{i}", zone=zone) for zone in "ab" for i in range(4)], process_count=40
    )
    far_zone(made, "ab")
    assert made.zone_outliers.zones["a"].consecutive_failures >= EJECT_ZONE_AFTER
    assert not made.zone_outliers.is_ejected("a", 0) and not made.zone_outliers.is_ejected("b", 0)


def test_time_outs_of_caches_do_not_close_the_origin():
    made, _ = aside()
    made.limiter.common_share = 0.02
    for node in made.servers.values():
        node.last_outcome_at = 0
    assert isinstance(missed(made, 100)[1], Send)
