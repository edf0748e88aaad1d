"""The watch of the endpoint list: a streaming HTTP request to the discovery service, renewed when broken.

The list itself is kept by who is called with the updates.  All times are whole microseconds.
"""

from __future__ import annotations

import enum
from collections.abc import Callable
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


class UpdateResult(NamedTuple):
    """What became of an update's entries."""

    all_usable: bool
    has_new_faults: bool  # some could not be used, and were not seen before


UpdateCallback = Callable[[list[dict], bool], UpdateResult]


class WatchState(enum.Enum):
    """The states of the watch."""

    WAITING = "waiting"  # for the time of the next request, or for the first call of `request_watch`
    REQUESTING = "requesting"
    STREAMING = "streaming"  # the response has begun
    STOPPED = "stopped"


class WatchLines(LineReceiver):
    """A response's body: an object a line, and an empty line every 2 s."""

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
    """Requests the endpoint list's changes from the generation it has, and passes them on.

    After an entry that could not be used it requests the whole list: only that shows that all is known.
    """

    SILENCE_TIMEOUT = 5_000_000  # microseconds: two keep-alive lines (2 s each) missed, plus 1 s
    # Microseconds from the last activity to the next request at the latest: changes must be known within 6 s,
    # 0.5 s is kept for the answer.
    UPDATE_WITHIN = 5_500_000

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

        :param backoff: says when to request again after a failure.
        :param on_update: called with an update's entries, and whether they are the whole list.
        """
        self.agent = Agent(reactor, connectTimeout=CONNECT_TIMEOUT_SECONDS)
        self.deadlines, self.now, self.backoff, self.address = deadlines, now, backoff, address
        self.on_update = on_update
        self.state = WatchState.WAITING
        self.generation = 0
        self.is_incomplete = False  # some entry could not be used since the last whole list
        self.call: Deferred[IResponse] | None = None  # while requesting
        self.body: WatchLines | None = None  # while streaming
        self.last_activity_at = now()  # when something was heard last, or requested
        self.silence_timeout: Deadline | None = None
        self.next_request: Deadline | None = None

    @property
    def is_streaming(self) -> bool:
        """Whether the service answers: changes come as they are made."""
        return self.state is WatchState.STREAMING

    def load_known(self, listing: dict) -> None:
        """Start from a listing that was kept; raises what `apply_listing` does."""
        self.apply_listing(listing)

    def request_watch(self) -> None:
        """Request the changes since the present generation, unless that is under way or the watch stopped."""
        if self.state is not WatchState.WAITING:
            return
        if self.next_request is not None:
            self.next_request.cancel()
        since = 0 if self.is_incomplete else self.generation
        host, port = self.address
        self.note_activity()
        call = self.call = self.agent.request(b"GET", PATH % (host.encode(), port, since))
        self.state = WatchState.REQUESTING
        call.addCallbacks(self._response_begun, self._request_failed, (call,), errbackArgs=(call,))

    def note_activity(self) -> None:
        """Restart the timeout for silence: of a host that vanished the connection stays open."""
        if self.silence_timeout is not None:
            self.silence_timeout.cancel()
        self.last_activity_at = self.now()
        timeout_at = self.last_activity_at + self.SILENCE_TIMEOUT
        self.silence_timeout = self.deadlines.call_at(timeout_at, self.connection_broke, "silent")

    def line_received(self, line: bytes) -> None:
        """Take a line of the stream; one that can't be read breaks the connection."""
        self.note_activity()
        if not line.strip():
            return
        try:
            has_new_faults = self.apply_listing(orjson.loads(line))
        except Exception as fault:  # whatever may come: the watch is begun anew
            logger.error("discovery: a line that can't be used: {}: {}", type(fault).__name__, fault)
            self.connection_broke("unreadable")
            return
        self.backoff.failures = 0
        if has_new_faults:  # what was spoilt on its way comes whole with the next request
            self.connection_broke("unusable-entry")

    def apply_listing(self, listing: dict) -> bool:
        """Pass on an update; return whether something in it could not be used that was not seen before.

        :raises KeyError, TypeError, ValueError: for a listing of another form.
        """
        generation, is_whole = int(listing["generation"]), bool(listing.get("reset"))
        all_usable, has_new_faults = self.on_update(listing["instances"], is_whole)
        self.is_incomplete = not all_usable or (self.is_incomplete and not is_whole)
        self.generation = generation
        return has_new_faults

    def connection_broke(self, code: str) -> None:
        """End the request or stream, if there is one, and request again after a pause unless stopped."""
        if self.silence_timeout is not None:
            self.silence_timeout.cancel()
        if self.state is not WatchState.STOPPED:
            self.state = WatchState.WAITING
        call, self.call = self.call, None
        if call is not None:
            call.cancel()
        body, self.body = self.body, None
        if body is not None and body.transport is not None:
            body.transport.loseConnection()
        logger.info("end discovery generation={} code={}", self.generation, code)
        if self.state is not WatchState.STOPPED:
            request_at = self.backoff.record_failure(self.now(), self.last_activity_at + self.UPDATE_WITHIN)
            self.next_request = self.deadlines.call_at(request_at, self.request_watch)

    def change_address(self, address: tuple[str, int]) -> None:
        """Watch the service at another address; its generations go on, so what is known stays known."""
        if address == self.address or self.state is WatchState.STOPPED:
            return
        self.address = address
        self.backoff.failures = 0
        if self.state is not WatchState.WAITING:
            self.connection_broke("moved")
        self.request_watch()

    def stop(self) -> None:
        """End the watch for good."""
        is_open = self.state in (WatchState.REQUESTING, WatchState.STREAMING)
        self.state = WatchState.STOPPED
        if is_open:
            self.connection_broke("stopping")

    def _response_begun(self, response: Any, call: Deferred[IResponse]) -> None:
        body, is_current = WatchLines(self), call is self.call
        if is_current:  # noted first: what has come already is delivered at once
            self.call, self.body, self.state = None, body, WatchState.STREAMING
        response.deliverBody(body)
        if not is_current:
            body.transport.loseConnection()
        elif response.code != STATUS_OK and self.body is body:
            self.connection_broke(f"status-{response.code}")

    def _request_failed(self, reason: Failure, call: Deferred[IResponse]) -> None:
        if call is self.call:
            is_refused = reason.check(ConnectError)
            self.connection_broke("refused" if is_refused else type(reason.value).__name__)
