"""The one place where configuration is read, checked and given defaults, for `run` and for `sim`.

Owns the names that the configuration uses and hands each part of the decisions its own few settings.  It must
never decide anything, open a socket, or let a faulty value through: a fault is one line that names the key.
Unknown keys are ignored, absent and null ones get their defaults here.
"""

from __future__ import annotations

from collections.abc import Mapping
from functools import lru_cache
from ipaddress import ip_address
from pathlib import Path
from random import Random
from typing import Annotated, Any, Literal

import msgspec
from msgspec import Meta, Struct

from .balancing.balancer import Balancer
from .balancing.components import Components
from .balancing.connection_budget import ConnectionBudget
from .balancing.gossip import OutcomeGossip
from .balancing.load_shedding import LoadShedder
from .balancing.parameters import NO_ORIGIN, BalancerParameters
from .balancing.placement import Placement
from .balancing.poll_backoff import PollBackoff
from .balancing.server_load import LoadEstimator
from .balancing.slot_order import SlotOrderExchange
from .balancing.slow_start import SlowStart
from .balancing.tenant_quotas import TenantQuotas
from .model import DedupGroup, Idempotency, RequestClass, Tenant

IDEMPOTENCY_OF_SEMANTICS = {
    "pure": Idempotency.IDEMPOTENT,
    "token": Idempotency.KEYED,
    "side_effect": Idempotency.NOT_IDEMPOTENT,
}

FALL_MULTIPLE = 4.0  # of its capacity that pushes a cold node over, where the rules state none

Ns = Annotated[int, Meta(ge=0)] | None  # a span in nanoseconds
Part = Annotated[float, Meta(ge=0, le=1)] | None
Figure = Annotated[float, Meta(ge=0, le=1e12)] | None  # finite: a worth beyond all others would have no rank
Count = Annotated[int, Meta(ge=1)] | None


class FaultError(ValueError):
    """The configuration can't be used; says in one line which key is at fault."""


class MethodSheet(Struct):
    name: str
    semantics: Literal["pure", "token", "side_effect"] | None = None
    latency_budget: Ns = None
    give_up: Ns = None
    criticality: Figure = None
    tardy_criticality: Figure = None
    group: Literal["all", "zone", "cell"] | None = None
    window: Ns = None


class TenantSheet(Struct):
    name: str
    allowance_per_s: Figure = None


class LimitsSheet(Struct):
    conn_idle: Ns = None
    connect_timeout: Ns = None
    streams_per_conn: Count = None
    most_write_outs: Count = None
    may_duplicate: bool | None = None
    retry_after: bool | None = None
    max_retry_after: Ns = None
    peers: bool | None = None


class RulesSheet(Struct):
    cold: Ns = None
    cold_share: Part = None
    overload_factor: Figure = None
    ask_within: Ns = None
    stop_sending_within: Ns = None


class ReportingSheet(Struct):
    how: Literal["answers", "probe", "none"] | None = None
    columns: list[str] | None = None


class BlendSheet(Struct):
    """What the operators weigh.  Checked and carried; no decision rests on it (docs/assumptions.md)."""

    whole: Figure = None
    worst_window: Figure = None
    worst_class: Figure = None
    worst_tenant: Figure = None
    tail_part: Figure = None
    miss_share: Part = None  # of a method's requests in 5 s: what the tail part leaves unpunished
    availability: Figure = None
    nines_wanted: Figure = None


class SpecificsSheet(Struct):
    origin_kind: int | None = None


class Sheet(Struct):
    """The settings that an instance is given, in `sim` and in `run` alike."""

    methods: list[MethodSheet] | None = None
    parties: list[TenantSheet] | None = None
    kinds: list[str] | None = None
    limits: LimitsSheet | None = None
    rules: RulesSheet | None = None
    specifics: SpecificsSheet | None = None
    reporting: ReportingSheet | None = None
    blend: BlendSheet | None = None
    zone: str | None = None
    zones: list[str] | None = None
    discovery: Literal["push", "ask"] | None = None  # ask: it comes only to those who call
    weight_source: Literal["none", "nominal", "rough", "live"] | None = None
    excess_criticality: Figure = None
    n_instances: Count = None
    slot_no: Annotated[int, Meta(ge=0)] | None = None
    granularity: Ns = None


