"""The operator of a soak: changes routes and tenants through any core machine, and reads both back at the end."""

from __future__ import annotations

from collections.abc import Callable
from random import Random
from typing import Any

import msgspec

from lilacsill.address import Address
from lilacsill.http1.message import Message, encode_request
from lilacsill.mesh.runtime.reactor import Reactor
from lilacsill.mesh.simulation.http_call import JSON_HEADERS, HttpCall
from lilacsill.mesh.simulation.loopback_processes import CONTROL_PORT

from .customers import Customers, Tenant
from .observations import ItemChange, ItemKind, Record
from .workload import RouteWork, Workload

CALL_TIMEOUT_US = 1_500_000
RETRY_US, MAX_RETRY_US = 200_000, 1_000_000
HOST = "h.example"
PATH = b"/api/config"
MAX_EXTRA_ROUTES = 12  # names that changes pick from, so that versions of the same route follow each other


def route_item(route: RouteWork, version: int, is_shared: bool = False) -> dict[str, Any]:
    """Return a route as an item of the configuration; `is_shared`: of a deployment that has tenants."""
    kind = "keyed_write" if route.is_keyed else "read_only" if route.idempotent else "writes"
    public = {"Public": route.is_public} if is_shared else {}
    return {
        "Name": route.name,
        "RouteKind": kind,
        **public,
        "TargetMs": route.target_ms,
        "Rank": 1,
        "ConfigVersion": f"r{version}",
        "When": {"PathPrefix": f"/{route.name}/"},
        "Then": {
            "TargetService": route.service,
            "TimeoutMs": route.timeout_ms,
            "MaxTries": 2 if route.idempotent else 1,
        },
    }


class OperatorClient:
    """Sends changes until each has a clear answer. Several may be under way at once."""

    def __init__(
        self,
        reactor: Reactor,
        record: Record,
        workload: Workload,
        core_ips: list[str],
        rng: Random,
        customers: Customers | None = None,
    ) -> None:
        """Prepare; `customers` are the tenants of a shared deployment."""
        self._customers = customers
        self._reactor, self._record, self._workload, self._rng = reactor, record, workload, rng
        self._core_ips = core_ips
        self._version = 0
        self.pending = 0
        self.is_over = False  # changes without an answer are given up

    def send_first_configuration(self) -> None:
        """Send all routes, services and tenants."""
        version = self._next_version()
        items = [self._route_item(route, version) for route in self._workload.routes]
        groups = [
            {
                "Name": name,
                "HealthPath": "/health",
                "MaxConnections": 110,
                "Protocol": "h1",
                "UseTls": False,
                **({} if self._customers is None else {"DedupesItself": False}),
                "ConfigVersion": f"r{version}",
            }
            for name in sorted(set(self._workload.services))
        ]
        limits = {
            "MaxHeaderBytes": 16384,
            "MaxBodyBytes": 67108864,
            "HeaderWaitMs": 3000,
            "IdleTimeoutMs": 15000,
            "ConfigVersion": f"r{version}",
        }
        tenants = [] if self._customers is None else [tenant.item(version) for tenant in self._customers.tenants]
        customers = {"Customers": tenants} if tenants else {}
        replaced = {**customers, "Limits": limits, "Listeners": [{"Host": HOST, "Policy": items}], "Groups": groups}
        body = {"ReplaceItems": replaced, "RemoveItems": {"Routing": []}}
        changes = [self._change(item["Name"], version, item) for item in items]
        changes += [self._change(item["Name"], version, item, ItemKind.TENANT) for item in tenants]
        self._send(body, changes)

    def send_tenant(self, tenant: Tenant) -> None:
        """Set a new version of a tenant."""
        version = self._next_version()
        item = tenant.item(version)
        body = {"ReplaceItems": {"Customers": [item]}, "RemoveItems": {"Routing": []}}
        self._send(body, [self._change(tenant.name, version, item, ItemKind.TENANT)])

    def send_change(self) -> None:
        """Set or remove one of the extra routes, which get no requests."""
        version = self._next_version()
        name = f"extra-{self._rng.randrange(MAX_EXTRA_ROUTES)}"
        is_removed = self._rng.random() < 0.25
        if is_removed:
            removed = [{"Name": name, "ConfigVersion": f"r{version}"}]
            body: dict[str, Any] = {"ReplaceItems": {}, "RemoveItems": {"Routing": removed}}
            item = None
        else:
            model = self._rng.choice(self._workload.routes)
            timeout_ms = self._rng.randint(500, 5_000)
            item = self._route_item(msgspec.structs.replace(model, name=name, timeout_ms=timeout_ms), version)
            listeners = [{"Host": HOST, "Policy": [item]}]
            body = {"ReplaceItems": {"Listeners": listeners}, "RemoveItems": {"Routing": []}}
        self._send(body, [self._change(name, version, item)])

    def _route_item(self, route: RouteWork, version: int) -> dict[str, Any]:
        return route_item(route, version, is_shared=self._customers is not None)

    def _next_version(self) -> int:
        self._version += self._rng.randint(1, 3)
        return self._version

    def _change(
        self, name: str, version: int, item: dict[str, Any] | None, kind: ItemKind = ItemKind.ROUTE
    ) -> ItemChange:
        change = ItemChange(name, version, item, self._reactor.now(), kind=kind)
        self._record.changes.append(change)
        return change

    def _send(self, body: dict[str, Any], changes: list[ItemChange]) -> None:
        self.pending += 1
        self._call(msgspec.json.encode(body), changes, self._rng.randrange(len(self._core_ips)), RETRY_US)

    def _call(self, body: bytes, changes: list[ItemChange], core: int, retry_us: int) -> None:
        if self.is_over:
            return

        def on_done(response: Message | None) -> None:
            if response is None or response.status >= 500:
                next_retry_us = min(2 * retry_us, MAX_RETRY_US)
                self._reactor.after(retry_us, self._call, body, changes, core + 1, next_retry_us)
                return
            self.pending -= 1
            if response.status == 200:
                for change in changes:
                    change.acknowledged_at = self._reactor.now()

        self._start_call(b"PATCH", body, core, on_done)

    def _start_call(self, method: bytes, body: bytes, core: int, on_done: Callable[[Message | None], None]) -> None:
        address = Address(self._core_ips[core % len(self._core_ips)], CONTROL_PORT)
        request = encode_request(method, PATH, JSON_HEADERS, body)
        HttpCall(self._reactor, address, request, CALL_TIMEOUT_US, on_done)

    def read_back(self, on_read: Callable[[dict[str, dict[str, Any]]], None], core: int = 0) -> None:
        """Read the configuration until an answer comes; pass on routes and tenants by their names."""

        def on_done(response: Message | None) -> None:
            if response is None or response.status != 200:
                self._reactor.after(RETRY_US, self.read_back, on_read, core + 1)
                return
            items = msgspec.json.decode(bytes(response.body))
            routes = [item for listener in items["Listeners"] for item in listener["Policy"]]
            on_read({item["Name"]: item for item in [*routes, *items.get("Customers", [])]})

        self._start_call(b"GET", b"", core, on_done)
