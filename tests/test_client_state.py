"""The states of a client's connection and their transitions."""

import itertools

import pytest
from helpers import S, connect_client, encode_get, encode_hit, open_server_connection, make_proxy
from twisted.internet.error import ConnectionDone
from twisted.python.failure import Failure

from ivystack.net.client_state import (
    TRANSITIONS,
    ClientEvent,
    ClientState,
    InvalidTransitionError,
    next_state,
)
from ivystack.net.resp import encode_command

EVENTS = [
    "command begun", "request admitted", "all answered", "close requested", "close withdrawn",
    "close withdrawn unused", "input closed", "aborted", "lost",
]  # fmt: skip
# For each state, the successor after each of these events; "-" if the event can't occur.
TABLE = {
    "unused": "unused active idle closing-when-idle - - closing aborted closed",
    "active": "active active idle closing-when-idle - - closing aborted closed",
    "idle": "active - idle closing-when-idle - - closing aborted closed",
    "closing-when-idle": "closing-when-idle closing-when-idle - - active unused closing aborted closed",
    "closing": "- - - - - - closing aborted closed",
    "aborted": "- - - - - - aborted aborted closed",
    "closed": "- - - - - - closed closed -",
}


def test_the_transition_table_is_complete_and_other_pairs_are_refused():
    assert [event.value for event in ClientEvent] == EVENTS
    assert [state.value for state in ClientState] == [*TABLE]
    for state, event in itertools.product(ClientState, ClientEvent):
        successor = TABLE[state.value].split()[EVENTS.index(event.value)]
        if successor == "-":
            assert (state, event) not in TRANSITIONS
            with pytest.raises(InvalidTransitionError, match=f"{event.value} while {state.value}"):
                next_state(state, event)
        else:
            assert next_state(state, event) is ClientState(successor)


def test_only_open_connections_and_those_closing_when_idle_accept_commands():
    accepting = {state for state in ClientState if state.accepts_commands}
    assert accepting == {
        ClientState.UNUSED,
        ClientState.ACTIVE,
        ClientState.IDLE,
        ClientState.CLOSING_WHEN_IDLE,
    }
    assert {state for state in ClientState if state.is_open} == accepting - {ClientState.CLOSING_WHEN_IDLE}


def test_the_state_follows_commands_and_responses():
    proxy = make_proxy()
    client = connect_client(proxy)
    server = proxy.client_server
    assert client.state is ClientState.UNUSED and [*server.unused_connections] == [client]
    client.dataReceived(encode_get()[:10])
    assert client.state is ClientState.UNUSED
    client.dataReceived(encode_get()[10:])
    assert client.state is ClientState.ACTIVE and not server.unused_connections
    open_server_connection(proxy).dataReceived(encode_hit())
    assert client.state is ClientState.IDLE and [*server.idle_connections] == [client]
    client.dataReceived(b"*")
    assert client.state is ClientState.ACTIVE and not server.idle_connections
    client.connectionLost(Failure(ConnectionDone()))
    assert client.state is ClientState.CLOSED and not server.connections


def test_a_command_that_arrives_withdraws_the_close():
    proxy = make_proxy()
    unused, used = connect_client(proxy), connect_client(proxy)
    used.dataReceived(encode_command(b"PING"))
    for client in (unused, used):
        client.close_when_idle("idle")
        assert client.state is ClientState.CLOSING_WHEN_IDLE and client.may_close()
        client.dataReceived(encode_get()[:10])
        assert not client.may_close() and client.code is None
    assert (unused.state, used.state) == (ClientState.UNUSED, ClientState.ACTIVE)
    assert [*proxy.client_server.unused_connections] == [
        unused
    ] and not proxy.client_server.closing_connections


def test_input_is_closed_exactly_if_no_commands_are_accepted():
    proxy = make_proxy()
    failing, aborting, lost = connect_client(proxy), connect_client(proxy), connect_client(proxy)
    cases = [
        (failing, lambda: failing.dataReceived(encode_get() + b"?\r\n"), ClientState.CLOSING),
        (aborting, lambda: aborting.abort("slow-reader"), ClientState.ABORTED),
        (lost, lambda: lost.connectionLost(Failure(ConnectionDone())), ClientState.CLOSED),
    ]
    for client, end, state in cases:
        assert client.state.accepts_commands and not client.input_closed
        end()
        assert client.state is state and not client.state.accepts_commands and client.input_closed
    proxy.reactor.advance(aborting.COMMAND_TIMEOUT / S + 1)
    assert aborting.state is ClientState.ABORTED and not failing.transport.value().startswith(b"-ERR")
