"""Selects the learner that the tail of the chain brings up to date: one at a time, in rotation. No I/O."""

from __future__ import annotations

from typing import NamedTuple

from lilacsill.mesh.runtime.messages import Member

from .chain import Chain
from .cluster_monitor import ClusterMonitor, FaultTolerance
from .cluster_state import MachineState
from .failure_detector import FailureDetector
from .reconfiguration import learners_to_sync
from .replica import Replica

LEARNER_SLICE_US = 2_000_000  # after this time the tail continues with the next learner


class _SyncedLearner(NamedTuple):
    """When, and up to which change, a learner was synced in this view."""

    seq: int  # sequence number up to which it has all changes
    at_us: int


class LearnerScheduler:
    """The scheduler of one member, active only while that member is the tail."""

    def __init__(
        self,
        replica: Replica,
        chain: Chain,
        detector: FailureDetector,
        monitor: ClusterMonitor,
        tolerance: FaultTolerance,
    ) -> None:
        self._replica, self._environment, self._chain = replica, replica.environment, chain
        self._detector, self._monitor = detector, monitor
        self._spares = max(1, tolerance.machines)
        self._synced: dict[Member, _SyncedLearner] = {}  # in this view
        self._slice_began_at_us = 0
        replica.view_listeners.append(self._synced.clear)

    def on_learner_synced(self) -> None:
        """Record that the current learner has all changes, and continue with the next one."""
        learner = self._replica.learner
        if learner is not None:
            self._synced[learner] = _SyncedLearner(self._replica.state.seq, self._environment.now())
        self.schedule()

    def schedule(self) -> None:
        """Select the learner, if this member is the tail and there are any."""
        replica, now = self._replica, self._environment.now()
        if not replica.is_tail or not self._chain.synced:
            return
        if replica.learner is None and not self._monitor.reachable_outside_chain():
            return
        candidates = learners_to_sync(self._monitor.state(), self._spares)
        learners = [machine.member for machine in candidates if self._is_behind(machine)]
        is_slice_over = now - self._slice_began_at_us >= LEARNER_SLICE_US
        if replica.learner in learners and (not is_slice_over or len(learners) == 1):
            return
        self._slice_began_at_us = now
        self._chain.sync_learner(self._next_learner(learners))

    def _next_learner(self, learners: list[Member]) -> Member | None:
        """Return the learner after the current one, in rotation; the first if the current one is not in the list."""
        if not learners:
            return None
        current = self._replica.learner
        index = learners.index(current) + 1 if current in learners else 0
        return learners[index % len(learners)]

    def _is_behind(self, machine: MachineState) -> bool:
        """Return whether the learner lacks changes, or may lack them because it has not reported in this view."""
        last = self._detector.last_reply(machine.member.address)
        if last is None:
            return False  # it has never replied; it counts as alive only because the view is new
        seq = self._replica.state.seq
        synced = self._synced.get(machine.member)
        if synced is not None and synced.at_us > last.at_us:
            return synced.seq < seq  # the last reply came before the learner was synced
        return not machine.complete or last.reply.seq < seq
