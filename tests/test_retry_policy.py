"""Tests of retries, hedges and of giving up requests."""

from helpers import S, make_balancer, make_balancer_with_origin, make_request, make_servers, route_after_miss

from ivystack.balancing.retry_policy import NEVER_EXECUTED
from ivystack.model import Done, Fail, Idempotency, Outcome, OutcomeDecision, Reject, Send, Wait


def test_a_possibly_executed_request_that_is_not_idempotent_is_not_sent_again():
    balancer = make_balancer(make_servers(4))
    request = make_request(Idempotency.NOT_IDEMPOTENT)
    balancer.route(request, 0)
    assert balancer.record_outcome(request.attempts[0], Outcome.ERROR, 10).decision == Fail()


def test_a_request_that_is_not_idempotent_is_sent_again_if_never_executed():
    for outcome in NEVER_EXECUTED - {Outcome.CACHE_MISS}:
        balancer = make_balancer(make_servers(4))
        request = make_request(Idempotency.NOT_IDEMPOTENT)
        balancer.route(request, 0)
        assert balancer.record_outcome(request.attempts[0], outcome, 10).decision == Wait()
        assert balancer.next_wakeup(10).due == [request] and isinstance(balancer.route(request, 10), Send)


def test_a_keyed_request_is_sent_again_only_within_its_window():
    balancer = make_balancer(make_servers(4))
    request = make_request(Idempotency.KEYED, dedup_window=S // 2)
    balancer.route(request, 0)
    assert isinstance(
        balancer.record_outcome(request.attempts[0], Outcome.ERROR, S * 6 // 10).decision, Reject
    )
    outside = make_request(Idempotency.KEYED, dedup_window=S // 2, dedup_group="zone")
    balancer.route(outside, 0)
    assert balancer.record_outcome(outside.attempts[0], Outcome.ERROR, S * 6 // 10).decision == Fail()


def test_no_hedge_is_sent_where_hedging_is_disabled():
    balancer = make_balancer(make_servers(4), hedging_enabled=False)
    request = make_request()
    balancer.route(request, 0)
    assert balancer.route(request, 500) == Wait() and len(request.attempts) == 1


def test_a_late_request_is_given_up_at_once():
    balancer = make_balancer(make_servers(4))
    request = make_request(latency_objective=S // 2)
    assert balancer.route(request, 0).timeout_at == S // 2
    assert isinstance(
        balancer.record_outcome(request.attempts[0], Outcome.TIMED_OUT, S // 2).decision, Reject
    )


def test_retries_respect_their_budget_and_come_after_first_attempts():
    balancer = make_balancer(make_servers(4))
    balancer.retry_budget.tokens = 0.5
    request = make_request()
    balancer.route(request, 0)
    balancer.record_outcome(request.attempts[0], Outcome.ERROR, 10)
    waiting = make_request(key=9)
    balancer.first_attempts.append(waiting)
    assert balancer.next_wakeup(10).due == [waiting, request] and isinstance(
        balancer.route(request, 10), Reject
    )


def test_an_answer_cancels_the_hedged_request():
    balancer = make_balancer(make_servers(4))
    request = make_request()
    balancer.route(request, 0)
    balancer.route(request, S // 4)
    assert balancer.record_outcome(request.attempts[0], Outcome.SUCCEEDED, S // 3) == OutcomeDecision(
        Done(), [request.attempts[1]]
    )


def test_a_cache_fill_continues_after_its_client_has_been_answered():
    balancer, _ = make_balancer_with_origin(retry_after=5)
    request, decision = route_after_miss(balancer, 0)
    assert isinstance(decision, Send) and decision.timeout_at > S  # after the latency objective
    assert balancer.next_wakeup(S - 1).due == []
    # The client is answered at the deadline, not when the attempt times out.
    assert balancer.next_wakeup(S).due == [request] and balancer.route(request, S) == Reject(5)
    request.concluded = True
    assert balancer.record_outcome(request.attempts[1], Outcome.SUCCEEDED, S + 1) == OutcomeDecision(
        Done(), []
    )
    write = make_request(Idempotency.KEYED, is_write=True, time_to_deadline=3 * S, dedup_window=9 * S)
    assert balancer.route(write, 0).timeout_at == S  # a write fills no cache


def test_an_invalid_request_fails_and_is_not_sent_elsewhere():
    balancer = make_balancer(make_servers(4))
    request = make_request()
    balancer.route(request, 0)
    balancer.route(request, S // 4)
    follow_up = balancer.record_outcome(request.attempts[0], Outcome.INVALID_REQUEST, S // 3)
    assert follow_up == OutcomeDecision(Fail(), [request.attempts[1]])


def test_a_partly_sent_request_is_not_sent_again():
    for idempotency, answer in ((Idempotency.IDEMPOTENT, Reject(5)), (Idempotency.NOT_IDEMPOTENT, Fail())):
        balancer = make_balancer(make_servers(4), retry_after=5)
        request = make_request(idempotency)
        balancer.route(request, 0)
        request.partly_sent = True
        follow_up = balancer.record_outcome(request.attempts[0], Outcome.ERROR, 10)
        assert follow_up == OutcomeDecision(answer, [])
