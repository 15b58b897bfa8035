"""The members of the store as a process outside of it knows them. No I/O.

Each answer of a member names the newest view that it knows. Until the first answer, and while the members of that view
do not answer, any known core machine may be asked.
"""

from __future__ import annotations

from collections.abc import Callable, Collection

from .hashing import rendezvous_select

UNKNOWN_VIEW = -1


class CoreMembers:
    """The newest known view of the chain.

    Attributes:
        view_number: Of that view; `UNKNOWN_VIEW` before the first answer.
        addresses: Control addresses of its chain, head first.
    """

    def __init__(self, candidates: Callable[[], Collection[str]]) -> None:
        """Begin without a view; `candidates` returns the control addresses of all known core machines."""
        self._candidates = candidates
        self._next = 0
        self.view_number = UNKNOWN_VIEW
        self.addresses: list[str] = []

    def learn(self, view_number: int, addresses: list[str]) -> None:
        """Take the view that a member has named, unless a later one is known."""
        if view_number > self.view_number and addresses:
            self.view_number, self.addresses = view_number, addresses

    def head(self) -> str | None:
        """Return the address of the head; None: no view is known."""
        return self.addresses[0] if self.addresses else None

    def owner_of(self, key: str) -> str | None:
        """Return the member that owns a key, by rendezvous hashing over the chain; None: no view is known."""
        return owner_of(key, self.addresses)

    def any_candidate(self) -> str | None:
        """Return core machines in turn, whatever their place; None: none is known."""
        candidates = sorted(self._all())
        if not candidates:
            return None
        self._next += 1
        return candidates[self._next % len(candidates)]

    def knows(self, address: str) -> bool:
        """Return whether this is the control address of a known core machine."""
        return address in self._all()

    def _all(self) -> set[str]:
        return {*self._candidates(), *self.addresses}


def owner_of(key: str, addresses: Collection[str]) -> str | None:
    """Return which of these members of the chain owns a key; None where there are none."""
    return next(iter(rendezvous_select(key, addresses, 1)), None)
