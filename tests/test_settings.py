import json

import pytest

from ivystack.model import Idempotency, FailureState, Server
from ivystack.configuration.instance import InstanceConfiguration
from ivystack.configuration.errors import ConfigurationError
from ivystack.configuration.process import DEFAULT_IDLE_TIMEOUT_US, ProcessConfiguration, load
from ivystack.configuration.schema import ConfigurationFile, convert

GOOD = {"listen": "127.0.0.1:6379", "discovery": "127.0.0.1:8500", "seed": "0f", "settings": {}, "new": 1}


def loaded(tmp_path, **more):
    path = tmp_path / "config.json"
    path.write_text(json.dumps(GOOD | more))
    return load({"LB_CONFIG": str(path), "LB_LISTEN": "127.0.0.2:7"})


def test_the_environment_goes_before_the_file(tmp_path):
    run = loaded(tmp_path, limits={"sockets": 256})
    assert (run.listen, run.seed, run.descriptors, run.idle_timeout_us) == (
        ("127.0.0.2", 7),
        15,
        256,
        DEFAULT_IDLE_TIMEOUT_US,
    )


def test_a_fault_names_its_key_in_one_line(tmp_path):
    for key, more in {
        "discovery": {"discovery": "nowhere"},
        "seed": {"seed": "zz"},
        "peers[0]": {"peers": ["127.0.0.1:99999"]},
        "sockets": {"limits": {"sockets": "many"}},
        "settings.methods[0].window": {"settings": {"methods": [{"name": "m", "window": -1}]}},
        "settings.limits.conn_idle": {"settings": {"limits": {"conn_idle": "long"}}},
    }.items():
        with pytest.raises(ConfigurationError) as fault:
            loaded(tmp_path, **more)
        assert key in str(fault.value) and "\n" not in str(fault.value)
    for environ in ({}, {"LB_CONFIG": "/nowhere"}):
        with pytest.raises(ConfigurationError, match="LB_CONFIG"):
            load(environ)


def test_a_class_that_leaves_its_meaning_open_and_a_limit_of_0_end_the_start(tmp_path):
    # Guards reqs: a class without effect was taken for the strictest, one without budget had no time at all,
    # and of two by one name the last was meant.
    good = {"name": "m", "semantics": "pure", "latency_budget": 5_000, "give_up": 9_000}
    for key, settings in {
        "settings.methods[0].semantics": {"methods": [good | {"semantics": None}]},
        "settings.methods[1].name": {"methods": [good, good]},
        "settings.methods[0].name": {"methods": [good | {"name": ""}]},
        "settings.methods[0].latency_budget": {"methods": [good | {"latency_budget": None, "give_up": None}]},
        "settings.methods[0].give_up": {"methods": [good | {"give_up": 0}]},
        "settings.limits.streams_per_conn": {"limits": {"streams_per_conn": 0}},
        "settings.limits.most_write_outs": {"limits": {"most_write_outs": 0}},
        "settings.limits.connect_timeout": {"limits": {"connect_timeout": 0}},
        "settings.limits.conn_idle": {"limits": {"conn_idle": 0}},
    }.items():
        with pytest.raises(ConfigurationError) as fault:
            loaded(tmp_path, settings=settings)
        assert key in str(fault.value) and "\n" not in str(fault.value)
    assert loaded(tmp_path, settings={"methods": [good]}).settings.request_classes


def test_what_is_absent_or_null_gets_its_default():
    settings = InstanceConfiguration(1, {"limits": None, "methods": [{"name": "m", "give_up": 5_000}]})
    assert (
        settings.balancer.parameters.max_attempts == 1
        and settings.request_classes["m"].latency_objective == 5
    )


def test_read_again_the_files_discovery_goes_before_the_environments(tmp_path):
    first = loaded(tmp_path)
    path = tmp_path / "config.json"
    path.write_text(json.dumps(GOOD | {"discovery": "127.0.0.3:1", "limits": {"sockets": 99}}))
    environ = {"LB_CONFIG": str(path), "LB_LISTEN": "127.0.0.2:7", "LB_DISCOVERY": "127.0.0.1:8500"}
    run = load(environ, first)
    assert (run.discovery, load(environ).discovery) == (("127.0.0.3", 1), ("127.0.0.1", 8500))
    assert first.changed_fixed_keys(run) == ["limits"]


CLASS = {"name": "m", "semantics": "token", "latency_budget": 5_000, "give_up": 9_000, "criticality": 1.0}
TUNED = {"methods": [CLASS, CLASS | {"name": "w", "window": 7_000}], "limits": {"most_write_outs": 3}}


def read_again(tmp_path, text):
    """The running configuration, and what a file with that text in its place is taken for."""
    path = tmp_path / "config.json"
    path.write_text(json.dumps(GOOD | {"settings": TUNED}))
    environ = {"LB_CONFIG": str(path), "LB_DISCOVERY": "127.0.0.1:8500"}
    running = load(environ)
    path.write_text(text)
    return load(environ, running)


def changed(**more):
    return json.dumps(GOOD | {"settings": TUNED} | more)


def tuned(one=None, **more):
    """With other settings, or another second class: a key with ... is left out."""
    methods = [CLASS, {k: v for k, v in (TUNED["methods"][1] | (one or {})).items() if v is not ...}]
    settings = TUNED | {"methods": methods} | more
    return changed(settings={k: v for k, v in settings.items() if v is not ...})