class MachineSheet(Struct):
    sockets: Annotated[int, Meta(ge=64)] | None = None
    memory_mb: Annotated[float, Meta(gt=0)] | None = None


class Config(Struct):
    """What a proxy on sockets is told."""

    settings: Sheet
    listen: str | None = None
    discovery: str | None = None
    admin_addr: str | None = None
    name: str | None = None
    seed: str | int | None = None
    limits: MachineSheet | None = None
    peer_listen: str | None = None
    peers: list[str] | None = None
    known: dict[str, Any] | None = None


def us(ns: int | None) -> int:
    """Nanoseconds to whole microseconds, down."""
    return (ns or 0) // 1000


def checked(values: Any, kind: type) -> Any:
    """The values as that kind of sheet, or a fault that names the key."""
    try:
        return msgspec.convert(values, kind)
    except msgspec.ValidationError as fault:
        raise FaultError(str(fault).replace("$", "configuration")) from None


@lru_cache(maxsize=8192)  # a list of a thousand nodes names each anew
def address(text: str | None, key: str) -> tuple[str, int]:
    """
    >>> address("127.0.0.1:6379", "listen")
    ('127.0.0.1', 6379)
    """
    host, _, port = (text or "").rpartition(":")
    try:
        return str(ip_address(host)), checked(int(port), Annotated[int, Meta(ge=1, le=65535)])
    except ValueError:
        raise FaultError(f"`{key}`: wanted an address and a port, got {text!r}") from None


