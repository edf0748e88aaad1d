"""Tenants' quotas: what part of a tenant's traffic its quota covers.

A quota holds over all processes, and this one sees an unknown part of the traffic: the median tenant's rate
here over its quota is taken for that part.
"""

from __future__ import annotations

from collections import deque

from ..model import Tenant

RECENT_REQUESTS = 200  # about a second of a busy process
PRIOR_REQUESTS = 8  # assumed on top, in proportion to the quotas: the first dozens show little


class TenantQuotas:
    """The tenants, and whose the recent requests were."""

    def __init__(self, tenants: list[Tenant], process_count: int) -> None:
        self.tenants, self.process_count = tenants, process_count
        self.recent: deque[tuple[Tenant, int]] = deque()  # and when the request came, oldest first

    def record_request(self, tenant: Tenant, now: int) -> None:
        """Note a request that came now."""
        self.recent.append((tenant, now))
        tenant.recent_requests += 1
        if len(self.recent) > RECENT_REQUESTS:
            self.recent.popleft()[0].recent_requests -= 1

    def covered_fraction(self, tenant: Tenant, now: int) -> float:
        """Return the part of the tenant's traffic that its quota covers.  A request has been noted."""
        if not tenant.quota:
            return 1.0
        total_quota = sum(one.quota for one in self.tenants)
        rate = len(self.recent) * 1_000_000 / max(1, now - self.recent[0][1])

        def rate_over_quota(one: Tenant) -> float:
            requests_per_quota = one.recent_requests / one.quota + PRIOR_REQUESTS / total_quota
            return requests_per_quota / (len(self.recent) + PRIOR_REQUESTS) * rate

        rates = sorted(rate_over_quota(one) for one in self.tenants if one.quota)
        median = rates[len(rates) // 2]
        return min(1.0, max(median, 1 / self.process_count) / rate_over_quota(tenant))
