"""A client's connection: reads requests, which may be pipelined, and sends the responses in request order."""

from __future__ import annotations

from collections import deque
from typing import Protocol

from httptools import HttpRequestParser

from lilacsill.http1.connection import Connection
from lilacsill.http1.message import Message, Reader, origin_form
from lilacsill.mesh.runtime.reactor import Reactor

from .forwarder import Forwarder
from .pending_response import PendingResponse

MAX_IN_FLIGHT = 16  # requests of one connection; further ones are read and wait
# Complete requests that wait beyond MAX_IN_FLIGHT. With more of them the connection is not read, so its end is not
# detected either.
MAX_PIPELINED = 128
MAX_BUFFERED_BYTES = 128 * 1024  # of a request body not accepted by the backend; above this the client is not read
RESUME_BELOW_BYTES = MAX_BUFFERED_BYTES // 2
STREAMING_THRESHOLD_BYTES = 64 * 1024  # a longer request body is forwarded while it arrives
UPLOAD_POLL_US = 5_000  # interval of the checks of a paused upload
LINGER_US = 1_000_000  # how long to read and discard between the last response and the close


class ConnectionOwner(Protocol):
    """State shared by all connections; notified of the end of each."""

    reactor: Reactor
    forwarder: Forwarder
    is_draining: bool  # the process is shutting down

    def connection_ended(self, connection: ClientConnection) -> None:
        """Remove the connection."""


class ClientConnection(Connection):
    """One client's connection; implements `pending_response.ResponseQueue` for its responses."""

    def __init__(self, owner: ConnectionOwner) -> None:
        super().__init__()
        self._owner = owner
        self._limits = limits = owner.forwarder.config.limits
        self._reader = Reader(
            HttpRequestParser, limits.max_body_bytes, keep_header_lines=True, head_limit=limits.max_head_bytes
        )
        self._responses: deque[PendingResponse] = deque()  # in request order
        self._pipelined: deque[Message] = deque()  # complete requests beyond MAX_IN_FLIGHT
        self._upload: PendingResponse | None = None  # to the request whose body is forwarded while it arrives
        self._is_closing = False  # after the pending responses; requests behind them are not processed
        self.last_activity_at = owner.reactor.now()
        self.head_started_at: int | None = None  # start of a request with an incomplete head; None: there is none

    @property
    def is_idle(self) -> bool:
        """Whether no request is in flight, waiting or partly received."""
        return not self._responses and not self._pipelined and self._reader.current is None

    # Requests

    def on_data(self, data: bytes) -> None:
        """Handle bytes from the client."""
        self._apply_limits()
        complete = self._reader.feed(data)
        if self._upload is not None:
            complete = self._continue_upload(self._upload, complete)
        self._pipelined += complete
        self.last_activity_at = self._owner.reactor.now()
        if self._reader.current is None or self._reader.in_body:
            self.head_started_at = None
        elif self.head_started_at is None:
            self.head_started_at = self.last_activity_at
        self._forward_pipelined()
        current = self._reader.current
        if current is not None and self._may_stream(current):
            self._start_upload(current)

    def _apply_limits(self) -> None:
        """Apply the limits in force, which may have changed since the last bytes from the client."""
        limits = self._owner.forwarder.config.limits
        if limits is not self._limits:
            self._limits = limits
            self._reader.set_limits(limits.max_body_bytes, limits.max_head_bytes)

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
        # While the proxy shuts down, each request is the last one on its connection.
        self._is_closing = not request.keep_alive or self._owner.is_draining
        response.forwarded = self._owner.forwarder.forward(request, response, is_complete)
        return response

    def _answer_and_close(self, status: int) -> None:
        """Answer a request that cannot be read with an error status, and close the connection after it."""
        self._is_closing = True
        response = PendingResponse(self, Message())
        self._responses.append(response)
        response.send_response(status, [], b"")

    # Streamed request bodies

    def _may_stream(self, request: Message) -> bool:
        return (
            self._reader.in_body
            and request.received > STREAMING_THRESHOLD_BYTES
            and self._upload is None
            and not self._pipelined
            and len(self._responses) < MAX_IN_FLIGHT
            and not self._is_closing
        )

    def _start_upload(self, request: Message) -> None:
        self._upload = self._forward(request, is_complete=False)

    def _continue_upload(self, response: PendingResponse, complete: list[Message]) -> list[Message]:
        """Forward the part of the body that has arrived. Return the other requests that are complete."""
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
        """End the request whose body cannot be parsed."""
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
        """Send what is next in order. Return how many bytes of `response` the client has not accepted."""
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
            self.last_activity_at = self._owner.reactor.now()
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
            response.forwarded.resume_response()  # may have been paused while earlier responses were pending

    def flushed(self) -> None:
        """Resume the first response: the client has accepted all bytes sent."""
        super().flushed()
        if self._responses and self._responses[0].forwarded is not None:
            self._responses[0].forwarded.resume_response()

    def _finish(self) -> None:
        """Close after the last response.

        Further input is read and discarded: a close with unread bytes would reset the connection, and the client might
        lose the response.
        """
        self.discarding = True
        if self.stream is not None:
            self.stream.half_close()
        self._owner.reactor.after(LINGER_US, self.close)

    # End of the connection

    def start_draining(self) -> None:
        """Close after the pending responses; clients resend the requests behind them on another connection.

        If the last head was sent without `Connection: close` already, the next response announces the close.
        """
        if self._responses and not self._responses[-1].is_head_sent:
            self._is_closing = True
            self._pipelined.clear()

    def time_out_head(self) -> None:
        """End a connection whose client has started a request head but not completed it in time."""
        if not self._is_closing and not self._responses:
            self._answer_and_close(408)

    def on_fault(self) -> None:
        """Close the connection after an internal error of this proxy."""
        self.drop()

    def on_end(self) -> None:
        """Cancel all requests of the connection: it has ended, so their responses cannot be delivered."""
        self._owner.connection_ended(self)
        for response in self._responses:
            if response.forwarded is not None:
                response.forwarded.cancel()
        self._responses.clear()
        self._pipelined.clear()
