"""Rate-limited log of requests refused because their permits were not decided: at most once per second."""

from __future__ import annotations

from collections import Counter

from lilacsill.mesh.runtime.log_ring import log

from .reasons import RefusalReason

INTERVAL_US = 1_000_000  # so that a burst of refusals does not displace all other lines of the log ring


class UndecidedLog:
    """Counts refusals by reason, and logs the counts at intervals."""

    def __init__(self) -> None:
        self._counts: Counter[RefusalReason] = Counter()
        self._logged_at: int | None = None

    def record(self, reason: RefusalReason, now: int) -> None:
        """Count a refusal at the time `now`, in microseconds."""
        self._counts[reason] += 1
        if self._logged_at is not None and now - self._logged_at < INTERVAL_US:
            return
        self._logged_at = now
        for counted_reason, count in self._counts.items():
            log.info("refused %d requests without a decision on their permits: %s", count, counted_reason)
        self._counts.clear()
