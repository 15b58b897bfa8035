"""Tenant quotas: determines which requests exceed the quota of their tenant."""

from __future__ import annotations

from ..interface import Settings, Tenant, TenantChanged
from .records import SECOND_US

PRIOR_SAMPLES = 10  # weight of the initial estimate, an equal share per balancer, in samples of the traffic
MIN_GAIN = 0.002  # minimum weight of a new sample of the traffic


class TenantQuotas:
    """Token buckets by tenant. This balancer's fraction of a quota is its share of the fleet's traffic.

    Attributes:
        traffic_share: Estimated fraction of the fleet's traffic that this balancer sends, 0 to 1.
        sample_count: Number of samples of the traffic.
        quotas_per_us: Quotas over all balancers in requests per microsecond, by tenant number; 0 for no quota.
    """

    def __init__(self, settings: Settings) -> None:
        self.traffic_share = 1.0 / settings.balancer_count
        self.sample_count = 0
        self.quotas_per_us: dict[int, float] = {}
        self._buckets: dict[int, tuple[float, int]] = {}  # tokens and clock time of their latest update, 0 if unused
        for number, tenant in enumerate(settings.tenants):
            self._set_quota(number, tenant)

    def on_tenant_changed(self, event: TenantChanged) -> None:
        """Add, change or remove a tenant."""
        if event.definition is not None:
            self._set_quota(event.tenant, event.definition)
            return
        self.quotas_per_us.pop(event.tenant, None)
        self._buckets.pop(event.tenant, None)

    def has_tenant(self, tenant: int) -> bool:
        """Return whether a tenant exists; if no tenants are defined, only tenant 0 does."""
        return tenant in self.quotas_per_us if self.quotas_per_us else tenant == 0

    def record_traffic(self, own: int, others: float) -> None:
        """Update the share of the traffic with a sample.

        Args:
            own: This balancer's attempts in flight at a backend.
            others: Requests in flight at that backend from other balancers.
        """
        if own + others > 0:
            # The equal share is only an initial estimate: samples have more weight until there are enough of them.
            self.sample_count += 1
            gain = max(MIN_GAIN, 1 / (self.sample_count + PRIOR_SAMPLES))
            self.traffic_share += gain * (own / (own + others) - self.traffic_share)

    def is_over_quota(self, tenant: int, now: int) -> bool:
        """Take a token for a request of the tenant; return whether none was available."""
        rate = self.quotas_per_us.get(tenant, 0.0) * self.traffic_share
        if not rate:
            return False
        tokens, filled_at = self._buckets[tenant]
        tokens = min(max(1.0, rate * SECOND_US), tokens + rate * (now - filled_at) if filled_at else tokens)
        self._buckets[tenant] = (tokens - 1.0 if tokens >= 1.0 else tokens, now)
        return tokens < 1.0

    def _set_quota(self, number: int, tenant: Tenant) -> None:
        self.quotas_per_us[number] = quota = tenant.quota_per_s / SECOND_US
        burst = max(1.0, quota * self.traffic_share * SECOND_US)
        # A new bucket is full, so that the first requests of a tenant are within its quota. A changed quota keeps the
        # remaining tokens, up to its burst.
        tokens, filled_at = self._buckets.get(number, (burst, 0))
        self._buckets[number] = min(tokens, burst), filled_at
