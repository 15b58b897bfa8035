"""The retry budget: a bound, over all proxies, on the arrivals at a service beyond the first arrival of each request.

Each proxy may spend a fraction of the ratio, multiplied by the number of its own requests, plus its share of a fraction
of the slack. The sum over all proxies is below the whole budget, so proxies need not coordinate. A retry that runs
repeats its inner calls; the rest of the ratio is reserved for them.

A restarted process knows neither what the previous process has spent nor how many proxies there are, so it does not use
the slack for one window. No I/O; the caller passes the time.
"""

from __future__ import annotations

import msgspec

RATIO_SHARE = 0.45  # the rest covers inner calls of retries, and windows that begin at other times than the steps here
SLACK_SHARE = 0.6
STEPS_PER_WINDOW = 20


class RetryBudgetSettings(msgspec.Struct, frozen=True):
    """The bound on retries of each service, over all proxies."""

    ratio: float  # retries per request
    window_us: int
    slack: float  # retries per window in addition to the ratio
    slack_from: int = 0  # when the slack becomes available, in microseconds of the reactor's clock


class RetryBudget:
    """One proxy's part of the retry budget of one service."""

    def __init__(self, settings: RetryBudgetSettings) -> None:
        self._ratio, self._slack = settings.ratio * RATIO_SHARE, settings.slack * SLACK_SHARE
        self._slack_from = settings.slack_from
        self._step_us = max(1, settings.window_us // STEPS_PER_WINDOW)
        self._step = 0  # index of the current step, counted from the start of the clock
        self._requests = [0] * STEPS_PER_WINDOW  # by step, as a ring buffer
        self._retries = [0] * STEPS_PER_WINDOW

    def record_request(self, now: int) -> None:
        """Count a request at its first arrival."""
        self._advance(now)
        self._requests[self._step % STEPS_PER_WINDOW] += 1

    def try_spend(self, now: int, proxy_count: int) -> bool:
        """Spend one retry of the budget, if there is one.

        Args:
            now: The time of the retry, in microseconds.
            proxy_count: The number of proxies that share the slack.

        Returns:
            Whether the retry is allowed; False if the budget is exhausted.
        """
        self._advance(now)
        slack = self._slack / max(1, proxy_count) if now >= self._slack_from else 0.0
        if sum(self._retries) + 1 > self._ratio * sum(self._requests) + slack:
            return False
        self._retries[self._step % STEPS_PER_WINDOW] += 1
        return True

    def _advance(self, now: int) -> None:
        """Clear the steps that are no longer in the window."""
        step = now // self._step_us
        for passed in range(min(STEPS_PER_WINDOW, step - self._step)):
            index = (step - passed) % STEPS_PER_WINDOW
            self._requests[index] = self._retries[index] = 0
        self._step = step
