"""The owner side of quotas: a member of the store grants tokens to the tenants that it owns. No I/O.

Rendezvous hashing over the members of the chain assigns each tenant an owner. A member grants tokens only while no
later view can be in force, so at most one of the members that consider themselves the owner of a tenant grants.

A bucket is kept only while its member was certainly the sole owner. Across a view change this holds only if the view
number increased by one and the member owns the tenant in both views. Otherwise a new bucket is created, which accrues
tokens from the time at which the member entered the view or its process started.

A new bucket gets an opening balance only if the member had known the previous view for a complete window. So the
opening balances of at most two buckets are spent in one window: if the owner in view c uses an opening balance, view
c - 1 was agreed on at least one window before the member entered c, and no tokens were granted in views before c - 1
since then.
"""

from __future__ import annotations

from collections.abc import Callable, Mapping
from typing import Protocol

import msgspec

from lilacsill.mesh.runtime.core_members import owner_of
from lilacsill.mesh.runtime.freshness import max_elapsed_us
from lilacsill.mesh.runtime.messages import Message, TokenReply, TokenRequest
from lilacsill.mesh.runtime.records import TokenDemand, TokenGrant

from .quota_limits import QuotaLimits, TenantLimit
from .token_bucket import TokenBucket

UNKNOWN_TENANT_RETRY_MS = 1_000
US_PER_MS = 1_000

Replier = Callable[[Message], None]


class ChainView(msgspec.Struct, frozen=True):
    """A view of the chain.

    Attributes:
        number: The view number; -1 if no view is known.
        addresses: Control addresses of the members of the chain, head first.
    """

    number: int
    addresses: list[str]


class QuotaOwnerEnvironment(Protocol):
    """What a quota owner needs from the member of the store that runs it."""

    def now(self) -> int:
        """Return the time of a monotonic clock in microseconds."""
        ...

    def may_grant(self) -> bool:
        """Return whether the current view is certainly in force, and this member is in its chain and has the limits."""
        ...

    def limit_of(self, tenant: str) -> TenantLimit | None:
        """Return the limit of a tenant, or None if the tenant is unknown."""
        ...


class TenantUsage(msgspec.Struct):
    """Counts of granted and denied requests of one tenant at this owner, for operators."""

    granted: int = 0
    denied: int = 0


class QuotaOwner:
    """Grants the tokens of the tenants that one member owns.

    Attributes:
        usage: Counts by tenant name, since the start of the process.
        unknown_tenants: Number of requests of tenants that are not in the configuration.
    """

    def __init__(self, address: str, view: ChainView, limits: QuotaLimits, environment: QuotaOwnerEnvironment) -> None:
        """Start in the view that was read from disk."""
        self._address, self._view, self._limits, self._environment = address, view, limits, environment
        self._buckets: dict[str, TokenBucket] = {}
        self._entered_at_us = environment.now()
        self._opens_with_balance = False
        self.usage: dict[str, TenantUsage] = {}
        self.unknown_tenants = 0

    def on_view_change(self, view: ChainView) -> None:
        """Enter a later view, and keep only the buckets that no other member can have owned in between."""
        now = self._environment.now()
        is_next = view.number == self._view.number + 1
        known_for_us = now - self._entered_at_us
        retained = {tenant: bucket for tenant, bucket in self._buckets.items() if is_next and self._owns(tenant)}
        self._view = view
        self._buckets = {tenant: bucket for tenant, bucket in retained.items() if self._owns(tenant)}
        self._entered_at_us = now
        self._opens_with_balance = is_next and known_for_us > max_elapsed_us(self._limits.window_us)

    def _owns(self, tenant: str) -> bool:
        return owner_of(tenant, self._view.addresses) == self._address

    def handle_token_request(self, request: TokenRequest, reply: Replier) -> None:
        """Reply to a proxy. Demands that this member may not decide on get no grant."""
        # Before the check, so that a process that is suspended after the check accrues no further tokens.
        now = self._environment.now()
        grants: list[TokenGrant] = []
        if self._environment.may_grant():
            grants = [self._decide(demand, now) for demand in request.demands if self._owns(demand.tenant)]
        reply(TokenReply(grants, self._view.number, self._view.addresses))

    def _decide(self, demand: TokenDemand, now: int) -> TokenGrant:
        limit = self._environment.limit_of(demand.tenant)
        if limit is None:
            self.unknown_tenants += demand.count
            return TokenGrant(demand.tenant, 0, UNKNOWN_TENANT_RETRY_MS)
        usage = self.usage.setdefault(demand.tenant, TenantUsage())
        if limit.is_unlimited:
            usage.granted += demand.count
            return TokenGrant(demand.tenant, demand.count, 0)
        bucket = self._bucket(demand.tenant, limit, now)
        granted = bucket.take(demand.count, now)
        usage.granted += granted
        usage.denied += demand.count - granted
        if granted == demand.count:
            return TokenGrant(demand.tenant, granted, 0)
        retry_after_ms = -(-bucket.time_until_token_us(now) // US_PER_MS)
        return TokenGrant(demand.tenant, granted, max(1, retry_after_ms))

    def _bucket(self, tenant: str, limit: TenantLimit, now: int) -> TokenBucket:
        bucket = self._buckets.get(tenant)
        if bucket is None:
            bucket = self._limits.open_bucket(limit, self._opens_with_balance, self._entered_at_us)
            self._buckets[tenant] = bucket
        capacity = self._limits.capacity(limit)
        if (bucket.rate, bucket.capacity) != (limit.rate, capacity):
            bucket.change(limit.rate, capacity, now)
        return bucket

    def balances(self) -> Mapping[str, float]:
        """Return the balance of each bucket in tokens by tenant name, for operators."""
        now = self._environment.now()
        return {tenant: bucket.balance(now) for tenant, bucket in self._buckets.items()}
