"""The states of a client's connection and the events that change them.

The table of transitions holds every pair of state and event that can occur; any other pair is a programming
error.
"""

from __future__ import annotations

import enum


class ClientState(enum.Enum):
    """The state of a client's connection."""

    UNUSED = "unused"  # no command has been answered
    ACTIVE = "active"  # a response is pending, or part of a command has arrived
    IDLE = "idle"  # no response is pending
    CLOSING_WHEN_IDLE = "closing-when-idle"  # closes after all writes, unless a command has arrived by then
    CLOSING = "closing"  # no longer read; closes after all responses are written
    ABORTED = "aborted"  # no longer read; the transport reports the close in the reactor's next turn
    CLOSED = "closed"

    # Members are unique objects.  Enum's hash is a Python function, too slow for several calls a request.
    __hash__ = object.__hash__

    @property
    def is_open(self) -> bool:
        """Whether commands are accepted and no close was requested."""
        return self in _OPEN

    @property
    def accepts_commands(self) -> bool:
        """Whether further commands are executed."""
        return self in _ACCEPTING


_OPEN = frozenset({ClientState.UNUSED, ClientState.ACTIVE, ClientState.IDLE})
_ACCEPTING = _OPEN | {ClientState.CLOSING_WHEN_IDLE}


class ClientEvent(enum.Enum):
    """An event that changes the state of a client's connection."""

    COMMAND_BEGUN = "command begun"  # bytes of a command have arrived
    REQUEST_ADMITTED = "request admitted"
    ALL_ANSWERED = "all answered"  # every response is written
    CLOSE_REQUESTED = "close requested"  # by the idle timeout, for lack of capacity or for a drain
    CLOSE_WITHDRAWN = "close withdrawn"  # a command has arrived before the close
    CLOSE_WITHDRAWN_UNUSED = (
        "close withdrawn unused"  # part of the first command has arrived before the close
    )
    INPUT_CLOSED = "input closed"  # after a protocol error, a hang-up or a response that broke off
    ABORTED = "aborted"
    LOST = "lost"

    __hash__ = object.__hash__  # for the same reason as in `ClientState`


class InvalidTransitionError(Exception):
    """An event occurred in a state in which it can't occur."""


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
        # A streamed response may break off after its connection was aborted or lost.
        (state.ABORTED, event.INPUT_CLOSED): state.ABORTED,
        (state.CLOSED, event.INPUT_CLOSED): state.CLOSED,
        (state.CLOSED, event.ABORTED): state.CLOSED,
    }
    for source in (*_ACCEPTING, state.CLOSING):
        table[source, event.INPUT_CLOSED] = state.CLOSING
    for source in (*_ACCEPTING, state.CLOSING, state.ABORTED):
        table[source, event.ABORTED] = state.ABORTED
        table[source, event.LOST] = state.CLOSED
    return table


TRANSITIONS = _transitions()


def next_state(state: ClientState, event: ClientEvent) -> ClientState:
    """Return the state that follows an event.

    :raises InvalidTransitionError: the event can't occur in this state
    """
    successor = TRANSITIONS.get((state, event))
    if successor is None:
        raise InvalidTransitionError(f"{event.value} while {state.value}")
    return successor
