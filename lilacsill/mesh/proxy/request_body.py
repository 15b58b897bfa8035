"""The body of a request that is forwarded, kept for further attempts as far as it is short."""

from __future__ import annotations

MAX_KEPT_BYTES = 128 * 1024


class RequestBody:
    """What has come of a body. A long one is not kept, and the request can be offered only once."""

    __slots__ = ("data", "is_complete", "is_kept")

    def __init__(self, data: bytes, is_complete: bool) -> None:
        self.data = data
        self.is_complete = is_complete  # nothing more will come
        self.is_kept = True  # `data` is all that has come

    def append(self, data: bytes, is_last: bool) -> None:
        """Add what has come since."""
        self.is_complete = is_last
        if self.is_kept and len(self.data) + len(data) <= MAX_KEPT_BYTES:
            self.data += data
        else:
            self.is_kept, self.data = False, b""
