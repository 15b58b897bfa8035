"""The handlers of /v1, by resource. Each takes a call apart, asks the service, and words what comes of it."""

from __future__ import annotations

import asyncio
from typing import Any

import msgspec
from starlette.requests import Request
from starlette.responses import Response

from ..resources import CredentialSpec, Kind, Name, PoolSpec, Resource, Role, Spec, State, TenantSpec, decode_spec
from ..store.interface import Change, RememberedAnswer
from ..supervisor.service import Service
from ..supervisor.workers import Workers
from . import calls
from .callers import Caller
from .figures import figures
from .problems import Problem

IN_FORCE_S = 5.0  # a change is answered when all workers have it, or after this
WAIT_MOST_S = 30
EVERYBODY = (Role.OPERATOR, Role.AUDITOR, Role.TENANT_ADMIN)


class NewCredential(msgspec.Struct, forbid_unknown_fields=True):
    """The body that asks for a credential."""

    role: Role
    tenant: Name | None = None
    description: str = ""


class Handlers:
    """One for the API."""

    def __init__(self, service: Service, workers: Workers) -> None:
        self._service, self._workers = service, workers
        self.changed = asyncio.Event()  # replaced at each change: whoever follows the log waits on it
        service.listeners.append(self._on_change)

    def _on_change(self, _: list[Change]) -> None:
        before, self.changed = self.changed, asyncio.Event()
        before.set()

    # Pools and tenants

    async def list_of(self, request: Request, caller: Caller, kind: Kind) -> Response:
        caller.need(*EVERYBODY)
        filters = {"tenant": ("state", "pool"), "credential": ("tenant", "role"), "pool": ()}[kind.value]
        calls.only(request, "limit", "cursor", *filters)
        wanted = {f: request.query_params[f] for f in filters if f in request.query_params}
        for key, allowed in (("state", State), ("role", Role)):
            if key in wanted and wanted[key] not in [x.value for x in allowed]:
                raise Problem(422, f"{key}: must be one of {', '.join(x.value for x in allowed)}")
        limit = calls.number(request, "limit", calls.PAGE, 1, calls.PAGE_MOST)
        rows: list[Resource] = []
        after, more = calls.cursor(request), True
        while more and len(rows) <= limit:  # filters thin out each page
            page = self._service.store.page(kind, after, limit + 1)
            more = len(page) > limit
            after = page[-1].name if page else after
            rows += [r for r in page if _visible(caller, r) and _fits(r, wanted)]
        found: dict[str, Any] = {"items": [calls.shown(r) for r in rows[:limit]]}
        if len(rows) > limit:
            found["next"] = calls.cursor_after(rows[limit - 1].name)
        return calls.as_json(found)

    async def show(self, request: Request, caller: Caller, kind: Kind) -> Response:
        caller.need(*EVERYBODY)
        calls.only(request)
        return calls.answer(self._visible(request, caller, kind))

    async def create(self, request: Request, caller: Caller, kind: Kind) -> Response:
        caller.need(Role.OPERATOR)
        dry, raw, key, again = await self._posted(request, caller)
        if again is not None:
            return again
        body = calls.decode(raw, dict[str, Any])
        name = calls.decode(msgspec.json.encode(body.pop("name", None)), Name)
        spec = _spec(kind, body)
        if isinstance(spec, TenantSpec) and spec.state is State.REMOVING:
            raise Problem(422, "state: a tenant cannot begin by being removed")
        remember = None
        if key is not None and not dry:
            # Of the answer only what is sure beforehand is remembered: a repeat asks for the rest.
            text = msgspec.json.encode({"name": name, **msgspec.to_builtins(spec)})
            remember = key[0], RememberedAnswer(key[1], 201, text)
        made = self._service.create(kind, name, spec, calls.author(request, caller), dry, remember)
        return await self._in_force(made, 200 if dry else 201, dry)

    async def change(self, request: Request, caller: Caller, kind: Kind) -> Response:
        caller.need(Role.OPERATOR)
        calls.only(request, "dry_run")
        dry, wanted = calls.flag(request, "dry_run"), calls.expected(request)
        merge = calls.decode(await calls.body_of(request), dict[str, Any])
        name = calls.name_in(request)
        try:
            changed = self._service.patch(kind, name, merge, wanted, calls.author(request, caller), dry)
        except msgspec.ValidationError as e:
            raise Problem(422, str(e)) from None
        return await self._in_force(changed, 200, dry)

    async def remove(self, request: Request, caller: Caller, kind: Kind) -> Response:
        caller.need(Role.OPERATOR)
        calls.only(request, "dry_run")
        dry, wanted = calls.flag(request, "dry_run"), calls.expected(request)
        gone = self._service.remove(kind, calls.name_in(request), wanted, calls.author(request, caller), dry)
        if kind is Kind.TENANT:
            return await self._in_force(gone, 202, dry)
        await self._all_have(self._service.store.revision, dry)
        return Response(status_code=204)

    # Credentials

    async def issue(self, request: Request, caller: Caller) -> Response:
        caller.need(Role.OPERATOR, Role.TENANT_ADMIN)
        dry, raw, key, again = await self._posted(request, caller)
        if again is not None:
            return again
        asked = calls.decode(raw, NewCredential)
        if caller.role is Role.TENANT_ADMIN and (asked.tenant != caller.tenant or asked.role is not Role.CLIENT):
            raise Problem(403, "a tenant admin makes client credentials of its own tenant")

        def remembered(made: Resource) -> tuple[str, RememberedAnswer]:
            # Without the secret, which is shown once: who lost it removes this one and makes another.
            assert key is not None
            return key[0], RememberedAnswer(key[1], 201, msgspec.json.encode({**calls.shown(made), "secret": None}))

        try:
            made, secret = self._service.issue_credential(
                asked.role,
                asked.tenant,
                asked.description,
                calls.author(request, caller),
                dry,
                remembered if key else None,
            )
        except ValueError as e:
            raise Problem(422, str(e)) from None
        return await self._in_force(made, 200 if dry else 201, dry, secret=None if dry else secret)

    async def revoke(self, request: Request, caller: Caller) -> Response:
        caller.need(Role.OPERATOR, Role.TENANT_ADMIN)
        calls.only(request)
        found = self._visible(request, caller, Kind.CREDENTIAL)
        assert isinstance(found.spec, CredentialSpec)
        if caller.role is Role.TENANT_ADMIN and found.spec.role is not Role.CLIENT:
            raise Problem(403, "a tenant admin removes client credentials only")
        if found.spec.role is Role.OPERATOR and found.name == caller.id:
            raise Problem(409, "an operator cannot remove the credential it calls with")
        self._service.remove(Kind.CREDENTIAL, found.name, calls.expected(request), calls.author(request, caller))
        await self._all_have(self._service.store.revision)
        return Response(status_code=204)

    # The account, the log, the status

    async def usage(self, request: Request, caller: Caller) -> Response:
        caller.need(*EVERYBODY)
        calls.only(request)
        tenant = self._visible(request, caller, Kind.TENANT)
        total = msgspec.to_builtins(self._workers.account.total(tenant.uid))
        total.pop("at")
        return calls.as_json(
            {"tenant": tenant.name, "minutes": self._workers.account.as_json(tenant.uid), "total": total}
        )

    async def events(self, request: Request, caller: Caller) -> Response:
        caller.need(*EVERYBODY)
        calls.only(request, "after", "limit", "wait_s", "kind", "name")
        after = calls.number(request, "after", 0, 0, 2**62)
        limit = calls.number(request, "limit", calls.PAGE, 1, calls.PAGE_MOST)
        wait_s = calls.number(request, "wait_s", 0, 0, WAIT_MOST_S)
        kind, name = request.query_params.get("kind"), request.query_params.get("name")
        if kind is not None and kind not in [k.value for k in Kind]:
            raise Problem(422, f"kind: must be one of {', '.join(k.value for k in Kind)}")

        def fits(c: Change) -> bool:
            return (kind is None or c.kind.value == kind) and (name is None or c.name == name) and _concerns(caller, c)

        loop = asyncio.get_running_loop()
        until = loop.time() + wait_s
        while True:
            changed = self.changed
            rows = self._service.store.changes(after, limit)
            found = [c for c in rows if fits(c)]
            after = rows[-1].revision if rows else after
            if found or (not rows and loop.time() >= until):
                return calls.as_json({"items": [msgspec.to_builtins(c) for c in found], "after": after})
            if not rows:
                try:
                    await asyncio.wait_for(changed.wait(), until - loop.time())
                except TimeoutError:
                    continue

    async def status(self, request: Request, caller: Caller) -> Response:
        caller.need(Role.OPERATOR, Role.AUDITOR)
        calls.only(request)
        return calls.as_json(self.figures())

    def figures(self) -> dict[str, Any]:
        """The service in figures, for the API, the page and the metrics."""
        return figures(self._service.store.revision, self._service.directory, self._workers)

    # Within

    async def _posted(
        self, request: Request, caller: Caller
    ) -> tuple[bool, bytes, tuple[str, str] | None, Response | None]:
        """What every POST has: whether it is dry, its body, its idempotency key, and the first answer if it is a
        repeat."""
        calls.only(request, "dry_run")
        dry = calls.flag(request, "dry_run")
        raw = await calls.body_of(request)
        key = calls.idempotency(request, caller, raw)
        again = calls.repeated(self._service.store.remembered(key[0]), key[1]) if key is not None else None
        return dry, raw, key, again

    def _visible(self, request: Request, caller: Caller, kind: Kind) -> Resource:
        name = calls.name_in(request)
        found = self._service.store.get(kind, name)
        if found is None or not _visible(caller, found):
            raise Problem(404, f"there is no {kind.value} {name}")
        return found

    async def _in_force(self, r: Resource, status: int, dry: bool, **more: Any) -> Response:
        return calls.answer(r, status, in_force=await self._all_have(r.revision, dry), **more)

    async def _all_have(self, revision: int, dry: bool = False) -> bool:
        """Whether all workers that serve have it by now."""
        if dry:
            return False
        try:
            await asyncio.wait_for(self._workers.wait_applied(revision), IN_FORCE_S)
        except TimeoutError:
            return False
        return True


def _spec(kind: Kind, body: dict[str, Any]) -> Spec:
    try:
        return decode_spec(kind, body)
    except msgspec.ValidationError as e:
        raise Problem(422, str(e)) from None


def _visible(caller: Caller, r: Resource) -> bool:
    if isinstance(r.spec, PoolSpec):
        return caller.tenant is None
    if isinstance(r.spec, CredentialSpec):
        return caller.tenant is None or r.spec.tenant == caller.tenant
    return caller.sees_tenant(r.name)


def _concerns(caller: Caller, c: Change) -> bool:
    if caller.tenant is None:
        return True
    owner = (c.after or c.before or {}).get("tenant") if c.kind is Kind.CREDENTIAL else c.name
    return c.kind is not Kind.POOL and owner == caller.tenant


def _fits(r: Resource, wanted: dict[str, str]) -> bool:
    fields = msgspec.to_builtins(r.spec)
    return all(fields.get(k) == v for k, v in wanted.items())
