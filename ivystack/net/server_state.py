"""The states of a connection to a cache server."""

from __future__ import annotations

import enum


class ConnectionState(enum.Enum):
    """The states of a connection, in their order; IDLE and BUSY alternate, and FINISHING may be left out."""

    CONNECTING = "connecting"
    IDLE = "idle"  # in its pool's queue of idle connections
    BUSY = "busy"  # attempts are in flight, or bytes after the last answer are still to be read
    FINISHING = "finishing"  # the same, to a process that is gone or has moved: closes after its last answer
    CLOSING = "closing"  # closed or aborted by this process; the transport has not ended yet
    CLOSED = "closed"
