"""The records of operations as items of the store, beside the configuration. No I/O.

An item of the kind `operation` says which claim on an operation was granted. Its name is the operation's, its version
counts the claims that followed each other. One item of the kind `operation_floor` says up to which sequence number such
records are deleted. Both are replicated, saved and repaired like all items, but they are no configuration.
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
    """Return the owner that the record of an operation names."""
    assert item.body is not None  # no operation has a tombstone
    return _decoder.decode(item.body)


def floor_item(floor: int, seq: int) -> Item:
    """Return the item that deletes all records of operations up to a sequence number."""
    return Item(OPERATION_FLOOR, _FLOOR_NAME, floor, seq, b"%d" % floor)


def floor_of(item: Item) -> int:
    """Return up to which sequence number records are deleted, as of an `operation_floor`."""
    return 0 if item.body is None else int(item.body)


def highest_floor(items: Iterable[Item]) -> int:
    """Return up to which sequence number records are deleted, as of these items; 0 if none of them says it."""
    return max((floor_of(item) for item in items if item.kind == OPERATION_FLOOR), default=0)
