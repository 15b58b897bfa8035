"""Endpoints and configuration of a fleet of a given size, as proxies and stores would hold them. No I/O."""

from __future__ import annotations

from typing import Any

import msgspec

from lilacsill.mesh.runtime.messages import Endpoint, Item

from .target import TARGET

PORT = 17_660  # between proxies
NETWORK = 16  # second part of the loopback addresses of proxies; that of core machines is the next
BORN = 1_764_640_000_000  # a life: milliseconds of the start
ROUTES_PER_SERVICE = 4


def ip_of(number: int, network: int = NETWORK) -> str:
    """The loopback address of a proxy, or of a core machine."""
    return f"127.{network}.{number >> 8}.{number & 255}"


def node_of(number: int) -> str:
    return f"sidecar-hall-{number}"


def services_of(size: int) -> int:
    """As many backends to a service as at the target: 30."""
    return max(1, size * TARGET.services // TARGET.backends)


def service_of(number: int, services: int) -> str:
    return f"service-{number % services:03}"


def endpoint(number: int, services: int, network: int = NETWORK) -> Endpoint:
    """One proxy and its backend."""
    ip, zone, server = ip_of(number, network), f"zone-{number % TARGET.zones:02}", f"i-{number:08x}"
    service = service_of(number, services)
    return Endpoint(node_of(number), BORN, 1, ip, PORT, zone, service, server, "ready", 9, 0)


def endpoints(size: int) -> list[Endpoint]:
    services = services_of(size)
    return [endpoint(number, services) for number in range(size)]


def service_item(name: str, seq: int) -> Item:
    body = {"Name": name, "HealthPath": "/health", "MaxConnections": 110, "Protocol": "h1", "ConfigVersion": f"r{seq}"}
    return Item("service", name, seq, seq, msgspec.json.encode(body))


def route_item(name: str, service: str, seq: int) -> Item:
    rule = {
        "Name": name,
        "RouteKind": "read_only",
        "TargetMs": 200,
        "Rank": 1,
        "ConfigVersion": f"r{seq}",
        "When": {"PathPrefix": f"/{name}/"},
        "Then": {"TargetService": service, "TimeoutMs": 800, "MaxTries": 2},
    }
    return Item("route", name, seq, seq, msgspec.json.encode({"Host": f"{service}.example", "Rule": rule}))


def items(services: int, routes_per_service: int = ROUTES_PER_SERVICE) -> list[Item]:
    """The configuration of so many services."""
    made: list[Item] = []
    for number in range(services):
        service = f"service-{number:03}"
        made.append(service_item(service, len(made) + 1))
        for route in range(routes_per_service):
            made.append(route_item(f"{service}-route-{route}", service, len(made) + 1))
    return made


def call(items: list[Item]) -> dict[str, Any]:
    """An operator's call that sets these items."""
    hosts: dict[str, list[Any]] = {}
    services: list[Any] = []
    for item in items:
        assert item.body is not None
        body = msgspec.json.decode(item.body)
        if item.kind == "service":
            services.append(body)
        else:
            hosts.setdefault(body["Host"], []).append(body["Rule"])
    return {
        "ReplaceItems": {
            "Listeners": [{"Host": host, "Policy": rules} for host, rules in hosts.items()],
            "Groups": services,
        }
    }
