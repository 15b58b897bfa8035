"""The cold budget: keeps all balancers together from pushing over a server that has just started."""

from __future__ import annotations

from random import Random

from ..interface import FleetChanged, Settings
from .records import Server

LEAST, SAFE = 0.4, 0.6  # of what would push cold servers over; the second where few balancers share it
GUESS = 0.45  # of the shortest aim: a server's time for a request before any answer has told it


class WarmUpBudget:
    """What cold servers can bear, in requests a second, in equal parts for all balancers.

    Each earns its part and spends one credit a send, so the sum stays in bounds whatever traffic, retries and
    refusals each has. The first comes at a time drawn at random: of many quiet ones some may send at once.
    Where balancers lend each other parts, what is earned is earned by the part as of then.
    """

    def __init__(self, settings: Settings, rng: Random) -> None:
        self.start, self.warm_up = settings.warm_up_start_fraction, settings.warm_up_us
        self.siblings, self.most, self.window = (
            settings.balancer_count,
            settings.overload_multiple,
            settings.overload_window_us,
        )
        self.guess_us = GUESS * min(c.latency_target_us for c in settings.classes)
        self.rng = rng
        self.credit, self.whole, self.at = 0.0, 0.0, 0  # of all balancers, credits a microsecond; as of when
        self.part = self.then = 1.0 / self.siblings  # of the whole: what is earned, and from `until` on
        self.until, self.warmest = 0, 1.0  # the latter of those that are cold

    def warmth(self, s: Server, now: int) -> float:
        """Share of its capacity a server surely has: the slowest ramp the settings allow."""
        started = max(s.started_at, s.back_at)
        if not started or now - started >= self.warm_up:
            return 1.0
        return self.start + (1.0 - self.start) * max(0, now - started) / self.warm_up

    def look(self, servers: list[Server], now: int, pace_us: float) -> None:
        """Who is cold now. `pace_us`: what a warm server needs for a request, 0 where nothing tells it."""
        cold = [w for w in (self.warmth(s, now) for s in servers) if w < 1.0]
        self.credit = self._earned(now) if self.whole else self.rng.random()
        over = self.most * sum(cold) / (pace_us or self.guess_us)  # a microsecond, it pushes them over
        at_once = self.siblings / self.window  # each may hold one credit back
        self.whole = max(LEAST * over, min(SAFE * over, over - at_once))
        self.at = now
        self.warmest = max(cold, default=1.0)

    def _earned(self, now: int) -> float:
        then = max(0, now - max(self.at, self.until))
        earned = self.part * (now - self.at - then) + self.then * then
        return min(1.0, self.credit + self.whole * earned)

    def granted(self, e: FleetChanged, now: int) -> None:
        self.credit, self.at, self.siblings = self._earned(now), now, e.balancer_count
        self.part, self.until, self.then = e.warm_up_share, e.until_us, e.warm_up_share_after

    def admits(self, s: Server, now: int, luck: float) -> bool:
        """Of those that are cold the warmer may be sampled the more often."""
        w = self.warmth(s, now)
        return w >= 1.0 or (self._earned(now) >= 1.0 and luck * self.warmest < w)

    def sent(self, s: Server, now: int) -> None:
        if self.warmth(s, now) < 1.0:
            self.credit, self.at = self._earned(now) - 1.0, now
