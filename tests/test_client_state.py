"""The states of a client's connection: every pair of state and event is in this table, or is refused."""

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
# By state, what follows each of these events; "-": it can't occur.
TABLE = {
    "unused": "unused active idle closing-when-idle - - closing aborted closed",
    "active": "active active idle closing-when-idle - - closing aborted closed",
    "idle": "active - idle closing-when-idle - - closing aborted closed",
    "closing-when-idle": "closing-when-idle closing-when-idle - - active unused closing aborted closed",
    "closing": "- - - - - - closing aborted closed",
    "aborted": "- - - - - - aborted aborted closed",
    "closed": "- - - - - - closed closed -",
}


def test_every_state_and_event_is_in_the_table_or_refused():
    assert [event.value for event in ClientEvent] == EVENTS
    assert [state.value for state in ClientState] == [*TABLE]
    for state, event in itertools.product(ClientState, ClientEvent):
        following = TABLE[state.value].split()[EVENTS.index(event.value)]
        if following == "-":
            assert (state, event) not in TRANSITIONS
            with pytest.raises(InvalidTransitionError, match=f"{event.value} while {state.value}"):
                next_state(state, event)
        else:
            assert next_state(state, event) is ClientState(following)


def test_only_open_connections_and_those_to_be_closed_when_idle_accept_commands():
    accepting = {state for state in ClientState if state.accepts_commands}
    assert accepting == {
        ClientState.UNUSED,
        ClientState.ACTIVE,
        ClientState.IDLE,
        ClientState.CLOSING_WHEN_IDLE,
    }
    assert {state for state in ClientState if state.is_open} == accepting - {ClientState.CLOSING_WHEN_IDLE}


def test_a_connections_state_follows_its_commands_and_responses():
    made = make_proxy()
    asking = connect_client(made)
    server = made.client_server
    assert asking.state is ClientState.UNUSED and [*server.unused_connections] == [asking]
    asking.dataReceived(encode_get()[:10])
    assert asking.state is ClientState.UNUSED
    asking.dataReceived(encode_get()[10:])
    assert asking.state is ClientState.ACTIVE and not server.unused_connections
    open_server_connection(made).dataReceived(encode_hit())
    assert asking.state is ClientState.IDLE and [*server.idle_connections] == [asking]
    asking.dataReceived(b"*")
    assert asking.state is ClientState.ACTIVE and not server.idle_connections
    asking.connectionLost(Failure(ConnectionDone()))
    assert asking.state is ClientState.CLOSED and not server.connections


def test_a_connection_that_was_to_close_is_as_before_once_a_command_has_arrived():
    made = make_proxy()
    unused, used = connect_client(made), connect_client(made)
    used.dataReceived(encode_command(b"PING"))
    for one in (unused, used):
        one.close_when_idle("idle")
        assert one.state is ClientState.CLOSING_WHEN_IDLE and one.may_close()
        one.dataReceived(encode_get()[:10])
        assert not one.may_close() and one.code is None
    assert (unused.state, used.state) == (ClientState.UNUSED, ClientState.ACTIVE)
    assert [*made.client_server.unused_connections] == [unused] and not made.client_server.closing_connections


def test_input_is_closed_exactly_while_no_commands_are_accepted():
    made = make_proxy()
    failing, aborting, lost = connect_client(made), connect_client(made), connect_client(made)
    ends = [
        (failing, lambda: failing.dataReceived(encode_get() + b"?\r\n"), ClientState.CLOSING),
        (aborting, lambda: aborting.abort("slow-reader"), ClientState.ABORTED),
        (lost, lambda: lost.connectionLost(Failure(ConnectionDone())), ClientState.CLOSED),
    ]
    for one, end, state in ends:
        assert one.state.accepts_commands and not one.input_closed
        end()
        assert one.state is state and not one.state.accepts_commands and one.input_closed
    made.reactor.advance(aborting.COMMAND_TIMEOUT / S + 1)
    assert aborting.state is ClientState.ABORTED and not failing.transport.value().startswith(b"-ERR")
