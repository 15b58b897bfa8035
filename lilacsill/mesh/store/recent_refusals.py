"""Calls that were refused a short time ago, so that a late copy of one is not accepted after all. No I/O.

A relay that gets no answer in time tries again, while its first copy may still be on a connection, which drops what
is not accepted within 1.5 s. If a later change makes the call valid meanwhile, that copy would put in force what its
caller knows to be refused. A caller that repeats the call on purpose gets no clear answer until the time is over;
then the call is accepted.
"""

from __future__ import annotations

from xxhash import xxh3_64_intdigest

RETENTION_US = 2_500_000  # two relays wait up to 0.85 s each, and a connection drops a call after 1.5 s
MAX_CALLS = 256  # above it the oldest is dropped


class RecentRefusals:
    """The calls that this head refused; in memory only. Times are microseconds of the caller's clock."""

    def __init__(self) -> None:
        self._refused_at_us: dict[int, int] = {}  # by digest of the call, the oldest first

    def add(self, call: bytes, now: int) -> None:
        """Record that the call was refused at this time."""
        digest = xxh3_64_intdigest(call)
        self._refused_at_us.pop(digest, None)
        self._refused_at_us[digest] = now
        if len(self._refused_at_us) > MAX_CALLS:
            del self._refused_at_us[next(iter(self._refused_at_us))]

    def includes(self, call: bytes, now: int) -> bool:
        """Return whether the same call was refused within the retention time."""
        refused_at_us = self._refused_at_us.get(xxh3_64_intdigest(call))
        return refused_at_us is not None and now - refused_at_us < RETENTION_US
