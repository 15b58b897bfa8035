"""When proxies are notified of changes: soon after the first, and in a burst no more often than a registry can bear.

No I/O; the clock from outside.
"""

from __future__ import annotations

BATCHING_DELAY_US = 20_000  # changes that arrive within this time go out together
PAUSE_PER_PROXY_US = 600  # after a notification, for each proxy: four to ten times the CPU time of one reply
MAX_PAUSE_US = 500_000  # so that a change is known to all proxies within this time, however many there are


class NotificationPacer:
    """Says when a registry may notify its proxies next."""

    def __init__(self) -> None:
        self._paused_until = 0

    def delay_us(self, now: int) -> int:
        """Return how long to wait after a change that came now."""
        return max(BATCHING_DELAY_US, self._paused_until - now)

    def notified(self, proxies: int, now: int) -> None:
        """Note that this many proxies were notified."""
        self._paused_until = now + min(proxies * PAUSE_PER_PROXY_US, MAX_PAUSE_US)
