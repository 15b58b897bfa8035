"""The records of operations, stored as items next to the configuration. No I/O.

An item of kind `operation` records which claim on an operation was granted. Its name is the name of the operation, and
its version counts the successive claims. A single item of kind `operation_floor` holds the sequence number up to which
such records are deleted. Both kinds are replicated, saved and repaired like all items, but are not part of the
configuration.
"""

from __future__ import annotations

from collections.abc import Iterable

import msgspec

from lilacsill.mesh.runtime.messages import Item, OperationOwner

# Values of `Item.kind`.
OPERATION, OPERATION_FLOOR = "operation", "operation_floor"
KINDS = frozenset((OPERATION, OPERATION_FLOOR))
FIRST_VERSION = 1
_FLOOR_NAME = ""

_encoder = msgspec.msgpack.Encoder()
_decoder = msgspec.msgpack.Decoder(OperationOwner)


def operation_item(operation: str, version: int, seq: int, owner: OperationOwner) -> Item:
    """Return the record of an operation and its owner."""
    return Item(OPERATION, operation, version, seq, _encoder.encode(owner))


def owner_of(item: Item) -> OperationOwner:
    """Return the owner in the record of an operation."""
    assert item.body is not None  # records of operations never have tombstones
    return _decoder.decode(item.body)


def floor_item(floor: int, seq: int) -> Item:
    """Return the item that deletes all records of operations up to the sequence number `floor`."""
    return Item(OPERATION_FLOOR, _FLOOR_NAME, floor, seq, b"%d" % floor)


def floor_of(item: Item) -> int:
    """Return the sequence number up to which an `operation_floor` item deletes records."""
    return 0 if item.body is None else int(item.body)


def highest_floor(items: Iterable[Item]) -> int:
    """Return the highest floor among the `operation_floor` items; 0 if there is none."""
    return max((floor_of(item) for item in items if item.kind == OPERATION_FLOOR), default=0)
