"""Which share of the requests of each kind a backend takes lately, so that no kind starves. No I/O.

A full backend takes short and urgent work first. Under lasting overload, long or less urgent work would never have a
turn: its share of accepted requests would go towards none. A route counts as starved while that share is far below the
share of all requests together. The same holds for the part of a route that one rank of tenants sends: where many
tenants are more urgent, the others would have no turn.
"""

from __future__ import annotations

from typing import NamedTuple

HALVING_US = 5_000_000  # after which a request counts half
MIN_ARRIVALS = 10.0  # of a route; with fewer its share says little
STARVED_BELOW = 0.4  # of the share of all requests; the platform takes less than a quarter for starvation


class FadingCounts:
    """Requests that arrived and that were started; older ones count less."""

    __slots__ = ("arrived", "started", "_updated_at")

    def __init__(self) -> None:
        self.arrived = self.started = 0.0
        self._updated_at = 0

    def fade(self, now: int) -> None:
        """Let the counts fade up to `now`, in microseconds."""
        factor = 0.5 ** ((now - self._updated_at) / HALVING_US)
        self.arrived *= factor
        self.started *= factor
        self._updated_at = now

    @property
    def share(self) -> float:
        """The share that was started; 1.0 where none has arrived."""
        return self.started / self.arrived if self.arrived else 1.0


class RequestKind(NamedTuple):
    """Requests that have one share."""

    route: str
    priority: int  # of tenant and route, as in `Offer`


class ServedShares:
    """The shares of the kinds of requests of one backend. Times are microseconds."""

    def __init__(self) -> None:
        self._all = FadingCounts()
        self._by_kind: dict[RequestKind, FadingCounts] = {}

    def record_arrival(self, kind: RequestKind, now: int) -> None:
        """Count a request that asks for a slot."""
        counts = self._by_kind.get(kind)
        if counts is None:
            counts = self._by_kind[kind] = FadingCounts()
        for each in (counts, self._all):
            each.fade(now)
            each.arrived += 1

    def record_start(self, kind: RequestKind) -> None:
        """Count a request that gets a slot; it has arrived before."""
        self._by_kind[kind].started += 1
        self._all.started += 1

    def is_starved(self, kind: RequestKind) -> bool:
        """Return whether the requests of a kind have a far smaller share than all."""
        counts = self._by_kind.get(kind)
        if counts is None or counts.arrived < MIN_ARRIVALS:
            return False
        return counts.share < STARVED_BELOW * self._all.share
