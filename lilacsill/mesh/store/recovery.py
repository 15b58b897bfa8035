"""Chooses the copy from which the chain is rebuilt when no complete machine of the current view is left. No I/O.

The head of a view is normally a complete machine of the chain before it. If losses overlap, all of these may have lost
their disks, while a machine outside the chain still has every acknowledged change. Such a machine may become the head
if nothing was committed in any view since it was a complete member of the chain.

A change is committed in a view only if all machines of its chain have it on disk while they are complete. Therefore:

- nothing is ever committed in a view whose chain is too short (`ClusterState.has_too_few_copies`);
- nothing was committed in a past view if a machine of its chain was never complete in it. The machine has adopted a
  later view, so that it cannot become complete in the past one any more;
- nothing is ever committed in the current view if its head is incomplete from the start, because only the head can
  complete the others. The same is true if a machine of its chain has lost its disk and another one, which must know
  this of itself at that time, has not been complete in it.

`View.history` names the past views in which changes may have been committed. Views are chosen by a majority as always,
so that at most one copy is chosen.
"""

from __future__ import annotations

from typing import NamedTuple

from lilacsill.mesh.runtime.messages import PastView

from .cluster_state import ClusterState, MachineState

MAX_PAST_VIEWS = 8  # longer histories lose their oldest view, and only the possibility to return to it

History = tuple[PastView, ...]


class Recovery(NamedTuple):
    """A head from outside the chain, and the history of the view that it leads."""

    head: MachineState
    history: History


def find_recovery(cluster: ClusterState) -> Recovery | None:
    """Return the machine that may lead the next view because no machine of the chain can; None if there is none."""
    if any(machine.complete is not False for machine in cluster.live_chain) or not _is_never_committed(cluster):
        return None
    history = cluster.view.history or ()
    for index, past in enumerate(history):
        copies = [machine for machine in cluster.machines if _may_lead_after(machine, past)]
        if copies:
            return Recovery(copies[0], history[index:])
        if not _was_never_committed(cluster, past):
            return None
    return None


def next_history(cluster: ClusterState) -> History:
    """Return the history of the view that follows the current one in the normal case.

    It reaches back to the latest view in which all machines of the chain are known to be complete, because one of these
    survives the tolerated losses.
    """
    view = cluster.view
    earlier = view.history or ()
    if cluster.has_too_few_copies:
        return earlier
    current = PastView(view.number, view.chain)
    if all(machine.complete_view == view.number for machine in cluster.chain):
        return (current,)
    return (current, *earlier)[:MAX_PAST_VIEWS]


def _may_lead_after(machine: MachineState, past: PastView) -> bool:
    """Return whether the machine has all changes that were committed up to that view, or in it."""
    if not machine.alive or machine.departure or machine.complete_view is None:
        return False
    return machine.intact and machine.complete_view >= past.number


def _is_never_committed(cluster: ClusterState) -> bool:
    """Return whether nothing was committed in the current view, and nothing will be."""
    if cluster.has_too_few_copies or _was_incomplete_in(cluster.chain[0], cluster.view.number):
        return True
    is_broken = any(machine.disk_lost for machine in cluster.chain)
    observers = [machine for machine in cluster.chain if machine.member == cluster.observer]
    return is_broken and any(_was_incomplete_in(machine, cluster.view.number) for machine in observers)


def _was_never_committed(cluster: ClusterState, past: PastView) -> bool:
    """Return whether a machine of the past chain was never complete in that view."""
    return any(_was_incomplete_in(machine, past.number) for machine in cluster.machines if machine.member in past.chain)


def _was_incomplete_in(machine: MachineState, number: int) -> bool:
    """Return whether the machine, with the disk that it had then, is known not to have been complete in that view."""
    return machine.alive and machine.complete_view is not None and machine.complete_view < number
