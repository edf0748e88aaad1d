"""Reading, validating and reloading the configuration file."""

import json

import pytest

from ivystack.model import Idempotency, FailureState, Server
from ivystack.configuration.instance import InstanceConfiguration
from ivystack.configuration.errors import ConfigurationError
from ivystack.configuration.process import DEFAULT_IDLE_TIMEOUT_US, ProcessConfiguration, load
from ivystack.configuration.schema import ConfigurationFile, convert

GOOD = {"listen": "127.0.0.1:6379", "discovery": "127.0.0.1:8500", "seed": "0f", "settings": {}, "new": 1}


def load_configuration(tmp_path, **values):
    path = tmp_path / "config.json"
    path.write_text(json.dumps(GOOD | values))
    return load({"LB_CONFIG": str(path), "LB_LISTEN": "127.0.0.2:7"})


def test_environment_variables_take_precedence_over_the_file(tmp_path):
    run = load_configuration(tmp_path, limits={"sockets": 256})
    assert (run.listen, run.seed, run.descriptors, run.idle_timeout_us) == (
        ("127.0.0.2", 7),
        15,
        256,
        DEFAULT_IDLE_TIMEOUT_US,
    )


def test_an_error_names_its_key_in_one_line(tmp_path):
    for key, values in {
        "discovery": {"discovery": "nowhere"},
        "seed": {"seed": "zz"},
        "peers[0]": {"peers": ["127.0.0.1:99999"]},
        "sockets": {"limits": {"sockets": "many"}},
        "settings.methods[0].window": {"settings": {"methods": [{"name": "m", "window": -1}]}},
        "settings.limits.conn_idle": {"settings": {"limits": {"conn_idle": "long"}}},
    }.items():
        with pytest.raises(ConfigurationError) as raised:
            load_configuration(tmp_path, **values)
        assert key in str(raised.value) and "\n" not in str(raised.value)
    for environ in ({}, {"LB_CONFIG": "/nowhere"}):
        with pytest.raises(ConfigurationError, match="LB_CONFIG"):
            load(environ)


def test_an_incomplete_request_class_or_a_limit_of_0_is_rejected(tmp_path):
    # Without these checks a class without `semantics` was treated as not idempotent, the requests of a class
    # without a latency objective had no time at all, and the last of two classes with the same name was used.
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
        with pytest.raises(ConfigurationError) as raised:
            load_configuration(tmp_path, settings=settings)
        assert key in str(raised.value) and "\n" not in str(raised.value)
    assert load_configuration(tmp_path, settings={"methods": [good]}).settings.request_classes


def test_missing_and_null_values_get_their_defaults():
    settings = InstanceConfiguration(1, {"limits": None, "methods": [{"name": "m", "give_up": 5_000}]})
    assert (
        settings.balancer.parameters.max_attempts == 1
        and settings.request_classes["m"].latency_objective == 5
    )


def test_on_reload_the_discovery_of_the_file_takes_precedence_over_the_environment(tmp_path):
    first = load_configuration(tmp_path)
    path = tmp_path / "config.json"
    path.write_text(json.dumps(GOOD | {"discovery": "127.0.0.3:1", "limits": {"sockets": 99}}))
    environ = {"LB_CONFIG": str(path), "LB_LISTEN": "127.0.0.2:7", "LB_DISCOVERY": "127.0.0.1:8500"}
    run = load(environ, first)
    assert (run.discovery, load(environ).discovery) == (("127.0.0.3", 1), ("127.0.0.1", 8500))
    assert first.changed_fixed_keys(run) == ["limits"]


CLASS = {"name": "m", "semantics": "token", "latency_budget": 5_000, "give_up": 9_000, "criticality": 1.0}
SETTINGS = {"methods": [CLASS, CLASS | {"name": "w", "window": 7_000}], "limits": {"most_write_outs": 3}}


def reload_with(tmp_path, text):
    """Load a configuration, replace its file by `text` and return the reloaded configuration."""
    path = tmp_path / "config.json"
    path.write_text(json.dumps(GOOD | {"settings": SETTINGS}))
    environ = {"LB_CONFIG": str(path), "LB_DISCOVERY": "127.0.0.1:8500"}
    running = load(environ)
    path.write_text(text)
    return load(environ, running)


def file_text(**values):
    return json.dumps(GOOD | {"settings": SETTINGS} | values)


def settings_text(class_values=None, **values):
    """Return the file's text with other settings, or with other values of the second class.

    A key whose value is ... is left out.
    """
    methods = [
        CLASS,
        {k: v for k, v in (SETTINGS["methods"][1] | (class_values or {})).items() if v is not ...},
    ]
    settings = SETTINGS | {"methods": methods} | values
    return file_text(settings={k: v for k, v in settings.items() if v is not ...})


