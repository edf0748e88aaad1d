"""Tests of the ranking of requests by priority."""

from helpers import make_balancer, make_request, make_servers

from ivystack.balancing.concurrency_limit import MIN_LIMIT_FRACTION
from ivystack.balancing.load_shedding import CACHED_KEYS, PRIOR_REQUESTS, RECENT_REQUESTS


def test_low_priority_and_likely_misses_are_shed_first():
    balancer = make_balancer(make_servers(4))
    balancer.shedder.record_answer(7)
    fractions = [
        balancer.shedder.limit_fraction(make_request(key=key), 0) for key in [7] * 50 + [8] * 50 + [7]
    ]
    assert fractions[-1] > max(fractions[60:100])


def test_ranks_are_those_among_the_recent_requests():
    balancer = make_balancer(make_servers(2))
    shedder, priorities = balancer.shedder, []
    for number in range(3 * RECENT_REQUESTS):
        request = make_request(key=number)
        request.request_class.priority_weight = number * 37 % 101
        fraction = shedder.limit_fraction(request, 0)
        lower_count = sum(other < shedder.recent_priorities[-1] for other in priorities)
        priorities = [*priorities, shedder.recent_priorities[-1]][-RECENT_REQUESTS:]
        assert fraction == MIN_LIMIT_FRACTION + (1 - MIN_LIMIT_FRACTION) * (lower_count + PRIOR_REQUESTS) / (
            len(priorities) + PRIOR_REQUESTS
        )


def test_the_cached_keys_are_bounded_and_the_oldest_answer_is_dropped_first():
    shedder = make_balancer(make_servers(2)).shedder
    for key in (*range(CACHED_KEYS), 0, CACHED_KEYS):
        shedder.record_answer(key)
    assert len(shedder.cached_keys) == CACHED_KEYS
    assert 0 in shedder.cached_keys and 1 not in shedder.cached_keys
