"""What a late caller has found full is taken for full until there is news.

Who finds no server is refused and comes back, and looking filled the core: refusals took two thirds of it,
a state that outlasts its trigger (Bronson et al., Metastable Failures in Distributed Systems, HotOS 2021).
"""

from __future__ import annotations

from .records import Request

FULL_US = 5_000  # without news; what fades by itself in so short a time changes little


class SaturationCache:
    """The least demanding request for which no server was found since the last news."""

    def __init__(self) -> None:
        self._until = 0
        self._least: tuple[float, int, float, float] = (0.0, 0, 0.0, 0.0)  # limit, time left, size, luck
        self.busy = False  # some server might have been sampled, were it not for its predicted time

    def news(self) -> None:
        """An attempt has ended, an echo has come or the list has changed."""
        self._until = 0

    def found(self, r: Request, now: int, limit: float, busy: bool, lag_us: float, by_luck: bool) -> None:
        """Nothing was found for this one. `by_luck`: another may see servers that this one may not."""
        self.busy = busy
        if not r.sends:  # a repeat asks for more: not where it was tried, nor out of its group
            # What a late caller reads has waited together: one look serves for as long as it is late.
            self._until = now + max(FULL_US, int(lag_us))
            self._least = limit, r.aim_at - now, r.size, r.luck if by_luck else 0.0

    def holds(self, r: Request, now: int, limit: float) -> bool:
        """Whether this one asks for at least as much: no longer a predicted time, no less work, and no better
        luck with cold servers."""
        if r.sends or now >= self._until:
            return False
        least_limit, left, size, luck = self._least
        return limit <= least_limit and r.aim_at - now <= left and r.size >= size and r.luck >= luck
