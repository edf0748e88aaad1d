"""Applies a new configuration to a running instance; what its balancer has observed is kept."""

from __future__ import annotations

from typing import TYPE_CHECKING, Any

from ..balancing.balancer import Balancer
from ..model import DedupGroup, Idempotency, RequestClass, Server

if TYPE_CHECKING:
    from .instance import InstanceConfiguration

INSTANCE_FIELDS = (
    "settings",
    "columns",
    "poll_pauses",
    "hedging_enabled",
    "streams_per_connection",
    "idle_timeout",
    "connect_timeout",
)
PARAMETER_FIELDS = ("max_attempts", "hedging_enabled", "retry_after", "clock_granularity")
SLOW_START_FIELDS = ("initial_fraction", "duration", "spill_over")
PLACEMENT_FIELDS = ("weighted", "live_weights", "parts")
SAMPLE_FIELDS = ("attempt_times", "success_times")  # of a request class: observed, not configured


def apply_configuration(running: InstanceConfiguration, new: InstanceConfiguration) -> list[RequestClass]:
    """Make the running instance go by the new configuration.

    `new` must not be used afterwards: some of its objects are in use in `running` then.

    :returns: the replaced request class objects, which requests under way still use.
    """
    balancer, new_balancer = running.balancer, new.balancer
    copy_fields(INSTANCE_FIELDS, new, running)
    running.poll_backoff.base_pause, running.poll_backoff.max_pause = new.poll_pauses
    copy_fields(PARAMETER_FIELDS, new_balancer.parameters, balancer.parameters)
    apply_kinds(running, new)
    replaced = apply_request_classes(running, new)
    apply_tenants(running, new)
    balancer.shedder.excess_weight = new_balancer.shedder.excess_weight
    copy_fields(SLOW_START_FIELDS, new_balancer.slow_start, balancer.slow_start)
    balancer.connections.adopt_limits(new_balancer.connections)
    apply_peers(balancer, new_balancer)
    apply_weights(balancer, new_balancer)
    return replaced


def discard_class_failures(balancer: Balancer, replaced: list[RequestClass]) -> None:
    """Drop the failures that servers hold of these request classes."""
    for server in known_servers(balancer):
        for request_class in replaced:
            server.class_failures.pop(request_class, None)


def apply_kinds(running: InstanceConfiguration, new: InstanceConfiguration) -> None:
    """Add the new machine kinds; one that stays keeps its index, by which servers refer to it."""
    names = [*new.kinds]
    for name in names:
        running.kinds.setdefault(name, len(running.kinds))
    origin = new.balancer.parameters.origin_kind
    if 0 <= origin < len(names):
        origin = running.kinds[names[origin]]
    running.balancer.parameters.origin_kind = origin


def apply_request_classes(running: InstanceConfiguration, new: InstanceConfiguration) -> list[RequestClass]:
    """Replace the request classes that changed, and return the objects that they replace."""
    replaced = []
    servers = known_servers(running.balancer)
    for name, old in running.request_classes.items():
        fresh = new.request_classes.get(name)
        if fresh is not None and configured_fields(fresh) == configured_fields(old):
            new.request_classes[name] = old
            continue
        replaced.append(old)
        if fresh is not None:
            restrict(old, fresh)
            hand_on_observations(old, fresh, servers)
    running.request_classes = new.request_classes
    return replaced


def hand_on_observations(old: RequestClass, fresh: RequestClass, servers: set[Server]) -> None:
    """Let a class that replaces another go on with its samples and its failures at servers."""
    copy_fields(SAMPLE_FIELDS, old, fresh)
    for server in servers:
        if old in server.class_failures:
            server.class_failures[fresh] = server.class_failures[old]


def restrict(old: RequestClass, fresh: RequestClass) -> None:
    """Give `old` the stricter of both classes' retry rules, for its requests under way.

    Servers may already go by the new rules, or still by the old ones.
    """
    keyed = [one for one in (old, fresh) if one.idempotency is Idempotency.KEYED]
    old.idempotency = max(old.idempotency, fresh.idempotency, key=[*Idempotency].index)
    old.dedup_group = max(
        (one.dedup_group for one in keyed), key=[*DedupGroup].index, default=old.dedup_group
    )
    old.dedup_window = min((one.dedup_window for one in keyed), default=old.dedup_window)


def apply_tenants(running: InstanceConfiguration, new: InstanceConfiguration) -> None:
    """Set the tenants and their quotas; one that stays keeps its recent requests."""
    for name, tenant in new.tenants.items():
        running.tenants.setdefault(name, tenant).quota = tenant.quota
    running.tenants = {name: running.tenants[name] for name in new.tenants}
    quotas = running.balancer.shedder.quotas
    quotas.tenants = [*running.tenants.values()]
    quotas.process_count = new.balancer.shedder.quotas.process_count


def apply_peers(balancer: Balancer, new_balancer: Balancer) -> None:
    """Start, stop or change the exchange with peers."""
    for name in ("gossip", "slot_order"):
        old, new = getattr(balancer, name), getattr(new_balancer, name)
        if old is None or new is None:
            setattr(balancer, name, new)
        elif old.peers != new.peers:
            old.peers = new.peers
    if balancer.slot_order and new_balancer.slot_order:
        balancer.slot_order.own_number = new_balancer.slot_order.own_number
    if balancer.gossip:
        balancer.gossip.set_servers([*balancer.servers.values()])


def apply_weights(balancer: Balancer, new_balancer: Balancer) -> None:
    """Change where servers' weights come from; that invalidates placements and load estimates."""
    old, new = balancer.placement, new_balancer.placement
    if (old.weighted, old.parts) != (new.weighted, new.parts):
        copy_fields(PLACEMENT_FIELDS, new, old)
        old.location_cache.clear()
    if balancer.load.enabled != new_balancer.load.enabled:
        balancer.load.reset(new_balancer.load.enabled)


def known_servers(balancer: Balancer) -> set[Server]:
    """Return the listed servers and those that still have slots."""
    return {*balancer.servers.values(), *balancer.placement.slots}


def configured_fields(request_class: RequestClass) -> list[Any]:
    """Return the values of a request class that the settings give."""
    names = (name for name in RequestClass.__slots__ if name not in SAMPLE_FIELDS)
    return [getattr(request_class, name) for name in names]


def copy_fields(names: tuple[str, ...], source: object, target: object) -> None:
    """Set the named attributes of the target to those of the source."""
    for name in names:
        setattr(target, name, getattr(source, name))
