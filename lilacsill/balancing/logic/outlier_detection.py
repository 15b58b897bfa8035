"""Outlier detection: ejects unhealthy backends for a limited time and readmits them step by step."""

from __future__ import annotations

from collections.abc import Callable
from random import Random

from ..interface import Outcome
from .records import SECOND_US, BackendRecord, backend_name

FAILURE_GAIN = 0.1  # weight of an ended attempt in the smoothed failure rate
UNRESPONSIVE_LATENCIES = 5  # typical latencies without a response after which a backend is unresponsive
MIN_UNRESPONSIVE_ATTEMPTS = 2  # attempts in flight below which a backend is not considered unresponsive
MIN_EJECTION_US, MAX_EJECTION_US = SECOND_US // 2, 4 * SECOND_US  # doubled at each consecutive ejection
RARE_CONTACT_BALANCERS = 16  # with more balancers each one rarely sends to a given backend: ejections are longer
MAX_EJECTION_FACTOR = 4.0  # limit of the factor by which they are longer
FAST_FAILURE = 0.1  # of a typical latency: an error this early proves a fault with more than RARE_CONTACT_BALANCERS
MAX_CONSECUTIVE_FAILURES = 3  # consecutive failures that eject
SUSPECT_FAILURES, SUSPECT_FAILURE_RATE = 2, 0.3  # consecutive failures and failure rate that eject together
MAX_TRIAL_ATTEMPTS = 8  # trial limit up to which successes raise it; beyond it the backend is readmitted in full
MIN_JITTER, JITTER = 0.75, 0.5  # an ejection is scaled by a random factor of 0.75 to 1.25


class OutlierDetector:
    """Ejects backends from sampling on strong evidence only, and readmits them step by step.

    Attributes:
        is_fault_shared: Whether most backends look unhealthy, in which case all of them may be sampled.
        ejection_factor: Factor on the duration of ejections.
        resumed_at: Clock time at which the caller last resumed after a stall, microseconds; backends are not blamed for
            missing responses before it.
    """

    def __init__(self, rng: Random, log: Callable[[str], None], balancer_count: int) -> None:
        self._rng, self._log = rng, log
        self.is_fault_shared, self.resumed_at = False, 0
        self.set_balancer_count(balancer_count)

    def set_balancer_count(self, balancer_count: int) -> None:
        """Adapt the duration of ejections to the number of balancers."""
        self.ejection_factor = min(MAX_EJECTION_FACTOR, max(1.0, balancer_count / RARE_CONTACT_BALANCERS))

    def refresh(self, backends: list[BackendRecord], now: int, typical_latency_us: float, resumed_at: int) -> None:
        """Check whether most backends look unhealthy: then they share a fault, and ejections would overload the others.

        Args:
            backends: Backends that accept work.
            now: Clock time, microseconds.
            typical_latency_us: Smoothed latency of responses, microseconds; 0 if unknown.
            resumed_at: Clock time at which the caller last resumed after a stall, microseconds.
        """
        self.resumed_at = resumed_at
        unhealthy = sum(self.is_unhealthy(backend, now, typical_latency_us) for backend in backends)
        self.is_fault_shared = 2 * unhealthy > len(backends)

    def admits(self, backend: BackendRecord, now: int, typical_latency_us: float) -> bool:
        """Return whether a backend may be sampled."""
        return self.is_fault_shared or not self.is_unhealthy(backend, now, typical_latency_us)

    def is_unhealthy(self, backend: BackendRecord, now: int, typical_latency_us: float) -> bool:
        """Return whether a backend is ejected, has reached its trial limit, or is unresponsive."""
        if backend.ejected_until > now:
            return True
        if backend.trial_limit is not None and len(backend.in_flight) >= backend.trial_limit:
            return True
        if len(backend.in_flight) < MIN_UNRESPONSIVE_ATTEMPTS or not typical_latency_us:
            return False
        oldest_sent_at = next(iter(backend.in_flight.values()))
        unresponsive_since = max(oldest_sent_at, backend.responded_at, self.resumed_at)
        return now - unresponsive_since > UNRESPONSIVE_LATENCIES * typical_latency_us

    def record_attempt(self, backend: BackendRecord, now: int, outcome: Outcome, was_fast: bool) -> None:
        """Record the outcome of an attempt; eject the backend if the evidence is sufficient.

        Args:
            backend: Backend of the attempt.
            now: Clock time, microseconds.
            outcome: Outcome of the attempt.
            was_fast: Whether the attempt ended within FAST_FAILURE of a typical latency.
        """
        if outcome is Outcome.OK:
            self._record_success(backend, now)
        elif outcome is not Outcome.NOT_SENT and outcome is not Outcome.CANCELLED:
            backend.failure_rate += FAILURE_GAIN * (1.0 - backend.failure_rate)
            backend.consecutive_failures += 1
            if self._must_eject(backend, now, outcome, was_fast):
                self.eject(backend, now, outcome.value)

    def record_probe(self, backend: BackendRecord, now: int, outcome: Outcome) -> None:
        """Record the outcome of a probe.

        A response does not prove that the process works, but a failed connect proves that it does not. A failed
        connect ejects a backend on trial again without the risk of an attempt.
        """
        if outcome is Outcome.CONNECT_FAILED and backend.trial_limit is not None:
            self.eject(backend, now, outcome.value)

    def eject(self, backend: BackendRecord, now: int, reason: str) -> None:
        """Eject a backend for twice the previous duration, within the limits; afterwards it is on trial."""
        if backend.ejected_until > now:
            return
        if not backend.ejection_us:
            self._log(f"server {backend_name(backend.id)} excluded: {reason}")
        backend.ejection_us = min(2 * backend.ejection_us or MIN_EJECTION_US, MAX_EJECTION_US)
        jitter = MIN_JITTER + JITTER * self._rng.random()
        backend.ejected_until = now + int(backend.ejection_us * self.ejection_factor * jitter)
        backend.trial_limit = 1

    def _record_success(self, backend: BackendRecord, now: int) -> None:
        backend.failure_rate -= FAILURE_GAIN * backend.failure_rate
        backend.consecutive_failures = 0
        if backend.trial_limit is None or backend.ejected_until > now:
            return
        backend.trial_limit += 1
        if backend.trial_limit > MAX_TRIAL_ATTEMPTS:
            backend.trial_limit = None
            backend.ejection_us = 0
            self._log(f"server {backend_name(backend.id)} healthy: readmitted in full")

    def _must_eject(self, backend: BackendRecord, now: int, outcome: Outcome, was_fast: bool) -> bool:
        # An attempt at a backend that other balancers report as unhealthy is a trial, too.
        was_trial = backend.trial_limit is not None or backend.peer_health.expires_at_us > now
        lost_connection = outcome is Outcome.RESET or outcome is Outcome.CONNECT_FAILED
        fast_error = was_fast and outcome is Outcome.ERROR and self.ejection_factor > 1.0
        failures = backend.consecutive_failures
        return (
            was_trial
            or lost_connection
            or fast_error
            or failures >= MAX_CONSECUTIVE_FAILURES
            or (failures >= SUSPECT_FAILURES and backend.failure_rate > SUSPECT_FAILURE_RATE)
        )
