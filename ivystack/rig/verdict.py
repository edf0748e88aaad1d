"""The verdict on a run: everything that its scenario asks, held against its record.

Owns which checks a scenario calls for.  It must never change the record, or pass over what the run did
not get to record.
"""

from __future__ import annotations

from collections.abc import Iterator
from math import inf

from ..load.clients import in_time
from .check import Breach, Terms, agreed, duties, overlapping, rules
from .record import CLASSES, MULTIPLE, SHARE, US, Record, window

LATE = 50_000  # microseconds: each limit is that much longer, as for the proxies in service


def judged(record: Record) -> list[Breach]:
    """Every breach."""
    scenario, hold = record.scenario, record.scenario.hold
    slack = int(hold.slack_ms * 1000) + record.lag + record.load_lag
    bears = scenario.fleet.cores / scenario.fleet.service * SHARE * MULTIPLE
    classes = {one.name: one for one in CLASSES}
    windows = {one.name: window(scenario) for one in CLASSES if one.sends_idempotency_key and one.retryable}
    terms = Terms(classes, slack, LATE + record.lag, cold=bears, end=record.end, windows=windows,
                  lag=record.lag)  # fmt: skip
    found = rules(record.tries, record.ledger, record.excuses, terms) if hold.rules else []
    found += duties(record.acts) + overlapping(record.held, stops(record)) + agreed(record.agreed)
    if not hold.crashes:
        found += crashes(record)
    found += service(record)
    found += linked(record) if hold.linked else []
    found += orders(record) if hold.orders else []
    return found


def stops(record: Record) -> list[tuple[str, int, int | None]]:
    """Which processes did not run when, or not always."""
    words = "stop", "slow", "kill"
    return [(mark.who, mark.frm, mark.to) for mark in record.marks if mark.word.startswith(words)]


def crashes(record: Record) -> Iterator[Breach]:
    for process in record.processes:
        for at, word in process.events:
            if word.startswith("ended by itself"):
                yield Breach("no crash", at, process.name, word)


def service(record: Record) -> Iterator[Breach]:
    """What must go on, goes on: reqs served in time, the agreed state answering."""
    hold = record.scenario.hold
    last = record.start + int((record.scenario.seconds - hold.last) * US)
    for key, least, asked in (
        ("served", hold.served, record.asked),
        ("served_last", hold.served_last, [one for one in record.asked if one.due >= last]),
    ):
        part = sum(map(in_time, asked)) / max(1, len(asked))
        if part < least:
            text = f"{part:.3f} of {len(asked)} reqs in time, {least:g} are to be"
            yield Breach(f"hold.{key}", record.end, "fleet", text)
    third = record.scenario.seconds * US / 3
    for number in range(3):
        frm, to = record.start + number * third, record.start + (number + 1) * third
        for name in sorted({one.request_class.name for one in record.asked} if hold.each_class else ()):
            asked = [one for one in record.asked if one.request_class.name == name and frm <= one.due < to]
            part = sum(map(in_time, asked)) / max(1, len(asked))
            if part < hold.each_class:
                text = f"{part:.3f} of {len(asked)} reqs of {name} in time, {hold.each_class:g} are to be"
                yield Breach("hold.each_class", int(to), f"third {number + 1}", text)
    new = sum(one.called >= last and one.returned != inf for _, one in record.agreed)
    if new < hold.agreed_last:
        text = f"{new} answers from the agreed state, {hold.agreed_last} are to be"
        yield Breach("hold.agreed_last", record.end, "group", text)


def linked(record: Record) -> Iterator[Breach]:
    for name, told in record.fleet.items():
        there = {name, *told.get("mesh", {}).get("peers", {})}
        missing = [one for one in record.members if one not in there]
        if missing:
            yield Breach("hold.linked", record.end, name, f"no link to {' '.join(missing)} at the end")


def orders(record: Record) -> Iterator[Breach]:
    told = {name: one.get("duties", {}) for name, one in record.fleet.items()}
    found = {name: one.get("order") for name, one in told.items()}
    if len({*found.values()}) > 1:
        text = ", ".join(f"{name} {order}" for name, order in found.items())
        yield Breach("hold.orders", record.end, "fleet", text[:300])
    holders = [name for name, one in told.items() if "slot-order" in one.get("held", {})]
    if len(holders) != 1:
        text = f"slot-order is held by {' '.join(holders) or 'nobody'}"
        yield Breach("hold.orders", record.end, "fleet", text)
