"""The configuration file's keys and their types, as operators write them.

Field names are the file's keys; `instance.py` maps them to the terms of the code (docs/glossary.md).  Unknown
keys are ignored, and absent and null ones get their defaults where they are read.  Spans are nanoseconds.
"""

from __future__ import annotations

from functools import lru_cache
from ipaddress import ip_address
from typing import Annotated, Any, Literal, TypeVar

import msgspec
from msgspec import Meta, Struct

from .errors import ConfigurationError

Nanoseconds = Annotated[int, Meta(ge=0)] | None
Fraction = Annotated[float, Meta(ge=0, le=1)] | None
# Finite: a priority beyond all others would have no rank.
Figure = Annotated[float, Meta(ge=0, le=1e12)] | None
Count = Annotated[int, Meta(ge=1)] | None

ADDRESSES_CACHED = 8192  # an endpoint list names each of its servers anew

T = TypeVar("T")


class RequestClassSettings(Struct):
    """One entry of `settings.methods`."""

    name: str
    semantics: Literal["pure", "token", "side_effect"] | None = None  # `Idempotency`
    latency_budget: Nanoseconds = None  # latency objective
    give_up: Nanoseconds = None  # longest deadline; without a latency objective, that too
    criticality: Figure = None  # priority weight
    tardy_criticality: Figure = None  # priority weight of a late answer
    group: Literal["all", "zone", "cell"] | None = None  # `DedupGroup`: servers that know each other's keys
    window: Nanoseconds = None  # dedup window


class TenantSettings(Struct):
    """One entry of `settings.parties`."""

    name: str
    allowance_per_s: Figure = None  # quota: requests a second over all processes


class LimitSettings(Struct):
    """`settings.limits`."""

    conn_idle: Nanoseconds = None  # idle timeout of connections
    connect_timeout: Nanoseconds = None
    streams_per_conn: Count = None  # attempts in flight on a connection
    most_write_outs: Count = None  # attempts of a request
    may_duplicate: bool | None = None  # hedging is enabled
    retry_after: bool | None = None  # rejections carry a Retry-After
    max_retry_after: Nanoseconds = None  # the Retry-After that is sent
    peers: bool | None = None  # gossip is enabled


class RuleSettings(Struct):
    """`settings.rules`: the slow start of servers, and how soon list changes count."""

    cold: Nanoseconds = None  # duration of the slow start
    cold_share: Fraction = None  # initial fraction of the slow start
    overload_factor: Figure = None  # times its capacity that pushes a cold server over
    ask_within: Nanoseconds = None  # poll backoff: the pauses, where lists are polled
    stop_sending_within: Nanoseconds = None  # poll backoff: bounds the pauses, where lists are pushed


class LoadReportSettings(Struct):
    """`settings.reporting`."""

    how: Literal["answers", "probe", "none"] | None = None  # answers: load reports come with them
    columns: list[str] | None = None  # figures of a load report


class ObjectiveSettings(Struct):
    """`settings.blend`, what the operators weigh: checked and carried, no decision depends on it."""

    whole: Figure = None
    worst_window: Figure = None
    worst_class: Figure = None
    worst_tenant: Figure = None
    tail_part: Figure = None
    miss_share: Fraction = None
    availability: Figure = None
    nines_wanted: Figure = None


class OriginSettings(Struct):
    """`settings.specifics`."""

    origin_kind: int | None = None  # index of the origin's machine kind


class InstanceSettings(Struct):
    """`settings`: what an instance is given, on sockets and in the simulator alike."""

    methods: list[RequestClassSettings] | None = None  # request classes
    parties: list[TenantSettings] | None = None  # tenants
    kinds: list[str] | None = None  # machine kinds
    limits: LimitSettings | None = None
    rules: RuleSettings | None = None
    specifics: OriginSettings | None = None  # the origin
    reporting: LoadReportSettings | None = None  # load reports
    blend: ObjectiveSettings | None = None  # objectives
    zone: str | None = None
    zones: list[str] | None = None
    discovery: Literal["push", "ask"] | None = None  # ask: lists come only as answers to polls
    weight_source: Literal["none", "nominal", "rough", "live"] | None = None  # of the servers
    excess_criticality: Figure = None  # factor on the priority weight beyond a quota
    n_instances: Count = None  # number of processes
    slot_no: Annotated[int, Meta(ge=0)] | None = None  # this process's number among them
    granularity: Nanoseconds = None  # of the clock


class MachineLimits(Struct):
    """`limits`: what the process may use of its machine."""

    sockets: Annotated[int, Meta(ge=64)] | None = None
    memory_mb: Annotated[float, Meta(gt=0)] | None = None


class ConfigurationFile(Struct):
    """The whole file of a proxy on sockets."""

    settings: InstanceSettings
    listen: str | None = None
    discovery: str | None = None
    admin_addr: str | None = None
    name: str | None = None
    seed: str | int | None = None
    limits: MachineLimits | None = None
    peer_listen: str | None = None
    peers: list[str] | None = None
    known: dict[str, Any] | None = None


def microseconds(nanoseconds: int | None) -> int:
    """Return whole microseconds, rounded down; 0 for None."""
    return (nanoseconds or 0) // 1000


def convert(values: Any, kind: type[T]) -> T:
    """Return the values as that type.

    :raises ConfigurationError: names the key that has another type or is out of bounds.
    """
    try:
        return msgspec.convert(values, kind)
    except msgspec.ValidationError as error:
        raise ConfigurationError(str(error).replace("$", "configuration")) from None


@lru_cache(maxsize=ADDRESSES_CACHED)
def parse_address(text: str | None, key: str) -> tuple[str, int]:
    """Return the IP address and the port of `HOST:PORT`.

    :raises ConfigurationError: names the key.

    >>> parse_address("127.0.0.1:6379", "listen")
    ('127.0.0.1', 6379)
    """
    host, _, port = (text or "").rpartition(":")
    try:
        return str(ip_address(host)), convert(int(port), Annotated[int, Meta(ge=1, le=65535)])  # type: ignore[arg-type]
    except ValueError:
        raise ConfigurationError(f"`{key}`: wanted an address and a port, got {text!r}") from None
