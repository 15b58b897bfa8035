"""Draining of client connections: one mechanism for an operator's drain and for the stop of the process."""

from __future__ import annotations

import asyncio
from collections.abc import Callable
from dataclasses import dataclass

POLL_S = 0.01  # interval at which idle connections are looked for


@dataclass(slots=True, frozen=True)
class DrainTimes:
    """The stages of a stop, in seconds from its start."""

    idle_s: float  # when the closing of idle connections begins
    serve_s: float  # until when new connections are served
    end_s: float  # when all requests in flight fail


class Drain:
    """While a drain is active, answers close their connection and idle connections are closed.

    A request can cross the close of an idle connection, and none can cross an answer that announces the close: the
    longer `idle_s`, the more connections end by their answer.
    """

    def __init__(self, close_idle: Callable[[], None]) -> None:
        self._close_idle = close_idle
        self._loop = asyncio.get_running_loop()
        self._next: asyncio.TimerHandle | None = None
        self._is_final = False

    @property
    def is_active(self) -> bool:
        """Whether connections are being drained."""
        return self._next is not None

    def begin(self, idle_s: float, final: bool = False) -> None:
        """Start to drain, or do nothing where a drain is active and this is not the final one.

        Args:
            idle_s: After how many seconds the closing of idle connections begins.
            final: Whether the process is about to end: the drain restarts with these times, and `cancel` has no effect.
        """
        if self.is_active and not final:
            return
        self.stop()
        self._is_final = self._is_final or final
        self._next = self._loop.call_later(idle_s, self._poll)

    def cancel(self) -> None:
        """End the drain, so that clients may stay; has no effect on the final one."""
        if not self._is_final:
            self.stop()

    def stop(self) -> None:
        """End the drain, whichever it is."""
        if self._next is not None:
            self._next.cancel()
            self._next = None

    def _poll(self) -> None:
        self._next = self._loop.call_later(POLL_S, self._poll)
        self._close_idle()
