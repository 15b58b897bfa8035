"""A configuration with changes that are not yet applied to it. No I/O.

A draft leaves its base as it is, so changes can be tried and dropped. Drafts can be stacked. Each operation costs as
much as the changes it is about: what they do not name is looked up in the base.
"""

from __future__ import annotations

from collections.abc import Iterable
from typing import NamedTuple, Protocol

from lilacsill.mesh.runtime.messages import Item

from .route_index import RouteMatch, RouteReferences, references_of
from .state import size_of


class Base(Protocol):
    """A configuration that changes are tried on: the state of a copy, or another draft."""

    seq: int  # sequence number of the last change
    size: int  # bytes

    def item(self, kind: str, name: str) -> Item | None:
        """Return the item or its tombstone; None: the name was never used."""

    def route_at(self, match: RouteMatch) -> str | None:
        """Return the name of the route with this match."""

    def reference_count(self, service: str) -> int:
        """Return how many routes refer to the service."""


class MatchConflict(NamedTuple):
    """Two routes with the same host and path prefix."""

    taken_by: str
    route: str


class Draft:
    """A base, and items that take the place of its own."""

    def __init__(self, base: Base) -> None:
        self._base = base
        self.items: dict[tuple[str, str], Item] = {}  # by kind and name, in the order of their sequence numbers
        self._routes: dict[RouteMatch, str | None] = {}  # None: the base's route is no longer there
        self._reference_deltas: dict[str, int] = {}  # by service: routes more than in the base
        self.seq, self.size = base.seq, base.size

    def item(self, kind: str, name: str) -> Item | None:
        """Return the item or its tombstone; None: the name was never used."""
        return self.items.get((kind, name)) or self._base.item(kind, name)

    def route_at(self, match: RouteMatch) -> str | None:
        """Return the name of the route with this match."""
        return self._routes[match] if match in self._routes else self._base.route_at(match)

    def reference_count(self, service: str) -> int:
        """Return how many routes refer to the service."""
        return self._base.reference_count(service) + self._reference_deltas.get(service, 0)

    def put(self, items: Iterable[Item]) -> list[MatchConflict]:
        """Put items into the draft, all at once: routes may exchange their matches.

        Args:
            items: at most one of each name.
        """
        changed = list(items)
        for item in changed:
            current = self.item(item.kind, item.name)
            self._remove_references(item.name, references_of(current))
            self.size += size_of(item) - (0 if current is None else size_of(current))
        conflicts = []
        for item in changed:
            references = references_of(item)
            if references is not None:
                taken_by = self.route_at(references.match)
                if taken_by is not None:
                    conflicts.append(MatchConflict(taken_by, item.name))
                self._add_references(item.name, references)
            self.items.pop((item.kind, item.name), None)  # so that it moves to the end
            self.items[item.kind, item.name] = item
            self.seq = max(self.seq, item.seq)
        return conflicts

    def merge(self, above: Draft) -> None:
        """Take over all changes of a draft whose base is this one."""
        for key, item in above.items.items():
            self.items.pop(key, None)
            self.items[key] = item
        self._routes.update(above._routes)
        for service, delta in above._reference_deltas.items():
            self._reference_deltas[service] = self._reference_deltas.get(service, 0) + delta
        self.seq, self.size = above.seq, above.size

    def _remove_references(self, name: str, references: RouteReferences | None) -> None:
        if references is None:
            return
        if self.route_at(references.match) == name:
            self._routes[references.match] = None
        for service in references.services:
            self._reference_deltas[service] = self._reference_deltas.get(service, 0) - 1

    def _add_references(self, name: str, references: RouteReferences) -> None:
        self._routes[references.match] = name
        for service in references.services:
            self._reference_deltas[service] = self._reference_deltas.get(service, 0) + 1
