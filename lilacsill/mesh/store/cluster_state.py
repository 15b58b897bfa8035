"""What one member knows of all machines of the store: the input to the decision on the next view. No I/O."""

from __future__ import annotations

from collections.abc import Sequence

import msgspec

from lilacsill.mesh.runtime.messages import Departure, Member, View


class MachineState(msgspec.Struct, frozen=True):
    """The known state of one machine with its current disk.

    Attributes:
        member: The machine.
        alive: Whether it is not suspected.
        complete: For a machine in the chain, whether it has every acknowledged change; for any other machine, whether
            it is synced in this view. None: not reported in this view.
        departure: Whether the machine requests its removal from the chain, and why.
        disk_lost: Whether the machine has returned with another disk.
        complete_view: The number of the latest view in which the machine was a complete member of the chain; -1: it
            never was. None: not known, or not reported in this view.
        intact: Whether its copy is as it was in that view or newer, and not partly overwritten by a repair.
    """

    member: Member
    alive: bool
    complete: bool | None
    departure: Departure = Departure.NONE
    disk_lost: bool = False
    complete_view: int | None = None
    intact: bool = True


class ClusterState(msgspec.Struct, frozen=True):
    """The state of all machines as known to one member.

    Attributes:
        view: The current view.
        machines: The members in their order, then all other machines.
        min_copies: The number of complete copies that must remain: one more than may be lost at the same time.
        target_size: The desired number of members.
        known_machines: The number of known machines, including those that are down.
        min_voters: The number of voters that must remain, as far as there are any with their disks, so that a majority
            of them survives the tolerated losses.
        observer: The member whose knowledge this is; its own state is certain.
    """

    view: View
    machines: Sequence[MachineState]
    min_copies: int
    target_size: int
    known_machines: int
    min_voters: int
    observer: Member | None = None

    @property
    def voters(self) -> list[MachineState]:
        """The members, including the suspended ones."""
        return list(self.machines[: len(self.view.members)])

    @property
    def chain(self) -> list[MachineState]:
        """The machines in the chain, in its order."""
        return list(self.machines[: len(self.view.chain)])

    @property
    def live_chain(self) -> list[MachineState]:
        """The machines in the chain that are alive, in the order of the chain."""
        return [machine for machine in self.chain if machine.alive]

    @property
    def learners(self) -> list[MachineState]:
        """The machines that may join the chain, suspended ones first."""
        chain = self.view.chain
        return [
            machine
            for machine in self.machines
            if machine.member not in chain and machine.alive and not machine.departure
        ]

    @property
    def majority_alive(self) -> bool:
        """Whether enough voters are alive to choose a view."""
        return sum(machine.alive for machine in self.voters) >= self.view.majority

    @property
    def has_too_few_copies(self) -> bool:
        """Whether the chain is too short for the tolerated losses, so that nothing is committed in this view."""
        return len(self.view.chain) < required_copies(self.view, self.min_copies)


def required_copies(view: View, min_copies: int) -> int:
    """Return the number of machines that the chain of a view must have so that changes can be committed in it.

    With fewer, a change could be lost although no more disks are lost than the store tolerates. A view that has fewer
    members than that needs all of them.
    """
    return max(view.majority, min(min_copies, len(view.members)))
