"""The changes that may be made to resources, and the rules between resources. Only this module writes to the store.

Rules: the pool of a tenant exists; a host belongs to one tenant; the tenant of a credential exists and is not being
removed; a pool can be removed once no tenant uses it; a tenant is first in the state `removing`, and is removed once no
worker has anything left of it.
"""

from __future__ import annotations

import os
from collections.abc import Callable, Sequence
from typing import Any

import msgspec

from ..decisions.directory import Directory
from ..decisions.secrets import ID_BYTES, SECRET_BYTES, digest_of, make_token
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
"""The author in the log where no credential asked for a change."""


class ChangeRefused(Exception):
    """A change that breaks a rule; the text names the rule.

    Attributes:
        status: The HTTP status of the API's answer.
    """

    def __init__(self, status: int, reason: str) -> None:
        super().__init__(reason)
        self.status = status


class Service:
    """Changes of resources: each is checked against the current state, committed, and published.

    Args:
        store: The store.
        random: Returns so many random bytes, for credentials.
    """

    def __init__(self, store: Store, random: Callable[[int], bytes] = os.urandom) -> None:
        self.store, self._random = store, random
        self.listeners: list[Callable[[list[Change]], None]] = []
        # The same index that workers have: a check must not read ten thousand tenants.
        self.directory = Directory(resource for kind in Kind for resource in store.page(kind))

    def create(
        self,
        kind: Kind,
        name: str,
        spec: Spec,
        author: Author,
        dry_run: bool = False,
        remember: tuple[str, RememberedAnswer] | None = None,
    ) -> Resource:
        """Create a resource.

        Args:
            kind: Its kind.
            name: Its name, which must not be in use.
            spec: Its spec.
            author: Who asks for it.
            dry_run: Check the change, and make none.
            remember: An idempotency key and the answer to store with it.

        Raises:
            ChangeRefused: It breaks a rule.
            Conflict: The name is in use.
            Unavailable: The store could not write.
        """
        self._check(kind, name, spec, is_new=True)
        return self._put(kind, name, spec, 0, author, dry_run, remember)

    def patch(
        self, kind: Kind, name: str, merge: dict[str, Any], expected: int | None, author: Author, dry_run: bool = False
    ) -> Resource:
        """Apply a merge patch (RFC 7396) to a resource.

        Args:
            kind: Its kind.
            name: Its name.
            merge: The patch.
            expected: The revision that the resource must have; None: any.
            author: Who asks for it.
            dry_run: Check the change, and make none.

        Raises:
            ChangeRefused: It breaks a rule, or the resource does not exist.
            Conflict: The resource has another revision.
            Unavailable: The store could not write.
            msgspec.ValidationError: The result is not a valid spec.
        """
        current = self._require_revision(kind, name, expected)
        spec = decode_spec(kind, merge_patch(msgspec.to_builtins(current.spec), merge))
        if isinstance(current.spec, TenantSpec) and isinstance(spec, TenantSpec):
            _check_transition(name, current.spec.state, spec.state)
        self._check(kind, name, spec, is_new=False)
        return self._put(kind, name, spec, current.revision, author, dry_run)

    def remove(self, kind: Kind, name: str, expected: int | None, author: Author, dry_run: bool = False) -> Resource:
        """Remove a resource; a tenant gets the state `removing`.

        Args:
            kind: Its kind.
            name: Its name.
            expected: The revision that the resource must have; None: any.
            author: Who asks for it.
            dry_run: Check the change, and make none.

        Returns:
            The tenant as it is from now on, or the resource as it was.

        Raises:
            ChangeRefused: It breaks a rule, or the resource does not exist.
            Conflict: The resource has another revision.
            Unavailable: The store could not write.
        """
        current = self._require_revision(kind, name, expected)
        if isinstance(current.spec, TenantSpec):
            if current.spec.state is State.REMOVING:
                return current
            spec = msgspec.structs.replace(current.spec, state=State.REMOVING)
            return self._put(kind, name, spec, current.revision, author, dry_run)
        if kind is Kind.POOL:
            users = [tenant.name for tenant in self.directory.tenants.values() if tenant.spec.pool == name]
            if users:
                raise ChangeRefused(409, f"pool {name} is used by {len(users)} tenants, {min(users)} the first")
        if not dry_run:
            self._commit([Drop(kind, name, current.revision)], author)
        return current

    def finish_removal(self, uid: int) -> None:
        """Remove a tenant in the state `removing`, and its credentials: no worker has anything left of it."""
        tenant = self.directory.by_uid(uid)
        if tenant is not None and tenant.spec.state is State.REMOVING:
            drops: list[Write] = [Drop(Kind.CREDENTIAL, name) for name in tenant.credentials]
            self._commit([*drops, Drop(Kind.TENANT, tenant.name)], Author(SYSTEM, "removed"))

    def issue_credential(
        self,
        role: Role,
        tenant: str | None,
        description: str,
        author: Author,
        dry_run: bool = False,
        remember: Callable[[Resource], tuple[str, RememberedAnswer]] | None = None,
    ) -> tuple[Resource, str]:
        """Create a credential.

        Args:
            role: Its role.
            tenant: Its tenant, for the roles that belong to one.
            description: A text for operators.
            author: Who asks for it.
            dry_run: Check the change, and make none.
            remember: Makes an idempotency key and the answer to store with it from the credential.

        Returns:
            The credential and its secret, which is not stored and cannot be shown again.

        Raises:
            ChangeRefused: It breaks a rule.
            Unavailable: The store could not write.
            ValueError: The role and the tenant do not go together.
        """
        name, token = make_token(self._random(ID_BYTES), self._random(SECRET_BYTES))
        spec = CredentialSpec(role=role, digest=digest_of(token), tenant=tenant, description=description)
        self._check(Kind.CREDENTIAL, name, spec, is_new=True)
        answer = remember(Resource(Kind.CREDENTIAL, name, 0, 0, spec)) if remember is not None else None
        return self._put(Kind.CREDENTIAL, name, spec, 0, author, dry_run, answer), token

    def _require_revision(self, kind: Kind, name: str, expected: int | None) -> Resource:
        current = self.store.get(kind, name)
        if current is None:
            raise ChangeRefused(404, f"there is no {kind.value} {name}")
        if expected is not None and expected != current.revision:
            raise Conflict(f"{kind.value} {name} is at revision {current.revision}, not {expected}", exists=True)
        return current

    def _check(self, kind: Kind, name: str, spec: Spec, is_new: bool) -> None:
        if isinstance(spec, TenantSpec):
            self._check_tenant(name, spec)
        elif isinstance(spec, CredentialSpec) and spec.tenant is not None:
            self._check_credential(spec.tenant, is_new)

    def _check_tenant(self, name: str, spec: TenantSpec) -> None:
        if self.store.get(Kind.POOL, spec.pool) is None:
            raise ChangeRefused(422, f"pool: there is no pool {spec.pool}")
        for host in spec.hosts:
            others = self.directory.tenants_of_host(host) - {name}
            if others:
                raise ChangeRefused(409, f"hosts: {host} is tenant {min(others)}'s")

    def _check_credential(self, tenant_name: str, is_new: bool) -> None:
        tenant = self.directory.tenants.get(tenant_name)
        if tenant is None:
            raise ChangeRefused(422, f"tenant: there is no tenant {tenant_name}")
        if tenant.spec.state is State.REMOVING:
            raise ChangeRefused(409, f"tenant {tenant_name} is being removed")
        if is_new and len(tenant.credentials) >= MAX_CREDENTIALS:
            raise ChangeRefused(
                409, f"tenant {tenant_name} has {MAX_CREDENTIALS} credentials, the most; remove one first"
            )

    def _put(
        self,
        kind: Kind,
        name: str,
        spec: Spec,
        expected: int,
        author: Author,
        dry_run: bool,
        remember: tuple[str, RememberedAnswer] | None = None,
    ) -> Resource:
        if dry_run:
            current = self.store.get(kind, name)
            if expected == 0 and current is not None:
                raise Conflict(f"{kind.value} {name} is there already", exists=True)
            return Resource(kind, name, current.uid if current else 0, current.revision if current else 0, spec)
        (change,) = self._commit([Put(kind, name, spec, expected)], author, remember)
        return Resource(kind, name, change.uid, change.revision, spec)

    def _commit(
        self, writes: Sequence[Write], author: Author, remember: tuple[str, RememberedAnswer] | None = None
    ) -> list[Change]:
        changes = self.store.commit(writes, author, remember)
        for change, write in zip(changes, writes, strict=True):
            if isinstance(write, Put):
                self.directory.put(Resource(write.kind, write.name, change.uid, change.revision, write.spec))
            else:
                self.directory.drop(write.kind, write.name, change.revision)
        for listener in self.listeners:
            listener(changes)
        return changes


def _check_transition(name: str, before: State, after: State) -> None:
    """Check a change of a tenant's state by a patch."""
    if after is before:
        return
    if before is State.REMOVING:
        raise ChangeRefused(409, f"tenant {name} is being removed, which cannot be taken back")
    if after is State.REMOVING:
        raise ChangeRefused(422, "state: a tenant is removed by DELETE")


def merge_patch(target: Any, patch: Any) -> Any:
    """Apply a JSON merge patch (RFC 7396, section 2). Returns the result; the target is not changed."""
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
    """Create the first operator's credential. Returns its secret, or None where there is an operator already."""
    for credential in service.store.page(Kind.CREDENTIAL):
        if isinstance(credential.spec, CredentialSpec) and credential.spec.role is Role.OPERATOR:
            return None
    author = Author(SYSTEM, "bootstrap")
    _, token = service.issue_credential(Role.OPERATOR, None, "made by bootstrap", author)
    return token
