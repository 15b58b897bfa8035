"""The resources and log lines that a caller of the API may see."""

from __future__ import annotations

from ..resources import CredentialSpec, Kind, PoolSpec, Resource, Role
from ..store.interface import Change, Store
from .callers import Caller
from .problems import Problem

READERS = (Role.OPERATOR, Role.AUDITOR, Role.TENANT_ADMIN)
"""The roles that may read resources; a tenant admin sees those of its own tenant only."""


def is_visible(caller: Caller, resource: Resource) -> bool:
    """Say whether a caller may see a resource."""
    if isinstance(resource.spec, PoolSpec):
        return caller.tenant is None
    if isinstance(resource.spec, CredentialSpec):
        return caller.tenant is None or resource.spec.tenant == caller.tenant
    return caller.sees_tenant(resource.name)


def is_change_visible(caller: Caller, change: Change) -> bool:
    """Say whether a caller may see a line of the log."""
    if caller.tenant is None:
        return True
    owner = (change.after or change.before or {}).get("tenant") if change.kind is Kind.CREDENTIAL else change.name
    return change.kind is not Kind.POOL and owner == caller.tenant


def find_visible(store: Store, caller: Caller, kind: Kind, name: str) -> Resource:
    """Read a resource.

    Raises:
        Problem: 404, it does not exist, or the caller may not see it.
    """
    resource = store.get(kind, name)
    if resource is None or not is_visible(caller, resource):
        raise Problem(404, f"there is no {kind.value} {name}")
    return resource
