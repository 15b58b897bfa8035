"""Digests over ranges of names, for anti-entropy. No I/O.

Two copies compare one digest for each range, and only ranges that differ are sent again. The digest of a range is the
exclusive or of the checksums of its items (xxh3, 64 bits), so that a change costs two hashes and no scan of the items.
"""

from __future__ import annotations

from collections.abc import Iterable

import msgspec
from xxhash import xxh3_64_intdigest

from lilacsill.mesh.runtime.messages import Item

RANGE_COUNT = 64
_encoder = msgspec.msgpack.Encoder()


def range_of(kind: str, name: str) -> int:
    """Return the number of the range that a name belongs to."""
    return xxh3_64_intdigest(f"{kind}|{name}".encode()) % RANGE_COUNT


def checksum_of(item: Item) -> int:
    """Return a checksum of all fields of an item; 63 bits, since integers of sqlite are signed 64-bit numbers.

    For an item without a version history the checksum is the same as before histories existed, so that files written
    by those versions stay valid.
    """
    fields = (item.kind, item.name, item.version, item.seq, item.body)
    all_fields = fields if item.accepted is None else (*fields, item.accepted)
    return xxh3_64_intdigest(_encoder.encode(all_fields)) >> 1


def digest_of(range_digests: list[int]) -> int:
    """Combine the digests of all ranges into one."""
    return xxh3_64_intdigest(_encoder.encode(range_digests))


def differing_ranges(digests: Iterable[int], other_digests: Iterable[int]) -> list[int]:
    """Return the numbers of the ranges that differ; all numbers if the other copy did not send a digest of each."""
    pairs = list(zip(digests, other_digests, strict=False))
    if len(pairs) != RANGE_COUNT:
        return list(range(RANGE_COUNT))
    return [number for number, (digest, other) in enumerate(pairs) if digest != other]
