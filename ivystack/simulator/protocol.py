"""The names of the simulator's line protocol, mapped to the terms of the code, and the adapter's errors.

A line is a JSON array that begins with the name of a message.  Events arrive in batches, from START_BATCH to
END_BATCH.  The answer to a batch is one line for each action, followed by BATCH_DONE.  Times and durations
are nanoseconds, except for the id of a timer, which is the time in microseconds at which the timer fires.
"""

from __future__ import annotations

from ..model import Outcome, ServerState

# Messages to the adapter itself
START_BATCH = "TURN"
END_BATCH = "END"
REGISTER_ENDPOINTS = "REGISTER"

# Events of one instance
INSTANCE_STARTED = "UP"
INSTANCE_KILLED = "KILLED"
ENDPOINTS_CHANGED = "MEMBERS"
REQUEST_ARRIVED = "ASK"
ATTEMPT_ENDED = "FINISHED"
CLIENT_GONE = "CANCELLED_BY_CLIENT"
GOSSIP_RECEIVED = "INBOX"
# Events that carry no data and need no handling, because due actions are collected at the end of every batch.
IGNORED_EVENTS = ("TIMER", "CHECKED", "BEGUN")

# Actions
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

# Kinds of endpoint lists
LIST_IS_DELTA = "D"  # only the changed entries
LIST_IS_COMPLETE = "F"
LIST_ANSWERS_POLL = "C"  # complete list in answer to a poll; the watch has not delivered an update yet
LIST_FAILED = "X"  # no list, because the poll failed or the watch broke
LIST_KINDS = (LIST_IS_DELTA, LIST_IS_COMPLETE, LIST_ANSWERS_POLL, LIST_FAILED)

ANSWERED_FROM_CACHE = 1  # value of ATTEMPT_ENDED's `cache_info` for a cache hit at the server

UNKNOWN_KIND = -2  # index of a machine kind that is missing from the settings

OUTCOME_BY_NAME = {
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
STATE_BY_NAME = {
    "active": ServerState.READY,
    "leaving": ServerState.DRAINING,
    "left": ServerState.GONE,
}


class MalformedLineError(Exception):
    """A line does not follow the protocol."""


class BalancerError(Exception):
    """The balancer of one instance raised an exception."""
