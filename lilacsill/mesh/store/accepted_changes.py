"""The content that was accepted for each version of an item, so that no version gets two different contents. No I/O.

The content of the current version is in the item itself. Each item carries a history of its earlier versions, which is
therefore replicated, written to disk and repaired together with the item. The history keeps the `MAX_VERSIONS` highest
versions; of the versions dropped from it, only the highest number is kept.
"""

from __future__ import annotations

from enum import Enum, auto
from typing import Any

import msgspec
from xxhash import xxh3_64_intdigest

from lilacsill.mesh.runtime.messages import Item

MAX_VERSIONS = 64  # per item history, at 16 bytes each
TOMBSTONE_DIGEST = 0  # digest of a removal; digests of contents are odd, so never 0
NONE_FORGOTTEN = -1  # below every version; on disk and on the wire it means that no version was dropped

_encoder = msgspec.json.Encoder(order="deterministic")


class ChangeKind(Enum):
    """How a change relates to the current item."""

    NEWER = auto()  # the version is higher than the current one
    ACCEPTED = auto()  # this version was accepted before with the same content
    CONFLICT = auto()  # this version was accepted before with different content
    SUPERSEDED = auto()  # a lower version that was never accepted: the content of the item stays
    FORGOTTEN = auto()  # a version older than the history: whether it was accepted is unknown


class VersionHistory(msgspec.Struct, array_like=True):
    """The earlier versions of one item, as stored on disk and sent on the wire."""

    digests: dict[int, int] = {}  # digest of the content by version
    forgotten: int = NONE_FORGOTTEN  # the highest version that was dropped from `digests`

    def add(self, version: int, digest: int) -> None:
        """Add a version, and drop the lowest versions beyond `MAX_VERSIONS`."""
        self.digests[version] = digest
        while len(self.digests) > MAX_VERSIONS:
            lowest = min(self.digests)
            del self.digests[lowest]
            self.forgotten = max(self.forgotten, lowest)


_decoder = msgspec.msgpack.Decoder(VersionHistory)


def history_of(item: Item | None) -> VersionHistory:
    """Return the history that the item carries; empty if there is no item or no history."""
    if item is None or item.accepted is None:
        return VersionHistory()
    return _decoder.decode(item.accepted)


def digest_of_content(content: Any) -> int:
    """Return the digest of a JSON value, independent of the order of its keys; None means a removal."""
    if content is None:
        return TOMBSTONE_DIGEST
    return xxh3_64_intdigest(_encoder.encode(_normalised(content))) | 1


def _normalised(value: Any) -> Any:
    """Replace integral floats by integers, since 90.0 and 90 are the same JSON number."""
    if isinstance(value, dict):
        return {key: _normalised(part) for key, part in value.items()}
    if isinstance(value, list):
        return [_normalised(part) for part in value]
    if isinstance(value, float) and value.is_integer():
        return int(value)
    return value


def _digest_of_item(item: Item) -> int:
    return digest_of_content(None if item.body is None else msgspec.json.decode(item.body))


def classify_change(current: Item | None, version: int, content: Any) -> ChangeKind:
    """Classify a change to this version and content relative to the current item."""
    if current is None or version > current.version:
        return ChangeKind.NEWER
    digest = digest_of_content(content)
    if version == current.version:
        return ChangeKind.ACCEPTED if digest == _digest_of_item(current) else ChangeKind.CONFLICT
    history = history_of(current)
    accepted = history.digests.get(version)
    if accepted is not None:
        return ChangeKind.ACCEPTED if accepted == digest else ChangeKind.CONFLICT
    return ChangeKind.FORGOTTEN if version <= history.forgotten else ChangeKind.SUPERSEDED


def with_new_version(current: Item | None, kind: str, name: str, version: int, seq: int, body: bytes | None) -> Item:
    """Return the item that a newer change produces, with the current version added to its history."""
    if current is None:
        return Item(kind, name, version, seq, body)
    history = history_of(current)
    history.add(current.version, _digest_of_item(current))
    return Item(kind, name, version, seq, body, msgspec.msgpack.encode(history))


def with_recorded_version(current: Item, version: int, content: Any, seq: int) -> Item:
    """Return the current item with a superseded change added to its history."""
    history = history_of(current)
    history.add(version, digest_of_content(content))
    return Item(current.kind, current.name, current.version, seq, current.body, msgspec.msgpack.encode(history))


def without_history(items: list[Item]) -> list[Item]:
    """Return the items without their histories, which registries and proxies do not need."""
    return [
        item if item.accepted is None else Item(item.kind, item.name, item.version, item.seq, item.body)
        for item in items
    ]
