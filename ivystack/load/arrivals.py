"""When reqs come and what they ask, drawn ahead of the run.

Owns the draws: same random source, same arrivals.  It must never look at how the reqs before went.
"""

from __future__ import annotations

from dataclasses import dataclass
from itertools import accumulate
from random import Random


@dataclass(frozen=True, slots=True)
class Arrival:
    at: int  # microseconds from the start
    key: bytes
    request_class: str
    client: int  # which proxy it comes to first


def rate_at(shape: str, part: float) -> float:
    """Of the mean rate, at that part of the run; each shape's mean over the run is 1.

    >>> [rate_at("ramp", part) for part in (0, 0.5, 1)], rate_at("surge", 0.5), rate_at("surge", 0.1)
    ([0.5, 1.0, 1.5], 2.0, 0.75)
    """
    if shape == "ramp":
        return 0.5 + part
    if shape == "surge":  # a fifth of the time at twice the mean
        return 2.0 if 0.4 <= part < 0.6 else 0.75
    return 1.0


def draw_arrivals(
    rng: Random, seconds: float, rate: float, shape: str, keys: int, skew: float,
    parts: dict[str, float], clients: int,
) -> list[Arrival]:  # fmt: skip
    """Arrivals over so many seconds at a mean rate a second; keys by Zipf's law, methods by their parts."""
    most, at, made = 2.0 * rate, 0.0, []
    by_rank = [*accumulate(1 / (rank + 1) ** skew for rank in range(keys))]
    names, shares = [*parts], [*accumulate(parts.values())]
    while True:
        if shape == "steady":
            at += 1 / rate
        else:  # thinned from the highest rate
            at += rng.expovariate(most)
        if at >= seconds:
            return made
        if shape != "steady" and rng.random() >= rate_at(shape, at / seconds) * rate / most:
            continue
        key = rng.choices(range(keys), cum_weights=by_rank)[0]
        method = rng.choices(names, cum_weights=shares)[0]
        made.append(Arrival(int(at * 1e6), b"%016x" % (key * 0x9E3779B97F4A7C15 % 2**64), method,
                            rng.randrange(clients)))  # fmt: skip
