"""The clients' side of the proxy: its connections, their limits, and the requests they send."""

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
from .resp import MAX_BUFFERED_VALUE
from .slot_table import SlotTable
from .streams import MIN_WINDOW, RequestStream
from .trace import trace

PONG, OK = b"+PONG\r\n", b"+OK\r\n"
DRAINING = b"-ERR draining\r\n"
NO_SERVER_READY = b"-ERR no cache node is ready\r\n"
UNKNOWN_COMMAND = b"-ERR unknown command\r\n"


@dataclass(eq=False, slots=True)
class ClientRequest:
    """A request as a client sent it, and how to answer it."""

    reply: Callable[[Reply], None]  # called once
    frame: RequestFrame
    request_class: RequestClass
    timeout: int  # microseconds that the client waits
    key: int
    tenant: Tenant | None
    is_write: bool
    is_client_retry: bool
    upload: RequestStream | None  # the value of a long write
    is_connected: Callable[[], bool]  # whether the client is still there


@dataclass(frozen=True, slots=True)
class RequestCallbacks:
    """What the clients' side asks of the one that forwards requests."""

    admit: Callable[[ClientRequest], int]  # returns the request's slot; nothing is decided yet
    begin: Callable[[int], None]  # decide on the request in that slot
    abandon: Callable[[list[int]], None]  # the client of the requests in these slots has gone
    abort_upload: Callable[[RequestStream], None]  # the long write will never be complete
    is_ready: Callable[[], bool]  # whether requests can be forwarded


