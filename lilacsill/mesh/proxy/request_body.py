"""The body of a forwarded request, buffered for further attempts if it is short enough."""

from __future__ import annotations

MAX_REPLAYABLE_BYTES = 128 * 1024


class RequestBody:
    """The body as received so far. A long body is dropped, so that its request can be offered only once."""

    __slots__ = ("data", "is_complete", "is_replayable", "is_awaiting_permits")

    def __init__(self, data: bytes, is_complete: bool) -> None:
        self.data = data
        self.is_complete = is_complete  # no more data follows
        self.is_replayable = True  # `data` holds all that was received
        self.is_awaiting_permits = False  # meanwhile a body of any length is kept

    def append(self, data: bytes, is_last: bool) -> None:
        """Append received data."""
        self.is_complete = is_last
        may_keep = self.is_awaiting_permits or len(self.data) + len(data) <= MAX_REPLAYABLE_BYTES
        if self.is_replayable and may_keep:
            self.data += data
        else:
            self.is_replayable, self.data = False, b""
