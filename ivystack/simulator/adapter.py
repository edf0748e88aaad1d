"""Decode the simulator's lines, dispatch each event to its instance and encode the resulting actions."""

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
    MalformedLineError,
    BalancerError,
)

INSTANCE_EVENTS: dict[str, Callable[..., None]] = {
    REQUEST_ARRIVED: SimulatedInstance.request_arrived,
    ATTEMPT_ENDED: SimulatedInstance.attempt_ended,
    CLIENT_GONE: SimulatedInstance.client_gone,
    GOSSIP_RECEIVED: SimulatedInstance.gossip_received,
    **dict.fromkeys(IGNORED_EVENTS, SimulatedInstance.ignore),
}

# Exceptions raised when the values of a malformed message are unpacked or used.
MALFORMED_MESSAGE_ERRORS = (TypeError, ValueError, KeyError, IndexError, AttributeError)


class SimulatorAdapter:
    """Processes the simulator's lines for all simulated proxies.

    If the balancer of a proxy raises an exception, the failure is reported once and later events of that
    proxy are ignored.  The other proxies are not affected.
    """

    def __init__(self) -> None:
        self.now: int | None = None  # microseconds; None outside a batch
        self.instances: dict[str, SimulatedInstance] = {}  # by proxy name
        self.instances_in_batch: dict[str, SimulatedInstance] = {}  # instances with an event in this batch
        self.failed_proxies: set[str] = set()
        self.failure_reports: list[list[Any]] = []  # actions to append at the end of this batch
        self.endpoint_lists: dict[int, list[list[Any]]] = {}  # by the simulator's list number
        self.handlers: dict[str, Callable[..., bytes | None]] = {
            START_BATCH: self._start_batch,
            END_BATCH: self._end_batch,
            REGISTER_ENDPOINTS: self._register_endpoints,
            INSTANCE_STARTED: self._instance_started,
            INSTANCE_KILLED: self._instance_killed,
            ENDPOINTS_CHANGED: self._endpoints_changed,
        }

    def handle_line(self, line: bytes) -> bytes | None:
        """Process one line and return the encoded answer if the line ends a batch.

        :raises MalformedLineError: the line is malformed.
        """
        name, values = self._decode(line)
        if self.now is None and name != START_BATCH:
            raise MalformedLineError(f"{name} outside a batch")
        handler = self.handlers.get(name)
        try:
            if handler is not None:
                return handler(*values)
            self._instance_event(name, *values)
        except BalancerError as error:
            self._report_failure(values[0], error)
        except MALFORMED_MESSAGE_ERRORS as error:
            raise MalformedLineError(f"{name}: {type(error).__name__}: {error}") from None
        return None

    @staticmethod
    def _decode(line: bytes) -> tuple[str, list[Any]]:
        """Return the name and the values of a message."""
        try:
            message = orjson.loads(line)
        except orjson.JSONDecodeError as error:
            raise MalformedLineError(f"not JSON: {error}") from None
        if not isinstance(message, list) or not message or not isinstance(message[0], str):
            raise MalformedLineError("not an array that begins with a name")
        return message[0], message[1:]

    def _start_batch(self, now: int, *_: object) -> None:
        """Begin a batch at time `now`, in nanoseconds."""
        self.now = microseconds(now)

    def _register_endpoints(self, number: int, entries: list[list[Any]], *_: object) -> None:
        self.endpoint_lists[number] = entries

    def _instance_started(self, proxy: str, seed: int, config: dict[str, Any], *_: object) -> None:
        if proxy in self.failed_proxies:
            return
        instance = SimulatedInstance(proxy, seed, config, self._batch_time())
        self.instances_in_batch[proxy] = self.instances[proxy] = instance

    def _instance_killed(self, proxy: str, *_: object) -> None:
        if proxy in self.failed_proxies:
            return
        self.instances.pop(proxy, None)
        self.instances_in_batch.pop(proxy, None)

    def _endpoints_changed(self, proxy: str, *values: Any) -> None:
        if proxy in self.failed_proxies:
            return
        instance = self._running_instance(proxy, ENDPOINTS_CHANGED)
        number, list_kind, *_ = values
        if list_kind not in LIST_KINDS:
            raise MalformedLineError("unknown kind of endpoint list")
        entries = [] if list_kind == LIST_FAILED else self.endpoint_lists[number]
        instance.endpoints_changed(self._batch_time(), entries, list_kind)

    def _instance_event(self, name: str, proxy: str, *values: Any) -> None:
        """Dispatch an event to the instance of its proxy."""
        if proxy in self.failed_proxies:
            return
        instance = self._running_instance(proxy, name)
        handler = INSTANCE_EVENTS.get(name)
        if handler is None:
            raise MalformedLineError(f"unknown event: {name}")
        handler(instance, self.now, *values)

    def _running_instance(self, proxy: str, event: str) -> SimulatedInstance:
        """Return the proxy's instance and mark it, so that its due actions are collected at the batch's end.

        :raises MalformedLineError: no instance of the proxy is running.
        """
        instance = self.instances.get(proxy)
        if instance is None:
            raise MalformedLineError(f"{event} for a proxy that is not running")
        self.instances_in_batch[proxy] = instance
        return instance

    def _batch_time(self) -> int:
        """Return the time of the current batch, in microseconds."""
        assert self.now is not None
        return self.now

    def _report_failure(self, proxy: str, error: BalancerError) -> None:
        """Report the balancer's failure at the end of this batch and ignore later events of the proxy."""
        self.failure_reports.append([INSTANCE_FAILED, proxy, str(error)])
        self.failed_proxies.add(proxy)
        self.instances_in_batch.pop(proxy, None)

    def _end_batch(self, *_: object) -> bytes:
        """Return the encoded actions of the batch."""
        lines, self.failure_reports = self.failure_reports, []
        now = self._batch_time()
        for proxy, instance in list(self.instances_in_batch.items()):
            try:
                instance.batch_ended(now)
            except BalancerError as error:
                self._report_failure(proxy, error)
            lines += instance.actions
            instance.actions = []
        lines += self.failure_reports
        self.failure_reports = []
        self.instances_in_batch.clear()
        self.now = None
        lines.append([BATCH_DONE])
        return b"".join(orjson.dumps(line) + b"\n" for line in lines)
