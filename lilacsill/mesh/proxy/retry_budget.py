"""The retry budget: a bound on arrivals at a service beyond the first of each request, over all proxies.

Each proxy spends a part of the ratio of its own requests, and its share of a part of the slack. These add up to less
than the whole budget, so proxies need not tell each other what they spend. A retry that runs repeats its inner
calls: the rest of the ratio is room for them.

A process that was restarted knows neither what the one before it has spent nor how many proxies there are, so it
leaves the slack alone for one window. No I/O; the clock comes from outside.
"""

from __future__ import annotations

import msgspec

RATIO_PART = 0.45  # the rest is for inner calls of retries and for the sliding of windows
SLACK_PART = 0.6
STEPS_PER_WINDOW = 20


class RetryBudgetSettings(msgspec.Struct, frozen=True):
    """The bound that all proxies keep together, for each service."""

    ratio: float  # retries for each request
    window_us: int
    slack: float  # retries in a window beyond the ratio
    slack_from: int = 0  # time of the reactor's clock from which on the slack may be spent


class RetryBudget:
    """The part of one proxy in the budget of one service."""

    def __init__(self, settings: RetryBudgetSettings) -> None:
        self._ratio, self._slack = settings.ratio * RATIO_PART, settings.slack * SLACK_PART
        self._slack_from = settings.slack_from
        self._step_us = max(1, settings.window_us // STEPS_PER_WINDOW)
        self._step = 0  # number of the current step since the start of the clock
        self._requests = [0] * STEPS_PER_WINDOW  # by step, as a ring
        self._retries = [0] * STEPS_PER_WINDOW

    def record_request(self, now: int) -> None:
        """Count the first arrival of a request."""
        self._advance(now)
        self._requests[self._step % STEPS_PER_WINDOW] += 1

    def try_spend(self, now: int, proxies: int) -> bool:
        """Take one retry out of the budget.

        Args:
            now: The time of the retry.
            proxies: The number of proxies that share the slack.

        Returns:
            False where the budget is spent; then nothing is taken.
        """
        self._advance(now)
        slack = self._slack / max(1, proxies) if now >= self._slack_from else 0.0
        if sum(self._retries) + 1 > self._ratio * sum(self._requests) + slack:
            return False
        self._retries[self._step % STEPS_PER_WINDOW] += 1
        return True

    def _advance(self, now: int) -> None:
        """Clear the steps that have left the window."""
        step = now // self._step_us
        for passed in range(min(STEPS_PER_WINDOW, step - self._step)):
            index = (step - passed) % STEPS_PER_WINDOW
            self._requests[index] = self._retries[index] = 0
        self._step = step
