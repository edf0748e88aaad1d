"""New settings while requests are in flight."""

from copy import deepcopy

import msgspec
import pytest
from helpers import (
    S,
    connect_client,
    encode_get,
    encode_hit,
    open_server_connection,
    start_without_discovery,
    make_proxy,
    make_process_configuration,
)
from twisted.internet.error import ConnectionLost
from twisted.python.failure import Failure

from ivystack.model import Idempotency
from ivystack.configuration.instance import InstanceConfiguration
from ivystack.configuration.process import ProcessConfiguration
from ivystack.configuration.schema import (
    ConfigurationFile,
    InstanceSettings,
    RequestClassSettings,
    TenantSettings,
)


def class_settings(name, semantics="pure", budget=10**9):
    return {
        "name": name, "semantics": semantics, "latency_budget": budget, "give_up": budget, "criticality": 1.0
    }  # fmt: skip


def send_request(instance, request_id, fields=b"c=read,d=900"):
    connection = connect_client(instance)
    connection.dataReceived(encode_get(request_id, fields=fields))
    return connection


def test_new_classes_are_in_use_at_once_and_a_removed_class_is_unknown():
    instance = make_proxy()
    instance.reload(make_process_configuration(methods=[class_settings("read"), class_settings("new")]))
    unknown = send_request(instance, b"0", b"c=none,d=900").transport.take_output()
    assert (
        unknown.startswith(b"-ERR")
        and send_request(instance, b"1", b"c=pay,d=900").transport.take_output() == unknown
    )
    connection = send_request(instance, b"2", b"c=new,d=900")
    open_server_connection(instance).dataReceived(encode_hit())
    assert connection.transport.take_output() == b"$1\r\nv\r\n"


@pytest.mark.parametrize("before, after, is_retried", [
    ("pure", "side_effect", False), ("side_effect", "pure", False), ("pure", "pure", True),
])  # fmt: skip
def test_requests_in_flight_keep_their_deadline_and_use_the_stricter_retry_rules(before, after, is_retried):
    # Servers may already use the new settings or still use the old ones, so both must allow a retry.
    instance = make_proxy(3, run=make_process_configuration(methods=[class_settings("read", before)]))
    connection = send_request(instance, b"1")
    first = open_server_connection(instance)
    instance.reload(make_process_configuration(methods=[class_settings("read", after, 10**8)]))
    request = next(iter(instance.request_handler.active))
    assert (
        request.request_class.idempotency
        == (Idempotency.IDEMPOTENT if is_retried else Idempotency.NOT_IDEMPOTENT)
        and request.request_class.latency_objective == S
    )
    instance.reactor.advance(0.2)
    dial_count = len(instance.reactor.tcpClients)
    first.connectionLost(Failure(ConnectionLost()))  # the request may have been executed
    assert (len(instance.reactor.tcpClients) > dial_count) is is_retried
    if is_retried:
        open_server_connection(instance).dataReceived(encode_hit())
    assert connection.transport.take_output() == (b"$1\r\nv\r\n" if is_retried else b"-ERR failed\r\n")


def test_a_class_made_stricter_is_strict_for_every_new_request():
    instance = make_proxy(3)
    instance.reload(
        make_process_configuration(
            methods=[class_settings("read", "side_effect"), class_settings("pay", "side_effect")]
        )
    )
    connection = send_request(instance, b"1")
    assert next(iter(instance.request_handler.active)).request_class.idempotency == Idempotency.NOT_IDEMPOTENT
    dial_count = len(instance.reactor.tcpClients)
    open_server_connection(instance).connectionLost(Failure(ConnectionLost()))
    assert (
        connection.transport.take_output() == b"-ERR failed\r\n"
        and len(instance.reactor.tcpClients) == dial_count
    )


def test_a_lower_limit_of_attempts_applies_between_the_first_and_the_second_attempt():
    for max_attempts, expected_dials in ((3, 2), (1, 1)):
        instance = make_proxy(3)
        connection = send_request(instance, b"1")
        first = open_server_connection(instance)
        instance.reload(make_process_configuration(most_write_outs=max_attempts))
        first.connectionLost(Failure(ConnectionLost()))
        assert len(instance.reactor.tcpClients) == expected_dials
        assert (connection.transport.take_output() == b"-BUSY\r\n") == (max_attempts == 1)


