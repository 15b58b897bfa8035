"""The membership of the store as one machine manages it: connects the components and answers queries. No I/O.

At each heartbeat interval a machine sends heartbeats (`heartbeats`), proposes a new view if one is needed
(`view_proposer`) and, as the tail, selects the learner to bring up to date (`learner_scheduler`). `reconfiguration`
computes the next view from the state that `cluster_monitor` and `failure_detector` report.
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
from .reconfiguration import departure_blocker
from .replica import Replica
from .view_proposer import ViewProposer

LEASE_REQUEST_DELAY_US = 1_000  # after a view is adopted: leases that were requested up to that time are void


class LearnerState(StrEnum):
    """The synchronisation state of a learner, as shown by `status`."""

    WAITING = "waiting"
    SYNCING = "syncing"
    SYNCED = "synced"


class Membership:
    """The membership of the store as seen by one machine."""

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
        """Request leases for the new view without waiting for the next heartbeat interval."""
        self._environment.after(LEASE_REQUEST_DELAY_US, self._heartbeats.send_state)

    def handle_heartbeat(self, heartbeat: Heartbeat, reply: Callable[[Message], None]) -> None:
        """Reply to the heartbeat of another machine."""
        self._heartbeats.handle_heartbeat(heartbeat, reply)

    def handle_view_change(self, change: ViewChange, reply: Callable[[Message], None]) -> None:
        """Adopt a view that has been chosen, and reply with the number of the view in force here."""
        self._replica.adopt(change.view)
        reply(ViewChangeReply(self._replica.view.number))

    def on_leases_released(self) -> None:
        """Notify the grantors immediately with a heartbeat, so that they need not wait for the leases to end."""
        self._heartbeats.send()

    def on_learner_synced(self) -> None:
        """Start to synchronise the next learner."""
        self._learners.on_learner_synced()

    # Queries

    def peers(self) -> list[str]:
        """Return the sorted addresses of all known machines of the store, including this one."""
        return self._detector.peers()

    def holds_lease(self) -> bool:
        """Return whether the view is certainly in force: this machine holds leases of a majority of its members."""
        return self._lease_manager.is_valid()

    def is_alone(self) -> bool:
        """Return whether this machine is the only member of the chain and there is no learner that could replace it."""
        return self._replica.view.chain == (self._replica.me,) and not self._monitor.state().learners

    def is_dispensable(self) -> bool:
        """Return whether this machine is outside the chain and all members of the chain have adopted that view."""
        replica = self._replica
        if replica.in_chain:
            return False
        replies = [self._detector.recent_reply(member, SUSPECT_AFTER_US) for member in replica.view.chain]
        return all(reply is not None and reply.view.number >= replica.view.number for reply in replies)

    def departure_blocker(self) -> str:
        """Return, for operators, what the departure of this machine waits for; empty if it is not departing."""
        if not self._replica.departure:
            return ""
        return departure_blocker(self._monitor.state(), self._replica.me)

    def learner_states(self) -> dict[str, LearnerState]:
        """Return, for operators, the state of each learner by address."""
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
