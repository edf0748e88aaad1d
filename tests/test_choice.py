from collections import Counter

import pytest
from helpers import S, choice, nodes, req

from ivystack.choice import NEVER_RAN, Placement, Room, digits, draws, spots
from ivystack.model import (
    DEDUPLICATED,
    DONE,
    ERRORED,
    FAIL,
    FULL,
    GO,
    LEAVING,
    LEFT,
    MISSED,
    NACK,
    NON_RETRYABLE,
    OVERDUE,
    READY,
    REFUSED,
    RETRYABLE,
    SATISFIED,
    SEVERED,
    WAIT,
    Method,
    Node,
    Req,
    Attempt,
)

PRINTED = [0, 2, 3, 2, 1, 3, 3, 3, 1, 3, 9, 12, 1]  # the paper's expansion of 12345678910, from x_1 on


def test_expansion_of_the_paper():
    assert digits(12345678910, 14) == [0, *PRINTED]


def test_short_expansions_end_in_zeros_which_are_digits():
    assert spots(digits(1, 6), 2)[:2] == [5, 1]


def test_worked_example_of_the_paper():
    # It reads the printed list from index 0, so bin l takes x_(l+1); the walk is the same.
    found = {count: spots(PRINTED[:count], 3)[:3] for count in range(3, 12)}
    assert found[3] == [0, 1, 2] and found[4] == [0, 1, 3]
    assert all(found[count] == [0, 4, 3] for count in range(5, 9))
    assert all(found[count] == [0, 8, 3] for count in range(9, 12))


def test_even_shares_and_no_two_replicas_together():
    for k, count in ((2, 7), (3, 25), (2, 40)):
        shares = Counter()
        for key in range(6000):
            homes = spots(draws(key, count), k)
            assert len(set(homes)) == k + 1
            shares.update(homes[:k])
        assert all(abs(shares[slot] * count / (6000 * k) - 1) < 0.2 for slot in range(count))


def test_fewer_caches_than_replicas():
    assert spots(draws(5, 1), 2) == [0]
    assert spots([], 2) == []
    assert choice().where(req(), 0)[0] == WAIT


def test_weights_give_shares_in_proportion():
    placement = Placement(True)
    placement.settle([Node(f"n{i}", weight=1.0 if i < 6 else 2.0) for i in range(9)], 0)
    shares = Counter(node.name for key in range(8000) for node in placement.homes(key, 2)[:2])
    assert 1.7 < shares["n8"] / shares["n4"] < 2.3


def test_a_weight_due_more_than_every_key_takes_every_key_once():
    placement = Placement(True)
    placement.settle([Node("a"), Node("b"), Node("c", weight=50.0)], 0)
    assert all("c" in [node.name for node in placement.homes(key, 2)[:2]] for key in range(200))


def test_drained_cache_gives_its_slot_to_the_last():
    made = choice(nodes(5))
    made.listed([Node("n01", state=LEAVING)], False, 0)
    assert [node.name for node in made.placement.slots] == ["n00", "n04", "n02", "n03"]


def test_crashed_cache_keeps_its_slot_and_its_return_starts_cold():
    made = choice(nodes(4), cold_share=0.1, cold=10 * S)
    made.listed([Node("n01", state=LEFT)], False, S)
    made.listed([Node("n01", state=READY, started=5 * S)], False, 6 * S)
    node = made.placement.slots[1]
    assert node.name == "n01" and made.cold.warmth(node, 6 * S) < 0.2


def test_slots_after_our_own_restart_follow_start_times():
    made = choice([Node("a", started=9), Node("b", started=0), Node("c", started=5)])
    assert [node.name for node in made.placement.slots] == ["b", "c", "a"]


def test_a_pick_skips_a_loaded_replica():
    made = choice(nodes(6))
    homes = made.placement.homes(7, 2)
    homes[0].in_flight = made.in_flight = 9
    assert all(made.pick(req(), 0) is homes[1] for _ in range(20))


def test_a_cold_node_gets_its_warmth_of_its_usual_load():
    made = choice([*nodes(5, window=999), Node("cold", window=999, started=1)], cold_share=0.1, cold=100 * S)
    sent = Counter(made.where(req(key=key), 2)[1].name for key in range(400))
    assert 1 <= sent["cold"] <= 0.25 * sent.total() / 6
    made = choice([Node(f"c{i}", window=999, started=1) for i in range(6)], cold_share=0.1, cold=100 * S)
    assert sum(made.where(req(key=key), 2)[0] == GO for key in range(400)) < 80  # all are cold


