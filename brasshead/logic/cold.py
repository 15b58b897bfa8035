"""The cold budget: keeps all balancers together from pushing over a server that has just started."""
from __future__ import annotations

from ..interface import Settings
from .entities import Server
from .load_table import GAIN

COLD_MARGIN = 4.0  # from this fall multiple on a cold server gets its full part: two samples can double it


class ColdBudget:
    """Keeps all balancers together from pushing over a server that has just started.

    Of each balancer's requests only the share that the server is warm may see it at all, drawn at random for
    each request: in the sum over all balancers it gets its part of the traffic, however that is split.
    """

    def __init__(self, settings: Settings) -> None:
        self.start, self.warm_up = settings.start_fraction, settings.warm_up_us
        self.scale = min(1.0, settings.fall_multiple / COLD_MARGIN)
        self.served = 1.0  # share of the latest requests that were served
        self.fit = 1.0  # share of the latest draws that fitted

    def warmth(self, s: Server, now: int) -> float:
        """Share of its capacity a server surely has: the slowest ramp the settings allow."""
        age = now - s.started_at
        if not s.started_at or age >= self.warm_up:
            return 1.0
        return self.start + (1.0 - self.start) * max(0, age) / self.warm_up

    def admits(self, s: Server, now: int, luck: float, known: bool) -> bool:
        if not s.started_at:
            return True
        warmth = self.warmth(s, now)
        # Its part of what is served, not of what is asked for, and no more because few others fit: retries of
        # an overloaded fleet pushed one over. Not needed where it is asked first what it holds.
        part = self.scale if known else self.scale * self.served * self.fit
        return warmth >= 1.0 or luck < warmth * part

    def drew(self, fit: float) -> None:
        self.fit += GAIN * (fit - self.fit)

    def ended(self, served: bool) -> None:
        self.served += GAIN * (served - self.served)
