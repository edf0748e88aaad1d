"""New settings while reqs are under way."""

from helpers import S, client, get, hit, link, proxy, told
from twisted.internet.error import ConnectionLost
from twisted.python.failure import Failure

from ivystack.model import NON_RETRYABLE, RETRYABLE


def sheet(name, semantics="pure", budget=10**9):
    return {
        "name": name, "semantics": semantics, "latency_budget": budget, "give_up": budget, "criticality": 1.0
    }  # fmt: skip


def ask(made, ident, fields=b"c=read,d=900"):
    asking = client(made)
    asking.dataReceived(get(ident, fields=fields))
    return asking


def test_new_classes_are_in_use_at_once_and_one_that_has_gone_is_an_unknown_one():
    made = proxy()
    made.reload(told(methods=[sheet("read"), sheet("new")]))
    unknown = ask(made, b"0", b"c=none,d=900").transport.took()
    assert unknown.startswith(b"-ERR") and ask(made, b"1", b"c=pay,d=900").transport.took() == unknown
    asking = ask(made, b"2", b"c=new,d=900")
    link(made).dataReceived(hit())
    assert asking.transport.took() == b"$1\r\nv\r\n"


def test_reqs_under_way_keep_their_class_its_effect_and_its_deadline():
    made = proxy(3)
    asking = ask(made, b"1")
    first = link(made)
    made.reload(told(methods=[sheet("read", "side_effect", 10**8)]))
    req = next(iter(made.held))
    assert req.method.semantics == RETRYABLE and req.method.latency_budget == S
    made.reactor.advance(0.2)
    first.connectionLost(Failure(ConnectionLost()))  # it may have run, and is repeated as its class allows
    link(made).dataReceived(hit())
    assert asking.transport.took() == b"$1\r\nv\r\n"


def test_a_class_made_stricter_is_strict_for_every_new_req():
    made = proxy(3)
    made.reload(told(methods=[sheet("read", "side_effect"), sheet("pay", "side_effect")]))
    asking = ask(made, b"1")
    assert next(iter(made.held)).method.semantics == NON_RETRYABLE
    before = len(made.reactor.tcpClients)
    link(made).connectionLost(Failure(ConnectionLost()))
    assert asking.transport.took() == b"-ERR failed\r\n" and len(made.reactor.tcpClients) == before


def test_fewer_write_outs_count_between_the_first_and_the_second():
    for most, outs in ((3, 2), (1, 1)):
        made = proxy(3)
        asking = ask(made, b"1")
        first = link(made)
        made.reload(told(most_write_outs=most))
        first.connectionLost(Failure(ConnectionLost()))
        assert len(made.reactor.tcpClients) == outs
        assert (asking.transport.took() == b"-BUSY\r\n") == (most == 1)


def test_what_nodes_hold_of_former_classes_goes_with_their_last_reqs():
    # Guards the memory: a class that changes each day would leave its errors at every node.
    made = proxy()
    node = made.choice.nodes["n0"]
    ask(made, b"1")
    link(made).dataReceived(b"-ERR failed\r\n")
    assert len(node.errors) == 1
    ask(made, b"2")
    old = made.settings.methods["read"]
    for budget in (10**8, 2 * 10**8, 3 * 10**8):  # three in a row
        made.reload(told(methods=[sheet("read", budget=budget)]))
    assert old in node.errors and made.settings.methods["read"] in node.errors
    made.reactor.advance(2)
    assert [*node.errors] == [made.settings.methods["read"]] and not made.held


def test_settings_are_taken_up_in_a_drain_and_at_the_end():
    made = proxy()
    made.discovery.watch = lambda: None
    made.start()
    made.drain()
    made.reload(told(methods=[sheet("new")]))
    assert made.front.draining == "drained" and [*made.front.methods] == [b"new"]
    made.terminate()
    made.reload(told())
    assert made.front.draining == "stopping" and [*made.front.methods] == [b"read", b"pay"]


def test_nodes_connections_follow_the_settings():
    made = proxy()
    made.reload(told(streams_per_conn=1, connect_timeout=100_000_000, conn_idle=10**9, may_duplicate=True))
    assert (made.nodes.deep, made.nodes.connect_timeout, made.nodes.idle) == (1, 100_000, 800_000)
    assert made.choice.may_duplicate and made.settings.may_duplicate