def test_no_second_attempt_of_a_non_retryable_req_that_may_have_run():
    made = choice(nodes(4))
    asked = req(NON_RETRYABLE)
    made.where(asked, 0)
    assert made.after(asked.attempts[0], ERRORED, 10)[0][0] == FAIL


def test_non_retryable_goes_out_again_when_it_never_ran():
    for outcome in NEVER_RAN - {MISSED}:
        made = choice(nodes(4))
        asked = req(NON_RETRYABLE)
        made.where(asked, 0)
        assert made.after(asked.attempts[0], outcome, 10)[0][0] == WAIT
        assert made.wait(10)[1] == [asked] and made.where(asked, 10)[0] == GO


def test_deduplicated_only_within_its_window():
    made = choice(nodes(4))
    asked = req(DEDUPLICATED, window=S // 2)
    made.where(asked, 0)
    assert made.after(asked.attempts[0], ERRORED, S * 6 // 10)[0][0] == NACK
    outside = req(DEDUPLICATED, window=S // 2, group="zone")
    made.where(outside, 0)
    assert made.after(outside.attempts[0], ERRORED, S * 6 // 10)[0][0] == FAIL


def test_never_two_at_once_where_forbidden():
    made = choice(nodes(4), may_duplicate=False)
    asked = req()
    made.where(asked, 0)
    assert made.where(asked, 500)[0] == WAIT and len(asked.attempts) == 1


def test_late_is_given_up_at_once():
    made = choice(nodes(4))
    asked = req(budget=S // 2)
    assert made.where(asked, 0)[2] == S // 2
    assert made.after(asked.attempts[0], OVERDUE, S // 2)[0][0] == NACK


def test_failures_in_a_row_take_a_node_out_and_an_answer_brings_it_back():
    made = choice(nodes(6))
    node = made.placement.homes(7, 2)[0]
    for _ in range(3):
        made.health.failed(node, False, 0)
    assert all(made.pick(req(), 10) is not node for _ in range(20))
    assert made.pick(req(), S) is not node  # it was looked at long before this req came: none passed by
    node.passed = 4
    assert made.pick(req(), S) is node
    made.health.answered(node, S)
    assert made.health.up(node)


def test_miss_goes_to_the_origin_and_origin_holds_no_slot():
    made = choice([*nodes(3), Node("origin", kind=4)], origin=4, may_duplicate=False)
    asked = req()
    made.where(asked, 0)
    made.after(asked.attempts[0], MISSED, 10)
    made.wait(10)
    assert made.where(asked, 10)[1].name == "origin" and len(made.placement.slots) == 3


def test_further_attempts_keep_to_their_budget_and_come_after_first_ones():
    made = choice(nodes(4))
    made.spare = 0.5
    asked = req()
    made.where(asked, 0)
    made.after(asked.attempts[0], ERRORED, 10)
    waiting = req(key=9)
    made.first.append(waiting)
    assert made.wait(10)[1] == [waiting, asked] and made.where(asked, 10)[0] == NACK


def test_answer_calls_off_the_second_copy():
    made = choice(nodes(4))
    asked = req()
    made.where(asked, 0)
    made.where(asked, S // 4)
    assert made.after(asked.attempts[0], SATISFIED, S // 3) == (("done", None, 0), [asked.attempts[1]])


def test_full_node_is_no_failure():
    made = choice(nodes(4))
    asked = req()
    node = made.where(asked, 0)[1]
    made.after(asked.attempts[0], FULL, 10)
    assert node.failures == 0
    made.wait(10)
    made.after(asked.attempts[0], REFUSED, 10)
    assert node.failures == 1


def test_the_least_worth_and_likely_misses_find_a_window_full_first():
    made = choice(nodes(4))
    made.shares.answered(7)
    parts = [made.shares.part_of_window(req(key=key), 0) for key in [7] * 50 + [8] * 50 + [7]]
    assert parts[-1] > max(parts[60:100])


def test_a_window_below_one_spaces_attempts():
    made = choice(nodes(1))
    node = made.placement.slots[0]
    node.window, node.sent = 0.1, 0
    assert not made.room.has(node, 1.0, S // 2) and made.room.has(node, 1.0, S + 1)


def test_the_origin_has_a_window_and_is_given_all_the_time_left():
    made = choice([*nodes(3), Node("origin", kind=4)], origin=4, may_duplicate=False)
    asked = req(write=True)
    assert made.where(asked, 0)[1:] == (made.origins[0], S)
    made.origins[0].window = 1.0
    assert made.where(req(write=True), 0)[0] == WAIT


def test_zero_weights_hold_no_keys_but_the_first():
    placement = Placement(True)
    placement.settle([Node("a"), Node("b"), Node("c", weight=0.0), Node("d")], 0)
    assert all("c" not in [node.name for node in placement.homes(key, 2)[:2]] for key in range(100))


def test_a_time_out_after_little_time_is_not_held_against_the_node():
    made = choice(nodes(2))
    asked = req()
    node = made.where(asked, S * 8 // 10)[1]
    before = node.window
    made.after(asked.attempts[0], OVERDUE, S)
    assert node.window == before and node.failures == 0


def test_a_time_out_that_none_passed_halves_what_is_in_use_of_the_origins_window():
    # Guards against a jam there: two off 64, once a jam, took 22 s to fall to what is answered in time.
    made = choice([*nodes(3), Node("origin", kind=4)], origin=4, may_duplicate=False)
    writes = [req(write=True, arrived=place) for place in range(20)]
    for write in writes:
        origin = made.where(write, write.arrived)[1]
    made.after(writes[0].attempts[0], OVERDUE, S)
    assert origin.window == 10
    made.after(writes[1].attempts[0], OVERDUE, S + 1)
    assert origin.window == 10  # one jam
    made.after(writes[19].attempts[0], SATISFIED, S + 2)
    made.after(writes[18].attempts[0], OVERDUE, S + 2)
    assert origin.window > 9  # one that others passed is chance


def test_a_time_out_that_later_attempts_passed_is_no_jam_and_no_failure():
    # Guards against shedding at unstrained nodes for lost connections and long work.
    made = choice(nodes(1))
    node = made.nodes["n00"]
    late, quick, behind = req(), req(arrived=10), req(arrived=20)
    for one in (late, quick, behind):
        made.where(one, one.arrived)
    made.after(quick.attempts[0], SATISFIED, 30)
    before = node.window
    made.doubt(late, 30)
    made.after(late.attempts[0], OVERDUE, S)
    assert before - 1 < node.window < before and (node.failures, node.share, made.room.common) == (0, 1, 1)
    made.after(behind.attempts[0], OVERDUE, S + 20)  # a lone one at a node heard from just now: the same
    assert before - 1 < node.window and node.failures == 1
    further = req(arrived=S)
    made.where(further, S)
    made.after(further.attempts[0], OVERDUE, 2 * S)
    assert node.window < before * 0.6 and node.failures == 2


def test_a_node_that_fails_one_method_serves_the_others_and_is_tried_again_with_it():
    made = choice(nodes(1))
    node = made.nodes["n00"]
    bad, good = Method("bad", DEDUPLICATED, S, window=9 * S), Method("good", RETRYABLE, S)
    for _ in range(made.health.FAILED):
        asked = Req(bad, 0, S, 7)
        assert made.where(asked, 0)[0] == GO
        made.after(asked.attempts[0], ERRORED, 10)
    assert made.pick(Req(bad, 10, S, 7), 10) is None and made.pick(Req(good, 10, S, 7), 10) is node
    later = made.health.PAUSE + 20
    picked = [made.pick(Req(bad, later, later + S, 7), later) for _ in range(3)]
    assert picked[-1] is node


def test_a_node_refused_by_chance_is_not_back_cold():
    made = choice([Node("a", started=1)], cold_share=0.1, cold=100 * S)
    node = made.nodes["a"]
    for at in (S, S + 1):
        made.health.failed(node, True, at)
    made.health.failed(node, False, 2 * S)  # its first trial goes out, and is answered
    made.health.answered(node, 2 * S)
    assert node.started == 1


def test_windows_grow_until_the_least_worth_has_a_place():
    made = choice(nodes(1))
    node = made.nodes["n00"]
    node.in_flight = 3
    for _ in range(3000):
        made.room.answered(node, False)
    assert made.room.has(node, made.shares.LEAST, 0) and node.window < 42


def test_a_small_window_grows_faster_with_each_answer_in_a_row():
    made = choice(nodes(1))
    node = made.placement.slots[0]
    node.window = 0.1
    for _ in range(9):
        made.room.answered(node, False)
    assert node.window > 1


def test_idle_connections_are_closed_early_where_proxies_are_many():
    made = choice(nodes(4), proxies=320)
    asked = req()
    node = made.where(asked, 0)[1]
    made.after(asked.attempts[0], SATISFIED, S)
    made.due.clear()
    assert made.wait(S) == (3 * S, [])
    _, [closing] = made.wait(4 * S)
    assert made.where(closing, 4 * S) == (GO, node, 0)


def test_a_time_out_leaves_a_third_of_the_share_and_the_higher_ranked_stay():
    made = choice(nodes(2))
    node = made.placement.slots[0]
    made.room.ran_out(node, False, True, False, 0, 0)
    assert made.room.has(node, 0.7, 0) and not made.room.has(node, 0.6, 0)
    for _ in range(5):
        made.room.answered(node, False)
    node.window = 12.0  # that is another matter
    assert made.room.has(node, 0.2, 0)


def test_time_outs_over_the_fleet_shed_the_least_worth_everywhere():
    made = choice(nodes(60))
    for node in made.placement.slots[:9]:
        made.room.ran_out(node, False, True, False, 0, 0)
    other = made.placement.slots[-1]
    assert not made.room.has(other, 0.5, 0) and made.room.has(other, 1.0, 0)


def test_a_hot_key_gets_more_replicas_and_keeps_the_first_ones():
    made = choice(nodes(60))
    for number in range(64):
        made.popular.last.append(7 if number % 8 == 0 else number + 100)
    assert made.popular.replicas(7, 2, 60) == 20 and made.popular.replicas(101, 2, 60) == 2
    few, many = made.placement.homes(7, 2)[:2], made.placement.homes(7, 20)[:20]
    assert all(node in many or made.placement.slots.index(node) < 20 for node in few)
    assert len({made.pick(req(), 0) for _ in range(600)}) == 20


def test_peers_words_move_the_share_of_a_known_node_only():
    one, other = choice(nodes(4), proxies=3, peers=True), choice(nodes(4), proxies=3, peers=True)
    asked = req(give_up=S)
    node = one.where(asked, 0)[1]
    one.after(asked.attempts[0], OVERDUE, S)
    one.due.clear()
    one.order.next_at = None
    said = [r.saying for r in one.wait(3 * S)[1] if r.saying]
    assert sorted(peer for peer, _ in said) == [1, 2]
    for words in (said[0][1], b"abc\0", b"no", b""):  # the last three: nothing known, nothing whole
        other.told(words, 3 * S)
    assert {n.name for n in other.placement.slots if n.share < 1} == {node.name}
    assert not any(n.failures for n in other.placement.slots)


def test_a_slow_error_is_pressure_and_a_quick_one_the_nodes_failure():
    made = choice(nodes(4))
    quick, slow = req(), req()
    made.where(quick, 0)
    made.after(quick.attempts[0], ERRORED, S // 10)
    assert quick.attempts[0].node.errors[quick.method].failures == 1 and made.room.common == 1
    made.where(slow, 0)
    before = slow.attempts[0].node.failures
    made.after(slow.attempts[0], ERRORED, S * 6 // 10)
    assert slow.attempts[0].node.failures == before and made.room.common < 1


def test_no_strain_closes_a_node_or_the_fleet_for_good():
    made = choice(nodes(4))
    for worth in range(200):
        made.shares.part_of_window(req(semantics=RETRYABLE, key=worth), 0)
    for at, node in enumerate(made.placement.slots * 40):
        made.room.ran_out(node, False, True, False, at, at)
        node.window = made.room.START
    asked = req()
    asked.method.criticality = 99.0
    made.shares.answered(7)
    assert made.where(asked, 0)[0] == GO


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
        placement.settle(nodes(count), 0)
        for key in range(50):
            names = [placement.slots[slot] for slot in plain_homes(draws(key, count), 2)]
            assert placement.homes(key, 2)[:2] == names


def test_slow_answers_ebb_the_shares_only_where_a_miss_is_told_at_once():
    for origin, less in ((4, True), (-1, False)):
        made = choice([*nodes(3), Node("origin", kind=4)], origin=origin, may_duplicate=False)
        asked = req()
        node = made.where(asked, 0)[1]
        made.after(asked.attempts[0], SATISFIED, S * 6 // 10)
        assert (node.share < 1 and made.room.common < 1) == less


def test_ranks_are_those_among_the_last_reqs():
    made = choice(nodes(2))
    shares, worths = made.shares, []
    for number in range(3 * shares.KEPT):
        asked = req(key=number)
        asked.method.criticality = number * 37 % 101
        part = shares.part_of_window(asked, 0)
        below = sum(other < shares.worths[-1] for other in worths)
        worths = [*worths, shares.worths[-1]][-shares.KEPT :]
        assert part == shares.LEAST + (1 - shares.LEAST) * (below + shares.NEW) / (len(worths) + shares.NEW)


def test_a_window_grows_quickly_only_where_nothing_shows_strain():
    # Guards reqs of low rank, which find small windows full at nodes that bear far more.
    grown = []
    for share, common in ((1.0, 1.0), (0.5, 1.0), (1.0, 0.5)):
        room, node = Room(), Node("n", window=20.0, in_flight=3, in_time=50, share=share)
        room.common = common
        room.answered(node, False)
        grown.append(node.window - 20)
    assert grown == [pytest.approx(part / 20) for part in (4, 1, 1)]


def test_attempts_that_were_out_together_are_one_jam():
    # Guards a node against being closed for seconds by the many that one full queue made late.
    room, node = Room(), Node("n", window=20.0)
    for sent in (100, 110, 120, 130):
        room.ran_out(node, False, True, True, sent, 300)
    assert (node.window, node.share, room.common) == (5.0, 0.8, 0.8)
    room.ran_out(node, False, True, True, 310, 600)  # sent after that: it is still jammed
    assert (node.window, round(node.share, 2)) == (1.25, 0.64)


def aside(**more):
    """A fleet where misses are told, and its origin."""
    listed = [*nodes(3), Node("origin", kind=4)]
    made = choice(listed, origin=4, may_duplicate=False, most_write_outs=2, **more)
    return made, made.nodes["origin"]


def missed(made, now, **more):
    """A read that a cache has just missed: what is decided of it next."""
    asked = req(arrived=now, give_up=more.pop("give_up", 3 * S), **more)
    made.where(asked, now)
    made.after(asked.attempts[0], MISSED, now)
    made.wait(now)
    return asked, made.where(asked, now)


def test_an_origins_window_goes_by_the_wait_there_and_not_by_the_way():
    made, origin = aside()
    for place in range(12):  # a long way, and nothing else
        asked, answer = missed(made, place * S, key=place)
        made.after(asked.attempts[1], SATISFIED, place * S + S // 2)
    assert origin.window == Room.MOST
    asked, _ = missed(made, 20 * S)
    made.after(asked.attempts[1], SATISFIED, 22 * S)  # a budget and a half on top
    assert origin.window <= 2
    for place in range(12):
        asked, _ = missed(made, (30 + place) * S, key=place)
        made.after(asked.attempts[1], SATISFIED, (30 + place) * S + S // 2)
    assert origin.window >= 4


def test_time_outs_shorter_than_the_way_to_the_origin_are_not_held_against_it():
    made, origin = aside()
    asked, _ = missed(made, 0)
    made.after(asked.attempts[1], SATISFIED, S * 9 // 10)
    write = req(write=True, arrived=S)
    made.where(write, S)
    before = origin.window
    made.after(write.attempts[0], OVERDUE, S + S * 9 // 10)
    assert (origin.window, origin.share) == (before, 1)


def test_a_fetch_that_fills_a_cache_goes_on_when_its_client_has_been_answered():
    made, _ = aside(come_back=5)
    asked, (word, _, until) = missed(made, 0)
    assert word == GO and until > S  # after the latency budget
    assert made.wait(S - 1)[1] == []
    assert made.wait(S)[1] == [asked] and made.where(asked, S) == (NACK, None, 5)  # at once, not at `until`
    asked.over = True
    assert made.after(asked.attempts[1], SATISFIED, S + 1) == ((DONE, None, 0), [])
    write = req(DEDUPLICATED, write=True, give_up=3 * S, window=9 * S)
    assert made.where(write, 0)[2] == S  # fills nothing


def test_reads_lean_to_the_first_replica_while_the_origin_has_no_room():
    # Guards an origin that can't bear two copies' fetches; the random pick is back once it can.
    made, origin = aside()
    first = made.placement.homes(7, 2)[0]
    origin.share = 0
    for place in range(30):
        missed(made, 9 * S + place, key=place)
    assert made.lean == 1
    assert {made.pick(req(arrived=9 * S), 9 * S) for _ in range(20)} == {first}
    origin.share, origin.window = 1, 1000
    for place in range(300):
        missed(made, 10 * S + place, key=place)
    assert made.lean == 0
    assert len({made.pick(req(arrived=10 * S), 10 * S) for _ in range(20)}) == 2


def far_zone(made, zones=("b",)):
    for node in made.nodes.values():
        for _ in range(9 if node.zone in zones else 0):
            late = req(arrived=0)
            attempt = Attempt(late, node, 0, S)
            late.attempts.append(attempt)
            node.in_flight += 1
            made.in_flight += 1
            made.after(attempt, SATISFIED, S * 9 // 10)
        node.share, node.window = 1, 12
    made.room.common = 1


def test_a_zone_that_answers_late_from_here_is_left_and_tried_again():
    # Guards against homes that are well but out of reach: the walk goes on to a zone that answers.
    listed = [Node(f"{zone}{i}", zone=zone) for zone in "ab" for i in range(4)]
    made = choice(listed, proxies=40)
    far_zone(made)
    made.ways.ended("a", True)
    for zone in made.ways.zones.values():
        zone.trial_at = 5 * S
    picked = {made.pick(req(key=key, arrived=S), S).zone for key in range(50)}
    assert picked == {"a"}
    there = next(key for key in range(50) if made.placement.homes(key, 2)[0].zone == "b")
    trials = []
    for now in range(5 * S, 9 * S, S // 10):
        asked = req(key=there, arrived=now)
        trials.append(made.where(asked, now)[1].zone)
        took = S * 9 // 10 if trials[-1] == "b" else 1000  # told at once, which does no harm here
        asked.attempts[0].sent = now - took
        made.after(asked.attempts[0], SATISFIED, now)
    assert 2 <= trials.count("b") <= 6
    made.ways.ended("b", True)
    made.ways.ended("b", True)
    assert not made.ways.far("b", 9 * S)
    made.listed([node for node in listed if node.zone == "a"], True, 9 * S)
    made.listed([node for node in listed if node.zone == "a"], True, 99 * S)
    assert "b" not in made.ways.zones  # what is known of a zone goes with it


def test_connections_that_do_not_come_up_count_against_the_way_too():
    # Guards against a way so slow that no connection comes up in the time that one is given.
    for outcome in (REFUSED, SEVERED, OVERDUE, FULL):
        made = choice([Node(f"{zone}{i}", zone=zone) for zone in "ab" for i in range(8)], proxies=40)
        for node in list(made.nodes.values())[8:]:
            asked = req(arrived=0)
            asked.attempts.append(Attempt(asked, node, 0, S))
            node.in_flight += 1
            made.after(asked.attempts[0], outcome, S // 4)
        made.ways.ended("a", True)
        made.ways.sent("b", S)
        assert made.ways.far("b", S) == (outcome != FULL)


def test_a_zone_is_not_left_in_a_small_fleet_that_tells_no_loads():
    # Guards against leaving a zone that is merely loaded: the rest of a small fleet jams.
    made = choice([Node(f"{zone}{i}", zone=zone) for zone in "ab" for i in range(4)])
    far_zone(made)
    assert not made.ways.zones


def test_no_zone_is_left_where_all_answer_late():
    made = choice([Node(f"{zone}{i}", zone=zone) for zone in "ab" for i in range(4)], proxies=40)
    far_zone(made, "ab")
    assert made.ways.zones["a"].failures >= made.ways.ROW
    assert not made.ways.far("a", 0) and not made.ways.far("b", 0)


def test_time_outs_of_caches_do_not_close_the_origin():
    made, _ = aside()
    made.room.common = 0.02
    for node in made.nodes.values():
        node.heard = 0
    assert missed(made, 100)[1][0] == GO
