"""A thousand nodes in a list and a thousand peers in a configuration: nothing is cut off, nothing falls."""

import msgspec
from helpers import Transport, choice, entries, get, nodes, proxy, told
from loguru import logger

from ivystack.choice import Placement
from ivystack.consensus.machine import ANSWERS, CLIENTS, Machine, Table
from ivystack.duties.leases import KNOWN, VALUE, Leases
from ivystack.duties.order import MARK, SlotOrder
from ivystack.fleet.settings import Fleet
from ivystack.mesh.link import MESSAGE
from ivystack.model import FailureState, Server
from ivystack.net.hot_restart import MAX_STATE_BYTES
from ivystack.net.hot_restart_state import ProcessState
from ivystack.words import mark, order, read_order

MANY = 1024


def alike():
    """Two names with one mark: there are such among some thousands."""
    seen = {}
    for number in range(1 << 16):
        name = f"x{number}"
        other = seen.setdefault(mark(Server(name)), name)
        if other != name:
            return other, name
    raise AssertionError


def test_a_slot_order_of_a_thousand_nodes_is_asked_for_and_put_together():
    slots = nodes(MANY)
    parts, found = {}, []
    for part in order(slots):
        assert len(part) <= 256
        found = found or read_order(part, parts)
    assert found == [*map(mark, slots)]


def test_two_nodes_with_one_mark_both_keep_their_slots():
    pair = [Server(name, started_at=at) for at, name in enumerate(alike(), 1)]
    rest = nodes(30)
    first, second = choice([*rest, *pair]), choice([*reversed(pair), *rest])
    marks = [mark(node) for node in first.placement.slots]
    assert marks.count(mark(pair[0])) == 2
    second.placement.adopt(marks, [*second.servers.values()], 0)
    assert [n.name for n in second.placement.slots] == [n.name for n in first.placement.slots]
    agreed = b"".join(marks)
    taker = proxy(0)
    named = zip(entries(32), [*rest, *pair], strict=True)
    taker.listed([{**one, "instanceId": node.name} for one, node in named], True)
    assert SlotOrder(taker).take(agreed) == ""
    assert SlotOrder(taker).take(agreed + 2 * mark(pair[0])) == "malformed"
    assert len(agreed) == 32 * MARK


def test_a_thousand_nodes_listed_are_all_homes_and_a_hand_over_tells_of_all():
    made = proxy(MANY)
    slots = made.balancer.placement.slots
    assert len(slots) == MANY
    homes = {node for key in range(6000) for node in made.balancer.placement.homes(key, 2)[:2]}
    assert len(homes) == MANY
    read = made.settings.request_classes["read"]
    for node in slots:  # each has been met, and failed a class
        made.balancer.health.failed(node.class_failures.setdefault(read, FailureState()), True, 5)
    words = msgspec.json.encode(made.state())
    assert len(words) < MAX_STATE_BYTES // 2
    assert len(msgspec.json.decode(words, type=ProcessState).servers) == MANY


def test_a_thousand_peers_are_told_and_heard():
    run = told(peers=True)
    run.settings = type(run.settings)(1, msgspec.convert(
        {"limits": {"peers": True}, "n_instances": MANY, "slot_no": MANY - 1}, type(run.settings.sheet)
    ))  # fmt: skip
    run.peers = [("127.0.0.1", 2000 + number) for number in range(MANY)]
    made = proxy(3, run=run)
    assert len(made.gossip.allowed_senders) == MANY and len(made.balancer.hearsay.others) == MANY - 1
    for node in made.balancer.servers.values():
        made.balancer.hearsay.note(node, 0, 0)
    said = made.balancer.hearsay.due(1 << 60)
    assert len({one.peer for one in said}) == made.balancer.hearsay.TO


def test_more_nodes_than_descriptors_cost_a_try_never_the_process():
    made = proxy(300, sockets=64)
    most = made.server_pools.max_connections
    made.server_pools.set_limits(64, 1 << 20)
    client = made.client_server.buildProtocol(None)
    client.makeConnection(Transport())
    for number in range(30):
        client.dataReceived(get(b"%d" % number, b"%x" % (number * 7919)))
    assert len(made.server_pools.connections) <= made.server_pools.max_connections < most
    made.reactor.advance(2)
    answers = client.transport.took()
    assert answers.count(b"-") + answers.count(b"$") == 30  # each has its one answer
    assert made.ready()


def test_the_agreed_state_of_a_thousand_proxies_fits_one_message():
    leases = Leases(3_000_000)
    machine = Machine(duty=leases)
    for number in range(CLIENTS):
        for turn in range(ANSWERS):
            who, row = f"proxy-{number:04}/{0xFFFFFF - number:x}", [f"k{number}", b"v" * 24, None]
            ask = [who, 1000 + turn, "table", "set", row]
            machine.apply(msgspec.msgpack.encode(ask))
    assert len(machine.answers) == CLIENTS and len(machine.parts["table"].rows) == Table.KEYS
    assert len(machine.dump()) + len(KNOWN) * VALUE < MESSAGE


def test_links_of_a_member_go_by_the_number_of_proxies_and_what_descriptors_bear():
    class Sheet:
        links, key_file, directory, times = None, "k", "d", None

        class group:  # noqa: N801
            member = [type("M", (), {"name": "a", "address": "127.0.0.1:9", "zone": ""})]

    def links(sockets, proxies):
        fleet = Fleet(Sheet, "a", None)
        assert fleet.spare(sockets, proxies) == sockets - fleet.links
        return fleet.links

    lines = []
    handler = logger.add(lines.append, level="WARNING")
    try:
        assert links(1024, 40) == 256 and not lines
        assert links(4096, MANY) > MANY and not lines
        assert links(1024, MANY) == 512 and len(lines) == 1
    finally:
        logger.remove(handler)


def test_a_walk_over_a_thousand_slots_ends_for_any_part_of_them():
    placement = Placement(False)
    placement.settle(nodes(MANY), 0)
    found = placement.homes(7, 2)
    assert len({*placement.homes(7, MANY)}) == MANY and placement.homes(7, 16)[:2] == found[:2]
