"""The simulator adapter: which actions it answers to which events, and what it does with malformed lines."""

import orjson
import pytest
from helpers import S

from ivystack.simulator.adapter import SimulatorAdapter
from ivystack.simulator.protocol import MalformedLineError

REQUEST_CLASS = {"name": "read", "semantics": "pure", "latency_budget": S * 1000, "give_up": 2 * S * 1000}


def send_messages(adapter, *messages):
    reply = None
    for message in messages:
        reply = adapter.handle_line(orjson.dumps(message))
    return [orjson.loads(line) for line in reply.splitlines()]


def start_proxy(adapter, server_state="active", **config):
    server = ["std", "n1", 1, 0, server_state, "z", None]
    return send_messages(
        adapter,
        ["TURN", 1000],
        ["UP", "proxy_0", 7, {"methods": [REQUEST_CLASS], "limits": None, "unheard_of": [1], **config}],
        ["REGISTER", 0, [server]],
        ["MEMBERS", "proxy_0", 0, "C", 1],
        ["END"],
    )


def test_a_request_is_sent_and_its_outcome_concludes_it():
    adapter = SimulatorAdapter()
    assert start_proxy(adapter) == [["FINISHED"]]
    reply = send_messages(
        adapter, ["TURN", 2000], ["ASK", "proxy_0", 9, "read", None, 5, 3 * S * 1000], ["END"]
    )
    assert reply == [["TRANSMIT", "proxy_0", 9, S * 1000 + 2000, "n1"], ["FINISHED"]]
    outcome = ["FINISHED", "proxy_0", 9, 0, "n1", "completed", 10, True, None, None]
    assert send_messages(adapter, ["TURN", 3000], outcome, ["END"]) == [["FINISHED"]]
    assert not adapter.instances["proxy_0"].requests


def test_a_malformed_line_raises_an_error_with_a_message_of_one_line():
    for lines in (
        [b"no"],
        [b"[]"],
        [b'["END"]'],
        [b'["TURN",1]', b'["TIMER","proxy_4",1]'],
        [b'["TURN",1]', b'["MEMBERS"]'],
        [b'["TURN","x"]'],
    ):
        adapter = SimulatorAdapter()
        with pytest.raises(MalformedLineError) as raised:
            for line in lines:
                adapter.handle_line(line)
        assert "\n" not in str(raised.value)


def test_a_client_disconnect_for_a_concluded_request_is_ignored():
    adapter = SimulatorAdapter()
    start_proxy(adapter, "leaving")
    assert send_messages(adapter, ["TURN", 2000], ["CANCELLED_BY_CLIENT", "proxy_0", 5], ["END"]) == [
        ["FINISHED"]
    ]


def test_a_balancer_failure_is_reported_for_that_instance_alone():
    adapter = SimulatorAdapter()
    start_proxy(adapter)
    adapter.instances["proxy_0"].balancer.route = None
    reply = send_messages(
        adapter, ["TURN", 2000], ["ASK", "proxy_0", 9, "read", None, 5, 3 * S * 1000], ["END"]
    )
    assert reply[0][:2] == ["GIVE_IN", "proxy_0"] and reply[-1] == ["FINISHED"]


def test_a_load_report_is_passed_to_the_balancer_and_one_of_another_type_is_malformed():
    settings = {"methods": [REQUEST_CLASS], "weight_source": "live"}
    settings["reporting"] = {"how": "answers", "columns": ["active"]}
    entries = [["std", name, weight, 0, "active", "z", None] for name, weight in (("n1", 1), ("n2", None))]
    for report, load in (({"active": 2, "cpu": 5}, 2), ({"active": -2}, 0), ({}, 0), (None, 0), ([1], None)):
        adapter = SimulatorAdapter()
        send_messages(
            adapter,
            ["TURN", 1000],
            ["UP", "proxy_0", 7, settings],
            ["REGISTER", 0, entries],
            ["MEMBERS", "proxy_0", 0, "C", 1],
            ["END"],
        )
        reply = send_messages(
            adapter, ["TURN", 2000], ["ASK", "proxy_0", 9, "read", None, 5, 3 * S * 1000], ["END"]
        )
        outcome = ["FINISHED", "proxy_0", 9, 0, reply[0][4], "completed", 10, True, None, report]
        if load is None:
            with pytest.raises(MalformedLineError):
                send_messages(adapter, ["TURN", 3000], outcome, ["END"])
        else:
            send_messages(adapter, ["TURN", 3000], outcome, ["END"])
            assert adapter.instances["proxy_0"].balancer.servers[reply[0][4]].load == load


def test_a_polling_proxy_polls_at_its_start_and_again_after_a_failure():
    # The rules count a drain as announced to every proxy after a fixed time, so a proxy without a watch must
    # poll again within that time.
    assert start_proxy(SimulatorAdapter(), discovery="push") == [["FINISHED"]]
    adapter = SimulatorAdapter()
    assert start_proxy(adapter, discovery="ask", rules={"ask_within": 10 * S * 1000})[0] == [
        "WATCH",
        "proxy_0",
        True,
    ]
    for failure_count in range(3):  # failed polls, or later a broken watch
        at = (failure_count + 1) * 10 * S * 1000
        timer, *rest = send_messages(adapter, ["TURN", at], ["MEMBERS", "proxy_0", 0, "X", 1], ["END"])
        assert timer[0] == "SET_TIMER" and rest == [["FINISHED"]]
        assert 0 < timer[2] < 8 * S * 1000  # before the drain counts as announced to this proxy
        due = at + timer[2] + 1000
        assert send_messages(adapter, ["TURN", due], ["TIMER", "proxy_0", 1], ["END"])[0] == [
            "WATCH",
            "proxy_0",
            True,
        ]
    update = ["MEMBERS", "proxy_0", 0, "D", 2]
    assert send_messages(adapter, ["TURN", 99 * S * 1000], update, ["END"]) == [["FINISHED"]]
    assert not adapter.instances["proxy_0"].poll_backoff.failures


def test_a_cache_hit_is_passed_to_the_balancer():
    for cache_info, expected in ((1, True), (2, False), (None, False)):
        adapter, recorded = SimulatorAdapter(), []
        start_proxy(adapter)
        send_messages(adapter, ["TURN", 2000], ["ASK", "proxy_0", 9, "read", None, 5, 3 * S * 1000], ["END"])
        balancer = adapter.instances["proxy_0"].balancer
        original = balancer.record_outcome
        balancer.record_outcome = lambda *values, original=original, recorded=recorded: (
            recorded.append(values[-1]) or original(*values)
        )
        outcome = ["FINISHED", "proxy_0", 9, 0, "n1", "completed", 10, True, cache_info, None]
        send_messages(adapter, ["TURN", 3000], outcome, ["END"])
        assert recorded == [expected]
