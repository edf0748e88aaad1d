"""The server for clients: accepts their connections, enforces limits, and submits their requests."""

from __future__ import annotations

from collections import OrderedDict
from collections.abc import Callable, Mapping
from dataclasses import dataclass
from typing import Any

from loguru import logger
from twisted.internet.protocol import ServerFactory

from ..model import RequestClass, Tenant
from .client_connection import ClientConnection
from .client_drain import ClientDrain
from .deadlines import Deadline, DeadlineQueue
from .hang_up_monitor import HangUpMonitor
from .memory_budget import REQUEST_BYTES, VALUE_COPIES, MemoryBudget
from .partial_commands import PartialCommands
from .pipeline import BUSY, PendingResponse, encode_reply
from .reply import Reply
from .request_frame import (
    CLASS_OR_TIMEOUT_MISSING,
    ID_IN_USE,
    KEY_OR_ID_MISSING,
    READ_ARGUMENTS,
    WRITE_ARGUMENTS,
    WRONG_ARGUMENT_COUNT,
    RequestFields,
    RequestFrame,
    parse_fields,
    parse_key,
)
from .slot_table import SlotTable
from .streams import RequestStream
from .trace import trace
from .turn_scheduler import TurnScheduler

PONG, OK = b"+PONG\r\n", b"+OK\r\n"
DRAINING = b"-ERR draining\r\n"
NO_SERVER_READY = b"-ERR no cache node is ready\r\n"
UNKNOWN_COMMAND = b"-ERR unknown command\r\n"


@dataclass(eq=False, slots=True)
class ClientRequest:
    """A request as received from a client, and the callback that answers it."""

    reply: Callable[[Reply], None]  # called once
    frame: RequestFrame
    request_class: RequestClass
    timeout: int  # microseconds that the client waits
    key: int
    tenant: Tenant | None
    is_write: bool
    is_client_retry: bool
    upload: RequestStream | None  # the value of a long write
    is_connected: Callable[[], bool]  # whether the client is still connected


@dataclass(frozen=True, slots=True)
class RequestCallbacks:
    """The operations of the request handler that the server for clients uses."""

    admit: Callable[[ClientRequest], int]  # admits a request and returns its slot, without deciding on it
    begin: Callable[[int], None]  # decides on the request in the slot
    abandon: Callable[[list[int]], None]  # drops the requests in the slots: their client has disconnected
    was_abandoned: Callable[[bytes], bool]  # returns whether an id may have been executed for no client
    abort_upload: Callable[[RequestStream], None]  # fails a long write that will never be complete
    is_ready: Callable[[], bool]  # returns whether requests can be forwarded


