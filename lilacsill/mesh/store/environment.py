"""What a member of the chain needs of its process: a clock, timers, the others, a disk."""

from __future__ import annotations

from collections.abc import Callable, Iterable
from typing import Any, Protocol

import msgspec

from lilacsill.mesh.runtime.messages import Item, Message
from lilacsill.timers import Timer

Answered = Callable[[Message | None], None]  # None: no answer came
Done = Callable[[], None]


class Save(msgspec.Struct):
    """What is to be on disk together."""

    items: Iterable[Item] = ()
    ranges: Iterable[int] = ()  # in these the items are all that there are
    facts: dict[str, bytes] = {}
    tombstone_floor: int = 0  # tombstones up to this number are collected


class Environment(Protocol):
    def now(self) -> int: ...

    def after(self, delay_us: int, call: Callable[..., None], *arguments: Any) -> Timer: ...

    def call_soon(self, callback: Callable[..., Any], *args: Any) -> None: ...

    def ask(self, address: str, message: Message, timeout_us: int, answered: Answered) -> None: ...

    def save(self, save: Save, done: Done) -> None: ...

    def oldest_save_age_us(self) -> int: ...
