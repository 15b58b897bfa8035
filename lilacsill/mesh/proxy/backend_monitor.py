"""Monitors the requests in flight at the backend: detects overdue and lost requests, and a silent backend."""

from __future__ import annotations

from lilacsill.mesh.runtime.log_ring import log
from lilacsill.mesh.runtime.reactor import Reactor

from .admission import AdmissionController
from .backend_pool import BackendPool
from .backend_request import BackendRequest
from .circuit_breaker import RESPONSE_TIMEOUT_US, CircuitBreaker
from .lost_requests import LostRequestDetector
from .reasons import FailureReason, RejectionReason

CHECK_US = 150_000
STALL_THRESHOLD_US = 150_000  # a check delayed by more means that this process was stalled; responses may be unread
OVERDUE_FACTOR = 5.0  # multiple of the usual duration
REPORT_LAG_US = 100_000  # a load report includes all requests in flight for longer than this


class BackendMonitor:
    """Checks the requests at one backend, at intervals and with each load report of the backend."""

    def __init__(
        self,
        reactor: Reactor,
        admission: AdmissionController,
        circuit_breaker: CircuitBreaker,
        pool: BackendPool,
        requests: set[BackendRequest],
    ) -> None:
        self._reactor, self._admission, self._pool = reactor, admission, pool
        self._circuit_breaker, self._requests = circuit_breaker, requests
        self._lost_requests = LostRequestDetector()
        self._running = False
        self._checked_at = 0

    def start(self) -> None:
        """Start checking at intervals, until there are no requests."""
        if not self._running:
            self._running, self._checked_at = True, self._reactor.now()
            self._reactor.after(CHECK_US, self._check)

    def _check(self) -> None:
        now = self._reactor.now()
        was_stalled, self._checked_at = now - self._checked_at > CHECK_US + STALL_THRESHOLD_US, now
        if not was_stalled:
            self._check_in_flight(self._in_flight(), now)
        self._running = bool(self._requests)
        if self._running:
            self._reactor.after(CHECK_US, self._check)

    def _in_flight(self) -> list[BackendRequest]:
        """Return the requests that the backend should have, except those that are suspected already."""
        return [request for request in self._requests if request.is_in_flight and not request.is_suspected]

    def _check_in_flight(self, in_flight: list[BackendRequest], now: int) -> None:
        for request in in_flight:
            self._check_overdue(request, now)
        ages = ((now - request.admission.started_at, self._expected_us(request)) for request in in_flight)
        if self._circuit_breaker.is_closed and self._circuit_breaker.is_silent(ages, now):
            self._on_silent(in_flight, now)

    def _expected_us(self, request: BackendRequest) -> int:
        return self._admission.durations.expected_us(request.admission.route)

    def _check_overdue(self, request: BackendRequest, now: int) -> None:
        """Count a request as a failure of the backend, once, if it takes far longer than usual."""
        age_us = now - request.admission.started_at
        if not request.is_overdue and age_us > max(RESPONSE_TIMEOUT_US, OVERDUE_FACTOR * self._expected_us(request)):
            request.is_overdue = True
            self._admission.failure_rate.record(False, now)

    def _on_silent(self, in_flight: list[BackendRequest], now: int) -> None:
        """Open the circuit breaker and suspect all reads, so that their senders may try another backend.

        Whether a write has run is unknown, so writes wait for a response until they time out.
        """
        log.info("circuit breaker opened: no response from the backend, %d requests in flight", len(in_flight))
        self._circuit_breaker.record_failure(now)
        self._admission.reject_all(RejectionReason.UNREACHABLE)
        self._pool.close_idle()
        for request in in_flight:
            if request.idempotent:
                request.suspect(FailureReason.BACKEND_SILENT)

    def on_report(self, report: bytes, answered: BackendRequest) -> None:
        """Process a load report of the backend, and suspect a request that the backend seems to have lost.

        Args:
            report: The value of the `Server-Load` header of a response; it may count the answered request, too.
            answered: The request that the response answers.
        """
        now = self._reactor.now()
        # The newest requests may have reached the backend after it made the report.
        reported = [
            request
            for request in self._in_flight()
            if (request is answered or now - request.admission.started_at > REPORT_LAG_US)
        ]
        if self._lost_requests.record_report(report, len(reported)):
            self._suspect_oldest([request for request in reported if request is not answered], now)

    def _suspect_oldest(self, in_flight: list[BackendRequest], now: int) -> None:
        """Suspect the oldest overdue read. A write may be running, so it is never sent to another backend."""
        overdue = [
            request
            for request in in_flight
            if request.idempotent
            and self._lost_requests.is_overdue(now - request.admission.started_at, self._expected_us(request))
        ]
        if overdue:
            oldest = min(overdue, key=lambda request: request.admission.started_at)
            oldest.suspect(FailureReason.BACKEND_LOST_IT)
