"""Load shedding: a request's rank by priority says how much of a concurrency limit it may use."""

from __future__ import annotations

from bisect import bisect_left
from collections import OrderedDict, deque
from random import Random

from ..model import Request, RequestClass
from .concurrency_limit import MIN_LIMIT_FRACTION
from .tenant_quotas import TenantQuotas

RECENT_REQUESTS = 200  # to be ranked among: about a second of a busy process
PRIOR_REQUESTS = 4  # taken to rank below each: the first after a start has nothing to be ranked among
CACHED_KEYS = 1000  # last answered ones, that a server will mostly still hold
# Of requests, rank as one of a class drawn from the recent ones if that is higher: no class is shut out for
# as long as a strain lasts.
BORROWED_RANK_CHANCE = 0.75
MISS_PRIORITY_FACTOR = 0.2  # a likely cache miss costs the origin, and holds a place while it is fetched
MIN_PRIORITY = 1e-9  # above zero: classes of weight 0 are still parted by chance and tie break
TIE_BREAK = 0.01  # of the priority, at random: equals are parted by chance
# Chance of an answer in time below which hardly any request is sent: shown by twenty answers.
HOPELESS_CHANCE = 0.05


def success_chance(request_class: RequestClass, time_left: int) -> float:
    """Return the part of the class's last answers that came within such a time, in microseconds.

    Servers work on when a client has gone: a request that can't be answered in time costs them all the same.
    """
    times = request_class.success_times
    if time_left >= max(times, default=0):  # mostly, and much quicker than a look at each
        return 1.0
    return (1 + sum(took <= time_left for took in times)) / (1 + len(times))


class LoadShedder:
    """Ranks requests by priority weight, expected success, tenant quota and likely cache hit."""

    def __init__(self, rng: Random, quotas: TenantQuotas, excess_weight: float) -> None:
        """:param excess_weight: factor on the priority weight of a request beyond its tenant's quota."""
        self.rng, self.quotas, self.excess_weight = rng, quotas, excess_weight
        self.recent_weights: deque[float] = deque(maxlen=RECENT_REQUESTS)  # of the requests' classes
        self.recent_priorities: deque[float] = deque()
        self.sorted_priorities: list[float] = []  # the same
        self.cached_keys: OrderedDict[int | None, bool] = OrderedDict()  # oldest answer first

    def record_answer(self, key: int | None) -> None:
        """Note that a server has answered for this key, so that it holds it now."""
        self.cached_keys[key] = True
        self.cached_keys.move_to_end(key)
        if len(self.cached_keys) > CACHED_KEYS:
            self.cached_keys.popitem(last=False)

    def limit_fraction(self, request: Request, now: int, chance: float = 1.0) -> float:
        """Record the request and return the fraction of a server's concurrency limit that it may use.

        Also sets the request's required share, if it is beyond its tenant's quota.

        :param chance: of an answer in time, as `success_chance` returns it.
        """
        priority = self._weight(request, now)
        if request.key not in self.cached_keys:
            priority *= MISS_PRIORITY_FACTOR
        priority = max(priority, MIN_PRIORITY) * chance * (1 + TIE_BREAK * self.rng.random())
        below = bisect_left(self.sorted_priorities, priority)
        self.recent_priorities.append(priority)
        self.sorted_priorities.insert(below, priority)
        if len(self.recent_priorities) > RECENT_REQUESTS:
            self.sorted_priorities.pop(bisect_left(self.sorted_priorities, self.recent_priorities.popleft()))
        ranked, lower = len(self.recent_priorities) + PRIOR_REQUESTS, below + PRIOR_REQUESTS
        return MIN_LIMIT_FRACTION + (1 - MIN_LIMIT_FRACTION) * lower / ranked

    def _weight(self, request: Request, now: int) -> float:
        """Return the weight of the request's class, or a greater recent one, or that of excess traffic."""
        weight = own_weight = request.request_class.priority_weight
        if self.recent_weights and self.rng.random() < BORROWED_RANK_CHANCE:
            weight = max(weight, self.rng.choice(self.recent_weights))
        self.recent_weights.append(own_weight)
        if request.tenant:
            self.quotas.record_request(request.tenant, now)
            if self.rng.random() > self.quotas.covered_fraction(request.tenant, now):
                weight = own_weight * self.excess_weight
                request.required_share = 1 - self.excess_weight
        return weight
