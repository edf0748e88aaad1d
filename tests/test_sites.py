"""The program with a configuration of each of our deployments' shapes, alone and amid the other's."""

import json
import os
import signal
import subprocess
import sys
import tomllib
from pathlib import Path

import pytest
from ivystack.standin.apart import Discovery, Node
from moments import SocketConnection, encode_command
from test_main import connected, free_port

PLACE = Path(__file__).parent.parent / "deploy" / "sites"
SITES = {path.stem: tomllib.loads(path.read_text()) for path in PLACE.glob("*.toml")}
EFFECTS = {"safe": "pure", "keyed": "token", "unsafe": "side_effect"}
MS = 1_000_000


def settings(site):
    """What the first message of the wire gives, as far as the site says it."""
    allow, conn, clients, rules = site["allow"], site["tier"][0]["conn"], site["clients"], site["rules"]
    return {
        "methods": [{
            "name": one["name"], "semantics": EFFECTS[one["effect"]], "latency_budget": one["aim_ms"] * MS,
            "give_up": one["deadline_ms"] * MS, "criticality": float(one["worth"]),
            "tardy_criticality": float(one["late_worth"]), "group": one.get("group", "all"),
            "window": one.get("window_ms", 5000) * MS,
        } for one in site["class"]],
        "parties": [{"name": one["name"], "allowance_per_s": 100.0} for one in site.get("tenant", [])],
        "kinds": [one["name"] for one in site["tier"][0]["kind"]],
        "limits": {
            "conn_idle": conn["idle_s"] * 1000 * MS, "connect_timeout": conn["connect_timeout_ms"] * MS,
            "streams_per_conn": conn["streams"], "most_write_outs": allow["max_attempts"],
            "may_duplicate": allow["second_copies"], "retry_after": allow["retry_after"],
            "max_retry_after": clients["max_retry_after_ms"] * MS, "peers": allow["peers"],
        },
        "rules": {
            "stop_sending_within": rules["drain_grace_ms"] * MS, "overload_factor": rules["fall_multiple"],
        },
        "discovery": site["discovery"]["mode"], "weight_source": site["tier"][0]["weights"],
        "zones": site["net"]["zones"], "n_instances": 1, "slot_no": 0,
    }  # fmt: skip


def ask(wire, ident, site, one):
    """A req of that class; its answer."""
    fields = f"c={one['name']},d={one['deadline_ms']}"
    fields += f",t={site['tenant'][0]['name']}" if "tenant" in site else ""
    parts = [b"OBJ.SET" if one.get("write") else b"OBJ.GET", b"7f", ident]
    value = [b"v"] if one.get("write") else []
    marked = fields + (f",k={ident.decode()}" if one["effect"] == "keyed" else "")
    wire.send(encode_command(*parts, marked.encode(), *value))
    return wire.receive()


@pytest.fixture
def started(tmp_path):
    nodes = [Node() for _ in range(3)]
    discovery, port, path, running = Discovery(*nodes), free_port(), tmp_path / "config.json", []

    def config(name):
        path.write_text(json.dumps({
            "listen": f"127.0.0.1:{port}", "discovery": discovery.address, "known": discovery.known,
            "settings": settings(SITES[name]), "name": "p",
        }))  # fmt: skip

    def start(name):
        config(name)
        running.append(subprocess.Popen(
            [sys.executable, "-B", "-m", "ivystack"], env=os.environ | {"LB_CONFIG": str(path)},
            stderr=subprocess.PIPE,
        ))  # fmt: skip
        return running[0], SocketConnection(connected(port)), config

    yield start
    for process in running:
        process.kill()
        process.communicate()


@pytest.mark.parametrize("name", SITES)
def test_each_class_of_each_deployment_is_served_and_no_class_of_another(started, name):
    _, wire, _ = started(name)
    for number, one in enumerate(SITES[name]["class"]):
        for turn in range(4):
            assert isinstance(ask(wire, b"%d.%d" % (number, turn), SITES[name], one), bytes), one["name"]
    for other in SITES:
        for one in SITES[other]["class"] if other != name else ():
            assert ask(wire, b"x", SITES[other], one).startswith("-ERR a class")


@pytest.mark.parametrize("name", SITES)
def test_at_sighup_one_deployments_classes_are_the_others_no_more(started, name):
    # Another customer's settings: from one answer to the next none of the former classes is known.
    other = next(one for one in SITES if one != name)
    process, wire, config = started(name)
    assert isinstance(ask(wire, b"0", SITES[name], SITES[name]["class"][0]), bytes)
    config(other)
    process.send_signal(signal.SIGHUP)
    line = b""
    while b"configuration applied" not in line and b"configuration rejected" not in line:  # after warnings
        line = process.stderr.readline()
    if b"configuration rejected" in line:  # it lacks tenants or limits that the running one states
        assert b"missing; the running configuration has it" in line
        assert isinstance(ask(wire, b"1", SITES[name], SITES[name]["class"][0]), bytes)
        return
    assert ask(wire, b"1", SITES[name], SITES[name]["class"][0]).startswith("-ERR a class")
    for number, one in enumerate(SITES[other]["class"]):
        assert isinstance(ask(wire, b"o%d" % number, SITES[other], one), bytes), one["name"]
