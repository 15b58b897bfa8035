"""The owner's part: one member of the store grants the tokens of the tenants that it owns. No I/O.

Each member of the chain owns the tenants that rendezvous hashing over the chain gives it. It grants only while no later
view can be in force, so of the members that believe to own a tenant one at most grants.

A bucket lives as long as its owner certainly was the only one: through a view change only if the view's number went up
by one and the member owns the tenant before and after. Otherwise it is opened anew, and has earned tokens since the
member entered the view, or began its run.

A new bucket opens with a balance if the member has known the view before for a complete window, and without one if not.
So tokens of at most two openings count in one window: if the owner in view c opens with a balance, view c - 1 was
agreed on a window before it entered c, and in views before c - 1 nothing was granted since.
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
        number: Of the view; -1: none is known.
        addresses: Control addresses of its chain, head first.
    """

    number: int
    addresses: list[str]


class OwnerSurroundings(Protocol):
    """What an owner needs of its member."""

    def now(self) -> int:
        """Return the time of a monotonic clock in microseconds."""
        ...

    def may_grant(self) -> bool:
        """Return whether the present view is certainly in force, this member is in its chain and knows the limits."""
        ...

    def limit_of(self, tenant: str) -> TenantLimit | None:
        """Return the limit of a tenant; None: no such tenant is known."""
        ...


class TenantUsage(msgspec.Struct):
    """What became of the requests of one tenant at this owner, for operators."""

    granted: int = 0
    denied: int = 0


class QuotaOwner:
    """Grants the tokens of the tenants that one member owns.

    Attributes:
        usage: By name of the tenant, since the start of the process.
        unknown_tenants: Requests of tenants that the configuration does not have.
    """

    def __init__(self, address: str, view: ChainView, limits: QuotaLimits, surroundings: OwnerSurroundings) -> None:
        """Begin a run of the process, in the view that its disk names."""
        self._address, self._view, self._limits, self._surroundings = address, view, limits, surroundings
        self._buckets: dict[str, TokenBucket] = {}
        self._entered_at_us = surroundings.now()
        self._opens_with_balance = False
        self.usage: dict[str, TenantUsage] = {}
        self.unknown_tenants = 0

    def on_view_change(self, view: ChainView) -> None:
        """Enter a later view: keep only the buckets that nobody else can have owned meanwhile."""
        now = self._surroundings.now()
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
        """Answer a proxy. What this member may not decide on gets no grant."""
        now = self._surroundings.now()  # before the check: a process that is suspended behind it earns nothing more
        grants: list[TokenGrant] = []
        if self._surroundings.may_grant():
            grants = [self._decide(demand, now) for demand in request.demands if self._owns(demand.tenant)]
        reply(TokenReply(grants, self._view.number, self._view.addresses))

    def _decide(self, demand: TokenDemand, now: int) -> TokenGrant:
        limit = self._surroundings.limit_of(demand.tenant)
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
        """Return for operators the tokens of each open bucket, by name of the tenant."""
        now = self._surroundings.now()
        return {tenant: bucket.balance(now) for tenant, bucket in self._buckets.items()}
