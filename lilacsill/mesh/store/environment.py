"""What a replica needs of its process: a clock, timers, the other machines, a disk.

The real one is `lilacsill.mesh.store.process`; in tests `lilacsill.mesh.simulation.network` takes its place.
"""

from __future__ import annotations

from collections.abc import Callable, Iterable
from typing import Protocol

import msgspec

from lilacsill.mesh.runtime.environment import Environment
from lilacsill.mesh.runtime.messages import Item

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


class ReplicaEnvironment(Environment, Protocol):
    """The surroundings of one replica: those of any process, and a disk."""

    def save(self, save: Save, done: Done) -> None:
        """Write to disk, in the order of the calls; `done` is called when it is there."""
        ...

    def oldest_save_age_us(self) -> int:
        """Return for how long the oldest save has been pending; 0: none is."""
        ...


def ignore_completion() -> None:
    """Stand in for the callback of a save that nobody waits for."""
