"""What a new process learns from an old one in an upgrade, and what the two allow themselves together."""

import msgspec
import pytest
from helpers import (
    S,
    connect_client,
    make_entries,
    encode_get,
    encode_hit,
    open_server_connection,
    make_proxy,
    make_process_configuration,
)
from test_operators import answered, left
from twisted.internet.error import ConnectionDone, ConnectionRefusedError
from twisted.internet.testing import StringTransport
from twisted.python.failure import Failure

from ivystack.model import FailureState, ServerState
from ivystack.net.hot_restart import StateServerFactory
from ivystack.net.hot_restart_state import ProcessState


def asked(made):
    """What an old process answers one that asks."""
    end = StateServerFactory(made.hot_restart).buildProtocol(None)
    end.makeConnection(StringTransport())
    return end


def starting(tmp_path, leftover=True):
    """A new process that has found a socket to ask at; what it begins with is kept."""
    run = make_process_configuration()
    run.inherited_descriptor, run.restart_folder = 3, str(tmp_path)
    made = make_proxy(0, run=run)
    made.endpoint_watch.request_watch = lambda: None
    made.begun = []
    made.open_sockets = lambda: made.begun.append(made.now())
    if leftover:
        (tmp_path / f"{made.hot_restart.tag}-1.sock").write_text("")
    made.start()
    return made


def end_of(made):
    """The new process's end of the connection that it asked for."""
    end = made.reactor.unixClients[-1][1].buildProtocol(None)
    end.makeConnection(StringTransport())
    return end


def test_a_new_process_goes_on_where_the_old_one_is(tmp_path):
    old = make_proxy(5)
    now = old.now()
    nodes = old.balancer.servers
    old.endpoints.update(
        make_entries(1, "DRAINING"), False
    )  # its slot goes to the last node: no order of start times
    old.endpoints.update([make_entries(3, "DELETED")[2]], False)  # crashed: its slot is kept
    nodes["n1"].health.consecutive_failures, nodes["n1"].health.next_probe_at, nodes["n1"].health.probes = (
        3,
        now + S,
        2,
    )
    nodes["n3"].concurrency_limit, nodes["n3"].admitted_share, nodes["n3"].started_at = 2.5, 0.4, now - 7
    read = old.settings.request_classes["read"]
    read.attempt_times.extend([5, 6, 7])
    nodes["n3"].class_failures[read] = FailureState(consecutive_failures=2, next_probe_at=now + S)
    old.balancer.limiter.common_share = 0.5
    old.endpoint_watch.generation = 41
    new = starting(tmp_path)
    assert new.begun == []
    end_of(new).dataReceived(asked(old).transport.value())
    got = new.balancer.servers
    assert [n.name for n in new.balancer.placement.slots] == [n.name for n in old.balancer.placement.slots]
    assert [n.name for n in new.balancer.placement.slots] == ["n4", "n1", "n2", "n3"]
    assert [got[name].state for name in ("n0", "n1", "n2")] == [
        ServerState.DRAINING,
        ServerState.READY,
        ServerState.GONE,
    ]
    assert (
        got["n1"].health.consecutive_failures,
        got["n1"].health.probes,
        got["n1"].health.next_probe_at,
    ) == (3, 2, now + S)
    assert (got["n3"].concurrency_limit, got["n3"].admitted_share, got["n3"].started_at) == (
        2.5,
        0.4,
        now - 7,
    )
    mine = new.settings.request_classes["read"]
    assert [*mine.attempt_times] == [5, 6, 7] and got["n3"].class_failures[mine].consecutive_failures == 2
    assert (
        new.balancer.limiter.common_share == 0.5
        and new.endpoint_watch.generation == 41
        and len(new.begun) == 1
    )
    assert new.server_pools.pools["n1"].address == old.server_pools.pools["n1"].address


def test_a_list_newer_than_the_old_processs_stays(tmp_path):
    old = make_proxy(1)
    new = starting(tmp_path)
    new.endpoint_watch.load_known({"generation": 9, "reset": True, "instances": make_entries(2)})
    end_of(new).dataReceived(asked(old).transport.value())
    assert {*new.balancer.servers} == {"n0", "n1"} and new.endpoint_watch.generation == 9 and new.begun


