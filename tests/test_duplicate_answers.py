"""Answers that a server sends twice on one connection, at any delay."""

import pytest
from helpers import connect_client, encode_get, encode_hit, make_proxy, open_server_connection
from test_rig import run_ivystack

from ivystack.model import Outcome
from ivystack.net.reply_verifier import PING, Reply, ReplyVerifier, SurplusRepliesError, fingerprint
from ivystack.net.resp import MAX_BUFFERED_VALUE, encode_bulk

PONG = b"+PONG\r\n"
LONG = b"x" * (MAX_BUFFERED_VALUE + 1)


def answer_first_request(value=b"first"):
    """Return a proxy, its client and the server connection, on which a second request is in flight."""
    proxy = make_proxy()
    client = connect_client(proxy)
    client.dataReceived(encode_get(b"1"))
    connection = open_server_connection(proxy)
    connection.dataReceived(encode_hit(value))
    assert client.transport.take_output() == encode_bulk(value)
    client.dataReceived(encode_get(b"2"))
    assert [in_flight.frame.request_id for in_flight in connection.in_flight] == [b"2"]
    connection.transport.take_output()
    return proxy, client, connection


@pytest.mark.parametrize("delay", [0, 0.004, 0.006, 0.015, 0.4])
def test_a_late_copy_is_dropped_and_the_request_gets_its_own_answer(delay):
    # Guards against a client being served with the answer to the request before (review case 2).
    proxy, client, connection = answer_first_request()
    proxy.reactor.advance(delay)
    connection.dataReceived(encode_hit(b"first"))
    assert client.transport.take_output() == b"" and connection.transport.take_output() == PING
    connection.dataReceived(encode_hit(b"second") + PONG)
    assert client.transport.take_output() == encode_bulk(b"second")
    assert connection in proxy.server_pools.idle_connections


def test_a_true_answer_equal_to_the_one_before_is_served_after_the_pong():
    proxy, client, connection = answer_first_request()
    connection.dataReceived(encode_hit(b"first"))
    connection.dataReceived(PONG)
    assert client.transport.take_output() == encode_bulk(b"first")
    assert connection in proxy.server_pools.idle_connections


def test_a_copy_with_another_load_report_is_recognized():
    _, client, connection = answer_first_request()
    connection.dataReceived(encode_hit(b"first", report=b'{"qps": 5}'))
    assert client.transport.take_output() == b""


def test_a_copy_that_a_quick_answer_overtook_is_recognized():
    _, client, connection = answer_first_request()
    connection.dataReceived(encode_hit(b"second"))
    client.transport.take_output()
    client.dataReceived(encode_get(b"3"))
    connection.dataReceived(encode_hit(b"first") + encode_hit(b"third") + PONG)
    assert client.transport.take_output() == encode_bulk(b"third")


def test_copies_of_error_answers_are_recognized():
    # A copy of -ERR that ends an attempt would leave its true answer to the next one.
    proxy = make_proxy()
    client = connect_client(proxy)
    client.dataReceived(encode_get(b"1", fields=b"c=pay,d=500"))
    connection = open_server_connection(proxy)
    connection.dataReceived(b"-ERR failed\r\n")
    client.dataReceived(encode_get(b"2"))
    client.transport.take_output()
    connection.dataReceived(b"-ERR failed\r\n" + encode_hit(b"second") + PONG)
    assert client.transport.take_output() == encode_bulk(b"second")


def test_a_request_whose_answer_is_held_back_ends_in_time():
    proxy, client, connection = answer_first_request()
    connection.dataReceived(encode_hit(b"first"))
    proxy.reactor.pump([0.05] * 12)
    assert client.transport.take_output().startswith(b"-")
    connection.dataReceived(encode_hit(b"second") + PONG)  # discarded
    assert client.transport.take_output() == b"" and not proxy.request_handler.in_flight


@pytest.mark.parametrize("after_long_value", [False, True])
def test_a_server_that_answers_a_ping_with_an_error_fails_the_attempt_at_once(after_long_value):
    # Guards against an attempt that waits for a PONG that never comes, up to its timeout.
    proxy, client, connection = answer_first_request(LONG if after_long_value else b"first")
    connection.dataReceived(b"" if after_long_value else encode_hit(b"first"))
    connection.dataReceived(b"-ERR draining\r\n")
    assert connection.transport.disconnected
    assert all(in_flight.has_ended for in_flight in connection.in_flight)
    assert encode_bulk(b"first") not in client.transport.value()


def make_replies(letters):
    return [Reply(Outcome.SUCCEEDED, [value], fingerprint([value.encode()])) for value in letters]


@pytest.mark.parametrize(
    ("earlier", "held", "expected", "answers"),
    [
        ("a", "a", 1, "a"),
        ("a", "ab", 1, "b"),
        ("a", "aab", 1, "b"),
        ("a", "abb", 1, "b"),
        ("a", "abc", 2, "bc"),
        ("a", "ab", 2, "ab"),
        ("a", "aa", 1, "a"),
        ("ab", "ab", 2, "ab"),
        ("a", "abb", 2, None),  # either of two replies may be the copy
        ("a", "a", 2, None),
        ("a", "abc", 1, None),  # a surplus reply that is no copy
    ],
)
def test_held_replies_are_matched_only_if_it_is_certain_which_are_copies(earlier, held, expected, answers):
    verifier = ReplyVerifier()
    for reply in make_replies(earlier):
        verifier.record(reply)
    for reply in make_replies(held):
        verifier.hold(reply)
    if answers is None:
        with pytest.raises(SurplusRepliesError):
            verifier.resolve(expected)
    else:
        assert "".join(reply.value[0] for reply in verifier.resolve(expected)) == answers
    assert not verifier.held_count


def test_real_processes_serve_no_late_copy():
    # Guards against a client being served with an answer that no server made for its request (issue 63).
    code, output, _ = run_ivystack("rig", "play", "late-copies", "--seconds", "5", "--quiet")
    assert code == 0, output
