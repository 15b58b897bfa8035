"""The event loop that watches descriptors: the process's own where one is installed, else the running asyncio loop.

Importing asyncio costs 7 MB and 87 ms of a start. The mesh's processes are priced for both and bring their own loop.
"""

from __future__ import annotations

from collections.abc import Callable
from typing import Any, Protocol

from ..timers import Timer


class EventLoop(Protocol):
    """What streams need of an event loop; asyncio's loops have it."""

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
    """What sets timers: a clock or a reactor."""

    def after(self, delay_us: int, callback: Callable[..., None], *arguments: Any) -> Timer:
        """Schedule `callback(*arguments)` in `delay_us` microseconds."""


_installed: EventLoop | None = None


def install(loop: EventLoop | None) -> None:
    """Make `loop` this process's event loop; None: asyncio's again."""
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
