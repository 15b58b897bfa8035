"""What a late caller has found full is taken for full until there is news.

Who finds no server is refused and comes back, and looking filled the core: refusals took two thirds of it,
a state that outlasts its trigger (Bronson et al., Metastable Failures in Distributed Systems, HotOS 2021).
"""

from __future__ import annotations

from .records import RequestRecord

SATURATED_US = 5_000  # without news; what fades by itself in so short a time changes little


class SaturationCache:
    """The least demanding request for which no server was found since the last news."""

    def __init__(self) -> None:
        self._until = 0
        self._least: tuple[float, int, float, float] = (0.0, 0, 0.0, 0.0)  # limit, time left, size, luck
        self.is_busy = False  # some server might have been sampled, were it not for its predicted time

    def clear(self) -> None:
        """An attempt has ended, an echo has come or the list has changed."""
        self._until = 0

    def record(self, r: RequestRecord, now: int, limit: float, busy: bool, lag_us: float, by_luck: bool) -> None:
        """Nothing was found for this one. `by_luck`: another may see servers that this one may not."""
        self.is_busy = busy
        if not r.attempt_count:  # a repeat asks for more: not where it was tried, nor out of its group
            # What a late caller reads has waited together: one look serves for as long as it is late.
            self._until = now + max(SATURATED_US, int(lag_us))
            self._least = limit, r.target_at - now, r.relative_cost, r.uniform_draw if by_luck else 0.0

    def covers(self, r: RequestRecord, now: int, limit: float) -> bool:
        """Whether this one asks for at least as much: no longer a predicted time, no less work, and no better
        luck with cold servers."""
        if r.attempt_count or now >= self._until:
            return False
        least_limit, left, size, luck = self._least
        return limit <= least_limit and r.target_at - now <= left and r.relative_cost >= size and r.uniform_draw >= luck
