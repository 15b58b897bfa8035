"""A connection from the application, on which requests are received and answered one at a time."""

from __future__ import annotations

from collections.abc import Callable
from typing import Protocol

from httptools import HttpRequestParser

from lilacsill.http1.connection import Connection
from lilacsill.http1.message import Headers, InvalidMessageError, Message, Reader, encode_response, origin_form

from ..admission.connections import ConnectionRecord
from ..admission.policy import ConnectionState
from ..streaming import ResponseSink
from ..watermarks import Watermarks
from .response_stream import ResponseStream
from .upload import Upload
from .validation import DownstreamRequest, Respond

API_PATH, HEALTH_PATH = b"/api", b"/_health"
BODY_LIMIT = 40 * 1024 * 1024  # bytes; bodies of 32 MB occur
SMALL_BODY_BYTES = 64 * 1024  # a body up to this size is buffered without a memory reservation
# Time-out for receiving a streamed body, in microseconds: a fixed part and a part per byte.
BODY_TIMEOUT_US, BODY_TIMEOUT_BYTE_US = 1_000_000, 20


class RequestHandler(Protocol):
    """Handles validated requests."""

    def handle(self, call: DownstreamRequest) -> None:
        """Handle a request and answer it with `call.respond` or `call.begin_response`."""

    def client_gone(self, call: DownstreamRequest) -> None:
        """Handle that the client of a request has closed its connection."""

    def fail_all(self) -> None:
        """Answer all requests in flight at once."""


class Validator(Protocol):
    """Validates requests."""

    def validate(self, request: Message, respond: Respond) -> DownstreamRequest:
        """Return the validated request.

        Raises:
            InvalidMessageError: The request is not accepted.
        """
        ...


class ConnectionOwner(Protocol):
    """The interface of the server to its connections."""

    handler: RequestHandler
    validator: Validator
    open_request_ids: set[bytes]
    watermarks: Watermarks

    @property
    def is_draining(self) -> bool:
        """Whether connections are closed after their response."""

    @property
    def is_healthy(self) -> bool:
        """Whether the health check of the agent succeeds."""

    def state_changed(self, connection: DownstreamConnection, state: ConnectionState) -> None:
        """Record the new state of a connection."""

    def keeps_alive(self, connection: DownstreamConnection) -> bool:
        """Return whether the connection stays open after the response that is sent now."""

    def request_served(self, connection: DownstreamConnection) -> None:
        """Record that a successful response is sent."""

    def connection_closed(self, connection: DownstreamConnection) -> None:
        """Record that a connection is closed and its descriptor is free."""


