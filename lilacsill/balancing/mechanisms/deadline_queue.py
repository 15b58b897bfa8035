"""A queue of deadlines for an event loop whose clock and timers belong to the caller."""

from __future__ import annotations

from collections.abc import Callable
from heapq import heappop, heappush
from typing import Any


class DeadlineQueue:
    """Callbacks by due time; equal times run in the order in which they were added.

    Attributes:
        armed_at: Due time that the caller has last been asked to set a timer for, microseconds; None if that timer
            has fired or none was asked for.
    """

    def __init__(self) -> None:
        self._count = 0
        self._entries: list[tuple[int, int, Callable[..., None], tuple[Any, ...]]] = []
        self.armed_at: int | None = None

    def add(self, due_at: int, callback: Callable[..., None], *arguments: object) -> None:
        """Call the callback with the arguments at `due_at`, microseconds."""
        self._count += 1
        heappush(self._entries, (due_at, self._count, callback, arguments))

    def next_to_arm(self) -> int | None:
        """Return the earliest due time, which becomes `armed_at`, or None if an armed timer covers it already."""
        if not self._entries:
            return None
        due_at = self._entries[0][0]
        if self.armed_at is not None and due_at >= self.armed_at:
            return None
        self.armed_at = due_at
        return due_at

    def run_due(self, now: int) -> None:
        """Run every callback that is due, including those that become due on the way."""
        while self._entries and self._entries[0][0] <= now:
            _, _, callback, arguments = heappop(self._entries)
            callback(*arguments)
