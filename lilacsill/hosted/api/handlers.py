"""The handlers of /v1 for resources: each reads a call, passes it to the service, and makes the answer."""

from __future__ import annotations

import asyncio
from typing import Any, NamedTuple

import msgspec
from starlette.requests import Request
from starlette.responses import Response

from ..resources import CredentialSpec, Kind, Name, Resource, Role, Spec, State, TenantSpec, decode_spec
from ..store.interface import RememberedAnswer
from ..supervisor.service import Service
from ..supervisor.workers import Workers
from . import calls
from .callers import Caller
from .problems import Problem
from .visibility import READERS, find_visible, is_visible

IN_FORCE_TIMEOUT_S = 5.0
"""A change is answered once all workers have applied it, or after so many seconds."""
FILTERS = {Kind.POOL: (), Kind.TENANT: ("state", "pool"), Kind.CREDENTIAL: ("tenant", "role")}
"""The query keys by which a list is filtered."""


class NewCredential(msgspec.Struct, forbid_unknown_fields=True):
    """The body that asks for a credential."""

    role: Role
    tenant: Name | None = None
    description: str = ""


class PostedCall(NamedTuple):
    """A POST call."""

    is_dry_run: bool
    body: bytes
    key: calls.IdempotencyKey | None
    replay: Response | None
    """The first answer, where the call is a repeat."""


