"""The pools of a worker: for each a decision module, its list of servers and its connections."""

from __future__ import annotations

from collections.abc import Callable
from dataclasses import replace

import msgspec

from lilacsill.agent.admission.descriptor_account import DescriptorAccount
from lilacsill.agent.agent import Agent
from lilacsill.agent.discovery.listing import Listing, ListingParser
from lilacsill.agent.discovery.watch import Discovery
from lilacsill.agent.inbound.validation import RequestValidator
from lilacsill.agent.outbound.backends import Backends
from lilacsill.agent.outbound.pool import Pool as Connections
from lilacsill.balancing.interface import DiscoveryMode
from lilacsill.balancing.interface import Tenant as TenantQuota
from lilacsill.balancing.logic import Balancer
from lilacsill.balancing.settings_parser import parse_settings

from ...address import parse_address
from ...clock import Clock
from ..decisions.directory import Pool, Tenant
from ..decisions.excess import ExcessWindow, exceeds_weight
from ..decisions.limits import TenantLimiter
from ..messages import PoolStatistics


class PoolRuntime:
    """One pool, running. Replaced as a whole when its settings change; the old one ends with its last request."""

    def __init__(
        self,
        pool: Pool,
        clock: Clock,
        ledger: DescriptorAccount,
        seed: int,
        workers: int,
        me: int,
        downstream_makes_way: Callable[[], bool],
        short: Callable[[str, int], None],
    ) -> None:
        self.pool = pool
        facts = pool.spec.settings
        settings = replace(parse_settings(facts), can_message_peers=False, tenants=())
        # Every worker is a balancer of its own to the fleet, beside those that the settings name.
        self.settings = replace(
            settings,
            balancer_count=settings.balancer_count * workers,
            balancer_index=settings.balancer_index * workers + me,
        )
        allowed = facts["allowed"]
        self.connections = Connections(clock, allowed["connectTimeoutUs"], allowed["connIdleUs"], ledger)
        self.connections.evict_downstream = downstream_makes_way
        self.connections.descriptors_exhausted = lambda what: short(what, 0)
        backends = Backends(clock, settings.report_fields, self.connections)
        parser = ListingParser(clock, tuple(facts.get("localities") or ()), tuple(facts.get("skus") or ()))
        self._discovery = Discovery(
            clock,
            parse_address(pool.spec.discovery),
            parser,
            0,
            allowed["connectTimeoutUs"] / 1e6,
            settings.discovery is DiscoveryMode.PUSH,
            seed,
        )
        self._discovery.descriptors_exhausted = short
        self.agent = Agent(Balancer(self.settings, seed), clock, backends, self._discovery)
        self.validator = RequestValidator(settings.classes, ())
        self.in_hand = 0
        self.excess = ExcessWindow()
        self._by_tenant: dict[int, int] = {}  # requests in hand
        self._weights: dict[int, float] = {}
        self._quotas: dict[int, float] = {}
        self._leaving = False

    def start(self) -> None:
        """With no list at all: the first call fetches the whole of it."""
        self.agent.start(Listing(0, True, ()))

    def knows(self, tenant: Tenant) -> None:
        """The tenant's requests may come here from now on, with this quota."""
        quota = tenant.spec.quota_per_s
        self._weights[tenant.uid] = tenant.spec.weight
        if self._quotas.get(tenant.uid) != quota:
            self._quotas[tenant.uid] = quota
            self.agent.tenant_changed(tenant.uid, TenantQuota(tenant.name, quota))

    def forget(self, uid: int) -> None:
        self._weights.pop(uid, None)
        if self._quotas.pop(uid, None) is not None:
            self.agent.tenant_changed(uid, None)

    def same_settings(self, pool: Pool) -> bool:
        """Whether a change of the pool can be taken over by the running module."""
        return msgspec.json.encode(pool.spec.settings) == msgspec.json.encode(self.pool.spec.settings)

    def move(self, pool: Pool) -> None:
        self.pool = pool
        self.agent.set_discovery(parse_address(pool.spec.discovery))

    def leave(self) -> None:
        """Nothing new comes; all goes with the last request in hand."""
        self._leaving = True
        self._end_if_idle()

    def beyond_share(self, uid: int, holdings: TenantLimiter, now: int) -> bool:
        """Whether one more request is beyond the tenant's share: by its quota, or else by its weight among those that
        have something in hand."""
        quota = self._quotas.get(uid, 0.0)
        if quota:
            return holdings.exceeds_quota(now, quota)
        mine = self._by_tenant.get(uid, 0)
        others = sum(self._weights.get(t, 0.0) for t in self._by_tenant if t != uid)
        return exceeds_weight(mine, self._weights.get(uid, 1.0), self.in_hand - mine, others)

    def taken(self, uid: int) -> None:
        self.in_hand += 1
        self._by_tenant[uid] = self._by_tenant.get(uid, 0) + 1

    def released(self, uid: int) -> None:
        self.in_hand -= 1
        left = self._by_tenant[uid] - 1
        if left:
            self._by_tenant[uid] = left
        else:
            del self._by_tenant[uid]
        self._end_if_idle()

    def figures(self) -> PoolStatistics:
        beliefs, excess = self.agent.estimates(), self.excess
        return PoolStatistics(
            len(beliefs),
            sum(b.healthy for b in beliefs),
            self.in_hand,
            excess.in_flight,
            round(excess.window, 1),
            round(excess.latency_us / 1000, 1),
            round(excess.base_us / 1000, 1),
        )

    def _end_if_idle(self) -> None:
        if self._leaving and not self.in_hand:
            self._discovery.stop()
            self.connections.close()