GOOD = msgspec.json.decode(msgspec.json.encode(ProcessState(1, 5, make_entries(1), ["n0"], {}, {}, 1.0)))


@pytest.mark.parametrize(
    "text",
    [
        b"\r\n", b"{\r\n", b"5\r\n", msgspec.json.encode(GOOD | {"v": 2}) + b"\r\n",
        msgspec.json.encode(GOOD | {"slots": 5}) + b"\r\n",
        msgspec.json.encode(GOOD | {"nodes": None}) + b"\r\n",
        msgspec.json.encode(GOOD | {"instances": [5, {"instanceId": 7}]}) + b"\r\n",
        msgspec.json.encode(GOOD | {"slots": ["x", "x", "n0"]}) + b"\r\n", b"x" * (1 << 21),
        msgspec.json.encode(GOOD)[:-9],  # cut off: then its end
    ],
)  # fmt: skip
def test_whatever_an_old_process_says_the_new_one_starts_once_and_in_time(tmp_path, text):
    new = starting(tmp_path)
    end = end_of(new)
    end.dataReceived(text)
    end.connectionLost(Failure(ConnectionDone()))
    new.reactor.advance(1)
    assert len(new.begun) == 1
    assert all(node.name == "n0" for node in new.balancer.placement.slots)


def test_an_old_process_that_hangs_is_waited_for_half_a_second(tmp_path):
    new = starting(tmp_path)
    end_of(new)
    new.reactor.advance(0.49)
    assert not new.begun
    new.reactor.advance(0.02)
    # It is there all the same.
    assert len(new.begun) == 1 and new.server_pools.max_connections == new.limits[0] // 6


def test_a_killed_processs_socket_is_taken_away_and_without_one_there_is_no_wait(tmp_path):
    new = starting(tmp_path)
    factory = new.reactor.unixClients[-1][1]
    factory.clientConnectionFailed(None, Failure(ConnectionRefusedError()))
    assert len(new.begun) == 1 and not [*tmp_path.glob("*.sock")]
    assert len(starting(tmp_path, leftover=False).begun) == 1


def test_without_an_inherited_socket_nobody_is_asked_or_listened_for():
    # On the large fleet's days there are no Unix sockets.
    made = make_proxy()
    made.endpoint_watch.request_watch = lambda: None
    made.start()
    assert not made.reactor.unixClients and not made.reactor.unixServers and made.port is not None


def test_two_processes_together_keep_within_the_bounds_of_one():
    made = make_proxy()
    pools = made.server_pools
    whole = (
        pools.max_connections,
        made.client_server.max_connections,
        made.client_server.max_value_bytes,
        pools.relay_memory,
    )
    made.client_server.max_connections = 100
    asking = answered(made, 100)
    for number, one in enumerate(asking[:4]):
        one.dataReceived(encode_get(b"%d" % number))
    links = [open_server_connection(made, number) for number in range(4)]
    for one in links:
        one.dataReceived(encode_hit())
    made.limits = 64, made.limits[1]
    end = asked(made)
    assert (
        pools.max_connections,
        made.client_server.max_connections,
        made.client_server.max_value_bytes,
    ) == (10, 8, whole[2] // 2)
    counts = []
    for _ in range(30):
        made.reactor.advance(0.02)
        counts.append(len(left(asking)))
        for one in asking:
            if one.transport.disconnecting and one.slot in made.client_server.connections:
                one.connectionLost(Failure(ConnectionDone()))
    assert counts[-1] == 8 and max(a - b for a, b in zip(counts, counts[1:], strict=False)) <= 8
    made.limits = made.configuration.descriptors, made.configuration.memory_bytes
    end.connectionLost(Failure(ConnectionDone()))
    assert (
        pools.max_connections,
        made.client_server.max_connections,
        made.client_server.max_value_bytes,
        pools.relay_memory,
    ) == whole


def test_idle_connections_to_nodes_beyond_the_half_are_closed():
    made = make_proxy()
    asking = [connect_client(made) for _ in range(4)]
    for number, one in enumerate(asking):
        one.dataReceived(encode_get(b"%d" % number))
    links = [open_server_connection(made, number) for number in range(4)]
    for one in links:
        one.dataReceived(encode_hit())
    made.server_pools.set_limits(6, 1 << 20)
    assert [one.code for one in links].count("no-room") == 2
