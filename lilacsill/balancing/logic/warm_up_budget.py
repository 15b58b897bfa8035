"""Warm-up budget: it keeps all balancers together from overloading a backend that has just started."""

from __future__ import annotations

from random import Random

from ..interface import FleetChanged, Settings
from .records import BackendRecord

MIN_FLEET_SHARE = 0.4  # of the rate that overloads warming backends, what the fleet may send at the least
FLEET_SHARE = 0.6  # the same where few balancers hold credits back
ASSUMED_TARGET_SHARE = 0.45  # assumed service time before any response, as a share of the shortest target


class WarmUpBudget:
    """Credits for sends to warming backends; each balancer earns its share and spends one credit a send.

    So the fleet's total stays bounded whatever traffic, retries and rejections each balancer has. The first credit
    arrives at a random time, so that of many quiet balancers some may send at once. Where balancers lend each other
    shares, credits are earned by the share as of that time.

    Attributes:
        start_fraction: Share of its capacity that a backend starts with.
        warm_up_us: Time until its capacity is complete, microseconds.
        balancer_count: Balancers of the fleet.
        overload_multiple: Multiple of its capacity that overloads a warming backend,
        overload_window_us: when it is sent within this window, microseconds.
        assumed_service_time_us: Service time before any response, microseconds.
        rng: Draws the time of the first credit.
        credit: Credits of this balancer at `credited_at`, at most 1.
        fleet_rate: Credits a microsecond of all balancers.
        credited_at: Clock time as of which `credit` counts, microseconds.
        share: Share of `fleet_rate` that this balancer earns until `share_until`.
        share_until: Clock time at which `share` ends, microseconds.
        share_after: Its share from then on.
        warmest_fraction: Highest capacity fraction among warming backends.
    """

    def __init__(self, settings: Settings, rng: Random) -> None:
        self.start_fraction, self.warm_up_us = settings.warm_up_start_fraction, settings.warm_up_us
        self.balancer_count = settings.balancer_count
        self.overload_multiple = settings.overload_multiple
        self.overload_window_us = settings.overload_window_us
        self.assumed_service_time_us = ASSUMED_TARGET_SHARE * min(c.latency_target_us for c in settings.classes)
        self.rng = rng
        self.credit, self.fleet_rate, self.credited_at = 0.0, 0.0, 0
        self.share = self.share_after = 1.0 / self.balancer_count
        self.share_until, self.warmest_fraction = 0, 1.0

    def capacity_fraction(self, backend: BackendRecord, now: int) -> float:
        """Return the share of its capacity that a backend surely has: the slowest warm-up the settings allow."""
        started_at = max(backend.started_at, backend.returned_at)
        if not started_at or now - started_at >= self.warm_up_us:
            return 1.0
        return self.start_fraction + (1.0 - self.start_fraction) * max(0, now - started_at) / self.warm_up_us

    def refresh(self, backends: list[BackendRecord], now: int, service_time_us: float) -> None:
        """Recalculate the rate of credits.

        Args:
            backends: Backends that accept work.
            now: Clock time, microseconds.
            service_time_us: Service time of a warm backend, microseconds; 0 if unknown.
        """
        fractions = (self.capacity_fraction(backend, now) for backend in backends)
        warming = [fraction for fraction in fractions if fraction < 1.0]
        self.credit = self._credit_at(now) if self.fleet_rate else self.rng.random()
        overload_rate = self.overload_multiple * sum(warming) / (service_time_us or self.assumed_service_time_us)
        unspent_rate = self.balancer_count / self.overload_window_us  # each balancer may hold one credit back
        self.fleet_rate = max(
            MIN_FLEET_SHARE * overload_rate, min(FLEET_SHARE * overload_rate, overload_rate - unspent_rate)
        )
        self.credited_at = now
        self.warmest_fraction = max(warming, default=1.0)

    def set_share(self, event: FleetChanged, now: int) -> None:
        """Take over the number of balancers and this balancer's share."""
        self.credit, self.credited_at, self.balancer_count = self._credit_at(now), now, event.balancer_count
        self.share, self.share_until = event.warm_up_share, event.until_us
        self.share_after = event.warm_up_share_after

    def admits(self, backend: BackendRecord, now: int, uniform_draw: float) -> bool:
        """Return whether a backend may be sampled: it is warm, or there is a credit and the draw selects it.

        Among warming backends the warmer ones are sampled more often.
        """
        fraction = self.capacity_fraction(backend, now)
        return fraction >= 1.0 or (self._credit_at(now) >= 1.0 and uniform_draw * self.warmest_fraction < fraction)

    def record_send(self, backend: BackendRecord, now: int) -> None:
        """Spend a credit if the backend is warming up."""
        if self.capacity_fraction(backend, now) < 1.0:
            self.credit, self.credited_at = self._credit_at(now) - 1.0, now

    def _credit_at(self, now: int) -> float:
        after_us = max(0, now - max(self.credited_at, self.share_until))
        earned = self.share * (now - self.credited_at - after_us) + self.share_after * after_us
        return min(1.0, self.credit + self.fleet_rate * earned)
