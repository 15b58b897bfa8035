"""Log lines about requests that were refused for lack of a decision, at most one in a second. No I/O but the log."""

from __future__ import annotations

from collections import Counter

from lilacsill.mesh.runtime.log_ring import log

from .reasons import RefusalReason

INTERVAL_US = 1_000_000  # a storm of refusals must not push all other lines out of the log


class UndecidedLog:
    """Counts refusals by reason, and logs the counts."""

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
            log.info("%d requests refused for lack of a decision: %s", count, counted_reason)
        self._counts.clear()
