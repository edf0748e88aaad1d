"""The summary of a run as text and as a plot; every breach is counted in it."""

from __future__ import annotations

from collections import Counter
from pathlib import Path
from typing import Any

from ..load.clients import in_time
from .check import Breach
from .record import US, Record

CONTEXT_US = 2 * US  # faults within this time of a breach are shown with it


def summarize(record: Record) -> str:
    """Return the text of the summary: service, latencies, resources, faults, leases and breaches."""
    scenario, ledger = record.scenario, record.ledger
    seconds = scenario.seconds
    lines = [f"scenario {scenario.name}, seed {scenario.seed}: {len(record.processes)} proxies, "
             f"{scenario.fleet.nodes} cache servers, {seconds:g} s"]  # fmt: skip
    total = len(record.requests)
    outcomes = Counter(request.outcome for request in record.requests)
    timely = sum(map(in_time, record.requests))
    counts = ", ".join(f"{outcome} {count}" for outcome, count in outcomes.most_common())
    lines.append(
        f"requests {total}: served in time {timely} ({timely / max(1, total):.3f}); outcomes: {counts}"
    )
    for name in sorted({request.request_class.name for request in record.requests}):
        of_class = [request for request in record.requests if request.request_class.name == name]
        lines.append(
            f"  {name}: {sum(map(in_time, of_class)) / len(of_class):.3f} of {len(of_class)} served in time"
        )
    if record.latencies is not None and record.latencies.get_total_count():
        at = record.latencies.get_value_at_percentile
        percentiles = [f"p{percent:g} {at(percent) / 1000:.0f} ms" for percent in (50, 95, 99)]
        lines.append("latency from the due time to the answer: " + ", ".join(percentiles))
    lines.append(
        f"attempts {len(ledger.commands)}, effects {len(ledger.effects)}, "
        f"dropped repeats {len(ledger.dropped_repeats)}, fetches from the origin {ledger.origin_requests}; "
        f"discovery: {sum(ledger.discovery_requests.values())} calls, "
        f"{sum(ledger.watch_updates.values())} lines"
    )
    cpu = sum(process.cpu_seconds for process in record.processes) / max(1, len(record.processes))
    rss = max((process.max_rss for process in record.processes), default=0) / 2**20
    lines.append(
        f"per proxy: maximum {rss:.0f} MB, mean CPU {cpu:.1f} s; ready after {record.startup_seconds:.1f} s"
    )
    lag = max((request.lag for request in record.requests), default=0)
    if lag > 50_000 or record.reactor_lag > 50_000:
        lines.append(f"the rig itself lagged: load {lag // 1000} ms, reactor {record.reactor_lag // 1000} ms")
    for fault in record.faults:
        start, end = (fault.start - record.start) / US, ((fault.end or record.end) - record.start) / US
        lines.append(f"  {start:6.2f} to {end:6.2f} s  {fault.target}: {fault.description}")
    for start, end, duty, proxy, token in record.leases:
        lines.append(f"  {(start - record.start) / US:6.2f} to {(end - record.start) / US:6.2f} s  "
                     f"{proxy} holds {duty}, token {token}")  # fmt: skip
    if not record.breaches:
        lines.append("all conditions of the scenario hold")
    for breach in record.breaches[:5]:
        lines += describe_breach(record, breach)
    if len(record.breaches) > 5:
        lines.append(f"and {len(record.breaches) - 5} more breaches")
    return "\n".join(lines)


