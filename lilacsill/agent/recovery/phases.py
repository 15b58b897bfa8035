"""The phases of an agent's return after a start, for operators. No I/O; the caller passes the time in.

An agent is waiting until a backend has answered, then returning, and steady once nearly all requests of a window were
answered. The answers decide and not the time, so that a fleet that is overloaded by retries is never called steady. A
steady agent whose backends answer hardly any request is waiting or returning again.
"""

from __future__ import annotations

from enum import Enum

WINDOW_US = 1_000_000
STEADY_SHARE = 0.95  # of good answers in a window, from which on an agent is steady
LOST_SHARE = 0.5  # of good answers in a window, below which it is no longer
MIN_ANSWERS = 5  # in a window that counts


class Phase(Enum):
    """How far the return is."""

    WAITING = "waiting"
    RETURNING = "returning"
    STEADY = "steady"


class PhaseTracker:
    """Derives the phase from the final answers.

    Attributes:
        phase: The current phase.
        since: When it began, in microseconds.
        changes: The time and phase of each change; the caller empties it.
    """

    def __init__(self, now: int) -> None:
        self.phase = Phase.WAITING
        self.since = now
        self.changes: list[tuple[int, Phase]] = []
        self._window_start, self._good, self._answers = now, 0, 0

    def request_answered(self, good: bool, now: int) -> None:
        """Note a final answer to a client."""
        if now - self._window_start >= WINDOW_US:
            self._end_window(now)
        self._good += good
        self._answers += 1
        if good and self.phase is Phase.WAITING:
            self._set_phase(Phase.RETURNING, now)

    def _end_window(self, now: int) -> None:
        if self._answers >= MIN_ANSWERS:
            share = self._good / self._answers
            if self.phase is Phase.RETURNING and share >= STEADY_SHARE:
                self._set_phase(Phase.STEADY, now)
            elif self.phase is Phase.STEADY and share < LOST_SHARE:
                self._set_phase(Phase.RETURNING if self._good else Phase.WAITING, now)
        self._window_start, self._good, self._answers = now, 0, 0

    def _set_phase(self, phase: Phase, now: int) -> None:
        self.phase, self.since = phase, now
        self.changes.append((now, phase))
