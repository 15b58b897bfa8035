"""A circuit breaker for a backend that has stopped responding. No I/O; the caller passes the time.

A backend is silent if no connection to it succeeds, or if it answers none of the requests sent to it. While the breaker
is open, requests are rejected at once, except for one trial at a time. The trial is an idempotent request if possible:
it is unknown whether a write without a response has run. Only the proxy of the backend can decide this, because all
requests to the backend pass through that proxy.
"""

from __future__ import annotations

from collections.abc import Iterable

MIN_BACKOFF_US = 200_000  # between two trials; doubles with each failure
MAX_BACKOFF_US = 1_600_000
TRIAL_TIMEOUT_US = 1_000_000  # a trial in flight for longer does not delay the next one
WRITE_TRIAL_DELAY_US = 2_000_000  # without an idempotent request, a write becomes the trial after this delay
RESPONSE_TIMEOUT_US = 400_000  # minimum time without any response before the backend counts as silent
TIMEOUT_FACTOR = 4.0  # a request is overdue after this multiple of its usual duration
MIN_OVERDUE = 2  # minimum number of overdue requests: a single one may just take long


class CircuitBreaker:
    """The circuit breaker for one backend."""

    def __init__(self) -> None:
        self._backoff_us: int | None = None  # None: the breaker is closed
        self._trial_from = 0
        self._trial_started_at: int | None = None  # None: no trial is in flight
        self._last_response_at = 0

    @property
    def is_closed(self) -> bool:
        """Whether all requests pass."""
        return self._backoff_us is None

    def rejects(self, idempotent: bool, now: int) -> bool:
        """Decide whether to reject a request. A request that an open breaker lets through is its trial."""
        if self._backoff_us is None:
            return False
        if now < self._trial_from or self._trial_in_flight(now):
            return True
        if not idempotent and now < self._trial_from + WRITE_TRIAL_DELAY_US:
            return True
        self._trial_started_at = now
        return False

    def _trial_in_flight(self, now: int) -> bool:
        return self._trial_started_at is not None and now - self._trial_started_at < TRIAL_TIMEOUT_US

    def record_response(self, now: int) -> None:
        """Close the breaker: the backend has answered a request."""
        self._backoff_us, self._last_response_at = None, now

    def record_failure(self, now: int) -> None:
        """Open the breaker, or double its backoff: no connection could be made, or the backend is silent."""
        if self._backoff_us is None:
            self._backoff_us = MIN_BACKOFF_US
        else:
            self._backoff_us = min(2 * self._backoff_us, MAX_BACKOFF_US)
        self._trial_from, self._trial_started_at = now + self._backoff_us, None

    def is_silent(self, in_flight: Iterable[tuple[int, int]], now: int) -> bool:
        """Return whether the backend has stopped responding.

        Args:
            in_flight: The age and the usual duration of each request in flight, in microseconds.
            now: The current time in microseconds.
        """
        since_response_us = now - self._last_response_at
        if since_response_us < RESPONSE_TIMEOUT_US:
            return False
        overdue = [usual for age, usual in in_flight if age > max(RESPONSE_TIMEOUT_US, TIMEOUT_FACTOR * usual)]
        return len(overdue) >= MIN_OVERDUE and since_response_us > TIMEOUT_FACTOR * min(overdue)
