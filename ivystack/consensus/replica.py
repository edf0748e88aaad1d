"""A replica of the consensus group in a proxy: connects the Raft core to mesh, storage, timers and clients.

In this package a replica is a member of the group, not a copy of a cached key. Storage runs on other threads.
A command is answered after its entry is applied. After a failed write or step it withdraws until a restart.
"""

from __future__ import annotations

from collections.abc import Callable
from dataclasses import dataclass
from pathlib import Path
from typing import Any

import msgspec
from loguru import logger

from ..mesh.protocol import DropCode
from ..net.deadlines import Deadline
from .core import Core
from .environment import Environment, Timing
from .errors import FaultCode, StorageError, UnknownEntryError
from .membership import proxy_name, replica_id
from .membership_manager import MembershipManager
from .messages import Entry, EntryKind, Snapshot, encode
from .pending_requests import PendingCommand, PendingQuery, PendingRequests, Requester
from .records import Ready, Role
from .state_machine import StateMachine
from .storage import Storage, StoredState
from .wire import Envelope, MessageKind, Reply, Request, RequestKind

REOPEN_DELAY = 1_000_000  # microseconds before an unusable directory is opened again
SNAPSHOT_INTERVAL = 1024  # applied entries; bounds the number that a restart replays
MAX_COMMAND_BYTES = 32_768  # entries must fit a message together, or they never reach a follower
MAX_PENDING_PER_PROXY = 128  # requests; the client in each proxy sends at most half as many
APPLY_BATCH = 64  # entries per reactor turn: well under a millisecond, replies included
RECOVERABLE = (FaultCode.INCOMPLETE, FaultCode.STALE, FaultCode.CORRUPT)  # by rejoining as a new replica


@dataclass(frozen=True, slots=True)
class CommittedEntry:
    """A committed entry that is not applied yet."""

    index: int
    entry: Entry


@dataclass(frozen=True, slots=True)
class ConfirmedRead:
    """A query that may be answered after all entries before it in the backlog are applied."""

    read_id: int


