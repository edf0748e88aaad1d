"""Tests of the backoff between calls of the discovery service."""

from random import Random

from helpers import S

from ivystack.balancing.poll_backoff import MIN_PAUSE_US, PollBackoff


def test_pauses_double_with_each_failure_up_to_the_maximum():
    backoff = PollBackoff(Random(1), S, 4 * S)
    for max_pause in (2 * S, 4 * S, 4 * S):
        pause = backoff.record_failure(10 * S) - 10 * S
        assert max_pause // 2 <= pause < max_pause * 3 // 2


def test_a_call_is_due_once_and_not_while_one_is_in_progress():
    backoff = PollBackoff(Random(1), S, 4 * S)
    assert not backoff.claim_due_call(99 * S)
    due_at = backoff.record_failure(0)
    assert not backoff.claim_due_call(due_at - 1)
    assert backoff.claim_due_call(due_at) and not backoff.claim_due_call(99 * S)


def test_a_call_is_no_later_than_requested_and_never_immediate():
    for seed in range(50):
        backoff = PollBackoff(Random(seed), 8 * S, 8 * S)
        assert MIN_PAUSE_US // 2 <= backoff.record_failure(5 * S, latest=6 * S) - 5 * S <= S
        assert backoff.record_failure(5 * S, latest=4 * S) >= 5 * S + MIN_PAUSE_US // 2
