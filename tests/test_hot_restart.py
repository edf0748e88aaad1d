"""Hot restart: the state that the new process imports, and the limits that both processes share."""

import msgspec
import pytest
from helpers import (
    S,
    connect_client,
    make_entries,
    encode_get,
    encode_hit,
    open_server_connection,
    start_without_discovery,
    make_proxy,
    make_process_configuration,
)
from test_operators import answered, still_open
from twisted.internet.error import ConnectionDone, ConnectionRefusedError
from twisted.internet.testing import StringTransport
from twisted.python.failure import Failure

from ivystack.model import FailureState, ServerState
from ivystack.net.memory_budget import budget_capacity
from ivystack.net.hot_restart import StateServerFactory
from ivystack.net.hot_restart_state import ProcessState


def connect_to(old):
    """Connect to the state server of an old process; return its end of the connection."""
    connection = StateServerFactory(old.hot_restart).buildProtocol(None)
    connection.makeConnection(StringTransport())
    return connection


def start_new_process(tmp_path, leftover=True):
    """Start a new process that finds an old process's socket; its calls of `open_sockets` are recorded."""
    configuration = make_process_configuration()
    configuration.inherited_descriptor, configuration.restart_folder = 3, str(tmp_path)
    new = make_proxy(0, run=configuration)
    new.endpoint_watch.request_watch = lambda: None
    new.starts = []
    new.open_sockets = lambda: new.starts.append(new.now())
    if leftover:
        (tmp_path / f"{new.hot_restart.socket_prefix}-1.sock").write_text("")
    new.start()
    return new


def state_client(new):
    """Establish the connection that a new process requested; return its end of the connection."""
    connection = new.reactor.unixClients[-1][1].buildProtocol(None)
    connection.makeConnection(StringTransport())
    return connection


def test_a_new_process_imports_the_state_of_the_old_one(tmp_path):
    old = make_proxy(5)
    now = old.now()
    servers = old.balancer.servers
    old.endpoints.update(
        make_entries(1, "DRAINING"), False
    )  # its slot goes to the last server, so the slots are not in the order of start times
    old.endpoints.update([make_entries(3, "DELETED")[2]], False)  # crashed: its slot stays reserved
    (
        servers["n1"].health.consecutive_failures,
        servers["n1"].health.next_probe_at,
        servers["n1"].health.probes,
    ) = (
        3,
        now + S,
        2,
    )
    servers["n3"].concurrency_limit, servers["n3"].admitted_share, servers["n3"].started_at = (
        2.5,
        0.4,
        now - 7,
    )
    read = old.settings.request_classes["read"]
    read.attempt_times.extend([5, 6, 7])
    servers["n3"].class_failures[read] = FailureState(consecutive_failures=2, next_probe_at=now + S)
    old.balancer.limiter.common_share = 0.5
    old.endpoint_watch.generation = 41
    new = start_new_process(tmp_path)
    assert new.starts == []
    state_client(new).dataReceived(connect_to(old).transport.value())
    imported = new.balancer.servers
    assert [server.name for server in new.balancer.placement.slots] == [
        server.name for server in old.balancer.placement.slots
    ]
    assert [server.name for server in new.balancer.placement.slots] == ["n4", "n1", "n2", "n3"]
    assert [imported[name].state for name in ("n0", "n1", "n2")] == [
        ServerState.DRAINING,
        ServerState.READY,
        ServerState.GONE,
    ]
    assert (
        imported["n1"].health.consecutive_failures,
        imported["n1"].health.probes,
        imported["n1"].health.next_probe_at,
    ) == (3, 2, now + S)
    assert (imported["n3"].concurrency_limit, imported["n3"].admitted_share, imported["n3"].started_at) == (
        2.5,
        0.4,
        now - 7,
    )
    new_read = new.settings.request_classes["read"]
    assert [*new_read.attempt_times] == [5, 6, 7] and imported["n3"].class_failures[
        new_read
    ].consecutive_failures == 2
    assert (
        new.balancer.limiter.common_share == 0.5
        and new.endpoint_watch.generation == 41
        and len(new.starts) == 1
    )
    assert new.server_pools.pools["n1"].address == old.server_pools.pools["n1"].address


def test_an_endpoint_list_newer_than_the_old_processs_is_kept(tmp_path):
    old = make_proxy(1)
    new = start_new_process(tmp_path)
    new.endpoint_watch.load_known({"generation": 9, "reset": True, "instances": make_entries(2)})
    state_client(new).dataReceived(connect_to(old).transport.value())
    assert {*new.balancer.servers} == {"n0", "n1"} and new.endpoint_watch.generation == 9 and new.starts


