"""One client's request on its way: attempts at backends, retries, and the one final response.

A request that was rejected has arrived nowhere and is offered to the next endpoint at no cost. One that may have run is
retried only where its route is idempotent and the retry budget has room; otherwise its client gets a failure that
promises nothing. An operation that runs once goes on to its end though its client has left, for the repeats that are
to get its response. No other module sends a client's request again; `docs/control-safety.md` lists what each retry
rests on.
"""

from __future__ import annotations

from lilacsill.http1.message import Message as HttpMessage
from lilacsill.mesh.operations.operation_gate import OperationRun
from lilacsill.mesh.runtime.log_ring import log
from lilacsill.mesh.runtime.messages import BodyChunk, Headers, NoResponse, Offer, Rejected, Response, Suspected
from lilacsill.mesh.tenants.tenant import Tenant

from .attempts import Attempt, AttemptHistory
from .backend_request import MAX_BUFFERED_BYTES
from .client_response import ClientResponse
from .endpoint_table import EndpointLoad
from .exchange import Exchange, Outcome
from .reasons import FailureReason, RejectionReason
from .request_body import RequestBody
from .request_head import attempt_id, client_patience_us, forwarded_headers, stated_length
from .request_owner import RequestOwner
from .request_permits import OwnResponse, PendingPermits, PermitNeeds, patience_until_us
from .response_writer import ResponseWriter, retry_after
from .routes import Route
from .suspected_attempts import SuspectedAttempt, SuspectedAttempts

