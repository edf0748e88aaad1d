"""Watches the endpoint list by a streaming HTTP request to discovery, which is retried after a failure.

Updates are passed to a callback, which stores the list.  All times are whole microseconds.
"""

from __future__ import annotations

import enum
from collections.abc import Callable, Sequence
from typing import Any, NamedTuple

import orjson
from loguru import logger
from twisted.internet.defer import Deferred
from twisted.internet.error import ConnectError
from twisted.internet.protocol import connectionDone
from twisted.protocols.basic import LineReceiver
from twisted.python.failure import Failure
from twisted.web.client import Agent
from twisted.web.iweb import IResponse

from ..balancing.poll_backoff import PollBackoff
from .deadlines import Deadline, DeadlineQueue

PATH = b"http://%b:%d/v1/endpoints?stream=1&index=%d"
CONNECT_TIMEOUT_SECONDS = 2
MAX_LINE_BYTES = 4 << 20
STATUS_OK = 200
MAX_CHANGES_LOGGED = 8  # of one update


class UpdateResult(NamedTuple):
    """The result of applying an update."""

    all_valid: bool
    has_new_invalid_entry: bool  # one that was not seen before
    state_changes: Sequence[str] = ()  # servers whose state has changed, each with its new state


UpdateCallback = Callable[[list[dict], bool], UpdateResult]


class WatchState(enum.Enum):
    """The states of the watch."""

    WAITING = "waiting"  # until the next request is due, or for the first call of `request_watch`
    REQUESTING = "requesting"
    STREAMING = "streaming"  # the response has begun
    STOPPED = "stopped"


class WatchLines(LineReceiver):
    """The body of a response: one JSON object per line, and an empty line every 2 s as a heartbeat."""

    delimiter = b"\n"
    MAX_LENGTH = MAX_LINE_BYTES
    transport: Any

    def __init__(self, watch: EndpointWatch) -> None:
        self.watch = watch

    def lineReceived(self, line: bytes) -> None:  # noqa: N802, D102
        if self.watch.body is self:
            self.watch.line_received(line)

    def lineLengthExceeded(self, line: bytes) -> None:  # noqa: N802, D102
        self.watch.connection_broke("line-too-long")

    def connectionLost(self, reason: Failure = connectionDone) -> None:  # noqa: N802, D102
        if self.watch.body is self:
            self.watch.connection_broke("watch-ended")


