"""Recorded configurations: the effect of each key, and the error message for each faulty configuration.

tests/data/settings.json holds both tables.  `PYTHONPATH=. python tests/test_golden_settings.py` records them
again; do this only after an intended change of how configurations are read.
"""

from __future__ import annotations

import json
import os
import subprocess
import sys
from pathlib import Path
from tempfile import TemporaryDirectory

import pytest

from ivystack.model import Idempotency
from ivystack.configuration.errors import ConfigurationError
from ivystack.configuration.process import load

DATA = Path(__file__).parent / "data" / "settings.json"
FILE = "config.json"  # name of the configuration file in recorded error messages


# --- Adapters: the only code here that uses names of the package ---

RETRY_RULES = {
    Idempotency.IDEMPOTENT: "freely",
    Idempotency.KEYED: "within the window",
    Idempotency.NOT_IDEMPOTENT: "never",
}


def read(environ: dict, running=None):
    """Load the configuration named by the environment; return it, or None and the error message."""
    try:
        return load(environ, running), None
    except ConfigurationError as error:
        return None, str(error)


def effect(configuration) -> dict:
    """Return the effect of a configuration, under names that only this table uses.

    Times are microseconds.
    """
    settings, balancer = configuration.settings, configuration.settings.balancer
    return {
        "inherited_socket": configuration.inherited_descriptor,
        "folder": configuration.restart_folder,
        "name": configuration.name,
        "listen": configuration.listen,
        "discovery": configuration.discovery,
        "admin": configuration.admin,
        "peer_listen": configuration.peer_listen,
        "peers": configuration.peers,
        "seed": configuration.seed,
        "known": configuration.known_endpoints,
        "sockets": configuration.descriptors,
        "memory_bytes": configuration.memory_bytes,
        "idle": configuration.idle_timeout_us,
        "connect_timeout": configuration.connect_timeout_us,
        "doubts": [line.replace("no request of", "no req of") for line in configuration.warnings()],
        "kinds": settings.kinds,
        "columns": sorted(settings.columns),
        "pauses": settings.poll_pauses,
        "hedging": settings.hedging_enabled,
        "streams": settings.streams_per_connection,
        "longest_wait": settings.longest_deadline(),
        "classes": {
            name: [
                RETRY_RULES[request_class.idempotency],
                request_class.latency_objective,
                request_class.priority_weight,
                request_class.dedup_group.value,
                request_class.dedup_window,
                request_class.late_priority_weight,
            ]
            for name, request_class in settings.request_classes.items()
        },
        "tenants": {name: tenant.quota for name, tenant in settings.tenants.items()},
        "excess": balancer.shedder.excess_weight,
        "proxies": balancer.shedder.quotas.process_count,
        "sized": balancer.placement.weighted,
        "live_sizes": balancer.placement.live_weights,
        "loads_used": balancer.load.enabled,
        "cold": [
            balancer.slow_start.initial_fraction,
            balancer.slow_start.duration,
            balancer.slow_start.spill_over,
        ],
        "idle_kept": [balancer.connections.max_idle_time, balancer.connections.idle_time],
        "other_peers": balancer.gossip and balancer.gossip.peers,
        "place_among_peers": balancer.slot_order and balancer.slot_order.own_number,
        "origin": balancer.parameters.origin_kind,
        "most_attempts": balancer.parameters.max_attempts,
        "come_back": balancer.parameters.retry_after,
        "tick": balancer.parameters.clock_granularity,
    }


# --- Inputs ---

GOOD = {"listen": "127.0.0.1:6379", "discovery": "127.0.0.1:8500", "settings": {}}
CLASS = {
    "name": "m",
    "semantics": "token",
    "latency_budget": 5_000_000,
    "give_up": 9_000_000,
    "window": 7_000_000,
}


def file_with(**values):
    return GOOD | values


def file_with_settings(**values):
    return GOOD | {"settings": values}


def file_with_class(**values):
    return file_with_settings(methods=[CLASS | values])


