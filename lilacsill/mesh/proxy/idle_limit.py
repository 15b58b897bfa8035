"""How long a connection to the backend may have been idle before it is reused for a request. No I/O.

Backends drop idle connections, some of them early and without closing them. A request sent on such a stale connection
is reset, and it is not known whether the request ran. Reads may detect this, since they can be retried. Writes must not
be put at risk: they use a connection that was in use just before, or a new one, which costs a millisecond.
"""

from __future__ import annotations

MAX_IDLE_FOR_WRITE_US = 150_000
LEARNED_LIMIT_SHARE = 0.5  # of the idle time of a connection that was found stale
LIMIT_LIFETIME_US = 15_000_000  # how long a learned limit applies
MAX_RESET_DELAY_US = 60_000  # a reset within this time of the request, before any response, means a stale connection


class IdleLimit:
    """The idle limit of the connections to one backend."""

    def __init__(self) -> None:
        self._learned_limit_us: int | None = None  # None: no stale connection was found yet
        self._expires_at = 0
        self.resets = 0  # number of stale connections found

    def limit_us(self, idempotent: bool, keep_alive_us: int, now: int) -> int:
        """Return how long a connection may have been idle to be reused.

        Args:
            idempotent: Whether the request to be sent may be retried.
            keep_alive_us: The idle time that the backend itself allows.
            now: The current time in microseconds.
        """
        limit_us = keep_alive_us if idempotent else min(keep_alive_us, MAX_IDLE_FOR_WRITE_US)
        if self._learned_limit_us is None or now >= self._expires_at:
            return limit_us
        return min(limit_us, self._learned_limit_us)

    def record_reset(self, idle_us: int, in_flight_us: int, now: int) -> None:
        """Lower the limit after a request that was reset before any response.

        Args:
            idle_us: How long its connection had been idle; 0 if it was new or part of a response was received.
            in_flight_us: How long the request had been in flight.
            now: The current time in microseconds.
        """
        if not idle_us or in_flight_us > MAX_RESET_DELAY_US:
            return
        limit_us = int(idle_us * LEARNED_LIMIT_SHARE)
        if self._learned_limit_us is not None and now < self._expires_at:
            limit_us = min(limit_us, self._learned_limit_us)
        self._learned_limit_us = limit_us
        self._expires_at = now + LIMIT_LIFETIME_US
        self.resets += 1
