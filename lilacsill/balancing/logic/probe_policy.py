"""Probe policy: decides whether sampled backends are probed for their load, and limits the duration of a probe."""

from __future__ import annotations

from .context import Context

MAX_PROBE_SPEND = 0.01  # limit of the cost of probing both samples of every request, as a fraction of response value
PROBES_PER_REQUEST = 2
TARGET_SHARE = 0.05  # of the shortest latency target: limit of the duration of a probe and of the age of a fresh report


class ProbePolicy:
    """Decides when probes are worth their cost.

    Attributes:
        is_worthwhile: Whether backends can be probed at an acceptable price and their reports contain the load.
        timeout_us: Time for which a request waits for its probes, microseconds; a report up to this age needs no probe.
    """

    def __init__(self, context: Context, reports_load: bool) -> None:
        settings = context.settings
        self._context = context
        is_affordable = PROBES_PER_REQUEST * settings.prices.probe <= MAX_PROBE_SPEND
        self.is_worthwhile = settings.can_probe and reports_load and is_affordable
        self.timeout_us = int(TARGET_SHARE * min(c.latency_target_us for c in settings.classes))

    def is_cpu_saturated(self) -> bool:
        """Return whether the caller's CPU is saturated: its timers lag by more than the duration of a probe."""
        return self._context.timer_lag_us > self.timeout_us

    def is_active(self) -> bool:
        """Return whether to probe now. A saturated caller reads probe responses too late and omits optional work."""
        return self.is_worthwhile and not self.is_cpu_saturated()
