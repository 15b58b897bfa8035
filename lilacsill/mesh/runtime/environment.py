"""The interface of protocol code to its process: a clock, timers and requests to other processes.

The programs implement it over their event loop; tests replace it by a simulation in virtual time.
"""

from __future__ import annotations

from collections.abc import Callable
from typing import Any, Protocol

from lilacsill.mesh.runtime.messages import Message
from lilacsill.timers import Timer

OnReply = Callable[[Message | None], None]  # None: there was no reply in time


class Environment(Protocol):
    """Clock, timers and requests of one process. All callbacks run in the same thread."""

    def now(self) -> int:
        """Return the time of a monotonic clock in microseconds."""
        ...

    def after(self, delay_us: int, call: Callable[..., None], *arguments: Any) -> Timer:
        """Call `call` once after the delay, unless the timer is cancelled."""
        ...

    def call_soon(self, callback: Callable[..., Any], *args: Any) -> None:
        """Call `callback` once, after the current callback has returned."""
        ...

    def ask(self, address: str, message: Message, timeout_us: int, on_reply: OnReply) -> None:
        """Send a request. `on_reply` is called once, never before this method returns."""
        ...


def ask_in_time(environment: Environment, address: str, message: Message, timeout_us: int, on_reply: OnReply) -> None:
    """Send a request like `Environment.ask`, but ignore a reply that is read after the time-out.

    A process that was suspended reads the replies in its sockets before its timers run. Use this function where a reply
    states what was true at a time shortly before.
    """
    asked_at = environment.now()

    def check_time(reply: Message | None) -> None:
        on_reply(reply if environment.now() - asked_at <= timeout_us else None)

    environment.ask(address, message, timeout_us, check_time)
