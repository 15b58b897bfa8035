"""The items of the configuration, by kind and name: a version each, and the number that the chain gave the change.

Copies need no log: of two states of one name that of the higher number is the later one, so that what a copy lacks is
told by its number alone. A dropped item stays as a tombstone, with its version, so that an older change that arrives
again changes nothing. The newest `TOMBSTONES` of them are kept: the head raises `floor`, the number up to which
tombstones are collected, and the floor goes down the chain with the items, so that equal numbers mean equal states. No
I/O.
"""

from __future__ import annotations

from collections.abc import Iterable, Iterator
from typing import Any

import msgspec

from lilacsill.mesh.runtime.messages import Item
from lilacsill.mesh.runtime.sequence import Items, Key, dropped_first, in_order, later_than, newest

from .digests import RANGE_COUNT, checksum_of, digest_of, range_of
from .route_index import LIMITS, ROUTE, SERVICE, Place, RouteIndex

ITEM = 100  # bytes of an item beyond its body and its record, on disk and in a message
TOMBSTONES = 4096  # kept; an older change of a name that was dropped before so many others would be taken as new
COLLECTED_AT_ONCE = 256  # tombstones beyond the bound that wait for each other, so that few calls walk over all items


def size_of(item: Item) -> int:
    return ITEM + len(item.body or b"") + len(item.accepted or b"")


class _PlacedRule(msgspec.Struct):
    """A route's body, with the rule as it was written."""

    Host: str
    Rule: msgspec.Raw


_placed_rule = msgspec.json.Decoder(_PlacedRule)


class ConfigState:
    """What one copy holds, in the order of the sequence numbers."""

    def __init__(self) -> None:
        self.items: Items = {}
        self.digests = [0] * RANGE_COUNT
        self.seq = self.size = 0
        self._index: RouteIndex | None = None  # made when it is asked for: only a head needs one
        self.tombstone_floor = 0  # tombstones up to this number are collected
        self.tombstones = 0
        self._last = 0  # the highest number of an item
        self._ordered = True
        self._keys: list[set[Key]] | None = None  # by range, while a copy is compared or filled by ranges

    # Changes

    def apply(self, items: Iterable[Item], seq: int, floor: int = 0) -> None:
        """Later changes, up to that number."""
        for item in items:
            held = self.items.get((item.kind, item.name))
            if held is None or held.seq <= item.seq:
                self._put(item)
        self.seq = max(self.seq, seq)
        self.collect_tombstones(floor)

    def replace_ranges(self, ranges: Iterable[int], items: Iterable[Item], seq: int | None, floor: int = 0) -> None:
        """These are all that there are in those ranges; with `seq` the whole state is as of that number."""
        self._index = None
        for at in set(ranges):
            for key in list(self._by_range()[at]):
                self._remove(key)
            self.digests[at] = 0  # not by what it held: that may be what is wrong
        for item in items:
            self._put(item)
        if seq is not None:
            self.seq = seq
            self.tombstone_floor = -1  # what it had may be of calls that nobody acknowledged
            self.collect_tombstones(floor)
            self.drop_range_index()

    def tombstone_floor_after(self, items: Iterable[Item]) -> int:
        """The floor that keeps the bound on tombstones once these changes are made."""
        more = sum(i.body is None for i in items)
        beyond = self.tombstones + more - TOMBSTONES
        if beyond < COLLECTED_AT_ONCE:
            return self.tombstone_floor
        self._sort()
        oldest = [i.seq for i, _ in zip(dropped_first(self.items, self.seq), range(beyond), strict=False)]
        return max(oldest, default=self.tombstone_floor)

    def collect_tombstones(self, floor: int) -> None:
        """Tombstones up to that number are forgotten."""
        if floor <= self.tombstone_floor:
            return
        self.tombstone_floor = floor
        self._sort()
        for item in list(dropped_first(self.items, floor)):
            self.digests[range_of(item.kind, item.name)] ^= checksum_of(item)
            self._remove((item.kind, item.name))

    def _put(self, item: Item) -> None:
        key = (item.kind, item.name)
        at = range_of(*key)
        held = self.items.get(key)
        if held is not None:
            self.digests[at] ^= checksum_of(held)
            self._remove(key)
        if item.seq < self._last:
            self._ordered = False
        else:
            self._last = item.seq
        self.digests[at] ^= checksum_of(item)
        self.size += size_of(item)
        if self._index is not None:
            self._index.replace(held, item)
        if item.body is None:
            self.tombstones += 1
        self.items[key] = item
        if self._keys is not None:
            self._keys[at].add(key)

    def _remove(self, key: Key) -> None:
        held = self.items.pop(key)
        self.size -= size_of(held)
        self.tombstones -= held.body is None
        if self._keys is not None:
            self._keys[range_of(*key)].discard(key)

    def _sort(self) -> None:
        if not self._ordered:
            self.items = in_order(self.items)
            self._last, self._ordered = newest(self.items), True

    # Ranges

    def _by_range(self) -> list[set[Key]]:
        """Made in one walk, and kept up by changes until it is forgotten."""
        if self._keys is None:
            self._keys = [set() for _ in range(RANGE_COUNT)]
            for key in self.items:
                self._keys[range_of(*key)].add(key)
        return self._keys

    def items_in_range(self, number: int) -> list[Item]:
        """All items of one range of names."""
        return [self.items[key] for key in self._by_range()[number]]

    def drop_range_index(self) -> None:
        """No copy is filled for now."""
        self._keys = None

    def digest(self) -> int:
        """Of all ranges in their order, for people to compare."""
        return digest_of(self.digests)

    # Reads

    def items_since(self, seq: int) -> list[Item]:
        """What was set or dropped by later calls, in their order; of the whole, what was dropped, too: the one who asks
        may serve others that have yet to drop it."""
        self._sort()
        return later_than(self.items, seq)

    # What a change is checked against

    def item(self, kind: str, name: str) -> Item | None:
        return self.items.get((kind, name))

    def route_at(self, place: Place) -> str | None:
        return self._routes().route_at(place)

    def uses(self, service: str) -> int:
        """How many routes that stand name it."""
        return self._routes().uses(service)

    def _routes(self) -> RouteIndex:
        if self._index is None:
            self._index = RouteIndex()
            for item in self.items.values():
                self._index.replace(None, item)
        return self._index

    def version(self, kind: str, name: str) -> int:
        """-1: never named."""
        item = self.items.get((kind, name))
        return -1 if item is None else item.version

    def _standing(self, kind: str) -> Iterator[bytes]:
        return (i.body for i in self.items.values() if i.kind == kind and i.body is not None)

    def to_json(self) -> bytes:
        """The configuration whole, laid out as in an operator's first call."""
        hosts: dict[str, list[msgspec.Raw]] = {}
        for body in self._standing(ROUTE):
            placed = _placed_rule.decode(body)
            hosts.setdefault(placed.Host, []).append(placed.Rule)
        whole: dict[str, Any] = {}
        limits = self.item(LIMITS, "")
        if limits is not None and limits.body is not None:
            whole["Limits"] = msgspec.Raw(limits.body)
        whole["Listeners"] = [{"Host": host, "Policy": rules} for host, rules in hosts.items()]
        whole["Groups"] = list(map(msgspec.Raw, self._standing(SERVICE)))
        return msgspec.json.encode(whole)
