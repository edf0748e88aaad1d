"""Zones out of reach are ejected, and probed."""

from helpers import S, make_balancer, make_request

from ivystack.balancing.zone_outliers import EJECT_ZONE_AFTER
from ivystack.model import Attempt, Outcome, Server


def answer_late_in_zones(balancer, zones=("b",)):
    for server in balancer.servers.values():
        for _ in range(9 if server.zone in zones else 0):
            late = make_request(arrived_at=0)
            attempt = Attempt(late, server, 0, S)
            late.attempts.append(attempt)
            server.in_flight += 1
            balancer.in_flight += 1
            balancer.record_outcome(attempt, Outcome.SUCCEEDED, S * 9 // 10)
        server.admitted_share, server.concurrency_limit = 1, 12
    balancer.limiter.common_share = 1


def test_a_zone_that_answers_late_is_ejected_and_probed():
    # The replicas may be well but out of reach: the walk goes on to a zone that answers.
    listed = [Server(f"{zone}{i}", zone=zone) for zone in "ab" for i in range(4)]
    balancer = make_balancer(listed, process_count=40)
    answer_late_in_zones(balancer)
    balancer.zone_outliers.record("a", True)
    for zone in balancer.zone_outliers.zones.values():
        zone.next_probe_at = 5 * S
    picked = {balancer.select_server(make_request(key=key, arrived_at=S), S).zone for key in range(50)}
    assert picked == {"a"}
    there = next(key for key in range(50) if balancer.placement.replicas_and_spares(key, 2)[0].zone == "b")
    probes = []
    for now in range(5 * S, 9 * S, S // 10):
        request = make_request(key=there, arrived_at=now)
        probes.append(balancer.route(request, now).server.zone)
        took = S * 9 // 10 if probes[-1] == "b" else 1000  # told at once, which does no harm here
        request.attempts[0].sent_at = now - took
        balancer.record_outcome(request.attempts[0], Outcome.SUCCEEDED, now)
    assert 2 <= probes.count("b") <= 6
    balancer.zone_outliers.record("b", True)
    balancer.zone_outliers.record("b", True)
    assert not balancer.zone_outliers.is_ejected("b", 9 * S)
    balancer.update_endpoints([server for server in listed if server.zone == "a"], True, 9 * S)
    balancer.update_endpoints([server for server in listed if server.zone == "a"], True, 99 * S)
    assert "b" not in balancer.zone_outliers.zones  # what is known of a zone goes with it


def test_connections_that_do_not_come_up_count_against_the_zone():
    # Prevents a way so slow that no connection comes up in the time that one is given.
    for outcome in (
        Outcome.CONNECTION_REFUSED,
        Outcome.CONNECTION_LOST,
        Outcome.TIMED_OUT,
        Outcome.OVERLOADED,
    ):
        balancer = make_balancer(
            [Server(f"{zone}{i}", zone=zone) for zone in "ab" for i in range(8)], process_count=40
        )
        for server in list(balancer.servers.values())[8:]:
            request = make_request(arrived_at=0)
            request.attempts.append(Attempt(request, server, 0, S))
            server.in_flight += 1
            balancer.record_outcome(request.attempts[0], outcome, S // 4)
        balancer.zone_outliers.record("a", True)
        balancer.zone_outliers.record_probe_sent("b", S)
        assert balancer.zone_outliers.is_ejected("b", S) == (outcome != Outcome.OVERLOADED)


def test_no_zone_is_ejected_in_a_small_fleet_without_load_reports():
    # Prevents leaving a zone that is merely loaded: the rest of a small fleet is overloaded.
    balancer = make_balancer([Server(f"{zone}{i}", zone=zone) for zone in "ab" for i in range(4)])
    answer_late_in_zones(balancer)
    assert not balancer.zone_outliers.zones


def test_no_zone_is_ejected_where_all_answer_late():
    balancer = make_balancer(
        [Server(f"{zone}{i}", zone=zone) for zone in "ab" for i in range(4)], process_count=40
    )
    answer_late_in_zones(balancer, "ab")
    assert balancer.zone_outliers.zones["a"].consecutive_failures >= EJECT_ZONE_AFTER
    assert not balancer.zone_outliers.is_ejected("a", 0) and not balancer.zone_outliers.is_ejected("b", 0)
