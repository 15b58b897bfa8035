"""Deadlines of one event loop that is fed from outside: what is due is called, and the next one is named."""

from __future__ import annotations

from collections.abc import Callable
from heapq import heappop, heappush
from typing import Any


class DeadlineQueue:
    """Calls by their times, in integer microseconds; equal times in the order in which they came."""

    def __init__(self) -> None:
        self._count = 0
        self._entries: list[tuple[int, int, Callable[[Any], None], Any]] = []
        self.armed_at = 0  # the time that was last named; 0: none

    def add(self, at: int, call: Callable[[Any], None], what: Any) -> None:
        self._count += 1
        heappush(self._entries, (at, self._count, call, what))

    def next_to_arm(self) -> int:
        """The earliest time, if it is earlier than the one last named, which it becomes; else 0."""
        if not self._entries or (self.armed_at and self._entries[0][0] >= self.armed_at):
            return 0
        self.armed_at = self._entries[0][0]
        return self.armed_at

    def run_due(self, now: int) -> None:
        """Call all that is due, and what falls due by that."""
        while self._entries and self._entries[0][0] <= now:
            _, _, call, what = heappop(self._entries)
            call(what)
