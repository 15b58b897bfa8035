"""The body of a request that is forwarded, kept for further attempts as far as it is short."""

from __future__ import annotations

MAX_KEPT_BYTES = 128 * 1024


class RequestBody:
    """What has come of a body. A long one is not kept, and the request can be offered only once."""

    __slots__ = ("data", "is_complete", "is_kept", "is_waiting")

    def __init__(self, data: bytes, is_complete: bool) -> None:
        self.data = data
        self.is_complete = is_complete  # nothing more will come
        self.is_kept = True  # `data` is all that has come
        self.is_waiting = False  # for the permits of its request; until then all of it is kept

    def append(self, data: bytes, is_last: bool) -> None:
        """Add what has come since."""
        self.is_complete = is_last
        may_keep = self.is_waiting or len(self.data) + len(data) <= MAX_KEPT_BYTES
        if self.is_kept and may_keep:
            self.data += data
        else:
            self.is_kept, self.data = False, b""
