"""What a run was like, in words and as a picture.

Owns the wording.  It must never hide a breach behind a figure.
"""

from __future__ import annotations

from collections import Counter
from pathlib import Path
from typing import Any

from ..load.clients import in_time
from .check import Breach
from .record import US, Record

AROUND = 2 * US  # of a breach: faults and events so near are shown with it


def account(record: Record) -> str:
    scenario, ledger = record.scenario, record.ledger
    seconds = scenario.seconds
    lines = [f"scenario {scenario.name}, seed {scenario.seed}: {len(record.processes)} proxies, "
             f"{scenario.fleet.nodes} nodes, {seconds:g} s"]  # fmt: skip
    total = len(record.asked)
    kinds = Counter(one.outcome for one in record.asked)
    timely = sum(map(in_time, record.asked))
    words = ", ".join(f"{kind} {count}" for kind, count in kinds.most_common())
    lines.append(f"reqs {total}: in time {timely} ({timely / max(1, total):.3f}); last answers: {words}")
    for name in sorted({one.request_class.name for one in record.asked}):
        of = [one for one in record.asked if one.request_class.name == name]
        lines.append(f"  {name}: {sum(map(in_time, of)) / len(of):.3f} of {len(of)} in time")
    if record.times is not None and record.times.get_total_count():
        at = record.times.get_value_at_percentile
        parts = [f"p{part:g} {at(part) / 1000:.0f} ms" for part in (50, 95, 99)]
        lines.append("from when it was due to its answer: " + ", ".join(parts))
    lines.append(
        f"attempts {len(ledger.commands)}, effects {len(ledger.effects)}, "
        f"repeats recognized {len(ledger.dropped_repeats)}, at the origin {ledger.origin_requests}; "
        f"discovery: {sum(ledger.discovery_requests.values())} calls, "
        f"{sum(ledger.watch_updates.values())} lines"
    )
    cpu = sum(one.cpu for one in record.processes) / max(1, len(record.processes))
    rss = max((one.most_rss for one in record.processes), default=0) / 2**20
    lines.append(f"a proxy: {rss:.0f} MB at most, {cpu:.1f} s of CPU; ready after {record.ready:.1f} s")
    late = max((one.lag for one in record.asked), default=0)
    if late > 50_000 or record.lag > 50_000:
        lines.append(f"the rig itself fell behind: load {late // 1000} ms, reactor {record.lag // 1000} ms")
    for mark in record.marks:
        frm, to = (mark.frm - record.start) / US, ((mark.to or record.end) - record.start) / US
        lines.append(f"  {frm:6.2f} to {to:6.2f} s  {mark.who}: {mark.word}")
    for frm, to, duty, proxy, token in record.held:
        lines.append(f"  {(frm - record.start) / US:6.2f} to {(to - record.start) / US:6.2f} s  "
                     f"{proxy} holds {duty}, token {token}")  # fmt: skip
    if not record.breaches:
        lines.append("holds: all that the scenario asks")
    for breach in record.breaches[:5]:
        lines += shown(record, breach)
    if len(record.breaches) > 5:
        lines.append(f"and {len(record.breaches) - 5} more")
    return "\n".join(lines)


