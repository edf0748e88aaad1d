"""New settings while reqs are under way."""

from copy import deepcopy

import msgspec
import pytest
from helpers import (
    S,
    connect_client,
    encode_get,
    encode_hit,
    open_server_connection,
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


def sheet(name, semantics="pure", budget=10**9):
    return {
        "name": name, "semantics": semantics, "latency_budget": budget, "give_up": budget, "criticality": 1.0
    }  # fmt: skip


def ask(made, ident, fields=b"c=read,d=900"):
    asking = connect_client(made)
    asking.dataReceived(encode_get(ident, fields=fields))
    return asking


def test_new_classes_are_in_use_at_once_and_one_that_has_gone_is_an_unknown_one():
    made = make_proxy()
    made.reload(make_process_configuration(methods=[sheet("read"), sheet("new")]))
    unknown = ask(made, b"0", b"c=none,d=900").transport.take_output()
    assert unknown.startswith(b"-ERR") and ask(made, b"1", b"c=pay,d=900").transport.take_output() == unknown
    asking = ask(made, b"2", b"c=new,d=900")
    open_server_connection(made).dataReceived(encode_hit())
    assert asking.transport.take_output() == b"$1\r\nv\r\n"


@pytest.mark.parametrize("before, now, again", [
    ("pure", "side_effect", False), ("side_effect", "pure", False), ("pure", "pure", True),
])  # fmt: skip
def test_reqs_under_way_keep_their_deadline_and_go_by_the_stricter_of_both_effects(before, now, again):
    # Nodes may go by either file by now: what either forbids is not done.
    made = make_proxy(3, run=make_process_configuration(methods=[sheet("read", before)]))
    asking = ask(made, b"1")
    first = open_server_connection(made)
    made.reload(make_process_configuration(methods=[sheet("read", now, 10**8)]))
    req = next(iter(made.request_handler.active))
    assert (
        req.request_class.idempotency == (Idempotency.IDEMPOTENT if again else Idempotency.NOT_IDEMPOTENT)
        and req.request_class.latency_objective == S
    )
    made.reactor.advance(0.2)
    before = len(made.reactor.tcpClients)
    first.connectionLost(Failure(ConnectionLost()))  # it may have run
    assert (len(made.reactor.tcpClients) > before) is again
    if again:
        open_server_connection(made).dataReceived(encode_hit())
    assert asking.transport.take_output() == (b"$1\r\nv\r\n" if again else b"-ERR failed\r\n")


def test_a_class_made_stricter_is_strict_for_every_new_req():
    made = make_proxy(3)
    made.reload(
        make_process_configuration(methods=[sheet("read", "side_effect"), sheet("pay", "side_effect")])
    )
    asking = ask(made, b"1")
    assert next(iter(made.request_handler.active)).request_class.idempotency == Idempotency.NOT_IDEMPOTENT
    before = len(made.reactor.tcpClients)
    open_server_connection(made).connectionLost(Failure(ConnectionLost()))
    assert asking.transport.take_output() == b"-ERR failed\r\n" and len(made.reactor.tcpClients) == before


def test_fewer_attempts_count_between_the_first_and_the_second():
    for most, outs in ((3, 2), (1, 1)):
        made = make_proxy(3)
        asking = ask(made, b"1")
        first = open_server_connection(made)
        made.reload(make_process_configuration(most_write_outs=most))
        first.connectionLost(Failure(ConnectionLost()))
        assert len(made.reactor.tcpClients) == outs
        assert (asking.transport.take_output() == b"-BUSY\r\n") == (most == 1)


def test_what_nodes_hold_of_former_classes_goes_with_their_last_reqs():
    # Guards the memory: a class that changes each day would leave its errors at every node.
    made = make_proxy()
    node = made.balancer.servers["n0"]
    ask(made, b"1")
    open_server_connection(made).dataReceived(b"-ERR failed\r\n")
    assert len(node.class_failures) == 1
    ask(made, b"2")
    old = made.settings.request_classes["read"]
    for budget in (10**8, 2 * 10**8, 3 * 10**8):  # three in a row
        made.reload(make_process_configuration(methods=[sheet("read", budget=budget)]))
    assert old in node.class_failures and made.settings.request_classes["read"] in node.class_failures
    made.reactor.advance(2)
    assert [*node.class_failures] == [
        made.settings.request_classes["read"]
    ] and not made.request_handler.active


def test_settings_are_taken_up_in_a_drain_and_at_the_end():
    made = make_proxy()
    made.endpoint_watch.request_watch = lambda: None
    made.start()
    made.start_draining()
    made.reload(make_process_configuration(methods=[sheet("new")]))
    assert made.client_server.drain.code == "drained" and [*made.client_server.request_classes] == [b"new"]
    made.terminate()
    made.reload(make_process_configuration())
    assert made.client_server.drain.code == "stopping" and [*made.client_server.request_classes] == [
        b"read",
        b"pay",
    ]


def test_nodes_connections_follow_the_settings():
    made = make_proxy()
    made.reload(
        make_process_configuration(
            streams_per_conn=1, connect_timeout=100_000_000, conn_idle=10**9, may_duplicate=True
        )
    )
    pools = made.server_pools
    assert (pools.max_in_flight, pools.connect_timeout, pools.idle_timeout) == (1, 100_000, 800_000)
    assert made.balancer.parameters.hedging_enabled and made.settings.hedging_enabled


# Another customer's settings: every field of the configuration, one by one.

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
# By path: another value; with what else it counts for something.
OTHERS = {
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
CARRIED = {"zone", "zones"}  # checked; no decision rests on them
AT_START = {"listen", "admin_addr", "name", "limits", "peer_listen", "seed", "known"}
AT_ONCE = {"settings", "discovery", "peers"}
# What a part has learned, not been told.
SEEN = ("cached_keys", "slots", "location_cache", "rng", "idle_time")


def says(of, deep=0):
    """All that an instance was told: figures and words, those of its parts too."""
    if isinstance(of, bool | int | float | str | bytes | frozenset | type(None)):
        return of
    if isinstance(of, dict):
        return {str(key): says(one, deep + 1) for key, one in of.items()}
    if isinstance(of, list | tuple | set):
        return (
            sorted((says(one, deep + 1) for one in of), key=repr)
            if isinstance(of, set)
            else [says(one, deep + 1) for one in of]
        )
    names = [*getattr(of, "__slots__", ()), *getattr(of, "__dict__", ())]
    if deep > 5 or not type(of).__module__.startswith("ivystack"):
        return None
    return {name: says(getattr(of, name), deep + 1) for name in names if name not in SEEN}


def leaves(kind, path=""):
    """The paths of all fields of a sheet."""
    for field in msgspec.structs.fields(kind):
        either = [one for one in getattr(field.type, "__args__", ()) if isinstance(one, type)]
        inner = next((one for one in either if issubclass(one, msgspec.Struct)), None)
        yield from leaves(inner, f"{path}{field.name}.") if inner else [path + field.name]


def test_every_field_of_the_configuration_is_known_to_count_at_once_or_from_the_next_start():
    # A new one belongs into one of these lists, and what it does at SIGHUP into the test below.
    known = {*OTHERS, *CARRIED}
    assert {path for path in leaves(InstanceSettings) if not path.startswith("blend.")} == known
    assert {field.name for field in msgspec.structs.fields(ConfigurationFile)} == AT_START | AT_ONCE
    assert {*ProcessConfiguration.FIXED_KEYS} == AT_START - {"seed", "known"}
    assert {*RequestClassSettings.__struct_fields__} == {*FULL["methods"][0]}
    assert {*TenantSettings.__struct_fields__} == {*FULL["parties"][0]}


@pytest.mark.parametrize("path", OTHERS)
def test_settings_taken_at_sighup_are_those_of_a_start_with_them(path):
    # Guards against another customer's settings showing: nothing of the former ones may stay.
    for value in OTHERS[path]:  # type: ignore[attr-defined]  # lists of mixed types
        values = deepcopy(FULL)
        *way, last = path.split(".")
        inner = values
        for name in way:
            inner = inner[name]
        inner[last] = value
        ours, fresh = InstanceConfiguration(7, FULL), InstanceConfiguration(7, values)
        assert says(ours) != says(fresh), "it counts for nothing: the test shows nothing"
        ours.apply(InstanceConfiguration(7, values))
        for one in (ours, fresh):  # kinds keep their numbers, since nodes name them by these
            names = {place: name for name, place in one.kinds.items()}
            one.balancer.parameters.origin_kind = names.get(one.balancer.parameters.origin_kind)
            one.kinds = {*one.kinds}
        assert says(ours) == says(fresh)


def test_two_instances_side_by_side_keep_nothing_of_each_other():
    # Signing's figures may not show in another's process, nor one instance's in its neighbour.
    before = says(InstanceConfiguration(7, FULL))
    other = InstanceConfiguration(7, {"methods": [{"name": "b", "semantics": "pure", "give_up": 10**7}]})
    other.apply(InstanceConfiguration(7, FULL))
    other.apply(InstanceConfiguration(7, {}))
    assert says(InstanceConfiguration(7, FULL)) == before
    other.kinds = {}  # the nodes' that have them keep their numbers
    assert says(other) == says(InstanceConfiguration(7, {}))