def test_failures_of_replaced_classes_are_dropped_at_servers_with_the_last_request():
    # Otherwise a class that changes every day would leave its failures in memory at every server.
    instance = make_proxy()
    server = instance.balancer.servers["n0"]
    send_request(instance, b"1")
    open_server_connection(instance).dataReceived(b"-ERR failed\r\n")
    assert len(server.class_failures) == 1
    send_request(instance, b"2")
    old = instance.settings.request_classes["read"]
    for budget in (10**8, 2 * 10**8, 3 * 10**8):  # three reloads in a row
        instance.reload(make_process_configuration(methods=[class_settings("read", budget=budget)]))
    assert old in server.class_failures and instance.settings.request_classes["read"] in server.class_failures
    instance.reactor.advance(2)
    assert [*server.class_failures] == [
        instance.settings.request_classes["read"]
    ] and not instance.request_handler.active


def test_settings_are_applied_during_a_drain_and_during_shutdown():
    instance = make_proxy()
    start_without_discovery(instance)
    instance.start_draining()
    instance.reload(make_process_configuration(methods=[class_settings("new")]))
    assert instance.client_server.drain.code == "drained" and [*instance.client_server.request_classes] == [
        b"new"
    ]
    instance.terminate()
    instance.reload(make_process_configuration())
    assert instance.client_server.drain.code == "stopping" and [*instance.client_server.request_classes] == [
        b"read",
        b"pay",
    ]


def test_connections_to_servers_follow_the_settings():
    instance = make_proxy()
    instance.reload(
        make_process_configuration(
            streams_per_conn=1, connect_timeout=100_000_000, conn_idle=10**9, may_duplicate=True
        )
    )
    pools = instance.server_pools
    assert (pools.max_in_flight, pools.connect_timeout, pools.idle_timeout) == (1, 100_000, 800_000)
    assert instance.balancer.parameters.hedging_enabled and instance.settings.hedging_enabled


# A reload must leave no trace of the previous settings.  The tests check every field of the configuration.

FULL = {
    "methods": [{
        "name": "a", "semantics": "token", "latency_budget": 10**9, "give_up": 2 * 10**9, "criticality": 1.0,
        "tardy_criticality": 0.1, "group": "zone", "window": 10**9,
    }],
    "parties": [{"name": "t", "allowance_per_s": 5.0}],
    "kinds": ["big", "small"],
    "limits": {
        "conn_idle": 10**10, "connect_timeout": 10**8, "streams_per_conn": 10, "most_write_outs": 3,
        "may_duplicate": True, "retry_after": True, "max_retry_after": 10**9, "peers": True,
    },
    "rules": {
        "cold": 10**9, "cold_share": 0.5, "overload_factor": 3.0, "ask_within": 10**10,
        "stop_sending_within": 10**9,
    },
    "specifics": {"origin_kind": 1},
    "reporting": {"how": "answers", "columns": ["active"]},
    "blend": {},
    "zone": "z", "zones": ["z", "y"], "discovery": "ask", "weight_source": "nominal",
    "excess_criticality": 0.1, "n_instances": 40, "slot_no": 3, "granularity": 10**6,
}  # fmt: skip
# Other values by the path of their field.
OTHER_VALUES = {
    "methods": [[FULL["methods"][0] | {name: value}] for name, value in {
        "name": "b", "semantics": "pure", "latency_budget": 10**8, "give_up": 10**8, "criticality": 9.0,
        "tardy_criticality": 0.5, "group": "all", "window": 10**8,
    }.items()],
    "parties": [[{"name": "u", "allowance_per_s": 5.0}], [{"name": "t", "allowance_per_s": 9.0}], []],
    "kinds": [["small", "big"]],
    "limits.conn_idle": [5 * 10**9], "limits.connect_timeout": [10**7], "limits.streams_per_conn": [1],
    "limits.most_write_outs": [1], "limits.may_duplicate": [False], "limits.retry_after": [False],
    "limits.max_retry_after": [10**8], "limits.peers": [False],
    "rules.cold": [10**10], "rules.cold_share": [0.9], "rules.overload_factor": [2.5],
    "rules.ask_within": [10**9], "rules.stop_sending_within": [10**8],
    "specifics.origin_kind": [0, None], "reporting.how": ["none"], "reporting.columns": [["waiting"], []],
    "discovery": ["push"], "weight_source": ["none", "live", "rough"], "excess_criticality": [0.9],
    "n_instances": [4, 400], "slot_no": [7], "granularity": [10**7],
}  # fmt: skip
VALIDATED_ONLY = {"zone", "zones"}  # no decision depends on these fields
START_KEYS = {"listen", "admin_addr", "name", "limits", "peer_listen", "seed", "known"}
RELOADED_KEYS = {"settings", "discovery", "peers"}
# Attributes that hold observations instead of settings.
OBSERVED_ATTRIBUTES = ("cached_keys", "slots", "location_cache", "rng", "idle_time")


