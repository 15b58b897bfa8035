"""Tracks the share of requests of each kind that a backend has served recently, to prevent starvation. No I/O.

A full backend serves short and urgent work first. Under lasting overload, long or less urgent work would never be
served: its served share would approach zero. A route counts as starved while its share is far below the share of all
requests. The same applies to the requests of one tenant rank on a route: many more urgent tenants would starve the
others.
"""

from __future__ import annotations

from typing import NamedTuple

HALVING_US = 5_000_000  # time in which the weight of a request halves
MIN_ARRIVALS = 10.0  # of a kind; with fewer its share is not significant
STARVATION_THRESHOLD = 0.4  # of the share of all requests; the platform counts less than a quarter as starvation


class DecayingCounts:
    """Exponentially decaying counts of the requests that arrived and of those that were started."""

    __slots__ = ("arrived", "started", "_updated_at")

    def __init__(self) -> None:
        self.arrived = self.started = 0.0
        self._updated_at = 0

    def decay(self, now: int) -> None:
        """Apply the decay since the last update. `now` is in microseconds."""
        factor = 0.5 ** ((now - self._updated_at) / HALVING_US)
        self.arrived *= factor
        self.started *= factor
        self._updated_at = now

    @property
    def share(self) -> float:
        """The share of requests that were started; 1.0 if none has arrived."""
        return self.started / self.arrived if self.arrived else 1.0


class RequestKind(NamedTuple):
    """The requests whose share is tracked together."""

    route: str
    priority: int  # combines tenant and route, as in `Offer`


class ServedShares:
    """The served shares of one backend, by kind of request. Times are in microseconds."""

    def __init__(self) -> None:
        self._all = DecayingCounts()
        self._by_kind: dict[RequestKind, DecayingCounts] = {}

    def record_arrival(self, kind: RequestKind, now: int) -> None:
        """Count a request that needs a slot."""
        counts = self._by_kind.get(kind)
        if counts is None:
            counts = self._by_kind[kind] = DecayingCounts()
        for each in (counts, self._all):
            each.decay(now)
            each.arrived += 1

    def record_start(self, kind: RequestKind) -> None:
        """Count a request that has been given a slot; its arrival must have been recorded."""
        self._by_kind[kind].started += 1
        self._all.started += 1

    def is_starved(self, kind: RequestKind) -> bool:
        """Return whether the served share of a kind is far below that of all requests."""
        counts = self._by_kind.get(kind)
        if counts is None or counts.arrived < MIN_ARRIVALS:
            return False
        return counts.share < STARVATION_THRESHOLD * self._all.share
