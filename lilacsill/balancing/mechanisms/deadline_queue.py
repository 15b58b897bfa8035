"""Queue of deadlines for a component whose caller owns the clock and the timers."""

from __future__ import annotations

from collections.abc import Callable
from heapq import heappop, heappush
from typing import Any


class DeadlineQueue:
    """Callbacks ordered by due time; callbacks with equal due times run in the order of their addition.

    Attributes:
        armed_at: Due time of the timer that the caller was last requested to set, microseconds; None if that timer
            fired or none was requested.
    """

    def __init__(self) -> None:
        self._count = 0
        self._entries: list[tuple[int, int, Callable[..., None], tuple[Any, ...]]] = []
        self.armed_at: int | None = None

    def add(self, due_at: int, callback: Callable[..., None], *arguments: object) -> None:
        """Schedule a call of the callback with the arguments at `due_at`, microseconds."""
        self._count += 1
        heappush(self._entries, (due_at, self._count, callback, arguments))

    def next_to_arm(self) -> int | None:
        """Return the earliest due time and store it as `armed_at`; None if the queue is empty or a timer covers it."""
        if not self._entries:
            return None
        due_at = self._entries[0][0]
        if self.armed_at is not None and due_at >= self.armed_at:
            return None
        self.armed_at = due_at
        return due_at

    def run_due(self, now: int) -> None:
        """Run every callback that is due, including callbacks that these add with a due time of `now` or earlier."""
        while self._entries and self._entries[0][0] <= now:
            _, _, callback, arguments = heappop(self._entries)
            callback(*arguments)