class DownstreamConnection(Connection):
    """A connection from the application, with one request at a time."""

    def __init__(self, owner: ConnectionOwner, record: ConnectionRecord) -> None:
        super().__init__()
        self._owner = owner
        self.record = record  # its admission record
        self._reader = Reader(HttpRequestParser, BODY_LIMIT)
        self._message: Message | None = None  # the request in flight, as received
        self._call: DownstreamRequest | None = None  # the request in flight, validated
        self._has_extra_bytes = False  # bytes of another request arrived while one was in flight
        self._closes_after_response = False  # the connection closes after the streamed response
        self._continued: Message | None = None  # the request for which 100 Continue was sent
        self._response: ResponseStream | None = None  # the response that is being streamed
        self._upload: Upload | None = None  # the request body that is being streamed
        self._reserved_bytes = 0  # memory reserved to buffer the request body

    # State

    @property
    def has_request(self) -> bool:
        """Whether a request on this connection is not answered yet."""
        return self._call is not None

    @property
    def is_idle(self) -> bool:
        """Whether no byte of a request has arrived, even in the kernel's buffer, and all responses are written."""
        return (
            self._call is None
            and self._reader.current is None
            and not self.discarding
            and self.written
            and self.nothing_to_read()
        )

    @property
    def can_evict(self) -> bool:
        """Whether the connection can be closed now without losing a request or truncating a response."""
        if not self.open:
            return False
        if self.record.state is ConnectionState.LINGERING:
            return self._call is None and self.written
        return self._call is None and self.written and self.nothing_to_read()

    def expire(self) -> None:
        """Handle the time-out of the state of the connection."""
        if self.record.state is ConnectionState.LINGERING or self.discarding:
            self.drop()
        elif self._upload is not None and self.stream is not None and self.stream.paused:
            pass  # reading is paused until the backend has taken the received bytes; the client is not at fault
        elif self._reader.current is not None:
            self._abandon_request()
            self._reject(InvalidMessageError(408, "request not complete in time"))
        elif not self.written:  # the client does not read its response, and `close` would wait until it has
            self.drop()
        elif self.nothing_to_read():
            self.close()

    # Reading

    def connection_lost(self) -> None:
        """Release the parser and report the closed connection to the server."""
        super().connection_lost()
        self._reader.end()
        self._owner.connection_closed(self)

    def on_data(self, data: bytes) -> None:
        """Parse received bytes of a request or of a streamed body."""
        if self._upload is not None and not self._upload.is_complete:
            self._on_streamed_body(data, self._upload)
            return
        if self._call is not None:
            # Bytes after a request in flight are not parsed; line breaks between messages have no meaning.
            self._has_extra_bytes = self.discarding = bool(data.strip(b"\r\n"))
            return
        complete = self._reader.feed(data)
        current, error = self._reader.current, self._reader.error
        if complete and (len(complete) > 1 or current is not None or error is not None):
            self._reject_pipelining()
        elif error is not None:
            self._reject(error)
        elif complete:
            self._accept_request(complete[0])
            if self._call is None:
                self._release_request()
        elif current is not None:
            self._on_incomplete_request(current, len(data))

    def _on_incomplete_request(self, request: Message, nbytes: int) -> None:
        # All received bytes count, including framing, which is most of a body with small chunks.
        is_first = self.record.state is not ConnectionState.BODY
        self.record.received = request.received if is_first else self.record.received + nbytes
        self._owner.state_changed(self, ConnectionState.BODY if self._reader.in_body else ConnectionState.READING)
        self._send_continue(request)
        if self._reader.in_body and not self._can_buffer_body(request):
            max_bytes = BODY_LIMIT if request.length is None else request.length
            self._accept_request(request, BODY_TIMEOUT_US + BODY_TIMEOUT_BYTE_US * max_bytes)

    def _can_buffer_body(self, request: Message) -> bool:
        """Return whether the whole body can be buffered.

        The request is then accepted once its last byte has arrived, and can be sent to backends more than once.
        """
        size = request.received if request.length is None else request.length
        unreserved = size - self._reserved_bytes
        if size <= SMALL_BODY_BYTES or unreserved <= 0:
            return True
        if not self._owner.watermarks.reserve_body(unreserved):
            return False
        self._reserved_bytes += unreserved
        return True

    def _on_streamed_body(self, data: bytes, upload: Upload) -> None:
        request = self._reader.current
        complete = self._reader.feed(data)
        assert request is not None
        if self._reader.error is not None and not complete:
            self._abandon_request()
            self._reject(self._reader.error)
            return
        self.record.received += len(data)
        upload.add(request.take_body())
        if complete:
            self._has_extra_bytes = (
                len(complete) > 1 or self._reader.current is not None or self._reader.error is not None
            )
            self._owner.state_changed(self, ConnectionState.IN_FLIGHT)
            upload.finish()

    def pause_body(self) -> None:
        """Pause reading until `resume_body`."""
        if self.stream is not None:
            self.stream.pause()

    def resume_body(self) -> None:
        """Resume reading."""
        if self.stream is not None:
            self.stream.resume()

    def limit_reads(self, limit: Callable[[], int] | None) -> None:
        """Read at most `limit()` bytes at once; None: no limit."""
        if self.stream is not None:
            self.stream.read_limit = limit

    def on_fault(self) -> None:
        """Abandon the request and respond with 500."""
        self._abandon_request()
        if self.open:
            self._reject(InvalidMessageError(500, "internal error"))

    def on_end(self) -> None:
        """Abandon the request, because its client has closed the connection."""
        self._abandon_request()

    def _abandon_request(self) -> None:
        call, response = self._release_request(), self._response
        if response is not None:
            self._response = None
            if response.end():
                response.on_client_gone()
        elif call is not None:
            self._owner.handler.client_gone(call)

    def flushed(self) -> None:
        """Notify the streamed response, if there is one, that all bytes are written."""
        super().flushed()
        if self._response is not None:
            self._response.flushed()

    def _release_request(self) -> DownstreamRequest | None:
        call, self._call = self._call, None
        upload, self._upload = self._upload, None
        if upload is not None:
            upload.discard()
            self.resume_body()
            self.limit_reads(None)
        if self._reserved_bytes:
            self._owner.watermarks.release_body(self._reserved_bytes)
            self._reserved_bytes = 0
        if call is not None:
            self._owner.open_request_ids.discard(call.id)
        return call

    def _send_continue(self, request: Message) -> None:
        is_expected = request.fields.get(b"expect", b"").lower() == b"100-continue"
        if is_expected and self._reader.in_body and self._continued is not request:
            self._continued = request
            self.send(b"HTTP/1.1 100 Continue\r\n\r\n")

    def _accept_request(self, request: Message, body_timeout_us: int = 0) -> None:
        """Validate a request and pass it to the handler, or respond at once to a health check or an invalid request.

        Args:
            request: The request.
            body_timeout_us: Time-out for the rest of the body; 0: the body is complete.
        """
        self._message = request
        try:
            request.target = origin_form(request.target)
            path = request.target.partition(b"?")[0]
            if path == HEALTH_PATH:
                self._respond(200 if self._owner.is_healthy else 503, [], b"")
                return
            if path != API_PATH:
                raise InvalidMessageError(404, "no such path")
            call = self._owner.validator.validate(request, self._answer)
            if call.id in self._owner.open_request_ids:
                raise InvalidMessageError(409, "this Request-Id is open")
        except InvalidMessageError as error:
            self._respond(error.status, [], f"{error}\n".encode())
            return
        call.known_client, call.begin_response = self.record.known, self._begin_response
        self._call = call
        self._owner.open_request_ids.add(call.id)
        if body_timeout_us:
            self._upload = call.upload = Upload(self, self._owner.watermarks, request.length)
            call.body_timeout_us = body_timeout_us
            self._upload.add(call.body)
            call.body = b""
        else:
            self._owner.state_changed(self, ConnectionState.IN_FLIGHT)
        self._owner.handler.handle(call)

    # Responding

    def _answer(self, call: DownstreamRequest, status: int, headers: Headers, body: bytes) -> None:
        if self._call is not call:
            return
        self._release_request()
        if status == 200:
            self._owner.request_served(self)
        self._respond(status, headers, body)
        if self._has_extra_bytes:
            self._reject_pipelining()

    def _begin_response(self, call: DownstreamRequest, headers: Headers, length: int | None) -> ResponseSink | None:
        if self._call is not call or not self.open:
            return None
        assert self._message is not None
        self._owner.request_served(self)
        self._closes_after_response = (
            self._must_close_after(self._message)
            or self._reader.current is self._message
            or (length is None and self._message.version != "1.1")
        )
        if self._closes_after_response:
            headers = [*headers, ("Connection", "close")]
        self._response = ResponseStream(self, self._owner.watermarks, self._message, headers, length)
        return self._response

    def response_sent(self) -> None:
        """Record that the streamed response is complete."""
        self._response = self._message = None
        self._release_request()
        self._owner.state_changed(self, ConnectionState.IDLE)
        if self._closes_after_response or self._owner.is_draining:
            self.close()
        elif self._has_extra_bytes:
            self._reject_pipelining()

    def _must_close_after(self, request: Message) -> bool:
        return self._owner.is_draining or not request.keep_alive or not self._owner.keeps_alive(self)

    def _respond(self, status: int, headers: Headers, body: bytes) -> None:
        """Respond to the request in flight."""
        if not self.open:
            return
        request, self._message = self._message, None
        assert request is not None
        if self._reader.current is request:  # its body is incomplete, so that the start of a next request is unknown
            self._send_last_response(status, headers, body)
            return
        closes = self._must_close_after(request)
        if closes:
            headers = [*headers, ("Connection", "close")]
        self.send(encode_response(status, headers, body, request.method == b"HEAD"))
        self._owner.state_changed(self, ConnectionState.IDLE)
        if closes:
            self.close()

    def _reject_pipelining(self) -> None:
        self._reject(InvalidMessageError(400, "one request at a time"))

    def _reject(self, error: InvalidMessageError, headers: Headers | None = None) -> None:
        """Respond to an invalid, incomplete or pipelined request, and close the connection."""
        self._send_last_response(error.status, headers or [], f"{error}\n".encode())

    def _send_last_response(self, status: int, headers: Headers, body: bytes) -> None:
        if not self.open:
            return
        self.send(encode_response(status, [("Connection", "close"), *headers], body))
        # Further bytes are read and discarded: closing a socket with unread bytes resets it, and the response is lost.
        self.discarding = True
        self._owner.state_changed(self, ConnectionState.LINGERING)
        assert self.stream is not None
        self.stream.half_close()
