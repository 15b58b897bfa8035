"""The owners of unique values, such as route matches and API keys, in changes on top of a configuration. No I/O."""

from __future__ import annotations

from collections.abc import Callable, Hashable
from typing import Generic, TypeVar

UniqueValue = TypeVar("UniqueValue", bound=Hashable)


class OwnerOverlay(Generic[UniqueValue]):
    """The owners that differ from those in a base. The cost of each method does not depend on the size of the base."""

    def __init__(self, owner_in_base: Callable[[UniqueValue], str | None]) -> None:
        self._owner_in_base = owner_in_base
        self._changed: dict[UniqueValue, str | None] = {}  # None: the owner in the base has released the value

    def owner(self, value: UniqueValue) -> str | None:
        """Return the name of the item that owns the value; None if no item does."""
        return self._changed[value] if value in self._changed else self._owner_in_base(value)

    def release(self, value: UniqueValue, name: str) -> None:
        """Remove the item's ownership of the value; do nothing if another item owns it."""
        if self.owner(value) == name:
            self._changed[value] = None

    def assign(self, value: UniqueValue, name: str) -> str | None:
        """Make the item the owner of the value, and return the name of the previous owner; None if there was none."""
        previous = self.owner(value)
        self._changed[value] = name
        return previous

    def merge(self, above: OwnerOverlay[UniqueValue]) -> None:
        """Apply all changes of an overlay whose base is this overlay."""
        self._changed.update(above._changed)