VALID_STATE = msgspec.json.decode(
    msgspec.json.encode(ProcessState(1, 5, make_entries(1), ["n0"], {}, {}, 1.0))
)


@pytest.mark.parametrize(
    "text",
    [
        b"\r\n", b"{\r\n", b"5\r\n", msgspec.json.encode(VALID_STATE | {"v": 2}) + b"\r\n",
        msgspec.json.encode(VALID_STATE | {"slots": 5}) + b"\r\n",
        msgspec.json.encode(VALID_STATE | {"nodes": None}) + b"\r\n",
        msgspec.json.encode(VALID_STATE | {"instances": [5, {"instanceId": 7}]}) + b"\r\n",
        msgspec.json.encode(VALID_STATE | {"slots": ["x", "x", "n0"]}) + b"\r\n", b"x" * (1 << 21),
        msgspec.json.encode(VALID_STATE)[:-9],  # cut off, then the connection ends
    ],
)  # fmt: skip
def test_a_new_process_starts_once_and_in_time_whatever_state_it_receives(tmp_path, text):
    new = start_new_process(tmp_path)
    connection = state_client(new)
    connection.dataReceived(text)
    connection.connectionLost(Failure(ConnectionDone()))
    new.reactor.advance(1)
    assert len(new.starts) == 1
    assert all(server.name == "n0" for server in new.balancer.placement.slots)


def test_an_old_process_that_hangs_is_waited_for_half_a_second(tmp_path):
    new = start_new_process(tmp_path)
    state_client(new)
    new.reactor.advance(0.49)
    assert not new.starts
    new.reactor.advance(0.02)
    # The old process still runs, so the limits stay halved.
    assert len(new.starts) == 1 and new.server_pools.max_connections == new.process_limits[0] // 6


def test_a_killed_processs_socket_is_removed_and_without_a_socket_the_start_does_not_wait(tmp_path):
    new = start_new_process(tmp_path)
    factory = new.reactor.unixClients[-1][1]
    factory.clientConnectionFailed(None, Failure(ConnectionRefusedError()))
    assert len(new.starts) == 1 and not [*tmp_path.glob("*.sock")]
    assert len(start_new_process(tmp_path, leftover=False).starts) == 1


def test_without_an_inherited_socket_there_is_no_hot_restart():
    # Large deployments have no Unix sockets.
    instance = make_proxy()
    start_without_discovery(instance)
    assert not instance.reactor.unixClients and not instance.reactor.unixServers and instance.port is not None


def test_two_processes_together_stay_within_the_limits_of_one():
    instance = make_proxy()
    pools = instance.server_pools
    full_limits = (
        pools.max_connections,
        instance.client_server.max_connections,
        instance.memory.capacity,
    )
    instance.client_server.max_connections = 100
    clients = answered(instance, 100)
    for number, connection in enumerate(clients[:4]):
        connection.dataReceived(encode_get(b"%d" % number))
    links = [open_server_connection(instance, number) for number in range(4)]
    for server_connection in links:
        server_connection.dataReceived(encode_hit())
    instance.process_limits = 64, instance.process_limits[1]
    other_process = connect_to(instance)
    assert (
        pools.max_connections,
        instance.client_server.max_connections,
        instance.memory.capacity,
    ) == (10, 8, budget_capacity(instance.process_limits[1] // 2, 0))
    assert 2 * instance.memory.capacity <= full_limits[2]
    counts = []
    for _ in range(30):
        instance.reactor.advance(0.02)
        counts.append(len(still_open(clients)))
        for connection in clients:
            if connection.transport.disconnecting and connection.slot in instance.client_server.connections:
                connection.connectionLost(Failure(ConnectionDone()))
    assert counts[-1] == 8 and max(a - b for a, b in zip(counts, counts[1:], strict=False)) <= 8
    instance.process_limits = instance.configuration.descriptors, instance.configuration.memory_bytes
    other_process.connectionLost(Failure(ConnectionDone()))
    assert (
        pools.max_connections,
        instance.client_server.max_connections,
        instance.memory.capacity,
    ) == full_limits


def test_idle_server_connections_beyond_the_halved_limit_are_closed():
    instance = make_proxy()
    clients = [connect_client(instance) for _ in range(4)]
    for number, connection in enumerate(clients):
        connection.dataReceived(encode_get(b"%d" % number))
    links = [open_server_connection(instance, number) for number in range(4)]
    for server_connection in links:
        server_connection.dataReceived(encode_hit())
    instance.server_pools.set_limit(6)
    assert [server_connection.code for server_connection in links].count("no-room") == 2
