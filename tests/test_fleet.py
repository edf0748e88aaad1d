"""Many proxies that act in step: what is harmless from one of them is counted over all of them."""

from helpers import S, make_balancer, make_request, make_servers

from ivystack.balancing import gossip, slot_order
from ivystack.balancing.concurrency_limit import SHARE_FACTOR, SLOW_HIT_SHARE_FACTOR
from ivystack.balancing.gossip import FAILURE_DELAY_US
from ivystack.balancing.gossip_codec import OUTCOME_BYTES, GossipedOutcome
from ivystack.balancing.placement import CRASHED_SLOT_US
from ivystack.balancing.slot_order import REQUEST_INTERVAL_US, SETTLING_US
from ivystack.model import Outcome, Send, SendGossip, Server, ServerState


def fleet(count, nodes_each=4):
    """So many proxies that each know the same nodes, with a seed of its own each."""
    made = [
        make_balancer(make_servers(nodes_each), process_count=count, gossip=True, own_number=me)
        for me in range(count)
    ]
    for one in made:
        one.slot_order.settled_at = one.slot_order.next_at = -1  # they have run for long
        one.next_wakeup(0)
    return made


def pass_on(made, now):
    """Carries what is due to be said to whom it is said; how many messages and bytes that were."""
    said = [
        (r.peer, r.datagram) for one in made for r in one.next_wakeup(now).due if isinstance(r, SendGossip)
    ]
    for peer, words in said:
        made[peer].receive_gossip(words, now)
    return len(said), sum(len(words) for _, words in said)


def late_at_one_node(one, now):
    """An attempt there runs out of time at this proxy."""
    asked = make_request(arrived_at=now - S, time_to_deadline=2 * S)
    node = one.route(asked, now - S).server
    one.record_outcome(asked.attempts[0], Outcome.TIMED_OUT, now)
    one.timers.clear()
    return node.name


