"""How much a bucket holds, and with how much it opens, so that the bound on a tenant's requests is kept. No I/O.

The bound: in any window of W seconds at most (rate x W + burst) x (1 + over) + slack requests of a tenant arrive at
backends. What it allows beyond rate x W + burst is the extra. Half of it may go to openings, since tokens of at most
two openings count in one window (`quota_owner`), a quarter makes the bucket larger, and a quarter is set aside for
requests that arrive at two backends and for clocks that run at different speeds.
"""

from __future__ import annotations

import msgspec

from lilacsill.mesh.runtime.settings import TimingBounds

from .token_bucket import US_PER_S, TokenBucket

CAPACITY_SHARE = 0.25  # of the extra, by which a bucket is larger than the burst
OPENING_SHARE = 0.25  # of the extra, with which a bucket opens


class TenantLimit(msgspec.Struct, frozen=True):
    """The quota of one tenant.

    Attributes:
        rate: Requests a second; 0: the tenant has no limit.
        burst: Requests beyond that.
    """

    rate: float
    burst: float = 0.0

    @property
    def is_unlimited(self) -> bool:
        """Whether the tenant has no limit."""
        return self.rate <= 0


class QuotaLimits:
    """The settings' bounds, applied to the limits of tenants.

    Attributes:
        window_us: Over which the requests of a tenant are counted.
    """

    def __init__(self, timing: TimingBounds) -> None:
        self.window_us = timing.quota_window_us
        self._over, self._slack = timing.quota_over, timing.quota_slack

    def max_requests(self, limit: TenantLimit) -> float:
        """Return the most requests that may arrive in any window."""
        return self._quota(limit) * (1 + self._over) + self._slack

    def capacity(self, limit: TenantLimit) -> float:
        """Return how many tokens a bucket holds: one at least, or nothing would ever be granted."""
        return max(1.0, limit.burst + CAPACITY_SHARE * self._extra(limit))

    def opening_balance(self, limit: TenantLimit) -> float:
        """Return the tokens that an owner may begin with, whatever its predecessor has granted."""
        return OPENING_SHARE * self._extra(limit)

    def open_bucket(self, limit: TenantLimit, opens_with_balance: bool, since_us: int) -> TokenBucket:
        """Return the bucket of an owner that may grant tokens since this time."""
        balance = self.opening_balance(limit) if opens_with_balance else 0.0
        return TokenBucket(limit.rate, self.capacity(limit), balance, since_us)

    def _quota(self, limit: TenantLimit) -> float:
        return limit.rate * self.window_us / US_PER_S + limit.burst

    def _extra(self, limit: TenantLimit) -> float:
        return self._quota(limit) * self._over + self._slack