class ResourceHandlers:
    """The handlers for pools, tenants and credentials."""

    def __init__(self, service: Service, workers: Workers) -> None:
        self._service, self._workers = service, workers

    async def list_of(self, request: Request, caller: Caller, kind: Kind) -> Response:
        """Answer with a page of the resources of a kind that the caller may see."""
        caller.need(*READERS)
        calls.only(request, "limit", "cursor", *FILTERS[kind])
        filters = {key: request.query_params[key] for key in FILTERS[kind] if key in request.query_params}
        for key, allowed in (("state", State), ("role", Role)):
            if key in filters and filters[key] not in [value.value for value in allowed]:
                raise Problem(422, f"{key}: must be one of {', '.join(value.value for value in allowed)}")
        limit = calls.number(request, "limit", calls.DEFAULT_PAGE_ITEMS, 1, calls.MAX_PAGE_ITEMS)
        found: list[Resource] = []
        after, has_more = calls.cursor(request), True
        while has_more and len(found) <= limit:  # a page of the store may have few that match
            page = self._service.store.page(kind, after, limit + 1)
            has_more = len(page) > limit
            after = page[-1].name if page else after
            found += [resource for resource in page if is_visible(caller, resource) and _matches(resource, filters)]
        body: dict[str, Any] = {"items": [calls.to_fields(resource) for resource in found[:limit]]}
        if len(found) > limit:
            body["next"] = calls.cursor_after(found[limit - 1].name)
        return calls.json_response(body)

    async def show(self, request: Request, caller: Caller, kind: Kind) -> Response:
        """Answer with one resource."""
        caller.need(*READERS)
        calls.only(request)
        return calls.resource_response(self._find_visible(request, caller, kind))

    async def create(self, request: Request, caller: Caller, kind: Kind) -> Response:
        """Create a pool or a tenant."""
        caller.need(Role.OPERATOR)
        posted = await self._read_post(request, caller)
        if posted.replay is not None:
            return posted.replay
        body = calls.decode(posted.body, dict[str, Any])
        name = calls.decode(msgspec.json.encode(body.pop("name", None)), Name)
        spec = _decode_spec(kind, body)
        if isinstance(spec, TenantSpec) and spec.state is State.REMOVING:
            raise Problem(422, "state: a tenant cannot begin by being removed")
        remember = None
        if posted.key is not None and not posted.is_dry_run:
            # Revision and `in_force` are not known before the commit; who needs them after a repeat reads them.
            text = msgspec.json.encode({"name": name, **msgspec.to_builtins(spec)})
            remember = posted.key.key, RememberedAnswer(posted.key.fingerprint, 201, text)
        author = calls.author(request, caller)
        created = self._service.create(kind, name, spec, author, posted.is_dry_run, remember)
        return await self._respond_in_force(created, 200 if posted.is_dry_run else 201, posted.is_dry_run)

    async def change(self, request: Request, caller: Caller, kind: Kind) -> Response:
        """Apply a merge patch to a pool or a tenant."""
        caller.need(Role.OPERATOR)
        calls.only(request, "dry_run")
        dry_run, expected = calls.flag(request, "dry_run"), calls.expected(request)
        merge = calls.decode(await calls.body_of(request), dict[str, Any])
        name = calls.name_in(request)
        try:
            changed = self._service.patch(kind, name, merge, expected, calls.author(request, caller), dry_run)
        except msgspec.ValidationError as error:
            raise Problem(422, str(error)) from None
        return await self._respond_in_force(changed, 200, dry_run)

    async def remove(self, request: Request, caller: Caller, kind: Kind) -> Response:
        """Remove a pool, or begin to remove a tenant."""
        caller.need(Role.OPERATOR)
        calls.only(request, "dry_run")
        dry_run, expected = calls.flag(request, "dry_run"), calls.expected(request)
        author = calls.author(request, caller)
        removed = self._service.remove(kind, calls.name_in(request), expected, author, dry_run)
        if kind is Kind.TENANT:
            return await self._respond_in_force(removed, 202, dry_run)
        await self._wait_in_force(self._service.store.revision, dry_run)
        return Response(status_code=204)

    async def issue(self, request: Request, caller: Caller) -> Response:
        """Create a credential, and answer with its secret."""
        caller.need(Role.OPERATOR, Role.TENANT_ADMIN)
        posted = await self._read_post(request, caller)
        if posted.replay is not None:
            return posted.replay
        new, key = calls.decode(posted.body, NewCredential), posted.key
        if caller.role is Role.TENANT_ADMIN and (new.tenant != caller.tenant or new.role is not Role.CLIENT):
            raise Problem(403, "a tenant admin makes client credentials of its own tenant")

        def remember(credential: Resource) -> tuple[str, RememberedAnswer]:
            # The secret is shown once and not stored: who lost it removes this credential and creates another.
            assert key is not None
            body = msgspec.json.encode({**calls.to_fields(credential), "secret": None})
            return key.key, RememberedAnswer(key.fingerprint, 201, body)

        try:
            credential, secret = self._service.issue_credential(
                new.role,
                new.tenant,
                new.description,
                calls.author(request, caller),
                posted.is_dry_run,
                remember if key else None,
            )
        except ValueError as error:
            raise Problem(422, str(error)) from None
        if posted.is_dry_run:
            return await self._respond_in_force(credential, 200, True, secret=None)
        return await self._respond_in_force(credential, 201, False, secret=secret)

    async def revoke(self, request: Request, caller: Caller) -> Response:
        """Remove a credential."""
        caller.need(Role.OPERATOR, Role.TENANT_ADMIN)
        calls.only(request)
        credential = self._find_visible(request, caller, Kind.CREDENTIAL)
        assert isinstance(credential.spec, CredentialSpec)
        if caller.role is Role.TENANT_ADMIN and credential.spec.role is not Role.CLIENT:
            raise Problem(403, "a tenant admin removes client credentials only")
        if credential.spec.role is Role.OPERATOR and credential.name == caller.id:
            raise Problem(409, "an operator cannot remove the credential it calls with")
        expected, author = calls.expected(request), calls.author(request, caller)
        self._service.remove(Kind.CREDENTIAL, credential.name, expected, author)
        await self._wait_in_force(self._service.store.revision)
        return Response(status_code=204)

    async def _read_post(self, request: Request, caller: Caller) -> PostedCall:
        calls.only(request, "dry_run")
        is_dry_run = calls.flag(request, "dry_run")
        body = await calls.body_of(request)
        key = calls.idempotency(request, caller, body)
        if key is None:
            return PostedCall(is_dry_run, body, None, None)
        replay = calls.replay(self._service.store.remembered(key.key), key.fingerprint)
        return PostedCall(is_dry_run, body, key, replay)

    def _find_visible(self, request: Request, caller: Caller, kind: Kind) -> Resource:
        return find_visible(self._service.store, caller, kind, calls.name_in(request))

    async def _respond_in_force(self, resource: Resource, status: int, dry_run: bool, **more: Any) -> Response:
        in_force = await self._wait_in_force(resource.revision, dry_run)
        return calls.resource_response(resource, status, in_force=in_force, **more)

    async def _wait_in_force(self, revision: int, dry_run: bool = False) -> bool:
        """Wait until all workers that serve have applied a revision. Returns whether they have."""
        if dry_run:
            return False
        try:
            await asyncio.wait_for(self._workers.wait_applied(revision), IN_FORCE_TIMEOUT_S)
        except TimeoutError:
            return False
        return True


def _decode_spec(kind: Kind, body: dict[str, Any]) -> Spec:
    try:
        return decode_spec(kind, body)
    except msgspec.ValidationError as error:
        raise Problem(422, str(error)) from None


def _matches(resource: Resource, filters: dict[str, str]) -> bool:
    fields = msgspec.to_builtins(resource.spec)
    return all(fields.get(key) == value for key, value in filters.items())
