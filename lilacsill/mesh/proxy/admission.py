"""Admission control for a backend: which requests run, wait, or are rejected. No I/O; the caller passes the time.

All requests to the backend pass through it, so the number of requests in flight is exact. A request that would wait
too long to meet its latency target is rejected at once, since its sender may find a free slot at another backend.

The queue is ordered by expected duration, weighted by priority: a full backend serves the most value when short
requests go first (Smith, "Various optimizers for single-stage production", 1956). Short requests are mostly internal
calls that another request waits for. They must not fail because longer requests fill the queue, or their callers fail
too and retry: they displace the heaviest waiting request, and may wait beyond their latency target.

Requests of a starved kind (`served_shares`) go before all others until the kind has its share again.

A request that will miss its latency target is worth less than one that can meet it, and goes behind it. Otherwise the
clients that return after an outage fill the queue, and all requests behind theirs miss their targets, too.
"""

from __future__ import annotations

from collections.abc import Callable
from enum import StrEnum
from heapq import heapify, heappop, heappush
from math import inf, log

from lilacsill.mesh.runtime.messages import Load

from .duration_statistics import DurationStatistics
from .failure_rate import FailureRate
from .reasons import RejectionReason
from .served_shares import RequestKind, ServedShares

MAX_WAITING_PER_SLOT = 1.0
PRIORITY_WEIGHT = 1.5  # weight factor for each step of lower priority
# Weight factor of a late request, which has 0.3 of its value left. Its client may have been refused before, and a
# second refusal costs 0.3 of the value.
LATE_WEIGHT = 2.2
DISPLACING_SHARE = 0.5  # of the heaviest waiting request's weight: a request below it displaces that request

# Weights are kept and compared as logarithms: the weight of a route with a rank of some thousands is no valid float.
LOG_PRIORITY_WEIGHT = log(PRIORITY_WEIGHT)
LOG_LATE_WEIGHT = log(LATE_WEIGHT)
LOG_DISPLACING_SHARE = log(DISPLACING_SHARE)
STARVED_LOG_WEIGHT = -inf  # of a request of a starved kind


class AdmissionState(StrEnum):
    """The state of a request in admission control."""

    NEW = "new"
    WAITING = "waiting"
    RUNNING = "running"
    DONE = "done"


class AdmissionRequest:
    """A request for one of the backend's slots."""

    __slots__ = (
        "priority",
        "start_by",
        "route",
        "kind",
        "on_started",
        "on_rejected",
        "fleet_duration_ms",
        "is_late",
        "state",
        "started_at",
        "log_weight",
    )

    def __init__(
        self,
        priority: int,
        start_by: int,
        route: str,
        on_started: Callable[[], None],
        on_rejected: Callable[[RejectionReason], None],
        fleet_duration_ms: int | None = None,
        is_late: bool = False,
    ) -> None:
        """Describe a request.

        Args:
            priority: Lower is more urgent.
            start_by: The latest time, in microseconds, at which starting the request is still useful.
            route: The name of its route.
            on_started: Called when the request gets a slot.
            on_rejected: Called if the request is rejected after it was queued.
            fleet_duration_ms: The usual duration of the route's requests in the whole fleet; None: not measured.
            is_late: Whether the request is expected to miss its latency target.
        """
        self.priority, self.start_by, self.route = priority, start_by, route
        self.kind = RequestKind(route, priority)
        self.fleet_duration_ms, self.is_late = fleet_duration_ms, is_late
        self.on_started, self.on_rejected = on_started, on_rejected
        self.state = AdmissionState.NEW
        self.started_at = 0
        self.log_weight = 0.0  # the request with the lowest weight goes first


