"""The phases of an agent's recovery after a start, for operators. No I/O; the caller passes the time in.

An agent is WAITING until a request succeeds, then RETURNING, and STEADY after a window in which nearly all requests
succeeded. The answers decide and not the elapsed time, so that a fleet that is overloaded by retries never counts as
steady. A steady agent goes back to RETURNING after a window with too few successes, or to WAITING after one with none.
"""

from __future__ import annotations

from enum import Enum

WINDOW_US = 1_000_000
STEADY_ENTRY_SHARE = 0.95  # successful answers in a window, from which on a returning agent becomes steady
STEADY_EXIT_SHARE = 0.5  # successful answers in a window, below which an agent is no longer steady
MIN_ANSWERS = 5  # in a window; a window with fewer is ignored


class Phase(Enum):
    """The phase of the recovery."""

    WAITING = "waiting"
    RETURNING = "returning"
    STEADY = "steady"


class PhaseTracker:
    """Derives the phase from the final answers to clients.

    Attributes:
        phase: The current phase.
        since: When it began, in microseconds.
        changes: The time and the new phase of each change; the caller empties the list.
    """

    def __init__(self, now: int) -> None:
        self.phase = Phase.WAITING
        self.since = now
        self.changes: list[tuple[int, Phase]] = []
        self._window_start, self._good, self._answers = now, 0, 0

    def request_answered(self, good: bool, now: int) -> None:
        """Record a final answer to a client; `good` is true for a success."""
        if now - self._window_start >= WINDOW_US:
            self._end_window(now)
        self._good += good
        self._answers += 1
        if good and self.phase is Phase.WAITING:
            self._set_phase(Phase.RETURNING, now)

    def _end_window(self, now: int) -> None:
        if self._answers >= MIN_ANSWERS:
            share = self._good / self._answers
            if self.phase is Phase.RETURNING and share >= STEADY_ENTRY_SHARE:
                self._set_phase(Phase.STEADY, now)
            elif self.phase is Phase.STEADY and share < STEADY_EXIT_SHARE:
                self._set_phase(Phase.RETURNING if self._good else Phase.WAITING, now)
        self._window_start, self._good, self._answers = now, 0, 0

    def _set_phase(self, phase: Phase, now: int) -> None:
        self.phase, self.since = phase, now
        self.changes.append((now, phase))
