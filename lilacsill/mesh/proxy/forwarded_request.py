"""One client's request: its attempts at backends, its retries, and its one final response.

A rejected request has not reached a backend and is offered to the next endpoint without using the retry budget. A
request that may have run is retried only if its route is idempotent and the retry budget allows it; otherwise its
client gets an error that does not say whether it ran. An operation that runs once continues after its client has
disconnected, since repeats of the operation get its response. No other module sends a client's request again;
`retry_decision` decides whether it may be sent.
"""

from __future__ import annotations

from lilacsill.http1.message import Message as HttpMessage
from lilacsill.mesh.operations.operation_gate import OperationRun
from lilacsill.mesh.runtime.messages import BodyChunk, Headers, Rejected, Response, Suspected
from lilacsill.mesh.tenants.tenant import Tenant

from .attempts import AttemptHistory
from .client_response import ClientResponse
from .current_attempt import CurrentAttempt
from .endpoint_table import EndpointLoad
from .exchange import Exchange, Outcome
from .failure_record import FailureRecord
from .reasons import FailureReason
from .request_body import RequestBody
from .request_head import attempt_id
from .request_offer import OfferTemplate
from .request_owner import RequestOwner
from .request_permission import RequestPermission, permit_needs
from .request_permits import LocalResponse
from .response_stream import ResponseStream
from .response_writer import ResponseWriter, retry_after
from .retry_decision import MIN_ATTEMPT_US, RetryDecision
from .routes import Route
from .suspected_attempts import SuspectedAttempt, SuspectedAttempts

TIMEOUT_MARGIN_US = 20_000  # wait after the deadline for an outcome that another proxy sends at the deadline


