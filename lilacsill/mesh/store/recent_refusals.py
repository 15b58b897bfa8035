"""Recently refused calls, so that a delayed duplicate of a refused call is not accepted. No I/O.

A relay that receives no reply in time retries while the first copy of the call may still be in flight on a connection,
which drops data that the peer does not accept within 1.5 s. If another change makes the call valid in the meantime, the
delayed copy would apply a change that its caller has been told was refused. A caller that deliberately repeats the call
gets no definite reply until the retention time has passed; then the call is accepted.
"""

from __future__ import annotations

from xxhash import xxh3_64_intdigest

RETENTION_US = 2_500_000  # two relays wait up to 0.85 s each, and a connection drops an unaccepted call after 1.5 s
MAX_CALLS = 256  # beyond this, the oldest call is evicted


class RecentRefusals:
    """The calls that this head has refused, kept in memory only. Times are microseconds of this member's clock."""

    def __init__(self) -> None:
        self._refused_at_us: dict[int, int] = {}  # by digest of the call, in the order of the refusals

    def add(self, call: bytes, now: int) -> None:
        """Record that the call was refused at time `now`."""
        digest = xxh3_64_intdigest(call)
        self._refused_at_us.pop(digest, None)
        self._refused_at_us[digest] = now
        if len(self._refused_at_us) > MAX_CALLS:
            del self._refused_at_us[next(iter(self._refused_at_us))]

    def includes(self, call: bytes, now: int) -> bool:
        """Return whether the same call was refused within the retention time."""
        refused_at_us = self._refused_at_us.get(xxh3_64_intdigest(call))
        return refused_at_us is not None and now - refused_at_us < RETENTION_US
