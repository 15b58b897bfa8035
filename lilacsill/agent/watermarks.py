"""The memory for buffered bodies: one budget for all streams, divided among those that are open. No I/O."""

from __future__ import annotations

MAX_WATERMARK_BYTES, MIN_WATERMARK_BYTES = 64 * 1024, 4 * 1024
MEMORY_DIVISOR = 4  # the budget is this part of the memory limit
FREE_DIVISOR = 8  # a watermark is this part of what is free of the budget
BODY_DIVISOR = 4  # one body that is kept complete may use this part of the budget for such bodies


class Watermarks:
    """The buffered bytes of all streams of a process.

    Invariant: `buffered` never exceeds `budget`, except for `MIN_WATERMARK_BYTES` that any stream may read however
    little is free: otherwise a few clients that stand still would stop everybody else.
    """

    def __init__(self, budget: int) -> None:
        self.budget = budget // 2  # bytes for streams; the other half is for bodies that are kept complete
        self._body_budget = budget - self.budget
        self.streams = 0
        self.buffered = 0  # bytes that streams hold
        self.reserved = 0  # bytes for bodies that are kept complete

    def open_stream(self) -> StreamShare:
        """Count one more stream; closing its share ends it."""
        self.streams += 1
        return StreamShare(self)

    @property
    def high_watermark(self) -> int:
        """The bytes that a stream may buffer now: a part of what is free, bounded by an equal share.

        So neither early nor slow streams get all of the budget.
        """
        free_part = (self.budget - self.buffered) // FREE_DIVISOR
        equal_share = self.budget // (2 * max(1, self.streams))
        return min(MAX_WATERMARK_BYTES, max(MIN_WATERMARK_BYTES, min(free_part, equal_share)))

    def reserve_body(self, nbytes: int) -> bool:
        """Reserve memory to keep a body complete; return whether there is room. `release_body` gives it back."""
        if nbytes > self._body_budget // BODY_DIVISOR or self.reserved + nbytes > self._body_budget:
            return False
        self.reserved += nbytes
        return True

    def release_body(self, nbytes: int) -> None:
        """Give reserved memory back."""
        self.reserved -= nbytes
        assert self.reserved >= 0


class StreamShare:
    """The buffered bytes of one stream."""

    __slots__ = ("_watermarks", "_buffered", "_closed")

    def __init__(self, watermarks: Watermarks) -> None:
        self._watermarks, self._buffered, self._closed = watermarks, 0, False

    def high_watermark(self) -> int:
        """Return the high watermark now, which is also the most to read at once, in bytes."""
        return self._watermarks.high_watermark

    def set_buffered(self, nbytes: int) -> bool:
        """Set how many bytes the stream buffers; return whether that is above the watermark."""
        if not self._closed:
            self._watermarks.buffered += nbytes - self._buffered
            self._buffered = nbytes
        return nbytes > self._watermarks.high_watermark

    def close(self) -> bool:
        """End the stream; return whether it was open until now."""
        if self._closed:
            return False
        self.set_buffered(0)
        self._closed = True
        self._watermarks.streams -= 1
        assert self._watermarks.buffered >= 0 and self._watermarks.streams >= 0
        return True


def buffer_budget(memory_mb: float, processes: int) -> int:
    """Return the bytes that bodies may use in each of `processes` that share a memory limit."""
    return int(memory_mb * 2**20 / MEMORY_DIVISOR / processes)
