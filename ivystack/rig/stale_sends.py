"""Checks that no proxy sends to a draining server by an endpoint list that is out of date.

A proxy counts as notified of what the discovery agent has, whether or not it has read that, and also while
the proxy stands still or has not yet started.
"""

from __future__ import annotations

from ..standin.ledger import SERVING, ListChange
from .check import Breach
from .record import US, Record

NOTIFIED_AFTER_SILENCE_US = 6_000_000  # what a silent watch misses, after it fell silent
NOTIFIED_AFTER_RELOAD_US = 4_000_000  # what a new discovery address has, after SIGHUP
CUT = "cut <-> discovery"  # of the link of one proxy, which can't be notified meanwhile
OUTAGES = ("list-silent", "list-refuses")  # meanwhile the agent learns nothing


def notified_at(change: ListChange, proxy: str, record: Record) -> int:
    """Return when the process of a proxy that runs after a change counts as notified of it.

    The result is in microseconds.  A silent or refusing agent notifies a process of nothing that it had not
    written to the process before.
    """
    notified, started = change.at, last_start(proxy, change.at, record)
    silent_at = [
        at for at, caller in record.ledger.silenced_watches if caller == proxy and started < at <= notified
    ]
    if silent_at:
        notified = max(notified, max(silent_at) + NOTIFIED_AFTER_SILENCE_US)
    for fault in record.faults:
        is_reload = fault.description == "reload" and fault.target == proxy
        if is_reload and fault.start <= notified < fault.start + NOTIFIED_AFTER_RELOAD_US:
            notified = fault.start + NOTIFIED_AFTER_RELOAD_US
    return notified


def last_start(proxy: str, before: int, record: Record) -> int:
    """Return when the process of a proxy that ran at a time was started; 0 if none was."""
    starts = [
        at
        for process in record.processes
        if process.name == proxy
        for at, event in process.events
        if event.startswith("start") and at <= before
    ]
    return max(starts, default=0)


def after_outages(notified: int, change: ListChange, proxy: str, at: int, record: Record) -> int:
    """Return when a proxy counts as notified in view of discovery's outages up to an attempt at `at`."""
    started = last_start(proxy, at, record)
    for fault in record.faults:
        end = record.end if fault.end is None else fault.end
        is_cut = fault.target == proxy and fault.description == CUT
        if not (is_cut or fault.description in OUTAGES) or end <= change.at or fault.start > at:
            continue
        was_written = any(
            update.proxy == proxy and update.node == change.node and update.state == change.state
            and max(change.at, started) <= update.at <= fault.start
            for update in record.ledger.state_updates
        )  # fmt: skip
        if not was_written:
            notified = max(notified, end)
    return notified


def check_stale_sends(record: Record, grace: int, tolerance: int) -> list[Breach]:
    """Return the attempts that began later than the grace after their proxy counted as notified."""
    breaches = []
    changes: dict[str, list[ListChange]] = {}
    for change in record.ledger.list_changes:
        changes.setdefault(change.node, []).append(change)
    for taken in record.ledger.commands:
        before = [change for change in changes.get(taken.node, ()) if change.at <= taken.at]
        drain = None
        for change in before:  # the first of the changes since the server was last serving
            drain = None if change.state == SERVING else drain or change
        if drain is None:
            continue
        notified = notified_at(drain, taken.proxy, record)
        if taken.at <= notified + grace + tolerance:
            continue
        notified = after_outages(notified, drain, taken.proxy, taken.at, record)
        latest = notified + grace + tolerance
        if taken.at > latest:
            text = f"{taken.proxy} sent a request {(taken.at - drain.at) / US:.2f} s after the change"
            text += f", {(taken.at - latest) / US:.2f} s too late"
            breaches.append(Breach("nothing new to a draining node (agent)", taken.at, taken.node, text))
    return breaches
