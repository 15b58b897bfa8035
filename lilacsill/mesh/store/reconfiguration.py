"""Computes the next view and the learners to bring up to date from the known state of the machines. No I/O.

A machine outside the chain is a *learner*: the tail replicates everything to it, but no commit waits for it, it does
not count as a copy and, unless it was a member before, it has no vote. Once it is synced it becomes a member at the end
of the chain.

A member that does not respond, or whose disk is stalled, is *suspended*: the chain continues without it, and it keeps
its vote until a new machine replaces it. If the view only shrank instead, then after the loss of one member of three
both remaining members would be needed for the next view change. Because the vote is kept, a majority is restored as
soon as the lost machine returns with its disk, before it is synced, and a machine that was suspected wrongly still
helps to survive the loss of another machine. A machine that has lost its disk also loses its vote.

A member that departs in a planned way may return shortly afterwards, because a restart begins like a removal. It also
keeps its vote if the size of the majority is the same with and without it: the majority of two voters is two, as is
that of three, but one of three may lose its disk while another one restarts. If so many other members are down that the
remaining ones would not be a majority, members that are down lose their votes instead, but never so many that the loss
of the tolerated number of disks could leave no majority (`ClusterState.min_voters`). With fewer machines alive than
that requires, nothing is decided until others are back.

No change is committed in a view whose chain is too short for the tolerated losses. Such a view only serves to bring
learners up to date, which then join the chain (`cluster_state.required_copies`).

Why a view change is safe: view n + 1 is one Paxos decree among the members of view n, so there is only one view n + 1,
and a majority of view n has accepted it before it is in force. A member that has accepted it no longer confirms view n,
and a read or a lease in view n needs the confirmation of a majority, so none is possible from then on. Successive
majorities therefore intersect in the members of the older view, whatever the members of the newer view are, and several
members may change in one view change. A committed change is on the disk of every member of its view. Each view change
must therefore follow these four rules:

- a majority of the current members, including the suspended ones, is alive; otherwise there is no view change;
- the head is a complete machine of the current chain, so it has every acknowledged change. A learner, even a synced
  one, is never the head of the view in which it joins: the last changes may have been acknowledged without it. Only if
  nothing was committed in the current chain, and no machine of it is complete, a complete machine of an earlier chain
  may be the head (`recovery`);
- a member that can still serve leaves only if enough complete copies remain (`_can_leave`);
- a learner joins at the end of the chain, and is compared again with its predecessor before a change counts as being on
  its disk.
"""

from __future__ import annotations

from lilacsill.mesh.runtime.messages import Departure, Member, View

from .cluster_state import ClusterState, MachineState
from .recovery import History, find_recovery, next_history


def next_view(cluster: ClusterState) -> View | None:
    """Return the next view; None if the current view needs no change or cannot be changed."""
    if not cluster.majority_alive:
        return None
    staying = _complete_first(_without_departing(cluster))
    if not staying:
        return _recovered_view(cluster)
    chain = [*staying, *_joining_learners(cluster, staying)]
    has_same_machines = {machine.member for machine in chain} == set(cluster.view.chain)
    if has_same_machines and not _is_head_incomplete(cluster.live_chain[0], chain[0]):
        return None  # a different order alone does not justify a view change
    return _view_of(cluster, chain, next_history(cluster))


def _recovered_view(cluster: ClusterState) -> View | None:
    """Return the view that continues from a copy outside the chain, since no machine of the chain is complete."""
    recovery = find_recovery(cluster)
    if recovery is None:
        return None
    rest = [machine for machine in cluster.live_chain if not machine.departure and machine is not recovery.head]
    return _view_of(cluster, [recovery.head, *rest], recovery.history)


def _view_of(cluster: ClusterState, chain: list[MachineState], history: History) -> View:
    suspended = _suspended(cluster, chain)
    members = tuple(machine.member for machine in (*chain, *suspended))
    return View(cluster.view.number + 1, members, len(suspended), history)


def learners_to_sync(cluster: ClusterState, spares: int) -> list[MachineState]:
    """Return the learners that the tail keeps up to date.

    Args:
        cluster: The known state of all machines.
        spares: The number of standby learners beyond those that fill the free slots of the chain.
    """
    return cluster.learners[: _free_slots(cluster, cluster.live_chain) + spares]


def departure_blocker(cluster: ClusterState, member: Member) -> str:
    """Return, for operators, what a departing member is still waiting for."""
    if member not in cluster.view.chain:
        return "left out of the chain"
    if not cluster.majority_alive:
        return f"no majority of {len(cluster.view.members)} members answers, to agree on a view without it"
    rest = [machine for machine in cluster.live_chain if machine.member != member]
    joining = len(_joining_learners(cluster, rest))
    copies = len(_staying_copies(rest)) + joining
    wanted = _required_copies(cluster)
    return f"{copies} complete copies without it, {wanted} wanted; {len(cluster.learners) - joining} learners syncing"


