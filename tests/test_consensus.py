"""Tests of consensus: simulated schedules, mutations, the core, requests to a replica, real processes."""

import os
import subprocess
import sys
from concurrent.futures import ProcessPoolExecutor
from random import Random

import pytest
from test_rig import PACKAGE, run_ivystack

from ivystack.consensus import core as core_module
from ivystack.consensus.environment import Environment, Timing
from ivystack.consensus.messages import (
    AppendEntries,
    AppendEntriesReply,
    Configuration,
    DataLossDetected,
    Entry,
    EntryKind,
    InstallSnapshot,
    RequestVote,
    Snapshot,
    VoteReply,
    encode,
)
from ivystack.consensus.mutations import MUTATIONS, SCRIPTED_MUTATIONS, mutated_core
from ivystack.consensus.records import Role
from ivystack.consensus.replica import MAX_COMMAND_BYTES, MAX_PENDING_PER_PROXY, Replica
from ivystack.consensus.simulation import first_failing_seed, run_schedule
from ivystack.consensus.state_machine import StateMachine
from ivystack.consensus.wire import Reply

MS = 1000
VOTERS = ("a/1", "b/1", "c/1")
GROUP = Configuration(VOTERS)


def test_three_hundred_schedules_with_all_kinds_of_faults_violate_no_property():
    with ProcessPoolExecutor() as pool:
        assert [failure for failure in pool.map(run_schedule, range(300), chunksize=10) if failure] == []


def test_every_mutation_is_detected():
    assert len(MUTATIONS) >= 12
    with ProcessPoolExecutor() as pool:
        first_seeds = pool.map(first_failing_seed, MUTATIONS.values(), [range(400)] * len(MUTATIONS))
        seeds = dict(zip(MUTATIONS, first_seeds, strict=True))
    assert [name for name, seed in seeds.items() if seed is None] == []


def test_schedules_can_be_run_from_the_command_line():
    code, output, _ = run_ivystack("rig", "schedules", "--seed", "5", "--count", "16")
    assert code == 0 and output.startswith("HOLDS 16 schedules")
    assert run_ivystack("rig", "schedules", "--count", "0")[0] == 2


# --- Scripted schedules ---


def new_core(
    module=core_module, replica_id="b/1", entries=(), config=GROUP, index=1, term=1, now=10_000 * MS
):
    return module.Core(
        replica_id,
        now,
        Random(1),
        50 * MS,
        200 * MS,
        term=term,
        voted_for="",
        snapshot=Snapshot(index, term, config),
        entries=list(entries),
    )


def messages_once_written(core, now=10_000 * MS):
    """Write all batches and return the messages that the core then releases."""
    messages = []
    while True:
        ready = core.take_ready(now)
        messages += ready.messages
        if ready.batch is None:
            return messages
        core.handle_written(ready.batch.number, now)


def vote_is_saved(module):
    core = new_core(module)
    # A candidate with a shorter log gets no vote, but its term is adopted.
    core.receive(10_000 * MS, "a/1", RequestVote(2, 0, 0))
    assert not [m for _, m in messages_once_written(core) if m.granted]
    core.receive(10_000 * MS, "c/1", RequestVote(2, 1, 1))
    ready = core.take_ready(10_000 * MS)
    assert ready.batch is not None and ready.batch.voted_for == "c/1" and not ready.messages
    core.handle_written(ready.batch.number, 10_000 * MS)
    assert core.take_ready(10_000 * MS).messages[0][1].granted


def configuration_is_truncated_with_its_entry(module):
    core = new_core(module)
    new = Entry(1, EntryKind.CONFIGURATION, encode(Configuration((*VOTERS, "d/1"))))
    core.receive(10_000 * MS, "a/1", AppendEntries(1, 1, 1, (new,), 1, 1))
    assert len(core.configuration.voters) == 4
    core.receive(10_000 * MS, "c/1", AppendEntries(2, 1, 1, (Entry(2, "n"),), 1, 1))
    assert core.configuration.voters == VOTERS