class ForwardedRequest:
    """The state of one request; implements `OutcomeListener` for its exchanges, `PermitListener` for its permits."""

    def __init__(
        self,
        owner: RequestOwner,
        request: HttpMessage,
        route: Route,
        response: ResponseWriter,
        is_complete: bool,
        tenant: Tenant | None,
    ) -> None:
        """Create the state of a request that may use its route; `tenant` is the owner of its key, if any."""
        self._owner, self._request, self._route, self._tenant = owner, request, route, tenant
        self._response = ClientResponse(response, owner.counters)
        self._service = route.split.choose(owner.rng)
        self._table = owner.upstreams.table(self._service)
        self._template = OfferTemplate(owner, request, route, tenant)
        self._deadline = self._template.deadline
        self._body = RequestBody(request.take_body(), is_complete)
        self._body.is_awaiting_permits = True  # until the request has its permits
        self._history = AttemptHistory()
        self._failures = FailureRecord(owner, self._table, self._history, attempt_id(request))
        self._retries = RetryDecision(owner, route, self._service, self._history, self._body, self._deadline)
        self._current = CurrentAttempt(owner, self._table)
        self._stream = ResponseStream(self._response, self._current)
        self._suspects = SuspectedAttempts(self._table, owner.reactor)  # open in addition to the current attempt
        self._permission = RequestPermission()
        self.is_over = False
        time_left_us = max(0, self._deadline - self._template.arrived_at)
        self._timer = owner.reactor.after(time_left_us + TIMEOUT_MARGIN_US, self._on_timeout)

    def start(self) -> None:
        """Request the permits that the request needs before its first attempt, if any."""
        arrived_at = self._template.arrived_at
        needs = permit_needs(self._request, self._route, self._tenant, arrived_at, self._deadline)
        if needs is None:
            self.on_permitted(None)
        else:
            self._permission.request(self._owner.permits, needs, self)

    def on_permitted(self, run: OperationRun | None) -> None:
        """Start the first attempt."""
        if run is not None:
            self._permission.begin_run(run)
            self._response.start_recording(run)
        self._body.is_awaiting_permits = False
        self._owner.upstreams.budget(self._service).record_request(self._owner.reactor.now())
        self._start_attempt()

    def on_answered(self, response: LocalResponse) -> None:
        """Send a response without an attempt."""
        self._respond(response.status, response.headers, response.body)

    # Called by the client's connection

    def add_body(self, data: bytes, is_last: bool) -> None:
        """Forward more of the request body."""
        self._body.append(data, is_last)
        self._current.send_body(BodyChunk(data, is_last))

    @property
    def unsent(self) -> int:
        """Bytes of the request body that the receiver of the exchange has not accepted."""
        if self.is_over:
            return 0  # the rest of the body is read and discarded
        if self._body.is_awaiting_permits:
            return len(self._body.data)
        return self._current.unsent

    @property
    def buffered_body_bytes(self) -> int:
        """Bytes of the request body that are used: for further attempts, and because they are not accepted yet."""
        if self.is_over:
            return 0
        used = len(self._body.data)
        return used if self._body.is_awaiting_permits else used + self._current.unsent

    def resume_response(self) -> None:
        """Resume the response: the client has accepted the bytes sent so far."""
        self._stream.resume()

    def cancel(self) -> None:
        """Cancel the request: its client has closed the connection."""
        if self.is_over or self._response.is_client_disconnected:
            return
        self._owner.counters.cancelled += 1
        if self._permission.has_run and self._current.exchange is not None and self._body.is_complete:
            # A backend may be executing it, and repeats of the operation need its response.
            self._response.drop_client()
            self._stream.resume()
            return
        self._finish()
        self._current.cancel()

    def abort_for_shutdown(self) -> None:
        """End the request at once, since the process is about to exit.

        The client gets an error, or a truncated response if the response has begun. The request may have run, unless it
        waits for its permits.
        """
        if self._permission.is_pending:
            self._refuse_unless_suspects()
            return
        self._failures.record_aborted_for_shutdown()
        self._on_timeout()

    # Attempts

    def _start_attempt(self) -> None:
        now = self._owner.reactor.now()
        entry = None
        if self._deadline - now >= MIN_ATTEMPT_US and self._body.is_replayable:
            entry = self._history.choose_next(self._table, now)
        if entry is None:
            self._refuse_unless_suspects()
            return
        may_have_run = self._history.arrivals > 0
        offer = self._template.offer_to(entry, self._service, self._body, may_have_run, now)
        self._current.start(entry, offer, self)

    # Outcomes of exchanges

    def on_outcome(self, message: Outcome) -> None:
        """Handle an outcome of the current exchange."""
        if self.is_over:
            return
        if isinstance(message, Rejected):
            self._on_rejected(message)
        elif isinstance(message, Response):
            self._on_response(message)
        elif isinstance(message, BodyChunk):
            self._on_body_chunk(message)
        elif self._response.is_streaming:
            self._abort_response()
        else:
            self._on_failed_attempt(self._current.end(message), message.reason)

    def on_suspected(self, message: Suspected) -> None:
        """Try a read at another backend, too, if one more attempt is allowed. The first may still answer in time."""
        attempt, exchange = self._current.attempt, self._current.exchange
        if self.is_over or attempt is None or exchange is None or not self._retries.after_suspicion(self._table):
            return
        self._suspects.add(SuspectedAttempt(self, attempt, exchange))
        self._current.detach()
        self._failures.record_failed(attempt.entry, message.reason)
        self._start_attempt()

    def on_suspect_answered(self, suspect: SuspectedAttempt, response: Response) -> None:
        """Handle the response of a suspected backend. A 5xx counts only if no other response can arrive."""
        if self.is_over:
            return
        is_alone = self._current.attempt is None and self._suspects.is_only(suspect)
        if response.status >= 500 and not is_alone:
            suspect.exchange.cancel()
            self.on_suspect_failed(suspect)
            return
        self._suspects.remove(suspect)
        self._current.cancel()
        self._current.attach(suspect.attempt, suspect.exchange, self)
        self._on_response(response)

    def on_suspect_failed(self, suspect: SuspectedAttempt) -> None:
        """Handle the end of a suspected attempt; if it was the last open attempt, the request has failed."""
        if self.is_over:
            return
        self._suspects.end(suspect)
        if self._current.attempt is None and not self._suspects:
            self._fail()

    def on_unreachable(self) -> None:
        """Handle that no link could be opened: the request was not offered."""
        if self.is_over:
            return
        self._failures.record_unreachable(self._current.end(None))
        self._start_attempt()

    def on_link_lost(self) -> None:
        """Handle the loss of the link after the offer: the outcome of the attempt stays unknown."""
        if self.is_over:
            return
        if self._response.is_streaming:
            self._abort_response()
            return
        entry = self._current.end(None)
        self._failures.eject(entry)
        self._on_failed_attempt(entry, FailureReason.LINK_LOST)

    def _on_rejected(self, message: Rejected) -> None:
        self._failures.record_rejected(self._current.end(message), message.reason)
        self._start_attempt()

    def _on_response(self, message: Response) -> None:
        """Handle a complete response or the head of a long one. If it is not forwarded, its exchange is cancelled."""
        exchange = self._current.exchange
        entry = self._current.end(message)
        is_retried = self._retries.after_response(message, entry, self._table)
        if (is_retried or message.not_run) and not message.body_complete and exchange is not None:
            exchange.cancel()
        if is_retried:
            self._start_attempt()
        elif message.not_run:
            self._refuse_unless_suspects()
        else:
            self._forward_response(message, exchange)

    def _forward_response(self, message: Response, exchange: Exchange | None) -> None:
        self._response.record(message)
        if message.body_complete:
            if message.status < 300:
                self._owner.statistics.record_duration(self._route.name, message.duration_ms)
            self._respond(message.status, message.headers, message.body)
            return
        self._suspects.cancel_all()
        self._stream.start(message, exchange)

    def _on_body_chunk(self, message: BodyChunk) -> None:
        self._stream.add(message)
        if message.last:
            self._finish()

    def _on_failed_attempt(self, entry: EndpointLoad, reason: str) -> None:
        """Handle an attempt that may have run: only an idempotent request may be retried."""
        self._failures.record_failed(entry, reason)
        if self._retries.after_failure():
            self._start_attempt()
        elif not self._suspects:
            self._fail()

    def _fail(self) -> None:
        """Send an error: there is no response to forward, and the request may have run."""
        if self._owner.reactor.now() >= self._deadline:
            self._respond(504, [], b"no answer in time\n")
        else:
            self._respond(502, [], b"the backend gave no answer\n")

    # End of the request

    def _refuse_unless_suspects(self) -> None:
        """Refuse the request, for which no further attempt is made. Do nothing while a suspected attempt is open."""
        if self._suspects:
            return
        self._permission.release_run()
        self._respond(503, [retry_after(self._route.target_us, self._owner.rng)], b"refused\n")

    def _on_timeout(self) -> None:
        if self.is_over:
            return
        if self._response.is_streaming:
            self._abort_response()
            return
        self._current.cancel()
        self._respond(504, [], b"no answer in time\n")

    def _respond(self, status: int, headers: Headers, body: bytes) -> None:
        self._finish()
        self._response.send_complete(status, headers, body)

    def _abort_response(self) -> None:
        """Abort a response that has begun, so that the client detects that it is incomplete."""
        self._finish()
        self._stream.abort()

    def _finish(self) -> None:
        self.is_over = True
        self._permission.end()
        self._suspects.cancel_all()
        self._timer.cancel()
        self._owner.request_ended(self)
