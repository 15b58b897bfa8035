"""One attempt or health check: a request to a backend and its outcome."""

from __future__ import annotations

import errno
import logging
from collections.abc import Callable
from typing import Protocol

from lilacsill.balancing.interface import BackendId, Outcome
from lilacsill.clock import Clock
from lilacsill.http1.message import Message, encode_chunk, encode_request, encode_request_head
from lilacsill.net.connecting import ConnectAttempt
from lilacsill.timers import Timer

from ..descriptors import EXHAUSTED
from ..discovery.listing import Member
from ..streaming import ResponseSink, StreamedBody
from .pool import Pool, UpstreamConnection
from .requests import BeginResponse, Result, UpstreamRequest, parse_report

log = logging.getLogger("lilacsill.agent.outbound.attempts")  # the old module name, kept because it appears in logs

HOST = (b"Host", b"origin.svc")
LOAD_PATH = b"/_load"
# A response up to this size is buffered. A longer one is streamed, and its latency is the time to its first bytes.
MAX_BUFFERED_BYTES = 64 * 1024
MAX_BUFFERING_US = 50_000  # after this time a response of unknown length is streamed, whatever its size so far
STALL_TIMEOUT_US = 15_000_000  # time-out of a stream without progress on either side
MAX_REPORT_AGE_US = 50_000  # an older load report, from the head of a response that took long to arrive, is ignored
LOCAL_ERRORS = EXHAUSTED | {errno.EADDRNOTAVAIL}  # a lack of local resources is not a failure of the backend


class ExchangeOwner(Protocol):
    """The interface of Backends to its exchanges."""

    clock: Clock
    report_fields: tuple[str, ...]  # names of the fields of a load report
    pool: Pool

    def ready_member(self, backend: BackendId) -> Member | None:
        """Return the member of a backend if it accepts requests now; None otherwise."""


