"""The memory budget for buffered bodies, which all open streams share. No I/O."""

from __future__ import annotations

MAX_WATERMARK_BYTES, MIN_WATERMARK_BYTES = 64 * 1024, 4 * 1024
MEMORY_DIVISOR = 4  # the budget for bodies is the memory limit divided by this
FREE_DIVISOR = 8  # the free budget divided by this limits the watermark of a stream, down to the minimum
BODY_DIVISOR = 4  # one fully buffered body may use the budget for such bodies divided by this


class Watermarks:
    """The buffered bytes of all streams of a process.

    Invariant: `buffered` exceeds `budget` by at most `MIN_WATERMARK_BYTES` per stream. Each stream may always read that
    much, since otherwise a few stalled clients would block all other streams.
    """

    def __init__(self, budget: int) -> None:
        self.budget = budget // 2  # bytes for streams; the other half is for fully buffered bodies
        self._body_budget = budget - self.budget
        self.streams = 0  # open streams
        self.buffered = 0  # bytes that all streams buffer
        self.reserved = 0  # bytes reserved for fully buffered bodies

    def open_stream(self) -> StreamShare:
        """Register a stream and return its share; closing the share removes the stream."""
        self.streams += 1
        return StreamShare(self)

    @property
    def high_watermark(self) -> int:
        """The bytes that a stream may buffer now: a fraction of the free budget, bounded by half of an equal share.

        This keeps early or slow streams from using the whole budget.
        """
        free_part = (self.budget - self.buffered) // FREE_DIVISOR
        equal_share = self.budget // (2 * max(1, self.streams))
        return min(MAX_WATERMARK_BYTES, max(MIN_WATERMARK_BYTES, min(free_part, equal_share)))

    def reserve_body(self, nbytes: int) -> bool:
        """Reserve memory to buffer a whole body; return whether there was room. `release_body` frees it."""
        if nbytes > self._body_budget // BODY_DIVISOR or self.reserved + nbytes > self._body_budget:
            return False
        self.reserved += nbytes
        return True

    def release_body(self, nbytes: int) -> None:
        """Release memory reserved by `reserve_body`."""
        self.reserved -= nbytes
        assert self.reserved >= 0


class StreamShare:
    """The buffered bytes of one stream."""

    __slots__ = ("_watermarks", "_buffered", "_closed")

    def __init__(self, watermarks: Watermarks) -> None:
        self._watermarks, self._buffered, self._closed = watermarks, 0, False

    def high_watermark(self) -> int:
        """Return the current high watermark in bytes, which is also the maximum to read at once."""
        return self._watermarks.high_watermark

    def set_buffered(self, nbytes: int) -> bool:
        """Set the number of bytes that the stream buffers; return whether it exceeds the watermark."""
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
    """Return the bytes for buffered bodies per process if `processes` share a memory limit."""
    return int(memory_mb * 2**20 / MEMORY_DIVISOR / processes)
