"""Which view should follow, and who is filled meanwhile: what is known of the machines in, a view out. No I/O.

A machine that is not in the chain is a *learner*: the tail fills it, nobody waits for it, it is no copy that counts
and, unless it was a member before, has no vote. It becomes a member, as the last of the chain, once it is synced.

A member that falls silent, or whose disk stands still, is *suspended*: the chain goes on without it, and it keeps its
vote until a new machine has its place. A view that only shrank would, after one loss of three, need both that are left:
with the vote kept, the lost machine's return with its disk makes a majority again before it is filled, and a machine
that was suspected for nothing still helps to survive the loss of another. Where the disk is lost, so is the vote.

Why a step is safe. View n + 1 is one Paxos decree among the members of view n, so there is one view n + 1 only, and a
majority of view n has accepted it before it is in force. Whoever has accepted it stands behind view n no more: no read
or lease of view n, which needs a majority too, is good from then on. So successive majorities meet in the members of
the older view, whatever the newer one is made of, and several members may change in one step. An acknowledged call is
on the disk of every member of its view. Each step therefore keeps these four:

- a majority of the present members, suspended ones too, is alive, or no step is decided;
- the head is a machine of the present chain that is whole: it has all that was acknowledged. A learner, even a synced
  one, is never the head of the view that takes it in: the last calls may have been acknowledged without it;
- a member that can still serve goes only when enough whole copies stand without it (`_can_leave`);
- a learner joins behind all others, and is compared again with the one before it before a call counts as on its disk.
"""

from __future__ import annotations

from collections.abc import Sequence

import msgspec

from lilacsill.mesh.runtime.messages import Departure, Member, View


class MachineState(msgspec.Struct, frozen=True):
    """What is known of one machine, with this disk."""

    member: Member
    alive: bool
    complete: (
        bool | None
    )  # a member: it has all that was acknowledged; another: filled in this view; None: not heard yet
    departure: Departure = Departure.NONE
    disk_lost: bool = False


class ClusterState(msgspec.Struct, frozen=True):
    """What one member knows."""

    view: View
    machines: Sequence[MachineState]  # members in their order, then all others
    min_copies: int  # whole copies that must stand: one more than may be lost at once
    target_size: int  # members at full strength
    known_machines: int  # machines that there are, as far as is known, also those that are down

    @property
    def voters(self) -> list[MachineState]:
        return list(self.machines[: len(self.view.members)])

    @property
    def chain(self) -> list[MachineState]:
        """Those of it that are alive."""
        chain = self.view.chain
        return [m for m in self.machines if m.alive and m.member in chain]

    @property
    def learners(self) -> list[MachineState]:
        """Those that may join the chain; suspended ones first."""
        chain = self.view.chain
        return [m for m in self.machines if m.member not in chain and m.alive and not m.departure]

    @property
    def majority_alive(self) -> bool:
        return sum(m.alive for m in self.voters) >= self.view.majority


def next_view(cluster: ClusterState) -> View | None:
    """None: the present view is right, or nothing can be done."""
    if not cluster.majority_alive:
        return None
    staying = _complete_first(_without_leavers(cluster))
    if not staying:
        return None
    chain = [*staying, *_joining(cluster, staying)]
    if {m.member for m in chain} == set(cluster.view.chain) and not _is_head_incomplete(cluster.chain[0], chain[0]):
        return None  # another order alone is no reason
    suspended = _suspended(cluster, chain)
    members = tuple(m.member for m in (*chain, *suspended))
    return View(cluster.view.number + 1, members, len(suspended))


def _suspended(cluster: ClusterState, chain: list[MachineState]) -> list[MachineState]:
    """Those that keep a vote without a place in the chain, the living first; a new machine takes a vote from one."""
    kept = [m for m in cluster.voters if m not in chain and not m.disk_lost]
    kept = [m for m in kept if m.departure in (Departure.NONE, Departure.DISK_STALLED)]
    free = max(cluster.target_size, len(cluster.view.members)) - len(chain)
    return sorted(kept, key=lambda m: not m.alive)[: max(0, free)]


def _without_leavers(cluster: ClusterState) -> list[MachineState]:
    staying = cluster.chain
    # Whoever ends first is first asked whether the others can do without it.
    for leaver in sorted((m for m in staying if m.departure), key=lambda m: -m.departure):
        rest = [m for m in staying if m is not leaver]
        if _can_leave(cluster, leaver, rest):
            staying = rest
    return staying


def _can_leave(cluster: ClusterState, leaver: MachineState, rest: list[MachineState]) -> bool:
    """Enough whole copies stand without it: `min_copies`, or as many as there are machines.

    One that is about to end goes if there is one copy: as a member it would only be missed by the next majority.
    """
    lasting = [m for m in rest if not m.departure]
    copies = [m for m in lasting if m.complete]
    if not copies:
        return False  # nobody could be the head
    if leaver.departure is Departure.IMMEDIATE:
        return True
    joining = _joining(cluster, rest)
    if leaver.departure is Departure.PLANNED and _is_successor_syncing(cluster, len(lasting) + len(joining), joining):
        return False
    return len(copies) + len(joining) >= min(cluster.min_copies, cluster.known_machines - 1)


def _is_successor_syncing(cluster: ClusterState, members: int, joining: list[MachineState]) -> bool:
    """Waited for, so that the next view is no smaller than this one, and a second loss leaves a majority of it."""
    return members < cluster.target_size and len(joining) < len(cluster.learners)


def _joining(cluster: ClusterState, chain: list[MachineState]) -> list[MachineState]:
    """Synced learners, for the places that are free or will be."""
    free = cluster.target_size - sum(not m.departure for m in chain)
    return [m for m in cluster.learners if m.complete][: max(0, free)]


def _complete_first(chain: list[MachineState]) -> list[MachineState]:
    """The order is kept, but the head must have all of the state. Empty: nobody has."""
    first = next((m for m in chain if m.complete), None)
    if first is None:
        return []
    return [first, *(m for m in chain if m is not first)]


def _is_head_incomplete(present: MachineState, chosen: MachineState) -> bool:
    """It says itself that it is not whole, as after a loss of the member that was filling it."""
    return present.complete is False and chosen is not present


def learners_to_sync(cluster: ClusterState, spares: int) -> list[MachineState]:
    """Learners that the tail keeps filled: for the free places, and so many more that stand by as successors."""
    free = cluster.target_size - sum(not m.departure for m in cluster.chain)
    return cluster.learners[: max(0, free) + spares]


def departure_blocker(cluster: ClusterState, member: Member) -> str:
    """For operators: what a member that wants to go still waits for."""
    if member not in cluster.view.chain:
        return "left out of the chain"
    if not cluster.majority_alive:
        return f"no majority of {len(cluster.view.members)} members answers, to agree on a view without it"
    rest = [m for m in cluster.chain if m.member != member]
    copies = [m for m in rest if m.complete and not m.departure]
    ready = _joining(cluster, rest)
    wanted = min(cluster.min_copies, cluster.known_machines - 1)
    filled = f"{len(copies) + len(ready)} whole copies without it, {wanted} wanted"
    return f"{filled}; {len(cluster.learners) - len(ready)} learners being filled"
