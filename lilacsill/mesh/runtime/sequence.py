"""Items of the configuration by kind and name, in the order of their sequence numbers. No I/O.

A dict keeps the order in which its keys were inserted. An item that is set again goes to the end, so the items that
changed last are found from there, without an index and without a walk over the rest.
"""

from __future__ import annotations

from collections.abc import Iterator
from itertools import takewhile

from .messages import Item

ItemKey = tuple[str, str]
"""Kind and name of an item."""
Items = dict[ItemKey, Item]
"""Items by key; those with the highest sequence numbers come last."""


def set_newest(items: Items, item: Item) -> None:
    """Set an item that has the highest sequence number."""
    key = (item.kind, item.name)
    items.pop(key, None)
    items[key] = item


def highest_seq(items: Items) -> int:
    """Return the sequence number of the last item; 0 if there is none."""
    return next((item.seq for item in reversed(items.values())), 0)


def sorted_by_seq(items: Items) -> Items:
    """Return a copy in the order of sequence numbers."""
    return dict(sorted(items.items(), key=lambda entry: entry[1].seq))


def items_after(items: Items, seq: int) -> list[Item]:
    """Return the items with a higher sequence number, in order; takes time in proportion to their number."""
    found = list(takewhile(lambda item: item.seq > seq, reversed(items.values())))
    found.reverse()
    return found


def tombstones_up_to(items: Items, seq: int) -> Iterator[Item]:
    """Yield the tombstones up to a sequence number, the oldest first."""
    for item in items.values():
        if item.seq > seq:
            return
        if item.body is None:
            yield item
