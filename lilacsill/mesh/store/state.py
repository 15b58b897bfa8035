"""The items of the configuration and the records of operations in one copy. No I/O.

Each item has its version and the sequence number that the chain assigned to its last change. Copies need no log: of two
revisions of an item, the one with the higher sequence number is the later one, so a single sequence number determines
which changes a copy lacks. A removed item remains as a tombstone with its version, so that an older change that is
delivered again has no effect. About `MAX_TOMBSTONES` of the newest tombstones are kept: the head raises the tombstone
floor, the sequence number up to which tombstones are deleted. The floor is replicated with the items, so that copies
with equal sequence numbers are equal.

The records of operations (`lilacsill.mesh.store.operation_records`) share the sequence numbers, the digests and the
disk with the configuration, but are otherwise separate from it.
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

ITEM_OVERHEAD_BYTES = 100  # of an item on disk or in a message, in addition to its body and its history
MAX_TOMBSTONES = 4096  # after this many later removals, an older change of a removed item would be accepted as new
TOMBSTONE_BATCH_SIZE = 256  # excess tombstones are deleted in batches, so that few calls iterate over all items


def size_of(item: Item) -> int:
    """Return the size of an item in bytes, on disk or in a message."""
    return ITEM_OVERHEAD_BYTES + len(item.body or b"") + len(item.accepted or b"")


class _HostRule(msgspec.Struct):
    """The body of a route, with the rule as the raw JSON that the operator sent."""

    Host: str
    Rule: msgspec.Raw


_host_rule_decoder = msgspec.json.Decoder(_HostRule)


class ConfigState:
    """The items of one copy.

    Attributes:
        digests: One digest per range of names, see `lilacsill.mesh.store.digests`.
        seq: The state is complete up to this sequence number.
        size: Total size of the items of the configuration in bytes.
        tombstone_floor: Tombstones up to this sequence number are deleted.
        tombstones: The number of items that are tombstones.
    """

    def __init__(self) -> None:
        self._configuration, self._operations = SequencedItems(), SequencedItems()
        self.digests = [0] * RANGE_COUNT
        self.seq = self.size = 0
        self.tombstone_floor = 0
        self.tombstones = 0
        self._route_index: RouteIndex | None = None  # built on first use, because only a head needs it
        self._key_index: KeyIndex | None = None  # built on first use as well
        self._keys_by_range: list[set[ItemKey]] | None = None  # only while a copy is compared or repaired

    @property
    def items(self) -> Items:
        """The items of the configuration by kind and name."""
        return self._configuration.by_key

    @items.setter
    def items(self, items: Items) -> None:
        self._configuration.by_key = items

    @property
    def config_seq(self) -> int:
        """The sequence number of the newest change of the configuration, up to which the configuration is complete."""
        newest = max(self._configuration.highest_seq(), self.tombstone_floor)
        return min(newest, self.seq)  # during a repair, an item may be newer than the state

    def _collection_for(self, kind: str) -> SequencedItems:
        return self._operations if kind in KINDS_OF_OPERATIONS else self._configuration

    # Changes

    def apply(self, items: Iterable[Item], seq: int, tombstone_floor: int = 0) -> None:
        """Apply changes, after which the state is complete up to `seq`."""
        for item in items:
            current = self.item(item.kind, item.name)
            if current is None or current.seq <= item.seq:
                self._put(item)
        self.seq = max(self.seq, seq)
        self.collect_tombstones(tombstone_floor)

    def replace_ranges(
        self, ranges: Iterable[int], items: Iterable[Item], seq: int | None, tombstone_floor: int = 0
    ) -> None:
        """Replace all items in these ranges of names by the given items, for a repair.

        Args:
            ranges: The numbers of the ranges.
            items: All items in these ranges.
            seq: For the last part of a repair, the sequence number up to which the state is then complete; else None.
            tombstone_floor: The tombstone floor at `seq`.
        """
        self._route_index = self._key_index = None
        for number in set(ranges):
            for key in list(self._range_index()[number]):
                self._remove(key)
            self.digests[number] = 0  # reset, not updated from the items, because these may be corrupt
        for item in items:
            self._put(item)
        if seq is not None:
            self.seq = seq
            self.tombstone_floor = -1  # the current floor may stem from changes that were never acknowledged
            self.collect_tombstones(tombstone_floor)
            self.drop_range_index()

    def tombstone_floor_after(self, items: Iterable[Item]) -> int:
        """Return the tombstone floor that keeps the number of tombstones bounded after these changes are applied."""
        added = sum(item.body is None for item in items)
        excess = self.tombstones + added - MAX_TOMBSTONES
        if excess < TOMBSTONE_BATCH_SIZE:
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
        current = self.item(*key)
        if current is not None:
            self.digests[range_number] ^= checksum_of(current)
            self._remove(key)
        self.digests[range_number] ^= checksum_of(item)
        self._collection_for(item.kind).put(item)
        if self._keys_by_range is not None:
            self._keys_by_range[range_number].add(key)
        if item.kind == OPERATION_FLOOR:
            self._collect_operations(floor_of(item))
        elif item.kind != OPERATION:
            self._update_derived_state(current, item)

    def _update_derived_state(self, current: Item | None, item: Item) -> None:
        """Update the sizes, counts and indexes for a new or replaced item of the configuration."""
        self.size += size_of(item)
        self.tombstones += item.body is None
        if self._route_index is not None:
            self._route_index.replace(current, item)
        if self._key_index is not None:
            self._key_index.replace(current, item)

    def _remove(self, key: ItemKey) -> None:
        removed = self._collection_for(key[0]).remove(key)
        if removed.kind not in KINDS_OF_OPERATIONS:
            self.size -= size_of(removed)
            self.tombstones -= removed.body is None
        if self._keys_by_range is not None:
            self._keys_by_range[range_of(*key)].discard(key)

    # Ranges of names

    def _range_index(self) -> list[set[ItemKey]]:
        """Return the keys by range. The index is built in one pass and maintained until `drop_range_index`."""
        if self._keys_by_range is None:
            self._keys_by_range = [set() for _ in range(RANGE_COUNT)]
            for key in chain(self._configuration.by_key, self._operations.by_key):
                self._keys_by_range[range_of(*key)].add(key)
        return self._keys_by_range

    def items_in_range(self, number: int) -> list[Item]:
        """Return all items in one range of names."""
        return [self._collection_for(key[0]).by_key[key] for key in self._range_index()[number]]

    def drop_range_index(self) -> None:
        """Free the memory of the range index. Called when no copy is being repaired any more."""
        self._keys_by_range = None

    def digest(self) -> int:
        """Return a digest of the complete state, which operators compare between copies."""
        return digest_of(self.digests)

    # Reads

    def items_since(self, seq: int) -> list[Item]:
        """Return all items that were changed after that sequence number, in order, for another copy.

        Tombstones are included even if `seq` is 0.
        """
        operations = self._operations.after(seq)
        configuration = self._configuration.after(seq)
        if not configuration or not operations:
            return configuration or operations
        return sorted(configuration + operations, key=lambda item: item.seq)

    def config_items_since(self, seq: int) -> list[Item]:
        """Return the items of the configuration that were changed after that sequence number, in order.

        Tombstones are included even if `seq` is 0: the requester may serve clients that still have the removed items.
        """
        return self._configuration.after(seq)

    # Operations

    def operation(self, name: str) -> Item | None:
        """Return the record of an operation, or None."""
        return self._operations.by_key.get((OPERATION, name))

    @property
    def operation_count(self) -> int:
        """The number of records of operations."""
        return len(self._operations.by_key) - (self.item(OPERATION_FLOOR, "") is not None)

    @property
    def operation_floor(self) -> int:
        """The sequence number up to which records of operations are deleted."""
        item = self.item(OPERATION_FLOOR, "")
        return 0 if item is None else floor_of(item)

    def oldest_operation_seq(self) -> int | None:
        """Return the lowest sequence number of the records of operations, or None if there are none."""
        self._operations.sort()
        return next((item.seq for item in self._operations.by_key.values() if item.kind == OPERATION), None)

    # Lookups for the validation of operators' calls

    def item(self, kind: str, name: str) -> Item | None:
        """Return an item or its tombstone; None if it never existed or its tombstone has been deleted."""
        return self._collection_for(kind).by_key.get((kind, name))

    def route_at(self, match: RouteMatch) -> str | None:
        """Return the name of the route with this host and path prefix."""
        return self._routes().route_at(match)

    def reference_count(self, service: str) -> int:
        """Return the number of routes that refer to a service."""
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
        """Return the version of an item or of its tombstone; None if there is neither."""
        item = self.item(kind, name)
        return None if item is None else item.version

    def _bodies(self, kind: str) -> Iterator[bytes]:
        return (item.body for item in self.items.values() if item.kind == kind and item.body is not None)

    def to_json(self) -> bytes:
        """Return the complete configuration as JSON, in the format of an operator's call."""
        hosts: dict[str, list[msgspec.Raw]] = {}
        for body in self._bodies(ROUTE):
            host_rule = _host_rule_decoder.decode(body)
            hosts.setdefault(host_rule.Host, []).append(host_rule.Rule)
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