class ClientServer(ServerFactory):
    """Accepts a bounded number of client connections and submits their requests.

    :param reactor: the Twisted reactor
    :param now: returns the time in microseconds
    :param max_connections: the bound for client connections, exceeded by a few while others are closing
    :param memory: the budget of what all connections hold
    :param turn_scheduler: shares each reactor turn among all connections
    """

    noisy = False
    IDLE_DIVISOR = 7  # 1/IDLE_DIVISOR of the connections may be idle without a timeout
    IDLE_TIMEOUT = 2_000_000  # microseconds after which idle connections beyond that share are closed
    # Microseconds: the idle timeout while more than twice that share is idle, or while busy connections hold
    # most of the clients' descriptors.  Hundreds of clients a second send one request and stay connected.
    SHORT_IDLE_TIMEOUT = 50_000
    MIN_SILENCE = 100_000  # microseconds within which the first request of a usual client arrives
    SHORT_MIN_SILENCE = 20_000  # microseconds; nearly as certain, used if no idle connection can be closed
    EXTRA_CONNECTIONS = 16  # beyond the bound, while other connections are closing
    # Descriptors for the extra connections and for all else: the endpoint list, peers, operators, the log and
    # those that Python opens.
    RESERVED_DESCRIPTORS = 32
    IDS_LOGGED = 8  # ids of unanswered requests in the log line of a closed connection
    EVICTION_BATCH = 8  # connections closed at once when the bound is lowered

    def __init__(
        self,
        reactor: Any,
        deadlines: DeadlineQueue,
        now: Callable[[], int],
        callbacks: RequestCallbacks,
        request_classes: Mapping[str, RequestClass],
        tenants: Mapping[str, Tenant],
        max_connections: int,
        memory: MemoryBudget,
        turn_scheduler: TurnScheduler,
    ) -> None:
        self.deadlines, self.now, self.callbacks = deadlines, now, callbacks
        self.hang_up_monitor = HangUpMonitor[ClientConnection](reactor, self.client_hung_up)
        self.set_names(request_classes, tenants)
        self.max_connections, self.memory, self.turn_scheduler = max_connections, memory, turn_scheduler
        self.next_eviction: Deadline | None = None  # for the next batch beyond a lowered bound
        self.connections: SlotTable[ClientConnection] = SlotTable()
        self.unused_connections: OrderedDict[ClientConnection, None] = OrderedDict()  # longest silent first
        self.idle_connections: OrderedDict[ClientConnection, None] = OrderedDict()  # longest idle first
        # Connections whose close was requested, and whether they close even with part of a command received.
        self.closing_connections: dict[ClientConnection, bool] = {}
        self.request_ids: set[bytes] = set()  # of the active requests
        self.partial_commands = PartialCommands(memory)
        self.drain = ClientDrain(self)

    def buildProtocol(self, addr: Any) -> ClientConnection:  # noqa: N802, D102
        return ClientConnection(self)

    def set_names(self, request_classes: Mapping[str, RequestClass], tenants: Mapping[str, Tenant]) -> None:
        """Set the classes and tenants that new requests may name; active requests keep theirs."""
        self.request_classes: dict[bytes | None, RequestClass] = {
            name.encode(): request_class for name, request_class in request_classes.items()
        }
        self.tenants: dict[bytes | None, Tenant] = {name.encode(): tenant for name, tenant in tenants.items()}

    # Limits.

    def set_limit(self, max_connections: int) -> None:
        """Change the bound; idle connections beyond the new one are closed in batches."""
        self.max_connections = max_connections
        if self.next_eviction is not None:
            self.next_eviction.cancel()
        self._close_beyond_limit()

    def _close_beyond_limit(self) -> None:
        already_closing = sum(
            not client.state.accepts_commands and client not in self.closing_connections
            for client in self.connections.values()
        )
        excess = (
            len(self.connections) - already_closing - len(self.closing_connections) - self.max_connections
        )
        idle = [client for client in self.idle_connections if client.at_message_boundary()]
        batch = idle[: min(self.EVICTION_BATCH, max(0, excess))]
        if batch:
            self.deadlines.call_at(self.now() + 1, self.drain.close_batch, batch, False, "no-room")
            self.next_eviction = self.deadlines.call_at(
                self.now() + ClientDrain.INTERVAL, self._close_beyond_limit
            )

    def close_idle(self, now: int) -> None:
        """Close idle connections that are too many or have been idle for too long.

        Idle clients would otherwise use up the descriptors that active clients need.
        """
        busy = len(self.connections) - len(self.unused_connections) - len(self.idle_connections)
        # Clients' requests may use a third of the process's descriptors, as many as connections to servers do
        # (`ServerPools.SOCKETS_PER_CONNECTION`).  The connection bound and the reserved descriptors add up to
        # the other two thirds.
        client_share = (self.max_connections + self.RESERVED_DESCRIPTORS) // 2
        usual_limit = self.max_connections // self.IDLE_DIVISOR
        limit = min(usual_limit, max(2, client_share // 2 - busy))
        while len(self.idle_connections) > limit:
            oldest = next(iter(self.idle_connections))
            relaxed = limit == usual_limit and len(self.idle_connections) <= 2 * limit
            timeout = self.IDLE_TIMEOUT if relaxed else self.SHORT_IDLE_TIMEOUT
            if now - oldest.idle_since < timeout:
                return
            oldest.close_when_idle("idle")

    def available_capacity(self) -> int:
        """Return how many more connections may be accepted now.

        Connections that are closing keep their descriptors until the reactor's next turn.
        """
        return self.max_connections + self.EXTRA_CONNECTIONS - len(self.connections)

    def evict_for_capacity(self, minimum: int = 0) -> int:
        """Close connections beyond the bound, or `minimum` if that is more; return how many were closed.

        Only connections without a request are closed: first those silent for longest, then those idle for
        longest.  A slow sender is not silent.  A connection that has just been made is not closed, so that a
        client that connects next has to wait.
        """
        excess = max(minimum, len(self.connections) - len(self.closing_connections) - self.max_connections)
        for evicted in range(excess):
            oldest = self._eviction_candidate()
            if oldest is None:
                return evicted
            oldest.close_when_idle("no-room", even_if_partial=True)
        return max(0, excess)

    def _eviction_candidate(self) -> ClientConnection | None:
        silent, idle = next(iter(self.unused_connections), None), next(iter(self.idle_connections), None)
        min_silence = self.MIN_SILENCE if idle is not None else self.SHORT_MIN_SILENCE
        if silent is not None and silent.last_input_at <= self.now() - min_silence:
            return silent
        return idle

    # Commands.

    def answer_plain_command(self, name: bytes) -> bytes:
        """Return the response to a command that is not a request."""
        if name == b"PING" and self.drain.refuses_pings:
            return DRAINING
        if name == b"PING":
            return PONG if self.callbacks.is_ready() else NO_SERVER_READY
        if name in (b"CLIENT", b"SELECT"):  # sent by client libraries when they connect
            return OK
        return UNKNOWN_COMMAND

    def submit(
        self,
        client: ClientConnection,
        pending: PendingResponse,
        arguments: list[bytes],
        is_write: bool,
        upload: RequestStream | None = None,
    ) -> None:
        """Admit a request and begin it, or answer the command with an error."""
        # The value of a long write is not among the arguments.
        argument_count = WRITE_ARGUMENTS if is_write and upload is None else READ_ARGUMENTS
        if len(arguments) != argument_count:
            return self._refuse(client, pending, arguments, upload, WRONG_ARGUMENT_COUNT)
        fields = parse_fields(arguments[3])
        error = self._admission_error(arguments, fields)
        if error:
            return self._refuse(client, pending, arguments, upload, error)
        if not self._reserve_memory(client, pending, arguments, upload):
            return self._refuse(client, pending, arguments, upload, BUSY)  # a retry is safe
        request = self._client_request(client, pending, arguments, fields, is_write, upload)
        client.request_admitted()
        request_id = request.frame.request_id
        if trace.enabled:
            name = request.request_class.name
            trace.step(request_id, "admitted", client=client.slot, method=name, wait_ms=fields.timeout_ms)
        self.request_ids.add(request_id)
        pending.request_id = request_id
        pending.request_slot = self.callbacks.admit(request)
        # The slot must be set before this, because it may abandon the client and all its requests.
        self.callbacks.begin(pending.request_slot)

    def _reserve_memory(
        self,
        client: ClientConnection,
        pending: PendingResponse,
        arguments: list[bytes],
        upload: RequestStream | None,
    ) -> bool:
        if upload is not None:
            return client.reserve_for_long_write(pending, upload)
        value_bytes = len(arguments[-1]) if len(arguments) == WRITE_ARGUMENTS else 0
        return client.reserve_for_request(pending, REQUEST_BYTES + VALUE_COPIES * value_bytes)

    def _admission_error(self, arguments: list[bytes], fields: RequestFields) -> bytes | None:
        key, request_id = arguments[1], arguments[2]
        if self.request_classes.get(fields.class_name) is None or fields.timeout_ms is None:
            return CLASS_OR_TIMEOUT_MISSING
        if not key or not request_id:
            return KEY_OR_ID_MISSING
        if request_id in self.request_ids or self.callbacks.was_abandoned(request_id):
            return ID_IN_USE  # the responses could not be told apart, or it could be executed twice
        return None

    def _refuse(
        self,
        client: ClientConnection,
        pending: PendingResponse,
        arguments: list[bytes],
        upload: RequestStream | None,
        error: bytes,
    ) -> None:
        pending.response = error
        if trace.enabled and len(arguments) > 2:
            trace.step(arguments[2], "not-admitted", client=client.slot, answer=error[:40])
        if upload is not None:
            upload.discard()

    def _client_request(
        self,
        client: ClientConnection,
        pending: PendingResponse,
        arguments: list[bytes],
        fields: RequestFields,
        is_write: bool,
        upload: RequestStream | None,
    ) -> ClientRequest:
        request_id = arguments[2]

        def reply(answer: Reply) -> None:
            self.request_ids.discard(request_id)
            if upload is not None and not upload.sent:
                upload.discard()
            client.respond(pending, encode_reply(answer))

        assert fields.timeout_ms is not None
        return ClientRequest(
            reply=reply,
            frame=RequestFrame(arguments, fields.timeout_span, upload.size if upload else 0),
            request_class=self.request_classes[fields.class_name],
            timeout=fields.timeout_ms * 1000,
            key=parse_key(arguments[1]),
            tenant=self.tenants.get(fields.tenant_name),
            is_write=is_write,
            is_client_retry=fields.is_client_retry,
            upload=upload,
            is_connected=client.is_connected,
        )

    # Closed connections.

    def client_hung_up(self, client: ClientConnection) -> None:
        """Handle a client's hang-up on a connection whose reading is paused.

        A client whose answers are all written may still read them.  Commands that it sent but that were not
        read are not executed.
        """
        if client.pending.unanswered() or client.pending.current_stream() is not None:
            return client.abort("client-left")
        client.code = client.code or "client-left"
        client.stop_reading_commands()
        client.flush()

    def connection_lost(self, client: ClientConnection, code: str) -> None:
        """Log that a connection has closed, and abandon its requests."""
        client.upload = None
        waited_for_turn = client in self.turn_scheduler
        self.idle_connections.pop(client, None)
        self.unused_connections.pop(client, None)
        self.closing_connections.pop(client, None)
        self.partial_commands.forget(client)
        self.turn_scheduler.forget(client)
        self.drain.forget(client)
        self.connections.remove(client.slot)
        unanswered = [pending.request_id for pending in client.pending.unanswered()]
        logger.info(
            "client connection closed client={} commands={} open={} code={}{}", client.slot,
            client.commands_received, len(unanswered), code,
            self._close_fields(client, unanswered, waited_for_turn),
        )  # fmt: skip
        if trace.enabled:
            for request_id in unanswered:
                if request_id is not None:
                    trace.step(request_id, "client-disconnected", client=client.slot, code=code)
        self.abandon_pending(client)
        client.memory.close()

    def _close_fields(
        self, client: ClientConnection, unanswered: list[bytes | None], waited_for_turn: bool
    ) -> str:
        """Return the optional fields of the log line: unanswered ids, unread input and idle time.

        :param unanswered: the ids of the requests that have no response
        :param waited_for_turn: input was received of which a slice was to be handled in a later turn
        """
        fields = ""
        if unanswered:
            ids = [request_id.decode("latin-1") for request_id in unanswered[: self.IDS_LOGGED] if request_id]
            fields += f" ids={','.join(ids)}"
        if client.unhandled_bytes is not None:
            fields += f" partial_command=1 unhandled_bytes={client.unhandled_bytes}"
            fields += f" waited_for_turn={int(waited_for_turn)}"
        if client.discarded_bytes:
            fields += f" discarded_bytes={client.discarded_bytes}"
        if client.commands_received and not unanswered:
            fields += f" idle_ms={(self.now() - client.idle_since) // 1000}"
        return fields

    def abandon_pending(self, client: ClientConnection) -> None:
        """Abandon the requests whose responses can no longer reach the client."""
        unanswered, streams = client.pending.unanswered(), [*client.pending.streams()]
        client.release_all_responses()
        for pending in unanswered:
            if pending.request_id is not None:
                self.request_ids.discard(pending.request_id)
        client.pending.clear()
        slots = [pending.request_slot for pending in unanswered if pending.request_slot is not None]
        self.callbacks.abandon(slots)
        for stream in streams:  # last, because input behind a stream may end one of the abandoned requests
            stream.client_lost()
