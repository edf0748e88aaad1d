"""When the endpoint list's service is called again."""

from random import Random

from helpers import S

from ivystack.balancing.poll_backoff import MIN_PAUSE_US, PollBackoff


def test_pauses_double_with_each_failure_up_to_the_longest():
    backoff = PollBackoff(Random(1), S, 4 * S)
    for longest in (2 * S, 4 * S, 4 * S):
        pause = backoff.record_failure(10 * S) - 10 * S
        assert longest // 2 <= pause < longest * 3 // 2


def test_a_call_is_due_once_and_not_while_one_is_on():
    backoff = PollBackoff(Random(1), S, 4 * S)
    assert not backoff.claim_due_call(99 * S)
    at = backoff.record_failure(0)
    assert not backoff.claim_due_call(at - 1)
    assert backoff.claim_due_call(at) and not backoff.claim_due_call(99 * S)


def test_a_call_is_no_later_than_asked_for_and_never_at_once():
    for seed in range(50):
        backoff = PollBackoff(Random(seed), 8 * S, 8 * S)
        assert MIN_PAUSE_US // 2 <= backoff.record_failure(5 * S, latest=6 * S) - 5 * S <= S
        assert backoff.record_failure(5 * S, latest=4 * S) >= 5 * S + MIN_PAUSE_US // 2