VALID = [
    GOOD,
    *(file_with(**{key: value}) for key, value in [
        ("name", "p1"), ("listen", "::1:80"), ("admin_addr", "127.0.0.1:1"), ("peer_listen", "127.0.0.1:2"),
        ("peers", ["127.0.0.1:3", "127.0.0.2:65535"]), ("seed", "ff"), ("seed", 12), ("known", {"a": 1}),
        ("limits", {"sockets": 64}), ("limits", {"memory_mb": 1.5}), ("unheard_of", 1),
        ("settings", {"new": 1}),
    ]),
    *(file_with_class(**{key: value}) for key, value in [
        ("semantics", "pure"), ("semantics", "side_effect"), ("latency_budget", None), ("give_up", None),
        ("criticality", 3), ("tardy_criticality", 0.5), ("group", "all"), ("group", "zone"),
        ("group", "cell"),
        ("window", None), ("window", 10_000_000_000), ("name", "other"),
    ]),
    *(file_with_settings(**{key: value}) for key, value in [
        ("parties", [{"name": "t", "allowance_per_s": 5}, {"name": "u"}]), ("kinds", ["a", "b"]),
        ("zone", "z"), ("zones", ["z"]), ("blend", {"whole": 1, "miss_share": 0.5}),
        ("discovery", "push"), ("discovery", "ask"), ("excess_criticality", 0.2), ("n_instances", 40),
        ("slot_no", 3), ("granularity", 2_000_000), ("specifics", {"origin_kind": 1}),
        *(("weight_source", source) for source in ("none", "nominal", "rough", "live")),
        *(("reporting", {"how": how, "columns": ["active", "b"]}) for how in ("answers", "probe", "none")),
        *(("limits", {key: value}) for key, value in [
            ("conn_idle", 5_000_000), ("connect_timeout", 6_000_000), ("streams_per_conn", 7),
            ("most_write_outs", 3), ("may_duplicate", True), ("retry_after", True),
            ("max_retry_after", 1_000_000), ("peers", True),
        ]),
        *(("rules", {key: value}) for key, value in [
            ("cold", 9_000_000), ("cold_share", 0.25), ("overload_factor", 2.5), ("ask_within", 800_000_000),
            ("stop_sending_within", 400_000_000),
        ]),
    ]),
    file_with_settings(n_instances=40, slot_no=3, limits={"peers": True, "conn_idle": 10_000_000}),
    file_with_settings(limits={"retry_after": True, "max_retry_after": 1_000_000}),
    file_with_settings(discovery="ask", rules={"ask_within": 800_000_000}),
]  # fmt: skip

ENVIRON = {"LB_FD": "7", "TMPDIR": "some/folder", "LB_NAME": "p2", "LB_LISTEN": "127.0.0.2:7"}
ENVIRON |= {"LB_DISCOVERY": "127.0.0.3:1", "LB_ADMIN_ADDR": "127.0.0.1:9"}
RUNNING = file_with_settings(methods=[CLASS], limits={"most_write_outs": 3}) | {"admin_addr": "127.0.0.1:1"}
# Each entry: the text or values of the file (None: no file), additional environment variables, the running
# configuration (None: a start).
INVALID = [
    (None, {}, None), ("", {}, None), ("{", {}, None), ("\udcff", {}, None), ("[]", {}, None),
    ("null", {}, None),
    (GOOD, {"LB_FD": "x"}, None), (GOOD, {"LB_FD": "12345678"}, None), (GOOD, {"LB_LISTEN": "no"}, None),
    *((file_with(**{key: value}), {}, None) for key, value in [
        *((key, bad) for key in ("listen", "discovery", "admin_addr", "peer_listen")
          for bad in ("nowhere", "127.0.0.1:0", "127.0.0.1:65536", "host:1", "127.0.0.1:", 5)),
        ("listen", None), ("discovery", None), ("peers", ["127.0.0.1:1", "x"]), ("peers", "x"),
        ("seed", "zz"),
        ("seed", 1.5), ("settings", None), ("settings", []), ("limits", {"sockets": 63}), ("limits", 1),
        ("limits", {"sockets": "many"}), ("limits", {"memory_mb": 0}), ("name", 1), ("known", []),
    ]),
    *((file_with_class(**{key: value}), {}, None) for key, value in [
        ("semantics", None), ("semantics", "none"), ("name", ""), ("name", None), ("group", "row"),
        ("latency_budget", 0), ("give_up", 0), ("latency_budget", -1), ("give_up", 1.5), ("window", -1),
        ("criticality", -1), ("criticality", 1e13), ("tardy_criticality", "x"),
    ]),
    (file_with_settings(methods=[CLASS, CLASS]), {}, None),
    (file_with_settings(methods=[{"name": "m", "semantics": "pure"}]), {}, None),
    (file_with_settings(methods=[{"semantics": "pure"}]), {}, None),
    *((file_with_settings(**{key: value}), {}, None) for key, value in [
        ("parties", [{"name": "t", "allowance_per_s": -1}]), ("parties", [{}]), ("kinds", [1]),
        ("kinds", "a"),
        ("zone", 1), ("zones", "z"), ("discovery", "guess"), ("weight_source", "x"), ("n_instances", 0),
        ("excess_criticality", -1), ("slot_no", -1), ("granularity", -1), ("specifics", {"origin_kind": "a"}),
        ("reporting", {"how": "x"}), ("reporting", {"columns": "x"}), ("blend", {"miss_share": 2}),
        *(("limits", {key: bad}) for key in ("conn_idle", "connect_timeout") for bad in (0, -1, "long")),
        *(("limits", {key: 0}) for key in ("streams_per_conn", "most_write_outs")),
        *(("limits", {key: 1}) for key in ("may_duplicate", "retry_after", "peers")),
        *(("limits", {key: -1}) for key in ("max_retry_after",)),
        *(("rules", {key: -1}) for key in ("cold", "cold_share", "overload_factor", "ask_within")),
        ("rules", {"stop_sending_within": -1}), ("rules", {"cold_share": 2}),
    ]),
    ({key: value for key, value in RUNNING.items() if key != "admin_addr"}, {}, RUNNING),
    (RUNNING | {"settings": {}}, {}, RUNNING),
    (RUNNING | {"settings": RUNNING["settings"] | {"methods": []}}, {}, RUNNING),
    (RUNNING | {"settings": RUNNING["settings"] | {"limits": None}}, {}, RUNNING),
    (RUNNING | {"settings": RUNNING["settings"] | {"limits": {}}}, {}, RUNNING),
    (RUNNING | {"settings": RUNNING["settings"] | {"methods": [CLASS | {"window": None}]}}, {}, RUNNING),
    ("", {}, RUNNING),
]  # fmt: skip


