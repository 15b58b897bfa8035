"""Items by kind and name, in the order of their sequence numbers. No I/O."""

from __future__ import annotations

from lilacsill.mesh.runtime.messages import Item
from lilacsill.mesh.runtime.sequence import ItemKey, Items, highest_seq, items_after, sorted_by_seq


class SequencedItems:
    """One part of the items of a copy.

    Items that come out of order are sorted on the next use that needs the order.

    Attributes:
        by_key: The items by kind and name, in the order of their sequence numbers unless some came out of order.
    """

    def __init__(self) -> None:
        self.by_key: Items = {}
        self._last_seq = 0  # no item has a higher sequence number
        self._is_ordered = True

    def put(self, item: Item) -> None:
        """Add an item, of whose kind and name there is none."""
        if item.seq < self._last_seq:
            self._is_ordered = False
        else:
            self._last_seq = item.seq
        self.by_key[item.kind, item.name] = item

    def remove(self, key: ItemKey) -> Item:
        """Remove an item, and return it."""
        return self.by_key.pop(key)

    def sort(self) -> None:
        """Bring the items into their order."""
        if not self._is_ordered:
            self.by_key = sorted_by_seq(self.by_key)
            self._last_seq, self._is_ordered = highest_seq(self.by_key), True

    def after(self, seq: int) -> list[Item]:
        """Return the items with a higher sequence number, in their order; takes time in proportion to their number."""
        self.sort()
        return items_after(self.by_key, seq)

    def highest_seq(self) -> int:
        """Return the sequence number of the last item; 0 if there is none."""
        self.sort()
        return highest_seq(self.by_key)
