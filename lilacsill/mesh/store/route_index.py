"""Index of routes by host and path prefix, with the number of routes that refer to each service. No I/O."""

from __future__ import annotations

from typing import NamedTuple

import msgspec

from lilacsill.mesh.runtime.messages import Item

# Values of `Item.kind`.
ROUTE, SERVICE, LIMITS = "route", "service", "limits"


class RouteMatch(NamedTuple):
    """The requests that a route matches. No two routes have the same match."""

    host: str  # in lower case
    path_prefix: str


# The parts of a route's body that the index needs. The fields are named after the JSON keys.


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
    """The match of one route and the services that it refers to."""

    match: RouteMatch
    services: frozenset[str]


_decoder = msgspec.json.Decoder(_Route)


def references_of(item: Item | None) -> RouteReferences | None:
    """Return the match and the services of a route, or None if the item is not a route or was removed."""
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

    If two routes within a batch have the same match, the route that was changed last wins.
    """

    def __init__(self) -> None:
        self._routes: dict[RouteMatch, str] = {}
        self._reference_counts: dict[str, int] = {}  # by service

    def route_at(self, match: RouteMatch) -> str | None:
        """Return the name of the route with this match, if any."""
        return self._routes.get(match)

    def reference_count(self, service: str) -> int:
        """Return how many routes refer to the service."""
        return self._reference_counts.get(service, 0)

    def replace(self, current: Item | None, item: Item) -> None:
        """Replace an item by a newer version of the same item; `current` is None if there was no earlier version."""
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
