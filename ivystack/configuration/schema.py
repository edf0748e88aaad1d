"""The configuration file's keys and their types, as operators write them.

The field names are the keys of the file; `instance.py` maps them to the terms of the code (docs/glossary.md).
Unknown keys are ignored.  Missing keys and null values get their defaults where the values are read.
Durations are nanoseconds.
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
# Bounded, because an infinite priority weight could not be ranked against the others.
NonNegativeNumber = Annotated[float, Meta(ge=0, le=1e12)] | None
PositiveInteger = Annotated[int, Meta(ge=1)] | None

ADDRESS_CACHE_SIZE = 8192  # every endpoint list repeats the addresses of all servers

T = TypeVar("T")


class RequestClassSettings(Struct):
    """A request class: one entry of `settings.methods`."""

    name: str
    semantics: Literal["pure", "token", "side_effect"] | None = None  # `Idempotency`
    latency_budget: Nanoseconds = None  # latency objective
    give_up: Nanoseconds = None  # longest deadline; also the latency objective if `latency_budget` is missing
    criticality: NonNegativeNumber = None  # priority weight
    tardy_criticality: NonNegativeNumber = None  # priority weight of a late answer
    # `DedupGroup`: the servers that share their idempotency keys
    group: Literal["all", "zone", "cell"] | None = None
    window: Nanoseconds = None  # deduplication window


class TenantSettings(Struct):
    """A tenant: one entry of `settings.parties`."""

    name: str
    allowance_per_s: NonNegativeNumber = None  # quota: requests per second over all processes


class LimitSettings(Struct):
    """`settings.limits`: limits of connections, attempts and retries."""

    conn_idle: Nanoseconds = None  # idle timeout of connections
    connect_timeout: Nanoseconds = None
    streams_per_conn: PositiveInteger = None  # maximum attempts in flight per connection
    most_write_outs: PositiveInteger = None  # maximum attempts per request
    may_duplicate: bool | None = None  # whether hedging is enabled
    retry_after: bool | None = None  # whether rejections carry a Retry-After
    max_retry_after: Nanoseconds = None  # the Retry-After of rejections
    peers: bool | None = None  # whether gossip is enabled


class RuleSettings(Struct):
    """`settings.rules`: the slow start of servers, and how soon changes of the endpoint list take effect."""

    cold: Nanoseconds = None  # duration of the slow start
    cold_share: Fraction = None  # fraction of its capacity that a server bears right after its start
    overload_factor: NonNegativeNumber = None  # load that overloads a cold server, per unit of its capacity
    ask_within: Nanoseconds = None  # sets the pauses of the poll backoff where lists are polled
    stop_sending_within: Nanoseconds = None  # bounds the pauses of the poll backoff where lists are pushed


class LoadReportSettings(Struct):
    """`settings.reporting`: the load reports of servers."""

    how: Literal["answers", "probe", "none"] | None = None  # `answers`: load reports arrive with the answers
    columns: list[str] | None = None  # names of the load report's values in use


class ObjectiveSettings(Struct):
    """`settings.blend`: the operators' objectives.  They are validated, but no decision depends on them."""

    whole: NonNegativeNumber = None
    worst_window: NonNegativeNumber = None
    worst_class: NonNegativeNumber = None
    worst_tenant: NonNegativeNumber = None
    tail_part: NonNegativeNumber = None
    miss_share: Fraction = None
    availability: NonNegativeNumber = None
    nines_wanted: NonNegativeNumber = None


class OriginSettings(Struct):
    """`settings.specifics`: the origin."""

    origin_kind: int | None = None  # index of the origin's machine kind


class InstanceSettings(Struct):
    """`settings`: the settings of one instance, the same on sockets and in the simulator."""

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
    discovery: Literal["push", "ask"] | None = None  # `ask`: lists arrive only as answers to polls
    weight_source: Literal["none", "nominal", "rough", "live"] | None = None  # source of the servers' weights
    excess_criticality: NonNegativeNumber = None  # factor on the priority weight of requests beyond a quota
    n_instances: PositiveInteger = None  # number of processes
    slot_no: Annotated[int, Meta(ge=0)] | None = None  # index of this process among them
    granularity: Nanoseconds = None  # resolution of the clock


class MachineLimits(Struct):
    """`limits`: the resources of the machine that the process may use."""

    sockets: Annotated[int, Meta(ge=64)] | None = None
    memory_mb: Annotated[float, Meta(gt=0)] | None = None


class ConfigurationFile(Struct):
    """The whole configuration file of a proxy on sockets."""

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


def convert(values: Any, target_type: type[T]) -> T:
    """Convert decoded values to `target_type`.

    :raises ConfigurationError: a value has another type or is out of bounds; the message names its key.
    """
    try:
        return msgspec.convert(values, target_type)
    except msgspec.ValidationError as error:
        raise ConfigurationError(str(error).replace("$", "configuration")) from None


@lru_cache(maxsize=ADDRESS_CACHE_SIZE)
def parse_address(text: str | None, key: str) -> tuple[str, int]:
    """Return the IP address and the port of a text of the form `ADDRESS:PORT`.

    :param key: key of the configuration that holds the text, for the error message.
    :raises ConfigurationError: the text is not an IP address and a port.

    >>> parse_address("127.0.0.1:6379", "listen")
    ('127.0.0.1', 6379)
    """
    host, _, port = (text or "").rpartition(":")
    try:
        return str(ip_address(host)), convert(int(port), Annotated[int, Meta(ge=1, le=65535)])  # type: ignore[arg-type]
    except ValueError:
        raise ConfigurationError(f"`{key}`: wanted an address and a port, got {text!r}") from None
