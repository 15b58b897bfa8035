"""A snapshot of what one member knows about all machines, as input to the decision on the next view. No I/O."""

from __future__ import annotations

import msgspec

from lilacsill.mesh.runtime.messages import Member

from .cluster_state import ClusterState, MachineState
from .disk_health import requested_departure
from .failure_detector import SUSPECT_AFTER_US, FailureDetector
from .replica import Replica


class FaultTolerance(msgspec.Struct, frozen=True):
    """How many machines and failure domains may fail at once without loss of data or service."""

    machines: int
    failure_domains: int  # zones or regions

    @property
    def min_copies(self) -> int:
        """The number of disks of which one is left when as many disks as there may be failed machines are lost."""
        return self.machines + 1

    @property
    def target_size(self) -> int:
        """The number of members that keeps a majority when `machines` of them fail."""
        return 2 * self.machines + 1


class ClusterMonitor:
    """Combines the view, this machine's own state and the heartbeats of the others."""

    def __init__(self, replica: Replica, detector: FailureDetector, tolerance: FaultTolerance) -> None:
        self._replica, self._detector, self._tolerance = replica, detector, tolerance

    def state(self) -> ClusterState:
        """Return the current snapshot."""
        view = self._replica.view
        outside = [member for member in self.reachable_outside_chain() if member not in view.members]
        machines = [self._machine(member) for member in (*view.members, *outside)]
        if self._tolerance.failure_domains:
            # All live machines become members, so that the machines of any one failure domain are a minority.
            target_size = sum(machine.alive for machine in machines)
            min_voters = len(view.members)
        else:
            target_size = min_voters = self._tolerance.target_size
        known_machines = len(self._detector.peers())
        min_copies = self._tolerance.min_copies
        return ClusterState(
            view, machines, min_copies, target_size, known_machines, min_voters, observer=self._replica.me
        )

    def reachable_outside_chain(self) -> list[Member]:
        """Return the machines outside the chain that replied recently."""
        chain = self._replica.view.chain
        return [member for member in self._detector.recent_responders() if member not in chain]

    def _machine(self, member: Member) -> MachineState:
        replica, detector = self._replica, self._detector
        if member == replica.me:
            departure = requested_departure(replica)
            return MachineState(
                member, True, replica.complete, departure, complete_view=replica.complete_view, intact=replica.intact
            )
        reply = detector.recent_reply(member, SUSPECT_AFTER_US)
        if reply is None:
            alive, disk_lost = detector.is_alive(member), detector.has_lost_disk(member)
            return MachineState(member, alive, None, disk_lost=disk_lost)
        if reply.view.number != replica.view.number:
            return MachineState(member, True, None, reply.departure)  # its last reply is from another view
        complete = reply.complete if member in replica.view.chain else reply.synced
        return MachineState(
            member, True, complete, reply.departure, complete_view=reply.complete_view, intact=reply.intact
        )