class Settings:
    """One instance's decisions, with the names that the wire uses for its methods, tenants and kinds."""

    # Before the list is called for again: the agent is near and costs nothing.  What it gets at its return
    # counts as told at once, so the longest, half as long again by chance, is well within the drain's grace.
    PAUSES, GRACE = (100_000, 200_000), 4

    def __init__(self, seed: int, config: Any):
        rng = Random(seed)
        sheet = config if isinstance(config, Sheet) else checked(config, Sheet)
        limits, rules = sheet.limits or LimitsSheet(), sheet.rules or RulesSheet()
        specifics = sheet.specifics or SpecificsSheet()
        self.sheet = sheet
        self.kinds = {name: place for place, name in enumerate(sheet.kinds or [])}
        self.request_classes = {one.name: request_class(one) for one in sheet.methods or []}
        self.tenants = {t.name: Tenant(t.name, t.allowance_per_s or 0.0) for t in sheet.parties or []}
        reporting = sheet.reporting or ReportingSheet()
        self.columns = frozenset(reporting.columns or []) if reporting.how == "answers" else frozenset()
        live = sheet.weight_source == "live"
        # Where lists are asked for, a service of fixed capacity answers all; even the longest pause is well
        # within the time after which we would be deemed told.
        least = min(750_000, us(rules.ask_within) // 8) if sheet.discovery == "ask" else 0
        self.pauses = (least, 8 * least) if least else self.near(us(rules.stop_sending_within))
        self.hedging_enabled = bool(limits.may_duplicate)
        self.streams = limits.streams_per_conn or 1
        self.idle, self.connect_timeout = us(limits.conn_idle), us(limits.connect_timeout)
        self.poll_backoff = PollBackoff(Random(seed + 1), *self.pauses)
        excess = 1.0 if sheet.excess_criticality is None else sheet.excess_criticality
        process_count, own_number = sheet.n_instances or 1, sheet.slot_no or 0
        overload_factor = rules.overload_factor or FALL_MULTIPLE
        quotas = TenantQuotas(list(self.tenants.values()), process_count)
        components = Components(
            placement=Placement(sheet.weight_source in ("nominal", "rough"), live),
            slow_start=SlowStart(rules.cold_share or 1.0, us(rules.cold), overload_factor),
            shedder=LoadShedder(rng, quotas, excess),
            connections=ConnectionBudget(self.idle, process_count),
            load=LoadEstimator(live or bool(self.columns)),
        )
        parameters = BalancerParameters(
            origin_kind=NO_ORIGIN if specifics.origin_kind is None else specifics.origin_kind,
            max_attempts=limits.most_write_outs or 1,
            hedging_enabled=self.hedging_enabled,
            retry_after=us(limits.max_retry_after) if limits.retry_after else 0,
            clock_granularity=us(sheet.granularity),
        )
        gossip = OutcomeGossip(rng, own_number, process_count) if limits.peers else None
        slot_order = SlotOrderExchange(rng, own_number, process_count) if limits.peers else None
        self.balancer = Balancer(rng, parameters, components, gossip, slot_order)

    def near(self, grace: int) -> tuple[int, int]:
        most = min(self.PAUSES[1], grace // self.GRACE or self.PAUSES[1])
        return min(self.PAUSES[0], most), most

    def longest_wait(self) -> int:
        """The longest deadline of any class, in microseconds."""
        sheets = self.sheet.methods or []
        return max((us(max(one.give_up or 0, one.latency_budget or 0)) for one in sheets), default=0)

    # Retuning: what another sheet says is handed to the parts in use.  What they have seen stays theirs.

    def take(self, new: Settings) -> list[RequestClass]:
        """From now on all is as the new settings say.  Tells which methods' objects are not in use any more;
        requests under way keep theirs."""
        for name in ("sheet", "columns", "pauses", "hedging_enabled", "streams", "idle", "connect_timeout"):
            setattr(self, name, getattr(new, name))
        self.poll_backoff.base_pause, self.poll_backoff.max_pause = new.pauses
        ours, theirs = self.balancer, new.balancer
        for name in ("max_attempts", "hedging_enabled", "retry_after", "clock_granularity"):
            setattr(ours.parameters, name, getattr(theirs.parameters, name))
        self.take_kinds(new)
        former = self.take_methods(new)
        for name, tenant in new.tenants.items():  # one that stays keeps its last requests
            self.tenants.setdefault(name, tenant).quota = tenant.quota
        self.tenants = {name: self.tenants[name] for name in new.tenants}
        ours.shedder.quotas.tenants = [*self.tenants.values()]
        ours.shedder.quotas.process_count = theirs.shedder.quotas.process_count
        ours.shedder.excess_weight = theirs.shedder.excess_weight
        for name in ("initial_fraction", "duration", "spill_over"):
            setattr(ours.slow_start, name, getattr(theirs.slow_start, name))
        ours.connections.take_limits(theirs.connections)
        self.take_peers(theirs)
        self.take_sizes(theirs)
        return former

    def take_kinds(self, new: Settings) -> None:
        """Nodes point to their kinds by number, so a kind that stays keeps its own."""
        names = [*new.kinds]
        for name in names:
            self.kinds.setdefault(name, len(self.kinds))
        origin = new.balancer.parameters.origin_kind
        origin = self.kinds[names[origin]] if 0 <= origin < len(names) else origin
        self.balancer.parameters.origin_kind = origin

    def take_methods(self, new: Settings) -> list[RequestClass]:
        former, servers = [], {*self.balancer.servers.values(), *self.balancer.placement.slots}
        for name, old in self.request_classes.items():
            fresh = new.request_classes.get(name)
            if fresh is not None and parts_of(fresh) == parts_of(old):
                new.request_classes[name] = old
                continue
            former.append(old)
            if fresh is not None:  # what was seen of it goes on
                tighten(old, fresh)
                fresh.attempt_times, fresh.success_times = old.attempt_times, old.success_times
                for server in servers:
                    if old in server.class_failures:
                        server.class_failures[fresh] = server.class_failures[old]
        self.request_classes = new.request_classes
        return former

    def take_peers(self, theirs: Balancer) -> None:
        ours = self.balancer
        for name in ("gossip", "slot_order"):
            old, new = getattr(ours, name), getattr(theirs, name)
            if old is None or new is None:
                setattr(ours, name, new)
            elif old.peers != new.peers:
                old.peers = new.peers
        if ours.slot_order:
            ours.slot_order.own_number = theirs.slot_order.own_number
        if ours.gossip:
            ours.gossip.set_servers([*ours.servers.values()])

    def take_sizes(self, theirs: Balancer) -> None:
        ours = self.balancer
        old, new = ours.placement, theirs.placement
        if (old.weighted, old.parts) != (new.weighted, new.parts):
            for name in ("weighted", "live_weights", "parts"):
                setattr(old, name, getattr(new, name))
            old.located.clear()
        if ours.load.enabled != theirs.load.enabled:
            ours.load.reset(theirs.load.enabled)

    def forget(self, former: list[RequestClass]) -> None:
        """What nodes hold of methods that no request has any more."""
        for server in {*self.balancer.servers.values(), *self.balancer.placement.slots}:
            for one in former:
                server.class_failures.pop(one, None)


def parts_of(one: RequestClass) -> list:
    """All that a method says, without what was seen of it."""
    return [getattr(one, name) for name in one.__slots__ if name not in ("attempt_times", "success_times")]


def tighten(old: RequestClass, fresh: RequestClass) -> None:
    """Requests that are out under the old meaning go by the stricter of both: nodes may go by either by
    now."""
    both = [one for one in (old, fresh) if one.idempotency == Idempotency.KEYED]
    old.idempotency = max(old.idempotency, fresh.idempotency, key=[*Idempotency].index)
    old.dedup_group = max((one.dedup_group for one in both), key=[*DedupGroup].index, default=old.dedup_group)
    old.dedup_window = min((one.dedup_window for one in both), default=old.dedup_window)


def request_class(sheet: MethodSheet) -> RequestClass:
    return RequestClass(
        sheet.name,
        IDEMPOTENCY_OF_SEMANTICS[sheet.semantics or "side_effect"],
        us(sheet.latency_budget or sheet.give_up),
        sheet.criticality or 0.0,
        DedupGroup(sheet.group or "cell"),
        us(sheet.window),
        sheet.tardy_criticality or 0.0,
    )


class Run:
    """All that a proxy on sockets needs to know before it opens one."""

    IDLE, CONNECT_TIMEOUT = 60_000_000, 1_000_000  # where the settings name none
    SOCKETS = 1024  # the usual limit of a process
    MEMORY_MB = 192

    def __init__(self, config: Config, environ: Mapping[str, str] = {}, stated: set[str] = frozenset()):  # noqa: B006
        self.config, self.stated = config, stated  # stated: the keys that the file itself has
        fd = environ.get("LB_FD")
        if fd and not (fd.isascii() and fd.isdigit() and len(fd) < 7):
            raise FaultError(f"`LB_FD`: wanted the number of a descriptor, got {fd!r}")
        self.fd = int(fd) if fd else None  # an inherited socket that listens at `listen`
        self.folder = environ.get("TMPDIR")  # common to both processes of an upgrade
        self.name = config.name or "proxy"
        self.listen = address(config.listen, "listen")
        self.discovery = address(config.discovery, "discovery")
        self.admin = address(config.admin_addr, "admin_addr") if config.admin_addr else None
        self.peer_listen = address(config.peer_listen, "peer_listen") if config.peer_listen else None
        self.peers = [address(text, f"peers[{i}]") for i, text in enumerate(config.peers or [])]
        try:
            self.seed = int(config.seed, 16) if isinstance(config.seed, str) else config.seed or 0
        except ValueError:
            raise FaultError(f"`seed`: wanted a hexadecimal number, got {config.seed!r}") from None
        self.known = config.known
        limits = config.limits or MachineSheet()
        self.sockets = limits.sockets or self.SOCKETS
        self.memory = int((limits.memory_mb or self.MEMORY_MB) * 2**20)
        self.settings = Settings(self.seed, config.settings)
        self.idle = self.settings.idle or self.IDLE
        self.connect_timeout = self.settings.connect_timeout or self.CONNECT_TIMEOUT

    FIXED = ("name", "listen", "admin_addr", "limits", "peer_listen")  # read at the start alone

    def differs(self, other: Run) -> list[str]:
        """The keys, of those that only a start reads, that say something else there."""
        return [key for key in self.FIXED if getattr(self.config, key) != getattr(other.config, key)]


ONCE = ("known", "seed")  # at the start alone, so a file that is read again need not have them
TIMES = ("latency_budget", "give_up")


def lacking(old: Any, new: Any, path: str) -> None:
    """A fault if a key that the running sheet states is missing in the new one."""
    for name in old.__struct_fields__:
        before, now, key = getattr(old, name), getattr(new, name), f"{path}.{name}".lstrip(".")
        if before is None or key in ONCE:
            continue
        if now is None or (before and now == []):
            raise FaultError(f"`{key}`: missing; the running configuration has it")
        if isinstance(before, Struct):
            lacking(before, now, key)


def sound(old: Config, new: Config) -> None:
    """Guards the running proxy against a file that is broken or not yet whole: nothing of it is taken."""
    lacking(old, new, "")
    before = old.settings.methods or []
    # Those that all classes state: a window is stated by deduplicated ones alone.
    keys = MethodSheet.__struct_fields__ if before else ()
    stated = [name for name in keys if all(getattr(one, name) is not None for one in before)]
    for place, one in enumerate(new.settings.methods or []):
        key = f"settings.methods[{place}]"
        for name in stated:
            if getattr(one, name) is None:
                raise FaultError(f"`{key}.{name}`: missing; all classes of the running configuration have it")


def meant(sheet: Sheet) -> None:
    """Guards requests against a class that does not say what may be done with them, or means two things, and
    connections against a time of 0, for which our default would stand in."""
    names = set()
    for name in ("conn_idle", "connect_timeout"):
        if sheet.limits and getattr(sheet.limits, name) == 0:
            raise FaultError(f"`settings.limits.{name}`: wanted a positive number, got 0")
    for place, one in enumerate(sheet.methods or []):
        key = f"settings.methods[{place}]"
        if not one.name:
            raise FaultError(f"`{key}.name`: wanted a name, got none")
        if one.name in names:
            raise FaultError(f"`{key}.name`: {one.name!r} is named twice")
        names.add(one.name)
        if one.semantics is None:
            raise FaultError(f"`{key}.semantics`: missing")
        for name in TIMES:
            if getattr(one, name) == 0:
                raise FaultError(f"`{key}.{name}`: wanted a positive number, got 0")
        if not (one.latency_budget or one.give_up):
            raise FaultError(f"`{key}.latency_budget`: missing, and `give_up` is too")


def doubtful(run: Run) -> list[str]:
    """What can be meant but mostly is not, a line each with its key: the program goes on."""
    found, settings = [], run.settings
    for place, one in enumerate(settings.request_classes.values()):
        key = f"settings.methods[{place}].window"
        if one.idempotency != Idempotency.KEYED:
            continue
        if one.dedup_window <= settings.balancer.parameters.clock_margin:
            found.append(f"`{key}`: {one.dedup_window} us; no request of {one.name} is ever sent again")
        elif one.dedup_window <= run.connect_timeout:
            found.append(f"`{key}`: {one.dedup_window} us, no longer than `settings.limits.connect_timeout`")
    return found


def load(environ: Mapping[str, str], running: Run | None = None) -> Run:
    """What the environment says: the file that LB_CONFIG names, the other variables going before it.

    Read again by a running one, the file's `discovery` goes before LB_DISCOVERY: only it can have changed.
    """
    path = environ.get("LB_CONFIG")
    if not path:
        raise FaultError("`LB_CONFIG`: not set; it names the configuration's file")
    try:
        values = msgspec.json.decode(Path(path).read_bytes())
    except OSError as fault:
        raise FaultError(f"`LB_CONFIG`: {fault.strerror}: {path}") from None
    except (msgspec.DecodeError, UnicodeDecodeError) as fault:
        raise FaultError(f"`LB_CONFIG`: not JSON: {fault}") from None
    stated = set()
    if isinstance(values, dict):
        stated = {key for key in values if values[key] is not None}
        for key in ("name", "listen", "discovery", "admin_addr"):
            told, kept = environ.get(f"LB_{key.upper()}"), values.get(key)
            values[key] = kept or told if running and key == "discovery" else told or kept
    config = checked(values, Config)
    meant(config.settings)
    if running:
        for key in sorted(running.stated & {*Config.__struct_fields__} - stated - {*ONCE}):
            raise FaultError(f"`{key}`: missing; the running configuration has it")
        sound(running.config, config)
    return Run(config, environ, stated)