def stale_snapshot_changes_nothing(module):
    entries = [Entry(1, EntryKind.DATA, b"%d" % n) for n in range(9)]
    core = new_core(module, entries=entries)
    core.receive(10_000 * MS, "a/1", AppendEntries(1, 10, 1, (), 10, 1))
    messages_once_written(core)
    core.receive(10_000 * MS, "a/1", InstallSnapshot(1, Snapshot(5, 1, Configuration(VOTERS), b"old"), 2))
    assert core.take_ready(10_000 * MS).restore is None
    assert core.commit_index == core.applied_index == core.log.last_index == 10


def snapshot_replaces_a_conflicting_log(module):
    core = new_core(module, entries=[Entry(1, EntryKind.DATA, b"%d" % n) for n in range(9)])
    core.receive(10_000 * MS, "c/1", InstallSnapshot(3, Snapshot(5, 2, Configuration(VOTERS), b"new"), 1))
    assert core.log.last_index == 5 and core.log.term_at(5) == 2


def term_before_the_log_is_kept(module):
    core = new_core(module, entries=[Entry(1, EntryKind.DATA, b"%d" % n) for n in range(300)])
    core.receive(10_000 * MS, "a/1", AppendEntries(2, 301, 1, (), 301, 1))
    messages_once_written(core)
    core.compact(301, b"state")
    assert core.log.base_index == 301 - core_module.RETAINED_ENTRIES
    assert core.log.term_at(core.log.base_index) == 1


SCRIPTS = {
    "does not save a vote": vote_is_saved,
    "keeps the configuration of truncated entries": configuration_is_truncated_with_its_entry,
    "installs a snapshot that is older than its state": stale_snapshot_changes_nothing,
    "keeps a log that conflicts with a snapshot": snapshot_replaces_a_conflicting_log,
    "compacts to a wrong term": term_before_the_log_is_kept,
}


@pytest.mark.parametrize("name", SCRIPTED_MUTATIONS)
def test_a_scripted_schedule_passes_and_detects_its_mutation(name):
    SCRIPTS[name](core_module)
    with pytest.raises(AssertionError):
        SCRIPTS[name](mutated_core(SCRIPTED_MUTATIONS[name]))


def new_leader():
    """Return the core of a leader of three replicas whose followers have the complete log."""
    core = new_core(replica_id="a/1")
    core.campaign(10_000 * MS, pre_vote=False)
    messages_once_written(core)
    core.receive(10_000 * MS, "b/1", VoteReply(2, True))
    messages_once_written(core)
    assert core.role == Role.LEADER
    for follower in ("b/1", "c/1"):
        core.receive(10_000 * MS, follower, AppendEntriesReply(2, True, 2, core.round, 2))
    messages_once_written(core)
    assert core.commit_index == 2
    return core


def test_a_follower_that_lost_acknowledged_entries_withdraws_and_no_longer_votes():
    core = new_leader()
    core.tick(10_060 * MS)
    # The follower had acknowledged entry 2.
    core.receive(10_060 * MS, "b/1", AppendEntriesReply(2, False, 0, core.round, 1))
    assert ("b/1", DataLossDetected(2)) in messages_once_written(
        core, 10_060 * MS
    ) and "b/1" not in core.progress
    follower = new_core(replica_id="b/1", term=2)
    follower.receive(10_000 * MS, "a/1", AppendEntries(2, 1, 1, (), 1, 1))
    follower.receive(10_000 * MS, "a/1", DataLossDetected(2))
    follower.receive(10_000 * MS, "c/1", RequestVote(9, 9, 9))
    assert follower.take_ready(10_000 * MS).withdrawn and follower.term == 2


