"""The planned end of one replica: it leaves the chain first, once the others have enough complete copies. No I/O.

After half of the grace period the replica announces that it ends in any case, so that the others agree on a view
without it if one of them is complete. After three quarters of the period it ends. Where no other copy is complete it
ends as a member, with its data on disk: nothing is lost unless the disk is lost, too, and nothing is acknowledged until
the machine is back.
"""

from __future__ import annotations

from collections.abc import Callable

from lilacsill.mesh.runtime.log_ring import log
from lilacsill.mesh.runtime.messages import Departure

from .membership import Membership
from .replica import Replica

CHECK_INTERVAL_US = 100_000
# After the others have received the view without this machine. They must have it on disk, since this machine may be one
# of the few that voted for it, and cannot be asked any more.
LINGER_US = 300_000


class Leaving:
    """The end of one replica. It begins when the object is made; `stop` is called once, at the end."""

    def __init__(self, replica: Replica, membership: Membership, grace_us: int, stop: Callable[[], None]) -> None:
        self._replica, self._membership, self._stop = replica, membership, stop
        self._environment = replica.environment
        self._deadline_us = self._environment.now() + 3 * grace_us // 4
        self._dispensable_since_us: int | None = None
        replica.departure = Departure.PLANNED
        self._environment.after(grace_us // 2, self._announce_end)
        log.info("leaves")
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
