"""The words of the simulator's line protocol, mapped to the terms of the code, and the adapter's errors.

A line is a JSON array that begins with a message's name.  Events come in batches, from START_BATCH to
END_BATCH; the answer to a batch is a line for each action and then BATCH_DONE.  Times and spans are
nanoseconds, but for the id of a timer, its point in time in microseconds.
"""

from __future__ import annotations

from ..model import Outcome, ServerState

# Messages of the adapter itself.
START_BATCH = "TURN"
END_BATCH = "END"
REGISTER_ENDPOINTS = "REGISTER"

# Events of one instance.
INSTANCE_STARTED = "UP"
INSTANCE_KILLED = "KILLED"
ENDPOINTS_CHANGED = "MEMBERS"
REQUEST_ARRIVED = "ASK"
ATTEMPT_ENDED = "FINISHED"
CLIENT_GONE = "CANCELLED_BY_CLIENT"
GOSSIP_RECEIVED = "INBOX"
# Events without content of their own: what is due is asked for after each batch.
IGNORED_EVENTS = ("TIMER", "CHECKED", "BEGUN")

# Actions.
SEND = "TRANSMIT"
REJECT = "DENY"
FAIL = "LOSE"
CANCEL = "CANCEL"
SET_TIMER = "SET_TIMER"
SEND_GOSSIP = "ANNOUNCE"
CLOSE_IDLE_CONNECTIONS = "RELEASE"
POLL_ENDPOINTS = "WATCH"
INSTANCE_FAILED = "GIVE_IN"
BATCH_DONE = "FINISHED"

# How an endpoint list came.
LIST_IS_DELTA = "D"  # only the entries that changed
LIST_IS_COMPLETE = "F"
LIST_ANSWERS_POLL = "C"  # complete; the watch that follows has brought nothing yet
LIST_FAILED = "X"  # the poll failed or the watch broke: no list
LIST_KINDS = (LIST_IS_DELTA, LIST_IS_COMPLETE, LIST_ANSWERS_POLL, LIST_FAILED)

ANSWERED_FROM_CACHE = 1  # what an ended attempt says of the server's cache

UNKNOWN_KIND = -2  # index of a machine kind that the settings do not name

OUTCOME_OF_WORD = {
    "completed": Outcome.SUCCEEDED,
    "errored": Outcome.ERROR,
    "saturated": Outcome.OVERLOADED,
    "overdue": Outcome.TIMED_OUT,
    "refused_conn": Outcome.CONNECTION_REFUSED,
    "severed": Outcome.CONNECTION_LOST,
    "recalled": Outcome.CANCELLED,
    "superseded": Outcome.NOT_SENT,
    "lookup_miss": Outcome.CACHE_MISS,
}
STATE_OF_WORD = {
    "active": ServerState.READY,
    "leaving": ServerState.DRAINING,
    "left": ServerState.GONE,
}


class BadLineError(Exception):
    """A line does not follow the protocol."""


class DecisionError(Exception):
    """The balancer of one instance raised an exception."""
