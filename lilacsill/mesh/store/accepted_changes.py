"""Which content was accepted under which version of an item, so that one number never stands for two contents. No I/O.

The content of the version that holds is in the item itself. Each item carries a record of the versions before it, so
that the record is replicated, written to disk and mended together with the item. The record keeps the highest
`MAX_VERSIONS` versions; of what fell out it knows only how high that was.
"""

from __future__ import annotations

from enum import Enum, auto
from typing import Any

import msgspec
from xxhash import xxh3_64_intdigest

from lilacsill.mesh.runtime.messages import Item

MAX_VERSIONS = 64  # that the record of one item keeps
TOMBSTONE_DIGEST = 0  # the digest of a removal
_encoder = msgspec.json.Encoder(order="deterministic")


class ChangeKind(Enum):
    """What a change is to the item as it is held."""

    NEWER = auto()  # a higher version
    ACCEPTED = auto()  # this version was accepted before with this content
    CONFLICT = auto()  # this version was accepted before with another content
    SUPERSEDED = auto()  # a lower version that was never accepted: it changes nothing
    FORGOTTEN = auto()  # a lower version than the record reaches back: it may have been accepted


class VersionHistory(msgspec.Struct, array_like=True):
    """The record of one item: digests of contents by version, without the version that holds."""

    digests: dict[int, int] = {}
    forgotten: int = -1  # the highest version that fell out of the record

    def add(self, version: int, digest: int) -> None:
        self.digests[version] = digest
        while len(self.digests) > MAX_VERSIONS:
            lowest = min(self.digests)
            del self.digests[lowest]
            self.forgotten = max(self.forgotten, lowest)


_decoder = msgspec.msgpack.Decoder(VersionHistory)


def history_of(item: Item | None) -> VersionHistory:
    """What the item carries."""
    if item is None or item.accepted is None:
        return VersionHistory()
    return _decoder.decode(item.accepted)


def digest_of_content(content: Any) -> int:
    """The same for the same JSON value in whatever order its keys come. None: the item is dropped."""
    if content is None:
        return TOMBSTONE_DIGEST
    return xxh3_64_intdigest(_encoder.encode(_plain(content))) | 1


def _plain(value: Any) -> Any:
    """90.0 and 90 are one JSON number."""
    if isinstance(value, dict):
        return {key: _plain(part) for key, part in value.items()}
    if isinstance(value, list):
        return [_plain(part) for part in value]
    if isinstance(value, float) and value.is_integer():
        return int(value)
    return value


def _held_digest(held: Item) -> int:
    return digest_of_content(None if held.body is None else msgspec.json.decode(held.body))


def classify_change(held: Item | None, version: int, content: Any) -> ChangeKind:
    """What a change of that version and content is to the item."""
    if held is None or version > held.version:
        return ChangeKind.NEWER
    digest = digest_of_content(content)
    if version == held.version:
        return ChangeKind.ACCEPTED if digest == _held_digest(held) else ChangeKind.CONFLICT
    record = history_of(held)
    accepted = record.digests.get(version)
    if accepted is not None:
        return ChangeKind.ACCEPTED if accepted == digest else ChangeKind.CONFLICT
    return ChangeKind.FORGOTTEN if version <= record.forgotten else ChangeKind.SUPERSEDED


def with_new_version(held: Item | None, kind: str, name: str, version: int, seq: int, body: bytes | None) -> Item:
    """The item after a newer change, with the version that held until now in its record."""
    if held is None:
        return Item(kind, name, version, seq, body)
    record = history_of(held)
    record.add(held.version, _held_digest(held))
    return Item(kind, name, version, seq, body, msgspec.msgpack.encode(record))


def with_recorded_version(held: Item, version: int, content: Any, seq: int) -> Item:
    """The item as it stands, with one more version in its record: that of an overtaken change."""
    record = history_of(held)
    record.add(version, digest_of_content(content))
    return Item(held.kind, held.name, held.version, seq, held.body, msgspec.msgpack.encode(record))


def without_history(items: list[Item]) -> list[Item]:
    """Registries and proxies need no records."""
    return [i if i.accepted is None else Item(i.kind, i.name, i.version, i.seq, i.body) for i in items]
