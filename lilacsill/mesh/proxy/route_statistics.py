"""Statistics of each route: how long requests take, and the usual client timeout. No I/O."""

from __future__ import annotations

from lilacsill.balancing.mechanisms.majority import majority_value

MIN_SAMPLES = 8  # fewer samples are not representative
MIN_GAIN = 0.02  # smoothing factor of the moving average; the first 50 samples have equal weight


class RouteStatistics:
    """Statistics of one proxy, by name of the route."""

    def __init__(self) -> None:
        self._mean_ms: dict[str, float] = {}
        self._samples: dict[str, int] = {}
        self._usual_timeouts: dict[str, list[int]] = {}  # the state of a majority vote (`majority_value`)

    def record_duration(self, route: str, took_ms: int) -> None:
        """Record how long a backend took for a request, in milliseconds."""
        mean_ms, samples = self._mean_ms.get(route, 0.0), self._samples.get(route, 0)
        self._mean_ms[route] = mean_ms + max(MIN_GAIN, 1 / (samples + 1)) * (took_ms - mean_ms)
        self._samples[route] = samples + 1

    def expected_ms(self, route: str) -> int | None:
        """Return the mean duration of a request at a backend, over the whole fleet; None with too few samples."""
        if self._samples.get(route, 0) < MIN_SAMPLES:
            return None
        return max(1, int(self._mean_ms[route]))

    def time_spent_us(self, route: str, client_timeout_us: int) -> int:
        """Return how much of its time a request had used up before it arrived, and record its timeout.

        A client that retries after a refusal has less time left than is usual on its route.
        """
        votes = self._usual_timeouts.setdefault(route, [0, 0])
        return max(0, majority_value(votes, client_timeout_us) - client_timeout_us)
