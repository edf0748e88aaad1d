"""Tests of the gossip of outcomes; effects and costs are counted over all processes of a fleet."""

from helpers import S, deliver_gossip, make_balancer, make_fleet, make_request, make_servers

from ivystack.balancing import gossip
from ivystack.balancing.concurrency_limit import SHARE_FACTOR, SLOW_HIT_SHARE_FACTOR
from ivystack.balancing.gossip import FAILURE_DELAY_US
from ivystack.balancing.gossip_codec import GossipedOutcome, OUTCOME_BYTES
from ivystack.model import Outcome, SendGossip


def time_out_at_one_server(balancer, now):
    """Let an attempt of the balancer time out; return the server's name."""
    request = make_request(arrived_at=now - S, time_to_deadline=2 * S)
    server = balancer.route(request, now - S).server
    balancer.record_outcome(request.attempts[0], Outcome.TIMED_OUT, now)
    balancer.timers.clear()
    return server.name


def test_gossip_moves_the_share_of_known_servers_only():
    balancer, peer_balancer = (
        make_balancer(make_servers(4), process_count=3, gossip=True),
        make_balancer(make_servers(4), process_count=3, gossip=True),
    )
    request = make_request(time_to_deadline=S)
    server = balancer.route(request, 0).server
    balancer.record_outcome(request.attempts[0], Outcome.TIMED_OUT, S)
    balancer.timers.clear()
    balancer.slot_order.next_at = None
    sent = [
        (action.peer, action.datagram)
        for action in balancer.next_wakeup(3 * S).due
        if isinstance(action, SendGossip)
    ]
    assert sorted(peer for peer, _ in sent) == [1, 2]
    # Of the last three datagrams, one names an unknown server and two contain no whole outcome.
    for datagram in (sent[0][1], b"abc\0", b"no", b""):
        peer_balancer.receive_gossip(datagram, 3 * S)
    assert {other.name for other in peer_balancer.placement.slots if other.admitted_share < 1} == {
        server.name
    }
    assert not any(server.health.consecutive_failures for server in peer_balancer.placement.slots)


def test_forty_processes_learn_of_an_overload_before_each_has_added_to_it():
    balancers = make_fleet(40)
    overloaded = {time_out_at_one_server(balancer, 2 * S) for balancer in balancers[:8]}
    for step in range(1, 6):  # 50 ms, before most processes send their next request
        deliver_gossip(balancers, 2 * S + step * S // 100)
    informed = [
        balancer
        for balancer in balancers[8:]
        if any(balancer.servers[name].admitted_share < 1 for name in overloaded)
    ]
    assert len(informed) >= 24  # three quarters of the 32 processes
    assert not any(
        server.health.consecutive_failures
        for balancer in balancers[8:]
        for server in balancer.servers.values()
    )


def test_gossip_counts_less_about_a_server_with_a_recent_outcome():
    balancer, peer_balancer = make_fleet(2, 1)  # two processes, each with half of the server's traffic
    server = balancer.placement.slots[0]
    for at in range(0, S, S // 5):
        request = make_request(arrived_at=at)
        balancer.route(request, at)
        balancer.record_outcome(request.attempts[0], Outcome.SUCCEEDED, at + S * 9 // 10)
    assert server.admitted_share == 1
    time_out_at_one_server(peer_balancer, 2 * S)
    for share, at in ((0.8, 2 * S), (0.8 * SHARE_FACTOR, 4 * S)):  # with and without a recent outcome
        peer_balancer.gossip.record(next(iter(peer_balancer.servers.values())), GossipedOutcome.FAILED, at)
        (datagram,) = [
            action.datagram
            for action in peer_balancer.next_wakeup(at + FAILURE_DELAY_US).due
            if isinstance(action, SendGossip)
        ]
        balancer.receive_gossip(datagram, at)
        assert abs(server.admitted_share - share) < 0.001


def test_gossip_counts_in_full_in_a_large_fleet():
    balancer, peer_balancer = make_fleet(40, 1)[:2]
    server = balancer.placement.slots[0]
    server.last_outcome_at = 2 * S
    peer_balancer.gossip.record(next(iter(peer_balancer.servers.values())), GossipedOutcome.FAILED, 2 * S)
    balancer.receive_gossip(
        next(
            action.datagram
            for action in peer_balancer.next_wakeup(2 * S + FAILURE_DELAY_US).due
            if isinstance(action, SendGossip)
        ),
        2 * S,
    )
    assert abs(server.admitted_share - SHARE_FACTOR) < 0.001


def test_gossip_does_not_grow_with_the_fleet():
    bytes_per_process = {}
    for process_count in (40, 400):
        balancers = make_fleet(process_count)
        for balancer in balancers:
            time_out_at_one_server(balancer, 2 * S)
        messages, sizes = map(
            sum, zip(*(deliver_gossip(balancers, 2 * S + step * S // 20) for step in range(21)), strict=True)
        )
        assert messages == process_count * gossip.FANOUT  # one round per process, since each had one outcome
        bytes_per_process[process_count] = sizes / process_count
    assert bytes_per_process[400] == bytes_per_process[40] > 0


def test_failures_of_a_burst_share_a_datagram():
    balancer = make_fleet(2)[0]
    for server in balancer.servers.values():
        balancer.gossip.record(server, GossipedOutcome.FAILED, 0)
        # A success does not delay the datagram.
        balancer.gossip.record(server, GossipedOutcome.ON_TIME, FAILURE_DELAY_US // 2)
    sent = [
        action.datagram
        for action in balancer.next_wakeup(FAILURE_DELAY_US).due
        if isinstance(action, SendGossip)
    ]
    assert len(sent) == 1 and len(sent[0]) == OUTCOME_BYTES * len(balancer.servers)


def test_a_slow_hit_lowers_a_servers_share_here_and_at_peers():
    # Prevents an overload that timeouts show too late: a hit needs no fetch, so a slow hit has queued.
    for is_cache_hit, response_time, share in (
        (True, S // 2, SLOW_HIT_SHARE_FACTOR),
        (True, S // 3, 1),
        (False, S // 2, 1),
    ):
        balancer, peer_balancer = make_fleet(2, 1)
        request = make_request(arrived_at=0)
        balancer.route(request, 0)
        balancer.record_outcome(request.attempts[0], Outcome.SUCCEEDED, response_time, None, is_cache_hit)
        assert balancer.placement.slots[0].admitted_share == share
        deliver_gossip([balancer, peer_balancer], S)
        assert peer_balancer.placement.slots[0].admitted_share == share
