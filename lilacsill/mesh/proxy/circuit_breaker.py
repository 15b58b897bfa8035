"""A circuit breaker for a backend that has fallen silent. No I/O; the caller passes the time.

A backend is silent if nothing connects to it, or if it answers nothing that was sent. While the breaker is open,
requests are rejected at once, and one at a time is let through as a trial. A trial is an idempotent request if
possible: whether a write has run is not known if it meets silence. Only the proxy beside the backend can decide this,
because all requests to the backend pass there.
"""

from __future__ import annotations

from collections.abc import Iterable

MIN_BACKOFF_US = 200_000  # between two trials; it doubles with each failure
MAX_BACKOFF_US = 1_600_000
TRIAL_TIMEOUT_US = 1_000_000  # a trial in flight for so long does not delay the next one
WRITE_TRIAL_DELAY_US = 2_000_000  # where no idempotent request comes, a write is the trial after so long
RESPONSE_TIMEOUT_US = 400_000  # without any response
TIMEOUT_FACTOR = 4.0  # times the usual duration of a request without a response
MIN_OVERDUE = 2  # so many requests must be overdue: one alone may be a long one


class CircuitBreaker:
    """The breaker before one backend."""

    def __init__(self) -> None:
        self._backoff_us: int | None = None  # None: the breaker is closed
        self._trial_from = 0
        self._trial_started_at: int | None = None  # None: no trial is in flight
        self._last_response_at = 0

    @property
    def is_closed(self) -> bool:
        """Whether requests pass."""
        return self._backoff_us is None

    def rejects(self, idempotent: bool, now: int) -> bool:
        """Decide whether to reject a request. One that an open breaker does not reject is its trial."""
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
        """Open the breaker, or keep it open for longer: no connection could be made, or the backend is silent."""
        if self._backoff_us is None:
            self._backoff_us = MIN_BACKOFF_US
        else:
            self._backoff_us = min(2 * self._backoff_us, MAX_BACKOFF_US)
        self._trial_from, self._trial_started_at = now + self._backoff_us, None

    def is_silent(self, in_flight: Iterable[tuple[int, int]], now: int) -> bool:
        """Decide whether the backend has fallen silent.

        Args:
            in_flight: For each request in flight its age and its usual duration, in microseconds.
            now: The current time in microseconds.
        """
        since_response_us = now - self._last_response_at
        if since_response_us < RESPONSE_TIMEOUT_US:
            return False
        overdue = [usual for age, usual in in_flight if age > max(RESPONSE_TIMEOUT_US, TIMEOUT_FACTOR * usual)]
        return len(overdue) >= MIN_OVERDUE and since_response_us > TIMEOUT_FACTOR * min(overdue)
