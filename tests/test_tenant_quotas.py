"""Tests of the part of a tenant's traffic that its quota covers."""

from helpers import S

from ivystack.balancing.tenant_quotas import RECENT_REQUESTS, TenantQuotas
from ivystack.model import Tenant


def test_a_tenant_without_a_quota_is_covered():
    tenant = Tenant("free")
    quotas = TenantQuotas([tenant, Tenant("other", 5.0)], 1)
    quotas.record_request(tenant, 0)
    assert quotas.covered_fraction(tenant, S) == 1


def test_a_tenant_above_its_quota_is_covered_in_part_and_the_others_in_full():
    tenants = [Tenant("a", 10.0), Tenant("b", 10.0), Tenant("greedy", 10.0)]
    quotas = TenantQuotas(tenants, 1)
    for turn in range(60):
        for tenant in [*tenants, *[tenants[2]] * 4]:
            quotas.record_request(tenant, turn * S // 10)
    covered = [quotas.covered_fraction(tenant, 6 * S) for tenant in tenants]
    assert covered[0] == covered[1] == 1 and 0.15 < covered[2] < 0.35


def test_only_the_recent_requests_count():
    former_tenant, current_tenant = Tenant("old", 10.0), Tenant("new", 10.0)
    quotas = TenantQuotas([former_tenant, current_tenant], 1)
    quotas.record_request(former_tenant, 0)
    for turn in range(RECENT_REQUESTS):
        quotas.record_request(current_tenant, turn)
    assert (former_tenant.recent_requests, current_tenant.recent_requests) == (0, RECENT_REQUESTS)
