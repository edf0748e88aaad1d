"""Whole fleets of the decisions before shared nodes: no class is shut out, whatever is strained."""

from random import Random

import pytest
from helpers import (
    S,
    connect_client,
    encode_get,
    make_balancer,
    make_request,
    make_servers,
    make_proxy,
    make_process_configuration,
)

from ivystack.balancing.connection_budget import ConnectionBudget
from ivystack.balancing.load_shedding import LoadShedder
from ivystack.balancing.slow_start import SlowStart
from ivystack.balancing.tenant_quotas import TenantQuotas
from ivystack.model import Outcome, Request, Send, Tenant
from ivystack.rig.swarm import FAULTS, MIX, Load, Swarm, World, work
from ivystack.configuration.instance import InstanceConfiguration
from ivystack.configuration.errors import ConfigurationError


def played(loads, load=1.0, nodes=16, proxies=40, seconds=5, fault=None, **more):
    """A fleet asked for so much of what its cores can do; with a `fault` to set up."""
    world = World(nodes=nodes, proxies=proxies, reqs_per_s=nodes * 3 / work(loads) * load, **more)
    swarm = Swarm(Random(5), loads, world)
    if fault:
        swarm.at(swarm.now + S, FAULTS[fault], swarm)
    swarm.play(seconds * S)
    return swarm


