"""Tests of processes that restart during a release, and take over the slot order of the others."""

from helpers import S, deliver_gossip, make_balancer, make_fleet, make_request, make_servers

from ivystack.balancing import slot_order
from ivystack.balancing.gossip_codec import OUTCOME_BYTES
from ivystack.balancing.placement import CRASHED_SLOT_US
from ivystack.balancing.slot_order import REQUEST_INTERVAL_US, SETTLING_US
from ivystack.model import Send, SendGossip, Server, ServerState


def relisted(server, state):
    return Server(server.name, started_at=server.started_at, state=state)


def release(balancers, first, count, now):
    """Replace `count` servers by new ones in the endpoint list of each balancer."""
    for balancer in balancers:
        old_servers = [balancer.servers[f"n{i:02}"] for i in range(first, first + count)]
        balancer.update_endpoints(
            [relisted(server, ServerState.DRAINING) for server in old_servers], False, now
        )
        new_servers = [Server(f"m{i:02}", started_at=now) for i in range(first, first + count)]
        balancer.update_endpoints(new_servers, False, now)


def restart(balancer, count, number):
    """Return the balancer of a process after a restart, which knows only the endpoint list."""
    listed = [
        Server(server.name, started_at=server.started_at)
        for server in balancer.servers.values()
        if server.state == ServerState.READY
    ]
    return make_balancer(listed, process_count=count, gossip=True, own_number=number, now=9 * S)


def slot_orders(balancers):
    return [tuple(server.name for server in balancer.placement.slots) for balancer in balancers]


def restart_during_a_release(count):
    balancers = make_fleet(count, 20)
    release(balancers, 3, 6, S)
    restarted_count = count * 7 // 10
    return [
        restart(balancer, count, number) if number < restarted_count else balancer
        for number, balancer in enumerate(balancers)
    ]


def order_datagrams(settled, requester=1):
    """Return the datagrams with which a balancer replies to a request for the slot order."""
    settled.receive_gossip(b"?" + requester.to_bytes(2, "big"), 9 * S)
    return [
        action.datagram
        for action in settled.next_wakeup(9 * S).due
        if isinstance(action, SendGossip) and action.peer == requester
    ]


def test_processes_that_restart_together_adopt_the_order_of_the_others():
    balancers = restart_during_a_release(40)
    assert len(set(slot_orders(balancers))) == 2
    for step in range(4):  # requested peers may have just started too
        deliver_gossip(balancers, 9 * S + step * REQUEST_INTERVAL_US)
        deliver_gossip(balancers, 9 * S + step * REQUEST_INTERVAL_US + 1)
    assert len(set(slot_orders(balancers))) == 1


def test_requests_for_the_order_do_not_grow_with_the_fleet():
    for count in (40, 200):
        balancers, messages = restart_during_a_release(count), 0
        for step in range(40):
            messages += deliver_gossip(balancers, 9 * S + step * REQUEST_INTERVAL_US)[0]
        rounds = SETTLING_US // REQUEST_INTERVAL_US
        # At most all requests and replies of the settling time; none are sent afterwards.
        assert 0 < messages <= count * 2 * slot_order.FANOUT * rounds


def test_processes_that_all_start_together_keep_their_own_orders():
    balancers = [
        make_balancer(make_servers(5), process_count=40, gossip=True, own_number=number)
        for number in range(40)
    ]
    orders_before = slot_orders(balancers)
    for step in range(40):
        deliver_gossip(balancers, step * REQUEST_INTERVAL_US)
    assert slot_orders(balancers) == orders_before and all(
        balancer.slot_order.next_at is None for balancer in balancers
    )


def test_a_long_order_is_sent_in_parts_that_may_arrive_in_any_order():
    settled = make_fleet(2, 200)[0]
    starting = make_balancer(make_servers(200)[::-1], process_count=2, gossip=True, own_number=1, now=9 * S)
    settled.placement.slots.reverse()
    parts = order_datagrams(settled)
    assert len(parts) == 3 and all(len(part) <= 256 and len(part) % OUTCOME_BYTES for part in parts)
    for part in (parts[2], parts[0], parts[0]):
        starting.receive_gossip(part, 9 * S)
    assert slot_orders([starting]) != slot_orders([settled])
    starting.receive_gossip(parts[1], 9 * S)
    assert slot_orders([starting]) == slot_orders([settled])


def test_datagrams_that_are_no_order_change_nothing():
    settled, starting = (
        make_fleet(2, 9)[0],
        make_balancer(make_servers(9), process_count=2, gossip=True, own_number=1, now=9 * S),
    )
    settled.placement.slots.reverse()
    (order_datagram,) = order_datagrams(settled)
    orders_before = slot_orders([starting])
    wrong_count = order_datagram[:5] + b"\xff\xff" + order_datagram[7:]
    for datagram in (
        b"?",
        b"=",
        b"=" * 9,
        order_datagram[:-3],
        wrong_count,
        b"x" + order_datagram[1:],
        b"??x",
    ):
        starting.receive_gossip(datagram, 9 * S)
        settled.receive_gossip(datagram, 9 * S)
    assert slot_orders([starting]) == orders_before
    settled.receive_gossip(order_datagram, 9 * S)  # a process past its settling time keeps its own order
    assert slot_orders([settled]) != orders_before
    starting.receive_gossip(order_datagram, 9 * S)
    assert slot_orders([starting]) == slot_orders([settled])


def test_the_slot_of_an_unlisted_server_is_reserved_and_sent_nothing():
    settled = make_fleet(2, 6)[0]
    starting = make_balancer(make_servers(6)[:4], process_count=2, gossip=True, own_number=1, now=9 * S)
    for datagram in order_datagrams(settled):
        starting.receive_gossip(datagram, 9 * S)
    assert len(starting.placement.slots) == 6
    for key in range(50):
        request = make_request(key=key, arrived_at=9 * S)
        decision = starting.route(request, 9 * S)
        assert not isinstance(decision, Send) or decision.server.state == ServerState.READY
    starting.update_endpoints([Server("n05")], False, 9 * S)
    assert slot_orders([starting])[0][5] == "n05" and starting.placement.slots[4].state == ServerState.GONE
    starting.update_endpoints([], False, 9 * S + CRASHED_SLOT_US)
    assert len(starting.placement.slots) == 5
