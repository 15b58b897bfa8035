"""The cold budget: keeps all balancers together from pushing over a server that has just started."""
from __future__ import annotations

from random import Random

from ..interface import Settings
from .entities import Server

LEAST, SAFE = 0.4, 0.6  # of what would push cold servers over; the second where few balancers share it
GUESS = 0.45  # of the shortest aim: a server's time for a request before any answer has told it


class ColdBudget:
    """What cold servers can bear, in requests a second, in equal parts for all balancers.

    Each earns its part and spends one credit a send, so the sum stays in bounds whatever traffic, retries and
    refusals each has. The first comes at a time drawn at random: of many quiet ones some may send at once.
    """

    def __init__(self, settings: Settings, rng: Random) -> None:
        self.start, self.warm_up = settings.start_fraction, settings.warm_up_us
        self.siblings, self.window = settings.siblings, settings.fall_window_us
        self.most = settings.fall_multiple
        self.guess_us = GUESS * min(c.aim_us for c in settings.classes)
        self.rng = rng
        self.credit, self.rate, self.at = 0.0, 0.0, 0  # credits earned a microsecond; as of when
        self.warmest = 1.0  # of the cold

    def warmth(self, s: Server, now: int) -> float:
        """Share of its capacity a server surely has: the slowest ramp the settings allow."""
        started = max(s.started_at, s.back_at)
        if not started or now - started >= self.warm_up:
            return 1.0
        return self.start + (1.0 - self.start) * max(0, now - started) / self.warm_up

    def look(self, servers: list[Server], now: int, pace_us: float) -> None:
        """Who is cold now. `pace_us`: what a warm server needs for a request, 0 where nothing tells it."""
        cold = [w for w in (self.warmth(s, now) for s in servers) if w < 1.0]
        self.credit = self._earned(now) if self.rate else self.rng.random()
        over = self.most * sum(cold) / (pace_us or self.guess_us)  # a microsecond, it pushes them over
        at_once = self.siblings / self.window  # each may hold one credit back
        self.rate = max(LEAST * over, min(SAFE * over, over - at_once)) / self.siblings
        self.at = now
        self.warmest = max(cold, default=1.0)

    def _earned(self, now: int) -> float:
        return min(1.0, self.credit + self.rate * (now - self.at))

    def admits(self, s: Server, now: int, luck: float) -> bool:
        """Of those that are cold the warmer may be sampled the more often."""
        w = self.warmth(s, now)
        return w >= 1.0 or (self._earned(now) >= 1.0 and luck * self.warmest < w)

    def sent(self, s: Server, now: int) -> None:
        if self.warmth(s, now) < 1.0:
            self.credit, self.at = self._earned(now) - 1.0, now
