"""A client's connection: reads requests, which may be pipelined, and sends the responses in request order."""

from __future__ import annotations

import socket
from collections import deque
from typing import Protocol

from httptools import HttpRequestParser

from lilacsill.http1.connection import Connection
from lilacsill.http1.message import Message, Reader, origin_form
from lilacsill.mesh.runtime.memory_budget import MemoryBudget
from lilacsill.mesh.runtime.reactor import Reactor
from lilacsill.mesh.runtime.socket_buffers import SOCKET_BUFFER_BYTES

from .forwarder import Forwarder
from .pending_response import PendingResponse

MAX_IN_FLIGHT = 16  # requests of one connection; further ones are read and wait
MAX_IN_FLIGHT_BYTES = 1024 * 1024  # of these requests and their responses; above it further ones wait, too
# Complete requests that wait. With more of them, or larger ones, the connection is not read, so its end is not
# detected either.
MAX_PIPELINED = 128
MAX_PIPELINED_BYTES = 256 * 1024
MAX_UNSENT_BYTES = 256 * 1024  # of responses; a client that does not read them gets no further ones
READ_BYTES = 64 * 1024  # at once
MIN_COUNTED_BYTES = 16 * 1024  # connections that hold less are not counted
MAX_BUFFERED_BYTES = 128 * 1024  # of a request body not accepted by the backend; above this the client is not read
RESUME_BELOW_BYTES = MAX_BUFFERED_BYTES // 2
STREAMING_THRESHOLD_BYTES = 64 * 1024  # a longer request body is forwarded while it arrives
UPLOAD_POLL_US = 5_000  # interval of the checks of a paused upload
LINGER_US = 1_000_000  # how long to read and discard between the last response and the close


