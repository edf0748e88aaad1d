"""Tests of the origin's concurrency limit, which follows the queueing delay."""

from helpers import S, make_balancer, make_balancer_with_origin, make_request, make_servers, route_after_miss

from ivystack.balancing.concurrency_limit import MAX_LIMIT
from ivystack.model import Outcome, Send, Server, Wait


def test_the_origin_has_a_limit_and_its_attempts_get_all_the_time_left():
    balancer = make_balancer(
        [*make_servers(3), Server("origin", kind=4)], origin_kind=4, hedging_enabled=False
    )
    request = make_request(is_write=True)
    assert balancer.route(request, 0) == Send(balancer.origins[0], S)
    balancer.origins[0].concurrency_limit = 1.0
    assert balancer.route(make_request(is_write=True), 0) == Wait()


def test_a_timeout_halves_what_is_in_use_of_the_origins_limit():
    # With smaller steps, the limit would take many seconds to fall to what the origin can answer in time.
    balancer = make_balancer(
        [*make_servers(3), Server("origin", kind=4)], origin_kind=4, hedging_enabled=False
    )
    writes = [make_request(is_write=True, arrived_at=number) for number in range(20)]
    for write in writes:
        origin = balancer.route(write, write.arrived_at).server
    balancer.record_outcome(writes[0].attempts[0], Outcome.TIMED_OUT, S)
    assert origin.concurrency_limit == 10
    balancer.record_outcome(writes[1].attempts[0], Outcome.TIMED_OUT, S + 1)
    assert origin.concurrency_limit == 10  # both timeouts belong to one overload
    balancer.record_outcome(writes[19].attempts[0], Outcome.SUCCEEDED, S + 2)
    balancer.record_outcome(writes[18].attempts[0], Outcome.TIMED_OUT, S + 2)
    assert origin.concurrency_limit > 9  # a timeout while later attempts are answered is chance


def test_the_origins_limit_follows_the_queueing_delay_and_not_the_distance():
    balancer, origin = make_balancer_with_origin()
    for number in range(12):  # a long distance, without a queue
        request, _ = route_after_miss(balancer, number * S, key=number)
        balancer.record_outcome(request.attempts[1], Outcome.SUCCEEDED, number * S + S // 2)
    assert origin.concurrency_limit == MAX_LIMIT
    request, _ = route_after_miss(balancer, 20 * S)
    # The queueing delay is one and a half latency objectives.
    balancer.record_outcome(request.attempts[1], Outcome.SUCCEEDED, 22 * S)
    assert origin.concurrency_limit <= 2
    for number in range(12):
        request, _ = route_after_miss(balancer, (30 + number) * S, key=number)
        balancer.record_outcome(request.attempts[1], Outcome.SUCCEEDED, (30 + number) * S + S // 2)
    assert origin.concurrency_limit >= 4


def test_timeouts_shorter_than_the_round_trip_to_the_origin_do_not_count():
    balancer, origin = make_balancer_with_origin()
    request, _ = route_after_miss(balancer, 0)
    balancer.record_outcome(request.attempts[1], Outcome.SUCCEEDED, S * 9 // 10)
    write = make_request(is_write=True, arrived_at=S)
    balancer.route(write, S)
    limit_before = origin.concurrency_limit
    balancer.record_outcome(write.attempts[0], Outcome.TIMED_OUT, S + S * 9 // 10)
    assert (origin.concurrency_limit, origin.admitted_share) == (limit_before, 1)


def test_timeouts_of_cache_servers_do_not_close_the_origin():
    balancer, _ = make_balancer_with_origin()
    balancer.limiter.common_share = 0.02
    for server in balancer.servers.values():
        server.last_outcome_at = 0
    assert isinstance(route_after_miss(balancer, 100)[1], Send)


def test_an_origin_that_refuses_connections_is_sent_fewer_requests():
    # Guards an origin whose connection table is full: each refused request was sent there again at once.
    balancer = make_balancer([*make_servers(4), Server("o", kind=1)], origin_kind=1)
    origin = balancer.origins[0]
    request = make_request(is_write=True)
    balancer.route(request, 0)
    limit_before = origin.concurrency_limit
    balancer.record_outcome(request.attempts[0], Outcome.CONNECTION_REFUSED, 10)
    assert origin.concurrency_limit < limit_before and origin.admitted_share < 1
