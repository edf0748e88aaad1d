"""Requests are ranked by priority."""

from helpers import make_balancer, make_request, make_servers

from ivystack.balancing.concurrency_limit import MIN_LIMIT_FRACTION
from ivystack.balancing.load_shedding import CACHED_KEYS, PRIOR_REQUESTS, RECENT_REQUESTS


def test_low_priority_and_likely_misses_are_shed_first():
    balancer = make_balancer(make_servers(4))
    balancer.shedder.record_answer(7)
    parts = [balancer.shedder.limit_fraction(make_request(key=key), 0) for key in [7] * 50 + [8] * 50 + [7]]
    assert parts[-1] > max(parts[60:100])


def test_ranks_are_those_among_the_recent_requests():
    balancer = make_balancer(make_servers(2))
    shares, weights = balancer.shedder, []
    for number in range(3 * RECENT_REQUESTS):
        request = make_request(key=number)
        request.request_class.priority_weight = number * 37 % 101
        part = shares.limit_fraction(request, 0)
        below = sum(other < shares.recent_priorities[-1] for other in weights)
        weights = [*weights, shares.recent_priorities[-1]][-RECENT_REQUESTS:]
        assert part == MIN_LIMIT_FRACTION + (1 - MIN_LIMIT_FRACTION) * (below + PRIOR_REQUESTS) / (
            len(weights) + PRIOR_REQUESTS
        )


def test_only_so_many_answered_keys_are_kept_and_the_oldest_answer_goes_first():
    shedder = make_balancer(make_servers(2)).shedder
    for key in (*range(CACHED_KEYS), 0, CACHED_KEYS):
        shedder.record_answer(key)
    assert len(shedder.cached_keys) == CACHED_KEYS
    assert 0 in shedder.cached_keys and 1 not in shedder.cached_keys
