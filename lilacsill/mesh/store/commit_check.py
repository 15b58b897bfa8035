"""Whether what all of the chain have on disk may be acknowledged. No I/O."""

from __future__ import annotations

from collections.abc import Callable

from .quorum import confirm_view
from .replica import Replica

Checked = Callable[[bool], None]


class CommitCheck:
    """The check at one member, before it acknowledges a change or answers from its own state."""

    def __init__(self, replica: Replica, has_too_few_copies: Callable[[], bool]) -> None:
        """`has_too_few_copies`: whether changes are on too few disks as long as a learner has not joined the chain."""
        self._replica = replica
        self._has_too_few_copies = has_too_few_copies

    def check_copies(self, is_on_chain: bool, confirm: bool, done: Checked) -> None:
        """Acknowledge what all of the chain have on disk only if these are enough disks.

        After losses beyond what may be lost the chain may be short. A change that only a minority of the view has on
        disk is acknowledged after a majority has confirmed the view, and not before a machine has joined that can.

        Args:
            is_on_chain: Whether all of the chain have it on disk.
            confirm: Whether the view must be confirmed whatever the length of the chain.
            done: Called with whether it may be acknowledged.
        """
        view = self._replica.view
        if not is_on_chain or self._has_too_few_copies():
            done(False)
        elif confirm or len(view.chain) < view.majority:
            self.confirm(done)
        else:
            done(True)

    def confirm(self, done: Checked) -> None:
        """Ask a majority of the view: an answer that depends on the state of this member alone needs one."""
        confirm_view(self._replica, done)
