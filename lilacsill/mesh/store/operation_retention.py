"""The retention of the records of operations at the head. No I/O.

The head periodically records a checkpoint: the sequence number that it has reached. Records up to a checkpoint that is
older than the retention time are deleted. Times are those of the head's own monotonic clock, never of an earlier head:
a new or restarted head has no checkpoints and keeps all existing records for a full retention time.
"""

from __future__ import annotations

from collections import deque

import msgspec

MARGIN_US = 10_000_000  # added to KeyWindowS for messages in flight and for clock drift
NO_FLOOR = 0  # no record may be deleted


class _Checkpoint(msgspec.Struct, frozen=True):
    """A sequence number, and a time at which the head had reached it."""

    at_us: int
    seq: int


class OperationRetention:
    """The checkpoints of one head."""

    def __init__(self, key_window_us: int) -> None:
        """`key_window_us`: for how long after an operation it may be retried."""
        self._retention_us = key_window_us + MARGIN_US
        self._checkpoints: deque[_Checkpoint] = deque()

    def record(self, now_us: int, seq: int) -> None:
        """Add a checkpoint if the sequence number that this head has reached has increased."""
        if not self._checkpoints or self._checkpoints[-1].seq < seq:
            self._checkpoints.append(_Checkpoint(now_us, seq))

    def floor(self, now_us: int) -> int:
        """Return the sequence number up to which records may be deleted; `NO_FLOOR` if none may."""
        cutoff_us = now_us - self._retention_us
        while len(self._checkpoints) > 1 and self._checkpoints[1].at_us <= cutoff_us:
            self._checkpoints.popleft()
        if not self._checkpoints or self._checkpoints[0].at_us > cutoff_us:
            return NO_FLOOR
        return self._checkpoints[0].seq

    def clear(self) -> None:
        """Discard all checkpoints."""
        self._checkpoints.clear()
