"""Watches the endpoint list by a streaming HTTP request to discovery, which is retried after a failure.

Updates are passed to a callback, which stores the list.  How each call and each watch ends is recorded in
`ListFreshness`.  All times are whole microseconds.
"""

from __future__ import annotations

from collections.abc import Callable, Iterator, Sequence
from contextlib import AbstractContextManager, contextmanager, nullcontext
from typing import Any, NamedTuple

import orjson
from loguru import logger
from twisted.internet.defer import Deferred
from twisted.internet.error import ConnectionRefusedError, TimeoutError
from twisted.python.failure import Failure
from twisted.web.iweb import IResponse

from ..balancing.poll_backoff import PollBackoff
from .deadlines import Deadline, DeadlineQueue
from .discovery_agent import DiscoveryAgent
from .discovery_url import watch_url
from .list_freshness import MAX_LAG_US, ListFreshness
from .watch_stream import CallEnd, WatchLines, WatchListener, WatchState

STATUS_OK = 200
MAX_CHANGES_LOGGED = 8  # of one update
# Microseconds from a call until discovery counts as silent.  The agent shares a machine that may be busy: its
# answer may take 1.5 s.
ANSWER_TIMEOUT_US = 2_000_000
MAX_LOST_CALLS = 2  # in a row, until discovery counts as refusing: a reset of one call proves nothing
MICROSECONDS_PER_MILLISECOND = 1_000


class UpdateResult(NamedTuple):
    """The result of applying an update."""

    all_valid: bool
    has_new_invalid_entry: bool  # one that was not seen before
    state_changes: Sequence[str] = ()  # servers whose state has changed, each with its new state


UpdateCallback = Callable[[list[dict], bool], UpdateResult]


