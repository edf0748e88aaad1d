"""The states of a client's connection and the events that change them.

The table holds every pair of state and event that can occur; any other is a programming error.
"""

from __future__ import annotations

import enum


class ClientState(enum.Enum):
    """What a client's connection is doing."""

    UNUSED = "unused"  # no command has been answered
    ACTIVE = "active"  # a response is owed, or a command has begun
    IDLE = "idle"  # no response is owed
    CLOSING_WHEN_IDLE = "closing-when-idle"  # ends once all is written, unless a command has arrived by then
    CLOSING = "closing"  # not read any more; ends once all responses are written
    ABORTED = "aborted"  # not read any more; the transport reports the end in the reactor's next turn
    CLOSED = "closed"

    # Members are unique objects; Enum's own hash is a Python function, called several times a request.
    __hash__ = object.__hash__

    @property
    def is_open(self) -> bool:
        """Whether commands are accepted and nothing has asked for the end."""
        return self in _OPEN

    @property
    def accepts_commands(self) -> bool:
        """Whether a command that arrives is executed."""
        return self in _ACCEPTING


_OPEN = frozenset({ClientState.UNUSED, ClientState.ACTIVE, ClientState.IDLE})
_ACCEPTING = _OPEN | {ClientState.CLOSING_WHEN_IDLE}


class ClientEvent(enum.Enum):
    """What changes the state of a client's connection."""

    COMMAND_BEGUN = "command begun"  # bytes of a command have arrived
    REQUEST_ADMITTED = "request admitted"
    ALL_ANSWERED = "all answered"  # every response is written
    CLOSE_REQUESTED = "close requested"  # by the idle timeout, for want of capacity or for a drain
    CLOSE_WITHDRAWN = "close withdrawn"  # a command has arrived before the end
    CLOSE_WITHDRAWN_UNUSED = "close withdrawn unused"  # half a command, on a connection without any before
    INPUT_CLOSED = "input closed"  # by an error of the protocol, a hang-up or a response that broke off
    ABORTED = "aborted"
    LOST = "lost"

    __hash__ = object.__hash__  # as above


class InvalidTransitionError(Exception):
    """An event occurred in a state in which it can't."""


def _transitions() -> dict[tuple[ClientState, ClientEvent], ClientState]:
    state, event = ClientState, ClientEvent
    table = {
        (state.UNUSED, event.COMMAND_BEGUN): state.UNUSED,
        (state.ACTIVE, event.COMMAND_BEGUN): state.ACTIVE,
        (state.IDLE, event.COMMAND_BEGUN): state.ACTIVE,
        (state.CLOSING_WHEN_IDLE, event.COMMAND_BEGUN): state.CLOSING_WHEN_IDLE,
        (state.UNUSED, event.REQUEST_ADMITTED): state.ACTIVE,
        (state.ACTIVE, event.REQUEST_ADMITTED): state.ACTIVE,
        (state.CLOSING_WHEN_IDLE, event.REQUEST_ADMITTED): state.CLOSING_WHEN_IDLE,
        (state.UNUSED, event.ALL_ANSWERED): state.IDLE,
        (state.ACTIVE, event.ALL_ANSWERED): state.IDLE,
        (state.IDLE, event.ALL_ANSWERED): state.IDLE,
        (state.UNUSED, event.CLOSE_REQUESTED): state.CLOSING_WHEN_IDLE,
        (state.ACTIVE, event.CLOSE_REQUESTED): state.CLOSING_WHEN_IDLE,
        (state.IDLE, event.CLOSE_REQUESTED): state.CLOSING_WHEN_IDLE,
        (state.CLOSING_WHEN_IDLE, event.CLOSE_WITHDRAWN): state.ACTIVE,
        (state.CLOSING_WHEN_IDLE, event.CLOSE_WITHDRAWN_UNUSED): state.UNUSED,
        # A stream may break off after its connection was aborted or lost, which changes nothing.
        (state.ABORTED, event.INPUT_CLOSED): state.ABORTED,
        (state.CLOSED, event.INPUT_CLOSED): state.CLOSED,
        (state.CLOSED, event.ABORTED): state.CLOSED,
    }
    for each in (*_ACCEPTING, state.CLOSING):
        table[each, event.INPUT_CLOSED] = state.CLOSING
    for each in (*_ACCEPTING, state.CLOSING, state.ABORTED):
        table[each, event.ABORTED] = state.ABORTED
        table[each, event.LOST] = state.CLOSED
    return table


TRANSITIONS = _transitions()


def next_state(state: ClientState, event: ClientEvent) -> ClientState:
    """Return the state after an event.

    :raises InvalidTransitionError: the event can't occur in that state
    """
    following = TRANSITIONS.get((state, event))
    if following is None:
        raise InvalidTransitionError(f"{event.value} while {state.value}")
    return following
