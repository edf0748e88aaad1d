"""Client of the consensus group, which runs in every proxy, whether a member or not.

A command may be sent several times but is executed at most once, because the group stores the last answers to
each client. The client therefore has at most :data:`COMMAND_WINDOW` commands in flight. At most
:data:`MAX_PENDING` requests are pending.
"""

from __future__ import annotations

from collections.abc import Callable
from dataclasses import dataclass
from random import Random
from typing import TYPE_CHECKING, Any

import msgspec

from .pending_requests import Requester
from .state_machine import ANSWERS_PER_SESSION
from .wire import MessageKind, Reply, Request, RequestKind

if TYPE_CHECKING:
    from ..mesh.mesh import Mesh
    from ..net.deadlines import Deadline, DeadlineQueue
    from .replica import Replica

MAX_PENDING = 64  # requests; half of what a replica accepts from one proxy
COMMAND_WINDOW = ANSWERS_PER_SESSION  # commands in flight, counted from the oldest pending one
REPLY_TIMEOUT = 1_000_000  # microseconds without a reply before the request is sent to another member
RETRY_DELAY = 50_000  # microseconds before a retry without a known leader, up to twice as long at random
REDIRECT_DELAY = RETRY_DELAY // 10  # used if a member has named the leader

Callback = Callable[[bool, Any], None]


@dataclass(eq=False, slots=True)
class PendingRequest:
    """A request without a reply; ``deadline`` in microseconds; ``command_number`` is 0 for a query."""

    number: int
    kind: RequestKind
    fields: list
    callback: Callback
    deadline: int
    command_number: int = 0
    member: str = ""  # the member that received the request last
    timer: Deadline | None = None


class Client:
    """Sends requests to the leader of the group, and retries at other members until a deadline."""

    def __init__(
        self, deadlines: DeadlineQueue, now: Callable[[], int], rng: Random, mesh: Mesh, members: list[str]
    ) -> None:
        """Create a client that does not know the leader yet; ``members`` are names of proxies."""
        self.deadlines, self.now, self.rng, self.mesh, self.members = deadlines, now, rng, mesh, members
        self.local: Replica | None = None
        self.leader = ""
        self.request_count = self.command_count = 0
        self.pending: dict[int, PendingRequest] = {}  # by number
        mesh.handlers[MessageKind.REPLY] = self._receive_reply

    def use_local_replica(self, replica: Replica) -> None:
        """Send requests for this proxy's replica directly, without a link."""
        self.local, replica.deliver_reply = replica, self._deliver_local_reply

    def execute(self, part: str, name: str, args: list, callback: Callback, timeout: int) -> bool:
        """Send a command.

        :param callback: called with True and the answer after the command was executed, or with False and
            None after ``timeout`` microseconds without a reply. The command may have been executed in that
            case, or may still be executed.
        :param timeout: in microseconds.
        :returns: False if too many requests are pending; the command is not sent then.
        """
        return self._submit(RequestKind.COMMAND, [part, name, args], callback, timeout)

    def query(self, part: str, name: str, args: list, callback: Callback, timeout: int) -> bool:
        """Query the state at the time of the call or later; the parameters are those of :meth:`execute`."""
        return self._submit(RequestKind.QUERY, [part, name, args], callback, timeout)

    def _submit(self, kind: RequestKind, fields: list, callback: Callback, timeout: int) -> bool:
        if len(self.pending) >= MAX_PENDING:
            return False
        self.request_count += 1
        request = PendingRequest(self.request_count, kind, fields, callback, self.now() + timeout)
        self.pending[request.number] = request
        if kind == RequestKind.COMMAND:
            self.command_count += 1
            request.command_number = self.command_count
            client_id = f"{self.mesh.name}/{self.mesh.incarnation}"
            request.fields = [client_id, self.command_count, *fields]
        self._attempt(request)
        return True

    def _attempt(self, request: PendingRequest) -> None:
        """Send a request to the presumed leader or, if there is none, to a random member."""
        if request.number not in self.pending:
            return
        now = self.now()
        if now >= request.deadline:
            return self._finish(request, False, None)
        delay = REPLY_TIMEOUT
        if not self._in_command_window(request):
            delay = RETRY_DELAY
        else:
            other_members = [name for name in self.members if name != request.member]
            leader_known = self.leader in self.members
            request.member = self.leader if leader_known else self.rng.choice(other_members or self.members)
            if not self._send(request):
                self.leader = ""
                delay = RETRY_DELAY
        request.timer = self.deadlines.call_at(min(request.deadline, now + delay), self._timed_out, request)

    def _in_command_window(self, request: PendingRequest) -> bool:
        """Return whether the group still stores enough answers to recognize a retry of the command."""
        command_numbers = [other.command_number for other in self.pending.values() if other.command_number]
        oldest_number = min(command_numbers, default=0)
        return request.command_number < oldest_number + COMMAND_WINDOW

    def _send(self, request: PendingRequest) -> bool:
        body = Request(request.number, request.kind, request.fields)
        if self.local is not None and request.member == self.mesh.name:
            # Called in a separate reactor turn, because the replica may reply within the call.
            self.deadlines.call_at(self.now(), self.local.receive_request, request.member, body, True)
            return True
        return self.mesh.send(request.member, MessageKind.REQUEST, body)

    def _timed_out(self, request: PendingRequest) -> None:
        if request.member == self.leader:
            self.leader = ""
        self._attempt(request)

    def _deliver_local_reply(self, requester: Requester, reply: Reply) -> None:
        if requester.link is None:
            self._handle_reply(self.mesh.name, reply)
        elif self.local is not None:
            self.local.send_reply(requester, reply)

    def _receive_reply(self, sender: str, body: Any) -> None:
        if sender in self.members:
            self._handle_reply(sender, msgspec.convert(body, Reply))

    def _handle_reply(self, sender: str, reply: Reply) -> None:
        request = self.pending.get(reply.number)
        if request is None or sender != request.member:
            return
        if reply.accepted:
            self.leader = sender
            return self._finish(request, True, reply.answer)
        named_leader = reply.answer
        other_member = (
            isinstance(named_leader, str) and named_leader in self.members and named_leader != sender
        )
        self.leader = named_leader if other_member else ""
        if request.timer is not None:
            request.timer.cancel()
        delay = REDIRECT_DELAY if self.leader else int(RETRY_DELAY * (1 + self.rng.random()))
        request.timer = self.deadlines.call_at(self.now() + delay, self._attempt, request)

    def _finish(self, request: PendingRequest, accepted: bool, answer: Any) -> None:
        if request.timer is not None:
            request.timer.cancel()
        self.pending.pop(request.number, None)
        request.callback(accepted, answer)
