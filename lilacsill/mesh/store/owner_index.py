"""What only one item may have: the owner of each, in a configuration and in changes on top of one. No I/O."""

from __future__ import annotations

from collections.abc import Callable, Hashable
from typing import Generic, TypeVar

Claim = TypeVar("Claim", bound=Hashable)


class OwnerOverlay(Generic[Claim]):
    """Owners that differ from those of a base. Each operation costs the same whatever the size of the base."""

    def __init__(self, owner_in_base: Callable[[Claim], str | None]) -> None:
        self._owner_in_base = owner_in_base
        self._changed: dict[Claim, str | None] = {}  # None: the owner in the base has it no longer

    def owner(self, claim: Claim) -> str | None:
        """Return the name of the item that has it."""
        return self._changed[claim] if claim in self._changed else self._owner_in_base(claim)

    def release(self, claim: Claim, name: str) -> None:
        """Let an item have it no longer, unless another one has it."""
        if self.owner(claim) == name:
            self._changed[claim] = None

    def assign(self, claim: Claim, name: str) -> str | None:
        """Let an item have it, and return the name of another one that had it."""
        previous = self.owner(claim)
        self._changed[claim] = name
        return previous

    def merge(self, above: OwnerOverlay[Claim]) -> None:
        """Take over all changes of an overlay whose base is this one."""
        self._changed.update(above._changed)
