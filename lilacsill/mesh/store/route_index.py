"""Which route stands at which host and prefix, and how many routes name a service. No I/O."""

from __future__ import annotations

import msgspec

from lilacsill.mesh.runtime.messages import Item

ROUTE, SERVICE, LIMITS = "route", "service", "limits"

RouteMatch = tuple[str, str]  # host in lower case, prefix


class _Share(msgspec.Struct):
    TargetService: str


class _Target(msgspec.Struct):
    TargetService: str | None = None
    TrafficSplit: list[_Share] = []


class _Match(msgspec.Struct):
    PathPrefix: str


class _Rule(msgspec.Struct):
    When: _Match
    Then: _Target


class _Route(msgspec.Struct):
    Host: str
    Rule: _Rule


class RouteReferences(msgspec.Struct, frozen=True):
    """What a route that stands refers to."""

    place: RouteMatch
    services: frozenset[str]


_decoder = msgspec.json.Decoder(_Route)


def references_of(item: Item | None) -> RouteReferences | None:
    """None: it is no route, or dropped."""
    if item is None or item.kind != ROUTE or item.body is None:
        return None
    route = _decoder.decode(item.body)
    target = route.Rule.Then
    services = (
        [target.TargetService] if target.TargetService is not None else [s.TargetService for s in target.TrafficSplit]
    )
    return RouteReferences((route.Host.lower(), route.Rule.When.PathPrefix), frozenset(services))


class RouteIndex:
    """Of the routes that stand in one state; of two that claim one place within a batch, the later change counts."""

    def __init__(self) -> None:
        self._places: dict[RouteMatch, str] = {}
        self._uses: dict[str, int] = {}

    def route_at(self, place: RouteMatch) -> str | None:
        return self._places.get(place)

    def reference_count(self, service: str) -> int:
        return self._uses.get(service, 0)

    def replace(self, held: Item | None, item: Item) -> None:
        """One item is followed by another of the same name."""
        self._release(held)
        references = references_of(item)
        if references is None:
            return
        self._places[references.place] = item.name
        for service in references.services:
            self._uses[service] = self.reference_count(service) + 1

    def _release(self, held: Item | None) -> None:
        references = references_of(held)
        if held is None or references is None:
            return
        if self._places.get(references.place) == held.name:
            del self._places[references.place]
        for service in references.services:
            self._uses[service] -= 1
            if not self._uses[service]:
                del self._uses[service]
