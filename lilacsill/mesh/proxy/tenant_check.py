"""Determines the tenant of a request, and whether it may be forwarded without one. No I/O."""

from __future__ import annotations

from collections.abc import Callable
from enum import Enum

from lilacsill.http1.message import Message as HttpMessage
from lilacsill.mesh.tenants.tenant import Tenant

from .active_config import ActiveConfig
from .routes import Route

INTERNAL_CALL_RANK = 0  # requests without a tenant are internal calls that other requests wait for
# The priority of a request is ordered by its tenant's rank, then by the priority of its route. Admission control
# multiplies the expected duration by 1.5 for each step, so there are few steps: short work of a less urgent tenant must
# still be served.
ROUTE_PRIORITIES = 3
MAX_TENANT_RANK = 2


class KeyRefusal(Enum):
    """Why a request is refused by the tenant check."""

    UNKNOWN_KEY = "unknown key"
    UNDECIDED = "configuration not current"  # a newer configuration may contain the key


def check_tenant(
    config: ActiveConfig, route: Route, request: HttpMessage, is_config_current: Callable[[], bool]
) -> Tenant | KeyRefusal | None:
    """Return the tenant whose key a request carries, the reason for its refusal, or None if it needs no tenant.

    Every request is checked, so a revoked key remains effective only for requests that are already in flight.
    """
    key = request.fields.get(b"credential")
    tenant = None if key is None else config.tenants.find_by_key(key)
    if tenant is not None or _needs_no_key(config, route, key, is_config_current):
        return tenant
    is_unknown = config.has_tenants and not route.is_public and is_config_current()
    return KeyRefusal.UNKNOWN_KEY if is_unknown else KeyRefusal.UNDECIDED


def _needs_no_key(config: ActiveConfig, route: Route, key: bytes | None, is_config_current: Callable[[], bool]) -> bool:
    """Return whether a request may be forwarded without a tenant; its `key`, if any, belongs to no known tenant."""
    if config.has_tenants and not route.is_public:
        return False
    if key is not None:
        return is_config_current()  # otherwise a newer configuration may contain the key
    # The items of a configuration may arrive one after the other: tenants may still be missing.
    return route.is_public or config.was_complete or is_config_current()


def request_priority(route: Route, tenant: Tenant | None, has_tenants: bool) -> int:
    """Return the priority of a request, lower being more urgent, ordered by tenant rank, then by route priority."""
    if not has_tenants:
        return route.priority
    rank = INTERNAL_CALL_RANK if tenant is None else min(tenant.rank, MAX_TENANT_RANK)
    return rank * ROUTE_PRIORITIES + min(route.priority, ROUTE_PRIORITIES - 1)