def least_of_all(swarm):
    """What the least served class gets of what all get, without the first second and the last."""
    served = swarm.served(1, (swarm.now - swarm.begun) // S - 1)
    every = sum(one.part * served[one.name] for one in swarm.loads) / sum(one.part for one in swarm.loads)
    return min(served.values()) / every


@pytest.mark.parametrize("nodes, proxies, seconds", [(16, 40, 5), (50, 230, 4)])
def test_no_class_is_shut_out_by_rank_when_more_is_asked_than_the_fleet_can_do(nodes, proxies, seconds):
    swarm = played(MIX, 1.3, nodes, proxies, seconds)
    assert least_of_all(swarm) > 0.6  # by rank alone 0.50 and 0.54
    served = swarm.served(1)
    assert served["sign"] > served["view"] > served["check"]  # rank shapes what is above the floor


@pytest.mark.parametrize("worth", [3, 100])
def test_two_classes_of_like_or_very_unlike_worth(worth):
    loads = [Load("low", 0.5, 60_000, 1, 750_000), Load("high", 0.5, 60_000, worth, 750_000)]
    swarm = played(loads, 1.3)
    assert least_of_all(swarm) > 0.72  # by rank alone 0.71 and 0.64
    assert swarm.served(1)["high"] > swarm.served(1)["low"]


def test_one_class_alone_and_one_of_two_reqs_in_a_hundred():
    alone = played([Load("only", 1.0, 60_000, 0, 750_000)], 1.3)
    assert alone.served(1, 4)["only"] > 0.25  # of no worth: once all ranked below all, 0.07
    loads = [Load("many", 0.98, 60_000, 5, 750_000), Load("few", 0.02, 60_000, 1, 750_000)]
    assert least_of_all(played(loads, 1.3)) > 0.8  # by rank alone 0.57


def test_a_non_retryable_class_while_a_tenth_of_the_nodes_hang():
    loads = [MIX[0], Load("pay", 0.2, 90_000, 1, 900_000, "side_effect")]
    assert least_of_all(played(loads, 0.9, fault="hang")) > 0.9


@pytest.mark.parametrize("fault", ["restart", "replace"])
def test_mass_restarts_and_replacements(fault):
    assert least_of_all(played(MIX, 0.9, fault=fault, table=25)) > 0.8


def test_excess_of_a_tenant_finds_no_way_round_its_share_by_the_floor():
    tenants = [Tenant("own", 600.0), Tenant("other", 600.0), Tenant("more", 60.0)]
    shares = LoadShedder(Random(1), TenantQuotas(tenants, 40), 0.1)
    parts = {one.name: [] for one in tenants}
    for turn in range(2000):
        for tenant, worth in zip(tenants, (5.0, 3.0, 1.0), strict=True):
            asked = make_request(tenant=tenant, key=turn)
            asked.request_class.priority_weight = worth
            parts[tenant.name].append((shares.limit_fraction(asked, turn * 10_000), asked.required_share))
    excess = [part for part, required_share in parts["more"][400:] if required_share]
    within = [part for part, required_share in parts["more"][400:] if not required_share]
    assert len(excess) > 5 * len(within) > 0
    assert max(excess) < 0.5 and sum(part > 0.6 for part in within) > len(within) // 5


# Clients that give up before any answer can come.


def test_clients_that_give_up_too_early_do_not_use_up_the_nodes():
    swarm = played(MIX, 0.9, hurried=0.6, seconds=7)
    assert min(swarm.served(3, 6).values()) > 0.85  # 0.42 where all their reqs go out


def test_an_attempt_that_outlasts_patience_is_told_while_its_queue_still_grows():
    made = make_balancer(make_servers(4), process_count=100, gossip=True)
    asked = make_request()
    node = made.route(asked, 0).server
    made.suspect_late_attempts(asked, S // 2)
    assert made.gossip.latest == {node: 2} and node.admitted_share < 1.0


def test_reqs_without_hope_are_nacked_at_once_but_a_few_which_show_when_there_is_some():
    made = make_balancer(make_servers(4))
    asked = make_request()
    asked.request_class.success_times.extend([300_000] * 64)

    def sent(give_up):
        again = [Request(asked.request_class, 0, give_up, key) for key in range(400)]
        return sum(isinstance(made.route(one, 0), Send) for one in again)

    made.limiter.admits = lambda *_: True
    assert 1 <= sent(200_000) <= 20 and sent(400_000) == 400
    # One of fewer chances ranks below one with more, and nothing is known before twenty answers.
    parts = [
        made.shedder.limit_fraction(make_request(key=turn), 0, (0.2, 1.0)[turn % 2]) for turn in range(200)
    ]
    assert sum(parts[100::2]) < sum(parts[101::2]) - 20
    asked.request_class.success_times.clear()
    asked.request_class.success_times.extend([300_000] * 15)
    assert sent(200_000) == 400


# Tables of connections.


def test_full_tables_of_connections_are_no_jam():
    # A table holds a third of the proxies, and the nodes have little to do.
    swarm = played(MIX, 0.5, proxies=75, table=25)
    assert min(swarm.served(1, 4).values()) > 0.9
    assert all(len(server.held) <= 25 for server in swarm.servers.values())


def test_a_new_connection_turned_away_moves_no_share_and_is_told_to_nobody():
    made = make_balancer(make_servers(4), process_count=100, gossip=True)
    asked = make_request()
    node = made.route(asked, 0).server
    keep = made.connections.idle_time
    asked.attempts[0].first_on_connection = True  # as the network part tells
    made.record_outcome(asked.attempts[0], Outcome.OVERLOADED, 1000)
    assert (node.admitted_share, made.limiter.common_share, made.gossip.latest) == (1.0, 1.0, {})
    assert made.connections.idle_time < keep
    made.next_wakeup(1000)
    assert isinstance(made.route(asked, 1000), Send) and asked.attempts[1].server is not node
    # Without one of our own there it is left alone for a while; one that is open still serves.
    made.connections.idle_since.clear()
    assert all(made.select_server(make_request(), 2000) is not node for _ in range(20))
    made.connections.idle_since[node] = 2000
    assert any(made.select_server(make_request(), 2000) is node for _ in range(20))


def test_a_full_queue_still_is_one():
    made = make_balancer(make_servers(4), process_count=100, gossip=True)
    first, second = make_request(), make_request()
    made.route(first, 0)
    made.record_outcome(first.attempts[0], Outcome.SUCCEEDED, 1000)
    node = made.route(second, 2000).server
    made.record_outcome(second.attempts[0], Outcome.OVERLOADED, 3000)
    assert node.admitted_share < 1.0 and node in made.gossip.latest


def test_how_long_idle_connections_stay_settles_by_what_is_turned_away():
    links, node = ConnectionBudget(60 * S, 200), make_servers(1)[0]
    for _ in range(2000):
        links.record_accepted()
    assert links.idle_time == 60 * S  # nobody is turned away: for as long as the nodes let them
    for turn in range(4000):
        links.record_rejected(node, 0) if turn % 10 == 0 else links.record_accepted()
    assert links.idle_time < S  # a tenth is
    assert ConnectionBudget(60 * S, 16).idle_time == 0


# Worths that say nothing, and classes that are none.


@pytest.mark.parametrize("worth, word", [(-1, ">= 0"), (float("nan"), ">= 0"), (float("inf"), "<= ")])
def test_a_worth_that_is_none_is_one_clear_line(worth, word):
    sheet = {"methods": [MIX[0].sheet() | {"criticality": worth}]}
    with pytest.raises(ConfigurationError, match="criticality") as fault:
        InstanceConfiguration(1, sheet)
    assert word in str(fault.value) and "\n" not in str(fault.value)


@pytest.mark.parametrize("worths", [(None, None), (0, 0), (7, 7), (0, 5)])
def test_classes_of_no_worth_or_one_worth_all_find_a_place_under_strain(worths):
    sheet = {"methods": [MIX[0].sheet() | {"name": name, "criticality": worth}
                         for name, worth in zip("ab", worths, strict=True)]}  # fmt: skip
    made = InstanceConfiguration(1, sheet)
    shares, methods = made.balancer.shedder, made.request_classes
    parts = {name: [] for name in methods}
    for turn in range(600):
        for name, method in methods.items():
            parts[name].append(shares.limit_fraction(Request(method, turn, turn + S, turn), turn))
    for name in parts:  # at half of the share
        assert sum(part > 0.5 for part in parts[name][200:]) > 400 * 0.2, name


def test_no_classes_and_a_req_of_an_unknown_one_get_an_answer_and_no_more():
    for run in (make_process_configuration(methods=[]), None):
        made = make_proxy(2, run=run)
        if run is not None:
            made.settings.request_classes.clear()
            made.client_server.set_names(made.settings.request_classes, made.settings.tenants)
        asks = connect_client(made)
        asks.dataReceived(encode_get(fields=b"c=other,t=t,d=500"))
        assert (
            asks.transport.take_output().startswith(b"-ERR")
            and not made.request_handler.requests
            and made.has_ready_server()
        )


@pytest.mark.parametrize("overload, fall", [(4.0, S), (2.0, 3 * S // 2)])
def test_cold_nodes_get_no_more_of_thirty_proxies_than_chance_allows(overload, fall):
    # Simulated: a third of the nodes replaced at once, a burst, clients that come again.
    world = World(nodes=12, proxies=30, reqs_per_s=12 * 3 / work(MIX) * 1.2, overload=overload, fall=fall)
    swarm = Swarm(Random(3), MIX, world)
    swarm.at(swarm.now + S, swarm.replace, sorted(swarm.servers)[::3])
    swarm.play(4 * S)
    assert 0.1 < swarm.pushed() <= 1


def test_the_count_of_a_cold_nodes_reqs_finds_one_that_is_sent_all(monkeypatch):
    monkeypatch.setattr(SlowStart, "warm_fraction", lambda *_: 1.0)
    loads = [Load("only", 1.0, 60_000, 1, 750_000)]
    world = World(nodes=6, proxies=30, reqs_per_s=6 * 3 / work(loads), overload=1.2, cold_share=0.2)
    swarm = Swarm(Random(3), loads, world)
    swarm.at(swarm.now + S, swarm.replace, ["n0000"])
    swarm.play(4 * S)
    assert swarm.pushed() > 1
