"""The items of the configuration, and the records of operations, as one copy holds them. No I/O.

Each item has its version and the sequence number that the chain gave to its last change. Copies need no log: of two
states of one item that with the higher sequence number is the later one, so one sequence number tells what a copy
lacks. A dropped item stays as a tombstone with its version, so that an older change that arrives once more changes
nothing. About the newest `MAX_TOMBSTONES` of them are kept: the head raises the tombstone floor, the sequence number up
to which tombstones are deleted. The floor is replicated with the items, so that copies with equal sequence numbers are
equal.

The records of operations (`lilacsill.mesh.store.operation_records`) share the sequence numbers, the digests and the
disk with the configuration, and are apart from it in everything else.
"""

from __future__ import annotations

from collections.abc import Iterable, Iterator
from itertools import chain, takewhile
from typing import Any

import msgspec

from lilacsill.mesh.runtime.messages import Item
from lilacsill.mesh.runtime.sequence import ItemKey, Items, tombstones_up_to
from lilacsill.mesh.tenants.tenant import TENANT

from .digests import RANGE_COUNT, checksum_of, digest_of, range_of
from .key_index import KeyIndex
from .operation_records import KINDS as KINDS_OF_OPERATIONS
from .operation_records import OPERATION, OPERATION_FLOOR, floor_of
from .route_index import LIMITS, ROUTE, SERVICE, RouteIndex, RouteMatch
from .sequenced_items import SequencedItems

ITEM_OVERHEAD_BYTES = 100  # of an item beyond its body and its record, on disk and in a message
MAX_TOMBSTONES = 4096  # an older change of a name that was dropped before so many others would be taken as new
COLLECTED_AT_ONCE = 256  # tombstones beyond the bound that are deleted together, so that few calls walk over all items


def size_of(item: Item) -> int:
    """Return how many bytes an item takes, on disk and in a message."""
    return ITEM_OVERHEAD_BYTES + len(item.body or b"") + len(item.accepted or b"")


class _PlacedRule(msgspec.Struct):
    """The body of a route, with the rule as the operator wrote it."""

    Host: str
    Rule: msgspec.Raw


_placed_rule = msgspec.json.Decoder(_PlacedRule)


