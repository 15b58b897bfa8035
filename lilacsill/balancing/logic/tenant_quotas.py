"""Quotas of tenants: which requests are beyond them."""

from __future__ import annotations

from ..interface import Settings, Tenant, TenantChanged
from .records import SECOND_US

PRIOR_SAMPLES = 10  # the equal share among balancers counts as this many samples of the traffic
MIN_GAIN = 0.002  # least weight of a new sample of the traffic


class TenantQuotas:
    """Token buckets by tenant. This balancer's share of a quota is its share of the fleet's traffic.

    Attributes:
        traffic_share: Estimated share of the fleet's traffic that this balancer has, 0 to 1.
        sample_count: Samples of the traffic so far.
        quotas_per_us: Requests a microsecond over all balancers, by the tenant's number; 0 for no quota.
    """

    def __init__(self, settings: Settings) -> None:
        self.traffic_share = 1.0 / settings.balancer_count
        self.sample_count = 0
        self.quotas_per_us: dict[int, float] = {}
        self._buckets: dict[int, tuple[float, int]] = {}  # tokens, and the clock time as of which; 0 for unused
        for number, tenant in enumerate(settings.tenants):
            self._set_quota(number, tenant)

    def on_tenant_changed(self, event: TenantChanged) -> None:
        """Add, change or remove a tenant."""
        if event.definition is not None:
            self._set_quota(event.tenant, event.definition)
            return
        self.quotas_per_us.pop(event.tenant, None)
        self._buckets.pop(event.tenant, None)

    def knows(self, tenant: int) -> bool:
        """Return whether a tenant exists; without any tenants all requests belong to tenant 0."""
        return tenant in self.quotas_per_us if self.quotas_per_us else tenant == 0

    def record_traffic(self, own: int, others: float) -> None:
        """Learn the share of the traffic from a sample.

        Args:
            own: Own attempts at one backend.
            others: Requests of other balancers there.
        """
        if own + others > 0:
            # The equal share is a guess: new samples weigh more until there are enough of them.
            self.sample_count += 1
            gain = max(MIN_GAIN, 1 / (self.sample_count + PRIOR_SAMPLES))
            self.traffic_share += gain * (own / (own + others) - self.traffic_share)

    def is_over_quota(self, tenant: int, now: int) -> bool:
        """Take a token for a request of the tenant; return whether there was none."""
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
        # A new bucket is full: nobody is over its quota before it has begun. A smaller quota keeps what is left.
        tokens, filled_at = self._buckets.get(number, (burst, 0))
        self._buckets[number] = min(tokens, burst), filled_at