class Replica:
    """The replica of this process; ``core`` is None while the storage is unusable and after a withdrawal."""

    def __init__(
        self,
        env: Environment,
        name: str,
        configured_members: list[str],
        directory: Path,
        state_machine: StateMachine,
        timing: Timing,
    ) -> None:
        """Create the replica of proxy ``name``; ``configured_members`` are names in the file's order."""
        self.env, self.mesh, self.timing = env, env.mesh, timing
        self.name, self.configured_members, self.directory = name, configured_members, directory
        self.state_machine = state_machine
        self.storage: Storage | None = None
        self.core: Core | None = None
        self.id = ""
        self.opening = True
        self.fault: FaultCode | None = None  # the reason why there is no core
        self.stopped = False
        self.pending = PendingRequests()
        self.request_count = 0  # number of the latest read or locally proposed command
        self.backlog: list[CommittedEntry | ConfirmedRead] = []
        self.applied_index = 0
        self.applied_since_snapshot = 0
        self.known_leader = ""
        self.membership = MembershipManager(self)
        self._tick_timer: Deadline | None = None
        self.state_observers: list[Callable[[], None]] = []  # called after each change of the state machine
        self.deliver_reply = self.send_reply
        # Returns whether a process (name/incarnation) may send a request (part, name, args).
        self.authorize: Callable[[str, Any, Any, Any], bool] = lambda client, part, name, args: True
        # Called with part, name, args and answer of each answered query.
        self.query_answered: Callable[[str, str, list, Any], None] = lambda part, name, args, answer: None
        self.mesh.handlers[MessageKind.RAFT] = self.receive_raft
        self.mesh.handlers[MessageKind.ANNOUNCEMENT] = self.membership.receive
        self.mesh.handlers[MessageKind.REQUEST] = self.receive_request

    # --- Start and stop ---

    def start(self) -> None:
        """Open the storage on another thread, then join the group."""
        self.env.reactor.callInThread(self._open_storage)

    def stop(self) -> None:
        """Stop the replica after its queued write batches are written."""
        self.stopped = True
        self._stop_core()
        if self.storage is not None:
            self.storage.stop()

    def transfer_leadership(self) -> None:
        """Transfer leadership to another replica, if this one leads, before a planned shutdown."""
        if self.core is not None and self.core.role == Role.LEADER:
            self.core.transfer_leadership(self.env.now())
            self.process_ready()

    def _open_storage(self) -> None:
        call_in_reactor = self.env.reactor.callFromThread
        storage = Storage(self.directory, call_in_reactor, self._write_failed)
        try:
            try:
                stored = storage.open()
            except StorageError as error:
                if error.code not in RECOVERABLE:
                    raise
                aside = storage.set_aside(error.code)
                call_in_reactor(self._report_set_aside, str(error), aside)
                stored = storage.open()
        except StorageError as error:
            storage.close()
            call_in_reactor(self._open_failed, error)
        except Exception as error:  # the directory can't be renamed, or another disk error
            storage.close()
            failure = StorageError(FaultCode.UNWRITABLE, f"{self.directory}: {error}")
            call_in_reactor(self._open_failed, failure)
        else:
            call_in_reactor(self._opened, storage, stored)

    def _report_set_aside(self, reason: str, aside: Path) -> None:
        logger.error(
            "group: storage unusable, rejoining as a new replica: {}; directory moved to {}", reason, aside
        )

    def _open_failed(self, error: StorageError) -> None:
        if self.fault != error.code:
            logger.error("group: could not open the replica's storage code={} {}", error.code, error)
        self.fault = error.code
        if error.code != FaultCode.NEWER_FORMAT and not self.stopped:
            self.env.deadlines.call_at(self.env.now() + REOPEN_DELAY, self.start)

    def _opened(self, storage: Storage, stored: StoredState) -> None:
        if self.stopped:
            return storage.stop()
        self.storage, self.id = storage, replica_id(self.name, stored.incarnation)
        self.opening, self.fault = False, None
        storage.start()
        last_index = stored.snapshot.index + len(stored.entries)
        self._start_core(stored)
        if self.core is None:  # the snapshot was written by a newer version
            return
        logger.info("group: replica started member={} term={} entries={}", self.id, stored.term, last_index)
        self.membership.run()

    def _start_core(self, stored: StoredState) -> None:
        self.core = Core(
            self.id,
            self.env.now(),
            self.env.rng,
            self.timing.heartbeat_interval,
            self.timing.election_timeout,
            term=stored.term,
            voted_for=stored.voted_for,
            snapshot=stored.snapshot,
            entries=stored.entries,
        )
        self._run_or_withdraw(self._restore, stored.snapshot)
        self.process_ready()

    def _write_failed(self, reason: str) -> None:
        self._withdraw(FaultCode.WRITE_FAILED, reason)

    def _withdraw(self, code: FaultCode, reason: str) -> None:
        """Leave the group until the process restarts."""
        if self.fault == code:
            return
        logger.error("group: replica withdrawn until the proxy restarts code={} {}", code, reason)
        self.fault = code
        self._release_requests()
        self._stop_core()

    def _stop_core(self) -> None:
        self.core = None
        if self._tick_timer is not None:
            self._tick_timer.cancel()

    def process_ready(self) -> None:
        """Execute the work that the core has ready, and schedule its next tick."""
        if self.core is not None:
            self._run_or_withdraw(self._drain_ready)
        if self.core is not None:
            if self._tick_timer is not None:
                self._tick_timer.cancel()
            self._tick_timer = self.env.deadlines.call_at(self.core.wake_at, self._tick)

    def _run_or_withdraw(self, call: Callable, *args: Any) -> None:
        """Call a function; withdraw if it fails, because it may have been executed in part."""
        try:
            call(*args)
        except UnknownEntryError as error:
            self._withdraw(FaultCode.NEWER_FORMAT, str(error))
        except Exception as error:
            logger.exception("group: unexpected error in the replica")
            self._withdraw(FaultCode.INTERNAL, f"{type(error).__name__}: {error}")

    def _tick(self) -> None:
        if self.core is not None:
            self.core.tick(self.env.now())
            self.process_ready()

    def _drain_ready(self) -> None:
        while self.core is not None:
            ready = self.core.take_ready(self.env.now())
            if ready.withdrawn:
                reason = "the disk has lost entries that this replica had acknowledged"
                return self._withdraw(FaultCode.STALE, reason)
            self._handle_ready(ready)
            if ready.is_empty():
                break
        self._apply_batch()
        self._observe_leadership()

    def _handle_ready(self, ready: Ready) -> None:
        if ready.restore is not None:
            self.backlog = []
            self._restore(ready.restore)
        if ready.batch is not None and self.storage is not None:
            self.storage.save(ready.batch, self._written)
        for receiver, message in ready.messages:
            envelope = Envelope(self.id, receiver, message)
            self.mesh.send(proxy_name(receiver), MessageKind.RAFT, envelope)
        self.backlog += [CommittedEntry(index, entry) for index, entry in ready.committed]
        for read_id in ready.failed_reads:
            query = self.pending.pop_query(read_id)
            self._reject(query.requester, query.number)
        self.backlog += [ConfirmedRead(read_id) for read_id in ready.confirmed_reads]

    def _written(self, number: int) -> None:
        if self.core is not None:
            self.core.handle_written(number, self.env.now())
            self.process_ready()

    def _apply_batch(self) -> None:
        """Apply up to APPLY_BATCH items of the backlog; later reactor turns apply the rest."""
        if self.core is None or not self.backlog:
            return
        batch, self.backlog = self.backlog[:APPLY_BATCH], self.backlog[APPLY_BATCH:]
        for item in batch:
            if isinstance(item, ConfirmedRead):
                self._answer_query(item.read_id)
            else:
                self._apply(item.index, item.entry)
        entries_left = any(isinstance(item, CommittedEntry) for item in self.backlog)
        if self.applied_since_snapshot >= SNAPSHOT_INTERVAL and not entries_left:
            self.applied_since_snapshot = 0
            self.core.compact(self.applied_index, self.state_machine.dump())
        self._notify_observers()
        if self.backlog:
            self.env.reactor.callLater(0, self._apply_next_batch)

    def _apply_next_batch(self) -> None:
        self._run_or_withdraw(self._apply_batch)
        self.process_ready()

    def _apply(self, index: int, entry: Entry) -> None:
        answer = self.state_machine.apply(entry.data) if entry.kind == EntryKind.DATA else None
        self.applied_index = index
        command = self.pending.pop_command(index)
        if command is not None and command.term == entry.term:
            self.deliver_reply(command.requester, Reply(command.number, True, answer))
        elif command is not None:  # another leader's entry has replaced the command's
            self._reject(command.requester, command.number)
        self.applied_since_snapshot += 1

    def _answer_query(self, read_id: int) -> None:
        query = self.pending.pop_query(read_id)
        part, name, args = query.fields
        try:
            answer = self.state_machine.query(part, name, args)
        except (KeyError, TypeError, ValueError, IndexError):  # an unknown query
            answer = None
        self.query_answered(part, name, args, answer)
        self.deliver_reply(query.requester, Reply(query.number, True, answer))

    def _restore(self, snapshot: Snapshot) -> None:
        self.state_machine.load(snapshot.data)
        self.applied_index, self.applied_since_snapshot = snapshot.index, 0
        self._notify_observers()

    def _notify_observers(self) -> None:
        for observer in self.state_observers:
            observer()

    def _observe_leadership(self) -> None:
        core = self.core
        if core is None:
            return
        if core.role != Role.LEADER and self.pending:
            self._release_requests()
        if core.leader != self.known_leader:
            self.known_leader = core.leader
            logger.info("group: leader changed leader={} term={}", core.leader or "-", core.term)

    # --- Messages and requests ---

    def receive_raft(self, sender: str, body: Any) -> None:
        """Pass a message from another replica to the core."""
        if not self.membership.is_member_name(sender):
            return
        envelope = msgspec.convert(body, Envelope)
        addressed = proxy_name(envelope.sender) == sender and envelope.receiver == self.id
        if addressed and self.core is not None:
            self._run_or_withdraw(self.core.receive, self.env.now(), envelope.sender, envelope.message)
            self.process_ready()

    def receive_request(self, sender: str, body: Any, local: bool = False) -> None:
        """Process a request if this replica leads; ``local``: the request comes from this process."""
        request = msgspec.convert(body, Request)
        requester = Requester(sender, None if local else self.mesh.current_link)
        if self.core is None or self.core.role != Role.LEADER:
            return self._reject(requester, request.number)
        if not self._is_allowed(request, requester):
            self.mesh.count_drop(DropCode.NOT_ALLOWED, sender)
            return self.deliver_reply(requester, Reply(request.number, True, None))
        if self.pending.count_of(sender) >= MAX_PENDING_PER_PROXY:
            return self._reject(requester, request.number)
        if request.kind == RequestKind.COMMAND:
            proposal = self.core.propose(encode(request.fields))
            if proposal is None:
                return self._reject(requester, request.number)
            self.pending.add_command(proposal.index, PendingCommand(proposal.term, requester, request.number))
        else:
            self.request_count += 1
            query = PendingQuery(requester, request.number, request.fields)
            self.pending.add_query(self.request_count, query)
            self.core.read(self.request_count)
        self.process_ready()

    def _is_allowed(self, request: Request, requester: Requester) -> bool:
        """Return whether a request is well-formed and carries the client id of the process that sent it."""
        incarnation = self.mesh.incarnation if requester.link is None else requester.link.incarnation
        client = f"{requester.name}/{incarnation}"
        if request.kind == RequestKind.COMMAND:
            fields = request.fields
            if not self.state_machine.accepts(fields) or fields[0] != client:
                return False
            if len(encode(fields)) > MAX_COMMAND_BYTES:
                return False
        return self.authorize(client, *request.fields[-3:])

    def propose(self, part: str, name: str, args: list) -> None:
        """Propose a command of this replica in the current term; do nothing if it does not lead."""
        if self.core is None:
            return
        self.request_count += 1
        # The client id contains the term, so that no pair of client id and number ever repeats.
        client = f"{self.id} {self.core.term}"
        if self.core.propose(encode((client, self.request_count, part, name, args))) is not None:
            self.process_ready()

    def _reject(self, requester: Requester, number: int) -> None:
        """Reject a request and name the leader, if another replica is known to lead."""
        leader = proxy_name(self.core.leader) if self.core is not None else ""
        self.deliver_reply(requester, Reply(number, False, leader if leader != self.name else ""))

    def _release_requests(self) -> None:
        """Reject all pending requests, which clients retry elsewhere; commands are still executed once."""
        confirmed = {item.read_id for item in self.backlog if isinstance(item, ConfirmedRead)}
        for request in self.pending.release(confirmed):
            self._reject(request.requester, request.number)

    def send_reply(self, requester: Requester, reply: Reply) -> None:
        """Send a reply to the requesting process; in a hot restart two processes share a proxy name."""
        if requester.link is not None:
            self.mesh.reply(requester.link, MessageKind.REPLY, reply)

    def status(self) -> dict[str, Any]:
        """Return the replica's state for operators, as plain values."""
        off_reason = self.fault.value if self.fault is not None else ("opening" if self.opening else "")
        status: dict[str, Any] = {"id": self.id, "off": off_reason}
        core, storage = self.core, self.storage
        if core is not None and storage is not None:
            status |= {
                "role": core.role.value,
                "leader": core.leader,
                "term": core.term,
                "commit": core.commit_index,
                "entries": len(core.log.entries),
                "voters": core.configuration.voters,
                "learners": core.configuration.learners,
                "writes": storage.batches_written,
                "syncs": storage.syncs,
                "slowest_sync_ms": round(1000 * storage.slowest_sync_s, 1),
            }
        return status