def test_forty_proxies_hear_of_a_jam_before_each_has_fed_it():
    made = fleet(40)
    jammed = {late_at_one_node(one, 2 * S) for one in made[:8]}
    for step in range(1, 6):  # 50 ms, when the next reqs of most are still to come
        pass_on(made, 2 * S + step * S // 100)
    heard = [one for one in made[8:] if any(one.servers[name].admitted_share < 1 for name in jammed)]
    assert len(heard) >= 24  # of 32; three in four
    assert not any(node.health.consecutive_failures for one in made[8:] for node in one.servers.values())


def test_answers_that_come_late_within_their_budget_close_a_node_before_any_runs_out():
    made, shares = make_balancer(make_servers(1), process_count=40), []
    for spent in (S * 8 // 10, S * 7 // 10, S * 8 // 10, S * 8 // 10, S * 8 // 10):
        at = 3 * S * len(shares)  # met seldom
        asked = make_request(arrived_at=at)
        made.route(asked, at)
        made.record_outcome(asked.attempts[0], Outcome.SUCCEEDED, at + spent)
        shares.append(made.placement.slots[0].admitted_share)
    assert shares[:3] == [1, 1, 1]  # one may be a miss
    assert 1 > shares[3] > shares[4]


def test_a_node_met_often_is_judged_by_its_window_and_peers_words_count_less():
    one, other = fleet(2, 1)  # two proxies: each sees half of what the node gets
    node = one.placement.slots[0]
    for at in range(0, S, S // 5):
        asked = make_request(arrived_at=at)
        one.route(asked, at)
        one.record_outcome(asked.attempts[0], Outcome.SUCCEEDED, at + S * 9 // 10)
    assert node.admitted_share == 1
    late_at_one_node(other, 2 * S)
    for share, at in ((0.8, 2 * S), (0.8 * SHARE_FACTOR, 4 * S)):  # heard from lately, and not
        other.gossip.note(next(iter(other.servers.values())), GossipedOutcome.FAILED, at)
        (words,) = [
            r.datagram for r in other.next_wakeup(at + FAILURE_DELAY_US).due if isinstance(r, SendGossip)
        ]
        one.receive_gossip(words, at)
        assert abs(node.admitted_share - share) < 0.001


def test_where_proxies_are_many_their_words_count_in_full_at_nodes_met_often_too():
    one, other = fleet(40, 1)[:2]
    node = one.placement.slots[0]
    node.last_outcome_at = 2 * S
    other.gossip.note(next(iter(other.servers.values())), GossipedOutcome.FAILED, 2 * S)
    one.receive_gossip(
        next(
            r.datagram for r in other.next_wakeup(2 * S + FAILURE_DELAY_US).due if isinstance(r, SendGossip)
        ),
        2 * S,
    )
    assert abs(node.admitted_share - SHARE_FACTOR) < 0.001


def test_what_a_proxy_says_does_not_grow_with_the_fleet():
    cost = {}
    for count in (40, 400):
        made = fleet(count)
        for one in made:
            late_at_one_node(one, 2 * S)
        messages, words = map(sum, zip(*(pass_on(made, 2 * S + n * S // 20) for n in range(21)), strict=True))
        assert messages == count * gossip.FANOUT  # one round each: what ended was one attempt each
        cost[count] = words / count
    assert cost[400] == cost[40] > 0


def test_bad_endings_of_a_burst_share_a_message():
    one = fleet(2)[0]
    for node in one.servers.values():
        one.gossip.note(node, GossipedOutcome.FAILED, 0)
        one.gossip.note(
            node, GossipedOutcome.ON_TIME, FAILURE_DELAY_US // 2
        )  # a good one does not put it off
    said = [r.datagram for r in one.next_wakeup(FAILURE_DELAY_US).due if isinstance(r, SendGossip)]
    assert len(said) == 1 and len(said[0]) == OUTCOME_BYTES * len(one.servers)


# Slot orders: a release is under way, most proxies restart.


def replaced(node, state):
    return Server(node.name, started_at=node.started_at, state=state)


def released(made, first, count, now):
    """So many nodes leave, new ones come, as each proxy's list says it."""
    for one in made:
        old = [one.servers[f"n{i:02}"] for i in range(first, first + count)]
        one.update_endpoints([replaced(node, ServerState.DRAINING) for node in old], False, now)
        new = [Server(f"m{i:02}", started_at=now) for i in range(first, first + count)]
        one.update_endpoints(new, False, now)


def restarted(one, count, me):
    """The same proxy after a restart: it knows the list and nothing else."""
    listed = [
        Server(n.name, started_at=n.started_at) for n in one.servers.values() if n.state == ServerState.READY
    ]
    return make_balancer(listed, process_count=count, gossip=True, own_number=me, now=9 * S)


def orders(made):
    return [tuple(node.name for node in one.placement.slots) for one in made]


def restarted_amid_a_release(count):
    made = fleet(count, 20)
    released(made, 3, 6, S)
    dead = count * 7 // 10
    return [restarted(one, count, me) if me < dead else one for me, one in enumerate(made)]


def test_proxies_that_restart_at_once_take_up_the_order_that_the_others_kept():
    made = restarted_amid_a_release(40)
    assert len(set(orders(made))) == 2
    for step in range(4):  # whom one asks may have started just now as well
        pass_on(made, 9 * S + step * REQUEST_INTERVAL_US)
        pass_on(made, 9 * S + step * REQUEST_INTERVAL_US + 1)
    assert len(set(orders(made))) == 1


def test_what_a_restart_asks_does_not_grow_with_the_fleet():
    for count in (40, 200):
        made, messages = restarted_amid_a_release(count), 0
        for step in range(40):
            messages += pass_on(made, 9 * S + step * REQUEST_INTERVAL_US)[0]
        rounds = SETTLING_US // REQUEST_INTERVAL_US
        assert (
            0 < messages <= count * 2 * slot_order.FANOUT * rounds
        )  # questions and answers, and then no more


def test_all_proxies_at_once_ask_and_stay_with_their_lists():
    made = [make_balancer(make_servers(5), process_count=40, gossip=True, own_number=me) for me in range(40)]
    before = orders(made)
    for step in range(40):
        pass_on(made, step * REQUEST_INTERVAL_US)
    assert orders(made) == before and all(one.slot_order.next_at is None for one in made)


def answer(kept, asker=1):
    """The messages of an answer to a question."""
    kept.receive_gossip(b"?" + asker.to_bytes(2, "big"), 9 * S)
    return [r.datagram for r in kept.next_wakeup(9 * S).due if isinstance(r, SendGossip) and r.peer == asker]


def test_an_order_of_many_nodes_comes_in_parts_whatever_their_order():
    kept = fleet(2, 200)[0]
    young = make_balancer(make_servers(200)[::-1], process_count=2, gossip=True, own_number=1, now=9 * S)
    kept.placement.slots.reverse()
    parts = answer(kept)
    assert len(parts) == 3 and all(len(part) <= 256 and len(part) % OUTCOME_BYTES for part in parts)
    for part in (parts[2], parts[0], parts[0]):
        young.receive_gossip(part, 9 * S)
    assert orders([young]) != orders([kept])
    young.receive_gossip(parts[1], 9 * S)
    assert orders([young]) == orders([kept])


def test_words_that_are_no_order_change_nothing():
    kept, young = (
        fleet(2, 9)[0],
        make_balancer(make_servers(9), process_count=2, gossip=True, own_number=1, now=9 * S),
    )
    kept.placement.slots.reverse()
    (whole,) = answer(kept)
    before = orders([young])
    longer = whole[:5] + b"\xff\xff" + whole[7:]
    for words in (b"?", b"=", b"=" * 9, whole[:-3], longer, b"x" + whole[1:], b"??x"):
        young.receive_gossip(words, 9 * S)
        kept.receive_gossip(words, 9 * S)
    assert orders([young]) == before
    kept.receive_gossip(whole, 9 * S)  # one that has run for long stays with its own
    assert orders([kept]) != before
    young.receive_gossip(whole, 9 * S)
    assert orders([young]) == orders([kept])


def test_a_slot_of_a_node_not_listed_yet_is_awaited_and_sent_nothing():
    kept = fleet(2, 6)[0]
    young = make_balancer(make_servers(6)[:4], process_count=2, gossip=True, own_number=1, now=9 * S)
    for words in answer(kept):
        young.receive_gossip(words, 9 * S)
    assert len(young.placement.slots) == 6
    for key in range(50):
        asked = make_request(key=key, arrived_at=9 * S)
        decision = young.route(asked, 9 * S)
        assert not isinstance(decision, Send) or decision.server.state == ServerState.READY
    young.update_endpoints([Server("n05")], False, 9 * S)
    assert orders([young])[0][5] == "n05" and young.placement.slots[4].state == ServerState.GONE
    young.update_endpoints([], False, 9 * S + CRASHED_SLOT_US)
    assert len(young.placement.slots) == 5


def test_a_slow_hit_takes_off_a_nodes_share_and_peers_hear_of_it():
    # Guards against the jam that time-outs show too late: a hit is work alone, so a slow one has queued.
    for hit, spent, share in ((True, S // 2, SLOW_HIT_SHARE_FACTOR), (True, S // 3, 1), (False, S // 2, 1)):
        one, other = fleet(2, 1)
        asked = make_request(arrived_at=0)
        one.route(asked, 0)
        one.record_outcome(asked.attempts[0], Outcome.SUCCEEDED, spent, None, hit)
        assert one.placement.slots[0].admitted_share == share
        pass_on([one, other], S)
        assert other.placement.slots[0].admitted_share == share
