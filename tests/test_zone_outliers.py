"""Tests of the ejection and probing of unreachable zones."""

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
    # The replicas may be healthy but unreachable, so the search continues to a zone that answers.
    listed = [Server(f"{zone}{i}", zone=zone) for zone in "ab" for i in range(4)]
    balancer = make_balancer(listed, process_count=40)
    answer_late_in_zones(balancer)
    balancer.zone_outliers.record("a", True)
    for zone in balancer.zone_outliers.zones.values():
        zone.next_probe_at = 5 * S
    zones_selected = {
        balancer.select_server(make_request(key=key, arrived_at=S), S).zone for key in range(50)
    }
    assert zones_selected == {"a"}
    key_in_b = next(key for key in range(50) if balancer.placement.replicas_and_spares(key, 2)[0].zone == "b")
    probes = []
    for now in range(5 * S, 9 * S, S // 10):
        request = make_request(key=key_in_b, arrived_at=now)
        probes.append(balancer.route(request, now).server.zone)
        # The outcome is recorded at once and the attempt dated back, which has the same effect here.
        response_time = S * 9 // 10 if probes[-1] == "b" else 1000
        request.attempts[0].sent_at = now - response_time
        balancer.record_outcome(request.attempts[0], Outcome.SUCCEEDED, now)
    assert 2 <= probes.count("b") <= 6
    balancer.zone_outliers.record("b", True)
    balancer.zone_outliers.record("b", True)
    assert not balancer.zone_outliers.is_ejected("b", 9 * S)
    balancer.update_endpoints([server for server in listed if server.zone == "a"], True, 9 * S)
    balancer.update_endpoints([server for server in listed if server.zone == "a"], True, 99 * S)
    assert "b" not in balancer.zone_outliers.zones  # the state of an unlisted zone is dropped


def test_connections_that_are_not_established_count_as_failures_of_the_zone():
    # Detects a link so slow that no connection is established within the time allowed.
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
    # Otherwise a zone that is only loaded could be ejected, which would overload the rest of a small fleet.
    balancer = make_balancer([Server(f"{zone}{i}", zone=zone) for zone in "ab" for i in range(4)])
    answer_late_in_zones(balancer)
    assert not balancer.zone_outliers.zones


def test_no_zone_is_ejected_if_all_answer_late():
    balancer = make_balancer(
        [Server(f"{zone}{i}", zone=zone) for zone in "ab" for i in range(4)], process_count=40
    )
    answer_late_in_zones(balancer, "ab")
    assert balancer.zone_outliers.zones["a"].consecutive_failures >= EJECT_ZONE_AFTER
    assert not balancer.zone_outliers.is_ejected("a", 0) and not balancer.zone_outliers.is_ejected("b", 0)
