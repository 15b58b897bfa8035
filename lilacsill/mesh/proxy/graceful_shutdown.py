"""Decides which requests a proxy still accepts after SIGTERM. No I/O; the caller passes the time.

A proxy aborts the requests in flight shortly before the platform kills it. An aborted request that has reached a
backend is lost, so a request that may not finish in time is refused before it is offered to any backend: its client can
then send it to another proxy.
"""

from __future__ import annotations

import msgspec

# Share of the grace period. The platform tolerates requests aborted in the last sixth of the grace period and counts
# those aborted earlier as lost.
KILL_MARGIN_SHARE = 1 / 8
MAX_KILL_MARGIN_US = 500_000


def kill_margin_us(grace_us: int) -> int:
    """Return how long before the kill, which follows SIGTERM after `grace_us`, the proxy aborts what is in flight."""
    return min(MAX_KILL_MARGIN_US, int(grace_us * KILL_MARGIN_SHARE))


class GracefulShutdown(msgspec.Struct, frozen=True):
    """The schedule of one shutdown, as times of the reactor's clock in microseconds."""

    accept_all_until: int  # until then clients may not have noticed that the proxy is not ready
    abort_at: int  # when requests still in flight are aborted: the proxy answers them itself or truncates the response

    def can_finish(self, now: int, time_left_us: int) -> bool:
        """Return whether a request that arrives now is sure to end before `abort_at`, or must be accepted anyway.

        Only its deadline bounds the duration of a request; the durations of earlier requests of its route do not.

        Args:
            now: The arrival time.
            time_left_us: The time until the deadline set by its client or its route, whichever is earlier.
        """
        return now < self.accept_all_until or now + time_left_us <= self.abort_at
