"""One instance's decisions made from its settings, and the change to other settings while it runs.

This is the one place where the settings' keys are mapped to the terms of the code.
"""

from __future__ import annotations

from random import Random
from typing import Any

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
from .configuration.schema import (
    InstanceSettings,
    LimitSettings,
    LoadReportSettings,
    OriginSettings,
    RequestClassSettings,
    RuleSettings,
    convert,
    microseconds,
)
from .model import DedupGroup, Idempotency, RequestClass, Tenant

IDEMPOTENCY_OF_SEMANTICS = {
    "pure": Idempotency.IDEMPOTENT,
    "token": Idempotency.KEYED,
    "side_effect": Idempotency.NOT_IDEMPOTENT,
}

FALL_MULTIPLE = 4.0  # of its capacity that pushes a cold node over, where the rules state none


class Settings:
    """One instance's decisions, with the names that the wire uses for its methods, tenants and kinds."""

    # Before the list is called for again: the agent is near and costs nothing.  What it gets at its return
    # counts as told at once, so the longest, half as long again by chance, is well within the drain's grace.
    PAUSES, GRACE = (100_000, 200_000), 4

    def __init__(self, seed: int, config: Any):
        rng = Random(seed)
        sheet = config if isinstance(config, InstanceSettings) else convert(config, InstanceSettings)
        limits, rules = sheet.limits or LimitSettings(), sheet.rules or RuleSettings()
        specifics = sheet.specifics or OriginSettings()
        self.sheet = sheet
        self.kinds = {name: place for place, name in enumerate(sheet.kinds or [])}
        self.request_classes = {one.name: request_class(one) for one in sheet.methods or []}
        self.tenants = {t.name: Tenant(t.name, t.allowance_per_s or 0.0) for t in sheet.parties or []}
        reporting = sheet.reporting or LoadReportSettings()
        self.columns = frozenset(reporting.columns or []) if reporting.how == "answers" else frozenset()
        live = sheet.weight_source == "live"
        # Where lists are asked for, a service of fixed capacity answers all; even the longest pause is well
        # within the time after which we would be deemed told.
        least = min(750_000, microseconds(rules.ask_within) // 8) if sheet.discovery == "ask" else 0
        self.pauses = (least, 8 * least) if least else self.near(microseconds(rules.stop_sending_within))
        self.hedging_enabled = bool(limits.may_duplicate)
        self.streams = limits.streams_per_conn or 1
        self.idle, self.connect_timeout = microseconds(limits.conn_idle), microseconds(limits.connect_timeout)
        self.poll_backoff = PollBackoff(Random(seed + 1), *self.pauses)
        excess = 1.0 if sheet.excess_criticality is None else sheet.excess_criticality
        process_count, own_number = sheet.n_instances or 1, sheet.slot_no or 0
        overload_factor = rules.overload_factor or FALL_MULTIPLE
        quotas = TenantQuotas(list(self.tenants.values()), process_count)
        components = Components(
            placement=Placement(sheet.weight_source in ("nominal", "rough"), live),
            slow_start=SlowStart(rules.cold_share or 1.0, microseconds(rules.cold), overload_factor),
            shedder=LoadShedder(rng, quotas, excess),
            connections=ConnectionBudget(self.idle, process_count),
            load=LoadEstimator(live or bool(self.columns)),
        )
        parameters = BalancerParameters(
            origin_kind=NO_ORIGIN if specifics.origin_kind is None else specifics.origin_kind,
            max_attempts=limits.most_write_outs or 1,
            hedging_enabled=self.hedging_enabled,
            retry_after=microseconds(limits.max_retry_after) if limits.retry_after else 0,
            clock_granularity=microseconds(sheet.granularity),
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
        return max(
            (microseconds(max(one.give_up or 0, one.latency_budget or 0)) for one in sheets), default=0
        )

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
        if ours.slot_order and theirs.slot_order:
            ours.slot_order.own_number = theirs.slot_order.own_number
        if ours.gossip:
            ours.gossip.set_servers([*ours.servers.values()])

    def take_sizes(self, theirs: Balancer) -> None:
        ours = self.balancer
        old, new = ours.placement, theirs.placement
        if (old.weighted, old.parts) != (new.weighted, new.parts):
            for name in ("weighted", "live_weights", "parts"):
                setattr(old, name, getattr(new, name))
            old.location_cache.clear()
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


def request_class(sheet: RequestClassSettings) -> RequestClass:
    return RequestClass(
        sheet.name,
        IDEMPOTENCY_OF_SEMANTICS[sheet.semantics or "side_effect"],
        microseconds(sheet.latency_budget or sheet.give_up),
        sheet.criticality or 0.0,
        DedupGroup(sheet.group or "cell"),
        microseconds(sheet.window),
        sheet.tardy_criticality or 0.0,
    )
