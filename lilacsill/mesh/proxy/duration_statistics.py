"""Statistics on the duration of requests at a backend. No I/O."""

from __future__ import annotations

GAIN = 0.1  # weight of a new sample in the exponential moving average of durations
SLOWDOWN_GAIN = 0.05  # the same for the slowdown
MAX_SLOWDOWN_SAMPLE = 5.0  # upper bound of the sample of one response
SLOWDOWN_PRIOR_SAMPLES = 4  # the initial slowdown of 1.0 has the weight of this many responses
DEFAULT_DURATION_MS = 100.0  # before the first response
SHORT_SHARE = 0.5  # of the mean duration: a request with a lower expected duration is short


class DurationStatistics:
    """Durations at one backend, per route and over all routes."""

    def __init__(self) -> None:
        self.mean_ms: float | None = None  # over all routes; None: no response yet
        self.slowdown = 1.0  # duration at this backend as a multiple of the usual duration in the fleet
        self.by_route_ms: dict[str, float] = {}
        self._slowdown_samples = 0

    @property
    def reported_slowdown(self) -> float:
        """The value of `Load.slowdown`; 0.0 before the first sample."""
        return round(self.slowdown, 2) if self._slowdown_samples else 0.0

    def expected_us(self, route: str, fleet_duration_ms: int | None = None) -> int:
        """Return the expected duration of a request at the backend, in microseconds.

        Args:
            route: The name of the request's route.
            fleet_duration_ms: The usual duration of the route's requests in the whole fleet; None: not measured.
        """
        expected_ms = self.by_route_ms.get(route) or (fleet_duration_ms or 0) * self.slowdown
        return int(1000 * (expected_ms or self.mean_ms or DEFAULT_DURATION_MS))

    def is_short(self, route: str, fleet_duration_ms: int | None) -> bool:
        """Return whether a request is short compared with the other requests of this backend."""
        if not self.mean_ms:
            return False
        return self.expected_us(route, fleet_duration_ms) < SHORT_SHARE * 1000 * self.mean_ms

    def mean_or_default_ms(self) -> float:
        """Return the mean duration over all routes, or a default before the first response."""
        return self.mean_ms or DEFAULT_DURATION_MS

    def record(self, route: str, duration_ms: float, fleet_duration_ms: int | None) -> None:
        """Record the duration of one request."""
        self.mean_ms = _smoothed(self.mean_ms, duration_ms)
        self.by_route_ms[route] = _smoothed(self.by_route_ms.get(route), duration_ms)
        if fleet_duration_ms:
            self._slowdown_samples += 1
            gain = max(SLOWDOWN_GAIN, 1 / (self._slowdown_samples + SLOWDOWN_PRIOR_SAMPLES))
            self.slowdown += gain * (min(MAX_SLOWDOWN_SAMPLE, duration_ms / fleet_duration_ms) - self.slowdown)


def _smoothed(mean: float | None, sample: float) -> float:
    return mean + GAIN * (sample - mean) if mean else sample
