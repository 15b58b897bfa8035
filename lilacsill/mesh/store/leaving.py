"""The planned end of one copy: out of the chain first, once the others can do without it. No I/O.

At half of the grace period the others are told that it ends whatever becomes of it, so that they choose a view without
it if one of them is whole; at three quarters it ends. Where none is, it ends as a member, with its disk: nothing is
lost unless the disk is taken, too, and nothing is acknowledged until the machine is back.
"""

from __future__ import annotations

from collections.abc import Callable

from lilacsill.mesh.runtime.log_ring import log
from lilacsill.mesh.runtime.messages import Departure

from .membership import Membership
from .replica import Replica

LOOK_US = 100_000
# After the others have heard of the view without this machine: they must have it on their disks, for this machine may
# be one of the few that voted for it, and will never be asked again.
LINGER_US = 300_000


class Leaving:
    """Begins with its creation; `stop` is called once, at the end."""

    def __init__(self, replica: Replica, membership: Membership, grace_us: int, stop: Callable[[], None]) -> None:
        self._replica, self._membership, self._stop = replica, membership, stop
        self._environment = replica.environment
        self._must_end_at = self._environment.now() + 3 * grace_us // 4
        self._dispensable_since: int | None = None
        replica.departure = Departure.PLANNED
        self._environment.after(grace_us // 2, self._announce_end)
        log.info("leaves")
        self._look()

    def _announce_end(self) -> None:
        self._replica.departure = Departure.IMMEDIATE

    def _look(self) -> None:
        now = self._environment.now()
        if self._membership.is_alone() or now >= self._must_end_at:
            return self._stop()
        if not self._membership.is_dispensable():
            self._dispensable_since = None
        elif self._dispensable_since is None:
            self._dispensable_since = now
        elif now - self._dispensable_since >= LINGER_US:
            return self._stop()
        self._environment.after(LOOK_US, self._look)