class ConnectionOwner(Protocol):
    """State shared by all connections; notified of the end of each."""

    reactor: Reactor
    forwarder: Forwarder
    memory: MemoryBudget  # shared by all connections of the process
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
        self._in_flight_bytes = 0  # of the requests that `_responses` belong to
        self._pipelined: deque[Message] = deque()  # complete requests that wait
        self._pipelined_bytes = 0
        self._account = owner.memory.open_account(self.evict)
        self._is_report_scheduled = False
        self._unsent_before = 0  # at the last check for progress
        self._upload: PendingResponse | None = None  # to the request whose body is forwarded while it arrives
        self._is_closing = False  # after the pending responses; requests behind them are not processed
        self.last_activity_at = owner.reactor.now()
        self.head_started_at: int | None = None  # start of a request with an incomplete head; None: there is none

    @property
    def is_idle(self) -> bool:
        """Whether no request is in flight, waiting or partly received."""
        return not self._responses and not self._pipelined and self._reader.current is None

    @property
    def idle_since(self) -> int | None:
        """Since when only the client could go on, by sending or reading; None: the client is not waited for."""
        if self.stream is not None and self.stream.paused and not self.unsent:
            return None
        is_waiting = self.is_idle or self._reader.current is not None or self.unsent > 0 or self._is_closing
        return self.last_activity_at if is_waiting and not self._is_at_work else None

    @property
    def _is_at_work(self) -> bool:
        """Whether the next bytes of a response are due from this proxy."""
        return bool(self._responses) and not self.unsent and self._upload is None

    def check_progress(self) -> None:
        """Record that the client is active if it has read a part of what waits for it."""
        unsent = self.unsent
        if unsent != self._unsent_before:
            self._unsent_before = unsent
            self.last_activity_at = self._owner.reactor.now()

    # Requests

    def attach(self, sock: socket.socket) -> None:
        """Take over a connected socket."""
        super().attach(sock)
        assert self.stream is not None
        self.stream.read_limit = lambda: READ_BYTES

    def on_data(self, data: bytes) -> None:
        """Handle bytes from the client."""
        if self._is_closing and self._upload is None:
            return  # the last request has been received
        self._apply_limits()
        complete = self._reader.feed(data)
        if self._upload is not None:
            complete = self._continue_upload(self._upload, complete)
        self._pipelined += complete
        self._pipelined_bytes += sum(request.memory_bytes for request in complete)
        self.last_activity_at = self._owner.reactor.now()
        if self._reader.current is None or self._reader.in_body:
            self.head_started_at = None
        elif self.head_started_at is None:
            self.head_started_at = self.last_activity_at
        self._go_on()

    def _go_on(self) -> None:
        """Forward what may be forwarded now, and read on unless too much waits."""
        self._forward_pipelined()
        current = self._reader.current
        if current is not None and self._may_stream(current):
            self._start_upload(current)
        self._pause_or_resume()
        self._report()

    def _pause_or_resume(self) -> None:
        if self.stream is None:
            return
        if self._has_too_much():
            self.stream.pause()
        elif not self._is_upload_slow():
            self.stream.resume()

    def _is_upload_slow(self) -> bool:
        """Return whether the body that is being forwarded is not read on until more of it is accepted."""
        forwarded = self._upload.forwarded if self._upload is not None else None
        return forwarded is not None and forwarded.unsent > MAX_BUFFERED_BYTES

    def _has_too_much(self) -> bool:
        """Return whether requests wait that must be forwarded, or responses that must be read, before further input."""
        if self._is_closing:
            return False  # the input is discarded
        if len(self._pipelined) > MAX_PIPELINED or self._pipelined_bytes > MAX_PIPELINED_BYTES:
            return True
        if self.unsent > MAX_UNSENT_BYTES:
            return True
        current = self._reader.current
        return current is not None and self._upload is None and len(current.body) > STREAMING_THRESHOLD_BYTES

    def _may_forward(self) -> bool:
        """Return whether one more request may be in flight."""
        if self._is_closing or self.closed or self.unsent > MAX_UNSENT_BYTES:
            return False
        if not self._responses:
            return True
        return len(self._responses) < MAX_IN_FLIGHT and self._in_flight_memory() < MAX_IN_FLIGHT_BYTES

    def _in_flight_memory(self) -> int:
        return self._in_flight_bytes + sum(response.unsent for response in self._responses)

    def _apply_limits(self) -> None:
        """Apply the limits in force, which may have changed since the last bytes from the client."""
        limits = self._owner.forwarder.config.limits
        if limits is not self._limits:
            self._limits = limits
            self._reader.set_limits(limits.max_body_bytes, limits.max_head_bytes)

    def _forward_pipelined(self) -> None:
        while self._pipelined and self._may_forward():
            request = self._pipelined.popleft()
            self._pipelined_bytes -= request.memory_bytes
            self._forward(request, is_complete=True)
        error = self._reader.error
        if error is not None and not self._pipelined and not self._is_closing and not self.closed:
            self._answer_and_close(error.status)

    def _forward(self, request: Message, is_complete: bool) -> PendingResponse:
        request.target = origin_form(request.target)
        response = self._add_response(request)
        # While the proxy shuts down, each request is the last one on its connection.
        self._is_closing = not request.keep_alive or self._owner.is_draining
        if self._owner.memory.is_tight and response.request_bytes > MIN_COUNTED_BYTES:
            self._owner.forwarder.refuse_for_memory(response)
        else:
            response.forwarded = self._owner.forwarder.forward(request, response, is_complete)
        return response

    def _answer_and_close(self, status: int) -> None:
        """Answer a request that cannot be read with an error status, and close the connection after it."""
        self._is_closing = True
        self._add_response(Message()).send_response(status, [], b"")

    def _add_response(self, request: Message) -> PendingResponse:
        response = PendingResponse(self, request)
        self._responses.append(response)
        self._in_flight_bytes += response.request_bytes
        return response

    # Streamed request bodies

    def _may_stream(self, request: Message) -> bool:
        return (
            self._reader.in_body
            and request.received > STREAMING_THRESHOLD_BYTES
            and self._upload is None
            and not self._pipelined
            and self._may_forward()
        )

    def _start_upload(self, request: Message) -> None:
        self._upload = self._forward(request, is_complete=False)
        if self.stream is not None:
            self.stream.resume()  # it was paused if the body had to wait for earlier requests

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
            self._in_flight_bytes -= first.request_bytes
            self.last_activity_at = self._owner.reactor.now()
            if self._is_closing and not self._responses:
                self._finish()
                break
        if self._pipelined or self._account.used or self.unsent or response.unsent:
            self._schedule_report()
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
        self.last_activity_at = self._owner.reactor.now()
        self._schedule_report()
        if self._responses and self._responses[0].forwarded is not None:
            self._responses[0].forwarded.resume_response()

    # Memory

    def _schedule_report(self) -> None:
        """Go on soon: what the connection holds has changed, in the middle of something else."""
        if not self._is_report_scheduled and not self.closed:
            self._is_report_scheduled = True
            self._owner.reactor.call_soon(self._on_report_due)

    def _on_report_due(self) -> None:
        self._is_report_scheduled = False
        if not self.closed:
            self._go_on()

    def _report(self) -> None:
        """Report what the connection holds, if it is much."""
        if self.closed or self.stream is None:
            return
        used = self._memory_bytes()
        if used < MIN_COUNTED_BYTES:
            used = 0
        if used != self._account.used:
            self._account.update(used, self._owner.reactor.now())

    def _memory_bytes(self) -> int:
        assert self.stream is not None
        used = self._pipelined_bytes + self._in_flight_memory() + self._reader.buffered_bytes
        if self._upload is not None and self._upload.forwarded is not None:
            used += self._upload.forwarded.buffered_body_bytes
        if self.unsent:
            used += self.unsent + SOCKET_BUFFER_BYTES
        if self.stream.paused:
            used += SOCKET_BUFFER_BYTES
        return used

    def evict(self) -> None:
        """Close the connection at once, and free what it holds."""
        self.drop()
        self.on_end()

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
            self._pipelined_bytes = 0

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
        self._account.close()
        for response in self._responses:
            if response.forwarded is not None:
                response.forwarded.cancel()
        self._responses.clear()
        self._pipelined.clear()
        self._in_flight_bytes = self._pipelined_bytes = 0

    def connection_lost(self) -> None:
        """Release the parser."""
        super().connection_lost()
        self._reader.end()
