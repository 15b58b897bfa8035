"""The one clock: monotonic, in integer microseconds."""
from __future__ import annotations

import time


class Clock:
    """Monotonic time, and wall-clock times put on it with one offset."""

    def __init__(self) -> None:
        # Fixed at start: were it taken anew, a step of the wall clock would make one start time look like
        # two, and the module would take a running backend for a new process.
        self._offset = time.monotonic_ns() // 1000 - time.time_ns() // 1000

    def now(self) -> int:
        return time.monotonic_ns() // 1000

    def from_unix_ms(self, ms: int) -> int:
        """The same value always gives the same time; 0 (long ago) stays 0, and nothing else becomes 0."""
        return (ms * 1000 + self._offset or 1) if ms else 0
