"""What a replica needs of its process: a clock, timers, the other machines, a disk.

The real one is `lilacsill.mesh.store.process`; in tests `lilacsill.mesh.simulation.network` takes its place.
"""

from __future__ import annotations

from collections.abc import Callable, Iterable
from typing import Any, Protocol

import msgspec

from lilacsill.mesh.runtime.messages import Item, Message
from lilacsill.timers import Timer

Answered = Callable[[Message | None], None]  # None: no answer came in time
Done = Callable[[], None]


class Save(msgspec.Struct):
    """Changes that reach the disk together or not at all.

    Attributes:
        items: Items to write in place of those of the same kind and name. Where an `operation_floor` is among them, the
            records of operations up to it are deleted (`lilacsill.mesh.store.operation_records`).
        ranges: Ranges of names, see `lilacsill.mesh.store.digests`, in which all items but these are deleted.
        facts: Facts to write, see `lilacsill.mesh.store.facts`.
        tombstone_floor: Tombstones up to this sequence number are deleted.
    """

    items: Iterable[Item] = ()
    ranges: Iterable[int] = ()
    facts: dict[str, bytes] = {}
    tombstone_floor: int = 0


class Environment(Protocol):
    """The surroundings of one replica. All callbacks come in one thread."""

    def now(self) -> int:
        """Return the time of a steady clock in microseconds."""
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

    def save(self, save: Save, done: Done) -> None:
        """Write to disk, in the order of the calls; `done` is called when it is there."""
        ...

    def oldest_save_age_us(self) -> int:
        """Return for how long the oldest save has been pending; 0: none is."""
        ...


def ignore_completion() -> None:
    """Stand in for the callback of a save that nobody waits for."""