class EndpointWatch:
    """Requests the changes since the generation it has, and passes them on.

    After an invalid entry, the next request is for the complete list, because changes need not repeat the
    entry.
    """

    SILENCE_TIMEOUT = 5_000_000  # microseconds: two missed heartbeat lines (2 s each) plus 1 s
    # Microseconds from the last activity to the next request at the latest.  Changes must be known within
    # 6 s, of which 0.5 s is for the answer.
    UPDATE_WITHIN = 5_500_000
    # Microseconds.  After a change of address changes must be known within 4 s, of which 0.5 s is for the
    # answer.  Until then a request that is not answered is repeated sooner.
    MOVE_UPDATE_WITHIN = 3_500_000
    MOVE_SILENCE_TIMEOUT = 1_500_000

    def __init__(
        self,
        reactor: Any,
        deadlines: DeadlineQueue,
        now: Callable[[], int],
        backoff: PollBackoff,
        address: tuple[str, int],
        on_update: UpdateCallback,
    ) -> None:
        """Watch the service at `address` once `request_watch` is called.

        :param backoff: determines the pause before the next request after a failure.
        :param on_update: called with an update's entries, and whether they are the complete list.
        """
        self.agent = Agent(reactor, connectTimeout=CONNECT_TIMEOUT_SECONDS)
        self.deadlines, self.now, self.backoff, self.address = deadlines, now, backoff, address
        self.on_update = on_update
        self.state = WatchState.WAITING
        self.generation = 0
        self.is_incomplete = False  # an entry has been invalid since the last complete list
        self.pending_request: Deferred[IResponse] | None = None  # while requesting
        self.body: WatchLines | None = None  # while streaming
        self.update_by: int | None = None  # after a change of address, until a line was received
        self.last_activity_at = now()  # when the last line was received, or the last request was sent
        self.silence_timeout: Deadline | None = None
        self.next_request: Deadline | None = None

    @property
    def is_streaming(self) -> bool:
        """Whether a response is being received, so that changes arrive as they are made."""
        return self.state is WatchState.STREAMING

    def load_known(self, listing: dict) -> None:
        """Start from a known listing; raises the errors of `apply_listing`."""
        self.apply_listing(listing)

    def request_watch(self) -> None:
        """Request the changes since the current generation, unless a request is open or the watch stopped."""
        if self.state is not WatchState.WAITING:
            return
        if self.next_request is not None:
            self.next_request.cancel()
        since = 0 if self.is_incomplete else self.generation
        host, port = self.address
        self.record_activity()
        request = self.pending_request = self.agent.request(b"GET", PATH % (host.encode(), port, since))
        self.state = WatchState.REQUESTING
        request.addCallbacks(self._response_begun, self._request_failed, (request,), errbackArgs=(request,))

    def record_activity(self) -> None:
        """Restart the silence timeout, which detects a host that vanished without closing the connection."""
        if self.silence_timeout is not None:
            self.silence_timeout.cancel()
        self.last_activity_at = self.now()
        moved = self.update_by is not None and self.last_activity_at < self.update_by
        timeout_at = self.last_activity_at + (self.MOVE_SILENCE_TIMEOUT if moved else self.SILENCE_TIMEOUT)
        self.silence_timeout = self.deadlines.call_at(timeout_at, self.connection_broke, "silent")

    def line_received(self, line: bytes) -> None:
        """Handle a line of the stream; end the connection if the line is invalid."""
        self.update_by = None
        self.record_activity()
        if not line.strip():
            return
        try:
            has_new_invalid_entry = self.apply_listing(orjson.loads(line))
        except Exception as error:  # any error: the watch is requested again
            logger.error(
                "discovery: invalid line, the watch is requested again: {}: {}", type(error).__name__, error
            )
            self.connection_broke("unreadable")
            return
        self.backoff.failures = 0
        if has_new_invalid_entry:  # request again, in case the entry was damaged in transit
            self.connection_broke("unusable-entry")

    def apply_listing(self, listing: dict) -> bool:
        """Pass on an update; return whether it contains a new invalid entry.

        :raises KeyError, TypeError, ValueError: if the listing has the wrong format.
        """
        generation, is_complete = int(listing["generation"]), bool(listing.get("reset"))
        result = self.on_update(listing["instances"], is_complete)
        self.is_incomplete = not result.all_valid or (self.is_incomplete and not is_complete)
        self.generation = generation
        if result.state_changes:
            count, named = len(result.state_changes), ",".join(result.state_changes[:MAX_CHANGES_LOGGED])
            logger.info("server states changed generation={} servers={} states={}", generation, count, named)
        return result.has_new_invalid_entry

    def connection_broke(self, code: str) -> None:
        """End the request or stream, if there is one, and schedule the next request unless stopped."""
        if self.silence_timeout is not None:
            self.silence_timeout.cancel()
        if self.state is not WatchState.STOPPED:
            self.state = WatchState.WAITING
        request, self.pending_request = self.pending_request, None
        if request is not None:
            request.cancel()
        body, self.body = self.body, None
        if body is not None and body.transport is not None:
            body.transport.loseConnection()
        logger.info("discovery watch ended generation={} code={}", self.generation, code)
        if self.state is not WatchState.STOPPED:
            latest = self.last_activity_at + self.UPDATE_WITHIN
            if self.update_by is not None:
                latest = min(latest, self.update_by)
            request_at = self.backoff.record_failure(self.now(), latest)
            self.next_request = self.deadlines.call_at(request_at, self.request_watch)

    def change_address(self, address: tuple[str, int]) -> None:
        """Watch the service at another address; the generations continue, so the known list stays valid."""
        if address == self.address or self.state is WatchState.STOPPED:
            return
        self.address = address
        self.backoff.failures = 0
        self.update_by = self.now() + self.MOVE_UPDATE_WITHIN
        if self.state is not WatchState.WAITING:
            self.connection_broke("moved")
        self.request_watch()

    def stop(self) -> None:
        """Stop the watch permanently."""
        is_open = self.state in (WatchState.REQUESTING, WatchState.STREAMING)
        self.state = WatchState.STOPPED
        if is_open:
            self.connection_broke("stopping")

    def _response_begun(self, response: Any, request: Deferred[IResponse]) -> None:
        body, is_current = WatchLines(self), request is self.pending_request
        if is_current:  # set first, because `deliverBody` delivers received data at once
            self.pending_request, self.body, self.state = None, body, WatchState.STREAMING
        response.deliverBody(body)
        if not is_current:
            body.transport.loseConnection()
        elif response.code != STATUS_OK and self.body is body:
            self.connection_broke(f"status-{response.code}")

    def _request_failed(self, reason: Failure, request: Deferred[IResponse]) -> None:
        if request is self.pending_request:
            is_refused = reason.check(ConnectError)
            self.connection_broke("refused" if is_refused else type(reason.value).__name__)
