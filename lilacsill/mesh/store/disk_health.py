"""Detects whether this machine's disk completes writes in time, and requests a departure if it does not. No I/O.

A disk that hangs blocks the chain. Its machine therefore asks to be removed from the chain until the disk recovers.
"""

from __future__ import annotations

from lilacsill.mesh.runtime.messages import Departure

from .environment import ReplicaEnvironment
from .replica import Replica

STALLED_AFTER_US = 600_000  # age of the oldest pending write at which the disk counts as stalled
SLOW_AFTER_US = 150_000  # age at which a stall is likely: no lease is requested, as it would delay the next view


def is_disk_stalled(environment: ReplicaEnvironment) -> bool:
    """Return whether the oldest pending write is older than `STALLED_AFTER_US`."""
    return environment.oldest_save_age_us() > STALLED_AFTER_US


def is_disk_fast(environment: ReplicaEnvironment) -> bool:
    """Return whether every pending write is younger than `SLOW_AFTER_US`."""
    return environment.oldest_save_age_us() < SLOW_AFTER_US


def requested_departure(replica: Replica) -> Departure:
    """Return why this machine asks to be removed from the chain; `Departure.NONE` if it does not."""
    by_disk = Departure.DISK_STALLED if is_disk_stalled(replica.environment) else Departure.NONE
    return max(replica.departure, by_disk)