def test_leadership_is_transferred_at_once_and_the_leader_accepts_no_entry_meanwhile():
    core = new_leader()
    assert core.transfer_leadership(10_060 * MS) and core.propose(b"x") is None
    target, timeout_now = messages_once_written(core)[-1]
    other = new_core(replica_id=target, term=2, entries=[Entry(2, "n")])
    # A recent message of the leader does not prevent the candidacy.
    other.receive(10_100 * MS, "a/1", AppendEntries(2, 2, 2, (), 2, 1))
    other.receive(10_100 * MS, "a/1", timeout_now)
    requests = [m for _, m in messages_once_written(other) if isinstance(m, RequestVote)]
    assert requests and all(m.leadership_transfer and not m.pre_vote for m in requests)
    core.receive(10_100 * MS, target, requests[0])
    assert core.role == Role.FOLLOWER and core.voted_for == target


def test_a_partitioned_replica_does_not_disrupt_the_leader():
    core = new_leader()
    core.receive(10_050 * MS, "c/1", RequestVote(99, 9, 9, True))
    core.receive(10_050 * MS, "c/1", RequestVote(99, 9, 9))
    assert core.role == Role.LEADER and core.term == 2


# --- Requests to a replica ---


class FakeMesh:
    """A mesh with the link of one requester; records replies and drop codes."""

    incarnation = "0" * 16

    def __init__(self):
        self.handlers, self.drop_codes, self.replies = {}, [], []
        self.current_link = type("Link", (), {"incarnation": "f" * 16})

    def count_drop(self, code, peer):
        self.drop_codes.append(code)

    def reply(self, link, kind, body):
        self.replies.append(body)

    def send(self, *_):
        return True


def test_a_leader_rejects_commands_that_are_too_large_unknown_or_of_another_client():
    # An entry that exceeds the message limit reaches no follower, nor does a heartbeat that carries it.
    # If a proxy could use up the sessions of other clients, a retried command would be executed twice.
    mesh = FakeMesh()
    env = Environment(None, None, lambda: 10_060 * MS, Random(1), mesh)
    replica = Replica(env, "a", ["a"], None, StateMachine(), Timing(MS, MS))
    replica.core, replica.process_ready = new_leader(), lambda: None
    client, last = f"z/{'f' * 16}", replica.core.log.last_index
    for number, fields in enumerate((
        [client, 1, "table", "set", ["k", bytes(MAX_COMMAND_BYTES), None]],
        [client, 1, "table", "unheard", []],
        [client, 1, "none", "set", []], ["z/1", 1, "table", "set", ["k", b"", None]],
        ["y/" + "f" * 16, 1, "table", "set", ["k", b"", None]], [client, "1", "table", "set", []],
    )):  # fmt: skip
        replica.receive_request("z", (number, "do", fields))
        assert mesh.replies[-1] == Reply(number, True, None) and replica.core.log.last_index == last
    assert mesh.drop_codes == ["not-allowed"] * 6
    replica.receive_request("z", (9, "do", [client, 1, "table", "set", ["k", bytes(16_000), None]]))
    assert replica.core.log.last_index == last + 1 and len(mesh.replies) == 6
    for number in range(2 * MAX_PENDING_PER_PROXY):
        replica.receive_request("z", (number, "look", ["table", "get", ["k"]]))
    assert len(replica.pending.queries) == MAX_PENDING_PER_PROXY - 1 and mesh.replies[-1].accepted is False


# --- Real processes ---


def start_scenario(name, *arguments):
    return subprocess.Popen(
        [sys.executable, "-B", "-m", "ivystack", "rig", "play", name, "--quiet", *arguments],
        stdout=subprocess.PIPE, stderr=subprocess.STDOUT, text=True,
        env=os.environ | {"PYTHONPATH": str(PACKAGE.parent)},
    )  # fmt: skip


def test_real_groups_survive_killed_leaders_lost_disks_and_membership_changes():
    scenarios = [
        ("leader-killed", "--seconds", "10"),
        ("majority-lost",),
        ("disk-lost",),
        ("members-changed",),
    ]
    outputs = {scenario[0]: process.communicate(timeout=120)[0] for scenario, process in
               [(scenario, start_scenario(*scenario)) for scenario in scenarios]}  # fmt: skip
    assert [text for text in outputs.values() if not text.startswith("HOLDS")] == []
