"""Decide whether changes that all members of the chain have on disk may be acknowledged. No I/O."""

from __future__ import annotations

from collections.abc import Callable

from .quorum import confirm_view
from .replica import Replica

CheckCallback = Callable[[bool], None]


class CommitCheck:
    """The check that one member makes before it acknowledges a change or answers from its own state."""

    def __init__(self, replica: Replica) -> None:
        self._replica = replica

    def check_copies(self, is_on_chain: bool, confirm: bool, done: CheckCallback) -> None:
        """Decide whether a change may be acknowledged: all members of the chain have it, and these are enough disks.

        After more losses than the store tolerates, the chain may be too short: nothing is acknowledged until machines
        have joined it. Otherwise the chain is a majority of the view.

        Args:
            is_on_chain: Whether all members of the chain have the change on disk.
            confirm: Whether a majority must confirm the view.
            done: Called with whether the change may be acknowledged.
        """
        if not is_on_chain or self._replica.has_too_few_copies:
            done(False)
        elif confirm:
            self.confirm(done)
        else:
            done(True)

    def confirm(self, done: CheckCallback) -> None:
        """Have a majority confirm the view: an answer that depends on the state of this member alone requires it."""
        confirm_view(self._replica, done)
