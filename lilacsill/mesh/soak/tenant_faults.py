"""Brings about what happens to the tenants of a shared deployment: hot ones, and new versions of them."""

from __future__ import annotations

from collections.abc import Callable
from random import Random

from .client import ClientWorld
from .customers import Customers, Tenant
from .fault_plan import Fault, FaultEvent
from .hot_tenant import HotTenant
from .operator_client import OperatorClient

TENANT_FAULTS = (Fault.HOT_TENANT, Fault.REVOKE_KEY, Fault.ADD_KEY, Fault.LOWER_LIMIT, Fault.RAISE_LIMIT)


class TenantFaults:
    """Knows the tenants of one soak; an event picks one by its number."""

    def __init__(
        self, world: ClientWorld, customers: Customers, operator: OperatorClient, proxy_ips: list[str], rng: Random
    ) -> None:
        self._world, self._customers, self._operator = world, customers, operator
        self._proxy_ips, self._rng = proxy_ips, rng

    def bring_about(self, event: FaultEvent) -> None:
        """Bring one of `TENANT_FAULTS` about."""
        if event.fault is Fault.HOT_TENANT:
            self._start_hot_tenant(event.number)
            return
        changes: dict[Fault, Callable[[int], Tenant]] = {
            Fault.REVOKE_KEY: self._customers.revoke,
            Fault.ADD_KEY: self._customers.add_key,
            Fault.LOWER_LIMIT: self._customers.lower_limit,
            Fault.RAISE_LIMIT: self._customers.raise_limit,
        }
        self._operator.send_tenant(changes[event.fault](event.number))

    def _start_hot_tenant(self, number: int) -> None:
        tenant = self._customers.hot_tenant(number)
        key = self._customers.key_of(tenant.name)
        HotTenant(self._world, tenant, key, self._proxy_ips, Random(self._rng.random()))
