"""Paces the notification of proxies: batches changes, and limits the rate in a burst to bound the registry's CPU time.

Does no I/O; the caller passes the time.
"""

from __future__ import annotations

BATCHING_DELAY_US = 20_000  # changes that arrive within this time are sent together
PAUSE_PER_PROXY_US = 600  # pause after a notification per notified proxy; 4 to 10 times the CPU time of one reply
MAX_PAUSE_US = 500_000  # bounds the delay of a change for any number of proxies


class NotificationPacer:
    """Computes the delay before the next notification of proxies."""

    def __init__(self) -> None:
        self._paused_until = 0

    def delay_us(self, now: int) -> int:
        """Return the delay before a change that occurs now is sent."""
        return max(BATCHING_DELAY_US, self._paused_until - now)

    def record_notification(self, proxies: int, now: int) -> None:
        """Record that this many proxies were notified."""
        self._paused_until = now + min(proxies * PAUSE_PER_PROXY_US, MAX_PAUSE_US)
