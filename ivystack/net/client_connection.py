"""The connection of one client, which reads commands and writes responses in the order of the commands.

No command is answered twice, out of order or in part.  The connection holds only a few commands and their
responses at a time.
"""

from __future__ import annotations

from typing import TYPE_CHECKING, Any

from loguru import logger
from twisted.internet.protocol import connectionDone
from twisted.python.failure import Failure

from .client_state import ClientEvent, ClientState, next_state
from .deadlines import Deadline
from .memory_budget import ALLOWANCE, MemoryUse
from .pipeline import BUSY, PendingResponse
from .request_frame import IS_WRITE, WRITE_ARGUMENTS
from .resp import (
    MAX_ARRAY_LENGTH,
    MAX_BUFFERED_VALUE,
    MAX_VALUE,
    StreamedValue,
    ValueSink,
    disable_nagle,
)
from .response_writer import ResponseWriter
from .streams import RequestStream

if TYPE_CHECKING:
    from .client_server import ClientServer


def _all_bytes(arguments: list[Any]) -> bool:
    return {*map(type, arguments)} == {bytes}


class ClientConnection(ResponseWriter):
    """A connection from a client, with its pending responses and the command that is being received.

    `state` records whether it is unused, active, idle or closing, and Twisted's `paused` whether it is read.
    """

    max_value_size = MAX_VALUE
    value_index = 4
    first_array_index = MAX_ARRAY_LENGTH  # a command can't contain an array
    arrays_only = True
    READ_DIVISOR = 8  # one read takes at most 1/READ_DIVISOR of the memory that is available for input
    MAX_PENDING = 32  # commands without a response; further commands stay unread
    # Microseconds to receive a whole command, from its first byte or from the connection's start.  Less than
    # the 3 s after which a client that can't be served must have a response.
    COMMAND_TIMEOUT = 2_500_000

    def __init__(self, server: ClientServer) -> None:
        super().__init__(server)
        self.turn_scheduler = server.turn_scheduler
        self.state = ClientState.UNUSED
        self.commands_received = 0
        self.idle_since = 0  # microseconds: when the client connected or was last answered
        self.last_input_at = 0  # microseconds
        self.command_timeout: Deadline | None = None  # for receiving the rest of a command
        self.upload: RequestStream | None = None  # the long write that is being received

    def connectionMade(self) -> None:  # noqa: N802, D102
        disable_nagle(self.transport)
        self.slot = self.server.connections.add(self)
        self.transport.registerProducer(self, True)
        self.idle_since = self.last_input_at = self.server.now()
        self._start_command_timeout(self.idle_since)
        self.server.unused_connections[self] = None
        self.server.evict_for_capacity()

    def input_handled(self) -> None:
        """Close if the process is draining, or start the timeout of a command that is incomplete."""
        if self.memory.input or not self.at_message_boundary():
            self.memory.set_input(self.buffered_bytes())
            self.server.partial_commands.update(self)
        if self.server.drain.code and self.is_finished():
            return self.close_when_idle(self.server.drain.code)
        if self.input_closed or self.paused or self.at_message_boundary():
            self._stop_command_timeout()
            if not self.paused and self.commands_received and self.state is not ClientState.IDLE:
                self.responses_written()  # reading was paused when the last response was written
            return
        self.last_input_at = self.server.now()
        if self.upload is not None and not self.transport.unread_bytes():
            self.upload.clock.start(self.last_input_at)
        self.command_begun()
        if self in self.server.unused_connections:
            self.server.unused_connections.move_to_end(self)
        # The timeout restarts with each piece of a long write.
        if self.command_timeout is None or self.upload is not None:
            if self.command_timeout is not None:
                self.command_timeout.cancel()
            self._start_command_timeout(self.last_input_at)

    def command_begun(self) -> None:
        """Record that bytes of a command have arrived, so that the connection is not idle."""
        self.state = next_state(self.state, ClientEvent.COMMAND_BEGUN)
        self.server.idle_connections.pop(self, None)

    def request_admitted(self) -> None:
        """Record that a command of this connection was admitted as a request."""
        self.state = next_state(self.state, ClientEvent.REQUEST_ADMITTED)
        self.server.unused_connections.pop(self, None)

    def value_received(self, value: Any) -> None:
        """Execute a command, or finish a long write whose value has arrived completely."""
        self.command_begun()
        self._stop_command_timeout()
        if self.memory.input:
            self.server.partial_commands.forget(self)
        if value and isinstance(value[-1], StreamedValue):
            upload, self.upload = self.upload, None
            assert upload is not None
            self.transport.bufferSize = MAX_BUFFERED_VALUE
            upload.end_received()
            return self.flush()
        self.commands_received += 1
        if not value or not _all_bytes(value):
            return self.fail_protocol("not a command")
        pending = PendingResponse()
        self.pending.append(pending)
        name = value[0].upper()
        if name in IS_WRITE:
            self.server.submit(self, pending, value, IS_WRITE[name])
        else:
            pending.response = self.server.answer_plain_command(name)
        if len(self.pending) >= self.MAX_PENDING or self.lacks_memory():
            self.pause_reading()
        self.flush()

    def stream_started(self, size: int) -> ValueSink | None:
        """Begin a long write whose value of `size` bytes follows, and return the receiver of its pieces."""
        arrays = self.open_arrays
        is_command = len(arrays) == 1 and arrays[0].length == WRITE_ARGUMENTS
        arguments = arrays[0].elements if is_command else []
        well_formed = len(arguments) == WRITE_ARGUMENTS - 1 and _all_bytes(arguments)
        if not well_formed or not IS_WRITE.get(arguments[0].upper()):
            self.fail_protocol("too long")
            return None
        self.command_begun()
        self.commands_received += 1
        pending = self.pending.add()
        self.upload = RequestStream(self, size)
        self.server.submit(self, pending, arguments, True, self.upload)
        self.flush()
        return self.upload.piece_received

    def refuse_partial_command(self) -> None:
        """Refuse the command that is arriving, because memory is short; nothing of it was executed.

        The rest of a value is discarded as it arrives.  A command without one ends the connection.
        """
        logger.info("command refused: memory is short client={} code=no-memory", self.slot)
        self.pending.add(BUSY)
        if not self._discard_value():
            self.code = "no-memory"
            self.stop_reading_commands()
            self.pause_reading()
        self.memory.set_input(self.buffered_bytes())
        self.flush()

    def _discard_value(self) -> bool:
        """Discard the value that is being read, and return whether there is one."""
        arrays = self.open_arrays
        if len(arrays) != 1 or len(arrays[0].elements) != self.value_index:
            return False
        upload = RequestStream(self, 0)
        upload.discard()
        if not self.discard_bulk(upload.piece_received):
            return False
        self.commands_received += 1
        self.upload = upload
        return True

    def fail_protocol(self, reason: str) -> None:
        """Write an error after the pending responses and close; no further commands are read."""
        upload, self.upload = self.upload, None
        if upload is not None and upload.request is not None:
            self.server.callbacks.abort_upload(upload)
        self.server.idle_connections.pop(self, None)
        self.stop_reading_commands()
        self.pause_reading()  # reading and discarding further input at full speed would cost too much time
        self.code = f"malformed: {reason}"
        self.pending.add(b"-ERR %b\r\n" % reason.encode())
        self.flush()

    def _start_command_timeout(self, now: int) -> None:
        due_at = now + self.COMMAND_TIMEOUT
        self.command_timeout = self.server.deadlines.call_at(due_at, self.command_timed_out)

    def _stop_command_timeout(self) -> None:
        if self.command_timeout is not None:
            self.command_timeout.cancel()
            self.command_timeout = None

    def command_timed_out(self) -> None:
        """Close a connection on which no command, or only part of a command, has arrived.

        Input is read first, because timers run before reads after the process was suspended.
        """
        self.command_timeout = None
        self.transport.read_now()
        upload_continued = self.upload is not None and self.command_timeout is not None
        if upload_continued or not self.state.accepts_commands or self.has_unread_input():
            return
        if not self.at_message_boundary():
            self.fail_protocol("half a command")
        elif not self.commands_received:
            self.close_when_idle("silent")

    # Responses.

    def responses_written(self) -> None:
        """Become idle or close if no response is pending, and read on."""
        if not self.pending and self.transport.connected:
            if not self.state.accepts_commands:
                self.close_after_writes("stopping")
            elif self.commands_received and self.state.is_open:
                if self.server.drain.code and self.is_finished():
                    return self.close_when_idle(self.server.drain.code)  # the response and FIN leave together
                if not self.has_unread_input():
                    self._become_idle()
        self.resume_reading()

    def _become_idle(self) -> None:
        self.state = next_state(self.state, ClientEvent.ALL_ANSWERED)
        self.server.unused_connections.pop(self, None)
        self.idle_since = self.server.now()
        self.server.idle_connections[self] = None
        self.server.idle_connections.move_to_end(self)
        self.server.close_idle(self.idle_since)

    def cut_short(self) -> None:
        """Close the connection because a response that was written in part broke off."""
        self.stop_reading_commands()
        self.server.abandon_pending(self)
        self.close_after_writes("cut-short")

    # Predicates.

    def has_unread_input(self) -> bool:
        """Return whether input was received that is not handled while reading is paused."""
        return self.paused and (self.is_reading or not self.at_message_boundary())

    def is_receiving_command(self) -> bool:
        """Return whether part of a command has arrived that is buffered."""
        return not self.paused and self.upload is None and not self.at_message_boundary()

    def is_finished(self) -> bool:
        """Return whether all commands that have arrived were read, executed and answered."""
        if not self.commands_received or self.pending or self.is_reading:
            return False
        return self.state.accepts_commands and self.at_message_boundary()

    def is_connected(self) -> bool:
        """Return whether the client is still connected, as far as the kernel knows.

        This is assumed while input is handled or reading is paused, where a hang-up is noticed otherwise.
        """
        if self.is_reading or self.paused or not self.state.accepts_commands:
            return True
        return bool(self.transport.look_for_end())

    def all_answered(self) -> bool:
        """Return whether the connection accepts commands and no command that was read lacks its response."""
        return self.state.accepts_commands and not self.pending

    # Reading.

    def read_size(self) -> int:
        """Return how many bytes may be read at once; the less memory is available, the fewer."""
        available = self.server.memory.available(MemoryUse.READ_AHEAD) // self.READ_DIVISOR
        return max(ALLOWANCE, min(self.transport.bufferSize, available))

    def pause_reading(self) -> None:
        """Pause reading; a hang-up is still noticed."""
        if self.upload is not None:
            self.upload.clock.stop(self.server.now())
        self.pause_input()
        self.server.unused_connections.pop(self, None)
        self.server.hang_up_monitor.watch(self)

    def resume_reading(self) -> None:
        """Resume reading, unless a reason for the pause remains."""
        if not self.paused or not self.state.accepts_commands:
            return
        upload_paused = self.upload is not None and self.upload.paused
        too_many = len(self.pending) >= self.MAX_PENDING or self.lacks_memory()
        waits_for_turn = self in self.server.turn_scheduler
        if not (self.write_blocked or too_many or upload_paused or waits_for_turn or self.is_streaming()):
            self.resume_input()
            if not self.paused:
                self.server.hang_up_monitor.forget(self)

    def pause_upload(self) -> None:
        """Pause reading because the server of a long write accepts no more data for now."""
        self.pause_reading()
        self._stop_command_timeout()

    def stop_reading_commands(self) -> None:
        """Execute no further commands, including those that were read but not executed."""
        self.state = next_state(self.state, ClientEvent.INPUT_CLOSED)
        self.close_input()

    # Ending the connection.

    def close_when_idle(self, code: str, even_if_partial: bool = False) -> None:
        """Close after all output is written, unless a command has arrived by then, which is executed.

        :param even_if_partial: even if part of a command has arrived
        """
        self._unregister()
        if not self.state.is_open:
            return
        self.state = next_state(self.state, ClientEvent.CLOSE_REQUESTED)
        self.server.closing_connections[self] = even_if_partial
        self._close_transport(code)

    def close_after_writes(self, code: str) -> None:
        """Stop reading, and close after all output is written or the client has not read it in time."""
        self._unregister()
        self.stop_reading_commands()
        self._close_transport(code)

    def abort(self, code: str) -> None:
        """Close the connection at once; output that was not sent is lost."""
        self.state = next_state(self.state, ClientEvent.ABORTED)
        super().abort(code)

    def _unregister(self) -> None:
        self.server.unused_connections.pop(self, None)
        self.server.idle_connections.pop(self, None)

    def _close_transport(self, code: str) -> None:
        self.start_write_timeout()
        self.transport.unregisterProducer()  # a paused producer would keep the transport from closing
        self.close(code)

    def may_close(self) -> bool:
        """Return whether the transport may close now; it calls this after its last read.

        If a command has arrived, the close is withdrawn, and the state becomes what it was before.
        """
        if not self.state.accepts_commands:
            return True
        drain = self.server.drain
        if not self.pending and drain.is_flooded_by(self):
            return True
        even_if_partial = self.server.closing_connections.get(self, False) or drain.drops_partial_commands
        commands_received = self.commands_received
        if self.has_unread_input() and not self.pending:
            self.write_blocked = False  # all output was sent
            self.resume_input()
        was_executed = self.commands_received > commands_received
        has_commands = was_executed or self.pending or self.has_unread_input()
        if not has_commands and (even_if_partial or self.at_message_boundary()):
            return True
        self._withdraw_close()
        if was_executed and not self.pending and not self.paused:
            self.responses_written()
        return False

    def _withdraw_close(self) -> None:
        del self.server.closing_connections[self]
        self.code = None
        self.write_blocked = False
        self.stop_write_timeout()
        self.transport.registerProducer(self, True)
        if self.commands_received:
            self.state = next_state(self.state, ClientEvent.CLOSE_WITHDRAWN)
        else:
            self.state = next_state(self.state, ClientEvent.CLOSE_WITHDRAWN_UNUSED)
            self.server.unused_connections[self] = None

    def connectionLost(self, reason: Failure = connectionDone) -> None:  # noqa: N802, D102
        self.close_input()  # commands that were read but not executed must not be executed any more
        self.state = next_state(self.state, ClientEvent.LOST)
        self.server.hang_up_monitor.forget(self)
        self.stop_write_timeout()
        self._stop_command_timeout()
        self.server.connection_lost(self, self.end_code(reason, "client"))
