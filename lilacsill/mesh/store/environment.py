"""The interface that a replica needs from its process: a clock, timers, requests to other machines, a disk.

It is implemented by `lilacsill.mesh.store.local_environment`, and for tests by `lilacsill.mesh.simulation.network`.
"""

from __future__ import annotations

from collections.abc import Callable, Iterable
from typing import Protocol

import msgspec

from lilacsill.mesh.runtime.environment import Environment
from lilacsill.mesh.runtime.messages import Item

Done = Callable[[], None]


class Save(msgspec.Struct):
    """Changes that are written to disk atomically.

    Attributes:
        items: Items to write; they replace those of the same kind and name. If one is an `operation_floor`, the
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
    """The environment of one replica: that of any process, and a disk."""

    def save(self, save: Save, done: Done) -> None:
        """Write to disk, in the order of the calls; `done` is called once the changes are on disk."""
        ...

    def oldest_save_age_us(self) -> int:
        """Return for how many microseconds the oldest save has been pending; 0 if there is none."""
        ...


def ignore_completion() -> None:
    """Do nothing: the callback of a save whose completion nothing waits for."""
