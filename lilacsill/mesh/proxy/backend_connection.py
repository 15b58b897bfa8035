"""A connection to the backend of this machine, for one request at a time; `Attempt-Id` identifies its response."""

from __future__ import annotations

from typing import Protocol

from httptools import HttpResponseParser

from lilacsill.http1.connection import Connection
from lilacsill.http1.decimal import parse_decimal
from lilacsill.http1.message import Message, Reader, encode_chunk, encode_request_head
from lilacsill.mesh.runtime.messages import Headers

from .reasons import FailureReason

US_PER_S = 1_000_000
MAX_IDLE_US = 4_000_000  # backends close idle connections after some time; a request sent at that moment would be lost
KEEP_ALIVE_SHARE = 0.5  # of the timeout in the backend's `Keep-Alive` header
STREAMING_THRESHOLD_BYTES = 64 * 1024  # a longer response is streamed; a shorter one is forwarded when it is complete
MAX_BODY_BYTES = 64 * 1024 * 1024
HOP_BY_HOP = frozenset(
    (
        b"connection",
        b"keep-alive",
        b"proxy-connection",
        b"te",
        b"trailer",
        b"transfer-encoding",
        b"upgrade",
        b"content-length",
        b"proxy-authenticate",
        b"proxy-authorization",
    )
)


class ResponseHandler(Protocol):
    """The request in flight on a connection."""

    attempt_id: bytes
    idempotent: bool

    def on_response(self, response: Message) -> None:
        """Handle a complete response, or the end of a streamed one."""

    def on_response_part(self, response: Message) -> None:
        """Handle the next part of a long response, which `response.take_body()` returns."""

    def on_failed(self, reason: FailureReason) -> None:
        """Handle a failure: no complete response will arrive, and the request may have run."""


class BackendConnectionOwner(Protocol):
    """The pool that a connection belongs to."""

    def now(self) -> int:
        """Return the current time in microseconds."""

    def release(self, connection: BackendConnection) -> None:
        """Take back a connection without a request in flight."""

    def remove(self, connection: BackendConnection) -> None:
        """Remove a connection from the pool."""

    def record_reset(self, idle_us: int, in_flight_us: int) -> None:
        """Count a request whose connection ended before the response was complete."""


def end_to_end_headers(message: Message) -> Headers:
    """Return the header lines without the hop-by-hop ones (RFC 9110, section 7.6.1)."""
    excluded = HOP_BY_HOP
    connection = message.fields.get(b"connection")
    if connection is not None and connection.lower() not in (b"close", b"keep-alive"):
        excluded = HOP_BY_HOP | {name.strip().lower() for name in connection.split(b",")}
    return [line for line in message.header_lines or [] if line[0].lower() not in excluded]