def test_a_broken_file_is_refused_with_the_key_at_fault(tmp_path):
    # Guards the running proxy: absent and null get defaults at a start, and a file may not be whole yet.
    whole = tuned()
    without = json.dumps({k: v for k, v in json.loads(whole).items() if k != "discovery"})
    for text, key in [
        ("", "LB_CONFIG"), (whole[: len(whole) // 2], "LB_CONFIG"), ("[]", "object"), ("null", "object"),
        (without, "discovery"), (changed(settings=None), "settings"), (changed(settings={}), "methods"),
        (tuned(methods=[]), "methods"), (tuned(limits=...), "limits"),
        (tuned(limits={}), "most_write_outs"), (tuned(limits={"most_write_outs": None}), "most_write_outs"),
        *((tuned(limits={"most_write_outs": bad}), "most_write_outs") for bad in (0, -1, "3", True, 1.5)),
        *((tuned({"give_up": bad}), "[1].give_up") for bad in (0, -1, None, "9", True, ..., 1.5)),
        *((tuned({"latency_budget": bad}), "[1].latency_budget") for bad in (0, -1, None, "9", ...)),
        (tuned().replace("9000", "NaN"), "LB_CONFIG"), (tuned({"semantics": ...}), "[1].semantics"),
        (tuned({"semantics": "none"}), "[1].semantics"), (tuned({"name": "m"}), "twice"),
        (tuned({"name": ...}), "name"), (tuned({"criticality": ...}), "[1].criticality"),
    ]:  # fmt: skip
        with pytest.raises(ConfigurationError) as fault:
            read_again(tmp_path, text)
        assert key in str(fault.value) and "\n" not in str(fault.value), text


def test_a_whole_file_is_taken_with_classes_gone_new_or_without_a_window(tmp_path):
    assert [*read_again(tmp_path, tuned({"name": "new"})).settings.request_classes] == ["m", "new"]
    assert [*read_again(tmp_path, tuned(methods=[CLASS])).settings.request_classes] == ["m"]
    assert read_again(tmp_path, tuned({"window": ...})).settings.request_classes["w"].dedup_window == 0
    assert (
        read_again(tmp_path, tuned(limits={"most_write_outs": 1})).settings.balancer.parameters.max_attempts
        == 1
    )


def test_what_was_seen_stays_and_what_a_class_says_is_new():
    running = InstanceConfiguration(1, TUNED | {"parties": [{"name": "t", "allowance_per_s": 5}]})
    old, tenant = running.request_classes["m"], running.tenants["t"]
    kept = running.request_classes["w"]
    node = Server("n", class_failures={old: FailureState(consecutive_failures=2)})
    running.balancer.update_endpoints([node], True, 0)
    old.attempt_times.append(7)
    tenant.recent_requests = 3
    sheet = TUNED | {"methods": [CLASS | {"semantics": "side_effect"}, TUNED["methods"][1]]}
    more = InstanceConfiguration(1, sheet | {"parties": [{"name": "t", "allowance_per_s": 8}, {"name": "u"}]})
    assert running.apply(more) == [old]
    new = running.request_classes["m"]
    assert (
        old.idempotency == new.idempotency == Idempotency.NOT_IDEMPOTENT
        and new.attempt_times is old.attempt_times
    )  # the stricter
    assert running.request_classes["w"] is kept and running.tenants["t"] is tenant and tenant.quota == 8
    assert node.class_failures[new] is node.class_failures[old] and node in running.balancer.placement.slots
    running.discard([old])
    assert [*node.class_failures] == [new]


def test_a_kind_that_stays_keeps_its_number():
    running = InstanceConfiguration(1, {"kinds": ["a", "b"], "specifics": {"origin_kind": 1}})
    running.apply(InstanceConfiguration(1, {"kinds": ["b", "c"], "specifics": {"origin_kind": 0}}))
    assert running.kinds == {"a": 0, "b": 1, "c": 2} and running.balancer.parameters.origin_kind == 1


def test_the_tail_of_the_blend_is_read_and_checked_and_absent_ones_leave_all_as_it_was():
    assert InstanceConfiguration(1, {"blend": {"whole": 0.7}}).settings.blend.tail_part is None
    blend = InstanceConfiguration(1, {"blend": {"tail_part": 0.2, "miss_share": 0.02}}).settings.blend
    assert (blend.tail_part, blend.miss_share) == (0.2, 0.02)
    for key, value in (("tail_part", -1), ("miss_share", 1.5), ("miss_share", "2%")):
        with pytest.raises(ConfigurationError, match=f"blend.{key}"):
            InstanceConfiguration(1, {"blend": {key: value}})


@pytest.mark.parametrize("window, connect, words", [
    (0, 100, "no request of m is ever sent again"), (10, 100, "no request of m is ever sent again"),
    (100, 100, "no longer than `settings.limits.connect_timeout`"), (101, 100, None),
])  # fmt: skip
def test_a_window_that_hardly_lets_anything_be_repeated_is_told_with_its_key(window, connect, words):
    one = CLASS | {"name": "m", "semantics": "token", "window": window * 10**6}
    sheet = {"methods": [one], "limits": {"connect_timeout": connect * 10**6}, "granularity": 5 * 10**6}
    run = ProcessConfiguration(
        convert({"listen": "127.0.0.1:1", "discovery": "127.0.0.1:2", "settings": sheet}, ConfigurationFile)
    )
    lines = run.warnings()
    assert len(lines) == (words is not None)
    assert all(words in line and line.startswith("`settings.methods[0].window`") for line in lines)