def describe_breach(record: Record, breach: Breach) -> list[str]:
    """Return lines on a breach: the history of its request, and the faults around it."""
    when = (breach.at - record.start) / US
    lines = [f"BREACH of `{breach.rule}` at {when:.3f} s: {breach.subject}: {breach.text}"]
    ident = breach.subject.encode()
    attempts = [
        attempt for attempt in record.client_attempts if ident in (attempt.ident, attempt.idempotency_key)
    ]
    events = [
        (
            attempt.at,
            f"client sends a request to {attempt.proxy} "
            f"({attempt.request_class}, id {attempt.ident.decode()})",
        )
        for attempt in attempts
    ]
    idents = {attempt.ident for attempt in attempts}
    for attempt in attempts:
        events += [
            (at, f"{attempt.proxy} answers: {kind} {text[:40]!r}") for at, kind, text in attempt.answers
        ]
        events += (
            [(attempt.connection_lost_at, f"{attempt.proxy}: connection closed")]
            if attempt.connection_lost_at
            else []
        )
    for taken in record.ledger.commands:
        if taken.ident in idents:
            how = "rejects it as overloaded" if taken.busy else "accepts it"
            events.append((taken.at, f"{taken.node} {how}, from {taken.proxy}"))
    for effect in record.ledger.effects:
        if effect.ident in idents:
            events.append((effect.at, f"carried out through {effect.node}"))
    for fault in record.faults:
        if fault.start <= breach.at + CONTEXT_US and (fault.end or record.end) >= breach.at - CONTEXT_US:
            events.append((fault.start, f"{fault.target}: {fault.description} begins"))
    for at, text in sorted(events)[:40]:
        lines.append(f"    {(at - record.start) / US:8.3f} s  {text}")
    return lines


def plot_run(record: Record, path: Path) -> None:
    """Write a plot of the run to `path`.

    Above, each process has a row with its faults and leases; below are the rates of all requests and of those
    served in time.  The horizontal axis is the time.
    """
    import matplotlib

    matplotlib.use("Agg")
    from matplotlib import pyplot

    rows = [process.name for process in record.processes]
    rows += sorted({fault.target for fault in record.faults} - {*rows})
    height = max(3.0, 0.25 * len(rows) + 2.5)
    figure, (top, bottom) = pyplot.subplots(
        2, 1, sharex=True, figsize=(10, height), height_ratios=[max(1, len(rows) / 6), 1.2],
        layout="constrained",
    )  # fmt: skip
    row_of = {name: len(rows) - 1 - number for number, name in enumerate(rows)}

    def seconds(when: int) -> float:
        return (when - record.start) / US

    kinds = sorted({fault.description.split(" ")[0] for fault in record.faults})
    colors = {kind: f"C{number % 10}" for number, kind in enumerate(kinds)}
    for fault in record.faults:
        kind = fault.description.split(" ")[0]
        start, end = seconds(fault.start), seconds(fault.end or record.end)
        top.barh(
            row_of[fault.target], max(0.03, end - start), 0.55, left=start, color=colors[kind], alpha=0.6
        )
    duties = sorted({lease[2] for lease in record.leases})
    for start, end, duty, proxy, _ in record.leases:
        color = ["black", "dimgray", "darkgreen", "navy"][duties.index(duty) % 4]
        offset = 0.32 - 0.12 * duties.index(duty)
        top.plot([seconds(start), seconds(end)], [row_of[proxy] + offset] * 2, color=color, linewidth=3)
    for breach in record.breaches:
        bottom.axvline(seconds(breach.at), color="red", linewidth=0.8)
    handles: list[Any] = [pyplot.Rectangle((0, 0), 1, 1, color=colors[kind], alpha=0.6) for kind in kinds]
    duty_colors = ["black", "dimgray", "darkgreen", "navy"]
    handles += [pyplot.Line2D([], [], color=duty_colors[i % 4], linewidth=3) for i in range(len(duties))]
    if handles:
        top.legend(handles, [*kinds, *duties], fontsize=7, loc="upper left", bbox_to_anchor=(1, 1))
    top.set_yticks([*row_of.values()], [*row_of], fontsize=7)
    top.set_title(f"{record.scenario.name}, seed {record.scenario.seed}", fontsize=9)
    step = max(0.1, record.scenario.seconds / 80)
    edges = [number * step for number in range(int(record.scenario.seconds / step) + 1)]
    due, timely = Counter(), Counter()
    for request in record.requests:
        interval = int(seconds(request.due) / step)
        due[interval] += 1
        timely[interval] += in_time(request)
    bottom.plot(edges, [due[i] / step for i in range(len(edges))], color="gray", label="requests per second")
    bottom.plot(
        edges, [timely[i] / step for i in range(len(edges))], color="C2", label="served in time per second"
    )
    bottom.set_xlabel("seconds")
    bottom.set_ylim(bottom=0)
    bottom.legend(fontsize=7, loc="lower right")
    figure.savefig(path, dpi=110)
    pyplot.close(figure)
