"""Outlier detection: which backends are unhealthy, for how long they are ejected, and how they return."""

from __future__ import annotations

from collections.abc import Callable
from random import Random

from ..interface import Outcome
from .records import SECOND_US, BackendRecord, backend_name

FAILURE_GAIN = 0.1  # weight of a new attempt in the smoothed failure rate
SILENT_LATENCIES = 5  # no response for this many typical latencies, with attempts in flight, is silence
MIN_SILENT_ATTEMPTS = 2  # in flight, for silence to count
MIN_EJECTION_US, MAX_EJECTION_US = SECOND_US // 2, 4 * SECOND_US  # doubled at each ejection in a row
RARE_CONTACT_BALANCERS = 16  # among more balancers each meets a backend rarely, and ejections are longer,
MAX_EJECTION_FACTOR = 4.0  # at most by this factor
FAST_FAILURE = 0.1  # of a typical latency: an error this early proves a fault where contact is rare
MAX_CONSECUTIVE_FAILURES = 3  # eject
SUSPECT_FAILURES, SUSPECT_FAILURE_RATE = 2, 0.3  # eject if both are reached
MAX_TRIAL_ATTEMPTS = 8  # on trial at most this many attempts are in flight; then the limit is lifted
MIN_JITTER, JITTER = 0.75, 0.5  # an ejection lasts 0.75 to 1.25 times its length


class OutlierDetector:
    """Ejects backends from sampling, on strong evidence only, and readmits them step by step.

    Attributes:
        is_fault_shared: Most backends look unhealthy, so that none is ejected.
        ejection_factor: Factor of the length of ejections.
        resumed_at: Silence before this clock time was the caller's own, microseconds.
    """

    def __init__(self, rng: Random, log: Callable[[str], None], balancer_count: int) -> None:
        self._rng, self._log = rng, log
        self.is_fault_shared, self.resumed_at = False, 0
        self.set_balancer_count(balancer_count)

    def set_balancer_count(self, balancer_count: int) -> None:
        """Adapt the length of ejections to the number of balancers."""
        self.ejection_factor = min(MAX_EJECTION_FACTOR, max(1.0, balancer_count / RARE_CONTACT_BALANCERS))

    def refresh(self, backends: list[BackendRecord], now: int, typical_latency_us: float, resumed_at: int) -> None:
        """Check whether most backends look unhealthy: then the cause is shared, and the rest would be overloaded.

        Args:
            backends: Backends that accept work.
            now: Clock time, microseconds.
            typical_latency_us: Mean latency of responses, microseconds; 0 if unknown.
            resumed_at: Silence before this clock time was the caller's own, microseconds.
        """
        self.resumed_at = resumed_at
        unhealthy = sum(self.is_unhealthy(backend, now, typical_latency_us) for backend in backends)
        self.is_fault_shared = 2 * unhealthy > len(backends)

    def admits(self, backend: BackendRecord, now: int, typical_latency_us: float) -> bool:
        """Return whether a backend may be sampled."""
        return self.is_fault_shared or not self.is_unhealthy(backend, now, typical_latency_us)

    def is_unhealthy(self, backend: BackendRecord, now: int, typical_latency_us: float) -> bool:
        """Return whether a backend is ejected, has no trial attempt left, or is silent."""
        if backend.ejected_until > now:
            return True
        if backend.trial_limit is not None and len(backend.in_flight) >= backend.trial_limit:
            return True
        if len(backend.in_flight) < MIN_SILENT_ATTEMPTS or not typical_latency_us:
            return False
        oldest_sent_at = next(iter(backend.in_flight.values()))
        silent_since = max(oldest_sent_at, backend.answered_at, self.resumed_at)
        return now - silent_since > SILENT_LATENCIES * typical_latency_us

    def record_attempt(self, backend: BackendRecord, now: int, outcome: Outcome, was_fast: bool) -> None:
        """Learn from the end of an attempt; eject the backend if the evidence suffices.

        Args:
            backend: Backend of the attempt.
            now: Clock time, microseconds.
            outcome: How the attempt ended.
            was_fast: It ended within FAST_FAILURE of a typical latency.
        """
        if outcome is Outcome.OK:
            self._record_success(backend, now)
        elif outcome is not Outcome.NOT_SENT and outcome is not Outcome.CANCELLED:
            backend.failure_rate += FAILURE_GAIN * (1.0 - backend.failure_rate)
            backend.consecutive_failures += 1
            if self._must_eject(backend, now, outcome, was_fast):
                self.eject(backend, now, outcome.value)

    def record_probe(self, backend: BackendRecord, now: int, outcome: Outcome) -> None:
        """Learn from the end of a probe.

        A response is no proof that the process works, but a failed connect proves that it does not: a backend on
        trial is ejected again without risking an attempt.
        """
        if outcome is Outcome.CONNECT_FAILED and backend.trial_limit is not None:
            self.eject(backend, now, outcome.value)

    def eject(self, backend: BackendRecord, now: int, reason: str) -> None:
        """Eject a backend, twice as long as the last time; afterwards it is on trial."""
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
        # Where other balancers report it unhealthy, this attempt was the trial.
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
