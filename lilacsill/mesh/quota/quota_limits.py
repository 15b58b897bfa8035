"""Capacities and opening balances of token buckets, chosen so that the bound on a tenant's requests holds. No I/O.

The bound: in any window of W seconds at most (rate x W + burst) x (1 + over) + slack requests of a tenant arrive at
backends. The excess of this bound over rate x W + burst is the tolerance. Half of it is available for opening balances,
since the opening balances of at most two buckets are spent in one window (`quota_owner`). A quarter increases the
capacity of the bucket. A quarter is reserved for requests that arrive at two backends and for clock drift.
"""

from __future__ import annotations

import msgspec

from lilacsill.mesh.runtime.settings import TimingBounds

from .token_bucket import US_PER_S, TokenBucket

CAPACITY_SHARE = 0.25  # of the tolerance; the capacity of a bucket exceeds the burst by this share
OPENING_SHARE = 0.25  # of the tolerance; the opening balance of a bucket


class TenantLimit(msgspec.Struct, frozen=True):
    """The quota of one tenant.

    Attributes:
        rate: Requests per second; 0 if the tenant is unlimited.
        burst: Requests allowed in addition to the rate.
    """

    rate: float
    burst: float = 0.0

    @property
    def is_unlimited(self) -> bool:
        """Whether the tenant has no limit."""
        return self.rate <= 0


class QuotaLimits:
    """Applies the quota bounds of the settings to the limits of tenants.

    Attributes:
        window_us: The window over which the requests of a tenant are counted.
    """

    def __init__(self, timing: TimingBounds) -> None:
        self.window_us = timing.quota_window_us
        self._over, self._slack = timing.quota_over, timing.quota_slack

    def max_requests(self, limit: TenantLimit) -> float:
        """Return the maximum number of requests that may arrive at backends in any window."""
        return self._quota(limit) * (1 + self._over) + self._slack

    def capacity(self, limit: TenantLimit) -> float:
        """Return the capacity of a bucket in tokens. It is at least 1, since a smaller bucket never grants a token."""
        return max(1.0, limit.burst + CAPACITY_SHARE * self._tolerance(limit))

    def opening_balance(self, limit: TenantLimit) -> float:
        """Return the tokens that a new owner may start with, regardless of what its predecessor has granted."""
        return OPENING_SHARE * self._tolerance(limit)

    def open_bucket(self, limit: TenantLimit, opens_with_balance: bool, since_us: int) -> TokenBucket:
        """Return a new bucket for an owner that has been allowed to grant tokens since `since_us`."""
        balance = self.opening_balance(limit) if opens_with_balance else 0.0
        return TokenBucket(limit.rate, self.capacity(limit), balance, since_us)

    def _quota(self, limit: TenantLimit) -> float:
        return limit.rate * self.window_us / US_PER_S + limit.burst

    def _tolerance(self, limit: TenantLimit) -> float:
        return self._quota(limit) * self._over + self._slack
