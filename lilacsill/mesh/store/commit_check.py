"""Decide whether changes that all members of the chain have on disk may be acknowledged. No I/O."""

from __future__ import annotations

from collections.abc import Callable

from .quorum import confirm_view
from .replica import Replica

CheckCallback = Callable[[bool], None]


class CommitCheck:
    """The check that one member makes before it acknowledges a change or answers from its own state."""

    def __init__(self, replica: Replica, has_too_few_copies: Callable[[], bool]) -> None:
        """`has_too_few_copies`: returns whether changes are on too few disks until a learner has joined the chain."""
        self._replica = replica
        self._has_too_few_copies = has_too_few_copies

    def check_copies(self, is_on_chain: bool, confirm: bool, done: CheckCallback) -> None:
        """Decide whether a change may be acknowledged: all members of the chain have it, and these are enough disks.

        After more losses than the store tolerates, the chain may be short. A change that only a minority of the view
        has on disk is acknowledged only after a majority has confirmed the view, and, if a live machine can join the
        chain, only after it has joined.

        Args:
            is_on_chain: Whether all members of the chain have the change on disk.
            confirm: Whether the view must be confirmed regardless of the length of the chain.
            done: Called with whether the change may be acknowledged.
        """
        view = self._replica.view
        if not is_on_chain or self._has_too_few_copies():
            done(False)
        elif confirm or len(view.chain) < view.majority:
            self.confirm(done)
        else:
            done(True)

    def confirm(self, done: CheckCallback) -> None:
        """Have a majority confirm the view: an answer that depends on the state of this member alone requires it."""
        confirm_view(self._replica, done)
