"""A registry's copy of the configuration, and the batches of it that proxies get. No I/O."""

from __future__ import annotations

from itertools import islice
from typing import NamedTuple

from lilacsill.mesh.runtime.messages import Item
from lilacsill.mesh.runtime.sequence import Items, highest_seq, items_after, set_newest, sorted_by_seq

MAX_BATCH_BYTES = 12_000  # in one reply: what takes long on a slow link is requested again before it has arrived
ITEM_OVERHEAD_BYTES = 40  # of an item beyond its body
MAX_TOMBSTONES = 4096  # that are kept
TOMBSTONE_SLACK = 256  # beyond that bound, so that few updates walk over all items


class ConfigBatch(NamedTuple):
    """A part of the configuration."""

    items: list[Item]
    seq: int  # with `items` the receiver has everything up to this sequence number


class ConfigCache:
    """The items that the store has sent.

    Tombstones stay: a proxy that has run for longer than this registry may still hold what was dropped. The newest
    `MAX_TOMBSTONES` are kept. A proxy that missed more drops than that, in one incarnation of it, may keep the oldest.

    Attributes:
        seq: The sequence number up to which the copy is complete.
    """

    def __init__(self) -> None:
        self._items: Items = {}
        self._tombstones = 0
        self.seq = 0

    def apply(self, items: list[Item], seq: int) -> None:
        """Take later changes, which are complete up to that sequence number."""
        ordered = True
        for item in items:
            current = self._items.get((item.kind, item.name))
            if current is not None and current.version >= item.version:
                continue
            ordered = ordered and item.seq >= highest_seq(self._items)
            self._tombstones += (item.body is None) - (current is not None and current.body is None)
            set_newest(self._items, item)
        if not ordered:
            self._items = sorted_by_seq(self._items)
        self.seq = max(self.seq, seq)
        if self._tombstones >= MAX_TOMBSTONES + TOMBSTONE_SLACK:
            self._collect_tombstones()

    def _collect_tombstones(self) -> None:
        tombstones = (key for key, item in self._items.items() if item.body is None)
        for key in list(islice(tombstones, self._tombstones - MAX_TOMBSTONES)):
            del self._items[key]
        self._tombstones = MAX_TOMBSTONES

    def next_batch(self, seq: int) -> ConfigBatch:
        """Return the items that follow a sequence number, up to a bounded size.

        Args:
            seq: What the receiver has; 0: it has nothing, and needs no tombstones.
        """
        batch: list[Item] = []
        size = 0
        for item in items_after(self._items, seq) if seq else self._items.values():
            if not seq and item.body is None:
                continue
            size += ITEM_OVERHEAD_BYTES + len(item.body or b"")
            if size > MAX_BATCH_BYTES and batch:
                return ConfigBatch(batch, batch[-1].seq)
            batch.append(item)
        return ConfigBatch(batch, self.seq)
