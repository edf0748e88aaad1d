"""Scenarios with random faults: the same seed always gives the same scenario.

Some proxies and cache servers are always left running, because no fleet could bear the loss of all.
"""

from __future__ import annotations

from random import Random

from .scenario import Agree, Fault, Fleet, Hold, Load, Scenario

DURATION_RANGE_S = 0.4, 2.5  # of a fault
ERRORS = {  # transient errors of each system call, from its Linux manual page
    "accept": ["EMFILE", "ENFILE", "ENOBUFS", "ENOMEM", "ECONNABORTED", "EPROTO", "EHOSTUNREACH", "EPERM"],
    "recv": ["ENOMEM", "ENOBUFS", "EINTR", "EAGAIN"],
    "send": ["ENOMEM", "ENOBUFS", "EINTR", "EAGAIN"],
    "connect_ex": ["EADDRNOTAVAIL", "ENETUNREACH", "EHOSTUNREACH", "ENOBUFS", "ETIMEDOUT", "ECONNREFUSED"],
}


def random_scenario(seed: int, seconds: float, proxies: int = 4, nodes: int = 5, group: int = 0) -> Scenario:
    """Return a scenario with one to two faults per second, all of which end before the last three seconds.

    At any time at most a third of the proxies is killed or stopped, and at most half of the cache servers has
    a fault.
    """
    rng = Random(seed)
    faults: list[Fault] = []
    last = max(0.5, seconds - 3.0)
    # By "p" (proxies) and "n" (cache servers): start, end and name of each one out of service.
    out: dict[str, list[tuple[float, float, str]]] = {"p": [], "n": []}

    def may_fail(kind: str, name: str, start: float, end: float) -> bool:
        """Return whether the named one may be out of service from `start` to `end` besides those that are."""
        most = max(1, proxies // 3) if kind == "p" else max(1, nodes // 2)
        failing = {other for a, b, other in out[kind] if a < end + 1.0 and start < b + 1.0}
        return name not in failing and len(failing) < most

    count = rng.randint(max(1, int(seconds) - 3), max(1, 2 * int(seconds) - 5))
    for _ in range(count):
        at = round(rng.uniform(0.3, last), 2)
        span = round(min(rng.uniform(*DURATION_RANGE_S), max(0.1, last + 0.5 - at)), 2)
        kind = rng.choice(
            ["pause", "pause", "syscall", "syscall", "leave", "kill", "stop", "slow", "restart", "clock",
             "node-die", "node-hang", "node-slow", "node-fail",
             "node-drain", "node-spoil", "origin-slow", "cut", "hole", "freeze", "delay", "loss", "twice",
             "rate", "reset", "half-open", "list-silent", "list-refuses"]
        )  # fmt: skip
        fault = Fault(at=at, kind=kind, span=span)
        proxy, server = f"p{rng.randrange(proxies)}", f"n{rng.randrange(nodes)}"
        if kind == "pause":
            fault.who, fault.span = [rng.choice([proxy, "p*"])], round(rng.uniform(0.04, 0.14), 3)
            fault.times, fault.every = rng.randint(1, 8), round(rng.uniform(0.2, 0.7), 2)
        elif kind == "syscall":
            fault.who, fault.call = [proxy], rng.choice([*ERRORS])
            fault.error, fault.part = rng.choice(ERRORS[fault.call]), rng.choice([0.02, 0.2, 0.8])
        elif kind == "leave":
            fault.who, fault.part = [rng.choice([proxy, "p*"])], round(rng.uniform(0.2, 1.0), 2)
            fault.span = 0.0
        elif kind in ("kill", "stop", "slow", "restart", "clock"):
            if kind != "clock" and not may_fail("p", proxy, at, at + span):
                continue
            out["p"].append((at, at + span, proxy))
            fault.who, fault.duty = [proxy], round(rng.uniform(0.1, 0.6), 2)
            fault.hours = rng.choice([-30.0, -2.0, 3.0, 1000.0])
            if kind in ("kill", "restart"):
                fault.directory = rng.choice(["kept", "kept", "gone", "old"])
        elif kind.startswith("node"):
            if not may_fail("n", server, at, at + span):
                continue
            out["n"].append((at, at + span, server))
            fault.who, fault.factor = [server], round(rng.uniform(3, 30), 1)
            fault.part, fault.how = round(rng.uniform(0.2, 1), 2), rng.choice(["twice", "noise", "break"])
        elif kind == "origin-slow":
            fault.factor = round(rng.uniform(2, 6), 1)
        elif not kind.startswith("list"):
            ends = [proxy, rng.choice([server, "discovery", "clients", f"p{rng.randrange(proxies)}"])]
            fault.between, fault.way = ends, rng.choice(["both", "there", "back"])
            fault.part, fault.bytes = round(rng.uniform(0.1, 0.9), 2), rng.choice([0, 20, 300, 5000])
            if kind == "rate":
                fault.bytes = rng.choice([2000, 20_000])
            fault.ms, fault.jitter_ms = rng.choice([5.0, 30.0, 120.0]), rng.choice([0.0, 20.0, 100.0])
            fault.flap = rng.choice([0.0, 0.0, 0.3]) if kind in ("cut", "hole", "freeze") else 0.0
        faults.append(fault)
    faults.sort(key=lambda fault: fault.at)
    if group and rng.random() < 0.5:
        fault = Fault(at=round(rng.uniform(0.5, last), 2), kind="kill", span=0.5, who=["leader"])
        faults.append(fault)
    if group and rng.random() < 0.4:
        way = rng.choice(["both", "there", "back"])
        at = round(rng.uniform(0.5, last), 2)
        kind = rng.choice(["cut", "hole", "freeze"])
        faults.append(Fault(at=at, kind=kind, span=1.5, between=["leader", "p*"], way=way))
    agree = Agree(rate=25.0 if group else 0.0, keys=4)
    return Scenario(
        version=1, name=f"random-{seed}", about="faults drawn by chance", seconds=seconds, seed=seed,
        fleet=Fleet(
            proxies=proxies, nodes=nodes, zones=rng.choice([1, 2]), group=group,
            sockets=rng.choice([96, 192, 1024]),
        ),
        load=Load(
            rate=80.0, shape=rng.choice(["poisson", "surge"]), reuse=rng.choice(["newest", "oldest"]),
        ),
        fault=faults,
        hold=Hold(linked=bool(group), orders=bool(group)), agree=agree, settle=4.0 if group else 1.5,
    )  # fmt: skip
