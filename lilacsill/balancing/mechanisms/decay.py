"""A weight that loses its say by itself."""

from __future__ import annotations


class DecayingWeight:
    """A weight that nothing newer has replaced; it halves in `half_us`, then ever slower."""

    __slots__ = ("_weight", "since", "half_life_us")

    def __init__(self) -> None:
        self._weight, self.since, self.half_life_us = 0.0, 0, 1

    def value_at(self, now: int) -> float:
        return self._weight and self._weight * self.half_life_us / (self.half_life_us + now - self.since)

    def add(self, now: int, half_us: int) -> None:
        self._weight, self.since, self.half_life_us = self.value_at(now) + 1.0, now, half_us

    def clear(self) -> None:
        self._weight = 0.0
