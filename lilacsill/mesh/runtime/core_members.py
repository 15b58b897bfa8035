"""The members of the store as known to a process outside the store. Does no I/O.

Each reply of a member contains the newest view that the member knows. Until the first reply, and while the members of
that view do not reply, requests may go to any known core machine.
"""

from __future__ import annotations

from collections.abc import Callable, Collection

from .hashing import rendezvous_select

UNKNOWN_VIEW = -1


class CoreMembers:
    """The newest known view of the chain.

    Attributes:
        view_number: Number of that view; `UNKNOWN_VIEW` before the first reply.
        addresses: Control addresses of the view's chain, head first.
    """

    def __init__(self, candidates: Callable[[], Collection[str]]) -> None:
        """Initialize without a view; `candidates` returns the control addresses of all known core machines."""
        self._candidates = candidates
        self._next = 0
        self.view_number = UNKNOWN_VIEW
        self.addresses: list[str] = []

    def update_view(self, view_number: int, addresses: list[str]) -> None:
        """Store the view from a member's reply if it is newer than the known one."""
        if view_number > self.view_number and addresses:
            self.view_number, self.addresses = view_number, addresses

    def head(self) -> str | None:
        """Return the address of the head; None if no view is known."""
        return self.addresses[0] if self.addresses else None

    def owner_of(self, key: str) -> str | None:
        """Return the member that owns a key, by rendezvous hashing over the chain; None if no view is known."""
        return owner_of(key, self.addresses)

    def next_candidate(self) -> str | None:
        """Return the known core machines in round-robin order, in the chain or not; None if none is known."""
        candidates = sorted(self._known_addresses())
        if not candidates:
            return None
        self._next += 1
        return candidates[self._next % len(candidates)]

    def is_core_address(self, address: str) -> bool:
        """Whether this is the control address of a known core machine."""
        return address in self._known_addresses()

    def _known_addresses(self) -> set[str]:
        return {*self._candidates(), *self.addresses}


def owner_of(key: str, addresses: Collection[str]) -> str | None:
    """Return which of these chain members owns a key; None if there are no members."""
    return next(iter(rendezvous_select(key, addresses, 1)), None)