TIMEOUT_MARGIN_US = 20_000  # an outcome of another proxy that comes at the deadline is still waited for
MIN_ATTEMPT_US = 2_000  # with less time left no attempt is worth while
FAILING_SERVICE_RATE = 0.15  # failure rate of the best backend: then what the service calls is at fault
# A backend that rejects for one of these will reject the next request, too.
EJECTING_REASONS = (RejectionReason.WRONG_INCARNATION, RejectionReason.UNREACHABLE)


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
        self._owner, self._request, self._route = owner, request, route
        self._response = ClientResponse(response, owner.counters)
        self._service = route.split.choose(owner.rng)
        self._table = owner.upstreams.table(self._service)
        now = self._arrived_at = owner.reactor.now()
        patience_us = client_patience_us(request)
        self._deadline = now + min(patience_us, route.timeout_us)
        # A client that comes back has lost a part of the time of the target, too.
        self._target_at = now + route.target_us - owner.statistics.time_spent_us(route.name, patience_us)
        self._tenant, self._priority = tenant, owner.priority(route, tenant)
        self._headers = forwarded_headers(request, owner.caller, tenant.name if tenant is not None else None)
        self._body = RequestBody(request.take_body(), is_complete)
        self._body.is_waiting = True  # for the permits of the request
        self._history = AttemptHistory()
        self._attempt: Attempt | None = None
        self._exchange: Exchange | None = None  # of the attempt, or of the response that is being streamed
        self._suspects = SuspectedAttempts(self._table, owner.reactor)  # open beside the attempt
        self._permits: PendingPermits | None = None
        self._run: OperationRun | None = None  # of an operation that runs once
        self.is_over = False
        self._timer = owner.reactor.after(max(0, self._deadline - now) + TIMEOUT_MARGIN_US, self._on_timeout)

    def start(self) -> None:
        """Ask for what the request needs before its first attempt, if there is anything."""
        is_limited = self._tenant is not None and self._tenant.is_limited
        operation_key = self._request.fields.get(b"operation-key") if self._route.is_keyed else None
        if is_limited or operation_key is not None:
            self._permits = self._owner.permits.request(self._permit_needs(is_limited, operation_key), self)
        else:
            self.on_permitted(None)

    def _permit_needs(self, is_limited: bool, operation_key: bytes | None) -> PermitNeeds:
        target_us = self._route.target_us
        return PermitNeeds(
            tenant="" if self._tenant is None else self._tenant.name,
            is_limited=is_limited,
            operation_key=operation_key,
            attempt_id=attempt_id(self._request),
            target_us=target_us,
            patience_until_us=patience_until_us(self._arrived_at, target_us, self._deadline),
        )

    def on_permitted(self, run: OperationRun | None) -> None:
        """Make the first attempt."""
        if run is not None:
            self._run = run
            self._response.record_for(run)
        self._body.is_waiting = False
        self._owner.upstreams.budget(self._service).record_request(self._owner.reactor.now())
        self._start_attempt()

    def on_answered(self, response: OwnResponse) -> None:
        """Answer without an attempt."""
        self._respond(response.status, response.headers, response.body)

    # For the client's connection

    def add_body(self, data: bytes, is_last: bool) -> None:
        """Forward more of the request's body."""
        self._body.append(data, is_last)
        if self._exchange is not None:
            self._exchange.send_body(BodyChunk(data, is_last))

    @property
    def unsent(self) -> int:
        """Bytes of the body that the other end of the exchange has not taken."""
        if self.is_over:
            return 0  # the rest of the body is read and dropped
        if self._body.is_waiting:
            return len(self._body.data)
        return self._exchange.unsent if self._exchange is not None else 0

    def resume_response(self) -> None:
        """Let the response go on: the client has taken what it was sent."""
        if self._exchange is not None:
            self._exchange.resume()

    def cancel(self) -> None:
        """Give the request up: its client has closed the connection."""
        if self.is_over or self._response.is_client_gone:
            return
        self._owner.counters.cancelled += 1
        exchange = self._exchange
        if self._run is not None and exchange is not None and self._body.is_complete:
            # A backend may be at work on it, and a repeat of the operation is to get its response.
            self._response.drop_client()
            exchange.resume()
            return
        self._set_over()
        self._abandon_attempt()
        if exchange is not None:
            exchange.cancel()

    @property
    def _attempt_id(self) -> str:
        return attempt_id(self._request).decode("latin-1")

    def break_off(self) -> None:
        """Answer at once, since the process ends. The request may have run, unless it waits for its permits."""
        if self._permits is not None and not self._permits.is_over:
            self._refuse_unless_suspects()
            return
        self._owner.counters.broken_off += 1
        log.info("%s broken off after %d attempts", self._attempt_id, self._history.arrivals)
        self._on_timeout()

    # Attempts

    def _start_attempt(self) -> None:
        owner, now = self._owner, self._owner.reactor.now()
        entry = None
        if self._deadline - now >= MIN_ATTEMPT_US and self._body.is_kept:
            entry = self._history.choose_next(self._table, now)
        if entry is None:
            self._refuse_unless_suspects()
            return
        self._attempt = Attempt(entry, owner.upstreams.next_attempt())
        self._table.attempt_started(entry, self._attempt.number)
        self._exchange = owner.upstreams.offer(entry.endpoint, self._offer_to(entry, now), self)

    def _offer_to(self, entry: EndpointLoad, now: int) -> Offer:
        request, route = self._request, self._route
        return Offer(
            server=entry.endpoint.server,
            service=self._service,
            route=route.name,
            method=request.method,
            target=request.target,
            headers=self._headers,
            body=self._body.data,
            body_complete=self._body.is_complete,
            content_length=stated_length(request),
            time_left_ms=(self._deadline - now) // 1000,
            target_left_ms=(self._target_at - now) // 1000,
            priority=self._priority,
            idempotent=route.is_idempotent,
            may_have_run=self._history.arrivals > 0,
            expected_ms=self._owner.statistics.usual_ms(route.name) or 0,
        )

    def _end_attempt(self, outcome: Rejected | Response | NoResponse | Suspected | None) -> EndpointLoad:
        """Return the endpoint of the attempt that is over; its outcome, if there is one, brings its load."""
        attempt, self._attempt, self._exchange = self._attempt, None, None
        assert attempt is not None
        load = outcome.load if outcome is not None else None
        self._table.attempt_ended(attempt.entry, attempt.number, load, self._owner.reactor.now())
        return attempt.entry

    def _abandon_attempt(self) -> None:
        """Stop counting the attempt; its exchange is still to be cancelled."""
        attempt, self._attempt = self._attempt, None
        if attempt is not None:
            self._table.attempt_ended(attempt.entry, attempt.number, None, self._owner.reactor.now())

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
            self._on_failed_attempt(self._end_attempt(message), message.reason)

    def on_suspected(self, message: Suspected) -> None:
        """Try a read elsewhere, too, if one more attempt is allowed. The backend may still answer in time."""
        attempt, exchange = self._attempt, self._exchange
        if self.is_over or attempt is None or exchange is None or not self._route.is_idempotent:
            return
        if self._history.choose_next(self._table, self._owner.reactor.now()) is None:
            return
        if not self._may_retry(arrivals=self._history.arrivals + 1):
            return
        self._suspects.add(SuspectedAttempt(self, attempt, exchange))
        self._attempt = self._exchange = None
        self._record_failed(attempt.entry, message.reason)
        self._start_attempt()

    def on_suspect_answered(self, suspect: SuspectedAttempt, response: Response) -> None:
        """Handle the response of a backend that was suspected. A failure counts only where nothing else may come."""
        if self.is_over:
            return
        is_alone = self._attempt is None and self._suspects.is_only(suspect)
        if response.status >= 500 and not is_alone:
            suspect.exchange.cancel()
            self.on_suspect_failed(suspect)
            return
        self._suspects.take(suspect)
        exchange = self._exchange
        self._abandon_attempt()
        if exchange is not None:
            exchange.cancel()
        self._attempt, self._exchange = suspect.attempt, suspect.exchange
        suspect.exchange.hand_over(self)
        self._on_response(response)

    def on_suspect_failed(self, suspect: SuspectedAttempt) -> None:
        """Handle that a suspected attempt is over; where it was the last one, the request has failed."""
        if self.is_over:
            return
        self._suspects.end(suspect)
        if self._attempt is None and not self._suspects:
            self._fail()

    def on_unreachable(self) -> None:
        """Handle that no link could be opened: the request was offered to nobody."""
        if self.is_over:
            return
        self._owner.counters.unreachable += 1
        entry = self._end_attempt(None)
        self._table.eject(entry, self._owner.reactor.now())
        self._history.record_rejected(entry)
        self._start_attempt()

    def on_link_lost(self) -> None:
        """Handle that the request was offered and its outcome will never be known."""
        if self.is_over:
            return
        if self._response.is_streaming:
            self._abort_response()
            return
        entry = self._end_attempt(None)
        self._table.eject(entry, self._owner.reactor.now())
        self._on_failed_attempt(entry, FailureReason.LINK_LOST)

    def _on_rejected(self, message: Rejected) -> None:
        self._owner.counters.rejections[message.reason] += 1
        entry = self._end_attempt(message)
        self._history.record_rejected(entry)
        if message.reason in EJECTING_REASONS:
            self._table.eject(entry, self._owner.reactor.now())
        self._start_attempt()

    def _on_response(self, message: Response) -> None:
        """Handle a complete response or the head of a long one. What is not passed on is abandoned completely."""
        exchange = self._exchange
        entry = self._end_attempt(message)
        is_retried = False
        if message.not_run:
            # The backend promises that: the request goes elsewhere, though it counts as an arrival.
            self._history.record_not_run(entry)
            is_retried = self._may_retry()
        elif message.status >= 500 and self._route.is_idempotent:
            self._history.record_failed(entry)
            # Where all backends fail, a service that they call does: a retry would only add to its load.
            is_retried = self._table.lowest_failure_rate() < FAILING_SERVICE_RATE and self._may_retry()
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
        self._exchange = exchange
        self._suspects.cancel_all()
        self._pause_above_limit(self._response.start(message))

    def _on_body_chunk(self, message: BodyChunk) -> None:
        self._pause_above_limit(self._response.add(message))
        if message.last:
            self._set_over()

    def _pause_above_limit(self, unsent: int) -> None:
        """Hold the backend's response back while its client is slow."""
        if unsent > MAX_BUFFERED_BYTES and self._exchange is not None:
            self._exchange.pause()

    def _on_failed_attempt(self, entry: EndpointLoad, reason: str) -> None:
        """The attempt may have run: an idempotent request may be retried, another one may not."""
        self._record_failed(entry, reason)
        if self._route.is_idempotent and self._may_retry():
            self._start_attempt()
        elif not self._suspects:
            self._fail()

    def _fail(self) -> None:
        """Answer that no attempt had a response; the request may have run."""
        if self._owner.reactor.now() >= self._deadline:
            self._respond(504, [], b"no answer in time\n")
        else:
            self._respond(502, [], b"the backend gave no answer\n")

    def _record_failed(self, entry: EndpointLoad, reason: str) -> None:
        self._owner.counters.failed_attempts[reason] += 1
        log.info("%s attempt at %s failed: %s", self._attempt_id, entry.endpoint.node, reason)
        self._history.record_failed(entry)

    def _may_retry(self, arrivals: int | None = None) -> bool:
        """Return whether an arrival after `arrivals` is allowed; then it is taken out of the retry budget.

        Without `arrivals`, those that are recorded count.
        """
        arrivals = self._history.arrivals if arrivals is None else arrivals
        now = self._owner.reactor.now()
        may_retry = (
            arrivals < self._route.max_attempts
            and self._deadline - now > MIN_ATTEMPT_US
            and self._body.is_kept
            and self._owner.upstreams.try_retry(self._service, now)
        )
        self._owner.counters.retries += may_retry
        return may_retry

    # The end

    def _refuse_unless_suspects(self) -> None:
        """Answer that no backend takes the request now, unless one that has it may still answer."""
        if self._suspects:
            return
        if self._run is not None:
            self._run.release()
        self._respond(503, [retry_after(self._route.target_us, self._owner.rng)], b"refused\n")

    def _on_timeout(self) -> None:
        if self.is_over:
            return
        if self._response.is_streaming:
            self._abort_response()
            return
        exchange, self._exchange = self._exchange, None
        self._abandon_attempt()
        if exchange is not None:
            exchange.cancel()
        self._respond(504, [], b"no answer in time\n")

    def _respond(self, status: int, headers: Headers, body: bytes) -> None:
        self._set_over()
        self._response.send_own(status, headers, body)

    def _abort_response(self) -> None:
        """End a response that has begun, so that its client sees that it is not complete."""
        exchange, self._exchange = self._exchange, None
        self._set_over()
        if exchange is not None:
            exchange.cancel()
        self._response.truncate()

    def _set_over(self) -> None:
        self.is_over = True
        if self._permits is not None and not self._permits.is_over:
            self._permits.cancel()
        if self._run is not None:
            self._run.record_unknown()  # unless its outcome has been reported
        self._suspects.cancel_all()
        self._timer.cancel()
        self._owner.request_ended(self)