def _suspended(cluster: ClusterState, chain: list[MachineState]) -> list[MachineState]:
    """Return the members that keep a vote without being in the chain, live members first.

    Each new machine in the chain takes the vote of one of them.
    """
    candidates = [machine for machine in cluster.voters if machine not in chain and not machine.disk_lost]
    free_votes = max(0, max(cluster.target_size, len(cluster.view.members)) - len(chain))
    staying = [machine for machine in candidates if not _is_terminating(machine)]
    alive = [machine for machine in staying if machine.alive]
    down = [machine for machine in staying if not machine.alive]
    # When a departing machine stops, a majority of the view must still be alive, so members that are down keep fewer
    # votes.
    max_down = max(0, len(chain) + len(alive) - 1)
    suspended = [*alive, *down[:max_down]][:free_votes]
    terminating = [machine for machine in candidates if _is_terminating(machine)]
    if (len(chain) + len(suspended)) % 2 == 0 and len(suspended) < free_votes:
        # With an even number of voters, one more voter does not raise the majority.
        suspended += terminating[:1]
    missing_votes = min(cluster.min_voters - len(chain), free_votes) - len(suspended)
    others = [machine for machine in (*down, *terminating) if machine not in suspended]
    return suspended + others[: max(0, missing_votes)]


def _is_terminating(machine: MachineState) -> bool:
    """Return whether the process of the machine is about to stop."""
    return machine.departure in (Departure.PLANNED, Departure.IMMEDIATE)


def _without_departing(cluster: ClusterState) -> list[MachineState]:
    """Return the live chain without the departing members that may leave."""
    staying = cluster.live_chain
    departing_machines = [machine for machine in staying if machine.departure]
    # The most urgent departure first: each departure reduces the number of others that may leave.
    for departing in sorted(departing_machines, key=lambda machine: -machine.departure):
        rest = [machine for machine in staying if machine is not departing]
        if _can_leave(cluster, departing, rest):
            staying = rest
    return staying


def _can_leave(cluster: ClusterState, departing: MachineState, rest: list[MachineState]) -> bool:
    """Return whether enough complete copies remain: `min_copies`, or all other machines if there are fewer.

    If the departure is immediate, one copy is enough: a member that stops anyway would only be missing from the next
    majority.
    """
    copies = _staying_copies(rest)
    if not copies:
        return False  # no remaining machine could be the head
    if departing.departure is Departure.IMMEDIATE:
        return True
    joining = _joining_learners(cluster, rest)
    if departing.departure is Departure.PLANNED and _is_replacement_syncing(cluster, rest, joining):
        return False
    return len(copies) + len(joining) >= _required_copies(cluster)


def _is_replacement_syncing(cluster: ClusterState, rest: list[MachineState], joining: list[MachineState]) -> bool:
    """Return whether the next view would be too small while a learner that could join it is not synced yet.

    If the departing member waits for that learner, a majority of the next view survives a second loss.
    """
    members = sum(not machine.departure for machine in rest) + len(joining)
    return members < cluster.target_size and len(joining) < len(cluster.learners)


def _joining_learners(cluster: ClusterState, chain: list[MachineState]) -> list[MachineState]:
    """Return the synced learners for the slots of the chain that are free or will become free."""
    return [machine for machine in cluster.learners if machine.complete][: _free_slots(cluster, chain)]


def _free_slots(cluster: ClusterState, chain: list[MachineState]) -> int:
    return max(0, cluster.target_size - sum(not machine.departure for machine in chain))


def _staying_copies(machines: list[MachineState]) -> list[MachineState]:
    """Return the complete copies on machines that are not departing."""
    return [machine for machine in machines if machine.complete and not machine.departure]


def _required_copies(cluster: ClusterState) -> int:
    return min(cluster.min_copies, cluster.known_machines - 1)


def _complete_first(chain: list[MachineState]) -> list[MachineState]:
    """Return the chain in its order, but with a complete machine moved to the head; empty if no machine is complete."""
    head = next((machine for machine in chain if machine.complete), None)
    if head is None:
        return []
    return [head, *(machine for machine in chain if machine is not head)]


def _is_head_incomplete(current: MachineState, chosen: MachineState) -> bool:
    """Return whether the current head reports an incomplete copy, as after the loss of the member that repaired it."""
    return current.complete is False and chosen is not current
