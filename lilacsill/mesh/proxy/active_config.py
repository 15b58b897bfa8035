"""The configuration that is in force in this process: routes, services, limits, tenants. No I/O."""

from __future__ import annotations

from typing import Any

import msgspec

from lilacsill.http1.message import MAX_HEAD_BYTES
from lilacsill.mesh.runtime.log_ring import log
from lilacsill.mesh.runtime.messages import Item
from lilacsill.mesh.tenants.directory import TenantDirectory
from lilacsill.mesh.tenants.tenant import TENANT

from .routes import HostRoutes, Route, parse_route

DEFAULT_HEALTH_PATH = "/health"
UNREADABLE = (msgspec.MsgspecError, LookupError, TypeError, ValueError, AttributeError)  # of the body of an item


class Service(msgspec.Struct, frozen=True):
    """What the configuration says of one service."""

    health_path: bytes
    max_connections: int | None  # that one backend accepts from all callers together; None: not limited


class Limits(msgspec.Struct, frozen=True):
    """Limits on clients' connections and requests; the defaults hold until the configuration is known."""

    max_head_bytes: int = MAX_HEAD_BYTES
    max_body_bytes: int = 67_108_864
    header_timeout_us: int = 3_000_000
    idle_timeout_us: int = 15_000_000


DEFAULT_LIMITS = Limits()


def parse_service(body: bytes) -> Service:
    """Read a service that the store has validated."""
    fields: dict[str, Any] = msgspec.json.decode(body)
    max_connections = fields.get("MaxConnections")
    return Service(
        health_path=str(fields.get("HealthPath", DEFAULT_HEALTH_PATH)).encode(),
        max_connections=None if max_connections is None else int(max_connections),
    )


def parse_limits(body: bytes) -> Limits:
    """Read limits that the store has validated; those that are left out keep their defaults."""
    fields: dict[str, Any] = msgspec.json.decode(body)
    header_wait_ms, idle_timeout_ms = fields.get("HeaderWaitMs"), fields.get("IdleTimeoutMs")
    return Limits(
        # Clients keep within the limit of the configuration; what the proxy itself can take may be more.
        max_head_bytes=max(MAX_HEAD_BYTES, int(fields.get("MaxHeaderBytes", 0))),
        max_body_bytes=int(fields.get("MaxBodyBytes", DEFAULT_LIMITS.max_body_bytes)),
        header_timeout_us=DEFAULT_LIMITS.header_timeout_us if header_wait_ms is None else int(header_wait_ms) * 1000,
        idle_timeout_us=DEFAULT_LIMITS.idle_timeout_us if idle_timeout_ms is None else int(idle_timeout_ms) * 1000,
    )


class ActiveConfig:
    """The items that are in force.

    An item never goes back to a lower version within one run of the process.

    Attributes:
        limits: Limits on clients' connections and requests.
        tenants: The tenants by key.
        seq: The number of the newest change that is in force.
        was_complete: Whether all items of one moment have been here. Until then some may be on their way.
    """

    def __init__(self) -> None:
        self._versions: dict[tuple[str, str], int] = {}  # by kind and name; also of items that were removed
        self._routes: dict[str, Route] = {}
        self._hosts: dict[bytes, HostRoutes] = {}
        self._services: dict[str, Service] = {}
        self.limits = DEFAULT_LIMITS
        self.tenants = TenantDirectory()
        self.seq = 0
        self.was_complete = False

    def apply(self, items: list[Item], seq: int) -> None:
        """Put items in force, except those that are not newer than what is here.

        Args:
            items: New or changed items; one without a body is removed.
            seq: The number of the change that they bring the configuration to.
        """
        for item in items:
            key = (item.kind, item.name)
            known = self._versions.get(key)
            if known is None or item.version > known:
                self._versions[key] = item.version
                self._try_item(item)
        self.seq = max(self.seq, seq)

    def _try_item(self, item: Item) -> None:
        """Put one item in force. One that cannot be read, as of a later version, is not there; others still come."""
        try:
            self._apply_item(item)
        except UNREADABLE as error:
            log.warning("%s %s r%d cannot be read: %s", item.kind, item.name, item.version, type(error).__name__)

    def _apply_item(self, item: Item) -> None:
        if item.kind == "route":
            self._apply_route(item)
        elif item.kind == "service":
            if item.body is None:
                self._services.pop(item.name, None)
            else:
                self._services[item.name] = parse_service(item.body)
        elif item.kind == TENANT:
            self.tenants.apply(item)
        elif item.kind == "limits" and item.body is not None:
            self.limits = parse_limits(item.body)

    def _apply_route(self, item: Item) -> None:
        replaced = self._routes.pop(item.name, None)
        if replaced is not None:
            self._remove_from_host(replaced)
        if item.body is not None:
            route = self._routes[item.name] = parse_route(item)
            self._hosts.setdefault(route.host, HostRoutes()).put(route)

    def _remove_from_host(self, route: Route) -> None:
        host_routes = self._hosts.get(route.host)
        if host_routes is None:
            return
        host_routes.remove(route)
        if not host_routes:
            del self._hosts[route.host]

    def match(self, host: bytes, path: bytes) -> Route | None:
        """Return the route of a request; None where there is none."""
        host_routes = self._hosts.get(host)
        return None if host_routes is None else host_routes.match(path)

    @property
    def has_tenants(self) -> bool:
        """Whether there are tenants: requests then need a key, unless their route is public."""
        return bool(self.tenants)

    def health_path(self, service: str) -> bytes | None:
        """Return the path of the service's health check; None where the service is not known."""
        known = self._services.get(service)
        return None if known is None else known.health_path

    def max_connections(self, service: str) -> int | None:
        """Return how many connections one backend of the service accepts; None where that is not known."""
        known = self._services.get(service)
        return None if known is None else known.max_connections
