"""Until when attempts may go by the endpoint list: events of the watch, without I/O."""

import pytest
from helpers import S

from ivystack.net.list_freshness import MAX_LAG_US, STALL_ALLOWANCE_US, ListFreshness

GRACE = S
USABLE_GRACE = GRACE - STALL_ALLOWANCE_US
NOW = 100 * S


@pytest.fixture
def freshness():
    """Return the freshness of a list of which a line has just arrived."""
    freshness = ListFreshness(GRACE, is_pushed=True)
    freshness.line_arrived(NOW)
    return freshness


def ends_at(freshness, at):
    return freshness.is_fresh(at) and not freshness.is_fresh(at + 1)


def test_a_watch_that_may_be_silent_since_its_last_line_is_trusted_for_six_seconds_and_the_grace(freshness):
    assert ends_at(freshness, NOW + 6 * S + USABLE_GRACE)


def test_a_lost_watch_counts_from_when_it_was_last_read(freshness):
    freshness.watch_lost(NOW + S)
    assert ends_at(freshness, NOW + S + USABLE_GRACE)


def test_a_lost_watch_of_a_polled_list_counts_like_a_silence():
    freshness = ListFreshness(GRACE, is_pushed=False)
    freshness.line_arrived(NOW)
    freshness.watch_lost(NOW - S)
    assert ends_at(freshness, NOW + 5 * S + USABLE_GRACE)


def test_a_signal_counts_for_four_seconds_and_makes_no_list_newer(freshness):
    freshness.address_changed(NOW + S)
    assert ends_at(freshness, NOW + 5 * S + USABLE_GRACE)
    freshness.watch_lost(NOW + S)
    freshness.address_changed(NOW + 2 * S)
    assert ends_at(freshness, NOW + S + USABLE_GRACE)


def test_a_refused_call_makes_no_list_newer_than_until_the_next_call(freshness):
    freshness.watch_lost(NOW)
    freshness.call_refused(NOW + S)
    assert ends_at(freshness, NOW + S + MAX_LAG_US)
    freshness.line_arrived(NOW + S)
    freshness.call_refused(NOW + 2 * S)
    assert ends_at(freshness, NOW + 7 * S + USABLE_GRACE)


def test_an_unanswered_call_is_borne_until_the_answer_of_the_next_is_due(freshness):
    freshness.watch_lost(NOW)
    freshness.call_unanswered(NOW + 9 * S)
    assert ends_at(freshness, NOW + 9 * S + MAX_LAG_US)


def test_a_new_process_and_settings_without_a_grace_leave_no_time():
    freshness = ListFreshness(0, is_pushed=True)
    assert freshness.is_fresh(NOW)  # before it serves
    freshness.started(NOW)
    assert ends_at(freshness, NOW)
    freshness.line_arrived(NOW)
    freshness.watch_lost(NOW + 1)
    assert ends_at(freshness, NOW + 1)
