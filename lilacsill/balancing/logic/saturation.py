"""Cache of saturation: what a late caller has found saturated stays so until something changes.

A client that finds no backend is rejected and retries. In an overloaded caller the search alone took two thirds of the
CPU, a state that outlasts its trigger (Bronson et al., Metastable Failures in Distributed Systems, HotOS 2021).
"""

from __future__ import annotations

from .records import RequestRecord

SATURATED_US = 5_000  # lifetime of an entry without news; what decays by itself within it changes little


class SaturationCache:
    """The least demanding request for which no backend was found since the latest change.

    Attributes:
        is_busy: Some backend might have been sampled, were it not for its predicted time.
    """

    def __init__(self) -> None:
        self.is_busy = False
        self._valid_until = 0
        self._time_limit, self._time_left = 0.0, 0
        self._relative_cost, self._uniform_draw = 0.0, 0.0

    def clear(self) -> None:
        """Forget the entry: an attempt or a probe has ended, or the list of backends has changed."""
        self._valid_until = 0

    def record(
        self, request: RequestRecord, now: int, time_limit: float, is_busy: bool, lag_us: float, depends_on_draw: bool
    ) -> None:
        """Record that no backend was found for a request.

        Args:
            request: The request.
            now: Clock time, microseconds.
            time_limit: Longest predicted time that it would have accepted, microseconds.
            is_busy: Some backend might have been sampled, were it not for its predicted time.
            lag_us: Usual lag of the caller's timers, microseconds.
            depends_on_draw: A request with a lower `uniform_draw` may see more backends.
        """
        self.is_busy = is_busy
        if request.attempt_count:
            return  # A repeat asks for more: a backend where it was not tried, inside its dedup scope.
        # Requests that a late caller reads have waited together: one search serves them all.
        self._valid_until = now + max(SATURATED_US, int(lag_us))
        self._time_limit, self._time_left = time_limit, request.target_at - now
        self._relative_cost = request.relative_cost
        self._uniform_draw = request.uniform_draw if depends_on_draw else 0.0

    def covers(self, request: RequestRecord, now: int, time_limit: float) -> bool:
        """Return whether a request demands at least as much as the recorded one, so that a search is futile."""
        if request.attempt_count or now >= self._valid_until:
            return False
        return (
            time_limit <= self._time_limit
            and request.target_at - now <= self._time_left
            and request.relative_cost >= self._relative_cost
            and request.uniform_draw >= self._uniform_draw
        )