def shown(record: Record, breach: Breach) -> list[str]:
    """The shortest account of a breach: what is known of its req, and the faults around it."""
    when = (breach.at - record.start) / US
    lines = [f"BREACH of `{breach.rule}` at {when:.3f} s: {breach.who}: {breach.text}"]
    ident = breach.who.encode()
    mine = [one for one in record.tries if ident in (one.ident, one.idempotency_key)]
    events = [
        (one.at, f"client asks {one.proxy} ({one.request_class}, id {one.ident.decode()})") for one in mine
    ]
    idents = {one.ident for one in mine}
    for one in mine:
        events += [(at, f"{one.proxy} answers: {kind} {text[:40]!r}") for at, kind, text in one.answers]
        events += (
            [(one.connection_lost_at, f"{one.proxy}: the connection ends")] if one.connection_lost_at else []
        )
    for taken in record.ledger.commands:
        if taken.ident in idents:
            how = "turns it away" if taken.busy else "takes it"
            events.append((taken.at, f"{taken.node} {how}, from {taken.proxy}"))
    for effect in record.ledger.effects:
        if effect.ident in idents:
            events.append((effect.at, f"carried out through {effect.node}"))
    for mark in record.marks:
        if mark.frm <= breach.at + AROUND and (mark.to or record.end) >= breach.at - AROUND:
            events.append((mark.frm, f"{mark.who}: {mark.word} begins"))
    for at, text in sorted(events)[:40]:
        lines.append(f"    {(at - record.start) / US:8.3f} s  {text}")
    return lines


def plot(record: Record, path: Path) -> None:
    """Time across; a row a process with its faults and the duties it held; service of reqs below."""
    import matplotlib

    matplotlib.use("Agg")
    from matplotlib import pyplot

    rows = [one.name for one in record.processes]
    rows += sorted({mark.who for mark in record.marks} - {*rows})
    height = max(3.0, 0.25 * len(rows) + 2.5)
    figure, (top, below) = pyplot.subplots(
        2, 1, sharex=True, figsize=(10, height), height_ratios=[max(1, len(rows) / 6), 1.2],
        layout="constrained",
    )  # fmt: skip
    at = {name: len(rows) - 1 - number for number, name in enumerate(rows)}

    def second(when: int) -> float:
        return (when - record.start) / US

    kinds = sorted({mark.word.split(" ")[0] for mark in record.marks})
    colours = {kind: f"C{number % 10}" for number, kind in enumerate(kinds)}
    for mark in record.marks:
        kind = mark.word.split(" ")[0]
        frm, to = second(mark.frm), second(mark.to or record.end)
        top.barh(at[mark.who], max(0.03, to - frm), 0.55, left=frm, color=colours[kind], alpha=0.6)
    duties = sorted({one[2] for one in record.held})
    for frm, to, duty, proxy, _ in record.held:
        shade = ["black", "dimgray", "darkgreen", "navy"][duties.index(duty) % 4]
        lift = 0.32 - 0.12 * duties.index(duty)
        top.plot([second(frm), second(to)], [at[proxy] + lift] * 2, color=shade, linewidth=3)
    for breach in record.breaches:
        below.axvline(second(breach.at), color="red", linewidth=0.8)
    handles: list[Any] = [pyplot.Rectangle((0, 0), 1, 1, color=colours[kind], alpha=0.6) for kind in kinds]
    shades = ["black", "dimgray", "darkgreen", "navy"]
    handles += [pyplot.Line2D([], [], color=shades[i % 4], linewidth=3) for i in range(len(duties))]
    if handles:
        top.legend(handles, [*kinds, *duties], fontsize=7, loc="upper left", bbox_to_anchor=(1, 1))
    top.set_yticks([*at.values()], [*at], fontsize=7)
    top.set_title(f"{record.scenario.name}, seed {record.scenario.seed}", fontsize=9)
    step = max(0.1, record.scenario.seconds / 80)
    edges = [number * step for number in range(int(record.scenario.seconds / step) + 1)]
    asked, timely = Counter(), Counter()
    for one in record.asked:
        cell = int(second(one.due) / step)
        asked[cell] += 1
        timely[cell] += in_time(one)
    below.plot(edges, [asked[i] / step for i in range(len(edges))], color="gray", label="asked a second")
    below.plot(edges, [timely[i] / step for i in range(len(edges))], color="C2", label="served in time")
    below.set_xlabel("seconds")
    below.set_ylim(bottom=0)
    below.legend(fontsize=7, loc="lower right")
    figure.savefig(path, dpi=110)
    pyplot.close(figure)
