"""Deadlines of one event loop that is fed from outside: what is due is called, and the next one is named."""

from __future__ import annotations

from collections.abc import Callable
from heapq import heappop, heappush
from typing import Any


class DeadlineQueue:
    """Calls by their times, in integer microseconds; equal times in the order in which they came."""

    def __init__(self) -> None:
        self._count = 0
        self._due: list[tuple[int, int, Callable[[Any], None], Any]] = []
        self.armed = 0  # the time that was last named; 0: none

    def add(self, at: int, call: Callable[[Any], None], what: Any) -> None:
        self._count += 1
        heappush(self._due, (at, self._count, call, what))

    def unnamed(self) -> int:
        """The earliest time, if it is earlier than the one last named, which it becomes; else 0."""
        if not self._due or (self.armed and self._due[0][0] >= self.armed):
            return 0
        self.armed = self._due[0][0]
        return self.armed

    def run(self, now: int) -> None:
        """Call all that is due, and what falls due by that."""
        while self._due and self._due[0][0] <= now:
            _, _, call, what = heappop(self._due)
            call(what)
