"""Saturation cache: while the caller's CPU is saturated, a futile search for a backend is not repeated at once.

A rejected client retries, and each retry searches again. In an overloaded caller these searches took two thirds of the
CPU, a metastable failure that outlasts its trigger (Bronson et al., Metastable Failures in Distributed Systems, HotOS
2021).
"""

from __future__ import annotations

from .records import RequestRecord

ENTRY_LIFETIME_US = 5_000  # lifetime of an entry; decaying weights change little within it


class SaturationCache:
    """Cache of the least demanding request for which no backend was found since the latest change.

    Attributes:
        is_busy: A backend passed the health and warm-up checks, but its predicted time was too long.
    """

    def __init__(self) -> None:
        self.is_busy = False
        self._valid_until = 0
        self._time_limit, self._time_left = 0.0, 0
        self._relative_cost, self._uniform_draw = 0.0, 0.0

    def clear(self) -> None:
        """Invalidate the entry, since an attempt or probe ended or the list of backends changed."""
        self._valid_until = 0

    def record(
        self, request: RequestRecord, now: int, time_limit: float, is_busy: bool, lag_us: float, depends_on_draw: bool
    ) -> None:
        """Record that no backend was found for a request.

        Args:
            request: Request for which no backend was found.
            now: Clock time, microseconds.
            time_limit: Upper bound of the predicted time for this request, microseconds.
            is_busy: A backend passed the health and warm-up checks, but its predicted time was too long.
            lag_us: Smoothed lag of the caller's timers, microseconds.
            depends_on_draw: More backends may be eligible for a request with a lower `uniform_draw`.
        """
        self.is_busy = is_busy
        if request.attempt_count:
            return  # a retry is more constrained: to backends that it has not tried, within its dedup scope
        # Requests that queued up while the caller lagged are read together: one search serves all of them.
        self._valid_until = now + max(ENTRY_LIFETIME_US, int(lag_us))
        self._time_limit, self._time_left = time_limit, request.target_at - now
        self._relative_cost = request.relative_cost
        self._uniform_draw = request.uniform_draw if depends_on_draw else 0.0

    def covers(self, request: RequestRecord, now: int, time_limit: float) -> bool:
        """Return whether a request is at least as demanding as the recorded one, so that a search is futile."""
        if request.attempt_count or now >= self._valid_until:
            return False
        return (
            time_limit <= self._time_limit
            and request.target_at - now <= self._time_left
            and request.relative_cost >= self._relative_cost
            and request.uniform_draw >= self._uniform_draw
        )
