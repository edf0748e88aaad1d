"""The state that an old process sends to its successor in a hot restart: its records, export and import.

The names on the wire are those of earlier releases; the fields below map them.  All times are microseconds
since 1970.
"""

from __future__ import annotations

import msgspec
from msgspec import Struct

from ..balancing.balancer import Balancer
from ..balancing.concurrency_limit import MAX_LIMIT, MIN_LIMIT, MIN_SHARE
from ..model import MAX_TIME_SAMPLES, FailureState, RequestClass, Server, ServerState

VERSION = 1  # of the records; a process that receives another version starts without the state
MAX_PROBE_DELAY = 10_000_000  # microseconds, longer than any pause between probes
UNKNOWN_KIND = -2  # a machine type that the settings do not name


class FailureRecord(Struct):
    """The recent failures of a server, or of one request class at a server."""

    consecutive_failures: int = msgspec.field(name="failures")
    connection_failed: bool = msgspec.field(name="broken")
    next_probe_at: int = msgspec.field(name="trial_at")
    probes: int = msgspec.field(name="trials")


class ServerRecord(Struct):
    """The observations of one server."""

    health: FailureRecord = msgspec.field(name="tried")
    class_failures: dict[str, FailureRecord] = msgspec.field(
        name="errors"
    )  # by the name of the request class
    started_at: int = msgspec.field(name="started")
    was_draining: bool = msgspec.field(name="drained")
    gone_at: int = msgspec.field(name="left_at")
    concurrency_limit: float = msgspec.field(name="window")
    admitted_share: float = msgspec.field(name="share")


class ProcessState(Struct):
    """The complete state that a process sends to its successor."""

    version: int = msgspec.field(name="v")
    generation: int  # of the endpoint list
    instances: list[dict]  # the endpoint list in discovery's format
    slots: list[str]  # names of servers in the order of their slots
    servers: dict[str, ServerRecord] = msgspec.field(name="nodes")
    attempt_times: dict[str, list[int]] = msgspec.field(name="times")  # microseconds, by class
    common_share: float = msgspec.field(
        name="common"
    )  # the share of requests admitted at servers without a recent outcome


def export_state(
    balancer: Balancer, request_classes: dict[str, RequestClass], generation: int, instances: list[dict]
) -> ProcessState:
    """Return the state of this process, for its successor."""
    names = {request_class: name for name, request_class in request_classes.items()}
    known = {*balancer.servers.values(), *balancer.placement.slots}
    servers = {server.name: _export_server(server, names) for server in known if not server.is_placeholder}
    slots = [server.name for server in balancer.placement.slots if not server.is_placeholder]
    attempt_times = {name: [*entry.attempt_times] for name, entry in request_classes.items()}
    common_share = balancer.limiter.common_share
    return ProcessState(VERSION, generation, instances, slots, servers, attempt_times, common_share)


def import_state(
    state: ProcessState, balancer: Balancer, request_classes: dict[str, RequestClass], now: int
) -> None:
    """Continue from the other process's slot order, server health, slow starts, limits and samples.

    Values out of range are clamped; unknown request classes are ignored.
    """
    for name, record in state.servers.items():
        server = balancer.servers.get(name) or _add_gone_server(name, record, balancer, now)
        _import_server(record, server, request_classes, now)
    for name, times in state.attempt_times.items():
        if name in request_classes:
            samples = [time for time in times[-MAX_TIME_SAMPLES:] if time >= 0]
            request_classes[name].attempt_times.extend(samples)
    balancer.limiter.common_share = min(1.0, max(MIN_SHARE, state.common_share))
    _import_slots(state.slots, balancer, now)


def _export_failures(state: FailureState) -> FailureRecord:
    return FailureRecord(
        state.consecutive_failures, state.connection_failed, state.next_probe_at, state.probes
    )


def _export_server(server: Server, class_names: dict[RequestClass, str]) -> ServerRecord:
    class_failures = {
        class_names[request_class]: _export_failures(state)
        for request_class, state in server.class_failures.items()
        if request_class in class_names
    }
    return ServerRecord(
        _export_failures(server.health),
        class_failures,
        server.started_at,
        server.was_draining,
        server.gone_at,
        server.concurrency_limit,
        server.admitted_share,
    )


def _add_gone_server(name: str, record: ServerRecord, balancer: Balancer, now: int) -> Server:
    """Add a server that is no longer listed; its slot stays reserved as long as in the other process."""
    server = Server(
        name,
        UNKNOWN_KIND,
        state=ServerState.GONE,
        was_draining=record.was_draining,
        gone_at=min(record.gone_at, now),
    )
    total_weight = sum(other.weight for other in balancer.servers.values())
    server.weight = total_weight / max(1, len(balancer.servers))
    balancer.servers[name] = server
    return server


def _import_server(
    record: ServerRecord, server: Server, request_classes: dict[str, RequestClass], now: int
) -> None:
    _import_failures(record.health, server.health, now)
    for name, failures in record.class_failures.items():
        if name in request_classes:
            state = server.class_failures.setdefault(request_classes[name], FailureState())
            _import_failures(failures, state, now)
    server.started_at = max(server.started_at, min(record.started_at, now))
    server.concurrency_limit = min(MAX_LIMIT, max(MIN_LIMIT, record.concurrency_limit))
    server.admitted_share = min(1.0, max(MIN_SHARE, record.admitted_share))


def _import_failures(record: FailureRecord, state: FailureState, now: int) -> None:
    state.consecutive_failures, state.probes = max(0, record.consecutive_failures), max(0, record.probes)
    state.connection_failed = record.connection_failed
    state.next_probe_at = min(record.next_probe_at, now + MAX_PROBE_DELAY)


def _import_slots(names: list[str], balancer: Balancer, now: int) -> None:
    placement = balancer.placement
    order = [balancer.servers[name] for name in dict.fromkeys(names) if name in balancer.servers]
    placement.slots = [server for server in order if server.kind != balancer.parameters.origin_kind]
    placement.location_cache.clear()
    placement.update(balancer.cache_servers(), now)
    if balancer.slot_order:  # the order is known, so peers need not be asked
        balancer.slot_order.stop_requests(now)