def configured_state(component, depth=0):
    """Return all configured values of an instance, including those of its components."""
    if isinstance(component, bool | int | float | str | bytes | frozenset | type(None)):
        return component
    if isinstance(component, dict):
        return {str(key): configured_state(value, depth + 1) for key, value in component.items()}
    if isinstance(component, list | tuple | set):
        return (
            sorted((configured_state(item, depth + 1) for item in component), key=repr)
            if isinstance(component, set)
            else [configured_state(item, depth + 1) for item in component]
        )
    names = [*getattr(component, "__slots__", ()), *getattr(component, "__dict__", ())]
    if depth > 5 or not type(component).__module__.startswith("ivystack"):
        return None
    return {
        name: configured_state(getattr(component, name), depth + 1)
        for name in names
        if name not in OBSERVED_ATTRIBUTES
    }


def field_paths(struct_type, path=""):
    """Yield the paths of all fields of a struct type, nested ones included."""
    for field in msgspec.structs.fields(struct_type):
        types = [argument for argument in getattr(field.type, "__args__", ()) if isinstance(argument, type)]
        nested = next((option for option in types if issubclass(option, msgspec.Struct)), None)
        yield from field_paths(nested, f"{path}{field.name}.") if nested else [path + field.name]


def test_every_field_of_the_configuration_is_known_to_apply_on_reload_or_at_the_next_start():
    # Add a new field to one of these tables, and its effect on a reload to the test below.
    known = {*OTHER_VALUES, *VALIDATED_ONLY}
    assert {path for path in field_paths(InstanceSettings) if not path.startswith("blend.")} == known
    assert {field.name for field in msgspec.structs.fields(ConfigurationFile)} == START_KEYS | RELOADED_KEYS
    assert {*ProcessConfiguration.FIXED_KEYS} == START_KEYS - {"seed", "known"}
    assert {*RequestClassSettings.__struct_fields__} == {*FULL["methods"][0]}
    assert {*TenantSettings.__struct_fields__} == {*FULL["parties"][0]}


@pytest.mark.parametrize("path", OTHER_VALUES)
def test_reloaded_settings_equal_those_of_a_start_with_them(path):
    # Nothing of the previous settings, which may be another customer's, may remain after a reload.
    for value in OTHER_VALUES[path]:  # type: ignore[attr-defined]  # lists of mixed types
        values = deepcopy(FULL)
        *parents, last = path.split(".")
        nested = values
        for name in parents:
            nested = nested[name]
        nested[last] = value
        reloaded, started = InstanceConfiguration(7, FULL), InstanceConfiguration(7, values)
        assert configured_state(reloaded) != configured_state(started), (
            "the value has no effect, so this test would check nothing"
        )
        reloaded.apply(InstanceConfiguration(7, values))
        # Kinds keep their index on a reload, because servers refer to it.
        for instance in (reloaded, started):
            names = {index: name for name, index in instance.kinds.items()}
            instance.balancer.parameters.origin_kind = names.get(instance.balancer.parameters.origin_kind)
            instance.kinds = {*instance.kinds}
        assert configured_state(reloaded) == configured_state(started)


def test_two_instances_in_one_process_share_no_settings():
    # Settings of one deployment or instance must not appear in another.
    before = configured_state(InstanceConfiguration(7, FULL))
    other = InstanceConfiguration(7, {"methods": [{"name": "b", "semantics": "pure", "give_up": 10**7}]})
    other.apply(InstanceConfiguration(7, FULL))
    other.apply(InstanceConfiguration(7, {}))
    assert configured_state(InstanceConfiguration(7, FULL)) == before
    other.kinds = {}  # kinds keep their index, because servers refer to it
    assert configured_state(other) == configured_state(InstanceConfiguration(7, {}))
