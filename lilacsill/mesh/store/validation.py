"""Validates a call against the current configuration and applies it to a draft. No I/O.

A change that was accepted before is detected first and is not validated against the current configuration: since then
its service may have been removed, its host and path prefix may be used by another route, or its key by another tenant.
"""

from __future__ import annotations

from typing import Any

import msgspec
from returns.result import Failure, Result, Success

from lilacsill.mesh.runtime.messages import Item

from .accepted_changes import ChangeKind, classify_change, with_new_version, with_recorded_version
from .calls import Call, Change
from .draft import Base, Draft
from .rejections import Rejection, ServiceInUse, UnknownService, VersionConflict, VersionForgotten
from .route_index import ROUTE, SERVICE


def is_success(outcome: Result[Any, Any]) -> bool:
    """Return whether the outcome is a `Success`, for callers that do not import `returns`."""
    return isinstance(outcome, Success)


def apply_call(base: Base, call: Call) -> Result[Draft, Rejection]:
    """Apply all changes of a call, or none.

    The cost depends on the length of the call, not on the size of the base.

    Returns:
        A draft with the changes on top of the base; it contains no items if all changes were accepted before.
    """
    newer: Call = []
    superseded: Call = []
    for change in call:
        current = base.item(change.kind, change.name)
        current_version = change.version if current is None else current.version
        kind = classify_change(current, change.version, change.body)
        if kind is ChangeKind.CONFLICT:
            return Failure(VersionConflict(change.kind, change.name, change.version, current_version))
        if kind is ChangeKind.FORGOTTEN:
            return Failure(VersionForgotten(change.kind, change.name, change.version, current_version))
        if kind is ChangeKind.NEWER:
            newer.append(change)
        elif kind is ChangeKind.SUPERSEDED:
            superseded.append(change)
    draft = Draft(base)
    rejection = _put_newer(draft, newer) or _check_superseded(base, draft, superseded)
    if rejection is not None:
        return Failure(rejection)
    _record_superseded(base, draft, superseded)
    return Success(draft)


def _put_newer(draft: Draft, newer: Call) -> Rejection | None:
    """Put the changes into the draft and check their references against it."""
    items = []
    for seq, change in enumerate(newer, draft.seq + 1):
        body = None if change.body is None else msgspec.json.encode(change.body)
        current = draft.item(change.kind, change.name)
        items.append(with_new_version(current, change.kind, change.name, change.version, seq, body))
    for conflict in draft.put(items):
        return conflict
    for change in newer:
        rejection = _check_references(draft, change)
        if rejection is not None:
            return rejection
    return None


def _check_references(draft: Draft, change: Change) -> Rejection | None:
    """Check that the services of a route exist, and that a removed service is not referred to by routes."""
    if change.kind == ROUTE and change.body is not None:
        for service in _services_of(change.body):
            if not _exists(draft.item(SERVICE, service)):
                return UnknownService(change.name, service)
    if change.kind == SERVICE and change.body is None:
        route_count = draft.reference_count(change.name)
        if route_count:
            return ServiceInUse(change.name, route_count)
    return None


def _check_superseded(base: Base, draft: Draft, superseded: Call) -> Rejection | None:
    """Check changes that are too old to take effect, because an invalid change must never be acknowledged.

    The services that they refer to must have existed at some time or be part of the call.
    """
    for change in superseded:
        if change.kind != ROUTE or change.body is None:
            continue
        for service in _services_of(change.body):
            if base.item(SERVICE, service) is None and not _exists(draft.item(SERVICE, service)):
                return UnknownService(change.name, service)
    return None


def _record_superseded(base: Base, draft: Draft, superseded: Call) -> None:
    """Record the contents of superseded changes, so that no later call can use the same version for other content."""
    for change in superseded:
        current = base.item(change.kind, change.name)
        assert current is not None
        draft.put([with_recorded_version(current, change.version, change.body, draft.seq + 1)])


def _exists(item: Item | None) -> bool:
    return item is not None and item.body is not None


def _services_of(route: dict[str, Any]) -> list[str]:
    """Return the services that a route with this body refers to."""
    target = route["Rule"]["Then"]
    if "TargetService" in target:
        return [target["TargetService"]]
    return [part["TargetService"] for part in target["TrafficSplit"]]
