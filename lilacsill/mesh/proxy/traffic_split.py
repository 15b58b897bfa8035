"""Traffic splitting: chooses the service of each request of a route by the configured shares. No I/O.

Each part gets its share of the requests, even if each of many proxies sees only a few. Independent random draws would
deviate by chance: with 300 requests over two equal parts, by more than 0.05 in one of twelve cases (normal
approximation). The fractional parts of multiples of the golden ratio are evenly distributed over the unit interval for
any number of them (Niederreiter, "Random Number Generation and Quasi-Monte Carlo Methods", 1992, chapter 3), so that a
proxy deviates by about one request. Each proxy starts at a random point, so that the first requests of many proxies do
not all go to the same part.
"""

from __future__ import annotations

from bisect import bisect_right
from collections.abc import Sequence
from itertools import accumulate
from random import Random
from typing import NamedTuple

GOLDEN_RATIO_FRACTION = 0.6180339887498949


class TrafficPart(NamedTuple):
    """One service of a split."""

    service: str
    share: float  # not negative; relative to the shares of the other parts


class TrafficSplit:
    """Chooses the service of each request of one route."""

    __slots__ = ("services", "_bounds", "_position")

    def __init__(self, parts: Sequence[TrafficPart]) -> None:
        """Create the split. Parts with share 0 get no requests; at least one share must be positive."""
        weighted = [part for part in parts if part.share > 0]
        self.services = tuple(part.service for part in weighted)
        self._bounds = tuple(accumulate(part.share for part in weighted))
        self._position: float | None = None  # between 0 and 1; None before the first choice

    def choose(self, rng: Random) -> str:
        """Return the service of the next request."""
        if len(self.services) == 1:
            return self.services[0]
        position = rng.random() if self._position is None else (self._position + GOLDEN_RATIO_FRACTION) % 1.0
        self._position = position
        index = bisect_right(self._bounds, position * self._bounds[-1])
        return self.services[min(index, len(self.services) - 1)]  # the position may reach the last bound by rounding
