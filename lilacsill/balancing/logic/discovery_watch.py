"""The watch on the list of backends: when to ask discovery for updates."""

from __future__ import annotations

from ..interface import DiscoveryMode, Watch
from .context import Context
from .records import SECOND_US

# Discovery serves its callers in turn. Forty balancers that all began at once and came back within two seconds kept
# it busy with failing calls: for 15 s few received anything. So calls are spread, and back off to what it can bear.
CALL_US = SECOND_US // 10  # of discovery's time that one call may take
MIN_BACKOFF_US, MAX_BACKOFF_US = SECOND_US // 5, 8 * SECOND_US  # wait after a failed call, doubled each time
MIN_JITTER = 0.5  # a wait lasts 0.5 to 1.5 times its length


class DiscoveryWatch:
    """Keeps exactly one watch in flight where updates must be asked for."""

    def __init__(self, context: Context) -> None:
        self._context = context
        self._is_watching = self._is_planned = False
        self._spread_us = min((context.settings.balancer_count - 1) * CALL_US, MAX_BACKOFF_US // 2)
        self._initial_backoff_us = max(MIN_BACKOFF_US, self._spread_us)
        self._backoff_us = self._initial_backoff_us

    def on_failed(self) -> None:
        """Plan the next watch after a failed call, with exponential backoff and jitter."""
        self._is_watching = False
        self._watch_in(int(self._backoff_us * (MIN_JITTER + self._context.rng.random())))
        self._backoff_us = min(2 * self._backoff_us, MAX_BACKOFF_US)

    def on_succeeded(self) -> None:
        """Reset the backoff."""
        self._backoff_us = self._initial_backoff_us

    def ensure(self, is_first: bool) -> None:
        """Start a watch where updates must be asked for, unless one is in flight.

        Args:
            is_first: It is the first one after the start, which is spread over the balancers at random.
        """
        if self._context.settings.discovery is not DiscoveryMode.POLL or self._is_watching:
            return
        is_spread = is_first and self._spread_us > 0
        self._watch_in(int(self._spread_us * self._context.rng.random()) if is_spread else 0)

    def _watch_in(self, delay_us: int) -> None:
        if not delay_us:
            self._watch()
        elif not self._is_planned:
            self._is_planned = True
            self._context.call_at(self._context.now + delay_us, self._watch)

    def _watch(self) -> None:
        self._is_planned = False
        if not self._is_watching:
            self._is_watching = True
            self._context.actions.append(Watch())