class Exchange:
    """One attempt or health check.

    It ends exactly once, with a Result. It is the user of its connection (pool.ConnectionUser) and the receiver of a
    streamed request body (streaming.BodyReceiver).
    """

    def __init__(
        self,
        backends: ExchangeOwner,
        backend: BackendId,
        request: UpstreamRequest,
        timeout_us: int,
        on_done: Callable[[Result], None],
        begin_response: BeginResponse | None = None,
    ) -> None:
        self._backends, self._backend, self._request, self._on_done = backends, backend, request, on_done
        self._begin_response = begin_response
        self._started_at = backends.clock.now()
        self._deadline = self._started_at + timeout_us
        self._connection: UpstreamConnection | None = None
        self._connect_attempt: ConnectAttempt | None = None
        self._upload: StreamedBody | None = None  # the request body, until all of it is sent
        self._reported_sending = False  # `on_sending` was called with False, and not yet with True
        self._response: Message | None = None  # the complete response
        self._buffering_timer: Timer | None = None
        self._sink: ResponseSink | None = None  # set once the response is streamed to the client
        # Time to the first part of the response. The backend has done its work by then; slow sending is not load.
        self._first_part_us = 0
        self._progress_at = 0  # time of the last progress of the stream
        self.ended = False
        self._timer = backends.clock.after(timeout_us, self._on_timeout)

    def start(self) -> None:
        """Send the request on an idle connection or on a new one."""
        member = self._backends.ready_member(self._backend)
        if member is None:
            self._end(Outcome.NOT_SENT)
            return
        connection = self._backends.pool.take(member)
        if connection is not None:
            self._send_safely(connection)
            return
        reservation = self._backends.pool.reserve(self._request.known_client)
        if reservation is None:
            self._end(Outcome.NOT_SENT)
            return
        self._connect_attempt = self._backends.pool.open(
            member, reservation, self._on_connected, self._on_connect_failed
        )
        try:
            self._connect_attempt.begin()
        except Exception:
            log.exception("attempt to backend %s failed before the request was sent", self._backend)
            self._connect_attempt.cancel()
            self._end(Outcome.NOT_SENT)

    def cancel(self) -> None:
        """Cancel the exchange; has no effect if it has ended."""
        self._end(Outcome.CANCELLED)

    def _on_connected(self, connection: UpstreamConnection) -> None:
        self._connect_attempt = None
        self._send_safely(connection)

    def _on_connect_failed(self, error: OSError) -> None:
        self._connect_attempt = None
        self._end(Outcome.NOT_SENT if error.errno in LOCAL_ERRORS else Outcome.CONNECT_FAILED)

    # Sending

    def _send_safely(self, connection: UpstreamConnection) -> None:
        try:
            self._send(connection)
        except Exception:  # whatever the fault, the attempt must end; otherwise its request is never answered
            log.exception("attempt to backend %s failed while the request was being sent", self._backend)
            self._end(self._outcome_of_disconnect())

    def _send(self, connection: UpstreamConnection) -> None:
        # The list may have changed while the connection was opened: a draining backend gets no new requests.
        if self.ended or not connection.member.same_process(self._backends.ready_member(self._backend)):
            self._backends.pool.discard(connection)
            self._end(Outcome.NOT_SENT)
            return
        self._connection, connection.user = connection, self
        request, headers = self._request, [HOST, *self._request.headers]
        if request.send_timeout:
            left_us = request.upload_timeout_us or self._deadline - self._backends.clock.now()
            headers.append((b"Request-Timeout-Ms", b"%d" % max(1, left_us // 1000)))
        if request.upload is None:
            connection.send(encode_request(request.method, request.target, headers, request.body))
            self._report_slow_sending()
        else:
            self._send_streamed(connection, headers, request.upload)

    def _send_streamed(
        self, connection: UpstreamConnection, headers: list[tuple[bytes, bytes]], upload: StreamedBody
    ) -> None:
        received = upload.attach(self)
        if received is None:  # the first bytes were sent by an earlier attempt and are no longer buffered
            self._backends.pool.discard(connection)
            self._end(Outcome.NOT_SENT)
            return
        length = upload.length
        headers.append((b"Transfer-Encoding", b"chunked") if length is None else (b"Content-Length", b"%d" % length))
        self._upload = upload
        connection.send(encode_request_head(self._request.method, self._request.target, headers))
        if received:
            self.on_body(received)
        if upload.is_complete:
            self.on_body_end()
        else:
            self._report_slow_sending()

    def _report_slow_sending(self) -> None:
        is_slow = not self._is_sent() and not self.ended
        if is_slow and self._request.on_sending is not None and not self._reported_sending:
            self._reported_sending = True
            self._request.on_sending(False)

    def on_body(self, data: bytes) -> int:
        """Send bytes of a streamed request body; return the number of bytes not written yet."""
        if self.ended or self._connection is None or not self._connection.open:
            return 0
        assert self._upload is not None
        self._connection.send(encode_chunk(data) if self._upload.length is None else data)
        return self._connection.unsent

    def on_body_end(self) -> None:
        """End a streamed request body, and start the time-out of the response."""
        if self.ended or self._connection is None or not self._connection.open:
            return
        assert self._upload is not None
        if self._upload.length is None:
            self._connection.send(encode_chunk(b""))
        self._upload = None
        self._timer.cancel()
        self._timer = self._backends.clock.after(self._request.upload_timeout_us, self._on_timeout)
        if self._connection.written:
            self.on_written()
        else:
            self._report_slow_sending()

    def on_written(self) -> None:
        """Handle that the kernel has accepted all bytes sent so far."""
        if self._upload is not None:
            self._upload.drained(self)
            return
        # A backend starts work when it has received the last byte, so the latency counts from now on.
        self._started_at = self._backends.clock.now()
        if self._reported_sending and self._request.on_sending is not None:
            self._reported_sending = False
            self._request.on_sending(True)

    # The response

    def on_response(self, response: Message) -> None:
        """Handle a complete response."""
        self._response = response
        if self._sink is not None:
            self._sink.write(response.take_body())
            self._sink.finish()
        self._end(self._outcome_of_response(response))

    def on_part(self, response: Message) -> None:
        """Handle the head and a part of the body: decide whether to buffer or to stream the response."""
        if not self._first_part_us:
            self._first_part_us = self._backends.clock.now() - self._started_at
        if self._sink is not None:
            self._forward(response)
        elif response.length is not None and response.length <= MAX_BUFFERED_BYTES:
            pass  # buffered: until it is complete, the response of a hedged attempt can be used instead
        elif response.length is not None or response.received > MAX_BUFFERED_BYTES:
            self._start_streaming(response)
        elif self._buffering_timer is None:
            self._buffering_timer = self._backends.clock.after(MAX_BUFFERING_US, self._start_streaming, response)

    def _start_streaming(self, response: Message) -> None:
        """Start to stream the response to the client; the request has no other attempt after that."""
        if self.ended or self._sink is not None:
            return
        if response.status != 200 or self._begin_response is None:
            self._end(self._outcome_of_response(response))
            return
        self._timer.cancel()
        sink = self._begin_response(response)
        if sink is None:
            self._end(Outcome.CANCELLED)
            return
        self._sink, sink.on_drained, sink.on_client_gone = sink, self._on_drained, self.cancel
        if self._connection is not None and self._connection.stream is not None:
            self._connection.stream.read_limit = sink.read_limit
        self._timer = self._backends.clock.after(STALL_TIMEOUT_US, self._on_stall_timeout)
        self._forward(response)

    def _forward(self, response: Message) -> None:
        assert self._sink is not None and self._connection is not None
        stream = self._connection.stream
        self._progress_at = self._backends.clock.now()
        if self._sink.write(response.take_body()) and stream is not None:
            stream.pause()

    def _on_drained(self) -> None:
        self._progress_at = self._backends.clock.now()
        if self._connection is not None and self._connection.stream is not None and not self.ended:
            self._connection.stream.resume()

    def _on_stall_timeout(self) -> None:
        left_us = self._progress_at + STALL_TIMEOUT_US - self._backends.clock.now()
        if left_us > 0:
            self._timer = self._backends.clock.after(left_us, self._on_stall_timeout)
        else:
            self._end(Outcome.TIMEOUT)

    def on_invalid_response(self) -> None:
        """Handle bytes that are not a valid response."""
        # The backend has responded on an open connection, so this is not a disconnect. The request was executed.
        self._end(Outcome.ERROR)

    def on_end(self) -> None:
        """Handle the end of the connection."""
        self._end(self._outcome_of_disconnect())

    # The end

    def _outcome_of_response(self, response: Message) -> Outcome:
        if response.status == 200 and (self._response is not None or self._sink is not None):
            return Outcome.OK
        if response.status in (503, 504) and response.fields.get(b"not-started") == b"1":
            return Outcome.REJECTED
        return Outcome.ERROR

    def _outcome_of_disconnect(self) -> Outcome:
        # The backend cannot have started before the last byte was written.
        return Outcome.RESET if self._is_sent() else Outcome.CONNECT_FAILED

    def _is_sent(self) -> bool:
        return self._connection is not None and self._connection.written and self._upload is None

    def _on_timeout(self) -> None:
        self._end(Outcome.TIMEOUT if self._is_sent() else Outcome.CONNECT_FAILED)

    def _end(self, outcome: Outcome) -> None:
        if self.ended:
            return
        self.ended = True
        self._timer.cancel()
        if self._request.upload is not None:
            self._request.upload.detach(self)
        if self._upload is not None and self._connection is not None:
            self._connection.reusable = False  # the response came before all of the request was sent
        if self._buffering_timer is not None:
            self._buffering_timer.cancel()
        if self._connect_attempt is not None:
            self._connect_attempt.cancel()
        if self._sink is not None and self._response is None:
            self._sink.abort()
        self._release_connection()
        self._on_done(self._result(outcome))

    def _release_connection(self) -> None:
        if self._connection is None:
            return
        if self._connection.stream is not None:
            self._connection.stream.read_limit = None
        ready_member = self._backends.ready_member(self._backend)
        self._backends.pool.release(self._connection, self._response is not None, ready_member)

    def _result(self, outcome: Outcome) -> Result:
        response = self._response
        latency_us = self._backends.clock.now() - self._started_at
        first_part_us = self._first_part_us or latency_us
        is_fresh = latency_us - first_part_us < MAX_REPORT_AGE_US
        report = self._parse_report(response) if response is not None and is_fresh else ()
        if self._sink is not None:
            return Result(outcome, first_part_us, report, streamed=True)
        if response is None:
            return Result(outcome, latency_us)
        return Result(outcome, first_part_us, report, bytes(response.body), response.header(b"content-type"))

    def _parse_report(self, response: Message) -> tuple[float, ...]:
        fields = self._backends.report_fields
        report = parse_report(response.header(b"server-load"), fields)
        if not report and self._request.target == LOAD_PATH:
            report = parse_report(response.body.decode("latin-1"), fields)
        return report
