"""Requests beyond a tenant's share of a pool: admitted while they do not slow the others down, refused early otherwise.

A request within its tenant's share goes directly to the decision module. Requests beyond it are scavenger traffic, as
LEDBAT's (RFC 6817) is to TCP's: a window on the excess requests in flight opens while latencies stay near the lowest
that the pool has shown lately, and closes when they rise. Idle capacity is used, and its owner gets it back within a
few round trips. There is one window for each pool and worker; the caller gives the clock, in microseconds.
"""

from __future__ import annotations

from collections import deque

MAX_LATENCY_RATIO = 1.05
"""The window closes while the smoothed latency is above so many times the base latency."""
LATENCY_GAIN = 0.05
"""Weight of a new latency in the smoothed one."""
BASE_INTERVAL_US = 2_000_000
"""The lowest smoothed latency of each such interval is kept."""
BASE_INTERVALS = 10
"""The base latency is the lowest of so many intervals; a pool that became slower has a new base after them."""
INITIAL_WINDOW = 4.0
MIN_WINDOW = 1.0
MAX_WINDOW = 10_000.0
DECREASE_FACTOR = 0.8
"""The window shrinks to this part, once a smoothed latency at most."""
MIN_SAMPLES = 20
"""Answers until the smoothed latency is good enough for a base."""


class ExcessWindow:
    """The limit of excess requests in flight."""

    def __init__(self) -> None:
        self.window = INITIAL_WINDOW
        self.in_flight = 0
        self.latency_us = 0.0  # smoothed, of all answers
        self._samples = 0
        self._bases: deque[tuple[int, float]] = deque(maxlen=BASE_INTERVALS)  # start and lowest latency of each
        self._decreased_us = 0

    @property
    def base_us(self) -> float:
        """The lowest smoothed latency of the last intervals, in microseconds; 0 until there is one."""
        return min((lowest_us for _, lowest_us in self._bases), default=0.0)

    def admit(self) -> bool:
        """Count one more excess request as in flight. Returns whether the window allows it."""
        if self.in_flight >= self.window:
            return False
        self.in_flight += 1
        return True

    def release(self) -> None:
        """Count an excess request as ended, whatever its result."""
        assert self.in_flight > 0
        self.in_flight -= 1

    def record_answer(self, now_us: int, duration_us: int, served: bool) -> None:
        """Adapt the window to an answer to any request of the pool.

        Args:
            now_us: The time of the answer.
            duration_us: The time since the request arrived.
            served: False for a refusal or a failure, which say that the pool is overloaded.
        """
        if not served:
            self._decrease(now_us)
            return
        self._samples += 1
        gain = max(LATENCY_GAIN, 1 / self._samples)
        self.latency_us += gain * (duration_us - self.latency_us)
        if self._samples < MIN_SAMPLES:
            return
        self._update_base(now_us)
        if self.latency_us > MAX_LATENCY_RATIO * self.base_us:
            self._decrease(now_us)
        elif self.in_flight + 1 >= self.window:  # a window that is not used up is not known to be too small
            self.window = min(MAX_WINDOW, self.window + 1 / self.window)

    def _update_base(self, now_us: int) -> None:
        if not self._bases or now_us - self._bases[-1][0] >= BASE_INTERVAL_US:
            self._bases.append((now_us, self.latency_us))
        elif self.latency_us < self._bases[-1][1]:
            self._bases[-1] = (self._bases[-1][0], self.latency_us)

    def _decrease(self, now_us: int) -> None:
        if now_us - self._decreased_us >= self.latency_us:
            self._decreased_us = now_us
            self.window = max(MIN_WINDOW, DECREASE_FACTOR * self.window)


def exceeds_weight(in_flight: int, weight: float, others_in_flight: int, others_weight: float) -> bool:
    """Say whether one more request of a tenant exceeds its share by weight of the requests in flight in its pool.

    It never does where no other tenant has requests in flight: the rule is work-conserving.

    Args:
        in_flight: The tenant's requests in flight.
        weight: The tenant's weight.
        others_in_flight: Requests in flight of the other tenants.
        others_weight: The sum of the weights of the other tenants that have requests in flight.
    """
    if not others_in_flight:
        return False
    share = weight / (weight + others_weight)
    return in_flight >= max(1.0, share * (in_flight + others_in_flight + 1))  # one request is within every share
