"""Digests over ranges of names: two copies compare 64 numbers, and one gets only the ranges that differ. No I/O.

A range's digest is the exclusive or of its items' hashes (xxh3, 64 bits): a change costs two hashes and no walk.
"""

from __future__ import annotations

from collections.abc import Iterable

import msgspec
from xxhash import xxh3_64_intdigest

from lilacsill.mesh.runtime.messages import Item

RANGE_COUNT = 64
_encoder = msgspec.msgpack.Encoder()


def range_of(kind: str, name: str) -> int:
    return xxh3_64_intdigest(f"{kind}|{name}".encode()) % RANGE_COUNT


def checksum_of(item: Item) -> int:
    """All of it counts. 63 bits: as much as a row holds. Without a record it is as it was before there were records."""
    fields = (item.kind, item.name, item.version, item.seq, item.body)
    whole = fields if item.accepted is None else (*fields, item.accepted)
    return xxh3_64_intdigest(_encoder.encode(whole)) >> 1


def digest_of(ranges: list[int]) -> int:
    return xxh3_64_intdigest(_encoder.encode(ranges))


def differing_ranges(mine: Iterable[int], others: Iterable[int]) -> list[int]:
    """Ranges; all of them where the other tells none."""
    pairs = list(zip(mine, others, strict=False))
    return [r for r, (a, b) in enumerate(pairs) if a != b] if len(pairs) == RANGE_COUNT else list(range(RANGE_COUNT))
