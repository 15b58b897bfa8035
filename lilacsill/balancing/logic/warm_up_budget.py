"""The cold budget: keeps all balancers together from pushing over a server that has just started."""

from __future__ import annotations

from random import Random

from ..interface import FleetChanged, Settings
from .records import BackendRecord

LEAST, FLEET_SHARE = 0.4, 0.6  # of what would push cold servers over; the second where few balancers share it
GUESS = 0.45  # of the shortest aim: a server's time for a request before any answer has told it


class WarmUpBudget:
    """What cold servers can bear, in requests a second, in equal parts for all balancers.

    Each earns its part and spends one credit a send, so the sum stays in bounds whatever traffic, retries and
    refusals each has. The first comes at a time drawn at random: of many quiet ones some may send at once.
    Where balancers lend each other parts, what is earned is earned by the part as of then.
    """

    def __init__(self, settings: Settings, rng: Random) -> None:
        self.start_fraction, self.warm_up_us = settings.warm_up_start_fraction, settings.warm_up_us
        self.balancer_count, self.overload_multiple, self.overload_window_us = (
            settings.balancer_count,
            settings.overload_multiple,
            settings.overload_window_us,
        )
        self.assumed_service_time_us = GUESS * min(c.latency_target_us for c in settings.classes)
        self.rng = rng
        self.credit, self.fleet_rate, self.credited_at = (
            0.0,
            0.0,
            0,
        )  # of all balancers, credits a microsecond; as of when
        self.share = self.share_after = 1.0 / self.balancer_count  # of the whole: what is earned, and from `until` on
        self.share_until, self.warmest_fraction = 0, 1.0  # the latter of those that are cold

    def capacity_fraction(self, s: BackendRecord, now: int) -> float:
        """Share of its capacity a server surely has: the slowest ramp the settings allow."""
        started = max(s.started_at, s.returned_at)
        if not started or now - started >= self.warm_up_us:
            return 1.0
        return self.start_fraction + (1.0 - self.start_fraction) * max(0, now - started) / self.warm_up_us

    def refresh(self, servers: list[BackendRecord], now: int, pace_us: float) -> None:
        """Who is cold now. `pace_us`: what a warm server needs for a request, 0 where nothing tells it."""
        cold = [w for w in (self.capacity_fraction(s, now) for s in servers) if w < 1.0]
        self.credit = self._credit_at(now) if self.fleet_rate else self.rng.random()
        over = (
            self.overload_multiple * sum(cold) / (pace_us or self.assumed_service_time_us)
        )  # a microsecond, it pushes them over
        at_once = self.balancer_count / self.overload_window_us  # each may hold one credit back
        self.fleet_rate = max(LEAST * over, min(FLEET_SHARE * over, over - at_once))
        self.credited_at = now
        self.warmest_fraction = max(cold, default=1.0)

    def _credit_at(self, now: int) -> float:
        then = max(0, now - max(self.credited_at, self.share_until))
        earned = self.share * (now - self.credited_at - then) + self.share_after * then
        return min(1.0, self.credit + self.fleet_rate * earned)

    def set_share(self, e: FleetChanged, now: int) -> None:
        self.credit, self.credited_at, self.balancer_count = self._credit_at(now), now, e.balancer_count
        self.share, self.share_until, self.share_after = e.warm_up_share, e.until_us, e.warm_up_share_after

    def admits(self, s: BackendRecord, now: int, luck: float) -> bool:
        """Of those that are cold the warmer may be sampled the more often."""
        w = self.capacity_fraction(s, now)
        return w >= 1.0 or (self._credit_at(now) >= 1.0 and luck * self.warmest_fraction < w)

    def record_send(self, s: BackendRecord, now: int) -> None:
        if self.capacity_fraction(s, now) < 1.0:
            self.credit, self.credited_at = self._credit_at(now) - 1.0, now
