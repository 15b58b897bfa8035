"""Tenants' shares: which requests are beyond them."""
from __future__ import annotations

from ..interface import Settings
from .entities import SECOND

GUESS = 10  # the even part among siblings counts as so many sights


class TenantShares:
    """Tells requests beyond a tenant's share; this balancer's part of a quota is its part of the traffic."""

    def __init__(self, settings: Settings) -> None:
        self.quotas = [t.quota_per_s / SECOND for t in settings.tenants]
        self.part = 1.0 / settings.siblings
        self.seen = 0
        # Full: nobody is over its share before it has begun.
        self.buckets = [(max(1.0, q * self.part * SECOND), 0) for q in self.quotas]

    def learn(self, own: int, others: float) -> None:
        if own + others > 0:
            # The even part is a guess: until enough is seen, what is seen counts more.
            self.seen += 1
            self.part += max(0.002, 1 / (self.seen + GUESS)) * (own / (own + others) - self.part)

    def over(self, tenant: int, now: int) -> bool:
        if not self.quotas or not self.quotas[tenant]:
            return False
        rate = self.quotas[tenant] * self.part
        level, at = self.buckets[tenant]
        level = min(max(1.0, rate * SECOND), level + rate * (now - at) if at else level)
        self.buckets[tenant] = (level - 1.0 if level >= 1.0 else level, now)
        return level < 1.0
