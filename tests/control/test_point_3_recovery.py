"""Point 3: which copy rebuilds the chain when all of it is lost, from every small situation, and what a disk keeps."""

from __future__ import annotations

from collections.abc import Callable, Iterator
from itertools import product

import pytest

from lilacsill.mesh.runtime.messages import Member, PastView, View
from lilacsill.mesh.simulation.network import MS, Machine, Net
from lilacsill.mesh.store import facts, reconfiguration
from lilacsill.mesh.store.cluster_state import ClusterState, MachineState
from lilacsill.mesh.store.environment import Save, ignore_completion
from lilacsill.mesh.store.replica import Replica

from .defects_point_3 import (
    a_copy_that_a_repair_overwrites_rebuilds_the_chain,
    a_view_counts_before_it_is_on_disk,
    any_complete_copy_rebuilds_the_chain,
)

Plant = Callable[[pytest.MonkeyPatch], None]
A, B, C, D = (Member(name, "d") for name in "abcd")
NUMBER = 7
HISTORIES = (
    (),
    (PastView(6, (A, B)),),
    (PastView(6, (A, B)), PastView(5, (B, C))),
    (PastView(5, (B, C)),),
)


def states(member: Member, view: View) -> list[MachineState]:
    """All that may be known of a machine: where it was complete, and whether a repair has begun to overwrite it."""
    in_chain = member in view.chain
    made = [MachineState(member, False, None), MachineState(member, False, None, disk_lost=True)]
    made.append(MachineState(member, True, False))  # its disk was written by an earlier version
    numbers = [4, *(past.number for past in view.history or () if member in past.chain)]
    for number, intact in product(numbers, (True, False)):
        made.append(MachineState(member, True, False, complete_view=number, intact=intact))
    if in_chain:
        made.append(MachineState(member, True, True, complete_view=NUMBER))
    return made


def situations() -> Iterator[ClusterState]:
    """Three voters, of which one or two are in the chain, and a machine that has no vote; one disk may be lost."""
    for history, suspended, observer in product(HISTORIES, (1, 2), (A, B, C)):
        view = View(NUMBER, (A, B, C), suspended, history)
        for machines in product(*(states(member, view) for member in (A, B, C, D))):
            if next(machine.alive for machine in machines if machine.member == observer):
                yield ClusterState(view, machines, 2, 3, 4, 3, observer)


def may_have_committed(cluster: ClusterState, past: PastView) -> bool:
    """Whether some change may be on the disks of all of that chain, or may come there."""
    lacking = [
        machine
        for machine in cluster.machines
        if machine.member in past.chain and machine.complete_view is not None and machine.complete_view < past.number
    ]
    if past.number < NUMBER:
        return not lacking
    if len(past.chain) < 2 or past.chain[0] in [machine.member for machine in lacking]:
        return False
    is_broken = any(machine.disk_lost for machine in cluster.machines if machine.member in past.chain)
    return not (is_broken and cluster.observer in [machine.member for machine in lacking])


def fault(cluster: ClusterState) -> str:
    """What is wrong with the step from there; empty: nothing."""
    new = reconfiguration.next_view(cluster)
    by_member = {machine.member: machine for machine in cluster.machines}
    past_views = [PastView(NUMBER, cluster.view.chain), *(cluster.view.history or ())]
    if new is None:
        return "" if not can_go_on(cluster, past_views) else "a copy has all that was committed, and nobody leads"
    head = by_member[new.chain[0]]
    if head.complete and new.chain[0] in cluster.view.chain:
        return ""
    if any(machine.complete for machine in cluster.live_chain):
        return "a machine of the chain is complete, and does not lead"
    if not head.alive or not head.intact or head.complete_view is None:
        return "the head has no copy of its own"
    for past in past_views:
        if past.number > head.complete_view and may_have_committed(cluster, past):
            return f"what was committed in view {past.number} is lost"
    if not new.history or new.history[0].number > head.complete_view:
        return "the head does not know that it is complete"
    return ""


