"""The directory: it assigns a request to its tenant by its credential, and to the tenant's pool.

It is built from the resources of the store and updated with their changes; every worker has one, and so has the
supervisor. The credential alone identifies the tenant: the Tenant header and the host may only agree with it.
"""

from __future__ import annotations

from collections.abc import Iterable
from dataclasses import dataclass, field

from ..resources import CredentialSpec, Kind, PoolSpec, Resource, Role, State, TenantSpec
from .refusals import Refusal, RefusalCause
from .secrets import parse_bearer


@dataclass(slots=True)
class Tenant:
    """One incarnation of a tenant."""

    name: str
    uid: int
    spec: TenantSpec
    credentials: dict[str, CredentialSpec] = field(default_factory=dict)
    """Its credentials by id."""


@dataclass(slots=True)
class Pool:
    """One incarnation of a pool."""

    name: str
    uid: int
    spec: PoolSpec


NO_CREDENTIAL = Refusal(401, RefusalCause.NO_CREDENTIAL, "a credential is needed: Authorization: Bearer ls_...")
BAD_CREDENTIAL = Refusal(401, RefusalCause.BAD_CREDENTIAL, "this credential is not known")
NOT_A_CLIENT = Refusal(403, RefusalCause.BAD_ROLE, "this credential is for the administration API")
OTHER_TENANT = Refusal(403, RefusalCause.OTHER_TENANT, "the Tenant header names another tenant than the credential")
OTHER_HOST = Refusal(403, RefusalCause.OTHER_HOST, "this host is another tenant's")
SUSPENDED = Refusal(403, RefusalCause.SUSPENDED, "this tenant is suspended")
REMOVED = Refusal(403, RefusalCause.REMOVED, "this tenant is being removed")
NO_SHARE = Refusal(403, RefusalCause.NO_SHARE, "this tenant's weight is 0")
NO_POOL = Refusal(503, RefusalCause.NO_POOL, "this tenant's pool is not there")


class Directory:
    """An index of all resources that routes requests.

    Invariant: the tenant of each credential lists that credential, if the tenant exists.
    """

    def __init__(self, resources: Iterable[Resource] = ()) -> None:
        self.pools: dict[str, Pool] = {}
        self.tenants: dict[str, Tenant] = {}
        self.revision = 0
        self._credentials: dict[str, CredentialSpec] = {}
        self._tenant_names: dict[int, str] = {}  # by uid
        self._tenants_by_host: dict[str, set[str]] = {}
        for resource in resources:
            self.put(resource)

    def put(self, resource: Resource) -> None:
        """Add or replace a resource."""
        self.revision = max(self.revision, resource.revision)
        spec = resource.spec
        if isinstance(spec, PoolSpec):
            self.pools[resource.name] = Pool(resource.name, resource.uid, spec)
        elif isinstance(spec, TenantSpec):
            self._put_tenant(resource.name, resource.uid, spec)
        elif isinstance(spec, CredentialSpec):
            self._credentials[resource.name] = spec
            if spec.tenant in self.tenants:
                self.tenants[spec.tenant].credentials[resource.name] = spec

    def _put_tenant(self, name: str, uid: int, spec: TenantSpec) -> None:
        previous = self.tenants.get(name)
        if previous is not None:
            self._release_hosts(previous)
        if previous is not None and previous.uid == uid:
            credentials = previous.credentials
        else:
            credentials = {key: value for key, value in self._credentials.items() if value.tenant == name}
        self.tenants[name] = Tenant(name, uid, spec, credentials)
        if previous is not None and previous.uid != uid:
            self._tenant_names.pop(previous.uid, None)
        self._tenant_names[uid] = name
        for host in spec.hosts:
            self._tenants_by_host.setdefault(host, set()).add(name)

    def drop(self, kind: Kind, name: str, revision: int) -> None:
        """Remove a resource, if it is there."""
        self.revision = max(self.revision, revision)
        if kind is Kind.POOL:
            self.pools.pop(name, None)
        elif kind is Kind.TENANT:
            tenant = self.tenants.pop(name, None)
            if tenant is not None:
                self._release_hosts(tenant)
                self._tenant_names.pop(tenant.uid, None)
        else:
            credential = self._credentials.pop(name, None)
            if credential is not None and credential.tenant in self.tenants:
                self.tenants[credential.tenant].credentials.pop(name, None)

    def _release_hosts(self, tenant: Tenant) -> None:
        for host in tenant.spec.hosts:
            names = self._tenants_by_host.get(host, set())
            names.discard(tenant.name)
            if not names:
                self._tenants_by_host.pop(host, None)

    def by_uid(self, uid: int) -> Tenant | None:
        """Find a tenant by the uid of its incarnation."""
        name = self._tenant_names.get(uid)
        return self.tenants.get(name) if name is not None else None

    def tenants_of_host(self, host: str) -> set[str]:
        """List the tenants that claim a host. The service allows one at most."""
        return set(self._tenants_by_host.get(host, ()))

    def credential(self, authorization: str | None) -> CredentialSpec | Refusal:
        """Authenticate the value of an Authorization header."""
        if authorization is None:
            return NO_CREDENTIAL
        token = parse_bearer(authorization)
        spec = self._credentials.get(token.id) if token is not None else None
        if token is None or spec is None or not token.matches(spec.digest):
            return BAD_CREDENTIAL
        return spec

    def route(self, authorization: str | None, host: str, tenant_header: str | None) -> tuple[Tenant, Pool] | Refusal:
        """Find the tenant of a request and the pool that serves it, or why it is refused.

        Args:
            authorization: The Authorization header.
            host: The Host header, with or without a port.
            tenant_header: The Tenant header.
        """
        tenant = self._client_tenant(authorization)
        if isinstance(tenant, Refusal):
            return tenant
        refusal = self._check_headers(tenant, host, tenant_header) or _check_spec(tenant.spec)
        if refusal is not None:
            return refusal
        pool = self.pools.get(tenant.spec.pool)
        return (tenant, pool) if pool is not None else NO_POOL

    def _client_tenant(self, authorization: str | None) -> Tenant | Refusal:
        spec = self.credential(authorization)
        if isinstance(spec, Refusal):
            return spec
        if spec.role is not Role.CLIENT:
            return NOT_A_CLIENT
        return self.tenants.get(spec.tenant or "") or REMOVED

    def _check_headers(self, tenant: Tenant, host: str, tenant_header: str | None) -> Refusal | None:
        if tenant_header is not None and tenant_header != tenant.name:
            return OTHER_TENANT
        owners = self._tenants_by_host.get(_host_name(host))
        return OTHER_HOST if owners and tenant.name not in owners else None


def _check_spec(spec: TenantSpec) -> Refusal | None:
    if spec.state is State.REMOVING:
        return REMOVED
    if spec.state is State.SUSPENDED:
        return SUSPENDED
    return None if spec.weight else NO_SHARE


def _host_name(host: str) -> str:
    """Strip the port; IPv6 literals keep their brackets (RFC 3986, section 3.2.2)."""
    host = host.lower()
    return host.rpartition(":")[0] if ":" in host.rpartition("]")[2] else host
