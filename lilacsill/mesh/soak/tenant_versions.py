"""Which versions of a tenant may be in force for a request. No I/O."""

from __future__ import annotations

from collections import defaultdict

from .connectivity import Connectivity
from .observations import ClientRequest, ItemChange, ItemKind, Record
from .timing_bounds import TimingBounds


def keys_of(change: ItemChange) -> list[str]:
    """Return the keys of a version of a tenant."""
    return [] if change.item is None else list(change.item["ApiKeys"])


class TenantVersions:
    """All versions of all tenants, in ascending order."""

    def __init__(self, record: Record, connectivity: Connectivity, bounds: TimingBounds) -> None:
        self._connectivity, self._bounds = connectivity, bounds
        self._versions: dict[str, list[ItemChange]] = defaultdict(list)
        for change in sorted(record.changes, key=lambda change: change.version):
            if change.kind is ItemKind.TENANT:
                self._versions[change.name].append(change)

    def of(self, tenant: str) -> list[ItemChange]:
        """Return all versions of a tenant."""
        return self._versions.get(tenant, [])

    def was_ever_known(self, credential: str) -> bool:
        """Return whether any version of any tenant has a key."""
        return any(credential in keys_of(change) for changes in self._versions.values() for change in changes)

    def in_force(self, request: ClientRequest) -> list[ItemChange]:
        """Return the versions of the request's tenant that a machine in touch may have used for it."""
        possible = [change for change in self.of(request.tenant) if change.sent_at <= request.ended_at]
        overdue = [change.version for change in possible if self._is_overdue(change, request)]
        oldest = max(overdue, default=0)
        return [change for change in possible if change.version >= oldest]

    def has_certain_version(self, request: ClientRequest) -> bool:
        """Return whether some version of the tenant must be in force for a request."""
        return any(self._is_overdue(change, request) for change in self.of(request.tenant))

    def _is_overdue(self, change: ItemChange, request: ClientRequest) -> bool:
        """Return whether a change must be in force where the request is handled, if that machine is calm."""
        if change.acknowledged_at is None:
            return False
        due_at = change.acknowledged_at + self._bounds.config_within_us
        if request.sent_at > due_at and self._connectivity.is_core_stable(request.sent_at, request.ended_at):
            return True
        is_stretched_over = request.sent_at > due_at + self._bounds.stretch_us
        return is_stretched_over and self._connectivity.has_core_majority(change.acknowledged_at, request.ended_at)
