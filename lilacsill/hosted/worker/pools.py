"""The pools of a worker: each has a decision module, a list of servers from discovery, and connections to them."""

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
    """One pool in this worker.

    A pool whose settings change gets a new runtime; the old one is retired and ends with its last request.

    Args:
        pool: The pool.
        clock: The clock of the event loop, in microseconds.
        account: Counts the descriptors of the process.
        seed: Of the random numbers of the decision module and of discovery.
        workers: The number of workers.
        worker_index: The index of this one.
        evict_downstream: Closes a client's connection where descriptors are short; returns whether there was one.
        descriptors_exhausted: Is called with what a descriptor was needed for and how many, where the kernel had none.
    """

    def __init__(
        self,
        pool: Pool,
        clock: Clock,
        account: DescriptorAccount,
        seed: int,
        workers: int,
        worker_index: int,
        evict_downstream: Callable[[], bool],
        descriptors_exhausted: Callable[[str, int], None],
    ) -> None:
        self.pool = pool
        facts = pool.spec.settings
        settings = replace(parse_settings(facts), can_message_peers=False, tenants=())
        # Each worker is one balancer to the fleet, beside the balancers that the settings name.
        self.settings = replace(
            settings,
            balancer_count=settings.balancer_count * workers,
            balancer_index=settings.balancer_index * workers + worker_index,
        )
        allowed = facts["allowed"]
        self.connections = Connections(clock, allowed["connectTimeoutUs"], allowed["connIdleUs"], account)
        self.connections.evict_downstream = evict_downstream
        self.connections.descriptors_exhausted = lambda what: descriptors_exhausted(what, 0)
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
        self._discovery.descriptors_exhausted = descriptors_exhausted
        self.agent = Agent(Balancer(self.settings, seed), clock, backends, self._discovery)
        self.validator = RequestValidator(settings.classes, ())
        self.excess = ExcessWindow()
        self._in_flight = 0
        self._in_flight_by_tenant: dict[int, int] = {}
        self._weights: dict[int, float] = {}
        self._quotas_per_s: dict[int, float] = {}
        self._is_retired = False

    def start(self) -> None:
        """Start with an empty list: the first call to discovery fetches the complete one."""
        self.agent.start(Listing(0, True, ()))

    def set_tenant(self, tenant: Tenant) -> None:
        """Note a tenant that uses the pool, with its weight and quota."""
        quota_per_s = tenant.spec.quota_per_s
        self._weights[tenant.uid] = tenant.spec.weight
        if self._quotas_per_s.get(tenant.uid) != quota_per_s:
            self._quotas_per_s[tenant.uid] = quota_per_s
            self.agent.tenant_changed(tenant.uid, TenantQuota(tenant.name, quota_per_s))

    def forget_tenant(self, uid: int) -> None:
        """Forget the weight and quota of a tenant."""
        self._weights.pop(uid, None)
        if self._quotas_per_s.pop(uid, None) is not None:
            self.agent.tenant_changed(uid, None)

    def has_settings_of(self, pool: Pool) -> bool:
        """Say whether the running decision module can serve a changed pool: the settings are the same."""
        return msgspec.json.encode(pool.spec.settings) == msgspec.json.encode(self.pool.spec.settings)

    def set_discovery(self, pool: Pool) -> None:
        """Apply a changed pool with the same settings: learn the servers at its address."""
        self.pool = pool
        self.agent.set_discovery(parse_address(pool.spec.discovery))

    def retire(self) -> None:
        """Stop once the last request in flight has ended; no new requests follow."""
        self._is_retired = True
        self._stop_if_drained()

    def exceeds_share(self, uid: int, limiter: TenantLimiter, now_us: int) -> bool:
        """Say whether one more request is beyond the tenant's share of the pool.

        The share is the tenant's quota or, without one, its weight among the tenants that have requests in flight.
        """
        quota_per_s = self._quotas_per_s.get(uid, 0.0)
        if quota_per_s:
            return limiter.exceeds_quota(now_us, quota_per_s)
        in_flight = self._in_flight_by_tenant.get(uid, 0)
        others_weight = sum(self._weights.get(other, 0.0) for other in self._in_flight_by_tenant if other != uid)
        return exceeds_weight(in_flight, self._weights.get(uid, 1.0), self._in_flight - in_flight, others_weight)

    def request_started(self, uid: int) -> None:
        """Count a request of a tenant as in flight."""
        self._in_flight += 1
        self._in_flight_by_tenant[uid] = self._in_flight_by_tenant.get(uid, 0) + 1

    def request_ended(self, uid: int) -> None:
        """Count a request of a tenant as ended."""
        self._in_flight -= 1
        remaining = self._in_flight_by_tenant[uid] - 1
        if remaining:
            self._in_flight_by_tenant[uid] = remaining
        else:
            del self._in_flight_by_tenant[uid]
        self._stop_if_drained()

    def statistics(self) -> PoolStatistics:
        """Collect the state of the pool for a report."""
        estimates, excess = self.agent.estimates(), self.excess
        return PoolStatistics(
            len(estimates),
            sum(estimate.healthy for estimate in estimates),
            self._in_flight,
            excess.in_flight,
            round(excess.window, 1),
            round(excess.latency_us / 1000, 1),
            round(excess.base_us / 1000, 1),
        )

    def _stop_if_drained(self) -> None:
        if self._is_retired and not self._in_flight:
            self._discovery.stop()
            self.connections.close()
