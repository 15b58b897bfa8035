"""A configuration with changes that are not yet applied to it. No I/O.

A draft does not modify its base, so changes can be tried and discarded. Drafts can be stacked. The cost of an operation
depends on the changes it concerns, not on the size of the base: all else is looked up in the base.
"""

from __future__ import annotations

from collections.abc import Iterable
from typing import Protocol

from lilacsill.mesh.runtime.messages import Item
from lilacsill.mesh.tenants.tenant import keys_of

from .owner_index import OwnerOverlay
from .rejections import KeyTaken, MatchTaken
from .route_index import RouteMatch, RouteReferences, references_of
from .state import size_of


class Base(Protocol):
    """The configuration that a draft changes: the state of a replica, or another draft."""

    seq: int  # sequence number of the last change
    size: int  # bytes

    def item(self, kind: str, name: str) -> Item | None:
        """Return the item or its tombstone; None if there is neither."""

    def route_at(self, match: RouteMatch) -> str | None:
        """Return the name of the route with this match; None if there is none."""

    def reference_count(self, service: str) -> int:
        """Return how many routes refer to the service."""

    def key_owner(self, key: bytes) -> str | None:
        """Return the name of the tenant with this key; None if there is none."""


Conflict = MatchTaken | KeyTaken


class Draft:
    """A base, and the items that replace or extend its items."""

    def __init__(self, base: Base) -> None:
        self._base = base
        self.items: dict[tuple[str, str], Item] = {}  # by kind and name, in the order of their sequence numbers
        self._routes: OwnerOverlay[RouteMatch] = OwnerOverlay(base.route_at)
        self._key_owners: OwnerOverlay[bytes] = OwnerOverlay(base.key_owner)
        self._reference_deltas: dict[str, int] = {}  # by service: number of routes added to those in the base
        self.seq, self.size = base.seq, base.size

    def item(self, kind: str, name: str) -> Item | None:
        """Return the item or its tombstone; None if there is neither."""
        return self.items.get((kind, name)) or self._base.item(kind, name)

    def route_at(self, match: RouteMatch) -> str | None:
        """Return the name of the route with this match; None if there is none."""
        return self._routes.owner(match)

    def key_owner(self, key: bytes) -> str | None:
        """Return the name of the tenant with this key; None if there is none."""
        return self._key_owners.owner(key)

    def reference_count(self, service: str) -> int:
        """Return how many routes refer to the service."""
        return self._base.reference_count(service) + self._reference_deltas.get(service, 0)

    def put(self, items: Iterable[Item]) -> list[Conflict]:
        """Put items into the draft atomically, so that routes may exchange their matches and tenants their keys.

        Args:
            items: At most one of each kind and name.

        Returns:
            The matches and keys that are already in use by another item.
        """
        changed = list(items)
        for item in changed:
            current = self.item(item.kind, item.name)
            self._remove_references(item.name, references_of(current))
            self._release_keys(item.name, current)
            self.size += size_of(item) - (0 if current is None else size_of(current))
        conflicts: list[Conflict] = []
        for item in changed:
            conflicts += self._add_references(item.name, references_of(item))
            conflicts += self._assign_keys(item)
            self.items.pop((item.kind, item.name), None)  # removed and added again, so that it moves to the end
            self.items[item.kind, item.name] = item
            self.seq = max(self.seq, item.seq)
        return conflicts

    def merge(self, overlay: Draft) -> None:
        """Add all changes of a draft whose base is this draft."""
        for key, item in overlay.items.items():
            self.items.pop(key, None)
            self.items[key] = item
        self._routes.merge(overlay._routes)
        self._key_owners.merge(overlay._key_owners)
        for service, delta in overlay._reference_deltas.items():
            self._reference_deltas[service] = self._reference_deltas.get(service, 0) + delta
        self.seq, self.size = overlay.seq, overlay.size

    def _remove_references(self, name: str, references: RouteReferences | None) -> None:
        if references is None:
            return
        self._routes.release(references.match, name)
        for service in references.services:
            self._reference_deltas[service] = self._reference_deltas.get(service, 0) - 1

    def _add_references(self, name: str, references: RouteReferences | None) -> list[Conflict]:
        if references is None:
            return []
        for service in references.services:
            self._reference_deltas[service] = self._reference_deltas.get(service, 0) + 1
        taken_by = self._routes.assign(references.match, name)
        return [] if taken_by is None else [MatchTaken(taken_by, name)]

    def _release_keys(self, name: str, current: Item | None) -> None:
        for key in keys_of(current):
            self._key_owners.release(key, name)

    def _assign_keys(self, item: Item) -> list[Conflict]:
        previous = [self._key_owners.assign(key, item.name) for key in keys_of(item)]
        return [KeyTaken(taken_by, item.name) for taken_by in previous if taken_by is not None]
