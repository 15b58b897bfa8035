"""What this proxy learns of each route: how long requests take, and how long clients wait. No I/O."""

from __future__ import annotations

from lilacsill.balancing.mechanisms.majority import majority_value

MIN_SAMPLES = 8  # fewer say too little
MIN_GAIN = 0.02  # of the smoothing; the first samples count in equal parts


class RouteStatistics:
    """Figures by the name of the route."""

    def __init__(self) -> None:
        self._mean_ms: dict[str, float] = {}
        self._samples: dict[str, int] = {}
        self._usual_patience: dict[str, list[int]] = {}  # the state of a majority vote (`usual`)

    def record_duration(self, route: str, took_ms: int) -> None:
        """Count the time that a backend took for a request."""
        mean_ms, samples = self._mean_ms.get(route, 0.0), self._samples.get(route, 0)
        self._mean_ms[route] = mean_ms + max(MIN_GAIN, 1 / (samples + 1)) * (took_ms - mean_ms)
        self._samples[route] = samples + 1

    def usual_ms(self, route: str) -> int | None:
        """Return what a request takes at a backend, over the whole fleet; None where too few were seen."""
        if self._samples.get(route, 0) < MIN_SAMPLES:
            return None
        return max(1, int(self._mean_ms[route]))

    def time_spent_us(self, route: str, patience_us: int) -> int:
        """Return how much of its time a request has lost before it came here.

        A client that comes back after a refusal has less time left than is usual on its route.
        """
        votes = self._usual_patience.setdefault(route, [0, 0])
        return max(0, majority_value(votes, patience_us) - patience_us)
