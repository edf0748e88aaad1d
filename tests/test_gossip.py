"""What many processes tell each other of outcomes; each effect is counted over all of them."""

from helpers import S, deliver_gossip, make_balancer, make_fleet, make_request, make_servers

from ivystack.balancing import gossip
from ivystack.balancing.concurrency_limit import SHARE_FACTOR, SLOW_HIT_SHARE_FACTOR
from ivystack.balancing.gossip import FAILURE_DELAY_US
from ivystack.balancing.gossip_codec import GossipedOutcome, OUTCOME_BYTES
from ivystack.model import Outcome, SendGossip


def time_out_at_one_server(one, now):
    """An attempt there runs out of time at this process."""
    request = make_request(arrived_at=now - S, time_to_deadline=2 * S)
    server = one.route(request, now - S).server
    one.record_outcome(request.attempts[0], Outcome.TIMED_OUT, now)
    one.timers.clear()
    return server.name


def test_gossip_moves_the_share_of_known_servers_only():
    one, other = (
        make_balancer(make_servers(4), process_count=3, gossip=True),
        make_balancer(make_servers(4), process_count=3, gossip=True),
    )
    request = make_request(time_to_deadline=S)
    server = one.route(request, 0).server
    one.record_outcome(request.attempts[0], Outcome.TIMED_OUT, S)
    one.timers.clear()
    one.slot_order.next_at = None
    sent = [(r.peer, r.datagram) for r in one.next_wakeup(3 * S).due if isinstance(r, SendGossip)]
    assert sorted(peer for peer, _ in sent) == [1, 2]
    for datagram in (sent[0][1], b"abc\0", b"no", b""):  # the last three: nothing known, nothing whole
        other.receive_gossip(datagram, 3 * S)
    assert {n.name for n in other.placement.slots if n.admitted_share < 1} == {server.name}
    assert not any(n.health.consecutive_failures for n in other.placement.slots)


def test_forty_processes_hear_of_an_overload_before_each_has_fed_it():
    balancers = make_fleet(40)
    overloaded = {time_out_at_one_server(one, 2 * S) for one in balancers[:8]}
    for step in range(1, 6):  # 50 ms, when the next requests of most are still to come
        deliver_gossip(balancers, 2 * S + step * S // 100)
    heard = [one for one in balancers[8:] if any(one.servers[name].admitted_share < 1 for name in overloaded)]
    assert len(heard) >= 24  # of 32; three in four
    assert not any(
        server.health.consecutive_failures for one in balancers[8:] for server in one.servers.values()
    )


def test_gossip_counts_less_of_a_server_heard_from_lately():
    one, other = make_fleet(2, 1)  # two processes: each sees half of what the server gets
    server = one.placement.slots[0]
    for at in range(0, S, S // 5):
        request = make_request(arrived_at=at)
        one.route(request, at)
        one.record_outcome(request.attempts[0], Outcome.SUCCEEDED, at + S * 9 // 10)
    assert server.admitted_share == 1
    time_out_at_one_server(other, 2 * S)
    for share, at in ((0.8, 2 * S), (0.8 * SHARE_FACTOR, 4 * S)):  # heard from lately, and not
        other.gossip.record(next(iter(other.servers.values())), GossipedOutcome.FAILED, at)
        (datagram,) = [
            r.datagram for r in other.next_wakeup(at + FAILURE_DELAY_US).due if isinstance(r, SendGossip)
        ]
        one.receive_gossip(datagram, at)
        assert abs(server.admitted_share - share) < 0.001


def test_gossip_counts_in_full_in_a_large_fleet():
    one, other = make_fleet(40, 1)[:2]
    server = one.placement.slots[0]
    server.last_outcome_at = 2 * S
    other.gossip.record(next(iter(other.servers.values())), GossipedOutcome.FAILED, 2 * S)
    one.receive_gossip(
        next(
            r.datagram for r in other.next_wakeup(2 * S + FAILURE_DELAY_US).due if isinstance(r, SendGossip)
        ),
        2 * S,
    )
    assert abs(server.admitted_share - SHARE_FACTOR) < 0.001


def test_gossip_does_not_grow_with_the_fleet():
    cost = {}
    for count in (40, 400):
        balancers = make_fleet(count)
        for one in balancers:
            time_out_at_one_server(one, 2 * S)
        messages, sizes = map(
            sum, zip(*(deliver_gossip(balancers, 2 * S + n * S // 20) for n in range(21)), strict=True)
        )
        assert messages == count * gossip.FANOUT  # one round each: what ended was one attempt each
        cost[count] = sizes / count
    assert cost[400] == cost[40] > 0


def test_failures_of_a_burst_share_a_datagram():
    one = make_fleet(2)[0]
    for server in one.servers.values():
        one.gossip.record(server, GossipedOutcome.FAILED, 0)
        # A good one does not put it off.
        one.gossip.record(server, GossipedOutcome.ON_TIME, FAILURE_DELAY_US // 2)
    sent = [r.datagram for r in one.next_wakeup(FAILURE_DELAY_US).due if isinstance(r, SendGossip)]
    assert len(sent) == 1 and len(sent[0]) == OUTCOME_BYTES * len(one.servers)


def test_a_slow_hit_lowers_a_servers_share_and_peers_hear_of_it():
    # Prevents the overload that timeouts show too late: a hit is work alone, so a slow one has queued.
    for hit, spent, share in ((True, S // 2, SLOW_HIT_SHARE_FACTOR), (True, S // 3, 1), (False, S // 2, 1)):
        one, other = make_fleet(2, 1)
        request = make_request(arrived_at=0)
        one.route(request, 0)
        one.record_outcome(request.attempts[0], Outcome.SUCCEEDED, spent, None, hit)
        assert one.placement.slots[0].admitted_share == share
        deliver_gossip([one, other], S)
        assert other.placement.slots[0].admitted_share == share
