"""A request body that is passed on to a backend while it is being received from the client."""

from __future__ import annotations

from collections.abc import Callable
from typing import Protocol

from ..streaming import BodyReceiver
from ..watermarks import Watermarks


class BodySource(Protocol):
    """The client's connection."""

    def pause_body(self) -> None:
        """Read nothing until `resume_body`."""

    def resume_body(self) -> None:
        """Read again."""

    def limit_reads(self, limit: Callable[[], int] | None) -> None:
        """Read at most `limit()` bytes at once; None: no limit."""


class Upload:
    """A streamed request body (see `streaming.StreamedBody`).

    What has been received is kept until it exceeds the watermark. While all of it is kept, another attempt can be made.
    """

    def __init__(self, source: BodySource, watermarks: Watermarks, length: int | None) -> None:
        self._source, self._share = source, watermarks.open_stream()
        self.length = length
        self.is_complete = False
        self._received = bytearray()
        self._is_truncated = False  # some of what was received is no longer kept
        self._receiver: BodyReceiver | None = None
        source.limit_reads(self._share.high_watermark)

    # For the client's connection

    def add(self, data: bytes) -> None:
        """Pass bytes of the body on. None at all is no event: an empty chunk would end a chunked body."""
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
        """Forget the body: the request has its answer, or its client has gone."""
        self._share.close()
        self._receiver = None
        self._received.clear()
        self._is_truncated = True

    # For an attempt

    def attach(self, receiver: BodyReceiver) -> bytes | None:
        """Return the bytes received so far and pass the rest to `receiver`; None: they are not all kept any more."""
        if self._is_truncated or self._receiver is not None:
            return None
        self._receiver = receiver
        self._source.resume_body()
        return bytes(self._received)

    def detach(self, receiver: BodyReceiver) -> None:
        """Pass nothing more to a receiver that is done."""
        if self._receiver is receiver:
            self._receiver = None

    def drained(self, receiver: BodyReceiver) -> None:
        """Note that the receiver has written all that it was given."""
        if self._receiver is receiver:
            self._share.set_buffered(len(self._received))
            self._source.resume_body()
