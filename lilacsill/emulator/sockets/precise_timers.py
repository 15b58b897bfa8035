"""An event loop whose timers are not rounded up to a millisecond, as those of epoll are."""

from __future__ import annotations

import asyncio
import selectors
from collections.abc import Coroutine
from typing import TypeVar

Result = TypeVar("Result")
RESOLUTION_S = 0.001
"""The resolution of epoll's time-out."""


class PreciseSelector(selectors.EpollSelector):
    """A selector that waits up to the last millisecond before a timer and polls through the rest.

    A job then ends within microseconds of its time. With hundreds of timers a second this keeps one core busy.
    """

    def select(self, timeout: float | None = None) -> list[tuple[selectors.SelectorKey, int]]:
        """Wait for events, and return early by up to `RESOLUTION_S`."""
        if timeout is not None and timeout > 0:
            timeout = 0 if timeout < RESOLUTION_S else timeout - RESOLUTION_S
        return super().select(timeout)


def run_with_precise_timers(main: Coroutine[object, object, Result]) -> Result:
    """Run a coroutine as `asyncio.run` does, on an event loop with precise timers."""
    with asyncio.Runner(loop_factory=lambda: asyncio.SelectorEventLoop(PreciseSelector())) as runner:
        return runner.run(main)
