"""The limits of a tenant in one worker, and what counts against them.

A limit applies to all workers together. Each worker has a share of it, which the supervisor sets by where the tenant's
traffic is. A share allows one request and one connection at least, so that a tenant whose traffic moves to another
worker is not refused until the shares are next set.
"""

from __future__ import annotations

from collections.abc import Mapping
from dataclasses import dataclass, field
from math import sqrt

from ..resources import Limits
from .refusals import LimitExceeded, RefusalCause

SECOND_US = 1_000_000
BURST_S = 1.0
"""A bucket saves up the tokens of so many seconds."""
QUOTA_SPREAD = 4.0
"""A quota's bucket has room for so many standard deviations of a second's Poisson arrivals more, since the arrivals of
small tenants vary most."""
MIN_QUOTA_PER_S = 1e-3
MIN_RETRY_AFTER_S = 0.1
MAX_RETRY_AFTER_S = 5.0
DURATION_GAIN = 0.1
"""Weight of a new duration in the smoothed one."""
EVEN_PART = 0.2
"""The part of a limit that all workers share evenly: a worker without traffic must be able to begin."""


@dataclass(slots=True)
class TokenBucket:
    """A token bucket that is full at first."""

    level: float = 0.0
    updated_us: int | None = None
    """When `level` was computed; None before the first use."""

    def take(self, now_us: int, rate_per_s: float, spread: float = 0.0) -> float:
        """Take a token.

        Args:
            now_us: The time.
            rate_per_s: Tokens that arrive in a second; above 0.
            spread: The bucket's size beyond `BURST_S` seconds of tokens, in square roots of the rate.

        Returns:
            0 if there was a token, else the seconds until there is one.
        """
        size = max(1.0, rate_per_s * BURST_S + spread * sqrt(rate_per_s))
        if self.updated_us is None:
            self.level = size
        else:
            self.level = min(size, self.level + rate_per_s * (now_us - self.updated_us) / SECOND_US)
        self.updated_us = now_us
        if self.level >= 1.0:
            self.level -= 1.0
            return 0.0
        return (1.0 - self.level) / rate_per_s


@dataclass(slots=True)
class TenantLimiter:
    """Counts the requests and connections of one tenant in this worker, and admits or refuses more."""

    limits: Limits
    share: float = 1.0
    """This worker's share of the limits, 0 to 1."""
    in_flight: int = 0
    connections: int = 0
    body_bytes: int = 0
    """Bytes of the bodies of requests in flight."""
    duration_s: float = 0.1
    """Smoothed time from a request's arrival to its answer."""
    requests: TokenBucket = field(default_factory=TokenBucket)
    new_connections: TokenBucket = field(default_factory=TokenBucket)
    quota: TokenBucket = field(default_factory=TokenBucket)

    def exceeds_quota(self, now_us: int, quota_per_s: float) -> bool:
        """Count one request against the tenant's quota. Returns whether the request is beyond it."""
        return bool(self.quota.take(now_us, max(quota_per_s * self.share, MIN_QUOTA_PER_S), QUOTA_SPREAD))

    def admit_connection(self, now_us: int) -> LimitExceeded | None:
        """Count one more connection that presented the tenant's credential, unless a limit refuses it."""
        limit = self._shared(self.limits.connections)
        if limit and self.connections >= limit:
            return LimitExceeded(RefusalCause.CONNECTIONS, MAX_RETRY_AFTER_S)
        rate_per_s = self.limits.new_connections_per_s * self.share
        wait_s = self.new_connections.take(now_us, rate_per_s) if rate_per_s else 0.0
        if wait_s:
            return LimitExceeded(RefusalCause.NEW_CONNECTIONS, _clamp_retry_after(wait_s))
        self.connections += 1
        return None

    def admit_request(self, now_us: int, body_bytes: int) -> LimitExceeded | None:
        """Count one more request with a body of so many bytes, unless a limit refuses it."""
        limit = self._shared(self.limits.in_flight)
        if limit and self.in_flight >= limit:
            return LimitExceeded(RefusalCause.IN_FLIGHT, self.retry_after_s())
        max_body_bytes = self._shared(self.limits.body_bytes)
        if max_body_bytes and self.body_bytes + body_bytes > max_body_bytes:
            return LimitExceeded(RefusalCause.BODY_BYTES, self.retry_after_s())
        rate_per_s = self.limits.requests_per_s * self.share
        wait_s = self.requests.take(now_us, rate_per_s) if rate_per_s else 0.0
        if wait_s:
            return LimitExceeded(RefusalCause.REQUESTS_PER_S, _clamp_retry_after(wait_s))
        self.in_flight += 1
        self.body_bytes += body_bytes
        return None

    def retry_after_s(self) -> float:
        """Estimate when a request in flight will have ended, in seconds."""
        return _clamp_retry_after(self.duration_s)

    def request_ended(self, body_bytes: int, duration_s: float) -> None:
        """Count a request as ended.

        Args:
            body_bytes: The bytes that it was admitted with.
            duration_s: The time since it was admitted.
        """
        assert self.in_flight > 0 and self.body_bytes >= body_bytes
        self.in_flight -= 1
        self.body_bytes -= body_bytes
        self.duration_s += DURATION_GAIN * (duration_s - self.duration_s)

    def connection_closed(self) -> None:
        """Count a connection as closed."""
        assert self.connections > 0
        self.connections -= 1

    def _shared(self, limit: int) -> int:
        """Compute this worker's part of a limit; 0: no limit."""
        return max(1, int(limit * self.share)) if limit else 0


def _clamp_retry_after(wait_s: float) -> float:
    return min(MAX_RETRY_AFTER_S, max(MIN_RETRY_AFTER_S, wait_s))


def limit_shares(demand: Mapping[int, float], workers: int) -> dict[int, float]:
    """Compute each worker's share of a tenant's limits by its part of the tenant's traffic.

    Args:
        demand: The tenant's traffic at each worker, by the worker's number.
        workers: The number of workers.

    Returns:
        The shares by the worker's number; they add up to 1.
    """
    total = sum(demand.values())
    even = 1.0 / workers
    if total <= 0:
        return dict.fromkeys(demand, even)
    return {worker: (1 - EVEN_PART) * (traffic / total) + EVEN_PART * even for worker, traffic in demand.items()}
