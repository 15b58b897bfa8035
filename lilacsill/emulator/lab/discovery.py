"""Discovery in the lab: one service for all agents, with limited capacity.

It serves calls in order, and rejects those that would wait longer than a call may take.
"""

from __future__ import annotations

from collections import Counter
from collections.abc import Callable
from dataclasses import dataclass, field

from .environment import SECOND, VirtualTime


@dataclass(slots=True)
class Discovery:
    """The service; with `lines_per_s` of 0 it answers every call at once."""

    time: VirtualTime
    lines_per_s: float = 0.0
    call_lines: int = 30
    """The cost of a call, in lines, beside the entries of its answer."""
    timeout_us: int = SECOND
    revision: int = 0
    changes: list[int] = field(default_factory=list)
    """How many entries each revision changed."""
    calls: Counter[int] = field(default_factory=Counter)
    """By second."""
    rejections: Counter[int] = field(default_factory=Counter)
    """Rejected calls by second."""
    lines: Counter[int] = field(default_factory=Counter)
    """By second."""
    _free_at: int = 0
    _watches: list[tuple[int, Callable[[bool], None]]] = field(default_factory=list)

    def add_revision(self, entries: int) -> None:
        """Change so many entries of the list, and answer all watches in order."""
        self.revision += 1
        self.changes.append(entries)
        watches, self._watches = self._watches, []
        for known, done in watches:
            self._answer(known, done)

    def watch(self, known: int, done: Callable[[bool], None]) -> None:
        """Accept a call that waits for a revision above `known`.

        Args:
            known: The revision that the caller has seen.
            done: Gets True with the answer, or False where the call was rejected.
        """
        self.calls[self._second()] += 1
        if not self._reserve(self.call_lines):
            self._reject(done)
        elif known < self.revision:
            self._answer(known, done)
        else:
            self._watches.append((known, done))

    def _answer(self, known: int, done: Callable[[bool], None]) -> None:
        entries = sum(self.changes[known:])
        if not self._reserve(entries):
            self._reject(done)
            return
        self.lines[self._second()] += entries
        self.time.after(max(0, self._free_at - self.time.now), lambda: done(True))

    def _reject(self, done: Callable[[bool], None]) -> None:
        self.rejections[self._second()] += 1
        self.time.after(self.timeout_us, lambda: done(False))

    def _reserve(self, lines: int) -> bool:
        """Reserve the capacity for so many lines behind the calls that wait; return False where they wait too long.

        A rejected call costs its reading.
        """
        now = self.time.now
        if not self.lines_per_s:
            return True
        begin = max(now, self._free_at)
        end = begin + int(lines / self.lines_per_s * SECOND)
        if end - now > self.timeout_us:
            reading_us = int(self.call_lines / self.lines_per_s * SECOND)
            self._free_at = min(begin + reading_us, now + self.timeout_us)
            return False
        self._free_at = end
        return True

    def _second(self) -> int:
        return (self.time.now - self.time.start) // SECOND
