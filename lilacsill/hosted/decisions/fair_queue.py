"""Fair use of the one core: start-time fair queueing over flows (Goyal, Vin and Cheng, 1996).

The resource is time of the event loop, measured as it is used: reading, parsing, refusing, and a share of the further
cost of each request. A flow is the work for one tenant (or for a group of its connections). Each flow has a virtual
time that advances by cost / weight; the system's virtual time is the lowest among the flows that used the core lately.
A flow that returns after a pause starts at the system's virtual time, so that it saves nothing up. A flow that is ahead
of the system by more than a quantum waits. Waiting flows continue in the order of their virtual times, one in each
iteration of the event loop: when the others have caught up, or at once if no other flow used the core in the iteration
before (work-conserving).
"""

from __future__ import annotations

from collections.abc import Sequence
from dataclasses import dataclass
from heapq import heapify, heappop, heappush, heapreplace

QUANTUM_US = 4_000.0
"""Microseconds of the core that a flow of weight 1 may be ahead."""
ACTIVE_US = 100_000
"""A flow that used nothing for so long no longer delays the others."""
UPDATE_INTERVAL_US = 1_000
"""The system's virtual time is updated so often."""
MIN_WEIGHT = 1e-6
"""A tenant of weight 0 is refused by the directory; its flow must not divide by 0."""


@dataclass(slots=True)
class Flow:
    """The state of one flow."""

    weight: float
    virtual_us: float = 0.0
    """Its virtual time: microseconds of the core for each unit of weight."""
    used_us: float = 0.0
    """Microseconds of the core in total."""
    waiting: bool = False


class FairQueue:
    """The flows of one worker. The caller gives the clock and the costs, both in microseconds."""

    def __init__(self) -> None:
        self._virtual_us = 0.0  # of the system
        self._flows: dict[int, Flow] = {}
        self._waiting: list[tuple[float, int]] = []  # a heap of virtual times and flows
        self._active: dict[int, int] = {}  # when each flow that used the core lately was last charged
        self._charged: set[int] = set()  # flows that used the core since `next_flow` was last called
        self._updated_us = 0

    def join(self, flow_id: int, weight: float) -> None:
        """Add a flow, or change its weight."""
        flow = self._flows.get(flow_id)
        if flow is None:
            self._flows[flow_id] = Flow(max(weight, MIN_WEIGHT), self._virtual_us)
        else:
            flow.weight = max(weight, MIN_WEIGHT)

    def leave(self, flow_id: int) -> None:
        """Remove a flow, if it is there."""
        self._flows.pop(flow_id, None)
        self._active.pop(flow_id, None)
        self._charged.discard(flow_id)
        self._waiting = [entry for entry in self._waiting if entry[1] != flow_id]
        heapify(self._waiting)

    def used_us(self, flow_id: int) -> float:
        """Report the time of the core that a flow has used, in microseconds."""
        flow = self._flows.get(flow_id)
        return flow.used_us if flow is not None else 0.0

    def charge(self, flow_id: int, cost_us: float, now_us: int) -> None:
        """Charge a flow for work of the core that ended at `now_us`."""
        flow = self._flows.get(flow_id)
        if flow is None or cost_us <= 0:
            return
        flow.virtual_us = max(flow.virtual_us, self._virtual_us) + cost_us / flow.weight
        flow.used_us += cost_us
        self._active[flow_id] = now_us
        self._charged.add(flow_id)
        if now_us - self._updated_us >= UPDATE_INTERVAL_US:
            self._update_virtual_time(now_us)

    def _update_virtual_time(self, now_us: int) -> None:
        self._updated_us = now_us
        for flow_id in [key for key, last_us in self._active.items() if now_us - last_us > ACTIVE_US]:
            if not self._flows[flow_id].waiting:
                del self._active[flow_id]
        if self._active:
            lowest_us = min(self._flows[flow_id].virtual_us for flow_id in self._active)
            self._virtual_us = max(self._virtual_us, lowest_us)

    def is_ahead(self, flow_id: int) -> bool:
        """Say whether a flow has used more than its share while other flows were active."""
        flow = self._flows.get(flow_id)
        return flow is not None and flow.virtual_us - self._virtual_us > QUANTUM_US / flow.weight

    def wait(self, flow_id: int) -> None:
        """Let a flow wait until `next_flow` returns it."""
        flow = self._flows.get(flow_id)
        if flow is not None and not flow.waiting:
            flow.waiting = True
            heappush(self._waiting, (flow.virtual_us, flow_id))

    @property
    def waiting(self) -> int:
        """The number of waiting flows."""
        return len(self._waiting)

    def next_flow(self) -> int | None:
        """Take the waiting flow that may continue, or None. To be called once in each iteration of the event loop."""
        charged, self._charged = self._charged, set()
        while self._waiting:
            virtual_us, flow_id = self._waiting[0]
            flow = self._flows.get(flow_id)
            if flow is None or not flow.waiting:
                heappop(self._waiting)
            elif virtual_us < flow.virtual_us:  # charged while it waited
                heapreplace(self._waiting, (flow.virtual_us, flow_id))
            elif self.is_ahead(flow_id) and any(
                other != flow_id and not self._flows[other].waiting for other in charged
            ):
                return None
            else:
                heappop(self._waiting)
                flow.waiting = False
                return flow_id
        return None


def jain_index(shares: Sequence[float]) -> float:
    """Compute Jain's index of fairness (Jain, Chiu and Hawe, 1984): 1 when all are equal, 1 / n when one has all."""
    total = sum(shares)
    squares = sum(share * share for share in shares)
    return total * total / (len(shares) * squares) if squares else 1.0
