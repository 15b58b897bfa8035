"""Warm-up budget: limits the sends of all balancers to backends that have just started, to avoid an overload."""

from __future__ import annotations

from random import Random

from ..interface import FleetChanged, Settings
from .records import BackendRecord

MIN_FLEET_SHARE = 0.4  # of the overload rate of warming backends: minimum rate of the fleet's sends
FLEET_SHARE = 0.6  # the same: maximum rate, which applies where few balancers can hold back credits
ASSUMED_TARGET_SHARE = 0.45  # service time before the first response, as a fraction of the shortest latency target


class WarmUpBudget:
    """Credits for sends to warming backends; each balancer earns its share and spends one credit per send.

    This bounds the total of the fleet, regardless of each balancer's traffic, retries and rejections. The first credit
    arrives at a random time, so that some of many balancers with little traffic can send immediately. Where balancers
    lend shares to each other, a credit is earned with the share that is valid at that time.

    Attributes:
        start_fraction: Fraction of its capacity with which a backend starts.
        warm_up_us: Time from its start until a backend has its full capacity, microseconds.
        balancer_count: Number of balancers in the fleet.
        overload_multiple: Multiple of its current capacity that overloads a warming backend.
        overload_window_us: Time window of `overload_multiple`, microseconds.
        assumed_service_time_us: Assumed service time before the first response, microseconds.
        rng: Random source for the time of the first credit.
        credit: Credits of this balancer as of `credited_at`, at most 1.
        fleet_rate: Credits per microsecond that all balancers earn together.
        credited_at: Clock time of the latest update of `credit`, microseconds.
        share: Fraction of `fleet_rate` that this balancer earns until `share_until`.
        share_until: Clock time at which `share` ends, microseconds.
        share_after: Fraction that it earns from `share_until` on.
        warmest_fraction: Highest capacity fraction of the warming backends; 1 if there are none.
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
        """Return the fraction of its capacity that a backend has at least, by the slowest warm-up of the settings."""
        started_at = max(backend.started_at, backend.maintenance_changed_at)
        if not started_at or now - started_at >= self.warm_up_us:
            return 1.0
        return self.start_fraction + (1.0 - self.start_fraction) * max(0, now - started_at) / self.warm_up_us

    def refresh(self, backends: list[BackendRecord], now: int, service_time_us: float) -> None:
        """Recalculate the rate at which credits are earned.

        Args:
            backends: Backends that accept work.
            now: Clock time, microseconds.
            service_time_us: Service time of a warm backend, microseconds; 0 if unknown.
        """
        fractions = (self.capacity_fraction(backend, now) for backend in backends)
        warming = [fraction for fraction in fractions if fraction < 1.0]
        self.credit = self._credit_at(now) if self.fleet_rate else self.rng.random()
        overload_rate = self.overload_multiple * sum(warming) / (service_time_us or self.assumed_service_time_us)
        unspent_rate = self.balancer_count / self.overload_window_us  # each balancer may hold back one credit
        self.fleet_rate = max(
            MIN_FLEET_SHARE * overload_rate, min(FLEET_SHARE * overload_rate, overload_rate - unspent_rate)
        )
        self.credited_at = now
        self.warmest_fraction = max(warming, default=1.0)

    def set_share(self, event: FleetChanged, now: int) -> None:
        """Set the number of balancers and this balancer's share."""
        self.credit, self.credited_at, self.balancer_count = self._credit_at(now), now, event.balancer_count
        self.share, self.share_until = event.warm_up_share, event.until_us
        self.share_after = event.warm_up_share_after

    def admits(self, backend: BackendRecord, now: int, uniform_draw: float) -> bool:
        """Return whether a backend may be sampled: it is warm, or a credit is available and the draw selects it.

        Warming backends are sampled more often the higher their capacity fraction is.
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
