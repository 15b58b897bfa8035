"""Concurrency window: it bounds attempts in flight while nothing is known about a fleet (slow start, RFC 5681, 3.1).

Without it an agent sent everything in its first second, took the resulting latency for the fleet's, and rejected the
rest.
"""

from __future__ import annotations

INITIAL_PER_BACKEND = 3.0  # attempts in flight at each backend, over all balancers, before the first response
ANSWERS_PER_SLOT = 4.0  # responses for each slot of the initial window, after which predictions replace it
MIN_ANSWERS = 8
STALLED_LATENCIES = 8.0  # no response for this many typical latencies with a full window: restart


class ConcurrencyWindow:
    """A limit of this balancer's attempts in flight; unlimited once service times are learned.

    Attributes:
        balancer_count: Balancers of the fleet, which share the initial window.
        limit: Attempts that may be in flight while the window is in force.
        in_flight: Attempts in flight.
        answers_needed: Responses until the window ends; 0 if it is not in force.
        answered_at: Clock time from which the silence of the fleet counts, microseconds.
    """

    def __init__(self, balancer_count: int) -> None:
        self.balancer_count = balancer_count
        self.limit, self.in_flight = 0.0, 0
        self.answers_needed = 0
        self.answered_at = 0

    def restart(self, now: int, backend_count: int) -> None:
        """Start with a small window: the list is completely new, or the fleet has been silent."""
        self.limit = self._initial_limit(backend_count)
        self.answers_needed = max(MIN_ANSWERS, int(ANSWERS_PER_SLOT * self.limit))
        self.answered_at = now

    def admits(self, now: int, backend_count: int, typical_latency_us: float, resumed_at: int) -> bool:
        """Return whether one more attempt may be sent now; restart if the fleet has been silent for too long.

        Args:
            now: Clock time, microseconds.
            backend_count: Backends that accept work.
            typical_latency_us: Mean latency of responses, microseconds; 0 if unknown.
            resumed_at: Silence before this clock time was the caller's own.
        """
        unanswered_us = now - max(self.answered_at, resumed_at)
        if (
            not self.answers_needed
            and typical_latency_us
            and self.in_flight >= self._initial_limit(backend_count)
            and unanswered_us > STALLED_LATENCIES * typical_latency_us
        ):
            self.restart(now, backend_count)
        return not self.answers_needed or self.in_flight < self.limit

    def record_send(self, now: int) -> None:
        """Count an attempt that was sent."""
        if not self.in_flight:
            self.answered_at = max(self.answered_at, now)  # silence counts from the first attempt in flight
        self.in_flight += 1

    def record_end(self, now: int, answered: bool) -> None:
        """Count an attempt that ended; a response opens the window by one."""
        self.in_flight -= 1
        if answered:
            self.answered_at = now
            if self.answers_needed:
                self.answers_needed -= 1
                self.limit += 1.0

    def _initial_limit(self, backend_count: int) -> float:
        return max(1.0, INITIAL_PER_BACKEND * backend_count / self.balancer_count)
