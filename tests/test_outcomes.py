"""Tests of what is recorded from the outcome of an attempt."""

from helpers import S, make_balancer, make_request, make_servers, make_weighted_servers

from ivystack.balancing.concurrency_limit import INITIAL_LIMIT, RECENT_SHARE_FACTOR, SHARE_FACTOR
from ivystack.model import Outcome, Server


def answer_late(balancer, load):
    request = make_request(time_to_deadline=3 * S)
    request.request_class.late_priority_weight = 0.5
    server = balancer.route(request, 0).server
    server.load, server.load_reported_at = load, S
    balancer.record_outcome(request.attempts[0], Outcome.SUCCEEDED, 2 * S)
    return server


def test_a_timeout_of_an_attempt_with_little_time_does_not_count():
    balancer = make_balancer(make_servers(2))
    request = make_request()
    server = balancer.route(request, S * 8 // 10).server
    limit_before = server.concurrency_limit
    balancer.record_outcome(request.attempts[0], Outcome.TIMED_OUT, S)
    assert server.concurrency_limit == limit_before and server.health.consecutive_failures == 0


def test_a_timeout_while_later_attempts_succeed_is_no_overload_and_no_failure():
    # Prevents load shedding at servers that are not overloaded, after lost connections and long-running work.
    balancer = make_balancer(make_servers(1))
    server = balancer.servers["n00"]
    late, quick, third = make_request(), make_request(arrived_at=10), make_request(arrived_at=20)
    for request in (late, quick, third):
        balancer.route(request, request.arrived_at)
    balancer.record_outcome(quick.attempts[0], Outcome.SUCCEEDED, 30)
    limit_before = server.concurrency_limit
    balancer.suspect_late_attempts(late, 30)
    balancer.record_outcome(late.attempts[0], Outcome.TIMED_OUT, S)
    assert limit_before - 1 < server.concurrency_limit < limit_before and (
        server.health.consecutive_failures,
        server.admitted_share,
        balancer.limiter.common_share,
    ) == (0, 1, 1)
    # The same holds for a single timeout at a server with a recent outcome.
    balancer.record_outcome(third.attempts[0], Outcome.TIMED_OUT, S + 20)
    assert limit_before - 1 < server.concurrency_limit and server.health.consecutive_failures == 1
    further = make_request(arrived_at=S)
    balancer.route(further, S)
    balancer.record_outcome(further.attempts[0], Outcome.TIMED_OUT, 2 * S)
    assert server.concurrency_limit < limit_before * 0.6 and server.health.consecutive_failures == 2


def test_a_slow_error_lowers_the_common_share_and_a_quick_one_is_a_failure():
    balancer = make_balancer(make_servers(4))
    quick, slow = make_request(), make_request()
    balancer.route(quick, 0)
    balancer.record_outcome(quick.attempts[0], Outcome.ERROR, S // 10)
    assert (
        quick.attempts[0].server.class_failures[quick.request_class].consecutive_failures == 1
        and balancer.limiter.common_share == 1
    )
    balancer.route(slow, 0)
    failures_before = slow.attempts[0].server.health.consecutive_failures
    balancer.record_outcome(slow.attempts[0], Outcome.ERROR, S * 6 // 10)
    assert (
        slow.attempts[0].server.health.consecutive_failures == failures_before
        and balancer.limiter.common_share < 1
    )


def test_a_single_slow_answer_lowers_shares_only_at_cache_aside_servers():
    for origin_kind, is_lowered in ((4, True), (-1, False)):
        balancer = make_balancer(
            [*make_servers(3), Server("origin", kind=4)], origin_kind=origin_kind, hedging_enabled=False
        )
        request = make_request()
        server = balancer.route(request, 0).server
        balancer.record_outcome(request.attempts[0], Outcome.SUCCEEDED, S * 6 // 10)
        assert (server.admitted_share < 1 and balancer.limiter.common_share < 1) == is_lowered


def test_slow_answers_in_time_lower_a_servers_share_before_any_timeout():
    balancer, shares = make_balancer(make_servers(1), process_count=40), []
    for response_time in (S * 8 // 10, S * 7 // 10, S * 8 // 10, S * 8 // 10, S * 8 // 10):
        at = 3 * S * len(shares)  # outcomes at the server are rare
        request = make_request(arrived_at=at)
        balancer.route(request, at)
        balancer.record_outcome(request.attempts[0], Outcome.SUCCEEDED, at + response_time)
        shares.append(balancer.placement.slots[0].admitted_share)
    assert shares[:3] == [1, 1, 1]  # a single slow answer may be a cache miss
    assert 1 > shares[3] > shares[4]


def test_a_rejection_where_loads_are_reported_shows_nothing_of_other_servers():
    # Prevents shedding at a whole fleet of servers with short queues, each of which is full now and then.
    for live in (True, False):
        balancer = make_balancer(make_weighted_servers(*[4.0] * 4), live_weights=live)
        request = make_request()
        first = balancer.route(request, 0).server
        balancer.record_outcome(request.attempts[0], Outcome.OVERLOADED, 10)
        # Without reported loads, rejections indicate an overload, which 40 processes would otherwise feed.
        assert (balancer.limiter.common_share == 1) is (first.concurrency_limit == INITIAL_LIMIT) is live
        assert first.admitted_share == (RECENT_SHARE_FACTOR if live else SHARE_FACTOR)
        balancer.next_wakeup(10)
        if live:
            assert balancer.route(request, 10).server is not first


def test_a_late_answer_of_a_server_listed_as_loaded_is_an_overload():
    # Otherwise an overload would be detected only at the deadline in classes whose late answers have weight.
    # A late answer of a server that is not loaded took long to compute, and is no overload.
    assert (
        answer_late(make_balancer(make_weighted_servers(*[4.0] * 4), live_weights=True), 9.0).admitted_share
        == SHARE_FACTOR
    )
    assert (
        answer_late(make_balancer(make_weighted_servers(*[4.0] * 4), live_weights=True), 0.5).admitted_share
        == 1
    )
