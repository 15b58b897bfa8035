"""One machine's part in the membership of the store: the wiring of its parts, and questions about the outcome. No I/O.

At each interval a machine sends heartbeats (`heartbeats`), proposes another view where one is wanted (`view_proposer`)
and, as the tail, chooses the learner to bring up to date (`learner_scheduler`). `reconfiguration` decides which view is
wanted, from what `cluster_monitor` and `failure_detector` know.
"""

from __future__ import annotations

from collections.abc import Callable
from enum import StrEnum

from lilacsill.mesh.runtime.messages import Heartbeat, Message, ViewChange, ViewChangeReply

from .chain import Chain
from .cluster_monitor import ClusterMonitor, FaultTolerance
from .disk_health import is_disk_stalled
from .failure_detector import HEARTBEAT_INTERVAL_US, SUSPECT_AFTER_US, FailureDetector
from .heartbeats import Heartbeats
from .learner_scheduler import LearnerScheduler
from .lease_manager import LeaseManager
from .reconfiguration import departure_blocker, has_too_few_copies
from .replica import Replica
from .view_proposer import ViewProposer

LEASE_REQUEST_DELAY_US = 1_000  # after the adoption of a view: leases requested until then are void


class LearnerState(StrEnum):
    """How far a learner is, as `status` shows it."""

    WAITING = "waiting"
    SYNCING = "syncing"
    SYNCED = "synced"


class Membership:
    """The membership as one machine sees it."""

    def __init__(
        self,
        replica: Replica,
        chain: Chain,
        lease_manager: LeaseManager,
        seeds: list[str],
        tolerance: FaultTolerance,
    ) -> None:
        self._replica, self._environment = replica, replica.environment
        self._lease_manager = lease_manager
        self._detector = FailureDetector(replica)
        self._monitor = ClusterMonitor(replica, self._detector, tolerance)
        self._heartbeats = Heartbeats(replica, chain, lease_manager, self._detector, seeds)
        self._proposer = ViewProposer(replica, self._detector, self._monitor)
        self._learners = LearnerScheduler(replica, chain, self._detector, self._monitor, tolerance)
        replica.view_listeners.append(self._on_view_change)

    def start(self) -> None:
        """Begin to send heartbeats."""
        self._tick()

    def _tick(self) -> None:
        self._detector.tick()
        self._environment.after(HEARTBEAT_INTERVAL_US, self._tick)
        self._heartbeats.send()
        if not is_disk_stalled(self._environment):
            self._proposer.check()
        self._learners.schedule()

    # Events

    def _on_view_change(self) -> None:
        """Ask for leases of the new view without waiting for the next interval."""
        self._environment.after(LEASE_REQUEST_DELAY_US, self._heartbeats.send_state)

    def handle_heartbeat(self, heartbeat: Heartbeat, reply: Callable[[Message], None]) -> None:
        """Answer the heartbeat of another machine."""
        self._heartbeats.handle_heartbeat(heartbeat, reply)

    def handle_view_change(self, change: ViewChange, reply: Callable[[Message], None]) -> None:
        """Adopt a view that was chosen."""
        self._replica.adopt(change.view)
        reply(ViewChangeReply(self._replica.view.number))

    def on_leases_released(self) -> None:
        """Tell the grantors at once, with a heartbeat, so that they need not wait for the leases to end."""
        self._heartbeats.send()

    def on_learner_synced(self) -> None:
        """Go on to the next learner."""
        self._learners.on_learner_synced()

    # Questions

    def peers(self) -> list[str]:
        """Return the sorted addresses of all known machines of the store, with this one."""
        return self._detector.peers()

    def holds_lease(self) -> bool:
        """Return whether the view is certainly in force: leases of a majority of its members run."""
        return self._lease_manager.is_valid()

    def is_alone(self) -> bool:
        """Return whether no other machine could take over from this one."""
        return self._replica.view.chain == (self._replica.me,) and not self._monitor.state().learners

    def has_too_few_copies(self) -> bool:
        """Return whether changes are on too few disks as long as a learner has not joined the chain."""
        return has_too_few_copies(self._monitor.state())

    def is_dispensable(self) -> bool:
        """Return whether the chain goes on without this machine, and all of the chain know that."""
        replica = self._replica
        if replica.in_chain:
            return False
        replies = [self._detector.recent_reply(member, SUSPECT_AFTER_US) for member in replica.view.chain]
        return all(reply is not None and reply.view.number >= replica.view.number for reply in replies)

    def departure_blocker(self) -> str:
        """Return for operators what the departure of this machine waits for; empty if it does not leave."""
        if not self._replica.departure:
            return ""
        return departure_blocker(self._monitor.state(), self._replica.me)

    def learner_states(self) -> dict[str, LearnerState]:
        """Return for operators the state of each learner, by address."""
        states: dict[str, LearnerState] = {}
        for machine in self._monitor.state().learners:
            if machine.complete:
                state = LearnerState.SYNCED
            elif machine.member == self._replica.learner:
                state = LearnerState.SYNCING
            else:
                state = LearnerState.WAITING
            states[machine.member.address] = state
        return states
