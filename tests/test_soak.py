"""The soak: when a proxy counts as notified, and a short run of scenarios that broke the rule on drains."""

import subprocess
import sys

import pytest

from ivystack.rig.processes import Process
from ivystack.rig.record import FaultRecord, Record
from ivystack.rig.scenario import parse_scenario
from ivystack.rig.soak import soak_scenario
from ivystack.rig.stale_sends import check_stale_sends
from ivystack.rig import scenario
from ivystack.standin.ledger import DRAINING, SERVING, ListChange, ReceivedCommand, StateUpdate

S = 1_000_000
GRACE, TOLERANCE = S, 50_000
# Broke the rule on the text before the fixes of the incidents, the latter with a discovery that answers late.
SOAK_SEEDS, LATE_SOAK_SEEDS = (7, 13, 18), (401, 404)
LATE_MS = "600"


def late(tmp_path, sent_at, faults=(), silenced=(), starts=(0,), updates=()):
    """Return whether an attempt at n0, which drains from 10 s on, is a breach."""
    process = Process("p0", tmp_path, None, lambda: 0)
    process.events = [(at, "start") for at in starts]
    record = Record(parse_scenario({"version": 1}, "x"), end=100 * S, processes=[process])
    record.faults = [FaultRecord(start, end, who, what) for start, end, who, what in faults]
    record.ledger.silenced_watches = [(at, "p0") for at in silenced]
    record.ledger.list_changes = [ListChange(0, "n0", SERVING), ListChange(10 * S, "n0", DRAINING)]
    record.ledger.state_updates = [StateUpdate(at, "p0", "n0", DRAINING) for at in updates]
    record.ledger.commands = [ReceivedCommand(int(sent_at * S), "n0", "p0", b"a", "read", False, False)]
    return bool(check_stale_sends(record, GRACE, TOLERANCE))


OUTAGE = (9 * S, 12 * S, "discovery", "list-silent")
LATER_OUTAGE = (11 * S, 14 * S, "discovery", "list-refuses")
RELOAD = (9 * S, 9 * S, "p0", "reload")


@pytest.mark.parametrize("fields, latest", [
    ({}, 11.05),
    ({"starts": (0, 11 * S)}, 11.05),  # from the first moment of a new process
    ({"faults": [OUTAGE]}, 13.05),
    ({"faults": [LATER_OUTAGE], "updates": [10 * S]}, 11.05),  # it had been written before
    ({"faults": [LATER_OUTAGE], "updates": [10 * S], "starts": (0, 12 * S)}, 15.05),  # not to this process
    ({"faults": [RELOAD]}, 14.05),
    ({"silenced": [8 * S]}, 15.05),
    ({"silenced": [1 * S]}, 11.05),
    ({"silenced": [8 * S], "starts": (0, 9 * S)}, 11.05),  # the watch of a process before
])  # fmt: skip
def test_an_attempt_is_late_from_the_grace_after_its_proxy_counts_as_notified(tmp_path, fields, latest):
    after_start = max(latest, 12.2) if fields.get("starts", (0,))[-1] > 10 * S else latest
    assert not late(tmp_path, latest, **fields)
    assert late(tmp_path, after_start + 0.01, **fields)


def test_a_soak_depends_on_its_seed_alone_and_survives_its_file(tmp_path):
    for seed in range(20):
        drawn = soak_scenario(seed)
        assert drawn == soak_scenario(seed)
        (tmp_path / "x.toml").write_text(scenario.to_toml(drawn))
        assert scenario.load_scenario(str(tmp_path / "x.toml")) == drawn
    assert any(fault.kind == "crowd" for seed in range(20) for fault in soak_scenario(seed).fault)


@pytest.mark.parametrize("seeds, options", [(SOAK_SEEDS, []), (LATE_SOAK_SEEDS, ["--late", LATE_MS])])
def test_no_work_goes_to_draining_servers_while_proxies_start_late_and_stand_still(seeds, options):
    command = [sys.executable, "-B", "-m", "ivystack", "rig", "soak", "--quiet", *options, "--seed"]
    plays = [
        subprocess.Popen([*command, str(seed)], stdout=subprocess.PIPE, stderr=subprocess.STDOUT, text=True)
        for seed in seeds
    ]
    outputs = [play.communicate(timeout=120)[0] for play in plays]
    assert [play.returncode for play in plays] == [0] * len(seeds), "\n".join(outputs)