def test_a_reload_rejects_a_damaged_file_and_names_the_key_at_fault(tmp_path):
    # A start gives missing and null values their defaults.  A reload must not, because the file may be only
    # partly written.
    complete = settings_text()
    without_discovery = json.dumps({k: v for k, v in json.loads(complete).items() if k != "discovery"})
    for text, key in [
        ("", "LB_CONFIG"), (complete[: len(complete) // 2], "LB_CONFIG"), ("[]", "object"),
        ("null", "object"),
        (without_discovery, "discovery"), (file_text(settings=None), "settings"),
        (file_text(settings={}), "methods"),
        (settings_text(methods=[]), "methods"), (settings_text(limits=...), "limits"),
        (settings_text(limits={}), "most_write_outs"),
        (settings_text(limits={"most_write_outs": None}), "most_write_outs"),
        *((settings_text(limits={"most_write_outs": bad}), "most_write_outs")
          for bad in (0, -1, "3", True, 1.5)),
        *((settings_text({"give_up": bad}), "[1].give_up") for bad in (0, -1, None, "9", True, ..., 1.5)),
        *((settings_text({"latency_budget": bad}), "[1].latency_budget") for bad in (0, -1, None, "9", ...)),
        (settings_text().replace("9000", "NaN"), "LB_CONFIG"),
        (settings_text({"semantics": ...}), "[1].semantics"),
        (settings_text({"semantics": "none"}), "[1].semantics"), (settings_text({"name": "m"}), "twice"),
        (settings_text({"name": ...}), "name"), (settings_text({"criticality": ...}), "[1].criticality"),
    ]:  # fmt: skip
        with pytest.raises(ConfigurationError) as raised:
            reload_with(tmp_path, text)
        assert key in str(raised.value) and "\n" not in str(raised.value), text


def test_a_reload_accepts_removed_and_new_classes_and_a_class_without_a_window(tmp_path):
    assert [*reload_with(tmp_path, settings_text({"name": "new"})).settings.request_classes] == [
        "m",
        "new",
    ]
    assert [*reload_with(tmp_path, settings_text(methods=[CLASS])).settings.request_classes] == ["m"]
    assert (
        reload_with(tmp_path, settings_text({"window": ...})).settings.request_classes["w"].dedup_window == 0
    )
    assert (
        reload_with(
            tmp_path, settings_text(limits={"most_write_outs": 1})
        ).settings.balancer.parameters.max_attempts
        == 1
    )


def test_a_reload_keeps_observations_and_applies_the_new_settings_of_a_class():
    running = InstanceConfiguration(1, SETTINGS | {"parties": [{"name": "t", "allowance_per_s": 5}]})
    old, tenant = running.request_classes["m"], running.tenants["t"]
    unchanged_class = running.request_classes["w"]
    server = Server("n", class_failures={old: FailureState(consecutive_failures=2)})
    running.balancer.update_endpoints([server], True, 0)
    old.attempt_times.append(7)
    tenant.recent_requests = 3
    new_settings = SETTINGS | {"methods": [CLASS | {"semantics": "side_effect"}, SETTINGS["methods"][1]]}
    new_configuration = InstanceConfiguration(
        1, new_settings | {"parties": [{"name": "t", "allowance_per_s": 8}, {"name": "u"}]}
    )
    assert running.apply(new_configuration) == [old]
    new = running.request_classes["m"]
    assert (
        old.idempotency == new.idempotency == Idempotency.NOT_IDEMPOTENT
        and new.attempt_times is old.attempt_times
    )  # the stricter of the old and the new class
    assert (
        running.request_classes["w"] is unchanged_class
        and running.tenants["t"] is tenant
        and tenant.quota == 8
    )
    assert (
        server.class_failures[new] is server.class_failures[old]
        and server in running.balancer.placement.slots
    )
    running.discard([old])
    assert [*server.class_failures] == [new]


def test_a_machine_kind_that_stays_keeps_its_index():
    running = InstanceConfiguration(1, {"kinds": ["a", "b"], "specifics": {"origin_kind": 1}})
    running.apply(InstanceConfiguration(1, {"kinds": ["b", "c"], "specifics": {"origin_kind": 0}}))
    assert running.kinds == {"a": 0, "b": 1, "c": 2} and running.balancer.parameters.origin_kind == 1


def test_objectives_are_optional_and_validated():
    assert InstanceConfiguration(1, {"blend": {"whole": 0.7}}).settings.blend.tail_part is None
    blend = InstanceConfiguration(1, {"blend": {"tail_part": 0.2, "miss_share": 0.02}}).settings.blend
    assert (blend.tail_part, blend.miss_share) == (0.2, 0.02)
    for key, value in (("tail_part", -1), ("miss_share", 1.5), ("miss_share", "2%")):
        with pytest.raises(ConfigurationError, match=f"blend.{key}"):
            InstanceConfiguration(1, {"blend": {key: value}})


@pytest.mark.parametrize("window, connect_timeout, expected", [
    (0, 100, "no request of m is ever sent again"), (10, 100, "no request of m is ever sent again"),
    (100, 100, "no longer than `settings.limits.connect_timeout`"), (101, 100, None),
])  # fmt: skip
def test_a_deduplication_window_too_short_for_retries_gives_a_warning_with_its_key(
    window, connect_timeout, expected
):
    keyed_class = CLASS | {"name": "m", "semantics": "token", "window": window * 10**6}
    new_settings = {
        "methods": [keyed_class],
        "limits": {"connect_timeout": connect_timeout * 10**6},
        "granularity": 5 * 10**6,
    }
    run = ProcessConfiguration(
        convert(
            {"listen": "127.0.0.1:1", "discovery": "127.0.0.1:2", "settings": new_settings}, ConfigurationFile
        )
    )
    lines = run.warnings()
    assert len(lines) == (expected is not None)
    assert all(expected in line and line.startswith("`settings.methods[0].window`") for line in lines)
