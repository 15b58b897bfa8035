"""Probe policy: whether the sampled backends of a request are probed for their load, and how long that may take."""

from __future__ import annotations

from .context import Context

MAX_PROBE_SPEND = 0.01  # of the value of responses that probing both samples of every request may cost
PROBES_PER_REQUEST = 2
TARGET_SHARE = 0.05  # of the shortest latency target: bound of a probe, and of the age of a report


class ProbePolicy:
    """Decides when probes pay.

    Attributes:
        is_worthwhile: Probing is possible and affordable, and reports hold a load.
        timeout_us: How long a request waits for its probes, microseconds; younger reports need no probe.
    """

    def __init__(self, context: Context, reports_load: bool) -> None:
        settings = context.settings
        self._context = context
        is_affordable = PROBES_PER_REQUEST * settings.prices.probe <= MAX_PROBE_SPEND
        self.is_worthwhile = settings.can_probe and reports_load and is_affordable
        self.timeout_us = int(TARGET_SHARE * min(c.latency_target_us for c in settings.classes))

    def is_caller_late(self) -> bool:
        """Return whether the caller's CPU is saturated: its timers are later than a probe may take."""
        return self._context.timer_lag_us > self.timeout_us

    def is_active(self) -> bool:
        """Return whether to probe now. No response reaches a late caller in time, and probes are dispensable work."""
        return self.is_worthwhile and not self.is_caller_late()
