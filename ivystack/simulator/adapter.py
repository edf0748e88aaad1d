"""Decodes the simulator's lines, hands each event to its instance, and encodes the actions that follow."""

from __future__ import annotations

from collections.abc import Callable
from typing import Any

import orjson

from ..configuration.schema import microseconds
from .instance import SimulatedInstance
from .protocol import (
    ATTEMPT_ENDED,
    BATCH_DONE,
    CLIENT_GONE,
    END_BATCH,
    ENDPOINTS_CHANGED,
    GOSSIP_RECEIVED,
    IGNORED_EVENTS,
    INSTANCE_FAILED,
    INSTANCE_KILLED,
    INSTANCE_STARTED,
    LIST_FAILED,
    LIST_KINDS,
    REGISTER_ENDPOINTS,
    REQUEST_ARRIVED,
    START_BATCH,
    BadLineError,
    DecisionError,
)

INSTANCE_EVENTS: dict[str, Callable[..., None]] = {
    REQUEST_ARRIVED: SimulatedInstance.request_arrived,
    ATTEMPT_ENDED: SimulatedInstance.attempt_ended,
    CLIENT_GONE: SimulatedInstance.client_gone,
    GOSSIP_RECEIVED: SimulatedInstance.gossip_received,
    **dict.fromkeys(IGNORED_EVENTS, SimulatedInstance.ignore),
}

# What unpacking and using a malformed message's values can raise.
MALFORMED = (TypeError, ValueError, KeyError, IndexError, AttributeError)


class SimulatorAdapter:
    """Answers the simulator's lines for all of its proxies.

    A proxy whose balancer fails is reported once and its later events are ignored; the others go on.
    """

    def __init__(self) -> None:
        self.now: int | None = None  # microseconds; None: outside a batch
        self.instances: dict[str, SimulatedInstance] = {}
        self.touched: dict[str, SimulatedInstance] = {}  # had an event in this batch
        self.failed: set[str] = set()
        self.failures: list[list[Any]] = []  # to report at the end of this batch
        self.endpoint_lists: dict[int, list[list[Any]]] = {}  # by the simulator's number
        self.handlers: dict[str, Callable[..., bytes | None]] = {
            START_BATCH: self._start_batch,
            END_BATCH: self._end_batch,
            REGISTER_ENDPOINTS: self._register_endpoints,
            INSTANCE_STARTED: self._instance_started,
            INSTANCE_KILLED: self._instance_killed,
            ENDPOINTS_CHANGED: self._endpoints_changed,
        }

    def handle_line(self, line: bytes) -> bytes | None:
        """Process one line; return the answer if it ends a batch.

        :raises BadLineError: the line is malformed.
        """
        name, values = self._decode(line)
        if self.now is None and name != START_BATCH:
            raise BadLineError(f"{name} outside a batch")
        handler = self.handlers.get(name)
        try:
            if handler is not None:
                return handler(*values)
            self._instance_event(name, *values)
        except DecisionError as error:
            self._report_failure(values[0], error)
        except MALFORMED as error:
            raise BadLineError(f"{name}: {type(error).__name__}: {error}") from None
        return None

    @staticmethod
    def _decode(line: bytes) -> tuple[str, list[Any]]:
        """Return a message's name and its values."""
        try:
            message = orjson.loads(line)
        except orjson.JSONDecodeError as error:
            raise BadLineError(f"not JSON: {error}") from None
        if not isinstance(message, list) or not message or not isinstance(message[0], str):
            raise BadLineError("not an array that begins with a name")
        return message[0], message[1:]

    def _start_batch(self, now: int, *_: object) -> None:
        """Set the clock; it comes in nanoseconds."""
        self.now = microseconds(now)

    def _register_endpoints(self, number: int, entries: list[list[Any]], *_: object) -> None:
        self.endpoint_lists[number] = entries

    def _instance_started(self, proxy: str, seed: int, config: dict[str, Any], *_: object) -> None:
        if proxy in self.failed:
            return
        instance = SimulatedInstance(proxy, seed, config, self._time())
        self.touched[proxy] = self.instances[proxy] = instance

    def _instance_killed(self, proxy: str, *_: object) -> None:
        if proxy in self.failed:
            return
        self.instances.pop(proxy, None)
        self.touched.pop(proxy, None)

    def _endpoints_changed(self, proxy: str, *values: Any) -> None:
        if proxy in self.failed:
            return
        instance = self._touch(proxy, ENDPOINTS_CHANGED)
        number, list_kind, *_ = values
        if list_kind not in LIST_KINDS:
            raise BadLineError("an endpoint list of no known kind")
        entries = [] if list_kind == LIST_FAILED else self.endpoint_lists[number]
        instance.endpoints_changed(self._time(), entries, list_kind)

    def _instance_event(self, name: str, proxy: str, *values: Any) -> None:
        """Hand an event to its instance."""
        if proxy in self.failed:
            return
        instance = self._touch(proxy, name)
        handler = INSTANCE_EVENTS.get(name)
        if handler is None:
            raise BadLineError(f"no such event: {name}")
        handler(instance, self.now, *values)

    def _touch(self, proxy: str, event: str) -> SimulatedInstance:
        """Return the running instance, whose due actions are then collected as the batch ends."""
        instance = self.instances.get(proxy)
        if instance is None:
            raise BadLineError(f"{event} for a proxy that is not up")
        self.touched[proxy] = instance
        return instance

    def _time(self) -> int:
        """Return the batch's time, in microseconds."""
        assert self.now is not None
        return self.now

    def _report_failure(self, proxy: str, error: DecisionError) -> None:
        """Report a failed balancer with this batch, and ignore its instance from now on."""
        self.failures.append([INSTANCE_FAILED, proxy, str(error)])
        self.failed.add(proxy)
        self.touched.pop(proxy, None)

    def _end_batch(self, *_: object) -> bytes:
        """Return the actions of the batch, encoded."""
        lines, self.failures = self.failures, []
        now = self._time()
        for proxy, instance in list(self.touched.items()):
            try:
                instance.batch_ended(now)
            except DecisionError as error:
                self._report_failure(proxy, error)
            lines += instance.actions
            instance.actions = []
        lines += self.failures
        self.failures = []
        self.touched.clear()
        self.now = None
        lines.append([BATCH_DONE])
        return b"".join(orjson.dumps(line) + b"\n" for line in lines)