class ClientServer(ServerFactory):
    """Accepts clients' connections within bounds and takes their requests.

    :param reactor: Twisted's
    :param now: the clock, microseconds
    :param max_connections: from clients at once; a few more while others make way
    :param memory: bytes, of which a part may be values in hand
    """

    noisy = False
    VALUE_MEMORY_DIVISOR = 8  # one byte in so many of the memory may be of values in hand
    IDLE_DIVISOR = 7  # one in so many of the connections may be idle for long
    IDLE_TIMEOUT = 2_000_000  # microseconds after which idle connections beyond that are closed
    # The same beyond twice as many, or where busy ones hold most of the part that clients may have: hundreds
    # of clients a second send one request and stay connected.
    SHORT_IDLE_TIMEOUT = 50_000
    MIN_SILENCE = 100_000  # microseconds by which a usual client's first request has arrived
    SHORT_MIN_SILENCE = 20_000  # nearly as surely; where no other connection could make way
    EXTRA_CONNECTIONS = 16  # beyond the bound for as long as others make way
    # Descriptors for these and for all else: the endpoint list, peers, operators, the log, Python's own.
    RESERVED_DESCRIPTORS = 32
    IDS_LOGGED = 8  # ids of unanswered requests in the log line of a connection's end
    EVICTION_BATCH = 8  # connections closed at once where they are beyond a bound that has changed

    def __init__(
        self,
        reactor: Any,
        deadlines: DeadlineQueue,
        now: Callable[[], int],
        callbacks: RequestCallbacks,
        request_classes: Mapping[str, RequestClass],
        tenants: Mapping[str, Tenant],
        max_connections: int,
        memory: int,
    ) -> None:
        self.deadlines, self.now, self.callbacks = deadlines, now, callbacks
        self.hang_up_monitor = HangUpMonitor[ClientConnection](reactor, self.client_hung_up)
        self.set_names(request_classes, tenants)
        self.max_connections, self.max_value_bytes = max_connections, memory // self.VALUE_MEMORY_DIVISOR
        self.next_eviction: Deadline | None = None  # closes more beyond a changed bound
        self.connections: SlotTable[ClientConnection] = SlotTable()
        self.unused_connections: OrderedDict[ClientConnection, None] = OrderedDict()  # longest silent first
        self.idle_connections: OrderedDict[ClientConnection, None] = OrderedDict()  # longest idle first
        # Those whose end was requested, with whether half a command keeps them from it.
        self.closing_connections: dict[ClientConnection, bool] = {}
        self.request_ids: set[bytes] = set()  # of the requests in hand
        self.value_bytes = 0  # of values in hand
        self.drain = ClientDrain(self)

    def buildProtocol(self, addr: Any) -> ClientConnection:  # noqa: N802, D102
        return ClientConnection(self)

    def set_names(self, request_classes: Mapping[str, RequestClass], tenants: Mapping[str, Tenant]) -> None:
        """Set the classes and tenants that new requests may name; requests in hand keep theirs."""
        self.request_classes: dict[bytes | None, RequestClass] = {
            name.encode(): request_class for name, request_class in request_classes.items()
        }
        self.tenants: dict[bytes | None, Tenant] = {name.encode(): tenant for name, tenant in tenants.items()}

    # Limits.

    def set_limits(self, max_connections: int, memory: int) -> None:
        """Set other bounds; idle connections beyond them are closed in batches."""
        self.max_connections, self.max_value_bytes = max_connections, memory // self.VALUE_MEMORY_DIVISOR
        if self.next_eviction is not None:
            self.next_eviction.cancel()
        self._close_beyond_limit()

    def _close_beyond_limit(self) -> None:
        leaving = sum(
            not client.state.accepts_commands and client not in self.closing_connections
            for client in self.connections.values()
        )
        excess = len(self.connections) - leaving - len(self.closing_connections) - self.max_connections
        idle = [client for client in self.idle_connections if client.at_message_boundary()]
        batch = idle[: min(self.EVICTION_BATCH, max(0, excess))]
        if batch:
            self.deadlines.call_at(self.now() + 1, self.drain.close_batch, batch, False, "no-room")
            self.next_eviction = self.deadlines.call_at(
                self.now() + ClientDrain.INTERVAL, self._close_beyond_limit
            )

    def close_idle(self, now: int) -> None:
        """Close connections that are idle for too long or too many.

        Idle clients would otherwise use up the descriptors that active ones need.
        """
        busy = len(self.connections) - len(self.unused_connections) - len(self.idle_connections)
        # A third of the process's descriptors may be for clients' requests, as many as are for connections to
        # servers (`ServerPools.SOCKETS_PER_CONNECTION`): the bound and the reserved ones are the other two.
        client_share = (self.max_connections + self.RESERVED_DESCRIPTORS) // 2
        most = self.max_connections // self.IDLE_DIVISOR
        kept = min(most, max(2, client_share // 2 - busy))
        while len(self.idle_connections) > kept:
            oldest = next(iter(self.idle_connections))
            relaxed = kept == most and len(self.idle_connections) <= 2 * kept
            timeout = self.IDLE_TIMEOUT if relaxed else self.SHORT_IDLE_TIMEOUT
            if now - oldest.idle_since < timeout:
                return
            oldest.close_when_idle("idle")

    def available_capacity(self) -> int:
        """Return how many more may be accepted now.

        Connections that make way keep their descriptors until the reactor's next turn.
        """
        return self.max_connections + self.EXTRA_CONNECTIONS - len(self.connections)

    def evict_for_capacity(self, least: int = 0) -> int:
        """Close connections beyond the bound, at least so many if there are any; return how many.

        Connections without a request: the longest silent first, then the longest idle.  A slow sender is not
        silent, and one that has just connected is kept: the next one waits.
        """
        wanted = max(least, len(self.connections) - len(self.closing_connections) - self.max_connections)
        for evicted in range(wanted):
            oldest = self._eviction_candidate()
            if oldest is None:
                return evicted
            oldest.close_when_idle("no-room", even_if_partial=True)
        return max(0, wanted)

    def _eviction_candidate(self) -> ClientConnection | None:
        silent, idle = next(iter(self.unused_connections), None), next(iter(self.idle_connections), None)
        min_silence = self.MIN_SILENCE if idle is not None else self.SHORT_MIN_SILENCE
        if silent is not None and silent.last_input_at <= self.now() - min_silence:
            return silent
        return idle

    def upload_window(self) -> int:
        """Return how many bytes of a long write are read at once, so that all of them fit the memory."""
        uploads = sum(client.upload is not None for client in self.connections.values())
        return max(MIN_WINDOW, min(MAX_BUFFERED_VALUE, self.max_value_bytes // (3 * (uploads + 1))))

    # Commands.

    def answer_plain_command(self, name: bytes) -> bytes:
        """Return the response to a command that is no request."""
        if name == b"PING" and self.drain.refuses_pings:
            return DRAINING
        if name == b"PING":
            return PONG if self.callbacks.is_ready() else NO_SERVER_READY
        if name in (b"CLIENT", b"SELECT"):  # what clients' libraries begin with
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
        """Admit a request and begin it, or give it the error that keeps it from being admitted."""
        # The value of an upload is not among the arguments.
        argument_count = WRITE_ARGUMENTS if is_write and upload is None else READ_ARGUMENTS
        if len(arguments) != argument_count:
            return self._refuse(client, pending, arguments, upload, WRONG_ARGUMENT_COUNT)
        fields = parse_fields(arguments[3])
        fault = self._fault(arguments, fields)
        if fault:
            return self._refuse(client, pending, arguments, upload, fault)
        request = self._client_request(client, pending, arguments, fields, is_write, upload)
        client.request_admitted()
        request_id = request.frame.request_id
        if trace.enabled:
            name = request.request_class.name
            trace.step(request_id, "admitted", client=client.slot, method=name, wait_ms=fields.timeout_ms)
        self.request_ids.add(request_id)
        pending.value_size = len(arguments[-1])
        self.value_bytes += pending.value_size
        pending.request_id = request_id
        pending.request_slot = self.callbacks.admit(request)
        # Only now that the slot is known: what this ends may abandon the client, and this request with it.
        self.callbacks.begin(pending.request_slot)

    def _fault(self, arguments: list[bytes], fields: RequestFields) -> bytes | None:
        key, request_id = arguments[1], arguments[2]
        if self.request_classes.get(fields.class_name) is None or fields.timeout_ms is None:
            return CLASS_OR_TIMEOUT_MISSING
        if not key or not request_id:
            return KEY_OR_ID_MISSING
        if request_id in self.request_ids:  # the responses to both could not be told apart
            return ID_IN_USE
        if self.value_bytes > self.max_value_bytes:  # nothing of it has been executed
            return BUSY
        return None

    def _refuse(
        self,
        client: ClientConnection,
        pending: PendingResponse,
        arguments: list[bytes],
        upload: RequestStream | None,
        fault: bytes,
    ) -> None:
        pending.response = fault
        if trace.enabled and len(arguments) > 2:
            trace.step(arguments[2], "not-admitted", client=client.slot, answer=fault[:40])
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

    # Ends of connections.

    def client_hung_up(self, client: ClientConnection) -> None:
        """Handle a client's end on a connection that is not read.

        One that waits for nothing more may still read what is on its way to it; what it has sent behind that
        is not executed.
        """
        if client.pending.unanswered():
            return client.abort("client-left")
        client.code = client.code or "client-left"
        client.stop_reading_commands()
        client.flush()

    def connection_lost(self, client: ClientConnection, code: str) -> None:
        """Log the end of a connection, and abandon its requests."""
        client.upload = None
        self.idle_connections.pop(client, None)
        self.unused_connections.pop(client, None)
        self.closing_connections.pop(client, None)
        self.connections.remove(client.slot)
        unanswered = [pending.request_id for pending in client.pending.unanswered()]
        logger.info(
            "end client={} commands={} open={} code={}{}", client.slot, client.commands_received,
            len(unanswered), code, self._close_fields(client, unanswered),
        )  # fmt: skip
        if trace.enabled:
            for request_id in unanswered:
                if request_id is not None:
                    trace.step(request_id, "client-disconnected", client=client.slot, code=code)
        self.abandon_pending(client)

    def _close_fields(self, client: ClientConnection, unanswered: list[bytes | None]) -> str:
        """Return further fields for the log line of a connection's end: what was open, unread or idle.

        :param unanswered: the ids of the requests that were left without a response
        """
        text = ""
        if unanswered:
            ids = [request_id.decode("latin-1") for request_id in unanswered[: self.IDS_LOGGED] if request_id]
            text += f" ids={','.join(ids)}"
        if client.closed_mid_message:
            text += " partial_command=1"
        if client.discarded_bytes:
            text += f" discarded_bytes={client.discarded_bytes}"
        if client.commands_received and not unanswered:
            text += f" idle_ms={(self.now() - client.idle_since) // 1000}"
        return text

    def abandon_pending(self, client: ClientConnection) -> None:
        """Abandon the requests whose responses can't reach the client any more."""
        unanswered, streams = client.pending.unanswered(), [*client.pending.streams()]
        for pending in unanswered:
            self.value_bytes -= pending.value_size
            if pending.request_id is not None:
                self.request_ids.discard(pending.request_id)
        client.pending.clear()
        slots = [pending.request_slot for pending in unanswered if pending.request_slot is not None]
        self.callbacks.abandon(slots)
        for stream in streams:  # last: what waits behind a stream may end one of those requests
            stream.client_lost()
