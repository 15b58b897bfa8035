"""For how long the head keeps the records of operations. No I/O.

The head notes from time to time which sequence number it has reached. Records up to a number that it reached long
enough ago are deleted. The time is that of the head's own steady clock, and of no earlier head: one that begins, or
starts anew, has noted nothing and keeps all records that it finds for a complete period.
"""

from __future__ import annotations

from collections import deque

import msgspec

MARGIN_US = 10_000_000  # beyond KeyWindowS: for what is on its way, and for clocks that differ
NOTHING = 0


class _Checkpoint(msgspec.Struct, frozen=True):
    """A sequence number that was reached at this time at the latest."""

    at_us: int
    seq: int


class OperationRetention:
    """The checkpoints of one head."""

    def __init__(self, key_window_us: int) -> None:
        """`key_window_us`: for how long a repeat of an operation may come."""
        self._retention_us = key_window_us + MARGIN_US
        self._checkpoints: deque[_Checkpoint] = deque()

    def record(self, now_us: int, seq: int) -> None:
        """Take note of the sequence number that this head has reached."""
        if not self._checkpoints or self._checkpoints[-1].seq < seq:
            self._checkpoints.append(_Checkpoint(now_us, seq))

    def floor(self, now_us: int) -> int:
        """Return up to which sequence number records may be deleted; `NOTHING`: none."""
        is_old = now_us - self._retention_us
        while len(self._checkpoints) > 1 and self._checkpoints[1].at_us <= is_old:
            self._checkpoints.popleft()
        if not self._checkpoints or self._checkpoints[0].at_us > is_old:
            return NOTHING
        return self._checkpoints[0].seq

    def clear(self) -> None:
        """Forget all checkpoints."""
        self._checkpoints.clear()
