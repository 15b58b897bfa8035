"""Items of the configuration by kind and name, in the order of their sequence numbers. Does no I/O.

A dict preserves insertion order. An item that is set again is moved to the end, so the most recent changes are found by
iterating from the end, without an index and without visiting the other items.
"""

from __future__ import annotations

from collections.abc import Iterator
from itertools import takewhile

from .messages import Item

ItemKey = tuple[str, str]
"""Kind and name of an item."""
Items = dict[ItemKey, Item]
"""Items by key, in ascending order of sequence numbers."""


def set_newest(items: Items, item: Item) -> None:
    """Set an item whose sequence number is not lower than those of all others."""
    key = (item.kind, item.name)
    items.pop(key, None)
    items[key] = item


def highest_seq(items: Items) -> int:
    """Return the highest sequence number; 0 if there are no items."""
    return next((item.seq for item in reversed(items.values())), 0)


def sorted_by_seq(items: Items) -> Items:
    """Return a copy sorted by sequence number."""
    return dict(sorted(items.items(), key=lambda entry: entry[1].seq))


def items_after(items: Items, seq: int) -> list[Item]:
    """Return the items with a higher sequence number, in order, in time proportional to their number."""
    found = list(takewhile(lambda item: item.seq > seq, reversed(items.values())))
    found.reverse()
    return found


def tombstones_up_to(items: Items, seq: int) -> Iterator[Item]:
    """Yield the tombstones up to a sequence number, oldest first."""
    for item in items.values():
        if item.seq > seq:
            return
        if item.body is None:
            yield item
