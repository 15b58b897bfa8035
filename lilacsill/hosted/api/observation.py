"""The handlers of /v1 that only observe: usage, the log of changes, and the status."""

from __future__ import annotations

import asyncio
from typing import Any

import msgspec
from starlette.requests import Request
from starlette.responses import Response

from ..resources import Kind, Role
from ..store.interface import Change
from ..supervisor.service import Service
from ..supervisor.workers import Workers
from . import calls, status
from .callers import Caller
from .problems import Problem
from .visibility import READERS, find_visible, is_change_visible

MAX_WAIT_S = 30
"""Seconds that a reader of the log may wait for a change."""
MAX_REVISION = 2**62


class ObservationHandlers:
    """The handlers that change nothing."""

    def __init__(self, service: Service, workers: Workers) -> None:
        self._service, self._workers = service, workers
        self._changed = asyncio.Event()  # replaced at each change; readers of the log wait for it
        service.listeners.append(self._on_change)

    def _on_change(self, _: list[Change]) -> None:
        changed, self._changed = self._changed, asyncio.Event()
        changed.set()

    async def usage(self, request: Request, caller: Caller) -> Response:
        """Answer with the usage of a tenant in the last hour."""
        caller.need(*READERS)
        calls.only(request)
        tenant = find_visible(self._service.store, caller, Kind.TENANT, calls.name_in(request))
        account = self._workers.account
        total = msgspec.to_builtins(account.total(tenant.uid))
        total.pop("at")
        return calls.json_response({"tenant": tenant.name, "minutes": account.as_json(tenant.uid), "total": total})

    async def events(self, request: Request, caller: Caller) -> Response:
        """Answer with a page of the log; with `wait_s` wait for a change where there is none yet."""
        caller.need(*READERS)
        calls.only(request, "after", "limit", "wait_s", "kind", "name")
        after = calls.number(request, "after", 0, 0, MAX_REVISION)
        limit = calls.number(request, "limit", calls.DEFAULT_PAGE_ITEMS, 1, calls.MAX_PAGE_ITEMS)
        wait_s = calls.number(request, "wait_s", 0, 0, MAX_WAIT_S)
        kind, name = request.query_params.get("kind"), request.query_params.get("name")
        if kind is not None and kind not in [known.value for known in Kind]:
            raise Problem(422, f"kind: must be one of {', '.join(known.value for known in Kind)}")

        def matches(change: Change) -> bool:
            if (kind is not None and change.kind.value != kind) or (name is not None and change.name != name):
                return False
            return is_change_visible(caller, change)

        loop = asyncio.get_running_loop()
        deadline_s = loop.time() + wait_s
        while True:
            changed = self._changed
            rows = self._service.store.changes(after, limit)
            items = [change for change in rows if matches(change)]
            after = rows[-1].revision if rows else after
            if items or (not rows and loop.time() >= deadline_s):
                return calls.json_response({"items": [msgspec.to_builtins(change) for change in items], "after": after})
            if not rows:
                try:
                    await asyncio.wait_for(changed.wait(), deadline_s - loop.time())
                except TimeoutError:
                    continue

    async def status(self, request: Request, caller: Caller) -> Response:
        """Answer with the status of the service."""
        caller.need(Role.OPERATOR, Role.AUDITOR)
        calls.only(request)
        return calls.json_response(self.collect_status())

    def collect_status(self) -> dict[str, Any]:
        """Collect the status, for the API and the metrics."""
        return status.collect_status(self._service.store.revision, self._service.directory, self._workers)
