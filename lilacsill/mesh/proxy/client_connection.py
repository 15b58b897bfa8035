"""One client's connection: reads requests, which may be pipelined, and sends the responses in their order."""

from __future__ import annotations

from collections import deque
from typing import Protocol

from httptools import HttpRequestParser

from lilacsill.http1.connection import Connection
from lilacsill.http1.message import Message, Reader, origin_form
from lilacsill.mesh.runtime.reactor import Reactor

from .forwarder import Forwarder
from .pending_response import PendingResponse

MAX_IN_FLIGHT = 16  # requests of one connection; more are read, and wait
# Complete requests that wait beyond these. A connection that has more is not read, so that its end is not seen either.
MAX_PIPELINED = 128
MAX_BUFFERED_BYTES = 128 * 1024  # of a body that its backend does not take; then the client is made to wait
RESUME_BELOW_BYTES = MAX_BUFFERED_BYTES // 2
STREAMED_BODY_BYTES = 64 * 1024  # a longer body is forwarded while it comes
UPLOAD_POLL_US = 5_000  # how often a paused upload is checked
LINGER_US = 1_000_000  # between the last response and the close


class ConnectionOwner(Protocol):
    """What all connections share, and the one that is notified of their ends."""

    reactor: Reactor
    forwarder: Forwarder
    is_draining: bool  # the process shuts down

    def connection_ended(self, connection: ClientConnection) -> None:
        """Forget the connection."""


