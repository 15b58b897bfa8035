"""Planted defects of membership: each takes one guard away. Patches of tests; they stand nowhere in the product."""

from __future__ import annotations

import pytest
from msgspec.structs import replace

from lilacsill.mesh.runtime.messages import Departure, PastView, View
from lilacsill.mesh.store import leaving, reconfiguration, recovery, view_proposer
from lilacsill.mesh.store.chain import Chain
from lilacsill.mesh.store.membership import Membership
from lilacsill.mesh.store.predecessor import PredecessorLink
from lilacsill.mesh.store.cluster_state import ClusterState, MachineState
from lilacsill.mesh.store.replica import Replica

Patch = pytest.MonkeyPatch


def learners_join_before_they_are_filled(patch: Patch) -> None:
    def joining(cluster: ClusterState, chain: list[MachineState]) -> list[MachineState]:
        return cluster.learners[: max(0, cluster.target_size - sum(not m.departure for m in chain))]

    patch.setattr(reconfiguration, "_joining_learners", joining)


def a_learner_may_be_the_head(patch: Patch) -> None:
    def next_view(cluster: ClusterState) -> View | None:
        view = real(cluster)
        if view is None:
            return None
        learners = [m for m in view.chain if m not in cluster.view.chain]
        return View(view.number, (*learners, *(m for m in view.members if m not in learners)), view.suspended)

    real = reconfiguration.next_view
    patch.setattr(reconfiguration, "next_view", next_view)


def a_leaver_goes_whatever_stands_without_it(patch: Patch) -> None:
    def may_go(cluster: ClusterState, leaver: MachineState, rest: list[MachineState]) -> bool:
        return bool(rest)

    patch.setattr(reconfiguration, "_can_leave", may_go)


def one_copy_is_enough(patch: Patch) -> None:
    def may_go(cluster: ClusterState, leaver: MachineState, rest: list[MachineState]) -> bool:
        return real(replace(cluster, min_copies=1), leaver, rest)

    real = reconfiguration._can_leave
    patch.setattr(reconfiguration, "_can_leave", may_go)


def members_that_want_to_go_are_counted_on(patch: Patch) -> None:
    def may_go(cluster: ClusterState, leaver: MachineState, rest: list[MachineState]) -> bool:
        return len([m for m in rest if m.complete]) >= min(cluster.min_copies, cluster.known_machines - 1)

    patch.setattr(reconfiguration, "_can_leave", may_go)


def a_minority_decides(patch: Patch) -> None:
    patch.setattr(ClusterState, "majority_alive", property(lambda self: any(m.alive for m in self.voters)))


def a_lost_disk_keeps_its_vote(patch: Patch) -> None:
    def suspended(cluster: ClusterState, chain: list[MachineState]) -> list[MachineState]:
        return real(replace(cluster, machines=[replace(m, disk_lost=False) for m in cluster.machines]), chain)

    real = reconfiguration._suspended
    patch.setattr(reconfiguration, "_suspended", suspended)


def who_is_suspended_loses_its_vote(patch: Patch) -> None:
    patch.setattr(reconfiguration, "_suspended", lambda cluster, chain: [])


def who_leaves_loses_its_vote(patch: Patch) -> None:
    def suspended(cluster: ClusterState, chain: list[MachineState]) -> list[MachineState]:
        return [m for m in real(cluster, chain) if m.departure not in (Departure.PLANNED, Departure.IMMEDIATE)]

    real = reconfiguration._suspended
    patch.setattr(reconfiguration, "_suspended", suspended)


def who_is_down_always_keeps_its_vote(patch: Patch) -> None:
    """The end of a leaver may then leave a view of which no majority is alive."""

    def suspended(cluster: ClusterState, chain: list[MachineState]) -> list[MachineState]:
        present = real(cluster, chain)
        down = [m for m in cluster.voters if not m.alive and not m.disk_lost and m not in present]
        return [*present, *down]

    real = reconfiguration._suspended
    patch.setattr(reconfiguration, "_suspended", suspended)


