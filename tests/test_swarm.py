"""Simulated fleets under overload, restarts, replacements and slow servers: no request class is starved."""

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
from ivystack.rig.swarm import FAULTS, MIX, Load, Swarm, World, mean_work_seconds
from ivystack.configuration.instance import InstanceConfiguration
from ivystack.configuration.errors import ConfigurationError


def run_swarm(loads, utilization=1.0, servers=16, proxies=40, seconds=5, fault=None, **world_options):
    """Run a fleet at `utilization` times its capacity; a fault, if any, begins after one second."""
    world = World(
        servers=servers,
        proxies=proxies,
        requests_per_second=servers * 3 / mean_work_seconds(loads) * utilization,
        **world_options,
    )
    swarm = Swarm(Random(5), loads, world)
    if fault:
        swarm.schedule(swarm.now + S, FAULTS[fault], swarm)
    swarm.run(seconds * S)
    return swarm


def worst_to_mean_served_share(swarm):
    """Return the lowest served share of a class, relative to that of all classes.

    The first and the last second do not count.
    """
    served = swarm.served_shares(1, (swarm.now - swarm.started_at) // S - 1)
    mean = sum(load.share * served[load.name] for load in swarm.loads) / sum(
        load.share for load in swarm.loads
    )
    return min(served.values()) / mean


@pytest.mark.parametrize("servers, proxies, seconds", [(16, 40, 5), (50, 230, 4)])
def test_priority_weights_starve_no_class_when_the_fleet_is_overloaded(servers, proxies, seconds):
    swarm = run_swarm(MIX, 1.3, servers, proxies, seconds)
    assert worst_to_mean_served_share(swarm) > 0.6  # 0.50 and 0.54 with shedding by priority alone
    served = swarm.served_shares(1)
    assert served["sign"] > served["view"] > served["check"]  # priority decides above the guaranteed floor


@pytest.mark.parametrize("priority_weight", [3, 100])
def test_two_classes_with_similar_or_very_different_priority_weights(priority_weight):
    loads = [Load("low", 0.5, 60_000, 1, 750_000), Load("high", 0.5, 60_000, priority_weight, 750_000)]
    swarm = run_swarm(loads, 1.3)
    assert worst_to_mean_served_share(swarm) > 0.72  # 0.71 and 0.64 with shedding by priority alone
    assert swarm.served_shares(1)["high"] > swarm.served_shares(1)["low"]


def test_a_single_class_and_a_class_with_two_in_a_hundred_requests():
    single = run_swarm([Load("only", 1.0, 60_000, 0, 750_000)], 1.3)
    # With priority weight 0, 0.07 were served when the class ranked below every other request.
    assert single.served_shares(1, 4)["only"] > 0.25
    loads = [Load("many", 0.98, 60_000, 5, 750_000), Load("few", 0.02, 60_000, 1, 750_000)]
    assert worst_to_mean_served_share(run_swarm(loads, 1.3)) > 0.8  # 0.57 with shedding by priority alone


def test_a_non_retryable_class_while_a_tenth_of_the_servers_hang():
    loads = [MIX[0], Load("pay", 0.2, 90_000, 1, 900_000, "side_effect")]
    assert worst_to_mean_served_share(run_swarm(loads, 0.9, fault="hang")) > 0.9


@pytest.mark.parametrize("fault", ["restart", "replace"])
def test_mass_restarts_and_replacements(fault):
    assert worst_to_mean_served_share(run_swarm(MIX, 0.9, fault=fault, max_connections=25)) > 0.8


def test_a_tenant_beyond_its_quota_cannot_use_the_guaranteed_floor():
    tenants = [Tenant("own", 600.0), Tenant("other", 600.0), Tenant("more", 60.0)]
    shedder = LoadShedder(Random(1), TenantQuotas(tenants, 40), 0.1)
    limits = {tenant.name: [] for tenant in tenants}
    for number in range(2000):
        for tenant, priority_weight in zip(tenants, (5.0, 3.0, 1.0), strict=True):
            request = make_request(tenant=tenant, key=number)
            request.request_class.priority_weight = priority_weight
            limits[tenant.name].append(
                (shedder.limit_fraction(request, number * 10_000), request.required_share)
            )
    excess = [limit for limit, required_share in limits["more"][400:] if required_share]
    within = [limit for limit, required_share in limits["more"][400:] if not required_share]
    assert len(excess) > 5 * len(within) > 0
    assert max(excess) < 0.5 and sum(limit > 0.6 for limit in within) > len(within) // 5


# Clients that give up before any answer can arrive


def test_clients_that_give_up_too_early_do_not_exhaust_the_servers():
    swarm = run_swarm(MIX, 0.9, impatient_share=0.6, seconds=7)
    # 0.42 if all requests of these clients are sent to servers.
    assert min(swarm.served_shares(3, 6).values()) > 0.85


def test_an_attempt_that_outlasts_the_clients_patience_reduces_the_share_while_the_queue_grows():
    balancer = make_balancer(make_servers(4), process_count=100, gossip=True)
    request = make_request()
    server = balancer.route(request, 0).server
    balancer.suspect_late_attempts(request, S // 2)
    assert balancer.gossip.latest == {server: 2} and server.admitted_share < 1.0


def test_hopeless_requests_are_rejected_at_once_except_for_a_few_probes():
    balancer = make_balancer(make_servers(4))
    template = make_request()
    template.request_class.success_times.extend([300_000] * 64)

    def count_sent(give_up_at):
        requests = [Request(template.request_class, 0, give_up_at, key) for key in range(400)]
        return sum(isinstance(balancer.route(request, 0), Send) for request in requests)

    balancer.limiter.admits = lambda *_: True
    assert 1 <= count_sent(200_000) <= 20 and count_sent(400_000) == 400
    # A request that is less likely to succeed ranks lower. Before twenty answers nothing is estimated.
    limits = [
        balancer.shedder.limit_fraction(make_request(key=number), 0, (0.2, 1.0)[number % 2])
        for number in range(200)
    ]
    assert sum(limits[100::2]) < sum(limits[101::2]) - 20
    template.request_class.success_times.clear()
    template.request_class.success_times.extend([300_000] * 15)
    assert count_sent(200_000) == 400


# Connection tables of servers


def test_full_connection_tables_cause_no_congestion():
    # A connection table has room for a third of the proxies, and the servers have little to do.
    swarm = run_swarm(MIX, 0.5, proxies=75, max_connections=25)
    assert min(swarm.served_shares(1, 4).values()) > 0.9
    assert all(len(server.connected_proxies) <= 25 for server in swarm.servers.values())


def test_a_rejected_new_connection_changes_no_share_and_is_not_gossiped():
    balancer = make_balancer(make_servers(4), process_count=100, gossip=True)
    request = make_request()
    server = balancer.route(request, 0).server
    idle_time = balancer.connections.idle_time
    request.attempts[0].first_on_connection = True  # set by the network code
    balancer.record_outcome(request.attempts[0], Outcome.OVERLOADED, 1000)
    assert (server.admitted_share, balancer.limiter.common_share, balancer.gossip.latest) == (1.0, 1.0, {})
    assert balancer.connections.idle_time < idle_time
    balancer.next_wakeup(1000)
    assert isinstance(balancer.route(request, 1000), Send) and request.attempts[1].server is not server
    # A proxy without a connection to the server avoids it for a while; an open connection is still used.
    balancer.connections.idle_since.clear()
    assert all(balancer.select_server(make_request(), 2000) is not server for _ in range(20))
    balancer.connections.idle_since[server] = 2000
    assert any(balancer.select_server(make_request(), 2000) is server for _ in range(20))


def test_a_rejection_on_an_established_connection_still_means_a_full_queue():
    balancer = make_balancer(make_servers(4), process_count=100, gossip=True)
    first, second = make_request(), make_request()
    balancer.route(first, 0)
    balancer.record_outcome(first.attempts[0], Outcome.SUCCEEDED, 1000)
    server = balancer.route(second, 2000).server
    balancer.record_outcome(second.attempts[0], Outcome.OVERLOADED, 3000)
    assert server.admitted_share < 1.0 and server in balancer.gossip.latest


def test_the_idle_time_of_connections_adapts_to_the_share_of_rejected_ones():
    budget, server = ConnectionBudget(60 * S, 200), make_servers(1)[0]
    for _ in range(2000):
        budget.record_accepted()
    assert budget.idle_time == 60 * S  # no connection is rejected: the configured idle time applies
    for number in range(4000):
        budget.record_rejected(server, 0) if number % 10 == 0 else budget.record_accepted()
    assert budget.idle_time < S  # a tenth of the connections is rejected
    assert ConnectionBudget(60 * S, 16).idle_time == 0


# Priority weights that do not discriminate or are invalid, and unknown request classes


@pytest.mark.parametrize(
    "priority_weight, message", [(-1, ">= 0"), (float("nan"), ">= 0"), (float("inf"), "<= ")]
)
def test_an_invalid_priority_weight_is_reported_in_one_line(priority_weight, message):
    settings = {"methods": [MIX[0].settings() | {"criticality": priority_weight}]}
    with pytest.raises(ConfigurationError, match="criticality") as error:
        InstanceConfiguration(1, settings)
    assert message in str(error.value) and "\n" not in str(error.value)


@pytest.mark.parametrize("priority_weights", [(None, None), (0, 0), (7, 7), (0, 5)])
def test_classes_without_or_with_equal_priority_weights_are_all_admitted_under_overload(priority_weights):
    settings = {"methods": [MIX[0].settings() | {"name": name, "criticality": weight}
                            for name, weight in zip("ab", priority_weights, strict=True)]}  # fmt: skip
    instance = InstanceConfiguration(1, settings)
    shedder, request_classes = instance.balancer.shedder, instance.request_classes
    limits = {name: [] for name in request_classes}
    for number in range(600):
        for name, request_class in request_classes.items():
            limits[name].append(
                shedder.limit_fraction(Request(request_class, number, number + S, number), number)
            )
    for name in limits:  # at half of the share
        assert sum(limit > 0.5 for limit in limits[name][200:]) > 400 * 0.2, name


def test_a_request_of_an_unknown_class_is_answered_with_an_error_only():
    for run in (make_process_configuration(methods=[]), None):
        proxy = make_proxy(2, run=run)
        if run is not None:
            proxy.settings.request_classes.clear()
            proxy.client_server.set_names(proxy.settings.request_classes, proxy.settings.tenants)
        client = connect_client(proxy)
        client.dataReceived(encode_get(fields=b"c=other,t=t,d=500"))
        assert (
            client.transport.take_output().startswith(b"-ERR")
            and not proxy.request_handler.requests
            and proxy.has_ready_server()
        )


@pytest.mark.parametrize("overload_factor, overload_window", [(4.0, S), (2.0, 3 * S // 2)])
def test_thirty_proxies_send_cold_servers_no_more_than_random_variation_allows(
    overload_factor, overload_window
):
    # A third of the servers is replaced at once during a load peak, and clients retry.
    world = World(
        servers=12,
        proxies=30,
        requests_per_second=12 * 3 / mean_work_seconds(MIX) * 1.2,
        overload_factor=overload_factor,
        overload_window=overload_window,
    )
    swarm = Swarm(Random(3), MIX, world)
    swarm.schedule(swarm.now + S, swarm.replace_servers, sorted(swarm.servers)[::3])
    swarm.run(4 * S)
    assert 0.1 < swarm.peak_overload() <= 1


def test_the_peak_overload_detects_a_cold_server_that_receives_its_full_share(monkeypatch):
    monkeypatch.setattr(SlowStart, "warm_fraction", lambda *_: 1.0)
    loads = [Load("only", 1.0, 60_000, 1, 750_000)]
    world = World(
        servers=6,
        proxies=30,
        requests_per_second=6 * 3 / mean_work_seconds(loads),
        overload_factor=1.2,
        cold_share=0.2,
    )
    swarm = Swarm(Random(3), loads, world)
    swarm.schedule(swarm.now + S, swarm.replace_servers, ["n0000"])
    swarm.run(4 * S)
    assert swarm.peak_overload() > 1
