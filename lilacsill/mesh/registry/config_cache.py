"""A registry's copy of the configuration, and the batches in which it is sent to proxies. Does no I/O."""

from __future__ import annotations

from itertools import islice
from typing import NamedTuple

from lilacsill.mesh.runtime.messages import Item
from lilacsill.mesh.runtime.sequence import Items, highest_seq, items_after, set_newest, sorted_by_seq

MAX_BATCH_BYTES = 12_000  # per reply; on a slow link the proxy would time out before a larger reply has arrived
ITEM_OVERHEAD_BYTES = 40  # encoded size of an item without its body
MAX_TOMBSTONES = 4096  # kept after a collection
TOMBSTONE_SLACK = 256  # tombstones above MAX_TOMBSTONES before a collection; makes its scan of all items rare


class ConfigBatch(NamedTuple):
    """A part of the configuration, as sent in one reply."""

    items: list[Item]
    seq: int  # after applying `items`, the receiver is complete up to this sequence number


class ConfigCache:
    """The configuration items received from the store.

    The newest `MAX_TOMBSTONES` tombstones are kept, because a proxy that started before this registry may still hold
    deleted items. A proxy that misses more deletions than that during one run may keep the oldest deleted items.

    Attributes:
        seq: The sequence number up to which the copy is complete.
    """

    def __init__(self) -> None:
        self._items: Items = {}
        self._tombstones = 0
        self.seq = 0

    def apply(self, items: list[Item], seq: int) -> None:
        """Apply newer changes, after which the copy is complete up to `seq`."""
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
        """Return the items after a sequence number, up to `MAX_BATCH_BYTES`.

        Args:
            seq: Sequence number of the receiver's copy; 0: its copy is empty, so tombstones are left out.
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