def the_only_disk_acknowledges(patch: Patch) -> None:
    patch.setattr(Replica, "has_too_few_copies", False)


def a_view_gives_votes_away(patch: Patch) -> None:
    """The living are then a majority, and the loss of a disk may stop the store."""

    def suspended(cluster: ClusterState, chain: list[MachineState]) -> list[MachineState]:
        return real(replace(cluster, min_voters=0), chain)

    real = reconfiguration._suspended
    patch.setattr(reconfiguration, "_suspended", suspended)


def nobody_rebuilds_the_chain(patch: Patch) -> None:
    for module in (reconfiguration, view_proposer):
        patch.setattr(module, "find_recovery", lambda cluster: None)


def any_complete_copy_rebuilds_the_chain(patch: Patch) -> None:
    """Also one from before a view in which changes may have been committed."""
    patch.setattr(recovery, "_was_never_committed", lambda cluster, past: True)
    patch.setattr(recovery, "_is_never_committed", lambda cluster: True)


def a_copy_that_a_repair_overwrites_rebuilds_the_chain(patch: Patch) -> None:
    def may_lead_after(machine: MachineState, past: PastView) -> bool:
        return real(replace(machine, intact=True), past)

    real = recovery._may_lead_after
    patch.setattr(recovery, "_may_lead_after", may_lead_after)


def a_view_counts_before_it_is_on_disk(patch: Patch) -> None:
    patch.setattr(Replica, "is_view_saved", property(lambda self: True, lambda self, value: None), raising=False)


def a_view_forgets_the_ones_before(patch: Patch) -> None:
    patch.setattr(reconfiguration, "next_history", lambda cluster: recovery.next_history(cluster)[:1])


def short_chains_are_remembered(patch: Patch) -> None:
    patch.setattr(ClusterState, "has_too_few_copies", False)


def the_tail_waits_for_its_learner(patch: Patch) -> None:
    def committed(self: Chain) -> int | None:
        if self._replica.is_tail and self._replica.learner is not None:
            acked_seq = self.successor.acked_seq
            return None if acked_seq is None else min(acked_seq, self._replica.state.seq)
        present: int | None = real.__get__(self)
        return present

    real = Chain.committed
    patch.setattr(Chain, "committed", property(committed))


def a_process_ends_at_once(patch: Patch) -> None:
    patch.setattr(Membership, "is_dispensable", lambda self: True)


def a_process_ends_before_the_others_know(patch: Patch) -> None:
    patch.setattr(Membership, "is_dispensable", lambda self: not self._replica.in_chain)
    patch.setattr(leaving, "LINGER_US", 0)
    patch.setattr(leaving, "CHECK_INTERVAL_US", 1)


def a_head_that_is_not_whole_stays(patch: Patch) -> None:
    patch.setattr(reconfiguration, "_is_head_incomplete", lambda present, chosen: False)


def a_learner_counts_as_whole_where_it_joins(patch: Patch) -> None:
    def adopt(self: Replica, view: View) -> bool:
        filled = self.complete and not self.in_chain
        update = real(self, view)
        self.complete = self.complete or (update and filled and self.in_chain)
        return update

    real = Replica.adopt
    patch.setattr(Replica, "adopt", adopt)


def a_stranger_answers_in_its_old_place(patch: Patch) -> None:
    patch.setattr(
        PredecessorLink,
        "_matches_own_role",
        lambda self, request: request.view_number == self._replica.view.number and not self._replica.is_head,
    )


DEFECTS_OF_DECISIONS = [
    learners_join_before_they_are_filled,
    a_learner_may_be_the_head,
    a_leaver_goes_whatever_stands_without_it,
    one_copy_is_enough,
    members_that_want_to_go_are_counted_on,
    a_minority_decides,
    a_lost_disk_keeps_its_vote,
    a_view_gives_votes_away,
    who_leaves_loses_its_vote,
    who_is_down_always_keeps_its_vote,
    who_is_suspended_loses_its_vote,
    a_head_that_is_not_whole_stays,
]
