"""Recently refused calls, so that a delayed duplicate of a refused call is not accepted. No I/O.

The head accepts a call only if its caller still waits (`caller_check`). When the reply to that question arrives, it may
be out of date: the caller may have left and have been told at another registry that the call is refused. If another
change makes the call valid in the meantime, the copy would apply a change that was refused. The same holds for the
calls of a sender that cannot be asked, as long as a copy is in flight for no longer than the retention time. A caller
that deliberately repeats the call gets no definite reply until the retention time has passed. Then the call is
accepted.
"""

from __future__ import annotations

from xxhash import xxh3_64_intdigest

RETENTION_US = 2_500_000  # longer than the time-out of a caller check
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
