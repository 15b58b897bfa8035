"""One offered request: its admission, its transmission to the backend, and the response to its sender.

The sender of the offer gets exactly one outcome: `Rejected` (a guarantee that the request has not run and never will),
a response of the backend, or `NoResponse` (the request may have run). `Suspected` may precede the outcome of a
read that the backend may not answer.
"""

from __future__ import annotations

from collections.abc import Callable
from typing import Protocol

from lilacsill.http1.message import Message as HttpMessage
from lilacsill.mesh.runtime.messages import (
    BodyChunk,
    Headers,
    Load,
    Message,
    NoResponse,
    Offer,
    Rejected,
    Response,
    Suspected,
)

from .admission import AdmissionController, AdmissionRequest
from .backend_connection import BackendConnection, end_to_end_headers
from .backend_lifecycle import BackendLifecycle
from .backend_pool import BackendPool
from .circuit_breaker import CircuitBreaker
from .reasons import FailureReason, RejectionReason

MAX_BUFFERED_BYTES = 256 * 1024  # not accepted by the receiver yet; above this the source of the data is not read
LATE_SHARE = 0.7  # of the expected duration: a request with less time to its latency target is late
MIN_TIME_LEFT_US = 1_000  # a request with less time left is not passed to the backend
RESPONSE_MARGIN_US = 30_000  # wait after the deadline for the backend's own 504
OK_BELOW = 300  # lower HTTP statuses are successes
SERVER_ERROR, GATEWAY_TIMEOUT = 500, 504
MISDIRECTED_REQUEST = 421  # the backend is not the addressed incarnation
NOT_RUN_STATUSES = (408, MISDIRECTED_REQUEST, 429, 503)  # each tells a client that the request has not run
UNKNOWN_LENGTH = -1  # on the wire


class OutcomeSink(Protocol):
    """The sender of an offer, or the link to the sender."""

    def send(self, message: Message) -> int:
        """Accept an outcome, or a part of one.

        Returns:
            The number of bytes not sent yet. If it is large, the sink calls the request's `resume` once they are sent.
        """


class LoadReportListener(Protocol):
    """Receives the load reports of the backend."""

    def on_report(self, report: bytes, answered: BackendRequest) -> None:
        """Process the load report that came with the response to a request."""


class RequestGateway(Protocol):
    """State shared by all requests to one backend."""

    admission: AdmissionController
    circuit_breaker: CircuitBreaker
    lifecycle: BackendLifecycle
    pool: BackendPool
    requests: set[BackendRequest]  # accepted and not finished

    @property
    def monitor(self) -> LoadReportListener:
        """The listener that compares load reports with the requests in flight."""

    def now(self) -> int:
        """Return the current time in microseconds."""

    def after(self, delay_us: int, call: Callable[[], None]) -> None:
        """Call a function after a delay."""

    def load(self) -> Load:
        """Return the load of the backend as reported to other proxies."""