class ClientConnection(Connection):
    """One client's connection; the `pending_response.ResponseQueue` of its responses."""

    def __init__(self, owner: ConnectionOwner) -> None:
        super().__init__()
        self._owner = owner
        limits = owner.forwarder.config.limits
        self._reader = Reader(
            HttpRequestParser, limits.max_body_bytes, keep_header_lines=True, head_limit=limits.max_head_bytes
        )
        self._responses: deque[PendingResponse] = deque()  # in the order of their requests
        self._pipelined: deque[Message] = deque()  # complete requests beyond MAX_IN_FLIGHT
        self._upload: PendingResponse | None = None  # to the request whose body is forwarded while it comes
        self._is_closing = False  # after the responses that are pending; requests behind them are not read
        self.quiet_since = owner.reactor.now()
        self.head_began_at: int | None = None  # of a request whose head is not complete

    @property
    def is_idle(self) -> bool:
        """Whether no request is in flight, waiting or begun."""
        return not self._responses and not self._pipelined and self._reader.current is None

    # Requests

    def on_data(self, data: bytes) -> None:
        """Handle bytes from the client."""
        complete = self._reader.feed(data)
        if self._upload is not None:
            complete = self._continue_upload(self._upload, complete)
        self._pipelined += complete
        self.quiet_since = self._owner.reactor.now()
        if self._reader.current is None or self._reader.in_body:
            self.head_began_at = None
        elif self.head_began_at is None:
            self.head_began_at = self.quiet_since
        self._forward_pipelined()
        current = self._reader.current
        if current is not None and self._may_stream(current):
            self._start_upload(current)

    def _forward_pipelined(self) -> None:
        while self._pipelined and len(self._responses) < MAX_IN_FLIGHT and not self._is_closing and not self.closed:
            self._forward(self._pipelined.popleft(), is_complete=True)
        if self.stream is not None:
            if len(self._pipelined) > MAX_PIPELINED:
                self.stream.pause()
            elif self._upload is None:
                self.stream.resume()
        error = self._reader.error
        if error is not None and not self._pipelined and not self._is_closing and not self.closed:
            self._answer_and_close(error.status)

    def _forward(self, request: Message, is_complete: bool) -> PendingResponse:
        request.target = origin_form(request.target)
        response = PendingResponse(self, request)
        self._responses.append(response)
        # While the proxy shuts down, each request is the last of its connection.
        self._is_closing = not request.keep_alive or self._owner.is_draining
        response.forwarded = self._owner.forwarder.forward(request, response, is_complete)
        return response

    def _answer_and_close(self, status: int) -> None:
        """Answer a request that cannot be read."""
        self._is_closing = True
        response = PendingResponse(self, Message())
        self._responses.append(response)
        response.send_response(status, [], b"")

    # A long body

    def _may_stream(self, request: Message) -> bool:
        return (
            self._reader.in_body
            and request.received > STREAMED_BODY_BYTES
            and self._upload is None
            and not self._pipelined
            and len(self._responses) < MAX_IN_FLIGHT
            and not self._is_closing
        )

    def _start_upload(self, request: Message) -> None:
        self._upload = self._forward(request, is_complete=False)

    def _continue_upload(self, response: PendingResponse, complete: list[Message]) -> list[Message]:
        """Forward what has come of the body. Returns the requests that are complete beside it."""
        is_last = bool(complete) and complete[0] is response.request
        self._forward_body(response, is_last)
        if self._reader.error is not None and not is_last:
            self._fail_upload(response, self._reader.error.status)
        if not is_last:
            return complete
        self._upload = None
        return complete[1:]

    def _forward_body(self, response: PendingResponse, is_last: bool) -> None:
        data = response.request.take_body()
        forwarded = response.forwarded
        if forwarded is None or forwarded.is_over:
            return
        forwarded.add_body(data, is_last)
        if forwarded.unsent > MAX_BUFFERED_BYTES and self.stream is not None:
            self.stream.pause()
            self._owner.reactor.after(UPLOAD_POLL_US, self._resume_upload)

    def _fail_upload(self, response: PendingResponse, status: int) -> None:
        """End the request whose body cannot be read."""
        self._upload = None
        self._is_closing = True
        if response.forwarded is not None:
            response.forwarded.cancel()
        if not response.is_complete and response in self._responses:
            response.send_response(status, [], b"")

    def _resume_upload(self) -> None:
        forwarded = self._upload.forwarded if self._upload is not None else None
        if forwarded is not None and forwarded.unsent > RESUME_BELOW_BYTES:
            self._owner.reactor.after(UPLOAD_POLL_US, self._resume_upload)
        elif self.stream is not None:
            self.stream.resume()

    # Responses

    def flush(self, response: PendingResponse) -> int:
        """Send what is in order. Returns how many bytes of this response the client has not taken."""
        if self.closed or self.stream is None:
            return 0
        while self._responses:
            first = self._responses[0]
            self._send_buffered(first)
            if not first.is_complete:
                break
            if first.is_aborted:
                self.drop()
                break
            self._responses.popleft()
            self.quiet_since = self._owner.reactor.now()
            if self._is_closing and not self._responses:
                self._finish()
                break
        if not self.closed and len(self._responses) < MAX_IN_FLIGHT and self._pipelined:
            self._owner.reactor.call_soon(self._forward_pipelined)
        return self.unsent + response.unsent

    def _send_buffered(self, response: PendingResponse) -> None:
        data = response.take(closes=self._is_closing and response is self._responses[-1])
        if not data:
            return
        self.send(data)
        if not self.unsent and response.forwarded is not None:
            response.forwarded.resume_response()  # it may have been paused while it waited for the responses before it

    def flushed(self) -> None:
        """Handle that the client has taken all that was sent."""
        super().flushed()
        if self._responses and self._responses[0].forwarded is not None:
            self._responses[0].forwarded.resume_response()

    def _finish(self) -> None:
        """Close after the last response.

        What still comes is read and dropped: a close with unread bytes would reset the connection, and the client might
        lose the response.
        """
        self.discarding = True
        if self.stream is not None:
            self.stream.half_close()
        self._owner.reactor.after(LINGER_US, self.close)

    # The end

    def start_draining(self) -> None:
        """Close after the responses that are pending; clients send requests that waited behind them elsewhere.

        Where the last head has gone out without `Connection: close`, the next response announces the close.
        """
        if self._responses and not self._responses[-1].is_head_sent:
            self._is_closing = True
            self._pipelined.clear()

    def time_out_head(self) -> None:
        """End a connection whose client has begun a request and does not go on."""
        if not self._is_closing and not self._responses:
            self._answer_and_close(408)

    def on_fault(self) -> None:
        """Handle a fault of this proxy's own."""
        self.drop()

    def on_end(self) -> None:
        """Handle the end of the connection: nobody waits for its responses."""
        self._owner.connection_ended(self)
        for response in self._responses:
            if response.forwarded is not None:
                response.forwarded.cancel()
        self._responses.clear()
        self._pipelined.clear()
