"""A request body that is forwarded to a backend while it is being received from the client."""

from __future__ import annotations

from collections.abc import Callable
from typing import Protocol

from ..streaming import BodyReceiver
from ..watermarks import Watermarks


class BodySource(Protocol):
    """The client connection from which the body is read."""

    def pause_body(self) -> None:
        """Pause reading until `resume_body`."""

    def resume_body(self) -> None:
        """Resume reading."""

    def limit_reads(self, limit: Callable[[], int] | None) -> None:
        """Read at most `limit()` bytes at once; None: no limit."""


class Upload:
    """A streamed request body (see `streaming.StreamedBody`).

    Received bytes are buffered until they exceed the watermark. While all are buffered, another attempt can be made.
    """

    def __init__(self, source: BodySource, watermarks: Watermarks, length: int | None) -> None:
        self._source, self._share = source, watermarks.open_stream()
        self.length = length
        self.is_complete = False
        self._received = bytearray()
        self._is_truncated = False  # the received bytes are no longer all buffered
        self._receiver: BodyReceiver | None = None
        source.limit_reads(self._share.high_watermark)

    # Called by the client connection

    def add(self, data: bytes) -> None:
        """Forward bytes of the body. Empty data is ignored, because an empty chunk would end a chunked body."""
        if not data:
            return
        is_kept = not self._is_truncated and len(self._received) + len(data) <= self._share.high_watermark()
        if self._receiver is None or is_kept:
            self._received += data
        else:
            self._is_truncated = True
            self._received.clear()
        unwritten = self._receiver.on_body(data) if self._receiver is not None else 0
        if self._share.set_buffered(len(self._received) + unwritten) or unwritten:
            self._source.pause_body()

    def finish(self) -> None:
        """End a complete body."""
        self.is_complete = True
        if self._receiver is not None:
            self._receiver.on_body_end()

    def discard(self) -> None:
        """Discard the body after the request was answered or its client has closed the connection."""
        self._share.close()
        self._receiver = None
        self._received.clear()
        self._is_truncated = True

    # Called by an attempt

    def attach(self, receiver: BodyReceiver) -> bytes | None:
        """Return the bytes received so far and pass the rest to `receiver`; None: not all buffered, or attached."""
        if self._is_truncated or self._receiver is not None:
            return None
        self._receiver = receiver
        self._source.resume_body()
        return bytes(self._received)

    def detach(self, receiver: BodyReceiver) -> None:
        """Stop passing bytes to a receiver."""
        if self._receiver is receiver:
            self._receiver = None

    def drained(self, receiver: BodyReceiver) -> None:
        """Handle that the receiver has written all bytes passed to it."""
        if self._receiver is receiver:
            self._share.set_buffered(len(self._received))
            self._source.resume_body()