class ConfigState:
    """What one copy holds.

    Attributes:
        digests: One digest for each range of names, see `lilacsill.mesh.store.digests`.
        seq: The state is complete up to this sequence number.
        size: Bytes of the items of the configuration.
        tombstone_floor: Tombstones up to this sequence number are deleted.
        tombstones: How many items are tombstones.
    """

    def __init__(self) -> None:
        self._configuration, self._operations = SequencedItems(), SequencedItems()
        self.digests = [0] * RANGE_COUNT
        self.seq = self.size = 0
        self.tombstone_floor = 0
        self.tombstones = 0
        self._route_index: RouteIndex | None = None  # made on first use: only a head needs one
        self._key_index: KeyIndex | None = None  # the same
        self._keys_by_range: list[set[ItemKey]] | None = None  # while a copy is compared or repaired

    @property
    def items(self) -> Items:
        """The items of the configuration by kind and name."""
        return self._configuration.by_key

    @items.setter
    def items(self, items: Items) -> None:
        self._configuration.by_key = items

    @property
    def config_seq(self) -> int:
        """The sequence number of the newest change of the configuration, up to which that is complete."""
        newest = max(self._configuration.highest_seq(), self.tombstone_floor)
        return min(newest, self.seq)  # an item that came before the end of a repair may be newer than the state

    def _part(self, kind: str) -> SequencedItems:
        return self._operations if kind in KINDS_OF_OPERATIONS else self._configuration

    # Changes

    def apply(self, items: Iterable[Item], seq: int, tombstone_floor: int = 0) -> None:
        """Apply changes. The state is complete up to `seq` then."""
        for item in items:
            present = self.item(item.kind, item.name)
            if present is None or present.seq <= item.seq:
                self._put(item)
        self.seq = max(self.seq, seq)
        self.collect_tombstones(tombstone_floor)

    def replace_ranges(
        self, ranges: Iterable[int], items: Iterable[Item], seq: int | None, tombstone_floor: int = 0
    ) -> None:
        """Replace everything in these ranges of names by these items, as a repair does.

        Args:
            ranges: Numbers of ranges.
            items: All items of these ranges.
            seq: With the last part of a repair, the sequence number up to which the state is complete then.
            tombstone_floor: As of `seq`.
        """
        self._route_index = self._key_index = None
        for number in set(ranges):
            for key in list(self._range_index()[number]):
                self._remove(key)
            self.digests[number] = 0  # not computed from the items, which may be what is corrupt
        for item in items:
            self._put(item)
        if seq is not None:
            self.seq = seq
            self.tombstone_floor = -1  # the floor until now may be of changes that were never acknowledged
            self.collect_tombstones(tombstone_floor)
            self.drop_range_index()

    def tombstone_floor_after(self, items: Iterable[Item]) -> int:
        """Return the tombstone floor that keeps the bound on tombstones once these changes are applied."""
        added = sum(item.body is None for item in items)
        excess = self.tombstones + added - MAX_TOMBSTONES
        if excess < COLLECTED_AT_ONCE:
            return self.tombstone_floor
        self._configuration.sort()
        oldest = [item.seq for item, _ in zip(tombstones_up_to(self.items, self.seq), range(excess), strict=False)]
        return max(oldest, default=self.tombstone_floor)

    def collect_tombstones(self, tombstone_floor: int) -> None:
        """Delete tombstones up to that sequence number."""
        if tombstone_floor <= self.tombstone_floor:
            return
        self.tombstone_floor = tombstone_floor
        self._configuration.sort()
        for item in list(tombstones_up_to(self.items, tombstone_floor)):
            self._collect(item)

    def _collect_operations(self, floor: int) -> None:
        """Delete the records of operations up to that sequence number."""
        self._operations.sort()
        for item in list(takewhile(lambda item: item.seq <= floor, self._operations.by_key.values())):
            if item.kind == OPERATION:
                self._collect(item)

    def _collect(self, item: Item) -> None:
        self.digests[range_of(item.kind, item.name)] ^= checksum_of(item)
        self._remove((item.kind, item.name))

    def _put(self, item: Item) -> None:
        key = (item.kind, item.name)
        range_number = range_of(*key)
        present = self.item(*key)
        if present is not None:
            self.digests[range_number] ^= checksum_of(present)
            self._remove(key)
        self.digests[range_number] ^= checksum_of(item)
        self._part(item.kind).put(item)
        if self._keys_by_range is not None:
            self._keys_by_range[range_number].add(key)
        if item.kind == OPERATION_FLOOR:
            self._collect_operations(floor_of(item))
        elif item.kind != OPERATION:
            self._account_for(present, item)

    def _account_for(self, present: Item | None, item: Item) -> None:
        """Take note of an item of the configuration that has taken the place of another one."""
        self.size += size_of(item)
        self.tombstones += item.body is None
        if self._route_index is not None:
            self._route_index.replace(present, item)
        if self._key_index is not None:
            self._key_index.replace(present, item)

    def _remove(self, key: ItemKey) -> None:
        removed = self._part(key[0]).remove(key)
        if removed.kind not in KINDS_OF_OPERATIONS:
            self.size -= size_of(removed)
            self.tombstones -= removed.body is None
        if self._keys_by_range is not None:
            self._keys_by_range[range_of(*key)].discard(key)

    # Ranges of names

    def _range_index(self) -> list[set[ItemKey]]:
        """Return the keys by range. They are collected in one walk and kept up to date until `drop_range_index`."""
        if self._keys_by_range is None:
            self._keys_by_range = [set() for _ in range(RANGE_COUNT)]
            for key in chain(self._configuration.by_key, self._operations.by_key):
                self._keys_by_range[range_of(*key)].add(key)
        return self._keys_by_range

    def items_in_range(self, number: int) -> list[Item]:
        """Return all items of one range of names."""
        return [self._part(key[0]).by_key[key] for key in self._range_index()[number]]

    def drop_range_index(self) -> None:
        """Free the memory of the index of ranges: no copy is repaired for now."""
        self._keys_by_range = None

    def digest(self) -> int:
        """Return one digest of the whole state, for operators to compare."""
        return digest_of(self.digests)

    # Reads

    def items_since(self, seq: int) -> list[Item]:
        """Return all that was changed after that sequence number, in the order of the changes, for another copy.

        Tombstones are included even for 0.
        """
        operations = self._operations.after(seq)
        configuration = self._configuration.after(seq)
        if not configuration or not operations:
            return configuration or operations
        return sorted(configuration + operations, key=lambda item: item.seq)

    def config_items_since(self, seq: int) -> list[Item]:
        """Return what was changed of the configuration after that sequence number, in the order of the changes.

        Tombstones are included even for 0: whoever asks may serve others that still have the dropped items.
        """
        return self._configuration.after(seq)

    # Operations

    def operation(self, name: str) -> Item | None:
        """Return the record of an operation; None: there is none."""
        return self._operations.by_key.get((OPERATION, name))

    @property
    def operation_count(self) -> int:
        """How many records of operations there are."""
        return len(self._operations.by_key) - (self.item(OPERATION_FLOOR, "") is not None)

    @property
    def operation_floor(self) -> int:
        """Records of operations up to this sequence number are deleted."""
        item = self.item(OPERATION_FLOOR, "")
        return 0 if item is None else floor_of(item)

    def oldest_operation_seq(self) -> int | None:
        """Return the lowest sequence number of a record of an operation; None: there is no record."""
        self._operations.sort()
        return next((item.seq for item in self._operations.by_key.values() if item.kind == OPERATION), None)

    # What an operator's change is checked against

    def item(self, kind: str, name: str) -> Item | None:
        """Return an item or its tombstone. None: there never was one, or its tombstone is deleted."""
        return self._part(kind).by_key.get((kind, name))

    def route_at(self, match: RouteMatch) -> str | None:
        """Return the name of the route with this host and prefix."""
        return self._routes().route_at(match)

    def reference_count(self, service: str) -> int:
        """Return how many routes refer to a service."""
        return self._routes().reference_count(service)

    def key_owner(self, key: bytes) -> str | None:
        """Return the name of the tenant with this key."""
        if self._key_index is None:
            self._key_index = KeyIndex()
            for item in self.items.values():
                self._key_index.replace(None, item)
        return self._key_index.owner(key)

    def _routes(self) -> RouteIndex:
        if self._route_index is None:
            self._route_index = RouteIndex()
            for item in self.items.values():
                self._route_index.replace(None, item)
        return self._route_index

    def version(self, kind: str, name: str) -> int | None:
        """Return the version of an item or of its tombstone. None: there is neither."""
        item = self.item(kind, name)
        return None if item is None else item.version

    def _bodies(self, kind: str) -> Iterator[bytes]:
        return (item.body for item in self.items.values() if item.kind == kind and item.body is not None)

    def to_json(self) -> bytes:
        """Return the complete configuration, in the form of an operator's call."""
        hosts: dict[str, list[msgspec.Raw]] = {}
        for body in self._bodies(ROUTE):
            placed = _placed_rule.decode(body)
            hosts.setdefault(placed.Host, []).append(placed.Rule)
        configuration: dict[str, Any] = {}
        tenants = list(map(msgspec.Raw, self._bodies(TENANT)))
        if tenants:
            configuration["Customers"] = tenants
        limits = self.item(LIMITS, "")
        if limits is not None and limits.body is not None:
            configuration["Limits"] = msgspec.Raw(limits.body)
        configuration["Listeners"] = [{"Host": host, "Policy": rules} for host, rules in hosts.items()]
        configuration["Groups"] = list(map(msgspec.Raw, self._bodies(SERVICE)))
        return msgspec.json.encode(configuration)
