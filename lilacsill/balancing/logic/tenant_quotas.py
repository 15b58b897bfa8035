"""Tenants' shares: which requests are beyond them."""

from __future__ import annotations

from ..interface import Settings, Tenant, TenantChanged
from .records import SECOND_US

GUESS = 10  # the even part among siblings counts as so many sights


class TenantQuotas:
    """Tells requests beyond a tenant's share; this balancer's part of a quota is its part of the traffic."""

    def __init__(self, settings: Settings) -> None:
        self.traffic_share = 1.0 / settings.balancer_count
        self.sample_count = 0
        self.quotas_per_us: dict[int, float] = {}  # requests a microsecond, by the tenant's number; 0: no quota
        self.buckets: dict[int, tuple[float, int]] = {}  # level, as of when
        for number, tenant in enumerate(settings.tenants):
            self._set_quota(number, tenant)

    def _set_quota(self, number: int, tenant: Tenant) -> None:
        self.quotas_per_us[number] = quota = tenant.quota_per_s / SECOND_US
        burst = max(1.0, quota * self.traffic_share * SECOND_US)
        # Full: nobody is over its share before it has begun. A smaller one keeps what is left.
        level, at = self.buckets.get(number, (burst, 0))
        self.buckets[number] = min(level, burst), at

    def on_tenant_changed(self, e: TenantChanged) -> None:
        if e.definition is not None:
            return self._set_quota(e.tenant, e.definition)
        self.quotas_per_us.pop(e.tenant, None)
        self.buckets.pop(e.tenant, None)

    def knows(self, tenant: int) -> bool:
        """Where no tenant was ever named all requests are tenant 0's."""
        return tenant in self.quotas_per_us if self.quotas_per_us else tenant == 0

    def record_traffic(self, own: int, others: float) -> None:
        if own + others > 0:
            # The even part is a guess: until enough is seen, what is seen counts more.
            self.sample_count += 1
            self.traffic_share += max(0.002, 1 / (self.sample_count + GUESS)) * (
                own / (own + others) - self.traffic_share
            )

    def is_over_quota(self, tenant: int, now: int) -> bool:
        rate = self.quotas_per_us.get(tenant, 0.0) * self.traffic_share
        if not rate:
            return False
        level, at = self.buckets[tenant]
        level = min(max(1.0, rate * SECOND_US), level + rate * (now - at) if at else level)
        self.buckets[tenant] = (level - 1.0 if level >= 1.0 else level, now)
        return level < 1.0
