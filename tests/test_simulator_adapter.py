import orjson
import pytest
from helpers import S

from ivystack.simulator.adapter import SimulatorAdapter
from ivystack.simulator.protocol import BadLineError

METHOD = {"name": "read", "semantics": "pure", "latency_budget": S * 1000, "give_up": 2 * S * 1000}


def play(adapter, *messages):
    reply = None
    for message in messages:
        reply = adapter.handle_line(orjson.dumps(message))
    return [orjson.loads(line) for line in reply.splitlines()]


def up(adapter, mode="active", **config):
    node = ["std", "n1", 1, 0, mode, "z", None]
    return play(
        adapter,
        ["TURN", 1000],
        ["UP", "proxy_0", 7, {"methods": [METHOD], "limits": None, "unheard_of": [1], **config}],
        ["REGISTER", 0, [node]],
        ["MEMBERS", "proxy_0", 0, "C", 1],
        ["END"],
    )


def test_a_req_goes_out_and_its_answer_closes_it():
    adapter = SimulatorAdapter()
    assert up(adapter) == [["FINISHED"]]
    reply = play(adapter, ["TURN", 2000], ["ASK", "proxy_0", 9, "read", None, 5, 3 * S * 1000], ["END"])
    assert reply == [["TRANSMIT", "proxy_0", 9, S * 1000 + 2000, "n1"], ["FINISHED"]]
    done = ["FINISHED", "proxy_0", 9, 0, "n1", "completed", 10, True, None, None]
    assert play(adapter, ["TURN", 3000], done, ["END"]) == [["FINISHED"]]
    assert not adapter.instances["proxy_0"].requests


def test_unreadable_lines_are_told_in_one_line():
    for lines in (
        [b"no"],
        [b"[]"],
        [b'["END"]'],
        [b'["TURN",1]', b'["TIMER","proxy_4",1]'],
        [b'["TURN",1]', b'["MEMBERS"]'],
        [b'["TURN","x"]'],
    ):
        adapter = SimulatorAdapter()
        with pytest.raises(BadLineError) as fault:
            for line in lines:
                adapter.handle_line(line)
        assert "\n" not in str(fault.value)


def test_a_client_gone_that_we_ended_just_now_is_ignored():
    adapter = SimulatorAdapter()
    up(adapter, "leaving")
    assert play(adapter, ["TURN", 2000], ["CANCELLED_BY_CLIENT", "proxy_0", 5], ["END"]) == [["FINISHED"]]


def test_a_failure_of_the_decisions_gives_in_for_that_instance_alone():
    adapter = SimulatorAdapter()
    up(adapter)
    adapter.instances["proxy_0"].balancer.route = None
    reply = play(adapter, ["TURN", 2000], ["ASK", "proxy_0", 9, "read", None, 5, 3 * S * 1000], ["END"])
    assert reply[0][:2] == ["GIVE_IN", "proxy_0"] and reply[-1] == ["FINISHED"]


def test_a_load_report_goes_to_the_decisions_and_one_that_is_none_is_malformed():
    settings = {"methods": [METHOD], "weight_source": "live"}
    settings["reporting"] = {"how": "answers", "columns": ["active"]}
    entries = [["std", name, weight, 0, "active", "z", None] for name, weight in (("n1", 1), ("n2", None))]
    for report, load in (({"active": 2, "cpu": 5}, 2), ({"active": -2}, 0), ({}, 0), (None, 0), ([1], None)):
        adapter = SimulatorAdapter()
        play(
            adapter,
            ["TURN", 1000],
            ["UP", "proxy_0", 7, settings],
            ["REGISTER", 0, entries],
            ["MEMBERS", "proxy_0", 0, "C", 1],
            ["END"],
        )
        reply = play(adapter, ["TURN", 2000], ["ASK", "proxy_0", 9, "read", None, 5, 3 * S * 1000], ["END"])
        done = ["FINISHED", "proxy_0", 9, 0, reply[0][4], "completed", 10, True, None, report]
        if load is None:
            with pytest.raises(BadLineError):
                play(adapter, ["TURN", 3000], done, ["END"])
        else:
            play(adapter, ["TURN", 3000], done, ["END"])
            assert adapter.instances["proxy_0"].balancer.servers[reply[0][4]].load == load


def test_where_the_list_is_asked_for_a_proxy_calls_at_its_start_and_again_after_a_failure():
    # Guards the drain rule: a proxy without a watch is deemed told of drains that it never heard of.
    assert up(SimulatorAdapter(), discovery="push") == [["FINISHED"]]
    adapter = SimulatorAdapter()
    assert up(adapter, discovery="ask", rules={"ask_within": 10 * S * 1000})[0] == ["WATCH", "proxy_0", True]
    for failed in range(3):  # calls that fail, or later a watch that breaks
        at = (failed + 1) * 10 * S * 1000
        timer, *rest = play(adapter, ["TURN", at], ["MEMBERS", "proxy_0", 0, "X", 1], ["END"])
        assert timer[0] == "SET_TIMER" and rest == [["FINISHED"]]
        assert 0 < timer[2] < 8 * S * 1000  # within the time after which it would be deemed told
        due = at + timer[2] + 1000
        assert play(adapter, ["TURN", due], ["TIMER", "proxy_0", 1], ["END"])[0] == ["WATCH", "proxy_0", True]
    news = ["MEMBERS", "proxy_0", 0, "D", 2]
    assert play(adapter, ["TURN", 99 * S * 1000], news, ["END"]) == [["FINISHED"]]
    assert not adapter.instances["proxy_0"].poll_backoff.failures


def test_a_hit_is_told_to_the_decisions():
    for info, hit in ((1, True), (2, False), (None, False)):
        adapter, seen = SimulatorAdapter(), []
        up(adapter)
        play(adapter, ["TURN", 2000], ["ASK", "proxy_0", 9, "read", None, 5, 3 * S * 1000], ["END"])
        balancer = adapter.instances["proxy_0"].balancer
        after = balancer.record_outcome
        balancer.record_outcome = lambda *values, after=after, seen=seen: seen.append(values[-1]) or after(
            *values
        )
        done = ["FINISHED", "proxy_0", 9, 0, "n1", "completed", 10, True, info, None]
        play(adapter, ["TURN", 3000], done, ["END"])
        assert seen == [hit]
