"""The configuration in use in this process: routes, services, limits and tenants. No I/O."""

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
DECODE_ERRORS = (msgspec.MsgspecError, LookupError, TypeError, ValueError, AttributeError)  # raised for an invalid body


class Service(msgspec.Struct, frozen=True):
    """The configuration of one service."""

    health_path: bytes
    max_connections: int | None  # that one backend accepts, from all callers together; None: unlimited


class Limits(msgspec.Struct, frozen=True):
    """Limits on clients' connections and requests; the defaults apply until the configuration is known."""

    max_head_bytes: int = MAX_HEAD_BYTES
    max_body_bytes: int = 67_108_864
    header_timeout_us: int = 3_000_000
    idle_timeout_us: int = 15_000_000


DEFAULT_LIMITS = Limits()


def parse_service(body: bytes) -> Service:
    """Parse the body of a service, which the store has validated."""
    fields: dict[str, Any] = msgspec.json.decode(body)
    max_connections = fields.get("MaxConnections")
    return Service(
        health_path=str(fields.get("HealthPath", DEFAULT_HEALTH_PATH)).encode(),
        max_connections=None if max_connections is None else int(max_connections),
    )


def parse_limits(body: bytes) -> Limits:
    """Parse the body of the limits, which the store has validated; absent limits have their defaults."""
    fields: dict[str, Any] = msgspec.json.decode(body)
    header_wait_ms, idle_timeout_ms = fields.get("HeaderWaitMs"), fields.get("IdleTimeoutMs")
    return Limits(
        # The configured limit binds clients; the proxy itself accepts MAX_HEAD_BYTES even if the limit is lower.
        max_head_bytes=max(MAX_HEAD_BYTES, int(fields.get("MaxHeaderBytes", 0))),
        max_body_bytes=int(fields.get("MaxBodyBytes", DEFAULT_LIMITS.max_body_bytes)),
        header_timeout_us=DEFAULT_LIMITS.header_timeout_us if header_wait_ms is None else int(header_wait_ms) * 1000,
        idle_timeout_us=DEFAULT_LIMITS.idle_timeout_us if idle_timeout_ms is None else int(idle_timeout_ms) * 1000,
    )


class ActiveConfig:
    """The configuration items in use.

    Within one run of the process, an item never returns to a lower version.

    Attributes:
        limits: Limits on clients' connections and requests.
        tenants: The tenants by key.
        seq: The sequence number of the newest change that was applied.
        was_complete: Whether the items were complete up to the newest known change at least once. Until then, some
            items may not have arrived.
    """

    def __init__(self) -> None:
        self._versions: dict[tuple[str, str], int] = {}  # by kind and name; includes removed items
        self._routes: dict[str, Route] = {}
        self._hosts: dict[bytes, HostRoutes] = {}
        self._services: dict[str, Service] = {}
        self.limits = DEFAULT_LIMITS
        self.tenants = TenantDirectory()
        self.seq = 0
        self.was_complete = False

    def apply(self, items: list[Item], seq: int) -> None:
        """Apply the items that are newer than the ones in use.

        Args:
            items: New or changed items; an item without a body is removed.
            seq: The sequence number of the configuration after these items.
        """
        for item in items:
            key = (item.kind, item.name)
            known = self._versions.get(key)
            if known is None or item.version > known:
                self._versions[key] = item.version
                self._try_item(item)
        self.seq = max(self.seq, seq)

    def _try_item(self, item: Item) -> None:
        """Apply one item. One that cannot be decoded, such as from a later version, is skipped; others still apply."""
        try:
            self._apply_item(item)
        except DECODE_ERRORS as error:
            log.warning(
                "configuration: skipped %s %s, version %d, which cannot be decoded: %s",
                item.kind,
                item.name,
                item.version,
                type(error).__name__,
            )

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
        """Return the route of a request; None if no route matches."""
        host_routes = self._hosts.get(host)
        return None if host_routes is None else host_routes.match(path)

    @property
    def has_tenants(self) -> bool:
        """Whether tenants are configured: then requests need a key, unless their route is public."""
        return bool(self.tenants)

    def health_path(self, service: str) -> bytes | None:
        """Return the path of the service's health check; None if the service is unknown."""
        known = self._services.get(service)
        return None if known is None else known.health_path

    def max_connections(self, service: str) -> int | None:
        """Return how many connections one backend of the service accepts; None if unknown or unlimited."""
        known = self._services.get(service)
        return None if known is None else known.max_connections
