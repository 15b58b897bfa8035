"""The agent's clock: monotonic time in integer microseconds, and timers based on it."""

from __future__ import annotations

import asyncio
import logging
import time
from collections.abc import Callable
from typing import Any

from .timers import Timer, TimerWheel

log = logging.getLogger(__name__)


class Clock:
    """Monotonic time, a fixed conversion from wall-clock time, and one timing wheel for all deadlines."""

    def __init__(self) -> None:
        # Fixed at start: if the offset were measured again after a step of the wall clock, the start time of a backend
        # would convert to a different value, and the decision module would treat the backend as a new process.
        self._wall_to_monotonic_us = time.monotonic_ns() // 1000 - time.time_ns() // 1000
        self._wheel = TimerWheel()
        self._loop: asyncio.AbstractEventLoop | None = None
        self._wakeup: asyncio.TimerHandle | None = None
        self._wakeup_at_us = 0

    def now(self) -> int:
        """Return the monotonic time in microseconds."""
        return time.monotonic_ns() // 1000

    def from_unix_ms(self, ms: int) -> int:
        """Convert a wall-clock time in milliseconds since 1970 to this clock's microseconds.

        The same argument always gives the same result. 0 means an unknown time long ago and is returned as 0; no other
        argument gives 0.
        """
        return (ms * 1000 + self._wall_to_monotonic_us or 1) if ms else 0

    def after(self, delay_us: int, callback: Callable[..., None], *arguments: Any) -> Timer:
        """Schedule `callback(*arguments)` on the running event loop.

        The callback runs between `delay_us` microseconds and a millisecond more from now, if the loop is not busy.
        """
        loop = asyncio.get_running_loop()
        if loop is not self._loop:  # pending timers of a previous loop are dropped
            self._loop, self._wheel, self._wakeup = loop, TimerWheel(), None
        at_us = time.monotonic_ns() // 1000 + delay_us
        timer = self._wheel.add(at_us, callback, arguments)
        if self._wakeup is None or at_us < self._wakeup_at_us:
            self._schedule_wakeup()
        return timer

    def _schedule_wakeup(self) -> None:
        due_us = self._wheel.next_due_us
        if due_us is None or (self._wakeup is not None and self._wakeup_at_us <= due_us):
            return
        if self._wakeup is not None:
            self._wakeup.cancel()
        assert self._loop is not None
        # The loop's clock is the same monotonic clock, in seconds.
        self._wakeup, self._wakeup_at_us = self._loop.call_at(due_us / 1e6, self._fire_due), due_us

    def _fire_due(self) -> None:
        self._wakeup = None
        try:
            for timer in self._wheel.pop_due(self.now()):
                try:
                    timer.fire()
                except Exception:  # an exception in one callback must not keep the other timers from firing
                    log.exception("timer callback raised an exception; the other timers still fire")
        finally:
            self._schedule_wakeup()
