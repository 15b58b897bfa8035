"""OutlierDetector: who looks ill, and for how long."""

from __future__ import annotations

from collections.abc import Callable
from random import Random

from ..interface import Outcome
from .load_table import GAIN
from .records import SECOND_US, BackendRecord, backend_name

SILENT = 5  # no answer for this many typical latencies, with attempts out, is silence
OUT_FIRST_US, OUT_MAX_US = SECOND_US // 2, 4 * SECOND_US  # exclusion from sampling, doubled each time
RARELY, RARELY_MOST = 16, 4.0  # among so many siblings a server is met rarely, and trials are rarer too
FAST = 0.1  # of a typical latency: an error that comes so soon is no spoilt answer. Met rarely, it is enough.
TRIALS = 8  # readmission: at most this many attempts out at once before all limits fall


class OutlierDetector:
    """Which servers are left out of sampling, on strong evidence only, and how they come back."""

    def __init__(self, rng: Random, log: Callable[[str], None], siblings: int) -> None:
        self.rng, self.log = rng, log
        self.is_fault_shared, self.resumed_at = False, 0
        self.set_balancer_count(siblings)

    def set_balancer_count(self, siblings: int) -> None:
        self.ejection_factor = min(RARELY_MOST, max(1.0, siblings / RARELY))

    def refresh(self, servers: list[BackendRecord], now: int, typical: float, stood_at: int) -> None:
        """When most look ill the cause is shared, and the rest would drown: then none is left out."""
        self.resumed_at = stood_at  # silence before that was the caller's own
        self.is_fault_shared = 2 * sum(self.is_unhealthy(s, now, typical) for s in servers) > len(servers)

    def admits(self, s: BackendRecord, now: int, typical: float) -> bool:
        return self.is_fault_shared or not self.is_unhealthy(s, now, typical)

    def is_unhealthy(self, s: BackendRecord, now: int, typical: float) -> bool:
        if s.ejected_until > now or (s.trial_limit and len(s.in_flight) >= s.trial_limit):
            return True
        if len(s.in_flight) < 2 or not typical:
            return False
        # Silent: takes work and answers nothing.
        since = max(next(iter(s.in_flight.values())), s.answered_at, self.resumed_at)
        return now - since > SILENT * typical

    def record_attempt(self, s: BackendRecord, now: int, outcome: Outcome, fast: bool) -> None:
        if outcome is Outcome.OK:
            s.failure_rate -= GAIN * s.failure_rate
            s.consecutive_failures = 0
            if s.trial_limit and s.ejected_until <= now:
                s.trial_limit += 1
                if s.trial_limit > TRIALS:
                    s.trial_limit = s.ejection_us = 0
                    self.log(f"server {backend_name(s.id)} healthy: readmitted in full")
        elif outcome is not Outcome.NOT_SENT and outcome is not Outcome.CANCELLED:
            s.failure_rate += GAIN * (1.0 - s.failure_rate)
            s.consecutive_failures += 1
            # Where others found it ill this was the look that decides.
            looked_at = s.trial_limit > 0 or s.peer_health.expires_at_us > now
            cut = outcome is Outcome.RESET or outcome is Outcome.CONNECT_FAILED
            at_once = cut or (fast and outcome is Outcome.ERROR and self.ejection_factor > 1.0)
            if (
                looked_at
                or at_once
                or s.consecutive_failures >= 3
                or (s.consecutive_failures >= 2 and s.failure_rate > 0.3)
            ):
                self.eject(s, now, outcome.value)

    def record_probe(self, s: BackendRecord, now: int, outcome: Outcome) -> None:
        """An echo is no proof that a process works, but no connection is proof that it does not: one on trial
        is spared the attempt."""
        if outcome is Outcome.CONNECT_FAILED and s.trial_limit:
            self.eject(s, now, outcome.value)

    def eject(self, s: BackendRecord, now: int, why: str) -> None:
        if s.ejected_until > now:
            return
        if not s.ejection_us:
            self.log(f"server {backend_name(s.id)} excluded: {why}")
        s.ejection_us = min(2 * s.ejection_us or OUT_FIRST_US, OUT_MAX_US)
        s.ejected_until = now + int(s.ejection_us * self.ejection_factor * (0.75 + 0.5 * self.rng.random()))
        s.trial_limit = 1
