"""Recorded configurations: what each key comes to, and what each faulty one is answered with.

tests/data/settings.json holds both tables.  `PYTHONPATH=. python tests/test_golden_settings.py` records them
anew; that is right only when the reading of configuration is changed on purpose.
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
FILE = "config.json"  # what a fault calls the configuration's file


# --- Adapters: the only uses of the project's own names ---

REPEATS = {
    Idempotency.IDEMPOTENT: "freely",
    Idempotency.KEYED: "within the window",
    Idempotency.NOT_IDEMPOTENT: "never",
}


def read(environ: dict, running=None):
    """The configuration that the environment names; a fault's text in place of it."""
    try:
        return load(environ, running), None
    except ConfigurationError as fault:
        return None, str(fault)


def effect(run) -> dict:
    """What a configuration comes to, by names of this table's own.  Times in microseconds."""
    settings, balancer = run.settings, run.settings.balancer
    return {
        "inherited_socket": run.inherited_descriptor,
        "folder": run.restart_folder,
        "name": run.name,
        "listen": run.listen,
        "discovery": run.discovery,
        "admin": run.admin,
        "peer_listen": run.peer_listen,
        "peers": run.peers,
        "seed": run.seed,
        "known": run.known_endpoints,
        "sockets": run.descriptors,
        "memory_bytes": run.memory_bytes,
        "idle": run.idle_timeout_us,
        "connect_timeout": run.connect_timeout_us,
        "doubts": [line.replace("no request of", "no req of") for line in run.warnings()],
        "kinds": settings.kinds,
        "columns": sorted(settings.columns),
        "pauses": settings.poll_pauses,
        "hedging": settings.hedging_enabled,
        "streams": settings.streams_per_connection,
        "longest_wait": settings.longest_deadline(),
        "classes": {
            name: [
                REPEATS[m.idempotency],
                m.latency_objective,
                m.priority_weight,
                m.dedup_group.value,
                m.dedup_window,
                m.late_priority_weight,
            ]
            for name, m in settings.request_classes.items()
        },
        "tenants": {name: t.quota for name, t in settings.tenants.items()},
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


# --- What is asked ---

GOOD = {"listen": "127.0.0.1:6379", "discovery": "127.0.0.1:8500", "settings": {}}
CLASS = {
    "name": "m",
    "semantics": "token",
    "latency_budget": 5_000_000,
    "give_up": 9_000_000,
    "window": 7_000_000,
}


def top(**more):
    return GOOD | more


def tuned(**more):
    return GOOD | {"settings": more}


def classed(**more):
    return tuned(methods=[CLASS | more])


SOUND = [
    GOOD,
    *(top(**{key: value}) for key, value in [
        ("name", "p1"), ("listen", "::1:80"), ("admin_addr", "127.0.0.1:1"), ("peer_listen", "127.0.0.1:2"),
        ("peers", ["127.0.0.1:3", "127.0.0.2:65535"]), ("seed", "ff"), ("seed", 12), ("known", {"a": 1}),
        ("limits", {"sockets": 64}), ("limits", {"memory_mb": 1.5}), ("unheard_of", 1),
        ("settings", {"new": 1}),
    ]),
    *(classed(**{key: value}) for key, value in [
        ("semantics", "pure"), ("semantics", "side_effect"), ("latency_budget", None), ("give_up", None),
        ("criticality", 3), ("tardy_criticality", 0.5), ("group", "all"), ("group", "zone"),
        ("group", "cell"),
        ("window", None), ("window", 10_000_000_000), ("name", "other"),
    ]),
    *(tuned(**{key: value}) for key, value in [
        ("parties", [{"name": "t", "allowance_per_s": 5}, {"name": "u"}]), ("kinds", ["a", "b"]),
        ("zone", "z"), ("zones", ["z"]), ("blend", {"whole": 1, "miss_share": 0.5}),
        ("discovery", "push"), ("discovery", "ask"), ("excess_criticality", 0.2), ("n_instances", 40),
        ("slot_no", 3), ("granularity", 2_000_000), ("specifics", {"origin_kind": 1}),
        *(("weight_source", one) for one in ("none", "nominal", "rough", "live")),
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
    tuned(n_instances=40, slot_no=3, limits={"peers": True, "conn_idle": 10_000_000}),
    tuned(limits={"retry_after": True, "max_retry_after": 1_000_000}),
    tuned(discovery="ask", rules={"ask_within": 800_000_000}),
]  # fmt: skip

ENVIRON = {"LB_FD": "7", "TMPDIR": "some/folder", "LB_NAME": "p2", "LB_LISTEN": "127.0.0.2:7"}
ENVIRON |= {"LB_DISCOVERY": "127.0.0.3:1", "LB_ADMIN_ADDR": "127.0.0.1:9"}
STATED = tuned(methods=[CLASS], limits={"most_write_outs": 3}) | {"admin_addr": "127.0.0.1:1"}
# Each: the file's text or values (none: no file), more of the environment, the running configuration.
FAULTY = [
    (None, {}, None), ("", {}, None), ("{", {}, None), ("\udcff", {}, None), ("[]", {}, None),
    ("null", {}, None),
    (GOOD, {"LB_FD": "x"}, None), (GOOD, {"LB_FD": "12345678"}, None), (GOOD, {"LB_LISTEN": "no"}, None),
    *((top(**{key: value}), {}, None) for key, value in [
        *((key, bad) for key in ("listen", "discovery", "admin_addr", "peer_listen")
          for bad in ("nowhere", "127.0.0.1:0", "127.0.0.1:65536", "host:1", "127.0.0.1:", 5)),
        ("listen", None), ("discovery", None), ("peers", ["127.0.0.1:1", "x"]), ("peers", "x"),
        ("seed", "zz"),
        ("seed", 1.5), ("settings", None), ("settings", []), ("limits", {"sockets": 63}), ("limits", 1),
        ("limits", {"sockets": "many"}), ("limits", {"memory_mb": 0}), ("name", 1), ("known", []),
    ]),
    *((classed(**{key: value}), {}, None) for key, value in [
        ("semantics", None), ("semantics", "none"), ("name", ""), ("name", None), ("group", "row"),
        ("latency_budget", 0), ("give_up", 0), ("latency_budget", -1), ("give_up", 1.5), ("window", -1),
        ("criticality", -1), ("criticality", 1e13), ("tardy_criticality", "x"),
    ]),
    (tuned(methods=[CLASS, CLASS]), {}, None),
    (tuned(methods=[{"name": "m", "semantics": "pure"}]), {}, None),
    (tuned(methods=[{"semantics": "pure"}]), {}, None),
    *((tuned(**{key: value}), {}, None) for key, value in [
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
    ({key: value for key, value in STATED.items() if key != "admin_addr"}, {}, STATED),
    (STATED | {"settings": {}}, {}, STATED),
    (STATED | {"settings": STATED["settings"] | {"methods": []}}, {}, STATED),
    (STATED | {"settings": STATED["settings"] | {"limits": None}}, {}, STATED),
    (STATED | {"settings": STATED["settings"] | {"limits": {}}}, {}, STATED),
    (STATED | {"settings": STATED["settings"] | {"methods": [CLASS | {"window": None}]}}, {}, STATED),
    ("", {}, STATED),
]  # fmt: skip


def written(folder: Path, values) -> dict:
    """Writes the file; the environment that names it."""
    path = folder / FILE
    path.unlink(missing_ok=True)
    if values is not None:
        text = values if isinstance(values, str) else json.dumps(values)
        path.write_bytes(text.encode(errors="surrogateescape"))
    return {"LB_CONFIG": str(path)}


def sound(folder: Path, values, more) -> dict:
    run, fault = read(written(folder, values) | more)
    assert fault is None, fault
    return json.loads(json.dumps(effect(run)))


def faulty(folder: Path, values, more, running) -> str | None:
    before = read(written(folder, running))[0] if running is not None else None
    return (read(written(folder, values) | more, before)[1] or "").replace(str(folder / FILE), FILE) or None


def record():
    cases = [*((values, {}) for values in SOUND), *((GOOD, {key: value}) for key, value in ENVIRON.items())]
    with TemporaryDirectory() as name:
        folder = Path(name)
        good = [[values, more, sound(folder, values, more)] for values, more in cases]
        bad = [[*one, faulty(folder, *one), 2] for one in FAULTY]
    for one in bad:
        assert one[3], f"no fault: {one}"
    lines = [",\n".join(json.dumps(one) for one in table) for table in (good, bad)]
    DATA.write_text('{"sound": [\n' + lines[0] + '\n], "faulty": [\n' + lines[1] + "\n]}\n")


# --- The tests ---


def recorded(table: str) -> list:
    return json.loads(DATA.read_text())[table] if DATA.exists() else []


def test_each_key_comes_to_what_it_did(tmp_path):
    table = recorded("sound")
    assert len(table) >= 60
    for values, more, wanted in table:
        assert sound(tmp_path, values, more) == wanted, (values, more)


def test_each_effect_shows_more_than_one_value():
    """Guards the table against keys whose effect it does not show."""
    effects = [got for _, _, got in recorded("sound")]
    for name in effects[0]:
        assert len({json.dumps(got[name]) for got in effects}) > 1, name


def test_each_fault_is_told_as_it_was(tmp_path):
    table = recorded("faulty")
    assert len(table) >= 80
    for values, more, running, line, code in table:
        assert (faulty(tmp_path, values, more, running), code) == (line, 2), (values, more)
        assert "\n" not in line


def test_no_file_named_is_a_fault():
    assert read({}) == (None, "`LB_CONFIG`: not set; it names the configuration's file")


@pytest.mark.parametrize("place", [1, 9])
def test_a_fault_ends_the_program_with_its_line_and_code(tmp_path, place):
    values, more, _, line, code = recorded("faulty")[place]
    environ = {k: v for k, v in os.environ.items() if not k.startswith("LB_")}
    root = Path(__file__).parent.parent
    done = subprocess.run(
        [sys.executable, "-B", "-m", "ivystack"],
        env=environ | written(tmp_path, values) | more,
        cwd=root,
        capture_output=True,
        timeout=30,
    )
    assert (done.stderr.decode(), done.returncode) == (line + "\n", code)


if __name__ == "__main__":
    record()
