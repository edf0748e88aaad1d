"""The state of a client's request between its admission and its final answer."""

from __future__ import annotations

from collections.abc import Callable
from dataclasses import dataclass

from ..model import Request
from .deadlines import Deadline
from .reply import Reply
from .request_frame import RequestFrame
from .streams import RequestStream


@dataclass(eq=False, slots=True)
class ActiveRequest:
    """A request without an answer: its command, the callback that answers it, and its deadlines."""

    request: Request
    frame: RequestFrame
    reply: Callable[[Reply], None]  # called at most once
    upload: RequestStream | None  # the value of a long write
    admitted_at: int  # microseconds; for a long write, when its header had arrived
    client_timeout: int  # microseconds that the client waits
    is_connected: Callable[[], bool]  # whether the client is still connected
    slot: int = -1  # in the table of active requests
    answer_deadline: Deadline | None = None  # fails the request if nothing else has answered it
    placement_deadline: Deadline | None = None  # rejects a long write that was sent to no server

    def cancel_deadlines(self) -> None:
        """Cancel the answer and placement deadlines."""
        if self.answer_deadline is not None:
            self.answer_deadline.cancel()
        if self.placement_deadline is not None:
            self.placement_deadline.cancel()
