"""Confirmation by a majority of the members that the current view is still in force. No I/O.

A reply that depends on the state of a single member (a read, a rejection, a change that is already applied) is sent
only after a confirmation that was started after the call arrived. A member on the minority side of a partition cannot
obtain a confirmation.
"""

from __future__ import annotations

from collections.abc import Callable

from lilacsill.mesh.runtime.environment import ask_in_time
from lilacsill.mesh.runtime.messages import Confirm, Confirmed, Message

from .replica import Replica

CONFIRM_TIMEOUT_US = 400_000


def confirm_view(replica: Replica, done: Callable[[bool], None]) -> None:
    """Ask all members of the view, including this one, whether it is in force.

    Args:
        replica: the member that requests the confirmation.
        done: called once, with True if a majority confirmed and the view has not changed in the meantime.
    """
    view = replica.view
    confirmations, outstanding, finished = 0, len(view.members), False

    def on_answer(answer: Message | None) -> None:
        nonlocal confirmations, outstanding, finished
        outstanding -= 1
        if isinstance(answer, Confirmed) and answer.ok:
            confirmations += 1
        is_confirmed = confirmations >= view.majority
        if finished or (outstanding and not is_confirmed):
            return
        finished = True
        done(is_confirmed and replica.view.number == view.number)

    for member in view.members:
        ask_in_time(replica.environment, member.address, Confirm(view.number), CONFIRM_TIMEOUT_US, on_answer)
