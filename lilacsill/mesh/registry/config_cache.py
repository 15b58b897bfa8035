"""A registry's copy of the configuration, and the pieces of it that proxies get. No I/O."""

from __future__ import annotations

from itertools import islice

from lilacsill.mesh.runtime.messages import Item
from lilacsill.mesh.runtime.sequence import Items, highest_seq, items_after, set_newest, sorted_by_seq

PIECE, ITEM = 12_000, 40  # bytes in one answer; of an item beyond its body
TOMBSTONES = 4096  # dropped items that are kept
COLLECTED_AT_ONCE = 256  # beyond that bound, so that few answers walk over all items


class ConfigCache:
    """What the store has told. Dropped items stay: a proxy from before this registry's life has yet to drop them. The
    newest `TOMBSTONES` of them do; a proxy that was away for more drops than that, in one life, may keep the oldest."""

    def __init__(self) -> None:
        self._items: Items = {}
        self._tombstones = 0
        self.seq = 0

    def take(self, items: list[Item], seq: int) -> None:
        """Later changes, up to that number."""
        ordered = True
        for item in items:
            held = self._items.get((item.kind, item.name))
            if held is not None and held.version >= item.version:
                continue
            ordered = ordered and item.seq >= highest_seq(self._items)
            self._tombstones += (item.body is None) - (held is not None and held.body is None)
            set_newest(self._items, item)
        if not ordered:
            self._items = sorted_by_seq(self._items)
        self.seq = max(self.seq, seq)
        if self._tombstones >= TOMBSTONES + COLLECTED_AT_ONCE:
            self._collect()

    def _collect(self) -> None:
        dropped = (key for key, item in self._items.items() if item.body is None)
        for key in list(islice(dropped, self._tombstones - TOMBSTONES)):
            del self._items[key]
        self._tombstones = TOMBSTONES

    def piece(self, after: int) -> tuple[list[Item], int]:
        """What comes next after that number, and the number up to which that is all; in bounded size, for what takes
        long on a thin link is asked for again before it is there. Whoever has nothing needs no dropped items."""
        found: list[Item] = []
        size = 0
        for item in items_after(self._items, after) if after else self._items.values():
            if not after and item.body is None:
                continue
            size += ITEM + len(item.body or b"")
            if size > PIECE and found:
                return found, found[-1].seq
            found.append(item)
        return found, self.seq
