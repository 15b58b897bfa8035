"""How long a connection to the backend may have been idle before a request goes out on it. No I/O.

Backends forget idle connections, some silently and early. A request sent on such a connection is reset, and whether it
ran is not known. A read finds that out and is retried. A write is not put at risk: it goes out on a connection that was
just in use or on a new one, which costs a millisecond.
"""

from __future__ import annotations

MAX_IDLE_FOR_WRITE_US = 150_000
SAFE_SHARE = 0.5  # of the idle time after which a connection was found forgotten
LIMIT_LIFETIME_US = 15_000_000  # how long such a finding counts
RESET_WITHIN_US = 60_000  # a reset so soon after the request, before any response, means a forgotten connection


class IdleLimit:
    """The limit for the connections to one backend."""

    def __init__(self) -> None:
        self._limit_us: int | None = None  # None: no connection was found forgotten
        self._expires_at = 0
        self.resets = 0  # connections that were found forgotten

    def limit_us(self, idempotent: bool, keep_alive_us: int, now: int) -> int:
        """Return for how long a connection may have been idle.

        Args:
            idempotent: Whether the request that is to go out on it may be retried.
            keep_alive_us: How long the backend itself keeps idle connections.
            now: The current time in microseconds.
        """
        limit_us = keep_alive_us if idempotent else min(keep_alive_us, MAX_IDLE_FOR_WRITE_US)
        if self._limit_us is None or now >= self._expires_at:
            return limit_us
        return min(limit_us, self._limit_us)

    def record_reset(self, idle_us: int, in_flight_us: int, now: int) -> None:
        """Learn from a request that was reset before any response.

        Args:
            idle_us: How long its connection had been idle; 0: it was new, or a part of the response had come.
            in_flight_us: How long the request had been in flight.
            now: The current time in microseconds.
        """
        if not idle_us or in_flight_us > RESET_WITHIN_US:
            return
        limit_us = int(idle_us * SAFE_SHARE)
        if self._limit_us is not None and now < self._expires_at:
            limit_us = min(limit_us, self._limit_us)
        self._limit_us = limit_us
        self._expires_at = now + LIMIT_LIFETIME_US
        self.resets += 1
