"""Scenarios in which endpoint lists are out of date: the same seed always gives the same scenario.

Servers drain one pair after another, as in a release.  Meanwhile proxies are restarted and come up late,
stand still, get signals in series, and their watches of discovery fall silent or are cut.
"""

from __future__ import annotations

from random import Random

from .scenario import Fault, Fleet, Hold, Load, Scenario

PROXIES, NODES = 3, 8
FIRST_DRAIN_S, DRAIN_EVERY_S, DRAIN_FOR_S = 1.0, 2.2, (4.2, 6.0)
SETTLED_S = 4.0  # before the end of the load no fault begins that takes long
REQUESTS_PER_SECOND = 120.0
KILL_AFTER_S = 1.6  # after SIGTERM: the longest deadline, 0.9 s, and 0.7 s


def soak_scenario(
    seed: int, seconds: float = 20.0, late_ms: float = 0.0, rate: float = REQUESTS_PER_SECOND
) -> Scenario:
    """Return a scenario with drains all the time and faults that leave proxies with an old endpoint list.

    :param late_ms: discovery answers calls up to so many milliseconds late, all the time
    :param rate: requests per second; fewer on a machine that is too busy for the rig's own clients
    """
    rng = Random(seed)
    faults = [*_drains(rng, seconds), *_proxy_faults(rng, seconds), *_discovery_faults(rng, seconds, late_ms)]
    has_crowd = rng.random() < 0.25
    if has_crowd:
        at = round(rng.uniform(0.5, seconds / 2), 2)
        faults.append(Fault(at=at, kind="crowd", span=round(seconds / 3, 2), who=["p*"], part=0.6))
    if late_ms:
        faults.append(Fault(at=0.0, kind="list-late", ms=late_ms))
    faults.sort(key=lambda fault: fault.at)
    return Scenario(
        version=1, name=f"soak-{seed}", about="endpoint lists out of date", seconds=seconds, seed=seed,
        fleet=Fleet(proxies=PROXIES, nodes=NODES, sockets=256 if has_crowd else 1024, cores=8),
        load=Load(rate=rate, shape=rng.choice(["poisson", "surge"]), reuse=rng.choice(["newest", "oldest"])),
        fault=faults, hold=Hold(stale_sends=True),
    )  # fmt: skip


def _drains(rng: Random, seconds: float) -> list[Fault]:
    """Return drains of pairs of servers, each of which comes back cold."""
    faults, at, first = [], FIRST_DRAIN_S, rng.randrange(NODES)
    while at < seconds - SETTLED_S:
        pair = [f"n{(first + offset) % NODES}" for offset in (0, 1)]
        span = round(min(rng.uniform(*DRAIN_FOR_S), seconds - at), 2)
        faults.append(Fault(at=round(at, 2), kind="node-drain", span=span, who=pair))
        first += 2
        at += DRAIN_EVERY_S * rng.uniform(0.9, 1.1)
    return faults


def _proxy_faults(rng: Random, seconds: float) -> list[Fault]:
    """Return the faults of each proxy, one after another."""
    faults = []
    for number in range(PROXIES):
        at, who = rng.uniform(0.5, 2.5), [f"p{number}"]
        while at < seconds - SETTLED_S:
            kind = rng.choice(["restart", "restart", "kill", "stop", "stop", "reload", "pause"])
            fault = Fault(at=round(at, 2), kind=kind, who=who)
            if kind in ("restart", "kill"):
                fault.hold = round(rng.choice([0.0, rng.uniform(0.5, 4.0)]), 2)
                fault.span, fault.kill_after = 0.3, KILL_AFTER_S
            elif kind == "stop":
                fault.span = round(rng.choice([rng.uniform(0.3, 3.0), rng.uniform(6.0, 8.5)]), 2)
            elif kind == "reload":
                fault.span, fault.times, fault.every = (
                    0.0,
                    rng.randint(1, 4),
                    round(rng.uniform(0.05, 1.0), 2),
                )
            else:
                fault.span, fault.times, fault.every = 0.12, rng.randint(1, 6), 0.4
            faults.append(fault)
            if kind == "stop" and rng.random() < 0.5:
                cut_at = round(min(at + rng.uniform(0.05, (fault.span or 0) - 0.2), seconds - 1), 2)
                faults.append(Fault(at=cut_at, kind="cut", span=0.1, between=[*who, "discovery"]))
            length = max(fault.span or 0.0, fault.hold + 2.5, fault.times * fault.every)
            at += length + rng.uniform(0.5, 2.5)
    return faults


def _discovery_faults(rng: Random, seconds: float, late_ms: float) -> list[Fault]:
    """Return faults of discovery and of the links to it, some of them at once with those of the proxies."""
    kinds = ["watch-silent", "watch-silent", "list-silent", "list-refuses", "cut"]
    if late_ms:  # a reset shows only where the next call is not answered at once
        kinds += ["watch-reset", "watch-reset", "watch-reset"]
    faults, at = [], rng.uniform(1.0, 4.0)
    while at < seconds - SETTLED_S:
        kind = rng.choice(kinds)
        fault = Fault(at=round(at, 2), kind=kind)
        if kind == "cut":
            fault.between, fault.span = ["p*", "discovery"], 0.1
        elif kind not in ("watch-silent", "watch-reset"):
            fault.span = round(rng.uniform(1.0, 5.0), 2)
        else:
            fault.span = 0.0
        faults.append(fault)
        at += (fault.span or 0.0) + rng.uniform(2.0, 6.0)
    return faults
