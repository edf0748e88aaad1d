"""Checks the record of a run against the conditions of its scenario.

This module selects the checks that the scenario asks for.  The record is not changed, and a part that the run
did not record never counts as good.
"""

from __future__ import annotations

from collections.abc import Iterator
from math import inf

from ..load.clients import in_time
from .check import (
    DRAIN_GRACE_US,
    Breach,
    RuleLimits,
    check_duty_actions,
    check_overlapping_leases,
    check_rules,
    check_table_history,
)
from .record import CLASSES, COLD_SHARE, OVERLOAD_FACTOR, US, Record, dedup_window_us
from .stale_sends import check_stale_sends

TOLERANCE_US = 50_000  # added to each limit, as for proxies in production


def find_breaches(record: Record) -> list[Breach]:
    """Return all breaches of the rules and of the scenario's conditions."""
    scenario, hold = record.scenario, record.scenario.hold
    slack = int(hold.slack_ms * 1000) + record.reactor_lag + record.load_lag
    cold_limit = scenario.fleet.cores / scenario.fleet.service * COLD_SHARE * OVERLOAD_FACTOR
    classes = {request_class.name: request_class for request_class in CLASSES}
    windows = {
        request_class.name: dedup_window_us(scenario)
        for request_class in CLASSES
        if request_class.sends_idempotency_key and request_class.retryable
    }
    limits = RuleLimits(
        classes, slack, TOLERANCE_US + record.reactor_lag, cold=cold_limit, end=record.end,
        dedup_windows=windows, relay_lag=record.reactor_lag,
    )  # fmt: skip
    breaches = (
        check_rules(record.client_attempts, record.ledger, record.exemptions, limits) if hold.rules else []
    )
    breaches += (
        check_duty_actions(record.duty_actions)
        + check_overlapping_leases(record.leases, process_stops(record))
        + check_table_history(record.table_history)
    )
    breaches += check_stale_sends(record, DRAIN_GRACE_US, limits.tolerance) if hold.stale_sends else []
    if not hold.crashes:
        breaches += check_crashes(record)
    breaches += check_service(record)
    breaches += check_links(record) if hold.linked else []
    breaches += check_slot_orders(record) if hold.orders else []
    return breaches


def process_stops(record: Record) -> list[tuple[str, int, int | None]]:
    """Return the times in which processes were stopped, slowed or killed: (proxy, start, end)."""
    kinds = "stop", "slow", "kill"
    return [
        (fault.target, fault.start, fault.end)
        for fault in record.faults
        if fault.description.startswith(kinds)
    ]


def check_crashes(record: Record) -> Iterator[Breach]:
    for process in record.processes:
        for at, event in process.events:
            if event.startswith("ended by itself"):
                yield Breach("no crash", at, process.name, event)


def check_service(record: Record) -> Iterator[Breach]:
    """Check the fractions of requests served in time and the number of answers from the replicated table."""
    hold = record.scenario.hold
    last = record.start + int((record.scenario.seconds - hold.last) * US)
    for key, least, requests in (
        ("served", hold.served, record.requests),
        ("served_last", hold.served_last, [request for request in record.requests if request.due >= last]),
    ):
        fraction = sum(map(in_time, requests)) / max(1, len(requests))
        if fraction < least:
            text = f"{fraction:.3f} of {len(requests)} requests served in time, {least:g} required"
            yield Breach(f"hold.{key}", record.end, "fleet", text)
    third = record.scenario.seconds * US / 3
    for number in range(3):
        start, end = record.start + number * third, record.start + (number + 1) * third
        for name in sorted(
            {request.request_class.name for request in record.requests} if hold.each_class else ()
        ):
            requests = [
                request
                for request in record.requests
                if request.request_class.name == name and start <= request.due < end
            ]
            fraction = sum(map(in_time, requests)) / max(1, len(requests))
            if fraction < hold.each_class:
                text = (
                    f"{fraction:.3f} of {len(requests)} {name} requests served in time,"
                    f" {hold.each_class:g} required"
                )
                yield Breach("hold.each_class", int(end), f"third {number + 1}", text)
    answered = sum(op.invoked_at >= last and op.returned_at != inf for _, op in record.table_history)
    if answered < hold.agreed_last:
        text = f"{answered} answers from the replicated table, {hold.agreed_last} required"
        yield Breach("hold.agreed_last", record.end, "group", text)


def check_links(record: Record) -> Iterator[Breach]:
    """Check that each proxy was connected to every member of the consensus group at the end."""
    for name, status in record.fleet_status.items():
        connected = {name, *status.get("mesh", {}).get("peers", {})}
        missing = [member for member in record.members if member not in connected]
        if missing:
            yield Breach("hold.linked", record.end, name, f"no link to {' '.join(missing)} at the end")


def check_slot_orders(record: Record) -> Iterator[Breach]:
    """Check that all proxies had the same slot order at the end, and slot-order had one holder."""
    duties = {name: status.get("duties", {}) for name, status in record.fleet_status.items()}
    orders = {name: status.get("order") for name, status in duties.items()}
    if len({*orders.values()}) > 1:
        text = ", ".join(f"{name} {order}" for name, order in orders.items())
        yield Breach("hold.orders", record.end, "fleet", text[:300])
    holders = [name for name, status in duties.items() if "slot-order" in status.get("held", {})]
    if len(holders) != 1:
        text = f"slot-order is held by {' '.join(holders) or 'nobody'}"
        yield Breach("hold.orders", record.end, "fleet", text)
