"""Changes that are tried on top of a state, or of another draft, without touching it. No I/O.

Its cost is that of the changes: whatever they do not name is looked up below.
"""

from __future__ import annotations

from collections.abc import Iterable
from typing import Protocol

from lilacsill.mesh.runtime.messages import Item

from .route_index import RouteMatch, RouteReferences, references_of
from .state import size_of


class Base(Protocol):
    """What changes are tried on."""

    seq: int
    size: int

    def item(self, kind: str, name: str) -> Item | None: ...

    def route_at(self, place: RouteMatch) -> str | None: ...

    def reference_count(self, service: str) -> int: ...


class Draft:
    """The base with these items in place of its own."""

    def __init__(self, base: Base) -> None:
        self._base = base
        self.items: dict[tuple[str, str], Item] = {}
        self._places: dict[RouteMatch, str | None] = {}
        self._uses: dict[str, int] = {}  # routes more than below
        self.seq, self.size = base.seq, base.size

    def item(self, kind: str, name: str) -> Item | None:
        return self.items.get((kind, name)) or self._base.item(kind, name)

    def route_at(self, place: RouteMatch) -> str | None:
        return self._places[place] if place in self._places else self._base.route_at(place)

    def reference_count(self, service: str) -> int:
        return self._base.reference_count(service) + self._uses.get(service, 0)

    def put(self, items: Iterable[Item]) -> list[tuple[str, str]]:
        """All at once, each name once: routes may exchange their places. Returns pairs of routes at one place."""
        changed = list(items)
        for item in changed:
            held = self.item(item.kind, item.name)
            self._release(item.name, references_of(held))
            self.size += size_of(item) - (0 if held is None else size_of(held))
        conflicts = []
        for item in changed:
            references = references_of(item)
            if references is not None:
                other = self.route_at(references.place)
                if other is not None:
                    conflicts.append((other, item.name))
                self._occupy(item.name, references)
            self.items.pop((item.kind, item.name), None)  # so that they stand in the order of their numbers
            self.items[item.kind, item.name] = item
            self.seq = max(self.seq, item.seq)
        return conflicts

    def merge(self, above: Draft) -> None:
        """What was tried on top of this draft becomes part of it."""
        for key, item in above.items.items():
            self.items.pop(key, None)
            self.items[key] = item
        self._places.update(above._places)
        for service, more in above._uses.items():
            self._uses[service] = self._uses.get(service, 0) + more
        self.seq, self.size = above.seq, above.size

    def _release(self, name: str, references: RouteReferences | None) -> None:
        if references is None:
            return
        if self.route_at(references.place) == name:
            self._places[references.place] = None
        for service in references.services:
            self._uses[service] = self._uses.get(service, 0) - 1

    def _occupy(self, name: str, references: RouteReferences) -> None:
        self._places[references.place] = name
        for service in references.services:
            self._uses[service] = self._uses.get(service, 0) + 1