def can_go_on(cluster: ClusterState, past_views: list[PastView]) -> bool:
    """Whether a majority is alive, nothing in the chain can lead, and a copy is known to have all that is needed."""
    if not cluster.majority_alive or cluster.live_chain:
        return False
    for past in past_views:
        if past.number < NUMBER and any(
            machine.alive and machine.intact and (machine.complete_view or 0) >= past.number
            for machine in cluster.machines
        ):
            return True
        if may_have_committed(cluster, past):
            return False
    return False


def test_a_chain_is_rebuilt_from_a_copy_with_all_that_was_committed() -> None:
    # No view could follow once the only machine of the chain had lost its disk (review, case 5).
    assert [cluster for cluster in situations() if fault(cluster)] == []


@pytest.mark.parametrize(
    "plant",
    [any_complete_copy_rebuilds_the_chain, a_copy_that_a_repair_overwrites_rebuilds_the_chain],
    ids=lambda plant: plant.__name__,
)
def test_a_planted_defect_is_found(plant: Plant, monkeypatch: pytest.MonkeyPatch) -> None:
    plant(monkeypatch)
    assert any(fault(cluster) for cluster in situations())


class Disk(Machine):
    """A machine whose saves are done when the test says so."""

    def __init__(self) -> None:
        super().__init__(Net(1, MS), "b", MS)
        self.facts: facts.Facts = {}
        self.pending: list[Callable[[], None]] = []

    def save(self, save: Save, done: Callable[[], None] = ignore_completion) -> None:
        def on_disk() -> None:
            self.facts.update(save.facts)
            done()

        self.pending.append(on_disk)

    def sync(self) -> None:
        pending, self.pending = self.pending, []
        for done in pending:
            done()


def replica_of(disk: Disk) -> Replica:
    """The second of a chain of two, complete in view 6."""
    disk.facts = {
        **facts.incarnation(B),
        **facts.view(View(6, (A, B))),
        **facts.completeness(True),
        **facts.sequence(3),
    }
    return restarted(disk)


def restarted(disk: Disk) -> Replica:
    stored = facts.read(disk.facts, B.address)
    assert stored is not None
    return Replica(disk, stored, (), min_copies=2)


def test_a_suspended_machine_remembers_where_it_was_complete() -> None:
    disk = Disk()
    replica = replica_of(disk)
    replica.adopt(View(7, (A, B), 1, (PastView(6, (A, B)),)))
    assert not replica.complete and replica.complete_view == 6
    disk.sync()
    again = restarted(disk)
    assert again.complete_view == 6 and again.intact
    again.adopt(View(8, (B, A), 1, (PastView(6, (A, B)),)))
    assert again.complete


def test_a_copy_that_a_repair_has_begun_to_overwrite_is_not_complete_as_the_head() -> None:
    disk = Disk()
    replica = replica_of(disk)
    replica.adopt(View(7, (A, B), 1, (PastView(6, (A, B)),)))
    disk.save(Save(facts=replica.begin_repair()))
    disk.sync()
    for copy in (replica, restarted(disk)):
        assert copy.complete_view == 6 and not copy.intact
        copy.adopt(View(8, (B, A), 1, (PastView(6, (A, B)),)))
        assert not copy.complete


def test_a_disk_of_an_earlier_version_does_not_say_where_it_was_complete() -> None:
    disk = Disk()
    replica_of(disk)
    disk.facts |= facts.completeness(False)
    replica = restarted(disk)
    replica.adopt(View(7, (A, B), 1, (PastView(6, (A, B)),)))
    disk.sync()
    assert replica.complete_view is None and restarted(disk).complete_view is None
    replica.adopt(View(8, (B, A), 1, (PastView(6, (A, B)),)))
    assert not replica.complete


def is_counted_before_it_is_on_disk() -> bool:
    """Whether a machine says that it is complete in a view that a loss of power would make it forget."""
    disk = Disk()
    replica = replica_of(disk)
    replica.adopt(View(7, (A, B)))
    before = replica.complete_view
    assert restarted(disk).complete_view == 6
    disk.sync()
    assert replica.complete_view == 7 and restarted(disk).complete_view == 7
    return before == 7


def test_a_view_counts_only_once_it_is_on_disk(monkeypatch: pytest.MonkeyPatch) -> None:
    assert not is_counted_before_it_is_on_disk()
    a_view_counts_before_it_is_on_disk(monkeypatch)
    assert is_counted_before_it_is_on_disk()
