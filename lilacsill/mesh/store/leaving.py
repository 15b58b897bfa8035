"""The planned shutdown of one replica, which leaves the chain before it stops. No I/O.

The replica leaves the chain once the other members have enough complete copies. After half of the grace period it
announces that it will stop in any case, so that the others agree on a view without it if one of them is complete. After
three quarters of the grace period it stops. If no other copy is complete it stops while it is still a member, with its
data on disk: no data is lost unless the disk is lost as well, but no change is acknowledged until the machine is back.
"""

from __future__ import annotations

from collections.abc import Callable

from lilacsill.mesh.runtime.log_ring import log
from lilacsill.mesh.runtime.messages import Departure

from .membership import Membership
from .replica import Replica

CHECK_INTERVAL_US = 100_000
# The delay between the time at which the others have received the view without this machine and its stop. Within the
# delay they write the view to disk: this machine may be one of the few voters that accepted the view, and it cannot be
# asked after it has stopped.
LINGER_US = 300_000


class PlannedDeparture:
    """The planned shutdown of one replica. It begins when the object is created and calls `stop` once, at its end."""

    def __init__(self, replica: Replica, membership: Membership, grace_us: int, stop: Callable[[], None]) -> None:
        self._replica, self._membership, self._stop = replica, membership, stop
        self._environment = replica.environment
        self._deadline_us = self._environment.now() + 3 * grace_us // 4
        self._dispensable_since_us: int | None = None
        replica.departure = Departure.PLANNED
        self._environment.after(grace_us // 2, self._announce_end)
        log.info(
            "replica %s is shutting down: requests to leave the chain, grace period %d ms",
            replica.me.address,
            grace_us // 1000,
        )
        self._check()

    def _announce_end(self) -> None:
        self._replica.departure = Departure.IMMEDIATE

    def _check(self) -> None:
        now = self._environment.now()
        if self._membership.is_alone() or now >= self._deadline_us:
            self._stop()
            return
        if not self._membership.is_dispensable():
            self._dispensable_since_us = None
        elif self._dispensable_since_us is None:
            self._dispensable_since_us = now
        elif now - self._dispensable_since_us >= LINGER_US:
            self._stop()
            return
        self._environment.after(CHECK_INTERVAL_US, self._check)
