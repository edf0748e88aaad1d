"""Tenant quotas: the part of a tenant's traffic that its quota covers.

A quota applies to all processes together, and this process sees an unknown part of the traffic.  The estimate
of that part is the median over the tenants of the rate at this process divided by the quota.
"""

from __future__ import annotations

from collections import deque

from ..model import Tenant

RECENT_REQUESTS = 200  # about one second of traffic of a busy process
# Requests assumed in addition to the recent ones, in proportion to the quotas, because the first dozens of
# requests show little about the tenants' rates.
PRIOR_REQUESTS = 8


class TenantQuotas:
    """Counts the tenants' recent requests, and estimates which part of them the quotas cover."""

    def __init__(self, tenants: list[Tenant], process_count: int) -> None:
        self.tenants, self.process_count = tenants, process_count
        self.recent: deque[tuple[Tenant, int]] = deque()  # tenant and arrival time, oldest first

    def record_request(self, tenant: Tenant, now: int) -> None:
        """Record a request that arrived now."""
        self.recent.append((tenant, now))
        tenant.recent_requests += 1
        if len(self.recent) > RECENT_REQUESTS:
            self.recent.popleft()[0].recent_requests -= 1

    def covered_fraction(self, tenant: Tenant, now: int) -> float:
        """Return the part of the tenant's traffic that its quota covers.

        At least one request must have been recorded.
        """
        if not tenant.quota:
            return 1.0
        total_quota = sum(other.quota for other in self.tenants)
        rate = len(self.recent) * 1_000_000 / max(1, now - self.recent[0][1])

        def rate_over_quota(other: Tenant) -> float:
            requests_per_quota = other.recent_requests / other.quota + PRIOR_REQUESTS / total_quota
            return requests_per_quota / (len(self.recent) + PRIOR_REQUESTS) * rate

        rates = sorted(rate_over_quota(other) for other in self.tenants if other.quota)
        median = rates[len(rates) // 2]
        return min(1.0, max(median, 1 / self.process_count) / rate_over_quota(tenant))
