"""Discovery watch: schedules the calls that request updates of the list of backends."""

from __future__ import annotations

from ..interface import DiscoveryMode, Watch
from .context import Context
from .records import SECOND_US

# Discovery serves calls sequentially. Forty balancers that started at the same time and retried within 2 s kept it busy
# with failing calls, so that few received an update for 15 s. Therefore calls are spread over time, with a backoff long
# enough for discovery to serve all balancers.
CALL_DURATION_US = SECOND_US // 10  # assumed time for which discovery is busy with one call
MIN_BACKOFF_US, MAX_BACKOFF_US = SECOND_US // 5, 8 * SECOND_US  # wait after a failed call, doubled at each failure
MIN_JITTER = 0.5  # a wait is scaled by a random factor of 0.5 to 1.5


class DiscoveryWatch:
    """Keeps exactly one watch in flight with DiscoveryMode.POLL."""

    def __init__(self, context: Context) -> None:
        self._context = context
        self._is_watching = self._is_scheduled = False
        self._spread_us = min((context.settings.balancer_count - 1) * CALL_DURATION_US, MAX_BACKOFF_US // 2)
        self._initial_backoff_us = max(MIN_BACKOFF_US, self._spread_us)
        self._backoff_us = self._initial_backoff_us

    def on_failed(self) -> None:
        """Schedule the next watch after a failed call, with exponential backoff and jitter."""
        self._is_watching = False
        self._schedule_watch(int(self._backoff_us * (MIN_JITTER + self._context.rng.random())))
        self._backoff_us = min(2 * self._backoff_us, MAX_BACKOFF_US)

    def on_succeeded(self) -> None:
        """Reset the backoff after a successful call."""
        self._backoff_us = self._initial_backoff_us

    def ensure(self, is_first: bool) -> None:
        """Start a watch with DiscoveryMode.POLL, unless one is in flight.

        Args:
            is_first: Whether it is the first watch after the start, which is delayed at random to spread the balancers'
                calls.
        """
        if self._context.settings.discovery is not DiscoveryMode.POLL or self._is_watching:
            return
        is_spread = is_first and self._spread_us > 0
        self._schedule_watch(int(self._spread_us * self._context.rng.random()) if is_spread else 0)

    def _schedule_watch(self, delay_us: int) -> None:
        if not delay_us:
            self._watch()
        elif not self._is_scheduled:
            self._is_scheduled = True
            self._context.call_at(self._context.now + delay_us, self._watch)

    def _watch(self) -> None:
        self._is_scheduled = False
        if not self._is_watching:
            self._is_watching = True
            self._context.actions.append(Watch())
