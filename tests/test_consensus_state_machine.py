"""Tests of the replicated state machine, and of the check whether table histories are linearizable."""

from math import inf

import pytest

from ivystack.consensus.errors import UnknownEntryError
from ivystack.consensus.messages import encode
from ivystack.consensus.state_machine import ANSWERS_PER_SESSION, MAX_SESSIONS, KeyValueTable, StateMachine
from ivystack.rig.check import check_table_history
from ivystack.rig.linear import Operation


def test_a_retried_command_is_executed_once_also_after_a_snapshot():
    machine = StateMachine()

    def execute(client, number, *args):
        return machine.apply(encode([client, number, "table", "set", list(args)]))

    assert execute("x", 1, "a", b"1", None) == [True, 1] == execute("x", 1, "a", b"1", None)
    restored = StateMachine()
    restored.load(machine.dump())
    machine = restored
    assert execute("x", 1, "a", b"1", None) == [True, 1] and machine.query("table", "get", ["a"]) == [b"1", 1]
    for number in range(2, 2 + ANSWERS_PER_SESSION):
        execute("x", number, "a", b"%d" % number, None)
    version = machine.query("table", "get", ["a"])[1]
    assert execute("x", 1, "a", b"late", None) is None and machine.query("table", "get", ["a"])[1] == version
    for number in range(2 * MAX_SESSIONS):
        execute(f"c{number}", 1, "b", b"1", 0)
    assert len(machine.answers) == MAX_SESSIONS and len(machine.dump()) < 200_000


def test_the_table_is_bounded_and_the_state_machine_rejects_unknown_entries():
    table = KeyValueTable()
    assert table.execute("set", ["k", bytes(KeyValueTable.MAX_VALUE_BYTES + 1), None]) == [False, 0]
    assert sum(table.execute("set", [f"k{n}", bytes(1000), None])[0] for n in range(1000)) <= 66
    assert table.execute("set", ["k0", b"", None]) == [True, 0] and table.query("get", ["k0"]) == [b"", 0]
    machine = StateMachine()
    for fields in (["x", 1, "nothing", "set", []], ["x", 1, "table", "unheard", []], 5):
        with pytest.raises(UnknownEntryError):
            machine.apply(encode(fields))
    for args in ([1, 2], [], [{}]):
        assert machine.apply(encode([f"x{args}", 1, "table", "set", args])) is None
    assert machine.accepts(["x/1", 1, "table", "set", []])
    for fields in ([], ["x", 1, "table", "set"], ["x", 1, None, "set", []], ["x", 1, "table", "none", []],
                   ["x", "1", "table", "set", []], [5, 1, "table", "set", []], ["x", 1, "table", {}, []],
                   ["x", 1, [], "set", []]):  # fmt: skip
        assert not machine.accepts(fields)


def test_a_history_without_a_linearization_is_detected_after_many_valid_operations():
    valid, at, version = [], 0, 0
    for number in range(200):
        version += 1
        valid.append(("k", Operation(at, at + 5, ("set", b"%d" % number, None), [True, version])))
        valid.append(("k", Operation(at + 6, at + 7, ("get",), [b"%d" % number, version])))
        at += 10
    assert check_table_history(valid) == []
    stale = ("k", Operation(at, at + 1, ("get",), [b"198", 199]))
    unanswered = ("k", Operation(at, inf, ("set", b"x", None)))
    assert [breach.rule for breach in check_table_history([*valid, stale])] == ["linearizable"]
    assert check_table_history([*valid, unanswered]) == []
    conflicting = [("k", Operation(at, at + 2, ("set", value, 200), [True, 201])) for value in (b"y", b"z")]
    assert [breach.rule for breach in check_table_history([*valid, *conflicting])] == ["linearizable"]
