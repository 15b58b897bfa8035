"""Items by kind and name, in the order of their sequence numbers. No I/O."""

from __future__ import annotations

from lilacsill.mesh.runtime.messages import Item
from lilacsill.mesh.runtime.sequence import ItemKey, Items, highest_seq, items_after, sorted_by_seq


class SequencedItems:
    """A collection of items of one copy.

    Items that are added out of order are sorted when the order is next needed.

    Attributes:
        by_key: The items by kind and name, in the order of their sequence numbers unless items were added out of order.
    """

    def __init__(self) -> None:
        self.by_key: Items = {}
        self._last_seq = 0  # an upper bound on the sequence numbers of the items
        self._is_ordered = True

    def put(self, item: Item) -> None:
        """Add an item. There must not be an item of the same kind and name."""
        if item.seq < self._last_seq:
            self._is_ordered = False
        else:
            self._last_seq = item.seq
        self.by_key[item.kind, item.name] = item

    def remove(self, key: ItemKey) -> Item:
        """Remove and return an item."""
        return self.by_key.pop(key)

    def sort(self) -> None:
        """Sort the items by sequence number if any were added out of order."""
        if not self._is_ordered:
            self.by_key = sorted_by_seq(self.by_key)
            self._last_seq, self._is_ordered = highest_seq(self.by_key), True

    def after(self, seq: int) -> list[Item]:
        """Return the items with a higher sequence number, in order, in time proportional to their number."""
        self.sort()
        return items_after(self.by_key, seq)

    def highest_seq(self) -> int:
        """Return the highest sequence number of the items; 0 if there are none."""
        self.sort()
        return highest_seq(self.by_key)
