"""The decision which requests a proxy still takes after SIGTERM. No I/O; the clock comes from outside.

A proxy breaks off what is in flight shortly before the platform would kill it. A request that has reached a backend by
then is lost, so one that may not be complete in time is refused while no backend has it: its client sends it elsewhere.
"""

from __future__ import annotations

import msgspec

# The platform excuses what is broken off at work in the last sixth of the grace period; before that it is lost.
BREAK_OFF_SHARE = 1 / 8
MAX_KILL_MARGIN_US = 500_000


def kill_margin_us(grace_us: int) -> int:
    """Return how long before the platform kills the process, `grace_us` after SIGTERM, it breaks off what is left."""
    return min(MAX_KILL_MARGIN_US, int(grace_us * BREAK_OFF_SHARE))


class GracefulShutdown(msgspec.Struct, frozen=True):
    """The times of one shutdown, in microseconds of the reactor's clock."""

    take_all_until: int  # before this, clients have not had the time to see that the proxy is not ready
    break_off_at: int  # requests that are still in flight get an answer of the proxy's own

    def can_finish(self, now: int, time_left_us: int) -> bool:
        """Return whether a request that arrives now ends before it would be broken off.

        Only its deadline bounds how long a request lasts: what others of its route have taken does not.

        Args:
            now: The time of its arrival.
            time_left_us: The time until its deadline, of its client or its route.
        """
        return now < self.take_all_until or now + time_left_us <= self.break_off_at
