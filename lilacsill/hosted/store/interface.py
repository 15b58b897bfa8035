"""The interface of a store: compare-and-set by revision, and the log of changes since a revision.

A store of another kind (etcd, PostgreSQL) has to implement this interface and nothing else.
"""

from __future__ import annotations

from collections.abc import Sequence
from enum import StrEnum
from typing import Any, Protocol

import msgspec

from ..resources import Kind, Resource, Spec


class StoreError(Exception):
    """The store cannot do it now, or cannot be used at all; the text is one line for an operator."""


class Conflict(StoreError):
    """The resource is not at the revision that the caller expected.

    Attributes:
        exists: Whether the resource is there.
    """

    def __init__(self, reason: str, exists: bool) -> None:
        super().__init__(reason)
        self.exists = exists


class Unavailable(StoreError):
    """Nothing was changed: the disk is full, locked or broken."""


class Put(msgspec.Struct, frozen=True):
    """Create or replace a resource."""

    kind: Kind
    name: str
    spec: Spec
    expected: int | None = None
    """The revision that it must have now; 0: it must not exist; None: any."""


class Drop(msgspec.Struct, frozen=True):
    """Remove a resource that exists."""

    kind: Kind
    name: str
    expected: int | None = None
    """The revision that it must have now; None: any."""


Write = Put | Drop


class Author(msgspec.Struct, frozen=True):
    """The author of a change, for the log."""

    actor: str
    """The id of the credential, or `system`."""
    request_id: str
    """The id of the call to the administration API."""


class Verb(StrEnum):
    """What a change did to its resource; the texts are in the log."""

    CREATED = "created"
    CHANGED = "changed"
    REMOVED = "removed"


class Change(msgspec.Struct, frozen=True):
    """One line of the log."""

    revision: int
    at_ms: int
    """Milliseconds of Unix time, by the wall clock."""
    actor: str
    request_id: str
    verb: str
    """The text of a `Verb`; a line that was edited may have any."""
    kind: Kind
    name: str
    uid: int
    before: dict[str, Any] | None
    after: dict[str, Any] | None
    previous: str
    """The hash of the line before."""
    hash: str
    """SHA-256 over this line, and by `previous` over all lines before it."""


class RememberedAnswer(msgspec.Struct, frozen=True):
    """The answer to a call that had an Idempotency-Key."""

    fingerprint: str
    """A digest of the call, which distinguishes a repeat from another call with the same key."""
    status: int
    body: bytes


class Store(Protocol):
    """A store. Each commit is atomic and, once it returns, on disk."""

    @property
    def revision(self) -> int:
        """The revision of the last change; 0 in an empty store."""
        ...

    def commit(
        self, writes: Sequence[Write], author: Author, remember: tuple[str, RememberedAnswer] | None = None
    ) -> list[Change]:
        """Apply all writes, or none.

        Args:
            writes: The writes, in order.
            author: Who asked for them.
            remember: An idempotency key and the answer to store with it.

        Returns:
            One change for each write.

        Raises:
            Conflict: A resource is not at its expected revision.
            Unavailable: The store could not write.
        """
        ...

    def get(self, kind: Kind, name: str) -> Resource | None:
        """Read a resource."""
        ...

    def page(self, kind: Kind, after: str = "", limit: int = 0) -> list[Resource]:
        """List resources by name, those after the name `after`; limit 0: all."""
        ...

    def changes(self, after: int, limit: int = 0) -> list[Change]:
        """List the log's lines after a revision; limit 0: all."""
        ...

    def remembered(self, key: str) -> RememberedAnswer | None:
        """Find the answer that was stored with an idempotency key."""
        ...

    def verify(self) -> int:
        """Check the chain of hashes of the log.

        Returns:
            The number of lines.

        Raises:
            StoreError: A line is not as it was written; the text names the first such revision.
        """
        ...

    def backup(self, path: str) -> None:
        """Write a consistent copy while the store is in use.

        Raises:
            StoreError: The copy could not be written.
        """
        ...

    def close(self) -> None:
        """Release the store."""
        ...
