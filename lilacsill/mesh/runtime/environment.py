"""What a decision needs of its process: a clock, timers and the links to other processes.

Each program implements it over its event loop; in tests a world in virtual time takes its place.
"""

from __future__ import annotations

from collections.abc import Callable
from typing import Any, Protocol

from lilacsill.mesh.runtime.messages import Message
from lilacsill.timers import Timer

Answered = Callable[[Message | None], None]  # None: no answer came in time


class Environment(Protocol):
    """The surroundings of one process. All callbacks come in one thread."""

    def now(self) -> int:
        """Return the time of a monotonic clock in microseconds."""
        ...

    def after(self, delay_us: int, call: Callable[..., None], *arguments: Any) -> Timer:
        """Call once after the delay, unless the timer is cancelled."""
        ...

    def call_soon(self, callback: Callable[..., Any], *args: Any) -> None:
        """Call once, after the present callback has returned."""
        ...

    def ask(self, address: str, message: Message, timeout_us: int, answered: Answered) -> None:
        """Send a request; `answered` is called once, never from inside this call."""
        ...
