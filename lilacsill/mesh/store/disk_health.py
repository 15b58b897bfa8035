"""Whether this machine's disk completes its writes in time, and what the machine asks of the others if not. No I/O.

A disk that hangs blocks the chain. Its machine therefore asks to be removed from the chain until the disk goes on.
"""

from __future__ import annotations

from lilacsill.mesh.runtime.messages import Departure

from .environment import ReplicaEnvironment
from .replica import Replica

STALLED_AFTER_US = 600_000  # age of the oldest pending write at which the disk counts as stalled
SLOW_AFTER_US = 150_000  # age at which it may be about to stall, so that no lease should delay the next view


def is_disk_stalled(environment: ReplicaEnvironment) -> bool:
    """Return whether the disk hangs."""
    return environment.oldest_save_age_us() > STALLED_AFTER_US


def is_disk_fast(environment: ReplicaEnvironment) -> bool:
    """Return whether the disk completes writes as usual."""
    return environment.oldest_save_age_us() < SLOW_AFTER_US


def requested_departure(replica: Replica) -> Departure:
    """Return whether this machine asks to be removed from the chain, and why."""
    by_disk = Departure.DISK_STALLED if is_disk_stalled(replica.environment) else Departure.NONE
    return max(replica.departure, by_disk)
