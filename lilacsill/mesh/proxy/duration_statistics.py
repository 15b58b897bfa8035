"""How long a backend takes for a request. No I/O."""

from __future__ import annotations

GAIN = 0.1  # of the exponential smoothing of durations
SLOWDOWN_GAIN = 0.05  # of the smoothing of the slowdown
MAX_SLOWDOWN_SAMPLE = 5.0  # one response counts for no more than this
SLOWDOWN_PRIOR_SAMPLES = 4  # a new backend counts as one of usual speed, with the weight of so many responses
DEFAULT_DURATION_MS = 100.0  # before the first response
SHORT_SHARE = 0.5  # of the mean duration: a request that is expected to take less is short


class DurationStatistics:
    """Durations at one backend, by route and over all routes."""

    def __init__(self) -> None:
        self.mean_ms: float | None = None  # over all routes; None: no response yet
        self.slowdown = 1.0  # of this backend, as a multiple of the usual duration in the fleet
        self.by_route_ms: dict[str, float] = {}
        self._slowdown_samples = 0

    @property
    def reported_slowdown(self) -> float:
        """The slowdown for `Load.slowdown`; 0.0 before it is known."""
        return round(self.slowdown, 2) if self._slowdown_samples else 0.0

    def expected_us(self, route: str, fleet_ms: int | None = None) -> int:
        """Return how long the backend will probably take for a request.

        Args:
            route: The name of the request's route.
            fleet_ms: What requests of this route usually take in the whole fleet; None: not measured.
        """
        expected_ms = self.by_route_ms.get(route) or (fleet_ms or 0) * self.slowdown
        return int(1000 * (expected_ms or self.mean_ms or DEFAULT_DURATION_MS))

    def is_short(self, route: str, fleet_ms: int | None) -> bool:
        """Return whether a request is short beside what this backend does for others."""
        if not self.mean_ms:
            return False
        return self.expected_us(route, fleet_ms) < SHORT_SHARE * 1000 * self.mean_ms

    def mean_or_default_ms(self) -> float:
        """Return the mean duration over all routes, or a guess before the first response."""
        return self.mean_ms or DEFAULT_DURATION_MS

    def record(self, route: str, took_ms: float, fleet_ms: int | None) -> None:
        """Count the duration of one request."""
        self.mean_ms = _smoothed(self.mean_ms, took_ms)
        self.by_route_ms[route] = _smoothed(self.by_route_ms.get(route), took_ms)
        if fleet_ms:
            self._slowdown_samples += 1
            gain = max(SLOWDOWN_GAIN, 1 / (self._slowdown_samples + SLOWDOWN_PRIOR_SAMPLES))
            self.slowdown += gain * (min(MAX_SLOWDOWN_SAMPLE, took_ms / fleet_ms) - self.slowdown)


def _smoothed(mean: float | None, sample: float) -> float:
    return mean + GAIN * (sample - mean) if mean else sample
