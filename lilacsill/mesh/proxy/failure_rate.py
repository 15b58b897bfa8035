"""The failure rate of a backend, as measured by its proxy. No I/O; the caller passes the time.

The backend's own health check may report a false success or a false failure, so only the outcomes of real requests
count. Without outcomes the rate decays, so that the backend gets real requests again: a high rate makes a backend less
likely to be chosen but never excludes it.
"""

from __future__ import annotations

GAIN = 0.12  # weight of a new sample in the exponential moving average
HALVING_US = 2_500_000  # without outcomes, the rate halves in this time


class FailureRate:
    """The moving average of the share of failed requests at one backend."""

    def __init__(self) -> None:
        self._rate = 0.0
        self._updated_at = 0

    def current(self, now: int) -> float:
        """Return the rate as of now, between 0 and 1."""
        if not self._rate:
            return 0.0
        decay: float = 0.5 ** ((now - self._updated_at) / HALVING_US)
        return self._rate * decay

    def record(self, succeeded: bool, now: int) -> None:
        """Count the outcome of one request."""
        rate = self.current(now)
        self._rate = rate + GAIN * ((not succeeded) - rate)
        self._updated_at = now
