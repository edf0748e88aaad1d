"""Apply a new configuration to a running instance and keep the observations of its balancer."""

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
    "drain_grace",
    "lists_are_pushed",
)
PARAMETER_FIELDS = ("max_attempts", "hedging_enabled", "retry_after", "clock_granularity")
SLOW_START_FIELDS = ("initial_fraction", "duration", "spill_over")
PLACEMENT_FIELDS = ("weighted", "live_weights", "parts")
SAMPLE_FIELDS = ("attempt_times", "success_times")  # observed fields of a request class, not configured ones


def apply_configuration(running: InstanceConfiguration, new: InstanceConfiguration) -> list[RequestClass]:
    """Apply the new configuration to the running instance.

    `new` must not be used afterwards, because `running` takes over some of its objects.

    :returns: the replaced request class objects, which requests in flight still use.
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
    """Remove the failures of these request classes from all servers."""
    for server in known_servers(balancer):
        for request_class in replaced:
            server.class_failures.pop(request_class, None)


def apply_kinds(running: InstanceConfiguration, new: InstanceConfiguration) -> None:
    """Add new machine kinds; existing kinds keep their index, because servers refer to it."""
    names = [*new.kinds]
    for name in names:
        running.kinds.setdefault(name, len(running.kinds))
    origin = new.balancer.parameters.origin_kind
    if 0 <= origin < len(names):
        origin = running.kinds[names[origin]]
    running.balancer.parameters.origin_kind = origin


def apply_request_classes(running: InstanceConfiguration, new: InstanceConfiguration) -> list[RequestClass]:
    """Replace the request classes that changed or were removed; return the replaced objects."""
    replaced = []
    servers = known_servers(running.balancer)
    for name, old in running.request_classes.items():
        replacement = new.request_classes.get(name)
        if replacement is not None and configured_fields(replacement) == configured_fields(old):
            new.request_classes[name] = old
            continue
        replaced.append(old)
        if replacement is not None:
            apply_stricter_retry_rules(old, replacement)
            carry_over_observations(old, replacement, servers)
    running.request_classes = new.request_classes
    return replaced


def carry_over_observations(old: RequestClass, replacement: RequestClass, servers: set[Server]) -> None:
    """Copy the samples of a request class and its failures at servers to its replacement."""
    copy_fields(SAMPLE_FIELDS, old, replacement)
    for server in servers:
        if old in server.class_failures:
            server.class_failures[replacement] = server.class_failures[old]


def apply_stricter_retry_rules(old: RequestClass, replacement: RequestClass) -> None:
    """Give `old` the stricter retry rules of both classes, for its requests in flight.

    Each server may already apply the new rules or still apply the old ones.
    """
    keyed = [
        request_class
        for request_class in (old, replacement)
        if request_class.idempotency is Idempotency.KEYED
    ]
    old.idempotency = max(old.idempotency, replacement.idempotency, key=[*Idempotency].index)
    old.dedup_group = max(
        (request_class.dedup_group for request_class in keyed),
        key=[*DedupGroup].index,
        default=old.dedup_group,
    )
    old.dedup_window = min((request_class.dedup_window for request_class in keyed), default=old.dedup_window)


def apply_tenants(running: InstanceConfiguration, new: InstanceConfiguration) -> None:
    """Set the tenants and their quotas; existing tenants keep the count of their recent requests."""
    for name, tenant in new.tenants.items():
        running.tenants.setdefault(name, tenant).quota = tenant.quota
    running.tenants = {name: running.tenants[name] for name in new.tenants}
    quotas = running.balancer.shedder.quotas
    quotas.tenants = [*running.tenants.values()]
    quotas.process_count = new.balancer.shedder.quotas.process_count


def apply_peers(balancer: Balancer, new_balancer: Balancer) -> None:
    """Start, stop or reconfigure the gossip and slot order exchanges with peers."""
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
    """Change the source of the servers' weights, and invalidate cached placements and load estimates."""
    old, new = balancer.placement, new_balancer.placement
    if (old.weighted, old.parts) != (new.weighted, new.parts):
        copy_fields(PLACEMENT_FIELDS, new, old)
        old.location_cache.clear()
    if balancer.load.enabled != new_balancer.load.enabled:
        balancer.load.reset(new_balancer.load.enabled)


def known_servers(balancer: Balancer) -> set[Server]:
    """Return the servers of the endpoint list and those that still have slots."""
    return {*balancer.servers.values(), *balancer.placement.slots}


def configured_fields(request_class: RequestClass) -> list[Any]:
    """Return the values of a request class that come from the settings."""
    names = (name for name in RequestClass.__slots__ if name not in SAMPLE_FIELDS)
    return [getattr(request_class, name) for name in names]


def copy_fields(names: tuple[str, ...], source: object, target: object) -> None:
    """Copy the named attributes from the source to the target."""
    for name in names:
        setattr(target, name, getattr(source, name))
