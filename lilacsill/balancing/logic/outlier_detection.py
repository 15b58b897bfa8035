"""OutlierDetector: who looks ill, and for how long."""

from __future__ import annotations

from collections.abc import Callable
from random import Random

from ..interface import Outcome
from .load_table import GAIN
from .records import SECOND, Server, name_of

SILENT = 5  # no answer for this many typical latencies, with attempts out, is silence
OUT_FIRST_US, OUT_MAX_US = SECOND // 2, 4 * SECOND  # exclusion from sampling, doubled each time
RARELY, RARELY_MOST = 16, 4.0  # among so many siblings a server is met rarely, and trials are rarer too
FAST = 0.1  # of a typical latency: an error that comes so soon is no spoilt answer. Met rarely, it is enough.
TRIALS = 8  # readmission: at most this many attempts out at once before all limits fall


class OutlierDetector:
    """Which servers are left out of sampling, on strong evidence only, and how they come back."""

    def __init__(self, rng: Random, log: Callable[[str], None], siblings: int) -> None:
        self.rng, self.log = rng, log
        self.shared, self.stood_at = False, 0
        self.among(siblings)

    def among(self, siblings: int) -> None:
        self.rarely = min(RARELY_MOST, max(1.0, siblings / RARELY))

    def look(self, servers: list[Server], now: int, typical: float, stood_at: int) -> None:
        """When most look ill the cause is shared, and the rest would drown: then none is left out."""
        self.stood_at = stood_at  # silence before that was the caller's own
        self.shared = 2 * sum(self.ill(s, now, typical) for s in servers) > len(servers)

    def admits(self, s: Server, now: int, typical: float) -> bool:
        return self.shared or not self.ill(s, now, typical)

    def ill(self, s: Server, now: int, typical: float) -> bool:
        if s.out_until > now or (s.allowance and len(s.open) >= s.allowance):
            return True
        if len(s.open) < 2 or not typical:
            return False
        # Silent: takes work and answers nothing.
        since = max(next(iter(s.open.values())), s.answered_at, self.stood_at)
        return now - since > SILENT * typical

    def ended(self, s: Server, now: int, outcome: Outcome, fast: bool) -> None:
        if outcome is Outcome.OK:
            s.failing -= GAIN * s.failing
            s.streak = 0
            if s.allowance and s.out_until <= now:
                s.allowance += 1
                if s.allowance > TRIALS:
                    s.allowance = s.out_us = 0
                    self.log(f"server {name_of(s.id)} healthy: readmitted in full")
        elif outcome is not Outcome.NOT_SENT and outcome is not Outcome.CANCELLED:
            s.failing += GAIN * (1.0 - s.failing)
            s.streak += 1
            # Where others found it ill this was the look that decides.
            looked_at = s.allowance > 0 or s.told.expires_at_us > now
            cut = outcome is Outcome.RESET or outcome is Outcome.CONNECT_FAILED
            at_once = cut or (fast and outcome is Outcome.ERROR and self.rarely > 1.0)
            if looked_at or at_once or s.streak >= 3 or (s.streak >= 2 and s.failing > 0.3):
                self.exclude(s, now, outcome.value)

    def echoed(self, s: Server, now: int, outcome: Outcome) -> None:
        """An echo is no proof that a process works, but no connection is proof that it does not: one on trial
        is spared the attempt."""
        if outcome is Outcome.CONNECT_FAILED and s.allowance:
            self.exclude(s, now, outcome.value)

    def exclude(self, s: Server, now: int, why: str) -> None:
        if s.out_until > now:
            return
        if not s.out_us:
            self.log(f"server {name_of(s.id)} excluded: {why}")
        s.out_us = min(2 * s.out_us or OUT_FIRST_US, OUT_MAX_US)
        s.out_until = now + int(s.out_us * self.rarely * (0.75 + 0.5 * self.rng.random()))
        s.allowance = 1
