"""Processes that restart amid a release take the slot order from those that have kept it."""

from helpers import S, deliver_gossip, make_balancer, make_fleet, make_request, make_servers

from ivystack.balancing import slot_order
from ivystack.balancing.gossip_codec import OUTCOME_BYTES
from ivystack.balancing.placement import CRASHED_SLOT_US
from ivystack.balancing.slot_order import REQUEST_INTERVAL_US, SETTLING_US
from ivystack.model import Send, SendGossip, Server, ServerState


def relisted(server, state):
    return Server(server.name, started_at=server.started_at, state=state)


def release(balancers, first, count, now):
    """So many servers leave, new ones come, as each process's list says it."""
    for one in balancers:
        old = [one.servers[f"n{i:02}"] for i in range(first, first + count)]
        one.update_endpoints([relisted(server, ServerState.DRAINING) for server in old], False, now)
        new = [Server(f"m{i:02}", started_at=now) for i in range(first, first + count)]
        one.update_endpoints(new, False, now)


def restart(one, count, me):
    """The same process after a restart: it knows the list and nothing else."""
    listed = [
        Server(n.name, started_at=n.started_at) for n in one.servers.values() if n.state == ServerState.READY
    ]
    return make_balancer(listed, process_count=count, gossip=True, own_number=me, now=9 * S)


def slot_orders(balancers):
    return [tuple(server.name for server in one.placement.slots) for one in balancers]


def restart_amid_a_release(count):
    balancers = make_fleet(count, 20)
    release(balancers, 3, 6, S)
    dead = count * 7 // 10
    return [restart(one, count, me) if me < dead else one for me, one in enumerate(balancers)]


def order_datagrams(kept, asker=1):
    """The datagrams that answer a request for the order."""
    kept.receive_gossip(b"?" + asker.to_bytes(2, "big"), 9 * S)
    return [r.datagram for r in kept.next_wakeup(9 * S).due if isinstance(r, SendGossip) and r.peer == asker]


def test_processes_that_restart_together_adopt_the_order_that_the_others_kept():
    balancers = restart_amid_a_release(40)
    assert len(set(slot_orders(balancers))) == 2
    for step in range(4):  # the peers asked may have started just now too
        deliver_gossip(balancers, 9 * S + step * REQUEST_INTERVAL_US)
        deliver_gossip(balancers, 9 * S + step * REQUEST_INTERVAL_US + 1)
    assert len(set(slot_orders(balancers))) == 1


def test_requests_for_the_order_do_not_grow_with_the_fleet():
    for count in (40, 200):
        balancers, messages = restart_amid_a_release(count), 0
        for step in range(40):
            messages += deliver_gossip(balancers, 9 * S + step * REQUEST_INTERVAL_US)[0]
        rounds = SETTLING_US // REQUEST_INTERVAL_US
        # Requests and answers, and then no more.
        assert 0 < messages <= count * 2 * slot_order.FANOUT * rounds


def test_processes_that_all_start_together_keep_their_own_orders():
    balancers = [
        make_balancer(make_servers(5), process_count=40, gossip=True, own_number=me) for me in range(40)
    ]
    before = slot_orders(balancers)
    for step in range(40):
        deliver_gossip(balancers, step * REQUEST_INTERVAL_US)
    assert slot_orders(balancers) == before and all(one.slot_order.next_at is None for one in balancers)


def test_a_long_order_comes_in_parts_in_any_sequence():
    kept = make_fleet(2, 200)[0]
    starting = make_balancer(make_servers(200)[::-1], process_count=2, gossip=True, own_number=1, now=9 * S)
    kept.placement.slots.reverse()
    parts = order_datagrams(kept)
    assert len(parts) == 3 and all(len(part) <= 256 and len(part) % OUTCOME_BYTES for part in parts)
    for part in (parts[2], parts[0], parts[0]):
        starting.receive_gossip(part, 9 * S)
    assert slot_orders([starting]) != slot_orders([kept])
    starting.receive_gossip(parts[1], 9 * S)
    assert slot_orders([starting]) == slot_orders([kept])


def test_datagrams_that_are_no_order_change_nothing():
    kept, starting = (
        make_fleet(2, 9)[0],
        make_balancer(make_servers(9), process_count=2, gossip=True, own_number=1, now=9 * S),
    )
    kept.placement.slots.reverse()
    (whole,) = order_datagrams(kept)
    before = slot_orders([starting])
    longer = whole[:5] + b"\xff\xff" + whole[7:]
    for datagram in (b"?", b"=", b"=" * 9, whole[:-3], longer, b"x" + whole[1:], b"??x"):
        starting.receive_gossip(datagram, 9 * S)
        kept.receive_gossip(datagram, 9 * S)
    assert slot_orders([starting]) == before
    kept.receive_gossip(whole, 9 * S)  # one that has run for long stays with its own
    assert slot_orders([kept]) != before
    starting.receive_gossip(whole, 9 * S)
    assert slot_orders([starting]) == slot_orders([kept])


def test_the_slot_of_an_unlisted_server_is_kept_and_sent_nothing():
    kept = make_fleet(2, 6)[0]
    starting = make_balancer(make_servers(6)[:4], process_count=2, gossip=True, own_number=1, now=9 * S)
    for datagram in order_datagrams(kept):
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
