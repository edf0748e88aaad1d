"""Tests of the concurrency limits and admitted shares of cache servers."""

import pytest
from helpers import S, make_balancer, make_request, make_servers, make_weighted_servers

from ivystack.balancing.concurrency_limit import ConcurrencyLimiter, INITIAL_LIMIT, MIN_LIMIT_FRACTION
from ivystack.balancing.server_load import LOAD_MAX_AGE_US
from ivystack.model import Idempotency, Send, Server


def test_a_limit_below_one_paces_attempts():
    balancer = make_balancer(make_servers(1))
    server = balancer.placement.slots[0]
    server.concurrency_limit, server.last_sent_at = 0.1, 0
    assert not balancer.limiter.admits(server, 1.0, S // 2) and balancer.limiter.admits(server, 1.0, S + 1)


def test_limits_grow_until_the_lowest_priority_has_capacity():
    balancer = make_balancer(make_servers(1))
    server = balancer.servers["n00"]
    server.in_flight = 3
    for _ in range(3000):
        balancer.limiter.record_success(server)
    assert balancer.limiter.admits(server, MIN_LIMIT_FRACTION, 0) and server.concurrency_limit < 42


def test_a_small_limit_grows_faster_with_each_answer_in_a_row():
    balancer = make_balancer(make_servers(1))
    server = balancer.placement.slots[0]
    server.concurrency_limit = 0.1
    for _ in range(9):
        balancer.limiter.record_success(server)
    assert server.concurrency_limit > 1


def test_a_timeout_leaves_a_third_of_the_share_to_the_higher_priorities():
    balancer = make_balancer(make_servers(2))
    server = balancer.placement.slots[0]
    balancer.limiter.record_overload(server, True, False, 0, 0)
    assert balancer.limiter.admits(server, 0.7, 0) and not balancer.limiter.admits(server, 0.6, 0)
    for _ in range(5):
        balancer.limiter.record_success(server)
    server.concurrency_limit = 12.0  # the limit, which also fell, is not tested here
    assert balancer.limiter.admits(server, 0.2, 0)


def test_timeouts_at_several_servers_shed_the_lowest_priorities_at_all_servers():
    balancer = make_balancer(make_servers(60))
    for server in balancer.placement.slots[:9]:
        balancer.limiter.record_overload(server, True, False, 0, 0)
    other = balancer.placement.slots[-1]
    assert not balancer.limiter.admits(other, 0.5, 0) and balancer.limiter.admits(other, 1.0, 0)


def test_no_overload_closes_a_server_or_the_fleet_for_good():
    balancer = make_balancer(make_servers(4))
    for key in range(200):
        balancer.shedder.limit_fraction(make_request(idempotency=Idempotency.IDEMPOTENT, key=key), 0)
    for now, server in enumerate(balancer.placement.slots * 40):
        balancer.limiter.record_overload(server, True, False, now, now)
        server.concurrency_limit = INITIAL_LIMIT
    request = make_request()
    request.request_class.priority_weight = 99.0
    balancer.shedder.record_answer(7)
    assert isinstance(balancer.route(request, 0), Send)


def test_a_limit_grows_quickly_only_where_no_share_has_fallen():
    # Otherwise requests of low rank are rejected by small limits at servers that have far more capacity.
    growth = []
    for share, common in ((1.0, 1.0), (0.5, 1.0), (1.0, 0.5)):
        limiter, server = (
            ConcurrencyLimiter(),
            Server("n", concurrency_limit=20.0, in_flight=3, consecutive_on_time=50, admitted_share=share),
        )
        limiter.common_share = common
        limiter.record_success(server)
        growth.append(server.concurrency_limit - 20)
    assert growth == [pytest.approx(part / 20) for part in (4, 1, 1)]


def test_attempts_in_flight_together_are_one_overload():
    # Otherwise the many attempts that one full queue made late would close a server for seconds.
    limiter, server = ConcurrencyLimiter(), Server("n", concurrency_limit=20.0)
    for sent in (100, 110, 120, 130):
        limiter.record_overload(server, True, True, sent, 300)
    assert (server.concurrency_limit, server.admitted_share, limiter.common_share) == (5.0, 0.8, 0.8)
    # This attempt was sent after the decrease, so the server is still overloaded.
    limiter.record_overload(server, True, True, 310, 600)
    assert (server.concurrency_limit, round(server.admitted_share, 2)) == (1.25, 0.64)


def test_servers_listed_without_load_are_not_closed_by_the_common_share():
    balancer = make_balancer(make_weighted_servers(*[4.0] * 4), live_weights=True)
    balancer.limiter.common_share = 0.1
    balancer.shedder.limit_fraction(make_request(), 0)
    server = balancer.placement.slots[0]
    assert balancer.limiter.admits(server, 0.5, S)
    server.load = 9.0
    assert not balancer.limiter.admits(server, 0.5, S)
    server.load = 0.0
    assert not balancer.limiter.admits(server, 0.5, LOAD_MAX_AGE_US + S)  # the listed load is too old
