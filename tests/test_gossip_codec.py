"""Tests of the encoding of gossip datagrams; tests/test_golden_state.py has recorded datagrams."""

from helpers import make_servers

from ivystack.balancing.gossip_codec import (
    MAX_PARTIAL_ORDERS,
    GossipedOutcome,
    decode_order_request,
    decode_outcomes,
    decode_slot_order_part,
    encode_order_request,
    encode_outcomes,
    encode_slot_order,
    server_hash,
)
from ivystack.model import Server


def test_outcomes_are_decoded_as_encoded_and_an_incomplete_one_is_ignored():
    servers = make_servers(3)
    outcomes = [*zip(servers, GossipedOutcome, strict=True)]
    datagram = encode_outcomes(outcomes)
    assert decode_outcomes(datagram) == [(server_hash(server), outcome) for server, outcome in outcomes]
    assert decode_outcomes(datagram[:-1]) == decode_outcomes(datagram)[:-1]


def test_an_unknown_outcome_counts_as_a_failure():
    assert decode_outcomes(b"abc\xff") == [(b"abc", GossipedOutcome.FAILED)]


def test_an_order_request_is_distinguished_from_outcomes_and_orders():
    assert decode_order_request(encode_order_request(513)) == 513
    for datagram in (b"", b"?", b"?abc", *encode_slot_order(make_servers(3))):
        assert decode_order_request(datagram) is None


def test_the_hash_of_a_placeholder_is_its_name():
    server = Server("n00")
    assert server_hash(Server(server_hash(server).hex(), is_placeholder=True)) == server_hash(server)


def test_the_number_of_partial_orders_is_bounded():
    partial_orders = {bytes([number]): {} for number in range(MAX_PARTIAL_ORDERS)}
    (part,) = encode_slot_order(make_servers(3))
    assert decode_slot_order_part(part, partial_orders) == []
    partial_orders.popitem()
    assert decode_slot_order_part(part, partial_orders) == [*map(server_hash, make_servers(3))]
