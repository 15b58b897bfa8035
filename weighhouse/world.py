"""What a member of the chain needs of its process: a clock, timers, the others, a disk."""
from __future__ import annotations

from collections.abc import Callable
from typing import Any, Protocol

from guild.calls import Answered
from guild.messages import Message
from lilacsill.timers import Timer

from .disk import Done, Save


class World(Protocol):
    def now(self) -> int: ...

    def after(self, delay_us: int, call: Callable[..., None], *arguments: Any) -> Timer: ...

    def call_soon(self, callback: Callable[..., Any], *args: Any) -> None: ...

    def ask(self, address: str, message: Message, timeout_us: int, answered: Answered) -> None: ...

    def save(self, save: Save, done: Done) -> None: ...

    def disk_waits_us(self) -> int: ...
