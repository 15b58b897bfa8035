"""Calls that were refused of late: a second copy may still be on its way, and must not be taken after all. No I/O.

A relay that got no answer in time leaves its copy to the connection, which gives up what is not taken within 1.5 s.
When a later change makes the call valid meanwhile, that copy would put in force what its caller knows to be refused.
Who sends the call anew, on purpose, gets no clear answer until the time is over, and then it is taken.
"""

from __future__ import annotations

from xxhash import xxh3_64_intdigest

RETENTION_US = 2_500_000  # two relays may wait 0.85 s each, and a connection gives up after 1.5 s
MAX_CALLS = 256


class RecentRefusals:
    """Of one head, in memory. The clock is its caller's."""

    def __init__(self) -> None:
        self._refused_at: dict[int, int] = {}  # by digest of the call, the oldest first

    def add(self, call: bytes, now: int) -> None:
        digest = xxh3_64_intdigest(call)
        self._refused_at.pop(digest, None)
        self._refused_at[digest] = now
        if len(self._refused_at) > MAX_CALLS:
            del self._refused_at[next(iter(self._refused_at))]

    def includes(self, call: bytes, now: int) -> bool:
        refused_at = self._refused_at.get(xxh3_64_intdigest(call))
        return refused_at is not None and now - refused_at < RETENTION_US
