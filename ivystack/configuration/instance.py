"""Build the balancer of one instance from its settings.

This module alone maps the keys of the settings to the terms of the code (docs/glossary.md).
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

IDEMPOTENCY_BY_SEMANTICS = {
    "pure": Idempotency.IDEMPOTENT,
    "token": Idempotency.KEYED,
    "side_effect": Idempotency.NOT_IDEMPOTENT,
}

DEFAULT_OVERLOAD_FACTOR = 4.0  # a server in slow start collapses at this multiple of its capacity

# Pauses between polls if endpoint lists are pushed, so that polls are only needed after a watch is lost.  The
# pauses are short, because the agent runs on the same machine.
PUSH_BASE_PAUSE_US = 100_000
PUSH_MAX_PAUSE_US = 200_000
# The longest pause is at most `rules.stop_sending_within` divided by this number.  Even when jitter lengthens
# the pause by up to one half, the pause ends well before a drain takes effect.
DRAIN_NOTICE_FRACTION = 4

# Pauses if lists arrive only as answers to polls.  They are longer, because one service of fixed capacity
# answers the polls of all instances.
POLL_BASE_PAUSE_US = 750_000
POLL_MAX_PAUSE_FACTOR = 8  # longest pause, as a multiple of the base pause; at most `rules.ask_within`


class InstanceConfiguration:
    """The balancer of one instance, and its request classes, tenants and machine kinds by wire name."""

    def __init__(self, seed: int, config: Any) -> None:
        """Build the balancer.

        :param seed: seed of the random number generators.
        :param config: the settings, as decoded from JSON or already converted to `InstanceSettings`.
        :raises ConfigurationError: the settings are invalid; the message names the key at fault.
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
        self.idle_timeout = microseconds(limits.conn_idle)  # microseconds; 0 if not set
        self.connect_timeout = microseconds(limits.connect_timeout)  # microseconds; 0 if not set
        # Microseconds for which a draining server may be sent new attempts; 0 if not set.
        self.drain_grace = microseconds((settings.rules or RuleSettings()).stop_sending_within)
        self.lists_are_pushed = settings.discovery != "ask"
        self.poll_pauses = poll_pauses(settings)
        self.poll_backoff = PollBackoff(Random(seed + 1), *self.poll_pauses)
        self.balancer = self._build_balancer(rng)

    def _build_balancer(self, rng: Random) -> Balancer:
        """Return the balancer; all of its components share the random number generator."""
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

    def longest_deadline(self) -> int:
        """Return the longest deadline of any request class, in microseconds."""
        entries = self.settings.methods or []
        return max(
            (microseconds(max(entry.give_up or 0, entry.latency_budget or 0)) for entry in entries), default=0
        )

    def apply(self, new: InstanceConfiguration) -> list[RequestClass]:
        """Apply a new configuration and keep the observations of the balancer.

        :returns: the replaced request class objects, which only requests in flight still use.  Pass them to
            `discard` when those requests have ended.
        """
        return apply_configuration(self, new)

    def discard(self, replaced: list[RequestClass]) -> None:
        """Remove the failures of replaced request classes from all servers, once no request uses them."""
        discard_class_failures(self.balancer, replaced)


def poll_pauses(settings: InstanceSettings) -> tuple[int, int]:
    """Return the base pause and the longest pause between polls of the endpoint list, in microseconds."""
    rules = settings.rules or RuleSettings()
    if settings.discovery == "ask":
        base = min(POLL_BASE_PAUSE_US, microseconds(rules.ask_within) // POLL_MAX_PAUSE_FACTOR)
        if base:
            return base, POLL_MAX_PAUSE_FACTOR * base
    drain_notice = microseconds(rules.stop_sending_within)
    longest = min(PUSH_MAX_PAUSE_US, drain_notice // DRAIN_NOTICE_FRACTION or PUSH_MAX_PAUSE_US)
    return min(PUSH_BASE_PAUSE_US, longest), longest


def build_request_class(entry: RequestClassSettings) -> RequestClass:
    """Return the request class described by an entry of `settings.methods`."""
    return RequestClass(
        entry.name,
        IDEMPOTENCY_BY_SEMANTICS[entry.semantics or "side_effect"],
        microseconds(entry.latency_budget or entry.give_up),
        entry.criticality or 0.0,
        DedupGroup(entry.group or "cell"),
        microseconds(entry.window),
        entry.tardy_criticality or 0.0,
    )