class AdmissionController:
    """The slots of one backend, and the queue of requests for them."""

    def __init__(self) -> None:
        self.slots = 1
        self.running = 0
        self.waiting = 0
        self.durations = DurationStatistics()
        self.failure_rate = FailureRate()
        self._served_shares = ServedShares()
        self._queue: list[tuple[float, int, AdmissionRequest]] = []  # a heap; may contain requests that no longer wait
        self._sequence = 0  # requests of the same weight go in order of arrival

    def load(self, now: int) -> Load:
        """Return the load of this backend as reported to other proxies."""
        return Load(
            self.running + self.waiting,
            self.slots,
            self.durations.reported_slowdown,
            round(self.failure_rate.current(now), 2),
        )

    def admit(self, request: AdmissionRequest, now: int) -> RejectionReason | None:
        """Start, queue or reject a request.

        Returns:
            Why the request is rejected (`on_rejected` is not called then); None if it runs or waits.
        """
        self._served_shares.record_arrival(request.kind, now)
        if self.running < self.slots and not self.waiting:
            self._start(request, now)
            return None
        request.log_weight = self._log_weight(request)
        displaced = None
        if self.waiting >= MAX_WAITING_PER_SLOT * self.slots:
            displaced = self._heaviest_waiting()
            if displaced is None or request.log_weight >= displaced.log_weight + LOG_DISPLACING_SHARE:
                return RejectionReason.FULL
        if now + self._expected_wait_us(request) > request.start_by:
            return RejectionReason.FULL
        if displaced is not None and self.withdraw(displaced):
            displaced.on_rejected(RejectionReason.FULL)
        self._enqueue(request)
        return None

    def withdraw(self, request: AdmissionRequest) -> bool:
        """Remove a request from the queue. Return whether it was waiting; if so, it will never run."""
        if request.state is not AdmissionState.WAITING:
            return False
        request.state = AdmissionState.DONE
        self.waiting -= 1
        return True

    def finish(self, request: AdmissionRequest, now: int, measured: bool) -> None:
        """Free the slot of a running request.

        Args:
            request: The request; nothing changes unless it is running.
            now: The current time in microseconds.
            measured: Whether the request ended with a successful response of the backend, so that its duration counts.
        """
        if request.state is not AdmissionState.RUNNING:
            return
        request.state = AdmissionState.DONE
        self.running -= 1
        if measured:
            self.durations.record(request.route, (now - request.started_at) / 1000, request.fleet_duration_ms)
        self.start_next(now)

    def start_next(self, now: int) -> None:
        """Start waiting requests while slots are free."""
        while self._queue and self.running < self.slots:
            request = heappop(self._queue)[2]
            if request.state is not AdmissionState.WAITING:
                continue
            self.waiting -= 1
            if now > request.start_by:
                request.state = AdmissionState.DONE
                request.on_rejected(RejectionReason.FULL)
            else:
                self._start(request, now)

    def reject_expired(self, now: int) -> None:
        """Reject the waiting requests whose `start_by` has passed."""
        waiting = [entry for entry in self._queue if entry[2].state is AdmissionState.WAITING]
        self._queue = [entry for entry in waiting if now <= entry[2].start_by]
        heapify(self._queue)
        self._reject([request for _, _, request in waiting if now > request.start_by], RejectionReason.FULL)

    def reject_all(self, reason: RejectionReason) -> None:
        """Reject all waiting requests: the backend accepts no more."""
        queue, self._queue = self._queue, []
        self._reject([request for _, _, request in queue], reason)

    def _reject(self, requests: list[AdmissionRequest], reason: RejectionReason) -> None:
        for request in requests:
            if self.withdraw(request):
                request.on_rejected(reason)

    def _start(self, request: AdmissionRequest, now: int) -> None:
        request.state, request.started_at = AdmissionState.RUNNING, now
        self.running += 1
        self._served_shares.record_start(request.kind)
        request.on_started()

    def _enqueue(self, request: AdmissionRequest) -> None:
        request.state = AdmissionState.WAITING
        self.waiting += 1
        self._sequence += 1
        heappush(self._queue, (request.log_weight, self._sequence, request))

    def _log_weight(self, request: AdmissionRequest) -> float:
        if self._served_shares.is_starved(request.kind):
            return STARVED_LOG_WEIGHT
        expected_us = max(1, self.durations.expected_us(request.route, request.fleet_duration_ms))
        log_weight = log(expected_us) + request.priority * LOG_PRIORITY_WEIGHT
        return log_weight + LOG_LATE_WEIGHT if request.is_late else log_weight

    def _heaviest_waiting(self) -> AdmissionRequest | None:
        waiting = (request for _, _, request in self._queue if request.state is AdmissionState.WAITING)
        return max(waiting, key=lambda request: request.log_weight, default=None)

    def _expected_wait_us(self, request: AdmissionRequest) -> float:
        ahead = sum(
            1
            for log_weight, _, other in self._queue
            if other.state is AdmissionState.WAITING and log_weight <= request.log_weight
        )
        return (ahead + 1) * 1000 * self.durations.mean_or_default_ms() / self.slots
