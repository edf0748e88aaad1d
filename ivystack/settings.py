"""One instance's decisions made from its settings, and the change to other settings while it runs.

This is the one place where the settings' keys are mapped to the terms of the code.
"""

from __future__ import annotations

from random import Random
from typing import Any

from .choice import Asking, Balancer, Cold, Health, Hearsay, Links, Live, Order, Placement, Room, Shares
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
        self.may_duplicate = bool(limits.may_duplicate)
        self.streams = limits.streams_per_conn or 1
        self.idle, self.connect_timeout = microseconds(limits.conn_idle), microseconds(limits.connect_timeout)
        self.asking = Asking(Random(seed + 1), *self.pauses)
        origin, excess, proxies = specifics.origin_kind, sheet.excess_criticality, sheet.n_instances or 1
        self.balancer = Balancer(
            rng,
            Placement(sheet.weight_source in ("nominal", "rough"), live),
            Health(),
            Cold(rules.cold_share or 1.0, microseconds(rules.cold), rules.overload_factor or FALL_MULTIPLE),
            Room(),
            Shares(rng, list(self.tenants.values()), 1.0 if excess is None else excess, proxies),
            Links(self.idle, proxies),
            Hearsay(rng, sheet.slot_no or 0, proxies) if limits.peers else None,
            Order(rng, sheet.slot_no or 0, proxies) if limits.peers else None,
            Live() if live or self.columns else None,
            origin=-1 if origin is None else origin,
            most_write_outs=limits.most_write_outs or 1,
            may_duplicate=self.may_duplicate,
            come_back=microseconds(limits.max_retry_after) if limits.retry_after else 0,
            tick=microseconds(sheet.granularity),
        )

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
        for name in ("sheet", "columns", "pauses", "may_duplicate", "streams", "idle", "connect_timeout"):
            setattr(self, name, getattr(new, name))
        self.asking.least, self.asking.most = new.pauses
        ours, theirs = self.balancer, new.balancer
        for name in ("most", "may_duplicate", "come_back", "tick", "many"):
            setattr(ours, name, getattr(theirs, name))
        self.take_kinds(new)
        former = self.take_methods(new)
        for name, tenant in new.tenants.items():  # one that stays keeps its last requests
            self.tenants.setdefault(name, tenant).quota = tenant.quota
        self.tenants = {name: self.tenants[name] for name in new.tenants}
        ours.shares.tenants = [*self.tenants.values()]
        ours.shares.excess, ours.shares.parts = theirs.shares.excess, theirs.shares.parts
        for name in ("share", "cold", "spill"):
            setattr(ours.cold, name, getattr(theirs.cold, name))
        if ours.links.first != theirs.links.first:  # else what it has come to stays
            for name in ("first", "most", "keep"):
                setattr(ours.links, name, getattr(theirs.links, name))
            ours.links.idle.clear()
        self.take_peers(theirs)
        self.take_sizes(theirs)
        return former

    def take_kinds(self, new: Settings) -> None:
        """Nodes point to their kinds by number, so a kind that stays keeps its own."""
        names = [*new.kinds]
        for name in names:
            self.kinds.setdefault(name, len(self.kinds))
        origin = new.balancer.origin_kind
        self.balancer.origin_kind = self.kinds[names[origin]] if 0 <= origin < len(names) else origin

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
        for name in ("hearsay", "order"):
            old, new = getattr(ours, name), getattr(theirs, name)
            if old is None or new is None:
                setattr(ours, name, new)
            elif old.others != new.others:
                old.others = new.others
        if ours.order:
            ours.order.me = theirs.order.me
        if ours.hearsay:
            ours.hearsay.knows([*ours.servers.values()])

    def take_sizes(self, theirs: Balancer) -> None:
        ours = self.balancer
        if (ours.placement.sized, ours.placement.parts) != (theirs.placement.sized, theirs.placement.parts):
            for name in ("sized", "live", "parts"):
                setattr(ours.placement, name, getattr(theirs.placement, name))
            ours.placement.known.clear()
        if ours.live is None or theirs.live is None:
            ours.live = theirs.live

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