def write_file(folder: Path, values) -> dict:
    """Write the configuration file and return the environment that names it."""
    path = folder / FILE
    path.unlink(missing_ok=True)
    if values is not None:
        text = values if isinstance(values, str) else json.dumps(values)
        path.write_bytes(text.encode(errors="surrogateescape"))
    return {"LB_CONFIG": str(path)}


def valid_effect(folder: Path, values, environment) -> dict:
    configuration, error = read(write_file(folder, values) | environment)
    assert error is None, error
    return json.loads(json.dumps(effect(configuration)))


def invalid_message(folder: Path, values, environment, running) -> str | None:
    running_configuration = read(write_file(folder, running))[0] if running is not None else None
    return (read(write_file(folder, values) | environment, running_configuration)[1] or "").replace(
        str(folder / FILE), FILE
    ) or None


def record():
    cases = [*((values, {}) for values in VALID), *((GOOD, {key: value}) for key, value in ENVIRON.items())]
    with TemporaryDirectory() as name:
        folder = Path(name)
        good = [
            [values, environment, valid_effect(folder, values, environment)] for values, environment in cases
        ]
        bad = [[*entry, invalid_message(folder, *entry), 2] for entry in INVALID]
    for entry in bad:
        assert entry[3], f"no error for: {entry}"
    lines = [",\n".join(json.dumps(entry) for entry in table) for table in (good, bad)]
    DATA.write_text('{"sound": [\n' + lines[0] + '\n], "faulty": [\n' + lines[1] + "\n]}\n")


# --- The tests ---


def recorded(table: str) -> list:
    return json.loads(DATA.read_text())[table] if DATA.exists() else []


def test_each_key_has_its_recorded_effect(tmp_path):
    table = recorded("sound")
    assert len(table) >= 60
    for values, environment, expected in table:
        assert valid_effect(tmp_path, values, environment) == expected, (values, environment)


def test_each_effect_has_more_than_one_recorded_value():
    """Guard the table against keys whose effect it does not show."""
    effects = [recorded_effect for _, _, recorded_effect in recorded("sound")]
    for name in effects[0]:
        assert len({json.dumps(recorded_effect[name]) for recorded_effect in effects}) > 1, name


def test_each_invalid_configuration_gets_its_recorded_message(tmp_path):
    table = recorded("faulty")
    assert len(table) >= 80
    for values, environment, running, line, code in table:
        assert (invalid_message(tmp_path, values, environment, running), code) == (line, 2), (
            values,
            environment,
        )
        assert "\n" not in line


def test_a_missing_file_name_is_an_error():
    assert read({}) == (None, "`LB_CONFIG`: not set; it names the configuration's file")


@pytest.mark.parametrize("index", [1, 9])
def test_an_invalid_configuration_ends_the_program_with_its_message_and_exit_code(tmp_path, index):
    values, environment, _, line, code = recorded("faulty")[index]
    environ = {k: v for k, v in os.environ.items() if not k.startswith("LB_")}
    root = Path(__file__).parent.parent
    process = subprocess.run(
        [sys.executable, "-B", "-m", "ivystack"],
        env=environ | write_file(tmp_path, values) | environment,
        cwd=root,
        capture_output=True,
        timeout=30,
    )
    assert (process.stderr.decode(), process.returncode) == (line + "\n", code)


if __name__ == "__main__":
    record()
