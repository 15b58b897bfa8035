"""One client's request on its way: attempts at backends, retries, and the one final response.

A request that was rejected has arrived nowhere and is offered to the next endpoint at no cost. One that may have run is
retried only where its route is idempotent and the retry budget has room; otherwise its client gets a failure that
promises nothing. An operation that runs once goes on to its end though its client has left, for the repeats that are
to get its response. No other module sends a client's request again; `retry_decision` says whether it may be sent.
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

TIMEOUT_MARGIN_US = 20_000  # an outcome of another proxy that comes at the deadline is still waited for


class ForwardedRequest:
    """The state of one request; the `OutcomeListener` of its exchanges and the `PermitListener` of its permits."""

    def __init__(
        self,
        owner: RequestOwner,
        request: HttpMessage,
        route: Route,
        response: ResponseWriter,
        is_complete: bool,
        tenant: Tenant | None,
    ) -> None:
        """Take a request that may go to its route; `tenant` has the key that it came with."""
        self._owner, self._request, self._route, self._tenant = owner, request, route, tenant
        self._response = ClientResponse(response, owner.counters)
        self._service = route.split.choose(owner.rng)
        self._table = owner.upstreams.table(self._service)
        self._template = OfferTemplate(owner, request, route, tenant)
        self._deadline = self._template.deadline
        self._body = RequestBody(request.take_body(), is_complete)
        self._body.is_awaiting_permits = True
        self._history = AttemptHistory()
        self._failures = FailureRecord(owner, self._table, self._history, attempt_id(request))
        self._retries = RetryDecision(owner, route, self._service, self._history, self._body, self._deadline)
        self._current = CurrentAttempt(owner, self._table)
        self._stream = ResponseStream(self._response, self._current)
        self._suspects = SuspectedAttempts(self._table, owner.reactor)  # open beside the attempt
        self._permission = RequestPermission()
        self.is_over = False
        time_left_us = max(0, self._deadline - self._template.arrived_at)
        self._timer = owner.reactor.after(time_left_us + TIMEOUT_MARGIN_US, self._on_timeout)

    def start(self) -> None:
        """Ask for what the request needs before its first attempt, if there is anything."""
        arrived_at = self._template.arrived_at
        needs = permit_needs(self._request, self._route, self._tenant, arrived_at, self._deadline)
        if needs is None:
            self.on_permitted(None)
        else:
            self._permission.request(self._owner.permits, needs, self)

    def on_permitted(self, run: OperationRun | None) -> None:
        """Make the first attempt."""
        if run is not None:
            self._permission.begin_run(run)
            self._response.record_for(run)
        self._body.is_awaiting_permits = False
        self._owner.upstreams.budget(self._service).record_request(self._owner.reactor.now())
        self._start_attempt()

    def on_answered(self, response: LocalResponse) -> None:
        """Answer without an attempt."""
        self._respond(response.status, response.headers, response.body)

    # For the client's connection

    def add_body(self, data: bytes, is_last: bool) -> None:
        """Forward more of the request's body."""
        self._body.append(data, is_last)
        self._current.send_body(BodyChunk(data, is_last))

    @property
    def unsent(self) -> int:
        """Bytes of the body that the other end of the exchange has not taken."""
        if self.is_over:
            return 0  # the rest of the body is read and dropped
        if self._body.is_awaiting_permits:
            return len(self._body.data)
        return self._current.unsent

    def resume_response(self) -> None:
        """Let the response go on: the client has taken what it was sent."""
        self._stream.resume()

    def cancel(self) -> None:
        """Give the request up: its client has closed the connection."""
        if self.is_over or self._response.is_client_gone:
            return
        self._owner.counters.cancelled += 1
        if self._permission.has_run and self._current.exchange is not None and self._body.is_complete:
            # A backend may be at work on it, and a repeat of the operation is to get its response.
            self._response.drop_client()
            self._stream.resume()
            return
        self._set_over()
        self._current.give_up()

    def abort_for_shutdown(self) -> None:
        """Answer at once, since the process ends. The request may have run, unless it waits for its permits."""
        if self._permission.is_pending:
            self._refuse_unless_suspects()
            return
        self._failures.record_broken_off()
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
        """Handle an outcome of the exchange that is under way."""
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
        """Try a read elsewhere, too, if one more attempt is allowed. The backend may still answer in time."""
        attempt, exchange = self._current.attempt, self._current.exchange
        if self.is_over or attempt is None or exchange is None or not self._retries.after_suspicion(self._table):
            return
        self._suspects.add(SuspectedAttempt(self, attempt, exchange))
        self._current.leave()
        self._failures.record_failed(attempt.entry, message.reason)
        self._start_attempt()

    def on_suspect_answered(self, suspect: SuspectedAttempt, response: Response) -> None:
        """Handle the response of a backend that was suspected. A failure counts only where nothing else may come."""
        if self.is_over:
            return
        is_alone = self._current.attempt is None and self._suspects.is_only(suspect)
        if response.status >= 500 and not is_alone:
            suspect.exchange.cancel()
            self.on_suspect_failed(suspect)
            return
        self._suspects.remove(suspect)
        self._current.give_up()
        self._current.take_over(suspect.attempt, suspect.exchange, self)
        self._on_response(response)

    def on_suspect_failed(self, suspect: SuspectedAttempt) -> None:
        """Handle that a suspected attempt is over; where it was the last one, the request has failed."""
        if self.is_over:
            return
        self._suspects.end(suspect)
        if self._current.attempt is None and not self._suspects:
            self._fail()

    def on_unreachable(self) -> None:
        """Handle that no link could be opened: the request was offered to nobody."""
        if self.is_over:
            return
        self._failures.record_unreachable(self._current.end(None))
        self._start_attempt()

    def on_link_lost(self) -> None:
        """Handle that the request was offered and its outcome will never be known."""
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
        """Handle a complete response or the head of a long one. What is not passed on is abandoned completely."""
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
            self._pass_on(message, exchange)

    def _pass_on(self, message: Response, exchange: Exchange | None) -> None:
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
            self._set_over()

    def _on_failed_attempt(self, entry: EndpointLoad, reason: str) -> None:
        """The attempt may have run: an idempotent request may be retried, another one may not."""
        self._failures.record_failed(entry, reason)
        if self._retries.after_failure():
            self._start_attempt()
        elif not self._suspects:
            self._fail()

    def _fail(self) -> None:
        """Answer that no attempt had a response; the request may have run."""
        if self._owner.reactor.now() >= self._deadline:
            self._respond(504, [], b"no answer in time\n")
        else:
            self._respond(502, [], b"the backend gave no answer\n")

    # The end

    def _refuse_unless_suspects(self) -> None:
        """Answer that no backend takes the request now, unless one that has it may still answer."""
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
        self._current.give_up()
        self._respond(504, [], b"no answer in time\n")

    def _respond(self, status: int, headers: Headers, body: bytes) -> None:
        self._set_over()
        self._response.send_own(status, headers, body)

    def _abort_response(self) -> None:
        """End a response that has begun, so that its client sees that it is not complete."""
        self._set_over()
        self._stream.abort()

    def _set_over(self) -> None:
        self.is_over = True
        self._permission.end()
        self._suspects.cancel_all()
        self._timer.cancel()
        self._owner.request_ended(self)
