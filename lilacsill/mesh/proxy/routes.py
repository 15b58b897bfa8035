"""Routes, and matching of requests to routes. No I/O."""

from __future__ import annotations

from typing import Any

import msgspec

from lilacsill.mesh.runtime.messages import Item

from .traffic_split import TrafficPart, TrafficSplit

DEFAULT_TIMEOUT_MS = 60_000
DEFAULT_PRIORITY = 1


class Route(msgspec.Struct, frozen=True):
    """One route of the configuration."""

    name: str
    host: bytes
    prefix: bytes  # of the path
    split: TrafficSplit  # the target services
    is_idempotent: bool
    is_keyed: bool  # its requests are operations that must run only once
    is_public: bool  # its requests need no tenant key
    timeout_us: int
    target_us: int  # latency target; defaults to the timeout
    priority: int  # 0 is the most urgent
    max_attempts: int


def parse_route(item: Item) -> Route:
    """Parse a route item, which the store has validated."""
    assert item.body is not None
    body: dict[str, Any] = msgspec.json.decode(item.body)
    rule = body["Rule"]
    action = rule["Then"]
    parts = action.get("TrafficSplit") or [{"TargetService": action["TargetService"], "Share": 1}]
    timeout_us = int(action.get("TimeoutMs", DEFAULT_TIMEOUT_MS) * 1000)
    return Route(
        name=item.name,
        host=body["Host"].lower().encode(),
        prefix=rule["When"]["PathPrefix"].encode(),
        split=TrafficSplit([TrafficPart(part["TargetService"], part["Share"]) for part in parts]),
        is_idempotent=rule["RouteKind"] == "read_only",
        is_keyed=rule["RouteKind"] == "keyed_write",
        is_public=bool(rule.get("Public", False)),
        timeout_us=timeout_us,
        target_us=int(rule.get("TargetMs", 0) * 1000) or timeout_us,
        priority=int(rule.get("Rank", DEFAULT_PRIORITY)),
        max_attempts=int(action.get("MaxTries", 1)),
    )


class HostRoutes:
    """The routes of one host. Matching takes one lookup per prefix length, whatever the number of routes."""

    __slots__ = ("_by_prefix", "_prefixes_by_length")

    def __init__(self) -> None:
        self._by_prefix: dict[bytes, Route] = {}
        self._prefixes_by_length: dict[int, int] = {}  # number of prefixes by length; the longest first

    def put(self, route: Route) -> None:
        """Add a route. It replaces a route with the same prefix."""
        if route.prefix not in self._by_prefix:
            self._count(len(route.prefix), 1)
        self._by_prefix[route.prefix] = route

    def remove(self, route: Route) -> None:
        """Remove a route, unless another route has replaced it."""
        if self._by_prefix.get(route.prefix) is route:
            del self._by_prefix[route.prefix]
            self._count(len(route.prefix), -1)

    def _count(self, length: int, difference: int) -> None:
        counts = self._prefixes_by_length
        count = counts.get(length, 0) + difference
        if not count:
            del counts[length]
        elif length in counts:
            counts[length] = count
        else:
            self._prefixes_by_length = dict(sorted({**counts, length: count}.items(), reverse=True))

    def match(self, path: bytes) -> Route | None:
        """Return the route with the longest prefix that matches the path; None if no route matches."""
        for length in self._prefixes_by_length:
            route = self._by_prefix.get(path[:length])
            if route is not None:
                return route
        return None

    def __bool__(self) -> bool:
        return bool(self._by_prefix)