class BackendConnection(Connection):
    """A pooled connection, used for one request after the other."""

    def __init__(self, pool: BackendConnectionOwner) -> None:
        super().__init__()
        self._pool = pool
        self._reader = Reader(HttpResponseParser, MAX_BODY_BYTES, until_close=True, keep_header_lines=True)
        self.handler: ResponseHandler | None = None
        self.max_idle_us = MAX_IDLE_US  # how long it may be idle before the backend may close it
        self.idle_since = 0  # 0: it has not been idle yet
        self.idle_us = 0  # idle time before the request in flight; 0: new connection, or response bytes have arrived
        self.sent_at = 0
        self.reusable = True
        self.uploading = False  # a part of the request body is still to be sent

    @property
    def can_be_reused(self) -> bool:
        """Whether another request may be sent on the connection."""
        return self.open and self.reusable and self.written and not self.uploading

    def send_request(
        self,
        handler: ResponseHandler,
        method: bytes,
        target: bytes,
        headers: Headers,
        body: bytes,
        content_length: int | None,
        body_complete: bool,
    ) -> None:
        """Send a request.

        Args:
            handler: Receives the response.
            method: The HTTP method.
            target: The request target.
            headers: The header lines, except those for the framing.
            body: The part of the body that is available.
            content_length: The length of the body; None: unknown, so the body is sent in chunks.
            body_complete: Whether `body` is the whole body; otherwise calls of `send_body` follow.
        """
        self.handler, self.uploading = handler, not body_complete
        self.sent_at = self._pool.now()
        self.idle_us = self.sent_at - self.idle_since if self.idle_since else 0
        if content_length is None:
            headers = [*headers, (b"Transfer-Encoding", b"chunked")]
            body = _chunked(body, body_complete)
        elif content_length or method != b"GET":
            headers = [*headers, (b"Content-Length", b"%d" % content_length)]
        self.send(encode_request_head(method, target, headers) + body)

    def send_body(self, data: bytes, last: bool, chunked: bool) -> None:
        """Send more of the request body."""
        if chunked:
            data = _chunked(data, last)
        self.uploading = not last
        if data:
            self.send(data)

    def on_data(self, data: bytes) -> None:
        """Pass responses to the request in flight."""
        self.idle_us = 0  # the backend had not closed this connection
        responses = self._reader.feed(data)
        for response in responses:
            handler = self.handler
            if handler is None:  # bytes on an idle connection belong to no request
                return self.drop()
            if not _is_response_to(handler, response):
                continue  # an extra response; the response to this request is still due
            self._end_response(response, is_last=response is responses[-1])
            handler.on_response(response)
        if self.closed or self.discarding:
            return None
        if self._reader.error is not None:
            return self._fail(FailureReason.MALFORMED_RESPONSE)
        return self._on_incomplete_response()

    def _end_response(self, response: Message, is_last: bool) -> None:
        self.handler = None
        if not response.keep_alive:
            self.reusable = False
        self.max_idle_us = _keep_alive_us(response)
        if is_last and self._reader.current is None and self._reader.error is None:
            # Released before the handler runs, since the handler starts the next request that waits for a slot.
            self._pool.release(self)

    def _on_incomplete_response(self) -> None:
        current, handler = self._reader.current, self.handler
        if current is None:
            if handler is None:
                self._pool.release(self)
        elif handler is None:
            self.drop()  # the beginning of an unsolicited response
        elif self._reader.in_body and current.received > STREAMING_THRESHOLD_BYTES:
            if _is_response_to(handler, current):
                handler.on_response_part(current)
            else:
                current.take_body()

    def on_fault(self) -> None:
        """Fail the request after an internal error of this process."""
        self._fail(FailureReason.INTERNAL_ERROR)

    def eof_received(self) -> None:
        """Accept a response that ends with its connection, except after a reset: then it is incomplete."""
        handler, stream = self.handler, self.stream
        response = None if stream is None or stream.reset else self._reader.close()
        if handler is not None and response is not None and _is_response_to(handler, response):
            self._end_response(response, is_last=True)
            handler.on_response(response)
        super().eof_received()

    def connection_lost(self) -> None:
        """Release the parser."""
        super().connection_lost()
        self._reader.end()

    def on_end(self) -> None:
        """Fail the request: the backend has closed the connection."""
        self._fail(FailureReason.CONNECTION_CLOSED)

    def _fail(self, reason: FailureReason) -> None:
        handler, self.handler = self.handler, None
        if handler is not None:
            self._pool.record_reset(self.idle_us, self._pool.now() - self.sent_at)
        self._pool.remove(self)
        if not self.closed:
            self.drop()
        if handler is not None:
            handler.on_failed(reason)


def _is_response_to(handler: ResponseHandler, response: Message) -> bool:
    return response.fields.get(b"attempt-id", b"") == handler.attempt_id


def _chunked(data: bytes, last: bool) -> bytes:
    return (encode_chunk(data) if data else b"") + (encode_chunk(b"") if last else b"")


def _keep_alive_us(response: Message) -> int:
    """Return how long the connection may be idle according to the `Keep-Alive` header of a response."""
    for parameter in response.fields.get(b"keep-alive", b"").split(b","):
        name, _, value = parameter.strip().partition(b"=")
        timeout_s = parse_decimal(value) if name.lower() == b"timeout" else None
        if timeout_s is not None:
            return min(MAX_IDLE_US, int(timeout_s * US_PER_S * KEEP_ALIVE_SHARE))
    return MAX_IDLE_US
