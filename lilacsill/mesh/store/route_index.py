"""Which route matches which host and path prefix, and how many routes refer to a service. No I/O."""

from __future__ import annotations

from typing import NamedTuple

import msgspec

from lilacsill.mesh.runtime.messages import Item

# Values of `Item.kind`.
ROUTE, SERVICE, LIMITS = "route", "service", "limits"


class RouteMatch(NamedTuple):
    """The requests that a route applies to. No two routes have the same one."""

    host: str  # in lower case
    path_prefix: str


# The parts of a route's body that matter here, with the names of their JSON keys.


class _Share(msgspec.Struct, rename="pascal"):
    target_service: str


class _Target(msgspec.Struct, rename="pascal"):
    target_service: str | None = None
    traffic_split: list[_Share] = []


class _Condition(msgspec.Struct, rename="pascal"):
    path_prefix: str


class _Rule(msgspec.Struct, rename="pascal"):
    when: _Condition
    then: _Target


class _Route(msgspec.Struct, rename="pascal"):
    host: str
    rule: _Rule


class RouteReferences(msgspec.Struct, frozen=True):
    """What one route takes and refers to."""

    match: RouteMatch
    services: frozenset[str]


_decoder = msgspec.json.Decoder(_Route)


def references_of(item: Item | None) -> RouteReferences | None:
    """Return what the item refers to, or None if it is no route or was removed."""
    if item is None or item.kind != ROUTE or item.body is None:
        return None
    route = _decoder.decode(item.body)
    target = route.rule.then
    if target.target_service is not None:
        services = frozenset([target.target_service])
    else:
        services = frozenset(share.target_service for share in target.traffic_split)
    return RouteReferences(RouteMatch(route.host.lower(), route.rule.when.path_prefix), services)


class RouteIndex:
    """The routes of one configuration.

    Of two routes with the same match within a batch, the one that was changed last counts.
    """

    def __init__(self) -> None:
        self._routes: dict[RouteMatch, str] = {}
        self._reference_counts: dict[str, int] = {}  # by service

    def route_at(self, match: RouteMatch) -> str | None:
        """Return the name of the route with this match."""
        return self._routes.get(match)

    def reference_count(self, service: str) -> int:
        """Return how many routes refer to the service."""
        return self._reference_counts.get(service, 0)

    def replace(self, current: Item | None, item: Item) -> None:
        """Replace an item by its successor of the same name; `current` None: there was none."""
        self._remove(current)
        references = references_of(item)
        if references is None:
            return
        self._routes[references.match] = item.name
        for service in references.services:
            self._reference_counts[service] = self.reference_count(service) + 1

    def _remove(self, current: Item | None) -> None:
        references = references_of(current)
        if current is None or references is None:
            return
        if self._routes.get(references.match) == current.name:
            del self._routes[references.match]
        for service in references.services:
            self._reference_counts[service] -= 1
            if not self._reference_counts[service]:
                del self._reference_counts[service]
