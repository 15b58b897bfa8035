"""Concurrency window: limits attempts in flight until service times are learned (slow start, RFC 5681, section 3.1).

Without it an agent sent all requests in its first second, learned the resulting overload latency as the fleet's, and
rejected the requests that followed.
"""

from __future__ import annotations

INITIAL_PER_BACKEND = 3.0  # attempts in flight per backend, over all balancers, before the first response
RESPONSES_PER_SLOT = 4.0  # responses per slot of the initial window, after which predictions replace the window
MIN_RESPONSES = 8  # minimum number of responses after which predictions replace the window
RESTART_LATENCIES = 8.0  # typical latencies without a response, with a full window in flight, until it restarts


class ConcurrencyWindow:
    """Limit of this balancer's attempts in flight; there is no limit once service times are learned.

    Attributes:
        balancer_count: Number of balancers in the fleet, which share the initial window.
        limit: Limit of attempts in flight while the window is active.
        in_flight: Number of attempts in flight.
        responses_needed: Number of responses until the window ends; 0 if it is not active.
        no_response_since: Clock time from which a lack of responses counts, microseconds: the latest response, restart,
            or send while no other attempt was in flight.
    """

    def __init__(self, balancer_count: int) -> None:
        self.balancer_count = balancer_count
        self.limit, self.in_flight = 0.0, 0
        self.responses_needed = 0
        self.no_response_since = 0

    def restart(self, now: int, backend_count: int) -> None:
        """Start with a small window, since all backends are new or the fleet does not respond."""
        self.limit = self._initial_limit(backend_count)
        self.responses_needed = max(MIN_RESPONSES, int(RESPONSES_PER_SLOT * self.limit))
        self.no_response_since = now

    def admits(self, now: int, backend_count: int, typical_latency_us: float, resumed_at: int) -> bool:
        """Return whether an attempt may be sent now; restart the window if the fleet does not respond.

        Args:
            now: Clock time, microseconds.
            backend_count: Backends that accept work.
            typical_latency_us: Smoothed latency of responses, microseconds; 0 if unknown.
            resumed_at: Clock time at which the caller last resumed after a stall, microseconds; a lack of responses
                before it is not attributed to the fleet.
        """
        no_response_us = now - max(self.no_response_since, resumed_at)
        if (
            not self.responses_needed
            and typical_latency_us
            and self.in_flight >= self._initial_limit(backend_count)
            and no_response_us > RESTART_LATENCIES * typical_latency_us
        ):
            self.restart(now, backend_count)
        return not self.responses_needed or self.in_flight < self.limit

    def record_send(self, now: int) -> None:
        """Count a sent attempt."""
        if not self.in_flight:
            # A lack of responses counts from the first attempt in flight.
            self.no_response_since = max(self.no_response_since, now)
        self.in_flight += 1

    def record_end(self, now: int, has_response: bool) -> None:
        """Count an ended attempt; a response increases the limit by one."""
        self.in_flight -= 1
        if has_response:
            self.no_response_since = now
            if self.responses_needed:
                self.responses_needed -= 1
                self.limit += 1.0

    def _initial_limit(self, backend_count: int) -> float:
        return max(1.0, INITIAL_PER_BACKEND * backend_count / self.balancer_count)
