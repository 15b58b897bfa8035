"""A weight that decays by itself."""

from __future__ import annotations


class DecayingWeight:
    """A count that decays hyperbolically: it halves within its halving time, and ever more slowly after that.

    Attributes:
        since: Clock time of the latest addition, microseconds; 0 if there was none.
        halving_us: Time in which the latest weight halves, microseconds.
    """

    __slots__ = ("_weight", "since", "halving_us")

    def __init__(self) -> None:
        self._weight, self.since, self.halving_us = 0.0, 0, 1

    def value_at(self, now: int) -> float:
        """Return the weight that is left at `now`."""
        return self._weight and self._weight * self.halving_us / (self.halving_us + now - self.since)

    def add(self, now: int, halving_us: int) -> None:
        """Add 1 to what is left of the weight, and decay the sum with this halving time from now on."""
        self._weight, self.since, self.halving_us = self.value_at(now) + 1.0, now, halving_us

    def clear(self) -> None:
        """Set the weight to 0."""
        self._weight = 0.0
