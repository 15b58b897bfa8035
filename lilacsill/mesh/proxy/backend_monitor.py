"""Watches the requests in flight at the backend: which are overdue or lost, and whether the backend is silent."""

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
STALLED_US = 150_000  # a check that is so late: this process was stalled, and responses may be there unread
OVERDUE_FACTOR = 5.0  # times the usual duration
KNOWN_AFTER_US = 100_000  # what is in flight for so long is surely known to the backend


class BackendMonitor:
    """Checks the requests of one backend at intervals, and with each report of the backend."""

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
        """Check at intervals until there are no requests."""
        if not self._running:
            self._running, self._checked_at = True, self._reactor.now()
            self._reactor.after(CHECK_US, self._check)

    def _check(self) -> None:
        now = self._reactor.now()
        was_stalled, self._checked_at = now - self._checked_at > CHECK_US + STALLED_US, now
        if not was_stalled:
            self._check_in_flight(self._in_flight(), now)
        self._running = bool(self._requests)
        if self._running:
            self._reactor.after(CHECK_US, self._check)

    def _in_flight(self) -> list[BackendRequest]:
        """Return the requests that the backend should have, without those whose senders know better already."""
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
        """Count a request as a failure of the backend, once, if it takes far longer than is usual."""
        age_us = now - request.admission.started_at
        if not request.is_overdue and age_us > max(RESPONSE_TIMEOUT_US, OVERDUE_FACTOR * self._expected_us(request)):
            request.is_overdue = True
            self._admission.failure_rate.record(False, now)

    def _on_silent(self, in_flight: list[BackendRequest], now: int) -> None:
        """Open the circuit breaker, and tell the senders of all reads, which may try them elsewhere.

        Whether a write has run is not known, so it waits until its time is up.
        """
        log.info("circuit breaker open: the backend is silent, %d requests in flight", len(in_flight))
        self._circuit_breaker.record_failure(now)
        self._admission.reject_all(RejectionReason.UNREACHABLE)
        self._pool.close_idle()
        for request in in_flight:
            if request.idempotent:
                request.suspect(FailureReason.BACKEND_SILENT)

    def on_report(self, report: bytes, answered: BackendRequest) -> None:
        """Take a backend's report of its load, and suspect a request that it seems to have lost.

        Args:
            report: The value of the `Server-Load` header of a response; it counts the answered request, too.
            answered: The request that was answered.
        """
        now = self._reactor.now()
        # What was sent a moment ago may have come after the report was made.
        known = [
            request
            for request in self._in_flight()
            if (request is answered or now - request.admission.started_at > KNOWN_AFTER_US)
        ]
        if self._lost_requests.record_report(report, len(known)):
            self._suspect_oldest([request for request in known if request is not answered], now)

    def _suspect_oldest(self, in_flight: list[BackendRequest], now: int) -> None:
        """Suspect the oldest overdue read. A write is never tried elsewhere: it may run."""
        overdue = [
            request
            for request in in_flight
            if request.idempotent
            and self._lost_requests.is_overdue(now - request.admission.started_at, self._expected_us(request))
        ]
        if overdue:
            oldest = min(overdue, key=lambda request: request.admission.started_at)
            oldest.suspect(FailureReason.BACKEND_LOST_IT)