class BackendRequest:
    """A request that the gateway has accepted."""

    def __init__(self, gateway: RequestGateway, offer: Offer, sink: OutcomeSink) -> None:
        self._gateway, self._offer, self._sink = gateway, offer, sink
        self.attempt_id = next((value for name, value in offer.headers if name.lower() == b"attempt-id"), b"")
        self.idempotent = offer.idempotent
        self.is_over = False
        self.is_overdue = False  # set by the monitor
        self.is_suspected = False  # its sender was notified that the backend may not answer
        self._deadline = gateway.now() + offer.time_left_ms * 1000
        self._connection: BackendConnection | None = None
        self._unsent_chunks: list[BodyChunk] = []  # of the request body, queued until there is a connection
        self._streaming = False  # a part of the response was sent to the sink
        self.admission = self._admission_request()
        gateway.requests.add(self)

    def _admission_request(self) -> AdmissionRequest:
        offer, durations = self._offer, self._gateway.admission.durations
        fleet_duration_ms = offer.expected_ms or None
        expected_us = durations.expected_us(offer.route, fleet_duration_ms)
        target_at = self._deadline + (offer.target_left_ms - offer.time_left_ms) * 1000
        is_late = offer.target_left_ms * 1000 < LATE_SHARE * expected_us
        # A late request misses its target anyway; a short one needs little capacity, and others mostly wait for it.
        may_wait = is_late or durations.is_short(offer.route, fleet_duration_ms)
        start_by = (self._deadline if may_wait else target_at) - expected_us
        return AdmissionRequest(
            offer.priority, start_by, offer.route, self._on_started, self._on_rejected, fleet_duration_ms, is_late
        )

    @property
    def is_in_flight(self) -> bool:
        """Whether the request was sent to the backend and has not ended."""
        return self._connection is not None and not self.is_over

    # Called by the monitor

    def suspect(self, reason: FailureReason) -> None:
        """Notify the sender that the backend may not answer; a response that still arrives is forwarded."""
        if self.is_over or self._streaming or self.is_suspected:
            return
        self.is_suspected = True
        self._gateway.admission.failure_rate.record(False, self._gateway.now())
        self._sink.send(Suspected(reason, self._gateway.load()))

    # Called by the sender

    def send_body(self, body_chunk: BodyChunk) -> None:
        """Forward more of the request body."""
        if self.is_over:
            return
        if self._connection is None:
            self._unsent_chunks.append(body_chunk)
        elif self._connection.open:
            chunked = self._offer.content_length == UNKNOWN_LENGTH
            self._connection.send_body(body_chunk.data, body_chunk.last, chunked)

    @property
    def unsent(self) -> int:
        """Bytes of the request body that the backend has not accepted."""
        waiting = sum(len(body_chunk.data) for body_chunk in self._unsent_chunks)
        return waiting + (self._connection.unsent if self._connection else 0)

    def cancel(self) -> None:
        """Cancel the request: its sender no longer waits for the response."""
        if self.is_over:
            return
        self._gateway.admission.withdraw(self.admission)
        self._abort()

    def pause(self) -> None:
        """Stop reading the response, because the sink is slow."""
        if self._connection is not None and self._connection.stream is not None:
            self._connection.stream.pause()

    def resume(self) -> None:
        """Continue reading the response after a pause."""
        if self._connection is not None and self._connection.stream is not None:
            self._connection.stream.resume()

    # Called by admission control and by the connection pool

    def _on_rejected(self, reason: RejectionReason) -> None:
        self._finish()
        self._sink.send(Rejected(reason, self._gateway.load()))

    def _on_started(self) -> None:
        reason = self._rejection_reason(self._gateway.now())
        if reason is not None:
            # Deferred, since admission control must not be called from inside its own callback.
            self._gateway.after(0, lambda: self._reject(reason))
            return
        self._gateway.pool.acquire(self.idempotent, self._on_connected, self._on_not_connected)

    def _rejection_reason(self, now: int) -> RejectionReason | None:
        return self._gateway.lifecycle.rejection_reason(self._offer.server, now, admitted=True)

    def _reject(self, reason: RejectionReason) -> None:
        if not self.is_over:
            self._on_rejected(reason)

    def _on_not_connected(self, error: OSError) -> None:
        self._gateway.circuit_breaker.record_failure(self._gateway.now())
        self._reject(RejectionReason.UNREACHABLE)

    def _on_connected(self, connection: BackendConnection) -> None:
        now = self._gateway.now()
        left_us = self._deadline - now
        reason = self._rejection_reason(now)
        if reason is None and left_us < MIN_TIME_LEFT_US:
            reason = RejectionReason.OUT_OF_TIME
        if reason is not None or self.is_over:
            self._gateway.pool.release(connection)
            if reason is not None:
                self._reject(reason)
            return
        self._connection = connection
        self._gateway.after(left_us + RESPONSE_MARGIN_US, self._on_timeout)
        self._send_request(connection, left_us)

    def _send_request(self, connection: BackendConnection, left_us: int) -> None:
        offer = self._offer
        headers: Headers = [
            *offer.headers,
            (b"Time-Left-Ms", b"%d" % (left_us // 1000)),
            (b"Meant-Server", offer.server.encode()),
        ]
        content_length = None if offer.content_length == UNKNOWN_LENGTH else offer.content_length
        connection.send_request(
            self, offer.method, offer.target, headers, offer.body, content_length, offer.body_complete
        )
        body_chunks, self._unsent_chunks = self._unsent_chunks, []
        for body_chunk in body_chunks:
            self.send_body(body_chunk)

    def _on_timeout(self) -> None:
        if not self.is_over:
            self.on_failed(FailureReason.TIMED_OUT)

    # Called by the connection

    def on_response(self, response: HttpMessage) -> None:
        """Forward a complete response, or the end of a streamed one."""
        if self.is_over:
            return
        self._gateway.circuit_breaker.record_response(self._gateway.now())
        if self._streaming:
            self._finish()
            self._sink.send(BodyChunk(response.take_body(), True))
        else:
            self._on_complete_response(response)

    def _on_complete_response(self, response: HttpMessage) -> None:
        gateway, status = self._gateway, response.status
        not_run = self._is_not_run(response)
        failure = self._failure_reason(response)
        report = response.fields.get(b"server-load")
        if report is not None and not not_run:  # a refused request is not counted in the report
            gateway.monitor.on_report(report, self)
        self._connection = None
        now = gateway.now()
        duration_ms = (now - self.admission.started_at) // 1000
        # A 504 at the deadline means slow work, not a failure of the backend.
        gateway.admission.failure_rate.record(
            failure is None and (status < SERVER_ERROR or status == GATEWAY_TIMEOUT), now
        )
        self._finish(measured=not not_run and status < OK_BELOW)
        if failure is not None:
            self._sink.send(NoResponse(failure, gateway.load()))
            return
        body = response.take_body()
        headers = self._headers(response)
        self._sink.send(Response(status, headers, body, True, len(body), not_run, duration_ms, gateway.load()))

    def on_response_part(self, response: HttpMessage) -> None:
        """Forward the next part of a long response."""
        if self.is_over:
            return
        self._gateway.circuit_breaker.record_response(self._gateway.now())
        if self._streaming:
            message: Message = BodyChunk(response.take_body(), False)
        else:
            failure = self._failure_reason(response)
            if failure is not None:
                self.on_failed(failure)
                return
            self._streaming = True
            message = self._response_head(response)
        if self._sink.send(message) > MAX_BUFFERED_BYTES:
            self.pause()

    def _response_head(self, response: HttpMessage) -> Response:
        length = UNKNOWN_LENGTH if response.length is None else response.length
        not_run = self._is_not_run(response)
        headers = self._headers(response)
        return Response(response.status, headers, response.take_body(), False, length, not_run, 0, self._gateway.load())

    def on_failed(self, reason: FailureReason) -> None:
        """End the request without a complete response; it may have run."""
        if self.is_over:
            return
        self._gateway.admission.failure_rate.record(False, self._gateway.now())
        self._abort()
        self._sink.send(NoResponse(reason, self._gateway.load()))

    @staticmethod
    def _is_not_run(response: HttpMessage) -> bool:
        """Return whether the backend guarantees that the request has not run."""
        return b"not-run" in response.fields or response.status == MISDIRECTED_REQUEST

    def _failure_reason(self, response: HttpMessage) -> FailureReason | None:
        """Return why a response cannot be forwarded; None if it can.

        A success may lack its seal or have an encoding that was not requested. An error status may tell the client
        that a write has not run although the backend does not guarantee it.
        """
        if response.status >= OK_BELOW:
            unfounded = response.status in NOT_RUN_STATUSES and not self._is_not_run(response)
            return FailureReason.UNFOUNDED_PROMISE if unfounded and not self.idempotent else None
        if b"server-seal" not in response.fields:
            return FailureReason.SEAL_MISSING
        if b"content-encoding" in response.fields:
            return FailureReason.UNREQUESTED_ENCODING
        return None

    @staticmethod
    def _headers(response: HttpMessage) -> Headers:
        return [line for line in end_to_end_headers(response) if line[0].lower() != b"server-load"]

    # End of the request

    def _abort(self) -> None:
        """End the request and close its connection, since a response may still arrive on it."""
        connection, self._connection = self._connection, None
        if connection is not None:
            self._gateway.pool.discard(connection)
        self._finish()

    def _finish(self, measured: bool = False) -> None:
        if self.is_over:
            return
        self.is_over = True
        self._connection = None
        self._gateway.requests.discard(self)
        self._gateway.admission.finish(self.admission, self._gateway.now(), measured)
