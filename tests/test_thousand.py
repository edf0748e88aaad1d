"""A thousand nodes in a list and a thousand peers in a configuration: nothing is cut off, nothing falls."""

import msgspec
from helpers import (
    FakeTransport,
    make_entries,
    encode_get,
    make_balancer,
    make_servers,
    make_proxy,
    make_process_configuration,
)
from loguru import logger

from ivystack.balancing import gossip
from ivystack.balancing.gossip_codec import (
    GossipedOutcome,
    decode_slot_order_part,
    encode_slot_order,
    server_hash,
)
from ivystack.balancing.placement import Placement
from ivystack.consensus.state_machine import ANSWERS_PER_SESSION, MAX_SESSIONS, KeyValueTable, StateMachine
from ivystack.duties.lease_table import MAX_VALUE_BYTES, LeaseTable
from ivystack.duties.protocol import KNOWN_DUTIES
from ivystack.duties.slot_order_duty import SERVER_HASH_BYTES, OrderFault, SlotOrder
from ivystack.fleet.config import FleetConfig
from ivystack.mesh.protocol import MAX_MESSAGE_BYTES
from ivystack.model import FailureState, Server
from ivystack.net.hot_restart import MAX_STATE_BYTES
from ivystack.net.hot_restart_state import ProcessState

MANY = 1024


def alike():
    """Two names with one mark: there are such among some thousands."""
    seen = {}
    for number in range(1 << 16):
        name = f"x{number}"
        other = seen.setdefault(server_hash(Server(name)), name)
        if other != name:
            return other, name
    raise AssertionError


def test_a_slot_order_of_a_thousand_nodes_is_asked_for_and_put_together():
    slots = make_servers(MANY)
    parts, found = {}, []
    for part in encode_slot_order(slots):
        assert len(part) <= 256
        found = found or decode_slot_order_part(part, parts)
    assert found == [*map(server_hash, slots)]


def test_two_nodes_with_one_mark_both_keep_their_slots():
    pair = [Server(name, started_at=at) for at, name in enumerate(alike(), 1)]
    rest = make_servers(30)
    first, second = make_balancer([*rest, *pair]), make_balancer([*reversed(pair), *rest])
    marks = [server_hash(node) for node in first.placement.slots]
    assert marks.count(server_hash(pair[0])) == 2
    second.placement.adopt_order(marks, [*second.servers.values()], 0)
    assert [n.name for n in second.placement.slots] == [n.name for n in first.placement.slots]
    agreed = b"".join(marks)
    taker = make_proxy(0)
    named = zip(make_entries(32), [*rest, *pair], strict=True)
    taker.endpoints.update([{**one, "instanceId": node.name} for one, node in named], True)
    assert SlotOrder(taker).adopt(agreed) is None
    assert SlotOrder(taker).adopt(agreed + 2 * server_hash(pair[0])) == OrderFault.MALFORMED
    assert len(agreed) == 32 * SERVER_HASH_BYTES


def test_a_thousand_nodes_listed_are_all_homes_and_a_hand_over_tells_of_all():
    made = make_proxy(MANY)
    slots = made.balancer.placement.slots
    assert len(slots) == MANY
    homes = {node for key in range(6000) for node in made.balancer.placement.replicas(key, 2)}
    assert len(homes) == MANY
    read = made.settings.request_classes["read"]
    for node in slots:  # each has been met, and failed a class
        made.balancer.outliers.record_failure(node.class_failures.setdefault(read, FailureState()), True, 5)
    words = msgspec.json.encode(made.export_state())
    assert len(words) < MAX_STATE_BYTES // 2
    assert len(msgspec.json.decode(words, type=ProcessState).servers) == MANY


def test_a_thousand_peers_are_told_and_heard():
    run = make_process_configuration(peers=True)
    run.settings = type(run.settings)(1, msgspec.convert(
        {"limits": {"peers": True}, "n_instances": MANY, "slot_no": MANY - 1}, type(run.settings.settings)
    ))  # fmt: skip
    run.peers = [("127.0.0.1", 2000 + number) for number in range(MANY)]
    made = make_proxy(3, run=run)
    assert len(made.gossip.allowed_senders) == MANY and len(made.balancer.gossip.peers) == MANY - 1
    for node in made.balancer.servers.values():
        made.balancer.gossip.record(node, GossipedOutcome.FAILED, 0)
    said = made.balancer.gossip.due(1 << 60)
    assert len({one.peer for one in said}) == gossip.FANOUT


def test_more_nodes_than_descriptors_cost_a_try_never_the_process():
    made = make_proxy(300, sockets=64)
    most = made.server_pools.max_connections
    made.server_pools.set_limits(64, 1 << 20)
    client = made.client_server.buildProtocol(None)
    client.makeConnection(FakeTransport())
    for number in range(30):
        client.dataReceived(encode_get(b"%d" % number, b"%x" % (number * 7919)))
    assert len(made.server_pools.connections) <= made.server_pools.max_connections < most
    made.reactor.advance(2)
    answers = client.transport.take_output()
    assert answers.count(b"-") + answers.count(b"$") == 30  # each has its one answer
    assert made.has_ready_server()


def test_the_agreed_state_of_a_thousand_proxies_fits_one_message():
    leases = LeaseTable(3_000_000)
    machine = StateMachine(duty=leases)
    for number in range(MAX_SESSIONS):
        for turn in range(ANSWERS_PER_SESSION):
            who, row = f"proxy-{number:04}/{0xFFFFFF - number:x}", [f"k{number}", b"v" * 24, None]
            ask = [who, 1000 + turn, "table", "set", row]
            machine.apply(msgspec.msgpack.encode(ask))
    rows = machine.parts["table"].rows  # type: ignore[attr-defined]  # the type of `parts` has no rows
    assert len(machine.answers) == MAX_SESSIONS and len(rows) == KeyValueTable.MAX_KEYS
    assert len(machine.dump()) + len(KNOWN_DUTIES) * MAX_VALUE_BYTES < MAX_MESSAGE_BYTES


def test_links_of_a_member_go_by_the_number_of_proxies_and_what_descriptors_bear():
    class File:
        links, key_file, directory, times = None, "k", "d", None

        class group:  # noqa: N801
            members = [type("M", (), {"name": "a", "address": "127.0.0.1:9", "zone": ""})]

    def links(sockets, proxies):
        config = FleetConfig(File, "a", None)
        assert config.reserve_links(sockets, proxies) == sockets - config.max_links
        return config.max_links

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
    placement.update(make_servers(MANY), 0)
    found = placement.replicas_and_spares(7, 2)
    assert (
        len({*placement.replicas_and_spares(7, MANY)}) == MANY
        and placement.replicas_and_spares(7, 16)[:2] == found[:2]
    )
