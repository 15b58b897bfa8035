"""Weight that decays over time."""

from __future__ import annotations


class DecayingWeight:
    """A count with hyperbolic decay: it halves within its halving time and decays ever more slowly after that.

    Attributes:
        since: Clock time of the latest addition, microseconds; 0 if there is none.
        halving_us: Time from `since` until the weight has halved, microseconds.
    """

    __slots__ = ("_weight", "since", "halving_us")

    def __init__(self) -> None:
        self._weight, self.since, self.halving_us = 0.0, 0, 1

    def value_at(self, now: int) -> float:
        """Return the decayed weight at `now`."""
        return self._weight and self._weight * self.halving_us / (self.halving_us + now - self.since)

    def add(self, now: int, halving_us: int) -> None:
        """Add 1 to the decayed weight; the sum decays with the new halving time from `now` on."""
        self._weight, self.since, self.halving_us = self.value_at(now) + 1.0, now, halving_us

    def clear(self) -> None:
        """Set the weight to 0."""
        self._weight = 0.0
