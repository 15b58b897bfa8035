"""Tenants' shares: which requests are beyond them."""

from __future__ import annotations

from ..interface import Settings, Tenant, TenantChanged
from .records import SECOND

GUESS = 10  # the even part among siblings counts as so many sights


class TenantQuotas:
    """Tells requests beyond a tenant's share; this balancer's part of a quota is its part of the traffic."""

    def __init__(self, settings: Settings) -> None:
        self.part = 1.0 / settings.balancer_count
        self.seen = 0
        self.quotas: dict[int, float] = {}  # requests a microsecond, by the tenant's number; 0: no quota
        self.buckets: dict[int, tuple[float, int]] = {}  # level, as of when
        for number, tenant in enumerate(settings.tenants):
            self._set(number, tenant)

    def _set(self, number: int, tenant: Tenant) -> None:
        self.quotas[number] = quota = tenant.quota_per_s / SECOND
        burst = max(1.0, quota * self.part * SECOND)
        # Full: nobody is over its share before it has begun. A smaller one keeps what is left.
        level, at = self.buckets.get(number, (burst, 0))
        self.buckets[number] = min(level, burst), at

    def changed(self, e: TenantChanged) -> None:
        if e.definition is not None:
            return self._set(e.tenant, e.definition)
        self.quotas.pop(e.tenant, None)
        self.buckets.pop(e.tenant, None)

    def knows(self, tenant: int) -> bool:
        """Where no tenant was ever named all requests are tenant 0's."""
        return tenant in self.quotas if self.quotas else tenant == 0

    def learn(self, own: int, others: float) -> None:
        if own + others > 0:
            # The even part is a guess: until enough is seen, what is seen counts more.
            self.seen += 1
            self.part += max(0.002, 1 / (self.seen + GUESS)) * (own / (own + others) - self.part)

    def over(self, tenant: int, now: int) -> bool:
        rate = self.quotas.get(tenant, 0.0) * self.part
        if not rate:
            return False
        level, at = self.buckets[tenant]
        level = min(max(1.0, rate * SECOND), level + rate * (now - at) if at else level)
        self.buckets[tenant] = (level - 1.0 if level >= 1.0 else level, now)
        return level < 1.0
