"""Builds the decisions of one instance from its settings.

This is the one place where the settings' keys are mapped to the terms of the code (docs/glossary.md).
"""

from __future__ import annotations

from random import Random
from typing import Any

from ..balancing.balancer import Balancer
from ..balancing.components import Components
from ..balancing.connection_budget import ConnectionBudget
from ..balancing.gossip import OutcomeGossip
from ..balancing.load_shedding import LoadShedder
from ..balancing.parameters import NO_ORIGIN, BalancerParameters
from ..balancing.placement import Placement
from ..balancing.poll_backoff import PollBackoff
from ..balancing.server_load import LoadEstimator
from ..balancing.slot_order import SlotOrderExchange
from ..balancing.slow_start import SlowStart
from ..balancing.tenant_quotas import TenantQuotas
from ..model import DedupGroup, Idempotency, RequestClass, Tenant
from .reload import apply_configuration, discard_class_failures
from .schema import (
    InstanceSettings,
    LimitSettings,
    LoadReportSettings,
    OriginSettings,
    RequestClassSettings,
    RuleSettings,
    convert,
    microseconds,
)

IDEMPOTENCY_OF_SEMANTICS = {
    "pure": Idempotency.IDEMPOTENT,
    "token": Idempotency.KEYED,
    "side_effect": Idempotency.NOT_IDEMPOTENT,
}

DEFAULT_OVERLOAD_FACTOR = 4.0  # times its capacity: the load that overloads a server in slow start

# Pauses between polls where endpoint lists are pushed, and a poll only makes up for a lost watch.  They are
# short, as the agent is on the same machine.
PUSH_BASE_PAUSE_US = 100_000
PUSH_MAX_PAUSE_US = 200_000
# The longest pause, with its jitter of up to a half, must end well within the time in which a drain counts.
DRAIN_NOTICE_FRACTION = 4

# Pauses where lists come as answers to polls alone: one service of fixed capacity answers all instances.
POLL_BASE_PAUSE_US = 750_000
POLL_MAX_PAUSE_FACTOR = 8  # of the base pause; this, too, must end within `rules.ask_within`


class InstanceConfiguration:
    """One instance's balancer, and the names that the wire uses for request classes, tenants and kinds."""

    def __init__(self, seed: int, config: Any) -> None:
        """:param config: the settings, as read from JSON or already converted to `InstanceSettings`.

        :raises ConfigurationError: names the key at fault.
        """
        rng = Random(seed)
        settings = config if isinstance(config, InstanceSettings) else convert(config, InstanceSettings)
        limits = settings.limits or LimitSettings()
        reporting = settings.reporting or LoadReportSettings()
        self.settings = settings
        self.kinds = {name: index for index, name in enumerate(settings.kinds or [])}
        self.request_classes = {entry.name: build_request_class(entry) for entry in settings.methods or []}
        self.tenants = {
            entry.name: Tenant(entry.name, entry.allowance_per_s or 0.0) for entry in settings.parties or []
        }
        self.columns = frozenset(reporting.columns or []) if reporting.how == "answers" else frozenset()
        self.hedging_enabled = bool(limits.may_duplicate)
        self.streams_per_connection = limits.streams_per_conn or 1
        self.idle_timeout = microseconds(limits.conn_idle)  # microseconds; 0: not set
        self.connect_timeout = microseconds(limits.connect_timeout)  # microseconds; 0: not set
        self.poll_pauses = poll_pauses(settings)
        self.poll_backoff = PollBackoff(Random(seed + 1), *self.poll_pauses)
        self.balancer = self._build_balancer(rng)

    def _build_balancer(self, rng: Random) -> Balancer:
        """Return the balancer; all of its parts draw from the one generator."""
        settings = self.settings
        limits, rules = settings.limits or LimitSettings(), settings.rules or RuleSettings()
        origin_kind = (settings.specifics or OriginSettings()).origin_kind
        live_weights = settings.weight_source == "live"
        excess_weight = 1.0 if settings.excess_criticality is None else settings.excess_criticality
        process_count, own_number = settings.n_instances or 1, settings.slot_no or 0
        overload_factor = rules.overload_factor or DEFAULT_OVERLOAD_FACTOR
        quotas = TenantQuotas(list(self.tenants.values()), process_count)
        components = Components(
            placement=Placement(settings.weight_source in ("nominal", "rough"), live_weights),
            slow_start=SlowStart(rules.cold_share or 1.0, microseconds(rules.cold), overload_factor),
            shedder=LoadShedder(rng, quotas, excess_weight),
            connections=ConnectionBudget(self.idle_timeout, process_count),
            load=LoadEstimator(live_weights or bool(self.columns)),
        )
        parameters = BalancerParameters(
            origin_kind=NO_ORIGIN if origin_kind is None else origin_kind,
            max_attempts=limits.most_write_outs or 1,
            hedging_enabled=self.hedging_enabled,
            retry_after=microseconds(limits.max_retry_after) if limits.retry_after else 0,
            clock_granularity=microseconds(settings.granularity),
        )
        gossip = OutcomeGossip(rng, own_number, process_count) if limits.peers else None
        slot_order = SlotOrderExchange(rng, own_number, process_count) if limits.peers else None
        return Balancer(rng, parameters, components, gossip, slot_order)

    def longest_wait(self) -> int:
        """Return the longest deadline of any request class, in microseconds."""
        entries = self.settings.methods or []
        return max(
            (microseconds(max(entry.give_up or 0, entry.latency_budget or 0)) for entry in entries), default=0
        )

    def apply(self, new: InstanceConfiguration) -> list[RequestClass]:
        """Go by the new configuration from now on; what the balancer has observed is kept.

        :returns: the request class objects that only requests under way still use; pass them to `discard`
            when those have ended.
        """
        return apply_configuration(self, new)

    def discard(self, replaced: list[RequestClass]) -> None:
        """Drop what servers hold of request classes that no request uses any more."""
        discard_class_failures(self.balancer, replaced)


def poll_pauses(settings: InstanceSettings) -> tuple[int, int]:
    """Return the first and the longest pause between polls of the endpoint list, in microseconds."""
    rules = settings.rules or RuleSettings()
    if settings.discovery == "ask":
        base = min(POLL_BASE_PAUSE_US, microseconds(rules.ask_within) // POLL_MAX_PAUSE_FACTOR)
        if base:
            return base, POLL_MAX_PAUSE_FACTOR * base
    drain_notice = microseconds(rules.stop_sending_within)
    longest = min(PUSH_MAX_PAUSE_US, drain_notice // DRAIN_NOTICE_FRACTION or PUSH_MAX_PAUSE_US)
    return min(PUSH_BASE_PAUSE_US, longest), longest


def build_request_class(entry: RequestClassSettings) -> RequestClass:
    """Return the request class that an entry of `settings.methods` describes."""
    return RequestClass(
        entry.name,
        IDEMPOTENCY_OF_SEMANTICS[entry.semantics or "side_effect"],
        microseconds(entry.latency_budget or entry.give_up),
        entry.criticality or 0.0,
        DedupGroup(entry.group or "cell"),
        microseconds(entry.window),
        entry.tardy_criticality or 0.0,
    )
