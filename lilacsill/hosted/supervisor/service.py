"""What may be done to the resources, and by what rules they hang together. The one place that writes to the store.

Rules: a tenant's pool is there; a host is one tenant's; a credential's tenant is there and not being removed; a pool
goes only when no tenant is left in it; a tenant goes by way of `removing`, and by itself.
"""

from __future__ import annotations

import os
from collections.abc import Callable, Sequence
from typing import Any

import msgspec

from ..decisions.directory import Directory
from ..decisions.secrets import digest_of, make_token
from ..resources import (
    MAX_CREDENTIALS,
    CredentialSpec,
    Kind,
    Resource,
    Role,
    Spec,
    State,
    TenantSpec,
    decode_spec,
)
from ..store.interface import Author, Change, Conflict, Drop, Put, RememberedAnswer, Store, Write

SYSTEM = "system"


class Refused(Exception):
    """The change breaks a rule; the text says which, `status` is that of the API's answer."""

    def __init__(self, status: int, why: str) -> None:
        super().__init__(why)
        self.status = status


class Service:
    """Changes, each checked against what is there, committed, and published to whoever listens."""

    def __init__(self, store: Store, random: Callable[[int], bytes] = os.urandom) -> None:
        self.store, self._random = store, random
        self.listeners: list[Callable[[list[Change]], None]] = []
        # The same index as the workers have: a check must not read ten thousand tenants.
        self.directory = Directory(r for kind in Kind for r in store.page(kind))

    # Changes

    def create(
        self,
        kind: Kind,
        name: str,
        spec: Spec,
        author: Author,
        dry: bool = False,
        remember: tuple[str, RememberedAnswer] | None = None,
    ) -> Resource:
        self._check(kind, name, spec, None)
        return self._put(kind, name, spec, 0, author, dry, remember)

    def patch(
        self, kind: Kind, name: str, merge: dict[str, Any], expected: int | None, author: Author, dry: bool = False
    ) -> Resource:
        """RFC 7396 on what is there. Raises msgspec.ValidationError for what comes of it."""
        now = self.need(kind, name)
        if expected is not None and expected != now.revision:
            raise Conflict(f"{kind.value} {name} is at revision {now.revision}, not {expected}", exists=True)
        spec = decode_spec(kind, merge_patch(msgspec.to_builtins(now.spec), merge))
        if isinstance(now.spec, TenantSpec) and isinstance(spec, TenantSpec) and spec.state is not now.spec.state:
            if now.spec.state is State.REMOVING:
                raise Refused(409, f"tenant {name} is being removed, which cannot be taken back")
            if spec.state is State.REMOVING:
                raise Refused(422, "state: a tenant is removed by DELETE")
        self._check(kind, name, spec, now)
        return self._put(kind, name, spec, now.revision, author, dry)

    def remove(self, kind: Kind, name: str, expected: int | None, author: Author, dry: bool = False) -> Resource:
        """A tenant is `removing` from now on; anything else is gone."""
        now = self.need(kind, name)
        if expected is not None and expected != now.revision:
            raise Conflict(f"{kind.value} {name} is at revision {now.revision}, not {expected}", exists=True)
        if isinstance(now.spec, TenantSpec):
            if now.spec.state is State.REMOVING:
                return now
            spec = msgspec.structs.replace(now.spec, state=State.REMOVING)
            return self._put(kind, name, spec, now.revision, author, dry)
        if kind is Kind.POOL:
            users = [t.name for t in self.directory.tenants.values() if t.spec.pool == name]
            if users:
                raise Refused(409, f"pool {name} is used by {len(users)} tenants, {min(users)} the first")
        if not dry:
            self._commit([Drop(kind, name, now.revision)], author)
        return now

    def removed(self, uid: int) -> None:
        """No worker has anything left of this tenant: it and its credentials go."""
        tenant = self.directory.by_uid(uid)
        if tenant is not None and tenant.spec.state is State.REMOVING:
            drops: list[Write] = [Drop(Kind.CREDENTIAL, name) for name in tenant.credentials]
            self._commit([*drops, Drop(Kind.TENANT, tenant.name)], Author(SYSTEM, "removed"))

    def issue(
        self,
        role: Role,
        tenant: str | None,
        description: str,
        author: Author,
        dry: bool = False,
        remember: Callable[[Resource], tuple[str, RememberedAnswer]] | None = None,
    ) -> tuple[Resource, str]:
        """A new credential and its secret, which nobody can be told again."""
        name, token = make_token(self._random(6), self._random(32))
        spec = CredentialSpec(role=role, digest=digest_of(token), tenant=tenant, description=description)
        self._check(Kind.CREDENTIAL, name, spec, None)
        kept = remember(Resource(Kind.CREDENTIAL, name, 0, 0, spec)) if remember is not None else None
        return self._put(Kind.CREDENTIAL, name, spec, 0, author, dry, kept), token

    # Questions

    def need(self, kind: Kind, name: str) -> Resource:
        found = self.store.get(kind, name)
        if found is None:
            raise Refused(404, f"there is no {kind.value} {name}")
        return found

    # Within

    def _check(self, kind: Kind, name: str, spec: Spec, now: Resource | None) -> None:
        if isinstance(spec, TenantSpec):
            if self.store.get(Kind.POOL, spec.pool) is None:
                raise Refused(422, f"pool: there is no pool {spec.pool}")
            for host in spec.hosts:
                others = self.directory.tenants_of_host(host) - {name}
                if others:
                    raise Refused(409, f"hosts: {host} is tenant {min(others)}'s")
        elif isinstance(spec, CredentialSpec) and spec.tenant is not None:
            tenant = self.directory.tenants.get(spec.tenant)
            if tenant is None:
                raise Refused(422, f"tenant: there is no tenant {spec.tenant}")
            if tenant.spec.state is State.REMOVING:
                raise Refused(409, f"tenant {spec.tenant} is being removed")
            if now is None and len(tenant.credentials) >= MAX_CREDENTIALS:
                raise Refused(
                    409, f"tenant {spec.tenant} has {MAX_CREDENTIALS} credentials, the most; remove one first"
                )

    def _put(
        self,
        kind: Kind,
        name: str,
        spec: Spec,
        expected: int,
        author: Author,
        dry: bool,
        remember: tuple[str, RememberedAnswer] | None = None,
    ) -> Resource:
        if dry:
            now = self.store.get(kind, name)
            if expected == 0 and now is not None:
                raise Conflict(f"{kind.value} {name} is there already", exists=True)
            return Resource(kind, name, now.uid if now else 0, now.revision if now else 0, spec)
        (change,) = self._commit([Put(kind, name, spec, expected)], author, remember)
        return Resource(kind, name, change.uid, change.revision, spec)

    def _commit(
        self, writes: Sequence[Write], author: Author, remember: tuple[str, RememberedAnswer] | None = None
    ) -> list[Change]:
        changes = self.store.commit(writes, author, remember)
        for change, w in zip(changes, writes, strict=True):
            if isinstance(w, Put):
                self.directory.put(Resource(w.kind, w.name, change.uid, change.revision, w.spec))
            else:
                self.directory.drop(w.kind, w.name, change.revision)
        for listener in self.listeners:
            listener(changes)
        return changes


def merge_patch(target: Any, patch: Any) -> Any:
    """RFC 7396, section 2."""
    if not isinstance(patch, dict):
        return patch
    result = dict(target) if isinstance(target, dict) else {}
    for key, value in patch.items():
        if value is None:
            result.pop(key, None)
        else:
            result[key] = merge_patch(result.get(key), value)
    return result


def bootstrap(service: Service) -> str | None:
    """The first operator's secret; None where there is an operator already."""
    for c in service.store.page(Kind.CREDENTIAL):
        if isinstance(c.spec, CredentialSpec) and c.spec.role is Role.OPERATOR:
            return None
    _, token = service.issue(Role.OPERATOR, None, "made by bootstrap", Author(SYSTEM, "bootstrap"))
    return token
