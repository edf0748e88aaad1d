"""The arrivals of an open-loop load, drawn before the run.

The same random source gives the same arrivals. They do not depend on the outcome of earlier requests.
"""

from __future__ import annotations

from dataclasses import dataclass
from itertools import accumulate
from random import Random


@dataclass(frozen=True, slots=True)
class Arrival:
    """A request that is due at a given time."""

    at: int  # microseconds from the start
    key: bytes
    request_class: str
    client: int  # number of the proxy that the request is first sent to


def rate_at(shape: str, elapsed: float) -> float:
    """Return the rate at a point of the run, as a multiple of the mean rate.

    `elapsed` is the elapsed share of the run, from 0 to 1. The mean of each shape over the run is 1.

    >>> [rate_at("ramp", elapsed) for elapsed in (0, 0.5, 1)], rate_at("surge", 0.5), rate_at("surge", 0.1)
    ([0.5, 1.0, 1.5], 2.0, 0.75)
    """
    if shape == "ramp":
        return 0.5 + elapsed
    if shape == "surge":  # twice the mean rate for a fifth of the run
        return 2.0 if 0.4 <= elapsed < 0.6 else 0.75
    return 1.0


def draw_arrivals(
    rng: Random, seconds: float, rate: float, shape: str, keys: int, skew: float,
    shares: dict[str, float], clients: int,
) -> list[Arrival]:  # fmt: skip
    """Draw the arrivals of a run of `seconds` at a mean of `rate` requests per second.

    `shape` is "steady", "poisson", "ramp" or "surge". Keys follow Zipf's law with exponent `skew`. `shares`
    maps each request class to its share of the requests, and `clients` is the number of proxies.
    """
    max_rate, at, arrivals = 2.0 * rate, 0.0, []
    rank_weights = [*accumulate(1 / (rank + 1) ** skew for rank in range(keys))]
    names, share_weights = [*shares], [*accumulate(shares.values())]
    while True:
        if shape == "steady":
            at += 1 / rate
        else:  # a Poisson process at the highest rate, thinned below
            at += rng.expovariate(max_rate)
        if at >= seconds:
            return arrivals
        if shape != "steady" and rng.random() >= rate_at(shape, at / seconds) * rate / max_rate:
            continue
        key = rng.choices(range(keys), cum_weights=rank_weights)[0]
        request_class = rng.choices(names, cum_weights=share_weights)[0]
        arrivals.append(Arrival(int(at * 1e6), b"%016x" % (key * 0x9E3779B97F4A7C15 % 2**64), request_class,
                            rng.randrange(clients)))  # fmt: skip
