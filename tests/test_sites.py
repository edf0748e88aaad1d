"""The program with the configuration of each deployment, at a start and after a reload from another one."""

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

SITES_DIRECTORY = Path(__file__).parent.parent / "deploy" / "sites"
SITES = {path.stem: tomllib.loads(path.read_text()) for path in SITES_DIRECTORY.glob("*.toml")}
SEMANTICS_OF_EFFECT = {"safe": "pure", "keyed": "token", "unsafe": "side_effect"}
MS = 1_000_000


def settings_of(site):
    """Return the settings of a proxy at a site, as far as the site's file determines them."""
    allow, conn, clients, rules = site["allow"], site["tier"][0]["conn"], site["clients"], site["rules"]
    return {
        "methods": [{
            "name": entry["name"], "semantics": SEMANTICS_OF_EFFECT[entry["effect"]],
            "latency_budget": entry["aim_ms"] * MS,
            "give_up": entry["deadline_ms"] * MS, "criticality": float(entry["worth"]),
            "tardy_criticality": float(entry["late_worth"]), "group": entry.get("group", "all"),
            "window": entry.get("window_ms", 5000) * MS,
        } for entry in site["class"]],
        "parties": [{"name": entry["name"], "allowance_per_s": 100.0} for entry in site.get("tenant", [])],
        "kinds": [entry["name"] for entry in site["tier"][0]["kind"]],
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


def send_request(wire, request_id, site, request_class):
    """Send a request of the class and return the answer."""
    fields = f"c={request_class['name']},d={request_class['deadline_ms']}"
    fields += f",t={site['tenant'][0]['name']}" if "tenant" in site else ""
    parts = [b"OBJ.SET" if request_class.get("write") else b"OBJ.GET", b"7f", request_id]
    value = [b"v"] if request_class.get("write") else []
    all_fields = fields + (f",k={request_id.decode()}" if request_class["effect"] == "keyed" else "")
    wire.send(encode_command(*parts, all_fields.encode(), *value))
    return wire.receive()


@pytest.fixture
def start_program(tmp_path):
    servers = [Node() for _ in range(3)]
    discovery, port, path, processes = Discovery(*servers), free_port(), tmp_path / "config.json", []

    def write_config(name):
        path.write_text(json.dumps({
            "listen": f"127.0.0.1:{port}", "discovery": discovery.address, "known": discovery.known,
            "settings": settings_of(SITES[name]), "name": "p",
        }))  # fmt: skip

    def start(name):
        write_config(name)
        processes.append(subprocess.Popen(
            [sys.executable, "-B", "-m", "ivystack"], env=os.environ | {"LB_CONFIG": str(path)},
            stderr=subprocess.PIPE,
        ))  # fmt: skip
        return processes[0], SocketConnection(connected(port)), write_config

    yield start
    for process in processes:
        process.kill()
        process.communicate()


@pytest.mark.parametrize("name", SITES)
def test_each_class_of_each_deployment_is_served_and_no_class_of_another(start_program, name):
    _, wire, _ = start_program(name)
    for index, request_class in enumerate(SITES[name]["class"]):
        for attempt in range(4):
            assert isinstance(
                send_request(wire, b"%d.%d" % (index, attempt), SITES[name], request_class), bytes
            ), request_class["name"]
    for other in SITES:
        for request_class in SITES[other]["class"] if other != name else ():
            assert send_request(wire, b"x", SITES[other], request_class).startswith("-ERR a class")


@pytest.mark.parametrize("name", SITES)
def test_after_a_reload_no_class_of_the_previous_deployment_is_served(start_program, name):
    # The previous settings may be another customer's.
    other = next(site for site in SITES if site != name)
    process, wire, write_config = start_program(name)
    assert isinstance(send_request(wire, b"0", SITES[name], SITES[name]["class"][0]), bytes)
    write_config(other)
    process.send_signal(signal.SIGHUP)
    line = b""
    while (
        b"configuration applied" not in line and b"configuration rejected" not in line
    ):  # warnings may come before
        line = process.stderr.readline()
    if (
        b"configuration rejected" in line
    ):  # tenants or limits that the running one states and the new one lacks
        assert b"missing; the running configuration has it" in line
        assert isinstance(send_request(wire, b"1", SITES[name], SITES[name]["class"][0]), bytes)
        return
    assert send_request(wire, b"1", SITES[name], SITES[name]["class"][0]).startswith("-ERR a class")
    for index, request_class in enumerate(SITES[other]["class"]):
        assert isinstance(send_request(wire, b"o%d" % index, SITES[other], request_class), bytes), (
            request_class["name"]
        )