class EndpointWatch:
    """Requests the changes since the generation it has, and passes them on.

    After an invalid entry, the next request is for the complete list, because changes need not repeat the
    entry.
    """

    SILENCE_TIMEOUT = 4_500_000  # microseconds: two missed heartbeat lines (2 s each) plus 0.5 s
    # Microseconds from the last activity to the next request at the latest.  Changes must be known within
    # 6 s, of which 0.5 s is for the answer.
    UPDATE_WITHIN = 5_500_000
    # Microseconds.  After a change of address changes must be known within 4 s, of which 0.5 s is for the
    # answer.  Until then a request that is not answered is repeated sooner.
    MOVE_UPDATE_WITHIN = 3_500_000
    MOVE_SILENCE_TIMEOUT = ANSWER_TIMEOUT_US
    # Microseconds between the times at which all that has arrived is read, while a call or a stream is open.
    READ_INTERVAL = 200_000

    def __init__(
        self,
        reactor: Any,
        deadlines: DeadlineQueue,
        now: Callable[[], int],
        backoff: PollBackoff,
        address: tuple[str, int],
        on_update: UpdateCallback,
        freshness: ListFreshness,
        update_batch: Callable[[], AbstractContextManager[None]] = nullcontext,
    ) -> None:
        """Watch the service at `address` once `request_watch` is called.

        :param backoff: determines the pause before the next request after a failure.
        :param on_update: called with an update's entries, and whether they are the complete list.
        :param freshness: notified of all that says how new the list is.
        :param update_batch: the context in which the updates are applied that are received at once.
        """
        self.agent = DiscoveryAgent(reactor, now)
        self.deadlines, self.now, self.backoff, self.address = deadlines, now, backoff, address
        self.on_update, self.freshness, self.update_batch = on_update, freshness, update_batch
        self.listener: WatchListener | None = None
        self.state = WatchState.WAITING
        self.generation = 0
        self.is_incomplete = False  # an entry has been invalid since the last complete list
        self.pending_request: Deferred[IResponse] | None = None  # while requesting
        self.body: WatchLines | None = None  # while streaming
        self.update_by: int | None = None  # after a change of address, until a line was received
        # When the last line arrived at the latest, as far as that is known, or the last request was sent.
        self.last_activity_at = now()
        self.requested_at = now()
        self.drained_at = now()  # when all that had arrived was last read
        self.is_reading = False  # input is being handled
        self.lost_calls = 0  # in a row
        self.next_read: Deadline | None = None  # while a call or a stream is open
        self.silence_timeout: Deadline | None = None
        self.next_request: Deadline | None = None

    @property
    def is_streaming(self) -> bool:
        """Whether a response is being received, so that changes arrive as they are made."""
        return self.state is WatchState.STREAMING

    @property
    def is_open(self) -> bool:
        """Whether a call or the watch that it has opened is in progress."""
        return self.state in (WatchState.REQUESTING, WatchState.STREAMING)

    @property
    def awaits_answer(self) -> bool:
        """Whether a call is in progress of which no usable line was received."""
        return self.is_open and not (self.body is not None and self.body.has_line)

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
        self.requested_at = self.drained_at = self.now()
        self.record_activity(self.requested_at)
        self._schedule_read(self.READ_INTERVAL)
        request = self.pending_request = self.agent.request(b"GET", watch_url(self.address, since))
        self.state = WatchState.REQUESTING
        request.addCallbacks(self._response_begun, self._request_failed, (request,), errbackArgs=(request,))

    def call_again(self, code: str) -> None:
        """End the call or the stream, if there is one, and request the changes at once."""
        if self.state is WatchState.STOPPED:
            return
        if self.state is not WatchState.WAITING:
            self._end_call(code)
        self.request_watch()

    def ensure_call(self, code: str) -> None:
        """Have a call in progress whose answer may still come; make a call if there is none.

        :param code: the reason for the log.
        """
        if self.awaits_answer:
            answer_due_at = self.answer_due_at()
            if answer_due_at is None or answer_due_at > self.now():
                return
        self.call_again(code)

    def record_activity(self, at: int) -> None:
        """Restart the silence timeout, which detects a host that vanished without closing the connection.

        :param at: microseconds: when the host was certainly there.
        """
        if self.silence_timeout is not None:
            self.silence_timeout.cancel()
        self.last_activity_at = at
        moved = self.update_by is not None and self.last_activity_at < self.update_by
        timeout_at = self.last_activity_at + (self.MOVE_SILENCE_TIMEOUT if moved else self.SILENCE_TIMEOUT)
        self.silence_timeout = self.deadlines.call_at(
            timeout_at, self.connection_broke, "silent", CallEnd.SILENT
        )

    def line_received(self, line: bytes) -> None:
        """Handle a line of the stream; end the connection if the line is invalid."""
        self.update_by = None
        self.record_activity(self.drained_at)  # it arrived since then, but the stream may be silent by now
        if not line.strip():
            self._report_heard()
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
        self._report_heard()
        if has_new_invalid_entry:  # request again, in case the entry was damaged in transit
            self.connection_broke("unusable-entry")

    def _report_heard(self) -> None:
        self.freshness.line_arrived(self.last_activity_at)
        if self.awaits_answer and self.body is not None:
            self.body.has_line, self.lost_calls = True, 0
            answer_ms = (self.now() - self.requested_at) // MICROSECONDS_PER_MILLISECOND
            logger.info("discovery answered generation={} answer_ms={}", self.generation, answer_ms)
        if self.listener is not None:
            self.listener.heard()

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

    def connection_broke(self, code: str, end: CallEnd = CallEnd.LOST) -> None:
        """End the request or stream, if there is one, and schedule the next request unless stopped.

        :param end: what this says of discovery, for a process that has not stood still meanwhile.
        """
        is_answer_missing, stood_still = self.awaits_answer, self._has_stood_still()
        self._end_call(code)
        if self.state is WatchState.STOPPED:
            return
        next_request_at = self._schedule_request(at_once=stood_still)
        if stood_still:  # the connection may have ended long ago, and discovery may answer again
            self.freshness.watch_lost(self.drained_at)
        elif is_answer_missing:
            self._call_failed(code, end, next_request_at)
        elif end is not CallEnd.SILENT:  # a silent watch has a later time limit
            self.freshness.watch_lost(self.drained_at)

    def _schedule_request(self, at_once: bool) -> int:
        """Schedule the next request and return its time, which is as early as possible with `at_once`."""
        latest = self.last_activity_at + self.UPDATE_WITHIN
        if self.update_by is not None:
            latest = min(latest, self.update_by)
        request_at = self.backoff.record_failure(self.now(), self.drained_at if at_once else latest)
        self.next_request = self.deadlines.call_at(request_at, self.request_watch)
        return request_at

    def _call_failed(self, code: str, end: CallEnd, next_request_at: int) -> None:
        self.lost_calls = self.lost_calls + 1 if end is CallEnd.LOST else 0
        if end is CallEnd.LOST and self.lost_calls < MAX_LOST_CALLS:
            self.freshness.watch_lost(self.drained_at)
            if self.listener is not None:
                self.listener.call_lost(code)
            return
        if end is CallEnd.SILENT:
            self.freshness.call_unanswered(next_request_at + ANSWER_TIMEOUT_US)
        else:
            self.freshness.call_refused(next_request_at)
        if self.listener is not None:
            self.listener.call_failed(code)

    def _end_call(self, code: str) -> None:
        """End the request or stream, if there is one; `code` is logged as the reason."""
        for deadline in (self.silence_timeout, self.next_read):
            if deadline is not None:
                deadline.cancel()
        if self.state is not WatchState.STOPPED:
            self.state = WatchState.WAITING
        request, self.pending_request = self.pending_request, None
        if request is not None:
            request.cancel()
        body, self.body = self.body, None
        if body is not None and body.transport is not None:
            body.transport.loseConnection()
        self.agent.end_call()
        logger.info("discovery watch ended generation={} code={}", self.generation, code)

    # Reading ahead of the reactor.

    @contextmanager
    def reading(self) -> Iterator[None]:
        """Mark that input is being handled, of which further lines may follow the present one."""
        was_reading, self.is_reading = self.is_reading, True
        try:
            yield
        finally:
            self.is_reading = was_reading

    def read_now(self) -> None:
        """Read all that has arrived, without waiting for the reactor to report it."""
        if self.is_reading:
            return
        with self.reading():
            has_ended = self.agent.read_now()
        if has_ended and self.is_open:
            self.connection_broke("watch-ended")
        self.drained_at = self.now()

    def answer_due_at(self) -> int | None:
        """Return when discovery counts as silent, if it has not answered the open call or the next by then.

        The result is None while a connection is being established, because the call is written after that.
        """
        if self.state is WatchState.WAITING:
            due_at = self.now() if self.next_request is None else self.next_request.due_at
            return int(due_at) + ANSWER_TIMEOUT_US
        connected_at = self.agent.connected_at
        return None if connected_at is None else connected_at + ANSWER_TIMEOUT_US

    def go_without_answer(self) -> None:
        """Use the list as it is until the open call is repeated, because discovery is silent."""
        next_request_by = max(self.requested_at, self.last_activity_at) + self.UPDATE_WITHIN
        self.freshness.call_unanswered(next_request_by + ANSWER_TIMEOUT_US)

    def _schedule_read(self, delay: int) -> None:
        if self.next_read is not None:
            self.next_read.cancel()
        self.next_read = self.deadlines.call_at(self.now() + delay, self._read_regularly)

    def _read_regularly(self) -> None:
        self.read_now()
        if not self.is_open:
            return
        delay, answer_due_at = self.READ_INTERVAL, self.answer_due_at()
        if self.awaits_answer and answer_due_at is not None:
            if answer_due_at > self.now():
                delay = min(delay, answer_due_at - self.now())
            else:
                self.go_without_answer()
        self._schedule_read(delay)

    def _has_stood_still(self) -> bool:
        """Return whether the process has not read for so long that it must have stood still."""
        return self.now() - self.drained_at > self.READ_INTERVAL + MAX_LAG_US

    def change_address(self, address: tuple[str, int]) -> None:
        """Watch the service at another address; the generations continue, so the known list stays valid."""
        if address == self.address or self.state is WatchState.STOPPED:
            return
        # The operators' signal may have come at any time since this process last ran.
        self.freshness.address_changed(self.drained_at)
        self.read_now()  # what the former address has written
        self.address = address
        self.backoff.failures = 0
        self.update_by = self.now() + self.MOVE_UPDATE_WITHIN
        self.call_again("moved")

    def stop(self) -> None:
        """Stop the watch permanently."""
        was_open = self.is_open
        self.state = WatchState.STOPPED
        if was_open:
            self._end_call("stopping")

    def _response_begun(self, response: Any, request: Deferred[IResponse]) -> None:
        body, is_current = WatchLines(self), request is self.pending_request
        if is_current:  # set first, because `deliverBody` delivers received data at once
            self.pending_request, self.body, self.state = None, body, WatchState.STREAMING
        response.deliverBody(body)
        if not is_current:
            body.transport.loseConnection()
        elif response.code != STATUS_OK and self.body is body:
            self.connection_broke(f"status-{response.code}", CallEnd.REFUSED)

    def _request_failed(self, reason: Failure, request: Deferred[IResponse]) -> None:
        if request is not self.pending_request:
            return
        if reason.check(ConnectionRefusedError):
            self.connection_broke("refused", CallEnd.REFUSED)
        elif reason.check(TimeoutError):  # nobody has accepted the connection
            self.connection_broke("connect-timeout", CallEnd.SILENT)
        else:
            self.connection_broke(type(reason.value).__name__)
