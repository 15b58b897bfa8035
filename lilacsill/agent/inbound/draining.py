"""Draining of client connections, both at an operator's request and before the process stops."""

from __future__ import annotations

import asyncio
from collections.abc import Callable
from dataclasses import dataclass

POLL_S = 0.01  # interval at which idle connections are closed


@dataclass(slots=True, frozen=True)
class DrainTimes:
    """The stages of a graceful shutdown, in seconds from its start."""

    idle_s: float  # from when idle connections are closed
    serve_s: float  # until when new connections are accepted in any case
    end_s: float  # when all remaining requests in flight fail


class Drain:
    """While a drain is active, connections are closed after their response, and idle connections are closed.

    A request can be in transit when an idle connection is closed, but not when a response announces the close. The
    longer `idle_s`, the more connections are closed by a response.
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
        """Start to drain. Does nothing if a drain is active and this is not the final one.

        Args:
            idle_s: Delay in seconds before idle connections are closed.
            final: Whether the process is about to stop: the drain restarts with this delay and cannot be cancelled.
        """
        if self.is_active and not final:
            return
        self.stop()
        self._is_final = self._is_final or final
        self._next = self._loop.call_later(idle_s, self._poll)

    def cancel(self) -> None:
        """End the drain, so that connections stay open; has no effect on the final drain."""
        if not self._is_final:
            self.stop()

    def stop(self) -> None:
        """End the drain, even the final one."""
        if self._next is not None:
            self._next.cancel()
            self._next = None

    def _poll(self) -> None:
        self._next = self._loop.call_later(POLL_S, self._poll)
        self._close_idle()
