"""A response that is forwarded to the client while it is being received from the backend."""

from __future__ import annotations

from collections.abc import Callable
from typing import Protocol

from lilacsill.http1.message import Headers, Message, encode_chunk, encode_response_head

from ..watermarks import Watermarks


class ResponseConnection(Protocol):
    """The client connection on which the response is sent."""

    @property
    def unsent(self) -> int:
        """Number of bytes that the kernel has not accepted yet."""

    def send(self, data: bytes) -> None:
        """Send bytes."""

    def close(self) -> None:
        """Close the connection when all bytes are written."""

    def response_sent(self) -> None:
        """Record that the response is complete, so that the next request may be read."""


class ResponseStream:
    """A streamed response.

    It is framed by Content-Length if the length is known, otherwise by chunks if the client speaks HTTP/1.1, otherwise
    by the end of the connection.
    """

    def __init__(
        self,
        connection: ResponseConnection,
        watermarks: Watermarks,
        request: Message,
        headers: Headers,
        length: int | None,
    ) -> None:
        self._connection = connection
        self._chunked = length is None and request.version == "1.1"
        self.on_drained: Callable[[], None] = lambda: None
        self.on_client_gone: Callable[[], None] = lambda: None
        self._share = watermarks.open_stream()
        self.read_limit = self._share.high_watermark
        if length is not None:
            headers = [*headers, ("Content-Length", str(length))]
        elif self._chunked:
            headers = [*headers, ("Transfer-Encoding", "chunked")]
        connection.send(encode_response_head(200, headers))

    def write(self, data: bytes) -> bool:
        """Send bytes; return whether reading from the backend must pause until `on_drained`."""
        if data:
            self._connection.send(encode_chunk(data) if self._chunked else data)
        return self._share.set_buffered(self._connection.unsent)

    def flushed(self) -> None:
        """Handle that the kernel has accepted all bytes written so far."""
        self._share.set_buffered(0)
        self.on_drained()

    def finish(self) -> None:
        """End a complete response."""
        if self.end():
            if self._chunked:
                self._connection.send(encode_chunk(b""))
            self._connection.response_sent()

    def abort(self) -> None:
        """End an incomplete response; the missing end of the body shows the client that it is truncated."""
        if self.end():
            self._connection.close()

    def end(self) -> bool:
        """Stop sending; return whether the response had not ended before."""
        return self._share.close()
