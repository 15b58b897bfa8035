"""The operator of a virtual soak: the first configuration, and new versions of tenants."""

from __future__ import annotations

from typing import Any

from lilacsill.mesh.simulation.network import Time
from lilacsill.mesh.simulation.store_fleet import Operator
from lilacsill.mesh.soak.customers import Customers, Tenant
from lilacsill.mesh.soak.observations import ItemChange, ItemKind, Record
from lilacsill.mesh.soak.operator_client import HOST, route_item
from lilacsill.mesh.soak.workload import Workload

ACCEPTED = 200


class VirtualOperator:
    """Sends changes until each is acknowledged, and records them."""

    def __init__(self, time: Time, record: Record, operator: Operator) -> None:
        self._time, self._record, self._operator = time, record, operator
        self._version = 0

    def send_first_configuration(self, workload: Workload, customers: Customers) -> None:
        """Send all routes, services and tenants."""
        self._version += 1
        version = self._version
        routes = [route_item(route, version, is_shared=True) for route in workload.routes]
        groups = [
            {"Name": name, "HealthPath": "/health", "MaxConnections": 110, "ConfigVersion": f"r{version}"}
            for name in sorted(set(workload.services))
        ]
        tenants = [tenant.item(version) for tenant in customers.tenants]
        limits = {"MaxHeaderBytes": 16384, "ConfigVersion": f"r{version}"}
        replaced = {"Customers": tenants, "Limits": limits, "Groups": groups}
        replaced["Listeners"] = [{"Host": HOST, "Policy": routes}]
        changes = [self._change(item, ItemKind.ROUTE) for item in routes]
        changes += [self._change(item, ItemKind.TENANT) for item in tenants]
        self._send(replaced, changes)

    def send_tenant(self, tenant: Tenant) -> None:
        """Set a new version of a tenant."""
        self._version += 1
        item = tenant.item(self._version)
        self._send({"Customers": [item]}, [self._change(item, ItemKind.TENANT)])

    def _change(self, item: dict[str, Any], kind: ItemKind) -> ItemChange:
        change = ItemChange(item["Name"], self._version, item, self._time.now, kind=kind)
        self._record.changes.append(change)
        return change

    def _send(self, replaced: dict[str, Any], changes: list[ItemChange]) -> None:
        def on_status(status: int) -> None:
            if status == ACCEPTED:
                for change in changes:
                    change.acknowledged_at = self._time.now

        self._operator.call({"ReplaceItems": replaced, "RemoveItems": {"Routing": []}}, on_status)
