"""Load shedding: a request's priority rank determines how much of a concurrency limit it may use."""

from __future__ import annotations

from bisect import bisect_left
from collections import OrderedDict, deque
from random import Random

from ..model import Request, RequestClass
from .concurrency_limit import MIN_LIMIT_FRACTION
from .tenant_quotas import TenantQuotas

RECENT_REQUESTS = 200  # requests among which a new one is ranked; about a second of a busy process
PRIOR_REQUESTS = 4  # assumed to rank below each request, since after a start there are none to compare with
CACHED_KEYS = 1000  # last answered keys; servers still cache most of them
# Probability that a request ranks with the class weight of a random recent request, if that is higher.  So no
# class is rejected altogether while an overload lasts.
BORROWED_RANK_CHANCE = 0.75
MISS_PRIORITY_FACTOR = 0.2  # a likely cache miss loads the origin, and stays in flight during the fetch
MIN_PRIORITY = 1e-9  # above zero, so that classes of weight 0 are still ordered by chance and tie-break
TIE_BREAK = 0.01  # greatest random addition, as a part of the priority; orders equal requests at random
# With a lower probability of an answer in time, hardly any request is sent.  Such an estimate needs at least
# twenty answers.
HOPELESS_CHANCE = 0.05


def success_chance(request_class: RequestClass, time_left: int) -> float:
    """Return the estimated probability that a request of the class is answered within `time_left`.

    The estimate is the part of the class's last answers that took at most `time_left` microseconds.  Requests
    with hardly a chance are held back, because servers would work on them even after the client has
    disconnected.
    """
    times = request_class.success_times
    if time_left >= max(times, default=0):  # the usual case, much faster than comparing each time
        return 1.0
    return (1 + sum(duration <= time_left for duration in times)) / (1 + len(times))


class LoadShedder:
    """Ranks requests by priority weight, expected success, tenant quota and likely cache hit."""

    def __init__(self, rng: Random, quotas: TenantQuotas, excess_weight: float) -> None:
        """:param excess_weight: factor on the priority weight of requests above their tenant's quota."""
        self.rng, self.quotas, self.excess_weight = rng, quotas, excess_weight
        self.recent_weights: deque[float] = deque(maxlen=RECENT_REQUESTS)  # of the recent requests' classes
        self.recent_priorities: deque[float] = deque()
        self.sorted_priorities: list[float] = []  # the recent priorities in ascending order
        self.cached_keys: OrderedDict[int | None, bool] = OrderedDict()  # oldest answer first

    def record_answer(self, key: int | None) -> None:
        """Record that a server has answered for the key, and so now caches it."""
        self.cached_keys[key] = True
        self.cached_keys.move_to_end(key)
        if len(self.cached_keys) > CACHED_KEYS:
            self.cached_keys.popitem(last=False)

    def limit_fraction(self, request: Request, now: int, chance: float = 1.0) -> float:
        """Record the request and return the fraction of a server's concurrency limit that it may use.

        If the request is above its tenant's quota, also set its required share.

        :param chance: the probability of an answer in time, as `success_chance` returns it.
        """
        priority = self._weight(request, now)
        if request.key not in self.cached_keys:
            priority *= MISS_PRIORITY_FACTOR
        priority = max(priority, MIN_PRIORITY) * chance * (1 + TIE_BREAK * self.rng.random())
        insert_at = bisect_left(self.sorted_priorities, priority)
        self.recent_priorities.append(priority)
        self.sorted_priorities.insert(insert_at, priority)
        if len(self.recent_priorities) > RECENT_REQUESTS:
            self.sorted_priorities.pop(bisect_left(self.sorted_priorities, self.recent_priorities.popleft()))
        total_count, lower_count = len(self.recent_priorities) + PRIOR_REQUESTS, insert_at + PRIOR_REQUESTS
        return MIN_LIMIT_FRACTION + (1 - MIN_LIMIT_FRACTION) * lower_count / total_count

    def _weight(self, request: Request, now: int) -> float:
        """Return the class weight, or a greater recent one, or the reduced one above the tenant's quota."""
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
