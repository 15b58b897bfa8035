"""Evidence: what the end of an attempt says, and until when it is believed; docs/design.md has the table."""
from __future__ import annotations

from ..interface import AttemptEnded, Outcome

LEAVES_WORK = frozenset({Outcome.TIMEOUT, Outcome.RESET, Outcome.CANCELLED})
AT_ONCE = frozenset({Outcome.REJECTED, Outcome.ERROR, Outcome.CONNECT_FAILED, Outcome.RESET})
FULL = 1.5  # a server that holds fewer than this has no reason to be full
VOTES = 64  # of the latest values; so many others make another one the usual


def tells_full(e: AttemptEnded, column: int, mean: float) -> bool:
    """Turned away by one that says it holds what the others do, it is load; one that holds nothing is ill."""
    return (e.outcome is Outcome.REJECTED and 0 <= column < len(e.report)
            and e.report[column] >= max(FULL, mean))


def usual(votes: list[int], value: int) -> int:
    """The value most of the latest had, by majority vote (Boyer and Moore, 1981); 0: none is sure."""
    votes[1] = min(VOTES, votes[1] + (1 if value == votes[0] else -1))
    if votes[1] < 0:
        votes[:] = [value, 1]
    return votes[0] if votes[1] >= VOTES // 8 else 0


class Fading:
    """A weight that nothing newer has replaced; it halves in `half_us`, then ever slower."""

    __slots__ = ("_weight", "since", "half_us")

    def __init__(self) -> None:
        self._weight, self.since, self.half_us = 0.0, 0, 1

    def at(self, now: int) -> float:
        return self._weight and self._weight * self.half_us / (self.half_us + now - self.since)

    def add(self, now: int, half_us: int) -> None:
        self._weight, self.since, self.half_us = self.at(now) + 1.0, now, half_us

    def clear(self) -> None:
        self._weight = 0.0
