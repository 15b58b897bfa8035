"""A pending response on a client's connection (HTTP/1.1 pipelining, RFC 9112, section 9.3.2)."""

from __future__ import annotations

from typing import Protocol

import msgspec

from lilacsill.http1.message import REASON_PHRASES as COMMON_REASON_PHRASES
from lilacsill.http1.message import Message, encode_chunk
from lilacsill.mesh.runtime.messages import Headers

from .forwarded_request import ForwardedRequest

CONNECTION_CLOSE = (b"Connection", b"close")
REASON_PHRASES = {
    **COMMON_REASON_PHRASES,
    202: "Accepted",
    204: "No Content",
    206: "Partial Content",
    304: "Not Modified",
    412: "Precondition Failed",
    421: "Misdirected Request",
    431: "Request Header Fields Too Large",
    504: "Gateway Timeout",
}


class ResponseQueue(Protocol):
    """The connection that sends responses in the order of their requests."""

    def flush(self, response: PendingResponse) -> int:
        """Send all data whose turn has come. Return how many bytes of this response are not sent yet."""


class ResponseHead(msgspec.Struct):
    """Status line and header fields. They are encoded when sent, since only then is it known whether to close."""

    status: int
    headers: Headers

    def encode(self, closes: bool) -> bytes:
        """Return the encoded head, including the blank line.

        Args:
            closes: Whether the connection is closed after this response.
        """
        headers = [*self.headers, CONNECTION_CLOSE] if closes else self.headers
        lines = b"".join(b"%b: %b\r\n" % line for line in headers)
        return b"HTTP/1.1 %d %b\r\n%b\r\n" % (self.status, REASON_PHRASES.get(self.status, "").encode(), lines)


class PendingResponse:
    """The response to one request, buffered until all earlier responses on the connection are sent.

    Implements `response_writer.ResponseWriter`.
    """

    __slots__ = (
        "_queue",
        "_is_chunked",
        "_head",
        "_body",
        "request",
        "request_bytes",
        "forwarded",
        "is_head_sent",
        "is_complete",
        "is_aborted",
    )

    def __init__(self, queue: ResponseQueue, request: Message) -> None:
        self._queue, self.request = queue, request
        self.request_bytes = request.memory_bytes  # estimate, with the body received so far
        self.forwarded: ForwardedRequest | None = None  # None: not forwarded, the proxy answers itself
        self._head: ResponseHead | None = None  # not sent yet
        self._body = bytearray()  # not sent yet
        self.is_complete = False  # no more data follows
        self.is_aborted = False  # truncated: the connection is closed after the buffered data
        self.is_head_sent = False  # with or without `Connection: close`
        self._is_chunked = False

    def send_response(self, status: int, headers: Headers, body: bytes) -> None:
        """Send a complete response; the body is omitted if the status or the method does not allow one."""
        has_no_body = status in (204, 304) or self.request.method == b"HEAD"
        length = [] if status == 204 else [(b"Content-Length", b"%d" % len(body))]
        self._head = ResponseHead(status, [*headers, *length])
        self._add(b"" if has_no_body else body, is_last=True)

    def start_response(self, status: int, headers: Headers, content_length: int | None, body: bytes) -> int:
        """Send the head and the first part of the body."""
        self._is_chunked = content_length is None
        framing = (b"Transfer-Encoding", b"chunked") if content_length is None else _content_length(content_length)
        self._head = ResponseHead(status, [*headers, framing])
        return self._add(self._encode(body), is_last=False)

    def send_body(self, data: bytes, is_last: bool) -> int:
        """Send the next part of the body."""
        end = encode_chunk(b"") if is_last and self._is_chunked else b""
        return self._add(self._encode(data) + end, is_last)

    def abort(self) -> None:
        """Close the connection after the data written so far, which truncates the response."""
        self.is_aborted = True
        self._add(b"", is_last=True)

    # Used by the connection

    @property
    def unsent(self) -> int:
        """Bytes of the body that wait for earlier responses."""
        return len(self._body)

    def take(self, closes: bool) -> bytes:
        """Return the buffered data and clear the buffer.

        Args:
            closes: Whether the connection is closed after this response.
        """
        head, self._head = self._head, None
        data = bytes(self._body)
        self._body.clear()
        if head is None:
            return data
        self.is_head_sent = True
        return head.encode(closes) + data

    def _encode(self, data: bytes) -> bytes:
        return encode_chunk(data) if self._is_chunked and data else data

    def _add(self, data: bytes, is_last: bool) -> int:
        self._body += data
        self.is_complete = self.is_complete or is_last
        return self._queue.flush(self)


def _content_length(length: int) -> tuple[bytes, bytes]:
    return b"Content-Length", b"%d" % length
