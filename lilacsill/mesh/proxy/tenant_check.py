"""The decision which tenant a request belongs to, and whether it may go on without one. No I/O."""

from __future__ import annotations

from collections.abc import Callable
from enum import Enum

from lilacsill.http1.message import Message as HttpMessage
from lilacsill.mesh.tenants.tenant import Tenant

from .active_config import ActiveConfig
from .routes import Route

CALL_RANK = 0  # of requests without a tenant: they are calls that other requests wait for
# A request's priority at a backend is that of its tenant, then that of its route. Each step makes a request count as
# half as long again, so the steps are few enough that short work of a less urgent tenant still has its turn.
ROUTE_PRIORITIES = 3
MAX_TENANT_RANK = 2


class KeyRefusal(Enum):
    """Why a request does not go on."""

    UNKNOWN_KEY = "unknown key"
    UNDECIDED = "configuration not current"  # a newer configuration may know the key


def check_tenant(
    config: ActiveConfig, route: Route, request: HttpMessage, is_config_current: Callable[[], bool]
) -> Tenant | KeyRefusal | None:
    """Return the tenant whose key a request has, why it is refused, or None if it needs no tenant.

    Each request is checked, so a key that was taken away does not outlive the request that is in flight with it.
    """
    key = request.fields.get(b"credential")
    tenant = None if key is None else config.tenants.find_by_key(key)
    if tenant is not None or _needs_no_key(config, route, key, is_config_current):
        return tenant
    is_unknown = config.has_tenants and not route.is_public and is_config_current()
    return KeyRefusal.UNKNOWN_KEY if is_unknown else KeyRefusal.UNDECIDED


def _needs_no_key(config: ActiveConfig, route: Route, key: bytes | None, is_config_current: Callable[[], bool]) -> bool:
    """Return whether a request may go on as that of no tenant, though `key` may be there."""
    if config.has_tenants and not route.is_public:
        return False
    if key is not None:
        return is_config_current()  # else a newer configuration may know whose key it is
    # The items of a configuration may come one after the other: tenants may be on their way.
    return route.is_public or config.was_complete or is_config_current()


def request_priority(route: Route, tenant: Tenant | None, has_tenants: bool) -> int:
    """Return the priority of a request, lower being more urgent: its tenant's rank comes before its route's."""
    if not has_tenants:
        return route.priority
    rank = CALL_RANK if tenant is None else min(tenant.rank, MAX_TENANT_RANK)
    return rank * ROUTE_PRIORITIES + min(route.priority, ROUTE_PRIORITIES - 1)
