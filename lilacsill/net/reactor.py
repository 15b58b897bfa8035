"""Selects the event loop of the process: the loop passed to `install`, else the running asyncio loop.

Importing asyncio costs 7 MB of memory and 87 ms of start-up time. Both count as costs of the mesh's processes, which
therefore install an event loop of their own.
"""

from __future__ import annotations

from collections.abc import Callable
from typing import Any, Protocol

from ..timers import Timer


class EventLoop(Protocol):
    """The methods of an event loop that streams use; asyncio's loops provide them."""

    def add_reader(self, fd: int, callback: Callable[..., Any], *args: Any) -> Any:
        """Call `callback(*args)` whenever the descriptor is readable."""

    def remove_reader(self, fd: int) -> Any:
        """Stop watching the descriptor for reading."""

    def add_writer(self, fd: int, callback: Callable[..., Any], *args: Any) -> Any:
        """Call `callback(*args)` whenever the descriptor is writable."""

    def remove_writer(self, fd: int) -> Any:
        """Stop watching the descriptor for writing."""

    def call_soon(self, callback: Callable[..., Any], *args: Any) -> Any:
        """Call `callback(*args)` in the next iteration of the loop."""


class TimerScheduler(Protocol):
    """Schedules timers; implemented by the clock and by the reactor."""

    def after(self, delay_us: int, callback: Callable[..., None], *arguments: Any) -> Timer:
        """Schedule `callback(*arguments)` in `delay_us` microseconds."""


_installed: EventLoop | None = None


def install(loop: EventLoop | None) -> None:
    """Make `loop` the event loop of this process; None restores asyncio's."""
    global _installed
    _installed = loop


def running_loop() -> EventLoop:
    """Return the event loop that runs in this process.

    Raises:
        RuntimeError: No loop is installed and no asyncio loop runs.
    """
    if _installed is not None:
        return _installed
    import asyncio

    return asyncio.get_running_loop()
